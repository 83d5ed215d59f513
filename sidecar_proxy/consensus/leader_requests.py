"""The leader's handling of requests: it proposes commands, performs reads, and replies to the requesters.

A sidecar that is not the leader replies with the id of the leader, if it knows it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.disruption_budgets import DisruptionFacts
from sidecar_proxy.consensus.errors import ProposalRejectedError
from sidecar_proxy.consensus.frames import LeaderReply, LeaderRequest
from sidecar_proxy.consensus.messages import Entry, NodeId
from sidecar_proxy.consensus.proposals import PendingProposals, ProposalStatus
from sidecar_proxy.consensus.replica_context import ReplicaContext
from sidecar_proxy.consensus.replicated_commands import ApplyResult, ReplicatedCommand

MAX_PENDING_REQUESTS = 256  # maximum number of pending reads, and of requesters of pending commands
BARRIER_READ_ID = 0  # id of all reads that only confirm the leadership and have no requester

FactsProvider = Callable[[ReplicatedCommand], DisruptionFacts | None]


@dataclass(slots=True, frozen=True)
class Requester:
    """The node that waits for a reply, and the number of its request."""

    node: NodeId
    number: int


@dataclass(slots=True)
class ProposedCommand:
    """A command that this leader has proposed, and the requesters that wait for its result."""

    term: int
    command_id: str
    requesters: list[Requester]


@dataclass(slots=True, frozen=True)
class RequestedRead:
    """A read that waits until the leadership is confirmed."""

    requester: Requester
    name: str


class LeaderRequests:
    """The pending requests that this sidecar has accepted as the leader."""

    def __init__(self, context: ReplicaContext, proposals: PendingProposals) -> None:
        self.context = context
        self.proposals = proposals  # receives the replies to this sidecar's own requests
        self.proposed: dict[int, ProposedCommand] = {}  # proposed commands by the index of their log entry
        self.reads: dict[int, RequestedRead] = {}  # pending reads by read id of the Raft core
        self.last_read_id = BARRIER_READ_ID
        self.facts_provider: FactsProvider | None = None

    def handle(self, node: NodeId, request: LeaderRequest) -> None:
        """Handles a request from any sidecar, including this one."""
        requester = Requester(node, request.number)
        try:
            if request.command:
                self._propose(requester, request.command)
            else:
                self._read(requester, request.name)
        except ProposalRejectedError:
            self._reply(requester, ProposalStatus.NOT_LEADER, leader=self.context.core.leader)

    def _read(self, requester: Requester, name: str) -> None:
        if len(self.reads) >= MAX_PENDING_REQUESTS:
            self._reply_error(requester, "too many ask at a time")
            return
        self.last_read_id += 1
        self.context.core.request_read(self.last_read_id)
        self.reads[self.last_read_id] = RequestedRead(requester, name)

    def _propose(self, requester: Requester, data: bytes) -> None:
        command = replicated_commands.decode_command(data)
        if command is None:
            self._reply_error(requester, "of a kind that the leader does not know")
            return
        existing = next(
            (proposed for proposed in self.proposed.values() if proposed.command_id == command.id), None
        )
        if existing is not None:
            existing.requesters.append(requester)
            return
        if sum(len(proposed.requesters) for proposed in self.proposed.values()) >= MAX_PENDING_REQUESTS:
            self._reply_error(requester, "too many words at a time")
            return
        core = self.context.core
        index = core.propose(self._add_facts(command, data))
        self.proposed[index] = ProposedCommand(core.term, command.id, [requester])

    def _add_facts(self, command: ReplicatedCommand, data: bytes) -> bytes:
        """Returns the encoded command with this leader's facts, which replace any facts in the request."""
        if command.kind not in replicated_commands.KINDS_WITH_FACTS:
            return data
        facts = self.facts_provider(command) if self.facts_provider else None
        return replicated_commands.encode_command_with_facts(msgspec.structs.replace(command, facts=facts))

    def on_applied(self, entry: Entry, outcome: ApplyResult) -> None:
        """Replies to the requesters of an entry that has been committed and applied."""
        proposed = self.proposed.pop(entry.index, None)
        if proposed is None:
            return
        for requester in proposed.requesters:
            if proposed.term != entry.term:
                self._reply(requester, ProposalStatus.UNKNOWN, leader=self.context.core.leader)
            elif outcome.error:
                self._reply_error(requester, outcome.error, outcome.index)
            else:
                self._reply_done(requester, outcome.index, outcome.text)

    def on_read_confirmed(self, read_id: int) -> None:
        """Replies to a read from the current state, after the leadership has been confirmed."""
        if read_id == BARRIER_READ_ID:
            return
        read = self.reads.pop(read_id)
        state = self.context.state
        excluded = state.excluded.get(read.name)
        setting = state.settings.get(read.name)
        answer = {
            "held": excluded.kind if excluded else None,
            "since": excluded.index if excluded else None,
            "value": setting.value if setting else None,
        }
        text = json.dumps(answer, ensure_ascii=False)
        self._reply_done(read.requester, state.index, text[: replicated_commands.MAX_VALUE_CHARS])

    def on_read_rejected(self, read_id: int) -> None:
        """Replies NOT_LEADER to a read, as the leadership was lost before it was confirmed."""
        if read_id == BARRIER_READ_ID:
            return
        read = self.reads.pop(read_id)
        self._reply(read.requester, ProposalStatus.NOT_LEADER, leader=self.context.core.leader)

    def on_leadership_lost(self) -> None:
        """Replies UNKNOWN to all pending commands, as another leader may still commit their entries."""
        for proposed in self.proposed.values():
            for requester in proposed.requesters:
                self._reply(requester, ProposalStatus.UNKNOWN, leader=self.context.core.leader)
        self.proposed.clear()

    def _reply_done(self, requester: Requester, index: int, text: str) -> None:
        self._reply(requester, ProposalStatus.DONE, index, text, self.context.node_id)

    def _reply_error(self, requester: Requester, text: str, index: int = 0) -> None:
        self._reply(requester, ProposalStatus.ERROR, index, text, self.context.node_id)

    def _reply(
        self,
        requester: Requester,
        status: ProposalStatus,
        index: int = 0,
        text: str = "",
        leader: NodeId = "",
    ) -> None:
        reply = LeaderReply(requester.number, status, index, text, leader)
        if requester.node != self.context.node_id:
            self.context.outbox.send(requester.node, reply)
            return
        # A request of this sidecar to itself may be retried without delay, so the time passed here is 0.
        result = self.proposals.on_reply(requester.node, reply, 0)
        if result is not None:
            self.context.outbox.add(result)
