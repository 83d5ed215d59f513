"""One sidecar's part in the fleet's overload: what it counts, hears, says, and what its decisions are told.

Pure: no I/O, no clock and no dice but what is handed in. Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import EARLY_US
from sidecar_proxy.overload_control import shedding_threshold as cut
from sidecar_proxy.overload_control.messages import (
    MOST_CLASSES,
    TOTAL_PARTS,
    LeaseGrant,
    LeaseRecord,
    LeaseRequest,
    LeaseReturn,
    OverloadMessage,
    Report,
    Work,
)
from sidecar_proxy.overload_control.quota_leases import KEPT, LEAST, TERM_US, Escrow
from sidecar_proxy.overload_control.retry_storm import Promises, Rate, Storm, return_us

TICK_US = 250_000
REPORT_US = 1_000_000  # between two reports of one sidecar
REPORTS_A_SECOND = 20  # of the whole fleet; more sidecars report less often
FRESH = 3  # intervals that a report counts
HOLDS_US = 3_000_000  # what the decisions are told counts so long
ROTATE_US = 30_000_000  # a number of the cut lasts so long
EASY = 0.05  # of what is admitted, refused for want of a slot: there is more room
GROWS = ((EASY, 2.0), (0.15, 1.4), (2.0, 1.15))  # room beyond what is served, by that share
GROWS_COLD = 3.0  # and where nodes warm up: words are a second or two old, and their room doubles in that
FULL = 0.85  # of the slow time, where the slots at cold nodes settle, as those of warm ones do
LEAST_PACE = 0.55
PEAK_US = 10_000_000  # in which what was served at most is forgotten to a third
NEEDED = 1.2  # of the demand's part of the weight: for chance
RENEW = 0.5  # of a loan's term, after which it is renewed
MOST_AUTHORS = 5000
LINE_US_EACH = 3000  # between two lines, for each sidecar heard: a line costs some 10 us for each


@dataclass(slots=True, frozen=True)
class FleetBudgets:
    """What the fleet may spend altogether, a second."""

    reissues_per_s: float = 50.0
    probes_per_s: float = 50.0
    tries_per_s: float = 4.0  # at each node that fails


@dataclass(slots=True, frozen=True)
class Broadcast:
    """To all, in place of the last."""

    report: Report


@dataclass(slots=True, frozen=True)
class SendMessage:
    """To one."""

    to: str
    word: OverloadMessage


@dataclass(slots=True, frozen=True)
class LogMessage:
    """For the log."""

    text: str


Output = Broadcast | SendMessage | LogMessage | api.OverloadUpdated


@dataclass(slots=True)
class Heard:
    report: Report
    at_us: int


class Seen:
    """What one sidecar counts of one class."""

    __slots__ = ("busy", "demand", "returns", "served")

    def __init__(self, now_us: int) -> None:
        self.demand, self.returns = Rate(now_us), Rate(now_us)
        self.served, self.busy = Rate(now_us), Rate(now_us)


def mean_slow_start_weight(entries: Iterable[api.Upstream], settings: api.Settings, now_us: int) -> float:
    """Of the nodes that warm up, by the least that the rules allow them; 1 = none does."""
    ages = [now_us - one.started_us for one in entries if one.started_us] if settings.warm_up_us else []
    cold = [
        settings.cold_share + (1.0 - settings.cold_share) * max(0, age_us) / settings.warm_up_us
        for age_us in ages
        if age_us < settings.warm_up_us
    ]
    return sum(cold) / len(cold) if cold else 1.0


class OverloadController:
    def __init__(
        self,
        name: str,
        index: int,
        instances: int,
        worths: Sequence[float],
        most_return_us: int,
        limits: FleetBudgets,
        dice: random.Random,
        now_us: int,
        slow_us: int = 0,
    ) -> None:
        """`slow_us`: a node's answer that takes longer, when it is warm, comes of a queue; 0 = not known."""
        self.name = name
        self.index = index
        self.instances = max(1, instances)
        self.worths = tuple(worths[:MOST_CLASSES])
        self.most_return_us = most_return_us
        self.limits = limits
        self.dice = dice
        self.escrow = Escrow(index, self.instances, dice, now_us)
        self.seen = [Seen(now_us) for _ in self.worths]
        self.tries, self.repeats = Rate(now_us), Rate(now_us)
        self.refused_rate, self.crowded = Rate(now_us), Rate(now_us)  # all; and for want of a slot
        self.peak, self.peak_us = 0.0, now_us  # the most that was served a second, of late
        self.storm = Storm()
        self.promises = Promises()
        self.heard_of: dict[str, Heard] = {}
        self.number, self.number_us = 0, now_us
        self.line: cut.Line | None = None
        self.line_us = now_us  # when it is made anew
        self.wanted = int(self.escrow.owned * KEPT)  # parts that our load needs, as last reckoned
        self.own: Report | None = None  # our last report
        self.warmth = 1.0  # of the nodes that warm up, in the mean; 1 = none does
        self.slow_us = slow_us
        self.pace = 1.0  # of its weight, that its decisions may use at cold nodes
        self.tick_us = now_us + int(TICK_US * dice.random())
        self.report_us = self.tick_us
        self.decided: api.OverloadUpdated | None = None
        self.counts: Counter[str] = Counter()

    # From the engine

    def arrived(self, kind: int, key: int, retried: bool, now_us: int) -> int:
        """A request has come; when its client was told to come back, 0 = it was not."""
        retry_due_us = self.promises.when(key, now_us) if key and self.promises.by_key else 0
        self.tries.count += 1
        if retry_due_us and retry_due_us <= now_us + EARLY_US:
            if kind < len(self.seen):
                self.seen[kind].returns.count += 1
        elif retried or retry_due_us:
            # hazard: those that are shed come again and again; counted as demand they would lower the line
            # for all, by themselves
            self.repeats.count += 1
        elif kind < len(self.seen):
            self.seen[kind].demand.count += 1
        return retry_due_us if self.storm.on else 0

    def refused(self, key: int, after_us: int, shed: bool, now_us: int) -> None:
        """The decisions have refused one, and told its client to stay away for so long; `shed` by the line,
        or for want of a slot.
        """
        self.refused_rate.count += 1
        self.crowded.count += not shed
        if key and after_us > 0:
            self.promises.note(key, now_us + after_us)

    def served(self, kind: int, elapsed_us: int) -> None:
        """A node has answered an attempt well after so long."""
        if kind < len(self.seen):
            self.seen[kind].served.count += 1
            self.seen[kind].busy.count += elapsed_us

    # From the others

    @property
    def interval_us(self) -> int:
        return max(REPORT_US, self.instances * 1_000_000 // REPORTS_A_SECOND)

    def heard(self, author: str, report: Report, now_us: int) -> list[Output]:
        if author == self.name or (author not in self.heard_of and len(self.heard_of) >= MOST_AUTHORS):
            return []
        self.heard_of[author] = Heard(report, now_us)
        if report.index == self.index and author < self.name and not self.escrow.barred:
            self.escrow.barred = True
            return [
                *self.decide(now_us),
                LogMessage(
                    f"{author} says that it is number {self.index} as well: this "
                    "one spends nothing of the fleet's budgets"
                ),
            ]
        return []

    def left(self, author: str) -> None:
        """It is held for dead. Hazard: its loans run out by themselves and no sooner, as it may live."""
        self.heard_of.pop(author, None)

    def noted(self, author: str, word: OverloadMessage, now_us: int) -> list[Output]:
        """One has said something to us alone."""
        if isinstance(word, LeaseRequest):
            self.counts["asked"] += 1
            lend = self.escrow.need(author, word, self.wanted, now_us)
            # hazard: our own decisions have less from the moment that another one may have it
            return [*(self.decide(now_us) if lend.parts else ()), SendMessage(author, lend)]
        if isinstance(word, LeaseGrant):
            if not self.escrow.lent(author, word, now_us):
                return []
            self.counts["borrowed"] += 1
            return self.decide(now_us)
        if isinstance(word, LeaseReturn):
            self.escrow.back(author, word)
        return []

    # Time

    @property
    def due_us(self) -> int:
        return self.tick_us

    def tick(self, now_us: int, warmth: float = 1.0) -> list[Output]:
        """`warmth`: of those nodes in use that warm up, in the mean; 1 = none does."""
        if now_us < self.tick_us:
            return []
        self.tick_us = now_us + TICK_US
        self.warmth = warmth
        self.follow_pace()
        found: list[Output] = []
        tries = self.settle(now_us)
        fresh_us = FRESH * self.interval_us
        for name in [name for name, one in self.heard_of.items() if now_us - one.at_us > fresh_us]:
            del self.heard_of[name]
        self.escrow.barred = self.escrow.barred and any(
            one.report.index == self.index and name < self.name for name, one in self.heard_of.items()
        )
        if now_us >= self.line_us:
            self.line_us = now_us + len(self.heard_of) * LINE_US_EACH
            self.wanted = self.needed()
            self.own = self.report(now_us)
            # a line costs some CPU, and where nobody is short there is nothing to shed
            short = self.own.refused > 0 or any(one.report.refused for one in self.heard_of.values())
            self.line = cut.line(self.fresh(), self.worths, self.instances) if short else None
        if self.storm.look(
            tries,
            self.repeats.value,
            self.refused_rate.value,
            self.line is not None and self.line.storm,
            now_us,
        ):
            word = "begins" if self.storm.on else "ends"
            found.append(LogMessage(f"a storm {word}: {self.storm.why}"))
            self.report_us = now_us
        self.turn(now_us)
        found += self.trade(now_us)
        if now_us >= self.report_us:
            self.report_us = now_us + int(self.interval_us * (0.8 + 0.4 * self.dice.random()))
            found.append(Broadcast(self.report(now_us)))
        told = self.decided
        decided = self.decide(now_us)
        if (
            told is not None
            and told.valid_until_us - now_us > HOLDS_US // 2
            and self.decided is not None
            and (replace(self.decided, valid_until_us=told.valid_until_us) == told)
        ):
            self.decided, decided = told, []  # it holds on as it was told
        return decided + found

    def follow_pace(self) -> None:
        """Hazard: what a cold node bears in slots is more than it works on at once, the warmer the more;
        its queue would be judged as a warm node's in the moment that it is one, and close all slots.
        """
        if self.warmth >= 1.0 or not self.slow_us:
            self.pace = 1.0
            return
        late = self.usual_us() * self.warmth / self.slow_us
        if late > FULL:
            self.pace = max(LEAST_PACE, self.pace * 0.95)
        elif late < FULL / 2:
            self.pace = min(1.0, self.pace * 1.05)

    @property
    def served_per_s(self) -> float:
        return sum(one.served.value for one in self.seen)

    def settle(self, now_us: int) -> float:
        for one in self.seen:
            for rate in (one.demand, one.returns, one.served, one.busy):
                rate.settle(now_us)
        for rate in (self.tries, self.repeats, self.refused_rate, self.crowded):
            rate.settle(now_us)
        # hazard: words are old by a second or two; a line by what was served just now starves nodes that
        # were, by chance or by the line, given less
        passed_us, self.peak_us = now_us - self.peak_us, now_us
        self.peak = max(self.served_per_s, self.peak * math.exp(-passed_us / PEAK_US))
        return self.tries.value

    def fresh(self) -> dict[str, Report]:
        found = {name: one.report for name, one in self.heard_of.items()}
        if self.own is not None:
            found[self.name] = self.own
        return found

    def turn(self, now_us: int) -> None:
        """The cut's number: that of most, and a new one now and then."""
        told = self.line.number if self.line is not None else self.number
        if told != self.number:
            self.number, self.number_us = told, now_us
        elif now_us - self.number_us >= ROTATE_US:
            self.number, self.number_us = self.number + 1, now_us

    def report(self, now_us: int) -> Report:
        work = [
            Work(
                int(one.demand.value * 1000),
                int(one.returns.value * 1000),
                int(one.served.value * 1000),
                int(one.busy.value),
            )
            for one in self.seen
        ]
        loans = [LeaseRecord(to, parts) for to, parts in self.escrow.loans(now_us).items()]
        return Report(
            self.index,
            self.number,
            self.storm.on,
            min(TOTAL_PARTS, self.escrow.weight(now_us)),
            self.escrow.spare(self.wanted, now_us),
            int(self.refused_rate.value * 1000),
            *self.room(),
            self.promises.backlog(now_us),
            work,
            loans,
        )

    def room(self) -> tuple[int, bool]:
        """What nodes could take as it seems, in thousandths of what is served; and whether no limit is seen.
        Hazard: while nothing is served at all the nodes are away, and a line by that would shed all once they
        are back.
        """
        served = self.served_per_s
        if served < 1.0:
            return 1000, True
        crowded = self.crowded.value / (self.crowded.value + served)
        easy = crowded < EASY and self.refused_rate.value < EASY * self.tries.value
        grows = GROWS_COLD if self.warmth < 1.0 else next(by for most, by in GROWS if crowded < most)
        return int(1000 * grows * self.peak / served), easy

    # Loans

    def needed(self) -> int:
        """Parts of the weight that our part of the fleet's demand needs."""
        own = sum(one.demand.value for one in self.seen)
        others = [sum(work.demand for work in one.report.classes) / 1000 for one in self.heard_of.values()]
        total = own + sum(others)
        if total <= 0.0:
            return int(self.escrow.owned * KEPT)
        heard = (len(others) + 1) / self.instances  # of a part of the fleet, its part
        return int(min(1.0, NEEDED * own / total * min(1.0, heard)) * TOTAL_PARTS)

    def trade(self, now_us: int) -> list[Output]:
        """Borrow what is missing from who has most to spare, renew what is used, give back what is not."""
        escrow, found = self.escrow, list[Output]()
        missing = self.wanted - escrow.weight(now_us)
        if missing < LEAST and not escrow.held:
            return []
        for number, one in list(escrow.held.items()):
            if now_us >= one.until_us:
                continue
            if missing <= -one.parts - LEAST:
                lender, word = escrow.give_back(number)
                missing += one.parts
                found.append(SendMessage(lender, word))
                continue
            heard = self.heard_of.get(one.lender)
            more = min(missing, heard.report.spare if heard is not None else 0)
            if one.until_us - now_us < RENEW * TERM_US or more >= LEAST:
                asked = escrow.ask(one.lender, one.parts + more, now_us, renews=number)
                if asked is not None:
                    missing -= more
                    found.append(SendMessage(one.lender, asked))
        lenders = {one.lender for one in escrow.held.values()}
        spares = sorted(
            (
                (one.report.spare, name)
                for name, one in self.heard_of.items()
                if one.report.spare >= LEAST and name not in lenders
            ),
            reverse=True,
        )
        for spare, name in spares:
            if missing < LEAST:
                break
            asked = escrow.ask(name, min(spare, missing), now_us)
            if asked is not None:
                missing -= asked.parts
                found.append(SendMessage(name, asked))
        return found

    # What the decisions are told

    def decide(self, now_us: int) -> list[Output]:
        weight = self.escrow.weight(now_us) / TOTAL_PARTS * self.pace
        until_us = now_us + HOLDS_US
        # hazard: what is borrowed may end sooner than the next word to the decisions
        ends = [one.until_us for one in self.escrow.held.values() if one.until_us > now_us]
        until_us = min([until_us, *ends])
        line, usual_us = self.line, self.usual_us()
        storm = self.storm.on
        retry_due_us = return_us(line, usual_us, int(usual_us), self.most_return_us) if storm else 0
        whole = [1.0] * len(self.worths)
        kept = list(line.kept) if line is not None else whole
        returning = list(line.returning) if line is not None else whole
        limits = self.limits
        told = api.OverloadUpdated(
            budget_share=weight,
            admitted_shares=kept,
            returning_shares=returning,
            generation=self.number,
            retry_after_us=retry_due_us,
            valid_until_us=until_us,
            retries_per_s=limits.reissues_per_s * weight,
            probes_per_s=limits.probes_per_s * weight,
            attempts_per_s=limits.tries_per_s * weight,
        )
        self.decided = told
        return [told]

    def usual_us(self) -> float:
        """Nodes' time for one request, as seen here."""
        served = self.served_per_s
        return sum(one.busy.value for one in self.seen) / served if served >= 0.5 else 100_000.0

    # For people

    def described(self, now_us: int) -> dict[str, object]:
        line = self.line
        return {
            "tries_per_s": round(self.tries.value, 1),
            "repeats_per_s": round(self.repeats.value, 1),
            "crowded_per_s": round(self.crowded.value, 1),
            "served_per_s": round(self.served_per_s, 1),
            "returns_per_s": round(sum(one.returns.value for one in self.seen), 1),
            "refused_per_s": round(self.refused_rate.value, 1),
            "index": self.index,
            "instances": self.instances,
            "storm": self.storm.on,
            "why": self.storm.why,
            "weight": self.escrow.weight(now_us),
            "owned": self.escrow.owned,
            "lent": self.escrow.loans(now_us),
            "borrowed": {one.lender: one.parts for one in self.escrow.held.values() if one.until_us > now_us},
            "number": self.number,
            "kept": [round(one, 3) for one in line.kept] if line is not None else None,
            "returning": [round(one, 3) for one in line.returning] if line is not None else None,
            "return_us": self.decided.retry_after_us if self.decided is not None else 0,
            "demand_us": int(line.demand_us) if line is not None else 0,
            "room_us": int(line.room_us) if line is not None else 0,
            "backlog": line.backlog if line is not None else 0,
            "heard": {name: now_us - one.at_us for name, one in sorted(self.heard_of.items())},
            "counts": dict(self.counts),
        }
