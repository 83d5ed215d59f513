"""The buffer, rejections and reserved slots while no slot is free."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Refuse,
    RequestClass,
    Upstream,
)
from tests.balancer.harness import BalancerHarness, settings, upstreams
from tests.balancer.steps import (
    PAY,
    READ,
    exhaust_slots,
    harness_with_upstreams,
    run_steps,
)


def test_one_request_is_buffered_and_the_next_is_rejected_if_no_slot_is_free() -> None:
    harness = harness_with_upstreams()
    taken = exhaust_slots(harness)
    assert harness.answer(taken[-1]) is None
    last = harness.arrive(READ)
    answer = harness.answer(last)
    assert isinstance(answer, Refuse)
    assert answer.retry_after_us > 0


def test_buffered_request_takes_the_first_slot_that_becomes_free() -> None:
    harness = harness_with_upstreams()
    taken = exhaust_slots(harness)
    freed = harness.sends(taken[0])[0].upstream
    harness.end(taken[0], 0, Outcome.OK)
    assert [s.upstream for s in harness.sends(taken[-1])] == [freed]


def test_request_buffered_for_half_its_latency_objective_is_rejected() -> None:
    harness = harness_with_upstreams()
    waiting = exhaust_slots(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(waiting), Refuse)


def test_request_too_close_to_its_deadline_is_rejected_without_an_attempt() -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(READ, client_timeout_us=1_000)
    assert isinstance(harness.answer(request), Refuse)
    assert not harness.sends(request)


def test_request_without_ready_upstream_is_buffered_and_then_rejected() -> None:
    harness = BalancerHarness()
    harness.update_list([])
    request = harness.arrive(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Refuse)
    harness.update_list([Upstream(5)])
    assert harness.sends(harness.arrive(READ))


def test_last_slots_are_reserved_for_the_most_valuable_class_while_exhausted() -> None:
    valuable, cheap = 0, 1
    harness = BalancerHarness(
        settings(
            instances=40,
            classes=[
                RequestClass("buy", 400_000, 1_200_000, priority_weight=10.0),
                RequestClass("top-up", 750_000, 4_000_000, priority_weight=8.0),
            ],
        )
    )
    harness.update_list(upstreams(60))

    def fill_slots(class_index: int) -> list[int]:
        """Send requests until one finds no free slot, and return the others."""
        requests = []
        while harness.sends(request := harness.arrive(class_index)):
            requests.append(request)
        return requests

    def end(requests: list[int]) -> None:
        harness.advance(100_000)
        for request in requests:
            harness.end(request, 0, Outcome.OK)

    first = fill_slots(cheap)  # no slots are reserved before capacity is exhausted
    end([request for request, state in harness.requests.items() if state.in_flight()])
    end([request for request, state in harness.requests.items() if state.in_flight()])  # the buffered request
    again, more = fill_slots(cheap), fill_slots(valuable)
    assert len(again) < len(first)
    assert len(more) == 3
    assert len(again) >= len(first) / 2
    end([request for request, state in harness.requests.items() if state.in_flight()])
    harness.advance(2_000_000)
    assert len(fill_slots(cheap)) >= len(first)  # the reservation has ended


def test_stale_timer_does_not_set_another() -> None:
    harness = harness_with_upstreams(2)
    for _ in range(50):
        exhaust_slots(harness)
        harness.advance(1_000)
        for request, state in list(harness.requests.items()):
            for attempt in state.in_flight():
                harness.end(request, attempt, Outcome.FULL)
    harness.advance(10_000_000)
    assert len(harness.timers) == 0


def test_more_valuable_request_replaces_a_less_valuable_one_in_the_buffer() -> None:
    harness = harness_with_upstreams()
    cheap = exhaust_slots(harness)[-1]
    valuable = harness.arrive(PAY)
    assert isinstance(harness.answer(cheap), Refuse)
    assert harness.answer(valuable) is None
    late = harness.arrive(READ)
    assert isinstance(harness.answer(late), Refuse)
    harness.end(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(valuable)


def test_response_times_of_zero_leave_class_values_finite() -> None:
    harness = harness_with_upstreams()
    run_steps(harness, 50, response_time_us=0)
    waiting, last = exhaust_slots(harness)[-1], harness.arrive(PAY)
    assert [harness.answer(request) is None for request in (waiting, last)].count(True) == 1
