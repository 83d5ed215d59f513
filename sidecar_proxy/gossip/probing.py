"""The failure detector: one probe per interval, first direct, then indirect (SWIM, sections 3.1 and 4.3).

Times are passed in and packets to send are returned; the module does no I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from sidecar_proxy.gossip.codec import Ack, Nack, Ping, PingReq
from sidecar_proxy.gossip.dissemination import Dissemination
from sidecar_proxy.gossip.effects import Address, SendPacket
from sidecar_proxy.gossip.members import MemberList, MemberState, Peer
from sidecar_proxy.gossip.suspicion import PROBE_INTERVAL_US, Awareness, Suspicions

PROBE_TIMEOUT_US = 200_000  # timeout of the direct ack, and then again of an indirect ack
# shorter than the timeout, so that a nack arrives before the requester's own timeout
NACK_DELAY_US = PROBE_TIMEOUT_US * 4 // 5
INDIRECT_PROBES = 3  # number of peers to which a ping-req is sent
MAX_RELAYED_PROBES = 64  # maximum number of relayed probes in flight


@dataclass(slots=True)
class Probe:
    """The probe of this instance that is in flight."""

    seq: int
    target: str
    direct_deadline_us: int  # when the indirect probe starts if there is no direct ack
    deadline_us: int  # when the probe has failed if there is no ack at all
    relays: int = 0  # peers that were sent a ping-req, or 1 if there are none; 0 = no indirect probe yet
    nacks: int = 0  # number of nacks received from the peers that were sent a ping-req


@dataclass(slots=True, frozen=True)
class RelayedProbe:
    """A probe that this instance sends on behalf of a peer, after a ping-req."""

    requester: Address
    requester_seq: int  # sequence number of the ping-req
    nack_due_us: int  # when a nack is sent if the target has not answered


class FailureDetector:
    """Probes all peers in rounds, answers the probes of peers and relays probes for them."""

    def __init__(
        self,
        name: str,
        members: MemberList,
        dissemination: Dissemination,
        suspicions: Suspicions,
        awareness: Awareness,
        counts: Counter[str],
        rng: random.Random,
        now_us: int,
    ) -> None:
        self._name = name
        self._members = members
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._awareness = awareness
        self._counts = counts
        self._rng = rng
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedProbe] = {}  # probes by sequence number of this instance's ping
        self._round: list[str] = []  # names of the peers still to be probed in this round, the next one last
        self._seq = rng.randrange(1 << 30)
        # The first probe is at a random time, so that instances started together do not probe together.
        self._next_probe_us = now_us + int(PROBE_INTERVAL_US * rng.random())

    def due_times_us(self) -> list[int]:
        """Return the times at which `tick` or `expire_relayed` has something to do."""
        times = [self._next_probe_us]
        if self._probe is not None:
            times.append(self._probe.deadline_us if self._probe.relays else self._probe.direct_deadline_us)
        times += [relayed.nack_due_us for relayed in self._relayed.values()]
        return times

    def add_to_round(self, name: str) -> None:
        """Insert a new peer at a random position of the current round (SWIM, section 4.3)."""
        self._round.insert(self._rng.randrange(len(self._round) + 1), name)

    def expire_relayed(self, now_us: int) -> list[SendPacket]:
        """Send a nack for each relayed probe whose target has not answered in time."""
        packets = []
        for seq, relayed in list(self._relayed.items()):
            if now_us >= relayed.nack_due_us:
                del self._relayed[seq]
                packets.append(self._dissemination.packet(relayed.requester, Nack(relayed.requester_seq)))
        return packets

    def tick(self, now_us: int) -> list[SendPacket]:
        """Continue or fail the probe in flight and start the next probe, if they are due."""
        packets: list[SendPacket] = []
        probe = self._probe
        if probe is not None and not probe.relays and now_us >= probe.direct_deadline_us:
            packets += self._probe_indirectly(probe)
        if probe is not None and now_us >= probe.deadline_us:
            self._fail_probe(probe, now_us)
        if now_us >= self._next_probe_us:
            self._next_probe_us = now_us + self._awareness.scale_us(PROBE_INTERVAL_US)
            packets += self._probe_dead()
            packets += self._probe_next(now_us)
        return packets

    def on_ping(self, address: Address, peer: Peer | None, ping: Ping) -> list[SendPacket]:
        """Answer a ping, unless its target is another instance that had this address before."""
        if ping.target != self._name:
            return []
        reply_to = peer.address if peer is not None else address
        return [self._dissemination.packet(reply_to, Ack(ping.seq), peer)]

    def on_ack(self, seq: int) -> list[SendPacket]:
        """Complete the probe in flight, or forward the ack to the requester of a relayed probe."""
        relayed = self._relayed.pop(seq, None)
        if relayed is not None:
            return [self._dissemination.packet(relayed.requester, Ack(relayed.requester_seq))]
        if self._probe is not None and seq == self._probe.seq:
            self._probe = None
            self._awareness.improve()
        return []

    def on_nack(self, seq: int) -> None:
        """Count a nack. It shows that packets from and to this instance arrive, so the fault is not local."""
        if self._probe is not None and seq == self._probe.seq:
            self._probe.nacks += 1

    def on_ping_req(self, requester: Peer | None, request: PingReq, now_us: int) -> list[SendPacket]:
        """Probe the target of a ping-req; one of an unknown peer or for an unknown target is ignored."""
        target = self._members.get(request.target)
        if target is None or requester is None or len(self._relayed) >= MAX_RELAYED_PROBES:
            return []
        seq = self._next_seq()
        self._relayed[seq] = RelayedProbe(requester.address, request.seq, now_us + NACK_DELAY_US)
        return [self._dissemination.packet(target.address, Ping(seq, target.name), target)]

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _probe_dead(self) -> list[SendPacket]:
        """Ping one dead peer, as a partition may have healed. A missing answer has no effect."""
        dead_peers = list(self._members.dead_peers())
        if not dead_peers:
            return []
        seq = self._next_seq()
        peer = self._rng.choice(dead_peers)
        return [self._dissemination.packet(peer.address, Ping(seq, peer.name), peer)]

    def _probe_next(self, now_us: int) -> list[SendPacket]:
        """Probe the next peer of the round. Each round has a new random order (SWIM, section 4.3)."""
        if not self._round:
            self._round = list(self._members)
            self._rng.shuffle(self._round)
        while self._round:
            peer = self._members.get(self._round.pop())
            if peer is None or peer.state is MemberState.DEAD:
                continue
            seq = self._next_seq()
            timeout_us = self._awareness.scale_us(PROBE_TIMEOUT_US)
            self._probe = Probe(seq, peer.name, now_us + timeout_us, now_us + 2 * timeout_us)
            return [self._dissemination.packet(peer.address, Ping(seq, peer.name), peer)]
        return []

    def _probe_indirectly(self, probe: Probe) -> list[SendPacket]:
        """Send ping-reqs to other peers, as only the path to the target may be faulty (SWIM, section 3.1)."""
        candidates = [
            peer
            for peer in self._members.live_peers()
            if peer.name != probe.target and peer.state is MemberState.ALIVE
        ]
        relays = self._rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))
        probe.relays = len(relays) or 1
        request = PingReq(probe.seq, probe.target)
        return [self._dissemination.packet(peer.address, request) for peer in relays]

    def _fail_probe(self, probe: Probe, now_us: int) -> None:
        """Suspect the target, and degrade the local health by the number of missing nacks (LHA-Probe)."""
        self._probe = None
        self._counts["missed pings"] += 1
        missed_nacks = probe.relays - probe.nacks
        self._awareness.degrade(max(1, missed_nacks))
        peer = self._members.get(probe.target)
        if peer is not None and peer.state is not MemberState.DEAD:
            self._suspicions.suspect(peer, now_us)
