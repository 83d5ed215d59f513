"""The waiting request, rejections and reserved slots while no slot is free."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Refuse,
    RequestClass,
    Upstream,
)
from tests.balancer.steps import (
    PAY,
    READ,
    exhaust_slots,
    listed_world,
    run_steps,
)
from tests.balancer.world import World, settings, upstreams


def test_one_request_waits_and_the_next_is_rejected_when_no_slot_is_free() -> None:
    world = listed_world()
    taken = exhaust_slots(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Refuse)
    assert answer.retry_after_us > 0


def test_waiting_request_takes_the_first_slot_that_frees() -> None:
    world = listed_world()
    taken = exhaust_slots(world)
    freed = world.sends(taken[0])[0].upstream
    world.end(taken[0], 0, Outcome.OK)
    assert [s.upstream for s in world.sends(taken[-1])] == [freed]


def test_request_that_waited_half_its_objective_is_rejected() -> None:
    world = listed_world()
    waiting = exhaust_slots(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Refuse)


def test_request_too_near_its_due_time_is_rejected_unsent() -> None:
    world = listed_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Refuse)
    assert not world.sends(request)


def test_request_without_ready_upstream_waits_and_is_then_rejected() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Refuse)
    world.tell_list([Upstream(5)])
    assert world.sends(world.arrive(READ))


def test_last_slots_are_reserved_for_the_most_valuable_class_while_exhausted() -> None:
    dear, cheap = 0, 1
    world = World(
        settings(
            instances=40,
            classes=[
                RequestClass("buy", 400_000, 1_200_000, priority_weight=10.0),
                RequestClass("top-up", 750_000, 4_000_000, priority_weight=8.0),
            ],
        )
    )
    world.tell_list(upstreams(60))

    def taken(class_index: int) -> list[int]:
        """How many find a slot, till one finds none."""
        requests = []
        while world.sends(request := world.arrive(class_index)):
            requests.append(request)
        return requests

    def end(requests: list[int]) -> None:
        world.advance(100_000)
        for request in requests:
            world.end(request, 0, Outcome.OK)

    first = taken(cheap)  # nothing was short till now
    end([request for request, owed in world.owed.items() if owed.out()])
    end([request for request, owed in world.owed.items() if owed.out()])  # the one that waited
    again, more = taken(cheap), taken(dear)
    assert len(again) < len(first)
    assert len(more) == 3
    assert len(again) >= len(first) / 2
    end([request for request, owed in world.owed.items() if owed.out()])
    world.advance(2_000_000)
    assert len(taken(cheap)) >= len(first)  # and when nothing is short, none is kept free


def test_stale_timer_does_not_set_another() -> None:
    world = listed_world(2)
    for _ in range(50):
        exhaust_slots(world)
        world.advance(1_000)
        for ident, owed in list(world.owed.items()):
            for attempt in owed.out():
                world.end(ident, attempt, Outcome.FULL)
    world.advance(10_000_000)
    assert len(world.timers) == 0


def test_more_valuable_request_takes_the_buffer_from_a_cheaper_one() -> None:
    world = listed_world()
    cheap = exhaust_slots(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Refuse)
    assert world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Refuse)
    world.end(world.sends()[0].request, 0, Outcome.OK)
    assert world.sends(dear)


def test_answers_of_no_measurable_time_leave_request_values_finite() -> None:
    world = listed_world()
    run_steps(world, 50, took_us=0)
    waiting, last = exhaust_slots(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1
