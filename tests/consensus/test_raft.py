"""Tests of the Raft core: single cases, and random sequences of faults.

Committed entries must stay committed, and each term must have at most one leader.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import pytest

from sidecar_proxy.consensus.errors import ProposalRejectedError
from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Message,
    NodeId,
    Snapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from sidecar_proxy.consensus.raft import RaftCore, Role, Timing

TIMING = Timing()
SNAPSHOT_MARKER = b"snapshot"  # stands for a restored snapshot in `Cluster.applied`
LEARNER = "l0"


class SimulatedDisk:
    """The state that one node has written and synced."""

    def __init__(self, voters: tuple[NodeId, ...]) -> None:
        self.hard_state = HardState()
        self.log = RaftLog(Snapshot(voters=voters))

    def copy_log(self) -> RaftLog:
        return RaftLog(self.log.snapshot, list(self.log.entries))


class Cluster:
    """Nodes on a simulated network; each Ready is written, then its messages are sent, then it is applied."""

    def __init__(self, voter_count: int, seed: int, learner_count: int = 0, timing: Timing = TIMING) -> None:
        self.rng = random.Random(seed)
        self.timing = timing
        self.voters = tuple(f"n{number}" for number in range(voter_count))
        self.disks = {node: SimulatedDisk(self.voters) for node in self.voters}
        for number in range(learner_count):
            self.disks[f"l{number}"] = SimulatedDisk(())
        self.cores = {node: self.create_core(node) for node in self.disks}
        self.network: list[Message] = []
        self.cut_links: set[tuple[NodeId, NodeId]] = set()
        self.stopped: set[NodeId] = set()
        self.applied: dict[NodeId, list[bytes]] = {node: [] for node in self.disks}
        self.committed: dict[int, Entry] = {}
        self.leader_of_term: dict[int, NodeId] = {}
        self.reads: list[tuple[NodeId, int, int]] = []  # (node, read id, read index)

    def create_core(self, node: NodeId) -> RaftCore:
        disk = self.disks[node]
        rng = random.Random(self.rng.random())
        return RaftCore(node, disk.copy_log(), disk.hard_state, rng, self.timing)

    def add_node(self, node: NodeId) -> None:
        self.disks[node] = SimulatedDisk(())
        self.applied[node] = []
        self.cores[node] = self.create_core(node)

    def process_ready(self, node: NodeId) -> None:
        core, disk = self.cores[node], self.disks[node]
        while core.has_ready():
            ready = core.ready()
            disk.hard_state = ready.hard_state or disk.hard_state
            if ready.snapshot is not None:
                disk.log = RaftLog(ready.snapshot, [])
                self.applied[node] = [SNAPSHOT_MARKER]
            if ready.entries:
                del disk.log.entries[ready.entries[0].index - disk.log.snapshot.index - 1 :]
                disk.log.entries += ready.entries
            assert disk.log.entries == core.log.entries, "the entries on disk differ from the log"
            self.network += ready.messages
            for entry in ready.committed:
                assert self.committed.setdefault(entry.index, entry) == entry, (
                    "different entries were committed at one index"
                )
                if entry.data:
                    self.applied[node].append(entry.data)
            self.reads += [(node, *read) for read in ready.reads]
            if core.is_leader:
                leader = self.leader_of_term.setdefault(core.term, node)
                assert leader == node, "two leaders in one term"

    def deliver_all(self, max_count: int = 10_000) -> None:
        for _ in range(max_count):
            if not self.network:
                return
            self.deliver(self.network.pop(0))

    def deliver(self, message: Message) -> None:
        if (message.source, message.target) in self.cut_links:
            return
        if message.target in self.stopped or message.target not in self.cores:
            return
        self.cores[message.target].step(message)
        self.process_ready(message.target)

    def tick(self, count: int = 1) -> None:
        for _ in range(count):
            for node, core in self.cores.items():
                if node not in self.stopped:
                    core.tick()
                    self.process_ready(node)
            self.deliver_all()

    def run_until(self, condition: Callable[[], bool], max_ticks: int = 300) -> None:
        for _ in range(max_ticks):
            if condition():
                return
            self.tick()
        raise AssertionError("the condition was not met in time")

    def leaders(self) -> list[NodeId]:
        return [node for node, core in self.cores.items() if core.is_leader and node not in self.stopped]

    def elect_leader(self) -> RaftCore:
        self.run_until(lambda: len(self.leaders()) == 1)
        return self.cores[self.leaders()[0]]

    def propose(self, data: bytes) -> int:
        leader = self.elect_leader()
        index = leader.propose(data)
        self.process_ready(leader.node_id)
        self.deliver_all()
        return index

    def restart(self, node: NodeId) -> None:
        self.applied[node] = [SNAPSHOT_MARKER] if self.disks[node].log.snapshot.index else []
        self.cores[node] = self.create_core(node)
        self.stopped.discard(node)

    def compact(self, node: NodeId, index: int) -> None:
        log = self.cores[node].log
        log.compact(index, b"state")
        self.disks[node].log = RaftLog(log.snapshot, list(log.entries))

    def _links_of(self, node: NodeId) -> set[tuple[NodeId, NodeId]]:
        return {link for other in self.disks for link in ((node, other), (other, node))}

    def isolate(self, node: NodeId) -> None:
        self.cut_links = self.cut_links | self._links_of(node)

    def reconnect(self, node: NodeId) -> None:
        self.cut_links = self.cut_links - self._links_of(node)

    def other_voter(self, *excluded: NodeId) -> NodeId:
        return next(node for node in self.voters if node not in excluded)


@pytest.mark.parametrize("voter_count", [1, 3, 5])
def test_proposal_is_committed_in_one_exchange_and_applied_by_all(voter_count: int) -> None:
    cluster = Cluster(voter_count, 1)
    index = cluster.propose(b"x")
    assert cluster.elect_leader().commit_index >= index
    cluster.tick(4)
    assert all(applied == [b"x"] for applied in cluster.applied.values())


def test_isolated_leader_steps_down_and_is_replaced_within_two_election_timeouts() -> None:
    cluster = Cluster(3, 2)
    old_leader = cluster.elect_leader()
    cluster.isolate(old_leader.node_id)
    cluster.run_until(
        lambda: old_leader.role is not Role.LEADER and len(cluster.leaders()) == 1,
        4 * TIMING.min_election_timeout_ticks,
    )
    index = cluster.propose(b"y")
    assert cluster.committed[index].data == b"y"
    term = cluster.elect_leader().term
    cluster.reconnect(old_leader.node_id)
    cluster.tick(30)
    assert cluster.elect_leader().term == term, "a reconnected node must not depose the leader (pre-vote)"
    assert cluster.applied[old_leader.node_id] == [b"y"]


def test_leader_that_receives_nothing_steps_down() -> None:
    cluster = Cluster(3, 3)
    leader = cluster.elect_leader()
    cluster.cut_links |= {(other, leader.node_id) for other in cluster.voters if other != leader.node_id}
    cluster.run_until(lambda: not leader.is_leader, 3 * TIMING.min_election_timeout_ticks)


def test_uncommitted_entry_of_a_deposed_leader_is_replaced() -> None:
    cluster = Cluster(3, 4)
    old_leader = cluster.elect_leader()
    cluster.isolate(old_leader.node_id)
    old_leader.propose(b"lost")
    cluster.process_ready(old_leader.node_id)
    cluster.run_until(lambda: not old_leader.is_leader)
    cluster.propose(b"committed")
    cluster.reconnect(old_leader.node_id)
    cluster.tick(20)
    assert all(applied == [b"committed"] for applied in cluster.applied.values())


def test_stopped_voter_is_replaced_by_a_learner_that_has_caught_up() -> None:
    cluster = Cluster(3, 5)
    leader = cluster.elect_leader()
    stopped_voter = cluster.other_voter(leader.node_id)
    cluster.stopped.add(stopped_voter)
    cluster.add_node("new")
    cluster.propose(b"before")
    leader.add_learner("new")
    cluster.tick(6)
    assert cluster.applied["new"] == [b"before"]
    assert leader.progress["new"].match_index == leader.log.last_index
    cluster.cores["new"].campaign()
    assert not cluster.cores["new"].has_ready(), "a learner must not start an election"
    with pytest.raises(ProposalRejectedError, match="only one voter may be added or removed at a time"):
        leader.propose_voters(("new", leader.node_id))
    leader.propose_voters((*cluster.voters, "new"))
    with pytest.raises(
        ProposalRejectedError, match=r"the last change of voters, entry \d+, is not committed yet"
    ):
        leader.propose_voters(cluster.voters)
    cluster.process_ready(leader.node_id)
    cluster.deliver_all()
    leader.propose_voters(tuple(node for node in leader.voters if node != stopped_voter))
    cluster.process_ready(leader.node_id)
    cluster.tick(6)
    assert set(leader.voters) == {*cluster.voters, "new"} - {stopped_voter}
    cluster.stopped.add(cluster.other_voter(stopped_voter, leader.node_id))
    cluster.propose(b"after")
    assert cluster.applied["new"][-1] == b"after"


def test_leader_that_removes_itself_steps_down_once_its_removal_is_committed() -> None:
    cluster = Cluster(3, 6)
    old_leader = cluster.elect_leader()
    cluster.propose(b"x")
    old_leader.propose_voters(tuple(node for node in cluster.voters if node != old_leader.node_id))
    cluster.process_ready(old_leader.node_id)
    cluster.deliver_all()
    assert not old_leader.is_leader
    cluster.run_until(lambda: cluster.leaders() != [] and cluster.leaders() != [old_leader.node_id])


def test_leadership_transfer_elects_the_target_immediately() -> None:
    cluster = Cluster(5, 7)
    old_leader = cluster.elect_leader()
    cluster.propose(b"x")
    target = cluster.other_voter(old_leader.node_id)
    term = old_leader.term
    old_leader.transfer_leadership(target)
    with pytest.raises(ProposalRejectedError, match="the leadership is being transferred"):
        old_leader.propose(b"y")
    cluster.process_ready(old_leader.node_id)
    cluster.deliver_all()
    assert cluster.cores[target].is_leader
    assert cluster.cores[target].term == term + 1


def test_read_is_confirmed_only_after_a_majority_has_replied() -> None:
    cluster = Cluster(3, 8)
    leader = cluster.elect_leader()
    index = cluster.propose(b"x")
    leader.request_read(7)
    cluster.process_ready(leader.node_id)
    assert not cluster.reads
    cluster.deliver_all()
    assert cluster.reads == [(leader.node_id, 7, index)]
    cluster.isolate(leader.node_id)
    leader.request_read(8)
    rejected: list[int] = []
    while leader.is_leader:
        leader.tick()
        rejected += leader.ready().rejected_reads
    assert rejected == [8]
    assert cluster.reads == [(leader.node_id, 7, index)]
    with pytest.raises(ProposalRejectedError):
        leader.request_read(9)


def test_follower_behind_the_compacted_log_gets_the_snapshot_and_the_entries_after_it() -> None:
    cluster = Cluster(3, 9)
    leader = cluster.elect_leader()
    lagging = cluster.other_voter(leader.node_id)
    cluster.isolate(lagging)
    for number in range(100):
        cluster.propose(b"%d" % number)
    cluster.compact(leader.node_id, leader.commit_index - 10)
    cluster.reconnect(lagging)
    cluster.tick(10)
    assert cluster.applied[lagging][0] == SNAPSHOT_MARKER
    assert cluster.applied[lagging][-1] == b"99"
    assert len(cluster.applied[lagging]) == 11
    cluster.restart(lagging)
    cluster.tick(10)
    assert cluster.cores[lagging].commit_index == leader.commit_index


def test_log_is_not_truncated_by_a_delayed_message() -> None:
    log = RaftLog()
    assert log.append([Entry(1, 1), Entry(1, 2), Entry(1, 3)]) == 1
    assert log.append([Entry(1, 1)]) is None
    assert log.last_index == 3
    assert log.append([Entry(2, 2)]) == 2
    assert log.last_index == 2
    assert log.last_term == 2
    log.compact(1, b"s")
    assert log.last_index == 2
    assert log.term_at(1) == 1
    assert log.snapshot.data == b"s"


def test_messages_from_unknown_nodes_or_of_other_terms_change_nothing() -> None:
    core = RaftCore("a", RaftLog(Snapshot(voters=("a", "b", "c"))), HardState(5, "b"), random.Random(1))
    for message in (
        VoteReply("x", "a", 5, True),
        AppendReply("b", "a", 5, True, 9),
        AppendReply("b", "a", 4, True, 9),
        TimeoutNow("x", "a", 5),
        VoteRequest("c", "a", 5, 9, 9),
        Append("b", "z", 9, 0, 0, (), 0),
        VoteRequest("c", "a", 4, 9, 9),
        VoteRequest("c", "a", 6, 9, 9, pre_vote=True),
    ):
        core.step(message)
    assert (core.term, core.vote, core.role) == (5, "b", Role.FOLLOWER)
    granted = [reply.granted for reply in core.ready().messages if isinstance(reply, VoteReply)]
    assert granted == [False, False, True]  # a granted pre-vote is not a vote, so it changes no state
    core.step(InstallSnapshot("b", "a", 5, Snapshot(4, 3, ("a", "b"), b"s")))
    assert core.commit_index == 4
    assert core.voters == ("a", "b")
    assert core.ready().snapshot is not None


class RandomFaults:
    """Takes random steps in a cluster.

    A step is a tick, a delivery (with loss, duplication or reordering), a proposal, a restart, the isolation
    or reconnection of a node, a compaction or a change of voters.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.proposal_count = 0

    def step(self) -> None:
        cluster, rng = self.cluster, self.rng
        step_choice = rng.random()
        node = rng.choice(list(cluster.cores))
        core = cluster.cores[node]
        if step_choice < 0.35:
            core.tick()
        elif step_choice < 0.85 and cluster.network:
            self._deliver_random_message()
        elif step_choice < 0.9:
            self._propose_at_leaders()
        elif step_choice < 0.93:
            cluster.restart(node)
        elif step_choice < 0.95:
            if rng.random() < 0.5:
                cluster.isolate(node)
            else:
                cluster.reconnect(node)
        elif step_choice < 0.97 and core.applied_index > core.log.snapshot.index:
            cluster.compact(node, core.applied_index)
        elif core.is_leader:
            self._change_voters(core)
        cluster.process_ready(node)

    def _deliver_random_message(self) -> None:
        network, rng = self.cluster.network, self.rng
        position = rng.randrange(len(network)) if rng.random() < 0.3 else 0
        is_duplicated = rng.random() < 0.15
        message = network[position] if is_duplicated else network.pop(position)
        if rng.random() < 0.9:
            self.cluster.deliver(message)

    def _propose_at_leaders(self) -> None:
        for node in self.cluster.leaders():
            self.proposal_count += 1
            self.cluster.cores[node].add_learner(LEARNER)
            self.cluster.cores[node].propose(b"w%d" % self.proposal_count)
            self.cluster.process_ready(node)

    def _change_voters(self, core: RaftCore) -> None:
        removed = self.rng.choice(core.voters)
        voters = tuple(node for node in core.voters if node != removed)
        if len(voters) == 1:
            voters = (*core.voters, *(set(self.cluster.voters) - set(core.voters)))
        with contextlib.suppress(ProposalRejectedError):
            core.propose_voters(voters)


@pytest.mark.parametrize("seed", range(60))
def test_committed_entries_survive_random_faults(seed: int) -> None:
    cluster = Cluster(3 + 2 * (seed % 2), seed, learner_count=1)
    faults = RandomFaults(cluster, seed)
    for _ in range(600):
        faults.step()
    cluster.cut_links.clear()
    cluster.tick(40)
    leader = cluster.elect_leader()
    leader.add_learner(LEARNER)
    index = cluster.propose(b"last")
    cluster.tick(20)
    assert cluster.committed[index].data == b"last", f"seed {seed}"
    for node in leader.voters:
        assert cluster.applied[node][-1:] == [b"last"], f"seed {seed}: {node}"


def test_fetched_entries_of_a_later_term_are_not_truncated_by_a_former_leader() -> None:
    """A node in term 2 fetches a committed entry of term 3.

    The leader of term 2, which is isolated from the other voters, then sends it another entry for that index.
    """
    core = RaftCore("a", RaftLog(Snapshot(1, 0, ("a", "b", "c"))), HardState(2, ""), random.Random(1))
    core.step(Append("b", "a", 2, 1, 0, (Entry(2, 2, b"two"),), 2))
    core.ready()
    core.append_committed([Entry(3, 3, b"of term three")])
    assert core.term == 3
    assert core.commit_index == 3
    core.step(Append("b", "a", 2, 2, 2, (Entry(2, 3, b"never committed"),), 2))
    assert core.log.last_term == 3
    assert core.ready().messages[-1] == AppendReply("a", "b", 3, False, 0)
    core.restore(Snapshot(9, 5, ("a", "b", "c"), b"state"))
    assert core.term == 5
    assert core.commit_index == 9
    with pytest.raises(ProposalRejectedError):
        core.append_committed([Entry(5, 10), Entry(5, 12)])
