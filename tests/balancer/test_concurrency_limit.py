"""Concurrency limits: initial slots, growth under need, and slow answers."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.events import (
    Outcome,
    RequestClass,
    Upstream,
)
from tests.balancer.harness import BalancerHarness, settings, upstreams
from tests.balancer.steps import (
    PAY,
    READ,
    count_free_slots,
    exhaust_slots,
    harness_with_grown_limit,
    harness_with_upstreams,
    run_steps,
)


@pytest.mark.parametrize(("instances", "slots"), [(1, 2), (2, 2), (3, 1), (8, 1)])
def test_one_or_two_sidecars_start_with_two_slots_per_upstream(instances: int, slots: int) -> None:
    harness = harness_with_upstreams(8, instances=instances)
    exhaust_slots(harness)
    assert [endpoint.limiter.in_flight for endpoint in harness.balancer.endpoints.values()] == [slots] * 8


def test_many_sidecars_keep_slots_open_for_longer_answers() -> None:
    """Answers at 0.78 of a slow answer's time lower the total limit of 8 sidecars, but not of 40."""
    limit_ratios = []
    for instances in (8, 40):
        harness = BalancerHarness(settings(instances=instances))
        harness.update_list(upstreams(60))
        total = harness.balancer.total_limiter
        for _ in range(100):
            requests = [harness.arrive(READ) for _ in range(4)]
            harness.advance(117_000)
            for request in requests:
                if harness.requests[request].in_flight():
                    harness.end(request, 0, Outcome.OK)
        limit_ratios.append(total.limit / total.initial_limit)
    assert limit_ratios[0] < 0.9, limit_ratios
    assert limit_ratios[1] >= 1.0, limit_ratios


def test_restarted_upstream_has_its_initial_limit() -> None:
    harness = harness_with_upstreams(2)
    run_steps(harness, 100, 100, Outcome.CONNECT_FAILED)
    assert harness.balancer.endpoints[100].limiter.limit < 0.1
    harness.update_list([Upstream(100, started_us=harness.now_us - 1_000), Upstream(101)])
    assert harness.balancer.endpoints[100].limiter.limit == 1.0


def test_limits_grow_only_while_requests_find_no_free_slot() -> None:
    harness = harness_with_upstreams(4)
    run_steps(harness, 100)
    assert count_free_slots(harness) == 4


def test_limits_grow_under_need_and_shrink_on_slow_answers() -> None:
    harness = harness_with_upstreams(4)

    def run_rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            exhaust_slots(harness)
            run_steps(harness, 1, response_time_us=took_us)

    run_rounds(60, 20_000)
    run_steps(harness, 1)
    grown_count = count_free_slots(harness)
    assert 8 <= grown_count <= 32
    run_rounds(20, 250_000)
    run_steps(harness, 3)
    assert count_free_slots(harness) < grown_count / 2


def test_many_sidecars_share_the_initial_total_limit() -> None:
    assert count_free_slots(harness_with_upstreams(30, instances=3)) == 30
    # 30 upstreams with 8 slots each, over 24 sidecars
    assert count_free_slots(harness_with_upstreams(30, instances=24)) == 10
    # the minimum total limit, for requests that arrive together
    assert count_free_slots(harness_with_upstreams(30, instances=1000)) == 2


def test_slow_answers_lower_the_total_limit_of_a_small_sidecar() -> None:
    """Many sidecars can overload a fleet while each sends too little to one upstream to lower its limit."""
    harness = harness_with_upstreams(60, instances=1000)
    for _ in range(12):
        run_steps(harness, 1, response_time_us=290_000, class_index=PAY)
    assert sum(1 for endpoint in harness.balancer.endpoints.values() if endpoint.limiter.limit >= 1.0) > 40
    before = len(harness.sends())
    for _ in range(20):
        harness.arrive(PAY)
        harness.advance(5_000)
    assert len(harness.sends()) - before <= 1


def test_timeout_is_at_least_half_the_objective() -> None:
    harness = harness_with_upstreams(hedging_allowed=False)
    run_steps(harness, 50, response_time_us=1_000)
    assert harness.sends(harness.arrive(READ))[0].timeout_us == 150_000


def test_single_heavy_request_closes_no_slot() -> None:
    harness = harness_with_grown_limit()
    before = count_free_slots(harness)
    run_steps(harness, 1, response_time_us=170_000)  # more than half of the latency objective
    assert count_free_slots(harness) >= before - 1


def test_limits_grow_only_to_their_initial_value_without_need() -> None:
    harness = harness_with_upstreams(40, instances=24)
    run_steps(harness, 400)
    assert all(endpoint.limiter.limit <= 1.0 for endpoint in harness.balancer.endpoints.values())
    assert count_free_slots(harness) == 13  # 40 upstreams with 8 slots each, over 24 sidecars


def test_limits_grow_for_two_objectives_after_exhaustion_and_no_longer() -> None:
    limit_changes = []
    for pause_us in (300_000, 900_000):
        harness = harness_with_upstreams(1)
        taken = exhaust_slots(harness)
        harness.advance(10_000)
        for request in (taken[0], taken[-1]):
            harness.end(request, 0, Outcome.OK)
        harness.advance(pause_us)
        before = harness.balancer.endpoints[100].limiter.limit
        run_steps(harness, 3)
        limit_changes.append(harness.balancer.endpoints[100].limiter.limit - before)
    assert limit_changes[0] > 0
    assert limit_changes[1] == 0


def test_quicker_answers_raise_limits_faster() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        harness = harness_with_upstreams(4)
        for _ in range(6):
            exhaust_slots(harness)
            run_steps(harness, 1, response_time_us=took_us)
        run_steps(harness, 1, response_time_us=took_us)
        counts.append(count_free_slots(harness))
    assert counts[0] > counts[1]


def test_request_of_known_cost_has_a_longer_timeout() -> None:
    harness = harness_with_upstreams(hedging_allowed=False)
    run_steps(harness, 50)
    light, heavy = harness.arrive(READ, cost_us=10_000), harness.arrive(READ, cost_us=200_000)
    assert harness.sends(light)[0].timeout_us < 200_000 < 800_000 <= harness.sends(heavy)[0].timeout_us


def test_answer_without_value_after_the_objective_is_not_waited_for() -> None:
    """Otherwise a lost answer would occupy its slot until the deadline."""
    for late_weight, waits_us in ((0.0, 296_000), (0.3, 600_000)):
        harness = harness_with_upstreams(
            classes=[RequestClass("act", 300_000, 600_000, effect="at_most_once", late_weight=late_weight)]
        )
        assert harness.sends(harness.arrive(0))[0].timeout_us == waits_us
