"""What two processes of one sidecar share in $TMPDIR: locks, holds of operators and warm-start state."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path

from sidecar_proxy.admin import drain_marker, suspension_store, warm_start_file
from sidecar_proxy.admin.drain_marker import DrainMarker
from sidecar_proxy.admin.process_locks import ProcessLocks
from sidecar_proxy.admin.shared_folder import FOLDER_NAME
from sidecar_proxy.admin.shared_request_ids import SharedRequestIds
from sidecar_proxy.admin.suspension_store import SuspensionStore
from sidecar_proxy.admin.warm_start_file import WarmStartFile

log = logging.getLogger("sidecar_proxy")


class HotRestart:
    """The shared folder and its contents.

    Without a folder (no $TMPDIR, or it cannot be written) nothing is stored, and the process assumes that it
    is the only one of its sidecar.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = create_folder(folder)
        self.locks = ProcessLocks(self.folder)
        self.request_ids = SharedRequestIds(self.folder)
        if self.folder is None:
            self.suspensions = SuspensionStore(None)
            self.drain_marker = DrainMarker(None)
            self.warm_start_file = WarmStartFile(None)
        else:
            self.suspensions = SuspensionStore(self.folder / suspension_store.FOLDER_NAME)
            self.drain_marker = DrainMarker(self.folder / drain_marker.FILE_NAME)
            self.warm_start_file = WarmStartFile(self.folder / warm_start_file.FILE_NAME)

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> HotRestart:
        """Use the folder below the environment's $TMPDIR, or none if that is not set."""
        path = environment.get("TMPDIR", "")
        return cls(Path(path) / FOLDER_NAME if path else None)

    def close(self) -> None:
        """Release the process locks; the stored files stay."""
        self.locks.close()
        self.request_ids.close()


def create_folder(folder: Path | None) -> Path | None:
    """Create the shared folder where it is missing; return None if it cannot be used."""
    if folder is None:
        return None
    try:
        (folder / suspension_store.FOLDER_NAME).mkdir(parents=True, exist_ok=True)
    except OSError as error:
        log.warning("cannot store suspensions for the next process: %s", error)
        return None
    return folder
