"""Real sidecars in the lab through the hard cases; the checker reads what the peers saw."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Answered, Faulted, Received, Told
from sidecar_proxy.testbed.scenario import Scene
from tests.sockets import LONG_S
from tests.testbed.playing import PLAN, judged, play, served


def test_a_calm_fleet_serves_all() -> None:
    scene = play(replace(PLAN, seconds=2.0))
    assert served(scene) > 0.9
    assert {row.kind for row in table(scene.ledger)} == {"chapter-buy", "coin-topup", "read"}


def test_a_third_drained_in_one_change_while_requests_are_out() -> None:
    scene = play(replace(PLAN, faults=(Fault("drain", 1.0, 2.5, 0.3),)))
    drained = {one.node for one in scene.ledger if isinstance(one, Told) and one.health == "terminating"}
    assert len(drained) == 4 and served(scene) > 0.7


def test_all_of_the_own_site_is_silent() -> None:
    scene = play(
        replace(
            PLAN,
            faults=(
                Fault("silent", 1.0, 2.0, 1.0, site="makati"),
                Fault("silent", 1.0, 2.0, 5, site="makati"),
            ),
        )
    )
    assert any(isinstance(one, Faulted) and "silent" in one.text for one in scene.ledger)
    answers = Counter(one.status for one in scene.ledger if isinstance(one, Answered))
    assert answers[200] > 50


def test_a_restart_under_the_same_name_is_not_pushed_over() -> None:
    scene = play(replace(PLAN, faults=(Fault("restart", 1.0, 0.1, 3),)))
    assert served(scene) > 0.6


def test_the_roster_is_down_and_late() -> None:
    scene = play(replace(PLAN, faults=(Fault("roster_down", 0.5, 2.0), Fault("crash", 1.0, 1.0, 2))))
    assert served(scene) > 0.5


def test_a_large_fleet_within_few_descriptors() -> None:
    """600 nodes and room for 40 connections to them: without a subset nearly each request would dial."""

    async def run() -> tuple[int, int, list[int]]:
        async with Scene(replace(PLAN, nodes=600, sockets=128, seconds=3.0)) as scene:
            await scene.play()
            open_now = scene.sidecars[0].usage()[2]
            asked = sum(isinstance(one, Received) for one in scene.ledger)
            used = [node.accepted for node in scene.nodes if node.accepted]
        assert not judged(scene)
        return asked, open_now, used

    asked, open_now, used = asyncio.run(asyncio.wait_for(run(), 3 * LONG_S))
    assert open_now <= 128 and len(used) <= 40 and sum(used) < asked / 4
