"""The file operations of the log store, and an implementation that injects faults for tests.

The environment variable `SIDECAR_PROXY_DISK_FILE` names a file that describes the fault to inject:

- `slow SECONDS` delays each sync.
- `kill OPERATION before|middle|after NUMBER` sends SIGKILL to this process before, during or after the
  NUMBERth operation of this kind (`write`, `sync` or `rename`), counted from the first operation that saw
  this content of the file.

The file is read before each operation; a missing or empty file means no fault.
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

    def write(self, fd: int, data: bytes) -> None:
        """Appends all of the data to the file."""

    def sync(self, fd: int) -> None:
        """Returns once the content of the file or folder is on disk."""

    def truncate(self, fd: int, size: int) -> None:
        """Truncates the file to `size` bytes."""

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, replacing `target` if it exists."""


class RealDisk:
    """The file operations of the operating system."""

    def write(self, fd: int, data: bytes) -> None:
        """Appends all of the data to the file, which is open with O_APPEND."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(fd, remaining) :]

    def sync(self, fd: int) -> None:
        """Returns once the content of the file or folder is on disk."""
        os.fsync(fd)

    def truncate(self, fd: int, size: int) -> None:
        """Truncates the file to `size` bytes."""
        os.ftruncate(fd, size)

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, replacing `target` if it exists."""
        os.rename(source, target)


class FaultyDisk(RealDisk):
    """The file operations of the operating system, with the fault that a file describes injected."""

    def __init__(self, fault_path: Path) -> None:
        self.fault_path = fault_path
        self.fault = ""
        self.operation_count = 0

    def _run(self, operation: str, perform: Callable[[], None], perform_half: Callable[[], None]) -> None:
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
                self._kill(arguments[1], perform, perform_half)
        perform()

    def _kill(self, moment: str, perform: Callable[[], None], perform_half: Callable[[], None]) -> None:
        if moment == "middle":
            perform_half()
        elif moment != "before":
            perform()
        os.kill(os.getpid(), signal.SIGKILL)

    def write(self, fd: int, data: bytes) -> None:
        """Appends all of the data to the file; a `middle` kill happens after the first half of it."""
        self._run(
            "write",
            lambda: RealDisk.write(self, fd, data),
            lambda: RealDisk.write(self, fd, data[: len(data) // 2]),
        )

    def sync(self, fd: int) -> None:
        """Returns once the content of the file or folder is on disk."""
        self._run("sync", lambda: RealDisk.sync(self, fd), lambda: None)

    def rename(self, source: Path, target: Path) -> None:
        """Renames a file, replacing `target` if it exists."""
        self._run("rename", lambda: RealDisk.rename(self, source, target), lambda: None)


def disk_from_environment() -> Disk:
    """Returns a FaultyDisk if the environment names a file with a fault, otherwise a RealDisk."""
    fault_path = read_variable("DISK_FILE")
    return FaultyDisk(Path(fault_path)) if fault_path else RealDisk()
