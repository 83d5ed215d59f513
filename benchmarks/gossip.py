"""What gossip saves when a node falls silent, and what a liar can take: real sidecars under the lab's load.

    python -m benchmarks.gossip [--sidecars 50] [--nodes 20] [--rate 800] [--seconds 40] [--seed 1]
        [--told 0] [--plays without,with,liar,again,starved]

The same seed each time: without gossip, with it, with it and one certified instance that says without end of
every node that it is silent, once more with it (what chance alone makes of a node's share), and with one
sidecar that gets no CPU for two thirds of each 0.6 s (what it is asked is left out). A node falls
silent at a quarter of the time, for a third of it. Wasted are the requests that it takes while silent.
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
from dataclasses import replace
from typing import Any

import uvloop

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.history import Answered, Asked, Received, now_us
from sidecar_proxy.testbed.scenario import Plan, Scene


def told(path: str) -> dict[str, Any]:
    """What a sidecar says of its gossip."""
    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(5.0)
        one.connect(path)
        with one.makefile("rb") as file:
            found: dict[str, Any] = json.loads(file.read())
            return found


async def starve(scene: Scene, seconds: float) -> None:
    """The last sidecar's process stands still again and again, as on a machine that has too little CPU."""
    process = scene.sidecars[-1].process
    assert process is not None
    for _ in range(int(seconds / 0.6)):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.4)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.2)


async def play(plan: Plan, name: str) -> dict[str, object]:
    async with Scene(plan) as scene:
        speaker = None
        if name == "liar":
            from sidecar_proxy.testbed.gossip import Liar

            assert scene.keys is not None
            names = [node.name for node in scene.nodes[1:]]
            speaker = Liar(scene.keys.keyring("liar", plan.sites[0]), scene.gossip, names)
            await speaker.start()
        await asyncio.sleep(8.0 if plan.gossip else 0.0)  # till all know one another
        silent = scene.nodes[0]
        traffic = asyncio.get_running_loop().create_task(scene.play())
        starving = starve(scene, plan.seconds) if name == "starved" else asyncio.sleep(0)
        starved = asyncio.get_running_loop().create_task(starving)
        usage = [one.usage()[0] for one in scene.sidecars]
        await asyncio.sleep(plan.seconds / 4)
        begin_us, silent.trouble.silent = now_us(), True
        await asyncio.sleep(plan.seconds / 3)
        end_us, silent.trouble.silent = now_us(), False
        await traffic
        await starved
        cpu = sum(one.usage()[0] for one in scene.sidecars) - sum(usage)
        asked = sum(row.asked for row in table(scene.ledger))
        left_out = scene.sidecars[-1].name if name == "starved" else ""
        said = {record.request: record.status for record in scene.ledger if isinstance(record, Answered)}
        unserved = sum(
            said.get(record.request) != 200
            for record in scene.ledger
            if isinstance(record, Asked) and record.sidecar != left_out
        )
        owners = {
            record.request: record.sidecar
            for record in scene.ledger
            if hasattr(record, "sidecar") and hasattr(record, "request")
        }
        wasted = sorted(
            (record.at_us - begin_us, owners.get(record.request, ""))
            for record in scene.ledger
            if isinstance(record, Received)
            and record.node == silent.name
            and begin_us <= record.first_us < end_us
        )
        back = [
            record.at_us - end_us
            for record in scene.ledger
            if isinstance(record, Received) and record.node == silent.name and record.first_us >= end_us
        ]
        times = [round(wasted[int(share * len(wasted))][0] / 1e6, 2) for share in (0.5, 0.9) if wasted]
        by_sidecar = Counter(one for _, one in wasted)
        found: dict[str, object] = {
            "wasted": len(wasted),
            "by the worst sidecar": max(by_sidecar.values(), default=0),
            "half and nine tenths of them after, s": times,
            "requests": asked,
            "not served": unserved,
            "seconds till it has 50 requests again": round(back[49] / 1e6, 2) if len(back) > 49 else None,
            "CPU us a request": round(cpu / asked * 1e6),
            "breaches": len(scene.verdict()),
            "nodes": Counter(record.node for record in scene.ledger if isinstance(record, Received)),
        }
        if plan.gossip:
            states = [told(os.path.join(scene.folder.name, f"{one.name}.sock")) for one in scene.sidecars]
            seconds = plan.seconds + 8.0
            for name in ("bytes out", "packets out"):
                rates = [state["counts"].get(name, 0) / seconds for state in states]
                found[f"{name} a second and instance, mean and most"] = [
                    round(sum(rates) / len(rates)),
                    round(max(rates)),
                ]
            found["instances known"] = min(len(state["peers"]) + 1 for state in states)
            for count in ("deaths", "suspicions", "refutations"):
                found[count] = sum(state["counts"].get(count, 0) for state in states)
            found["held for dead at the end"] = Counter(
                peer["name"] for state in states for peer in state["peers"] if peer["life"] == "dead"
            )
        if speaker is not None:
            speaker.close()
        return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sidecars", type=int, default=50)
    parser.add_argument("--nodes", type=int, default=20)
    parser.add_argument("--rate", type=float, default=800.0, help="requests a second, all together")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--told", type=int, default=0, help="sidecars as the settings have it; 0 = as many")
    parser.add_argument("--plays", default="without,with,liar,again")
    asked = parser.parse_args()
    plan = Plan(
        nodes=asked.nodes,
        sidecars=asked.sidecars,
        instances=asked.told,
        rate=asked.rate,
        seconds=asked.seconds,
        seed=asked.seed,
        sockets=256,
        sites=("makati", "pasig", "cebu", "davao", "iloilo"),
        machine=Machine(cores=8, work_us=8_000),
        manners=Manners(tries=1),
    )
    # hazard: the collector walks the whole ledger; a stall of 280 ms of this loop, which is all clients and
    # all nodes, had 48 requests refused at once
    gc.disable()
    shares: dict[str, Counter[str]] = {}
    for name in asked.plays.split(","):
        found = uvloop.run(play(replace(plan, gossip=name != "without"), name))
        shares[name] = found.pop("nodes")  # type: ignore[assignment]
        print(name, json.dumps(found), flush=True)
    healthy = [f"node-{number}" for number in range(1, asked.nodes)]
    for one, other in (("liar", "with"), ("again", "with")):
        if one in shares and other in shares:
            kept = sorted(shares[one][node] / max(1, shares[other][node]) for node in healthy)
            total = sum(shares[one][node] for node in healthy) / sum(shares[other][node] for node in healthy)
            print(
                f"requests of a healthy node, {one} against {other}: least {kept[0]:.3f}, median "
                f"{kept[len(kept) // 2]:.3f}, all {total:.3f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
