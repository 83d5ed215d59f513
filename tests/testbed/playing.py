"""Plays a plan of the lab's within wide bounds and judges it by the four rules."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import Breach, check, table
from sidecar_proxy.testbed.scenario import Plan, Scene, bounds
from tests.sockets import LONG_S

PLAN = Plan(nodes=12, rate=120, seconds=4.0, seed=3, machine=Machine(work_us=8_000))

# three that gossip through relays and handle overload as one
RIG = replace(
    PLAN,
    sidecars=3,
    rate=60.0,
    seconds=1.0,
    gossip=True,
    relayed=True,
    extra="[overload]\nenabled = true\ntrace = true\n",
)


def on_rig(plan: Plan, test: Callable[[Scene], Awaitable[None]]) -> Scene:
    """Starts it, and leaves what is done to it to the test."""

    async def run() -> Scene:
        async with Scene(plan) as scene:
            await test(scene)
        odd = [one for one in scene.sidecars if any("Traceback" in line for line in one.lines)]
        assert not odd, "\n".join(line for one in odd for line in one.lines)
        return scene

    return asyncio.run(asyncio.wait_for(run(), 4 * LONG_S))


def play(plan: Plan) -> Scene:
    """Play a plan in virtual-free time: on real sockets, within a wide bound."""

    async def run() -> Scene:
        async with Scene(plan) as scene:
            await scene.play()
        breaches = judged(scene)
        assert not breaches, breaches[:5]
        return scene

    return asyncio.run(asyncio.wait_for(run(), plan.seconds + 2 * LONG_S))


def judged(scene: Scene) -> list[Breach]:
    """The rules with a wide bound on time: clients and nodes share a loop, and a busy machine holds it."""
    assert [one.process.returncode for one in scene.sidecars if one.process is not None] == [0]
    assert not [line for one in scene.sidecars for line in one.lines if "Traceback" in line]
    return check(scene.ledger, replace(bounds(scene.plan), slack_us=500_000))


def served(scene: Scene) -> float:
    rows = table(scene.ledger)
    return sum(row.served for row in rows) / sum(row.asked for row in rows)
