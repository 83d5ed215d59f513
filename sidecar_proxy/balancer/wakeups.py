"""The balancer's timers: schedules many wake-ups on the single timer of the engine. No I/O and no clock."""

import enum
import heapq
from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext

NO_REQUEST: Final = 0  # the request id of a wake-up that concerns no request


class WakeupKind(enum.IntEnum):
    """The purpose of a wake-up; of those due at the same time, the one of the lowest kind runs first."""

    PROBE_DEADLINE = 0  # a request stops waiting for load reports
    BUFFER_DEADLINE = 1  # the buffered request stops waiting for a slot
    LIST_POLL = 2  # the endpoint list is polled
    ATTEMPT_OVERDUE = 3  # an attempt has taken longer than usual


class Wakeup:
    """One wake-up that is due."""

    def __init__(self, kind: WakeupKind, request_id: int) -> None:
        self.kind = kind
        self.request_id = request_id


class Wakeups:
    """The pending wake-ups, and the engine's timer for the earliest of them."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.heap: list[tuple[int, WakeupKind, int]] = []  # (due time, kind, request id)
        self.timer_us = 0  # time at which the engine's timer fires; 0 = it is not set

    def schedule(self, at_us: int, kind: WakeupKind, request_id: int) -> None:
        """Add a wake-up; one that is due now or before is due at the next microsecond."""
        heapq.heappush(self.heap, (max(at_us, self.context.now_us + 1), kind, request_id))

    def pop_due(self) -> Wakeup | None:
        """Remove and return the first wake-up that is due, or None."""
        if not self.heap or self.heap[0][0] > self.context.now_us:
            return None
        _, kind, request_id = heapq.heappop(self.heap)
        return Wakeup(kind, request_id)

    def timer_fired(self) -> None:
        """Record that the engine's timer has fired.

        A timer that fires earlier than the one set last is stale and ignored. If it led to a new timer, each
        stale timer would set another one forever.
        """
        if self.timer_us <= self.context.now_us:
            self.timer_us = 0

    def set_timer(self, other_us: int) -> None:
        """Set the engine's timer to the earlier of the first wake-up and `other_us` (0 = none).

        A timer that is set and fires before that is kept.
        """
        next_us = other_us
        if self.heap and (next_us == 0 or self.heap[0][0] < next_us):
            next_us = self.heap[0][0]
        if next_us and (self.timer_us == 0 or next_us < self.timer_us):
            self.timer_us = next_us
            self.context.actions.append(api.SetTimer(next_us, 0))
