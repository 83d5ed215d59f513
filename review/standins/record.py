"""The record of a run: one line for each thing that was sent, answered, run or told."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt`; times are seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self.began_s = time.monotonic()
        self.file = path.open("w")

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self.began_s

    def write(self, who: str, text: str) -> float:
        """Write a line and return its time."""
        now_s = self.now_s()
        self.file.write(f"{now_s:10.4f} {who}: {text}\n")
        return now_s

    def close(self) -> None:
        """Flush and close the file."""
        self.file.close()
