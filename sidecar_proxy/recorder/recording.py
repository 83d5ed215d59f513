"""Writes recordings to files, and reads them with checks of all their contents.

A file is MAGIC, then parts: a length and a CRC-32 (4 bytes each, big-endian) and the bytes of the part. The
parts are the head (MessagePack), the segments, and an empty part as the end. The sizes of the file, of a part
and of a decompressed segment are limited when a recording is read.
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
from sidecar_proxy.recorder.record_schema import record_schema
from sidecar_proxy.recorder.stored_names import to_stored

MAGIC = b"wickspread recording 1\n"
MAGIC_PREFIX = b"wickspread recording "  # the start of MAGIC in every version of the format
MAX_PART_BYTES = 64 * 1024 * 1024  # the endpoint list of a large fleet is one frame
MAX_FILE_BYTES = 1024 * 1024 * 1024
BALANCER_FOLDER = Path(__file__).parent.parent / "balancer"


class RecordingError(Exception):
    """A recording can't be read; the message is one line."""


class TruncatedRecordingError(RecordingError):
    """The file ends early, as the spool file of a killed sidecar does; the steps before are valid."""


@dataclass(slots=True, frozen=True)
class Head:
    """What the balancer was started with, and the origin of the recording. Stored under these field names."""

    name: str  # name of the sidecar
    decisions: str  # digest of the balancer's sources
    seed: int
    started_us: int
    settings: api.Settings
    whole: bool  # the recording begins with the first step of the balancer
    why: str = ""  # reason for writing the recording


SETTINGS, HEAD = record_schema(api.Settings), record_schema(Head)


def balancer_digest() -> str:
    """Return a digest of the balancer's sources. Raises OSError."""
    digest = hashlib.blake2b(digest_size=8)
    for path in sorted(BALANCER_FOLDER.glob("*.py")):
        digest.update(path.read_bytes())
    return digest.hexdigest()


def encode_part(part: bytes) -> bytes:
    """Prefix a part with its length and its CRC-32."""
    return len(part).to_bytes(4, "big") + zlib.crc32(part).to_bytes(4, "big") + part


def create_file(path: str, head: Head) -> BinaryIO:
    """Create a file that only its owner can read, and write the head to it. Raises OSError."""
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    file = os.fdopen(handle, "wb")
    stored_head = {field.name: to_stored(getattr(head, field.name)) for field in fields(head)}
    file.write(MAGIC + encode_part(msgspec.msgpack.encode(stored_head)))
    return file


def write_recording(path: str, head: Head, segments: list[bytes]) -> None:
    """Write a complete recording that only its owner can read, atomically. Raises OSError."""
    with create_file(f"{path}.part", head) as file:
        for part in (*segments, b""):
            file.write(encode_part(part))
    os.replace(f"{path}.part", path)


class Recording:
    """An open recording. Its head is read by the constructor, its frames while `frames` is iterated over."""

    def __init__(self, file: BinaryIO, name: str) -> None:
        """Raises RecordingError."""
        self.file = file
        self.name = name
        self.bytes_read = 0
        magic = file.read(len(MAGIC))
        if magic != MAGIC:
            is_other_version = magic.startswith(MAGIC_PREFIX)
            raise RecordingError(
                f"{name}: {'a recording of another version' if is_other_version else 'no recording'}"
            )
        try:
            values = msgspec.msgpack.decode(self.read_part(), type=dict[str, Any])
            self.head: Head = HEAD.read(values | {"settings": SETTINGS.read(values.get("settings"))})
        except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as error:
            reason = " ".join(str(error).split())[:120]
            raise RecordingError(f"{name}: its head is malformed: {reason}") from error

    def read_part(self) -> bytes:
        """Return the next part; it is empty at the end of the recording. Raises RecordingError."""
        prefix = self.file.read(8)
        size = int.from_bytes(prefix[:4], "big")
        self.bytes_read += size + 8
        if len(prefix) < 8:
            raise TruncatedRecordingError(f"{self.name}: it is cut off")
        if size > MAX_PART_BYTES or self.bytes_read > MAX_FILE_BYTES:
            raise RecordingError(f"{self.name}: too large")
        data = self.file.read(size)
        if len(data) < size:
            raise TruncatedRecordingError(f"{self.name}: it is cut off")
        if zlib.crc32(data) != int.from_bytes(prefix[4:], "big"):
            raise RecordingError(f"{self.name}: a part of it is damaged")
        return data

    def frames(self) -> Iterator[Frame]:
        """Yield the frames.

        Raises RecordingError at the first frame that can't be read; those before it are valid.
        """
        while packed := self.read_part():
            unpacker = zlib.decompressobj()
            try:
                data = unpacker.decompress(packed, MAX_PART_BYTES)
            except zlib.error as error:
                raise RecordingError(f"{self.name}: a part of it is damaged") from error
            if unpacker.unconsumed_tail or not unpacker.eof:
                raise RecordingError(f"{self.name}: a part of it is too large or not whole")
            offset = 0
            while offset < len(data):
                size = int.from_bytes(data[offset : offset + 4], "big")
                frame, offset = data[offset + 4 : offset + 4 + size], offset + 4 + size
                if offset > len(data):
                    raise RecordingError(f"{self.name}: a part of it is damaged")
                try:
                    yield unpack(frame)
                except FrameError as error:
                    raise RecordingError(f"{self.name}: {error}") from error
