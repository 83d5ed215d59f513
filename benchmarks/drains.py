"""From a drain's being written to etcd to the last new send to that node, under load and with faults.

    python -m benchmarks.drains [--drains 1000] [--rounds 10] [--away 60] [--rate 1500]

A real sidecar, 20 stand-in nodes, a roster that goes on listing all of them, and a stand-in of etcd with
three members. First drains without a fault; then one drain at a random moment after each fault of the member
that is followed; then all of etcd away, and drains at its return. The nodes say when the first byte of a
request came, so a time is 0 where nothing came after the drain. The checker has the last word on the rules.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import uvloop

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.history import Received, now_us
from sidecar_proxy.testbed.registry import Registry
from sidecar_proxy.testbed.scenario import Plan, Scene
from sidecar_proxy.testbed.upstreams import Node

FAULTS = ("silent", "cut off", "behind", "gone", "compacted while away", "in the middle of a frame")
TOGETHER = 4  # drains at a time, without a fault
OUT_S = 0.25  # a drained node stays out so long


@dataclass(slots=True)
class Drain:
    why: str
    node: str
    from_us: int
    to_us: int = 0  # written back

    def last_us(self, sends: dict[str, list[int]]) -> int:
        """The last new send after it was written, in us from then; 0 for none."""
        return max(
            [at - self.from_us for at in sends[self.node] if self.from_us < at < self.to_us], default=0
        )


class Play:
    def __init__(self, scene: Scene, registry: Registry, seed: int) -> None:
        self.scene = scene
        self.registry = registry
        self.rng = random.Random(seed)
        self.free = list(scene.nodes)
        self.drains: list[Drain] = []

    def drain(self, why: str) -> tuple[Node, Drain]:
        node = self.free.pop(self.rng.randrange(len(self.free)))
        one = Drain(why, node.name, now_us())
        self.registry.put(node.entry() | {"health": "terminating"})
        self.drains.append(one)
        return node, one

    def restore(self, node: Node, one: Drain) -> None:
        self.registry.put(node.entry())
        one.to_us = now_us()
        self.free.append(node)

    async def calm(self, count: int) -> None:
        numbers = iter(range(count))

        async def worker() -> None:
            for _ in numbers:
                node, one = self.drain("no fault")
                await asyncio.sleep(OUT_S * (0.5 + self.rng.random()))
                self.restore(node, one)

        await asyncio.gather(*[worker() for _ in range(TOGETHER)])

    async def followed(self) -> Any:
        while (member := self.registry.followed()) is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        return member

    async def wrong(self, kind: str) -> None:
        """One fault of the member that is followed, a drain a moment later, all well again."""
        member = await self.followed()
        if kind == "silent":
            member.silent = True
        elif kind == "cut off":
            member.cut_off = True
        elif kind == "behind":
            member.limit, member.lags = self.registry.store.revision, True
        elif kind == "in the middle of a frame":
            member.half = True
        elif kind == "gone":
            member.stop()
        else:
            await self.registry.down(True)
            self.registry.is_down = False  # who writes is not away; only its readers are
        if kind != "compacted while away":
            await asyncio.sleep(0.8 * self.rng.random())
        node, one = self.drain(kind)
        if kind == "compacted while away":
            self.registry.store.compact()
            await self.registry.down(False)
            one.from_us = now_us()  # it could be heard from now on
        await asyncio.sleep(2.5)
        member.silent = member.cut_off = member.lags = member.half = False
        member.limit = None
        if member.server is None:
            await member.serve(int(member.address.rpartition(":")[2]))
        member.publish()
        self.restore(node, one)

    async def away(self, seconds: float) -> None:
        """Nothing can be written meanwhile; the drains are written as it comes back."""
        await self.registry.down(True)
        await asyncio.sleep(seconds)
        out = [self.drain("at etcd's return") for _ in range(5)]
        await self.registry.down(False)
        for _, one in out:
            one.from_us = now_us()
        await asyncio.sleep(3.0)
        for node, one in out:
            self.restore(node, one)
        await asyncio.sleep(0.2)


async def main(told: argparse.Namespace) -> int:
    plan = Plan(
        nodes=20, rate=told.rate, seconds=1e6, seed=told.seed, etcd=3, machine=Machine(cores=8, work_us=4_000)
    )
    async with Scene(plan) as scene:
        assert scene.registry is not None
        play = Play(scene, scene.registry, told.seed)
        traffic = asyncio.get_running_loop().create_task(scene.play())
        await play.followed()
        await play.calm(told.drains)
        for kind in FAULTS:
            for _ in range(told.rounds):
                await play.wrong(kind)
        asked = sum(row.asked for row in table(scene.ledger))
        spans = {}
        for name in ("there", "away"):
            before = len(scene.ledger)
            await (asyncio.sleep(told.away) if name == "there" else play.away(told.away))
            spans[name] = table(scene.ledger.records[before:])
        traffic.cancel()
        for crowd in scene.crowds:
            await crowd.finish()
        sends: dict[str, list[int]] = defaultdict(list)
        for record in scene.ledger:
            if isinstance(record, Received):
                sends[record.node].append(record.first_us)
        print(f"seed {told.seed}, {asked} requests till then; ms from a drain's writing to the last new send")
        for why in dict.fromkeys(one.why for one in play.drains):
            times = sorted(one.last_us(sends) / 1e3 for one in play.drains if one.why == why)
            p50, p99 = (times[int(share * len(times))] for share in (0.5, 0.99))
            print(f"{why:<26} {len(times):>5} drains  p50 {p50:8.2f}  p99 {p99:8.2f}  max {times[-1]:8.2f}")
        for name, rows in spans.items():
            print(
                f"{told.away:.0f} s with etcd {name}: "
                + ", ".join(
                    f"{row.kind} {row.served} of {row.asked} served, {row.refused} refused" for row in rows
                )
            )
        breaches = scene.verdict()
        for breach in breaches[:10]:
            print(f"rule {breach.rule}: {breach.text}")
        print(f"{len(breaches)} breaches of the rules")
    return 1 if breaches else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--drains", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=10, help="of each fault")
    parser.add_argument("--away", type=float, default=60.0, help="seconds without etcd")
    parser.add_argument("--rate", type=float, default=1500.0, help="requests a second")
    parser.add_argument("--seed", type=int, default=1)
    sys.exit(uvloop.run(main(parser.parse_args())))
