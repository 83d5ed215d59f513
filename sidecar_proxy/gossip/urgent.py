"""Urgent relay of outlier reports: each instance sends a report that is new to it to a few peers at once.

A report reaches all instances in about log n hops, without waiting for probes. Two limits keep an author that
reports without end from filling the network: a token bucket for the packets of this instance, and the rate
limit for each author in `Peer`. Times are passed in; the module does no I/O.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping

from sidecar_proxy.gossip.broadcasts import MAX_PIGGYBACKED, MAX_PIGGYBACKED_BYTES, encoded_size
from sidecar_proxy.gossip.codec import SignedStatement, UrgentBroadcasts
from sidecar_proxy.gossip.effects import SendPacket
from sidecar_proxy.gossip.members import MemberList, Peer

FANOUT = 3  # number of peers to which an urgent packet is sent
PACKETS_PER_S = 60.0  # rate and burst of the urgent packets of this instance
BATCH_DELAY_US = 10_000  # reports received within this time share packets


class UrgentRelay:
    """The reports that are batched or deferred for urgent packets, and the limit on these packets."""

    def __init__(
        self,
        members: MemberList,
        reports: Mapping[str, SignedStatement],
        rng: random.Random,
        now_us: int,
    ) -> None:
        self._members = members
        self._reports = reports  # the latest report of each author
        self._rng = rng
        self._tokens = PACKETS_PER_S
        self._refilled_us = now_us
        self._batch: list[SignedStatement] = []
        self._batch_due_us = 0
        self._deferred: list[tuple[int, str]] = []  # (due time, author) of each deferred relay, as a heap

    def due_times_us(self) -> list[int]:
        """Return the due times of the batch and of the first deferred report, if there are any."""
        times = []
        if self._batch:
            times.append(self._batch_due_us)
        if self._deferred:
            times.append(self._deferred[0][0])
        return times

    def relay(self, peer: Peer, statement: SignedStatement, now_us: int) -> list[SendPacket]:
        """Relay a peer's new report, or defer it until the rate limit of its author allows.

        At that time the latest report of the author is relayed. Reports over the limit are deferred and not
        dropped, because the second report of a fault, which makes a full vote, follows the first at once.
        """
        if peer.has_deferred_urgent:
            return []
        next_us = peer.next_urgent_us(now_us)
        if now_us < next_us:
            peer.has_deferred_urgent = True
            heapq.heappush(self._deferred, (next_us, peer.name))
            return []
        peer.record_urgent(now_us)
        return self.add(statement, now_us, BATCH_DELAY_US)

    def relay_deferred(self, now_us: int) -> list[SendPacket]:
        """Relay the latest report of each author whose deferred relay is due."""
        packets: list[SendPacket] = []
        while self._deferred and self._deferred[0][0] <= now_us:
            _, name = heapq.heappop(self._deferred)
            peer = self._members.get(name)
            if peer is None or not peer.has_deferred_urgent:
                continue
            peer.has_deferred_urgent = False
            peer.record_urgent(now_us)
            statement = self._reports.get(name)
            if statement is not None:
                packets += self.add(statement, now_us, BATCH_DELAY_US)
        return packets

    def add(self, statement: SignedStatement, now_us: int, delay_us: int) -> list[SendPacket]:
        """Add a statement to the batch, which is sent `delay_us` after its first statement was added."""
        if not self._batch:
            self._batch_due_us = now_us + delay_us
        self._batch.append(statement)
        return self.flush(now_us)

    def flush(self, now_us: int) -> list[SendPacket]:
        """Send the batch if it is due. Statements over the limit are sent only with the probes' packets."""
        if not self._batch or now_us < self._batch_due_us:
            return []
        self._refill(now_us)
        live_peers = self._members.live_peers()
        packets: list[SendPacket] = []
        while self._batch:
            statements = self._take_packet()
            targets = self._rng.sample(live_peers, min(FANOUT, len(live_peers), int(self._tokens)))
            self._tokens -= len(targets)
            if not targets:
                self._batch.clear()
            packets += [SendPacket(peer.address, UrgentBroadcasts(), statements) for peer in targets]
        return packets

    def _refill(self, now_us: int) -> None:
        new_tokens = PACKETS_PER_S * (now_us - self._refilled_us) / 1e6
        self._tokens = min(PACKETS_PER_S, self._tokens + new_tokens)
        self._refilled_us = now_us

    def _take_packet(self) -> tuple[SignedStatement, ...]:
        """Remove the statements of one packet from the batch and return them, the latest first."""
        chosen = [self._batch.pop()]
        remaining_bytes = MAX_PIGGYBACKED_BYTES - encoded_size(chosen[0])
        while (
            self._batch and len(chosen) < MAX_PIGGYBACKED and encoded_size(self._batch[-1]) <= remaining_bytes
        ):
            chosen.append(self._batch.pop())
            remaining_bytes -= encoded_size(chosen[-1])
        return tuple(chosen)
