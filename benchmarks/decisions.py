"""CPU time of the decisions for one request (an arrival and its end), by the size of the fleet.

    python -m benchmarks.decisions [--requests 2000] [--old FILE]

CPU time, and each size against 16 upstreams in the same run, so that a busy machine says little. `--old`
times another balancer.py (of an earlier commit, say, in one file) beside this one.
"""

from __future__ import annotations

import argparse
import gc
import importlib.util
import random
import resource
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer

SIZES = (4, 16, 64, 256, 1000, 10_000)
START_US = 1_000_000_000


def settings(instances: int, max_upstreams: int = 0) -> api.Settings:
    """Return the settings of a fleet of so many sidecars."""
    return api.Settings(
        [
            api.RequestClass("buy", 400_000, 1_200_000, 10.0, 0.3, effect="at_most_once"),
            api.RequestClass(
                "topup",
                750_000,
                4_000_000,
                8.0,
                0.5,
                effect="deduplicated",
                group="cell",
                deduplication_window_us=8_000_000,
            ),
        ],
        instances=instances,
        max_attempts=4,
        cold_share=0.3,
        warm_up_us=5_000_000,
        overload_factor=2.5,
        fall_us=2_000_000,
        max_retry_after_us=2_000_000,
        max_upstreams=max_upstreams,
    )


def entries(count: int) -> list[api.Upstream]:
    """Return a list of ready upstreams, in five zones and in cells of six."""
    return [api.Upstream(7919 * n + 13, zone=n % 5, cell=n // 6) for n in range(count)]


def time_requests(
    make: Callable[[api.Settings, int, int], Any], count: int, instances: int, requests: int, most: int = 0
) -> float:
    """CPU microseconds a request, with a few out at any time and one failure in 50."""
    rng, now_us = random.Random(5), START_US
    balancer = make(settings(instances, most), 3, now_us)
    balancer.handle(now_us, api.UpstreamsUpdated(api.ListKind.FULL, entries(count)))
    out: list[tuple[int, int, int]] = []
    spent, timed = 0, 0
    warm_up = min(300, requests // 3)
    for ident in range(1, requests + warm_up + 1):
        now_us += 3_000
        arrival = api.RequestArrived(ident, now_us + 1_000_000, rng.randrange(2))
        ended = None
        if len(out) >= 4:
            request, upstream, sent_us = out.pop(0)
            outcome = api.Outcome.ERROR if rng.random() < 0.02 else api.Outcome.OK
            ended = api.AttemptEnded(request, 0, upstream, outcome, now_us - sent_us, True)
        begin = time.process_time_ns()
        actions = balancer.handle(now_us, arrival)
        if ended is not None:
            actions += balancer.handle(now_us, ended)
        if ident > warm_up:
            spent += time.process_time_ns() - begin
            timed += 1
        out += [(a.request, a.upstream, now_us) for a in actions if isinstance(a, api.Send)]
    return spent / timed / 1000


def time_change(count: int, most: int, changes: int = 500) -> float:
    """CPU microseconds for a list change of one entry among `count`: a drain, or that one's return."""
    balancer, now_us = Balancer(settings(3 if not most else 300, most), 3, START_US), START_US
    listed = entries(count)
    balancer.handle(now_us, api.UpstreamsUpdated(api.ListKind.FULL, listed))
    rng, spent = random.Random(9), 0
    for _ in range(changes):
        one = listed[rng.randrange(count)]
        for state in (api.UpstreamState.DRAINING, api.UpstreamState.READY):
            now_us += 10_000
            entry = api.Upstream(one.id, state, one.zone, one.kind, one.cell)
            begin = time.process_time_ns()
            balancer.handle(now_us, api.UpstreamsUpdated(api.ListKind.DELTA, [entry]))
            spent += time.process_time_ns() - begin
    return spent / (2 * changes) / 1000


def memory(count: int, most: int) -> float:
    """MB that one balancer's knowledge of `count` upstreams takes, by the process's resident size."""
    gc.collect()
    page = resource.getpagesize()

    def resident() -> int:
        return int(Path("/proc/self/statm").read_text().split()[1]) * page

    before = resident()
    balancer = Balancer(settings(300, most), 3, START_US)
    balancer.handle(START_US, api.UpstreamsUpdated(api.ListKind.FULL, entries(count)))
    gc.collect()
    grown = resident() - before
    del balancer
    return grown / 1e6


def load(path: str) -> Callable[[api.Settings, int, int], Any]:
    """Return the Balancer class of a source file."""
    spec = importlib.util.spec_from_file_location("old_balancer", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["old_balancer"] = module
    spec.loader.exec_module(module)
    made: Callable[[api.Settings, int, int], Any] = module.Balancer
    return made


def main() -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--old", help="an earlier balancer.py, timed in the same run")
    arguments = parser.parse_args()
    makes: dict[str, Callable[[api.Settings, int, int], Any]] = {"now": Balancer}
    if arguments.old:
        makes["old"] = load(arguments.old)
    print(
        "memory of 1,000 and 10,000 upstreams: "
        + ", ".join(
            f"{memory(count, most):.1f} MB ({'all used' if not most else f'subset of {most}'})"
            for count, most in ((1000, 0), (1000, 104), (10_000, 0), (10_000, 104))
        )
    )
    print("us CPU a request; in brackets against 16 upstreams of the same column")
    columns: list[tuple[str, Callable[[int], int], str, int]] = [
        (f"{name}, {label}", count, name, most)
        for name in makes
        for label, count, most in (
            ("3 instances", lambda n: 3, 0),
            ("n/3 instances", lambda n: max(1, n // 3), 0),
            ("300, subset of 104", lambda n: 300, 104),
        )
        if not (most and name == "old")
    ]
    print(f"{'upstreams':>10} " + " ".join(f"{title:>26}" for title, *_ in columns))
    base: dict[str, float] = {}
    for size in SIZES:
        cells = []
        for title, instances, name, most in columns:
            # what grows with the square of the fleet is timed on fewer requests
            fewer_requests = max(3, 60_000 // size // size * 3)
            requests = arguments.requests if name == "now" or size <= 64 else fewer_requests
            cost = time_requests(makes[name], size, instances(size), requests, most)
            if size == 16:
                base[title] = cost
            against = f"({cost / base[title]:8.2f})" if title in base else " " * 10
            cells.append(f"{cost:14.0f} {against}")
        print(f"{size:>10} " + " ".join(f"{cell:>26}" for cell in cells), flush=True)
    print(
        "one entry changed among 10,000: "
        + ", ".join(
            f"{time_change(10_000, most):.0f} us CPU ({'all used' if not most else f'subset of {most}'})"
            for most in (0, 104, 488)
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
