"""The subset of a large fleet: even over the fleet, steady when lists change, wider when members are ill."""

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
from tests.balancer.world import START_US, World, settings

READ, MARK = 0, 2
MOST = 40


def subset(index: int, instances: int, count: int, most: int = 104, zones: int = 1, home: int = -1) -> Subset:
    one = Subset(index, instances, most, home, zones)
    for ident in range(count):
        one.add(ident * 7919 + 3, ident % zones)
    return one


def members(one: Subset, now_us: int = 0) -> set[int]:
    one.select(now_us, lambda ident: True)
    return set(one.members)


@pytest.mark.parametrize(
    ("instances", "count", "size"),
    [(300, 10_000, 12), (300, 10_000, 52), (100, 1000, 30), (64, 777, 31), (1000, 500, 40)],
)
def test_every_upstream_is_in_as_many_subsets_as_any_other(instances: int, count: int, size: int) -> None:
    counts: Counter[int] = Counter()
    one = subset(0, instances, count)
    one.target_size = size
    for index in range(instances):
        one.index = index
        counts.update(members(one))
    assert len(counts) == count and max(counts.values()) - min(counts.values()) <= 1


def test_one_that_joins_or_leaves_moves_a_subset_by_two_at_most() -> None:
    one, dice = subset(17, 300, 5000), random.Random(2)
    before = members(one)
    for _ in range(50):
        if dice.random() < 0.5:
            one.remove(dice.choice(list(one.zones)))
        else:
            one.add(dice.randrange(10**9, 2 * 10**9), 0)
        after = members(one)
        assert len(before ^ after) <= 4  # one off either end, and the one itself
        before = after


def test_a_restarted_sidecar_has_the_same_subset_whatever_the_order_of_the_list() -> None:
    first = subset(5, 300, 3000)
    second = Subset(5, 300, 104, -1)
    for ident in reversed(list(first.zones)):
        second.add(ident, 0)
    assert members(first) == members(second)


def test_the_own_site_has_most_places_and_is_made_up_for_when_it_is_ill() -> None:
    one = subset(3, 300, 5000, zones=5, home=2)
    one.target_size = 40
    well = members(one)
    assert 30 <= sum(one.zones[ident] == 2 for ident in well) < len(well)
    one.select(0, lambda ident: one.zones[ident] != 2)
    usable = [ident for ident in one.members if one.zones[ident] != 2]
    assert len(usable) >= 40 and len(one.members) <= one.max_members


def test_all_of_the_own_site_is_covered_whichever_sidecars_it_has() -> None:
    for indexes in (range(75), range(0, 300, 4)):
        counts: Counter[int] = Counter()
        one = subset(0, 300, 4000, zones=4, home=0)
        one.target_size = 52
        for index in indexes:
            one.index = index
            counts.update(ident for ident in members(one) if one.zones[ident] == 0)
        assert len(counts) == 1000 and max(counts.values()) <= 3 * min(counts.values())


def test_it_follows_the_traffic_wider_at_once_and_narrower_in_time() -> None:
    one = subset(0, 300, 5000)
    assert (
        one.resize(0, 30) and one.target_size == 52
    )  # half of what it may use: the rest is for when some are ill
    assert not one.resize(1_000_000, 1)
    assert one.resize(SHRINK_DELAY_US, 1) and one.target_size == 26
    assert not one.resize(SHRINK_DELAY_US + 1_000_000, 1)
    assert one.resize(2 * SHRINK_DELAY_US, 1) and one.target_size == 13


def test_a_fleet_that_is_all_ill_is_not_walked_through() -> None:
    one = subset(0, 300, 50_000)
    asked: list[int] = []

    def usable(ident: int) -> bool:
        asked.append(ident)
        return False

    one.select(0, usable)
    assert len(asked) <= 20 * one.max_members and 0 < len(one.members) <= one.max_members


# In the decisions


def fleet(count: int) -> list[Upstream]:
    return [Upstream(1000 + n, zone=n % 4, cell=n // 6) for n in range(count)]


def large_world(count: int = 400, **changes: object) -> World:
    world = World(settings(**{"max_upstreams": MOST, "instances": 20, **changes}))
    world.tell_list(fleet(count))
    return world


def serve(world: World, count: int, bad: set[int] | None = None, class_index: int = READ) -> list[int]:
    """So many requests one after another; where each was sent."""
    went: list[int] = []
    for _ in range(count):
        request = world.arrive(class_index)
        while world.owed[request].out():
            attempt = world.owed[request].out()[0]
            upstream = world.owed[request].tries[attempt].upstream
            went.append(upstream)
            world.advance(5_000)
            world.end(request, attempt, Outcome.ERROR if upstream in (bad or ()) else Outcome.OK)
    return went


def test_a_large_fleet_is_used_in_part_and_a_small_one_whole() -> None:
    assert len(set(serve(large_world(), 300))) <= MOST // 2 + 1
    assert len(set(serve(large_world(MOST, instances=3), 600))) == MOST


def test_members_that_are_gone_are_replaced_at_once() -> None:
    world = large_world()
    used = set(world.balancer.endpoint_list.subset.members)
    world.tell_list([one for one in fleet(400) if one.id not in used])
    after = set(serve(world, 100))
    assert after and not after & used and len(world.balancer.endpoints) <= MOST


def test_members_that_drain_are_replaced_and_get_nothing_more() -> None:
    world = large_world()
    used = set(world.balancer.endpoint_list.subset.members)
    out = [world.arrive(READ) for _ in range(3)]
    drained = [
        Upstream(one.id, UpstreamState.DRAINING, one.zone, 0, one.cell)
        for one in fleet(400)
        if one.id in used or one.id % 3 == 0
    ]  # a third of the fleet, and all that are used
    world.tell_list(drained, ListKind.DELTA)
    for request in out:
        world.end(request, 0, Outcome.OK)
    after = set(serve(world, 100))
    assert after and not after & {one.id for one in drained}
    assert all(world.owed[request].answers == 1 for request in out)


def test_members_that_fail_are_added_to_at_once_and_come_back() -> None:
    world = large_world()
    bad = set(world.balancer.endpoint_list.subset.members)
    serve(world, 400, bad)
    late = serve(world, 100, bad)
    assert sum(upstream in bad for upstream in late) < 50
    assert len(world.balancer.endpoint_list.subset.members) <= MOST
    world.advance(30_000_000)
    serve(world, 2000)
    assert set(serve(world, 200)) & bad


def test_those_that_stood_in_leave_when_the_members_are_well_again() -> None:
    """Without the mend they stayed until the list changed."""
    world = large_world()
    before = set(world.balancer.endpoint_list.subset.members)
    serve(world, 400, set(list(before)[::2]))
    assert len(world.balancer.endpoint_list.subset.members) > len(before)
    for _ in range(60):
        serve(world, 40)
        world.advance(1_000_000)
    assert set(world.balancer.endpoint_list.subset.members) == before


def test_cold_members_are_added_to() -> None:
    world = large_world()
    used = set(world.balancer.endpoint_list.subset.members)
    fresh = [
        Upstream(one.id, UpstreamState.READY, one.zone, 0, one.cell, 1.0, world.now_us)
        for one in fleet(400)
        if one.id in used
    ]
    world.tell_list(fresh, ListKind.DELTA)
    assert len(world.balancer.pool.warm) >= len(used) - 4


def test_keyed_work_goes_on_in_its_cell_beyond_the_subset() -> None:
    """Rule 2: of a cell the subset holds one or two at most."""
    world = large_world(hedging_allowed=False)
    elsewhere = 0
    for _ in range(40):
        request = world.arrive(MARK)
        first = world.sends(request)[0].upstream
        world.advance(5_000)
        world.end(request, 0, Outcome.ERROR)
        tries = world.owed[request].tries
        assert len(tries) == 2 and tries[1].cell == tries[0].cell
        elsewhere += tries[1].upstream != first
        world.advance(5_000)
        world.end(request, 1, Outcome.OK)
    assert elsewhere >= 35
    world.advance(10_000_000)
    assert len(world.balancer.endpoints) <= MOST + 6  # what was used for one repeat only is forgotten


def test_two_thousand_replaced_in_a_minute_leave_nothing_behind() -> None:
    world = large_world(500)
    alive = fleet(500)
    for step in range(2000):
        old = alive.pop(0)
        new = Upstream(100_000 + step, zone=step % 4, cell=step // 6)
        alive.append(new)
        world.tell_list([Upstream(old.id, UpstreamState.GONE, old.zone, 0, old.cell), new], ListKind.DELTA)
        if step % 20 == 0:
            serve(world, 2)
        world.advance(30_000)
    balancer = world.balancer
    assert len(balancer.entries) == len(balancer.endpoint_list.subset) == 500
    assert sum(map(len, balancer.endpoint_list.cells.values())) == 500
    assert len(balancer.endpoints) <= MOST and len(balancer.endpoint_list.subset.suspects) <= MOST
    assert set(balancer.endpoints) <= set(balancer.entries)


def test_connections_to_those_that_are_left_are_closed() -> None:
    world = large_world()
    world.balancer.endpoint_list.subset.target_size = 20
    serve(world, 5)
    used = set(world.balancer.endpoint_list.subset.members)
    world.log.clear()
    world.tell_list([Upstream(90_000 + n) for n in range(100)], ListKind.DELTA)
    left = used - set(world.balancer.endpoint_list.subset.members)
    assert left and {a.upstream for a in world.log if isinstance(a, CloseIdle)} == left


def test_drained_and_ready_again_in_one_list_is_as_the_last_word_says() -> None:
    world = large_world()
    ident = next(iter(world.balancer.endpoint_list.subset.members))
    one = world.balancer.entries[ident]
    drained = Upstream(ident, UpstreamState.DRAINING, one.zone, 0, one.cell)
    world.tell_list([drained, one], ListKind.DELTA)
    assert ident in world.balancer.endpoint_list.subset.members
    world.tell_list([one, drained], ListKind.DELTA)
    assert ident not in world.balancer.endpoint_list.subset.members and ident not in set(serve(world, 100))


def test_a_fleet_that_grows_and_shrinks_past_the_bound_goes_on() -> None:
    world = large_world(MOST, instances=3)
    assert not world.balancer.endpoint_list.subset.is_active and len(set(serve(world, 600))) == MOST
    world.tell_list(fleet(200))
    assert world.balancer.endpoint_list.subset.is_active and len(set(serve(world, 200))) <= MOST // 2 + 1
    world.tell_list(fleet(MOST - 1))
    assert not world.balancer.endpoint_list.subset.is_active and len(set(serve(world, 600))) == MOST - 1
    world.advance(START_US // 100)
    assert serve(world, 1)


@pytest.mark.parametrize("home", [-1, 0, 1])
def test_one_site_alone_or_none_of_the_own_makes_a_subset_as_well(home: int) -> None:
    one = subset(5, 300, 1000, zones=1, home=home)
    assert len(members(one)) >= one.target_size
    for ident in list(one.zones)[:-1]:
        one.remove(ident)
    assert len(members(one)) == 1
