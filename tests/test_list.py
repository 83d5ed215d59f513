"""The upstream list: asking for it, failures, deltas, full lists, restarts."""

from __future__ import annotations

from tests.world import START_US, World, settings, upstreams
from wickspread.decisions.interface import (
    ListKind,
    Outcome,
    SetTimer,
    Subscribe,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)


def asking_world() -> World:
    world = World(settings(list_on_request=True, ask_within_us=10_000_000))
    world.tell_list(upstreams(4), ListKind.CACHED)
    return world


def asks(world: World) -> list[int]:
    """When the world's balancer asked, seen by stepping through time."""
    return [i for i, action in enumerate(world.log) if isinstance(action, Subscribe)]


def test_a_list_that_must_be_asked_for_is_subscribed_to() -> None:
    world = asking_world()
    world.advance(2_000_000)
    assert len(asks(world)) >= 1


def test_a_pushed_list_is_never_asked_for() -> None:
    world = World()
    world.tell_list(upstreams(4), ListKind.CACHED)
    world.advance(60_000_000)
    assert not asks(world)


def test_a_failed_list_call_is_repeated_with_growing_waits_inside_ask_within() -> None:
    world = asking_world()
    world.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(asks(world))
        world.tell(UpstreamsUpdated(ListKind.FAILED))
        start_us = world.now_us
        while len(asks(world)) == before:
            world.advance(10_000)
            assert world.now_us - start_us < 10_000_000
        waits.append(world.now_us - start_us)
    assert waits[0] < 500_000 and waits[-1] > 1_000_000


def test_a_second_failure_before_the_repeat_does_not_double_the_calls() -> None:
    world = asking_world()
    world.advance(2_000_000)
    before = len(asks(world))
    world.tell(UpstreamsUpdated(ListKind.FAILED))
    world.tell(UpstreamsUpdated(ListKind.FAILED))
    world.advance(4_000_000)
    world.tell_list(upstreams(4), ListKind.DELTA)
    assert len(asks(world)) == before + 1


def test_a_call_that_is_never_answered_is_made_again_within_ask_within() -> None:
    world = asking_world()
    world.advance(10_000_000)
    assert len(asks(world)) >= 2


def test_a_delta_changes_only_what_it_names() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == {101}


def test_what_a_full_list_leaves_out_is_gone_and_may_come_back() -> None:
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


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    world = World()
    world.tell_list(upstreams(3))
    world.tell_list([Upstream(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = world.arrive(1)
        world.advance(5_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.upstream == 100) <= 8  # a third would be its share when warm


def test_an_empty_list_and_an_empty_delta_are_taken_calmly() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([], ListKind.DELTA)
    assert world.sends(world.arrive(0))
    world.tell_list([])
    request = world.arrive(0)
    world.advance(2_000_000)
    assert world.answer(request) is not None
    assert all(t.at_us > START_US for t in world.log if isinstance(t, SetTimer))
