"""Computes the fleet's shedding threshold from the sidecars' reports.

The threshold determines which request classes, and which share of the class at the threshold, fit the
capacity of the upstreams. All sidecars that have received the same reports compute the same threshold,
because it depends on nothing but the reports. Demand and capacity are measured in upstream time: microseconds
of work per second.

The values in a report are claims of its author. They are bounded in proportion to the author's quota, which
follows from the other sidecars' reports, so a false report moves the threshold by no more than the author's
share. The module is pure: it does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, ClassLoad, Report

UNCONSTRAINED_CAPACITY_FACTOR = 1.5  # minimum ratio of capacity to demand at an unconstrained sidecar
MAX_CLAIM_FACTOR = 1.25  # a claim counts up to this multiple of the share that its author's quota justifies
# Minimum share of the fleet's quota that the reporting sidecars must have. It is a little below half, because
# quotas are rounded to whole parts.
MIN_REPORTED_SHARE = 0.499
MIN_SERVED_PER_1000_S = 500  # service times of a class with a lower served rate are not significant


@dataclass(slots=True, frozen=True)
class SheddingThreshold:
    """The share of each class that is admitted (0 to 1), and the totals from which it was computed."""

    admitted_shares: tuple[float, ...]  # admitted share of first attempts, by class
    returning_shares: tuple[float, ...]  # the same for retries that waited for their Retry-After
    generation: int  # selects which requests of a class are admitted
    demand_us: float  # upstream time per second for first attempts
    capacity_us: float  # upstream time per second
    spare_us: float  # upstream time per second that admitted requests leave unused
    backlog: float  # clients of all sidecars whose Retry-After has not expired
    has_retry_storm: bool  # sidecars with more than half of the reported quota detect a retry storm

    @property
    def is_shedding(self) -> bool:
        """Whether first attempts of any class are shed."""
        return min(self.admitted_shares, default=1.0) < 1.0


def reported_quotas(reports: Mapping[str, Report], instances: int) -> dict[str, int]:
    """Returns the quota of each sidecar that follows from all reports, in parts, by name.

    Each index owns an equal share of the fleet's quota, and sidecars that report the same index divide it. A
    sidecar has what it owns, less what it reports as lent, plus what its lenders report as lent to it.
    """
    parts_per_index = TOTAL_PARTS // instances
    claims_by_index: dict[int, int] = {}
    for report in reports.values():
        claims_by_index[report.index] = claims_by_index.get(report.index, 0) + 1
    retained: dict[str, int] = {}
    for name, report in reports.items():
        is_member = report.index < instances
        retained[name] = parts_per_index // claims_by_index[report.index] if is_member else 0
    borrowed: dict[str, int] = {}
    for name, report in reports.items():
        for lease in report.leases:
            parts = min(lease.parts, retained[name])  # a sidecar can't lend more than it owns
            retained[name] -= parts
            if lease.borrower in reports and lease.borrower != name:
                borrowed[lease.borrower] = borrowed.get(lease.borrower, 0) + parts
    return {name: parts + borrowed.get(name, 0) for name, parts in retained.items()}


def weighted_median(pairs: Sequence[tuple[float, float]]) -> float:
    """Returns the weighted median of (value, weight) pairs, 0.0 if they have no weight."""
    total_weight = sum(weight for _, weight in pairs)
    if total_weight <= 0.0:
        return 0.0
    weight_so_far = 0.0
    ordered = sorted(pairs)
    for value, weight in ordered:
        weight_so_far += weight
        if weight_so_far >= total_weight / 2:
            return value
    return ordered[-1][0]


def bound_claims(claims: Mapping[str, float], quotas: Mapping[str, int]) -> dict[str, float]:
    """Limits each claim to `MAX_CLAIM_FACTOR` times the median claim per part of quota, times its quota.

    Both mappings are by name; a claim without quota is limited to 0.
    """
    quota_by_name = {name: quotas.get(name, 0) for name in claims}
    claims_per_part = [
        (claims[name] / parts, float(parts)) for name, parts in quota_by_name.items() if parts > 0
    ]
    median_per_part = weighted_median(claims_per_part)
    return {
        name: min(claim, MAX_CLAIM_FACTOR * quota_by_name[name] * median_per_part)
        for name, claim in claims.items()
    }


def median_service_times_us(
    reports: Mapping[str, Report], quotas: Mapping[str, int], class_count: int
) -> list[float]:
    """Returns, by class, the upstream time of one request: the median of the sidecars' measurements.

    A class without any measurement gets the median of the other classes, or 0.0 if no class has one.
    """
    service_times_us = []
    for class_index in range(class_count):
        measured = []
        for name, report in reports.items():
            if class_index >= len(report.classes):
                continue
            load = report.classes[class_index]
            if load.served_per_1000_s >= MIN_SERVED_PER_1000_S:
                time_us = load.busy_us_per_s / load.served_per_1000_s * 1000
                measured.append((time_us, float(quotas.get(name, 0))))
        service_times_us.append(weighted_median(measured))
    fallback_us = weighted_median([(time_us, 1.0) for time_us in service_times_us if time_us > 0.0])
    return [time_us or fallback_us for time_us in service_times_us]


@dataclass(slots=True, frozen=True)
class _Demand:
    """Upstream time per second that requests need, by sidecar and class."""

    first_us: dict[str, list[float]]
    returning_us: dict[str, list[float]]

    def claim_us(self, name: str) -> float:
        """Returns the total demand that one sidecar claims."""
        return sum(self.first_us[name]) + sum(self.returning_us[name])


def _compute_demand(reports: Mapping[str, Report], service_times_us: Sequence[float]) -> _Demand:
    no_load = ClassLoad(0, 0, 0, 0)
    first_us: dict[str, list[float]] = {}
    returning_us: dict[str, list[float]] = {}
    for name, report in reports.items():
        loads = list(report.classes[: len(service_times_us)])
        loads += [no_load] * (len(service_times_us) - len(loads))
        timed_loads = list(zip(loads, service_times_us, strict=True))
        first_us[name] = [load.demand_per_1000_s / 1000 * time_us for load, time_us in timed_loads]
        returning_us[name] = [load.returning_per_1000_s / 1000 * time_us for load, time_us in timed_loads]
    return _Demand(first_us, returning_us)


def _sum_by_class(
    demand_us: Mapping[str, Sequence[float]], counted_shares: Mapping[str, float], class_count: int
) -> list[float]:
    return [
        sum(demand_us[name][class_index] * share for name, share in counted_shares.items())
        for class_index in range(class_count)
    ]


def compute_threshold(
    reports: Mapping[str, Report], priority_weights: Sequence[float], instances: int
) -> SheddingThreshold | None:
    """Returns the threshold that follows from the reports.

    `reports` are by name, without expired ones, and include this sidecar's own. `priority_weights` are by
    class. Returns None if the sidecars that have reported have too little of the fleet's quota.
    """
    quotas = reported_quotas(reports, instances)
    total_quota = sum(quotas.values())
    if total_quota < MIN_REPORTED_SHARE * TOTAL_PARTS:
        return None
    class_count = len(priority_weights)
    service_times_us = median_service_times_us(reports, quotas, class_count)
    demand = _compute_demand(reports, service_times_us)
    claims_us = {name: demand.claim_us(name) for name in reports}
    bounded_us = bound_claims(claims_us, quotas)
    # The capacity is computed with the same service times as the demand. Those that a sidecar measures vary
    # threefold as queues build up and drain.
    capacity_claims_us = {
        name: claimed_capacity_us(report, service_times_us, claims_us[name])
        for name, report in reports.items()
    }
    capacity_us = sum(bound_claims(capacity_claims_us, quotas).values())
    counted_shares = {
        name: bounded_us[name] / claim_us for name, claim_us in claims_us.items() if claim_us > 0.0
    }
    first_us = _sum_by_class(demand.first_us, counted_shares, class_count)
    returning_us = _sum_by_class(demand.returning_us, counted_shares, class_count)
    order = _admission_order(priority_weights, service_times_us)
    admission = _allocate_capacity(capacity_us, order, first_us, returning_us)
    backlogs = bound_claims({name: float(report.backlog) for name, report in reports.items()}, quotas)
    storm_quota = sum(quotas[name] for name, report in reports.items() if report.has_retry_storm)
    return SheddingThreshold(
        admitted_shares=tuple(admission.admitted_shares),
        returning_shares=tuple(admission.returning_shares),
        generation=median_generation(reports, quotas),
        demand_us=sum(first_us),
        capacity_us=capacity_us,
        spare_us=admission.spare_us,
        backlog=sum(backlogs.values()),
        has_retry_storm=2 * storm_quota > total_quota,
    )


@dataclass(slots=True, frozen=True)
class _Admission:
    """The share of each class that fits the capacity, and the capacity that is left."""

    admitted_shares: list[float]
    returning_shares: list[float]
    spare_us: float


def _admission_order(priority_weights: Sequence[float], service_times_us: Sequence[float]) -> list[int]:
    """Returns the classes by descending priority weight per upstream time, then by index."""
    return sorted(
        range(len(priority_weights)),
        key=lambda class_index: (
            -priority_weights[class_index] / max(1.0, service_times_us[class_index]),
            class_index,
        ),
    )


def _allocate_capacity(
    capacity_us: float, order: Sequence[int], first_us: Sequence[float], returning_us: Sequence[float]
) -> _Admission:
    """Allocates the capacity to the classes in order.

    Within a class, retries that waited for their Retry-After come before first attempts.
    """
    admitted_shares = [1.0] * len(order)
    returning_shares = [1.0] * len(order)
    spare_us = capacity_us
    for class_index in order:
        for shares, demand_us in (
            (returning_shares, returning_us[class_index]),
            (admitted_shares, first_us[class_index]),
        ):
            if demand_us > 0.0:
                shares[class_index] = min(1.0, spare_us / demand_us)
                spare_us = max(0.0, spare_us - demand_us)
    return _Admission(admitted_shares, returning_shares, spare_us)


def claimed_capacity_us(report: Report, service_times_us: Sequence[float], claim_us: float) -> float:
    """Returns the upstream time per second that the author of a report claims to be available to it."""
    served_us = sum(
        load.served_per_1000_s / 1000 * time_us
        for load, time_us in zip(report.classes, service_times_us, strict=False)
    )
    capacity_us = served_us * report.capacity_permille / 1000 + max(service_times_us, default=0.0)
    if report.is_unconstrained:
        return max(capacity_us, UNCONSTRAINED_CAPACITY_FACTOR * claim_us)
    return capacity_us


def median_generation(reports: Mapping[str, Report], quotas: Mapping[str, int]) -> int:
    """Returns the weighted median of the reported generations, so that a minority can't change it."""
    return int(
        weighted_median(
            [(float(report.generation), float(quotas.get(name, 0))) for name, report in reports.items()]
        )
    )
