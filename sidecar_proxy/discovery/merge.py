"""Several sources' words of each node, and what they come to. Pure: the table of docs/design/discovery.md.

Each source has an epoch and a revision; within an epoch revisions only grow, and what is older than what the
source has told already is passed over. Nothing is decided by the clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.discovery.model import Entry

READY, DRAINING, GONE = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.GONE
LOST_SHARE = 0.5  # of a source's nodes left out of one whole list, from which it is not believed at once
LEAST = 10  # nodes; fewer may go together


@dataclass(slots=True, frozen=True)
class Word:
    """What one source says of one node."""

    state: UpstreamState
    entry: Entry  # as it last was
    revision: int
    held: bool = False  # a drain of an earlier epoch: no list takes it back


@dataclass(slots=True)
class Source:
    """A source and all of its words."""

    name: str
    epoch: str = ""
    revision: int = -1
    words: dict[str, Word] = field(default_factory=dict)
    doubted: frozenset[str] = frozenset()  # left out of a whole list that was not believed


@dataclass(slots=True, frozen=True)
class Member:
    """What the words come to."""

    entry: Entry
    why: str  # the source whose word counts


class Merge:
    """The words of all sources. Every method returns the names whose member may have changed."""

    def __init__(self, sources: Iterable[str]) -> None:
        self.sources = {name: Source(name) for name in sources}  # the one named first counts first
        self.starts: dict[str, int] = {}  # of nodes: told by a source that has no opinion now

    # What sources tell

    def listed(self, source: str, epoch: str, revision: int, entries: Iterable[Entry]) -> set[str]:
        """A whole list at one revision."""
        found = self.sources[source]
        if epoch == found.epoch and revision < found.revision:
            return set()
        fresh = epoch != found.epoch
        told = {entry.name: entry for entry in entries}
        known = {name for name, word in found.words.items() if word.state is not GONE}
        missing = frozenset(known - told.keys())
        many = self.many(missing, len(known))
        # hazard: the same answer at the same revision, heard twice, is no second word
        doubted = many and (missing != found.doubted or revision <= found.revision)
        found.doubted = missing if doubted else frozenset()
        changed = set()
        for name, entry in told.items():
            if self.say(found, name, entry, revision, listed=True, fresh=fresh):
                changed.add(name)
        if not doubted:
            for name in missing:
                if many and self.elsewhere(found, name):
                    # hazard: one source alone would empty the fleet; it has no opinion, but its drains stay
                    if found.words[name].state is READY:
                        born_ms = found.words.pop(name).entry.born_ms
                        # hazard: with its word a start would be forgotten, and an older drain would count
                        self.starts[name] = max(born_ms, self.starts.get(name, 0))
                        changed.add(name)
                elif self.say(found, name, None, revision, listed=True, fresh=fresh):
                    changed.add(name)
        found.epoch, found.revision = epoch, revision
        return changed | self.forget(changed)

    def changed(
        self, source: str, epoch: str, revision: int, changes: Iterable[tuple[str, Entry | None]]
    ) -> set[str]:
        """What one revision changed, in order; None = deleted. The last word of a name counts."""
        found = self.sources[source]
        if epoch != found.epoch or revision <= found.revision:
            return set()
        changed = {name for name, entry in changes if self.say(found, name, entry, revision)}
        found.revision = revision
        return changed | self.forget(changed)

    def many(self, missing: frozenset[str], known: int) -> bool:
        """Hazard: an emptied or half-restored source would take the fleet away in one answer."""
        if not missing or known < LEAST and len(missing) < known:
            return False
        return len(missing) == known or len(missing) > LOST_SHARE * known

    def elsewhere(self, source: Source, name: str) -> bool:
        """Another source has it."""
        return any(
            name in other.words and other.words[name].state is not GONE
            for other in self.sources.values()
            if other is not source
        )

    def say(
        self,
        source: Source,
        name: str,
        entry: Entry | None,
        revision: int,
        listed: bool = False,
        fresh: bool = False,
    ) -> bool:
        """One word. True if it is another one than before."""
        old = source.words.get(name)
        if entry is None or entry.state is GONE:
            if old is None:
                return False
            word = Word(GONE, old.entry, revision)
        else:
            held = False
            if listed and old is not None and old.state is DRAINING:
                taken_back = entry.state is READY and (
                    entry.born_ms > old.entry.born_ms or not (fresh or old.held)
                )
                held = not taken_back and (entry.state is READY or old.held)
            word = Word(DRAINING if held else entry.state, entry, revision, held)
        source.words[name] = word
        return old is None or replace(word, revision=old.revision) != old

    def forget(self, names: set[str]) -> set[str]:
        """Those of these names of which every word is a deletion: nothing is left to be said of them."""
        gone = set()
        for name in names:
            if all(
                source.words[name].state is GONE for source in self.sources.values() if name in source.words
            ):
                gone.add(name)
                self.starts.pop(name, None)
                for source in self.sources.values():
                    source.words.pop(name, None)
        return gone

    # What they come to

    def member(self, name: str) -> Member | None:
        """One node; None if no source has a word of it."""
        words = [(source, source.words[name]) for source in self.sources.values() if name in source.words]
        if not words:
            return None
        latest_ms = max(self.starts.get(name, 0), *(word.entry.born_ms for _, word in words))
        # a word of an earlier start speaks of a process that is no more
        live = [(source, word) for source, word in words if word.entry.born_ms == latest_ms]
        if not live:  # the start was told by a source that has no opinion now
            source, word = max(words, key=lambda pair: pair[1].entry.born_ms)
            state = DRAINING if word.state is GONE else READY
            return Member(replace(word.entry, state=state, born_ms=latest_ms), source.name)
        careful, word = next((pair for pair in live if pair[1].state is not READY), live[0])
        state = DRAINING if word.state is not READY else READY
        return Member(replace(live[0][1].entry, state=state), careful.name)

    def members(self) -> dict[str, Member]:
        names = {name for source in self.sources.values() for name in source.words}
        found = {name: self.member(name) for name in names}
        return {name: member for name, member in found.items() if member is not None}
