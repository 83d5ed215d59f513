"""Days with both protocols: the same clients, nodes and faults by HTTP/1.1 and by gRPC."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import REFUSED
from sidecar_proxy.testbed.clients import Crowd, Load, Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.grpc import GrpcCrowd
from sidecar_proxy.testbed.history import Answered, Asked
from sidecar_proxy.testbed.scenario import Plan, Scene

MACHINE = Machine(work_us=4_000, spread=0.2)
# 13 operations in 100 meet a fault, the same one at every node and by either protocol
FATES = {0: "error", 1: "error", 2: "declined", 3: "declined", 4: "reset", 5: "reset", 6: "half", 7: "lost"}


def fate(request: str) -> str:
    """By the operation's number alone: its tries, and its twin by the other protocol, meet the same."""
    number = request.partition(".")[0].rpartition("-")[2].lstrip("g")
    return FATES.get(zlib.crc32(number.encode()) % 60, "")


def outcomes(scene: Scene, grpc: bool) -> Counter[tuple[str, str]]:
    """Class and outcome of each operation's last answer."""
    kinds = {one.request: one.kind for one in scene.ledger if isinstance(one, Asked)}
    last: dict[str, Answered] = {}
    for one in scene.ledger:
        if isinstance(one, Answered) and ("-g" in one.request) == grpc:
            last[one.request.partition(".")[0]] = one
    return Counter(
        (
            kinds[one.request],
            "served" if one.status == 200 else "refused" if one.status in REFUSED else "failed",
        )
        for one in last.values()
    )


async def in_turn(crowd: Crowd, operations: int, most: int) -> None:
    """So many operations, at most so many at a time: a stalled machine makes them late, never too many."""
    for load in crowd.arrivals.choices(crowd.loads, [one.share for one in crowd.loads], k=operations):
        while len(crowd.tasks) >= most:
            await asyncio.wait(crowd.tasks, return_when=asyncio.FIRST_COMPLETED)
        crowd.start(load)
    await crowd.finish()


def test_the_same_day_by_both_protocols_has_the_same_outcomes() -> None:
    loads = (
        Load("chapter-buy", "at_most_once", 0.5, 2.0),
        Load("coin-topup", "deduplicated", 0.3, 2.0),
        Load("read", "idempotent", 0.2, 2.0),
    )
    plan = Plan(nodes=24, seed=20261201, machine=MACHINE, loads=loads, grpc=0.5, manners=Manners(tries=1))

    async def play() -> Scene:
        async with Scene(plan) as scene:
            for node in scene.nodes:
                node.trouble.scripted = fate
            await asyncio.gather(*[in_turn(crowd, 300, 6) for crowd in scene.crowds])
        return scene

    scene = asyncio.run(asyncio.wait_for(play(), 120.0))
    assert scene.verdict() == []
    http, grpc = outcomes(scene, False), outcomes(scene, True)
    assert http == grpc, f"seed {plan.seed}: {http} by HTTP/1.1, {grpc} by gRPC"
    assert sum(http.values()) > 200 and len(http) >= 6, http


def test_a_bad_day_with_both_protocols_breaks_no_rule() -> None:
    faults = (
        Fault("silent", 0.5, 3.0, nodes=2),
        Fault("errors", 1.0, 3.0, nodes=2, size=0.5),
        Fault("drain", 1.0, 2.0, nodes=2),
        Fault("crash", 2.0, 2.0, nodes=2),
        Fault("reset", 1.5, 3.0, nodes=2, size=0.3),
        Fault("half", 1.5, 3.0, nodes=2, size=0.3),
    )
    plan = Plan(
        nodes=16,
        rate=160.0,
        seconds=5.5,
        seed=7,
        machine=MACHINE,
        grpc=0.5,
        faults=faults,
        manners=Manners(quits=0.05),
    )

    async def play() -> Scene:
        async with Scene(plan) as scene:
            await scene.play()
        return scene

    scene = asyncio.run(asyncio.wait_for(play(), 120.0))
    assert scene.verdict() == [], f"seed {plan.seed}"
    served = outcomes(scene, True)
    assert sum(count for (_, what), count in served.items() if what == "served") > 0.5 * sum(served.values())


def test_a_stop_under_grpc_load_loses_no_call() -> None:
    async def play() -> Scene:
        async with Scene(
            Plan(
                nodes=8, rate=150.0, seconds=4.0, seed=11, machine=MACHINE, grpc=1.0, manners=Manners(tries=1)
            )
        ) as scene:
            loop = asyncio.get_running_loop()
            stopping: list[asyncio.Task[int | None]] = []
            loop.call_later(2.0, lambda: stopping.append(loop.create_task(scene.sidecars[0].stop())))
            await scene.play()
            assert [await one for one in stopping] == [0]
        return scene

    scene = asyncio.run(asyncio.wait_for(play(), 60.0))
    assert scene.verdict() == []
    crowd = scene.crowds[0]
    assert isinstance(crowd, GrpcCrowd) and crowd.refused_connects > 0  # it went on asking until it was gone
    answers = [one for one in scene.ledger if isinstance(one, Answered)]
    assert len(answers) > 150 and all(one.status for one in answers)
