"""Subsets of a large fleet: evenly distributed, stable, and larger while members are degraded."""

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
MAX_MEMBERS = 40


def new_subset(
    index: int, instances: int, count: int, max_members: int = 104, zone_count: int = 1, home_zone: int = -1
) -> Subset:
    subset = Subset(index, instances, max_members, home_zone, zone_count)
    for upstream in range(count):
        subset.add(upstream * 7919 + 3, upstream % zone_count)
    return subset


def select_members(subset: Subset, now_us: int = 0) -> set[int]:
    subset.select(now_us, lambda upstream: True)
    return set(subset.members)


@pytest.mark.parametrize(
    ("instances", "count", "target_size"),
    [(300, 10_000, 12), (300, 10_000, 52), (100, 1000, 30), (64, 777, 31), (1000, 500, 40)],
)
def test_every_upstream_is_in_equally_many_subsets(instances: int, count: int, target_size: int) -> None:
    counts: Counter[int] = Counter()
    subset = new_subset(0, instances, count)
    subset.target_size = target_size
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
        assert len(before ^ after) <= 4  # two members leave and two join at most
        before = after


def test_subset_does_not_depend_on_the_order_of_the_list() -> None:
    first = new_subset(5, 300, 3000)
    second = Subset(5, 300, 104, -1)
    for upstream in reversed(list(first.zones)):
        second.add(upstream, 0)
    assert select_members(first) == select_members(second)


def test_home_zone_is_preferred_and_replaced_when_unusable() -> None:
    subset = new_subset(3, 300, 5000, zone_count=5, home_zone=2)
    subset.target_size = 40
    usable_members = select_members(subset)
    assert 30 <= sum(subset.zones[upstream] == 2 for upstream in usable_members) < len(usable_members)
    subset.select(0, lambda upstream: subset.zones[upstream] != 2)
    selected_usable = [upstream for upstream in subset.members if subset.zones[upstream] != 2]
    assert len(selected_usable) >= 40
    assert len(subset.members) <= subset.max_members


def test_home_zone_is_covered_evenly_by_any_numbering_of_sidecars() -> None:
    for indexes in (range(75), range(0, 300, 4)):
        counts: Counter[int] = Counter()
        subset = new_subset(0, 300, 4000, zone_count=4, home_zone=0)
        subset.target_size = 52
        for index in indexes:
            subset.index = index
            counts.update(upstream for upstream in select_members(subset) if subset.zones[upstream] == 0)
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


def test_selection_in_an_unusable_fleet_examines_few_upstreams() -> None:
    subset = new_subset(0, 300, 50_000)
    examined: list[int] = []

    def is_usable(upstream: int) -> bool:
        examined.append(upstream)
        return False

    subset.select(0, is_usable)
    assert len(examined) <= 20 * subset.max_members
    assert 0 < len(subset.members) <= subset.max_members


# Subsets in the balancer


def fleet_entries(count: int) -> list[Upstream]:
    return [Upstream(1000 + n, zone=n % 4, cell=n // 6) for n in range(count)]


def large_world(count: int = 400, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**{"max_upstreams": MAX_MEMBERS, "instances": 20, **changes}))
    harness.update_list(fleet_entries(count))
    return harness


def serve_requests(
    harness: BalancerHarness, count: int, failing: set[int] | None = None, class_index: int = READ
) -> list[int]:
    """Send `count` requests one after another, and return the upstream of each attempt."""
    attempted_upstreams: list[int] = []
    for _ in range(count):
        request = harness.arrive(class_index)
        while harness.requests[request].in_flight():
            attempt = harness.requests[request].in_flight()[0]
            upstream = harness.requests[request].attempts[attempt].upstream
            attempted_upstreams.append(upstream)
            harness.advance(5_000)
            harness.end(request, attempt, Outcome.ERROR if upstream in (failing or ()) else Outcome.OK)
    return attempted_upstreams


def test_large_fleet_is_used_in_part_and_small_one_completely() -> None:
    assert len(set(serve_requests(large_world(), 300))) <= MAX_MEMBERS // 2 + 1
    assert len(set(serve_requests(large_world(MAX_MEMBERS, instances=3), 600))) == MAX_MEMBERS


def test_removed_members_are_replaced_at_once() -> None:
    harness = large_world()
    former_members = set(harness.balancer.endpoint_list.subset.members)
    harness.update_list([entry for entry in fleet_entries(400) if entry.id not in former_members])
    after = set(serve_requests(harness, 100))
    assert after
    assert not after & former_members
    assert len(harness.balancer.endpoints) <= MAX_MEMBERS


def test_draining_members_are_replaced_and_get_nothing_more() -> None:
    harness = large_world()
    former_members = set(harness.balancer.endpoint_list.subset.members)
    in_flight_requests = [harness.arrive(READ) for _ in range(3)]
    drained = [
        Upstream(entry.id, UpstreamState.DRAINING, entry.zone, 0, entry.cell)
        for entry in fleet_entries(400)
        if entry.id in former_members or entry.id % 3 == 0
    ]  # a third of the fleet, and all members
    harness.update_list(drained, ListKind.DELTA)
    for request in in_flight_requests:
        harness.end(request, 0, Outcome.OK)
    after = set(serve_requests(harness, 100))
    assert after
    assert not after & {entry.id for entry in drained}
    assert all(harness.requests[request].response_count == 1 for request in in_flight_requests)


def test_failing_members_are_replaced_at_once_and_recover() -> None:
    harness = large_world()
    failing = set(harness.balancer.endpoint_list.subset.members)
    serve_requests(harness, 400, failing)
    later_upstreams = serve_requests(harness, 100, failing)
    assert sum(upstream in failing for upstream in later_upstreams) < 50
    assert len(harness.balancer.endpoint_list.subset.members) <= MAX_MEMBERS
    harness.advance(30_000_000)
    serve_requests(harness, 2000)
    assert set(serve_requests(harness, 200)) & failing


def test_replacements_leave_when_the_members_have_recovered() -> None:
    """Without periodic selection, replacements would stay members until the list changes."""
    harness = large_world()
    before = set(harness.balancer.endpoint_list.subset.members)
    serve_requests(harness, 400, set(list(before)[::2]))
    assert len(harness.balancer.endpoint_list.subset.members) > len(before)
    for _ in range(60):
        serve_requests(harness, 40)
        harness.advance(1_000_000)
    assert set(harness.balancer.endpoint_list.subset.members) == before


def test_warming_members_are_replaced() -> None:
    harness = large_world()
    former_members = set(harness.balancer.endpoint_list.subset.members)
    restarted = [
        Upstream(entry.id, UpstreamState.READY, entry.zone, 0, entry.cell, 1.0, harness.now_us)
        for entry in fleet_entries(400)
        if entry.id in former_members
    ]
    harness.update_list(restarted, ListKind.DELTA)
    assert len(harness.balancer.pool.warm) >= len(former_members) - 4


def test_deduplicated_repeat_uses_its_cell_beyond_the_subset() -> None:
    """Rule 2: a subset has one or two upstreams of a cell at most, too few for repeats."""
    harness = large_world(hedging_allowed=False)
    sent_elsewhere = 0
    for _ in range(40):
        request = harness.arrive(MARK)
        first_upstream = harness.sends(request)[0].upstream
        harness.advance(5_000)
        harness.end(request, 0, Outcome.ERROR)
        attempts = harness.requests[request].attempts
        assert len(attempts) == 2
        assert attempts[1].cell == attempts[0].cell
        sent_elsewhere += attempts[1].upstream != first_upstream
        harness.advance(5_000)
        harness.end(request, 1, Outcome.OK)
    assert sent_elsewhere >= 35
    harness.advance(10_000_000)
    # endpoints that were used for one repeat only are removed
    assert len(harness.balancer.endpoints) <= MAX_MEMBERS + 6


def test_two_thousand_replacements_in_a_minute_leave_no_state() -> None:
    harness = large_world(500)
    listed = fleet_entries(500)
    for step in range(2000):
        old = listed.pop(0)
        new = Upstream(100_000 + step, zone=step % 4, cell=step // 6)
        listed.append(new)
        harness.update_list(
            [Upstream(old.id, UpstreamState.GONE, old.zone, 0, old.cell), new], ListKind.DELTA
        )
        if step % 20 == 0:
            serve_requests(harness, 2)
        harness.advance(30_000)
    balancer = harness.balancer
    assert len(balancer.entries) == len(balancer.endpoint_list.subset) == 500
    assert sum(map(len, balancer.endpoint_list.cells.values())) == 500
    assert len(balancer.endpoints) <= MAX_MEMBERS
    assert len(balancer.endpoint_list.subset.suspects) <= MAX_MEMBERS
    assert set(balancer.endpoints) <= set(balancer.entries)


def test_idle_connections_to_former_members_are_closed() -> None:
    harness = large_world()
    harness.balancer.endpoint_list.subset.target_size = 20
    serve_requests(harness, 5)
    former_members = set(harness.balancer.endpoint_list.subset.members)
    harness.actions.clear()
    harness.update_list([Upstream(90_000 + n) for n in range(100)], ListKind.DELTA)
    left = former_members - set(harness.balancer.endpoint_list.subset.members)
    assert left
    assert {action.upstream for action in harness.actions if isinstance(action, CloseIdle)} == left


def test_last_entry_of_an_upstream_in_one_list_wins() -> None:
    harness = large_world()
    upstream = next(iter(harness.balancer.endpoint_list.subset.members))
    entry = harness.balancer.entries[upstream]
    drained = Upstream(upstream, UpstreamState.DRAINING, entry.zone, 0, entry.cell)
    harness.update_list([drained, entry], ListKind.DELTA)
    assert upstream in harness.balancer.endpoint_list.subset.members
    harness.update_list([entry, drained], ListKind.DELTA)
    assert upstream not in harness.balancer.endpoint_list.subset.members
    assert upstream not in set(serve_requests(harness, 100))


def test_fleet_may_grow_and_shrink_across_the_member_limit() -> None:
    harness = large_world(MAX_MEMBERS, instances=3)
    assert not harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 600))) == MAX_MEMBERS
    harness.update_list(fleet_entries(200))
    assert harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 200))) <= MAX_MEMBERS // 2 + 1
    harness.update_list(fleet_entries(MAX_MEMBERS - 1))
    assert not harness.balancer.endpoint_list.subset.is_active
    assert len(set(serve_requests(harness, 600))) == MAX_MEMBERS - 1
    harness.advance(START_US // 100)
    assert serve_requests(harness, 1)


@pytest.mark.parametrize("home_zone", [-1, 0, 1])
def test_single_zone_with_or_without_home_zone_makes_a_subset(home_zone: int) -> None:
    subset = new_subset(5, 300, 1000, zone_count=1, home_zone=home_zone)
    assert len(select_members(subset)) >= subset.target_size
    for upstream in list(subset.zones)[:-1]:
        subset.remove(upstream)
    assert len(select_members(subset)) == 1
