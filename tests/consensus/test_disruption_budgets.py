"""Disruption budgets are exceeded neither by any order of commands nor by concurrent requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.disruption_budgets import DisruptionFacts, Scope, Target, parse_limit
from sidecar_proxy.consensus.messages import Entry
from sidecar_proxy.consensus.replicated_commands import ApplyResult, ReplicatedCommand, ReplicatedState
from sidecar_proxy.testbed.scenario import Scene
from tests.consensus.rig import (
    CONSENSUS_PLAN,
    create_fleet,
    fleet_command,
    fleet_object,
    knows_sidecars,
    link_fault,
    submit,
    wait_for_leader,
    wait_until,
    wait_until_excluded,
)
from tests.testbed.playing import on_rig

UPSTREAMS = [Target(f"n{n}", f"site{n % 2}", f"kind{n % 3}", str(n // 4)) for n in range(8)]
BUDGETS = {"out.node": "3", "out.node.site": "2", "out.node.class": "50%"}
SETTING_OF_SCOPE = {Scope.ALL: "out.node", Scope.SITE: "out.node.site", Scope.CLASS: "out.node.class"}
SIX_SIDECARS = replace(CONSENSUS_PLAN, sidecars=6)


def group_size(target: Target, scope: Scope) -> int:
    """The number of upstreams in the target's group of a scope."""
    return sum(upstream.shares_group(target, scope) for upstream in UPSTREAMS)


def facts_about(target: Target, unavailable: tuple[Target, ...] = ()) -> DisruptionFacts:
    """The facts that the leader would add to a command about this target."""
    all_count, site, upstream_class, cell = (group_size(target, scope) for scope in Scope)
    return DisruptionFacts("node", target, (all_count, site, upstream_class, cell), unavailable)


class StateUnderTest:
    """A replicated state, and commands that are applied to it one by one."""

    def __init__(self) -> None:
        self.state = ReplicatedState()

    def apply(
        self, kind: str, name: str, value: str = "", facts: DisruptionFacts | None = None
    ) -> ApplyResult:
        index = self.state.index + 1
        command = ReplicatedCommand(kind, f"w{index}", "s0", 0, name, 1, value, facts)
        data = replicated_commands.encode_command_with_facts(command)
        return replicated_commands.apply(self.state, Entry(1, index, data))

    def apply_to(self, kind: str, target: Target, *unavailable: Target, value: str = "") -> ApplyResult:
        """Apply a command about an upstream, with the facts that name these upstreams as unavailable."""
        has_target_key = kind in ("permit", "return")
        name = f"node:{target.name}" if has_target_key else target.name
        return self.apply(kind, name, value, facts_about(target, unavailable))

    def granted_names(self) -> set[str]:
        """The upstreams that have a permit."""
        return {permit.target.name for permit in self.state.permits.granted.values()}

    def out_names(self) -> set[str]:
        """The upstreams that are excluded or have a permit."""
        return set(self.state.excluded) | self.granted_names()


@pytest.fixture
def state() -> StateUnderTest:
    return StateUnderTest()


@dataclass(frozen=True)
class Step:
    """A command, and the upstreams that are unavailable without a permit when it is applied."""

    kind: str
    value: str
    target: Target
    unavailable: tuple[Target, ...]


@st.composite
def steps(draw: st.DrawFn) -> Step:
    action = draw(st.sampled_from(["drain", "suspend", "resume", "permit", "wait", "return"]))
    target = draw(st.sampled_from(UPSTREAMS))
    unavailable = tuple(draw(st.sets(st.sampled_from(UPSTREAMS), max_size=1)))
    if action == "wait":
        return Step("permit", "wait", target, unavailable)
    return Step(action, "", target, unavailable)


def assert_within_budgets(out: set[str], newly_out: set[str], unavailable: tuple[Target, ...]) -> None:
    """Check the budgets of the groups of the upstreams that the last command has taken out of service."""
    targets = [target for target in UPSTREAMS if target.name in out or target in unavailable]
    for scope, setting in SETTING_OF_SCOPE.items():
        for group in {target.group(scope) for target in UPSTREAMS if target.name in newly_out}:
            total = sum(target.group(scope) == group for target in UPSTREAMS)
            limit = parse_limit(BUDGETS[setting], total)
            assert limit is not None
            assert sum(target.group(scope) == group for target in targets) <= limit, (scope, group, out)


@given(st.lists(steps(), max_size=40))
def test_no_order_of_commands_exceeds_a_budget(script: list[Step]) -> None:
    state = StateUnderTest()
    for name, value in BUDGETS.items():
        assert not state.apply("set", name, value).error
    for step in script:
        out_before = state.out_names()
        state.apply_to(step.kind, step.target, *step.unavailable, value=step.value)
        out = state.out_names()
        assert set(state.state.excluded) <= state.granted_names()
        if out - out_before:
            assert_within_budgets(out, out - out_before, step.unavailable)
    restored = replicated_commands.decode_state(replicated_commands.encode_state(state.state))
    described = replicated_commands.describe_state(state.state)
    assert replicated_commands.describe_state(restored) == described


def test_queue_is_served_in_order_and_force_is_counted(state: StateUnderTest) -> None:
    n0, n1, n2, n3, n4, n5, n6, n7 = UPSTREAMS
    state.apply("set", "out.node", "1")
    assert not state.apply_to("permit", n0).error
    assert "1 nodes are out (n0), 1 may be" in state.apply_to("permit", n1).error
    for target in (n3, n2):
        assert "queued" in state.apply_to("permit", target, value="wait").text
    assert state.apply_to("return", n0, n7).text == ""  # n7 is unavailable without a permit
    assert "holds no place" in state.apply_to("return", n0).error
    assert "2 wait for a place before it" in state.apply_to("permit", n1).error
    assert not state.state.permits.granted
    assert state.apply_to("resume", n5).text == "places given to n3"
    assert [queued.permit.target.name for queued in state.state.permits.queue] == ["n2"]
    assert not state.apply_to("drain", n4, value="force").error
    assert state.state.permits.forced_count == 1
    assert "n3" in state.state.permits.granted["node:n4"].exceeded_budget
    assert "nobody has said" in state.apply("drain", n6.name).error


async def has_settings_everywhere(scene: Scene) -> bool:
    return all([(await fleet_object(scene, number, "WORDS"))["settings"] for number in range(6)])


async def shows_one_forced_permit(scene: Scene, sidecar: int) -> bool:
    return bool((await fleet_object(scene, sidecar, "WORDS"))["forced"] == 1)


async def check_concurrent_drains(scene: Scene, names: list[str]) -> list[str]:
    """Drain all upstreams at once at all sidecars; return the names of the three that were drained."""
    requests = [
        fleet_command(scene, number % 6, f"DRAIN d-{name} {name}") for number, name in enumerate(names)
    ]
    answers = await asyncio.gather(*requests)
    drained = [name for name, answer in zip(names, answers, strict=True) if answer.startswith("done")]
    rejections = [answer for answer in answers if not answer.startswith("done")]
    assert len(drained) == 3, answers
    assert all("3 nodes are out" in answer for answer in rejections), answers
    await wait_until_excluded(scene, range(6), set(drained))
    return drained


async def check_drains_in_partition(scene: Scene, remaining: list[str]) -> None:
    """In a partition neither side drains another upstream: one has no quorum, the other no budget left."""
    with link_fault(scene, "link_part", [3, 4, 5]):
        requests = [
            fleet_command(scene, number, f"DRAIN p-{number} {remaining[number]}") for number in range(6)
        ]
        answers = await asyncio.gather(*requests)
        assert not [answer for answer in answers if answer.startswith("done")], answers


async def check_permit_of_restarted_upstream(scene: Scene, drained: list[str], remaining: list[str]) -> None:
    """The permit of a restarted upstream is returned; a failed one delays the next drain until it is back."""
    assert scene.player is not None
    upstreams = {upstream.name: upstream for upstream in scene.nodes}
    failed, restarted = upstreams[remaining[0]], upstreams[drained[0]]
    failed.health = "terminating"
    scene.player.tell([failed])
    restarted.stop()
    await restarted.restart()
    scene.player.tell([restarted])
    await wait_until_excluded(scene, range(6), set(drained[1:]))
    assert failed.name in await fleet_command(scene, 1, f"DRAIN late {remaining[1]}")
    failed.health = "in_service"
    scene.player.tell([failed])
    answers: list[str] = []

    async def is_drained() -> bool:
        answers.append(await fleet_command(scene, 1, f"DRAIN later-{len(answers)} {remaining[1]}"))
        return answers[-1].startswith("done")

    await wait_until(is_drained)


def test_concurrent_drains_at_six_sidecars_stay_within_the_budget() -> None:
    """This holds also in a partition, with a failed upstream, and after a drained upstream has restarted."""

    async def test(scene: Scene) -> None:
        await create_fleet(scene)
        names = [upstream.name for upstream in scene.nodes]
        await submit(scene, [0], "SET out.node 25%", "budget")
        await wait_until(lambda: has_settings_everywhere(scene))
        drained = await check_concurrent_drains(scene, names)
        remaining = [name for name in names if name not in drained]
        await check_drains_in_partition(scene, remaining)
        await wait_for_leader(scene, range(6))
        await wait_until_excluded(scene, range(6), set(drained))
        await check_permit_of_restarted_upstream(scene, drained, remaining)
        excluded = {*drained[1:], remaining[1]}
        await wait_until_excluded(scene, range(6), excluded)
        described = await fleet_object(scene, 5, "WORDS")
        assert {permit["name"] for permit in described["places"]} == excluded
        assert not described["forced"]
        assert (await fleet_command(scene, 2, f"DRAIN now {remaining[2]} force")).startswith("done")
        assert "queued" in await fleet_command(scene, 3, f"PERMIT p node:{remaining[3]} wait")
        await wait_until(lambda: shows_one_forced_permit(scene, 4))

    on_rig(SIX_SIDECARS, test)


async def check_concurrent_pauses(scene: Scene) -> list[int]:
    """Pause all sidecars at once. Return all their numbers, beginning with the one that was paused."""
    answers = await asyncio.gather(*[sidecar.call("PAUSE") for sidecar in scene.sidecars])
    paused = [number for number, answer in enumerate(answers) if answer == "done"]
    others = [number for number in range(6) if number not in paused]
    assert len(paused) == 1, answers
    for number in others:
        assert "not paused: 1 sidecars are out" in answers[number], answers
    return paused + others


def test_only_one_of_six_sidecars_is_paused_and_its_permit_returns() -> None:
    """The permit is returned by RESUME and by the next process; a forced pause succeeds and is counted."""

    async def test(scene: Scene) -> None:
        await create_fleet(scene)
        await submit(scene, [0], "SET out.sidecar 1", "budget")
        await wait_until(lambda: has_settings_everywhere(scene))
        first, second, third, *_ = await check_concurrent_pauses(scene)
        sidecars = scene.sidecars
        assert await sidecars[first].call("RESUME") == "done"

        async def is_second_paused() -> bool:
            return await sidecars[second].call("PAUSE") == "done"

        await wait_until(is_second_paused)
        # The next process of the paused sidecar returns the permit.
        await sidecars[second].kill()
        await sidecars[second].start()

        async def has_no_permits() -> bool:
            return not (await fleet_object(scene, first, "WORDS"))["places"]

        await wait_until(has_no_permits)
        await wait_until(lambda: knows_sidecars(scene, first, 6))
        assert await sidecars[first].call("PAUSE") == "done"
        assert (await sidecars[second].call("PAUSE force")).startswith("done")

        async def is_forced_pause_shown() -> bool:
            described = await fleet_object(scene, third, "WORDS")
            return described["forced"] == 1 and sidecars[first].name in described["places"][1]["forced"]

        await wait_until(is_forced_pause_shown)

    on_rig(SIX_SIDECARS, test)
