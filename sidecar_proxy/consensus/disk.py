"""What the store does to files. `SIDECAR_PROXY_DISK_FILE` names a file that says how a rig breaks them: `slow
SECONDS`, or `kill OPERATION BEFORE|MIDDLE|AFTER NUMBER`: at that one of the operations from when it was said,
the process ends as by SIGKILL.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from sidecar_proxy.environment import read_variable


class Disk(Protocol):
    """All raise OSError."""

    def write(self, file: int, data: bytes) -> None: ...

    def sync(self, file: int) -> None: ...

    def cut(self, file: int, size: int) -> None: ...

    def rename(self, source: Path, target: Path) -> None: ...


class RealDisk:
    def write(self, file: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def sync(self, file: int) -> None:
        os.fsync(file)

    def cut(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def rename(self, source: Path, target: Path) -> None:
        os.rename(source, target)


class BrokenDisk(RealDisk):
    """As a file says."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.told = ""
        self.count = 0

    def around(self, operation: str, does: Callable[[], None], half: Callable[[], None]) -> None:
        try:
            told = self.path.read_text().strip()
        except OSError:
            told = ""
        if told != self.told:
            self.told, self.count = told, 0
        kind, *rest = told.split() or [""]
        if kind == "slow" and operation == "sync":
            time.sleep(float(rest[0]))
        if kind == "kill" and rest[0] == operation:
            self.count += 1
            if self.count == int(rest[2]):
                if rest[1] != "before":
                    (half if rest[1] == "middle" else does)()
                os.kill(os.getpid(), signal.SIGKILL)
        does()

    def write(self, file: int, data: bytes) -> None:
        self.around(
            "write",
            lambda: RealDisk.write(self, file, data),
            lambda: RealDisk.write(self, file, data[: len(data) // 2]),
        )

    def sync(self, file: int) -> None:
        self.around("sync", lambda: RealDisk.sync(self, file), lambda: None)

    def rename(self, source: Path, target: Path) -> None:
        self.around("rename", lambda: RealDisk.rename(self, source, target), lambda: None)


def of_this_process() -> Disk:
    told = read_variable("DISK_FILE")
    return BrokenDisk(Path(told)) if told else RealDisk()
