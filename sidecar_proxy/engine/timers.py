"""A queue of many timers, most of which are cancelled, on one timer of the event loop.

Each request sets a deadline timer and one timer per attempt, and nearly all are cancelled within
milliseconds. A timer of the event loop costs a handle, a context and two calls of libuv. Here setting a timer
is a push on a heap, and a cancelled timer stays on the heap until it is due or until most timers on the heap
are cancelled.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

TIMER_RESOLUTION_S = 0.0005  # the loop's timers are rounded to whole milliseconds
# Cancelled timers are removed from the heap once they are more than this and more than half of the heap.
MAX_CANCELLED = 1024


class Timer:
    """A scheduled callback."""

    __slots__ = ("arguments", "callback", "queue")

    def __init__(
        self, queue: TimerQueue, callback: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        self.queue = queue
        self.callback: Callable[..., None] | None = callback  # None once called or cancelled
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancel the callback; does nothing if it has been called already."""
        if self.callback is not None:
            self.callback = None
            self.arguments = ()
            self.queue.timer_cancelled()


class TimerQueue:
    """The timers of one event loop, ordered by due time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[tuple[float, int, Timer]] = []  # (due time, sequence number, timer)
        # Number of the last timer: timers that are due at the same time are called in the order they were
        # set.
        self.sequence = 0
        self.cancelled = 0  # cancelled timers that are still on the heap
        self.loop_timer: asyncio.TimerHandle | None = None
        self.loop_timer_s = 0.0
        self.is_firing = False

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> Timer:
        """Call `callback` after a delay, which is rounded to the resolution of the event loop."""
        timer = Timer(self, callback, arguments)
        self.sequence += 1
        at_s = self.loop.time() + delay_s
        heapq.heappush(self.heap, (at_s, self.sequence, timer))
        if not self.is_firing and (self.loop_timer is None or at_s < self.loop_timer_s):
            self.arm()
        return timer

    def arm(self) -> None:
        """Set the event loop's timer to the earliest due time."""
        if self.loop_timer is not None:
            self.loop_timer.cancel()
            self.loop_timer = None
        if self.heap:
            self.loop_timer_s = self.heap[0][0]
            delay_s = max(0.0, self.loop_timer_s - self.loop.time()) + TIMER_RESOLUTION_S
            self.loop_timer = self.loop.call_later(delay_s, self.fire)

    def fire(self) -> None:
        """Call all callbacks that are due, then set the event loop's timer again."""
        now_s = self.loop.time() + TIMER_RESOLUTION_S
        self.loop_timer = None
        self.is_firing = True
        try:
            while self.heap and self.heap[0][0] <= now_s:
                self.call(heapq.heappop(self.heap)[2])
        finally:
            self.is_firing = False
            self.arm()

    def call(self, timer: Timer) -> None:
        """Call the callback of a timer that was removed from the heap, unless it was cancelled."""
        callback = timer.callback
        arguments = timer.arguments
        if callback is None:
            self.cancelled -= 1
            return
        timer.callback = None
        timer.arguments = ()
        try:
            callback(*arguments)
        except Exception as error:  # a failed callback must not prevent the others from being called
            self.loop.call_exception_handler({"message": "timer callback failed", "exception": error})

    def timer_cancelled(self) -> None:
        """Count a cancelled timer, and remove all cancelled timers if they are most of the heap."""
        self.cancelled += 1
        is_mostly_cancelled = self.cancelled > MAX_CANCELLED and self.cancelled * 2 > len(self.heap)
        if is_mostly_cancelled and not self.is_firing:
            self.heap = [item for item in self.heap if item[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def close(self) -> None:
        """Drop all timers without calling them."""
        self.heap.clear()
        self.cancelled = 0
        if self.loop_timer is not None:
            self.loop_timer.cancel()
            self.loop_timer = None
