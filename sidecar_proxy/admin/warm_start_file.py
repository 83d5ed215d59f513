"""The file through which a process passes its warm-start state to its successor."""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass
from pathlib import Path

from sidecar_proxy.admin.shared_folder import write_atomically

log = logging.getLogger("sidecar_proxy")

FILE_NAME = "remembered"  # stored name, below the shared folder


@dataclass(slots=True, frozen=True)
class StoredState:
    """The content of the file, and when it was written."""

    data: bytes
    written_at_s: float  # Unix time


class WarmStartFile:
    """The file of the warm-start state. Without a path nothing is stored."""

    def __init__(self, path: Path | None) -> None:
        self.path = path

    def write(self, data: bytes) -> bool:
        """Replace the file atomically; return False if that failed."""
        if self.path is None:
            return False
        try:
            write_atomically(self.path, data)
        except OSError as error:
            log.warning("cannot write the warm-start state: %s", error)
            return False
        return True

    def read(self, max_bytes: int) -> StoredState | None:
        """Return the content, truncated to one byte more than `max_bytes`, or None if it cannot be read."""
        if self.path is None:
            return None
        try:
            with open(self.path, "rb") as file:
                return StoredState(file.read(max_bytes + 1), os.fstat(file.fileno()).st_mtime)
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("cannot read the warm-start state: %s", error)
            return None
