"""Who votes: one change at a time, by rule. Pure.

A voter that is lost (away for long, or its folder gone, so that it is another node now) is replaced: first
the new one is taken in, once it has the log, then the lost one goes. At no time may what is left of a quorum
be less than what is there.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from wickspread.agreement.messages import Node


@dataclass(slots=True, frozen=True)
class Candidate:
    """A sidecar that is there now."""

    node: Node
    name: str
    site: str
    has_log: bool  # all but the last few entries


def name_of(node: Node) -> str:
    return node.rpartition("#")[0]


def next_voters(me: Node, voters: tuple[Node, ...], there: Collection[Candidate],
                away_us: Mapping[Node, int], wanted: int, replace_us: int) -> tuple[Node, ...] | None:
    """By the leader. The voters with one more or one less; None: as they are. `away_us`: for how long nothing
    was heard of a voter; one not named is heard."""
    by_name = {one.name: one for one in there}

    def lost(node: Node) -> bool:
        now = by_name.get(name_of(node))
        return node != me and (away_us.get(node, 0) >= replace_us or (now is not None and now.node != node))

    def site(node: Node) -> str:
        return by_name[name_of(node)].site if name_of(node) in by_name else ""

    live = [node for node in voters if not lost(node)]
    answering = sum(node == me or away_us.get(node, 0) < replace_us // 4 for node in live)
    sites = Counter(map(site, live))
    names = set(map(name_of, live))
    free = [one for one in by_name.values() if one.has_log and one.name not in names]
    # hazard: a new one counts in the quorum from its entry on, which has to come about with those there
    if len(live) < wanted and free and len(voters) <= wanted and answering + 1 >= majority(len(voters) + 1):
        return (*voters, min(free, key=lambda one: (sites[one.site], one.name)).node)
    going = sorted(set(voters) - set(live), key=lambda node: (-away_us.get(node, 0), node))
    if len(live) > wanted and not going:
        going = sorted(set(live) - {me}, key=lambda node: (-sites[site(node)], node))
    if going and len(live) >= wanted and answering >= majority(len(voters) - 1):
        return tuple(node for node in voters if node != going[0])
    return None


def majority(count: int) -> int:
    return count // 2 + 1
