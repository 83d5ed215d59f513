"""Sidecars that agree, as processes, with failures between them."""

from __future__ import annotations

from dataclasses import replace

from tests.agreement.rig import AGREES, all_hold, begin, fleet, held, leads
from tests.lab.playing import on_rig
from wickspread.lab.scene import Scene

SIX = replace(AGREES, sidecars=5)


def test_a_word_at_one_door_holds_at_all_and_outlives_a_machine_and_its_disk() -> None:
    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        name = scene.nodes[0].name
        answer = await fleet(scene, (leader + 1) % 5, f"SUSPEND one {name}")
        assert answer.startswith("done "), answer
        # a repeat, elsewhere, is one word
        assert await fleet(scene, (leader + 2) % 5, f"SUSPEND one {name}") == answer
        assert "another word" in await fleet(scene, leader, f"RESUME one {name}")
        for number in range(5):
            await all_hold(scene, [number], {name})
        killed = scene.sidecars[leader]
        await killed.kill()
        killed.wipe()
        others = [number for number in range(5) if number != leader]
        # the lost one is replaced, and a new one leads
        await leads(scene, others, 3)
        assert all([await held(scene, number) == {name} for number in others])
        await killed.start()
        await all_hold(scene, [leader], {name})
        assert (await fleet(scene, leader, f"READ {name}")).startswith("done ")
        answer = await fleet(scene, leader, f"RESUME two {name}")
        assert answer.startswith("done "), answer
        for number in range(5):
            await all_hold(scene, [number], set())

    on_rig(SIX, test)
