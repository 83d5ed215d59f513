"""Messages between voters and learners, and the entries of the replicated log.

The terms are those of Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014). The records are
encoded as MessagePack arrays on the wire and on disk, so the order of the fields is part of the format and
their names are not. All limits are checked when a record is decoded.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_NODE_ID_CHARS = 96
MAX_ENTRY_DATA_BYTES = 1024
MAX_VOTERS = 9
MAX_MESSAGE_ENTRIES = 64
MAX_SNAPSHOT_BYTES = 4 << 20

# A sidecar's name and its incarnation: a sidecar whose folder was emptied is another node.
NodeId = Annotated[str, Meta(max_length=MAX_NODE_ID_CHARS)]
UnsignedInt = Annotated[int, Meta(ge=0, le=1 << 53)]
Voters = Annotated[tuple[NodeId, ...], Meta(max_length=MAX_VOTERS)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the log: a command, or a new set of voters.

    The voters of an entry hold from that entry on, whether it is committed or not (4.1).
    """

    term: UnsignedInt
    index: UnsignedInt  # from 1
    data: Annotated[bytes, Meta(max_length=MAX_ENTRY_DATA_BYTES)] = b""
    voters: Voters | None = None


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """The state that is synced to disk before any message that depends on it is sent."""

    term: UnsignedInt = 0
    vote: NodeId = ""  # in this term


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state after all entries up to an index were applied."""

    index: UnsignedInt = 0
    term: UnsignedInt = 0
    voters: Voters = ()
    data: Annotated[bytes, Meta(max_length=MAX_SNAPSHOT_BYTES)] = b""


class Message(msgspec.Struct, array_like=True, frozen=True):
    """The fields that all Raft messages begin with."""

    source: NodeId
    target: NodeId
    term: UnsignedInt


class VoteRequest(Message, array_like=True, frozen=True, tag=1):
    """A candidate asks for a vote; a pre-vote only asks whether it would be granted (9.6)."""

    last_index: UnsignedInt
    last_term: UnsignedInt
    pre_vote: bool = False
    transfer: bool = False  # the leader asked for this election, so a live leader is no reason to ignore it


class VoteReply(Message, array_like=True, frozen=True, tag=2):
    """The answer to a `VoteRequest`."""

    granted: bool
    pre_vote: bool = False


class Append(Message, array_like=True, frozen=True, tag=3):
    """AppendEntries: the entries after `prev_index`; without entries it is a heartbeat.

    The reply repeats `round`, which read index (6.4) and check quorum (6.2) count.
    """

    prev_index: UnsignedInt
    prev_term: UnsignedInt
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_MESSAGE_ENTRIES)]
    commit: UnsignedInt
    round: UnsignedInt = 0


class AppendReply(Message, array_like=True, frozen=True, tag=4):
    """The answer to an `Append`.

    With `ok` the logs match up to `match`; without it `match` is the highest index at which they may match.
    """

    ok: bool
    match: UnsignedInt
    round: UnsignedInt = 0


class InstallSnapshot(Message, array_like=True, frozen=True, tag=5):
    """A complete snapshot. Between processes it is fetched in chunks instead (state_transfer.py)."""

    snapshot: Snapshot
    round: UnsignedInt = 0


class TimeoutNow(Message, array_like=True, frozen=True, tag=6):
    """The leader transfers its leadership: the target starts an election at once (3.10)."""
