"""The four service rules under arbitrary legal event sequences.

BalancerHarness checks rules 1 to 3 on every action; `WarmingFleet` measures rule 4.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.events import (
    AttemptEnded,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer.harness import START_US, BalancerHarness, classes, settings, upstreams

FAULTS = [o for o in Outcome if o is not Outcome.TIMEOUT]

STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1, 2_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(FAULTS)),
    st.tuples(st.just("advance"), st.integers(0, 700_000), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from(list(UpstreamState))),
    st.tuples(st.just("full"), st.integers(0, 8), st.sampled_from([ListKind.FULL, ListKind.CACHED])),
    st.tuples(st.just("restart"), st.integers(0, 7), st.integers(0, 30_000_000)),
    st.tuples(st.just("fail"), st.just(0), st.just(0)),
    st.tuples(st.just("quit"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("stream"), st.integers(0, 50), st.just(0)),
)

CONFIGS = st.fixed_dictionaries(
    {
        "hedging_allowed": st.booleans(),
        "list_on_request": st.booleans(),
        "cancel": st.booleans(),
        "max_attempts": st.integers(1, 5),
        "instances": st.integers(1, 8),
        "retry_after": st.booleans(),
        "max_poll_interval_us": st.sampled_from([0, 10_000_000]),
        "probes": st.booleans(),
        "report_names": st.sampled_from([[], ["utilization"], ["in_flight", "queued", "latency_ms"]]),
    }
)


def all_kinds_of_classes() -> list[RequestClass]:
    return [
        *classes(),
        RequestClass(
            "zoned", 200_000, 900_000, effect="deduplicated", group="zone", deduplication_window_us=400_000
        ),
        RequestClass(
            "feed", 200_000, 900_000, effect="deduplicated", deduplication_window_us=9_000_000, stream=True
        ),
    ]


def apply_step(harness: BalancerHarness, step: tuple[str, int, object]) -> None:
    kind, number, extra = step
    if kind == "arrive":
        assert isinstance(extra, int)
        harness.arrive(number, client_timeout_us=extra)
    elif kind == "advance":
        harness.advance(number)
    elif kind in ("list", "restart", "full", "fail"):
        apply_list_step(harness, step)
    elif kind == "quit" and harness.requests:
        request = list(harness.requests)[number % len(harness.requests)]
        if not harness.requests[request].is_closed:
            harness.disconnect_client(request)
    elif kind in ("end", "stream"):
        apply_attempt_step(harness, step)


def apply_list_step(harness: BalancerHarness, step: tuple[str, int, object]) -> None:
    kind, number, extra = step
    if kind in ("list", "restart"):
        started_us = harness.now_us - extra if isinstance(extra, int) else 0
        state = extra if isinstance(extra, UpstreamState) else UpstreamState.READY
        entry = Upstream(100 + number, state, number // 2, 0, number // 2, 1.0, started_us)
        harness.update_list([entry], ListKind.DELTA)
    elif kind == "full":
        assert isinstance(extra, ListKind)
        harness.update_list(upstreams(number), extra)
    elif harness.settings.list_on_request:
        harness.dispatch(UpstreamsUpdated(ListKind.FAILED))


def apply_attempt_step(harness: BalancerHarness, step: tuple[str, int, object]) -> None:
    kind, number, extra = step
    in_flight = [
        (request, attempt) for request, state in harness.requests.items() for attempt in state.in_flight()
    ]
    if kind == "end":
        if in_flight:
            assert isinstance(extra, Outcome)
            harness.end(*in_flight[number % len(in_flight)], extra)
        return
    streams = [
        (request, attempt)
        for request, attempt in in_flight
        if harness.settings.classes[harness.requests[request].event.class_index].stream
        and not harness.requests[request].is_streaming
        and not harness.requests[request].is_closed
    ]
    if streams:
        harness.begin_stream(*streams[number % len(streams)])


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(CONFIGS, st.integers(0, 2**64 - 1), st.lists(STEPS, max_size=80))
def test_any_legal_events_comply_with_the_rules(
    config: dict[str, object], seed: int, steps: list[tuple[str, int, object]]
) -> None:
    harness = BalancerHarness(settings(classes=all_kinds_of_classes(), **config), seed)
    harness.update_list(upstreams(6), ListKind.CACHED)
    for step in steps:
        apply_step(harness, step)
    harness.advance(5_000_000)  # fails if a request has no response by its deadline


def run_busy_day(config: dict[str, object], seed: int) -> list[object]:
    """Run 1500 random events with every kind of fault, so that requests are buffered and retried."""
    rng = random.Random(seed)
    harness = BalancerHarness(settings(classes=all_kinds_of_classes(), **config), seed)
    harness.update_list(upstreams(6), ListKind.CACHED)
    for _ in range(1500):
        kind = rng.choices(
            ["arrive", "end", "advance", "list", "restart", "quit", "stream", "fail"],
            [50, 40, 10, 1, 1, 1, 1, 1],
        )[0]
        extra: object = 0
        number = rng.randrange(50)
        if kind == "arrive":
            number, extra = rng.randrange(5), rng.randrange(1_000, 2_000_000)
        elif kind == "end":
            extra = rng.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1])[0]
        elif kind == "advance":
            number = rng.randrange(60_000)
        elif kind in ("list", "restart"):
            number = rng.randrange(8)
            extra = rng.choice(list(UpstreamState)) if kind == "list" else rng.randrange(30_000_000)
        apply_step(harness, (kind, number, extra))
    harness.advance(5_000_000)
    return list(harness.actions)


def test_busy_days_comply_with_the_rules_and_are_deterministic() -> None:
    for seed in range(12):
        config: dict[str, object] = {
            "hedging_allowed": seed % 2 == 0,
            "list_on_request": seed % 3 == 0,
            "max_poll_interval_us": 10_000_000,
            "report_names": [["utilization"], [], ["queued", "in_flight"]][seed % 3],
            "probes": seed % 4 == 0,
        }
        assert run_busy_day(config, seed) == run_busy_day(config, seed)


class WarmingFleet:
    """Sidecars that send to ten upstreams of one core each, of which the first `new_count` have just started.

    Each upstream serves one request at a time, in 40 ms when it is warm. Upstream 1 ends all its attempts
    with `outcome`; the others succeed.
    """

    WORK_US = 40_000

    def __init__(self, sidecars: int, outcome: Outcome, new_count: int) -> None:
        self.config = settings(instances=sidecars, classes=[RequestClass("read", 300_000, 1_500_000)])
        self.outcome = outcome
        self.new_count = new_count
        self.balancers = [Balancer(self.config, n, START_US) for n in range(sidecars)]
        # time at which each upstream has served its queue
        self.free_us = dict.fromkeys(range(1, 11), START_US)
        self.sent_us: list[int] = []  # times at which upstream 1 got its requests
        # (end time, sidecar, request, upstream, attempt, start time) of each attempt in flight
        self.ends: list[tuple[int, int, int, int, int, int]] = []
        self.attempts: dict[int, int] = {}  # number of attempts of each request
        self.now_us = START_US
        listed = [Upstream(n, started_us=START_US if n <= new_count else 0) for n in range(1, 11)]
        for balancer in self.balancers:
            balancer.handle(self.now_us, UpstreamsUpdated(ListKind.FULL, listed))

    def slow_start_weight(self, at_us: int) -> float:
        config = self.config
        return config.cold_share + (1 - config.cold_share) * (at_us - START_US) / config.warm_up_us

    def due_events(self) -> list[tuple[int, AttemptEnded]]:
        events = []
        for end in [e for e in self.ends if e[0] <= self.now_us]:
            self.ends.remove(end)
            _, number, request, upstream, attempt, sent_us = end
            outcome = self.outcome if upstream == 1 else Outcome.OK
            elapsed_us = self.now_us - sent_us
            events.append(
                (number, AttemptEnded(request, attempt, upstream, outcome, elapsed_us, outcome is Outcome.OK))
            )
        return events

    def handle(self, number: int, event: RequestArrived | AttemptEnded) -> None:
        for action in self.balancers[number].handle(self.now_us, event):
            if isinstance(action, Send):
                self.send(number, action)

    def send(self, number: int, action: Send) -> None:
        attempt = self.attempts.get(action.request, 0)
        self.attempts[action.request] = attempt + 1
        upstream, ready_us = action.upstream, self.now_us + self.WORK_US
        if upstream > 1 or self.outcome is Outcome.OK:
            weight = self.slow_start_weight(self.now_us) if upstream <= self.new_count else 1.0
            ready_us = max(self.free_us[upstream], self.now_us) + int(self.WORK_US / weight)
            self.free_us[upstream] = ready_us
        self.ends.append((ready_us, number, action.request, upstream, attempt, self.now_us))
        if upstream == 1:
            self.sent_us.append(self.now_us)

    def worst_share(self) -> float:
        """Return the greatest ratio of the work that upstream 1 got in any `fall_us` to what it bears."""
        worst = 0.0
        for start_us in self.sent_us:
            work_us = self.WORK_US * sum(
                start_us <= at_us < start_us + self.config.fall_us for at_us in self.sent_us
            )
            budget_us = self.config.overload_factor * self.slow_start_weight(start_us) * self.config.fall_us
            worst = max(worst, work_us / budget_us)
        return worst


def worst_overload_share(rates: list[int], outcome: Outcome, new_count: int = 1) -> float:
    """Return the greatest ratio of the work that upstream 1 gets in any `fall_us` to what it bears.

    `rates` has the number of requests that each sidecar gets per tick of 4 ms.
    """
    fleet = WarmingFleet(len(rates), outcome, new_count)
    request = 0
    while fleet.now_us < START_US + 8_000_000:
        events: list[tuple[int, RequestArrived | AttemptEnded]] = []
        for number, rate in enumerate(rates):
            for _ in range(rate):
                request += 1
                events.append((number, RequestArrived(request, fleet.now_us + 1_500_000)))
        events += fleet.due_events()
        for number, event in events:
            fleet.handle(number, event)
        fleet.now_us += 4_000
    return fleet.worst_share()


def test_warming_upstream_is_not_overloaded_by_all_sidecars_together() -> None:
    for rates in ([1, 1, 1], [3, 0, 0], [1] * 8, [1] * 24, [4, 1, 1, 1], [1] * 200):
        for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED):
            assert 0 < worst_overload_share(rates, outcome) <= 1, (rates, outcome)


def test_fleet_whose_upstreams_all_start_at_once_is_not_overloaded() -> None:
    assert 0 < worst_overload_share([1], Outcome.OK, new_count=10) <= 1


def test_fleet_of_which_most_upstreams_are_replaced_is_not_overloaded() -> None:
    for rates in ([1, 1, 1], [1] * 6, [1] * 8, [2] * 8, [1] * 10, [1] * 40, [1] * 200):
        for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
            assert 0 < worst_overload_share(rates, outcome, new_count=6) <= 1, (rates, outcome)
