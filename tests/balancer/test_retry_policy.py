"""Which requests are retried, at which upstreams, and which are failed instead."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.events import (
    Fail,
    Outcome,
)
from tests.balancer.steps import (
    MARK,
    PAY,
    READ,
    exhaust_slots,
    harness_with_upstreams,
    run_steps,
)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_request_that_never_ran_is_retried_at_another_upstream(outcome: Outcome, class_index: int) -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(class_index)
    harness.end(request, 0, outcome)
    first, second = harness.sends(request)
    assert first.upstream != second.upstream


def test_unsafe_request_that_may_have_run_is_failed() -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(PAY)
    harness.end(request, 0, Outcome.RESET)
    assert isinstance(harness.answer(request), Fail)
    assert len(harness.sends(request)) == 1


def test_attempt_of_unsafe_request_may_last_until_the_deadline() -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(PAY)
    harness.advance(590_000)
    assert harness.answer(request) is None
    harness.advance(20_000)
    assert isinstance(harness.answer(request), Fail)


@pytest.mark.parametrize(("class_index", "hedging_allowed"), [(PAY, True), (READ, False), (READ, True)])
def test_requests_are_not_hedged_even_if_that_is_allowed(class_index: int, hedging_allowed: bool) -> None:
    harness = harness_with_upstreams(hedging_allowed=hedging_allowed)
    request = harness.arrive(class_index)
    harness.advance(250_000)
    assert len(harness.sends(request)) == 1


def test_no_hedged_request_while_others_wait_for_a_slot() -> None:
    harness = harness_with_upstreams()
    exhaust_slots(harness)
    harness.advance(140_000)
    exhaust_slots(harness)
    harness.advance(20_000)
    assert all(len(state.attempts) <= 1 for state in harness.requests.values())


@pytest.mark.parametrize(("class_index", "is_retried"), [(READ, True), (MARK, True), (PAY, False)])
def test_error_is_retried_if_the_class_permits_repeats(class_index: int, is_retried: bool) -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(class_index)
    harness.end(request, 0, Outcome.ERROR)
    assert (len(harness.sends(request)) == 2) is is_retried


@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_requests_are_attempted_again_after_outage_longer_than_every_deadline(hedging_allowed: bool) -> None:
    harness = harness_with_upstreams(2, hedging_allowed=hedging_allowed)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            harness.arrive(class_index)
        harness.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        run_steps(harness, 20, class_index=class_index)
        sent_before = len(harness.sends())
        run_steps(harness, 20, class_index=class_index)
        assert len(harness.sends()) - sent_before >= 15
