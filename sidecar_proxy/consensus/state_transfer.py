"""Transfer of committed entries and snapshots to learners, and to voters that are far behind.

The receiver requests what follows its own log from a voter, one request at a time, and resumes an interrupted
snapshot. The sender limits the bytes of its responses to a rate. This module does no I/O.
"""

from __future__ import annotations

import functools
import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.frames import (
    MAX_CHUNK_BYTES,
    EntryBatch,
    FetchLater,
    FetchRequest,
    SnapshotChunk,
)
from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import MAX_MESSAGE_ENTRIES, Entry, NodeId, Snapshot

RESPONSE_TIMEOUT_US = 3_000_000
# Minimum interval between two requests while up to date; each one is extended by up to half at random.
POLL_INTERVAL_US = 10_000_000
# A new commit becomes known to all sidecars at about the same time by gossip. Their requests are spread at
# random over this time for each sidecar of the fleet, so that the voters do not get all of them at once.
SPREAD_PER_SIDECAR_US = 2_000
MAX_SPREAD_US = 1_000_000
MIN_CHUNK_BYTES = 512
# Limits of the wait after which the receiver may retry when the sender's budget is used up.
MAX_WAIT_MS = 10_000
MIN_WAIT_MS = 50
# Estimated bytes on the wire in addition to the data of an entry, a batch and a chunk, for the budget.
ENTRY_OVERHEAD_BYTES = 32
BATCH_OVERHEAD_BYTES = 80
CHUNK_OVERHEAD_BYTES = 160


@dataclass(slots=True)
class PartialSnapshot:
    """The part of a snapshot that has been received so far."""

    index: int
    digest: bytes
    data: bytearray = field(default_factory=bytearray)


class Fetcher:
    """The receiving side of state transfer: decides when to send which request to which voter."""

    def __init__(self, rng: random.Random, now_us: int) -> None:
        self.rng = rng
        self.request_number = 0  # the number of the pending request; 0 = none is pending
        self.source: NodeId = ""
        self.requested_at_us = 0
        self.due_us = now_us  # the time at which the next request is due
        self.is_behind = False  # whether a voter is known to have committed more than this sidecar has
        self.failed_source: NodeId = ""  # the source whose last request failed; another one is preferred
        self.max_bytes = MAX_CHUNK_BYTES  # the limit of the next response; it adapts to the link
        self.partial: PartialSnapshot | None = None

    @property
    def received_bytes(self) -> int:
        """The number of bytes of the partial snapshot; 0 if there is none."""
        return len(self.partial.data) if self.partial else 0

    def on_newer_commit(self, now_us: int, sidecar_count: int) -> None:
        """Schedules a request soon, as a voter has committed more than this sidecar has."""
        if not self.is_behind:
            self.is_behind = True
            spread_us = min(MAX_SPREAD_US, sidecar_count * SPREAD_PER_SIDECAR_US)
            self.due_us = min(self.due_us, now_us + int(self.rng.random() * spread_us))

    def next_request(
        self, now_us: int, voters: Sequence[NodeId], after: int
    ) -> tuple[NodeId, FetchRequest] | None:
        """Returns the next request and its target, or None if none is due."""
        if self.request_number and now_us - self.requested_at_us >= RESPONSE_TIMEOUT_US:
            self.failed_source = self.source
            self.request_number = 0
            self.max_bytes = max(MIN_CHUNK_BYTES, self.max_bytes // 4)  # the link may be too slow for more
            self.due_us = now_us
        if self.request_number or now_us < self.due_us or not voters:
            return None
        sources = [node for node in voters if node != self.failed_source] or list(voters)
        # A partial snapshot is continued from the same node, as the snapshot of another node may differ.
        if not self.partial or self.source not in sources:
            self.source = self.rng.choice(sources)
        self.request_number = self.rng.getrandbits(48) + 1
        self.requested_at_us = now_us
        snapshot_index = self.partial.index if self.partial else 0
        request = FetchRequest(
            self.request_number, after, snapshot_index, self.received_bytes, self.max_bytes
        )
        return self.source, request

    def accept_response(self, response: EntryBatch | SnapshotChunk | FetchLater, now_us: int) -> bool:
        """Tells whether a response belongs to the pending request, which is then complete."""
        if response.number != self.request_number or not self.request_number:
            return False
        self.request_number = 0
        self.failed_source = ""
        if isinstance(response, FetchLater):
            self.due_us = now_us + response.wait_ms * 1000
        return True

    def schedule_next(self, now_us: int, has_more: bool) -> None:
        """Schedules the next request after a response: at once if there is more, else at the next poll."""
        self.is_behind = has_more
        if has_more:
            self.due_us = now_us
        else:
            self.due_us = now_us + int(POLL_INTERVAL_US * (1 + self.rng.random() / 2))

    def on_link_broken(self, node: NodeId, now_us: int) -> None:
        """Abandons the pending request if it went to this node, so that another node gets the next one."""
        if self.request_number and self.source == node:
            self.request_number = 0
            self.failed_source = node
            self.due_us = now_us

    def add_chunk(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Adds a chunk. Returns the snapshot if it is now complete and its digest matches, else None.

        A chunk of another snapshot replaces the partial one; a chunk that does not continue it is ignored.
        """
        partial = self.partial
        if partial is None or (partial.index, partial.digest) != (chunk.index, chunk.digest):
            partial = PartialSnapshot(chunk.index, chunk.digest)
            self.partial = partial
        if chunk.offset != len(partial.data) or len(partial.data) + len(chunk.data) > chunk.size:
            return None
        partial.data += chunk.data
        self.max_bytes = min(MAX_CHUNK_BYTES, self.max_bytes * 2)
        if len(partial.data) < chunk.size:
            return None
        self.partial = None
        data = bytes(partial.data)
        if snapshot_digest(data) != chunk.digest:
            return None
        return Snapshot(chunk.index, chunk.term, chunk.voters, data)


class TransferBudget:
    """Limits the bytes a second to all receivers together: a token bucket that holds one second's bytes."""

    def __init__(self, bytes_per_s: float, now_us: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.available_bytes = bytes_per_s
        self.updated_us = now_us

    def take(self, size: int, now_us: int) -> int:
        """Takes bytes and returns 0, or returns after how many milliseconds to retry.

        A response may exceed the available bytes; the next one then waits until the deficit is refilled.
        """
        elapsed_us = max(0, now_us - self.updated_us)
        refill_bytes = self.bytes_per_s * elapsed_us / 1e6
        self.available_bytes = min(self.bytes_per_s, self.available_bytes + refill_bytes)
        self.updated_us = now_us
        if self.available_bytes <= 0:
            deficit_ms = int(-self.available_bytes / self.bytes_per_s * 1000)
            return min(MAX_WAIT_MS, deficit_ms + MIN_WAIT_MS)
        self.available_bytes -= size
        return 0


def create_response(
    request: FetchRequest, log: RaftLog, commit_index: int, fleet_id: str
) -> EntryBatch | SnapshotChunk:
    """Returns the response to a request: entries, or a chunk of the snapshot if that has replaced them."""
    if request.after >= log.snapshot.index:
        entries = _entries_for(request, log, commit_index)
        return EntryBatch(request.number, fleet_id, commit_index, tuple(entries))
    snapshot = log.snapshot
    offset = 0
    if request.snapshot_index == snapshot.index and request.snapshot_offset <= len(snapshot.data):
        offset = request.snapshot_offset
    return SnapshotChunk(
        request.number,
        fleet_id,
        commit_index,
        snapshot.index,
        snapshot.term,
        snapshot.voters,
        len(snapshot.data),
        snapshot_digest(snapshot.data),
        offset,
        snapshot.data[offset : offset + request.max_bytes],
    )


def _entries_for(request: FetchRequest, log: RaftLog, commit_index: int) -> list[Entry]:
    entries: list[Entry] = []
    size = 0
    last_index = min(commit_index, request.after + MAX_MESSAGE_ENTRIES)
    for entry in log.entries_between(request.after + 1, last_index):
        size += len(entry.data) + ENTRY_OVERHEAD_BYTES
        if entries and size > request.max_bytes:
            break
        entries.append(entry)
    return entries


def estimated_size(response: EntryBatch | SnapshotChunk) -> int:
    """Returns the estimated number of bytes of a response on the wire."""
    if isinstance(response, SnapshotChunk):
        return CHUNK_OVERHEAD_BYTES + len(response.data)
    return BATCH_OVERHEAD_BYTES + sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in response.entries)


@functools.lru_cache(maxsize=2)  # cached, as each chunk of this sidecar's snapshot carries its digest
def snapshot_digest(data: bytes) -> bytes:
    """Returns the digest that identifies the content of a snapshot."""
    return hashlib.blake2b(data, digest_size=16).digest()
