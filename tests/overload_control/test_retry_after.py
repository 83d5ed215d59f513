"""The Retry-After of rejected clients, and which of them wait for it."""

from __future__ import annotations

import pytest

from sidecar_proxy.overload_control.retry_after import (
    MAX_LATENESS_US,
    MAX_SCHEDULED_RETRIES,
    RetrySchedule,
    advised_retry_after_us,
)
from sidecar_proxy.overload_control.shedding_threshold import SheddingThreshold

DUE_US = 1_000_000


@pytest.fixture
def schedule() -> RetrySchedule:
    schedule = RetrySchedule()
    schedule.add(7, DUE_US)
    return schedule


def test_entry_of_a_client_that_retries_too_early_stays(schedule: RetrySchedule) -> None:
    assert schedule.take_due_us(7, 500_000) == DUE_US
    assert schedule.take_due_us(7, 600_000) == DUE_US


def test_entry_is_removed_by_a_retry_that_is_due(schedule: RetrySchedule) -> None:
    assert schedule.take_due_us(7, DUE_US) == DUE_US
    assert schedule.take_due_us(7, DUE_US + 1) == 0


def test_entry_long_after_its_due_time_is_removed(schedule: RetrySchedule) -> None:
    assert schedule.take_due_us(7, DUE_US + 1 + MAX_LATENESS_US) == 0
    assert not schedule.due_us_by_key


def test_unknown_client_has_no_due_time(schedule: RetrySchedule) -> None:
    assert schedule.take_due_us(8, DUE_US) == 0


def test_backlog_counts_the_clients_that_are_not_due_yet(schedule: RetrySchedule) -> None:
    assert schedule.backlog(0) == 1
    assert schedule.backlog(DUE_US) == 0
    assert 7 in schedule.due_us_by_key
    assert schedule.backlog(DUE_US + 1 + MAX_LATENESS_US) == 0
    assert 7 not in schedule.due_us_by_key


def test_number_of_entries_is_bounded_and_the_oldest_are_evicted(schedule: RetrySchedule) -> None:
    for key in range(100, 30_100):
        schedule.add(key, 9_000_000)
    assert MAX_SCHEDULED_RETRIES == 20_000
    assert len(schedule.due_us_by_key) == 20_000
    assert next(iter(schedule.due_us_by_key)) == 10_100


def threshold_with(spare_us: float) -> SheddingThreshold:
    return SheddingThreshold(
        admitted_shares=(1.0,),
        returning_shares=(1.0,),
        generation=0,
        demand_us=1e6,
        capacity_us=1e6 + spare_us,
        spare_us=spare_us,
        backlog=10.0,
        has_retry_storm=True,
    )


def test_retry_after_is_the_time_in_which_spare_capacity_serves_the_backlog() -> None:
    retry_after_us = advised_retry_after_us(threshold_with(spare_us=1e6), 100_000, 2_000_000)
    assert retry_after_us == pytest.approx(1_100_000)


def test_retry_after_is_at_least_the_service_time() -> None:
    assert advised_retry_after_us(threshold_with(spare_us=1e9), 100_000, 2_000_000) == 100_000


def test_retry_after_without_spare_capacity_is_the_maximum() -> None:
    assert advised_retry_after_us(threshold_with(spare_us=0.0), 100_000, 2_000_000) == 2_000_000


def test_retry_after_without_a_threshold_is_the_maximum() -> None:
    assert advised_retry_after_us(None, 100_000, 50_000) == 50_000
