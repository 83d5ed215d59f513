"""A node's log: a snapshot and the entries after it. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.messages import Entry, HardState, Node, Snapshot


class Compacted(Exception):
    """That part of the log is in the snapshot."""


@dataclass(slots=True)
class RaftLog:
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)  # without gaps, from the snapshot's next one on

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """None: there is no such entry. Raises Compacted."""
        if index < self.snapshot.index:
            raise Compacted(str(index))
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.entries[at].term if at < len(self.entries) else None

    def after(self, index: int, most: int) -> tuple[Entry, ...]:
        """So many entries behind that one. Raises Compacted."""
        if index < self.snapshot.index:
            raise Compacted(str(index))
        at = index - self.snapshot.index
        return tuple(self.entries[at : at + most])

    def between(self, first: int, last: int) -> list[Entry]:
        """From `first` to `last`, both among them."""
        base = self.snapshot.index + 1
        return self.entries[max(0, first - base) : max(0, last - base + 1)]

    def add(self, entries: Sequence[Entry]) -> int | None:
        """After a check of what stands before them: a conflict cuts the log, what is there stays. The index
        of the first entry that is new; None: all were there. Hazard: an old message with fewer entries must
        not cut.
        """
        for number, one in enumerate(entries):
            if one.index <= self.snapshot.index:
                continue
            if self.term_at(one.index) == one.term:
                continue
            del self.entries[one.index - self.snapshot.index - 1 :]
            self.entries += entries[number:]
            return one.index
        return None

    def voters(self) -> tuple[Node, ...]:
        """The latest in the log, committed or not (thesis, 4.1)."""
        for one in reversed(self.entries):
            if one.voters is not None:
                return one.voters
        return self.snapshot.voters

    def voters_index(self) -> int:
        """Of the entry that has them; the snapshot's if none has."""
        for one in reversed(self.entries):
            if one.voters is not None:
                return one.index
        return self.snapshot.index

    def is_fresh(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends so is at least as complete as ours (5.4.1)."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Up to there a snapshot takes the entries' place; `index` has been applied."""
        term = self.term_at(index)
        assert term is not None and index >= self.snapshot.index
        voters = self.snapshot.voters
        for one in self.between(self.snapshot.index + 1, index):
            voters = one.voters if one.voters is not None else voters
        left = self.entries[index - self.snapshot.index :]
        self.snapshot, self.entries = Snapshot(index, term, voters, data), left
        return self.snapshot

    def install(self, snapshot: Snapshot) -> None:
        """What stands behind it and agrees is kept (thesis, figure 5.3)."""
        agrees = snapshot.index <= self.last_index and self.term_at(snapshot.index) == snapshot.term
        left = self.entries[snapshot.index - self.snapshot.index :] if agrees else []
        self.snapshot, self.entries = snapshot, left


@dataclass(slots=True)
class PersistedState:
    """What a folder holds of one incarnation of a node."""

    incarnation: str
    hard: HardState = field(default_factory=HardState)
    commit: int = 0
    log: RaftLog = field(default_factory=RaftLog)
    torn: int = 0  # bytes at the file's end that a crash had left and that were cut
