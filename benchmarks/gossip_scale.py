"""Gossip in virtual time with 10, 100 and 1,000 instances: how fast, how many bytes, how often wrong.

    python -m benchmarks.gossip_scale [--sizes 10,100,1000] [--loss 0.05] [--chart FILE.svg]

The instances are the real ones with digests in place of signatures; a trip takes half to one and a half
milliseconds. An upstream fails for two attempts of a fifth of each site's instances and one more. Measured
are the time until the others suspect it (weight from 0.6); then bytes and packets at rest; and, with loss and
with one instance in a hundred starved besides, how many living peers are suspected and taken for dead. The
chart needs matplotlib.
"""

from __future__ import annotations

import argparse
import sys
import time

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.testbed.client_fleet import Fleet, Member

SITES = 5
MAX_JOIN_US = 120_000_000
REST_S = 20
STARVATION_S = 0.4  # per round, without CPU but for half a millisecond
STARVATION_ROUNDS = 75


def measure_join(fleet: Fleet) -> dict[str, float]:
    """Run until all instances know each other."""
    begin_us = fleet.now_us
    while not fleet.knows_all() and fleet.now_us - begin_us < MAX_JOIN_US:
        fleet.run(0.5)
    return {"all known after, s": (fleet.now_us - begin_us) / 1e6}


def measure_suspicion(fleet: Fleet, count: int) -> dict[str, float]:
    """Let an upstream fail and measure when the others suspect it."""
    begin_us = fleet.now_us
    max_reporting = max(1, count // SITES // 5)
    reporting = [member for number, member in enumerate(fleet.all()) if number // SITES <= max_reporting]
    for member in reporting:
        for _ in range(2):
            fleet.attempt(member, "n1", Outcome.TIMEOUT)
    fleet.run(4.0)
    delays_s = sorted(
        (member.heard_us["n1"] - begin_us) / 1e6 for member in fleet.all() if "n1" in member.heard_us
    )
    results: dict[str, float] = {"reporting": len(reporting), "suspected by": len(delays_s)}
    if delays_s:
        results["half after, s"] = delays_s[len(delays_s) // 2]
        results["99 in 100 after, s"] = delays_s[int(0.99 * len(delays_s))]
    return results


def measure_rest(fleet: Fleet) -> dict[str, float]:
    """Measure the traffic of a fleet in which nothing happens."""
    fleet.run(12.0)  # until the reports have expired
    for member in fleet.all():
        member.instance.core.dissemination.queue.clear()  # the joins: n of them, log n times each
    before = [member.instance.counts.copy() for member in fleet.all()]
    fleet.run(REST_S)
    results = {}
    for name in ("packets out", "bytes out"):
        rates = [
            (member.instance.counts[name] - counts[name]) / REST_S
            for member, counts in zip(fleet.all(), before, strict=True)
        ]
        results[f"{name} a second at rest"] = sum(rates) / len(rates)
    return results


def measure_errors(fleet: Fleet, count: int, starved: list[Member], condition: str) -> dict[str, float]:
    """Measure wrong suspicions and deaths while some instances are starved."""
    starved_names = {member.instance.core.name for member in starved}
    suspicions = fleet.counted("suspicions")
    for _ in range(STARVATION_ROUNDS):
        for member in starved:
            member.asleep_until_us = fleet.now_us + 399_500
        fleet.run(STARVATION_S)
    hours = STARVATION_ROUNDS * STARVATION_S / 3600
    pairs = count * (count - 1)
    dead_pairs = sum(
        peer.name not in starved_names
        for member in fleet.all()
        if member not in starved
        for peer in member.instance.core.members.dead_peers()
    )
    return {
        f"suspicions an hour and peer, {condition}": (fleet.counted("suspicions") - suspicions)
        / (hours * pairs),
        f"pairs dead at the end, of those not starved, {condition}": dead_pairs,
    }


def play(count: int, loss: float, seed: int) -> dict[str, float]:
    """Measure a fleet of a size."""
    fleet = Fleet(count, SITES, seed, cheap=True)
    results = measure_join(fleet)
    fleet.run(2.0)
    results |= measure_suspicion(fleet, count)
    results |= measure_rest(fleet)
    fleet.loss = loss
    results |= measure_errors(fleet, count, [], "loss")
    results |= measure_errors(fleet, count, fleet.all()[::100], "loss and one in a hundred starved")
    return results


def draw_chart(rows: dict[int, dict[str, float]], path: str) -> None:
    """Draw the chart of docs/design/gossip.svg."""
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    sizes = list(rows)
    for name in ("half after, s", "99 in 100 after, s"):
        left.plot(sizes, [rows[size].get(name, float("nan")) for size in sizes], marker="o", label=name)
    right.plot(sizes, [rows[size]["bytes out a second at rest"] for size in sizes], marker="o")
    titles = ((left, "an upstream suspected"), (right, "bytes a second and instance, at rest"))
    for axes, title in titles:
        axes.set(xscale="log", title=title, xlabel="instances", ylim=(0, None))
    left.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Measure and print each size."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", default="10,100,1000")
    parser.add_argument("--loss", type=float, default=0.05)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--chart")
    arguments = parser.parse_args()
    rows = {}
    for size in map(int, arguments.sizes.split(",")):
        began_s = time.process_time()
        rows[size] = play(size, arguments.loss, arguments.seed)
        cpu_s = time.process_time() - began_s
        print(f"{size} instances, seed {arguments.seed} ({cpu_s:.0f} s of CPU)")
        for name, value in rows[size].items():
            print(f"    {name}: {value:.2f}")
        sys.stdout.flush()
    if arguments.chart:
        draw_chart(rows, arguments.chart)
    return 0


if __name__ == "__main__":
    sys.exit(main())
