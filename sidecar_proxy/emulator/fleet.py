"""Many sidecars' decisions, their upstreams and discovery in one virtual clock. No I/O; chance by one seed.

Each sidecar is a real `Balancer`; what its engine would do is done here, with plain models of what is round
it: machines (testbed/capacity.py), connections that cost a dial and of which an upstream holds so
many, and one discovery for all that works through calls in turn. Times are microseconds.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.overload_control.controller import FleetBudgets, OverloadController
from sidecar_proxy.overload_control.outputs import Broadcast, Output, SendMessage
from sidecar_proxy.overload_control.slow_start import mean_slow_start_weight
from sidecar_proxy.testbed.capacity import Capacity, Machine

START_US = 1_000_000_000
SECOND_US = 1_000_000
SPREAD_US = 500_000  # for each doubling of the fleet, a quarter of it, until all have heard a word
NOTE_US = 2_000  # until one has
ANSWER_US = 1_000  # a refusal, an error or a report, there and back


@dataclass(slots=True, frozen=True)
class Plan:
    """A fleet. Rates are of all sidecars together."""

    settings: api.Settings  # `instances` says how many sidecars
    upstreams: int
    rate: float  # requests a second
    skew: float = 1.0  # standard deviation of the sidecars' parts of it, in means (lognormal)
    machine: Machine = Machine()
    connections: int = 400  # that one upstream holds
    dial_us: int = 3_000
    call_us: int = 100_000  # of discovery's time, for one call
    change_us: int = 500  # of discovery's time, to tell one sidecar of one change
    patience_us: int = 2_000_000  # a call that waits longer fails, and its work is done all the same
    seed: int = 1
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, until (seconds), times the rate
    again: int = 0  # a refused client comes back so often at most
    again_share: float = 0.6  # of those that are refused
    backoff_us: int = 90_000  # at least, doubled with each time
    as_one: FleetBudgets | None = None  # the sidecars handle overload together, within these


@dataclass(slots=True)
class Node:
    entry: api.Upstream
    capacity: Capacity
    open: int = 0  # connections
    failing: float = 0.0  # share of its answers that are errors
    silent: bool = False


@dataclass(slots=True)
class Attempt:
    sidecar: int
    request: int
    number: int
    upstream: int
    sent_us: int
    over: bool = False


@dataclass(slots=True)
class Try:
    """A request that is open, and the client behind it."""

    since_us: int
    kind: int  # its class
    refused: int  # how often, before this one
    first_us: int  # when it came for the first time
    attempts: int = 0
    wish: int = 0  # the client's, the same with each try


@dataclass(slots=True, eq=False)
class Sidecar:
    balancer: Balancer
    member: OverloadController | None = None
    life: int = 0  # grows with each restart
    idle: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))  # upstream: since when
    open: Counter[int] = field(default_factory=Counter)  # connections to each upstream
    tries: dict[int, Try] = field(default_factory=dict)  # the requests that are open
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    known: dict[int, api.Upstream] = field(default_factory=dict)
    version: int = 0
    watching: bool = False


@dataclass(slots=True)
class Seen:
    """What happened; times are whole seconds since the start."""

    calls: Counter[int] = field(default_factory=Counter)  # for lists, by second
    listed_us: dict[int, int] = field(default_factory=dict)  # when each sidecar was first answered
    dials: Counter[int] = field(default_factory=Counter)  # by second
    most_open: Counter[int] = field(default_factory=Counter)  # connections, by upstream
    probes: int = 0
    requests: int = 0  # those of clients that come again count each time
    originals: Counter[int] = field(default_factory=Counter)  # clients' first tries, by second
    in_time: Counter[int] = field(default_factory=Counter)  # served within the aim, by the first try's second
    late: Counter[int] = field(default_factory=Counter)  # served beyond the aim, by second
    attempts: int = 0
    # by second, then by upstream, outcome and answer
    sends: dict[int, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    outcomes: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    answers: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    fallen: list[int] = field(default_factory=list)  # upstreams that were pushed over
    unanswered: list[int] = field(default_factory=list)  # requests past their due time
    late_sends: int = 0  # over the drain's 2 s after the sidecar was told
    by_kind: dict[tuple[str, int], Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    overspent: int = 0  # looks at which all could spend more than there is


class EmulatedFleet:
    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.now_us = START_US
        self.dice = random.Random(plan.seed)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.seen = Seen()
        self.nodes: dict[int, Node] = {}
        self.changes: list[api.Upstream] = []  # the list's history; its length is its version
        self.discovery_us = START_US  # until when discovery is busy
        self.jobs: dict[str, Attempt] = {}
        self.told_us: dict[tuple[int, int], int] = {}  # sidecar, upstream: told not to send since
        self.next_request = 1
        for n in range(plan.upstreams):
            self.start_node(self.entry(n), warm=True)
        listed = list(self.nodes.values())
        self.sidecars = [self.new_sidecar(n) for n in range(plan.settings.instances)]
        shares = [self.lognormal(plan.skew) for _ in self.sidecars]
        for n, share in enumerate(shares):
            self.tell_list(n, api.ListKind.CACHED, [node.entry for node in listed])
            self.arrivals(n, plan.rate * share / sum(shares))
        if plan.as_one is not None:
            for n in range(len(self.sidecars)):
                self.ticks(n)
            self.at(self.now_us + SECOND_US, self.look)

    # Schedule

    def at(self, when_us: int, what: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (max(when_us, self.now_us), self.order, what))

    def at_sidecar(self, when_us: int, n: int, what: Callable[[], None]) -> None:
        """What comes to sidecar `n`, unless it has been killed by then."""
        life = self.sidecars[n].life
        self.at(when_us, lambda: what() if self.sidecars[n].life == life else None)

    def run(self, seconds: float) -> Seen:
        """Go on for so long."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while self.events and self.events[0][0] <= end_us:
            self.now_us, _, what = heapq.heappop(self.events)
            what()
        self.now_us = end_us
        return self.seen

    @property
    def second(self) -> int:
        return (self.now_us - START_US) // SECOND_US

    def lognormal(self, spread: float) -> float:
        sigma = math.sqrt(math.log(1.0 + spread * spread))
        return self.dice.lognormvariate(-sigma * sigma / 2, sigma)

    # What staff and misfortune do

    def entry(self, n: int, started_us: int = 0) -> api.Upstream:
        zones = max(1, len(self.plan.settings.zones))
        return api.Upstream(7919 * n + 13, zone=n % zones, cell=n // 6, started_us=started_us)

    def start_node(self, entry: api.Upstream, warm: bool) -> None:
        capacity = Capacity(self.plan.machine, self.plan.seed + entry.id, self.now_us, warm)
        self.nodes[entry.id] = Node(entry, capacity)

    def replace(self, idents: Iterable[int], drained_us: int = 2_000_000) -> None:
        """Of each one a new one starts now and the old one is drained, and gone after `drained_us`."""
        for ident in idents:
            number = len(self.nodes) + 1000
            entry = self.entry(number, started_us=self.now_us)
            entry = replace(entry, zone=self.nodes[ident].entry.zone, cell=self.nodes[ident].entry.cell)
            self.start_node(entry, warm=False)
            self.change(entry)
            old = self.nodes[ident].entry
            self.change(replace(old, state=api.UpstreamState.DRAINING))
            self.at(self.now_us + drained_us, lambda old=old: self.end_node(old))  # type: ignore[misc]

    def end_node(self, old: api.Upstream) -> None:
        self.nodes[old.id].silent = True
        self.change(replace(old, state=api.UpstreamState.GONE))

    def restart_sidecars(self, numbers: Iterable[int]) -> None:
        """Killed, and there again at once with the list as they last had it."""
        for n in numbers:
            old = self.sidecars[n]
            for ident, count in old.open.items():
                self.nodes[ident].open -= count
            for attempt in old.out.values():
                attempt.over = True
            self.sidecars[n] = self.new_sidecar(n, old.life + 1)
            if self.plan.as_one is not None:
                self.ticks(n)
            self.sidecars[n].version = old.version
            self.seen.listed_us.pop(n, None)
            self.tell_list(n, api.ListKind.CACHED, list(old.known.values()))

    def new_sidecar(self, n: int, life: int = 0) -> Sidecar:
        zones = max(1, len(self.plan.settings.zones))
        settings = replace(self.plan.settings, self_index=n, zone=n % zones)
        member = None
        if self.plan.as_one is not None:
            dice = random.Random(f"{self.plan.seed} {n} {life}")
            member = OverloadController(
                f"s{n}",
                n,
                settings.instances,
                [one.priority_weight for one in settings.classes],
                settings.max_retry_after_us,
                self.plan.as_one,
                dice,
                self.now_us,
                min(one.latency_objective_us for one in settings.classes) // 2,
            )
        balancer = Balancer(settings, self.plan.seed * 100_003 + n * 101 + life, self.now_us)
        return Sidecar(balancer, member, life)

    # What the sidecars say to one another of overload

    def ticks(self, n: int) -> None:
        member = self.sidecars[n].member
        assert member is not None

        def tick() -> None:
            warmth = mean_slow_start_weight(self.sidecars[n].known.values(), self.plan.settings, self.now_us)
            self.perform(n, member.tick(self.now_us, warmth))
            self.ticks(n)

        self.at_sidecar(member.next_tick_us + 1, n, tick)

    def perform(self, n: int, outputs: Iterable[Output]) -> None:
        for one in outputs:
            if isinstance(one, Broadcast):
                self.spread(n, one)
            elif isinstance(one, SendMessage):
                target = int(one.recipient[1:])
                self.at_sidecar(self.now_us + NOTE_US, target, partial(self.posted, n, target, one))
            elif isinstance(one, api.OverloadUpdated):
                self.handle(n, one)

    def spread(self, n: int, said: Broadcast) -> None:
        """By rumour: after each part of so many doublings a quarter of the others have heard it."""
        others = [other for other in range(len(self.sidecars)) if other != n]
        self.dice.shuffle(others)
        parts = max(1, math.ceil(math.log2(len(self.sidecars) + 1) / 2))
        each = math.ceil(len(others) / parts)
        for part in range(parts):
            some = others[part * each : (part + 1) * each]

            def hear(some: list[int] = some) -> None:
                for other in some:
                    member = self.sidecars[other].member
                    assert member is not None
                    self.perform(other, member.receive_report(f"s{n}", said.report, self.now_us))

            self.at(self.now_us + (part + 1) * SPREAD_US // 2, hear)

    def posted(self, source: int, target: int, post: SendMessage) -> None:
        member = self.sidecars[target].member
        assert member is not None
        self.perform(target, member.receive_message(f"s{source}", post.message, self.now_us))

    def look(self) -> None:
        weights = [
            one.member.escrow.usable_parts(self.now_us) for one in self.sidecars if one.member is not None
        ]
        self.seen.overspent += sum(weights) > words.TOTAL_PARTS
        self.at(self.now_us + SECOND_US // 10, self.look)

    # Discovery

    def change(self, entry: api.Upstream) -> None:
        self.changes.append(entry)
        for n, sidecar in enumerate(self.sidecars):
            if sidecar.watching:
                self.discovery_us = max(self.discovery_us, self.now_us) + self.plan.change_us
                self.at_sidecar(self.discovery_us, n, partial(self.told, n))

    def call(self, n: int) -> None:
        sidecar, plan = self.sidecars[n], self.plan
        sidecar.watching = False
        self.seen.calls[self.second] += 1
        begins_us = max(self.discovery_us, self.now_us)
        failed = partial(self.handle, n, api.UpstreamsUpdated(api.ListKind.FAILED))
        if begins_us - self.now_us > plan.patience_us:
            self.at_sidecar(self.now_us + ANSWER_US, n, failed)
            return
        self.discovery_us = begins_us + plan.call_us

        def answered() -> None:
            sidecar.watching = True
            self.seen.listed_us.setdefault(n, self.now_us)
            self.told(n)

        if self.discovery_us - self.now_us > plan.patience_us:
            self.at_sidecar(self.now_us + plan.patience_us, n, failed)
        else:
            self.at_sidecar(self.discovery_us, n, answered)

    def told(self, n: int) -> None:
        sidecar = self.sidecars[n]
        entries = self.changes[sidecar.version :]
        sidecar.version = len(self.changes)
        self.tell_list(n, api.ListKind.DELTA, entries)

    def tell_list(self, n: int, kind: api.ListKind, entries: list[api.Upstream]) -> None:
        known = self.sidecars[n].known
        for entry in entries:
            if entry.state is api.UpstreamState.READY:
                self.told_us.pop((n, entry.id), None)
            else:
                self.told_us.setdefault((n, entry.id), self.now_us)
            known[entry.id] = entry
            if entry.state is api.UpstreamState.GONE:
                del known[entry.id]
        self.handle(n, api.UpstreamsUpdated(kind, entries))

    # Requests

    def arrivals(self, n: int, rate: float) -> None:
        """Hazard: drawn at the highest rate and thinned, so that a burst begins and ends when it should."""
        first, last, times = self.plan.burst
        most = rate * max(1.0, times)

        def one() -> None:
            here = rate * (times if first <= (self.now_us - START_US) / SECOND_US < last else 1.0)
            if self.dice.random() * most < here:
                self.arrive(n)
            self.at(self.now_us + int(self.dice.expovariate(most) * SECOND_US), one)

        self.at(self.now_us + int(self.dice.expovariate(most) * SECOND_US), one)

    def arrive(self, n: int, refused: Try | None = None) -> None:
        """One request, of a client that comes for the first time or was refused."""
        classes = self.plan.settings.classes
        if refused is None:
            self.seen.originals[self.second] += 1
            one = Try(self.now_us, self.dice.randrange(len(classes)), 0, self.now_us)
        else:
            one = Try(self.now_us, refused.kind, refused.refused + 1, refused.first_us, wish=refused.wish)
        request, due_us = self.next_request, self.now_us + classes[one.kind].deadline_us
        self.next_request += 1
        self.seen.requests += 1
        one.wish = one.wish or request
        sidecar = self.sidecars[n]
        sidecar.tries[request] = one
        self.at(due_us + 4 * self.plan.settings.tick_us, lambda: self.check(sidecar, request))
        retry_due_us = 0
        if sidecar.member is not None:
            retry_due_us = sidecar.member.record_arrival(one.kind, one.wish, one.refused > 0, self.now_us)
        key = one.wish if sidecar.member is not None else 0
        self.handle(n, api.RequestArrived(request, due_us, one.kind, key=key, retry_due_us=retry_due_us))

    def check(self, sidecar: Sidecar, request: int) -> None:
        if request in sidecar.tries and sidecar in self.sidecars:
            self.seen.unanswered.append(request)

    def handle(self, n: int, event: api.Event) -> None:
        sidecar = self.sidecars[n]
        for action in sidecar.balancer.handle(self.now_us, event):
            if isinstance(action, api.Send):
                self.send(n, action)
            elif isinstance(action, api.Refuse | api.Fail):
                one = self.answer(sidecar, action.request, type(action).__name__.lower())
                if isinstance(action, api.Refuse):
                    if sidecar.member is not None:
                        sidecar.member.record_rejection(
                            one.wish, action.retry_after_us, action.shed, self.now_us
                        )
                    self.come_again(n, one, action.retry_after_us)
            elif isinstance(action, api.SetTimer):
                self.at_sidecar(action.at_us, n, partial(self.handle, n, api.TimerFired(action.token)))
            elif isinstance(action, api.Probe):
                self.probe(n, action.upstream)
            elif isinstance(action, api.Subscribe) and action.active:
                self.call(n)

    def come_again(self, n: int, one: Try, after_us: int) -> None:
        if one.refused >= self.plan.again or self.dice.random() >= self.plan.again_share:
            return
        wait_us = max(after_us, int(self.plan.backoff_us * 2**one.refused * (0.5 + self.dice.random())))
        self.at(self.now_us + wait_us, partial(self.arrive, n, one))

    def answer(self, sidecar: Sidecar, request: int, how: str) -> Try:
        """What it answers. Each request has one."""
        one = sidecar.tries.pop(request, None)
        assert one is not None, f"request {request} is answered twice"
        self.seen.answers[self.second][how] += 1
        self.seen.by_kind[how, one.kind][self.second] += 1
        return one

    def probe(self, n: int, ident: int) -> None:
        self.seen.probes += 1
        capacity = self.nodes[ident].capacity

        def reported() -> None:
            names = self.plan.settings.report_names
            held = float(len(capacity.running) + len(capacity.waiting))
            self.handle(n, api.ProbeEnded(ident, api.Outcome.OK, ANSWER_US, [held] * len(names)))

        self.at_sidecar(self.now_us + ANSWER_US, n, reported)

    def send(self, n: int, send: api.Send) -> None:
        sidecar, node = self.sidecars[n], self.nodes[send.upstream]
        one = sidecar.tries[send.request]
        attempt = Attempt(n, send.request, one.attempts, send.upstream, self.now_us)
        one.attempts += 1
        sidecar.out[attempt.request, attempt.number] = attempt
        self.seen.attempts += 1
        self.seen.sends[self.second][send.upstream] += 1
        told_us = self.told_us.get((n, send.upstream))
        if told_us is not None and self.now_us - told_us > 2_000_000:
            self.seen.late_sends += 1
        if send.timeout_us:
            self.at(self.now_us + send.timeout_us, lambda: self.end(attempt, api.Outcome.TIMEOUT))
        if self.connect(n, send.upstream):
            self.offer(attempt)
        elif node.silent:
            wait_us = self.plan.settings.connect_timeout_us
            self.at(self.now_us + wait_us, lambda: self.end(attempt, api.Outcome.CONNECT_FAILED))
        elif node.open >= self.plan.connections:
            self.at(self.now_us + ANSWER_US, lambda: self.end(attempt, api.Outcome.CONNECT_FAILED))
        else:
            node.open += 1
            sidecar.open[send.upstream] += 1
            self.seen.dials[self.second] += 1
            self.seen.most_open[send.upstream] = max(self.seen.most_open[send.upstream], node.open)
            self.at(self.now_us + self.plan.dial_us, lambda: self.offer(attempt))

    def connect(self, n: int, ident: int) -> bool:
        """A kept connection, if there is one; those idle for too long have been closed."""
        sidecar, idle_us = self.sidecars[n], self.plan.settings.idle_us
        kept = sidecar.idle[ident]
        while kept and idle_us and self.now_us - kept[0] >= idle_us:
            kept.pop(0)
            sidecar.open[ident] -= 1
            self.nodes[ident].open -= 1
        if kept:
            kept.pop()
            return True
        return False

    def offer(self, attempt: Attempt) -> None:
        node = self.nodes[attempt.upstream]
        if attempt.over or node.silent:
            return  # it ends by its time-out
        capacity = node.capacity
        was_up = not capacity.fallen
        if node.failing and self.dice.random() < node.failing:
            self.at(self.now_us + ANSWER_US, lambda: self.end(attempt, api.Outcome.ERROR))
            return
        job = f"{attempt.request}.{attempt.number}"
        taken = capacity.offer(self.now_us, job, capacity.draw_work())
        if was_up and capacity.fallen:
            self.seen.fallen.append(attempt.upstream)
        if not taken:
            self.at(self.now_us + ANSWER_US, lambda: self.end(attempt, api.Outcome.FULL))
            return
        self.jobs[job] = attempt
        self.begin(node)

    def begin(self, node: Node) -> None:
        for job, took_us in node.capacity.begin(self.now_us):
            self.at(self.now_us + took_us, lambda job=job: self.done(node, job))  # type: ignore[misc]

    def done(self, node: Node, job: str) -> None:
        attempt = self.jobs.pop(job)
        if node.capacity.end(job) and not node.silent:
            self.end(attempt, api.Outcome.OK)
        self.begin(node)

    def end(self, attempt: Attempt, outcome: api.Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        sidecar = self.sidecars[attempt.sidecar]
        del sidecar.out[attempt.request, attempt.number]
        self.seen.outcomes[self.second][outcome.name] += 1
        if outcome is api.Outcome.TIMEOUT and sidecar.open[attempt.upstream]:
            sidecar.open[attempt.upstream] -= 1  # given up by closing its connection
            self.nodes[attempt.upstream].open -= 1
        elif outcome not in (api.Outcome.CONNECT_FAILED, api.Outcome.TIMEOUT):
            sidecar.idle[attempt.upstream].append(self.now_us)
        if outcome is api.Outcome.OK and sidecar.member is not None and attempt.request in sidecar.tries:
            kind = sidecar.tries[attempt.request].kind
            sidecar.member.record_success(kind, self.now_us - attempt.sent_us)
        if outcome is api.Outcome.OK and attempt.request in sidecar.tries:
            one = self.answer(sidecar, attempt.request, "ok")
            if self.now_us - one.since_us <= self.plan.settings.classes[one.kind].latency_objective_us:
                self.seen.in_time[(one.first_us - START_US) // SECOND_US] += 1
            else:
                self.seen.late[self.second] += 1
        final = attempt.request not in sidecar.tries
        self.handle(
            attempt.sidecar,
            api.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.upstream,
                outcome,
                self.now_us - attempt.sent_us,
                final,
            ),
        )
