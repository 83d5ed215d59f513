"""The wall clock: Unix time for timestamps that other machines compare. It may step.

`SIDECAR_PROXY_CLOCK_FILE` names a file with an offset in microseconds that is added to the system time; the
testbed uses it to step the clock of one process. Without the variable a reading costs only the system call.
"""

from __future__ import annotations

import time

from sidecar_proxy.environment import read_variable

OFFSET_REFRESH_NS = 100_000_000  # minimum interval between two reads of the offset file


class WallClock:
    """The system clock plus the offset in a file."""

    def __init__(self, offset_path: str) -> None:
        self.offset_path = offset_path
        self.offset_ns = 0
        self.next_refresh_ns = 0  # monotonic time of the next read of the file

    def now_ns(self) -> int:
        """Return the Unix time in nanoseconds."""
        if self.offset_path and time.monotonic_ns() >= self.next_refresh_ns:
            self.next_refresh_ns = time.monotonic_ns() + OFFSET_REFRESH_NS
            try:
                with open(self.offset_path) as file:
                    self.offset_ns = int(file.read() or 0) * 1000
            except (OSError, ValueError):
                pass  # keeps the last offset while the file is unreadable
        return time.time_ns() + self.offset_ns


_wall_clock = WallClock(read_variable("CLOCK_FILE"))
now_ns = _wall_clock.now_ns
