"""One line for all: which classes, and which share of the one at the line, fit what nodes take. Pure.

The same for everybody who has heard the same: nothing of one's own goes in but the own report.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, Report

AMPLE = 1.5  # of its demand is the room of who knows no limit
STAKE = 1.25  # times its weight's part: more of a claim does not count
ENOUGH = 0.499  # of the weight has to be heard from; half of it, as parts are whole numbers
MOST_STEP = 1  # that the cut's number moves at a time


@dataclass(slots=True, frozen=True)
class Line:
    """What of each class is kept, 0 to 1: of what comes anew, and of those that come back when told to."""

    kept: tuple[float, ...]
    returning: tuple[float, ...]
    number: int
    demand_us: float  # of nodes' time a second, all together
    room_us: float
    spare_us: float  # room that fresh work leaves
    backlog: float
    storm: bool  # more than half of the weight says so

    @property
    def sheds(self) -> bool:
        return min(self.kept, default=1.0) < 1.0


def weights(reports: Mapping[str, Report], instances: int) -> dict[str, int]:
    """What each may spend by the word of others: what it owns by its number, without what it says that it has
    lent, and with what their lenders say. Two of one number share it.
    """
    owned = TOTAL_PARTS // instances
    by_index: dict[int, int] = {}
    for one in reports.values():
        by_index[one.index] = by_index.get(one.index, 0) + 1
    found = {
        name: owned // by_index[one.index] if one.index < instances else 0 for name, one in reports.items()
    }
    lent: dict[str, int] = {}
    for name, one in reports.items():
        left = found[name]
        for loan in one.loans:
            parts = min(loan.parts, left)  # hazard: nobody lends what it does not own
            left -= parts
            if loan.to in found and loan.to != name:
                lent[loan.to] = lent.get(loan.to, 0) + parts
        found[name] = left
    return {name: parts + lent.get(name, 0) for name, parts in found.items()}


def middle(pairs: Sequence[tuple[float, float]]) -> float:
    """The weighted median of (value, weight); 0 of nothing."""
    total = sum(weight for _, weight in pairs)
    if total <= 0.0:
        return 0.0
    passed = 0.0
    ordered = sorted(pairs)
    for value, weight in ordered:
        passed += weight
        if passed >= total / 2:
            return value
    return ordered[-1][0]


def bounded(claims: Mapping[str, float], stakes: Mapping[str, int]) -> dict[str, float]:
    """Of each claim what counts: STAKE times its weight's part, by the median of claim per weight."""
    known = {name: stakes.get(name, 0) for name in claims}
    a_part = middle([(claims[name] / parts, float(parts)) for name, parts in known.items() if parts > 0])
    return {name: min(claim, STAKE * known[name] * a_part) for name, claim in claims.items()}


def work_us(reports: Mapping[str, Report], stakes: Mapping[str, int], kinds: int) -> list[float]:
    """By class, nodes' time for one request, in microseconds: the median of what sidecars see; 0 = none."""
    found = []
    for kind in range(kinds):
        seen = [
            (one.classes[kind].busy_us / one.classes[kind].served * 1000, float(stakes.get(name, 0)))
            for name, one in reports.items()
            if kind < len(one.classes) and one.classes[kind].served >= 500
        ]
        found.append(middle(seen))
    usual = middle([(one, 1.0) for one in found if one > 0.0])
    return [one or usual for one in found]


def line(reports: Mapping[str, Report], worths: Sequence[float], instances: int) -> Line | None:
    """Of the reports that are fresh, the own one among them. None: too little is heard for one."""
    stakes = weights(reports, instances)
    if sum(stakes.values()) < ENOUGH * TOTAL_PARTS:
        return None
    kinds = len(worths)
    times_us = work_us(reports, stakes, kinds)
    # by sidecar and class, nodes' time for what comes anew and for those that come back in time
    fresh, back = (
        {
            name: [
                getattr(one.classes[kind], field) / 1000 * times_us[kind] if kind < len(one.classes) else 0.0
                for kind in range(kinds)
            ]
            for name, one in reports.items()
        }
        for field in ("demand", "returns")
    )
    claims = {name: sum(fresh[name]) + sum(back[name]) for name in reports}
    counted = bounded(claims, stakes)
    # hazard: by the same times as the demand; nodes' times move threefold while queues come and go
    rooms = bounded({name: room_us(one, times_us, claims[name]) for name, one in reports.items()}, stakes)
    all_us = left_us = sum(rooms.values())
    parts = {name: counted[name] / claim for name, claim in claims.items() if claim > 0.0}
    new_us, retry_due_us = (
        [sum(told[name][kind] * part for name, part in parts.items()) for kind in range(kinds)]
        for told in (fresh, back)
    )
    kept, returning = [1.0] * kinds, [1.0] * kinds
    # the dearest of a node's time first; of equals the earlier class, so that all have one order. Within a
    # class who has waited goes first
    for kind in sorted(range(kinds), key=lambda kind: (-worths[kind] / max(1.0, times_us[kind]), kind)):
        for share, wanted_us in ((returning, retry_due_us[kind]), (kept, new_us[kind])):
            if wanted_us > 0.0:
                share[kind] = min(1.0, left_us / wanted_us)
                left_us = max(0.0, left_us - wanted_us)
    backlogs = bounded({name: float(one.backlog) for name, one in reports.items()}, stakes)
    storm = sum(stakes[name] for name, one in reports.items() if one.storm)
    return Line(
        tuple(kept),
        tuple(returning),
        number_of(reports, stakes),
        sum(new_us),
        all_us,
        left_us,
        sum(backlogs.values()),
        2 * storm > sum(stakes.values()),
    )


def room_us(one: Report, times_us: Sequence[float], claim_us: float) -> float:
    """What one could use, of nodes' time a second."""
    served_us = sum(
        work.served / 1000 * time_us for work, time_us in zip(one.classes, times_us, strict=False)
    )
    found = served_us * one.grows / 1000 + max(times_us, default=0.0)
    return max(found, AMPLE * claim_us) if one.easy else found


def number_of(reports: Mapping[str, Report], stakes: Mapping[str, int]) -> int:
    """The cut's number, by the median: no few move it."""
    return int(middle([(float(one.number), float(stakes.get(name, 0))) for name, one in reports.items()]))
