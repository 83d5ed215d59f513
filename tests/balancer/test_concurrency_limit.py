"""The plain mechanism and each departure from it, seen through the interface."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.events import (
    Fail,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestClass,
    Upstream,
    UpstreamState,
)
from sidecar_proxy.balancer.picker import MAX_PROBE_FEE
from tests.balancer.world import World, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def ready_world(count: int = 4, **changes: object) -> World:
    world = World(settings(**changes))
    world.tell_list(upstreams(count))
    return world


def fill(world: World) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(world.arrive(READ))
        if not world.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def test_a_request_goes_to_a_ready_upstream_at_once() -> None:
    world = ready_world()
    request = world.arrive(READ)
    assert [s.upstream in world.known for s in world.sends(request)] == [True]


def test_choice_is_spread_over_all_upstreams() -> None:
    world = ready_world(6)
    for _ in range(60):
        world.end(world.arrive(READ), 0, Outcome.OK)
    assert {s.upstream for s in world.sends()} == set(world.known)


def test_outstanding_sends_are_capped_and_one_request_waits_and_the_next_is_refused() -> None:
    world = ready_world()
    taken = fill(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Refuse) and answer.retry_after_us > 0


@pytest.mark.parametrize(("instances", "slots"), [(1, 2), (2, 2), (3, 1), (8, 1)])
def test_of_one_or_two_sidecars_each_starts_with_two_slots(instances: int, slots: int) -> None:
    world = ready_world(8, instances=instances)
    fill(world)
    assert [server.limiter.in_flight for server in world.balancer.endpoints.values()] == [slots] * 8


def test_the_waiting_request_takes_the_first_slot_that_frees() -> None:
    world = ready_world()
    taken = fill(world)
    freed = world.sends(taken[0])[0].upstream
    world.end(taken[0], 0, Outcome.OK)
    assert [s.upstream for s in world.sends(taken[-1])] == [freed]


def test_what_waited_past_the_delay_threshold_is_refused() -> None:
    world = ready_world()
    waiting = fill(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Refuse)


def test_a_request_too_near_its_due_time_is_refused_unsent() -> None:
    world = ready_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Refuse) and not world.sends(request)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_what_never_ran_is_reissued_elsewhere(outcome: Outcome, class_index: int) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, outcome)
    first, second = world.sends(request)
    assert first.upstream != second.upstream


def test_an_unsafe_request_that_may_have_run_is_failed() -> None:
    world = ready_world()
    request = world.arrive(PAY)
    world.end(request, 0, Outcome.RESET)
    assert isinstance(world.answer(request), Fail) and len(world.sends(request)) == 1


def test_an_unsafe_request_is_waited_for_till_due() -> None:
    world = ready_world()
    request = world.arrive(PAY)
    world.advance(590_000)
    assert world.answer(request) is None
    world.advance(20_000)
    assert isinstance(world.answer(request), Fail)


def test_no_ready_upstream_waits_and_then_refuses() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Refuse)
    world.tell_list([Upstream(5)])
    assert world.sends(world.arrive(READ))


def test_a_cold_upstream_gets_little() -> None:
    world = World(settings(instances=24))
    world.tell_list(upstreams(3))
    churn(world, 20, took_us=20_000)
    world.tell_list([Upstream(1, started_us=world.now_us - 1_000), *upstreams(3)])
    churn(world, 150, took_us=20_000)
    cold = sum(1 for s in world.sends() if s.upstream == 1)
    assert 0 < cold <= 17  # a quarter of 170 would be its share when warm


def test_among_many_sidecars_slots_stay_open_for_longer_answers() -> None:
    """At 0.78 of the slow time, from which a few sidecars refuse and many do not yet."""
    held_by = []
    for instances in (8, 40):
        world = World(settings(instances=instances))
        world.tell_list(upstreams(60))
        total = world.balancer.total_limiter
        for _ in range(100):
            requests = [world.arrive(READ) for _ in range(4)]
            world.advance(117_000)
            for request in requests:
                if world.owed[request].out():
                    world.end(request, 0, Outcome.OK)
        held_by.append(total.limit / total.initial_limit)
    assert held_by[0] < 0.9 and held_by[1] >= 1.0, held_by


def sent_to_new(warm_us: int, new_us: int) -> int:
    """Of 300 requests of a sidecar among 40, those that six new upstreams of ten get; `warm_us` and `new_us`
    are how long the two kinds take.
    """
    world = World(settings(instances=40, overload_factor=2.5, cold_share=0.3))
    new = [Upstream(n, started_us=world.now_us - 1_000) for n in range(1, 7)]
    world.tell_list([*new, *upstreams(4)])
    for _ in range(300):
        request = world.arrive(READ)
        took_us = new_us if world.owed[request].tries[0].upstream < 100 else warm_us
        world.advance(took_us)
        world.end(request, 0, Outcome.OK)
    return sum(s.upstream < 100 for s in world.sends())


def test_new_upstreams_get_more_while_they_answer_sooner_than_the_others() -> None:
    quick, alike, late = sent_to_new(60_000, 20_000), sent_to_new(40_000, 40_000), sent_to_new(20_000, 60_000)
    assert quick > 1.7 * late and quick > alike > late, (quick, alike, late)


def test_a_fleet_that_is_mostly_new_keeps_its_slots() -> None:
    open_now = []
    for new in (0, 36):
        world = World(settings(instances=40, cold_share=0.5, warm_up_us=60_000_000))
        started_us = world.now_us - 30_000_000  # they have three quarters of what a warm one has
        world.tell_list([Upstream(n, started_us=started_us if n <= new else 0) for n in range(1, 61)])
        open_now.append(world.balancer.total_limiter.free_slots(world.now_us))
    assert open_now[0] * 0.6 < open_now[1] < open_now[0]


def test_in_a_shortage_a_few_sidecars_use_one_slot_of_a_cold_upstream_unless_it_fails() -> None:
    world = World(settings(instances=2))
    world.tell_list([Upstream(1, started_us=world.now_us - 1_000), *upstreams(2)])
    taken = fill(world)
    to_cold = [r for r in taken if any(s.upstream == 1 for s in world.sends(r))]
    assert len(to_cold) == 1
    for _ in range(2):
        at_cold = [r for r in taken if world.owed[r].out() and world.owed[r].tries[-1].upstream == 1]
        for request in at_cold:
            world.end(request, len(world.owed[request].tries) - 1, Outcome.ERROR)
        taken += fill(world)
    assert sum(1 for s in world.sends() if s.upstream == 1) <= 2


def test_in_a_shortage_many_sidecars_use_the_slots_of_cold_upstreams_that_are_dealt_to_them() -> None:
    """Twenty warm ones are slow, so that the slots of all close: each cold one gets as much from all sidecars
    together as it can bear, from few of them or from many.
    """
    for instances in (12, 40, 200):
        held = dict.fromkeys(range(1, 11), 0)
        for number in range(instances):
            world = World(
                settings(instances=instances, self_index=number, cold_share=0.5, warm_up_us=60_000_000),
                seed=number,
            )
            world.tell_list([*[Upstream(n, started_us=world.now_us) for n in range(1, 11)], *upstreams(20)])
            for _ in range(60):
                world.arrive(READ)
            for request, owed in world.owed.items():
                for sent in world.sends(request):
                    if sent.upstream <= 10 and owed.out():
                        held[sent.upstream] += 1
        # half as warm, a half of the eight slots that a warm one has; no slot is dealt twice, but sends that
        # a warm one had room for may be there besides
        assert min(held.values()) >= 3 and sum(held.values()) <= 10 * 4 * 2.5, (instances, held)


def test_a_shortage_leaves_its_last_slots_to_the_class_that_is_worth_most_for_its_time() -> None:
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
        found = []
        while world.sends(request := world.arrive(class_index)):
            found.append(request)
        return found

    def end(requests: list[int]) -> None:
        world.advance(100_000)
        for request in requests:
            world.end(request, 0, Outcome.OK)

    first = taken(cheap)  # nothing was short till now
    end([request for request, owed in world.owed.items() if owed.out()])
    end([request for request, owed in world.owed.items() if owed.out()])  # the one that waited
    again, more = taken(cheap), taken(dear)
    assert len(again) < len(first) and len(more) == 3 and len(again) >= len(first) / 2
    end([request for request, owed in world.owed.items() if owed.out()])
    world.advance(2_000_000)
    assert len(taken(cheap)) >= len(first)  # and when nothing is short, none is kept free


def test_an_upstream_that_has_restarted_starts_with_fresh_slots() -> None:
    world = ready_world(2)
    churn(world, 100, 100, Outcome.CONNECT_FAILED)
    assert world.balancer.endpoints[100].limiter.limit < 0.1
    world.tell_list([Upstream(100, started_us=world.now_us - 1_000), Upstream(101)])
    assert world.balancer.endpoints[100].limiter.limit == 1.0


def test_drained_upstreams_get_nothing() -> None:
    world = ready_world(2)
    world.tell_list([Upstream(100, UpstreamState.DRAINING), Upstream(101, UpstreamState.GONE)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)


def churn(
    world: World,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.FULL,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        world.arrive(class_index)
        world.advance(took_us)
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            for attempt in world.owed[ident].out():
                at_bad = world.owed[ident].tries[attempt].upstream == bad
                world.end(ident, attempt, fault if at_bad else Outcome.OK)


def held(world: World) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in fill(world) if world.sends(r)]
    for request in taken:
        world.end(request, 0, Outcome.OK)
    return len(taken)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_upstream_that_fails_at_once_does_not_draw_more(outcome: Outcome) -> None:
    world = ready_world(5)
    churn(world, 200, 100, outcome)
    assert sum(1 for s in world.sends() if s.upstream == 100) < 20


def test_an_upstream_that_failed_is_tried_again_and_comes_back() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    churn(world, 1000)
    assert sum(1 for s in world.sends()[-200:] if s.upstream == 100) > 30


def test_slots_open_only_while_requests_find_none_free() -> None:
    world = ready_world(4)
    churn(world, 100)
    assert held(world) == 4


def test_slots_open_under_need_and_close_on_slow_answers() -> None:
    world = ready_world(4)

    def rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            fill(world)
            churn(world, 1, took_us=took_us)

    rounds(60, 20_000)
    churn(world, 1)
    grown = held(world)
    assert 8 <= grown <= 32
    rounds(20, 250_000)
    churn(world, 3)
    assert held(world) < grown / 2


def test_a_stale_timer_does_not_arm_another() -> None:
    world = ready_world(2)
    for _ in range(50):
        fill(world)
        world.advance(1_000)
        for ident, owed in list(world.owed.items()):
            for attempt in owed.out():
                world.end(ident, attempt, Outcome.FULL)
    world.advance(10_000_000)
    assert len(world.timers) == 0


def test_an_idle_upstream_of_this_zone_is_drawn_first_where_crossing_costs() -> None:
    world = ready_world(8, zone=1, cross_zone_fee=0.03)
    first = [world.arrive(READ) for _ in range(2)]
    assert {world.known[world.sends(r)[0].upstream].zone for r in first} == {1}
    third = world.arrive(READ)
    assert world.known[world.sends(third)[0].upstream].zone != 1


def test_zones_do_not_matter_where_crossing_is_free() -> None:
    world = ready_world(8, zone=1)
    churn(world, 100)
    assert {world.known[s.upstream].zone for s in world.sends()} == {0, 1, 2, 3}


def test_a_dearer_request_takes_the_buffer_from_a_cheaper_one() -> None:
    world = ready_world()
    cheap = fill(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Refuse) and world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Refuse)
    world.end(world.sends()[0].request, 0, Outcome.OK)
    assert world.sends(dear)


@pytest.mark.parametrize(("class_index", "hedging_allowed"), [(PAY, True), (READ, False), (READ, True)])
def test_one_attempt_at_a_time_also_where_copies_are_allowed(class_index: int, hedging_allowed: bool) -> None:
    world = ready_world(hedging_allowed=hedging_allowed)
    request = world.arrive(class_index)
    world.advance(250_000)
    assert len(world.sends(request)) == 1


def test_no_copy_while_others_wait_for_a_slot() -> None:
    world = ready_world()
    fill(world)
    world.advance(140_000)
    fill(world)
    world.advance(20_000)
    assert all(len(owed.tries) <= 1 for owed in world.owed.values())


def test_answers_that_took_no_measurable_time_do_no_harm() -> None:
    world = ready_world()
    churn(world, 50, took_us=0)
    waiting, last = fill(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1


@pytest.mark.parametrize(("class_index", "again"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_reissued_where_the_class_may_run_again(class_index: int, again: bool) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, Outcome.ERROR)
    assert (len(world.sends(request)) == 2) is again


def test_many_sidecars_share_the_first_slots_of_all_upstreams_together() -> None:
    assert held(ready_world(30, instances=3)) == 30
    assert held(ready_world(30, instances=24)) == 10  # a 24th of 8 for each of 30
    assert held(ready_world(30, instances=1000)) == 2  # requests that come together find room all the same


def test_slow_answers_hold_a_small_sidecar_back_at_all_upstreams_together() -> None:
    """Hundreds of sidecars crowd a fleet, each a stranger at every single upstream."""
    world = ready_world(60, instances=1000)
    for _ in range(12):
        churn(world, 1, took_us=290_000, class_index=PAY)
    assert sum(1 for s in world.balancer.endpoints.values() if s.limiter.limit >= 1.0) > 40
    before = len(world.sends())
    for _ in range(20):
        world.arrive(PAY)
        world.advance(5_000)
    assert len(world.sends()) - before <= 1


def test_a_hung_upstream_holds_nothing_back_at_the_others() -> None:
    world = ready_world(60, instances=1000)
    for _ in range(30):
        churn(world, 2, bad=100, fault=Outcome.ERROR, class_index=PAY)
    assert held(world) == 2


def test_a_small_sidecar_keeps_to_few_upstreams_and_widens_when_they_are_busy() -> None:
    world = ready_world(60, instances=1000)
    churn(world, 100, class_index=PAY)
    assert len({s.upstream for s in world.sends()}) <= 2
    busy = [world.arrive(PAY) for _ in range(2)]
    assert len({world.sends(r)[0].upstream for r in busy}) == 2


def test_a_small_sidecar_leaves_an_upstream_that_is_slower_than_half_the_aim() -> None:
    world = ready_world(60, instances=1000)
    first = world.sends(world.arrive(PAY))[0].upstream
    for slow in (True, True, True, True, False):
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            world.advance(200_000 if slow else 20_000)
            world.end(ident, 0, Outcome.OK)
        world.advance(1_000_000)
        last = world.sends(world.arrive(PAY))[0].upstream
    assert last != first


def test_small_sidecars_spread_over_all_upstreams_by_weight() -> None:
    counts = [0, 0]
    for seed in range(300):
        world = World(settings(instances=1000, weighted=True), seed)
        world.tell_list([Upstream(n, weight=1.0 + 2.0 * (n % 2)) for n in range(1, 41)])
        counts[world.sends(world.arrive(PAY))[0].upstream % 2] += 1
    assert 1.8 < counts[1] / counts[0] < 5.0


def test_few_sidecars_draw_by_weight() -> None:
    world = World(settings(weighted=True))
    world.tell_list([Upstream(1, weight=1.0), Upstream(2, weight=4.0)])
    churn(world, 300, class_index=PAY)
    larger = sum(1 for s in world.sends() if s.upstream == 2)
    assert 200 < larger < 280


def test_a_time_out_is_half_the_aim_at_least() -> None:
    world = ready_world(hedging_allowed=False)
    churn(world, 50, took_us=1_000)
    assert world.sends(world.arrive(READ))[0].timeout_us == 150_000


def busy_world() -> World:
    """One upstream whose slots have opened under need."""
    world = ready_world(1)
    for _ in range(80):
        fill(world)
        churn(world, 1, took_us=20_000)
    churn(world, 1)
    return world


def test_one_natural_error_leaves_an_upstream_its_other_slots() -> None:
    world = busy_world()
    before = held(world)
    world.end(world.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert held(world) >= before / 2 - 1


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.ERROR])
def test_failures_that_come_alike_from_all_close_no_slots(fault: Outcome) -> None:
    """Peers that break off one answer in ten, whoever it is of: fewer slots only refuse the other nine."""
    world = ready_world(10)
    for step in range(400):
        request = world.arrive(PAY)
        world.advance(10_000)
        world.end(request, 0, fault if step % 10 == 9 else Outcome.OK)
    windows = [server.limiter.limit for server in world.balancer.endpoints.values()]
    assert sum(window >= 1.0 for window in windows) >= 8


def test_those_that_fail_lose_their_slots_also_if_they_are_nearly_half_of_all() -> None:
    world = ready_world(10)
    for _ in range(400):
        request = world.arrive(PAY)
        world.advance(10_000)
        for attempt in world.owed[request].out():
            world.end(
                request,
                attempt,
                Outcome.ERROR if world.owed[request].tries[attempt].upstream < 104 else Outcome.OK,
            )
    windows = {ident: server.limiter.limit for ident, server in world.balancer.endpoints.items()}
    assert all((window < 0.3) is (ident < 104) for ident, window in windows.items()), windows


def test_one_heavy_request_among_quick_answers_closes_no_slot() -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1, took_us=170_000)  # over half the aim
    assert held(world) >= before - 1


def test_without_need_slots_grow_back_to_the_first_ones_only() -> None:
    world = ready_world(40, instances=24)
    churn(world, 400)
    assert all(server.limiter.limit <= 1.0 for server in world.balancer.endpoints.values())
    assert held(world) == 13  # a 24th of 8 for each of 40


def test_slots_go_on_opening_for_two_aims_after_a_shortage_and_no_longer() -> None:
    windows = []
    for pause_us in (300_000, 900_000):
        world = ready_world(1)
        taken = fill(world)
        world.advance(10_000)
        for request in (taken[0], taken[-1]):
            world.end(request, 0, Outcome.OK)
        world.advance(pause_us)
        before = world.balancer.endpoints[100].limiter.limit
        churn(world, 3)
        windows.append(world.balancer.endpoints[100].limiter.limit - before)
    assert windows[0] > 0 and windows[1] == 0


def test_quicker_answers_open_slots_faster() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        world = ready_world(4)
        for _ in range(6):
            fill(world)
            churn(world, 1, took_us=took_us)
        churn(world, 1, took_us=took_us)
        counts.append(held(world))
    assert counts[0] > counts[1]


def test_a_request_known_to_be_heavy_is_not_timed_out_early() -> None:
    world = ready_world(hedging_allowed=False)
    churn(world, 50)
    light, heavy = world.arrive(READ, cost_us=10_000), world.arrive(READ, cost_us=200_000)
    assert world.sends(light)[0].timeout_us < 200_000 < 800_000 <= world.sends(heavy)[0].timeout_us


def log_lines(world: World) -> list[str]:
    return [action.text for action in world.log if isinstance(action, Log)]


def test_a_failing_upstream_is_logged_when_it_rests_and_when_it_is_back() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    assert log_lines(world) == ["upstream 100 rests"]
    churn(world, 1000)
    assert log_lines(world) == ["upstream 100 rests", "upstream 100 is back"]


def test_log_lines_are_few_on_the_worst_day() -> None:
    world = ready_world(50)
    begin_us = world.now_us
    for fault in (Outcome.FULL, Outcome.OK, Outcome.FULL, Outcome.OK):
        for _ in range(30):
            churn_all(world, fault)
    assert 1 <= len(log_lines(world)) <= 1 + (world.now_us - begin_us) / 1_000_000


def churn_all(world: World, outcome: Outcome) -> None:
    """A few requests, and one outcome for all that is out."""
    for _ in range(20):
        world.arrive(PAY)
    world.advance(10_000)
    for ident, owed in list(world.owed.items()):
        for attempt in owed.out():
            world.end(ident, attempt, outcome)


@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_after_an_outage_that_every_answer_outlasted_requests_are_tried_again(hedging_allowed: bool) -> None:
    world = ready_world(2, hedging_allowed=hedging_allowed)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            world.arrive(class_index)
        world.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        churn(world, 20, class_index=class_index)
        before = len(world.sends())
        churn(world, 20, class_index=class_index)
        assert len(world.sends()) - before >= 15


def asking_world(reports: dict[int, float | None], **changes: object) -> World:
    """Many sidecars whose upstreams, when probed, tell how many requests they hold (None: no report)."""
    values: dict[str, object] = {
        "instances": 1000,
        "probes": True,
        "report_names": ["in_flight"],
        "hedging_allowed": False,
        **changes,
    }
    world = ready_world(len(reports), **values)
    world.reports = reports
    return world


def answer_probes(world: World) -> None:
    told = 0
    while told < len(world.log):
        action = world.log[told]
        told += 1
        if isinstance(action, Probe):
            held = world.reports[action.upstream]
            world.tell(ProbeEnded(action.upstream, Outcome.OK, 500, [] if held is None else [held]))


def test_where_load_is_told_the_least_crowded_of_a_few_is_taken() -> None:
    for seed in range(3):
        world = asking_world({100 + seed: 9.0, 100 + (seed + 1) % 3: 1.0, 100 + (seed + 2) % 3: 4.0})
        request = world.arrive(READ)
        assert not world.sends(request)
        answer_probes(world)
        assert [s.upstream for s in world.sends(request)] == [100 + (seed + 1) % 3]


def test_an_idle_upstream_is_taken_without_asking_more() -> None:
    world = asking_world({100: 0.0, 101: 0.0, 102: 0.0})
    request = world.arrive(READ)
    answer_probes(world)
    assert len(world.sends(request)) == 1
    assert sum(isinstance(action, Probe) for action in world.log) == 1


def test_a_missing_report_comes_after_known_room_and_before_a_known_crowd() -> None:
    for other, taken in ((2.0, 101), (9.0, 100)):
        world = asking_world({100: None, 101: other})
        request = world.arrive(READ)
        answer_probes(world)
        assert [s.upstream for s in world.sends(request)] == [taken]


def test_what_answers_no_probe_is_not_waited_for_long() -> None:
    world = asking_world({100: 0.0, 101: 0.0, 102: 0.0})
    request = world.arrive(READ)
    world.advance(20_000)  # over a twentieth of the aim
    assert len(world.sends(request)) == 1


def test_a_request_that_meets_only_crowds_is_refused_before_the_queues_fill() -> None:
    world = asking_world({100: 40.0, 101: 40.0, 102: 40.0})
    request = world.arrive(READ)
    answer_probes(world)
    assert isinstance(world.answer(request), Refuse) and not world.sends(request)


def test_few_sidecars_do_not_ask() -> None:
    world = asking_world({100: 40.0, 101: 40.0}, instances=3)
    assert len(world.sends(world.arrive(READ))) == 1


def test_load_is_not_asked_for_where_a_probe_costs_more_than_the_better_choice_gains() -> None:
    for fee, sent in ((MAX_PROBE_FEE / 2, 0), (MAX_PROBE_FEE * 2, 1)):
        world = asking_world({100: 40.0, 101: 0.0, 102: 40.0}, probe_fee=fee)
        assert len(world.sends(world.arrive(READ))) == sent
        assert any(isinstance(action, Probe) for action in world.log) == (sent == 0)


def test_a_client_that_quits_while_load_is_asked_leaves_nothing_behind() -> None:
    world = asking_world({100: 1.0, 101: 1.0})
    request = world.arrive(READ)
    world.quit(request)
    answer_probes(world)
    world.advance(100_000)
    assert not world.sends(request) and not world.balancer.prober.waiting and not world.balancer.requests


def test_a_key_meets_the_same_upstream_from_every_sidecar_and_keys_spread() -> None:
    first: dict[int, set[int]] = {}
    for seed in range(8):
        world = World(settings(instances=1000, key_affinity=True), seed)
        world.tell_list(upstreams(12))
        for key in range(1, 60):
            request = world.arrive(READ, key=key * 0x1234567)
            first.setdefault(key, set()).update(s.upstream for s in world.sends(request))
            world.end(request, 0, Outcome.OK)
    assert all(len(met) <= 4 for met in first.values())
    assert len(set.union(*first.values())) >= 11


def test_lost_answers_close_no_slots_of_all_upstreams_together() -> None:
    world = ready_world(60, instances=1000)
    churn(world, 20, took_us=20_000, class_index=PAY)
    before = world.balancer.total_limiter.limit
    for _ in range(10):
        world.arrive(PAY)
        world.advance(700_000)  # silence until due
        churn(world, 1, took_us=20_000, class_index=PAY)
    assert world.balancer.total_limiter.limit >= before


def test_an_answer_worth_nothing_after_the_aim_is_not_waited_for() -> None:
    """Lost answers would hold their slots till due."""
    for late_weight, waits_us in ((0.0, 296_000), (0.3, 600_000)):
        world = ready_world(
            classes=[RequestClass("act", 300_000, 600_000, effect="at_most_once", late_weight=late_weight)]
        )
        assert world.sends(world.arrive(0))[0].timeout_us == waits_us


def test_a_silent_upstream_gets_two_more_than_its_slot_and_no_third() -> None:
    world = ready_world(1)
    for _ in range(100):
        world.arrive(PAY, patience_us=9_000_000)
        world.advance(30_000)
    assert len(world.sends()) == 3


def test_lost_answers_that_later_ones_have_passed_close_no_slots() -> None:
    """Hazard: fewer slots only refuse those that would be answered at once."""
    world = busy_world()
    world.advance(1_000_000)
    limiter = world.balancer.endpoints[100].limiter
    before = limiter.limit
    for _ in range(4):
        world.arrive(PAY, patience_us=9_000_000)
        world.advance(10_000)
        world.end(world.arrive(PAY), 0, Outcome.OK)
        world.advance(300_000)
        assert limiter.in_flight == 0
    assert limiter.limit >= before


def test_where_the_other_answers_are_slow_too_nothing_is_presumed_lost() -> None:
    """Hazard: in an overload more than the slots hold would lengthen the queues."""
    world = ready_world(1, instances=2)
    for _ in range(12):
        request = world.arrive(PAY, patience_us=9_000_000)
        world.advance(140_000)
        world.end(request, 0, Outcome.OK)
    before = len(world.sends())
    for _ in range(30):
        world.arrive(PAY, patience_us=9_000_000)
        world.advance(30_000)
    assert len(world.sends()) == before + int(world.balancer.endpoints[100].limiter.limit)


def test_a_late_answer_to_what_was_presumed_lost_is_taken_and_frees_nothing_twice() -> None:
    world = ready_world(1, instances=2)
    late = world.arrive(PAY, patience_us=9_000_000)
    world.advance(400_000)
    world.end(late, 0, Outcome.OK)
    assert world.balancer.total_limiter.in_flight == 0 and held(world) == 1  # of two


def test_those_that_fail_less_are_drawn_first_and_the_others_beyond_their_slots() -> None:
    world, at_failing = ready_world(4), 0
    failing = list(world.balancer.endpoints.values())[:2]
    for _ in range(200):
        for server in failing:
            server.failure_rate = 0.3
            world.balancer.pool.update(server, world.now_us)
        taken = [world.arrive(PAY) for _ in range(4)]
        at_failing += world.sends(taken[0])[0].upstream in (100, 101)
        assert {world.sends(request)[0].upstream for request in taken} == set(world.known)
        for request in taken:
            world.end(request, 0, Outcome.OK)
    assert 0 < at_failing < 30  # half of 200 by chance; none, and it would never be seen to be well again


def test_no_more_requests_ask_at_once_than_there_are_upstreams() -> None:
    """A long batch of arrivals would make every probe's answer a search through all of them."""
    world = asking_world({100: 1.0, 101: 1.0, 102: 1.0})
    for _ in range(50):
        world.arrive(READ)
    assert len(world.balancer.prober.waiting) <= 3
