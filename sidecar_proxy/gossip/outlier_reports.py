"""What instances have seen of nodes, and what weight that has here. Pure: no I/O, no clock, no randomness.

Own counts go out as bulletins; the bulletins of others become one weight a node, 0 to 1, by votes of which
the highest few are dropped, so that as many liars can't raise it. docs/design/gossip.md has the argument.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip.codec import MOST_COUNTS, MOST_NAME, MOST_WHOLE, Count, OutlierReport

WINDOW_US = 10_000_000  # counts and reports of others count so long
ENOUGH = 4  # attempts: more make no vote stronger, or who shouts would outweigh who knows
COUNT_BYTES = 50  # of one on the wire, at most, beside the node's name
MOST_BYTES = 740  # of a bulletin: less than any packet has room for
RUN = 2  # failures since the last good answer that make a whole vote
MOST_NODES = 4096  # that are remembered, of one's own
KEPT_WELL = 2  # instances of the own site that had an answer silence other sites
FAILURES = {
    Outcome.TIMEOUT: "timed_out",
    Outcome.RESET: "reset",
    Outcome.CONNECT_FAILED: "reset",
    Outcome.ERROR: "failed",
}


@dataclass(slots=True)
class Seen:
    """Of one node, since it started or since a window ago."""

    born_ms: int
    since_us: int
    timed_out: int = 0
    reset: int = 0
    failed: int = 0
    well: int = 0
    run: int = 0
    last_us: int = 0

    @property
    def attempts(self) -> int:
        return self.timed_out + self.reset + self.failed + self.well


class Own:
    """What this instance has seen."""

    def __init__(self) -> None:
        self.nodes: dict[str, Seen] = {}
        self.wanted: dict[str, None] = {}  # others suspect them, and we know better

    def note(self, node: str, born_ms: int, outcome: Outcome, now_us: int) -> bool:
        """An attempt has ended. True if the others should hear of it at once: the node begins to fail, or is
        well again.
        """
        kind = FAILURES.get(outcome)
        if (kind is None and outcome is not Outcome.OK) or len(node) > MOST_NAME:
            return False  # it never ran, or we gave it up: no word on the node; or it has no name to tell
        seen = self.nodes.get(node)
        if seen is None or seen.born_ms != born_ms or now_us - seen.since_us > WINDOW_US:
            run = seen.run if seen is not None and seen.born_ms == born_ms else 0
            self.nodes.pop(node, None)
            seen = self.nodes[node] = Seen(born_ms, now_us, run=run)
            while len(self.nodes) > MOST_NODES:
                del self.nodes[next(iter(self.nodes))]
        seen.last_us = now_us
        if kind is not None:
            setattr(seen, kind, getattr(seen, kind) + 1)
            seen.run += 1
            return seen.run <= RUN
        was, seen.run = seen.run, 0
        seen.well += 1
        return was > 0

    def bulletin(self, now_us: int) -> OutlierReport:
        """Those that fail first, then those that others are wrong about, the freshest of each."""
        fresh = [(name, one) for name, one in self.nodes.items() if now_us - one.last_us <= WINDOW_US]
        ill = [pair for pair in fresh if pair[1].run > 0]
        well = [pair for pair in fresh if pair[1].run == 0 and pair[0] in self.wanted]
        chosen = [
            *sorted(ill, key=last, reverse=True)[: MOST_COUNTS - min(2, len(well))],
            *sorted(well, key=last, reverse=True),
        ][:MOST_COUNTS]
        # hazard: with long names all of them would be too much for a packet, and nobody would hear of any
        while sum(len(name.encode()) + COUNT_BYTES for name, _ in chosen) > MOST_BYTES:
            chosen.pop()
        return OutlierReport(
            [
                Count(
                    name,
                    min(one.born_ms, MOST_WHOLE),
                    one.attempts,
                    one.timed_out,
                    one.reset,
                    one.failed,
                    one.well,
                    one.run,
                    (now_us - one.last_us) // 1000,
                )
                for name, one in chosen
            ]
        )


def last(pair: tuple[str, Seen]) -> int:
    return pair[1].last_us


@dataclass(slots=True)
class Report:
    """One instance's word on one node."""

    site: str
    count: Count
    at_us: int  # of the last attempt that it is about, by our clock

    def strength(self, now_us: int) -> float:
        """What its author knows, and how fresh it is: 0 to 1."""
        fresh = 1.0 - (now_us - self.at_us) / WINDOW_US
        attempts = min(max(self.count.attempts, self.count.run), ENOUGH)
        return max(0.0, fresh) * attempts / (attempts + 1)

    def against(self) -> float:
        return min(1.0, self.count.run / RUN)


@dataclass(slots=True)
class Combiner:
    """The bulletins of others, the last one of each."""

    site: str
    reports: dict[str, dict[str, Report]] = field(default_factory=dict)  # by node and author
    said: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by author, the nodes of its last one

    def take(self, author: str, site: str, bulletin: OutlierReport, now_us: int) -> list[str]:
        """In place of the author's last one; the nodes that either speaks of."""
        names = self.drop(author)
        for count in bulletin.counts:
            age_us = count.age_ms * 1000
            if age_us < WINDOW_US:
                self.reports.setdefault(count.node, {})[author] = Report(site, count, now_us - age_us)
        self.said[author] = tuple(count.node for count in bulletin.counts)
        return [*names, *(name for name in self.said[author] if name not in names)]

    def drop(self, author: str) -> list[str]:
        """Nothing of this author counts any more; the nodes that it spoke of."""
        names = list(self.said.pop(author, ()))
        for name in names:
            of_node = self.reports.get(name, {})
            of_node.pop(author, None)
            if not of_node:
                self.reports.pop(name, None)
        return names

    def forget(self, now_us: int) -> None:
        """What is too old to count."""
        for name, of_node in list(self.reports.items()):
            for author in [author for author, one in of_node.items() if now_us - one.at_us >= WINDOW_US]:
                del of_node[author]
            if not of_node:
                del self.reports[name]

    def weight(self, node: str, born_ms: int, sites: Mapping[str, int], now_us: int) -> float:
        """0 to 1: how surely the node that started then fails for those who use it as we do. `sites` has the
        number of live instances of each site, ourselves not among them.
        """
        found: dict[str, list[tuple[float, float]]] = {}
        well_here = 0
        for one in self.reports.get(node, {}).values():
            if one.count.born_ms != born_ms:
                continue  # of another start: it died with it
            strength = one.strength(now_us)
            if strength > 0.0:
                found.setdefault(one.site, []).append((one.against(), strength))
                well_here += one.site == self.site and one.count.run == 0
        own = trimmed(found.get(self.site, []), sites.get(self.site, 0))
        if well_here >= KEPT_WELL:
            return own
        # a node is used by few of each site: a site is one vote, whatever several of it say
        return max(own, trimmed([(mean(votes), 1.0) for votes in found.values()], len(sites)))


def tolerated(voters: int) -> int:
    """How many liars can't raise a weight, of so many who may vote."""
    return max(1, voters // 5)


def trimmed(votes: Iterable[tuple[float, float]], voters: int) -> float:
    """The mean of (vote, strength) without the highest few votes."""
    return mean(sorted(votes, reverse=True)[tolerated(voters) :])


def mean(left: Collection[tuple[float, float]]) -> float:
    """Of (vote, strength), each pulling by its strength; less where even the strongest is weak."""
    total = sum(strength for _, strength in left)
    if total <= 0.0:
        return 0.0
    strongest = max(strength for _, strength in left)
    return sum(vote * strength for vote, strength in left) / total * min(1.0, 2 * strongest)
