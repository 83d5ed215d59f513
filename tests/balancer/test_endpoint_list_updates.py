"""The upstream list: asking for it, failures, deltas, full lists, restarts."""

from __future__ import annotations

import heapq

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.events import (
    Event,
    ListKind,
    Outcome,
    SetTimer,
    Subscribe,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer.steps import READ, listed_world
from tests.balancer.world import START_US, World, settings, upstreams


def polling_world() -> World:
    world = World(settings(list_on_request=True, max_poll_interval_us=10_000_000))
    world.tell_list(upstreams(4), ListKind.CACHED)
    return world


def list_polls(world: World) -> list[int]:
    """When the world's balancer asked, seen by stepping through time."""
    return [i for i, action in enumerate(world.log) if isinstance(action, Subscribe)]


def test_list_that_is_not_pushed_is_subscribed_to() -> None:
    world = polling_world()
    world.advance(2_000_000)
    assert len(list_polls(world)) >= 1


def test_pushed_list_is_never_polled() -> None:
    world = World()
    world.tell_list(upstreams(4), ListKind.CACHED)
    world.advance(60_000_000)
    assert not list_polls(world)


def test_failed_list_call_backs_off_within_the_poll_interval() -> None:
    world = polling_world()
    world.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(list_polls(world))
        world.tell(UpstreamsUpdated(ListKind.FAILED))
        start_us = world.now_us
        while len(list_polls(world)) == before:
            world.advance(10_000)
            assert world.now_us - start_us < 10_000_000
        waits.append(world.now_us - start_us)
    assert waits[0] < 500_000
    assert waits[-1] > 1_000_000


def test_second_failure_before_the_next_poll_does_not_double_the_calls() -> None:
    world = polling_world()
    world.advance(2_000_000)
    before = len(list_polls(world))
    world.tell(UpstreamsUpdated(ListKind.FAILED))
    world.tell(UpstreamsUpdated(ListKind.FAILED))
    world.advance(4_000_000)
    world.tell_list(upstreams(4), ListKind.DELTA)
    assert len(list_polls(world)) == before + 1


def test_unanswered_call_is_repeated_within_the_poll_interval() -> None:
    world = polling_world()
    world.advance(10_000_000)
    assert len(list_polls(world)) >= 2


def first_list_times_us(instances: int, all_calls_us: int, patience_us: int, seed: int) -> list[int]:
    """When each of a fleet that starts together has its first list, in microseconds, 0 = not within 30 s.

    Discovery works through calls in turn and could take one of each sidecar in `all_calls_us`. One that would
    wait longer than `patience_us` is turned away; one that nearly does waits so long all the same, behind
    changes that are sent first: it fails, and its work has been done.
    """
    config = settings(instances=instances, list_on_request=True, max_poll_interval_us=10_000_000)
    cost_us, busy_us, now_us = all_calls_us // instances, START_US, START_US
    fleet = [Balancer(config, seed * 1000 + n, now_us) for n in range(instances)]
    first_list_us = [0] * instances
    cached = UpstreamsUpdated(ListKind.CACHED, upstreams(4))
    queue: list[tuple[int, int, int, Event]] = [(now_us, n, n, cached) for n in range(instances)]
    order = instances
    while queue and queue[0][0] < START_US + 30_000_000:
        now_us, _, n, event = heapq.heappop(queue)
        if isinstance(event, UpstreamsUpdated) and event.kind is ListKind.FULL:
            first_list_us[n] = first_list_us[n] or now_us - START_US
        for action in fleet[n].handle(now_us, event):
            answer: tuple[int, Event] | None = None
            if isinstance(action, SetTimer):
                answer = action.at_us, TimerFired(action.token)
            elif isinstance(action, Subscribe):
                busy_us = max(busy_us, now_us)
                wait_us = busy_us - now_us
                if wait_us > patience_us:
                    answer = now_us + 1_000, UpstreamsUpdated(ListKind.FAILED)
                else:
                    busy_us += cost_us
                    late = wait_us > patience_us * 0.7  # changes are sent meanwhile, and come before it
                    answer = (
                        (now_us + patience_us, UpstreamsUpdated(ListKind.FAILED))
                        if late
                        else (busy_us, UpstreamsUpdated(ListKind.FULL, upstreams(4)))
                    )
            if answer is not None:
                order += 1
                heapq.heappush(queue, (answer[0], order, n, answer[1]))
    return first_list_us


def test_fleet_that_starts_together_does_not_overload_discovery() -> None:
    for instances in (40, 200):
        for seed in range(3):
            first_list_us = first_list_times_us(
                instances, all_calls_us=6_000_000, patience_us=2_000_000, seed=seed
            )
            assert min(first_list_us) > 0, (instances, seed, first_list_us.count(0))
            assert max(first_list_us) < 12_000_000, (instances, seed, max(first_list_us))


def test_sidecar_of_large_fleet_without_any_upstream_polls_at_once() -> None:
    asked = []
    for known in ([], upstreams(4)):
        worlds = [
            World(settings(instances=40, list_on_request=True, max_poll_interval_us=10_000_000), seed)
            for seed in range(10)
        ]
        for world in worlds:
            world.tell_list(known, ListKind.CACHED)
            world.advance(100_000)
        asked.append(sum(len(list_polls(world)) for world in worlds))
        for world in worlds:
            world.advance(4_000_000)
            assert len(list_polls(world)) == 1
    assert asked[0] == 10
    assert asked[1] <= 3


def test_few_sidecars_poll_at_once() -> None:
    assert max(first_list_times_us(8, all_calls_us=1_000_000, patience_us=2_000_000, seed=1)) <= 1_100_000


def test_delta_changes_only_its_entries() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {101}


def test_upstream_missing_from_full_list_is_gone_and_may_return() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list(upstreams(1))
    for _ in range(10):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {100}
    world.tell_list(upstreams(2))
    for _ in range(30):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {100, 101}


def test_restarted_upstream_of_the_same_id_warms_up_again() -> None:
    world = World()
    world.tell_list(upstreams(3))
    world.tell_list([Upstream(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = world.arrive(1)
        world.advance(5_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.upstream == 100) <= 8  # a third would be its share when warm


def test_empty_list_and_empty_delta_are_accepted() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([], ListKind.DELTA)
    assert world.sends(world.arrive(0))
    world.tell_list([])
    request = world.arrive(0)
    world.advance(2_000_000)
    assert world.answer(request) is not None
    assert all(t.at_us > START_US for t in world.log if isinstance(t, SetTimer))


def test_draining_upstreams_get_nothing() -> None:
    world = listed_world(2)
    world.tell_list([Upstream(100, UpstreamState.DRAINING), Upstream(101, UpstreamState.GONE)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)
