"""Dissemination of statements: duplicate detection and the broadcasts of each packet (SWIM, section 4.1)."""

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

RETRANSMIT_MULTIPLIER = 2.5  # each broadcast is transmitted this many times log2 n
MAX_SEEN_SIGNATURES = 16384  # a large fleet makes fewer statements than this in a few seconds


class BroadcastKind(enum.Enum):
    """The kind of a queued broadcast, which is the first part of its key in the queue."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    REPORT = "report"
    TOPIC = "topic"


class Dissemination:
    """The broadcast queue, and the signatures of the statements received lately, to detect duplicates."""

    def __init__(self, members: MemberList, sign: Callable[[Statement], SignedStatement]) -> None:
        self.queue = BroadcastQueue()
        self._members = members
        self._sign = sign
        self._seen_signatures: OrderedDict[bytes, None] = OrderedDict()  # oldest first

    def is_seen(self, statement: SignedStatement) -> bool:
        """Return whether the statement has been received before."""
        return statement.signature in self._seen_signatures

    def mark_seen(self, statement: SignedStatement) -> None:
        """Record that a verified statement has been received."""
        self._seen_signatures[statement.signature] = None
        if len(self._seen_signatures) > MAX_SEEN_SIGNATURES:
            self._seen_signatures.popitem(last=False)

    def enqueue(
        self, kind: BroadcastKind, statement: SignedStatement, *subject: str, is_deferred: bool = False
    ) -> None:
        """Queue a statement; it replaces the queued one of its kind and subject (by default its author)."""
        key = (kind.value, *(subject or (statement.author,)))
        self.queue.put(key, statement, is_deferred)

    def packet(self, address: Address, message: Message, peer: Peer | None = None) -> SendPacket:
        """Build a packet that carries the broadcasts with the fewest transmissions.

        If `peer` is suspect or dead, the first broadcast is the suspicion of that peer, so that it can refute
        it at once (Lifeguard, Buddy System).
        """
        buddy_statements: list[SignedStatement] = []
        if peer is not None and peer.state is not MemberState.ALIVE:
            buddy_statements.append(self._sign(Suspect(peer.name, peer.incarnation)))
        remaining_bytes = MAX_PIGGYBACKED_BYTES - sum(
            encoded_size(statement) for statement in buddy_statements
        )
        chosen = self.queue.take(
            MAX_PIGGYBACKED - len(buddy_statements), remaining_bytes, self._transmit_limit()
        )
        return SendPacket(address, message, (*buddy_statements, *chosen))

    def _transmit_limit(self) -> int:
        return max(1, int(RETRANSMIT_MULTIPLIER * math.ceil(math.log2(len(self._members) + 2))))
