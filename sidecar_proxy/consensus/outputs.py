"""The effects that a replica returns for its caller to perform, and the list that collects them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sidecar_proxy.consensus.frames import Frame, ReplicaStatus
from sidecar_proxy.consensus.messages import Entry, HardState, NodeId, Snapshot
from sidecar_proxy.consensus.proposals import ProposalResult


@dataclass(slots=True, frozen=True)
class PersistState:
    """Write and sync all of this atomically, then call `Replica.on_persisted`."""

    hard_state: HardState | None  # None if unchanged
    commit_index: int
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    current_hard_state: HardState


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a frame to a node."""

    target: NodeId
    frame: Frame


@dataclass(slots=True, frozen=True)
class Broadcast:
    """Broadcast this sidecar's status to all peers by gossip."""

    status: ReplicaStatus


@dataclass(slots=True, frozen=True)
class StateChanged:
    """The replicated state, `Replica.state`, has changed."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the program's log."""

    text: str


Output = PersistState | SendMessage | Broadcast | StateChanged | LogMessage | ProposalResult


class Outbox:
    """The effects of the current event, in the order in which they are to be performed."""

    def __init__(self) -> None:
        self.outputs: list[Output] = []

    def add(self, output: Output) -> None:
        """Adds an effect."""
        self.outputs.append(output)

    def send(self, target: NodeId, frame: Frame) -> None:
        """Adds a frame to send."""
        self.outputs.append(SendMessage(target, frame))

    def log(self, text: str) -> None:
        """Adds a line for the program's log."""
        self.outputs.append(LogMessage(text))

    def take(self) -> list[Output]:
        """Returns all effects and removes them from the outbox."""
        outputs = self.outputs
        self.outputs = []
        return outputs
