"""Creates reports for the tests."""

from __future__ import annotations

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, ClassLoad, LeaseRecord, Report

PRIORITY_WEIGHTS = (10.0, 8.0, 1.0)
SERVICE_TIME_US = 100_000
FLEET_SIZE = 6


def make_report(
    index: int,
    demand_per_s: float = 30.0,
    served_per_s: float = 20.0,
    is_unconstrained: bool = False,
    leases: list[LeaseRecord] | None = None,
    returning_per_s: float = 0.0,
    generation: int = 0,
    lendable_parts: int = 0,
    rejected_per_1000_s: int = 0,
) -> Report:
    """Returns a report of a fleet of six in a retry storm, with the same load in each class."""
    class_count = len(PRIORITY_WEIGHTS)
    load = ClassLoad(
        int(demand_per_s / class_count * 1000),
        int(returning_per_s / class_count * 1000),
        int(served_per_s / class_count * 1000),
        int(served_per_s / class_count * SERVICE_TIME_US),
    )
    return Report(
        index=index,
        generation=generation,
        has_retry_storm=True,
        usable_parts=TOTAL_PARTS // FLEET_SIZE,
        lendable_parts=lendable_parts,
        rejected_per_1000_s=rejected_per_1000_s,
        capacity_permille=1000,
        is_unconstrained=is_unconstrained,
        backlog=0,
        classes=[load] * class_count,
        leases=leases or [],
    )


def make_fleet(**replaced: Report) -> dict[str, Report]:
    """Returns the reports of six sidecars by name; `replaced` replaces some or adds more."""
    return {f"s{index}": make_report(index) for index in range(FLEET_SIZE)} | replaced
