"""Urgent relay of outlier reports: sent at once to a few peers, each of which relays what is new to it. Pure.

All instances have a report in about log n hops, without waiting for the next probe. Two limits keep a report
without end from filling the network: a token bucket of packets here, and a rate for each author in `Peer`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping

from sidecar_proxy.gossip.broadcasts import MAX_PIGGYBACKED, MAX_PIGGYBACKED_BYTES, encoded_size
from sidecar_proxy.gossip.codec import SignedStatement, UrgentBroadcasts
from sidecar_proxy.gossip.effects import SendPacket
from sidecar_proxy.gossip.members import MemberList, Peer

FANOUT = 3  # peers that get an urgent report at once
PACKETS_PER_S = 60.0  # urgent packets of this instance, and their burst
BATCH_DELAY_US = 10_000  # reports that come within it share packets


class UrgentRelay:
    """The reports that wait for an urgent packet, and the limits on them."""

    def __init__(
        self,
        members: MemberList,
        reports: Mapping[str, SignedStatement],
        rng: random.Random,
        now_us: int,
    ) -> None:
        self._members = members
        self._reports = reports  # the latest of each author
        self._rng = rng
        self._tokens = PACKETS_PER_S
        self._refilled_us = now_us
        self._batch: list[SignedStatement] = []
        self._batch_due_us = 0
        self._deferred: list[tuple[int, str]] = []  # heap: when whose latest report is due

    def due_times_us(self) -> list[int]:
        """Return when the batch and the first deferred report are due, as far as there are any."""
        times = []
        if self._batch:
            times.append(self._batch_due_us)
        if self._deferred:
            times.append(self._deferred[0][0])
        return times

    def relay(self, peer: Peer, statement: SignedStatement, now_us: int) -> list[SendPacket]:
        """Relay a peer's new report now, or its latest one as soon as the author's rate allows.

        It is deferred, not dropped: the second report of a fault, which makes a full vote, comes right after
        the first.
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
        """Relay the deferred reports that are due."""
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
        """Add a statement to the batch, which is sent once its first statement has waited `delay_us`."""
        if not self._batch:
            self._batch_due_us = now_us + delay_us
        self._batch.append(statement)
        return self.flush(now_us)

    def flush(self, now_us: int) -> list[SendPacket]:
        """Send the batch if it is due; what exceeds the limit is left to the packets of the probes."""
        if not self._batch or now_us < self._batch_due_us:
            return []
        self._refill(now_us)
        living = self._members.live_peers()
        packets: list[SendPacket] = []
        while self._batch:
            statements = self._next_packet()
            targets = self._rng.sample(living, min(FANOUT, len(living), int(self._tokens)))
            self._tokens -= len(targets)
            if not targets:
                self._batch.clear()
            packets += [SendPacket(peer.address, UrgentBroadcasts(), statements) for peer in targets]
        return packets

    def _refill(self, now_us: int) -> None:
        earned = PACKETS_PER_S * (now_us - self._refilled_us) / 1e6
        self._tokens = min(PACKETS_PER_S, self._tokens + earned)
        self._refilled_us = now_us

    def _next_packet(self) -> tuple[SignedStatement, ...]:
        """Take the statements of one packet from the batch, the latest first."""
        chosen = [self._batch.pop()]
        remaining_bytes = MAX_PIGGYBACKED_BYTES - encoded_size(chosen[0])
        while (
            self._batch and len(chosen) < MAX_PIGGYBACKED and encoded_size(self._batch[-1]) <= remaining_bytes
        ):
            chosen.append(self._batch.pop())
            remaining_bytes -= encoded_size(chosen[-1])
        return tuple(chosen)
