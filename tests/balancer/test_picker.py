"""Selection of an endpoint by free slots, weights, zones, keys and failure rates."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Upstream,
)
from tests.balancer.harness import BalancerHarness, settings, upstreams
from tests.balancer.steps import (
    PAY,
    READ,
    harness_with_upstreams,
    run_steps,
)


def test_request_is_sent_to_ready_upstream_at_once() -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(READ)
    assert [s.upstream in harness.listed for s in harness.sends(request)] == [True]


def test_requests_are_spread_over_all_upstreams() -> None:
    harness = harness_with_upstreams(6)
    for _ in range(60):
        harness.end(harness.arrive(READ), 0, Outcome.OK)
    assert {s.upstream for s in harness.sends()} == set(harness.listed)


def test_idle_upstream_of_home_zone_is_preferred_if_crossing_zones_costs() -> None:
    harness = harness_with_upstreams(8, zone=1, cross_zone_fee=0.03)
    first = [harness.arrive(READ) for _ in range(2)]
    assert {harness.listed[harness.sends(r)[0].upstream].zone for r in first} == {1}
    third = harness.arrive(READ)
    assert harness.listed[harness.sends(third)[0].upstream].zone != 1


def test_zones_do_not_matter_if_crossing_zones_is_free() -> None:
    harness = harness_with_upstreams(8, zone=1)
    run_steps(harness, 100)
    assert {harness.listed[s.upstream].zone for s in harness.sends()} == {0, 1, 2, 3}


def test_small_sidecar_uses_few_upstreams_and_more_if_these_are_busy() -> None:
    harness = harness_with_upstreams(60, instances=1000)
    run_steps(harness, 100, class_index=PAY)
    assert len({s.upstream for s in harness.sends()}) <= 2
    busy = [harness.arrive(PAY) for _ in range(2)]
    assert len({harness.sends(r)[0].upstream for r in busy}) == 2


def test_small_sidecar_stops_using_upstream_slower_than_half_the_objective() -> None:
    harness = harness_with_upstreams(60, instances=1000)
    first = harness.sends(harness.arrive(PAY))[0].upstream
    for is_slow in (True, True, True, True, False):
        for request in [number for number, state in harness.requests.items() if state.in_flight()]:
            harness.advance(200_000 if is_slow else 20_000)
            harness.end(request, 0, Outcome.OK)
        harness.advance(1_000_000)
        last = harness.sends(harness.arrive(PAY))[0].upstream
    assert last != first


def test_small_sidecars_spread_over_all_upstreams_by_weight() -> None:
    counts = [0, 0]
    for seed in range(300):
        harness = BalancerHarness(settings(instances=1000, weighted=True), seed)
        harness.update_list([Upstream(n, weight=1.0 + 2.0 * (n % 2)) for n in range(1, 41)])
        counts[harness.sends(harness.arrive(PAY))[0].upstream % 2] += 1
    assert 1.8 < counts[1] / counts[0] < 5.0


def test_few_sidecars_pick_upstreams_by_weight() -> None:
    harness = BalancerHarness(settings(weighted=True))
    harness.update_list([Upstream(1, weight=1.0), Upstream(2, weight=4.0)])
    run_steps(harness, 300, class_index=PAY)
    larger = sum(1 for s in harness.sends() if s.upstream == 2)
    assert 200 < larger < 280


def test_key_affinity_is_equal_at_all_sidecars_and_keys_are_distributed() -> None:
    upstreams_by_key: dict[int, set[int]] = {}
    for seed in range(8):
        harness = BalancerHarness(settings(instances=1000, key_affinity=True), seed)
        harness.update_list(upstreams(12))
        for key in range(1, 60):
            request = harness.arrive(READ, key=key * 0x1234567)
            upstreams_by_key.setdefault(key, set()).update(s.upstream for s in harness.sends(request))
            harness.end(request, 0, Outcome.OK)
    assert all(len(used) <= 4 for used in upstreams_by_key.values())
    assert len(set.union(*upstreams_by_key.values())) >= 11


def test_upstreams_that_fail_less_are_preferred_and_others_get_the_excess() -> None:
    harness, at_failing = harness_with_upstreams(4), 0
    failing = list(harness.balancer.endpoints.values())[:2]
    for _ in range(200):
        for endpoint in failing:
            endpoint.failure_rate = 0.3
            harness.balancer.pool.update(endpoint, harness.now_us)
        requests = [harness.arrive(PAY) for _ in range(4)]
        at_failing += harness.sends(requests[0])[0].upstream in (100, 101)
        assert {harness.sends(request)[0].upstream for request in requests} == set(harness.listed)
        for request in requests:
            harness.end(request, 0, Outcome.OK)
    assert 0 < at_failing < 30  # random picks would give 100; with none, recovery would go unnoticed
