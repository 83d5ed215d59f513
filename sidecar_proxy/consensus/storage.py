"""The persisted log of a voter or learner: a file of records, `log`, in the node's state folder.

`LogStore.save` returns once everything is synced. Only one thread may use a store at a time.

A record consists of a 16-byte header (payload length, checksum of the header, digest of the payload chained
to the digest of the previous record), the payload, and a final byte 0xFF. This distinguishes a torn record
(the file ends within the record, or contains only zeros from some byte of the record on) from a damaged one
(the record is complete but its content is wrong). A torn record was never acknowledged and is truncated.
After damage, no acknowledged entry or vote in the file can be relied on.

`marker` is an empty file. Its inode number and inode change time are stored in the first record when the log
is created. Both are set by the kernel and can't be set by a program, so a folder that was copied or restored,
perhaps from an earlier state, is recognized as a copy.
"""

from __future__ import annotations

import hashlib
import os
import secrets
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus.disk import Disk, RealDisk
from sidecar_proxy.consensus.errors import CopiedFolderError, DamagedLogError, RecordError
from sidecar_proxy.consensus.log import PersistedState, RaftLog
from sidecar_proxy.consensus.messages import (
    MAX_ENTRY_DATA_BYTES,
    MAX_SNAPSHOT_BYTES,
    Entry,
    HardState,
    Snapshot,
)

FILE_MAGIC = b"wickspread agreement 1\n"
RECORD_HEADER = struct.Struct("<II8s")  # payload length, header checksum, digest
RECORD_END = b"\xff"
MAX_RECORD_BYTES = MAX_SNAPSHOT_BYTES + 4096
MAX_RECORD_ENTRIES = MAX_RECORD_BYTES // (MAX_ENTRY_DATA_BYTES * 2)
MAX_FILE_BYTES = 256 << 20  # this program never writes a larger log file
INCARNATION_CHARS = 16
MAX_DECODER_MESSAGE_CHARS = 80  # longer decoder messages are cut in DamagedLogError


class HeaderRecord(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """The first record: the incarnation of the log, and the identity of the marker file."""

    incarnation: Annotated[str, Meta(min_length=INCARNATION_CHARS, max_length=INCARNATION_CHARS)]
    marker_inode: int
    marker_changed_ns: int


class HardStateRecord(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The hard state and the commit index; the latter need not be synced, as the leader sends it again."""

    term: int
    vote: str
    commit_index: int


class EntriesRecord(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Entries that replace the log from the index of the first of them."""

    entries: list[Entry]


class SnapshotRecord(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A snapshot that replaces all entries before this record."""

    snapshot: Snapshot


Record = HeaderRecord | HardStateRecord | EntriesRecord | SnapshotRecord
encode = msgspec.msgpack.Encoder().encode
record_decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


@dataclass(slots=True, frozen=True)
class FramedRecord:
    """A decoded record and its position in the file."""

    record: Record
    end: int  # file offset of the end of the record, in bytes
    digest: bytes


class LogStore:
    """The log file in a state folder. All methods raise OSError.

    After an OSError in `save`, the caller has to save the same state again.
    """

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder = folder
        self.path = folder / "log"
        self.disk = disk or RealDisk()
        self.fd = -1
        self.size = 0  # size in bytes of the complete records, and of the magic before them
        self.has_clean_end = True  # whether the file ends at `size`; False after a write that failed
        self.last_digest = b""
        self.header = HeaderRecord("0" * INCARNATION_CHARS, 0, 0)

    def open(self) -> PersistedState:
        """Reads the log, or creates an empty one if there is none.

        Raises DamagedLogError, and leaves the file as it is, if its content can't be relied on.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.path.with_suffix(".part").unlink(missing_ok=True)
        if not self.path.exists():
            return self.create()
        file_bytes = self.path.stat().st_size
        if file_bytes > MAX_FILE_BYTES:
            raise DamagedLogError(self.path, f"size is {file_bytes} bytes; the maximum is {MAX_FILE_BYTES}")
        data = self.path.read_bytes()
        state, self.size, self.last_digest = read_log(data, self.path)
        self.header = read_header(data, self.path)
        if marker_identity(self.folder) != (self.header.marker_inode, self.header.marker_changed_ns):
            raise CopiedFolderError(self.path)
        self.fd = os.open(self.path, os.O_RDWR | os.O_APPEND)
        if self.size < len(data):
            self.disk.truncate(self.fd, self.size)
            self.disk.sync(self.fd)
        return state

    def create(self) -> PersistedState:
        """Creates an empty log with a new incarnation, which has acknowledged nothing yet."""
        marker = self.folder / "marker"
        marker.unlink(missing_ok=True)
        marker.touch()
        self.header = HeaderRecord(secrets.token_hex(8), *marker_identity(self.folder))
        state = PersistedState(self.header.incarnation)
        self._rewrite([self.header])
        return state

    def recreate(self) -> PersistedState:
        """Creates an empty log after DamagedLogError.

        The damaged file is kept as `log.damaged`, and replaces an earlier file of that name.
        """
        self.close()
        if self.path.exists():
            self.disk.rename(self.path, self.folder / "log.damaged")
        return self.create()

    def save(
        self,
        hard_state: HardState | None,
        commit_index: int,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
        current_hard_state: HardState,
    ) -> None:
        """Writes and syncs the content of a Ready.

        `hard_state` is None if it has not changed; `current_hard_state` is always set.
        """
        if snapshot is not None:
            self._save_snapshot(snapshot, entries, current_hard_state, commit_index)
            return
        records: list[Record] = [EntriesRecord(list(entries))] if entries else []
        if hard_state is not None or commit_index:
            records.append(HardStateRecord(current_hard_state.term, current_hard_state.vote, commit_index))
        self._append(records, needs_sync=bool(hard_state is not None or entries))

    def _save_snapshot(
        self, snapshot: Snapshot, entries: Sequence[Entry], hard_state: HardState, commit_index: int
    ) -> None:
        records: list[Record] = [self.header, SnapshotRecord(snapshot)]
        for start in range(0, len(entries), MAX_RECORD_ENTRIES):
            records.append(EntriesRecord(list(entries[start : start + MAX_RECORD_ENTRIES])))
        self._rewrite([*records, HardStateRecord(hard_state.term, hard_state.vote, commit_index)])

    def _append(self, records: list[Record], needs_sync: bool) -> None:
        data, digest = frame_records(records, self.last_digest)
        if not self.has_clean_end:
            self.disk.truncate(self.fd, self.size)
        self.has_clean_end = False
        self.disk.write(self.fd, data)
        if needs_sync:
            self.disk.sync(self.fd)
        self.size += len(data)
        self.last_digest = digest
        self.has_clean_end = True

    def _rewrite(self, records: list[Record]) -> None:
        """Replaces the file atomically by one with these records."""
        temporary_path = self.path.with_suffix(".part")
        data, digest = frame_records(records, b"")
        data = FILE_MAGIC + data
        fd = os.open(temporary_path, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.disk.write(fd, data)
            self.disk.sync(fd)
            self.disk.rename(temporary_path, self.path)
        except BaseException:
            os.close(fd)
            raise
        self.close()
        # The rename has already replaced the old file, even if the sync of the folder fails.
        self.fd = fd
        self.size = len(data)
        self.last_digest = digest
        self.has_clean_end = True
        folder_fd = os.open(self.folder, os.O_RDONLY)
        try:
            self.disk.sync(folder_fd)
        finally:
            os.close(folder_fd)

    def close(self) -> None:
        """Closes the file; the store may be opened again."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1


def marker_identity(folder: Path) -> tuple[int, int]:
    """Returns the inode number and change time (ns) of the marker, (0, 0) if there is no marker.

    A copy of the folder has a marker with another identity.
    """
    try:
        status = (folder / "marker").stat()
    except OSError:
        return 0, 0
    return status.st_ino, status.st_ctime_ns


def frame_records(records: Sequence[Record], last_digest: bytes) -> tuple[bytes, bytes]:
    """Returns the encoded records and the digest of the last of them.

    `last_digest` is the digest of the record before them.
    """
    parts = []
    for record in records:
        payload = encode(record)
        last_digest = chained_digest(last_digest, payload)
        checksum = header_checksum(len(payload), last_digest)
        parts += [RECORD_HEADER.pack(len(payload), checksum, last_digest), payload, RECORD_END]
    return b"".join(parts), last_digest


def chained_digest(last_digest: bytes, payload: bytes) -> bytes:
    """Returns the digest of a payload that follows the record with `last_digest`."""
    return hashlib.blake2b(payload, digest_size=8, key=last_digest).digest()


def header_checksum(length: int, digest: bytes) -> int:
    """Returns the CRC-32 of a record's header fields."""
    return zlib.crc32(struct.pack("<I8s", length, digest))


def read_log(data: bytes, path: Path) -> tuple[PersistedState, int, bytes]:
    """Returns the persisted state, the size in bytes of the complete records, and the last digest.

    `data` is the content of the file; `path` is used in errors. Raises DamagedLogError.
    """
    state = PersistedState(read_header(data, path).incarnation)
    size = len(FILE_MAGIC)
    digest = b""
    try:
        for framed in iterate_records(data):
            apply_record(state, framed.record)
            size = framed.end
            digest = framed.digest
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise DamagedLogError(path, str(error)[:MAX_DECODER_MESSAGE_CHARS], size) from error
    except RecordError as error:
        raise DamagedLogError(path, error.problem, size) from error
    state.torn_bytes = len(data) - size
    state.commit_index = max(state.log.snapshot.index, min(state.commit_index, state.log.last_index))
    return state, size, digest


def read_header(data: bytes, path: Path) -> HeaderRecord:
    """Returns the first record of a file's content. Raises DamagedLogError."""
    if not data.startswith(FILE_MAGIC):
        raise DamagedLogError(path, f"not a log of this version: it does not start with {FILE_MAGIC!r}")
    try:
        record = next(iterate_records(data)).record
    except (StopIteration, RecordError, msgspec.DecodeError, msgspec.ValidationError) as error:
        # The file is created by a rename, so its first record is never torn.
        raise DamagedLogError(path, "the first record is incomplete, damaged or can't be decoded") from error
    if not isinstance(record, HeaderRecord):
        raise DamagedLogError(path, f"the first record is of type {type(record).__name__}, not HeaderRecord")
    return record


def iterate_records(data: bytes) -> Iterator[FramedRecord]:
    """Yields the complete records in a file's content, up to a torn record if there is one.

    Raises RecordError for a damaged record, and msgspec's errors for one that can't be decoded.
    """
    position = len(FILE_MAGIC)
    last_digest = b""
    written_size = len(data.rstrip(b"\0"))  # a crash may leave zeros at the end, where data was not written
    while position < len(data):
        if written_size - position < RECORD_HEADER.size:
            return
        length, checksum, digest = RECORD_HEADER.unpack_from(data, position)
        if header_checksum(length, digest) != checksum or length > MAX_RECORD_BYTES:
            raise RecordError("the header of a record is damaged")
        end = position + RECORD_HEADER.size + length + len(RECORD_END)
        if written_size < end:
            return
        payload = data[position + RECORD_HEADER.size : end - len(RECORD_END)]
        if data[end - len(RECORD_END) : end] != RECORD_END or chained_digest(last_digest, payload) != digest:
            raise RecordError("the content of a record is damaged")
        yield FramedRecord(record_decoder.decode(payload), end, digest)
        position = end
        last_digest = digest


def apply_record(state: PersistedState, record: Record) -> None:
    """Applies the next record of a file to the state read so far.

    Raises RecordError if the record is inconsistent with that state.
    """
    if isinstance(record, HardStateRecord):
        if record.term < state.hard_state.term:
            raise RecordError(f"term {record.term} is lower than the previous term {state.hard_state.term}")
        state.hard_state = HardState(record.term, record.vote)
        state.commit_index = max(state.commit_index, record.commit_index)
    elif isinstance(record, SnapshotRecord):
        state.log = RaftLog(record.snapshot)
    elif isinstance(record, EntriesRecord) and record.entries:
        log = state.log
        first_index = record.entries[0].index
        if not log.snapshot.index < first_index <= log.last_index + 1:
            raise RecordError(
                f"entries start at index {first_index}; expected"
                f" {log.snapshot.index + 1} to {log.last_index + 1}"
            )
        del log.entries[first_index - log.snapshot.index - 1 :]
        log.entries += record.entries
