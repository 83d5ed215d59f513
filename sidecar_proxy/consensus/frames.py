"""Frames between sidecars: the messages of Raft, state transfer, and requests to the leader.

The records are encoded as MessagePack arrays on the wire; field names are not part of the format. All
limits are checked when a frame is decoded.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus.errors import FrameError
from sidecar_proxy.consensus.messages import (
    MAX_ENTRY_DATA_BYTES,
    MAX_MESSAGE_ENTRIES,
    MAX_SNAPSHOT_BYTES,
    Append,
    AppendReply,
    Entry,
    Message,
    NodeId,
    TimeoutNow,
    UnsignedInt,
    VoteReply,
    VoteRequest,
    Voters,
)
from sidecar_proxy.gossip import codec

MAX_FRAME_BYTES = 128 * 1024
MAX_CHUNK_BYTES = 16 * 1024
MIN_BATCH_BYTES = 256
MAX_TEXT_CHARS = 512
FleetId = Annotated[str, Meta(max_length=32)]
Digest = Annotated[bytes, Meta(min_length=16, max_length=16)]


class SnapshotOffer(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """The leader's snapshot is newer than the target's log: the target fetches it, then confirms it.

    It stands for `InstallSnapshot`, whose data would be too long for a frame.
    """

    source: NodeId
    target: NodeId
    term: UnsignedInt
    index: UnsignedInt
    round: UnsignedInt


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Asks for what is committed after an index.

    The sender already has `snapshot_offset` bytes of the snapshot at `snapshot_index`.
    """

    number: UnsignedInt
    after: UnsignedInt
    snapshot_index: UnsignedInt
    snapshot_offset: UnsignedInt
    max_bytes: Annotated[int, Meta(ge=MIN_BATCH_BYTES, le=MAX_CHUNK_BYTES)]


class EntryBatch(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """The committed entries that follow the requested index, as many as fit."""

    number: UnsignedInt
    fleet_id: FleetId
    commit_index: UnsignedInt
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_MESSAGE_ENTRIES)]


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """A part of a snapshot that has replaced the requested entries."""

    number: UnsignedInt
    fleet_id: FleetId
    commit_index: UnsignedInt
    index: UnsignedInt
    term: UnsignedInt
    voters: Voters
    size: Annotated[int, Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    digest: Digest
    offset: UnsignedInt
    data: Annotated[bytes, Meta(max_length=MAX_CHUNK_BYTES)]


class FetchLater(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """The budget for state transfer is used up; the request may be repeated after a wait."""

    number: UnsignedInt
    wait_ms: Annotated[int, Meta(ge=0, le=60_000)]


class LeaderRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Asks the leader to commit a command or, if that is empty, to read the current state of `name`."""

    number: UnsignedInt
    command: Annotated[bytes, Meta(max_length=MAX_ENTRY_DATA_BYTES)]
    name: Annotated[str, Meta(max_length=256)] = ""


class LeaderReply(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """The answer to a `LeaderRequest`.

    `status` is one of the values of `proposals.ProposalStatus` that are sent between sidecars; `leader` is
    the leader as far as the sender knows.
    """

    number: UnsignedInt
    status: Annotated[str, Meta(max_length=16)]
    index: UnsignedInt
    text: Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
    leader: NodeId


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True):
    """A sidecar's state, broadcast by gossip."""

    incarnation: Annotated[str, Meta(max_length=16)]
    fleet_id: FleetId
    term: UnsignedInt
    leader: NodeId
    leader_since_ms: UnsignedInt  # for how long it has led
    is_voter: bool
    commit_index: UnsignedInt
    applied_index: UnsignedInt
    applied_at_ms: UnsignedInt  # when `applied_index` was applied, by the sender's wall clock
    process_id: Annotated[str, Meta(max_length=16)] = ""  # random for each process
    can_vote: bool = True  # it may become a voter


RaftMessage = VoteRequest | VoteReply | Append | AppendReply | TimeoutNow
Frame = (
    RaftMessage
    | SnapshotOffer
    | FetchRequest
    | EntryBatch
    | SnapshotChunk
    | FetchLater
    | LeaderRequest
    | LeaderReply
)
encode = msgspec.msgpack.Encoder().encode
frame_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
status_decoder = msgspec.msgpack.Decoder(ReplicaStatus)


def decode_frame(data: bytes, source: NodeId, target: NodeId) -> Frame:
    """Decodes a frame that `source`, as its session has proved, sent to `target`. Raises FrameError."""
    frame = _decode(frame_decoder, data)
    if isinstance(frame, Message | SnapshotOffer) and (frame.source != source or frame.target != target):
        raise FrameError("in another's name, or to another")
    if isinstance(frame, Append):
        for position, entry in enumerate(frame.entries):
            if entry.index != frame.prev_index + 1 + position or entry.term > frame.term:
                raise FrameError("entries with gaps")
    return frame


def decode_status(data: bytes) -> ReplicaStatus:
    """Decodes a status broadcast. Raises FrameError."""
    return _decode(status_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[codec.Decoded], data: bytes) -> codec.Decoded:
    try:
        return codec.decode(decoder, data)
    except codec.CodecError as error:
        raise FrameError(str(error)) from error
