"""What voters and learners say to one another, and what is in the log. Pure records, which are their own
forms on the wire and on disk (MessagePack arrays; limits are checked where one is read). Terms as in Raft
(Ongaro, "Consensus: Bridging Theory and Practice", 2014).
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MOST_NODE = 96  # characters
MOST_DATA = 1024  # bytes of an entry
MOST_VOTERS = 9
MOST_ENTRIES = 64  # in one message
MOST_SNAPSHOT = 4 << 20  # bytes

Node = Annotated[str, Meta(max_length=MOST_NODE)]  # a name and an incarnation: an emptied folder is another
Whole = Annotated[int, Meta(ge=0, le=1 << 53)]
Voters = Annotated[tuple[Node, ...], Meta(max_length=MOST_VOTERS)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One of the log. `voters` in place of data: they are the voters from this entry on, committed or not."""

    term: Whole
    index: Whole  # from 1
    data: Annotated[bytes, Meta(max_length=MOST_DATA)] = b""
    voters: Voters | None = None


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """What is written and synced before anything is said that rests on it."""

    term: Whole = 0
    vote: Node = ""  # in this term


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All that was applied up to an index."""

    index: Whole = 0
    term: Whole = 0
    voters: Voters = ()
    data: Annotated[bytes, Meta(max_length=MOST_SNAPSHOT)] = b""


class Message(msgspec.Struct, array_like=True, frozen=True):
    source: Node
    target: Node
    term: Whole


class VoteRequest(Message, array_like=True, frozen=True, tag=1):
    """`pre`: whether there would be a vote; nothing is promised (thesis, 9.6)."""

    last_index: Whole
    last_term: Whole
    pre: bool = False
    transfer: bool = False  # the leader has asked for it: not held back for its sake


class VoteReply(Message, array_like=True, frozen=True, tag=2):
    granted: bool
    pre: bool = False


class Append(Message, array_like=True, frozen=True, tag=3):
    """Entries after `prev_index`, or none: a heartbeat. `round` is told back, for reads and check-quorum."""

    prev_index: Whole
    prev_term: Whole
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MOST_ENTRIES)]
    commit: Whole
    round: Whole = 0


class AppendReply(Message, array_like=True, frozen=True, tag=4):
    """`match`: the log agrees up to there. Refused: `match` is where it may agree, at most."""

    ok: bool
    match: Whole
    round: Whole = 0


class Install(Message, array_like=True, frozen=True, tag=5):
    """A snapshot, whole. Between processes it is fetched in pieces (member.py)."""

    snapshot: Snapshot
    round: Whole = 0


class TimeoutNow(Message, array_like=True, frozen=True, tag=6):
    """Stand for election at once: the leader hands over (thesis, 3.10)."""
