"""The four rules under arbitrary legal event sequences; tests/balancer/world.py checks every action."""

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
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)
from tests.balancer.world import START_US, World, classes, settings, upstreams

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


def many_classes() -> list[RequestClass]:
    return [
        *classes(),
        RequestClass(
            "zoned", 200_000, 900_000, effect="deduplicated", group="zone", deduplication_window_us=400_000
        ),
        RequestClass(
            "feed", 200_000, 900_000, effect="deduplicated", deduplication_window_us=9_000_000, stream=True
        ),
    ]


def play(world: World, step: tuple[str, int, object]) -> None:
    what, number, extra = step
    open_tries = [(ident, n) for ident, owed in world.owed.items() for n in owed.out()]
    if what == "arrive":
        assert isinstance(extra, int)
        world.arrive(number, patience_us=extra)
    elif what == "advance":
        world.advance(number)
    elif what in ("list", "restart"):
        started = world.now_us - extra if isinstance(extra, int) else 0
        state = extra if isinstance(extra, UpstreamState) else UpstreamState.READY
        entry = Upstream(100 + number, state, number // 2, 0, number // 2, 1.0, started)
        world.tell_list([entry], ListKind.DELTA)
    elif what == "full":
        assert isinstance(extra, ListKind)
        world.tell_list(upstreams(number), extra)
    elif what == "fail" and world.settings.list_on_request:
        world.tell(UpstreamsUpdated(ListKind.FAILED))
    elif what == "quit" and world.owed:
        ident = list(world.owed)[number % len(world.owed)]
        if not world.owed[ident].closed:
            world.quit(ident)
    elif what == "end" and open_tries:
        assert isinstance(extra, Outcome)
        world.end(*open_tries[number % len(open_tries)], extra)
    elif what == "stream":
        streams = [
            (i, n)
            for i, n in open_tries
            if world.settings.classes[world.owed[i].event.class_index].stream
            and not world.owed[i].stream
            and not world.owed[i].closed
        ]
        if streams:
            world.begin_stream(*streams[number % len(streams)])


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(CONFIGS, st.integers(0, 2**64 - 1), st.lists(STEPS, max_size=80))
def test_no_rule_is_broken_whatever_happens(
    config: dict[str, object], seed: int, steps: list[tuple[str, int, object]]
) -> None:
    world = World(settings(classes=many_classes(), **config), seed)
    world.tell_list(upstreams(6), ListKind.CACHED)
    for step in steps:
        play(world, step)
    world.advance(5_000_000)  # everything is answered by its due time


def busy_day(config: dict[str, object], seed: int) -> list[object]:
    """Heavy use with every kind of fault, so that slots run out and requests wait and are reissued."""
    dice = random.Random(seed)
    world = World(settings(classes=many_classes(), **config), seed)
    world.tell_list(upstreams(6), ListKind.CACHED)
    for _ in range(1500):
        kind = dice.choices(
            ["arrive", "end", "advance", "list", "restart", "quit", "stream", "fail"],
            [50, 40, 10, 1, 1, 1, 1, 1],
        )[0]
        extra: object = 0
        number = dice.randrange(50)
        if kind == "arrive":
            number, extra = dice.randrange(5), dice.randrange(1_000, 2_000_000)
        elif kind == "end":
            extra = dice.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1])[0]
        elif kind == "advance":
            number = dice.randrange(60_000)
        elif kind in ("list", "restart"):
            number = dice.randrange(8)
            extra = dice.choice(list(UpstreamState)) if kind == "list" else dice.randrange(30_000_000)
        play(world, (kind, number, extra))
    world.advance(5_000_000)
    return list(world.log)


def test_busy_days_break_no_rule_and_are_decided_alike_each_time() -> None:
    for seed in range(12):
        config: dict[str, object] = {
            "hedging_allowed": seed % 2 == 0,
            "list_on_request": seed % 3 == 0,
            "max_poll_interval_us": 10_000_000,
            "report_names": [["utilization"], [], ["queued", "in_flight"]][seed % 3],
            "probes": seed % 4 == 0,
        }
        assert busy_day(config, seed) == busy_day(config, seed)


def pushed_share(skew: list[int], outcome: Outcome, new: int = 1) -> float:
    """The most work that sidecars together send one cold upstream in any `fall_us`, over its budget there.

    Of ten upstreams it and others, `new` together, have just started; each has one core and serves in turn;
    requests take 40 ms when it is warm. Each sidecar gets `skew` requests a tick of 4 ms.
    """
    config = settings(instances=len(skew), classes=[RequestClass("read", 300_000, 1_500_000)])
    balancers = [Balancer(config, n, START_US) for n in range(len(skew))]
    listed = [Upstream(n, started_us=START_US if n <= new else 0) for n in range(1, 11)]

    def warmth(at_us: int) -> float:
        return config.cold_share + (1 - config.cold_share) * (at_us - START_US) / config.warm_up_us

    free_us = dict.fromkeys(range(1, 11), START_US)
    sent: list[int] = []
    ends: list[tuple[int, int, int, int, int, int]] = []
    tries: dict[int, int] = {}
    timers: list[tuple[int, int]] = []
    now_us, request = START_US, 0
    for balancer in balancers:
        balancer.handle(now_us, UpstreamsUpdated(ListKind.FULL, listed))
    while now_us < START_US + 8_000_000:
        events: list[tuple[int, object]] = []
        for number, rate in enumerate(skew):
            for _ in range(rate):
                request += 1
                events.append((number, RequestArrived(request, now_us + 1_500_000)))
        for end in [e for e in ends if e[0] <= now_us]:
            ends.remove(end)
            how = outcome if end[3] == 1 else Outcome.OK
            events.append(
                (end[1], AttemptEnded(end[2], end[4], end[3], how, now_us - end[5], how is Outcome.OK))
            )
        for timer in [t for t in timers if t[0] <= now_us]:
            timers.remove(timer)
            events.append((timer[1], TimerFired(0)))
        for number, event in events:
            for action in balancers[number].handle(now_us, event):  # type: ignore[arg-type]
                if isinstance(action, Send):
                    nth = tries.get(action.request, 0)
                    tries[action.request] = nth + 1
                    ready_us = now_us + 40_000
                    if action.upstream > 1 or outcome is Outcome.OK:
                        took_us = int(40_000 / (warmth(now_us) if action.upstream <= new else 1.0))
                        ready_us = free_us[action.upstream] = max(free_us[action.upstream], now_us) + took_us
                    ends.append((ready_us, number, action.request, action.upstream, nth, now_us))
                    if action.upstream == 1:
                        sent.append(now_us)
        now_us += 4_000
    worst = 0.0
    for start in sent:
        pushed = 40_000 * sum(1 for at in sent if start <= at < start + config.fall_us)
        worst = max(worst, pushed / (config.overload_factor * warmth(start) * config.fall_us))
    return worst


def test_a_cold_upstream_is_not_pushed_over_by_all_sidecars_together() -> None:
    for skew in ([1, 1, 1], [3, 0, 0], [1] * 8, [1] * 24, [4, 1, 1, 1], [1] * 200):
        for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED):
            assert 0 < pushed_share(skew, outcome) <= 1, (skew, outcome)


def test_a_fleet_that_starts_all_cold_is_not_pushed_over_by_what_it_bears_when_warm() -> None:
    assert 0 < pushed_share([1], Outcome.OK, new=10) <= 1


def test_those_that_take_the_places_of_most_of_a_fleet_are_not_pushed_over() -> None:
    for skew in ([1, 1, 1], [1] * 6, [1] * 8, [2] * 8, [1] * 10, [1] * 40, [1] * 200):
        for outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
            assert 0 < pushed_share(skew, outcome, new=6) <= 1, (skew, outcome)
