"""A sidecar with 256 descriptors before 10,000 nodes at 300 requests/s: new connections a request, memory,
and how long a whole list holds the loop.

    python -m benchmarks.fleet [--nodes 10000] [--sockets 256] [--rate 300] [--seconds 40]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time

import uvloop

from benchmarks.sidecar import entry
from sidecar_proxy.balancer.settings import parse_settings
from sidecar_proxy.config.platform_settings import settings_lines
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.gc_control import GcController
from sidecar_proxy.http1.upstream import ConnectionPool
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.scenario import Plan, Scene, settings
from sidecar_proxy.testbed.upstreams import address_of


async def connections(plan: Plan) -> None:
    async with Scene(plan) as scene:
        playing = asyncio.get_running_loop().create_task(scene.play())
        await asyncio.sleep(plan.seconds / 2)
        dialled, asked = sum(n.accepted for n in scene.nodes), sum(n.received for n in scene.nodes)
        await playing
        dialled = sum(n.accepted for n in scene.nodes) - dialled
        asked = sum(n.received for n in scene.nodes) - asked
        cpu_s, resident, open_now = scene.sidecars[0].usage()
        used = sum(1 for node in scene.nodes if node.accepted)
        rows = table(scene.ledger)
        breaches = scene.verdict()
    total = sum(row.asked for row in rows)
    print(
        f"{plan.nodes} nodes, {plan.sockets} descriptors, {plan.rate:.0f} requests/s: "
        f"{dialled / asked:.4f} new connections a request in the second half, {used} nodes used, "
        f"{open_now} descriptors open, {resident / 1e6:.0f} MB resident, {cpu_s / total * 1e6:.0f} us CPU "
        f"a request with the start, {sum(row.served for row in rows) / total:.2%} served, "
        f"{len(breaches)} breaches of the rules"
    )


async def hold(count: int) -> None:
    """The longest time between two turns of the loop while a list comes, and while all of it is replaced."""
    told = parse_settings("\n".join(settings_lines(settings(Plan(instances=300), 0))))
    told.max_upstreams = 104
    pool = ConnectionPool(0.2, 5.0, 104)
    discovery = PlatformDiscoveryClient(("127.0.0.1", 1), EndpointDirectory(told), 0, pushed=False)
    discovery.gc_controller = GcController()
    discovery.listener = engine = Engine(told, 1, Clock(), pool, discovery)

    def text(first: int, seq: int) -> bytes:
        return json.dumps(
            {
                "seq": seq,
                "whole": True,
                "hosts": [
                    entry(f"s-{n}", n, f"{address_of(n % 60_000)}:8000") for n in range(first, first + count)
                ],
            }
        ).encode()

    for title, data in (
        ("first whole list", text(0, 1)),
        ("the same again", text(0, 2)),
        ("a list of others", text(count, 3)),
    ):
        longest, begin, before = 0.0, time.perf_counter(), time.perf_counter()
        discovery.enqueue(data)
        while True:
            now = time.perf_counter()
            longest, before = max(longest, now - before), now
            if not discovery.is_reading:
                break
            await asyncio.sleep(0)
        print(
            f"{title} of {count}: {(time.perf_counter() - begin) * 1000:.0f} ms in all, "
            f"the loop held for {longest * 1000:.1f} ms at most; {len(engine.balancer.entries)} known"
        )
    discovery.close()
    pool.close()


async def main(arguments: argparse.Namespace) -> None:
    await hold(arguments.nodes)
    await connections(
        Plan(
            nodes=arguments.nodes,
            instances=300,
            rate=arguments.rate,
            seconds=arguments.seconds,
            sockets=arguments.sockets,
            machine=Machine(work_us=10_000),
        )
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--nodes", type=int, default=10_000)
    parser.add_argument("--sockets", type=int, default=256)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=40.0)
    uvloop.run(main(parser.parse_args()))
