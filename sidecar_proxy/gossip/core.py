"""Who is there: SWIM with Lifeguard's corrections, and rumours on its pings. Pure: no I/O, no clock, no keys.

Times are microseconds of the caller's monotonic clock, dice are handed in, and what comes has been verified.
Sections named are those of "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (Das, Gupta, Motivala, 2002) and "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (Dadgar, Phillips, Currey, 2017).
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from sidecar_proxy.gossip.broadcasts import MOST, ROOM, Rumours, size_of
from sidecar_proxy.gossip.codec import (
    MOST_WHOLE,
    Ack,
    Alive,
    Ask,
    Certificate,
    Message,
    Nack,
    News,
    OutlierReport,
    Ping,
    Signed,
    Statement,
    Suspicion,
    TopicBroadcast,
    TopicMessage,
)
from sidecar_proxy.gossip.peers import Life, Peer, Peers

PERIOD_US = 500_000  # a ping in each
ANSWER_US = 200_000  # for a direct ack, and again for an indirect one; both times the local health
HELPERS = 3  # indirect pings (SWIM, 3.1)
HEALTH = 8  # local health counts from 0 to this (Lifeguard, LHA-Probe)
SUSPICION = 5.0  # periods times log10 n, the shortest suspicion (Lifeguard, LHA-Suspicion)
LONGEST = 6.0  # times the shortest
CONFIRMATIONS = 3  # independent accusers that make it the shortest
TOLD = 2.5  # a rumour goes out so many times log2 n (SWIM, 4.1)
FANOUT = 3  # peers that hear of urgent news at once, and pass what is new on to as many
LEAST_GAP_US = 80_000  # between two bulletins of one author; more are not heard
URGENT_A_SECOND = 60.0  # packets of news that one instance sends
URGENT_WAIT_US = 10_000  # what comes within it goes on in the same packets
EXCHANGE_US = 30_000_000  # between exchanges of all that is known
JOIN_US = 500_000  # between tries of a seed, doubled
FIRST_SEEDS = 3  # that are asked before any peer
DEAD_US = 60_000_000  # the dead are kept so long, and one of them pinged each period: a partition may heal
MOST_PEERS = 5000
MOST_RELAYS = 64
MOST_SEEN = 16384  # signatures of rumours: more than the rumours of a large fleet in some seconds
MOST_ACCUSERS = 16
MOST_TOPICS = 4  # of one author


@dataclass(slots=True)
class Probe:
    """A ping that is out, and the help asked for."""

    seq: int
    target: str
    direct_us: int  # till when its own ack is waited for
    until_us: int
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True, frozen=True)
class Send:
    """A packet to a peer; its rumours are chosen here."""

    address: tuple[str, int]
    message: Message
    rumours: tuple[Signed, ...] = ()


@dataclass(slots=True, frozen=True)
class Exchange:
    """Open a connection there and tell each other all that is known."""

    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class Heard:
    """An author's bulletin is news; `at_us` is by its own clock."""

    author: str
    site: str
    bulletin: OutlierReport


@dataclass(slots=True, frozen=True)
class Left:
    """A peer is held for dead: what it has said counts no more."""

    name: str


@dataclass(slots=True, frozen=True)
class Told:
    """A peer's word for another subsystem: to all, or to us alone."""

    author: str
    topic: str
    body: bytes
    alone: bool


Action = Send | Exchange | Heard | Left | Told


class Core:
    """One instance's view of the others."""

    def __init__(
        self,
        name: str,
        site: str,
        seeds: list[tuple[str, int]],
        dice: random.Random,
        now_us: int,
        sign: Callable[[Statement], Signed],
        alive: Callable[[int], Alive],
        incarnation: int,
    ) -> None:
        self.name = name
        self.site = site
        self.seeds = dice.sample(seeds, len(seeds))
        self.dice = dice
        self.sign = sign
        self.alive = alive  # of ourselves, by incarnation
        self.incarnation = incarnation
        self.own = sign(alive(incarnation))
        self.peers = Peers()
        self.order: list[str] = []  # of this round, from its end
        self.probe: Probe | None = None
        self.relays: dict[int, tuple[tuple[str, int], int, int]] = {}  # our seq: whose, theirs, till when
        self.rumours = Rumours()
        self.bulletins: dict[str, Signed] = {}  # the last of each author
        self.seq = dice.randrange(1 << 30)
        self.health = 0  # 0 is well
        self.urgent, self.urgent_us = URGENT_A_SECOND, now_us
        self.hot: list[Signed] = []  # news that is to go on at once
        self.hot_us = 0
        self.owed: list[tuple[int, str]] = []  # when whose bulletin goes on
        self.tries = 0
        # hazard: all that start together would ask the seeds together
        self.ping_us = now_us + int(PERIOD_US * dice.random())
        self.exchange_us = now_us + int(JOIN_US * dice.random())
        self.counts: Counter[str] = Counter()
        self.words: dict[tuple[str, str], int] = {}  # by author and topic, when the last one was signed
        self.seen: OrderedDict[bytes, None] = OrderedDict()  # signatures of what was heard
        self.spread("alive", self.own)

    # Questions

    @property
    def due_us(self) -> int:
        """When `tick` has something to do."""
        times = [self.ping_us, self.exchange_us]
        if self.probe is not None:
            times.append(self.probe.direct_us if not self.probe.helpers else self.probe.until_us)
        times += [until for *_, until in self.relays.values()]
        if self.hot:
            times.append(self.hot_us)
        if self.owed:
            times.append(self.owed[0][0])
        times += [one.since_us + self.suspicion_us(one) for one in self.peers.suspects()]
        return min(times)

    def suspicion_us(self, peer: Peer) -> int:
        """Shorter with each accuser (Lifeguard, LHA-Suspicion)."""
        shortest = SUSPICION * math.log10(max(10, len(self.peers) + 1)) * PERIOD_US
        longest = shortest * LONGEST
        part = math.log(min(len(peer.accusers), CONFIRMATIONS + 1) or 1) / math.log(CONFIRMATIONS + 1)
        return int(longest - (longest - shortest) * part)

    def statements(self, room: int) -> list[Signed]:
        """For an exchange: who lives, and what they have seen, in at most so many bytes. Ours comes first."""
        found = [self.own]
        if self.name in self.bulletins:
            found.append(self.bulletins[self.name])
        room -= sum(size_of(one) for one in found)
        living = self.peers.living()
        for one in self.dice.sample(living, len(living)):
            some = [one.told, self.bulletins[one.name]] if one.name in self.bulletins else [one.told]
            room -= sum(size_of(told) for told in some)
            if room < 0:
                break
            found += some
        return found

    # Time

    def tick(self, now_us: int) -> list[Action]:
        actions: list[Action] = []
        for seq, (address, theirs, until_us) in list(self.relays.items()):
            if now_us >= until_us:
                del self.relays[seq]
                actions.append(self.send(address, Nack(theirs)))
        for one in [one for one in self.peers.suspects() if now_us >= one.since_us + self.suspicion_us(one)]:
            self.peers.turn(one, Life.DEAD, now_us)
            self.counts["deaths"] += 1
            actions.append(Left(one.name))
        for one in [one for one in self.peers.dead() if now_us >= one.since_us + DEAD_US]:
            self.peers.forget(one)
            self.bulletins.pop(one.name, None)
            for key in [key for key in self.words if key[0] == one.name]:
                del self.words[key]
        actions += self.pass_on(now_us)
        if self.hot and now_us >= self.hot_us:
            actions += self.tell_news(now_us)
        probe = self.probe
        if probe is not None and not probe.helpers and now_us >= probe.direct_us:
            actions += self.ask_others(probe)
        if probe is not None and now_us >= probe.until_us:
            self.missed(probe, now_us)
        if now_us >= self.ping_us:
            self.ping_us = now_us + PERIOD_US * (1 + self.health)
            actions += self.ping_next(now_us)
        if now_us >= self.exchange_us:
            actions += self.exchange(now_us)
        return actions

    def exchange(self, now_us: int) -> list[Action]:
        """With a peer; with a seed while there is none, and now and then after, lest two parts that have
        forgotten one another stay so. Hazard: some that start together meet at one seed and some at another;
        so each asks several of them, twice, before it asks peers.
        """
        living = self.peers.living()
        if self.tries < 2 * min(len(self.seeds), FIRST_SEEDS):
            address = self.seeds[self.tries % min(len(self.seeds), FIRST_SEEDS)]
        elif living and (not self.seeds or self.dice.random() < 0.9):
            address = self.dice.choice(living).address
        elif self.seeds:
            address = self.dice.choice(self.seeds)
        else:
            self.exchange_us = now_us + EXCHANGE_US
            return []
        # often at first: all that start together know few, and learn most by exchanges
        # and seldom in a large fleet, as each exchange grows with it: the bytes a second stay as they are
        wait_us = min(JOIN_US << min(self.tries, 12), EXCHANGE_US * max(1, len(living) // 32))
        self.exchange_us = now_us + int(wait_us * (0.75 + self.dice.random() / 2))
        self.tries += 1
        return [Exchange(address)]

    def ping_next(self, now_us: int) -> list[Action]:
        """The next of a round whose order is new each time, so that each is asked once in it (SWIM, 4.3)."""
        actions: list[Action] = []
        dead = list(self.peers.dead())
        if dead:  # a partition may have healed; its silence says nothing new
            self.seq += 1
            lost = self.dice.choice(dead)
            actions.append(self.send(lost.address, Ping(self.seq, lost.name), lost))
        if not self.order:
            self.order = list(self.peers)
            self.dice.shuffle(self.order)
        while self.order:
            peer = self.peers.get(self.order.pop())
            if peer is not None and peer.life is not Life.DEAD:
                self.seq += 1
                wait_us = ANSWER_US * (1 + self.health)
                self.probe = Probe(self.seq, peer.name, now_us + wait_us, now_us + 2 * wait_us)
                actions.append(self.send(peer.address, Ping(self.seq, peer.name), peer))
                break
        return actions

    def ask_others(self, probe: Probe) -> list[Action]:
        """No answer: others are asked to try, as it may be the way between us (SWIM, 3.1)."""
        others = [one for one in self.peers.living() if one.name != probe.target and one.life is Life.ALIVE]
        helpers = self.dice.sample(others, min(HELPERS, len(others)))
        probe.helpers = len(helpers) or 1
        return [self.send(one.address, Ask(probe.seq, probe.target)) for one in helpers]

    def missed(self, probe: Probe, now_us: int) -> None:
        """Nobody had an answer. Helpers that said nothing at all speak against ourselves (Lifeguard)."""
        self.probe = None
        self.counts["missed pings"] += 1
        silent = probe.helpers - probe.nacks
        self.health = min(HEALTH, self.health + max(1, silent))
        peer = self.peers.get(probe.target)
        if peer is None or peer.life is Life.DEAD:
            return
        told = self.sign(Suspicion(peer.name, peer.incarnation))
        self.accuse(peer, self.name, now_us)
        self.spread("accusation", told, self.name, peer.name)

    # What comes

    def received(self, sender: str, address: tuple[str, int], message: Message, now_us: int) -> list[Action]:
        """A packet's message; its rumours come by `heard`."""
        peer = self.peers.get(sender)
        if isinstance(message, Ping):
            if message.target != self.name:
                return []
            return [self.send(peer.address if peer is not None else address, Ack(message.seq), peer)]
        if isinstance(message, Ack):
            return self.acked(message.seq, sender)
        if isinstance(message, Nack):
            if self.probe is not None and message.seq == self.probe.seq:
                self.probe.nacks += 1
            return []
        if isinstance(message, Ask):
            target = self.peers.get(message.target)
            if target is None or peer is None or len(self.relays) >= MOST_RELAYS:
                return []
            self.seq += 1
            self.relays[self.seq] = peer.address, message.seq, now_us + ANSWER_US * 4 // 5
            return [self.send(target.address, Ping(self.seq, target.name), target)]
        if isinstance(message, TopicMessage) and peer is not None:
            return [Told(sender, message.topic, message.body, alone=True)]
        return []

    def acked(self, seq: int, sender: str) -> list[Action]:
        relay = self.relays.pop(seq, None)
        if relay is not None:
            return [self.send(relay[0], Ack(relay[1]))]
        if self.probe is not None and seq == self.probe.seq:
            self.probe = None
            self.health = max(0, self.health - 1)
        return []

    def is_news(self, told: Signed) -> bool:
        """Worth verifying. Hazard: with 50 instances most rumours come a dozen times."""
        return told.author != self.name and told.signature not in self.seen

    def certificate(self, author: str) -> Certificate | None:
        peer = self.peers.get(author)
        return peer.certificate if peer is not None else None

    def heard(self, told: Signed, statement: Statement, now_us: int) -> list[Action]:
        """A statement whose signature is good, by whomever it came."""
        if told.author == self.name:
            return []
        self.seen[told.signature] = None
        if len(self.seen) > MOST_SEEN:
            self.seen.popitem(last=False)
        if isinstance(statement, Alive):
            return self.on_alive(told, statement, now_us)
        if isinstance(statement, Suspicion):
            return self.on_accusation(told, statement, now_us)
        if isinstance(statement, TopicBroadcast):
            return self.on_word(told, statement)
        return self.on_bulletin(told, statement, now_us)

    def on_alive(self, told: Signed, alive: Alive, now_us: int) -> list[Action]:
        peer, certificate = self.peers.get(told.author), alive.certificate
        joins = peer is None
        if peer is None:
            if len(self.peers) >= MOST_PEERS:
                self.counts["peers over the limit"] += 1
                return []
            peer = Peer(
                told.author,
                certificate.site,
                (alive.host, alive.port),
                alive.incarnation,
                certificate,
                told,
                since_us=now_us,
            )
            self.peers.put(peer)
            self.order.insert(self.dice.randrange(len(self.order) + 1), peer.name)
        elif alive.incarnation <= peer.incarnation:
            return []
        peer.incarnation, peer.address, peer.told = alive.incarnation, (alive.host, alive.port), told
        peer.certificate = certificate
        self.peers.turn(peer, Life.ALIVE, now_us, certificate.site)
        peer.accusers.clear()
        self.spread("alive", told, late=joins)
        return []

    def on_accusation(self, told: Signed, said: Suspicion, now_us: int) -> list[Action]:
        if said.subject == self.name:
            if said.incarnation == self.incarnation and self.incarnation < MOST_WHOLE:
                self.health = min(HEALTH, self.health + 1)  # we may have been slow (Lifeguard)
                self.counts["refutations"] += 1
                self.renewed()
            return []
        peer = self.peers.get(said.subject)
        if peer is None or said.incarnation != peer.incarnation or told.author in peer.accusers:
            return []
        # hazard: an accusation of an incarnation that is not there yet would hold whatever it refutes
        if peer.life is not Life.DEAD and len(peer.accusers) < MOST_ACCUSERS:
            self.accuse(peer, told.author, now_us)
            self.spread("accusation", told, told.author, peer.name)
        return []

    def renewed(self) -> None:
        """A word of ourselves that stands above the last."""
        self.incarnation = min(MOST_WHOLE, self.incarnation + 1)
        self.own = self.sign(self.alive(self.incarnation))
        self.spread("alive", self.own)

    def accuse(self, peer: Peer, by: str, now_us: int) -> None:
        peer.accusers.add(by)
        if peer.life is Life.ALIVE:
            self.peers.turn(peer, Life.SUSPECT, now_us)
            self.counts["suspicions"] += 1

    def on_bulletin(self, told: Signed, bulletin: OutlierReport, now_us: int) -> list[Action]:
        peer, last = self.peers.get(told.author), self.bulletins.get(told.author)
        # hazard: one that speaks without end would fill all packets of all
        if (
            peer is None
            or peer.life is Life.DEAD
            or (last is not None and told.at_us - last.at_us < LEAST_GAP_US)
        ):
            return []
        self.bulletins[told.author] = told
        self.spread("bulletin", told)
        heard: list[Action] = [Heard(told.author, peer.site, bulletin)]
        if peer.owed:
            return heard
        if now_us < peer.next_urgent_us(now_us):
            # hazard: the second word of a silence, which makes a whole vote, comes right after the first
            peer.owed = True
            heapq.heappush(self.owed, (peer.next_urgent_us(now_us), peer.name))
            return heard
        peer.urgent(now_us)
        return heard + self.news(told, now_us, URGENT_WAIT_US)

    def on_word(self, told: Signed, word: TopicBroadcast) -> list[Action]:
        """Passed on with the pings, as all that is no news of a node."""
        peer, key = self.peers.get(told.author), (told.author, word.topic)
        if peer is None or peer.life is Life.DEAD or told.at_us - self.words.get(key, 0) < LEAST_GAP_US:
            return []
        if key not in self.words and sum(author == told.author for author, _ in self.words) >= MOST_TOPICS:
            self.counts["topics over the limit"] += 1
            return []
        self.words[key] = told.at_us
        self.spread("word", told, told.author, word.topic)
        return [Told(told.author, word.topic, word.body, alone=False)]

    def say(self, word: TopicBroadcast) -> None:
        """A word of our own, in place of the last on its topic."""
        self.spread("word", self.sign(word), self.name, word.topic)

    def note(self, name: str, note: TopicMessage) -> list[Action]:
        """To one that lives; [] if it does not."""
        peer = self.peers.get(name)
        return [] if peer is None or peer.life is Life.DEAD else [self.send(peer.address, note, peer)]

    def pass_on(self, now_us: int) -> list[Action]:
        """What came too soon after its author's last news."""
        actions: list[Action] = []
        while self.owed and self.owed[0][0] <= now_us:
            _, name = heapq.heappop(self.owed)
            peer, told = self.peers.get(name), self.bulletins.get(name)
            if peer is not None and peer.owed:
                peer.owed = False
                peer.urgent(now_us)
                if told is not None:
                    actions += self.news(told, now_us, URGENT_WAIT_US)
        return actions

    # Rumours

    def publish(self, bulletin: OutlierReport, urgent: bool, now_us: int) -> list[Action]:
        """Our own, in place of the last."""
        told = self.bulletins[self.name] = self.sign(bulletin)
        self.spread("bulletin", told)
        return self.news(told, now_us, 0) if urgent else []

    def news(self, told: Signed, now_us: int, wait_us: int) -> list[Action]:
        """At once to a few; each passes on what is new to it, so that all have it in log n trips. Hazard: a
        node that fails for many is news by the dozen; what comes together goes on together.
        """
        if not self.hot:
            self.hot_us = now_us + wait_us
        self.hot.append(told)
        return self.tell_news(now_us) if now_us >= self.hot_us else []

    def tell_news(self, now_us: int) -> list[Action]:
        self.urgent = min(URGENT_A_SECOND, self.urgent + URGENT_A_SECOND * (now_us - self.urgent_us) / 1e6)
        self.urgent_us = now_us
        others, actions = self.peers.living(), list[Action]()
        while self.hot:
            some, room = [self.hot.pop()], ROOM  # the latest first, should there be too much
            room -= size_of(some[0])
            while self.hot and len(some) < MOST and size_of(self.hot[-1]) <= room:
                some.append(self.hot.pop())
                room -= size_of(some[-1])
            chosen = self.dice.sample(others, min(FANOUT, len(others), int(self.urgent)))
            self.urgent -= len(chosen)
            if not chosen:
                self.hot.clear()  # the pings carry it
            actions += [Send(one.address, News(), tuple(some)) for one in chosen]
        return actions

    def spread(self, kind: str, told: Signed, *key: str, late: bool = False) -> None:
        self.rumours.put((kind, *(key or (told.author,))), told, late)

    def send(self, address: tuple[str, int], message: Message, peer: Peer | None = None) -> Send:
        """With the rumours that have gone out least. A suspect hears of it first, so that it can refute
        (Lifeguard, Buddy System).
        """
        first: list[Signed] = []
        if peer is not None and peer.life is not Life.ALIVE:
            first.append(self.sign(Suspicion(peer.name, peer.incarnation)))
        times = max(1, int(TOLD * math.ceil(math.log2(len(self.peers) + 2))))
        room = ROOM - sum(size_of(one) for one in first)
        return Send(address, message, (*first, *self.rumours.choose(MOST - len(first), room, times)))
