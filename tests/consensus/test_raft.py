"""Consensus under directed hard cases and seeded disorder: what was committed stays, one leader a term."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import pytest

from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import (
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
from sidecar_proxy.consensus.raft import ProposalRejected, RaftCore, Role, Timing

TIMING = Timing()


class Disk:
    """What one node has written and synced."""

    def __init__(self, voters: tuple[Node, ...]) -> None:
        self.hard = HardState()
        self.log = RaftLog(Snapshot(voters=voters))

    def log_copy(self) -> RaftLog:
        return RaftLog(self.log.snapshot, list(self.log.entries))


class Fleet:
    """Nodes on a network of ours; each Ready is written, then sent, then applied."""

    def __init__(self, count: int, seed: int, learners: int = 0, timing: Timing = TIMING) -> None:
        self.dice = random.Random(seed)
        self.timing = timing
        self.voters = tuple(f"n{n}" for n in range(count))
        self.disks = {node: Disk(self.voters) for node in self.voters}
        for n in range(learners):
            self.disks[f"l{n}"] = Disk(())
        self.cores = {node: self.core(node) for node in self.disks}
        self.wire: list[Message] = []
        self.cut: set[tuple[Node, Node]] = set()
        self.stopped: set[Node] = set()
        self.applied: dict[Node, list[bytes]] = {node: [] for node in self.disks}
        self.committed: dict[int, Entry] = {}
        self.leaders: dict[int, Node] = {}
        self.reads: list[tuple[Node, int, int]] = []

    def core(self, node: Node) -> RaftCore:
        disk = self.disks[node]
        return RaftCore(node, disk.log_copy(), disk.hard, random.Random(self.dice.random()), self.timing)

    def take(self, node: Node) -> None:
        core, disk = self.cores[node], self.disks[node]
        while core.has_ready():
            ready = core.ready()
            disk.hard = ready.hard or disk.hard
            if ready.snapshot is not None:
                disk.log = RaftLog(ready.snapshot, [])
                self.applied[node] = [b"snapshot"]
            if ready.entries:
                del disk.log.entries[ready.entries[0].index - disk.log.snapshot.index - 1 :]
                disk.log.entries += ready.entries
            assert disk.log.entries == core.log.entries, "what is written is not what is held"
            self.wire += ready.messages
            for entry in ready.committed:
                assert self.committed.setdefault(entry.index, entry) == entry, "two words at one place"
                if entry.data:
                    self.applied[node].append(entry.data)
            self.reads += [(node, *one) for one in ready.reads]
            if core.leads:
                assert self.leaders.setdefault(core.term, node) == node, "two leaders of one term"

    def deliver(self, most: int = 10_000) -> None:
        for _ in range(most):
            if not self.wire:
                return
            self.pass_on(self.wire.pop(0))

    def pass_on(self, message: Message) -> None:
        if (
            (message.source, message.target) in self.cut
            or message.target in self.stopped
            or (message.target not in self.cores)
        ):
            return
        self.cores[message.target].step(message)
        self.take(message.target)

    def tick(self, times: int = 1) -> None:
        for _ in range(times):
            for node, core in self.cores.items():
                if node not in self.stopped:
                    core.tick()
                    self.take(node)
            self.deliver()

    def until(self, holds: Callable[[], bool], ticks: int = 300) -> None:
        for _ in range(ticks):
            if holds():
                return
            self.tick()
        raise AssertionError("it never came to hold")

    def leading(self) -> list[Node]:
        return [node for node, core in self.cores.items() if core.leads and node not in self.stopped]

    def leader(self) -> RaftCore:
        self.until(lambda: len(self.leading()) == 1)
        return self.cores[self.leading()[0]]

    def say(self, data: bytes) -> int:
        leader = self.leader()
        index = leader.propose(data)
        self.take(leader.me)
        self.deliver()
        return index

    def restart(self, node: Node) -> None:
        self.applied[node] = [b"snapshot"] if self.disks[node].log.snapshot.index else []
        self.cores[node] = self.core(node)
        self.stopped.discard(node)

    def isolate(self, node: Node, on: bool = True) -> None:
        pairs = {pair for other in self.disks for pair in ((node, other), (other, node))}
        self.cut = self.cut | pairs if on else self.cut - pairs


@pytest.mark.parametrize("count", [1, 3, 5])
def test_a_word_is_committed_in_one_exchange_and_applied_by_all(count: int) -> None:
    fleet = Fleet(count, 1)
    index = fleet.say(b"x")
    assert fleet.leader().commit >= index
    fleet.tick(4)
    assert all(applied == [b"x"] for applied in fleet.applied.values())


def test_a_leader_that_nobody_answers_steps_down_and_another_is_there_within_two_elections() -> None:
    fleet = Fleet(3, 2)
    old = fleet.leader()
    fleet.isolate(old.me)
    fleet.until(lambda: old.role is not Role.LEADER and len(fleet.leading()) == 1, 4 * TIMING.election)
    index = fleet.say(b"y")
    assert fleet.committed[index].data == b"y"
    term = fleet.leader().term
    fleet.isolate(old.me, False)
    fleet.tick(30)
    assert fleet.leader().term == term, "pre-vote: who was away does not unseat the leader"
    assert fleet.applied[old.me] == [b"y"]


def test_a_leader_heard_one_way_only_steps_down() -> None:
    fleet = Fleet(3, 3)
    old = fleet.leader()
    fleet.cut |= {(other, old.me) for other in fleet.voters if other != old.me}
    fleet.until(lambda: not old.leads, 3 * TIMING.election)


def test_a_word_of_a_lost_leader_is_replaced_and_never_was() -> None:
    fleet = Fleet(3, 4)
    old = fleet.leader()
    fleet.isolate(old.me)
    old.propose(b"lost")
    fleet.take(old.me)
    fleet.until(lambda: not old.leads)
    fleet.say(b"kept")
    fleet.isolate(old.me, False)
    fleet.tick(20)
    assert all(applied == [b"kept"] for applied in fleet.applied.values())


def test_one_voter_is_replaced_and_an_emptied_one_counts_for_nothing() -> None:
    fleet = Fleet(3, 5)
    leader = fleet.leader()
    lost = next(node for node in fleet.voters if node != leader.me)
    fleet.stopped.add(lost)
    fleet.disks["new"] = Disk(())
    fleet.applied["new"] = []
    fleet.cores["new"] = fleet.core("new")
    fleet.say(b"before")
    leader.learn("new")
    fleet.tick(6)
    assert fleet.applied["new"] == [b"before"] and leader.peers["new"].match == leader.log.last_index
    fleet.cores["new"].campaign()
    assert not fleet.cores["new"].has_ready(), "a learner does not stand"
    with pytest.raises(ProposalRejected, match="one voter at a time"):
        leader.change(("new", leader.me))
    leader.change((*fleet.voters, "new"))
    with pytest.raises(ProposalRejected, match="not committed yet"):
        leader.change(fleet.voters)
    fleet.take(leader.me)
    fleet.deliver()
    leader.change(tuple(node for node in leader.voters if node != lost))
    fleet.take(leader.me)
    fleet.tick(6)
    assert set(leader.voters) == {*fleet.voters, "new"} - {lost}
    other = next(node for node in fleet.voters if node not in (lost, leader.me))
    fleet.stopped.add(other)
    fleet.say(b"after")
    assert fleet.applied["new"][-1] == b"after"


def test_a_voter_that_takes_itself_out_steps_down_once_that_is_committed() -> None:
    fleet = Fleet(3, 6)
    old = fleet.leader()
    fleet.say(b"x")
    old.change(tuple(node for node in fleet.voters if node != old.me))
    fleet.take(old.me)
    fleet.deliver()
    assert not old.leads
    fleet.until(lambda: fleet.leading() != [] and fleet.leading() != [old.me])


def test_the_office_is_handed_over_at_once() -> None:
    fleet = Fleet(5, 7)
    old = fleet.leader()
    fleet.say(b"x")
    target = next(node for node in fleet.voters if node != old.me)
    term = old.term
    old.transfer(target)
    with pytest.raises(ProposalRejected, match="handed over"):
        old.propose(b"y")
    fleet.take(old.me)
    fleet.deliver()
    assert fleet.cores[target].leads and fleet.cores[target].term == term + 1


def test_a_read_is_answered_only_after_a_round_of_a_majority() -> None:
    fleet = Fleet(3, 8)
    leader = fleet.leader()
    index = fleet.say(b"x")
    leader.read(7)
    fleet.take(leader.me)
    assert not fleet.reads
    fleet.deliver()
    assert fleet.reads == [(leader.me, 7, index)]
    fleet.isolate(leader.me)
    leader.read(8)
    refused: list[int] = []
    while leader.leads:
        leader.tick()
        refused += leader.ready().refused_reads
    assert refused == [8] and fleet.reads == [(leader.me, 7, index)]
    with pytest.raises(ProposalRejected):
        leader.read(9)


def test_one_far_behind_gets_a_snapshot_and_then_the_rest() -> None:
    fleet = Fleet(3, 9)
    leader = fleet.leader()
    late = next(node for node in fleet.voters if node != leader.me)
    fleet.isolate(late)
    for number in range(100):
        fleet.say(b"%d" % number)
    leader.log.compact(leader.commit - 10, b"state")
    fleet.disks[leader.me].log = RaftLog(leader.log.snapshot, list(leader.log.entries))
    fleet.isolate(late, False)
    fleet.tick(10)
    assert fleet.applied[late][0] == b"snapshot" and fleet.applied[late][-1] == b"99"
    assert len(fleet.applied[late]) == 11
    fleet.restart(late)
    fleet.tick(10)
    assert fleet.cores[late].commit == leader.commit


def test_a_log_keeps_what_an_old_message_says_less_of() -> None:
    log = RaftLog()
    assert log.add([Entry(1, 1), Entry(1, 2), Entry(1, 3)]) == 1
    assert log.add([Entry(1, 1)]) is None and log.last_index == 3
    assert log.add([Entry(2, 2)]) == 2 and log.last_index == 2 and log.last_term == 2
    log.compact(1, b"s")
    assert log.last_index == 2 and log.term_at(1) == 1 and log.snapshot.data == b"s"


def test_words_of_strangers_and_of_another_time_change_nothing() -> None:
    core = RaftCore("a", RaftLog(Snapshot(voters=("a", "b", "c"))), HardState(5, "b"), random.Random(1))
    for message in (
        VoteReply("x", "a", 5, True),
        AppendReply("b", "a", 5, True, 9),
        AppendReply("b", "a", 4, True, 9),
        TimeoutNow("x", "a", 5),
        VoteRequest("c", "a", 5, 9, 9),
        Append("b", "z", 9, 0, 0, (), 0),
        VoteRequest("c", "a", 4, 9, 9),
        VoteRequest("c", "a", 6, 9, 9, pre=True),
    ):
        core.step(message)
    assert (core.term, core.vote, core.role) == (5, "b", Role.FOLLOWER)
    granted = [one.granted for one in core.ready().messages if isinstance(one, VoteReply)]
    assert granted == [False, False, True]  # a pre-vote promises nothing
    core.step(Install("b", "a", 5, Snapshot(4, 3, ("a", "b"), b"s")))
    assert core.commit == 4 and core.voters == ("a", "b") and core.ready().snapshot is not None


@pytest.mark.parametrize("seed", range(60))
def test_through_any_disorder_what_is_committed_stays(seed: int) -> None:
    """Losses, doubles, orders, cuts, restarts, compaction, changes of voters; then all is whole again."""
    fleet = Fleet(3 + 2 * (seed % 2), seed, learners=1)
    dice = random.Random(seed)
    words = 0
    for _ in range(600):
        chance = dice.random()
        node = dice.choice(list(fleet.cores))
        core = fleet.cores[node]
        if chance < 0.35:
            core.tick()
        elif chance < 0.85 and fleet.wire:
            at = dice.randrange(len(fleet.wire)) if dice.random() < 0.3 else 0
            message = fleet.wire[at] if dice.random() < 0.15 else fleet.wire.pop(at)
            if dice.random() < 0.9:
                fleet.pass_on(message)
        elif chance < 0.9:
            for name in fleet.leading():
                words += 1
                fleet.cores[name].learn("l0")
                fleet.cores[name].propose(b"w%d" % words)
                fleet.take(name)
        elif chance < 0.93:
            fleet.restart(node)
        elif chance < 0.95:
            fleet.isolate(node, dice.random() < 0.5)
        elif chance < 0.97 and core.applied > core.log.snapshot.index:
            core.log.compact(core.applied, b"state")
            fleet.disks[node].log = RaftLog(core.log.snapshot, list(core.log.entries))
        elif core.leads:
            gone = dice.choice(core.voters)
            voters = tuple(one for one in core.voters if one != gone)
            if len(voters) == 1:
                voters = (*core.voters, *(set(fleet.voters) - set(core.voters)))
            with contextlib.suppress(ProposalRejected):
                core.change(voters)
        fleet.take(node)
    fleet.cut.clear()
    fleet.tick(40)
    leader = fleet.leader()
    leader.learn("l0")
    index = fleet.say(b"last")
    fleet.tick(20)
    assert fleet.committed[index].data == b"last", f"seed {seed}"
    for node in leader.voters:
        assert fleet.applied[node][-1:] == [b"last"], f"seed {seed}: {node}"


def test_what_was_fetched_of_a_later_term_is_not_cut_by_a_leader_whose_time_is_over() -> None:
    """Found by a campaign: a node in term 2 fetched committed entries of term 3; the leader of term 2, cut
    off from the others, then sent it one of its own for the same place.
    """
    core = RaftCore("a", RaftLog(Snapshot(1, 0, ("a", "b", "c"))), HardState(2, ""), random.Random(1))
    core.step(Append("b", "a", 2, 1, 0, (Entry(2, 2, b"two"),), 2))
    core.ready()
    core.learned([Entry(3, 3, b"of term three")])
    assert core.term == 3 and core.commit == 3
    core.step(Append("b", "a", 2, 2, 2, (Entry(2, 3, b"never committed"),), 2))
    assert core.log.last_term == 3
    assert core.ready().messages[-1] == AppendReply("a", "b", 3, False, 0)
    core.restore(Snapshot(9, 5, ("a", "b", "c"), b"state"))
    assert core.term == 5 and core.commit == 9
    with pytest.raises(ProposalRejected):
        core.learned([Entry(5, 10), Entry(5, 12)])
