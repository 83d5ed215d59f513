"""What other sidecars say of an upstream: a trial at a time, a bounded loss, and never an opening."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as settings_of
from hypothesis import strategies as st

from sidecar_proxy.balancer.events import FleetResized, ListKind, Outcome, OutlierReported, UpstreamState
from sidecar_proxy.balancer.outlier_detection import MAX_TRIAL_INTERVAL_US, OWN_ANSWER_US, TRIAL_INTERVAL_US
from tests.balancer.world import World, settings, upstreams

BAD = 100
GAP_US = 50_000


def listed_world(**changes: object) -> World:
    one = World(settings(**changes))
    one.tell_list(upstreams(6))
    return one


def run_requests(one: World, seconds: float, silent: bool = False, gap_us: int = GAP_US) -> list[int]:
    """Requests in turn, each answered in 10 ms, but by one that is silent; when that one was sent to."""
    found: list[int] = []
    end_us = one.now_us + int(seconds * 1e6)
    while one.now_us < end_us:
        request = one.arrive(1)
        sent = one.sends(request)
        if sent and sent[0].upstream == BAD:
            found.append(one.now_us)
        if sent and not (silent and sent[0].upstream == BAD):
            one.advance(10_000)
            one.end(request, 0, Outcome.OK)
        one.advance(gap_us)
    return found


def test_reported_upstream_gets_one_trial_after_a_pause_and_is_reinstated_by_an_answer() -> None:
    one = listed_world(instances=4)
    one.tell(OutlierReported(BAD, 1.0))
    begin_us = one.now_us
    found = run_requests(one, 20.0)
    rest_us = found[0] - begin_us
    assert TRIAL_INTERVAL_US * 4 // 2 <= rest_us <= TRIAL_INTERVAL_US * 4 * 1.5 + 1_000_000
    after = [at for at in found if at > found[0]]
    assert len(after) > 10
    assert after[0] - found[0] < 2_000_000
    told = one.tell(OutlierReported(BAD, 1.0))
    assert not told
    assert one.balancer.endpoints[BAD].limit_before_probation == 0.0


def test_silent_upstream_on_probation_is_tried_seldom() -> None:
    one = listed_world(instances=50)
    one.tell(OutlierReported(BAD, 0.8))
    assert len(run_requests(one, 30.0, silent=True)) <= 30.0 * 1e6 / (MAX_TRIAL_INTERVAL_US / 2) + 1


@pytest.mark.parametrize("weight", [0.0, 0.1, 0.49])
def test_low_weight_has_no_effect_and_ends_probation(weight: float) -> None:
    one = listed_world(instances=50)
    one.tell(OutlierReported(BAD, weight))
    server = one.balancer.endpoints[BAD]
    assert (server.limit_before_probation, server.limiter.limit) == (0.0, 1.0)
    one.tell(OutlierReported(BAD, 1.0))
    assert server.limit_before_probation == 1.0
    assert server.limiter.limit < 1.0
    one.tell(OutlierReported(BAD, weight))
    assert (server.limit_before_probation, server.limiter.limit) == (0.0, 1.0)


def test_upstream_on_probation_keeps_its_place_in_the_order() -> None:
    """Each of 50 sidecars uses the first few upstreams in its own order.

    Moved down in it, a falsely reported upstream would never have the trial that reinstates it.
    """
    one = listed_world(instances=50)
    servers = one.balancer.endpoints
    first = min(servers.values(), key=one.balancer.pool.order_key).entry.id
    one.tell(OutlierReported(first, 1.0))
    one.advance(int(MAX_TRIAL_INTERVAL_US * 1.5) + 1)
    one.balancer.refresh()
    assert min(servers.values(), key=one.balancer.pool.order_key).entry.id == first
    request = one.arrive(1)
    assert one.sends(request)[0].upstream == first


def test_only_a_quarter_of_the_upstreams_is_put_on_probation() -> None:
    """Hazard: one bad second of a network would close a fleet's every upstream at every sidecar."""
    one = listed_world(instances=4)
    for number in range(6):
        one.tell(OutlierReported(100 + number, 1.0))
    assert [server.limit_before_probation > 0.0 for server in one.balancer.endpoints.values()].count(
        True
    ) == 1
    one.tell(OutlierReported(100, 0.0))
    one.tell(OutlierReported(101, 1.0))
    assert one.balancer.endpoints[101].limit_before_probation


def test_reports_do_not_raise_a_limit_that_own_failures_lowered() -> None:
    one = listed_world(instances=50)
    server = one.balancer.endpoints[BAD]
    server.limiter.limit = 1 / 32
    for weight in (1.0, 0.0, 0.7, 0.2):
        one.tell(OutlierReported(BAD, weight))
        assert server.limiter.limit <= 1 / 32


def test_false_reports_cost_one_pause_at_most() -> None:
    """The bound of docs/design/gossip.md: one rest at first, nothing after it."""
    one, fair = listed_world(instances=4), listed_world(instances=4)
    fair_count = len(run_requests(fair, 40.0))
    begin_us = one.now_us
    found: list[int] = []
    while one.now_us < begin_us + 40_000_000:
        one.tell(OutlierReported(BAD, 1.0))
        found += run_requests(one, 0.5)
    rest_us = int(min(TRIAL_INTERVAL_US * 4, MAX_TRIAL_INTERVAL_US) * 1.5)
    gaps = [b - a for a, b in itertools.pairwise(found)]
    assert found[0] - begin_us <= rest_us + 1_000_000
    assert max(gaps) < OWN_ANSWER_US
    assert len(found) >= fair_count * (1 - rest_us / 40e6) * 0.8


def test_restarted_upstream_is_not_on_probation() -> None:
    one = listed_world(instances=50)
    one.tell(OutlierReported(BAD, 1.0))
    entry = one.balancer.entries[BAD]
    one.tell_list(
        [type(entry)(BAD, UpstreamState.READY, entry.zone, 0, entry.cell, started_us=one.now_us)],
        ListKind.DELTA,
    )
    server = one.balancer.endpoints[BAD]
    assert (server.limit_before_probation, server.limiter.limit) == (0.0, 1.0)


def test_number_of_sidecars_changes_slots_at_warming_upstreams() -> None:
    one = listed_world(instances=2)
    before = one.balancer.pool.warming_slots
    one.tell(FleetResized(20, 3))
    assert one.balancer.pool.sidecars_per_endpoint == 20.0
    assert one.balancer.pool.warming_slots == before / 10
    assert (one.balancer.endpoint_list.subset.index, one.balancer.endpoint_list.subset.instances) == (3, 20)
    one.tell(OutlierReported(999, 1.0))  # of an upstream that nobody lists


@settings_of(max_examples=40, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("suspect"), st.integers(0, 5), st.floats(0, 1)),
            st.tuples(st.just("size"), st.integers(1, 60), st.floats(0, 1)),
            st.tuples(st.just("ask"), st.integers(0, 2), st.floats(0, 1)),
            st.tuples(st.just("wait"), st.integers(1, 400), st.floats(0, 1)),
        ),
        max_size=80,
    )
)
def test_any_reports_keep_the_rules_and_raise_no_limit(told: list[tuple[str, int, float]]) -> None:
    """World checks the rules at each action; what is said opens no slot and closes none for good."""
    one = listed_world(instances=4)
    servers = one.balancer.endpoints
    for what, number, part in told:
        if what == "suspect":
            server = servers[100 + number]
            before = server.ordinary_limit()
            one.tell(OutlierReported(100 + number, part))
            assert server.limiter.limit <= before
            assert server.ordinary_limit() == before
            if server.limit_before_probation and server.failure_rate == 0.0:
                assert server.limiter.paused_until_us - one.now_us <= MAX_TRIAL_INTERVAL_US * 1.5
        elif what == "size":
            one.tell(FleetResized(number, int(part * (number - 1))))
        elif what == "ask":
            request = one.arrive(number)
            if part < 0.7 and one.sends(request):
                one.advance(5_000)
                one.end(request, 0, Outcome.OK if part < 0.4 else Outcome.ERROR)
        else:
            one.advance(number * 1000)
    one.advance(5_000_000)
