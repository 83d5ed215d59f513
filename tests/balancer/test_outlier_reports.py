"""Outlier reports of other sidecars: probation, a bounded cost of false reports, and no higher limit."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as settings_of
from hypothesis import strategies as st

from sidecar_proxy.balancer.events import FleetResized, ListKind, Outcome, OutlierReported, UpstreamState
from sidecar_proxy.balancer.outlier_detection import (
    FLEET_TRIAL_INTERVAL_US,
    MAX_TRIAL_INTERVAL_US,
    RECENT_SUCCESS_US,
)
from tests.balancer.harness import BalancerHarness, settings, upstreams

REPORTED = 100
GAP_US = 50_000


def harness_with_upstreams(**changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**changes))
    harness.update_list(upstreams(6))
    return harness


def run_requests(
    harness: BalancerHarness, seconds: float, is_unresponsive: bool = False, gap_us: int = GAP_US
) -> list[int]:
    """Send requests in turn, and return the times of the attempts at the upstream `REPORTED`.

    Each attempt is answered after 10 ms, but none at that upstream if it `is_unresponsive`.
    """
    trials_us: list[int] = []
    end_us = harness.now_us + int(seconds * 1e6)
    while harness.now_us < end_us:
        request = harness.arrive(1)
        sent = harness.sends(request)
        if sent and sent[0].upstream == REPORTED:
            trials_us.append(harness.now_us)
        if sent and not (is_unresponsive and sent[0].upstream == REPORTED):
            harness.advance(10_000)
            harness.end(request, 0, Outcome.OK)
        harness.advance(gap_us)
    return trials_us


def test_reported_upstream_gets_one_trial_after_a_pause_and_an_answer_ends_probation() -> None:
    harness = harness_with_upstreams(instances=4)
    harness.dispatch(OutlierReported(REPORTED, 1.0))
    begin_us = harness.now_us
    trials_us = run_requests(harness, 20.0)
    pause_us = trials_us[0] - begin_us
    assert FLEET_TRIAL_INTERVAL_US * 4 // 2 <= pause_us <= FLEET_TRIAL_INTERVAL_US * 4 * 1.5 + 1_000_000
    later_us = [at for at in trials_us if at > trials_us[0]]
    assert len(later_us) > 10
    assert later_us[0] - trials_us[0] < 2_000_000
    actions = harness.dispatch(OutlierReported(REPORTED, 1.0))
    assert not actions
    assert harness.balancer.endpoints[REPORTED].limit_before_probation == 0.0


def test_unresponsive_upstream_on_probation_is_tried_rarely() -> None:
    harness = harness_with_upstreams(instances=50)
    harness.dispatch(OutlierReported(REPORTED, 0.8))
    assert (
        len(run_requests(harness, 30.0, is_unresponsive=True)) <= 30.0 * 1e6 / (MAX_TRIAL_INTERVAL_US / 2) + 1
    )


@pytest.mark.parametrize("weight", [0.0, 0.1, 0.49])
def test_low_weight_has_no_effect_and_ends_probation(weight: float) -> None:
    harness = harness_with_upstreams(instances=50)
    harness.dispatch(OutlierReported(REPORTED, weight))
    endpoint = harness.balancer.endpoints[REPORTED]
    assert (endpoint.limit_before_probation, endpoint.limiter.limit) == (0.0, 1.0)
    harness.dispatch(OutlierReported(REPORTED, 1.0))
    assert endpoint.limit_before_probation == 1.0
    assert endpoint.limiter.limit < 1.0
    harness.dispatch(OutlierReported(REPORTED, weight))
    assert (endpoint.limit_before_probation, endpoint.limiter.limit) == (0.0, 1.0)


def test_upstream_on_probation_keeps_its_position_in_the_order() -> None:
    """Each of 50 sidecars uses the first few upstreams in its own order.

    If it moved down in that order, a falsely reported upstream would never get the trial that ends
    probation.
    """
    harness = harness_with_upstreams(instances=50)
    endpoints = harness.balancer.endpoints
    first = min(endpoints.values(), key=harness.balancer.pool.order_key).entry.id
    harness.dispatch(OutlierReported(first, 1.0))
    harness.advance(int(MAX_TRIAL_INTERVAL_US * 1.5) + 1)
    harness.balancer.refresh()
    assert min(endpoints.values(), key=harness.balancer.pool.order_key).entry.id == first
    request = harness.arrive(1)
    assert harness.sends(request)[0].upstream == first


def test_only_a_quarter_of_the_upstreams_is_put_on_probation() -> None:
    """Otherwise a network fault of one second could put all upstreams on probation at all sidecars."""
    harness = harness_with_upstreams(instances=4)
    for number in range(6):
        harness.dispatch(OutlierReported(100 + number, 1.0))
    assert [endpoint.limit_before_probation > 0.0 for endpoint in harness.balancer.endpoints.values()].count(
        True
    ) == 1
    harness.dispatch(OutlierReported(100, 0.0))
    harness.dispatch(OutlierReported(101, 1.0))
    assert harness.balancer.endpoints[101].limit_before_probation


def test_reports_do_not_raise_a_limit_that_own_failures_lowered() -> None:
    harness = harness_with_upstreams(instances=50)
    endpoint = harness.balancer.endpoints[REPORTED]
    endpoint.limiter.limit = 1 / 32
    for weight in (1.0, 0.0, 0.7, 0.2):
        harness.dispatch(OutlierReported(REPORTED, weight))
        assert endpoint.limiter.limit <= 1 / 32


def test_false_reports_cost_one_pause_at_most() -> None:
    """The bound of docs/design/gossip.md: a false report costs one pause at first, and nothing later."""
    harness, unreported = harness_with_upstreams(instances=4), harness_with_upstreams(instances=4)
    unreported_count = len(run_requests(unreported, 40.0))
    begin_us = harness.now_us
    trials_us: list[int] = []
    while harness.now_us < begin_us + 40_000_000:
        harness.dispatch(OutlierReported(REPORTED, 1.0))
        trials_us += run_requests(harness, 0.5)
    pause_us = int(min(FLEET_TRIAL_INTERVAL_US * 4, MAX_TRIAL_INTERVAL_US) * 1.5)
    gaps = [b - a for a, b in itertools.pairwise(trials_us)]
    assert trials_us[0] - begin_us <= pause_us + 1_000_000
    assert max(gaps) < RECENT_SUCCESS_US
    assert len(trials_us) >= unreported_count * (1 - pause_us / 40e6) * 0.8


def test_restarted_upstream_is_not_on_probation() -> None:
    harness = harness_with_upstreams(instances=50)
    harness.dispatch(OutlierReported(REPORTED, 1.0))
    entry = harness.balancer.entries[REPORTED]
    harness.update_list(
        [type(entry)(REPORTED, UpstreamState.READY, entry.zone, 0, entry.cell, started_us=harness.now_us)],
        ListKind.DELTA,
    )
    endpoint = harness.balancer.endpoints[REPORTED]
    assert (endpoint.limit_before_probation, endpoint.limiter.limit) == (0.0, 1.0)


def test_number_of_sidecars_changes_slots_at_warming_upstreams() -> None:
    harness = harness_with_upstreams(instances=2)
    before = harness.balancer.pool.warming_slots
    harness.dispatch(FleetResized(20, 3))
    assert harness.balancer.pool.sidecars_per_endpoint == 20.0
    assert harness.balancer.pool.warming_slots == before / 10
    assert (harness.balancer.endpoint_list.subset.index, harness.balancer.endpoint_list.subset.instances) == (
        3,
        20,
    )
    harness.dispatch(OutlierReported(999, 1.0))  # an upstream that is not listed is ignored


@settings_of(max_examples=40, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("report"), st.integers(0, 5), st.floats(0, 1)),
            st.tuples(st.just("resize"), st.integers(1, 60), st.floats(0, 1)),
            st.tuples(st.just("request"), st.integers(0, 2), st.floats(0, 1)),
            st.tuples(st.just("wait"), st.integers(1, 400), st.floats(0, 1)),
        ),
        max_size=80,
    )
)
def test_any_reports_keep_the_rules_and_raise_no_limit(steps: list[tuple[str, int, float]]) -> None:
    """Reports raise no limit and close no endpoint for good; the harness checks the rules at each action."""
    harness = harness_with_upstreams(instances=4)
    endpoints = harness.balancer.endpoints
    for step, number, fraction in steps:
        if step == "report":
            endpoint = endpoints[100 + number]
            before = endpoint.ordinary_limit()
            harness.dispatch(OutlierReported(100 + number, fraction))
            assert endpoint.limiter.limit <= before
            assert endpoint.ordinary_limit() == before
            if endpoint.limit_before_probation and endpoint.failure_rate == 0.0:
                assert endpoint.limiter.paused_until_us - harness.now_us <= MAX_TRIAL_INTERVAL_US * 1.5
        elif step == "resize":
            harness.dispatch(FleetResized(number, int(fraction * (number - 1))))
        elif step == "request":
            request = harness.arrive(number)
            if fraction < 0.7 and harness.sends(request):
                harness.advance(5_000)
                harness.end(request, 0, Outcome.OK if fraction < 0.4 else Outcome.ERROR)
        else:
            harness.advance(number * 1000)
    harness.advance(5_000_000)
