"""Subsets of a large fleet: even over the fleet, stable, and wider when members are degraded."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from sidecar_proxy.balancer.events import (
    CloseIdle,
    ListKind,
    Outcome,
    Upstream,
    UpstreamState,
)
from sidecar_proxy.balancer.subsetting import SHRINK_DELAY_US, Subset
from tests.balancer.harness import START_US, BalancerHarness, settings

READ, MARK = 0, 2
MOST = 40


def new_subset(
    index: int, instances: int, count: int, most: int = 104, zones: int = 1, home: int = -1
) -> Subset:
    subset = Subset(index, instances, most, home, zones)
    for ident in range(count):
        subset.add(ident * 7919 + 3, ident % zones)
    return subset


def select_members(subset: Subset, now_us: int = 0) -> set[int]:
    subset.select(now_us, lambda ident: True)
    return set(subset.members)


@pytest.mark.parametrize(
    ("instances", "count", "size"),
    [(300, 10_000, 12), (300, 10_000, 52), (100, 1000, 30), (64, 777, 31), (1000, 500, 40)],
)
def test_every_upstream_is_in_equally_many_subsets(instances: int, count: int, size: int) -> None:
    counts: Counter[int] = Counter()
    subset = new_subset(0, instances, count)
    subset.target_size = size
    for index in range(instances):
        subset.index = index
        counts.update(select_members(subset))
    assert len(counts) == count
    assert max(counts.values()) - min(counts.values()) <= 1


def test_join_or_leave_moves_at_most_two_members() -> None:
    subset, rng = new_subset(17, 300, 5000), random.Random(2)
    before = select_members(subset)
    for _ in range(50):
        if rng.random() < 0.5:
            subset.remove(rng.choice(list(subset.zones)))
        else:
            subset.add(rng.randrange(10**9, 2 * 10**9), 0)
        after = select_members(subset)
        assert len(before ^ after) <= 4  # one off either end, and the one itself
        before = after


def test_subset_does_not_depend_on_the_order_of_the_list() -> None:
    first = new_subset(5, 300, 3000)
    second = Subset(5, 300, 104, -1)
    for ident in reversed(list(first.zones)):
        second.add(ident, 0)
    assert select_members(first) == select_members(second)


def test_home_zone_is_preferred_and_replaced_when_unusable() -> None:
    subset = new_subset(3, 300, 5000, zones=5, home=2)
    subset.target_size = 40
    well = select_members(subset)
    assert 30 <= sum(subset.zones[ident] == 2 for ident in well) < len(well)
    subset.select(0, lambda ident: subset.zones[ident] != 2)
    usable = [ident for ident in subset.members if subset.zones[ident] != 2]
    assert len(usable) >= 40
    assert len(subset.members) <= subset.max_members


def test_home_zone_is_covered_evenly_by_any_numbering_of_sidecars() -> None:
    for indexes in (range(75), range(0, 300, 4)):
        counts: Counter[int] = Counter()
        subset = new_subset(0, 300, 4000, zones=4, home=0)
        subset.target_size = 52
        for index in indexes:
            subset.index = index
            counts.update(ident for ident in select_members(subset) if subset.zones[ident] == 0)
        assert len(counts) == 1000
        assert max(counts.values()) <= 3 * min(counts.values())


def test_size_grows_at_once_and_shrinks_after_a_delay() -> None:
    subset = new_subset(0, 300, 5000)
    assert subset.resize(0, 30)
    assert subset.target_size == 52
    assert not subset.resize(1_000_000, 1)
    assert subset.resize(SHRINK_DELAY_US, 1)
    assert subset.target_size == 26
    assert not subset.resize(SHRINK_DELAY_US + 1_000_000, 1)
    assert subset.resize(2 * SHRINK_DELAY_US, 1)
    assert subset.target_size == 13


def test_unusable_fleet_is_not_walked_through() -> None:
    subset = new_subset(0, 300, 50_000)
    asked: list[int] = []

    def usable(ident: int) -> bool:
        asked.append(ident)
        return False

    subset.select(0, usable)
    assert len(asked) <= 20 * subset.max_members
    assert 0 < len(subset.members) <= subset.max_members


# In the decisions


def fleet_entries(count: int) -> list[Upstream]:
    return [Upstream(1000 + n, zone=n % 4, cell=n // 6) for n in range(count)]


def large_world(count: int = 400, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**{"max_upstreams": MOST, "instances": 20, **changes}))
    harness.update_list(fleet_entries(count))
    return harness


def serve_requests(
    harness: BalancerHarness, count: int, bad: set[int] | None = None, class_index: int = READ
) -> list[int]:
    """So many requests one after another; where each was sent."""
    went: list[int] = []
    for _ in range(count):
        request = harness.arrive(class_index)
        while harness.requests[request].in_flight():
            attempt = harness.requests[request].in_flight()[0]
            upstream = harness.requests[request].attempts[attempt].upstream
            went.append(upstream)
            harness.advance(5_000)
            harness.end(request, attempt, Outcome.ERROR if upstream in (bad or ()) else Outcome.OK)
    return went


def test_large_fleet_is_used_in_part_and_small_one_completely() -> None:
    assert len(set(serve_requests(large_world(), 300))) <= MOST // 2 + 1
    assert len(set(serve_requests(large_world(MOST, instances=3), 600))) == MOST


def test_removed_members_are_replaced_at_once() -> None:
    harness = large_world()
    used = set(harness.balancer.endpoint_list.subset.members)
    harness.update_list([one for one in fleet_entries(400) if one.id not in used])
    after = set(serve_requests(harness, 100))
    assert after
    assert not after & used
    assert len(harness.balancer.endpoints) <= MOST


def test_draining_members_are_replaced_and_get_nothing_more() -> None:
    harness = large_world()
    used = set(harness.balancer.endpoint_list.subset.members)
    out = [harness.arrive(READ) for _ in range(3)]
    drained = [
        Upstream(one.id, UpstreamState.DRAINING, one.zone, 0, one.cell)
        for one in fleet_entries(400)
        if one.id in used or one.id % 3 == 0
    ]  # a third of the fleet, and all that are used
    harness.update_list(drained, ListKind.DELTA)
    for request in out:
        harness.end(request, 0, Outcome.OK)
    after = set(serve_requests(harness, 100))
    assert after
    assert not after & {one.id for one in drained}
    assert all(harness.requests[request].response_count == 1 for request in out)


def test_failing_members_get_stand_ins_at_once_and_recover() -> None:
    harness = large_world()
    bad = set(harness.balancer.endpoint_list.subset.members)
    serve_requests(harness, 400, bad)
    late = serve_requests(harness, 100, bad)
    assert sum(upstream in bad for upstream in late) < 50
    assert len(harness.balancer.endpoint_list.subset.members) <= MOST
    harness.advance(30_000_000)
    serve_requests(harness, 2000)
    assert set(serve_requests(harness, 200)) & bad


def test_stand_ins_leave_when_the_members_have_recovered() -> None:
    """Without the mend they stayed until the list changed."""
    harness = large_world()
    before = set(harness.balancer.endpoint_list.subset.members)
    serve_requests(harness, 400, set(list(before)[::2]))
    assert len(harness.balancer.endpoint_list.subset.members) > len(before)
    for _ in range(60):
        serve_requests(harness, 40)
        harness.advance(1_000_000)
    assert set(harness.balancer.endpoint_list.subset.members) == before


def test_warming_members_get_stand_ins() -> None:
    harness = large_world()
    used = set(harness.balancer.endpoint_list.subset.members)
    fresh = [
        Upstream(one.id, UpstreamState.READY, one.zone, 0, one.cell, 1.0, harness.now_us)
        for one in fleet_entries(400)
        if one.id in used
    ]
    harness.update_list(fresh, ListKind.DELTA)
    assert len(harness.balancer.pool.warm) >= len(used) - 4


def test_deduplicated_repeat_uses_its_cell_beyond_the_subset() -> None:
    """Rule 2: of a cell the subset holds one or two at most."""
    harness = large_world(hedging_allowed=False)
    elsewhere = 0
    for _ in range(40):
        request = harness.arrive(MARK)
        first = harness.sends(request)[0].upstream
        harness.advance(5_000)
        harness.end(request, 0, Outcome.ERROR)
        tries = harness.requests[request].attempts
        assert len(tries) == 2
        assert tries[1].cell == tries[0].cell
        elsewhere += tries[1].upstream != first
        harness.advance(5_000)
        harness.end(request, 1, Outcome.OK)
    assert elsewhere >= 35
    harness.advance(10_000_000)
    assert len(harness.balancer.endpoints) <= MOST + 6  # what was used for one repeat only is forgotten


def test_two_thousand_replacements_in_a_minute_leave_no_state() -> None:
    harness = large_world(500)
    alive = fleet_entries(500)
    for step in range(2000):
        old = alive.pop(0)
        new = Upstream(100_000 + step, zone=step % 4, cell=step // 6)
        alive.append(new)
        harness.update_list(
            [Upstream(old.id, UpstreamState.GONE, old.zone, 0, old.cell), new], ListKind.DELTA
        )
        if step % 20 == 0:
            serve_requests(harness, 2)
        harness.advance(30_000)
    balancer = harness.balancer
    assert len(balancer.entries) == len(balancer.endpoint_list.subset) == 500
    assert sum(map(len, balancer.endpoint_list.cells.values())) == 500
    assert len(balancer.endpoints) <= MOST
    assert len(balancer.endpoint_list.subset.suspects) <= MOST
    assert set(balancer.endpoints) <= set(balancer.entries)


def test_idle_connections_to_former_members_are_closed() -> None:
    harness = large_world()
    harness.balancer.endpoint_list.subset.target_size = 20
    serve_requests(harness, 5)
    used = set(harness.balancer.endpoint_list.subset.members)
    harness.actions.clear()
    harness.update_list([Upstream(90_000 + n) for n in range(100)], ListKind.DELTA)
    left = used - set(harness.balancer.endpoint_list.subset.members)
    assert left
    assert {a.upstream for a in harness.actions if isinstance(a, CloseIdle)} == left


def test_last_entry_of_an_upstream_in_one_list_wins() -> None:
    harness = large_world()
    ident = next(iter(harness.balancer.endpoint_list.subset.members))
    one = harness.balancer.entries[ident]
    drained = Upstream(ident, UpstreamState.DRAINING, one.zone, 0, one.cell)
    harness.update_list([drained, one], ListKind.DELTA)
    assert ident in harness.balancer.endpoint_list.subset.members
    harness.update_list([one, drained], ListKind.DELTA)
    assert ident not in harness.balancer.endpoint_list.subset.members
    assert ident not in set(serve_requests(harness, 100))


def test_fleet_may_grow_and_shrink_across_the_bound() -> None:
    harness = large_world(MOST, instances=3)
    assert not harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 600))) == MOST
    harness.update_list(fleet_entries(200))
    assert harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 200))) <= MOST // 2 + 1
    harness.update_list(fleet_entries(MOST - 1))
    assert not harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 600))) == MOST - 1
    harness.advance(START_US // 100)
    assert serve_requests(harness, 1)


@pytest.mark.parametrize("home", [-1, 0, 1])
def test_single_zone_with_or_without_home_zone_makes_a_subset(home: int) -> None:
    subset = new_subset(5, 300, 1000, zones=1, home=home)
    assert len(select_members(subset)) >= subset.target_size
    for ident in list(subset.zones)[:-1]:
        subset.remove(ident)
    assert len(select_members(subset)) == 1
