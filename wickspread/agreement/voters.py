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
                away_us: Mapping[Node, int], answered: Collection[Node], wanted: int,
                replace_us: int) -> tuple[Node, ...] | None:
    """By the leader. The voters with one more or one less; None: as they are. `away_us`: for how long nothing
    was heard of a voter; one not named is heard. `answered`: who has since the last look."""
    by_name = {one.name: one for one in there}

    def lost(node: Node) -> bool:
        now = by_name.get(name_of(node))
        return node != me and (away_us.get(node, 0) >= replace_us or (now is not None and now.node != node))

    def site(node: Node) -> str:
        return by_name[name_of(node)].site if name_of(node) in by_name else ""

    live = [node for node in voters if not lost(node)]
    answering = sum(node == me or node in answered for node in live)
    sites = Counter(map(site, live))
    names = set(map(name_of, live))
    free = [one for one in by_name.values() if one.has_log and one.name not in names]
    going = sorted(set(voters) - set(live), key=lambda node: (-away_us.get(node, 0), node))
    if going and not free and len(voters) <= wanted:  # it may come back, and nobody can take its place
        going = [node for node in going if name_of(node) in by_name and away_us.get(node, 0) < replace_us]
    elif not going and len(voters) > wanted:
        going = sorted(set(live) - {me}, key=lambda node: (node in answered, -sites[site(node)], node))
    if going and answering - (going[0] in live and going[0] in answered) >= majority(len(voters) - 1):
        return tuple(node for node in voters if node != going[0])
    # hazard: a second voter counts at once: were it lost before it has its entry, the first could do nothing
    there_after = answering + (len(voters) == 1)
    if len(voters) < wanted and free and there_after >= majority(len(voters) + 1):
        return (*voters, min(free, key=lambda one: (sites[one.site], one.name)).node)
    return None


def majority(count: int) -> int:
    return count // 2 + 1
