"""A recording as a file: written whole, read with suspicion.

MAGIC, then parts of a length and a CRC-32 (4 bytes each, big-endian) and their bytes: the head (MessagePack),
the segments, and an empty part as the end. Whatever is read is bounded: the file, a part, a segment unpacked.
"""

from __future__ import annotations

import hashlib
import os
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.record_framing import Frame, FrameError, unpack
from sidecar_proxy.recorder.record_schema import form_of
from sidecar_proxy.recorder.stored_names import to_stored

MAGIC = b"wickspread recording 1\n"
KIND = b"wickspread recording "
MOST_PART = 64 * 1024 * 1024  # bytes: a list of a large fleet is one frame
MOST_FILE = 1024 * 1024 * 1024
DECISIONS = Path(__file__).parent.parent / "balancer"


class RecordingError(Exception):
    """A recording can't be read; one line."""


class TruncatedRecordingError(RecordingError):
    """It ends early, as a killed sidecar's spool does; what came before is good."""


@dataclass(slots=True, frozen=True)
class Head:
    """What the decisions began with."""

    name: str  # of the sidecar
    decisions: str  # the digest of their sources
    seed: int
    started_us: int
    settings: api.Settings
    whole: bool  # it begins at their start
    why: str = ""  # it was written


SETTINGS, HEAD = form_of(api.Settings), form_of(Head)


def balancer_digest() -> str:
    """Of the decisions' sources. Raises OSError."""
    found = hashlib.blake2b(digest_size=8)
    for path in sorted(DECISIONS.glob("*.py")):
        found.update(path.read_bytes())
    return found.hexdigest()


def framed(part: bytes) -> bytes:
    return len(part).to_bytes(4, "big") + zlib.crc32(part).to_bytes(4, "big") + part


def begin(path: str, head: Head) -> BinaryIO:
    """A file for its owner alone, with its head, to be gone on with. Raises OSError."""
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    file = os.fdopen(handle, "wb")
    stored_head = {field.name: to_stored(getattr(head, field.name)) for field in fields(head)}
    file.write(MAGIC + framed(msgspec.msgpack.encode(stored_head)))
    return file


def write_recording(path: str, head: Head, segments: list[bytes]) -> None:
    """Whole or not at all, for its owner alone. Raises OSError."""
    with begin(f"{path}.part", head) as file:
        for one in (*segments, b""):
            file.write(framed(one))
    os.replace(f"{path}.part", path)


class Recording:
    """An open file. Its head is read at once, its frames as they are asked for."""

    def __init__(self, file: BinaryIO, name: str) -> None:
        """Raises RecordingError."""
        self.file = file
        self.name = name
        self.read = 0
        magic = file.read(len(MAGIC))
        if magic != MAGIC:
            version = magic.startswith(KIND)
            raise RecordingError(f"{name}: {'a recording of another version' if version else 'no recording'}")
        try:
            told = msgspec.msgpack.decode(self.read_part(), type=dict[str, Any])
            self.head: Head = HEAD.read(told | {"settings": SETTINGS.read(told.get("settings"))})
        except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as error:
            said = " ".join(str(error).split())[:120]
            raise RecordingError(f"{name}: its head is malformed: {said}") from error

    def read_part(self) -> bytes:
        before = self.file.read(8)
        size = int.from_bytes(before[:4], "big")
        self.read += size + 8
        if len(before) < 8:
            raise TruncatedRecordingError(f"{self.name}: it is cut off")
        if size > MOST_PART or self.read > MOST_FILE:
            raise RecordingError(f"{self.name}: too large")
        data = self.file.read(size)
        if len(data) < size:
            raise TruncatedRecordingError(f"{self.name}: it is cut off")
        if zlib.crc32(data) != int.from_bytes(before[4:], "big"):
            raise RecordingError(f"{self.name}: a part of it is damaged")
        return data

    def frames(self) -> Iterator[Frame]:
        """Raises RecordingError where it can't go on; what came before it is good."""
        while packed := self.read_part():
            unpacker = zlib.decompressobj()
            try:
                data = unpacker.decompress(packed, MOST_PART)
            except zlib.error as error:
                raise RecordingError(f"{self.name}: a part of it is damaged") from error
            if unpacker.unconsumed_tail or not unpacker.eof:
                raise RecordingError(f"{self.name}: a part of it is too large or not whole")
            at = 0
            while at < len(data):
                size = int.from_bytes(data[at : at + 4], "big")
                frame, at = data[at + 4 : at + 4 + size], at + 4 + size
                if at > len(data):
                    raise RecordingError(f"{self.name}: a part of it is damaged")
                try:
                    yield unpack(frame)
                except FrameError as error:
                    raise RecordingError(f"{self.name}: {error}") from error
