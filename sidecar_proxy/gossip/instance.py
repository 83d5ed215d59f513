"""One gossip instance: combines the keyring, the SWIM core, the observations and the outlier reports.

The module does no I/O. The caller passes in datagrams, outcomes of attempts and times; the instance returns
datagrams, outlier weights, the fleet's size and messages for other subsystems. Times are microseconds:
`now_us` of a monotonic clock, `wall_us` of the wall clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import assert_never

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.blocklist import AddressBlocklist
from sidecar_proxy.gossip.codec import MAX_STATE_BYTES, Alive, OutlierReport, SignedStatement, Statement
from sidecar_proxy.gossip.core import SwimCore
from sidecar_proxy.gossip.effects import (
    Address,
    Effect,
    MemberDied,
    ReportReceived,
    SendPacket,
    StartPushPull,
    TopicReceived,
)
from sidecar_proxy.gossip.fleet_size import FleetSizeEstimator
from sidecar_proxy.gossip.keys import Keyring, RejectedError, RejectionReason
from sidecar_proxy.gossip.observations import LocalObservations
from sidecar_proxy.gossip.outlier_reports import ReportAggregator

MIN_REPORT_INTERVAL_US = 100_000  # minimum interval between two outlier reports of this instance
REFRESH_INTERVAL_US = 500_000  # interval between two refreshes of the weights and the fleet size
MIN_WEIGHT_CHANGE = 0.05  # a smaller change of an outlier weight is not output, unless from or to 0
MAX_STATE_OVERHEAD_BYTES = 2048  # maximum size of one side of a state exchange beside its statements
# rejections that a correct sender can cause, so that they do not count as forgeries
BENIGN_REJECTIONS = frozenset(
    {RejectionReason.REPLAYED, RejectionReason.OVER_BUDGET, RejectionReason.CLOCK_SKEW}
)


@dataclass(slots=True, frozen=True)
class Datagram:
    """A datagram to send."""

    address: Address
    data: bytes


@dataclass(slots=True, frozen=True)
class StateExchange:
    """A state exchange to start: send `local_state()`, pass the received state to `open_remote_state`."""

    address: Address


@dataclass(slots=True, frozen=True)
class OutlierWeight:
    """The weight of the peers' reports on an upstream, 0 (healthy) to 1 (failing)."""

    upstream: str
    weight: float


@dataclass(slots=True, frozen=True)
class FleetSize:
    """The estimated number of instances, including this one, and its index among their sorted names."""

    instances: int
    index: int


@dataclass(slots=True, frozen=True)
class SubsystemMessage:
    """A peer's message for another subsystem, or the notice that a peer is dead.

    `is_direct` means that the message was sent to this instance only. `is_departure` means that the author is
    dead; topic and body are then empty.
    """

    author: str
    topic: str
    body: bytes
    is_direct: bool = False
    is_departure: bool = False


Output = Datagram | StateExchange | OutlierWeight | FleetSize | SubsystemMessage


class GossipInstance:
    """One instance of the gossip protocol, as a state machine without I/O."""

    def __init__(
        self,
        keyring: Keyring,
        address: Address,
        seeds: list[Address],
        rng: random.Random,
        now_us: int,
        wall_us: int,
        started_ms: Callable[[str], int | None],
        min_instances: int = 1,
    ) -> None:
        """Create an instance.

        `started_ms` returns the start of an upstream in Unix ms, None if this sidecar does not use it.
        `min_instances` is the minimum of the estimated fleet size.
        """
        self.keyring = keyring
        self.address = address
        self.wall_us = wall_us
        self.observations = LocalObservations()
        self.aggregator = ReportAggregator(keyring.certificate.site)
        self.outlier_weights: dict[str, float] = {}  # weight that was last output, by upstream
        self.fleet_size = FleetSize(min_instances, 0)
        self.blocklist = AddressBlocklist()
        self.counts: Counter[str] = Counter()
        self._started_ms = started_ms
        self._size_estimator = FleetSizeEstimator(min_instances)
        self._has_unpublished = False  # whether observations have changed since the last report
        self._next_report_us = now_us
        self._next_refresh_us = now_us + REFRESH_INTERVAL_US
        self.core = SwimCore(
            keyring.certificate.name,
            keyring.certificate.site,
            seeds,
            rng,
            now_us,
            self.sign,
            self._make_alive,
            incarnation=wall_us // 1000,
        )

    @property
    def due_us(self) -> int:
        """The earliest time at which `tick` has something to do."""
        times = [self.core.due_us, self._next_refresh_us]
        if self._has_unpublished:
            times.append(self._next_report_us)
        return min(times)

    def sign(self, statement: Statement) -> SignedStatement:
        """Sign a statement of this instance."""
        return self.keyring.sign(statement, self.wall_us)

    def set_address(self, address: Address) -> None:
        """Set and broadcast the address. A port chosen by the system is known once the socket is open."""
        self.address = address
        self.core.update_local_statement()

    def announce_certificate(self, now_us: int, wall_us: int) -> list[Output]:
        """Broadcast a new certificate, without which peers reject statements signed with the new key."""
        self.wall_us = wall_us
        self.core.raise_incarnation()
        self._has_unpublished = bool(self.observations.upstreams)
        self._next_report_us = now_us
        return self._publish_if_due(now_us, wall_us)

    # From the network

    def receive(self, data: bytes, address: Address, now_us: int, wall_us: int) -> list[Output]:
        """Handle a received datagram."""
        self.wall_us = wall_us
        self.counts["packets in"] += 1
        self.counts["bytes in"] += len(data)
        if self.blocklist.is_blocked(address, now_us):
            self.keyring.rejections[RejectionReason.BLOCKED_ADDRESS.value] += 1
            return []
        try:
            packet = self.keyring.open_packet(data, now_us, wall_us)
        except RejectedError as error:
            self.keyring.rejections[str(error)] += 1
            if error.reason not in BENIGN_REJECTIONS:
                self.blocklist.record_forgery(address, now_us)
            return []
        effects = self._apply_statements(packet.broadcasts, now_us, wall_us)
        effects += self.core.on_message(packet.certificate.name, address, packet.message, now_us)
        return self._outputs(effects, now_us)

    def local_state(self, wall_us: int) -> bytes:
        """Return this instance's side of a state exchange."""
        self.wall_us = wall_us
        return self.keyring.seal_state(self.core.state(MAX_STATE_BYTES - MAX_STATE_OVERHEAD_BYTES), wall_us)

    def open_remote_state(self, data: bytes, now_us: int, wall_us: int) -> list[SignedStatement]:
        """Return the statements of the other side of a state exchange. Raises RejectedError."""
        self.wall_us = wall_us
        return self.keyring.open_state(data, now_us, wall_us).statements

    def merge_remote_state(
        self, statements: list[SignedStatement], now_us: int, wall_us: int
    ) -> list[Output]:
        """Handle statements from `open_remote_state`.

        The caller passes a few at a time, as each may need a signature verification.
        """
        self.wall_us = wall_us
        return self._outputs(self._apply_statements(statements, now_us, wall_us), now_us)

    # From the engine

    def record_attempt(
        self, upstream: str, started_ms: int, outcome: Outcome, now_us: int, wall_us: int
    ) -> list[Output]:
        """Record the outcome of an attempt of this sidecar."""
        if not self.observations.record(upstream, started_ms, outcome, now_us):
            return []
        self._has_unpublished = True
        return self._publish_if_due(now_us, wall_us)

    # From other subsystems

    def broadcast(self, topic: str, body: bytes, wall_us: int) -> None:
        """Broadcast a message of another subsystem; it is piggybacked on the probes."""
        self.wall_us = wall_us
        self.core.broadcast_topic(codec.TopicBroadcast(topic, body))

    def send_message(self, name: str, topic: str, body: bytes, now_us: int, wall_us: int) -> list[Output]:
        """Send a message of another subsystem to one peer at once; it is not retried."""
        self.wall_us = wall_us
        return self._outputs(self.core.send_topic_message(name, codec.TopicMessage(topic, body)), now_us)

    def publish_report(self, report: OutlierReport, now_us: int) -> list[Output]:
        """Broadcast an outlier report of this instance."""
        return self._outputs(self.core.publish_report(report, now_us), now_us)

    # Time

    def tick(self, now_us: int, wall_us: int) -> list[Output]:
        """Handle the timers that are due."""
        self.wall_us = wall_us
        outputs = self._outputs(self.core.tick(now_us), now_us)
        if now_us >= self._next_refresh_us:
            self._next_refresh_us = now_us + REFRESH_INTERVAL_US
            outputs += self._refresh(now_us)
        return outputs + self._publish_if_due(now_us, wall_us)

    def _refresh(self, now_us: int) -> list[Output]:
        """Update what depends on the time: reports that expire, weights, contradictions, the fleet size."""
        self.aggregator.expire(now_us)
        outputs = self._update_weights({*self.outlier_weights, *self.aggregator.by_upstream}, now_us)
        self.observations.retain_contradicted(self.aggregator.by_upstream)
        return outputs + self._update_fleet_size(now_us)

    def _update_fleet_size(self, now_us: int) -> list[Output]:
        living = self.core.members.live_peers()
        instances = self._size_estimator.update(len(living) + 1, now_us)
        if instances == self.fleet_size.instances:
            return []
        index = sum(peer.name < self.core.name for peer in living) % instances
        self.fleet_size = FleetSize(instances, index)
        return [self.fleet_size]

    # Effects

    def _make_alive(self, incarnation: int) -> Alive:
        return Alive(*self.address, incarnation, self.keyring.certificate)

    def _apply_statements(
        self, statements: Iterable[SignedStatement], now_us: int, wall_us: int
    ) -> list[Effect]:
        """Verify the new statements and pass them to the core."""
        effects: list[Effect] = []
        for statement in statements:
            if not self.core.is_new(statement):
                continue
            certificate = self.core.certificate(statement.author)
            try:
                content = self.keyring.open_statement(statement, certificate, now_us, wall_us)
            except RejectedError as error:
                self.keyring.rejections[str(error)] += 1
                continue
            effects += self.core.on_statement(statement, content, now_us)
        return effects

    def _publish_if_due(self, now_us: int, wall_us: int) -> list[Output]:
        if not self._has_unpublished or now_us < self._next_report_us:
            return []
        self.wall_us = wall_us
        self._has_unpublished = False
        self._next_report_us = now_us + MIN_REPORT_INTERVAL_US
        return self.publish_report(self.observations.report(now_us), now_us)

    def _outputs(self, effects: list[Effect], now_us: int) -> list[Output]:
        outputs: list[Output] = []
        for effect in effects:
            match effect:
                case SendPacket():
                    outputs.append(self._datagram(effect))
                case StartPushPull():
                    outputs.append(StateExchange(effect.address))
                case MemberDied():
                    affected = self.aggregator.remove_author(effect.name)
                    outputs += self._update_weights(affected, now_us)
                    outputs.append(SubsystemMessage(effect.name, "", b"", is_departure=True))
                case TopicReceived():
                    outputs.append(
                        SubsystemMessage(effect.author, effect.topic, effect.body, effect.is_direct)
                    )
                case ReportReceived():
                    outputs += self._merge_report(effect, now_us)
                case _:
                    assert_never(effect)
        return outputs

    def _datagram(self, packet: SendPacket) -> Datagram:
        data = self.keyring.seal_packet(packet.message, list(packet.broadcasts), self.wall_us)
        self.counts["packets out"] += 1
        self.counts["bytes out"] += len(data)
        return Datagram(packet.address, data)

    def _merge_report(self, received: ReportReceived, now_us: int) -> list[Output]:
        affected = self.aggregator.add(received.author, received.site, received.report, now_us)
        outputs = self._update_weights(affected, now_us)
        for upstream in received.report.upstreams:
            if upstream.consecutive_failures and self.observations.contradict(upstream.name, now_us):
                self._has_unpublished = True
        return outputs

    def _update_weights(self, upstreams: Iterable[str], now_us: int) -> list[Output]:
        """Compute the weights of upstreams and return those that have changed enough."""
        outputs: list[Output] = []
        sites = self.core.members.sites
        for name in upstreams:
            started_ms = self._started_ms(name)
            weight = 0.0
            if started_ms is not None:
                weight = self.aggregator.weight(name, started_ms, sites, now_us)
            previous = self.outlier_weights.get(name, 0.0)
            is_same_sign = (weight > 0.0) == (previous > 0.0)
            if abs(weight - previous) < MIN_WEIGHT_CHANGE and is_same_sign:
                continue
            if weight > 0.0:
                self.outlier_weights[name] = weight
            else:
                self.outlier_weights.pop(name, None)
            outputs.append(OutlierWeight(name, weight))
        return outputs
