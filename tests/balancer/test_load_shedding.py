"""The waiting request, rejections and reserved slots while no slot is free."""

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


def test_one_request_waits_and_the_next_is_rejected_when_no_slot_is_free() -> None:
    harness = harness_with_upstreams()
    taken = exhaust_slots(harness)
    assert harness.answer(taken[-1]) is None
    last = harness.arrive(READ)
    answer = harness.answer(last)
    assert isinstance(answer, Refuse)
    assert answer.retry_after_us > 0


def test_waiting_request_takes_the_first_slot_that_frees() -> None:
    harness = harness_with_upstreams()
    taken = exhaust_slots(harness)
    freed = harness.sends(taken[0])[0].upstream
    harness.end(taken[0], 0, Outcome.OK)
    assert [s.upstream for s in harness.sends(taken[-1])] == [freed]


def test_request_that_waited_half_its_objective_is_rejected() -> None:
    harness = harness_with_upstreams()
    waiting = exhaust_slots(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(waiting), Refuse)


def test_request_too_near_its_due_time_is_rejected_unsent() -> None:
    harness = harness_with_upstreams()
    request = harness.arrive(READ, client_timeout_us=1_000)
    assert isinstance(harness.answer(request), Refuse)
    assert not harness.sends(request)


def test_request_without_ready_upstream_waits_and_is_then_rejected() -> None:
    harness = BalancerHarness()
    harness.update_list([])
    request = harness.arrive(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Refuse)
    harness.update_list([Upstream(5)])
    assert harness.sends(harness.arrive(READ))


def test_last_slots_are_reserved_for_the_most_valuable_class_while_exhausted() -> None:
    dear, cheap = 0, 1
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

    def taken(class_index: int) -> list[int]:
        """How many find a slot, till one finds none."""
        requests = []
        while harness.sends(request := harness.arrive(class_index)):
            requests.append(request)
        return requests

    def end(requests: list[int]) -> None:
        harness.advance(100_000)
        for request in requests:
            harness.end(request, 0, Outcome.OK)

    first = taken(cheap)  # nothing was short till now
    end([request for request, owed in harness.requests.items() if owed.in_flight()])
    end([request for request, owed in harness.requests.items() if owed.in_flight()])  # the one that waited
    again, more = taken(cheap), taken(dear)
    assert len(again) < len(first)
    assert len(more) == 3
    assert len(again) >= len(first) / 2
    end([request for request, owed in harness.requests.items() if owed.in_flight()])
    harness.advance(2_000_000)
    assert len(taken(cheap)) >= len(first)  # and when nothing is short, none is kept free


def test_stale_timer_does_not_set_another() -> None:
    harness = harness_with_upstreams(2)
    for _ in range(50):
        exhaust_slots(harness)
        harness.advance(1_000)
        for ident, owed in list(harness.requests.items()):
            for attempt in owed.in_flight():
                harness.end(ident, attempt, Outcome.FULL)
    harness.advance(10_000_000)
    assert len(harness.timers) == 0


def test_more_valuable_request_takes_the_buffer_from_a_cheaper_one() -> None:
    harness = harness_with_upstreams()
    cheap = exhaust_slots(harness)[-1]
    dear = harness.arrive(PAY)
    assert isinstance(harness.answer(cheap), Refuse)
    assert harness.answer(dear) is None
    late = harness.arrive(READ)
    assert isinstance(harness.answer(late), Refuse)
    harness.end(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(dear)


def test_answers_of_no_measurable_time_leave_request_values_finite() -> None:
    harness = harness_with_upstreams()
    run_steps(harness, 50, response_time_us=0)
    waiting, last = exhaust_slots(harness)[-1], harness.arrive(PAY)
    assert [harness.answer(r) is None for r in (waiting, last)].count(True) == 1
