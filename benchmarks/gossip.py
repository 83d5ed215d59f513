"""What gossip saves when an upstream falls silent, and what a liar can take: real sidecars under load.

    python -m benchmarks.gossip [--sidecars 50] [--nodes 20] [--rate 800] [--seconds 40] [--seed 1]
        [--told 0] [--plays without,with,liar,again,starved]

All plays have the same seed: without gossip; with it; with it and one certified instance that reports every
upstream as silent all the time; once more with it (what chance alone makes of an upstream's share); and with
one sidecar that gets no CPU for two thirds of each 0.6 s (requests to it are left out). An upstream falls
silent at a quarter of the time, for a third of it. Wasted are the requests that it receives while silent.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import signal
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import uvloop

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.history import Answered, Asked, Received, now_us
from sidecar_proxy.testbed.scenario import Plan, Scene

JOIN_S = 8.0  # until all instances know each other
STOPPED_S, RUNNING_S = 0.4, 0.2  # of the starved sidecar, in turns
RECOVERED_REQUESTS = 50  # after which a silent upstream counts as back
STATUS_TIMEOUT_S = 5.0


@dataclass(slots=True)
class PlayResult:
    """What one play has shown."""

    figures: dict[str, object]
    requests_by_upstream: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, frozen=True)
class Silence:
    """When an upstream was silent, on the monotonic clock."""

    upstream: str
    begin_us: int
    end_us: int


def read_status(path: str) -> dict[str, Any]:
    """Return a sidecar's gossip status."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(STATUS_TIMEOUT_S)
        connection.connect(path)
        with connection.makefile("rb") as file:
            status: dict[str, Any] = json.loads(file.read())
            return status


async def starve(scene: Scene, seconds: float) -> None:
    """Stop the last sidecar's process again and again, as on a machine that has too little CPU."""
    process = scene.sidecars[-1].process
    assert process is not None
    for _ in range(int(seconds / (STOPPED_S + RUNNING_S))):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RUNNING_S)


@asynccontextmanager
async def lying_instance(scene: Scene, plan: Plan) -> AsyncIterator[None]:
    """Run an instance that reports every upstream but the first as silent."""
    from sidecar_proxy.testbed.gossip import Liar

    assert scene.keys is not None
    upstreams = [upstream.name for upstream in scene.nodes[1:]]
    liar = Liar(scene.keys.keyring("liar", plan.sites[0]), scene.gossip, upstreams)
    await liar.start()
    try:
        yield
    finally:
        liar.close()


async def run_load(scene: Scene, plan: Plan, is_starved: bool) -> Silence:
    """Play the requests while the first upstream falls silent for a third of the time."""
    silent = scene.nodes[0]
    loop = asyncio.get_running_loop()
    traffic = loop.create_task(scene.play())
    starvation = loop.create_task(starve(scene, plan.seconds)) if is_starved else None
    await asyncio.sleep(plan.seconds / 4)
    begin_us, silent.trouble.silent = now_us(), True
    await asyncio.sleep(plan.seconds / 3)
    end_us, silent.trouble.silent = now_us(), False
    await traffic
    if starvation is not None:
        await starvation
    return Silence(silent.name, begin_us, end_us)


def request_figures(scene: Scene, silence: Silence, left_out: str) -> dict[str, object]:
    """Count the requests that were wasted on the silent upstream and those that were not served."""
    statuses = {record.request: record.status for record in scene.ledger if isinstance(record, Answered)}
    sidecars = {
        record.request: record.sidecar
        for record in scene.ledger
        if hasattr(record, "sidecar") and hasattr(record, "request")
    }
    unserved = sum(
        statuses.get(record.request) != 200
        for record in scene.ledger
        if isinstance(record, Asked) and record.sidecar != left_out
    )
    received = list(received_by(scene, silence.upstream))
    wasted = sorted(
        (record.at_us - silence.begin_us, sidecars.get(record.request, ""))
        for record in received
        if silence.begin_us <= record.first_us < silence.end_us
    )
    after = [record.at_us - silence.end_us for record in received if record.first_us >= silence.end_us]
    recovered_s = None
    if len(after) >= RECOVERED_REQUESTS:
        recovered_s = round(after[RECOVERED_REQUESTS - 1] / 1e6, 2)
    by_sidecar = Counter(sidecar for _, sidecar in wasted)
    return {
        "wasted": len(wasted),
        "by the worst sidecar": max(by_sidecar.values(), default=0),
        "half and nine tenths of them after, s": [
            round(wasted[int(share * len(wasted))][0] / 1e6, 2) for share in (0.5, 0.9) if wasted
        ],
        "requests": requests_of(scene),
        "not served": unserved,
        f"seconds till it has {RECOVERED_REQUESTS} requests again": recovered_s,
    }


def received_by(scene: Scene, upstream: str) -> Iterator[Received]:
    """Iterate over the requests that an upstream has received."""
    return (record for record in scene.ledger if isinstance(record, Received) and record.node == upstream)


def requests_of(scene: Scene) -> int:
    """Return the number of requests of all clients."""
    return sum(row.asked for row in table(scene.ledger))


def gossip_figures(scene: Scene, plan: Plan) -> dict[str, object]:
    """Read the traffic and the verdicts on peers from every sidecar's status."""
    statuses = [
        read_status(os.path.join(scene.folder.name, f"{sidecar.name}.sock")) for sidecar in scene.sidecars
    ]
    figures: dict[str, object] = {}
    seconds = plan.seconds + JOIN_S
    for name in ("bytes out", "packets out"):
        rates = [status["counts"].get(name, 0) / seconds for status in statuses]
        figures[f"{name} a second and instance, mean and most"] = [
            round(sum(rates) / len(rates)),
            round(max(rates)),
        ]
    figures["instances known"] = min(len(status["peers"]) + 1 for status in statuses)
    for name in ("deaths", "suspicions", "refutations"):
        figures[name] = sum(status["counts"].get(name, 0) for status in statuses)
    figures["dead at the end"] = Counter(
        peer["name"] for status in statuses for peer in status["peers"] if peer["life"] == "dead"
    )
    return figures


async def measure(scene: Scene, plan: Plan, name: str) -> PlayResult:
    """Run the load of one play and collect its figures."""
    await asyncio.sleep(JOIN_S if plan.gossip else 0.0)
    cpu_before_s = sum(sidecar.usage()[0] for sidecar in scene.sidecars)
    is_starved = name == "starved"
    silence = await run_load(scene, plan, is_starved)
    cpu_s = sum(sidecar.usage()[0] for sidecar in scene.sidecars) - cpu_before_s
    figures = request_figures(scene, silence, scene.sidecars[-1].name if is_starved else "")
    figures["CPU us a request"] = round(cpu_s / requests_of(scene) * 1e6)
    figures["breaches"] = len(scene.verdict())
    if plan.gossip:
        figures |= gossip_figures(scene, plan)
    received = Counter(record.node for record in scene.ledger if isinstance(record, Received))
    return PlayResult(figures, received)


async def play(plan: Plan, name: str) -> PlayResult:
    """Run one play."""
    async with Scene(plan) as scene:
        if name != "liar":
            return await measure(scene, plan, name)
        async with lying_instance(scene, plan):
            return await measure(scene, plan, name)


def print_shares(results: dict[str, PlayResult], healthy: list[str]) -> None:
    """Compare the healthy upstreams' requests with those of the play `with`."""
    for name, other in (("liar", "with"), ("again", "with")):
        if name not in results or other not in results:
            continue
        counts, others = results[name].requests_by_upstream, results[other].requests_by_upstream
        ratios = sorted(counts[upstream] / max(1, others[upstream]) for upstream in healthy)
        total = sum(counts[upstream] for upstream in healthy) / sum(others[upstream] for upstream in healthy)
        print(
            f"requests of a healthy upstream, {name} against {other}: least {ratios[0]:.3f}, median "
            f"{ratios[len(ratios) // 2]:.3f}, all {total:.3f}"
        )


def main() -> int:
    """Run the plays and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sidecars", type=int, default=50)
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--rate", type=float, default=800.0, help="requests a second, all together")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--told", type=int, default=0, help="sidecars as the settings have it; 0 = as many")
    parser.add_argument("--plays", default="without,with,liar,again")
    arguments = parser.parse_args()
    plan = Plan(
        nodes=arguments.nodes,
        sidecars=arguments.sidecars,
        instances=arguments.told,
        rate=arguments.rate,
        seconds=arguments.seconds,
        seed=arguments.seed,
        sockets=256,
        sites=("makati", "pasig", "cebu", "davao", "iloilo"),
        machine=Machine(cores=8, work_us=8_000),
        manners=Manners(tries=1),
    )
    # a garbage collection would walk the whole history and stall all clients and upstreams in this process
    gc.disable()
    results: dict[str, PlayResult] = {}
    for name in arguments.plays.split(","):
        results[name] = uvloop.run(play(replace(plan, gossip=name != "without"), name))
        print(name, json.dumps(results[name].figures), flush=True)
    print_shares(results, [f"node-{number}" for number in range(1, arguments.nodes)])
    return 0


if __name__ == "__main__":
    sys.exit(main())
