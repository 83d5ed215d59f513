"""Whole fleets in virtual time: what operators are told holds, and planted bugs are found."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus.frames import LeaderRequest
from sidecar_proxy.consensus.leader_requests import LeaderRequests, RequestedRead, Requester
from sidecar_proxy.consensus.proposals import ProposalStatus
from sidecar_proxy.consensus.replica import Replica
from sidecar_proxy.consensus.replica_context import ReplicaLimits
from sidecar_proxy.consensus.voters import name_of
from sidecar_proxy.model_checking.fleets import World
from sidecar_proxy.model_checking.history import Logged, Said, judge

SEEDS = 60  # runs in which each bug has to be found


def play(seed: int, makes: Callable[..., Replica] = Replica) -> list[str]:
    return World(seed, 5 + seed % 4, 3 + 2 * (seed % 2), makes).play()


@pytest.mark.parametrize("seed", range(1, 21))
def test_failures_of_all_kinds_break_no_promise(seed: int) -> None:
    assert not play(seed), f"python -m sidecar_proxy.model_checking.fleets --seed {seed} --runs 1"


class HastyRequests(LeaderRequests):
    """It says that a word is done once it is proposed."""

    def handle(self, node: str, request: LeaderRequest) -> None:
        super().handle(node, request)
        for index, proposed in list(self.proposed.items()):
            for requester in proposed.requesters:
                self._reply(requester, ProposalStatus.DONE, index, "", self.context.node_id)
            proposed.requesters.clear()


class StaleRequests(LeaderRequests):
    """It answers a look from what it has, without asking whether it leads yet."""

    def handle(self, node: str, request: LeaderRequest) -> None:
        core = self.context.core
        if request.command or not core.is_leader:
            super().handle(node, request)
        else:
            self.last_read_id += 1
            requester = Requester(node, request.number)
            self.reads[self.last_read_id] = RequestedRead(requester, request.name)
            core.next_ready.reads.append((self.last_read_id, core.commit_index))


def hasty(*arguments: Any) -> Replica:
    """A replica with the planted bug of HastyRequests."""
    return with_requests(Replica(*arguments), HastyRequests)


def stale(*arguments: Any) -> Replica:
    """A replica with the planted bug of StaleRequests."""
    return with_requests(Replica(*arguments), StaleRequests)


def with_requests(replica: Replica, kind: type[LeaderRequests]) -> Replica:
    requests = kind(replica.context, replica.proposals)
    replica.leader_requests = requests
    replica.ready_driver.leader_requests = requests
    return replica


@pytest.mark.parametrize("makes", [hasty, stale])
def test_planted_bugs_are_found(makes: Callable[..., Replica]) -> None:
    assert any(play(seed, makes) for seed in range(1, SEEDS))


def test_a_repeat_that_takes_effect_again_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    apply = words.apply

    def forgets(state: words.ReplicatedState, entry: Any) -> words.ApplyResult:
        state.results.clear()
        return apply(state, entry)

    monkeypatch.setattr(words, "apply", forgets)
    assert any("took effect twice" in line for seed in range(1, SEEDS) for line in play(seed))


@pytest.mark.parametrize(
    ("history", "log", "line"),
    [
        ([Said(1, 2, "done", 3, "a", "suspend", "n")], {}, "a was done at 3, where there is None"),
        (
            [Said(1, 2, "done", 3, "a", "suspend", "n"), Said(5, 6, "done", 2, "b", "resume", "n")],
            {3: Logged("a", "suspend", "n"), 2: Logged("b", "resume", "n")},
            "b at 2 was called after a at 3",
        ),
        (
            [Said(1, 2, "no quorum", 0, "a", "suspend", "n")],
            {3: Logged("a", "suspend", "n")},
            "is in the log",
        ),
        (
            [Said(1, 2, "done", 3, "a", "suspend", "n"), Said(5, 6, "done", 2, "", "look", "n", "")],
            {3: Logged("a", "suspend", "n")},
            "a look at 2 was called after",
        ),
        ([Said(5, 6, "done", 4, "", "look", "n", "")], {3: Logged("a", "suspend", "n")}, "told ''; it was"),
        ([], {3: Logged("a", "suspend", "n"), 4: Logged("a", "suspend", "n")}, "took effect twice"),
    ],
)
def test_a_history_that_can_not_be_is_told(history: list[Said], log: dict[int, Logged], line: str) -> None:
    assert any(line in found for found in judge(history, log))


def test_a_history_that_can_be_is_none() -> None:
    """Answers that cross, a repeat that is told the first one's index, an unknown one that came about."""
    history = [
        Said(1, 9, "done", 4, "a", "suspend", "n"),
        Said(2, 3, "done", 2, "b", "drain", "m"),
        Said(20, 21, "done", 2, "b", "drain", "m"),
        Said(1, 0, "", 0, "c", "resume", "n"),
        Said(10, 12, "unknown", 0, "d", "resume", "n"),
        Said(13, 14, "done", 5, "", "look", "n", ""),
    ]
    assert not judge(
        history, {2: Logged("b", "drain", "m"), 4: Logged("a", "suspend", "n"), 5: Logged("d", "resume", "n")}
    )


def test_who_may_not_vote_learns() -> None:
    def makes(name: str, site: str, kept: Any, limits: ReplicaLimits, *rest: Any) -> Replica:
        return Replica(name, site, kept, replace(limits, can_vote=name in ("m0", "m4", "m5")), *rest)

    world = World(1, 6, 3, makes)
    world.run(15.0)
    assert {name_of(node) for node in world.leaders()[0].member.core.voters} == {"m0", "m4", "m5"}
    assert {one.member.state.index for one in world.minds.values()} == {world.leaders()[0].member.state.index}
