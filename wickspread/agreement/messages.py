"""What voters and learners say to one another, and what is in the log. Pure records; terms as in Raft
(Ongaro, "Consensus: Bridging Theory and Practice", 2014).
"""

from __future__ import annotations

from dataclasses import dataclass

Node = str  # a name and an incarnation: an emptied folder is another node


@dataclass(slots=True, frozen=True)
class Entry:
    """One of the log. `voters` in place of data: they are the voters from this entry on, committed or not."""

    term: int
    index: int  # from 1
    data: bytes = b""
    voters: tuple[Node, ...] | None = None


@dataclass(slots=True, frozen=True)
class HardState:
    """What is written and synced before anything is said that rests on it."""

    term: int = 0
    vote: Node = ""  # in this term


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All that was applied up to an index."""

    index: int = 0
    term: int = 0
    voters: tuple[Node, ...] = ()
    data: bytes = b""


@dataclass(slots=True, frozen=True)
class Message:
    source: Node
    target: Node
    term: int


@dataclass(slots=True, frozen=True)
class VoteRequest(Message):
    """`pre`: whether there would be a vote; nothing is promised (thesis, 9.6)."""

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False  # the leader has asked for it: not held back for its sake


@dataclass(slots=True, frozen=True)
class VoteReply(Message):
    granted: bool
    pre: bool = False


@dataclass(slots=True, frozen=True)
class Append(Message):
    """Entries after `prev_index`, or none: a heartbeat. `round` is told back, for reads and check-quorum."""

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int = 0


@dataclass(slots=True, frozen=True)
class AppendReply(Message):
    """`match`: the log agrees up to there. Refused: `match` is where it may agree, at most."""

    ok: bool
    match: int
    round: int = 0


@dataclass(slots=True, frozen=True)
class Install(Message):
    """A snapshot, whole: its pieces are the transport's."""

    snapshot: Snapshot
    round: int = 0


@dataclass(slots=True, frozen=True)
class TimeoutNow(Message):
    """Stand for election at once: the leader hands over (thesis, 3.10)."""
