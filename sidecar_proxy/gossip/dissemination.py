"""Dissemination of statements: which are new, and which travel on each packet (SWIM, section 4.1). Pure."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Callable

from sidecar_proxy.gossip.broadcasts import (
    MAX_PIGGYBACKED,
    MAX_PIGGYBACKED_BYTES,
    BroadcastQueue,
    encoded_size,
)
from sidecar_proxy.gossip.codec import Message, SignedStatement, Statement, Suspect
from sidecar_proxy.gossip.effects import Address, SendPacket
from sidecar_proxy.gossip.members import MemberList, MemberState, Peer

RETRANSMIT_MULTIPLIER = 2.5  # a broadcast is sent this many times log2 n
MAX_SEEN_SIGNATURES = 16384  # more than the statements of a large fleet in some seconds


class BroadcastKind(enum.Enum):
    """What a queued broadcast is about; the first part of its key in the queue."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    REPORT = "report"
    TOPIC = "topic"


class Dissemination:
    """The broadcast queue and the signatures of the statements that have been received."""

    def __init__(self, members: MemberList, sign: Callable[[Statement], SignedStatement]) -> None:
        self.queue = BroadcastQueue()
        self._members = members
        self._sign = sign
        self._seen: OrderedDict[bytes, None] = OrderedDict()  # signatures, oldest first

    def is_seen(self, statement: SignedStatement) -> bool:
        """Tell whether the statement has been received before."""
        return statement.signature in self._seen

    def mark_seen(self, statement: SignedStatement) -> None:
        """Remember that a verified statement has been received."""
        self._seen[statement.signature] = None
        if len(self._seen) > MAX_SEEN_SIGNATURES:
            self._seen.popitem(last=False)

    def enqueue(
        self, kind: BroadcastKind, statement: SignedStatement, *subject: str, is_deferred: bool = False
    ) -> None:
        """Queue a statement in place of the queued one of its kind and subject, by default its author."""
        key = (kind.value, *(subject or (statement.author,)))
        self.queue.put(key, statement, is_deferred)

    def packet(self, address: Address, message: Message, peer: Peer | None = None) -> SendPacket:
        """Build a packet with the broadcasts that were sent least.

        A peer that is not alive gets a suspicion of itself first, so that it can refute it (Lifeguard, Buddy
        System).
        """
        buddy: list[SignedStatement] = []
        if peer is not None and peer.state is not MemberState.ALIVE:
            buddy.append(self._sign(Suspect(peer.name, peer.incarnation)))
        remaining_bytes = MAX_PIGGYBACKED_BYTES - sum(encoded_size(statement) for statement in buddy)
        chosen = self.queue.take(MAX_PIGGYBACKED - len(buddy), remaining_bytes, self._transmit_limit())
        return SendPacket(address, message, (*buddy, *chosen))

    def _transmit_limit(self) -> int:
        return max(1, int(RETRANSMIT_MULTIPLIER * math.ceil(math.log2(len(self._members) + 2))))
