"""Consensus: one node's part in a replicated log, after Raft. Pure: messages and ticks in, a Ready out.

Sections named are those of Ongaro, "Consensus: Bridging Theory and Practice" (2014). The caller takes a
Ready, writes and syncs what is to be written, then sends the messages, then applies what is committed, then
takes the next one. It calls `tick` evenly; an election's time is `Timing.election` ticks.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.log import Compacted, RaftLog
from sidecar_proxy.consensus.messages import (
    MOST_ENTRIES,
    Append,
    AppendReply,
    Entry,
    HardState,
    Install,
    Message,
    Node,
    Snapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

MOST_FED = MOST_ENTRIES  # of them in one message
MOST_AHEAD = 1024  # entries that are not committed; more proposals are refused


@dataclass(slots=True, frozen=True)
class Timing:
    """In ticks."""

    election: int = 10  # and up to twice as long, by chance
    heartbeat: int = 2
    again: int = 3  # between two questions whether there would be votes
    pre_vote: bool = True
    check_quorum: bool = True


class Role(enum.Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """What the leader knows of one node's log."""

    next: int
    match: int = 0
    heard: bool = True  # since the last look at the quorum
    round: int = 0  # the last one that it has replied to
    installing: int = 0  # the snapshot that is on its way to it; 0 = none


@dataclass(slots=True)
class Read:
    """A read waits for a round of replies of a majority (6.4)."""

    context: int
    index: int
    round: int


@dataclass(slots=True)
class Ready:
    """In this order: write and sync; send; apply."""

    hard: HardState | None = None
    snapshot: Snapshot | None = None  # in place of all that was before
    entries: list[Entry] = field(default_factory=list)  # what stands from the first one's index on is cut
    messages: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # context, and once what is applied
    refused_reads: list[int] = field(default_factory=list)  # the office was lost: ask another


class ProposalRejected(Exception):
    """Not now, or not here; one line."""


class RaftCore:
    """A voter, or a learner while no one has taken it in."""

    def __init__(
        self,
        me: Node,
        log: RaftLog,
        hard: HardState,
        dice: random.Random,
        timing: Timing = Timing(),
        commit: int = 0,
        early: bool = False,
    ) -> None:
        """`commit`: what was known to be committed when it ended; the caller has applied all up to there.
        `early`: the caller sends a Ready's Appends before it has written, and says `wrote` once it has
        (10.2.1): so a commit takes one sync and not two in a row.
        """
        self.me = me
        self.log = log
        self.term, self.vote = hard.term, hard.vote
        self.dice = dice
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader: Node = ""  # of this term, as far as it is known
        self.commit = self.applied = max(log.snapshot.index, min(commit, log.last_index))
        self.elapsed = 0  # ticks since the leader was heard, or the last heartbeat
        self.patience = 0  # ticks of this election's time
        self.votes: dict[Node, bool] = {}
        self.pre = False  # the candidacy is only asked about
        self.peers: dict[Node, Progress] = {}  # of a leader: voters and learners but itself
        self.learners: dict[Node, None] = {}
        self.round = 0
        self.quorum_elapsed = 0
        self.reads: list[Read] = []
        self.transfer_to: Node = ""
        self.transfer_elapsed = 0
        self.told = HardState(self.term, self.vote)  # as last written
        self.early = early
        self.stable = log.last_index  # entries up to there are written; of use where `early`
        self.out = Ready()
        self.be_patient()

    # Questions

    @property
    def voters(self) -> tuple[Node, ...]:
        return self.log.voters()

    @property
    def leads(self) -> bool:
        return self.role is Role.LEADER

    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def has_ready(self) -> bool:
        out = self.out
        return bool(
            self.told != HardState(self.term, self.vote)
            or out.snapshot
            or out.entries
            or out.messages
            or out.reads
            or out.refused_reads
            or self.applied < self.commit
        )

    def ready(self) -> Ready:
        """What is to be done now. Hazard: what it holds counts as written from here on."""
        out, self.out = self.out, Ready()
        if not self.early:
            self.stable = self.log.last_index
        hard = HardState(self.term, self.vote)
        if hard != self.told:
            out.hard = self.told = hard
        if self.applied < self.commit:
            out.committed = self.log.between(self.applied + 1, self.commit)
            self.applied = self.commit
        return out

    def wrote(self, entries: Sequence[Entry]) -> None:
        """Those of a Ready. Hazard: what has come in their place since is not among them."""
        if entries:
            waiting = self.out.entries
            self.stable = min(entries[-1].index, waiting[0].index - 1 if waiting else self.log.last_index)
            self.advance()

    # Time

    def rest(self) -> int:
        """Ticks until one has something to do, at least one."""
        if self.role is Role.LEADER:
            return max(1, self.timing.heartbeat - self.elapsed)
        if self.role is Role.CANDIDATE:
            return 1
        return max(1, self.patience - self.elapsed)

    def tick(self) -> None:
        self.elapsed += 1
        if self.role is Role.LEADER:
            self.tick_leader()
        elif self.elapsed >= self.patience and self.me in self.voters:
            self.campaign()
        elif self.role is Role.CANDIDATE and self.pre and self.elapsed % self.timing.again == 0:
            # who has heard the leader a moment longer has passed over it, and would not be asked for long
            self.ask_for_votes(pre=True)

    def tick_leader(self) -> None:
        self.quorum_elapsed += 1
        if self.quorum_elapsed >= self.timing.election:
            self.quorum_elapsed = 0
            heard = sum(one.heard for node, one in self.peers.items() if node in self.voters)
            if self.timing.check_quorum and heard + (self.me in self.voters) < self.majority():
                self.follow(self.term, "")  # 6.2: others may have a leader that we do not hear of
                return
            for one in self.peers.values():
                one.heard, one.installing = False, 0
        if self.transfer_to:
            self.transfer_elapsed += 1
            if self.transfer_elapsed >= self.timing.election:
                self.transfer_to = ""  # it did not come to it: proposals are taken again
        if self.elapsed >= self.timing.heartbeat:
            self.elapsed = 0
            self.broadcast()

    def be_patient(self) -> None:
        self.elapsed = 0
        self.patience = self.timing.election + self.dice.randrange(self.timing.election)

    # Elections

    def follow(self, term: int, leader: Node) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role is Role.LEADER:
            self.out.refused_reads += [one.context for one in self.reads]
        self.role, self.leader = Role.FOLLOWER, leader
        self.votes, self.peers, self.reads, self.transfer_to = {}, {}, [], ""
        self.be_patient()

    def campaign(self, transfer: bool = False) -> None:
        """Stand for election; first it is asked whether that would help (9.6)."""
        if self.me not in self.voters:
            return
        self.role, self.leader = Role.CANDIDATE, ""
        self.be_patient()
        self.stand(self.timing.pre_vote and not transfer, transfer)

    def stand(self, pre: bool, transfer: bool = False) -> None:
        """Ask for votes; `pre`: only whether there would be any."""
        self.pre = pre
        if not pre:
            self.term, self.vote = self.term + 1, self.me
        self.votes = {self.me: True}
        if self.won():
            self.elected()
            return
        self.ask_for_votes(pre, transfer)

    def ask_for_votes(self, pre: bool, transfer: bool = False) -> None:
        asked = self.term + 1 if pre else self.term
        for node in self.voters:
            if node != self.me:
                self.send(
                    VoteRequest(self.me, node, asked, self.log.last_index, self.log.last_term, pre, transfer)
                )

    def won(self) -> bool:
        return sum(self.votes.get(node, False) for node in self.voters) >= self.majority()

    def elected(self) -> None:
        if self.pre:
            self.stand(pre=False)
            return
        self.role, self.leader, self.elapsed, self.quorum_elapsed = Role.LEADER, self.me, 0, 0
        self.reads, self.transfer_to = [], ""
        last = self.log.last_index
        others = dict.fromkeys([*self.voters, *self.learners])
        self.peers = {node: Progress(last + 1) for node in others if node != self.me}
        # 5.4.2: entries of earlier terms are committed along with one of this term
        self.add([Entry(self.term, last + 1)])
        self.broadcast()

    def on_vote_request(self, asked: VoteRequest) -> None:
        content = (
            not asked.transfer
            and self.leader
            and self.elapsed < self.timing.election
            and (self.timing.check_quorum)
        )
        if content:
            return  # 4.2.3: the leader is heard; who was cut off does not unseat it
        fresh = self.log.is_fresh(asked.last_index, asked.last_term)
        if asked.pre:
            granted = asked.term > self.term and fresh
            # a reply to a pre-vote has the term that was asked about, or ours where that is higher
            self.send(VoteReply(self.me, asked.source, asked.term if granted else self.term, granted, True))
            return
        if asked.term > self.term:
            self.follow(asked.term, "")
        granted = asked.term == self.term and self.vote in ("", asked.source) and fresh
        if granted:
            self.vote = asked.source
            self.be_patient()
        self.send(VoteReply(self.me, asked.source, self.term, granted))

    def on_vote_reply(self, reply: VoteReply) -> None:
        if reply.term > self.term and not (reply.pre and reply.granted):
            self.follow(reply.term, "")
            return
        if (
            self.role is not Role.CANDIDATE
            or reply.pre is not self.pre
            or (reply.term != (self.term + 1 if self.pre else self.term))
        ):
            return
        if reply.source in self.voters:
            self.votes[reply.source] = reply.granted
            if self.won():
                self.elected()

    # Messages

    def step(self, message: Message) -> None:
        """One has come. Of whatever kind, from whomever, in any order."""
        if message.target != self.me or message.source == self.me:
            return
        if isinstance(message, VoteRequest):
            self.on_vote_request(message)
        elif isinstance(message, VoteReply):
            self.on_vote_reply(message)
        elif message.term < self.term:
            if isinstance(message, Append | Install):  # it learns that its time is over
                self.send(AppendReply(self.me, message.source, self.term, False, 0, message.round))
        elif isinstance(message, AppendReply):
            if message.term > self.term:
                self.follow(message.term, "")
            elif self.leads:
                self.on_append_reply(message)
        elif isinstance(message, Append | Install):
            if self.leads and message.term == self.term:
                return  # it can't be: one leader a term
            self.follow(message.term, message.source)
            if isinstance(message, Append):
                self.on_append(message)
            else:
                self.on_install(message)
        elif isinstance(message, TimeoutNow) and message.term == self.term and message.source == self.leader:
            self.campaign(transfer=True)

    def send(self, message: Message) -> None:
        self.out.messages.append(message)

    # Followers

    def on_append(self, told: Append) -> None:
        try:
            agrees = self.log.term_at(told.prev_index) == told.prev_term
        except Compacted:
            # all that the snapshot has is committed, so it agrees
            self.reply(told, True, self.log.snapshot.index)
            return
        if not agrees:
            self.reply(told, False, min(told.prev_index - 1, self.log.last_index))
            return
        first = self.log.add(told.entries)
        if first is not None:
            assert first > self.commit, "a committed entry would be cut"
            self.note(self.log.between(first, self.log.last_index))
        last = told.prev_index + len(told.entries)
        self.commit = max(self.commit, min(told.commit, last))
        self.reply(told, True, last)

    def reply(self, told: Append | Install, ok: bool, match: int) -> None:
        self.send(AppendReply(self.me, told.source, self.term, ok, match, told.round))

    def on_install(self, told: Install) -> None:
        self.restore(told.snapshot)
        self.reply(told, True, max(told.snapshot.index, self.commit))

    def restore(self, snapshot: Snapshot) -> None:
        """All up to there is committed, whoever tells it."""
        if snapshot.index > self.commit:
            self.reach(snapshot.term)
            self.log.install(snapshot)
            self.commit = self.applied = snapshot.index
            # hazard: entries that are kept behind it have to be written again behind it
            self.out.snapshot, self.out.entries = snapshot, list(self.log.entries)

    def learned(self, entries: Sequence[Entry]) -> None:
        """Committed ones, without gaps, from a voter: as a learner fetches them. Those that do not follow on
        what is committed here are passed over. Raises Refused for what can't be.
        """
        new = [one for one in entries if one.index > self.commit]
        if not new or new[0].index != self.commit + 1 or self.leads:
            return
        if any(one.index != new[0].index + n for n, one in enumerate(new)):
            raise ProposalRejected("entries with gaps")
        self.reach(new[-1].term)
        first = self.log.add(new)
        if first is not None:
            self.note(self.log.between(first, self.log.last_index))
        self.commit = max(self.commit, new[-1].index)

    def reach(self, term: int) -> None:
        """Hazard: a log never ends in a later term than the node's own, or a leader whose time is over could
        cut what is committed.
        """
        if term > self.term:
            self.follow(term, "")

    # The leader

    def add(self, entries: list[Entry]) -> None:
        self.log.add(entries)
        self.note(entries)
        self.advance()

    def note(self, entries: Iterable[Entry]) -> None:
        """They are to be written: in place of what the Ready has from the first one's index on."""
        added = list(entries)
        self.stable = min(self.stable, added[0].index - 1)
        self.out.entries = [one for one in self.out.entries if one.index < added[0].index] + added

    def propose(self, data: bytes) -> int:
        """The index at which it may come to stand. Raises Refused."""
        if not self.leads:
            raise ProposalRejected("not the leader")
        if self.transfer_to:
            raise ProposalRejected("the office is being handed over")
        if self.log.last_index - self.commit >= MOST_AHEAD:
            raise ProposalRejected("too many are not committed yet")
        entry = Entry(self.term, self.log.last_index + 1, data)
        self.add([entry])
        self.broadcast()
        return entry.index

    def change(self, voters: tuple[Node, ...]) -> int:
        """Take one voter in or one out (4.1); its index. Raises Refused."""
        if not self.leads or self.transfer_to:
            raise ProposalRejected("not the leader" if not self.leads else "the office is being handed over")
        if len(set(voters) ^ set(self.voters)) != 1 or len(set(voters)) != len(voters) or not voters:
            raise ProposalRejected("one voter at a time")
        if self.log.voters_index() > self.commit:
            raise ProposalRejected("the last change is not committed yet")
        # the mend of 2015: else two changes of two terms need not share a majority
        if self.log.term_at(self.commit) != self.term:
            raise ProposalRejected("nothing of this term is committed yet")
        entry = Entry(self.term, self.log.last_index + 1, voters=tuple(sorted(voters)))
        for node in voters:
            if node != self.me:
                self.peers.setdefault(node, Progress(self.log.last_index + 1))
        self.add([entry])
        self.broadcast()
        return entry.index

    def learn(self, node: Node) -> None:
        """It has said hello: it gets the log from whoever leads."""
        if node != self.me:
            self.learners[node] = None
            if self.leads and node not in self.peers:
                self.peers[node] = Progress(self.log.last_index + 1)

    def forget(self, node: Node) -> None:
        """A learner is gone."""
        self.learners.pop(node, None)
        if node not in self.voters:
            self.peers.pop(node, None)

    def read(self, context: int) -> None:
        """Answered in a Ready once it is sure that nobody has taken the office. Raises Refused."""
        if not self.leads:
            raise ProposalRejected("not the leader")
        if self.log.term_at(self.commit) != self.term:
            raise ProposalRejected("nothing of this term is committed yet")
        self.round += 1
        self.reads.append(Read(context, self.commit, self.round))
        self.broadcast()
        self.finish_reads()

    def transfer(self, node: Node) -> None:
        """Hand the office over (3.10). Raises Refused."""
        if not self.leads or node not in self.voters or node == self.me:
            raise ProposalRejected("not the leader" if not self.leads else "not one of the other voters")
        self.transfer_to, self.transfer_elapsed = node, 0
        if self.peers[node].match == self.log.last_index:
            self.send(TimeoutNow(self.me, node, self.term))
        else:
            self.feed(node)

    def broadcast(self) -> None:
        for node in list(self.peers):
            self.feed(node)

    def feed(self, node: Node) -> None:
        """Its next entries, or the snapshot where those are in it."""
        one = self.peers[node]
        try:
            prev_term = self.log.term_at(one.next - 1)
            entries = self.log.after(one.next - 1, MOST_FED)
        except Compacted:
            if one.installing != self.log.snapshot.index:
                one.installing = self.log.snapshot.index
                self.send(Install(self.me, node, self.term, self.log.snapshot, self.round))
            return
        assert prev_term is not None
        self.send(
            Append(
                self.me,
                node,
                self.term,
                one.next - 1,
                prev_term,
                entries,
                min(self.commit, one.next - 1 + len(entries)),
                self.round,
            )
        )

    def on_append_reply(self, reply: AppendReply) -> None:
        one = self.peers.get(reply.source)
        if one is None:
            return
        one.heard, one.round = True, max(one.round, reply.round)
        if reply.ok:
            # hazard: one that is late says less than is known
            one.match = max(one.match, min(reply.match, self.log.last_index))
            behind = one.next <= one.match
            one.next = max(one.next, one.match + 1)
            if one.installing and one.match >= one.installing:
                one.installing = 0
            self.advance()
            if not self.leads:
                return  # it has taken itself out, and that is committed now
            if reply.source == self.transfer_to and one.match == self.log.last_index:
                self.send(TimeoutNow(self.me, reply.source, self.term))
            elif behind and one.next <= self.log.last_index:
                self.feed(reply.source)
        elif reply.match < one.next - 1 and reply.match >= one.match:
            one.next = max(one.match, reply.match) + 1
            self.feed(reply.source)
        self.finish_reads()

    def advance(self) -> None:
        """What a majority has is committed, if it is of this term (5.4.2)."""
        if not self.leads:
            return
        voters = self.voters
        own = self.stable if self.early else self.log.last_index
        has = sorted(
            (
                own if node == self.me else self.peers[node].match if node in self.peers else 0
                for node in voters
            ),
            reverse=True,
        )
        index = has[self.majority() - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self.broadcast()
            if self.me not in voters and self.log.voters_index() <= index:
                self.follow(self.term, "")  # it has taken itself out (4.2.2)

    def finish_reads(self) -> None:
        voters = self.voters
        while self.reads:
            first = self.reads[0]
            there = sum(
                node == self.me or (node in self.peers and self.peers[node].round >= first.round)
                for node in voters
            )
            if there < self.majority():
                return
            self.reads.pop(0)
            self.out.reads.append((first.context, first.index))
