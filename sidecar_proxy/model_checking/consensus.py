"""Consensus in every order of elections, proposals, deliveries, losses, doubles, restarts and a wipe.

    python -m sidecar_proxy.model_checking.consensus [--most STATES]

The network is the set of all that was ever said: each may be delivered at any time, any number of times, or
never, so loss, delay, order and doubles need no step of their own. A Ready is written as a whole before what
it says is said. The first to stand for election is `a`, as all nodes are alike before.
"""

from __future__ import annotations

import argparse
import copy
import random
from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial

from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import Entry, HardState, Message, NodeId, Snapshot
from sidecar_proxy.consensus.raft import RaftCore, Role, Timing
from sidecar_proxy.model_checking.search import Found, search

NODES = ("a", "b", "c")
Makes = Callable[[NodeId, RaftLog, HardState, random.Random, Timing], RaftCore]


@dataclass(slots=True, frozen=True)
class Bounds:
    """How far it is looked."""

    terms: int = 2
    proposals: int = 1
    restarts: int = 1
    wipes: int = 0
    same_name: bool = False  # planted: a wiped node is still the voter that it was
    pre_vote: bool = False


@dataclass(slots=True, frozen=True)
class World:
    cores: tuple[RaftCore, ...]
    net: frozenset[Message]
    leaders: frozenset[tuple[int, NodeId]]  # who has led in which term
    committed: tuple[Entry, ...]  # by anybody, ever
    proposals: int = 0
    restarts: int = 0
    wipes: int = 0
    broken: str = ""


def clone(core: RaftCore) -> RaftCore:
    """Its own in all that a step changes."""
    one = copy.copy(core)
    one.log = RaftLog(core.log.snapshot, list(core.log.entries))
    one.votes, one.learners = dict(core.votes), dict(core.learners)
    one.pending_reads = list(core.pending_reads)
    one.progress = {node: copy.copy(progress) for node, progress in core.progress.items()}
    one.next_ready = type(core.next_ready)()
    return one


def deliver(message: Message, core: RaftCore) -> None:
    core.step(message)


def propose(data: bytes, core: RaftCore) -> None:
    core.propose(data)


def shape(core: RaftCore) -> Hashable:
    """All of it that matters to what may follow."""
    return (
        core.node_id,
        core.term,
        core.vote,
        core.role,
        core.leader,
        core.commit_index,
        tuple(core.log.entries),
        tuple(sorted(core.votes.items())),
        core.is_pre_candidate,
        tuple(sorted((node, one.next_index, one.match_index) for node, one in core.progress.items())),
    )


class Consensus:
    """A model for `search`."""

    def __init__(self, bounds: Bounds, makes: Makes = RaftCore, begun: Sequence[str] = ()) -> None:
        """`begun`: the first steps, each the first that begins so; what follows is searched."""
        self.begun = begun
        self.bounds = bounds
        self.makes = makes
        self.timing = Timing(pre_vote=bounds.pre_vote, check_quorum=False)

    def new(self, me: NodeId, log: RaftLog, hard: HardState) -> RaftCore:
        return self.makes(me, log, hard, random.Random(0), self.timing)

    def first(self) -> World:
        start = Snapshot(voters=NODES)
        cores = tuple(self.new(node, RaftLog(start), HardState()) for node in NODES)
        world = World(cores, frozenset(), frozenset(), ())
        for wanted in self.begun:
            world = next(
                after
                for name, after in sorted(self.steps(world), key=lambda one: one[0])
                if name.startswith(wanted)
            )
        return world

    def key(self, state: World) -> Hashable:
        return (
            tuple(map(shape, state.cores)),
            state.net,
            state.leaders,
            state.committed,
            state.proposals,
            state.restarts,
            state.wipes,
        )

    def breach(self, state: World) -> str:
        return state.broken

    def steps(self, state: World) -> Iterator[tuple[str, World]]:
        bounds = self.bounds
        for at, core in enumerate(state.cores):
            if core.role is not Role.LEADER and core.term < bounds.terms and (at == 0 or state.net):
                yield f"{core.node_id} stands for election", self.after(state, at, RaftCore.campaign)
            if core.is_leader and state.proposals < bounds.proposals:
                data = b"%d" % state.proposals
                told = replace(state, proposals=state.proposals + 1)
                yield f"{core.node_id} is given a word", self.after(told, at, partial(propose, data))
            if state.restarts < bounds.restarts and state.net:
                fresh = self.new(
                    core.node_id,
                    RaftLog(core.log.snapshot, list(core.log.entries)),
                    core.persisted_hard_state,
                )
                yield (
                    f"{core.node_id} starts anew",
                    self.placed(replace(state, restarts=state.restarts + 1), at, fresh),
                )
            if state.wipes < bounds.wipes and state.net:
                name = core.node_id if bounds.same_name else f"{core.node_id}'"
                blank = self.new(name, RaftLog(Snapshot(voters=NODES)), HardState())
                yield (
                    f"{core.node_id} has lost its disk",
                    self.placed(replace(state, wipes=state.wipes + 1), at, blank),
                )
        places = {core.node_id: at for at, core in enumerate(state.cores)}
        for message in state.net:
            if message.target in places:
                at = places[message.target]
                yield described(message), self.after(state, at, partial(deliver, message))

    def after(self, state: World, at: int, what: Callable[[RaftCore], object]) -> World:
        """One node does something; what its Ready has is written, said and applied."""
        core = clone(state.cores[at])
        try:
            what(core)
        except AssertionError as error:
            return replace(state, broken=f"{core.node_id}: {error}")
        ready = core.ready()
        net = state.net | frozenset(ready.messages)
        leaders = state.leaders | {(core.term, core.node_id)} if core.is_leader else state.leaders
        committed, broken = list(state.committed), ""
        for entry in ready.committed:
            if entry.index <= len(committed):
                if committed[entry.index - 1] != entry:
                    broken = (
                        f"state machine safety: {core.node_id} applies {entry.data!r} of term {entry.term} "
                        f"at {entry.index}, where {committed[entry.index - 1].data!r} of term "
                        f"{committed[entry.index - 1].term} was applied"
                    )
            else:
                committed.append(entry)
        return self.placed(
            replace(state, net=net, leaders=leaders, committed=tuple(committed), broken=broken), at, core
        )

    def placed(self, state: World, at: int, core: RaftCore) -> World:
        cores = (*state.cores[:at], core, *state.cores[at + 1 :])
        state = replace(state, cores=cores)
        return state if state.broken else replace(state, broken=self.holds(state))

    def holds(self, state: World) -> str:
        """Figure 3.2 of the thesis."""
        terms: dict[int, NodeId] = {}
        for term, node in state.leaders:
            if terms.setdefault(term, node) != node:
                return f"election safety: {terms[term]} and {node} both lead in term {term}"
        logs = [one.log.entries for one in state.cores]
        for number, one in enumerate(logs):
            for other in logs[:number]:
                same = False
                for mine, theirs in zip(
                    reversed(one[: len(other)]), reversed(other[: len(one)]), strict=True
                ):
                    same = same or mine.term == theirs.term
                    if same and mine != theirs:
                        return f"log matching: {mine} and {theirs}"
        for core in state.cores:
            if core.is_leader and core.term == max(one.term for one in state.cores):
                for entry in state.committed:
                    if entry.term < core.term and (
                        len(core.log.entries) < entry.index or core.log.entries[entry.index - 1] != entry
                    ):
                        return (
                            f"leader completeness: {core.node_id} leads in term {core.term} without {entry}"
                        )
        return ""


def described(message: Message) -> str:
    fields = {
        name: getattr(message, name)
        for name in ("granted", "prev_index", "commit", "ok", "match")
        if hasattr(message, name)
    }
    if hasattr(message, "entries"):
        fields["entries"] = [(one.term, one.data.decode()) for one in message.entries]
    text = ", ".join(f"{name} {value}" for name, value in fields.items())
    return f"{message.target} hears {type(message).__name__} of {message.source}, term {message.term}" + (
        f" ({text})" if text else ""
    )


SEARCHES = {
    "one term, two words": Bounds(terms=1, proposals=2, restarts=0),
    "one term, a word, a restart": Bounds(terms=1, proposals=1, restarts=1),
    "one term, a word, two wipes": Bounds(terms=1, proposals=1, restarts=0, wipes=2),
    "one term, pre-votes, a restart": Bounds(terms=1, proposals=0, restarts=1, pre_vote=True),
    "two terms": Bounds(terms=2, proposals=0, restarts=0),
    "two terms, a word, a restart": Bounds(terms=2, proposals=1, restarts=1),
}


def run(bounds: Bounds, most: int, makes: Makes = RaftCore, begun: Sequence[str] = ()) -> Found:
    return search(Consensus(bounds, makes, begun), most)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--most", type=int, default=200_000, help="states of each search")
    told = parser.parse_args()
    for name, bounds in SEARCHES.items():
        print(f"{name}: {run(bounds, told.most)}", flush=True)


if __name__ == "__main__":
    main()
