"""The tables of claimed request ids that the processes of one sidecar share in $TMPDIR."""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
from pathlib import Path

from sidecar_proxy.engine.request_ids import TABLE_BYTES, ClaimTable, RequestIds

log = logging.getLogger("sidecar_proxy")

FILE_NAMES = ("request-ids-0", "request-ids-1")  # stored names; each is written by the process that locks it


class SharedRequestIds:
    """The two files. It owns their descriptors, and with one of them the lock of this process's table."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.descriptors: list[int] = []

    def share(self, request_ids: RequestIds) -> bool:
        """Have the process use a table that it writes and one that it reads; return False if it can't.

        Claims of a process that has ended stay in its table until they end.
        """
        if self.folder is None:
            return False
        try:
            for name in FILE_NAMES:
                self.descriptors.append(self._open(self.folder / name))
            own = self._lock()
            if own is None:
                log.warning("request ids are not shared: two other processes use the tables")
                self.close()
                return False
            tables = [ClaimTable(mmap.mmap(descriptor, TABLE_BYTES)) for descriptor in self.descriptors]
        except (OSError, ValueError) as error:  # ValueError: the file can't be mapped
            log.warning("request ids are not shared: %s", error)
            self.close()
            return False
        request_ids.share(tables[own], tables[1 - own])
        return True

    def close(self) -> None:
        """Release the lock. The tables stay."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors = []

    def _open(self, path: Path) -> int:
        """Open a table, and create it where it is missing. Raises OSError."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            # The space is taken now, as a write to a mapped file on a full disk would end the process.
            os.posix_fallocate(descriptor, 0, TABLE_BYTES)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def _lock(self) -> int | None:
        """Lock a table that no other process writes, and return its number; None if there is none."""
        for number, descriptor in enumerate(self.descriptors):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                continue
            return number
        return None
