"""Commands and reads that were submitted at this sidecar and wait for the leader's answer.

A request is forwarded to the leader, and to the next one if that fails: commands carry an id, so a repeat
is harmless. If nobody answers, the result depends on whether any leader may have proposed the command: then
only a committed entry could tell, and the result is "unknown". This module does no I/O.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from sidecar_proxy.consensus.frames import LeaderReply, LeaderRequest
from sidecar_proxy.consensus.messages import NodeId

REQUEST_TIMEOUT_US = 3_500_000  # a little less than the timeout of the admin server's clients
NO_LEADER_TIMEOUT_US = 2_500_000  # without a leader for this long there is no quorum, as seen from here
MAX_PENDING_PROPOSALS = 64
RETRY_US = 200_000  # after a node that was not the leader


class ProposalStatus(enum.StrEnum):
    """The result of a request. The values are those of the wire and of the admin server's answers."""

    DONE = "done"  # committed and applied by the leader
    ERROR = "error"  # rejected; nothing was changed
    UNKNOWN = "unknown"  # it may be committed, now or later
    NOT_LEADER = "elsewhere"  # nothing was done; only between sidecars
    NO_QUORUM = "no quorum"  # no leader had it; nothing was changed


@dataclass(slots=True)
class PendingProposal:
    """A command, or a read of the current state of `name` if the command is empty."""

    request_id: int  # of the caller
    command: bytes
    name: str
    deadline_us: int
    sent_to: NodeId = ""  # whose answer is awaited
    uncertain_count: int = 0  # times that it was sent to a node that may have proposed it
    retry_at_us: int = 0


@dataclass(slots=True, frozen=True)
class ProposalResult:
    """The final answer to the caller with this context; never NOT_LEADER."""

    request_id: int
    status: ProposalStatus
    index: int = 0
    text: str = ""


class PendingProposals:
    """The requests that were submitted here and are not answered yet."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingProposal] = {}  # by number
        self.last_number = 0

    def add(self, request_id: int, command: bytes, name: str, now_us: int) -> ProposalResult | None:
        """Adds a request. Returns a result if it is rejected at once."""
        if len(self.pending) >= MAX_PENDING_PROPOSALS:
            return ProposalResult(request_id, ProposalStatus.ERROR, text="too many are asked here at a time")
        self.last_number += 1
        proposal = PendingProposal(request_id, command, name, now_us + REQUEST_TIMEOUT_US)
        self.pending[self.last_number] = proposal
        return None

    def take_requests(self, leader: NodeId, now_us: int) -> list[LeaderRequest]:
        """Returns the requests to send to the leader now."""
        requests = []
        for number, proposal in self.pending.items():
            if leader and not proposal.sent_to and now_us >= proposal.retry_at_us:
                proposal.sent_to = leader
                proposal.uncertain_count += 1
                requests.append(LeaderRequest(number, proposal.command, proposal.name))
        return requests

    def on_unsent(self, number: int, now_us: int) -> None:
        """Retries a request that never left this sidecar."""
        proposal = self.pending.get(number)
        if proposal is not None and proposal.sent_to:
            proposal.sent_to = ""
            proposal.uncertain_count -= 1
            proposal.retry_at_us = now_us + RETRY_US

    def on_link_broken(self, node: NodeId, now_us: int) -> None:
        """Retries the requests that a node may or may not have received."""
        for proposal in self.pending.values():
            if proposal.sent_to == node:
                proposal.sent_to = ""
                proposal.retry_at_us = now_us + RETRY_US

    def on_reply(self, node: NodeId, reply: LeaderReply, now_us: int) -> ProposalResult | None:
        """Handles a reply. Returns the result if it is final."""
        proposal = self.pending.get(reply.number)
        if proposal is None or proposal.sent_to != node:
            return None  # the answer to an earlier attempt says nothing about the current one
        if reply.status in (ProposalStatus.DONE, ProposalStatus.ERROR):
            return self._complete(reply.number, ProposalStatus(reply.status), reply.index, reply.text)
        if reply.status == ProposalStatus.NOT_LEADER:
            proposal.uncertain_count -= 1
        proposal.sent_to = ""
        proposal.retry_at_us = now_us + RETRY_US
        return None

    def expire(self, now_us: int, leaderless_us: int) -> list[ProposalResult]:
        """Returns the results of the requests that can't wait any longer."""
        results = []
        for number, proposal in list(self.pending.items()):
            has_no_leader = not proposal.sent_to and leaderless_us >= NO_LEADER_TIMEOUT_US
            if now_us < proposal.deadline_us and not has_no_leader:
                continue
            if proposal.uncertain_count:
                text = "ask again with the same id"
                results.append(self._complete(number, ProposalStatus.UNKNOWN, text=text))
            else:
                text = "nothing was changed"
                results.append(self._complete(number, ProposalStatus.NO_QUORUM, text=text))
        return results

    def _complete(
        self, number: int, status: ProposalStatus, index: int = 0, text: str = ""
    ) -> ProposalResult:
        return ProposalResult(self.pending.pop(number).request_id, status, index, text)
