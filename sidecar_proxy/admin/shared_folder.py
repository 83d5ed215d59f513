"""The folder in $TMPDIR that all processes of one sidecar share, and atomic writes of its files.

All names in the folder are stored names: processes of earlier and later versions read the same files.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

FOLDER_NAME = "wickspread"  # stored name, below $TMPDIR
PARTIAL_SUFFIX = ".part"  # stored suffix of files that are still being written


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file and rename it into place, so that a reader sees the old or the new content.

    Raises OSError; the partial file is removed then.
    """
    partial_path = path.with_name(f"{path.name}.{os.getpid()}{PARTIAL_SUFFIX}")
    try:
        partial_path.write_bytes(data)
        partial_path.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            partial_path.unlink(missing_ok=True)
        raise
