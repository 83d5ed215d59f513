"""The engine with the real decisions, a scripted pool and a clock of its own, in any order of events.

After each step the rules are checked from records kept here: what was written to whom and when, what clients
were told. Connections come up, take the last byte, answer, break and fall silent whenever it pleases.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, cast

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import AttemptCallback, Call, ListedUpstream, UpstreamResponse
from tests.balancer.world import classes
from tests.balancer.world import settings as told

MS = 1000  # microseconds
HOSTS = 6  # of four cells, one or two each
WINDOW_MS = 450  # of keyed work: a second attempt begins just inside
LATE_US = 3 * MS  # timers are of whole milliseconds, and one more


class Virtual:
    """What the engine wants of a loop, and its clock."""

    def __init__(self) -> None:
        self.now_us = 1_000_000_000_000
        self.heap: list[tuple[int, int, Handle]] = []
        self.count = 0
        self.faults: list[Any] = []

    def time(self) -> float:
        return self.now_us / 1e6

    def call_later(self, wait_s: float, call: Callable[..., None], *arguments: object) -> Handle:
        self.count += 1
        handle = Handle(call, arguments)
        heapq.heappush(self.heap, (self.now_us + int(wait_s * 1e6), self.count, handle))
        return handle

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.faults.append(context)

    def pass_us(self, wait_us: int) -> None:
        end_us = self.now_us + wait_us
        while self.heap and self.heap[0][0] <= end_us:
            at_us, _, handle = heapq.heappop(self.heap)
            self.now_us = max(self.now_us, at_us)
            if handle.call is not None:
                handle.call(*handle.arguments)
        self.now_us = end_us


class Handle:
    def __init__(self, call: Callable[..., None], arguments: tuple[object, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.arguments = arguments

    def cancel(self) -> None:
        self.call = None


class VirtualClock(Clock):
    def __init__(self, loop: Virtual) -> None:
        self.loop = loop

    def now_us(self) -> int:
        return self.loop.now_us


@dataclass(eq=False)
class Sent:
    """An attempt that is out: it dials, is being written, or waits for its answer."""

    pool: Pool
    upstream: int
    render: Callable[[], list[bytes] | None]
    ended: AttemptCallback
    wrote: Callable[[], None] | None
    owner: Asked | None = None
    begun_us: int = 0  # its first byte; 0 = it dials
    whole_us: int = 0  # its last one
    outcome: api.Outcome | None = None

    def finish(self, outcome: api.Outcome, answer: UpstreamResponse | None = None) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self.pool.out.remove(self)
            self.ended(outcome, answer)

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        if self.begun_us and not self.whole_us:
            self.finish(outcome)

    def expire_unsent(self) -> None:
        if not self.whole_us:
            self.finish(api.Outcome.NOT_SENT)

    def expire(self) -> None:
        self.finish(api.Outcome.TIMEOUT if self.whole_us else api.Outcome.CONNECT_FAILED)


class Pool:
    def __init__(self, loop: Virtual) -> None:
        self.loop = loop
        self.hosts: dict[int, ListedUpstream] = {}
        self.out: list[Sent] = []

    def update(self, hosts: list[ListedUpstream], whole: bool) -> None:
        self.hosts.update((host.entry.id, host) for host in hosts)

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        ended: AttemptCallback,
        wrote: Callable[[], None] | None = None,
        opens: object = None,
        upload: object = None,
    ) -> Sent:
        return Sent(self, 0, render, ended, wrote)

    def start(self, upstream: int, exchange: Sent, timeout_s: float) -> None:
        exchange.upstream = upstream
        self.out.append(exchange)
        self.loop.call_later(timeout_s, exchange.expire)
        if not self.hosts[upstream].is_ready():
            exchange.finish(api.Outcome.NOT_SENT)

    def begin(self, one: Sent) -> None:
        """Its connection is up."""
        host = self.hosts[one.upstream]
        parts = one.render() if host.is_ready() else None
        if parts is None:
            one.finish(api.Outcome.NOT_SENT)
            return
        one.begun_us = self.loop.now_us
        number = int(parts[0].split(b"Req-Number: ")[1].split(b"\r\n")[0])
        one.owner = self.asked[number]
        one.owner.sent.append(one)

    asked: dict[int, Asked]

    def close_idle(self, upstream: int) -> None: ...

    def shrink(self, half: bool) -> None: ...


@dataclass(eq=False)
class Asked:
    kind: api.RequestClass
    due_us: int
    ident: int = 0
    answers: list[int] = field(default_factory=list)
    over_us: int = 0  # it was answered, or its client left
    left: bool = False
    sent: list[Sent] = field(default_factory=list)


class Nobody:
    def subscribe(self, active: bool) -> None: ...

    def fetch(self) -> None: ...


class Orders(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000), cold=st.booleans(), connect_ms=st.sampled_from([20, 400]))
    def begin(self, seed: int, cold: bool, connect_ms: int) -> None:
        self.loop = Virtual()
        self.pool = Pool(self.loop)
        self.asked: dict[int, Asked] = {}
        self.pool.asked = self.asked
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(cast(Any, self.loop))
        try:
            kinds = [replace(one, deduplication_window_us=WINDOW_MS * MS) for one in classes()]
            self.engine = Engine(
                told(connect_timeout_us=connect_ms * MS, instances=1, classes=kinds),
                seed,
                VirtualClock(self.loop),
                cast(Any, self.pool),
                Nobody(),
            )
        finally:
            asyncio._set_running_loop(before)
        self.faulty: list[str] = []
        self.told_us: dict[int, int] = {}  # since when it drains or is gone
        self.entries = [
            api.Upstream(n, cell=n // 2, started_us=self.loop.now_us if cold and n == 0 else 0)
            for n in range(1, HOSTS + 1)
        ]
        self.tell(api.ListKind.FULL, self.entries)

    def tell(self, kind: api.ListKind, entries: list[api.Upstream]) -> None:
        self.engine.list_changed(kind, [ListedUpstream(one, ("127.0.0.1", one.id)) for one in entries], 1)

    # The application

    @rule(kind=st.integers(0, 2), lasts_ms=st.integers(5, 2500))
    def arrives(self, kind: int, lasts_ms: int) -> None:
        what = self.engine.settings.classes[kind]
        due_us = self.loop.now_us + min(lasts_ms * MS, what.deadline_us)
        number = len(self.asked)
        one = self.asked[number] = Asked(what, due_us)

        def reply(status: int, head: bytes = b"", body: bytes = b"") -> None:
            one.answers.append(status)
            one.over_us = self.loop.now_us
            if status in (429, 503) and what.effect != "idempotent" and any(self.may_have_run(one)):
                self.faulty.append(f"{what.name} refused though it may have run")

        one.ident = self.engine.accept(
            Call(kind, due_us, b"Req-Number: %d\r\n" % number, b"x", key=number + 1), reply
        )

    @rule(lasts_ms=st.integers(1000, 2000))
    def keyed_work_arrives(self, lasts_ms: int) -> None:
        self.arrives(kind=2, lasts_ms=lasts_ms)

    @rule(pick=st.integers(0, 999))
    def client_leaves(self, pick: int) -> None:
        waiting = [one for one in self.asked.values() if not one.answers and not one.left]
        if waiting:
            one = waiting[pick % len(waiting)]
            one.left, one.over_us = True, self.loop.now_us
            self.engine.client_gone(one.ident)

    # The upstreams

    def one_of(self, pick: int, which: Callable[[Sent], bool]) -> Sent | None:
        found = [one for one in self.pool.out if which(one)]
        return found[pick % len(found)] if found else None

    @rule(pick=st.integers(0, 999))
    def connection_comes_up(self, pick: int) -> None:
        one = self.one_of(pick, lambda one: not one.begun_us)
        if one is not None:
            self.pool.begin(one)

    @rule()
    def all_come_up_and_are_written(self) -> None:
        for one in [one for one in self.pool.out if not one.begun_us]:
            self.pool.begin(one)
        for one in list(self.pool.out):
            self.write(one)

    @rule(wait_ms=st.sampled_from([30, 60, 380]))
    def all_come_up_late(self, wait_ms: int) -> None:
        self.loop.pass_us(wait_ms * MS)
        self.all_come_up_and_are_written()

    @rule()
    def all_break(self) -> None:
        for one in list(self.pool.out):
            one.finish(api.Outcome.RESET if one.whole_us else api.Outcome.CONNECT_FAILED)

    def write(self, one: Sent) -> None:
        if one.begun_us and not one.whole_us:
            one.whole_us = self.loop.now_us
            if one.wrote is not None:
                one.wrote()

    @rule()
    def clients_leave_what_is_half_written(self) -> None:
        for one in [one.owner for one in self.pool.out if one.begun_us and not one.whole_us and one.owner]:
            if not one.answers and not one.left:
                one.left, one.over_us = True, self.loop.now_us
                self.engine.client_gone(one.ident)

    @rule(pick=st.integers(0, 999))
    def last_byte_is_taken(self, pick: int) -> None:
        one = self.one_of(pick, lambda one: bool(one.begun_us and not one.whole_us))
        if one is not None:
            self.write(one)

    @rule(
        pick=st.integers(0, 999),
        outcome=st.sampled_from([api.Outcome.OK, api.Outcome.OK, api.Outcome.FULL, api.Outcome.ERROR]),
    )
    def answers(self, pick: int, outcome: api.Outcome) -> None:
        one = self.one_of(pick, lambda one: bool(one.whole_us))
        if one is not None:
            status = {api.Outcome.OK: 200, api.Outcome.FULL: 503, api.Outcome.ERROR: 500}[outcome]
            one.finish(outcome, UpstreamResponse(status, b"", b"y", b""))

    @rule(pick=st.integers(0, 999))
    def breaks(self, pick: int) -> None:
        one = self.one_of(pick, lambda one: True)
        if one is not None:
            one.finish(api.Outcome.RESET if one.whole_us else api.Outcome.CONNECT_FAILED)

    # The list and time

    @rule(
        pick=st.integers(0, HOSTS - 1),
        state=st.sampled_from([api.UpstreamState.READY, api.UpstreamState.READY, *api.UpstreamState]),
    )
    def list_changes(self, pick: int, state: api.UpstreamState) -> None:
        entry = self.entries[pick] = api.Upstream(pick + 1, cell=(pick + 1) // 2, state=state)
        self.told_us.pop(entry.id, None)
        if state is not api.UpstreamState.READY:
            self.told_us[entry.id] = self.loop.now_us
        self.tell(api.ListKind.DELTA, [entry])

    @rule(wait_ms=st.sampled_from([1, 5, 20, 50, 100, 400, 1200]))
    def time_passes(self, wait_ms: int) -> None:
        self.loop.pass_us(wait_ms * MS)

    # The rules

    def may_have_run(self, one: Asked) -> list[Sent]:
        return [sent for sent in one.sent if sent.whole_us and sent.outcome is not api.Outcome.FULL]

    @precondition(lambda self: hasattr(self, "asked"))
    @invariant()
    def each_gets_one_answer_in_time(self) -> None:
        assert not self.loop.faults and not self.faulty, self.loop.faults or self.faulty
        for one in self.asked.values():
            assert len(one.answers) <= 1 and not (one.left and one.answers)
            if not one.left and self.loop.now_us > one.due_us + LATE_US:
                assert one.answers and one.over_us <= one.due_us + LATE_US, "no answer in time"
            for sent in one.sent:
                assert not one.over_us or max(sent.begun_us, sent.whole_us) <= one.over_us, "sent on after it"

    @precondition(lambda self: hasattr(self, "asked"))
    @invariant()
    def nothing_runs_twice(self) -> None:
        for one in self.asked.values():
            ran = self.may_have_run(one)
            if one.kind.effect == "at_most_once":
                assert len(ran) <= 1, "unsafe work was sent twice"
            elif one.kind.effect == "deduplicated":
                for again in ran[1:]:
                    assert again.upstream // 2 == ran[0].upstream // 2, "keyed work left its cell"
                    over_us = ran[0].begun_us + one.kind.deduplication_window_us
                    assert again.whole_us < over_us + LATE_US, "keyed work left its window"

    @precondition(lambda self: hasattr(self, "asked"))
    @invariant()
    def nothing_new_to_what_drains(self) -> None:
        for one in self.asked.values():
            for sent in one.sent:
                if sent.begun_us == self.loop.now_us and sent.upstream in self.told_us:
                    assert sent.begun_us <= self.told_us[sent.upstream], "sent to one that drains"

    def teardown(self) -> None:
        if not hasattr(self, "asked"):
            return
        self.loop.pass_us(10_000_000)
        self.each_gets_one_answer_in_time()
        self.nothing_runs_twice()
        for one in list(self.pool.out):
            one.expire()
        assert not self.engine.requests and not self.engine.balancer.requests  # type: ignore[attr-defined]


TestOrders = Orders.TestCase
TestOrders.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, suppress_health_check=list(HealthCheck)
)
