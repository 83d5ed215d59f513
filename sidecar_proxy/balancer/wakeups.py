"""The balancer's own timers: many wake-ups on the one timer that the engine sets. Pure."""

import enum
import heapq
from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext

NO_REQUEST: Final = 0


class WakeupKind(enum.IntEnum):
    """What a wake-up is for; of those due at the same time, the lower kind comes first."""

    PROBE_DEADLINE = 0  # a request has waited long enough for load reports
    BUFFER_DEADLINE = 1  # the waiting request has waited long enough for a slot
    LIST_POLL = 2  # the endpoint list is to be asked for
    ATTEMPT_OVERDUE = 3  # an attempt takes longer than usual


class Wakeup:
    """One wake-up that is due."""

    def __init__(self, kind: WakeupKind, request_id: int) -> None:
        self.kind = kind
        self.request_id = request_id


class Wakeups:
    """A heap of wake-ups, and the engine's timer for the first of them."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.heap: list[tuple[int, WakeupKind, int]] = []  # (when, kind, request)
        self.timer_us = 0  # the next timer that was set; 0 = none

    def schedule(self, at_us: int, kind: WakeupKind, request_id: int) -> None:
        """Add a wake-up, at the next microsecond at the earliest."""
        heapq.heappush(self.heap, (max(at_us, self.context.now_us + 1), kind, request_id))

    def pop_due(self) -> Wakeup | None:
        """Remove and return the first wake-up that is due, or None."""
        if not self.heap or self.heap[0][0] > self.context.now_us:
            return None
        _, kind, request_id = heapq.heappop(self.heap)
        return Wakeup(kind, request_id)

    def timer_fired(self) -> None:
        """Note that the engine's timer has fired; a stale one must not set another, or it would never end."""
        if self.timer_us <= self.context.now_us:
            self.timer_us = 0

    def set_timer(self, other_us: int) -> None:
        """Set the engine's timer to the first wake-up or to `other_us` (0 = none), unless it fires before."""
        next_us = other_us
        if self.heap and (next_us == 0 or self.heap[0][0] < next_us):
            next_us = self.heap[0][0]
        if next_us and (self.timer_us == 0 or next_us < self.timer_us):
            self.timer_us = next_us
            self.context.actions.append(api.SetTimer(next_us, 0))
