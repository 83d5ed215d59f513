"""The reduction of the quota for upstreams in slow start."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control.slow_start import (
    MIN_FACTOR,
    SlowStartPacing,
    mean_slow_start_weight,
)

SLOW_LATENCY_US = 200_000
NOW_US = 100_000_000


def settings(warm_up_us: int) -> api.Settings:
    classes = [api.RequestClass("only", 300_000, 1_000_000, 1.0)]
    return api.Settings(classes, warm_up_us=warm_up_us, cold_share=0.2)


def test_mean_weight_includes_only_upstreams_in_slow_start() -> None:
    upstreams = [
        api.Upstream(1),
        api.Upstream(2, started_us=NOW_US - 5_000_000),
        api.Upstream(3, started_us=NOW_US),
        api.Upstream(4, started_us=NOW_US - 10_000_000),
    ]
    assert mean_slow_start_weight(upstreams, settings(10_000_000), NOW_US) == pytest.approx(0.4)


def test_mean_weight_is_one_without_any_upstream_in_slow_start() -> None:
    assert mean_slow_start_weight([api.Upstream(1)], settings(10_000_000), NOW_US) == 1.0


def test_mean_weight_is_one_where_slow_start_is_off() -> None:
    assert mean_slow_start_weight([api.Upstream(1, started_us=NOW_US)], settings(0), NOW_US) == 1.0


def test_factor_decreases_to_its_minimum_while_requests_queue() -> None:
    pacing = SlowStartPacing(SLOW_LATENCY_US)
    pacing.update(0.9, 400_000)
    assert pacing.factor == 0.95
    for _ in range(50):
        pacing.update(0.9, 400_000)
    assert pacing.factor == MIN_FACTOR


def test_factor_increases_to_one_once_responses_are_fast() -> None:
    pacing = SlowStartPacing(SLOW_LATENCY_US)
    pacing.factor = MIN_FACTOR
    for _ in range(50):
        pacing.update(0.9, 60_000)
    assert pacing.factor == 1.0


def test_factor_stays_while_slow_start_alone_explains_slow_responses() -> None:
    pacing = SlowStartPacing(SLOW_LATENCY_US)
    pacing.update(0.4, 400_000)
    assert pacing.factor == 1.0


def test_factor_is_one_without_any_upstream_in_slow_start() -> None:
    pacing = SlowStartPacing(SLOW_LATENCY_US)
    pacing.factor = MIN_FACTOR
    pacing.update(1.0, 400_000)
    assert pacing.factor == 1.0


def test_pacing_is_off_without_a_slow_latency() -> None:
    pacing = SlowStartPacing(0)
    pacing.update(0.9, 400_000)
    assert pacing.factor == 1.0
