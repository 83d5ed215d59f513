"""What gossip saves when a node falls silent, and what a liar can take: real sidecars under the lab's load.

    python -m benchmarks.gossip [--sidecars 50] [--nodes 20] [--rate 800] [--seconds 40] [--seed 1]
        [--told 0]

The same seed four times: without gossip, with it, with it and one certified instance that says without end of
every node that it is silent, and once more with it (what chance alone makes of a node's share). A node falls
silent at a quarter of the time, for a third of it. Wasted are the requests that it takes while silent.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import socket
import sys
from collections import Counter
from dataclasses import replace

import uvloop

from wickspread.lab.capacity import Machine
from wickspread.lab.checker import table
from wickspread.lab.clients import Manners
from wickspread.lab.ledger import Received, now_us
from wickspread.lab.scene import Plan, Scene


def told(path: str) -> dict[str, dict[str, int]]:
    """What a sidecar says of its gossip."""
    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(5.0)
        one.connect(path)
        with one.makefile("rb") as file:
            found: dict[str, dict[str, int]] = json.loads(file.read())
            return found


async def play(plan: Plan, liar: bool) -> dict[str, object]:
    async with Scene(plan) as scene:
        speaker = None
        if liar:
            from wickspread.lab.gossip import Liar

            assert scene.keys is not None
            names = [node.name for node in scene.nodes[1:]]
            speaker = Liar(scene.keys.keyring("liar", plan.sites[0]), scene.gossip, names)
            await speaker.start()
        await asyncio.sleep(8.0 if plan.gossip else 0.0)  # till all know one another
        silent = scene.nodes[0]
        traffic = asyncio.get_running_loop().create_task(scene.play())
        usage = [one.usage()[0] for one in scene.sidecars]
        await asyncio.sleep(plan.seconds / 4)
        begin_us, silent.trouble.silent = now_us(), True
        await asyncio.sleep(plan.seconds / 3)
        end_us, silent.trouble.silent = now_us(), False
        await traffic
        cpu = sum(one.usage()[0] for one in scene.sidecars) - sum(usage)
        asked = sum(row.asked for row in table(scene.ledger))
        owners = {record.request: record.sidecar for record in scene.ledger if hasattr(record, "sidecar")
                  and hasattr(record, "request")}
        wasted = sorted((record.at_us - begin_us, owners.get(record.request, "")) for record in scene.ledger
                        if isinstance(record, Received) and record.node == silent.name
                        and begin_us <= record.first_us < end_us)
        back = [record.at_us - end_us for record in scene.ledger if isinstance(record, Received)
                and record.node == silent.name and record.first_us >= end_us]
        times = [round(wasted[int(share * len(wasted))][0] / 1e6, 2) for share in (0.5, 0.9) if wasted]
        by_sidecar = Counter(one for _, one in wasted)
        found: dict[str, object] = {
            "wasted": len(wasted), "by the worst sidecar": max(by_sidecar.values(), default=0),
            "half and nine tenths of them after, s": times,
            "requests": asked, "not served": asked - sum(row.served for row in table(scene.ledger)),
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
                found[f"{name} a second and instance, mean and most"] = [round(sum(rates) / len(rates)),
                                                                         round(max(rates))]
            found["instances known"] = min(len(state["peers"]) + 1 for state in states)
            found["deaths"] = sum(state["counts"].get("deaths", 0) for state in states)
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
    plan = Plan(nodes=asked.nodes, sidecars=asked.sidecars, instances=asked.told, rate=asked.rate,
                seconds=asked.seconds, seed=asked.seed, sockets=256,
                sites=("makati", "pasig", "cebu", "davao", "iloilo"),
                machine=Machine(cores=8, work_us=8_000), manners=Manners(tries=1))
    # hazard: the collector walks the whole ledger; a stall of 280 ms of this loop, which is all clients and
    # all nodes, had 48 requests refused at once
    gc.disable()
    shares: dict[str, Counter[str]] = {}
    for name in asked.plays.split(","):
        found = uvloop.run(play(replace(plan, gossip=name != "without"), name == "liar"))
        shares[name] = found.pop("nodes")  # type: ignore[assignment]
        print(name, json.dumps(found), flush=True)
    healthy = [f"node-{number}" for number in range(1, asked.nodes)]
    for one, other in (("liar", "with"), ("again", "with")):
        if one in shares and other in shares:
            kept = sorted(shares[one][node] / max(1, shares[other][node]) for node in healthy)
            total = sum(shares[one][node] for node in healthy) / sum(shares[other][node] for node in healthy)
            print(f"requests of a healthy node, {one} against {other}: least {kept[0]:.3f}, median "
                  f"{kept[len(kept) // 2]:.3f}, all {total:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
