"""Measures the rates of demand, served and rejected requests of one sidecar, and estimates capacity."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sidecar_proxy.balancer.load_shedding import RETRY_TOLERANCE_US
from sidecar_proxy.overload_control.messages import ClassLoad
from sidecar_proxy.overload_control.smoothed_rate import SmoothedRate

UNCONSTRAINED_REJECTED_SHARE = 0.05  # with a smaller share of rejections, capacity is not the limit
# The estimated capacity is a multiple of the served rate. Each entry consists of the share of capacity
# rejections below which it applies, and the multiple.
CAPACITY_GROWTH_BY_SHARE = ((UNCONSTRAINED_REJECTED_SHARE, 2.0), (0.15, 1.4))
CAPACITY_GROWTH_AT_LIMIT = 1.15  # the multiple for larger shares of capacity rejections
# Reports are a second or two old, and in that time the capacity of upstreams in slow start doubles.
CAPACITY_GROWTH_IN_SLOW_START = 3.0
PEAK_TIME_CONSTANT_US = 10_000_000  # the peak served rate decays to 1/e in this time
MIN_SERVED_PER_S = 1.0  # minimum served rate from which the capacity is estimated
MIN_SERVED_FOR_MEAN_PER_S = 0.5  # minimum served rate from which the mean service time is computed
DEFAULT_SERVICE_TIME_US = 100_000.0


@dataclass(slots=True, frozen=True)
class CapacityEstimate:
    """The estimated capacity of the upstreams, relative to the served rate."""

    permille: int  # estimated capacity, in thousandths of the served rate
    is_unconstrained: bool  # whether so few requests are rejected that capacity is not the limit


class ClassRates:
    """The rates of one request class."""

    __slots__ = ("busy_us", "demand", "returning", "served")

    def __init__(self, now_us: int) -> None:
        self.demand = SmoothedRate(now_us)  # first attempts
        self.returning = SmoothedRate(now_us)  # retries that waited for their Retry-After
        self.served = SmoothedRate(now_us)
        self.busy_us = SmoothedRate(now_us)  # sum of the response times of the served requests

    def update(self, now_us: int) -> None:
        """Updates all rates."""
        self.demand.update(now_us)
        self.returning.update(now_us)
        self.served.update(now_us)
        self.busy_us.update(now_us)

    def class_load(self) -> ClassLoad:
        """Returns the rates in the units of a report."""
        return ClassLoad(
            int(self.demand.per_s * 1000),
            int(self.returning.per_s * 1000),
            int(self.served.per_s * 1000),
            int(self.busy_us.per_s),
        )


class LoadMeasurement:
    """The rates of each request class and of all classes together, as of the last `update`."""

    __slots__ = (
        "attempts",
        "capacity_rejections",
        "classes",
        "early_retries",
        "peak_served_per_s",
        "peak_updated_us",
        "rejections",
    )

    def __init__(self, class_count: int, now_us: int) -> None:
        self.classes = [ClassRates(now_us) for _ in range(class_count)]
        self.attempts = SmoothedRate(now_us)
        self.early_retries = SmoothedRate(now_us)  # retries that did not wait for a Retry-After
        self.rejections = SmoothedRate(now_us)
        self.capacity_rejections = SmoothedRate(now_us)  # rejections because no slot was free
        self.peak_served_per_s = 0.0
        self.peak_updated_us = now_us

    def record_arrival(self, class_index: int, is_retry: bool, retry_due_us: int, now_us: int) -> None:
        """Counts a request; `retry_due_us` is when its client's Retry-After expires, 0 if it has none."""
        self.attempts.count += 1
        if retry_due_us and retry_due_us <= now_us + RETRY_TOLERANCE_US:
            if class_index < len(self.classes):
                self.classes[class_index].returning.count += 1
        elif is_retry or retry_due_us:
            # Shed requests are retried again and again. If they counted as demand, the threshold would shed
            # more in the whole fleet.
            self.early_retries.count += 1
        elif class_index < len(self.classes):
            self.classes[class_index].demand.count += 1

    def record_rejection(self, is_shed: bool) -> None:
        """Counts a rejection, by the shedding threshold or because no slot was free."""
        self.rejections.count += 1
        if not is_shed:
            self.capacity_rejections.count += 1

    def record_success(self, class_index: int, elapsed_us: int) -> None:
        """Counts an attempt that an upstream has served."""
        if class_index < len(self.classes):
            rates = self.classes[class_index]
            rates.served.count += 1
            rates.busy_us.count += elapsed_us

    def update(self, now_us: int) -> None:
        """Updates all rates and the peak of the served rate."""
        for rates in self.classes:
            rates.update(now_us)
        for rate in (self.attempts, self.early_retries, self.rejections, self.capacity_rejections):
            rate.update(now_us)
        # Reports are a second or two old. A threshold computed from the current served rate would starve
        # upstreams that are sent fewer requests for a moment, by chance or because of the threshold itself.
        elapsed_us = now_us - self.peak_updated_us
        self.peak_updated_us = now_us
        decayed_per_s = self.peak_served_per_s * math.exp(-elapsed_us / PEAK_TIME_CONSTANT_US)
        self.peak_served_per_s = max(self.served_per_s, decayed_per_s)

    @property
    def demand_per_s(self) -> float:
        """First attempts of all classes per second."""
        return sum(rates.demand.per_s for rates in self.classes)

    @property
    def returning_per_s(self) -> float:
        """Retries of all classes that waited for their Retry-After, per second."""
        return sum(rates.returning.per_s for rates in self.classes)

    @property
    def served_per_s(self) -> float:
        """Served requests of all classes per second."""
        return sum(rates.served.per_s for rates in self.classes)

    def mean_service_time_us(self) -> float:
        """Returns the mean response time of the served requests, or a default if too few are served."""
        served_per_s = self.served_per_s
        if served_per_s < MIN_SERVED_FOR_MEAN_PER_S:
            return DEFAULT_SERVICE_TIME_US
        return sum(rates.busy_us.per_s for rates in self.classes) / served_per_s

    def class_loads(self) -> list[ClassLoad]:
        """Returns the rates of each class in the units of a report."""
        return [rates.class_load() for rates in self.classes]

    def capacity_estimate(self, has_slow_start: bool) -> CapacityEstimate:
        """Estimates the upstreams' capacity; `has_slow_start` is whether any of them is in slow start."""
        served_per_s = self.served_per_s
        if served_per_s < MIN_SERVED_PER_S:
            # The upstreams are unavailable. A threshold computed from that would shed all requests once they
            # are available again.
            return CapacityEstimate(1000, True)
        capacity_rejections_per_s = self.capacity_rejections.per_s
        capacity_rejected_share = capacity_rejections_per_s / (capacity_rejections_per_s + served_per_s)
        is_unconstrained = (
            capacity_rejected_share < UNCONSTRAINED_REJECTED_SHARE
            and self.rejections.per_s < UNCONSTRAINED_REJECTED_SHARE * self.attempts.per_s
        )
        growth = (
            CAPACITY_GROWTH_IN_SLOW_START if has_slow_start else _capacity_growth(capacity_rejected_share)
        )
        return CapacityEstimate(int(1000 * growth * self.peak_served_per_s / served_per_s), is_unconstrained)


def _capacity_growth(capacity_rejected_share: float) -> float:
    for below_share, growth in CAPACITY_GROWTH_BY_SHARE:
        if capacity_rejected_share < below_share:
            return growth
    return CAPACITY_GROWTH_AT_LIMIT
