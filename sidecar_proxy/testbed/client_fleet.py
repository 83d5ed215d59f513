"""A fleet of gossiping instances in virtual time: real keys and bytes, a network that loses and parts."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from nacl.signing import SigningKey

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.balancer.outlier_detection import MIN_REPORT_WEIGHT
from sidecar_proxy.gossip.codec import Certificate
from sidecar_proxy.gossip.effects import Address
from sidecar_proxy.gossip.instance import (
    Datagram,
    FleetSize,
    GossipInstance,
    OutlierWeight,
    Output,
    StateExchange,
    SubsystemMessage,
)
from sidecar_proxy.gossip.keys import Keyring, RejectedError, issue_certificate

WALL_US = 1_796_000_000_000_000
TRIP_US = 1_000
BORN_MS = 5


class Stamp:
    """In a key's place: a digest of what is signed."""

    def __init__(self, data: bytes) -> None:
        self.signature = hashlib.blake2b(data, digest_size=64).digest()


class CheapKey:
    def sign(self, data: bytes) -> Stamp:
        return Stamp(data)


class CheapKeys(Keyring):
    """For whole fleets in virtual time: digests for signatures, all else as it is."""

    def __init__(self, certificate: Certificate) -> None:
        super().__init__(SigningKey(bytes(32)), certificate, [])
        self.key = CheapKey()  # type: ignore[assignment]

    def check_certificate(self, certificate: Certificate, now_us: int, wall_us: int) -> None:
        if certificate.serial in self.revoked_serials:
            raise RejectedError("revoked")

    def verify(self, key: bytes, data: bytes, signature: bytes, now_us: int) -> None:
        if Stamp(data).signature != signature:
            raise RejectedError("forged")


@dataclass
class Member:
    instance: GossipInstance
    clock_us: int = 0  # its wall clock is off by so much
    asleep_until_us: int = 0  # it gets no CPU
    weights: dict[str, float] = field(default_factory=dict)
    heard_us: dict[str, int] = field(default_factory=dict)  # when each node was first suspected here
    sized: int = 0
    stopped: bool = False


class Fleet:
    def __init__(
        self,
        count: int,
        sites: int = 2,
        seed: int = 1,
        nodes: tuple[str, ...] = ("n1", "n2"),
        cheap: bool = False,
    ) -> None:
        self.cheap = cheap  # no real signatures
        self.dice = random.Random(seed)
        self.now_us = 1_000_000
        self.nodes = nodes
        self.fleet_key = SigningKey(bytes([7]) * 32)
        self.members: dict[Address, Member] = {}
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.words: list[tuple[str, SubsystemMessage]] = []  # of other subsystems: who has heard what
        self.loss = 0.0
        self.passes: Callable[[Address, Address], bool] = lambda source, target: True
        self.on_wire: list[tuple[Address, Address, bytes]] | None = None  # kept where a test wants them
        for number in range(count):
            self.add(number, f"s{number % sites}")

    def keyring(self, number: int, site: str, name: str = "") -> Keyring:
        if self.cheap:
            bare = Certificate(
                number + 1, name or f"i{number}", site, number.to_bytes(32, "big"), 1 << 40, bytes(64)
            )
            return CheapKeys(bare)
        key = SigningKey(number.to_bytes(32, "big"))
        until_s, public = WALL_US // 1_000_000 + 86_400, key.verify_key.encode()
        one = issue_certificate(self.fleet_key, number + 1, name or f"i{number}", site, public, until_s)
        return Keyring(key, one, [self.fleet_key.verify_key.encode()])

    def add(self, number: int, site: str, clock_us: int = 0) -> Member:
        address = ("10.0.0.1", 1000 + number)
        seeds = [("10.0.0.1", 1000), ("10.0.0.1", 1001)]
        instance = GossipInstance(
            self.keyring(number, site),
            address,
            seeds,
            random.Random(self.dice.random()),
            self.now_us,
            self.wall_us(clock_us),
            self.born,
            min_instances=1,
        )
        member = self.members[address] = Member(instance, clock_us)
        self.arm(member)
        return member

    def renew(self, member: Member, number: int, vouched: SigningKey, trusted: list[SigningKey]) -> None:
        """A new key for it, vouched for by that fleet key; it believes what those have vouched for."""
        old, key = member.instance.keyring.certificate, SigningKey(number.to_bytes(32, "big"))
        until_s = WALL_US // 1_000_000 + 86_400
        one = issue_certificate(vouched, number, old.name, old.site, key.verify_key.encode(), until_s)
        fleet = [each.verify_key.encode() for each in trusted]
        member.instance.keyring.replace_credentials(key, one, fleet, [])
        self.perform(member, member.instance.announce_certificate(self.now_us, self.wall_us(member.clock_us)))

    def wall_us(self, off_us: int = 0) -> int:
        return WALL_US + self.now_us + off_us

    def born(self, node: str) -> int | None:
        return BORN_MS if node in self.nodes else None

    def all(self) -> list[Member]:
        return list(self.members.values())

    def at(self, number: int) -> Member:
        return self.members["10.0.0.1", 1000 + number]

    # The network

    def later(self, wait_us: int, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now_us + max(0, wait_us), next(self.numbers), call))

    def perform(self, member: Member, outputs: list[Output]) -> None:
        for one in outputs:
            if isinstance(one, Datagram):
                self.post(member.instance.address, one.address, one.data)
            elif isinstance(one, StateExchange):
                self.exchange(member, one.address)
            elif isinstance(one, FleetSize):
                member.sized = one.instances
            elif isinstance(one, SubsystemMessage):
                self.words.append((member.instance.core.name, one))
            else:
                self.suspect(member, one)

    def suspect(self, member: Member, one: OutlierWeight) -> None:
        member.weights[one.upstream] = one.weight
        if one.weight >= MIN_REPORT_WEIGHT:
            member.heard_us.setdefault(one.upstream, self.now_us)

    def post(self, source: Address, target: Address, data: bytes) -> None:
        if self.on_wire is not None:
            self.on_wire.append((source, target, data))
        if self.dice.random() < self.loss or not self.passes(source, target):
            return
        self.later(int(TRIP_US * (0.5 + self.dice.random())), lambda: self.deliver(source, target, data))

    def deliver(self, source: Address, target: Address, data: bytes) -> None:
        member = self.members.get(target)
        if member is None or member.stopped:
            return
        if member.asleep_until_us > self.now_us:
            if self.dice.random() < 0.3:  # the others find its socket's buffer full
                self.later(member.asleep_until_us - self.now_us, lambda: self.deliver(source, target, data))
            return
        wall_us = self.wall_us(member.clock_us)
        self.perform(member, member.instance.receive(data, source, self.now_us, wall_us))

    def exchange(self, member: Member, address: Address) -> None:
        other, own = self.members.get(address), member.instance.address
        if (
            other is None
            or other.stopped
            or other is member
            or not self.passes(own, address)
            or not self.passes(address, own)
        ):
            return
        for one, two in ((member, other), (other, member)):
            data = one.instance.local_state(self.wall_us(one.clock_us))
            wall_us = self.wall_us(two.clock_us)
            try:
                told = two.instance.open_remote_state(data, self.now_us, wall_us)
            except RejectedError as error:
                two.instance.keyring.rejections[str(error)] += 1
                return
            self.perform(two, two.instance.merge_remote_state(told, self.now_us, wall_us))

    def arm(self, member: Member) -> None:
        self.later(member.instance.due_us - self.now_us + 1, lambda: self.tick(member))

    def tick(self, member: Member) -> None:
        if member.stopped:
            return
        if member.asleep_until_us > self.now_us:
            self.later(member.asleep_until_us - self.now_us, lambda: self.tick(member))
            return
        self.perform(member, member.instance.tick(self.now_us, self.wall_us(member.clock_us)))
        self.arm(member)

    def run(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * 1e6)
        while self.queue and self.queue[0][0] <= end_us:
            self.now_us, _, call = heapq.heappop(self.queue)
            call()
        self.now_us = end_us

    # What is seen

    def attempt(self, member: Member, node: str, outcome: Outcome) -> None:
        self.perform(
            member,
            member.instance.record_attempt(
                node, BORN_MS, outcome, self.now_us, self.wall_us(member.clock_us)
            ),
        )

    def counted(self, name: str) -> int:
        """Of all together."""
        return sum(one.instance.core.counts[name] for one in self.members.values())

    def knows_all(self) -> bool:
        living = [one for one in self.all() if not one.stopped]
        return all(len(one.instance.core.members.live_peers()) == len(living) - 1 for one in living)
