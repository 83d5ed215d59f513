"""File locks that show which process of a sidecar serves, and whether a successor has started.

The operating system releases a lock when its process ends. A file would remain after its process was killed,
so only the locks on the files have a meaning, not the existence of the files.
"""

from __future__ import annotations

import fcntl
import logging
import os
from pathlib import Path

log = logging.getLogger("sidecar_proxy")

SERVING_LOCK = "serving"  # stored name; locked by the process that serves clients
SUCCESSOR_LOCK = "next"  # stored name; locked by the process that waits to take over


class ProcessLocks:
    """The two locks of one sidecar. It owns the descriptors of the locks that this process holds.

    Without a folder, or while the lock files cannot be opened, the process assumes that it is the only one.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        # Descriptors of the locks that this process holds, by lock name.
        self.descriptors: dict[str, int] = {}
        self.has_warned = False  # whether a warning was logged since the lock files could last be opened

    def claim_serving(self) -> bool:
        """Become the serving process, unless another process is; return whether this process serves.

        Otherwise this process takes the successor lock, which the serving process checks. The result changes
        once the serving process has ended, so the call has to be repeated.
        """
        if self.folder is None or SERVING_LOCK in self.descriptors:
            return True
        if self._acquire(SERVING_LOCK):
            self._release(SUCCESSOR_LOCK)
            return True
        self._acquire(SUCCESSOR_LOCK)
        return False

    def has_successor(self) -> bool:
        """Return whether another running process waits to take over from this one."""
        if self.folder is None or SUCCESSOR_LOCK in self.descriptors:
            return False
        if self._acquire(SUCCESSOR_LOCK):
            self._release(SUCCESSOR_LOCK)
            return False
        return True

    def close(self) -> None:
        """Release all locks."""
        for name in list(self.descriptors):
            self._release(name)

    def _acquire(self, name: str) -> bool:
        """Take a lock; return False if another process holds it."""
        if self.folder is None or name in self.descriptors:
            return True
        try:
            descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            if not self.has_warned:
                log.warning("cannot open the process locks: %s", error)
            self.has_warned = True
            return True
        self.has_warned = False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self.descriptors[name] = descriptor
        return True

    def _release(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
