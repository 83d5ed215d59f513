"""The replicated state machine of one replica."""

from __future__ import annotations

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import Entry
from sidecar_proxy.consensus.replicated_commands import ApplyResult, ReplicatedState


class StateMachine:
    """The replicated state, and the time at which entries were last applied to it."""

    def __init__(self, persisted: PersistedState, commit_index: int, wall_ms: int) -> None:
        """Restores the state up to the commit index.

        Raises CommandError if the snapshot can't be decoded.
        """
        self.state: ReplicatedState = replicated_commands.decode_state(persisted.log.snapshot.data)
        self.wall_ms = wall_ms  # current Unix time, updated by the replica
        self.applied_at_ms = wall_ms  # Unix time at which the latest entries were applied
        first_index = persisted.log.snapshot.index + 1
        for entry in persisted.log.entries_between(first_index, commit_index):
            self.apply(entry)

    def apply(self, entry: Entry) -> ApplyResult:
        """Applies the next committed entry."""
        return replicated_commands.apply(self.state, entry)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot. Raises CommandError if it can't be decoded."""
        self.state = replicated_commands.decode_state(data)

    def mark_changed(self) -> None:
        """Records that entries or a snapshot have been applied now."""
        self.applied_at_ms = self.wall_ms
