"""The wall clock: calendar time for stamps that other machines compare. It may step.

`SIDECAR_PROXY_CLOCK_FILE` names a file with a number of microseconds that is added to the system's time; the
testbed steps the clock of one process with it. Without the variable the cost is that of the system call.
"""

from __future__ import annotations

import time

from sidecar_proxy.environment import read_variable

OFFSET_REFRESH_NS = 100_000_000  # between two reads of the file


class WallClock:
    """The system's clock, plus the offset that a file contains."""

    def __init__(self, offset_path: str) -> None:
        self.offset_path = offset_path
        self.offset_ns = 0
        self.next_refresh_ns = 0  # on the monotonic clock

    def now_ns(self) -> int:
        """Return the Unix time in nanoseconds."""
        if self.offset_path and time.monotonic_ns() >= self.next_refresh_ns:
            self.next_refresh_ns = time.monotonic_ns() + OFFSET_REFRESH_NS
            try:
                with open(self.offset_path) as file:
                    self.offset_ns = int(file.read() or 0) * 1000
            except (OSError, ValueError):
                pass  # an unreadable file leaves the last offset in force
        return time.time_ns() + self.offset_ns


_wall_clock = WallClock(read_variable("CLOCK_FILE"))
now_ns = _wall_clock.now_ns
