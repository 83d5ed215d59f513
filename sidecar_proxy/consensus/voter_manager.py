"""The leader's management of the voters: it lets candidates catch up and proposes one change at a time."""

from __future__ import annotations

from collections.abc import Sequence

from sidecar_proxy.consensus.errors import ProposalRejectedError
from sidecar_proxy.consensus.leader_requests import BARRIER_READ_ID
from sidecar_proxy.consensus.messages import NodeId
from sidecar_proxy.consensus.replica_context import ReplicaContext
from sidecar_proxy.consensus.voters import Candidate, VoterPlanner, name_of

CHECK_INTERVAL_US = 500_000
CATCH_UP_TIMEOUT_US = 3_000_000  # a candidate that does not reply within this time has failed
FAILED_CANDIDATE_US = 10_000_000  # the time after which a failed candidate may be tried again
MAX_LAG_ENTRIES = 64  # a candidate that lacks at most so many committed entries has caught up


class VoterManager:
    """Manages the set of voters while this sidecar is the leader."""

    def __init__(self, context: ReplicaContext, now_us: int) -> None:
        self.context = context
        self.last_contact_us: dict[NodeId, int] = {}  # the time of the last message from each voter
        self.next_check_us = now_us
        self.candidate: NodeId = ""  # the learner that gets the log in order to become a voter; "" = none
        self.candidate_deadline_us = 0
        self.failed_us: dict[str, int] = {}  # the time at which each failed candidate was abandoned, by name
        self.barrier_round = 0  # the message round of the last check; 0 = no check to compare replies with

    def on_frame(self, node: NodeId, now_us: int) -> None:
        """Records the time of a message from a voter."""
        if node in self.context.core.voters:
            self.last_contact_us[node] = now_us

    def on_stall(self, now_us: int) -> None:
        """Measures the voters' silence anew, as this process itself did not run for a while."""
        self.barrier_round = 0
        self.last_contact_us = dict.fromkeys(self.last_contact_us, now_us)

    def on_elected(self, now_us: int) -> None:
        """Resets the state of an earlier leadership when this sidecar is elected."""
        self.barrier_round = 0
        self.candidate = ""
        self.context.core.learners.clear()
        self.last_contact_us.update(dict.fromkeys(self.context.core.voters, now_us))

    def last_quorum_contact_us(self, now_us: int) -> int:
        """Returns the latest time since which a quorum, including this sidecar, has sent a message."""
        core = self.context.core
        times_us = sorted((self._last_contact_us(node, now_us) for node in core.voters), reverse=True)
        return times_us[core.quorum_size() - 1]

    def _last_contact_us(self, node: NodeId, now_us: int) -> int:
        return now_us if node == self.context.node_id else self.last_contact_us.get(node, 0)

    def check_if_due(self, now_us: int) -> None:
        """Checks twice a second whether the set of voters has to change."""
        if self.context.core.is_leader and now_us >= self.next_check_us:
            self.next_check_us = now_us + CHECK_INTERVAL_US
            self._check(now_us)

    def _check(self, now_us: int) -> None:
        core = self.context.core
        responsive = self._responsive_nodes()
        planner = self._create_planner(responsive, now_us)
        if planner.is_settled() and not self.candidate:
            self.barrier_round = 0
            return
        try:
            core.request_read(BARRIER_READ_ID)
            self.barrier_round = core.round
            self._update_candidate(planner, now_us)
            if len(responsive) + 1 < core.quorum_size():
                return
            voters = planner.next_voters()
            if voters is None:
                return
            core.propose_voters(voters)
        except ProposalRejectedError:
            # No entry of this term, or not the last change, is committed yet. The next check tries again.
            return
        self.last_contact_us = {node: self.last_contact_us.get(node, now_us) for node in voters}
        self.context.outbox.log("the voters are now: " + ", ".join(map(name_of, sorted(voters))))

    def _responsive_nodes(self) -> set[NodeId]:
        """Returns the nodes that have replied since the last check.

        There are none if that check was before a pause of this process, as replies from before the pause do
        not show that a node is alive now.
        """
        if not self.barrier_round:
            return set()
        return {
            node
            for node, progress in self.context.core.progress.items()
            if progress.acked_round >= self.barrier_round
        }

    def _create_planner(self, responsive: set[NodeId], now_us: int) -> VoterPlanner:
        context = self.context
        voters = context.core.voters
        candidates = {
            name: Candidate(peer.node, name, peer.site, self._is_caught_up(peer.node, responsive))
            for name, peer in context.peers.peers.items()
            if peer.status.fleet_id == context.state.fleet_id
            and (peer.status.can_vote or peer.node in voters)
        }
        candidates[context.name] = Candidate(context.node_id, context.name, context.site, True)
        silent_us = {
            node: now_us - self.last_contact_us.get(node, now_us)
            for node in voters
            if node != context.node_id
        }
        return VoterPlanner(
            context.node_id,
            voters,
            candidates,
            silent_us,
            responsive,
            context.limits.voter_count,
            context.limits.replace_after_us,
        )

    def _is_caught_up(self, node: NodeId, responsive: set[NodeId]) -> bool:
        """Tells whether a node has replied since the last check and has nearly all of the log (4.2.1)."""
        progress = self.context.core.progress.get(node)
        return (
            progress is not None
            and node in responsive
            and progress.match_index + MAX_LAG_ENTRIES >= self.context.core.commit_index
        )

    def _update_candidate(self, planner: VoterPlanner, now_us: int) -> None:
        """Makes the best candidate a learner, and the next one if that does not reply in time."""
        core = self.context.core
        candidates = planner.candidates_to_catch_up()
        if self.candidate and not self._is_candidate_valid(planner, candidates, now_us):
            core.remove_learner(self.candidate)
            self.failed_us[name_of(self.candidate)] = now_us
            self.candidate = ""
        self.failed_us = {
            name: failed_us
            for name, failed_us in self.failed_us.items()
            if now_us - failed_us < FAILED_CANDIDATE_US
        }
        if self.candidate:
            return
        next_candidate = next((item for item in candidates if item.name not in self.failed_us), None)
        if next_candidate is not None:
            self.candidate = next_candidate.node
            self.candidate_deadline_us = now_us + CATCH_UP_TIMEOUT_US
            core.add_learner(self.candidate)

    def _is_candidate_valid(
        self, planner: VoterPlanner, candidates: Sequence[Candidate], now_us: int
    ) -> bool:
        if all(candidate.node != self.candidate for candidate in candidates):
            return False
        return now_us < self.candidate_deadline_us or self.candidate in planner.responsive
