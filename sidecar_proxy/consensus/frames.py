"""What sidecars say to one another about the agreed state, beside the messages of Raft itself. Records that
are their own forms on the wire; all limits are checked where one is read.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus.messages import (
    MOST_DATA,
    MOST_ENTRIES,
    MOST_SNAPSHOT,
    Append,
    AppendReply,
    Entry,
    Message,
    Node,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    Voters,
    Whole,
)
from sidecar_proxy.gossip import codec

MOST_FRAME = 128 * 1024  # bytes
MOST_PIECE = 16 * 1024
MOST_TEXT = 512
Fleet = Annotated[str, Meta(max_length=32)]
Digest = Annotated[bytes, Meta(min_length=16, max_length=16)]


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """In place of a snapshot that is to be installed: fetch it, then say that it is there."""

    source: Node
    target: Node
    term: Whole
    index: Whole
    round: Whole


class Want(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """What is committed after that index. Of the snapshot at `index` there are `offset` bytes already."""

    number: Whole
    after: Whole
    index: Whole
    offset: Whole
    most: Annotated[int, Meta(ge=256, le=MOST_PIECE)]  # bytes


class Batch(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Committed entries that follow, as far as they go."""

    number: Whole
    fleet: Fleet
    commit: Whole
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MOST_ENTRIES)]


class Piece(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Of a snapshot: those entries are no more there one by one."""

    number: Whole
    fleet: Fleet
    commit: Whole
    index: Whole
    term: Whole
    voters: Voters
    size: Annotated[int, Meta(ge=0, le=MOST_SNAPSHOT)]
    digest: Digest
    offset: Whole
    data: Annotated[bytes, Meta(max_length=MOST_PIECE)]


class Later(msgspec.Struct, array_like=True, frozen=True, tag=14):
    number: Whole
    wait_ms: Annotated[int, Meta(ge=0, le=60_000)]


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Of the leader: let this word be committed, or, without one, what holds of `name` now."""

    number: Whole
    word: Annotated[bytes, Meta(max_length=MOST_DATA)]
    name: Annotated[str, Meta(max_length=256)] = ""


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """`what`: done, error, unknown (it may be committed yet), elsewhere (nothing was done; `leader` may
    know).
    """

    number: Whole
    what: Annotated[str, Meta(max_length=16)]
    index: Whole
    text: Annotated[str, Meta(max_length=MOST_TEXT)]
    leader: Node


class ReplicaStatus(msgspec.Struct, array_like=True, frozen=True):
    """By gossip to all: what this sidecar is and has."""

    incarnation: Annotated[str, Meta(max_length=16)]
    fleet: Fleet
    term: Whole
    leader: Node
    since_ms: Whole  # how long that one has led
    votes: bool
    commit: Whole
    applied: Whole
    at_ms: Whole  # when that took effect here, by its wall clock
    life: Annotated[str, Meta(max_length=16)] = ""  # of this process; another one has another
    able: bool = True  # it may be taken in as a voter


Raft = VoteRequest | VoteReply | Append | AppendReply | TimeoutNow
Frame = Raft | Offer | Want | Batch | Piece | Later | Ask | Answer
encode = msgspec.msgpack.Encoder().encode
frame_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)
here_decoder = msgspec.msgpack.Decoder(ReplicaStatus)


class FrameError(ValueError):
    """Not of this form; one line."""


def read(data: bytes, source: Node, target: Node) -> Frame:
    """One that came from `source`, who has shown to be that one. Raises FrameError."""
    frame = decoded(frame_decoder, data)
    if isinstance(frame, Message | Offer) and (frame.source != source or frame.target != target):
        raise FrameError("in another's name, or to another")
    if isinstance(frame, Append) and any(
        one.index != frame.prev_index + 1 + n or one.term > frame.term for n, one in enumerate(frame.entries)
    ):
        raise FrameError("entries with gaps")
    return frame


def read_here(data: bytes) -> ReplicaStatus:
    """Raises FrameError."""
    return decoded(here_decoder, data)


def decoded(decoder: msgspec.msgpack.Decoder[codec.Form], data: bytes) -> codec.Form:
    """Raises FrameError."""
    try:
        return codec.read(decoder, data)
    except codec.CodecError as error:
        raise FrameError(str(error)) from error
