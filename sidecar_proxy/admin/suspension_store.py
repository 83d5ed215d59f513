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
        self.unstored: set[str] = set()  # names of suspensions that could not be stored
        # Modification time in ns and inode of each file that could not be removed, by name. A file that was
        # written since is a new suspension.
        self.unremoved: dict[str, tuple[int, int] | None] = {}
        # Modification time in ns and inode of the folder when it was last read.
        self.last_read_version: tuple[int, int] | None = None

    def add(self, name: str) -> bool:
        """Store a suspension; return False if it could not be stored."""
        if self.folder is None:
            return False
        try:
            write_atomically(self._path_of(self.folder, name), name.encode())
        except OSError as error:
            self.unstored.add(name)
            self.unremoved.pop(name, None)
            return self._warn_not_stored(error)
        self.unstored.discard(name)
        self.unremoved.pop(name, None)
        return True

    def remove(self, name: str) -> bool:
        """Remove a suspension; return False if it may still be stored."""
        if self.folder is None:
            return False
        path = self._path_of(self.folder, name)
        self.unstored.discard(name)
        try:
            path.unlink(missing_ok=True)
        except OSError as error:
            self.unremoved[name] = version_of(path)
            return self._warn_not_stored(error)
        self.unremoved.pop(name, None)
        return True

    def has_changed(self) -> bool:
        """Return whether the suspensions may have changed since the last read, by one stat of the folder."""
        version = version_of(self.folder) if self.folder is not None else None
        return version is not None and version != self.last_read_version

    def read(self) -> set[str] | None:
        """Return the names of all endpoints that are suspended here, or None if they cannot be read."""
        if self.folder is None:
            return None
        names: set[str] = set()
        try:
            # The version is determined before the files are read, so that a change in between is detected by
            # the next poll.
            version = version_of(self.folder)
            for file_name in os.listdir(self.folder)[:MAX_SUSPENSIONS]:
                if file_name.endswith(PARTIAL_SUFFIX):
                    continue
                with contextlib.suppress(FileNotFoundError):  # another process has just removed it
                    data = (self.folder / file_name).read_bytes()
                    names.add(data[: MAX_CHARACTER_BYTES * MAX_NAME_LENGTH].decode("utf-8", "replace"))
        except OSError as error:
            log.warning("cannot read the suspensions: %s", error)
            return None
        self.last_read_version = version
        restored = {
            name
            for name, unremoved_version in self.unremoved.items()
            if version_of(self._path_of(self.folder, name)) == unremoved_version
        }
        return (names - restored) | self.unstored

    @staticmethod
    def _path_of(folder: Path, name: str) -> Path:
        return folder / hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()

    @staticmethod
    def _warn_not_stored(error: OSError) -> bool:
        log.warning("cannot store a suspension for the next process: %s", error)
        return False


def version_of(path: Path) -> tuple[int, int] | None:
    """Return the modification time in ns and the inode of a file or folder, or None if it has none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino
