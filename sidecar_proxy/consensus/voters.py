"""Who votes: one change at a time, by rule. Pure.

A voter that is lost (away for long, or its folder gone, so that it is another node now) is replaced: first it
goes, then one that has the log is taken in. The other way round, of three with one lost, four would need
three: if the new one were lost too before its entry is committed, the two that have everything could do
nothing any more. At no time may those that answer be fewer than the quorum of the next set.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from sidecar_proxy.consensus.messages import Node


@dataclass(slots=True, frozen=True)
class Candidate:
    """A sidecar that is there now, as far as is known."""

    node: Node
    name: str
    site: str
    proven: bool = False  # it answers, and has all but the last few entries


@dataclass(slots=True, frozen=True)
class Look:
    """What the leader knows of who votes and who might."""

    me: Node
    voters: tuple[Node, ...]
    there: Mapping[str, Candidate]  # by name, with ourselves
    away_us: Mapping[Node, int]  # for how long nothing was heard of a voter; one not named is heard
    answered: Collection[Node]  # since the last look
    wanted: int
    replace_us: int

    def is_lost(self, node: Node) -> bool:
        now = self.there.get(name_of(node))
        return node != self.me and (
            self.away_us.get(node, 0) >= self.replace_us or (now is not None and now.node != node)
        )

    def live(self) -> list[Node]:
        return [node for node in self.voters if not self.is_lost(node)]

    def site(self, node: Node) -> str:
        now = self.there.get(name_of(node))
        return now.site if now is not None else ""

    def free(self) -> list[Candidate]:
        """Who may be taken in, the best first: of the site with the fewest voters."""
        live = self.live()
        sites, names = Counter(map(self.site, live)), set(map(name_of, live))
        return sorted(
            (one for one in self.there.values() if one.name not in names),
            key=lambda one: (sites[one.site], one.name),
        )

    def is_settled(self) -> bool:
        """As many as are wanted, and none is lost."""
        return len(self.live()) == len(self.voters) == self.wanted

    def to_prove(self) -> list[Candidate]:
        """Of whom it should be known whether they can be taken in, the best first."""
        return self.free() if len(self.live()) < self.wanted else []

    def next_voters(self) -> tuple[Node, ...] | None:
        """The voters with one more or one less; None: as they are."""
        me, voters, live = self.me, self.voters, self.live()
        answering = sum(node == me or node in self.answered for node in live)
        proven = [one for one in self.free() if one.proven]
        going = sorted(set(voters) - set(live), key=lambda node: (-self.away_us.get(node, 0), node))
        if going and not proven and len(voters) <= self.wanted:
            going = []  # it may come back, and nobody can take its place
        elif not going and len(voters) > self.wanted:
            sites = Counter(map(self.site, live))
            going = sorted(
                set(live) - {me}, key=lambda node: (node in self.answered, -sites[self.site(node)], node)
            )
        if going:
            left = answering - (going[0] in live and going[0] in self.answered)
            if left >= majority(len(voters) - 1):
                return tuple(node for node in voters if node != going[0])
        # hazard: a second voter counts at once: were it lost before it has its entry, the first could do
        # nothing; so it must have answered just now
        there_after = answering + (len(voters) == 1)
        if len(voters) < self.wanted and proven and there_after >= majority(len(voters) + 1):
            return (*voters, proven[0].node)
        return None


def name_of(node: Node) -> str:
    return node.rpartition("#")[0]


def majority(count: int) -> int:
    return count // 2 + 1
