"""The only caller of the decision module: events in, actions out, and the ledger of what is owed.

It holds the clock, the timers and the request numbers, and keeps the contract of interface.py whatever
the module does: one final answer for each request, one AttemptEnded for each Send.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.settings import check_allowed, parse_report
from sidecar_proxy.engine import wall_clock as wall
from sidecar_proxy.engine.body_buffers import KEEP, Flow, Source
from sidecar_proxy.engine.interfaces import (
    Answer,
    Attempt,
    Call,
    Decisions,
    Discovery,
    Finished,
    Fleet,
    Host,
    Nodes,
    Recorder,
    Reply,
)
from sidecar_proxy.engine.metrics import Figures
from sidecar_proxy.engine.timers import Timer, Timers

log = logging.getLogger("sidecar_proxy")

NEVER_WRITTEN = (api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.CANCELLED)


class Clock:
    """Microseconds that only go forward, counted from Unix time at the start: so the list's born_ms is on
    it without a second clock, and a step of the wall clock later moves nothing."""

    def __init__(self) -> None:
        self.base_ns = wall.now_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        return (self.base_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True, eq=False)
class Entry:
    """What is owed for one request."""

    call: Call
    reply: Reply
    guard: Timer | None = None
    answered: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)  # None = never started, or ended
    out: int = 0


ProbeEnd = Finished


def just(head: bytes) -> list[bytes]:
    """A request of one part, whenever it is asked for."""
    return [head]


class Engine:
    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, pool: Nodes, discovery: Discovery
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.pool = pool
        self.discovery = discovery
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop)
        self.started_us = clock.now_us()
        self.balancer: Decisions = Balancer(settings, seed, self.started_us)
        self.requests: dict[int, Entry] = {}
        self.next_request = 1
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.probes: Callable[[int, ProbeEnd, float], None] | None = None  # in place of HTTP/1.1's
        self.figures = Figures(one.name for one in settings.classes)
        self.listed = asyncio.Event()  # discovery has told a list, or a part of one
        self.observe: Callable[[int, api.Outcome], None] | None = None  # who hears how each attempt ended
        self.recorder: Recorder | None = None
        self.fleet: Fleet | None = None
        self.hold: Callable[[list[Host]], None] | None = None  # by operators' hands: may make entries drain

    # From the application

    def accept(self, call: Call, reply: Reply) -> int:
        """Take a request. Its answer may come before this returns."""
        ident, self.next_request = self.next_request, self.next_request % 0xFFFFFFFF + 1
        entry = self.requests[ident] = Entry(call, reply)
        self.figures.taken()
        # hazard: whatever the decisions do, the client is answered inside its time
        entry.guard = self.later(call.due_us, self.overdue, ident)
        if self.recorder is not None:
            self.recorder.named(ident, call.ident)
        retry_due_us = self.fleet.arrived(call) if self.fleet is not None else 0
        self.tell(
            api.RequestArrived(
                ident,
                call.due_us,
                call.class_index,
                call.tenant,
                call.key,
                call.cost_us,
                call.retried,
                False,
                retry_due_us,
            )
        )
        return ident

    def uploaded(self, ident: int) -> None:
        """The last byte of an upload has come: its time counts from now."""
        entry = self.requests.get(ident)
        if entry is not None and not entry.answered and entry.guard is not None:
            entry.call.due_us = self.clock.now_us() + entry.call.after_us
            entry.guard.cancel()
            entry.guard = self.later(entry.call.due_us, self.overdue, ident)

    def gone(self, ident: int) -> None:
        """The client has closed its connection."""
        entry = self.requests.get(ident)
        if entry is not None and not entry.answered:
            self.settle(ident, entry, 0)
            self.tell(api.RequestGone(ident))

    def overdue(self, ident: int) -> None:
        self.give_up(ident, 504)

    def give_up(self, ident: int, status: int = 502) -> None:
        """The sidecar itself can't go on with a request."""
        entry = self.requests.get(ident)
        if entry is not None and not entry.answered:
            self.answer(ident, status)
            self.tell(api.RequestGone(ident))

    # From discovery

    def list_changed(self, kind: api.ListKind, hosts: list[Host], version: int) -> None:
        if self.hold is not None:
            for host in hosts:
                host.told = host.entry
            self.hold(hosts)
        self.pool.update(hosts, whole=kind in (api.ListKind.FULL, api.ListKind.CACHED))
        self.tell(api.UpstreamsUpdated(kind, [host.entry for host in hosts], version))
        if kind in (api.ListKind.FULL, api.ListKind.DELTA):
            self.listed.set()

    def list_failed(self) -> None:
        self.tell(api.UpstreamsUpdated(api.ListKind.FAILED))

    def known(self) -> dict[int, Host]:
        return self.pool.hosts

    def members(self) -> tuple[int, int]:
        """How many upstreams are listed, and how many of them get nothing now, by hand or by choice."""
        listed = sum(host.entry.state is not api.UpstreamState.GONE for host in self.pool.hosts.values())
        return listed, self.balancer.count_avoided()

    # Events and actions

    def tell(self, event: api.Event) -> None:
        """Hand an event to the decisions. What their actions cause at once waits its turn in the queue:
        the module is never entered again from inside."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.handling = False

    def handle(self, event: api.Event) -> None:
        now_us = self.clock.now_us()
        try:
            actions = self.balancer.handle(now_us, event)
        except Exception as error:
            # hazard: a fault in the decisions costs the request that it met, never the sidecar
            log.exception("the decisions failed on %s", type(event).__name__)
            if self.recorder is not None:
                self.recorder.failed(now_us, event, error)
            if isinstance(event, api.RequestArrived | api.AttemptEnded | api.StreamStarted):
                self.give_up(event.request)
            return
        if self.recorder is not None:
            self.recorder.handled(now_us, event, actions)
        for action in actions:
            try:
                self.perform(action)
            except Exception:
                log.exception("the action %s failed", type(action).__name__)
                if isinstance(action, api.Send | api.Refuse | api.Fail):
                    self.give_up(action.request)

    def perform(self, action: api.Action) -> None:
        check_allowed(self.settings, action)
        match action:
            case api.Send():
                self.send(action)
            case api.Refuse():
                after = action.retry_after_us
                if self.fleet is not None:
                    refused = self.requests.get(action.request)
                    if refused is not None and not refused.answered:
                        self.fleet.refused(refused.call, after, action.shed)
                head = b"Retry-After: %d.%06d\r\n" % divmod(after, 1_000_000) if after > 0 else b""
                self.answer(action.request, 503, head)
            case api.Fail():
                self.answer(action.request, 502)
            case api.Cancel():
                entry = self.requests.get(action.request)
                attempt = entry.attempts[action.attempt] if entry is not None else None
                if attempt is not None:
                    attempt.finish(api.Outcome.CANCELLED)
            case api.Probe():
                self.probe(action.upstream)
            case api.SetTimer():
                self.fire(action)
            case api.Subscribe():
                self.discovery.subscribe(action.active)
            case api.FetchList():
                self.discovery.fetch()
            case api.CloseIdle():
                self.pool.close_idle(action.upstream)
            case api.Log():
                log.info("%s", action.text)
            case api.SendPeerMessage():
                raise ValueError("messages to other sidecars are not carried")

    def later(self, at_us: int, call: Callable[..., None], *arguments: object) -> Timer:
        """Call at a time of our clock, within what the loop's timers of whole milliseconds can do."""
        wait_us = max(0, at_us - self.clock.now_us())
        return self.timers.later(wait_us / 1e6 + 0.001, call, *arguments)

    def fire(self, timer: api.SetTimer, set_already: bool = False) -> None:
        """Hazard: the loop's clock is not ours and may be ahead; the module passes over a timer that is
        told too early and would wait for ever. One that is due now waits for the next round."""
        if set_already and self.clock.now_us() >= timer.at_us:
            self.tell(api.TimerFired(timer.token))
        else:
            self.later(timer.at_us, self.fire, timer, True)

    # Attempts

    def send(self, action: api.Send) -> None:
        ident, now_us = action.request, self.clock.now_us()
        entry = self.requests.get(ident)
        if entry is None:  # the module never names a request that it was not given
            self.tell(api.AttemptEnded(ident, 0, action.upstream, api.Outcome.NOT_SENT, 0, True))
            return
        call, attempt = entry.call, len(entry.attempts)
        entry.attempts.append(None)
        entry.out += 1
        out = Out(self, entry, ident, attempt, action, now_us)
        most_us = call.due_us - now_us if call.upload is None else call.after_us
        timeout_us = min(action.timeout_us or most_us, most_us)
        if (
            out.left_us() <= 0
            or timeout_us <= 0
            or attempt >= self.settings.max_attempts
            or (entry.out > 1 and not self.settings.hedging_allowed)
            or (call.upload is not None and call.upload.taken)
        ):
            out.ended(api.Outcome.NOT_SENT, None)
            return
        if action.until_us:
            out.window = self.later(action.until_us, out.lapse)
        if call.carrier is not None:
            carried = entry.attempts[attempt] = call.carrier.attempt(out.left_us, out.ended, out.began)
            carried.start(action.upstream, timeout_us / 1e6)
            return
        exchange = entry.attempts[attempt] = self.pool.exchange(
            out.render, out.ended, out.wrote, out.opens if call.opens is not None else None, call.upload
        )
        self.pool.start(action.upstream, exchange, timeout_us / 1e6)

    def probe(self, upstream: int) -> None:
        ended = partial(self.probed, upstream, self.clock.now_us())
        if self.probes is not None:
            self.probes(upstream, ended, self.settings.probe_timeout_us / 1e6)
            return
        path = b"/status/load" if self.settings.report_names else b"/health"
        head = b"GET %s HTTP/1.1\r\nHost: backend.local\r\n\r\n" % path
        exchange = self.pool.exchange(partial(just, head), ended)
        self.pool.start(upstream, exchange, self.settings.probe_timeout_us / 1e6)

    def probed(self, upstream: int, since_us: int, outcome: api.Outcome, answer: Answer | None) -> None:
        if answer is not None and answer.status == 200:
            outcome = api.Outcome.OK
        load = answer.body if answer is not None and outcome is api.Outcome.OK else b""
        self.tell(api.ProbeEnded(upstream, outcome, self.clock.now_us() - since_us, self.report(load)))

    def report(self, text: bytes) -> list[float]:
        return parse_report(text, self.settings.report_names)

    # Answers

    def answer(self, ident: int, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """The one place of final answers: the first stands, a later one is dropped."""
        entry = self.requests.get(ident)
        if entry is not None and not entry.answered:
            self.settle(ident, entry, status)
            try:
                entry.reply(status, head, body)
            except Exception:
                # hazard: on the way out of here the decisions are told how the attempt ended; if they were
                # not, its slot would stay taken for good
                log.exception("an answer could not be written")

    def streamed(self, class_index: int, whole: bool | None) -> None:
        """A large answer has ended. Hazard: what is handed out here must not hold the request's body."""
        self.figures.answered(class_index, 0 if whole is None else 200 if whole else 502)

    def settle(self, ident: int, entry: Entry, status: int) -> None:
        entry.answered = True
        self.figures.answered(entry.call.class_index, status)
        if entry.guard is not None:
            entry.guard.cancel()
        if entry.out == 0:
            del self.requests[ident]
        else:
            # a client that left says nothing of the upstream; one that took no request in its time does
            outcome = api.Outcome.NOT_SENT if status == 0 else api.Outcome.CONNECT_FAILED
            for attempt in list(entry.attempts):
                if attempt is not None:
                    attempt.forgo(outcome)


class Out:
    """One attempt that is out, and what its end means for its request."""

    __slots__ = ("engine", "entry", "ident", "attempt", "upstream", "sent_us", "until_us", "window")

    def __init__(
        self, engine: Engine, entry: Entry, ident: int, attempt: int, action: api.Send, now_us: int
    ) -> None:
        self.engine = engine
        self.entry = entry
        self.ident = ident  # of its request
        self.attempt = attempt  # its number
        self.upstream = action.upstream
        self.sent_us = now_us
        self.until_us = action.until_us
        self.window: Timer | None = None  # ends with what the settings remember of an earlier attempt

    def left_us(self) -> int:
        """Asked for just before the first byte: by then the request may be over, its time, or its window."""
        now_us = self.engine.clock.now_us()
        if self.entry.answered or (self.until_us and now_us >= self.until_us):
            return 0
        return max(0, self.entry.call.due_us - now_us)

    def lapse(self) -> None:
        attempt = self.entry.attempts[self.attempt]
        if attempt is not None:
            attempt.lapse()

    def render(self) -> list[bytes] | None:
        call, left_us = self.entry.call, self.left_us()
        if left_us <= 0:
            return None
        body = call.body if len(call.body) <= KEEP else b""
        head = b"%sReq-Deadline: %d.%06d\r\n\r\n%s" % (call.head, *divmod(left_us, 1_000_000), body)
        return [head] if len(body) == len(call.body) else [head, call.body]

    def wrote(self) -> None:
        self.engine.figures.upstream_requests += 1
        if self.entry.call.upload is not None:
            # what the client takes to send it says nothing of the upstream
            self.sent_us = self.engine.clock.now_us()

    def opens(self, head: bytes, length: int | None, load: bytes, source: Source) -> Flow | None:
        engine, entry, call, flow = self.engine, self.entry, self.entry.call, None
        entry.attempts[self.attempt] = None
        entry.out -= 1
        if not entry.answered and call.opens is not None:
            entry.answered = True
            if entry.guard is not None:
                entry.guard.cancel()
            flow = call.opens(head, length, source, partial(engine.streamed, call.class_index))
        self.tell_end(api.Outcome.OK, load)
        return flow

    def began(self) -> None:
        self.engine.tell(
            api.StreamStarted(
                self.ident, self.attempt, self.upstream, self.engine.clock.now_us() - self.sent_us
            )
        )

    def ended(self, outcome: api.Outcome, answer: Answer | None) -> None:
        engine, entry = self.engine, self.entry
        entry.attempts[self.attempt] = None
        entry.out -= 1
        if entry.call.carrier is not None and outcome not in NEVER_WRITTEN:
            engine.figures.upstream_requests += 1
        if outcome is api.Outcome.OK and answer is not None:
            engine.answer(self.ident, 200, answer.head, answer.body)
        elif answer is not None and 400 <= answer.status < 500 and answer.status not in (408, 425, 429):
            # hazard: bad requests that only an upstream can tell from good ones would make it look ill
            engine.answer(self.ident, answer.status)
            outcome = api.Outcome.NOT_SENT
        elif answer is not None and answer.last:
            engine.answer(self.ident, 502)
        self.tell_end(outcome, answer.load if answer is not None else b"")

    def tell_end(self, outcome: api.Outcome, load: bytes) -> None:
        engine, entry = self.engine, self.entry
        if self.window is not None:
            self.window.cancel()
        if entry.answered and entry.out == 0:
            engine.requests.pop(self.ident, None)
        elapsed_us = engine.clock.now_us() - self.sent_us
        if engine.fleet is not None:
            engine.fleet.ended(entry.call.class_index, outcome, elapsed_us)
        engine.tell(
            api.AttemptEnded(
                self.ident,
                self.attempt,
                self.upstream,
                outcome,
                elapsed_us,
                entry.answered,
                engine.report(load) if load else [],
            )
        )
        if engine.observe is not None:
            engine.observe(self.upstream, outcome)
