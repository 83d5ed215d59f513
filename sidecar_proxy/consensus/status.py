"""A replica's status: the broadcast to its peers, and the answers to operators' commands."""

from __future__ import annotations

from typing import Any, TypedDict

import msgspec

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.frames import ReplicaStatus
from sidecar_proxy.consensus.messages import NodeId
from sidecar_proxy.consensus.outputs import Broadcast
from sidecar_proxy.consensus.replica_context import ReplicaContext
from sidecar_proxy.consensus.voters import name_of

VOTER_BROADCAST_INTERVAL_US = 300_000  # minimum interval between two status broadcasts
LEARNER_BROADCAST_INTERVAL_US = 2_000_000


class LeaderTracker:
    """The leader that this sidecar knows, and the time of its last change."""

    def __init__(self, now_us: int) -> None:
        self.leader: NodeId = ""
        self.since_us = now_us  # the time of the last change of `leader`

    def update(self, leader: NodeId, now_us: int) -> None:
        """Records the leader, "" if none is known."""
        if leader != self.leader:
            self.leader = leader
            self.since_us = now_us

    def leaderless_us(self, now_us: int) -> int:
        """Returns the microseconds for which no leader has been known; 0 if one is known."""
        return 0 if self.leader else now_us - self.since_us


class StatusBroadcaster:
    """Broadcasts the status by gossip when it has changed, at limited intervals."""

    def __init__(
        self, context: ReplicaContext, incarnation: str, process_id: str, tracker: LeaderTracker, now_us: int
    ) -> None:
        self.context = context
        self.incarnation = incarnation
        self.process_id = process_id
        self.tracker = tracker
        self.next_broadcast_us = now_us
        self.has_unsent_change = True  # whether the status differs from the last broadcast
        self.last_status: ReplicaStatus | None = None  # the last broadcast; its `leader_since_ms` is 0

    def broadcast_if_due(self, now_us: int) -> None:
        """Broadcasts the status if it has changed and the interval has passed."""
        status = self._current_status()
        self.has_unsent_change = status != self.last_status
        if not self.has_unsent_change or now_us < self.next_broadcast_us:
            return
        self.has_unsent_change = False
        self.last_status = status
        interval_us = VOTER_BROADCAST_INTERVAL_US if status.is_voter else LEARNER_BROADCAST_INTERVAL_US
        self.next_broadcast_us = now_us + interval_us
        leader_since_ms = max(0, now_us - self.tracker.since_us) // 1000
        self.context.outbox.add(Broadcast(msgspec.structs.replace(status, leader_since_ms=leader_since_ms)))

    def _current_status(self) -> ReplicaStatus:
        core = self.context.core
        is_voter = self.context.is_voter
        return ReplicaStatus(
            self.incarnation,
            self.context.state.fleet_id,
            core.term if is_voter else 0,
            core.leader if is_voter else "",
            0,
            is_voter,
            core.commit_index,
            self.context.state.index,
            self.context.state_machine.applied_at_ms,
            self.process_id,
            self.context.limits.can_vote,
        )


class SidecarDescription(TypedDict):
    """One sidecar of the fleet in the answer of `FLEET STATUS`."""

    name: str
    node: NodeId
    votes: bool
    applied: int
    behind: int


class StatusReporter:
    """Describes a replica for the admin commands. The keys are those of the commands' answers."""

    def __init__(self, context: ReplicaContext, tracker: LeaderTracker) -> None:
        self.context = context
        self.tracker = tracker

    def age_s(self, now_us: int) -> float | None:
        """Returns how many seconds ago this sidecar was last known to be up to date, or None for never."""
        up_to_date_us = self.context.up_to_date_us
        return round((now_us - up_to_date_us) / 1e6, 1) if up_to_date_us else None

    def describe(self, now_us: int, is_writing: bool) -> dict[str, Any]:
        """Returns the answer of `FLEET STATUS`."""
        context = self.context
        core = context.core
        is_voter = context.is_voter
        applied = {context.node_id: context.state.index}
        applied |= {peer.node: peer.status.applied_index for peer in context.peers.peers.values()}
        leader_since_us = self._leader_since_us(now_us)
        return {
            "name": context.name,
            "node": context.node_id,
            "fleet": context.state.fleet_id,
            "role": core.role.value if is_voter else "learner",
            "term": core.term,
            "leader": self.tracker.leader,
            "leader_since_s": round(leader_since_us / 1e6, 1) if self.tracker.leader else None,
            "leaderless_s": round(self.tracker.leaderless_us(now_us) / 1e6, 1),
            "voters": sorted(core.voters),
            "commit": core.commit_index,
            "applied": context.state.index,
            "age_s": self.age_s(now_us),
            "writing": is_writing,
            "sidecars": self._describe_sidecars(applied),
            "lost": sorted(node for node in core.voters if node not in applied),
        }

    def _describe_sidecars(self, applied: dict[NodeId, int]) -> list[SidecarDescription]:
        core = self.context.core
        peers = self.context.peers.peers.values()
        reported = [peer.status.commit_index for peer in peers if peer.status.is_voter]
        newest_index = max([core.commit_index, *reported])
        voters = core.voters
        return [
            SidecarDescription(
                name=name_of(node),
                node=node,
                votes=node in voters,
                applied=index,
                behind=max(0, newest_index - index),
            )
            for node, index in sorted(applied.items())
        ]

    def _leader_since_us(self, now_us: int) -> int:
        """Returns for how many microseconds the leader has led.

        A learner learns of a leader late, so it adds the time that the leader itself reported.
        """
        tracker = self.tracker
        known_since_us = now_us - tracker.since_us
        if self.context.is_voter:
            return known_since_us
        reported_us = (
            peer.status.leader_since_ms * 1000 + tracker.since_us - peer.received_us
            for peer in self.context.peers.peers.values()
            if peer.node == tracker.leader
        )
        return known_since_us + max(reported_us, default=0)

    def describe_recent_commands(self) -> list[dict[str, Any]]:
        """Returns the latest commands for `FLEET LOG`, each with the times at which the peers applied it."""
        commands = replicated_commands.describe_recent_commands(self.context.state)
        for command in commands:
            command["in_effect_ms"] = {
                name: peer.applied_at_ms(command["index"]) for name, peer in self.context.peers.peers.items()
            }
        return commands
