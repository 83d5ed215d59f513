"""A harness around a Balancer: carries out its actions and checks the four service rules.

Tests say what happens and when. Every action is checked against the rules as the contract states them, from
records made here and not from the balancer's own.
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
class AttemptState:
    upstream: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class RequestState:
    event: RequestArrived
    attempts: list[AttemptState] = field(default_factory=list)
    answers: int = 0
    is_closed: bool = False
    is_streaming: bool = False

    def may_have_run(self) -> list[AttemptState]:
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def in_flight(self) -> list[int]:
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]


class BalancerHarness:
    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.requests: dict[int, RequestState] = {}
        self.listed: dict[int, Upstream] = {}
        self.not_ready_since_us: dict[int, int] = {}  # draining or removed upstreams, and since when
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_id = 1
        self.reports: dict[int, float | None] = {}  # loads that upstreams report when probed

    # Events

    def dispatch(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_list(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        for entry in entries:
            self.listed[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.not_ready_since_us.pop(entry.id, None)
            else:
                self.not_ready_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for ident in self.listed.keys() - {e.id for e in entries}:
                self.not_ready_since_us.setdefault(ident, self.now_us)
        return self.dispatch(UpstreamsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, client_timeout_us: int | None = None, **fields: Any) -> int:
        ident = self.next_id
        self.next_id += 1
        patience = client_timeout_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(ident, self.now_us + patience, class_index, **fields)
        self.requests[ident] = RequestState(event)
        self.dispatch(event)
        return ident

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        request_state = self.requests[request]
        attempt_state = request_state.attempts[attempt]
        assert attempt_state.outcome is None
        attempt_state.outcome = outcome
        if (outcome is Outcome.OK or request_state.is_streaming) and not request_state.is_closed:
            request_state.is_closed = True
            request_state.answers += 1
        return self.dispatch(
            AttemptEnded(
                request,
                attempt,
                attempt_state.upstream,
                outcome,
                self.now_us - attempt_state.sent_us,
                request_state.is_closed,
                **fields,
            )
        )

    def begin_stream(self, request: int, attempt: int) -> None:
        self.requests[request].is_streaming = True
        self.dispatch(StreamStarted(request, attempt, self.requests[request].attempts[attempt].upstream))

    def disconnect_client(self, request: int) -> None:
        self.requests[request].is_closed = True
        self.requests[request].answers = 1
        self.dispatch(RequestGone(request))

    def advance(self, by_us: int) -> None:
        """Move the clock, with the timers and the attempts' time-outs that fall due on the way."""
        end_us = self.now_us + by_us
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [
                (t.ends_us, 0, ident, n)
                for ident, request_state in self.requests.items()
                if not request_state.is_streaming
                for n, t in enumerate(request_state.attempts)
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
                self.dispatch(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for ident, request_state in self.requests.items():
            overdue = self.now_us > request_state.event.due_us + slack_us and not request_state.is_streaming
            assert not overdue or request_state.answers == 1, (
                f"rule 1: request {ident} is unanswered past its deadline"
            )

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a cancel where none is allowed"
            assert action.attempt < len(self.requests[action.request].attempts), "a cancel of no attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "a probe where none is allowed"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.list_on_request

    def check_send(self, send: Send) -> None:
        request_state = self.requests[send.request]
        entry = self.listed[send.upstream]
        kind = self.settings.classes[request_state.event.class_index]
        assert not request_state.is_closed, "rule 1: a send after the end"
        assert len(request_state.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.not_ready_since_us, "rule 3: a send to a draining or gone upstream"
        assert self.settings.hedging_allowed or not request_state.in_flight(), (
            "rule 2: two attempts out together"
        )
        for earlier in request_state.may_have_run():
            assert kind.effect != "at_most_once", "rule 2: an unsafe request sent again"
            if kind.effect == "deduplicated":
                assert self.now_us - earlier.sent_us <= kind.deduplication_window_us, (
                    "rule 2: past the deduplication window"
                )
                assert kind.group != "cell" or entry.cell == earlier.cell, "rule 2: outside the cell"
                assert kind.group != "zone" or entry.zone == earlier.zone, "rule 2: outside the zone"
        ends_us = request_state.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        request_state.attempts.append(
            AttemptState(send.upstream, entry.zone, entry.cell, self.now_us, ends_us)
        )

    def check_answer(self, answer: Refuse | Fail) -> None:
        request_state = self.requests[answer.request]
        kind = self.settings.classes[request_state.event.class_index]
        assert not request_state.is_closed, "rule 1: a second response"
        request_state.is_closed = True
        request_state.answers += 1
        if isinstance(answer, Refuse):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            is_safe = kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")
            assert is_safe or not request_state.may_have_run(), (
                "rule 2: a rejection of a request that may have run"
            )

    # What tests look at

    def sends(self, request: int | None = None) -> list[Send]:
        return [
            action
            for action in self.actions
            if isinstance(action, Send) and request in (None, action.request)
        ]

    def answer(self, request: int) -> Action | None:
        for action in self.actions:
            if isinstance(action, Refuse | Fail) and action.request == request:
                return action
        return None
