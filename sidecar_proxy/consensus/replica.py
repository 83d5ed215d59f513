"""One sidecar's part in what the fleet agrees upon: consensus, the state of its words, who votes, what is
fetched and who is answered, put together. Pure: times, frames and what gossip says come in; what is to be
written, sent, said and answered goes out.

Whoever calls writes a Write and syncs it, then calls `stored`; nothing that rests on it goes out before.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec

from sidecar_proxy.consensus import disruption_budgets as permits
from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus import state_transfer as fetching
from sidecar_proxy.consensus.frames import (
    Answer,
    Ask,
    Batch,
    Frame,
    Later,
    Offer,
    Piece,
    Raft,
    ReplicaStatus,
    Want,
)
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    HardState,
    Install,
    Message,
    Node,
    Snapshot,
)
from sidecar_proxy.consensus.proposals import (
    DONE,
    ELSEWHERE,
    ERROR,
    UNKNOWN,
    PendingProposals,
    ProposalResult,
)
from sidecar_proxy.consensus.raft import ProposalRejected, RaftCore, Ready, Timing
from sidecar_proxy.consensus.state_transfer import Budget, Fetch
from sidecar_proxy.consensus.voters import Candidate, Look, name_of

TICK_US = 50_000
MOST_REST = 20  # ticks
TIMING = Timing(election=12, heartbeat=4)
COMPACT = 1024  # entries, after which they become a snapshot
MOST_WAITING = 256  # messages while the disk is slow, and words of one term that wait for their commit
NEAR = 64  # entries; who is no further behind has the log
STALL_US = 1_000_000  # between two ticks: we have been away, not the others
TRY_US = 3_000_000  # for one who might be taken in to answer
FAILED_US = 10_000_000  # before it is tried again
CHANGE_US = 500_000  # between two looks at who should vote
SAY_VOTER_US = 300_000  # between two words by gossip
SAY_LEARNER_US = 2_000_000
MOST_SEEN = 64  # words of each sidecar of which it is known when they took effect there
MOST_MEMBERS = 5000
BARRIER = 0  # the context of a read that nobody waits for


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    voters: int = 3
    votes: bool = True  # whether this sidecar may be taken in as one
    replace_us: int = 60_000_000
    bytes_per_s: float = 262_144.0
    compact: int = COMPACT


@dataclass(slots=True, frozen=True)
class PersistState:
    """To be written and synced, all or nothing."""

    hard: HardState | None
    commit: int
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    known: HardState


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: Node
    frame: Frame


@dataclass(slots=True, frozen=True)
class Broadcast:
    """By gossip, to all."""

    here: ReplicaStatus


@dataclass(slots=True, frozen=True)
class StateChanged:
    """What holds has changed: `Member.state`."""


@dataclass(slots=True, frozen=True)
class LogMessage:
    """For the log."""

    text: str


Output = PersistState | SendMessage | Broadcast | StateChanged | LogMessage | ProposalResult


@dataclass(slots=True)
class Peer:
    """Another sidecar, by what it says."""

    here: ReplicaStatus
    site: str
    at_us: int
    seen: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MOST_SEEN))  # applied, at ms

    def node(self, name: str) -> Node:
        return node_of(name, self.here.incarnation)


@dataclass(slots=True)
class PendingEntry:
    """Who is to be told what came of an entry that we have proposed."""

    term: int
    id: str
    who: list[tuple[Node, int]]


class Replica:
    def __init__(
        self,
        name: str,
        site: str,
        kept: PersistedState,
        limits: ReplicaLimits,
        dice: random.Random,
        now_us: int,
        wall_ms: int,
        timing: Timing = TIMING,
    ) -> None:
        """Raises WordError for a snapshot that can't be read."""
        self.name, self.site = name, site
        self.life = f"{dice.getrandbits(64):016x}"
        self.me = node_of(name, kept.incarnation)
        self.incarnation = kept.incarnation
        self.limits = limits
        self.dice = dice
        self.core = RaftCore(self.me, kept.log, kept.hard, dice, timing, kept.commit, early=True)
        self.state = words.restored(kept.log.snapshot.data)
        for one in kept.log.between(kept.log.snapshot.index + 1, self.core.commit):
            words.apply(self.state, one)
        self.tick_last_us = now_us
        self.planned = 1
        self.unsaid = True
        self.wall_ms = wall_ms
        self.applied_ms = wall_ms
        self.peers: dict[str, Peer] = {}
        self.voting: dict[str, Peer] = {}  # those of them who say that they vote
        self.asks = PendingProposals()
        self.fetch = Fetch(dice, now_us)
        self.budget = Budget(limits.bytes_per_s, now_us)
        self.writing: Ready | None = None
        self.waiting: dict[int, PendingEntry] = {}  # by index
        self.reading: dict[int, tuple[Node, Ask]] = {}  # by the core's context
        self.reads = 0
        self.heard_us: dict[Node, int] = {}
        self.led = False  # at the last tick this one led
        self.leader: Node = ""
        self.leader_us = now_us  # since when it is that one, or none
        self.fresh_us = 0  # when all that was committed was here; 0 = never known
        self.change_us = now_us
        self.trying: Node = ""  # who is to be taken in, if it answers
        self.try_until_us = 0
        self.failed: dict[str, int] = {}  # who did not, and when
        self.barrier = 0  # the round of the last look at who should vote
        self.say_us = now_us
        self.said: ReplicaStatus | None = None
        self.quiet: set[str] = set()  # sidecars of another fleet that have been spoken of
        self.out: list[Output] = []
        self.witness: Callable[[words.ReplicatedCommand], permits.Facts | None] | None = None  # the caller's

    # What comes in

    @property
    def due_us(self) -> int:
        """When to `tick` next: a process with nothing to do is not woken. What comes may bring it forward."""
        if self.asks.open or self.fetch.number:
            ticks = 1
        elif self.me in self.core.voters:
            ticks = self.core.rest()
        else:
            ticks = (self.fetch.due_us - self.tick_last_us) // TICK_US + 1
        if self.unsaid:
            ticks = min(ticks, (self.say_us - self.tick_last_us) // TICK_US + 1)
        self.planned = max(1, min(ticks, MOST_REST))
        return self.tick_last_us + self.planned * TICK_US

    def tick(self, now_us: int, wall_ms: int) -> list[Output]:
        """At `due_us`. Hazard: time in which this process got no CPU is not counted; what it
        has not read yet may say that all is well.
        """
        self.wall_ms = wall_ms
        if now_us - self.tick_last_us > self.planned * TICK_US + STALL_US:
            self.barrier = 0
            self.heard_us = dict.fromkeys(self.heard_us, now_us)
        for _ in range(max(1, min(self.planned, (now_us - self.tick_last_us + TICK_US // 5) // TICK_US))):
            self.core.tick()
        self.tick_last_us = now_us
        self.follow_leader(now_us)
        if self.core.leads and now_us >= self.change_us:
            self.change_us = now_us + CHANGE_US
            self.choose_voters(now_us)
        self.ask_on(now_us)
        self.fetch_on(now_us)
        return self.done(now_us)

    def catch_up(self, now_us: int) -> None:
        """The ticks that have passed since the last one, but the one that something is due at: what comes now
        counts from now.
        """
        passed = min((now_us - self.tick_last_us) // TICK_US, self.planned - 1)
        if passed > 0:
            for _ in range(passed):
                self.core.tick()
            self.tick_last_us += passed * TICK_US
            self.planned -= passed

    def received(self, node: Node, frame: Frame, now_us: int) -> list[Output]:
        """From that node, as its session has shown."""
        self.catch_up(now_us)
        if isinstance(frame, Message):
            if node in self.core.voters:
                self.heard_us[node] = now_us
            self.core.step(frame)
            if isinstance(frame, Append) and self.core.leader == node:
                self.fresh_us = now_us
        elif isinstance(frame, Offer):
            self.offered(frame, now_us)
        elif isinstance(frame, Want):
            self.wanted(node, frame, now_us)
        elif isinstance(frame, Ask):
            self.asked(node, frame)
        elif isinstance(frame, Answer):
            self.give(self.asks.answered(node, frame, now_us))
        elif self.fetch.answered(frame, now_us):
            self.fetched(node, frame, now_us)
        return self.done(now_us)

    def heard(self, name: str, site: str, here: ReplicaStatus, now_us: int) -> list[Output]:
        """By gossip."""
        if here.fleet and self.state.fleet and here.fleet != self.state.fleet:
            if name not in self.quiet and len(self.quiet) < MOST_MEMBERS:
                self.quiet.add(name)
                self.out.append(
                    LogMessage(
                        f"{name} is of another fleet ({here.fleet}, not {self.state.fleet}); "
                        "nothing of it is taken"
                    )
                )
            return self.done(now_us)
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MOST_MEMBERS:
                return self.done(now_us)
            peer = self.peers[name] = Peer(here, site, now_us)
        peer.here, peer.site, peer.at_us = here, site, now_us
        if not peer.seen or peer.seen[-1][0] < here.applied:
            peer.seen.append((here.applied, here.at_ms))
        if not here.votes:
            self.voting.pop(name, None)
        else:
            self.voting[name] = peer
            if here.commit > self.core.commit:
                self.fetch.heard_of_more(now_us, len(self.peers))
            elif here.commit == self.core.commit and here.fleet == self.state.fleet:
                self.fresh_us = now_us
        return self.done(now_us)

    def left(self, name: str, now_us: int) -> list[Output]:
        """Gossip holds it for dead."""
        self.peers.pop(name, None)
        self.voting.pop(name, None)
        return self.done(now_us)

    def unsent(self, node: Node, frame: Frame, now_us: int) -> list[Output]:
        """It never left: there is no way to that node."""
        if isinstance(frame, Ask):
            self.asks.unsent(frame.number, now_us)
        elif isinstance(frame, Want):
            self.fetch.lost(node, now_us)
        return self.done(now_us)

    def broken(self, node: Node, now_us: int) -> list[Output]:
        """The link to it broke; what was sent may have come or not."""
        self.asks.lost(node, now_us)
        self.fetch.lost(node, now_us)
        return self.done(now_us)

    def say(self, context: int, word: words.ReplicatedCommand, now_us: int) -> list[Output]:
        """At the door; an Answered will come. Raises WordError."""
        data = words.encoded(word)
        if not self.fleet():
            raise words.CommandError("no fleet was begun (`fleet begin`)")
        self.give(self.asks.add(context, data, "", now_us))
        self.ask_on(now_us)
        return self.done(now_us)

    def look(self, context: int, name: str, now_us: int) -> list[Output]:
        """What holds of that upstream or setting now, by the leader's word (linearizable)."""
        self.give(self.asks.add(context, b"", name, now_us))
        self.ask_on(now_us)
        return self.done(now_us)

    def begin(self, now_us: int) -> list[Output]:
        """The fleet's first voter. Raises Refused."""
        if self.fleet() or self.core.commit or self.writing is not None:
            raise ProposalRejected(f"there is a fleet already: {self.fleet() or 'being begun'}")
        fleet = f"{self.dice.getrandbits(64):016x}"
        self.core.restore(Snapshot(1, 0, (self.me,), words.begun(fleet)))
        self.core.campaign()
        return self.done(now_us)

    def fleet(self) -> str:
        """Ours, or, where we are new, the one that others tell of."""
        return self.state.fleet or next((one.here.fleet for one in self.peers.values() if one.here.fleet), "")

    # What goes out

    def stored(self, now_us: int) -> list[Output]:
        """The last Write is on disk."""
        ready, self.writing = self.writing, None
        assert ready is not None
        self.finish(ready, now_us)
        return self.done(now_us)

    def done(self, now_us: int) -> list[Output]:
        self.pump(now_us)
        self.speak(now_us)
        out, self.out = self.out, []
        return out

    def pump(self, now_us: int) -> None:
        core = self.core
        while self.writing is None:
            if not core.has_ready():
                if len(core.log.entries) < self.limits.compact or core.log.snapshot.index == core.applied:
                    return
                snapshot = core.log.compact(core.applied, words.kept(self.state))
                self.writing = Ready()
                self.out.append(
                    PersistState(None, core.applied, snapshot, tuple(core.log.entries), core.told)
                )
                return
            ready = core.ready()
            if ready.hard is None and ready.snapshot is None and not ready.entries and not ready.committed:
                self.finish(ready, now_us)
                continue
            self.writing = ready
            self.out.append(
                PersistState(ready.hard, core.applied, ready.snapshot, tuple(ready.entries), core.told)
            )
            if ready.hard is None:  # hazard: nothing of a term may leave before the term is written
                early = [one for one in ready.messages if isinstance(one, Append)]
                self.out += [SendMessage(one.target, one) for one in early]
                ready.messages = [one for one in ready.messages if not isinstance(one, Append)]
        if len(core.out.messages) > MOST_WAITING:  # as if the network had lost them
            del core.out.messages[:-MOST_WAITING]

    def finish(self, ready: Ready, now_us: int) -> None:
        """Of what is written: send, then apply."""
        self.core.wrote(ready.entries)
        for message in ready.messages:
            if isinstance(message, Install):
                self.out.append(
                    SendMessage(
                        message.target,
                        Offer(
                            message.source,
                            message.target,
                            message.term,
                            message.snapshot.index,
                            message.round,
                        ),
                    )
                )
            else:
                self.out.append(SendMessage(message.target, cast(Raft, message)))
        if ready.snapshot is not None:
            fleet = self.state.fleet
            self.state = words.restored(ready.snapshot.data)
            if not fleet:
                self.out.append(LogMessage(f"this sidecar is of fleet {self.state.fleet}"))
        for entry in ready.committed:
            outcome = words.apply(self.state, entry)
            self.settled(entry, outcome)
        if ready.committed or ready.snapshot is not None:
            self.applied_ms = self.wall_ms
            self.out.append(StateChanged())
        for context, _ in ready.reads:
            if context == BARRIER:
                continue
            node, ask = self.reading.pop(context)
            held, setting = self.state.held.get(ask.name), self.state.settings.get(ask.name)
            text = json.dumps(
                {
                    "held": held.kind if held else None,
                    "since": held.index if held else None,
                    "value": setting.value if setting else None,
                },
                ensure_ascii=False,
            )
            self.answer(node, Answer(ask.number, DONE, self.state.index, text[: words.MOST_VALUE], self.me))
        for context in ready.refused_reads:
            if context == BARRIER:
                continue
            node, ask = self.reading.pop(context)
            self.answer(node, Answer(ask.number, ELSEWHERE, 0, "", self.core.leader))

    def speak(self, now_us: int) -> None:
        """By gossip, where there is something new to say."""
        core = self.core
        votes = self.me in core.voters
        here = ReplicaStatus(
            self.incarnation,
            self.state.fleet,
            core.term if votes else 0,
            core.leader if votes else "",
            0,
            votes,
            core.commit,
            self.state.index,
            self.applied_ms,
            self.life,
            self.limits.votes,
        )
        self.unsaid = here != self.said
        if not self.unsaid or now_us < self.say_us:
            return
        self.unsaid = False
        self.said = here
        self.say_us = now_us + (SAY_VOTER_US if votes else SAY_LEARNER_US)
        since_ms = max(0, now_us - self.leader_us) // 1000
        self.out.append(Broadcast(msgspec.structs.replace(here, since_ms=since_ms)))

    # Who leads

    def follow_leader(self, now_us: int) -> None:
        """Who it is, as far as can be known here."""
        core = self.core
        if self.me in core.voters:
            leader = core.leader
        else:
            # of the latest term; a leader's own word before others'
            best = max(
                (
                    (one.here.term, one.here.leader == one.node(name), one.here.leader)
                    for name, one in self.voting.items()
                    if one.here.leader
                ),
                default=(0, False, ""),
            )
            leader = best[2]
        if core.leads:
            heard = sorted(
                (now_us if node == self.me else self.heard_us.get(node, 0) for node in core.voters),
                reverse=True,
            )
            if self.led:
                self.fresh_us = max(self.fresh_us, heard[core.majority() - 1])
            else:
                self.led, self.barrier = True, 0
                self.trying = ""
                self.core.learners.clear()
                self.heard_us.update(dict.fromkeys(core.voters, now_us))
        elif self.led:
            self.led = False
            self.give_up_waiting()
        if leader != self.leader:
            self.leader, self.leader_us = leader, now_us

    def leaderless_us(self, now_us: int) -> int:
        return 0 if self.leader else now_us - self.leader_us

    def give_up_waiting(self) -> None:
        """The office is lost: what was proposed may yet be committed by another."""
        for one in self.waiting.values():
            for node, number in one.who:
                self.answer(node, Answer(number, UNKNOWN, 0, "", self.core.leader))
        self.waiting.clear()

    def choose_voters(self, now_us: int) -> None:
        core = self.core
        # hazard: who was itself away for a while (a process that was stopped) finds old answers and old times
        answered = {node for node, one in core.peers.items() if self.barrier and one.round >= self.barrier}
        there = {
            name: Candidate(one.node(name), name, one.site, self.is_proven(one.node(name), answered))
            for name, one in self.peers.items()
            if one.here.fleet == self.state.fleet and (one.here.able or one.node(name) in core.voters)
        }
        there[self.name] = Candidate(self.me, self.name, self.site, True)
        away = {node: now_us - self.heard_us.get(node, now_us) for node in core.voters if node != self.me}
        look = Look(self.me, core.voters, there, away, answered, self.limits.voters, self.limits.replace_us)
        if look.is_settled() and not self.trying:
            self.barrier = 0
            return
        try:
            core.read(BARRIER)
            self.barrier = core.round
            self.prove(look, now_us)
            found = look.next_voters() if len(answered) + 1 >= core.majority() else None
            if found is None:
                return
            core.change(found)
        except ProposalRejected:
            return  # nothing of this term is committed yet, or the last change: it is looked at again
        self.heard_us = {node: self.heard_us.get(node, now_us) for node in found}
        self.out.append(LogMessage("voters from now on: " + ", ".join(map(name_of, sorted(found)))))

    def is_proven(self, node: Node, answered: set[Node]) -> bool:
        """The leader has sent it what it lacked, and it answers (thesis, 4.2.1)."""
        one = self.core.peers.get(node)
        return one is not None and node in answered and one.match + NEAR >= self.core.commit

    def prove(self, look: Look, now_us: int) -> None:
        """The best one that may be taken in gets the log from us; the next, if it does not answer."""
        wanted = look.to_prove()
        if self.trying and (
            self.trying not in [one.node for one in wanted]
            or (now_us >= self.try_until_us and self.trying not in look.answered)
        ):
            self.core.forget(self.trying)
            self.failed[name_of(self.trying)] = now_us
            self.trying = ""
        self.failed = {name: at for name, at in self.failed.items() if now_us - at < FAILED_US}
        free = [one for one in wanted if one.name not in self.failed]
        if not self.trying and free:
            self.trying, self.try_until_us = free[0].node, now_us + TRY_US
            self.core.learn(self.trying)

    # Words

    def ask_on(self, now_us: int) -> None:
        """Those that wait go to the leader, if there is one."""
        if self.asks.open:
            for node, ask in self.asks.to_send(self.leader, now_us):
                if node == self.me:
                    self.asked(node, ask)
                else:
                    self.out.append(SendMessage(node, ask))
            for one in self.asks.late(now_us, self.leaderless_us(now_us)):
                self.out.append(one)

    def give(self, answer: ProposalResult | None) -> None:
        if answer is not None:
            self.out.append(answer)

    def answer(self, node: Node, told: Answer) -> None:
        if node == self.me:
            self.give(self.asks.answered(node, told, 0))
        else:
            self.out.append(SendMessage(node, told))

    def asked(self, node: Node, ask: Ask) -> None:
        """Of the leader; if it is not us, it is told who."""
        try:
            if not ask.word:
                if len(self.reading) >= MOST_WAITING:
                    self.answer(node, Answer(ask.number, ERROR, 0, "too many ask at a time", self.me))
                    return
                self.reads += 1
                self.core.read(self.reads)
                self.reading[self.reads] = node, ask
                return
            word = words.decode(ask.word)
            if word is None:
                text = "of a kind that the leader does not know"
                self.answer(node, Answer(ask.number, ERROR, 0, text, self.me))
                return
            waits = next((one for one in self.waiting.values() if one.id == word.id), None)
            if waits is not None:
                waits.who.append((node, ask.number))
            elif sum(len(one.who) for one in self.waiting.values()) >= MOST_WAITING:
                self.answer(node, Answer(ask.number, ERROR, 0, "too many words at a time", self.me))
            else:
                index = self.core.propose(self.witnessed(word, ask.word))
                self.waiting[index] = PendingEntry(self.core.term, word.id, [(node, ask.number)])
        except ProposalRejected:
            self.answer(node, Answer(ask.number, ELSEWHERE, 0, "", self.core.leader))

    def witnessed(self, word: words.ReplicatedCommand, data: bytes) -> bytes:
        """With what this leader knows of who is out; of nothing that somebody else has said of it."""
        if word.kind not in words.NEEDS_FACTS:
            return data
        told = msgspec.structs.replace(word, facts=self.witness(word) if self.witness else None)
        return words.fitting(told)

    def settled(self, entry: Entry, outcome: words.Outcome) -> None:
        """It is committed and applied: who waits is told."""
        waits = self.waiting.pop(entry.index, None)
        if waits is None:
            return
        for node, number in waits.who:
            if waits.term != entry.term:
                told = Answer(number, UNKNOWN, 0, "", self.core.leader)
            else:
                told = Answer(
                    number,
                    ERROR if outcome.error else DONE,
                    outcome.index,
                    outcome.error or outcome.text,
                    self.me,
                )
            self.answer(node, told)

    # What is fetched

    def fetch_on(self, now_us: int) -> None:
        """What is committed and not here. A voter has it told by the leader, and asks only if it has to."""
        if self.me in self.core.voters and not self.fetch.news:
            return
        found = self.fetch.question(
            now_us, [one.node(name) for name, one in self.voting.items()], self.core.commit
        )
        if found is not None:
            self.out.append(SendMessage(*found))

    def wanted(self, node: Node, want: Want, now_us: int) -> None:
        answer = fetching.answer(want, self.core.log, self.core.applied, self.state.fleet)
        wait_ms = self.budget.take(fetching.size(answer), now_us)
        self.out.append(SendMessage(node, Later(want.number, wait_ms) if wait_ms else answer))

    def offered(self, offer: Offer, now_us: int) -> None:
        """What the leader would have installed; first it is told how far we are."""
        commit = self.core.commit
        self.core.step(
            Install(offer.source, offer.target, offer.term, Snapshot(min(commit, offer.index)), offer.round)
        )
        if offer.index > commit and offer.term >= self.core.term:
            self.fetch.heard_of_more(now_us, 0)

    def fetched(self, node: Node, told: Batch | Piece | Later, now_us: int) -> None:
        if isinstance(told, Later):
            return
        fleet = self.state.fleet
        if not told.fleet or (fleet and told.fleet != fleet):
            self.fetch.rest(now_us, False)
            return
        before = self.core.commit, self.fetch.there
        if isinstance(told, Piece):
            found = self.fetch.pieced(told)
            if found is not None and self.is_sound(found, told.fleet):
                self.core.restore(found)
        else:
            try:
                self.core.learned(told.entries)
            except ProposalRejected as error:
                self.out.append(LogMessage(f"{node}: {error}"))
        more = told.commit > self.core.commit
        if not more:
            self.fresh_us = now_us
        # hazard: one whose answers lead nowhere must not be asked without end
        self.fetch.rest(now_us, more and (self.core.commit, self.fetch.there) != before)
        if self.core.leader and not self.core.leads and self.me in self.core.voters:
            # what is committed agrees with any leader's log; it may go on from there
            self.core.send(AppendReply(self.me, self.core.leader, self.core.term, True, self.core.commit))

    def is_sound(self, found: Snapshot, fleet: str) -> bool:
        """Hazard: taken and synced, one that can't be read would end this sidecar at each start."""
        try:
            state = words.restored(found.data)
        except words.CommandError as error:
            self.out.append(LogMessage(str(error)))
            return False
        return state.index == found.index and state.fleet == fleet

    # For people

    def age_s(self, now_us: int) -> float | None:
        """Since when all that was committed was here; None: never, as far as is known."""
        return round((now_us - self.fresh_us) / 1e6, 1) if self.fresh_us else None

    def described(self, now_us: int) -> dict[str, Any]:
        core = self.core
        votes = self.me in core.voters
        applied = {self.me: self.state.index} | {
            one.node(name): one.here.applied for name, one in self.peers.items()
        }
        newest = max([core.commit, *(one.here.commit for one in self.peers.values() if one.here.votes)])
        since_us = now_us - self.leader_us
        if not votes:
            since_us += max(
                (
                    one.here.since_ms * 1000 + self.leader_us - one.at_us
                    for name, one in self.peers.items()
                    if one.node(name) == self.leader
                ),
                default=0,
            )
        return {
            "name": self.name,
            "node": self.me,
            "fleet": self.state.fleet,
            "role": core.role.value if votes else "learner",
            "term": core.term,
            "leader": self.leader,
            "leader_since_s": round(since_us / 1e6, 1) if self.leader else None,
            "leaderless_s": round(self.leaderless_us(now_us) / 1e6, 1),
            "voters": sorted(core.voters),
            "commit": core.commit,
            "applied": self.state.index,
            "age_s": self.age_s(now_us),
            "writing": self.writing is not None,
            "sidecars": [
                {
                    "name": name_of(node),
                    "node": node,
                    "votes": node in core.voters,
                    "applied": index,
                    "behind": max(0, newest - index),
                }
                for node, index in sorted(applied.items())
            ],
            "lost": sorted(node for node in core.voters if node not in applied),
        }

    def log(self) -> list[dict[str, Any]]:
        """The latest words, and when each took effect where, as far as that is known here."""
        found = words.log(self.state)
        for one in found:
            seen: dict[str, int | None] = {}
            for name, peer in self.peers.items():
                seen[name] = next((at for applied, at in peer.seen if applied >= one["index"]), None)
            one["in_effect_ms"] = seen
        return found


def node_of(name: str, incarnation: str) -> Node:
    return f"{name}#{incarnation}"
