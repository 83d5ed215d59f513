"""Campaigns: scripts drawn by seed, played, judged; a failing one is made smaller and printed.

By default in virtual time, by the pure cores that the sidecars run (overload_control/) and their decisions,
with no upstream, so that all is refused; on a network that delays, loses, doubles, reorders and parts; with
processes that are killed, stopped, started anew, and clocks that run at their own rate. `--real` plays the
same scripts with processes and sockets, on the rig.

    python3 -m sidecar_proxy campaign --seed 1 --runs 200 [--sidecars 6] [--real]
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol, TextIO

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.overload_control.controller import FleetBudgets, OverloadController
from sidecar_proxy.overload_control.messages import TOTAL_PARTS
from sidecar_proxy.overload_control.outputs import Broadcast, Output, SendMessage
from sidecar_proxy.overload_control.quota_leases import MAX_CLOCK_DRIFT
from sidecar_proxy.testbed.fault_injection import LINK_KINDS, SIZED, pairs
from sidecar_proxy.testbed.fault_schedule import Fault, ScriptError, read, written

SECONDS = 30.0
FIRST_US = 1_000_000  # of the world's clock
TRIP_US = 20_000
LATE_US = 2_000_000  # a packet that is overtaken, at most
DEAD_US = 1_500_000  # of silence, after which one is held for dead
STEP_US = 50_000  # between two looks at all
CROWD = 0.5  # of the returns told within a second, that may fall on one tenth of a second
MOST_FAULTS = 6
WORTHS = (10.0, 8.0, 1.0)
KINDS = (
    "sidecar_kill",
    "sidecar_stop",
    "sidecar_wipe",
    "link_part",
    "link_oneway",
    "link_bridge",
    "link_slow",
    "link_lossy",
    "link_double",
    "link_reorder",
)
Makes = Callable[..., OverloadController]


class Decisions(Protocol):
    def handle(self, now_us: int, event: api.Event) -> list[api.Action]: ...


Decides = Callable[[api.Settings, int, int], Decisions]


@dataclass(slots=True, frozen=True)
class Finding:
    """What a run has broken."""

    at_s: float
    text: str


@dataclass(slots=True, eq=False)
class Mind:
    """One sidecar's process in virtual time."""

    number: int
    rate: float  # of its clock
    member: OverloadController
    balancer: Decisions
    life: int = 0
    requests: int = 0
    stopped: bool = False
    away: bool = False


class World:
    """A fleet's parts in overload on a network of ours. One seed and one script are one run."""

    def __init__(
        self,
        sidecars: int,
        seed: int,
        faults: Sequence[Fault],
        makes: Makes = OverloadController,
        decides: Decides = Balancer,
    ) -> None:
        self.decides = decides
        self.dice = random.Random(seed)
        self.makes = makes
        self.count = sidecars
        self.now_us = FIRST_US
        self.order = itertools.count()
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.cut: dict[tuple[int, int], int] = {}
        self.sized: dict[tuple[int, int], dict[str, float]] = {}
        self.findings: list[Finding] = []
        self.told: list[tuple[int, int]] = []  # returns: when told, to when
        self.minds = [
            Mind(
                n,
                1.0 + (self.dice.random() - 0.5) * MAX_CLOCK_DRIFT * 0.9,
                self.fresh(n, 0),
                decides(settings(sidecars, n), n, FIRST_US),
            )
            for n in range(sidecars)
        ]
        # a demand that moves: some have far more than their part, and not always the same ones
        self.demand = [[40.0 * self.dice.lognormvariate(0.0, 1.0) for _ in range(4)] for _ in range(sidecars)]
        for mind in self.minds:
            self.wake_later(mind)
            self.load(mind)
        for fault in faults:
            self.at(int(fault.at_s * 1e6), lambda fault=fault: self.harm(fault))  # type: ignore[misc]
        self.at(STEP_US, self.look)

    def fresh(self, number: int, life: int) -> OverloadController:
        dice = random.Random(f"{self.dice.random()} {number} {life}")
        mine = FIRST_US if not life else self.clock(self.minds[number])
        return self.makes(f"s{number}", number, self.count, WORTHS, 2_000_000, FleetBudgets(), dice, mine)

    # Time

    def at(self, after_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now_us + max(0, after_us), next(self.order), what))

    def clock(self, mind: Mind) -> int:
        """Its own monotonic clock."""
        return int(FIRST_US + (self.now_us - FIRST_US) * mind.rate)

    def run(self, seconds: float) -> list[Finding]:
        end_us = self.now_us + int(seconds * 1e6)
        while self.events and self.events[0][0] <= end_us and not self.findings:
            self.now_us, _, what = heapq.heappop(self.events)
            what()
        return self.findings

    def when(self, mind: Mind, what: Callable[[], None]) -> Callable[[], None]:
        """For that life of it alone; what comes while it is stopped waits."""
        life = mind.life

        def call() -> None:
            if mind.life != life or mind.away:
                return
            if mind.stopped:
                self.at(STEP_US, call)
            else:
                what()

        return call

    def wake_later(self, mind: Mind) -> None:
        wait_us = max(0, mind.member.next_tick_us - self.clock(mind)) / mind.rate

        def tick() -> None:
            self.perform(mind, mind.member.tick(self.clock(mind)))
            self.wake_later(mind)

        self.at(int(wait_us) + 1, self.when(mind, tick))

    def load(self, mind: Mind) -> None:
        """Its requests: a part served, a part refused, by what its decisions were told."""
        quarter = int((self.now_us - FIRST_US) / 8e6) % 4

        def arrive() -> None:
            member, mine = mind.member, self.clock(mind)
            kind, key = self.dice.randrange(3), self.dice.getrandbits(60) + 1
            member.record_arrival(kind, key, False, mine)
            if self.dice.random() < 0.6:
                member.record_success(kind, 100_000)
            else:
                mind.requests += 1
                self.decide(mind, api.RequestArrived(mind.requests, mine + 1_000_000, kind, key=key), key)
            self.load(mind)

        self.at(int(self.dice.expovariate(self.demand[mind.number][quarter]) * 1e6), self.when(mind, arrive))

    def decide(self, mind: Mind, event: api.Event, key: int = 0) -> None:
        for action in mind.balancer.handle(self.clock(mind), event):
            if isinstance(action, api.Refuse) and action.retry_after_us:
                mind.member.record_rejection(key, action.retry_after_us, action.shed, self.clock(mind))
                self.told.append((self.now_us, self.now_us + action.retry_after_us))

    # Words

    def perform(self, mind: Mind, outputs: Sequence[Output]) -> None:
        for one in outputs:
            if isinstance(one, Broadcast):
                for other in self.minds:
                    if other is not mind:
                        self.post(mind, other, words.encode(one.report))
            elif isinstance(one, SendMessage):
                self.post(mind, self.minds[int(one.recipient[1:])], words.encode(one.message))
            elif isinstance(one, api.OverloadUpdated):
                self.decide(mind, one)

    def post(self, source: Mind, target: Mind, data: bytes) -> None:
        pair = source.number, target.number
        way = self.sized.get(pair, {})
        if self.cut.get(pair, 0) or self.dice.random() < way.get("link_lossy", 0.0):
            return
        for _ in range(2 if self.dice.random() < way.get("link_double", 0.0) else 1):
            late = self.dice.random() < way.get("link_reorder", 0.0)
            late_us = int(self.dice.random() * LATE_US) if late else 0
            wait_us = int(TRIP_US * (0.5 + self.dice.random()) + way.get("link_slow", 0.0) * 1e6) + late_us
            # hazard: not bound to a life of the target; a late packet reaches whoever has its address by then
            self.at(wait_us, lambda: self.deliver(source, target, data))

    def deliver(self, source: Mind, target: Mind, data: bytes) -> None:
        if target.away:
            return
        if target.stopped:
            self.at(STEP_US, lambda: self.deliver(source, target, data))
            return
        word, name, mine = words.decode(data), f"s{source.number}", self.clock(target)
        if isinstance(word, words.Report):
            self.perform(target, target.member.receive_report(name, word, mine))
        else:
            self.perform(target, target.member.receive_message(name, word, mine))

    # Faults

    def harm(self, fault: Fault) -> None:
        numbers = [number for number in fault.sidecars if number < self.count] or list(range(self.count))
        if fault.kind in ("sidecar_kill", "sidecar_wipe", "sidecar_term"):
            for number in numbers:
                self.minds[number].away = True
                self.minds[number].life += 1
                self.at(int(fault.for_s * 1e6), lambda number=number: self.begin(number))  # type: ignore[misc]
        elif fault.kind == "sidecar_stop":
            for number in numbers:
                self.minds[number].stopped = True
                self.at(int(fault.for_s * 1e6), lambda number=number: self.go_on(number))  # type: ignore[misc]
        elif fault.kind in LINK_KINDS:
            some = pairs(fault.kind, numbers, self.count)
            self.spoil(fault, some, True)
            self.at(DEAD_US, lambda: self.give_up(some))
            self.at(int(fault.for_s * 1e6), lambda: self.spoil(fault, some, False))

    def give_up(self, some: list[tuple[int, int]]) -> None:
        """Who has not been heard for a while is held for dead, rightly or not."""
        for source, target in some:
            if self.cut.get((source, target), 0) and not self.minds[target].away:
                self.minds[target].member.remove_peer(f"s{source}")

    def begin(self, number: int) -> None:
        """A new process, which knows nothing."""
        mind = self.minds[number]
        if not mind.away:
            return
        mind.life += 1
        mind.away = mind.stopped = False
        mind.member = self.fresh(number, mind.life)
        mind.balancer = self.decides(settings(self.count, number), number + mind.life, self.clock(mind))
        self.wake_later(mind)
        self.load(mind)

    def go_on(self, number: int) -> None:
        self.minds[number].stopped = False

    def spoil(self, fault: Fault, some: list[tuple[int, int]], on: bool) -> None:
        for pair in some:
            if fault.kind in SIZED:
                usual = fault.size or SIZED[fault.kind][1]
                self.sized.setdefault(pair, {})[fault.kind] = usual if on else 0.0
            else:
                self.cut[pair] = self.cut.get(pair, 0) + (1 if on else -1)

    # What has to hold

    def look(self) -> None:
        self.at(STEP_US, self.look)
        weights = {
            mind.number: mind.member.escrow.usable_parts(self.clock(mind))
            for mind in self.minds
            if not mind.away
        }
        if sum(weights.values()) > TOTAL_PARTS:
            self.find(f"all may spend {sum(weights.values())} parts of {TOTAL_PARTS}: {weights}")
        for mind in self.minds:
            told = mind.member.last_update
            if mind.away or told is None or self.clock(mind) >= told.valid_until_us:
                continue
            # what the decisions go by must not outlast what it rests on
            if told.budget_share * TOTAL_PARTS > weights[mind.number] + 1:
                self.find(
                    f"s{mind.number} goes by {told.budget_share:.4f} of budgets until {told.valid_until_us} "
                    f"and may spend {weights[mind.number]} parts"
                )
        self.look_at_returns()

    def look_at_returns(self) -> None:
        """Those told within a second are spread: no tenth of a second takes half of them."""
        self.told = [one for one in self.told if one[0] > self.now_us - 1_000_000]
        if len(self.told) < 100 or self.now_us < FIRST_US + 2_000_000:
            return  # too few, or told by a fleet that has just begun
        tenths: dict[int, int] = {}
        for _, until_us in self.told:
            tenths[until_us // 100_000] = tenths.get(until_us // 100_000, 0) + 1
        if max(tenths.values()) > CROWD * len(self.told):
            self.find(f"{max(tenths.values())} of {len(self.told)} clients are told the same moment")

    def find(self, text: str) -> None:
        self.findings.append(Finding((self.now_us - FIRST_US) / 1e6, text))


def settings(sidecars: int, number: int) -> api.Settings:
    kinds = [
        api.RequestClass(f"k{priority_weight}", 300_000, 1_000_000, priority_weight)
        for priority_weight in WORTHS
    ]
    return api.Settings(
        kinds, instances=sidecars, self_index=number, max_attempts=4, max_retry_after_us=2_000_000
    )


def draw(seed: int, sidecars: int, seconds: float = SECONDS) -> list[Fault]:
    """A script by seed."""
    dice = random.Random(seed)
    found = []
    for _ in range(dice.randint(1, MOST_FAULTS)):
        kind = dice.choice(KINDS)
        some = dice.sample(range(sidecars), dice.randint(1, max(1, sidecars - 1)))
        if kind == "link_bridge":
            some = dice.sample(range(sidecars), min(2, sidecars))
        elif kind.startswith("sidecar"):
            some = some[: max(1, sidecars // 3)]
        at_s = round(dice.uniform(0.0, seconds * 0.8), 2)
        size = {
            "link_slow": dice.uniform(0.05, 1.0),
            "link_lossy": dice.uniform(0.1, 0.9),
            "link_double": dice.uniform(0.1, 1.0),
            "link_reorder": dice.uniform(0.1, 1.0),
        }.get(kind, 0.0)
        found.append(
            Fault(
                kind,
                at_s,
                round(dice.uniform(0.2, 8.0), 2),
                size=round(size, 2),
                sidecars=tuple(sorted(some)),
            )
        )
    return sorted(found, key=lambda one: one.at_s)


Plays = Callable[[int, Sequence[Fault]], list[Finding]]


def smaller(seed: int, faults: list[Fault], plays: Plays) -> list[Fault]:
    """Of a script that fails, one that still does and has no fault too many (Zeller's ddmin, one at a time),
    nor lasts longer than it has to."""
    left = list(faults)
    again = True
    while again:
        again = False
        for number in range(len(left)):
            fewer = left[:number] + left[number + 1 :]
            if plays(seed, fewer):
                left, again = fewer, True
                break
    for number, one in enumerate(left):
        for part in (4, 2):
            tried = [*left[:number], replace(one, for_s=round(one.for_s / part, 2)), *left[number + 1 :]]
            if plays(seed, tried):
                left = tried
                break
    return left


def virtual(
    sidecars: int, seconds: float, makes: Makes = OverloadController, decides: Decides = Balancer
) -> Plays:
    return lambda seed, faults: World(sidecars, seed, faults, makes, decides).run(seconds)


def real(sidecars: int, seconds: float) -> Plays:
    """The same on the rig."""

    def plays(seed: int, faults: Sequence[Fault]) -> list[Finding]:
        import uvloop

        return uvloop.run(on_rig(sidecars, seconds, seed, faults))

    return plays


async def on_rig(sidecars: int, seconds: float, seed: int, faults: Sequence[Fault]) -> list[Finding]:
    from sidecar_proxy.testbed.scenario import Plan, Scene

    plan = Plan(
        sidecars=sidecars,
        rate=40.0 * sidecars,
        seconds=seconds,
        seed=seed,
        faults=tuple(faults),
        gossip=True,
        relayed=True,
        extra="[overload]\nenabled = true\ntrace = true\n",
    )
    async with Scene(plan) as scene:
        await scene.play()
    return [Finding(0.0, f"rule {one.rule}: {one.text}") for one in scene.verdict()]


@dataclass(slots=True)
class Campaign:
    """Many runs."""

    seed: int
    runs: int
    sidecars: int
    seconds: float
    plays: Plays
    out: TextIO

    def run(self) -> int:
        """How many runs it took to find something; 0 = nothing was found."""
        lively = self.out.isatty()
        for number in range(self.runs):
            seed = self.seed * 1_000_003 + number
            faults = draw(seed, self.sidecars, self.seconds)
            found = self.plays(seed, faults)
            if lively:
                self.out.write(f"\r{number + 1} of {self.runs} runs")
                self.out.flush()
            if found:
                self.tell(number + 1, seed, faults, found)
                return number + 1
        print(
            f"{chr(13) if lively else ''}{self.runs} runs of {self.sidecars} sidecars from seed "
            f"{self.seed}: nothing found",
            file=self.out,
        )
        return 0

    def tell(self, number: int, seed: int, faults: list[Fault], found: list[Finding]) -> None:
        print(f"\nrun {number}, seed {seed}: at {found[0].at_s:.2f} s: {found[0].text}", file=self.out)
        left = smaller(seed, faults, self.plays)
        print(
            f"{len(left)} of {len(faults)} faults are enough; with `--play FILE --seed {seed}`:\n",
            file=self.out,
        )
        print(written(left), file=self.out)


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python3 -m sidecar_proxy campaign",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--sidecars", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--real", action="store_true", help="processes and sockets, in real time")
    parser.add_argument("--play", metavar="FILE", help="one run of this script, --seed as it was printed")
    told = parser.parse_args(arguments)
    for name, least, most in (("runs", 1, 1_000_000), ("sidecars", 2, 100), ("seconds", 1.0, 3600.0)):
        if not least <= getattr(told, name) <= most:
            parser.error(f"--{name}: expected {least} to {most}, got {getattr(told, name)}")
    plays = (real if told.real else virtual)(told.sidecars, told.seconds)
    if told.play is not None:
        try:
            with open(told.play) as file:
                faults = read(file.read())
        except (OSError, UnicodeDecodeError, ScriptError) as error:
            print(f"sidecar_proxy: {error}", file=sys.stderr)
            return 2
        found = plays(told.seed, faults)
        for one in found:
            print(f"at {one.at_s:.2f} s: {one.text}")
        return 1 if found else 0
    return 1 if Campaign(told.seed, told.runs, told.sidecars, told.seconds, plays, sys.stdout).run() else 0
