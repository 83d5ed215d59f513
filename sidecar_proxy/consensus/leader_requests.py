"""The leader's side of requests: it proposes commands, answers reads, and replies once they are complete.

A sidecar that does not lead replies who does, as far as it knows.
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

MAX_PENDING_REQUESTS = 256  # reads, and likewise commands of one term that wait for their commit
BARRIER_CONTEXT = 0  # of a read that only confirms the leadership

FactsProvider = Callable[[ReplicatedCommand], DisruptionFacts | None]


@dataclass(slots=True, frozen=True)
class Requester:
    """Who waits for a reply, and the number of its request."""

    node: NodeId
    number: int


@dataclass(slots=True)
class ProposedCommand:
    """An entry that this leader has proposed, and who waits for it."""

    term: int
    command_id: str
    requesters: list[Requester]


@dataclass(slots=True, frozen=True)
class RequestedRead:
    """A read that waits for the confirmation of the leadership."""

    requester: Requester
    name: str


class LeaderRequests:
    """The requests that this sidecar has accepted as the leader."""

    def __init__(self, context: ReplicaContext, proposals: PendingProposals) -> None:
        self.context = context
        self.proposals = proposals  # for replies to this sidecar itself
        self.proposed: dict[int, ProposedCommand] = {}  # by index
        self.reads: dict[int, RequestedRead] = {}  # by the core's context
        self.last_read_context = BARRIER_CONTEXT
        self.facts_provider: FactsProvider | None = None

    def handle(self, node: NodeId, request: LeaderRequest) -> None:
        """Handles a request of any sidecar, this one included."""
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
        self.last_read_context += 1
        self.context.core.request_read(self.last_read_context)
        self.reads[self.last_read_context] = RequestedRead(requester, name)

    def _propose(self, requester: Requester, data: bytes) -> None:
        command = replicated_commands.decode_command(data)
        if command is None:
            self._reply_error(requester, "of a kind that the leader does not know")
            return
        same = next((item for item in self.proposed.values() if item.command_id == command.id), None)
        if same is not None:
            same.requesters.append(requester)
            return
        if sum(len(item.requesters) for item in self.proposed.values()) >= MAX_PENDING_REQUESTS:
            self._reply_error(requester, "too many words at a time")
            return
        core = self.context.core
        index = core.propose(self._add_facts(command, data))
        self.proposed[index] = ProposedCommand(core.term, command.id, [requester])

    def _add_facts(self, command: ReplicatedCommand, data: bytes) -> bytes:
        """Returns the command with this leader's facts, in place of any that it came with."""
        if command.kind not in replicated_commands.KINDS_WITH_FACTS:
            return data
        facts = self.facts_provider(command) if self.facts_provider else None
        return replicated_commands.encode_command_with_facts(msgspec.structs.replace(command, facts=facts))

    def on_applied(self, entry: Entry, outcome: ApplyResult) -> None:
        """Replies to those who wait for an entry that is committed and applied now."""
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

    def on_read_confirmed(self, context: int) -> None:
        """Answers a read from the current state."""
        if context == BARRIER_CONTEXT:
            return
        read = self.reads.pop(context)
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

    def on_read_rejected(self, context: int) -> None:
        """Replies that the leadership was lost before a read was confirmed."""
        if context == BARRIER_CONTEXT:
            return
        read = self.reads.pop(context)
        self._reply(read.requester, ProposalStatus.NOT_LEADER, leader=self.context.core.leader)

    def on_leadership_lost(self) -> None:
        """Replies "unknown" to all: another leader may yet commit what was proposed."""
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
        # A reply of this sidecar to itself may be repeated at once, so its retry time is 0.
        result = self.proposals.on_reply(requester.node, reply, 0)
        if result is not None:
            self.context.outbox.add(result)
