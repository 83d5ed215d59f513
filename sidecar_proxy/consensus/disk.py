"""The file operations of the log store, and a variant that injects faults for tests.

The variable `SIDECAR_PROXY_DISK_FILE` names a file that holds the fault: `slow SECONDS` delays each sync;
`kill OPERATION before|middle|after NUMBER` ends the process as by SIGKILL at the NUMBERth such operation
counted from when the fault was written.
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
    """File operations. All of them raise OSError."""

    def write(self, file: int, data: bytes) -> None:
        """Writes all of the data at the file's end."""

    def sync(self, file: int) -> None:
        """Returns once the file's content is on disk."""

    def truncate(self, file: int, size: int) -> None:
        """Cuts the file to this many bytes."""

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, in place of one that is there."""


class RealDisk:
    """The operations of the operating system."""

    def write(self, file: int, data: bytes) -> None:
        """Writes all of the data at the file's end."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(file, remaining) :]

    def sync(self, file: int) -> None:
        """Returns once the file's content is on disk."""
        os.fsync(file)

    def truncate(self, file: int, size: int) -> None:
        """Cuts the file to this many bytes."""
        os.ftruncate(file, size)

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, in place of one that is there."""
        os.rename(source, target)


class FaultyDisk(RealDisk):
    """The operations of the operating system with the fault that a file describes."""

    def __init__(self, fault_path: Path) -> None:
        self.fault_path = fault_path
        self.fault = ""
        self.operation_count = 0

    def _run(self, operation: str, complete: Callable[[], None], half: Callable[[], None]) -> None:
        try:
            fault = self.fault_path.read_text().strip()
        except OSError:
            fault = ""
        if fault != self.fault:
            self.fault = fault
            self.operation_count = 0
        kind, *arguments = fault.split() or [""]
        if kind == "slow" and operation == "sync":
            time.sleep(float(arguments[0]))
        if kind == "kill" and arguments[0] == operation:
            self.operation_count += 1
            if self.operation_count == int(arguments[2]):
                self._kill(arguments[1], complete, half)
        complete()

    def _kill(self, moment: str, complete: Callable[[], None], half: Callable[[], None]) -> None:
        if moment == "middle":
            half()
        elif moment != "before":
            complete()
        os.kill(os.getpid(), signal.SIGKILL)

    def write(self, file: int, data: bytes) -> None:
        """Writes all of the data at the file's end; "middle" is after half of it."""
        self._run(
            "write",
            lambda: RealDisk.write(self, file, data),
            lambda: RealDisk.write(self, file, data[: len(data) // 2]),
        )

    def sync(self, file: int) -> None:
        """Returns once the file's content is on disk."""
        self._run("sync", lambda: RealDisk.sync(self, file), lambda: None)

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, in place of one that is there."""
        self._run("rename", lambda: RealDisk.rename(self, source, target), lambda: None)


def disk_from_environment() -> Disk:
    """Returns the disk that this process's environment asks for."""
    fault_path = read_variable("DISK_FILE")
    return FaultyDisk(Path(fault_path)) if fault_path else RealDisk()
