"""The SWIM core: one instance's view of the fleet, with Lifeguard's extensions to SWIM.

The core does no I/O, reads no clock and has no keys. It passes messages, statements and the time to the parts
that handle them: the failure detector (`probing`), suspicions, dissemination, the urgent relay and the
schedule of state exchanges. Times are microseconds of the caller's monotonic clock, and the caller provides
the random number generator. Messages and statements must have been verified before they are passed in.

Sources: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala, 2002) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey, 2017). Terms are also those of HashiCorp's memberlist.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from sidecar_proxy.gossip.broadcasts import encoded_size
from sidecar_proxy.gossip.codec import (
    Ack,
    Alive,
    Certificate,
    Message,
    Nack,
    OutlierReport,
    Ping,
    PingReq,
    SignedStatement,
    Statement,
    Suspect,
    TopicBroadcast,
    TopicMessage,
)
from sidecar_proxy.gossip.dissemination import BroadcastKind, Dissemination
from sidecar_proxy.gossip.effects import Address, Effect, ReportReceived, SendPacket, TopicReceived
from sidecar_proxy.gossip.members import MemberList, MemberState, Peer
from sidecar_proxy.gossip.probing import FailureDetector
from sidecar_proxy.gossip.push_pull import PushPullSchedule
from sidecar_proxy.gossip.suspicion import Awareness, LocalMember, Suspicions
from sidecar_proxy.gossip.urgent import UrgentRelay

# minimum interval between two reports, or between two broadcasts on one topic, of the same author
MIN_STATEMENT_INTERVAL_US = 80_000
# time for which a dead peer stays in the member list and is still pinged, as a partition may heal
DEAD_RETENTION_US = 60_000_000
MAX_PEERS = 5000
MAX_TOPICS_PER_AUTHOR = 4


class SwimCore:
    """One instance's view of its peers: their states, and the statements that they broadcast."""

    def __init__(
        self,
        name: str,
        site: str,
        seeds: list[Address],
        rng: random.Random,
        now_us: int,
        sign: Callable[[Statement], SignedStatement],
        make_alive: Callable[[int], Alive],
        incarnation: int,
    ) -> None:
        """Create a core.

        `sign` signs a statement of this instance; `make_alive` returns its Alive statement of an incarnation.
        """
        self.name = name
        self.site = site
        self.members = MemberList()
        self.awareness = Awareness()
        self.counts: Counter[str] = Counter()
        self.reports: dict[str, SignedStatement] = {}  # the latest outlier report of each author
        self.rng = rng
        self._sign = sign
        # time of the latest broadcast, by author and topic
        self._topic_times_us: dict[tuple[str, str], int] = {}
        shuffled_seeds = rng.sample(seeds, len(seeds))
        self.local = LocalMember(incarnation, sign, make_alive)
        self.dissemination = Dissemination(self.members, sign)
        self._suspicions = Suspicions(
            name, self.local, self.members, self.dissemination, self.awareness, self.counts
        )
        self._detector = FailureDetector(
            name,
            self.members,
            self.dissemination,
            self._suspicions,
            self.awareness,
            self.counts,
            rng,
            now_us,
        )
        self._push_pull = PushPullSchedule(shuffled_seeds, self.members, rng, now_us)
        self._urgent = UrgentRelay(self.members, self.reports, rng, now_us)
        self.dissemination.enqueue(BroadcastKind.ALIVE, self.local.alive_statement)

    # Queries

    @property
    def due_us(self) -> int:
        """The earliest time at which `tick` has something to do."""
        return min(
            self._push_pull.due_us,
            *self._detector.due_times_us(),
            *self._urgent.due_times_us(),
            *self._suspicions.expiry_times_us(),
        )

    def state(self, max_bytes: int) -> list[SignedStatement]:
        """Return the statements that this instance sends in a state exchange.

        These are the Alive statements and outlier reports of this instance and then of its live peers, in
        random order, up to `max_bytes`.
        """
        statements = self._statements_of(self.name, self.local.alive_statement)
        remaining_bytes = max_bytes - sum(map(encoded_size, statements))
        live_peers = self.members.live_peers()
        for peer in self.rng.sample(live_peers, len(live_peers)):
            peer_statements = self._statements_of(peer.name, peer.alive_statement)
            remaining_bytes -= sum(map(encoded_size, peer_statements))
            if remaining_bytes < 0:
                break
            statements += peer_statements
        return statements

    def is_new(self, statement: SignedStatement) -> bool:
        """Return whether a statement must be verified; most are received many times."""
        return statement.author != self.name and not self.dissemination.is_seen(statement)

    def certificate(self, author: str) -> Certificate | None:
        """Return the certificate of a known peer, None if the author is unknown."""
        peer = self.members.get(author)
        return peer.certificate if peer is not None else None

    # Time

    def tick(self, now_us: int) -> list[Effect]:
        """Handle the timers that are due."""
        effects: list[Effect] = []
        effects += self._detector.expire_relayed(now_us)
        effects += self._suspicions.expire(now_us)
        self._evict_dead(now_us)
        effects += self._urgent.relay_deferred(now_us)
        effects += self._urgent.flush(now_us)
        effects += self._detector.tick(now_us)
        effects += self._push_pull.tick(now_us)
        return effects

    # Input from the network

    def on_message(self, sender: str, address: Address, message: Message, now_us: int) -> list[Effect]:
        """Handle the message of a packet whose broadcasts have been passed to `on_statement`."""
        peer = self.members.get(sender)
        match message:
            case Ping():
                return [*self._detector.on_ping(address, peer, message)]
            case Ack():
                return [*self._detector.on_ack(message.seq)]
            case Nack():
                self._detector.on_nack(message.seq)
            case PingReq():
                return [*self._detector.on_ping_req(peer, message, now_us)]
            case TopicMessage() if peer is not None:
                return [TopicReceived(sender, message.topic, message.body, is_direct=True)]
        return []

    def on_statement(self, statement: SignedStatement, content: Statement, now_us: int) -> list[Effect]:
        """Handle a verified statement, whichever peer relayed it; `content` is its decoded body."""
        if statement.author == self.name:
            return []
        self.dissemination.mark_seen(statement)
        match content:
            case Alive():
                self._on_alive(statement, content, now_us)
                return []
            case Suspect():
                self._suspicions.on_suspect(statement, content, now_us)
                return []
            case TopicBroadcast():
                return self._on_topic_broadcast(statement, content)
            case OutlierReport():
                return self._on_report(statement, content, now_us)

    # Output of this instance

    def publish_report(self, report: OutlierReport, now_us: int) -> list[Effect]:
        """Broadcast this instance's outlier report by urgent relay; it replaces the previous report."""
        statement = self._sign(report)
        self.reports[self.name] = statement
        self.dissemination.enqueue(BroadcastKind.REPORT, statement)
        return [*self._urgent.add(statement, now_us, delay_us=0)]

    def broadcast_topic(self, broadcast: TopicBroadcast) -> None:
        """Broadcast a message of another subsystem; it replaces the previous message on its topic."""
        statement = self._sign(broadcast)
        self.dissemination.enqueue(BroadcastKind.TOPIC, statement, self.name, broadcast.topic)

    def send_topic_message(self, name: str, message: TopicMessage) -> list[Effect]:
        """Send a message of another subsystem to one peer, unless the peer is unknown or dead."""
        peer = self.members.get(name)
        if peer is None or peer.state is MemberState.DEAD:
            return []
        packet: SendPacket = self.dissemination.packet(peer.address, message, peer)
        return [packet]

    def update_local_statement(self) -> None:
        """Broadcast an Alive statement with a new address and the same incarnation."""
        self.local.update_statement(self.dissemination)

    def raise_incarnation(self) -> None:
        """Broadcast an Alive statement with the next incarnation."""
        self.local.raise_incarnation(self.dissemination)

    # Statements

    def _statements_of(self, name: str, alive_statement: SignedStatement) -> list[SignedStatement]:
        report = self.reports.get(name)
        return [alive_statement] if report is None else [alive_statement, report]

    def _on_alive(self, statement: SignedStatement, alive: Alive, now_us: int) -> None:
        """Add or update the author; an Alive statement that is not of a higher incarnation has no effect."""
        certificate = alive.certificate
        peer = self.members.get(statement.author)
        is_join = peer is None
        if peer is None:
            if len(self.members) >= MAX_PEERS:
                self.counts["peers over the limit"] += 1
                return
            peer = Peer(
                statement.author,
                certificate.site,
                (alive.host, alive.port),
                alive.incarnation,
                certificate,
                statement,
                state_changed_us=now_us,
            )
            self.members.add(peer)
            self._detector.add_to_round(peer.name)
        elif alive.incarnation <= peer.incarnation:
            return
        peer.incarnation = alive.incarnation
        peer.address = (alive.host, alive.port)
        peer.alive_statement = statement
        peer.certificate = certificate
        self.members.set_state(peer, MemberState.ALIVE, now_us, certificate.site)
        peer.suspecters.clear()
        self.dissemination.enqueue(BroadcastKind.ALIVE, statement, is_deferred=is_join)

    def _on_report(self, statement: SignedStatement, report: OutlierReport, now_us: int) -> list[Effect]:
        """Accept a report and relay it urgently.

        Reports of an author that reports too often are ignored, as they would fill the packets of all
        instances.
        """
        peer = self.members.get(statement.author)
        if peer is None or peer.state is MemberState.DEAD:
            return []
        previous = self.reports.get(statement.author)
        if previous is not None and statement.sequence_us - previous.sequence_us < MIN_STATEMENT_INTERVAL_US:
            return []
        self.reports[statement.author] = statement
        self.dissemination.enqueue(BroadcastKind.REPORT, statement)
        packets = self._urgent.relay(peer, statement, now_us)
        return [ReportReceived(statement.author, peer.site, report), *packets]

    def _on_topic_broadcast(self, statement: SignedStatement, broadcast: TopicBroadcast) -> list[Effect]:
        """Accept a topic broadcast; it is relayed on the packets of the probes, never urgently."""
        author, topic = statement.author, broadcast.topic
        peer = self.members.get(author)
        if peer is None or peer.state is MemberState.DEAD:
            return []
        if statement.sequence_us - self._topic_times_us.get((author, topic), 0) < MIN_STATEMENT_INTERVAL_US:
            return []
        if (author, topic) not in self._topic_times_us and self._count_topics(
            author
        ) >= MAX_TOPICS_PER_AUTHOR:
            self.counts["topics over the limit"] += 1
            return []
        self._topic_times_us[author, topic] = statement.sequence_us
        self.dissemination.enqueue(BroadcastKind.TOPIC, statement, author, topic)
        return [TopicReceived(author, topic, broadcast.body, is_direct=False)]

    def _count_topics(self, author: str) -> int:
        return sum(topic_author == author for topic_author, _ in self._topic_times_us)

    def _evict_dead(self, now_us: int) -> None:
        """Remove the peers that have been dead for the retention time, with their reports and topics."""
        evicted = [
            peer for peer in self.members.dead_peers() if now_us >= peer.state_changed_us + DEAD_RETENTION_US
        ]
        for peer in evicted:
            self.members.remove(peer)
            self.reports.pop(peer.name, None)
            for key in [key for key in self._topic_times_us if key[0] == peer.name]:
                del self._topic_times_us[key]
