"""The settings and the shared parts of one replica."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sidecar_proxy.consensus.messages import NodeId
from sidecar_proxy.consensus.outputs import Outbox
from sidecar_proxy.consensus.peers import PeerTable
from sidecar_proxy.consensus.raft import RaftCore
from sidecar_proxy.consensus.replicated_commands import ReplicatedState
from sidecar_proxy.consensus.state_machine import StateMachine

DEFAULT_COMPACTION_ENTRIES = 1024


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    """The settings of a replica."""

    voter_count: int = 3
    can_vote: bool = True  # whether this sidecar may become a voter
    replace_after_us: int = 60_000_000  # a voter that sends nothing for this long is replaced
    transfer_bytes_per_s: float = 262_144.0  # rate limit of the state that this sidecar sends to others
    compaction_entries: int = DEFAULT_COMPACTION_ENTRIES  # number of entries at which the log is compacted


@dataclass(slots=True)
class ReplicaContext:
    """The identity of a replica, and those of its parts that its other parts share."""

    name: str
    site: str
    node_id: NodeId
    limits: ReplicaLimits
    rng: random.Random
    core: RaftCore
    state_machine: StateMachine
    peers: PeerTable
    outbox: Outbox
    up_to_date_us: int = 0  # when this sidecar was last known to have all committed entries; 0 = never

    @property
    def state(self) -> ReplicatedState:
        """The replicated state."""
        return self.state_machine.state

    @property
    def is_voter(self) -> bool:
        """Whether this sidecar is among the voters."""
        return self.node_id in self.core.voters
