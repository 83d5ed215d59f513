"""The frames that sidecars exchange: Raft messages, state transfer, and requests to the leader.

The records are encoded as MessagePack arrays, so the order of the fields is part of the format and their
names are not. All limits are checked when a frame is decoded.
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
    """Announces that the leader's snapshot is newer than the target's log, so that the target fetches it.

    It is sent instead of `InstallSnapshot`, whose data would be too long for a frame.
    """

    source: NodeId
    target: NodeId
    term: UnsignedInt
    index: UnsignedInt
    round: UnsignedInt


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Requests the committed entries after an index.

    `snapshot_offset` is the number of bytes that the sender already has of the snapshot at `snapshot_index`;
    both are 0 if it has none. The response repeats `number`.
    """

    number: UnsignedInt
    after: UnsignedInt
    snapshot_index: UnsignedInt
    snapshot_offset: UnsignedInt
    max_bytes: Annotated[int, Meta(ge=MIN_BATCH_BYTES, le=MAX_CHUNK_BYTES)]


class EntryBatch(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """The response with the committed entries after the requested index, as many as fit."""

    number: UnsignedInt
    fleet_id: FleetId
    commit_index: UnsignedInt
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_MESSAGE_ENTRIES)]


class SnapshotChunk(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The response with a part of the snapshot that has replaced the requested entries.

    `offset` is the position of `data` in the snapshot, whose data have `size` bytes and this digest.
    """

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
    """The response if the budget for state transfer is used up: the request may be repeated after a wait."""

    number: UnsignedInt
    wait_ms: Annotated[int, Meta(ge=0, le=60_000)]


class LeaderRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Asks the leader to commit a command or, if `command` is empty, to read the current state of `name`.

    The reply repeats `number`.
    """

    number: UnsignedInt
    command: Annotated[bytes, Meta(max_length=MAX_ENTRY_DATA_BYTES)]
    name: Annotated[str, Meta(max_length=256)] = ""


class LeaderReply(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """The answer to a `LeaderRequest`.

    `status` is a value of `proposals.ProposalStatus`; `index` is the log index of the command; `leader` is
    the leader as far as the sender knows, or "".
    """

    number: UnsignedInt
    status: Annotated[str, Meta(max_length=16)]
    index: UnsignedInt
    text: Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
    leader: NodeId


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True):
    """The state of a sidecar's replica, which it broadcasts by gossip."""

    incarnation: Annotated[str, Meta(max_length=16)]
    fleet_id: FleetId
    term: UnsignedInt
    leader: NodeId
    leader_since_ms: UnsignedInt  # milliseconds since the leader known to the sender last changed
    is_voter: bool
    commit_index: UnsignedInt
    applied_index: UnsignedInt
    applied_at_ms: UnsignedInt  # the time at which `applied_index` was applied, by the sender's wall clock
    process_id: Annotated[str, Meta(max_length=16)] = ""  # a random id of the sender's process
    can_vote: bool = True  # whether the sender may become a voter


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
    """Decodes a frame that the authenticated node `source` sent to `target`. Raises FrameError.

    A frame that names another source or target is rejected, and so are entries that are not consecutive or
    have a later term than their message.
    """
    frame = _decode(frame_decoder, data)
    if isinstance(frame, Message | SnapshotOffer) and (frame.source != source or frame.target != target):
        raise FrameError(f"the frame's source or target is not that of its connection ({source} to {target})")
    if isinstance(frame, Append):
        for position, entry in enumerate(frame.entries):
            if entry.index != frame.prev_index + 1 + position or entry.term > frame.term:
                raise FrameError(
                    "the entries of an append are not consecutive, or have a later term than the append"
                )
    return frame


def decode_status(data: bytes) -> ReplicaStatus:
    """Decodes a status that a peer has broadcast. Raises FrameError."""
    return _decode(status_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[codec.Decoded], data: bytes) -> codec.Decoded:
    try:
        return codec.decode(decoder, data)
    except codec.CodecError as error:
        raise FrameError(str(error)) from error
