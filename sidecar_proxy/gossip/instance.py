"""One instance: keys, core and evidence put together. Pure: bytes and times in, bytes and suspicions out."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip import core as swim
from sidecar_proxy.gossip.codec import MOST_STATE, Alive, Message, Signed, Statement
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.gossip.outlier_reports import WINDOW_US, Combiner, Own

GAP_US = 100_000  # between two bulletins of ours
LOOK_US = 500_000  # between two looks at what fades
STEP = 0.05  # a weight that has changed by less is not told again
STRIKES = 20  # forgeries from one address, after which it is not heard for a while
BARRED_US = 10_000_000
MOST_ADDRESSES = 4096
ENVELOPE = 2048  # bytes of an exchange beside its statements, at most
HOLD_US = 300_000_000  # the live number falls only after so long below
Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Datagram:
    address: Address
    data: bytes


@dataclass(slots=True, frozen=True)
class StateExchange:
    """Connect, say `state()`, and hand what comes back to `exchanged`."""

    address: Address


@dataclass(slots=True, frozen=True)
class OutlierWeight:
    """What all together have against a node, 0 to 1."""

    node: str
    weight: float


@dataclass(slots=True, frozen=True)
class FleetSize:
    """How many instances there are, with us, and our place among their names."""

    instances: int
    index: int


@dataclass(slots=True, frozen=True)
class SubsystemMessage:
    """For another subsystem, of a peer: said to all, or to us alone; or that peer is held for dead."""

    author: str
    topic: str
    body: bytes
    alone: bool = False
    left: bool = False


Output = Datagram | StateExchange | OutlierWeight | FleetSize | SubsystemMessage


class Census:
    """How many there are, for those who share by it: up at once, down only after a long while, and never
    below the floor, as half of a partition would else take itself for the whole.
    """

    def __init__(self, floor: int) -> None:
        self.floor = self.told = floor
        self.below_us = 0  # since when fewer are there
        self.most = 0  # that were there since

    def count(self, live: int, now_us: int) -> int:
        live = max(live, self.floor)
        if live >= self.told:
            self.told, self.below_us = live, 0
        elif not self.below_us:
            self.below_us, self.most = now_us, live
        else:
            self.most = max(self.most, live)
            if now_us - self.below_us >= HOLD_US:
                self.told, self.below_us = self.most, 0
        return self.told


class GossipInstance:
    def __init__(
        self,
        keyring: Keyring,
        address: Address,
        seeds: list[Address],
        dice: random.Random,
        now_us: int,
        wall_us: int,
        born: Callable[[str], int | None],
        floor: int = 1,
    ) -> None:
        self.keyring = keyring
        self.address = address
        self.born = born  # the start of a node that is in use here, in Unix ms; None = there is none
        self.wall_us = wall_us
        certificate = keyring.certificate
        self.core = swim.Core(
            certificate.name, certificate.site, seeds, dice, now_us, self.sign, self.alive, wall_us // 1000
        )
        self.own = Own()
        self.combiner = Combiner(certificate.site)
        self.weights: dict[str, float] = {}  # as they were told
        self.unsaid = False  # there is more to say than our last bulletin
        self.publish_us = now_us
        self.look_us = now_us + LOOK_US
        self.census = Census(floor)
        self.sized = FleetSize(floor, 0)
        self.strikes: OrderedDict[Address, tuple[int, int]] = OrderedDict()  # forgeries, since when
        self.counts: Counter[str] = Counter()

    def sign(self, statement: Statement) -> Signed:
        return self.keyring.sign(statement, self.wall_us)

    def alive(self, incarnation: int) -> Alive:
        return Alive(*self.address, incarnation, self.keyring.certificate)

    def move(self, address: Address) -> None:
        """Where we are heard is known only once a socket is open, if the port was left to the system."""
        self.address = address
        self.core.own = self.sign(self.alive(self.core.incarnation))
        self.core.spread("alive", self.core.own)

    def renewed(self, now_us: int, wall_us: int) -> list[Output]:
        """Our certificate is another one: the others must have it before they can believe what we sign."""
        self.wall_us = wall_us
        self.core.renewed()
        self.unsaid, self.publish_us = bool(self.own.nodes), now_us
        return self.publish(now_us, wall_us)

    @property
    def due_us(self) -> int:
        times = [self.core.due_us, self.look_us]
        if self.unsaid:
            times.append(self.publish_us)
        return min(times)

    # From the network

    def receive(self, data: bytes, address: Address, now_us: int, wall_us: int) -> list[Output]:
        """A datagram."""
        self.wall_us = wall_us
        self.counts["packets in"] += 1
        self.counts["bytes in"] += len(data)
        struck, since_us = self.strikes.get(address, (0, 0))
        if struck >= STRIKES and now_us - since_us < BARRED_US:
            self.keyring.refused["of a barred address"] += 1
            return []
        try:
            packet = self.keyring.packet(data, now_us, wall_us)
        except RejectedError as error:
            self.refuse(str(error), address, now_us)
            return []
        actions = self.hear(packet.rumours, now_us, wall_us)
        actions += self.core.received(packet.certificate.name, address, packet.message, now_us)
        return self.outputs(actions, now_us)

    def refuse(self, why: str, address: Address, now_us: int) -> None:
        self.keyring.refused[why] += 1
        if why not in ("heard before", "over the budget", "another time"):
            struck, since_us = self.strikes.pop(address, (0, now_us))
            fresh = now_us - since_us < BARRED_US
            self.strikes[address] = (struck + 1 if fresh else 1, since_us if fresh else now_us)
            while len(self.strikes) > MOST_ADDRESSES:
                self.strikes.popitem(last=False)

    def hear(self, told: Iterable[Signed], now_us: int, wall_us: int) -> list[swim.Action]:
        """What authors say, each verified if it is news."""
        actions: list[swim.Action] = []
        for one in told:
            if not self.core.is_news(one):
                continue
            try:
                statement = self.keyring.statement(one, self.core.certificate(one.author), now_us, wall_us)
            except RejectedError as error:
                self.keyring.refused[str(error)] += 1
                continue
            actions += self.core.heard(one, statement, now_us)
        return actions

    def state(self, wall_us: int) -> bytes:
        """Our side of an exchange."""
        self.wall_us = wall_us
        return self.keyring.seal_state(self.core.statements(MOST_STATE - ENVELOPE), wall_us)

    def opened(self, data: bytes, now_us: int, wall_us: int) -> list[Signed]:
        """The other side of one: to be handed to `exchanged`, some at a time. Raises Refused."""
        self.wall_us = wall_us
        return self.keyring.state(data, now_us, wall_us).statements

    def exchanged(self, told: list[Signed], now_us: int, wall_us: int) -> list[Output]:
        self.wall_us = wall_us
        return self.outputs(self.hear(told, now_us, wall_us), now_us)

    # From the engine

    def attempt(self, node: str, born_ms: int, outcome: Outcome, now_us: int, wall_us: int) -> list[Output]:
        """An attempt of our own has ended."""
        if not self.own.note(node, born_ms, outcome, now_us):
            return []
        self.unsaid = True
        return self.publish(now_us, wall_us)

    def publish(self, now_us: int, wall_us: int) -> list[Output]:
        if not self.unsaid or now_us < self.publish_us:
            return []
        self.wall_us = wall_us
        self.unsaid, self.publish_us = False, now_us + GAP_US
        return self.outputs(self.core.publish(self.own.bulletin(now_us), True, now_us), now_us)

    # From other subsystems

    def say(self, topic: str, body: bytes, wall_us: int) -> None:
        """To all, with the pings."""
        self.wall_us = wall_us
        self.core.say(codec.TopicBroadcast(topic, body))

    def note(self, name: str, topic: str, body: bytes, now_us: int, wall_us: int) -> list[Output]:
        """To one, at once."""
        self.wall_us = wall_us
        return self.outputs(self.core.note(name, codec.TopicMessage(topic, body)), now_us)

    # Time

    def tick(self, now_us: int, wall_us: int) -> list[Output]:
        self.wall_us = wall_us
        found = self.outputs(self.core.tick(now_us), now_us)
        if now_us >= self.look_us:
            self.look_us = now_us + LOOK_US
            self.combiner.forget(now_us)
            found += self.weigh({*self.weights, *self.combiner.reports}, now_us)
            self.own.wanted = {name: None for name in self.own.wanted if name in self.combiner.reports}
            found += self.size(now_us)
        return found + self.publish(now_us, wall_us)

    def size(self, now_us: int) -> list[Output]:
        living = self.core.peers.living()
        told = self.census.count(len(living) + 1, now_us)
        if told == self.sized.instances:
            return []
        self.sized = FleetSize(told, sum(one.name < self.core.name for one in living) % told)
        return [self.sized]

    # What comes of it

    def outputs(self, actions: list[swim.Action], now_us: int) -> list[Output]:
        found: list[Output] = []
        for action in actions:
            if isinstance(action, swim.Send):
                found.append(self.datagram(action.address, action.message, list(action.rumours)))
            elif isinstance(action, swim.Exchange):
                found.append(StateExchange(action.address))
            elif isinstance(action, swim.Left):
                found += self.weigh(self.combiner.drop(action.name), now_us)
                found.append(SubsystemMessage(action.name, "", b"", left=True))
            elif isinstance(action, swim.Told):
                found.append(SubsystemMessage(action.author, action.topic, action.body, action.alone))
            else:
                names = self.combiner.take(action.author, action.site, action.bulletin, now_us)
                found += self.weigh(names, now_us)
                self.contradict([one.node for one in action.bulletin.counts if one.run], now_us)
        return found

    def contradict(self, names: list[str], now_us: int) -> None:
        """Others suspect them, and we have had answers."""
        for name in names:
            seen = self.own.nodes.get(name)
            if (
                seen is not None
                and seen.run == 0
                and seen.well
                and now_us - seen.last_us < WINDOW_US
                and name not in self.own.wanted
            ):
                self.own.wanted[name] = None
                self.unsaid = True

    def datagram(self, address: Address, message: Message, rumours: list[Signed]) -> Datagram:
        data = self.keyring.seal(message, rumours, self.wall_us)
        self.counts["packets out"] += 1
        self.counts["bytes out"] += len(data)
        return Datagram(address, data)

    def weigh(self, names: Iterable[str], now_us: int) -> list[Output]:
        found: list[Output] = []
        sites = self.core.peers.sites
        for name in names:
            born_ms = self.born(name)
            weight = 0.0 if born_ms is None else self.combiner.weight(name, born_ms, sites, now_us)
            was = self.weights.get(name, 0.0)
            if abs(weight - was) < STEP and (weight > 0.0) == (was > 0.0):
                continue
            self.weights[name] = weight
            if weight <= 0.0:
                del self.weights[name]
            found.append(OutlierWeight(name, weight))
        return found
