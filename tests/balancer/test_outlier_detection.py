"""Failing and unresponsive upstreams: lower limits, trials, log lines and lost answers."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.events import (
    Log,
    Outcome,
)
from tests.balancer.harness import BalancerHarness
from tests.balancer.steps import (
    PAY,
    count_free_slots,
    harness_with_grown_limit,
    harness_with_upstreams,
    run_steps,
)


def log_lines(harness: BalancerHarness) -> list[str]:
    return [action.text for action in harness.actions if isinstance(action, Log)]


def end_all_with(harness: BalancerHarness, outcome: Outcome) -> None:
    """Send requests, and end all attempts in flight with one outcome."""
    for _ in range(20):
        harness.arrive(PAY)
    harness.advance(10_000)
    for ident, request_state in list(harness.requests.items()):
        for attempt in request_state.in_flight():
            harness.end(ident, attempt, outcome)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_upstream_that_fails_at_once_does_not_attract_requests(outcome: Outcome) -> None:
    harness = harness_with_upstreams(5)
    run_steps(harness, 200, 100, outcome)
    assert sum(1 for send in harness.sends() if send.upstream == 100) < 20


def test_upstream_that_failed_is_tried_again_and_recovers() -> None:
    harness = harness_with_upstreams(2)
    run_steps(harness, 40, 100)
    run_steps(harness, 1000)
    assert sum(1 for send in harness.sends()[-200:] if send.upstream == 100) > 30


def test_failing_upstream_does_not_lower_the_total_limit() -> None:
    harness = harness_with_upstreams(60, instances=1000)
    for _ in range(30):
        run_steps(harness, 2, failing_upstream=100, failure=Outcome.ERROR, class_index=PAY)
    assert count_free_slots(harness) == 2


def test_single_error_does_not_close_the_other_slots_of_its_upstream() -> None:
    harness = harness_with_grown_limit()
    before = count_free_slots(harness)
    harness.end(harness.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert count_free_slots(harness) >= before / 2 - 1


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.ERROR])
def test_failures_common_to_all_upstreams_lower_no_limits(fault: Outcome) -> None:
    """If one attempt in ten fails at every upstream, lower limits would only reject the other nine."""
    harness = harness_with_upstreams(10)
    for step in range(400):
        request = harness.arrive(PAY)
        harness.advance(10_000)
        harness.end(request, 0, fault if step % 10 == 9 else Outcome.OK)
    limits = [endpoint.limiter.limit for endpoint in harness.balancer.endpoints.values()]
    assert sum(limit >= 1.0 for limit in limits) >= 8


def test_limits_of_failing_upstreams_fall_even_if_nearly_half_of_all_fail() -> None:
    harness = harness_with_upstreams(10)
    for _ in range(400):
        request = harness.arrive(PAY)
        harness.advance(10_000)
        for attempt in harness.requests[request].in_flight():
            harness.end(
                request,
                attempt,
                Outcome.ERROR if harness.requests[request].attempts[attempt].upstream < 104 else Outcome.OK,
            )
    limits = {ident: endpoint.limiter.limit for ident, endpoint in harness.balancer.endpoints.items()}
    assert all((limit < 0.3) is (ident < 104) for ident, limit in limits.items()), limits


def test_failing_upstream_is_logged_when_it_closes_and_when_it_is_open_again() -> None:
    harness = harness_with_upstreams(2)
    run_steps(harness, 40, 100)
    assert log_lines(harness) == ["upstream 100 rests"]
    run_steps(harness, 1000)
    assert log_lines(harness) == ["upstream 100 rests", "upstream 100 is back"]


def test_log_lines_are_rate_limited() -> None:
    harness = harness_with_upstreams(50)
    begin_us = harness.now_us
    for fault in (Outcome.FULL, Outcome.OK, Outcome.FULL, Outcome.OK):
        for _ in range(30):
            end_all_with(harness, fault)
    assert 1 <= len(log_lines(harness)) <= 1 + (harness.now_us - begin_us) / 1_000_000


def test_lost_answers_do_not_lower_the_total_limit() -> None:
    harness = harness_with_upstreams(60, instances=1000)
    run_steps(harness, 20, response_time_us=20_000, class_index=PAY)
    before = harness.balancer.total_limiter.limit
    for _ in range(10):
        harness.arrive(PAY)
        harness.advance(700_000)  # no answer before the deadline
        run_steps(harness, 1, response_time_us=20_000, class_index=PAY)
    assert harness.balancer.total_limiter.limit >= before


def test_unresponsive_upstream_gets_two_attempts_beyond_its_slot_and_no_third() -> None:
    harness = harness_with_upstreams(1)
    for _ in range(100):
        harness.arrive(PAY, client_timeout_us=9_000_000)
        harness.advance(30_000)
    assert len(harness.sends()) == 3


def test_lost_answers_lower_no_limit_while_later_attempts_are_answered() -> None:
    """Lower limits would only reject requests that would be answered at once."""
    harness = harness_with_grown_limit()
    harness.advance(1_000_000)
    limiter = harness.balancer.endpoints[100].limiter
    before = limiter.limit
    for _ in range(4):
        harness.arrive(PAY, client_timeout_us=9_000_000)
        harness.advance(10_000)
        harness.end(harness.arrive(PAY), 0, Outcome.OK)
        harness.advance(300_000)
        assert limiter.in_flight == 0
    assert limiter.limit >= before


def test_nothing_is_presumed_lost_where_other_answers_are_slow_too() -> None:
    """In an overload, attempts beyond the limit would only lengthen the queues."""
    harness = harness_with_upstreams(1, instances=2)
    for _ in range(12):
        request = harness.arrive(PAY, client_timeout_us=9_000_000)
        harness.advance(140_000)
        harness.end(request, 0, Outcome.OK)
    before = len(harness.sends())
    for _ in range(30):
        harness.arrive(PAY, client_timeout_us=9_000_000)
        harness.advance(30_000)
    assert len(harness.sends()) == before + int(harness.balancer.endpoints[100].limiter.limit)


def test_late_answer_of_attempt_presumed_lost_is_used_and_frees_its_slot_once() -> None:
    harness = harness_with_upstreams(1, instances=2)
    late = harness.arrive(PAY, client_timeout_us=9_000_000)
    harness.advance(400_000)
    harness.end(late, 0, Outcome.OK)
    assert harness.balancer.total_limiter.in_flight == 0
    assert count_free_slots(harness) == 1
