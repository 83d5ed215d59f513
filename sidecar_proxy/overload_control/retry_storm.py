"""When a storm begins and ends, and when refused clients are told to come back. Pure."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from sidecar_proxy.balancer.balancer import EARLY_US
from sidecar_proxy.overload_control.shedding_threshold import Line

BEGINS = 0.2  # share of the tries that is refused for want of slots
REPEATS = 0.3  # share of the tries that are repeats, where at least ENDS of all is refused
ENDS = 0.05
BEGIN_US = 500_000  # for so long
END_US = 3_000_000
LEAST_TRIES = 4.0  # a second: fewer say nothing
MOST_KEPT = 20_000  # promises that are remembered
KEEP_US = 5_000_000  # a promise is remembered so long after its time


@dataclass(slots=True)
class Rate:
    """Events a second, smoothed over about a second."""

    at_us: int
    value: float = 0.0
    count: int = 0

    def settle(self, now_us: int) -> float:
        """Take in what was counted since the last time."""
        passed_us = now_us - self.at_us
        if passed_us > 0:
            keep = math.exp(-passed_us / 1e6)
            self.value = self.value * keep + self.count / passed_us * 1e6 * (1.0 - keep)
            self.at_us, self.count = now_us, 0
        return self.value


@dataclass(slots=True)
class Storm:
    """With hysteresis; `why` is of the last change."""

    on: bool = False
    since_us: int = 0  # of the condition for a change; 0 = it does not hold
    why: str = ""

    def look(self, tries: float, repeats: float, refused: float, fleet: bool, now_us: int) -> bool:
        """Rates a second, and whether most of the fleet says that there is one. True: it has changed."""
        share = refused / tries if tries >= LEAST_TRIES else 0.0
        again = repeats / tries if tries >= LEAST_TRIES else 0.0
        if self.on:
            holds, wait_us = share < ENDS and not fleet, END_US
            why = f"over: {share:.0%} of {tries:.0f} tries a second refused"
        else:
            holds = share >= BEGINS or (again >= REPEATS and share >= ENDS) or (fleet and share >= ENDS)
            wait_us = BEGIN_US
            why = f"{share:.0%} of {tries:.0f} tries a second refused, {again:.0%} repeats" + (
                ", most of the fleet says so" if fleet else ""
            )
        if not holds:
            self.since_us = 0
        elif not self.since_us:
            self.since_us = now_us
        elif now_us - self.since_us >= wait_us:
            self.on, self.since_us, self.why = not self.on, 0, why
            return True
        return False


@dataclass(slots=True)
class Promises:
    """Which clients were told to come back, by their key, and when."""

    by_key: OrderedDict[int, int] = field(default_factory=OrderedDict)

    def note(self, key: int, at_us: int) -> None:
        self.by_key.pop(key, None)
        self.by_key[key] = at_us
        while len(self.by_key) > MOST_KEPT:
            self.by_key.popitem(last=False)

    def when(self, key: int, now_us: int) -> int:
        """When this one was told to come back; 0 = it was not, or long ago. One that comes at its time has
        used its promise.
        """
        at_us = self.by_key.get(key, 0)
        if at_us and now_us >= at_us - EARLY_US:
            del self.by_key[key]
            return at_us if now_us <= at_us + KEEP_US else 0
        return at_us

    def backlog(self, now_us: int) -> int:
        """How many are still to come; those whose time is long past are forgotten."""
        for key in [key for key, at_us in self.by_key.items() if now_us > at_us + KEEP_US]:
            del self.by_key[key]
        return sum(at_us > now_us for at_us in self.by_key.values())


def return_us(line: Line | None, work_us: float, usual_us: int, most_us: int) -> int:
    """The time in which the fleet's backlog fits into the room that fresh work leaves: a virtual queue whose
    length all know. Between a usual answer and what the settings allow.
    """
    if line is None or line.spare_us <= 0.02 * line.room_us:
        return most_us
    wait_us = (line.backlog + 1) * work_us / line.spare_us * 1e6
    return max(min(usual_us, most_us), min(most_us, int(wait_us)))
