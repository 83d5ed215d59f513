"""The file by which all processes of one sidecar know that an operator has drained it.

The file exists while the sidecar is drained. It is created by a rename and removed by an unlink, so a process
that is killed at any step leaves either the old or the new state.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from sidecar_proxy.admin.shared_folder import write_atomically

log = logging.getLogger("sidecar_proxy")

FILE_NAME = "drained"  # stored name, below the shared folder


class DrainMarker:
    """The marker file. Without a path nothing is stored."""

    def __init__(self, path: Path | None) -> None:
        self.path = path

    def create(self) -> bool:
        """Mark the sidecar as drained; return False if that could not be stored."""
        if self.path is None:
            return False
        try:
            write_atomically(self.path, b"")
        except OSError as error:
            return self._warn_not_stored(error)
        return True

    def remove(self) -> bool:
        """Mark the sidecar as not drained; return False if that could not be stored."""
        if self.path is None:
            return False
        try:
            self.path.unlink(missing_ok=True)
        except OSError as error:
            return self._warn_not_stored(error)
        return True

    def exists(self, if_unknown: bool) -> bool:
        """Return whether the sidecar is marked as drained; `if_unknown` if its folder can't be read."""
        if self.path is None:
            return False
        try:
            os.stat(self.path.parent)
            is_marked = self.path.exists()
        except OSError:
            return if_unknown
        return is_marked

    @staticmethod
    def _warn_not_stored(error: OSError) -> bool:
        log.warning("cannot store the drain for the next process: %s", error)
        return False
