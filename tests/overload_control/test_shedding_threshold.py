"""The shedding threshold that is computed from a fleet's reports."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, LeaseRecord, Report
from sidecar_proxy.overload_control.shedding_threshold import (
    MAX_CLAIM_FACTOR,
    SheddingThreshold,
    compute_threshold,
    reported_quotas,
    weighted_median,
)
from tests.overload_control.reports import FLEET_SIZE, PRIORITY_WEIGHTS, make_fleet, make_report


def threshold_of(reports: dict[str, Report]) -> SheddingThreshold:
    threshold = compute_threshold(reports, PRIORITY_WEIGHTS, FLEET_SIZE)
    assert threshold is not None
    return threshold


def test_highest_priority_is_admitted_and_the_class_at_the_threshold_in_part() -> None:
    threshold = threshold_of(make_fleet())
    assert threshold.admitted_shares[0] == 1.0
    assert 0.9 < threshold.admitted_shares[1] <= 1.0
    assert threshold.admitted_shares[2] < 0.1
    assert threshold.has_retry_storm
    assert threshold.is_shedding


def test_returning_retries_go_before_first_attempts_of_their_class() -> None:
    reports = {f"s{index}": make_report(index, returning_per_s=15.0) for index in range(FLEET_SIZE)}
    threshold = threshold_of(reports)
    assert threshold.returning_shares[1] == 1.0
    assert 0.0 < threshold.admitted_shares[1] < 1.0
    assert threshold.admitted_shares[2] == 0.0
    assert threshold.returning_shares[2] == 0.0


def test_threshold_does_not_depend_on_the_order_of_reports() -> None:
    reports = make_fleet()
    shuffled = dict(random.Random(1).sample(list(reports.items()), len(reports)))
    assert threshold_of(reports) == threshold_of(shuffled)


def test_reports_of_less_than_half_of_the_quota_give_no_threshold() -> None:
    two_reports = {"s0": make_report(0), "s1": make_report(1)}
    three_reports = {f"s{index}": make_report(index) for index in range(3)}
    assert compute_threshold(two_reports, PRIORITY_WEIGHTS, FLEET_SIZE) is None
    assert compute_threshold(three_reports, PRIORITY_WEIGHTS, FLEET_SIZE) is not None


def test_nothing_is_shed_while_all_sidecars_are_unconstrained() -> None:
    reports = {f"s{index}": make_report(index, is_unconstrained=True) for index in range(FLEET_SIZE)}
    assert not threshold_of(reports).is_shedding


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6))
def test_false_report_moves_the_threshold_by_no_more_than_its_authors_share(
    demand_per_s: float, served_per_s: float
) -> None:
    honest = threshold_of(make_fleet())
    false_report = make_report(3, demand_per_s=demand_per_s, served_per_s=served_per_s)
    threshold = threshold_of(make_fleet(s3=false_report))
    demand_share_us = honest.demand_us / FLEET_SIZE
    assert honest.demand_us - demand_share_us * 1.01 <= threshold.demand_us
    assert threshold.demand_us <= honest.demand_us + demand_share_us * (MAX_CLAIM_FACTOR - 0.99)
    capacity_share_us = honest.capacity_us / FLEET_SIZE
    assert honest.capacity_us - capacity_share_us * 1.01 <= threshold.capacity_us
    assert threshold.capacity_us <= honest.capacity_us + capacity_share_us * (MAX_CLAIM_FACTOR - 0.99)


def idle_report(index: int, leases: list[LeaseRecord] | None = None) -> Report:
    return make_report(index, demand_per_s=12.0, served_per_s=8.0, leases=leases)


BUSY_REPORT = make_report(0, demand_per_s=120.0, served_per_s=80.0)  # two thirds of the fleet's load


def test_claims_of_a_busy_sidecar_count_by_the_quota_that_others_report_as_lent_to_it() -> None:
    lease = LeaseRecord("s0", int(TOTAL_PARTS / 6 * 0.6))
    lenders = {f"s{index}": idle_report(index, [lease]) for index in range(1, FLEET_SIZE)}
    threshold = threshold_of(lenders | {"s0": BUSY_REPORT})
    assert threshold.demand_us == pytest.approx(18e6, rel=0.01)


def test_claims_of_a_busy_sidecar_without_borrowed_quota_count_by_its_own_quota() -> None:
    idle = {f"s{index}": idle_report(index) for index in range(1, FLEET_SIZE)}
    assert threshold_of(idle | {"s0": BUSY_REPORT}).demand_us < 8e6


def test_lender_that_reports_more_than_it_owns_counts_as_lending_what_it_owns() -> None:
    idle = {f"s{index}": idle_report(index) for index in range(1, FLEET_SIZE)}
    false_report = idle_report(1, [LeaseRecord("s0", TOTAL_PARTS)] * 8)
    reports = idle | {"s1": false_report, "s0": BUSY_REPORT}
    assert threshold_of(reports).demand_us < 9e6


def test_two_sidecars_with_one_index_share_its_quota() -> None:
    quotas = reported_quotas(make_fleet(duplicate=make_report(3)), FLEET_SIZE)
    assert sum(quotas.values()) <= TOTAL_PARTS
    assert quotas["duplicate"] == TOTAL_PARTS // 12
    assert quotas["s3"] == TOTAL_PARTS // 12


def test_index_outside_of_the_fleet_has_no_quota() -> None:
    assert reported_quotas({"s9": make_report(9)}, FLEET_SIZE) == {"s9": 0}


def test_minority_does_not_change_the_generation() -> None:
    assert threshold_of(make_fleet(s0=make_report(0, generation=9))).generation == 0


def test_majority_changes_the_generation() -> None:
    reports = {f"s{index}": make_report(index, generation=int(index < 4)) for index in range(FLEET_SIZE)}
    assert threshold_of(reports).generation == 1


@pytest.mark.parametrize(
    ("pairs", "median"),
    [
        ([], 0.0),
        ([(5.0, 0.0)], 0.0),
        ([(1.0, 1.0), (2.0, 1.0), (9.0, 1.0)], 2.0),
        ([(1.0, 1.0), (9.0, 5.0)], 9.0),
    ],
)
def test_weighted_median(pairs: list[tuple[float, float]], median: float) -> None:
    assert weighted_median(pairs) == median
