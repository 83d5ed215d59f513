"""Raft messages between voters and learners, and the entries of the replicated log.

The terminology and the section numbers in parentheses are those of Ongaro, "Consensus: Bridging Theory and
Practice" (2014). The structures are encoded as MessagePack arrays on the wire and on disk, so the order of
the fields is part of the format and their names are not. All limits are checked on decoding.
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

# A sidecar's name and the incarnation of its log. A sidecar that has lost its log gets a new incarnation and
# becomes another node, as it may have lost entries and votes that it had acknowledged.
NodeId = Annotated[str, Meta(max_length=MAX_NODE_ID_CHARS)]
UnsignedInt = Annotated[int, Meta(ge=0, le=1 << 53)]
Voters = Annotated[tuple[NodeId, ...], Meta(max_length=MAX_VOTERS)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the log: a command, or a new set of voters.

    The voters in an entry take effect as soon as it is in the log, whether it is committed or not (4.1).
    """

    term: UnsignedInt
    index: UnsignedInt  # the first entry of a log has index 1
    data: Annotated[bytes, Meta(max_length=MAX_ENTRY_DATA_BYTES)] = b""
    voters: Voters | None = None


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """The state that is synced to disk before any message that depends on it is sent."""

    term: UnsignedInt = 0
    vote: NodeId = ""  # the node that got this node's vote in `term`; "" = none


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
    """RequestVote: a candidate requests a vote, or with `pre_vote` checks if it would be granted (9.6)."""

    last_index: UnsignedInt
    last_term: UnsignedInt
    pre_vote: bool = False
    transfer: bool = (
        False  # the leader requested this election, so an active leader is no reason to ignore it
    )


class VoteReply(Message, array_like=True, frozen=True, tag=2):
    """The reply to a `VoteRequest`."""

    granted: bool
    pre_vote: bool = False


class Append(Message, array_like=True, frozen=True, tag=3):
    """AppendEntries: the entries after `prev_index`; without entries it is a heartbeat.

    The reply repeats `round`, the leader's heartbeat round: a linearizable read (6.4) is confirmed by a
    majority of replies to its round or a later one. Replies of any round count for check quorum (6.2).
    """

    prev_index: UnsignedInt
    prev_term: UnsignedInt
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_MESSAGE_ENTRIES)]
    commit: UnsignedInt
    round: UnsignedInt = 0


class AppendReply(Message, array_like=True, frozen=True, tag=4):
    """The reply to an `Append` or an `InstallSnapshot`.

    With `ok` the logs match up to index `match`; without it, `match` is the highest index at which they may
    match.
    """

    ok: bool
    match: UnsignedInt
    round: UnsignedInt = 0


class InstallSnapshot(Message, array_like=True, frozen=True, tag=5):
    """A complete snapshot. Between processes, snapshots are fetched in chunks instead (state_transfer.py)."""

    snapshot: Snapshot
    round: UnsignedInt = 0


class TimeoutNow(Message, array_like=True, frozen=True, tag=6):
    """Leadership transfer: the target starts an election immediately (3.10)."""
