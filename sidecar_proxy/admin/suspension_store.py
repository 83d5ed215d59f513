"""Stores suspensions as files that all processes of one sidecar share and that remain when a process ends.

Each suspension is a file whose name is a digest of the endpoint's name and whose content is that name. It is
added by a rename and removed by an unlink. So a process that is killed at any step leaves either the old or
the new state, and no two processes ever write the same file.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
from pathlib import Path

from sidecar_proxy.admin.shared_folder import PARTIAL_SUFFIX, write_atomically
from sidecar_proxy.admin.suspensions import MAX_NAME_LENGTH, MAX_SUSPENSIONS

log = logging.getLogger("sidecar_proxy")

FOLDER_NAME = "suspended"  # stored name, below the shared folder
MAX_CHARACTER_BYTES = 4  # maximum length of a character in UTF-8
DIGEST_BYTES = 16


class SuspensionStore:
    """The folder of suspensions. Without a folder nothing is stored.

    A change that cannot be stored is kept in memory, and applies to what this process reads.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        # Whether the endpoint is suspended, by the names whose last change could not be stored.
        self.unstored: dict[str, bool] = {}
        # Modification time in ns and inode of the folder when it was last read.
        self.last_read_version: tuple[int, int] | None = None

    def add(self, name: str) -> bool:
        """Store a suspension; return False if it could not be stored."""
        if self.folder is None:
            return False
        try:
            write_atomically(self._path_of(self.folder, name), name.encode())
        except OSError as error:
            self.unstored[name] = True
            return self._warn_not_stored(error)
        self.unstored.pop(name, None)
        return True

    def remove(self, name: str) -> bool:
        """Remove a suspension; return False if it may still be stored."""
        if self.folder is None:
            return False
        try:
            self._path_of(self.folder, name).unlink(missing_ok=True)
        except OSError as error:
            self.unstored[name] = False
            return self._warn_not_stored(error)
        self.unstored.pop(name, None)
        return True

    def has_changed(self) -> bool:
        """Return whether the suspensions may have changed since the last read, by one stat of the folder."""
        if self.folder is None:
            return False
        try:
            status = os.stat(self.folder)
        except OSError:
            return False
        return self.last_read_version != (status.st_mtime_ns, status.st_ino)

    def read(self) -> set[str] | None:
        """Return the names of all endpoints that are suspended here, or None if they cannot be read."""
        if self.folder is None:
            return None
        names: set[str] = set()
        try:
            # The version is determined before the files are read, so that a change in between is detected by
            # the next poll.
            status = os.stat(self.folder)
            for file_name in os.listdir(self.folder)[:MAX_SUSPENSIONS]:
                if file_name.endswith(PARTIAL_SUFFIX):
                    continue
                with contextlib.suppress(FileNotFoundError):  # another process has just removed it
                    data = (self.folder / file_name).read_bytes()
                    names.add(data[: MAX_CHARACTER_BYTES * MAX_NAME_LENGTH].decode("utf-8", "replace"))
        except OSError as error:
            log.warning("cannot read the suspensions: %s", error)
            return None
        self.last_read_version = (status.st_mtime_ns, status.st_ino)
        return self._apply_unstored(names)

    def _apply_unstored(self, stored_names: set[str]) -> set[str]:
        """Return the stored names with the changes that could not be stored."""
        suspended = {name for name, is_suspended in self.unstored.items() if is_suspended}
        restored = self.unstored.keys() - suspended
        return (stored_names | suspended) - restored

    @staticmethod
    def _path_of(folder: Path, name: str) -> Path:
        return folder / hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()

    @staticmethod
    def _warn_not_stored(error: OSError) -> bool:
        log.warning("cannot store a suspension for the next process: %s", error)
        return False
