"""Words that were said at this sidecar's door, on their way to be agreed upon. Pure.

What may be said of one: it was sent to somebody who may have proposed it (then only a committed entry makes
it known), or surely not. A word has an id, so it may be sent again to the next leader.
"""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.consensus.frames import Answer, Ask
from sidecar_proxy.consensus.messages import Node

PATIENCE_US = 3_500_000  # of who asks; the door's is a little longer
LOST_US = 2_500_000  # without a leader, after which it is known that there is no quorum, here
MOST_ASKS = 64  # at a time
AGAIN_US = 200_000  # after one that was not the leader

DONE, ERROR, UNKNOWN, ELSEWHERE, NO_QUORUM = "done", "error", "unknown", "elsewhere", "no quorum"


@dataclass(slots=True)
class PendingProposal:
    """One word, or one question for what holds."""

    context: int  # the shell's
    word: bytes
    name: str
    until_us: int
    sent_to: Node = ""  # whose answer is awaited
    maybe: int = 0  # times sent to somebody of whom it is not known that they did nothing
    again_us: int = 0


@dataclass(slots=True, frozen=True)
class ProposalResult:
    """To who asked, at last. `what`: DONE, ERROR, UNKNOWN or NO_QUORUM."""

    context: int
    what: str
    index: int = 0
    text: str = ""


class PendingProposals:
    """All that were said here and are not answered yet."""

    def __init__(self) -> None:
        self.open: dict[int, PendingProposal] = {}
        self.last = 0

    def add(self, context: int, word: bytes, name: str, now_us: int) -> ProposalResult | None:
        """None: it will be answered by one of the methods below."""
        if len(self.open) >= MOST_ASKS:
            return ProposalResult(context, ERROR, text="too many are asked here at a time")
        self.last += 1
        self.open[self.last] = PendingProposal(context, word, name, now_us + PATIENCE_US)
        return None

    def to_send(self, leader: Node, now_us: int) -> list[tuple[Node, Ask]]:
        """Those that wait for a leader."""
        found = []
        for number, one in self.open.items():
            if leader and not one.sent_to and now_us >= one.again_us:
                one.sent_to, one.maybe = leader, one.maybe + 1
                found.append((leader, Ask(number, one.word, one.name)))
        return found

    def unsent(self, number: int, now_us: int) -> None:
        """It never left."""
        one = self.open.get(number)
        if one is not None and one.sent_to:
            one.sent_to, one.maybe, one.again_us = "", one.maybe - 1, now_us + AGAIN_US

    def lost(self, node: Node, now_us: int) -> None:
        """The link broke after it may have left."""
        for one in self.open.values():
            if one.sent_to == node:
                one.sent_to, one.again_us = "", now_us + AGAIN_US

    def answered(self, node: Node, told: Answer, now_us: int) -> ProposalResult | None:
        one = self.open.get(told.number)
        if one is None or one.sent_to != node:
            return None  # hazard: of an earlier sending; it may say of itself what is not true of all
        if told.what in (DONE, ERROR):
            return self.end(told.number, told.what, told.index, told.text)
        if told.what == ELSEWHERE:
            one.maybe -= 1
        one.sent_to, one.again_us = "", now_us + AGAIN_US
        return None

    def late(self, now_us: int, leaderless_us: int) -> list[ProposalResult]:
        """What can't be waited for any longer."""
        found = []
        for number, one in list(self.open.items()):
            if now_us >= one.until_us or (not one.sent_to and leaderless_us >= LOST_US):
                if one.maybe:
                    found.append(self.end(number, UNKNOWN, text="ask again with the same id"))
                else:
                    found.append(self.end(number, NO_QUORUM, text="nothing was changed"))
        return found

    def end(self, number: int, what: str, index: int = 0, text: str = "") -> ProposalResult:
        return ProposalResult(self.open.pop(number).context, what, index, text)
