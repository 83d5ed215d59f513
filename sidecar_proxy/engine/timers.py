"""Many timers, most of which are cancelled, on one timer of the loop.

Each request sets a guard and a time for each attempt, and nearly all are cancelled milliseconds later; in the
loop each of them is a handle, a context and two calls of libuv. Here setting one is a push on a heap, and
cancelling one leaves it there, empty, till its time comes or the empty ones are most of all.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

TICK_S = 0.0005  # the loop's timers are of whole milliseconds, rounded
MOST_EMPTY = 1024  # beyond this, and beyond half of all, the empty ones are taken out


class Timer:
    """One call to come."""

    __slots__ = ("owner", "call", "arguments")

    def __init__(self, owner: Timers, call: Callable[..., None], arguments: tuple[object, ...]) -> None:
        self.owner = owner
        self.call: Callable[..., None] | None = call  # None = made, or cancelled
        self.arguments = arguments

    def cancel(self) -> None:
        """Never called from now on; harmless once it has been."""
        if self.call is not None:
            self.call, self.arguments = None, ()
            self.owner.emptied()


class Timers:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[tuple[float, int, Timer]] = []
        self.number = 0  # of the next one: those of one time come in the order that they were set
        self.empty = 0
        self.armed: asyncio.TimerHandle | None = None
        self.armed_s = 0.0
        self.firing = False

    def later(self, wait_s: float, call: Callable[..., None], *arguments: object) -> Timer:
        """Make a call in this many seconds, to the loop's millisecond."""
        timer = Timer(self, call, arguments)
        self.number += 1
        at_s = self.loop.time() + wait_s
        heapq.heappush(self.heap, (at_s, self.number, timer))
        if not self.firing and (self.armed is None or at_s < self.armed_s):
            self.arm()
        return timer

    def arm(self) -> None:
        if self.armed is not None:
            self.armed.cancel()
            self.armed = None
        if self.heap:
            self.armed_s = self.heap[0][0]
            self.armed = self.loop.call_later(max(0.0, self.armed_s - self.loop.time()) + TICK_S, self.fire)

    def fire(self) -> None:
        now_s, self.armed, self.firing = self.loop.time() + TICK_S, None, True
        try:
            while self.heap and self.heap[0][0] <= now_s:
                timer = heapq.heappop(self.heap)[2]
                call, arguments = timer.call, timer.arguments
                if call is None:
                    self.empty -= 1
                    continue
                timer.call, timer.arguments = None, ()
                try:
                    call(*arguments)
                except Exception as error:
                    # hazard: a fault in one call is not to cost the others theirs
                    self.loop.call_exception_handler({"message": "a timer's call failed", "exception": error})
        finally:
            self.firing = False
            self.arm()

    def emptied(self) -> None:
        self.empty += 1
        if self.empty > MOST_EMPTY and self.empty * 2 > len(self.heap) and not self.firing:
            self.heap = [one for one in self.heap if one[2].call is not None]
            heapq.heapify(self.heap)
            self.empty = 0

    def close(self) -> None:
        self.heap.clear()
        self.empty = 0
        if self.armed is not None:
            self.armed.cancel()
            self.armed = None
