"""Gossip in virtual time with 10, 100 and 1,000 instances: how fast, how many bytes, how often wrong.

    python -m benchmarks.gossip_scale [--sizes 10,100,1000] [--loss 0.05] [--chart FILE.svg]

The instances are the real ones with digests in place of signatures; trips take half to one and a half
milliseconds. A node fails for two attempts of a fifth of each site, and one more of it; measured is when the
others suspect it (weight from 0.6), and after it bytes and packets at rest, and with loss and one starved in
a hundred how many are suspected and held for dead who live. The chart needs matplotlib.
"""

from __future__ import annotations

import argparse
import sys
import time

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.testbed.client_fleet import Fleet

SITES = 5


def play(count: int, loss: float, seed: int) -> dict[str, float]:
    fleet = Fleet(count, SITES, seed, cheap=True)
    begin_us = fleet.now_us
    while not fleet.knows_all() and fleet.now_us - begin_us < 120_000_000:
        fleet.run(0.5)
    found = {"all known after, s": (fleet.now_us - begin_us) / 1e6}
    fleet.run(2.0)
    begin_us = fleet.now_us
    tellers = [
        one for number, one in enumerate(fleet.all()) if number // SITES <= max(1, count // SITES // 5)
    ]
    for one in tellers:
        for _ in range(2):
            fleet.attempt(one, "n1", Outcome.TIMEOUT)
    fleet.run(4.0)
    heard = sorted((one.heard_us["n1"] - begin_us) / 1e6 for one in fleet.all() if "n1" in one.heard_us)
    found |= {"tellers": len(tellers), "suspected by": len(heard)}
    if heard:
        found["half after, s"] = heard[len(heard) // 2]
        found["99 in 100 after, s"] = heard[int(0.99 * len(heard))]
    fleet.run(12.0)  # what was told of the node has faded
    for one in fleet.all():
        one.instance.core.rumours.clear()  # those of the start go on for a while: n of them, log n times each
    before = [one.instance.counts.copy() for one in fleet.all()]
    fleet.run(20.0)
    for name in ("packets out", "bytes out"):
        rates = [
            (one.instance.counts[name] - old[name]) / 20 for one, old in zip(fleet.all(), before, strict=True)
        ]
        found[f"{name} a second at rest"] = sum(rates) / len(rates)
    fleet.loss = loss
    for what, starved in (("loss", []), ("loss and one in a hundred starved", fleet.all()[::100])):
        names = {one.instance.core.name for one in starved}
        was = fleet.counted("suspicions")
        for _ in range(75):
            for one in starved:
                one.asleep_until_us = fleet.now_us + 399_500
            fleet.run(0.4)
        found[f"suspicions an hour and peer, {what}"] = (fleet.counted("suspicions") - was) / (
            30 / 3600 * count * (count - 1)
        )
        found[f"pairs held for dead at the end, of those not starved, {what}"] = sum(
            peer.name not in names and peer.life.value == "dead"
            for one in fleet.all()
            if one not in starved
            for peer in one.instance.core.peers.values()
        )
    return found


def chart(rows: dict[int, dict[str, float]], path: str) -> None:
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    sizes = list(rows)
    for name in ("half after, s", "99 in 100 after, s"):
        left.plot(sizes, [rows[size].get(name, float("nan")) for size in sizes], marker="o", label=name)
    right.plot(sizes, [rows[size]["bytes out a second at rest"] for size in sizes], marker="o")
    for axes, title in ((left, "a node suspected"), (right, "bytes a second and instance, at rest")):
        axes.set(xscale="log", title=title, xlabel="instances", ylim=(0, None))
    left.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", default="10,100,1000")
    parser.add_argument("--loss", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--chart")
    asked = parser.parse_args()
    rows = {}
    for size in map(int, asked.sizes.split(",")):
        began = time.process_time()
        rows[size] = play(size, asked.loss, asked.seed)
        print(f"{size} instances, seed {asked.seed} ({time.process_time() - began:.0f} s of CPU)")
        for name, value in rows[size].items():
            print(f"    {name}: {value:.2f}")
        sys.stdout.flush()
    if asked.chart:
        chart(rows, asked.chart)
    return 0


if __name__ == "__main__":
    sys.exit(main())
