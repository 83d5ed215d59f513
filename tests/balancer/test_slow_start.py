"""Slow start: the share of requests that upstreams get that have just started."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Upstream,
)
from tests.balancer.harness import BalancerHarness, settings, upstreams
from tests.balancer.steps import (
    READ,
    exhaust_slots,
    run_steps,
)


def count_sends_to_new(warm_us: int, new_us: int) -> int:
    """Return how many of 300 requests of one sidecar among 40 go to the six of ten upstreams that are new.

    `warm_us` and `new_us` are the response times of the warm and the new upstreams.
    """
    harness = BalancerHarness(settings(instances=40, overload_factor=2.5, cold_share=0.3))
    new = [Upstream(n, started_us=harness.now_us - 1_000) for n in range(1, 7)]
    harness.update_list([*new, *upstreams(4)])
    for _ in range(300):
        request = harness.arrive(READ)
        took_us = new_us if harness.requests[request].attempts[0].upstream < 100 else warm_us
        harness.advance(took_us)
        harness.end(request, 0, Outcome.OK)
    return sum(send.upstream < 100 for send in harness.sends())


def test_warming_upstream_gets_a_small_share() -> None:
    harness = BalancerHarness(settings(instances=24))
    harness.update_list(upstreams(3))
    run_steps(harness, 20, response_time_us=20_000)
    harness.update_list([Upstream(1, started_us=harness.now_us - 1_000), *upstreams(3)])
    run_steps(harness, 150, response_time_us=20_000)
    sends_to_warming = sum(1 for send in harness.sends() if send.upstream == 1)
    assert 0 < sends_to_warming <= 17  # 42 of 170 would be its share when warm


def test_warming_upstreams_get_more_while_they_answer_sooner_than_the_others() -> None:
    faster, equal, slower = (
        count_sends_to_new(60_000, 20_000),
        count_sends_to_new(40_000, 40_000),
        count_sends_to_new(20_000, 60_000),
    )
    assert faster > 1.7 * slower, (faster, equal, slower)
    assert faster > equal > slower, (faster, equal, slower)


def test_fleet_that_is_mostly_warming_keeps_its_slots() -> None:
    free_slots = []
    for new_count in (0, 36):
        harness = BalancerHarness(settings(instances=40, cold_share=0.5, warm_up_us=60_000_000))
        started_us = harness.now_us - 30_000_000  # new ones have three quarters of their capacity by now
        harness.update_list(
            [Upstream(n, started_us=started_us if n <= new_count else 0) for n in range(1, 61)]
        )
        free_slots.append(harness.balancer.total_limiter.free_slots(harness.now_us))
    assert free_slots[0] * 0.6 < free_slots[1] < free_slots[0]


def test_few_sidecars_use_one_slot_of_warming_upstream_when_exhausted_unless_it_fails() -> None:
    harness = BalancerHarness(settings(instances=2))
    harness.update_list([Upstream(1, started_us=harness.now_us - 1_000), *upstreams(2)])
    taken = exhaust_slots(harness)
    sent_to_warming = [r for r in taken if any(send.upstream == 1 for send in harness.sends(r))]
    assert len(sent_to_warming) == 1
    for _ in range(2):
        in_flight_at_warming = [
            r
            for r in taken
            if harness.requests[r].in_flight() and harness.requests[r].attempts[-1].upstream == 1
        ]
        for request in in_flight_at_warming:
            harness.end(request, len(harness.requests[request].attempts) - 1, Outcome.ERROR)
        taken += exhaust_slots(harness)
    assert sum(1 for send in harness.sends() if send.upstream == 1) <= 2


def test_many_sidecars_use_their_allocated_slots_at_warming_upstreams_when_exhausted() -> None:
    """Twenty warm upstreams do not answer, so that capacity is exhausted.

    Each warming one gets the attempts that it can serve from all sidecars together, be they few or many.
    """
    for instances in (12, 40, 200):
        in_flight_counts = dict.fromkeys(range(1, 11), 0)
        for number in range(instances):
            harness = BalancerHarness(
                settings(instances=instances, self_index=number, cold_share=0.5, warm_up_us=60_000_000),
                seed=number,
            )
            harness.update_list(
                [*[Upstream(n, started_us=harness.now_us) for n in range(1, 11)], *upstreams(20)]
            )
            for _ in range(60):
                harness.arrive(READ)
            for request, request_state in harness.requests.items():
                for send in harness.sends(request):
                    if send.upstream <= 10 and request_state.in_flight():
                        in_flight_counts[send.upstream] += 1
        # at half its capacity, an upstream has half of the eight slots of a warm one; no slot is allocated
        # twice, but requests for which a warm one had a free slot may be in flight there too
        assert min(in_flight_counts.values()) >= 3, (instances, in_flight_counts)
        assert sum(in_flight_counts.values()) <= 10 * 4 * 2.5, (instances, in_flight_counts)
