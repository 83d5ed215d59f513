"""What a voter or learner keeps: one file of records in a folder of its own. Whoever calls does so from one
thread at a time; `save` returns once all is synced.

A record is a head of 16 bytes (length, a check of the head, a digest that takes in the last record's), the
payload and a last byte 0xFF. So what a crash has torn (the file ends within a record, or zeros stand where
the rest should be) is told from damage (all of the record is there, and wrong). A torn record was never
promised: it is cut. After damage nothing that was promised can be relied on.

`marker` is an empty file. When the log is begun its inode and the time at which that was made are written
into the log's head. The kernel sets both and nobody can set them back, so a folder that was copied back from
elsewhere, of an earlier time perhaps, is known for a copy.
"""

from __future__ import annotations

import hashlib
import os
import secrets
import struct
import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus.disk import Disk, RealDisk
from sidecar_proxy.consensus.log import PersistedState, RaftLog
from sidecar_proxy.consensus.messages import MOST_DATA, MOST_SNAPSHOT, Entry, HardState, Snapshot

MAGIC = b"wickspread agreement 1\n"
HEAD = struct.Struct("<II8s")
LAST = b"\xff"
MOST_RECORD = MOST_SNAPSHOT + 4096
SLICE = MOST_RECORD // (MOST_DATA * 2)  # entries of one record
MOST_FILE = 256 << 20  # bytes; a larger one is not ours


class Damaged(Exception):
    """What was promised can't be relied on; one line."""


class Copied(Damaged):
    """The folder is a copy, perhaps of an earlier time."""


class Owner(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """The first record."""

    incarnation: Annotated[str, Meta(min_length=16, max_length=16)]
    inode: int
    made_ns: int


class Hard(msgspec.Struct, array_like=True, frozen=True, tag=1):
    term: int
    vote: str
    commit: int  # known to be; written late, as it is learned again


class Entries(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """In place of what stood from the first one's index on."""

    entries: list[Entry]


class Whole(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """In place of all entries before."""

    snapshot: Snapshot


Record = Owner | Hard | Entries | Whole
encode = msgspec.msgpack.Encoder().encode
decoder: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


class Store:
    """The open file. All raise OSError; after one in `save` the same is to be saved again."""

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder = folder
        self.path = folder / "log"
        self.disk = disk or RealDisk()
        self.file = -1
        self.size = 0  # of what is good
        self.whole = True  # nothing stands behind `size`
        self.chain = b""  # the last record's digest
        self.owner = Owner("0" * 16, 0, 0)

    def open(self) -> PersistedState:
        """Raises Damaged where what is there can't be relied on; nothing is changed then. Begins a log where
        there is none.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.path.with_suffix(".part").unlink(missing_ok=True)
        if not self.path.exists():
            return self.begin()
        if self.path.stat().st_size > MOST_FILE:
            raise Damaged(f"{self.path}: larger than any of ours")
        data = self.path.read_bytes()
        kept, self.size, self.chain = read(data, self.path)
        self.owner = first(data, self.path)
        if mark(self.folder) != (self.owner.inode, self.owner.made_ns):
            raise Copied(f"{self.path}: the folder is a copy")
        self.file = os.open(self.path, os.O_RDWR | os.O_APPEND)
        if self.size < len(data):
            self.disk.cut(self.file, self.size)
            self.disk.sync(self.file)
        return kept

    def begin(self) -> PersistedState:
        """Nothing is known here, and nothing was ever promised under this incarnation."""
        marker = self.folder / "marker"
        marker.unlink(missing_ok=True)
        marker.touch()
        self.owner = Owner(secrets.token_hex(8), *mark(self.folder))
        kept = PersistedState(self.owner.incarnation)
        self.rewrite([self.owner])
        return kept

    def begin_again(self) -> PersistedState:
        """After Damaged: what was there is put aside, once; what was put aside before goes."""
        self.close()
        if self.path.exists():
            self.disk.rename(self.path, self.folder / "log.damaged")
        return self.begin()

    def save(
        self,
        hard: HardState | None,
        commit: int,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
        known: HardState,
    ) -> None:
        """Of a Ready. `known`: the hard state that holds with it; synced before it returns."""
        if snapshot is not None:
            self.compact(snapshot, entries, known, commit)
            return
        records: list[Record] = [Entries(list(entries))] if entries else []
        if hard is not None or commit:
            records.append(Hard(known.term, known.vote, commit))
        self.append(records, synced=bool(hard is not None or entries))

    def compact(self, snapshot: Snapshot, entries: Sequence[Entry], hard: HardState, commit: int) -> None:
        """A snapshot and what stands behind it, in place of the file."""
        records: list[Record] = [self.owner, Whole(snapshot)]
        records += [Entries(list(entries[at : at + SLICE])) for at in range(0, len(entries), SLICE)]
        self.rewrite([*records, Hard(hard.term, hard.vote, commit)])

    def append(self, records: list[Record], synced: bool) -> None:
        data, chain = framed(records, self.chain)
        if not self.whole:
            self.disk.cut(self.file, self.size)
        self.whole = False
        self.disk.write(self.file, data)
        if synced:
            self.disk.sync(self.file)
        self.size, self.chain, self.whole = self.size + len(data), chain, True

    def rewrite(self, records: list[Record]) -> None:
        part = self.path.with_suffix(".part")
        data, chain = framed(records, b"")
        data = MAGIC + data
        file = os.open(part, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.disk.write(file, data)
            self.disk.sync(file)
            self.disk.rename(part, self.path)
        except BaseException:
            os.close(file)
            raise
        self.close()
        # hazard: from the rename on the old file is gone, whatever comes of the sync of the folder
        self.file, self.size, self.chain, self.whole = file, len(data), chain, True
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            self.disk.sync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


def mark(folder: Path) -> tuple[int, int]:
    """What no copy of the folder has alike. (0, 0): there is no marker."""
    try:
        found = (folder / "marker").stat()
    except OSError:
        return 0, 0
    return found.st_ino, found.st_ctime_ns


def framed(records: Sequence[Record], chain: bytes) -> tuple[bytes, bytes]:
    """As they stand in the file, and the last one's digest."""
    parts = []
    for one in records:
        payload = encode(one)
        chain = digest(chain, payload)
        parts += [HEAD.pack(len(payload), head_check(len(payload), chain), chain), payload, LAST]
    return b"".join(parts), chain


def digest(chain: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=8, key=chain).digest()


def head_check(length: int, chain: bytes) -> int:
    return zlib.crc32(struct.pack("<I8s", length, chain))


def read(data: bytes, path: Path) -> tuple[PersistedState, int, bytes]:
    """What the file holds, the bytes of it that are good, and the last digest. Raises Damaged."""
    kept = PersistedState(first(data, path).incarnation)
    size, chain = len(MAGIC), b""
    try:
        for one, end, found in records(data):
            take(kept, one)
            size, chain = end, found
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise Damaged(f"{path}: damaged at byte {size}: {str(error)[:80]}") from error
    except Damaged as error:
        raise Damaged(f"{path}: damaged at byte {size}: {error}") from error
    kept.torn = len(data) - size
    kept.commit = max(kept.log.snapshot.index, min(kept.commit, kept.log.last_index))
    return kept, size, chain


def first(data: bytes, path: Path) -> Owner:
    """Raises Damaged."""
    if not data.startswith(MAGIC):
        raise Damaged(f"{path}: no log of this version")
    try:
        one, _, _ = next(records(data))
    except (StopIteration, Damaged, msgspec.DecodeError, msgspec.ValidationError) as error:
        # hazard: a log is begun by a rename, so its first record is never torn
        raise Damaged(f"{path}: its first record can't be read") from error
    if not isinstance(one, Owner):
        raise Damaged(f"{path}: its first record is of another kind")
    return one


def records(data: bytes) -> Iterator[tuple[Record, int, bytes]]:
    """Each with the bytes up to its end and its digest; ends before what is torn. Raises Damaged."""
    at, chain = len(MAGIC), b""
    there = len(data.rstrip(b"\0"))  # hazard: a file may have grown by zeros that were never written
    while at < len(data):
        if there - at < HEAD.size:
            return
        length, check, found = HEAD.unpack_from(data, at)
        if head_check(length, found) != check or length > MOST_RECORD:
            raise Damaged("no head of a record")
        end = at + HEAD.size + length + 1
        if there < end:
            return
        payload = data[at + HEAD.size : end - 1]
        if data[end - 1 : end] != LAST or digest(chain, payload) != found:
            raise Damaged("a record is not as it was written")
        yield decoder.decode(payload), end, found
        at, chain = end, found


def take(kept: PersistedState, one: Record) -> None:
    """The next record. Raises Damaged."""
    if isinstance(one, Hard):
        if one.term < kept.hard.term:
            raise Damaged("a term that goes back")
        kept.hard, kept.commit = HardState(one.term, one.vote), max(kept.commit, one.commit)
    elif isinstance(one, Whole):
        kept.log = RaftLog(one.snapshot)
    elif isinstance(one, Entries) and one.entries:
        log, index = kept.log, one.entries[0].index
        if not log.snapshot.index < index <= log.last_index + 1:
            raise Damaged("entries with a gap")
        del log.entries[index - log.snapshot.index - 1 :]
        log.entries += one.entries
