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

SIDECARS, UPSTREAMS, MOST = 300, 10_000, 104
Load = defaultdict[int, float]


def give(loads: Load, members: Iterable[int]) -> None:
    """One sidecar's load, in equal parts."""
    listed = list(members)
    for ident in listed:
        loads[ident] += 1 / len(listed)


def in_blocks(index: int) -> int:
    return index * 5 // SIDECARS


def in_turn(index: int) -> int:
    return index % 5


def build(index: int, zones: int, home: int, size: int, instances: int = SIDECARS) -> Subset:
    one = Subset(index, instances, MOST, home, zones)
    one.target_size = size
    dice = random.Random(1)
    for _ in range(UPSTREAMS):
        ident = dice.randrange(1 << 32)
        one.add(ident, ident % zones)
    one.select(0, lambda ident: True)
    return one


def by_rendezvous(index: int, size: int, idents: list[int]) -> list[int]:
    """For comparison: the highest of a digest by sidecar and upstream."""
    dice = random.Random(index)
    return dice.sample(idents, size)  # which is what a good digest amounts to


def show(title: str, loads: Load, moved: str = "") -> None:
    mean = sum(loads.values()) / UPSTREAMS
    unused = 1 - len(loads) / UPSTREAMS
    busiest = max(loads.values()) / mean
    print(f"{title:<58} busiest {busiest:5.2f} times the mean, {unused:6.1%} unused{moved}")


def main() -> None:
    for size in (12, 24, 40, 52):
        loads: Load = defaultdict(float)
        for index in range(SIDECARS):
            members = list(build(index, 1, -1, size).members)
            give(loads, members)
        one = build(7, 1, -1, size)
        before, moves = set(one.members), []
        dice = random.Random(3)
        for _ in range(200):
            if dice.random() < 0.5:
                one.add(dice.randrange(1 << 32), 0)
            else:
                one.remove(dice.choice(list(one.zones)))
            one.select(0, lambda ident: True)
            moves.append(len(set(one.members) - before))
            before = set(one.members)
        show(
            f"no zones, {size} wanted, {len(before)} used",
            loads,
            f"; a change moves {sum(moves) / len(moves):.2f} in the mean, {max(moves)} at most",
        )
    idents = list(build(0, 1, -1, 12).zones)
    loads = defaultdict(float)
    for index in range(SIDECARS):
        give(loads, by_rendezvous(index, 52, idents))
    show("for comparison, rendezvous hashing, 52 used", loads)
    for title, zone_of in (
        ("sidecars of a site one after another", in_blocks),
        ("sidecars of the sites in turn", in_turn),
    ):
        loads = defaultdict(float)
        for index in range(SIDECARS):
            members = list(build(index, 5, zone_of(index), 52).members)
            give(loads, members)
        show(f"5 sites, own site preferred, 52 wanted, {title}", loads)


if __name__ == "__main__":
    main()
