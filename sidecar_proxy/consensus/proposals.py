"""Commands and reads that were submitted at this sidecar and are pending until the leader replies.

A request is forwarded to the leader, and retried at the next leader if that fails; commands carry an id and
are thus idempotent. If no final reply arrives in time, the result is "unknown" if any leader may have
proposed the command, as it may still be committed, and "no quorum" otherwise. This module does no I/O.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from sidecar_proxy.consensus.frames import LeaderReply, LeaderRequest
from sidecar_proxy.consensus.messages import NodeId

REQUEST_TIMEOUT_US = 3_500_000  # slightly shorter than the timeout of the admin server's clients
NO_LEADER_TIMEOUT_US = 2_500_000  # requests fail with "no quorum" after this time without a known leader
MAX_PENDING_PROPOSALS = 64
RETRY_DELAY_US = 200_000  # delay before a request that the leader did not complete is sent again


class ProposalStatus(enum.StrEnum):
    """The status of a request. The values are sent on the wire and in the admin server's answers."""

    DONE = "done"  # the leader has committed and applied the command, or answered the read
    ERROR = "error"  # the request was rejected; nothing was changed
    UNKNOWN = "unknown"  # the command may have been committed, or may be committed later
    NOT_LEADER = "elsewhere"  # the node is not the leader and did nothing; only used between sidecars
    NO_QUORUM = "no quorum"  # no leader can have accepted the request; nothing was changed


@dataclass(slots=True)
class PendingProposal:
    """A pending command, or a pending read of the current state of `name` if the command is empty."""

    request_id: int  # id that the caller has chosen, for the ProposalResult
    command: bytes
    name: str
    deadline_us: int
    sent_to: NodeId = ""  # the node whose reply is awaited; "" = none
    uncertain_count: int = 0  # number of attempts whose node may have proposed the command
    retry_at_us: int = 0


@dataclass(slots=True, frozen=True)
class ProposalResult:
    """The final result of the request with this id; its status is never NOT_LEADER."""

    request_id: int
    status: ProposalStatus
    index: int = 0
    text: str = ""


class PendingProposals:
    """The requests that were submitted at this sidecar and are not completed yet."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingProposal] = {}  # proposals by the number in their LeaderRequest
        self.last_number = 0

    def add(self, request_id: int, command: bytes, name: str, now_us: int) -> ProposalResult | None:
        """Adds a request. Returns a result if it is rejected immediately, otherwise None."""
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
        """Schedules a retry of a request that was not sent."""
        proposal = self.pending.get(number)
        if proposal is not None and proposal.sent_to:
            proposal.sent_to = ""
            proposal.uncertain_count -= 1
            proposal.retry_at_us = now_us + RETRY_DELAY_US

    def on_link_broken(self, node: NodeId, now_us: int) -> None:
        """Schedules a retry of the requests that the node may or may not have received."""
        for proposal in self.pending.values():
            if proposal.sent_to == node:
                proposal.sent_to = ""
                proposal.retry_at_us = now_us + RETRY_DELAY_US

    def on_reply(self, node: NodeId, reply: LeaderReply, now_us: int) -> ProposalResult | None:
        """Handles a reply. Returns the result if the reply is final, otherwise None."""
        proposal = self.pending.get(reply.number)
        if proposal is None or proposal.sent_to != node:
            return None  # a late reply to an earlier attempt does not decide the current one
        if reply.status in (ProposalStatus.DONE, ProposalStatus.ERROR):
            return self._complete(reply.number, ProposalStatus(reply.status), reply.index, reply.text)
        if reply.status == ProposalStatus.NOT_LEADER:
            proposal.uncertain_count -= 1
        proposal.sent_to = ""
        proposal.retry_at_us = now_us + RETRY_DELAY_US
        return None

    def expire(self, now_us: int, leaderless_us: int) -> list[ProposalResult]:
        """Completes the requests that are past their deadline or have no leader; returns their results."""
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
