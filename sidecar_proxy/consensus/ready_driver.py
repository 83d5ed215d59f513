"""Processes the Readies of the Raft core: persists the state, then sends messages, then applies entries.

One write is in progress at a time; entries that arrive meanwhile are written together by the next write
(group commit). Only Append messages are sent before the write (10.2.1), and only if their term is already on
disk.
Section numbers are those of Ongaro, "Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

from typing import cast

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.frames import RaftMessage, SnapshotOffer
from sidecar_proxy.consensus.leader_requests import LeaderRequests
from sidecar_proxy.consensus.messages import Append, InstallSnapshot, Message
from sidecar_proxy.consensus.outputs import PersistState, StateChanged
from sidecar_proxy.consensus.raft import Ready
from sidecar_proxy.consensus.replica_context import ReplicaContext

MAX_WAITING_MESSAGES = 256  # maximum number of messages that wait for a write; the oldest are dropped


class ReadyDriver:
    """Takes Readies from the core and converts them into effects."""

    def __init__(self, context: ReplicaContext, leader_requests: LeaderRequests) -> None:
        self.context = context
        self.leader_requests = leader_requests
        # The Ready whose write is in progress; an empty one while a compacted log is being written.
        self.unpersisted_ready: Ready | None = None

    def run(self) -> None:
        """Processes Readies until one has to be written; if none has, compacts the log when it is due."""
        core = self.context.core
        while self.unpersisted_ready is None:
            if not core.has_ready():
                self._compact_if_due()
                return
            ready = core.ready()
            if self._needs_write(ready):
                self._start_write(ready)
            else:
                self._complete(ready)
        waiting = core.next_ready.messages
        if len(waiting) > MAX_WAITING_MESSAGES:  # Raft tolerates dropped messages like lost packets
            del waiting[:-MAX_WAITING_MESSAGES]

    def on_persisted(self) -> None:
        """Sends the messages and applies the entries of the Ready that has been written."""
        ready = self.unpersisted_ready
        assert ready is not None
        self.unpersisted_ready = None
        self._complete(ready)

    def _needs_write(self, ready: Ready) -> bool:
        has_state = ready.hard_state is not None or ready.snapshot is not None
        return has_state or bool(ready.entries or ready.committed)

    def _compact_if_due(self) -> None:
        core = self.context.core
        has_enough = len(core.log.entries) >= self.context.limits.compaction_entries
        if not has_enough or core.log.snapshot.index == core.applied_index:
            return
        data = replicated_commands.encode_state(self.context.state)
        snapshot = core.log.compact(core.applied_index, data)
        self.unpersisted_ready = Ready()
        entries = tuple(core.log.entries)
        self.context.outbox.add(
            PersistState(None, core.applied_index, snapshot, entries, core.persisted_hard_state)
        )

    def _start_write(self, ready: Ready) -> None:
        core = self.context.core
        self.unpersisted_ready = ready
        self.context.outbox.add(
            PersistState(
                ready.hard_state,
                core.applied_index,
                ready.snapshot,
                tuple(ready.entries),
                core.persisted_hard_state,
            )
        )
        if ready.hard_state is None:  # the term of the Append messages is already on disk
            remaining: list[Message] = []
            for message in ready.messages:
                if isinstance(message, Append):
                    self.context.outbox.send(message.target, message)
                else:
                    remaining.append(message)
            ready.messages = remaining

    def _complete(self, ready: Ready) -> None:
        self.context.core.mark_persisted(ready.entries)
        for message in ready.messages:
            self._send(message)
        if ready.snapshot is not None:
            self._restore(ready.snapshot.data)
        for entry in ready.committed:
            outcome = self.context.state_machine.apply(entry)
            self.leader_requests.on_applied(entry, outcome)
        if ready.committed or ready.snapshot is not None:
            self.context.state_machine.mark_changed()
            self.context.outbox.add(StateChanged())
        for read_id, _ in ready.reads:
            self.leader_requests.on_read_confirmed(read_id)
        for read_id in ready.rejected_reads:
            self.leader_requests.on_read_rejected(read_id)

    def _send(self, message: Message) -> None:
        if isinstance(message, InstallSnapshot):
            offer = SnapshotOffer(
                message.source, message.target, message.term, message.snapshot.index, message.round
            )
            self.context.outbox.send(message.target, offer)
        else:
            self.context.outbox.send(message.target, cast(RaftMessage, message))

    def _restore(self, data: bytes) -> None:
        state_machine = self.context.state_machine
        had_fleet = bool(state_machine.state.fleet_id)
        state_machine.restore(data)
        if not had_fleet:
            self.context.outbox.log(f"this sidecar has joined fleet {state_machine.state.fleet_id}")
