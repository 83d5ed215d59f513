"""The replicated log of one node: a snapshot and the entries after it. This module does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.errors import CompactedError
from sidecar_proxy.consensus.messages import Entry, HardState, NodeId, Snapshot


@dataclass(slots=True)
class RaftLog:
    """A snapshot and the consecutive entries that follow it."""

    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the log ends before it. Raises CompactedError."""
        if index < self.snapshot.index:
            raise CompactedError(index)
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self.entries[position].term if position < len(self.entries) else None

    def entries_after(self, index: int, max_count: int) -> tuple[Entry, ...]:
        """Returns at most `max_count` entries that follow `index`. Raises CompactedError."""
        if index < self.snapshot.index:
            raise CompactedError(index)
        position = index - self.snapshot.index
        return tuple(self.entries[position : position + max_count])

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Returns the entries from `first` to `last`, both included."""
        first_log_index = self.snapshot.index + 1
        return self.entries[max(0, first - first_log_index) : max(0, last - first_log_index + 1)]

    def append(self, entries: Sequence[Entry]) -> int | None:
        """Appends entries; the caller has checked that the entry before them matches.

        A conflicting entry and all entries after it are replaced. Entries that are already in the log are
        kept, and so are the entries after them, as a delayed message with fewer entries must not truncate
        the log. Returns the index of the first new entry, or None if there is none.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            del self.entries[entry.index - self.snapshot.index - 1 :]
            self.entries += entries[position:]
            return entry.index
        return None

    def voters(self) -> tuple[NodeId, ...]:
        """Returns the latest voters in the log, whether committed or not (4.1)."""
        for entry in reversed(self.entries):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot.voters

    def voters_index(self) -> int:
        """Returns the index of the entry, or of the snapshot, that defines the latest voters."""
        for entry in reversed(self.entries):
            if entry.voters is not None:
                return entry.index
        return self.snapshot.index

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Returns whether a log with this last entry is at least as up to date as this log (5.4.1)."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replaces the entries up to `index`, all of them applied, by a snapshot with this data."""
        term = self.term_at(index)
        assert term is not None
        assert index >= self.snapshot.index
        voters = self.snapshot.voters
        for entry in self.entries_between(self.snapshot.index + 1, index):
            if entry.voters is not None:
                voters = entry.voters
        remaining = self.entries[index - self.snapshot.index :]
        self.snapshot = Snapshot(index, term, voters, data)
        self.entries = remaining
        return self.snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Installs a snapshot, and keeps the entries after it if the log matches it (figure 5.3)."""
        matches = snapshot.index <= self.last_index and self.term_at(snapshot.index) == snapshot.term
        remaining = self.entries[snapshot.index - self.snapshot.index :] if matches else []
        self.snapshot = snapshot
        self.entries = remaining


@dataclass(slots=True)
class PersistedState:
    """The content of a state folder: the persisted state of one incarnation of a node."""

    incarnation: str  # random id of this log; a log that is created anew gets another one
    hard_state: HardState = field(default_factory=HardState)
    commit_index: int = 0
    log: RaftLog = field(default_factory=RaftLog)
    torn_bytes: int = 0  # size of the incomplete record that a crash left at the end of the file
