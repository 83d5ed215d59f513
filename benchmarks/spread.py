"""How evenly 300 sidecars use 10,000 upstreams, by the subset code itself; no traffic is played.

    python -m benchmarks.spread

Each sidecar gives its members one share of load together. Shown: the busiest upstream against the mean, the
share of upstreams that nobody uses, and how many members move when one upstream joins or leaves.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable

from sidecar_proxy.balancer.subsetting import Subset

SIDECARS = 300
UPSTREAMS = 10_000
MAX_MEMBERS = 104
Load = defaultdict[int, float]


def add_load(loads: Load, members: Iterable[int]) -> None:
    """Add one sidecar's load to its members, in equal parts."""
    listed = list(members)
    for ident in listed:
        loads[ident] += 1 / len(listed)


def consecutive_zone(index: int) -> int:
    """Return a sidecar's zone where each zone's sidecars are numbered consecutively."""
    return index * 5 // SIDECARS


def alternating_zone(index: int) -> int:
    """Return a sidecar's zone where the zones' sidecars are numbered in turn."""
    return index % 5


def new_subset(index: int, zones: int, home: int, size: int, instances: int = SIDECARS) -> Subset:
    """Return a sidecar's subset of random upstreams, selected."""
    subset = Subset(index, instances, MAX_MEMBERS, home, zones)
    subset.target_size = size
    rng = random.Random(1)
    for _ in range(UPSTREAMS):
        ident = rng.randrange(1 << 32)
        subset.add(ident, ident % zones)
    subset.select(0, lambda ident: True)
    return subset


def by_rendezvous(index: int, size: int, idents: list[int]) -> list[int]:
    """Return the members that rendezvous hashing would give, for comparison."""
    rng = random.Random(index)
    return rng.sample(idents, size)  # a good hash amounts to this


def show(title: str, loads: Load, moved: str = "") -> None:
    """Print one row."""
    mean = sum(loads.values()) / UPSTREAMS
    unused = 1 - len(loads) / UPSTREAMS
    busiest = max(loads.values()) / mean
    print(f"{title:<58} busiest {busiest:5.2f} times the mean, {unused:6.1%} unused{moved}")


def main() -> None:
    """Print all rows."""
    for size in (12, 24, 40, 52):
        loads: Load = defaultdict(float)
        for index in range(SIDECARS):
            members = list(new_subset(index, 1, -1, size).members)
            add_load(loads, members)
        subset = new_subset(7, 1, -1, size)
        before, moves = set(subset.members), []
        rng = random.Random(3)
        for _ in range(200):
            if rng.random() < 0.5:
                subset.add(rng.randrange(1 << 32), 0)
            else:
                subset.remove(rng.choice(list(subset.zones)))
            subset.select(0, lambda ident: True)
            moves.append(len(set(subset.members) - before))
            before = set(subset.members)
        show(
            f"no zones, {size} wanted, {len(before)} used",
            loads,
            f"; a change moves {sum(moves) / len(moves):.2f} in the mean, {max(moves)} at most",
        )
    idents = list(new_subset(0, 1, -1, 12).zones)
    loads = defaultdict(float)
    for index in range(SIDECARS):
        add_load(loads, by_rendezvous(index, 52, idents))
    show("for comparison, rendezvous hashing, 52 used", loads)
    for title, zone_of in (
        ("sidecars of a zone one after another", consecutive_zone),
        ("sidecars of the zones in turn", alternating_zone),
    ):
        loads = defaultdict(float)
        for index in range(SIDECARS):
            members = list(new_subset(index, 5, zone_of(index), 52).members)
            add_load(loads, members)
        show(f"5 zones, home zone preferred, 52 wanted, {title}", loads)


if __name__ == "__main__":
    main()
