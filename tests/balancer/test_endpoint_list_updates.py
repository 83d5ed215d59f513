"""The endpoint list: polling, failed calls, deltas, full lists, and restarted upstreams."""

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
from tests.balancer.harness import START_US, BalancerHarness, settings, upstreams
from tests.balancer.steps import READ, harness_with_upstreams


def polling_world() -> BalancerHarness:
    harness = BalancerHarness(settings(list_on_request=True, max_poll_interval_us=10_000_000))
    harness.update_list(upstreams(4), ListKind.CACHED)
    return harness


def list_polls(harness: BalancerHarness) -> list[int]:
    """Return the positions of the subscriptions to the list in the log of actions."""
    return [position for position, action in enumerate(harness.actions) if isinstance(action, Subscribe)]


def test_list_that_is_not_pushed_is_subscribed_to() -> None:
    harness = polling_world()
    harness.advance(2_000_000)
    assert len(list_polls(harness)) >= 1


def test_pushed_list_is_never_polled() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(4), ListKind.CACHED)
    harness.advance(60_000_000)
    assert not list_polls(harness)


def test_failed_list_call_backs_off_within_the_poll_interval() -> None:
    harness = polling_world()
    harness.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(list_polls(harness))
        harness.dispatch(UpstreamsUpdated(ListKind.FAILED))
        start_us = harness.now_us
        while len(list_polls(harness)) == before:
            harness.advance(10_000)
            assert harness.now_us - start_us < 10_000_000
        waits.append(harness.now_us - start_us)
    assert waits[0] < 500_000
    assert waits[-1] > 1_000_000


def test_second_failure_before_the_next_poll_does_not_double_the_calls() -> None:
    harness = polling_world()
    harness.advance(2_000_000)
    before = len(list_polls(harness))
    harness.dispatch(UpstreamsUpdated(ListKind.FAILED))
    harness.dispatch(UpstreamsUpdated(ListKind.FAILED))
    harness.advance(4_000_000)
    harness.update_list(upstreams(4), ListKind.DELTA)
    assert len(list_polls(harness)) == before + 1


def test_unanswered_call_is_repeated_within_the_poll_interval() -> None:
    harness = polling_world()
    harness.advance(10_000_000)
    assert len(list_polls(harness)) >= 2


def first_list_times_us(instances: int, all_calls_us: int, patience_us: int, seed: int) -> list[int]:
    """Return after how many microseconds each sidecar of a fleet gets its first list; 0 = not within 30 s.

    All sidecars start together. Discovery handles one call at a time, and one call of each sidecar in
    `all_calls_us`. A call that would wait longer than `patience_us` fails at once. A call that would wait
    more than 0.7 of that is delayed by changes sent first: it times out, though discovery has done its work.
    """
    config = settings(instances=instances, list_on_request=True, max_poll_interval_us=10_000_000)
    cost_us, busy_us, now_us = all_calls_us // instances, START_US, START_US
    fleet = [Balancer(config, seed * 1000 + index, now_us) for index in range(instances)]
    first_list_us = [0] * instances
    cached = UpstreamsUpdated(ListKind.CACHED, upstreams(4))
    queue: list[tuple[int, int, int, Event]] = [(now_us, index, index, cached) for index in range(instances)]
    sequence = instances
    while queue and queue[0][0] < START_US + 30_000_000:
        now_us, _, index, event = heapq.heappop(queue)
        if isinstance(event, UpstreamsUpdated) and event.kind is ListKind.FULL:
            first_list_us[index] = first_list_us[index] or now_us - START_US
        for action in fleet[index].handle(now_us, event):
            reply: tuple[int, Event] | None = None
            if isinstance(action, SetTimer):
                reply = action.at_us, TimerFired(action.token)
            elif isinstance(action, Subscribe):
                busy_us = max(busy_us, now_us)
                wait_us = busy_us - now_us
                if wait_us > patience_us:
                    reply = now_us + 1_000, UpstreamsUpdated(ListKind.FAILED)
                else:
                    busy_us += cost_us
                    is_late = wait_us > patience_us * 0.7  # changes that are sent first delay the list
                    reply = (
                        (now_us + patience_us, UpstreamsUpdated(ListKind.FAILED))
                        if is_late
                        else (busy_us, UpstreamsUpdated(ListKind.FULL, upstreams(4)))
                    )
            if reply is not None:
                sequence += 1
                heapq.heappush(queue, (reply[0], sequence, index, reply[1]))
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
    poll_counts = []
    for cached_entries in ([], upstreams(4)):
        worlds = [
            BalancerHarness(
                settings(instances=40, list_on_request=True, max_poll_interval_us=10_000_000), seed
            )
            for seed in range(10)
        ]
        for harness in worlds:
            harness.update_list(cached_entries, ListKind.CACHED)
            harness.advance(100_000)
        poll_counts.append(sum(len(list_polls(harness)) for harness in worlds))
        for harness in worlds:
            harness.advance(4_000_000)
            assert len(list_polls(harness)) == 1
    assert poll_counts[0] == 10
    assert poll_counts[1] <= 3


def test_few_sidecars_poll_at_once() -> None:
    assert max(first_list_times_us(8, all_calls_us=1_000_000, patience_us=2_000_000, seed=1)) <= 1_100_000


def test_delta_changes_only_its_entries() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(2))
    harness.update_list([Upstream(100, UpstreamState.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {101}


def test_upstream_missing_from_full_list_is_gone_and_may_return() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(2))
    harness.update_list(upstreams(1))
    for _ in range(10):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {100}
    harness.update_list(upstreams(2))
    for _ in range(30):
        harness.end(harness.arrive(0), 0, Outcome.OK)
    assert {send.upstream for send in harness.sends()} == {100, 101}


def test_restarted_upstream_of_the_same_id_warms_up_again() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(3))
    harness.update_list([Upstream(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = harness.arrive(1)
        harness.advance(5_000)
        harness.end(request, 0, Outcome.OK)
    assert sum(1 for send in harness.sends() if send.upstream == 100) <= 8  # 20 would be its share when warm


def test_empty_list_and_empty_delta_are_accepted() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(2))
    harness.update_list([], ListKind.DELTA)
    assert harness.sends(harness.arrive(0))
    harness.update_list([])
    request = harness.arrive(0)
    harness.advance(2_000_000)
    assert harness.answer(request) is not None
    assert all(action.at_us > START_US for action in harness.actions if isinstance(action, SetTimer))


def test_draining_upstreams_get_nothing() -> None:
    harness = harness_with_upstreams(2)
    harness.update_list([Upstream(100, UpstreamState.DRAINING), Upstream(101, UpstreamState.GONE)])
    request = harness.arrive(READ)
    harness.advance(1_000_000)
    assert not harness.sends(request)
