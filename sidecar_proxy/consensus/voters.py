"""The rules by which the leader changes the set of voters, one voter at a time. They do no I/O.

A voter is lost if it has been silent for too long, or if its sidecar lost its folder and so is another node
now. A lost voter is removed first; then a node that has the log is added. In the other order three voters
with one lost would become four, whose quorum is three: if the new voter were lost as well before its entry is
committed, the two remaining voters could commit nothing any more. The voters that respond must never be fewer
than the quorum of the next set.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from sidecar_proxy.consensus.messages import NodeId


@dataclass(slots=True, frozen=True)
class Candidate:
    """A sidecar that the leader knows to be alive and that is a voter or may become one."""

    node: NodeId
    name: str
    site: str
    is_caught_up: bool = False  # whether the node responds and lacks at most the last few log entries


@dataclass(slots=True, frozen=True)
class VoterPlanner:
    """Plans the next change of the voters from what the leader knows about voters and candidates."""

    node_id: NodeId  # the leader's own node id
    voters: tuple[NodeId, ...]
    candidates: Mapping[str, Candidate]  # candidates by name, including the leader
    # The microseconds since the last message of each voter. A voter that is missing counts as not silent.
    silent_us: Mapping[NodeId, int]
    responsive: Collection[NodeId]  # the nodes that have replied since the last check
    target_count: int  # the configured number of voters
    replace_after_us: int  # a voter that has been silent for so long is lost

    def is_lost(self, node: NodeId) -> bool:
        """Tells whether a voter has been silent for too long, or its name now belongs to another node."""
        if node == self.node_id:
            return False
        current = self.candidates.get(name_of(node))
        is_replaced = current is not None and current.node != node
        return self.silent_us.get(node, 0) >= self.replace_after_us or is_replaced

    def live_voters(self) -> list[NodeId]:
        """Returns the voters that are not lost, in the order of `voters`."""
        return [node for node in self.voters if not self.is_lost(node)]

    def _site_of(self, node: NodeId) -> str:
        current = self.candidates.get(name_of(node))
        return current.site if current is not None else ""

    def addable_candidates(self) -> list[Candidate]:
        """Returns the candidates that are no live voters, those of the sites with the fewest voters first."""
        live = self.live_voters()
        voters_of_site = Counter(map(self._site_of, live))
        live_names = set(map(name_of, live))
        return sorted(
            (candidate for candidate in self.candidates.values() if candidate.name not in live_names),
            key=lambda candidate: (voters_of_site[candidate.site], candidate.name),
        )

    def is_settled(self) -> bool:
        """Tells whether there are as many voters as configured and none is lost."""
        return len(self.live_voters()) == len(self.voters) == self.target_count

    def candidates_to_catch_up(self) -> list[Candidate]:
        """Returns the candidates that should get the log so that they can be added, the best first."""
        return self.addable_candidates() if len(self.live_voters()) < self.target_count else []

    def next_voters(self) -> tuple[NodeId, ...] | None:
        """Returns the next set of voters, with one added or removed, or None if nothing is to change now."""
        live = self.live_voters()
        responsive_count = sum(node == self.node_id or node in self.responsive for node in live)
        caught_up = [candidate for candidate in self.addable_candidates() if candidate.is_caught_up]
        removal = self._voter_to_remove(live, has_replacement=bool(caught_up))
        if removal is not None:
            remaining_count = responsive_count - (removal in live and removal in self.responsive)
            if remaining_count >= majority(len(self.voters) - 1):
                return tuple(node for node in self.voters if node != removal)
        # The quorum of two voters is two: if the second voter were lost before it has the entry that adds it,
        # the first could commit nothing. It is added only if it has just replied, so it counts as responsive.
        next_responsive_count = responsive_count + (len(self.voters) == 1)
        has_next_quorum = next_responsive_count >= majority(len(self.voters) + 1)
        if len(self.voters) < self.target_count and caught_up and has_next_quorum:
            return (*self.voters, caught_up[0].node)
        return None

    def _voter_to_remove(self, live: list[NodeId], has_replacement: bool) -> NodeId | None:
        lost = set(self.voters) - set(live)
        if lost:
            if not has_replacement and len(self.voters) <= self.target_count:
                return None  # the lost voter may return, and no candidate can replace it
            return min(lost, key=lambda node: (-self.silent_us.get(node, 0), node))
        surplus = set(live) - {self.node_id}
        if len(self.voters) <= self.target_count or not surplus:
            return None
        voters_of_site = Counter(map(self._site_of, live))
        return min(
            surplus,
            key=lambda node: (node in self.responsive, -voters_of_site[self._site_of(node)], node),
        )


def node_id_of(name: str, incarnation: str) -> NodeId:
    """Returns the node id of an incarnation of a sidecar, as NAME#INCARNATION."""
    return f"{name}#{incarnation}"


def name_of(node: NodeId) -> str:
    """Returns the name of the sidecar that a node id belongs to."""
    return node.rpartition("#")[0]


def majority(count: int) -> int:
    """Returns the size of a majority of so many voters."""
    return count // 2 + 1
