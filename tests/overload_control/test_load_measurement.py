"""The measured rates of one sidecar, and the capacity that is estimated from them."""

from __future__ import annotations

import pytest

from sidecar_proxy.overload_control.load_measurement import (
    CAPACITY_GROWTH_IN_SLOW_START,
    DEFAULT_SERVICE_TIME_US,
    CapacityEstimate,
    LoadMeasurement,
)

SECOND_US = 1_000_000


@pytest.fixture
def load() -> LoadMeasurement:
    return LoadMeasurement(class_count=2, now_us=0)


def serve(load: LoadMeasurement, served: int = 20, shed: int = 0, out_of_capacity: int = 0) -> None:
    """Simulates ten seconds; the arguments are numbers of requests per second, by their outcome."""
    for second in range(1, 11):
        for _ in range(served + shed + out_of_capacity):
            load.record_arrival(0, False, 0, second * SECOND_US)
        for _ in range(served):
            load.record_success(0, 50_000)
        for _ in range(shed):
            load.record_rejection(is_shed=True)
        for _ in range(out_of_capacity):
            load.record_rejection(is_shed=False)
        load.update(second * SECOND_US)


def test_first_attempt_counts_as_demand_of_its_class(load: LoadMeasurement) -> None:
    load.record_arrival(1, False, 0, 100)
    assert load.classes[1].demand.count == 1
    assert load.attempts.count == 1
    assert load.early_retries.count == 0


def test_retry_after_its_due_time_counts_as_returning(load: LoadMeasurement) -> None:
    load.record_arrival(1, True, 100, 100)
    assert load.classes[1].returning.count == 1
    assert load.classes[1].demand.count == 0
    assert load.early_retries.count == 0


@pytest.mark.parametrize(("is_retry", "retry_due_us"), [(True, 0), (False, 5_000_000), (True, 5_000_000)])
def test_early_retry_counts_neither_as_demand_nor_as_returning(
    load: LoadMeasurement, is_retry: bool, retry_due_us: int
) -> None:
    load.record_arrival(1, is_retry, retry_due_us, 100)
    assert load.early_retries.count == 1
    assert load.classes[1].demand.count == 0
    assert load.classes[1].returning.count == 0


def test_request_of_an_unknown_class_counts_only_as_an_attempt(load: LoadMeasurement) -> None:
    load.record_arrival(7, False, 0, 100)
    load.record_success(7, 50_000)
    load.update(SECOND_US)
    assert load.attempts.per_s > 0.0
    assert load.demand_per_s == 0.0
    assert load.served_per_s == 0.0


def test_only_rejections_without_a_free_slot_count_as_capacity_rejections(load: LoadMeasurement) -> None:
    load.record_rejection(is_shed=True)
    load.record_rejection(is_shed=False)
    assert load.rejections.count == 2
    assert load.capacity_rejections.count == 1


def test_mean_service_time_is_the_mean_of_served_requests(load: LoadMeasurement) -> None:
    serve(load)
    assert load.mean_service_time_us() == pytest.approx(50_000)


def test_mean_service_time_has_a_default_while_little_is_served(load: LoadMeasurement) -> None:
    assert load.mean_service_time_us() == DEFAULT_SERVICE_TIME_US


def test_capacity_is_unconstrained_while_nothing_is_served(load: LoadMeasurement) -> None:
    assert load.capacity_estimate(has_slow_start=False) == CapacityEstimate(1000, True)


@pytest.mark.parametrize(
    ("out_of_capacity", "permille", "is_unconstrained"),
    [(0, 2000, True), (2, 1400, False), (10, 1150, False)],
)
def test_capacity_estimate_shrinks_with_the_share_of_capacity_rejections(
    load: LoadMeasurement, out_of_capacity: int, permille: int, is_unconstrained: bool
) -> None:
    serve(load, out_of_capacity=out_of_capacity)
    estimate = load.capacity_estimate(has_slow_start=False)
    assert estimate == CapacityEstimate(permille, is_unconstrained)


def test_shed_requests_alone_make_the_capacity_constrained(load: LoadMeasurement) -> None:
    serve(load, shed=10)
    assert not load.capacity_estimate(has_slow_start=False).is_unconstrained


def test_capacity_estimate_grows_faster_in_slow_start(load: LoadMeasurement) -> None:
    serve(load, out_of_capacity=10)
    estimate = load.capacity_estimate(has_slow_start=True)
    assert estimate.permille == 1000 * CAPACITY_GROWTH_IN_SLOW_START


def test_peak_of_the_served_rate_decays_slowly(load: LoadMeasurement) -> None:
    serve(load)
    peak_per_s = load.peak_served_per_s
    load.update(11 * SECOND_US)
    assert load.served_per_s < 0.4 * peak_per_s
    assert load.peak_served_per_s == pytest.approx(0.905 * peak_per_s, rel=0.001)


def test_class_loads_are_in_thousandths_per_second(load: LoadMeasurement) -> None:
    serve(load)
    reported = load.class_loads()[0]
    assert reported.demand_per_1000_s == pytest.approx(20_000, rel=0.001)
    assert reported.served_per_1000_s == pytest.approx(20_000, rel=0.001)
    assert reported.busy_us_per_s == pytest.approx(1_000_000, rel=0.001)
    assert reported.returning_per_1000_s == 0
