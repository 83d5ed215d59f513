"""The ids of requests that may have run, so that none runs twice. No sockets, no clock.

A request that is not idempotent claims its id before its first attempt, and gives it back if it can't have
run. Otherwise the id stays claimed for a time after its end: it must not run again, whatever became of it.
The claim of a request that was served makes room for others where the table is full. Processes of one sidecar
share their claims: each writes its own table and reads the other one.
"""

from __future__ import annotations

import hashlib
import mmap
from enum import IntEnum

SLOT_COUNT = 4096  # of one table
BUCKET_SLOTS = 8  # an id may stand in any slot of one bucket
TABLE_BYTES = SLOT_COUNT * 16  # for each slot the digest of an id, and the time until which it is claimed
DIGEST_BYTES = 8
RETENTION_US = 15_000_000  # an id stays claimed for this long after the end of a request that may have run
# A later end of a claim is not the work of this program, or of another boot of the machine.
MAX_CLAIM_US = 3_600_000_000
SERVED_MARK = 1  # lowest bit of the end of a claim: its request was served


class Claim(IntEnum):
    """The result of a claim."""

    GRANTED = 0
    TAKEN = 1  # a request with this id may have run
    TABLE_FULL = 2


def digest_of(request_id: bytes) -> int:
    """Return the number that stands for an id in a table."""
    digest = int.from_bytes(hashlib.blake2b(request_id, digest_size=DIGEST_BYTES).digest(), "little")
    return digest or 1  # 0 marks a free slot


class ClaimTable:
    """A table of claims in a memory of TABLE_BYTES, which may be a file that processes share."""

    def __init__(self, memory: mmap.mmap | bytearray) -> None:
        view = memoryview(memory).cast("Q")
        self.digests = view[:SLOT_COUNT]
        self.ends_us = view[SLOT_COUNT:]  # by the monotonic clock, which all processes of a machine share

    def find(self, digest: int, now_us: int) -> int:
        """Return the slot of a claim that has not ended; -1 if there is none."""
        first = digest % (SLOT_COUNT // BUCKET_SLOTS) * BUCKET_SLOTS
        for slot in range(first, first + BUCKET_SLOTS):
            if self.digests[slot] == digest and now_us < self.ends_us[slot] <= now_us + MAX_CLAIM_US:
                return slot
        return -1

    def find_free(self, digest: int, now_us: int) -> int:
        """Return a slot for a new claim, if need be that of a served request that ends first; -1 = none."""
        first = digest % (SLOT_COUNT // BUCKET_SLOTS) * BUCKET_SLOTS
        served = -1
        for slot in range(first, first + BUCKET_SLOTS):
            end_us = self.ends_us[slot]
            if not now_us < end_us <= now_us + MAX_CLAIM_US:
                return slot
            if end_us & SERVED_MARK and (served < 0 or end_us < self.ends_us[served]):
                served = slot
        return served

    def set(self, slot: int, digest: int, end_us: int, is_served: bool = False) -> None:
        """Write a claim. The end is written last, so that no reader sees the claim of another id."""
        self.ends_us[slot] = 0
        self.digests[slot] = digest
        # The mark may take a microsecond from the claim.
        self.ends_us[slot] = (end_us - 1) | SERVED_MARK if is_served else end_us & ~SERVED_MARK


class RequestIds:
    """The claims of this process, and those of the other process of the sidecar."""

    def __init__(self) -> None:
        self.own = ClaimTable(bytearray(TABLE_BYTES))
        self.other: ClaimTable | None = None  # None = no other process shares its table
        self.last_id = b""
        self.last_digest = digest_of(b"")  # of the last id, which is mostly looked up again at once

    def digest(self, request_id: bytes) -> int:
        """Return the number that stands for an id."""
        if request_id != self.last_id:
            self.last_id, self.last_digest = request_id, digest_of(request_id)
        return self.last_digest

    def share(self, own: ClaimTable, other: ClaimTable) -> None:
        """Use tables that the processes of the sidecar share. No claim may be open."""
        self.own, self.other = own, other

    def is_taken(self, request_id: bytes, now_us: int) -> bool:
        """Return whether a request with this id may have run, in either process."""
        digest = self.digest(request_id)
        if self.own.find(digest, now_us) >= 0:
            return True
        return self.other is not None and self.other.find(digest, now_us) >= 0

    def claim(self, request_id: bytes, now_us: int, until_us: int) -> Claim:
        """Claim an id up to a time at which its request has certainly ended, and the retention from then on.

        The claim is written before the other table is read: if both processes claim at once, none of the two
        is granted.
        """
        digest = self.digest(request_id)
        if self.own.find(digest, now_us) >= 0:
            return Claim.TAKEN
        slot = self.own.find_free(digest, now_us)
        if slot < 0:
            return Claim.TABLE_FULL
        self.own.set(slot, digest, min(until_us + RETENTION_US, now_us + MAX_CLAIM_US))
        if self.other is not None and self.other.find(digest, now_us) >= 0:
            self.own.set(slot, 0, 0)
            return Claim.TAKEN
        return Claim.GRANTED

    def release(self, request_id: bytes, now_us: int) -> None:
        """Give an id back: its request has not run."""
        slot = self.own.find(self.digest(request_id), now_us)
        if slot >= 0:
            self.own.set(slot, 0, 0)

    def retain(self, request_id: bytes, now_us: int, is_served: bool) -> None:
        """Keep the claim for the retention from now on: the request has ended, and may have run."""
        digest = self.digest(request_id)
        slot = self.own.find(digest, now_us)
        if slot >= 0:
            self.own.set(slot, digest, now_us + RETENTION_US, is_served)
