"""Since when input that is read now can have waited in the kernel, by the process's own clock. No sockets.

The kernel tells an age of its own, whose clock may have another pace.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HEARTBEAT_INTERVAL_S = 0.05
NOT_WATCHED_US = 1 << 62


class LoopHeartbeat:
    """Notes the time at regular intervals.

    Between two beats the event loop looks at all descriptors that it watches. So what it reads after the
    latest beat has come after the earlier one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, read_clock_us: Callable[[], int]) -> None:
        self.loop = loop
        self.read_clock_us = read_clock_us
        self.latest_us = read_clock_us()
        self.earlier_us = self.latest_us
        self.timer = loop.call_later(HEARTBEAT_INTERVAL_S, self.beat)

    def beat(self) -> None:
        """Note the time."""
        self.earlier_us = self.latest_us
        self.latest_us = self.read_clock_us()
        self.timer = self.loop.call_later(HEARTBEAT_INTERVAL_S, self.beat)

    def close(self) -> None:
        """Stop the timer."""
        self.timer.cancel()


class InputWatch:
    """When the input of a descriptor was last known to be empty."""

    __slots__ = ("empty_us", "heartbeat", "watched_since_us")

    def __init__(self, heartbeat: LoopHeartbeat, empty_us: int) -> None:
        self.heartbeat = heartbeat
        self.empty_us = empty_us
        self.watched_since_us = NOT_WATCHED_US

    def begin(self) -> None:
        """Record that the event loop watches the descriptor from now on."""
        self.watched_since_us = self.heartbeat.read_clock_us()

    def end(self) -> None:
        """Record that the event loop no longer watches the descriptor."""
        self.empty_us = self.last_empty_us()
        self.watched_since_us = NOT_WATCHED_US

    def seen_empty(self, now_us: int) -> None:
        """Record that a read found no more input."""
        self.empty_us = now_us

    def last_empty_us(self) -> int:
        """Return a time at which the input was certainly empty: what is read now has come since."""
        earlier_us = self.heartbeat.earlier_us
        if self.watched_since_us <= earlier_us and self.empty_us < earlier_us:
            return earlier_us
        return self.empty_us
