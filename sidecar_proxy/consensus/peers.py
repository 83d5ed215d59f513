"""The other sidecars of the fleet, as known from their status broadcasts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from sidecar_proxy.consensus.frames import ReplicaStatus
from sidecar_proxy.consensus.messages import NodeId
from sidecar_proxy.consensus.voters import node_id_of

MAX_PEERS = 5000
MAX_APPLIED_TIMES = 64  # maximum number of applied indexes that are kept for each peer


@dataclass(slots=True, frozen=True)
class AppliedTime:
    """The time, as reported by a peer, at which it had applied the entries up to `index`."""

    index: int
    at_ms: int  # Unix time by the peer's wall clock


@dataclass(slots=True)
class Peer:
    """Another sidecar, and its latest status."""

    name: str
    status: ReplicaStatus
    site: str
    received_us: int
    applied_times: deque[AppliedTime] = field(default_factory=lambda: deque(maxlen=MAX_APPLIED_TIMES))

    @property
    def node(self) -> NodeId:
        """The peer's node id."""
        return node_id_of(self.name, self.status.incarnation)

    def update(self, status: ReplicaStatus, site: str, now_us: int) -> None:
        """Records a status that the peer has broadcast."""
        self.status = status
        self.site = site
        self.received_us = now_us
        if not self.applied_times or self.applied_times[-1].index < status.applied_index:
            self.applied_times.append(AppliedTime(status.applied_index, status.applied_at_ms))

    def applied_at_ms(self, index: int) -> int | None:
        """Returns when the peer had applied an entry, or None if it has not, as far as is known."""
        return next((applied.at_ms for applied in self.applied_times if applied.index >= index), None)


class PeerTable:
    """All other sidecars that have broadcast a status and that gossip does not consider dead."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.voting_peers: dict[str, Peer] = {}  # the peers whose status says that they are voters
        self.logged_foreign: set[str] = set()  # names of the sidecars of other fleets that were logged

    def update(self, name: str, site: str, status: ReplicaStatus, now_us: int) -> Peer | None:
        """Records a status that a peer has broadcast. Returns None if there are MAX_PEERS other peers."""
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                return None
            peer = Peer(name, status, site, now_us)
            self.peers[name] = peer
        peer.update(status, site, now_us)
        if status.is_voter:
            self.voting_peers[name] = peer
        else:
            self.voting_peers.pop(name, None)
        return peer

    def remove(self, name: str) -> None:
        """Removes a sidecar that gossip considers dead."""
        self.peers.pop(name, None)
        self.voting_peers.pop(name, None)

    def mark_foreign(self, name: str) -> bool:
        """Records a sidecar of another fleet, and returns whether it is to be logged.

        Each sidecar is logged once, and at most MAX_PEERS of them.
        """
        if name in self.logged_foreign or len(self.logged_foreign) >= MAX_PEERS:
            return False
        self.logged_foreign.add(name)
        return True

    def voter_nodes(self) -> list[NodeId]:
        """Returns the node ids of the peers whose status says that they are voters."""
        return [peer.node for peer in self.voting_peers.values()]

    def reported_leader(self) -> NodeId:
        """Returns the leader that the voters report, or "" if none reports one.

        The report of the latest term counts, and in the same term that of the leader itself.
        """
        reports = (
            (peer.status.term, peer.status.leader == peer.node, peer.status.leader)
            for peer in self.voting_peers.values()
            if peer.status.leader
        )
        return max(reports, default=(0, False, ""))[2]

    def reported_fleet_id(self) -> str:
        """Returns the fleet id in the first status that has one, or "" if none has."""
        return next((peer.status.fleet_id for peer in self.peers.values() if peer.status.fleet_id), "")
