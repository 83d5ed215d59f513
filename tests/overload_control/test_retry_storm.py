"""The detection of retry storms."""

from __future__ import annotations

import pytest

from sidecar_proxy.overload_control.retry_storm import BEGIN_DELAY_US, END_DELAY_US, RetryStormDetector

STEP_US = 250_000


def test_storm_begins_after_half_a_second_and_ends_after_three_seconds_without_rejections() -> None:
    detector = RetryStormDetector()
    changes = []
    for step in range(60):
        rejections_per_s = 20.0 if 4 <= step < 20 else 0.0
        if detector.update(50.0, 0.0, rejections_per_s, False, step * STEP_US):
            changes.append((step, detector.is_active))
    assert changes == [(6, True), (20 + END_DELAY_US // STEP_US, False)]


def test_few_attempts_are_not_significant() -> None:
    assert not RetryStormDetector().update(2.0, 2.0, 2.0, False, 0)


def test_few_attempts_do_not_begin_a_storm_after_the_delay_either() -> None:
    detector = RetryStormDetector()
    detector.update(2.0, 2.0, 2.0, False, STEP_US)
    assert not detector.update(2.0, 2.0, 2.0, False, STEP_US + BEGIN_DELAY_US)


@pytest.mark.parametrize(
    ("retries_per_s", "rejections_per_s", "fleet_has_storm", "begins"),
    [
        pytest.param(0.0, 20.0, False, True, id="a fifth rejected"),
        pytest.param(0.0, 19.0, False, False, id="less than a fifth rejected"),
        pytest.param(30.0, 5.0, False, True, id="retries that are rejected"),
        pytest.param(30.0, 4.0, False, False, id="retries that are served"),
        pytest.param(0.0, 5.0, True, True, id="storm of the fleet and own rejections"),
        pytest.param(0.0, 4.0, True, False, id="storm of the fleet without own rejections"),
    ],
)
def test_condition_for_a_storm(
    retries_per_s: float, rejections_per_s: float, fleet_has_storm: bool, begins: bool
) -> None:
    detector = RetryStormDetector()
    detector.update(100.0, retries_per_s, rejections_per_s, fleet_has_storm, STEP_US)
    detector.update(100.0, retries_per_s, rejections_per_s, fleet_has_storm, STEP_US + BEGIN_DELAY_US)
    assert detector.is_active is begins


def test_reason_contains_the_rates_of_the_last_change() -> None:
    detector = RetryStormDetector()
    detector.update(120.0, 36.0, 54.0, True, STEP_US)
    detector.update(120.0, 36.0, 54.0, True, STEP_US + BEGIN_DELAY_US)
    assert detector.reason == "45% of 120 tries a second refused, 30% repeats, most of the fleet says so"
    detector.update(50.0, 0.0, 1.0, False, 10 * STEP_US)
    detector.update(50.0, 0.0, 1.0, False, 10 * STEP_US + END_DELAY_US)
    assert detector.reason == "over: 2% of 50 tries a second refused"


def test_storm_does_not_end_while_the_fleet_reports_a_storm() -> None:
    detector = RetryStormDetector(is_active=True)
    detector.update(50.0, 0.0, 0.0, True, STEP_US)
    assert not detector.update(50.0, 0.0, 0.0, True, STEP_US + END_DELAY_US)
    assert detector.is_active
