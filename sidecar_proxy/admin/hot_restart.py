"""What two processes of one sidecar share in $TMPDIR: who serves, and which upstreams are suspended.

A suspension is a file of its own, named by a digest and holding the upstream's name; it is put there by a
rename and taken away by an unlink. So a process that is killed at any step leaves the old or the new state,
and no two of them ever write the same file. Who serves is known by locks, which end with their process.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import logging
import os
from collections.abc import Mapping
from pathlib import Path

from sidecar_proxy.admin.suspensions import MOST_NAME, MOST_SUSPENDED

log = logging.getLogger("sidecar_proxy")

FOLDER = "wickspread"  # stored name: a process of an earlier version looks for it
REMEMBERED = "remembered"
SERVING, NEXT = "serving", "next"  # locked by the process that serves, and by its successor
PART = ".part"


def put_whole(path: Path, data: bytes) -> None:
    """By a rename: whoever reads finds this or what was there before, whole. Raises OSError."""
    part = path.with_name(f"{path.name}.{os.getpid()}{PART}")
    try:
        part.write_bytes(data)
        part.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            part.unlink(missing_ok=True)
        raise


class HotRestart:
    """The folder; with none (no $TMPDIR, or it can't be written) nothing outlives the process."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self.seen: tuple[int, int] | None = None  # of the folder of suspensions, as last read
        self.locks: dict[str, int] = {}  # descriptors
        self.blind = False  # the locks can't be opened just now
        if folder is not None:
            try:
                (folder / "suspended").mkdir(parents=True, exist_ok=True)
            except OSError as error:
                log.warning("suspensions can't be kept for a next process: %s", error)
                self.folder = None

    @classmethod
    def of(cls, env: Mapping[str, str]) -> HotRestart:
        """As the environment names it."""
        path = env.get("TMPDIR", "")
        return cls(Path(path) / FOLDER if path else None)

    # Who serves

    def alone(self) -> bool:
        """No other process of this sidecar serves; from now on this one does. Else this one is known to the
        other as its successor. Asked again, it may change.
        """
        if self.folder is None or SERVING in self.locks:
            return True
        if self.lock(SERVING):
            self.unlock(NEXT)
            return True
        self.lock(NEXT)
        return False

    def succeeded(self) -> bool:
        """A successor has come, and lives."""
        if self.folder is None or NEXT in self.locks:
            return False
        if self.lock(NEXT):
            self.unlock(NEXT)
            return False
        return True

    def lock(self, name: str) -> bool:
        """False if another process has it. Hazard: a mark that is not a lock outlives a process that is
        killed.
        """
        if self.folder is None or name in self.locks:
            return True
        try:
            handle = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            if not self.blind:
                log.warning("other processes of this sidecar can't be seen: %s", error)
            self.blind = True
            return True
        self.blind = False
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            return False
        self.locks[name] = handle
        return True

    def unlock(self, name: str) -> None:
        handle = self.locks.pop(name, None)
        if handle is not None:
            os.close(handle)

    def close(self) -> None:
        for name in list(self.locks):
            self.unlock(name)

    # What was learnt

    def leave(self, data: bytes) -> bool:
        """Put it where the next process finds it; one whole file or the one before. False if it can't be."""
        if self.folder is None:
            return False
        try:
            put_whole(self.folder / REMEMBERED, data)
        except OSError as error:
            log.warning("what was learnt can't be left for a next process: %s", error)
            return False
        return True

    def left(self, most: int) -> tuple[bytes, float] | None:
        """What was left, `most` bytes and one of it, and when (Unix time); None if nothing was."""
        if self.folder is None:
            return None
        try:
            with open(self.folder / REMEMBERED, "rb") as file:
                return file.read(most + 1), os.fstat(file.fileno()).st_mtime
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("what was learnt before can't be read: %s", error)
            return None

    # Suspensions

    def put(self, name: str) -> bool:
        """Keep a suspension. False if it could not be kept."""
        return self.change(name, True)

    def take(self, name: str) -> bool:
        """A suspension is over. False if it may come back with the next process."""
        return self.change(name, False)

    def change(self, name: str, there: bool) -> bool:
        if self.folder is None:
            return False
        data = name.encode()
        path = self.folder / "suspended" / hashlib.blake2b(data, digest_size=16).hexdigest()
        try:
            if there:
                put_whole(path, data)
            else:
                path.unlink(missing_ok=True)
        except OSError as error:
            log.warning("a suspension can't be kept for a next process: %s", error)
            return False
        return True

    def changed(self) -> bool:
        """The suspensions may be others than when they were read last; costs one look at the folder."""
        if self.folder is None:
            return False
        try:
            found = os.stat(self.folder / "suspended")
        except OSError:
            return False
        return self.seen != (found.st_mtime_ns, found.st_ino)

    def read(self) -> set[str] | None:
        """The names that are suspended; None if nobody can tell."""
        if self.folder is None:
            return None
        path, names = self.folder / "suspended", set()
        try:
            # hazard: noted after the reading, a change meanwhile would go unseen
            found = os.stat(path)
            for one in os.listdir(path)[:MOST_SUSPENDED]:
                if not one.endswith(PART):
                    with contextlib.suppress(FileNotFoundError):  # taken back just now
                        names.add((path / one).read_bytes()[: 4 * MOST_NAME].decode("utf-8", "replace"))
        except OSError as error:
            log.warning("suspensions can't be read: %s", error)
            return None
        self.seen = found.st_mtime_ns, found.st_ino
        return names
