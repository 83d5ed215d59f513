"""Places to be out: never one more than a budget, in whatever order words come; and at six doors at once."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus.disruption_budgets import SCOPES, Facts, Member, limit
from sidecar_proxy.consensus.messages import Entry
from sidecar_proxy.consensus.replicated_commands import ReplicatedCommand, ReplicatedState
from sidecar_proxy.testbed.scenario import Scene
from tests.consensus.rig import AGREES, all_hold, begin, fleet, knows, leads, says, spoiled, told, until
from tests.testbed.playing import on_rig

NODES = [Member(f"n{n}", f"site{n % 2}", f"kind{n % 3}", str(n // 4)) for n in range(8)]
BUDGETS = {"out.node": "3", "out.node.site": "2", "out.node.class": "50%"}


def facts(node: Member, down: tuple[Member, ...] = ()) -> Facts:
    total = [sum(one.under(scope) == node.under(scope) for one in NODES) for scope in SCOPES]
    return Facts("node", node, (total[0], total[1], total[2], total[3]), down)


def said(
    state: ReplicatedState, kind: str, name: str, value: str = "", about: Facts | None = None
) -> words.Outcome:
    index = state.index + 1
    word = ReplicatedCommand(kind, f"w{index}", "s0", 0, name, 1, value, about)
    return words.apply(state, Entry(1, index, words.fitting(word)))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["drain", "suspend", "resume", "permit", "wait", "return"]),
            st.sampled_from(NODES),
            st.sets(st.sampled_from(NODES), max_size=1),
        ),
        max_size=40,
    )
)
def test_never_more_are_out_than_each_budget_says(script: list[tuple[str, Member, set[Member]]]) -> None:
    state = ReplicatedState()
    for key, value in BUDGETS.items():
        assert not said(state, "set", key, value).error
    for kind, node, down in script:
        before = set(state.held) | {one.member.name for one in state.places.held.values()}
        name = node.name if kind in ("drain", "suspend", "resume") else f"node:{node.name}"
        outcome = said(
            state,
            "permit" if kind == "wait" else kind,
            name,
            "wait" if kind == "wait" else "",
            facts(node, tuple(down)),
        )
        out = set(state.held) | {one.member.name for one in state.places.held.values()}
        assert set(state.held) <= {one.member.name for one in state.places.held.values()}
        if not out - before:
            continue
        # what is down by itself counts with those that were let out just now
        there = [one for one in NODES if one.name in out or one in down]
        for scope, key in zip(SCOPES, ("out.node", "out.node.site", "out.node.class", ""), strict=True):
            for value in {one.under(scope) for one in NODES if one.name in out - before} if key else ():
                most = limit(BUDGETS[key], sum(one.under(scope) == value for one in NODES))
                assert most is not None and sum(one.under(scope) == value for one in there) <= most, (
                    kind,
                    outcome,
                    out,
                )
    again = words.restored(words.kept(state))
    assert words.shown(again) == words.shown(state)


def test_the_line_moves_in_its_order_and_force_is_counted() -> None:
    state = ReplicatedState()
    said(state, "set", "out.node", "1")
    assert not said(state, "permit", "node:n0", "", facts(NODES[0])).error
    assert "1 nodes are out (n0), 1 may be" in said(state, "permit", "node:n1", "", facts(NODES[1])).error
    for number in (3, 2):
        assert "queued" in said(state, "permit", f"node:n{number}", "wait", facts(NODES[number])).text
    assert said(state, "return", "node:n0", "", facts(NODES[0], (NODES[7],))).text == ""  # n7 has failed
    assert "holds no place" in said(state, "return", "node:n0", "", facts(NODES[0])).error
    assert "2 wait for a place before it" in said(state, "permit", "node:n1", "", facts(NODES[1])).error
    assert not state.places.held
    assert said(state, "resume", "n5", "", facts(NODES[5])).text == "places given to n3"
    assert [one.place.member.name for one in state.places.line] == ["n2"]
    assert not said(state, "drain", "n4", "force", facts(NODES[4])).error
    assert state.places.forced == 1 and "n3" in state.places.held["node:n4"].forced
    assert "nobody has said" in said(state, "drain", "n6").error


def test_twelve_drains_at_six_doors_at_once_and_in_a_partition() -> None:
    """Three are done, whoever asks; a side without a quorum takes nothing out; a node that comes back with
    a later start gives its place back; one that is down by itself counts.
    """

    async def test(scene: Scene) -> None:
        await begin(scene)
        names = [node.name for node in scene.nodes]
        await says(scene, [0], "SET out.node 25%", "budget")
        await all_six(scene)
        answers = await asyncio.gather(
            *[fleet(scene, number % 6, f"DRAIN d-{name} {name}") for number, name in enumerate(names)]
        )
        done = [name for name, answer in zip(names, answers, strict=True) if answer.startswith("done")]
        assert len(done) == 3, answers
        assert all("3 nodes are out" in one for one in answers if not one.startswith("done")), answers
        await all_hold(scene, range(6), set(done))
        left = [name for name in names if name not in done]
        with spoiled(scene, "link_part", [3, 4, 5]):
            both = await asyncio.gather(
                *[fleet(scene, number, f"DRAIN p-{number} {left[number]}") for number in range(6)]
            )
            assert not [one for one in both if one.startswith("done")], both
        await leads(scene, range(6))
        await all_hold(scene, range(6), set(done))
        # one is restarted: its place is free, and the next may have it, unless one has failed meanwhile
        assert scene.player is not None
        nodes = {node.name: node for node in scene.nodes}
        nodes[left[0]].health = "terminating"
        scene.player.tell([nodes[left[0]]])
        nodes[done[0]].stop()
        await nodes[done[0]].restart()
        scene.player.tell([nodes[done[0]]])
        await all_hold(scene, range(6), set(done[1:]))
        assert left[0] in await fleet(scene, 1, f"DRAIN late {left[1]}")
        nodes[left[0]].health = "in_service"
        scene.player.tell([nodes[left[0]]])

        async def fits() -> bool:
            tries.append(await fleet(scene, 1, f"DRAIN later-{len(tries)} {left[1]}"))
            return tries[-1].startswith("done")

        tries: list[str] = []
        await until(fits)
        await all_hold(scene, range(6), {*done[1:], left[1]})
        shown = await told(scene, 5, "WORDS")
        assert {one["name"] for one in shown["places"]} == {*done[1:], left[1]} and not shown["forced"]
        assert (await fleet(scene, 2, f"DRAIN now {left[2]} force")).startswith("done")
        assert "queued" in await fleet(scene, 3, f"PERMIT p node:{left[3]} wait")

        async def counted() -> bool:
            return bool((await told(scene, 4, "WORDS"))["forced"] == 1)

        await until(counted)

    on_rig(replace(AGREES, sidecars=6), test)


async def all_six(scene: Scene) -> None:
    async def there() -> bool:
        return all([(await told(scene, number, "WORDS"))["settings"] for number in range(6)])

    await until(there)


def test_six_sidecars_paused_at_once_and_one_that_comes_back() -> None:
    """One is paused; it gives its place back as it resumes, or as another process; force is done and told."""

    async def test(scene: Scene) -> None:
        await begin(scene)
        await says(scene, [0], "SET out.sidecar 1", "budget")
        await all_six(scene)
        doors = [scene.sidecars[number] for number in range(6)]
        answers = await asyncio.gather(*[one.call("PAUSE") for one in doors])
        paused = [number for number, answer in enumerate(answers) if answer == "done"]
        assert len(paused) == 1, answers
        assert all(
            "not paused: 1 sidecars are out" in answer
            for number, answer in enumerate(answers)
            if number not in paused
        ), answers
        first, second, third, *_ = paused + [number for number in range(6) if number not in paused]
        assert await doors[first].call("RESUME") == "done"

        async def takes() -> bool:
            return await doors[second].call("PAUSE") == "done"

        await until(takes)
        # its process ends, and the next one of it gives the place back
        await doors[second].kill()
        await doors[second].start()

        async def free() -> bool:
            return not (await told(scene, first, "WORDS"))["places"]

        await until(free)
        await until(lambda: knows(scene, first, 6))
        assert await doors[first].call("PAUSE") == "done"
        assert (await doors[second].call("PAUSE force")).startswith("done")

        async def counted() -> bool:
            shown = await told(scene, third, "WORDS")
            return shown["forced"] == 1 and doors[first].name in shown["places"][1]["forced"]

        await until(counted)

    on_rig(replace(AGREES, sidecars=6), test)
