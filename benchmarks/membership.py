"""etcd as a source: from an event's writing to the decisions, the first whole list, and what a change costs.

    python -m benchmarks.membership [drains] [nodes]

The stand-in has a process of its own; source, merge, engine and decisions are those of a sidecar. Times are
wall clock of one machine, CPU is this process's.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import sys
import time
from multiprocessing.connection import Connection
from typing import Any

import uvloop

from benchmarks.decisions import settings
from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.http1.upstream import Pool


def value(number: int, health: str) -> bytes:
    return json.dumps(
        {
            "host": f"s-{number}",
            "health": health,
            "dial": f"127.0.1.{number % 250 + 1}:{3000}",
            "site": "makati",
            "class": "m",
            "block": number // 6,
            "share": 1.0,
        }
    ).encode()


def stand_in(pipe: Connection, nodes: int) -> None:
    """Serves, and commits what the pipe asks for; answers with the time just before."""
    from sidecar_proxy.testbed.etcd import cluster  # not in the process that is measured

    async def serve() -> None:
        store, members = cluster(2)
        for at in range(0, nodes, 100):
            store.commit(*[(f"/n/s-{n}", value(n, "in_service")) for n in range(at, min(at + 100, nodes))])
        pipe.send([await member.serve() for member in members])
        loop = asyncio.get_running_loop()

        def asked() -> None:
            what, number = pipe.recv()
            if what == "silent":
                for member in members:
                    member.silent = bool(member.watchers)
                pipe.send(time.monotonic_ns())
                return
            at = time.monotonic_ns()
            store.commit((f"/n/s-{number}", value(number, what)))
            pipe.send(at)

        loop.add_reader(pipe.fileno(), asked)
        await asyncio.Event().wait()

    asyncio.run(serve())


class Quiet:
    def subscribe(self, active: bool) -> None: ...

    def fetch(self) -> None: ...


def memory_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


async def measure(pipe: Connection, drains: int, nodes: int) -> dict[str, Any]:
    addresses = pipe.recv()
    told, clock = settings(3), Clock()
    directory = EndpointDirectory(told)
    engine = Engine(told, 1, clock, Pool(0.2, 5.0, 104), Quiet())
    before = memory_mb()
    from sidecar_proxy.config.schema import Etcd, Membership
    from sidecar_proxy.discovery.subsystem import DiscoverySubsystem

    sources = DiscoverySubsystem(Membership(Etcd(tuple(addresses), "/n/")), engine, directory, 1)
    found: dict[str, Any] = {"memory of the libraries, MB": round(memory_mb() - before, 1)}
    began = time.monotonic()
    await sources.start()
    source = sources.etcd
    assert source is not None
    while len(engine.balancer.entries) < nodes:
        await asyncio.sleep(0.001)
    found[f"from start to all of {nodes} nodes, ms"] = round((time.monotonic() - began) * 1e3)
    while source.follower.state != "watch":
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.2)
    dice, times = random.Random(7), []
    cpu = time.process_time()
    for _ in range(drains):
        number = dice.randrange(nodes)
        ident = directory.numbers[f"s-{number}"]
        pipe.send(("terminating", number))
        while engine.balancer.entries[ident].state is api.UpstreamState.READY:
            await asyncio.sleep(0)
        told_at = time.monotonic_ns()
        times.append((told_at - pipe.recv()) / 1e6)
        pipe.send(("in_service", number))
        pipe.recv()
        while engine.balancer.entries[ident].state is not api.UpstreamState.READY:
            await asyncio.sleep(0)
    cpu = time.process_time() - cpu
    times.sort()
    found["from an event to the decisions, ms (p50, p99, max)"] = [
        round(times[int(len(times) * share)], 2) for share in (0.5, 0.99)
    ] + [round(times[-1], 2)]
    cpu = time.process_time()
    for _ in range(drains):  # at their own pace, so that waiting costs nothing
        pipe.send(("in_service", dice.randrange(nodes)))
        pipe.recv()
        await asyncio.sleep(0.002)
    found["CPU a change with its pacing, us"] = round((time.process_time() - cpu) / drains * 1e6)
    cpu = time.process_time()
    await asyncio.sleep(5)
    found["CPU at rest, ms a second"] = round((time.process_time() - cpu) / 5 * 1e3, 2)
    pipe.send(("silent", 0))
    began = pipe.recv() / 1e9
    state = source.follower
    while state.state == "watch":
        await asyncio.sleep(0.005)
    left = time.monotonic() - began
    while state.state != "watch" or state.is_watch_unanswered or state.failed_tries:
        await asyncio.sleep(0.005)
    found["to leave a silent member and to hear the next, s"] = [
        round(left, 2),
        round(time.monotonic() - began, 2),
    ]
    source.close()
    return found


def main() -> int:
    drains, nodes = (int(one) for one in (sys.argv[1:] + ["1000", "10000"][len(sys.argv) - 1 :]))
    context = multiprocessing.get_context("spawn")
    mine, theirs = context.Pipe()
    other = context.Process(target=stand_in, args=(theirs, nodes), daemon=True)
    other.start()
    try:
        for name, figure in uvloop.run(measure(mine, drains, nodes)).items():
            print(f"{name}: {figure}")
    finally:
        other.terminate()
    return 0


if __name__ == "__main__":
    sys.exit(main())
