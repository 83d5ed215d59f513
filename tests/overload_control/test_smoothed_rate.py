"""The smoothed rate of events."""

from __future__ import annotations

import pytest

from sidecar_proxy.overload_control.smoothed_rate import SmoothedRate


def test_constant_rate_is_approached_within_some_seconds() -> None:
    rate = SmoothedRate(0)
    for step in range(1, 41):
        rate.count += 5
        rate.update(step * 250_000)
    assert rate.per_s == pytest.approx(20.0, rel=0.001)


def test_rate_decays_without_events() -> None:
    rate = SmoothedRate(0, per_s=10.0)
    rate.update(1_000_000)
    assert rate.per_s == pytest.approx(3.679, abs=0.001)


def test_update_without_elapsed_time_keeps_the_count() -> None:
    rate = SmoothedRate(500)
    rate.count = 3
    rate.update(500)
    assert rate.count == 3
    assert rate.per_s == 0.0
