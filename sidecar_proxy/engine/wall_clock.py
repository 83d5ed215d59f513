"""The wall clock: when something is by the calendar, for stamps that other machines compare. May step.

`SIDECAR_PROXY_CLOCK_FILE` names a file with a number of microseconds that is added: so a rig steps one
process's clock. Without it the cost is the system's call.
"""

from __future__ import annotations

import time

from sidecar_proxy.environment import read_variable

LOOK_NS = 100_000_000  # between two looks at the file


class Wall:
    """The system's clock, and an offset that is handed in."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.offset_ns = 0
        self.look_ns = 0

    def now_ns(self) -> int:
        """Unix time in nanoseconds."""
        if self.path and time.monotonic_ns() >= self.look_ns:
            self.look_ns = time.monotonic_ns() + LOOK_NS
            try:
                with open(self.path) as file:
                    self.offset_ns = int(file.read() or 0) * 1000
            except (OSError, ValueError):
                pass  # what held goes on holding
        return time.time_ns() + self.offset_ns


_wall = Wall(read_variable("CLOCK_FILE"))
now_ns = _wall.now_ns
