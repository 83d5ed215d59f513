"""A test double of the sidecar around a Balancer: carries out its actions and checks the four rules.

It is no simulator: tests say what happens and when. Every action is checked against the rules as the contract
states them, from records made here and not from the balancer's own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.events import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    FetchList,
    ListKind,
    Outcome,
    Probe,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestGone,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    TimerFired,
    Upstream,
    UpstreamState,
    UpstreamsUpdated,
)

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
START_US = 1_000_000_000


def classes() -> list[RequestClass]:
    return [
        RequestClass(
            "read", latency_objective_us=300_000, deadline_us=1_500_000, effect="idempotent", late_weight=0.3
        ),
        RequestClass(
            "pay",
            latency_objective_us=300_000,
            deadline_us=600_000,
            priority_weight=5,
            effect="at_most_once",
            late_weight=0.2,
        ),
        RequestClass(
            "mark",
            latency_objective_us=400_000,
            deadline_us=2_000_000,
            priority_weight=3,
            effect="deduplicated",
            group="cell",
            deduplication_window_us=1_200_000,
            late_weight=0.2,
        ),
    ]


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": classes(),
        "instances": 3,
        "tick_us": 4000,
        "max_attempts": 4,
        "cancel": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 150_000,
        "hedging_allowed": True,
        "cold_share": 0.2,
        "warm_up_us": 20_000_000,
        "overload_factor": 2.5,
        "fall_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def upstreams(count: int, **changes: Any) -> list[Upstream]:
    """`count` ready upstreams, two to a cell and to a zone."""
    return [Upstream(100 + i, zone=i // 2, cell=i // 2, **changes) for i in range(count)]


@dataclass
class Try:
    upstream: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class Owed:
    event: RequestArrived
    tries: list[Try] = field(default_factory=list)
    answers: int = 0
    closed: bool = False
    stream: bool = False

    def may_have_run(self) -> list[Try]:
        return [t for t in self.tries if t.outcome not in NEVER_RAN]

    def out(self) -> list[int]:
        return [n for n, t in enumerate(self.tries) if t.outcome is None]


class World:
    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.owed: dict[int, Owed] = {}
        self.known: dict[int, Upstream] = {}
        self.refused_us: dict[int, int] = {}  # draining or removed upstreams, and since when
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_id = 1
        self.reports: dict[int, float | None] = {}  # loads that upstreams report when probed

    # Events

    def tell(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.log.extend(actions)
        return actions

    def tell_list(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        for entry in entries:
            self.known[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.refused_us.pop(entry.id, None)
            else:
                self.refused_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for ident in self.known.keys() - {e.id for e in entries}:
                self.refused_us.setdefault(ident, self.now_us)
        return self.tell(UpstreamsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, patience_us: int | None = None, **fields: Any) -> int:
        ident = self.next_id
        self.next_id += 1
        patience = patience_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(ident, self.now_us + patience, class_index, **fields)
        self.owed[ident] = Owed(event)
        self.tell(event)
        return ident

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        owed = self.owed[request]
        this = owed.tries[attempt]
        assert this.outcome is None
        this.outcome = outcome
        if (outcome is Outcome.OK or owed.stream) and not owed.closed:
            owed.closed = True
            owed.answers += 1
        return self.tell(
            AttemptEnded(
                request, attempt, this.upstream, outcome, self.now_us - this.sent_us, owed.closed, **fields
            )
        )

    def begin_stream(self, request: int, attempt: int) -> None:
        self.owed[request].stream = True
        self.tell(StreamStarted(request, attempt, self.owed[request].tries[attempt].upstream))

    def quit(self, request: int) -> None:
        self.owed[request].closed = True
        self.owed[request].answers = 1
        self.tell(RequestGone(request))

    def advance(self, by_us: int) -> None:
        """Move the clock, with the timers and the attempts' time-outs that fall due on the way."""
        end_us = self.now_us + by_us
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [
                (t.ends_us, 0, ident, n)
                for ident, owed in self.owed.items()
                if not owed.stream
                for n, t in enumerate(owed.tries)
                if t.outcome is None
            ]
            due = [d for d in due if d[0] <= end_us]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now_us = max(self.now_us, at)
            if kind == 0:
                self.end(first, second, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, first))
                self.tell(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for ident, owed in self.owed.items():
            overdue = self.now_us > owed.event.due_us + slack_us and not owed.stream
            assert not overdue or owed.answers == 1, f"rule 1: request {ident} is unanswered past due"

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a cancel where none is allowed"
            assert action.attempt < len(self.owed[action.request].tries), "a cancel of no attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "a probe where none is allowed"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.list_on_request

    def check_send(self, send: Send) -> None:
        owed = self.owed[send.request]
        entry = self.known[send.upstream]
        kind = self.settings.classes[owed.event.class_index]
        assert not owed.closed, "rule 1: a send after the end"
        assert len(owed.tries) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.refused_us, "rule 3: a send to a draining or gone upstream"
        assert self.settings.hedging_allowed or not owed.out(), "rule 2: two attempts out together"
        for earlier in owed.may_have_run():
            assert kind.effect != "at_most_once", "rule 2: an unsafe request sent again"
            if kind.effect == "deduplicated":
                assert self.now_us - earlier.sent_us <= kind.deduplication_window_us, (
                    "rule 2: past the deduplication window"
                )
                assert kind.group != "cell" or entry.cell == earlier.cell, "rule 2: outside the cell"
                assert kind.group != "zone" or entry.zone == earlier.zone, "rule 2: outside the zone"
        ends_us = owed.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        owed.tries.append(Try(send.upstream, entry.zone, entry.cell, self.now_us, ends_us))

    def check_answer(self, answer: Refuse | Fail) -> None:
        owed = self.owed[answer.request]
        kind = self.settings.classes[owed.event.class_index]
        assert not owed.closed, "rule 1: a second answer"
        owed.closed = True
        owed.answers += 1
        if isinstance(answer, Refuse):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            harmless = kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")
            assert harmless or not owed.may_have_run(), "rule 2: a refusal of what may have run"

    # What tests look at

    def sends(self, request: int | None = None) -> list[Send]:
        return [a for a in self.log if isinstance(a, Send) and request in (None, a.request)]

    def answer(self, request: int) -> Action | None:
        for action in self.log:
            if isinstance(action, Refuse | Fail) and action.request == request:
                return action
        return None
