"""Unusual but legal events are ignored or handled; invalid settings raise errors."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.events import (
    AttemptEnded,
    Fail,
    Outcome,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    RequestClass,
    RequestGone,
    StreamStarted,
    Tenant,
    TimerFired,
    UpstreamsUpdated,
)
from sidecar_proxy.balancer.events import ListKind as Kind
from tests.balancer.harness import START_US, BalancerHarness, settings, upstreams


def test_events_with_unknown_ids_are_ignored() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(3))
    for event in (
        AttemptEnded(77, 0, 100, Outcome.OK, 5, True),
        RequestGone(77),
        TimerFired(123456),
        StreamStarted(77, 0, 100, 5),
        ProbeEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
        PeerMessage(1, b"hi"),
        UpstreamsUpdated(Kind.FAILED),
    ):
        assert harness.dispatch(event) == []
    assert harness.sends(harness.arrive(0))


def test_events_after_the_final_response_are_ignored() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(3))
    request = harness.arrive(0)
    harness.disconnect_client(request)
    assert harness.end(request, 0, Outcome.ERROR) == []
    assert harness.dispatch(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert harness.dispatch(RequestGone(request)) == []
    served = harness.arrive(0)
    harness.end(served, 0, Outcome.OK)
    assert harness.dispatch(RequestGone(served)) == []


def test_outcome_of_unknown_attempt_is_ignored() -> None:
    harness = BalancerHarness()
    harness.update_list(upstreams(3))
    request = harness.arrive(0)
    assert harness.dispatch(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_broken_stream_is_not_retried() -> None:
    harness = BalancerHarness(settings(classes=[RequestClass("feed", 100_000, 500_000, stream=True)]))
    harness.update_list(upstreams(3))
    request = harness.arrive(0)
    harness.begin_stream(request, 0)
    harness.advance(3_000_000)
    harness.end(request, 0, Outcome.RESET)
    assert len(harness.sends(request)) == 1
    assert not isinstance(harness.answer(request), Fail)


def test_attempt_whose_stream_has_begun_is_not_presumed_lost() -> None:
    feed = RequestClass("feed", 100_000, 500_000, stream=True, effect="at_most_once", late_weight=0.5)
    harness = BalancerHarness(settings(classes=[feed]))
    harness.update_list(upstreams(3))
    request = harness.arrive(0)
    harness.begin_stream(request, 0)
    harness.advance(3_000_000)
    assert harness.balancer.total_limiter.in_flight == 1
    harness.end(request, 0, Outcome.OK)
    assert harness.balancer.total_limiter.in_flight == 0
    assert not harness.balancer.requests


def test_same_events_and_seed_give_the_same_actions() -> None:
    first, second, other = (Balancer(settings(), seed, START_US) for seed in (5, 5, 6))
    results = []
    for balancer in (first, second, other):
        actions = balancer.handle(START_US, UpstreamsUpdated(Kind.FULL, upstreams(9)))
        for n in range(20):
            actions += balancer.handle(START_US, RequestArrived(n, START_US + 900_000))
        results.append(actions)
    assert results[0] == results[1] != results[2]


@pytest.mark.parametrize(
    ("make", "expected_text"),
    [
        (lambda: RequestClass("x", 0, 10), "latency_objective_us above 0"),
        (lambda: RequestClass("x", 10, -1), "deadline_us above 0"),
        (lambda: RequestClass("x", 10, 10, effect="maybe"), "idempotent, deduplicated, at_most_once"),
        (lambda: RequestClass("x", 10, 10, group="planet"), "all, zone, cell"),
        (lambda: RequestClass("x", 10, 10, late_weight=2), "late_weight from 0 to 1"),
        (lambda: Tenant("t", -1), "allowance_per_s of 0 or more"),
        (lambda: settings(max_attempts=-1), "max_attempts of 1 or more"),
        (lambda: settings(instances=0), "instances of 1 or more"),
        (lambda: settings(cold_share=0), "cold_share above 0"),
        (lambda: settings(warm_up_us=-5), "warm_up_us of 0 or more"),
        (lambda: settings(classes=[]), "at least one request class"),
    ],
)
def test_error_for_invalid_settings_names_the_expected_value(make: object, expected_text: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        make()  # type: ignore[operator]
    assert expected_text in str(caught.value)
