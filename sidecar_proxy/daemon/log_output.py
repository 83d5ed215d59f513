"""Writes log lines to standard error without ever waiting for whoever reads them.

A pipe that nobody reads is full after 64 KB, and a write to it would stop the process with all its requests.
Lines that are not accepted are dropped and counted.
"""

from __future__ import annotations

import logging
import os
import select
import stat

MAX_LINE_BYTES = 4096  # a pipe that is reported as writable takes this much at once (PIPE_BUF)
STANDARD_ERROR = 2


def open_non_blocking(descriptor: int) -> int | None:
    """Return a non-blocking descriptor for the same pipe; None if it is no pipe, or can't be opened again.

    The flag belongs to what is opened, which other processes share, so the pipe is opened once more.
    """
    try:
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        pass  # polled only: another writer may fill the pipe between poll and write
    return None


class NonBlockingLogHandler(logging.Handler):
    """Writes each record as one line, or as one block with a traceback, if that is possible at once."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        super().__init__()
        non_blocking = open_non_blocking(descriptor)
        self.may_block = non_blocking is None
        self.descriptor = descriptor if non_blocking is None else non_blocking
        self.writable = select.poll()
        self.writable.register(self.descriptor, select.POLLOUT)
        self.dropped_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, and before it how many were dropped since the last one."""
        try:
            text = self.format(record)
        except Exception:  # a message that does not fit its arguments
            self.dropped_count += 1
            return
        if self.dropped_count:
            text = f"sidecar_proxy: {self.dropped_count} log lines dropped\n{text}"
        if self.write(text.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"):
            self.dropped_count = 0
        else:
            self.dropped_count += 1

    def write(self, data: bytes) -> bool:
        """Write data of up to MAX_LINE_BYTES; return False if it is not accepted now."""
        try:
            return self.is_writable() and os.write(self.descriptor, data) == len(data)
        except OSError:  # no reader, no space, or filled by another process meanwhile
            return False

    def is_writable(self) -> bool:
        """Return whether a write does not block. Raises OSError if that is unknown."""
        return not self.may_block or bool(self.writable.poll(0))


def configure_logging() -> None:
    """Log to standard error, as the operators' pages say."""
    logging.basicConfig(
        format="sidecar_proxy: %(message)s", level=logging.INFO, handlers=[NonBlockingLogHandler()]
    )
