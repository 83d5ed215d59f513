"""A test harness around a Balancer that carries out its actions and checks the four service rules.

Tests specify events and their times. Every action is checked against the rules in
sidecar_proxy/balancer/__init__.py by the state that the harness keeps, independent of the balancer's own.
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

# outcomes of attempts that the upstream certainly has not run
NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
START_US = 1_000_000_000


def classes() -> list[RequestClass]:
    """Return three request classes: idempotent, at most once, and deduplicated within a cell."""
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
    """Return settings for three sidecars with `classes`; keyword arguments replace single values."""
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
    """Return `count` ready upstreams, two in each cell and each zone."""
    return [Upstream(100 + i, zone=i // 2, cell=i // 2, **changes) for i in range(count)]


@dataclass
class AttemptState:
    """An attempt that the balancer has started, with its time-out."""

    upstream: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class RequestState:
    """A request, its attempts, and how many final responses the client has got."""

    event: RequestArrived
    attempts: list[AttemptState] = field(default_factory=list)
    response_count: int = 0
    is_closed: bool = False
    is_streaming: bool = False

    def may_have_run(self) -> list[AttemptState]:
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def in_flight(self) -> list[int]:
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]


class BalancerHarness:
    """One balancer with a clock, timers and upstreams that tests control."""

    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.requests: dict[int, RequestState] = {}
        self.listed: dict[int, Upstream] = {}
        # time since which each upstream has been draining or removed
        self.not_ready_since_us: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_id = 1
        # load that each upstream reports when probed; None = no report
        self.reports: dict[int, float | None] = {}

    # Events

    def dispatch(self, event: Event) -> list[Action]:
        """Let the balancer handle an event; check, record and return its actions."""
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_list(self, entries: list[Upstream], kind: ListKind = ListKind.FULL) -> list[Action]:
        """Deliver a list update, and note which upstreams are not ready since when."""
        for entry in entries:
            self.listed[entry.id] = entry
            if entry.state is UpstreamState.READY:
                self.not_ready_since_us.pop(entry.id, None)
            else:
                self.not_ready_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for upstream_id in self.listed.keys() - {e.id for e in entries}:
                self.not_ready_since_us.setdefault(upstream_id, self.now_us)
        return self.dispatch(UpstreamsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, client_timeout_us: int | None = None, **fields: Any) -> int:
        """Deliver a new request, with its class's deadline unless a time-out is given; return its id."""
        request_id = self.next_id
        self.next_id += 1
        timeout_us = client_timeout_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request_id, self.now_us + timeout_us, class_index, **fields)
        self.requests[request_id] = RequestState(event)
        self.dispatch(event)
        return request_id

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        """End an attempt; a success, or any end of a stream, is the final response."""
        request_state = self.requests[request]
        attempt_state = request_state.attempts[attempt]
        assert attempt_state.outcome is None
        attempt_state.outcome = outcome
        if (outcome is Outcome.OK or request_state.is_streaming) and not request_state.is_closed:
            request_state.is_closed = True
            request_state.response_count += 1
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
        self.requests[request].response_count = 1
        self.dispatch(RequestGone(request))

    def advance(self, by_us: int) -> None:
        """Advance the clock, firing the timers and attempt time-outs that become due."""
        end_us = self.now_us + by_us
        while True:
            due = [(at_us, 1, token, 0) for at_us, token in self.timers]
            due += [
                (attempt_state.ends_us, 0, request_id, number)
                for request_id, request_state in self.requests.items()
                if not request_state.is_streaming
                for number, attempt_state in enumerate(request_state.attempts)
                if attempt_state.outcome is None
            ]
            due = [item for item in due if item[0] <= end_us]
            if not due:
                break
            due_us, kind, identifier, attempt = min(due)
            self.now_us = max(self.now_us, due_us)
            if kind == 0:  # an attempt times out; 1 = a timer fires
                self.end(identifier, attempt, Outcome.TIMEOUT)
            else:
                self.timers.remove((due_us, identifier))
                self.dispatch(TimerFired(identifier))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for request_id, request_state in self.requests.items():
            is_overdue = (
                self.now_us > request_state.event.due_us + slack_us and not request_state.is_streaming
            )
            assert not is_overdue or request_state.response_count == 1, (
                f"rule 1: request {request_id} is unanswered past its deadline"
            )

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a cancellation that the settings forbid"
            assert action.attempt < len(self.requests[action.request].attempts), (
                "a cancellation of an unknown attempt"
            )
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, Probe):
            assert self.settings.probes, "a load probe that the settings forbid"
        else:
            assert not isinstance(action, Subscribe | FetchList) or self.settings.list_on_request

    def check_send(self, send: Send) -> None:
        request_state = self.requests[send.request]
        entry = self.listed[send.upstream]
        request_class = self.settings.classes[request_state.event.class_index]
        assert not request_state.is_closed, "rule 1: an attempt after the final response"
        assert len(request_state.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.upstream not in self.not_ready_since_us, (
            "rule 3: an attempt at a draining or removed upstream"
        )
        assert self.settings.hedging_allowed or not request_state.in_flight(), (
            "rule 2: two attempts in flight at once"
        )
        for earlier in request_state.may_have_run():
            assert request_class.effect != "at_most_once", "rule 2: a retry of an at-most-once request"
            if request_class.effect == "deduplicated":
                assert self.now_us - earlier.sent_us <= request_class.deduplication_window_us, (
                    "rule 2: a retry after the deduplication window"
                )
                assert request_class.group != "cell" or entry.cell == earlier.cell, (
                    "rule 2: a retry outside the cell"
                )
                assert request_class.group != "zone" or entry.zone == earlier.zone, (
                    "rule 2: a retry outside the zone"
                )
        ends_us = request_state.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        request_state.attempts.append(
            AttemptState(send.upstream, entry.zone, entry.cell, self.now_us, ends_us)
        )

    def check_answer(self, answer: Refuse | Fail) -> None:
        request_state = self.requests[answer.request]
        request_class = self.settings.classes[request_state.event.class_index]
        assert not request_state.is_closed, "rule 1: a second final response"
        request_state.is_closed = True
        request_state.response_count += 1
        if isinstance(answer, Refuse):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            is_safe = request_class.effect == "idempotent" or (
                request_class.effect == "deduplicated" and request_class.group == "all"
            )
            assert is_safe or not request_state.may_have_run(), (
                "rule 2: a rejection of a request that may have run"
            )

    # Results for assertions

    def sends(self, request: int | None = None) -> list[Send]:
        """Return the attempts started so far, of one request or of all."""
        return [
            action
            for action in self.actions
            if isinstance(action, Send) and request in (None, action.request)
        ]

    def answer(self, request: int) -> Action | None:
        """Return the balancer's rejection or failure of a request, or None."""
        for action in self.actions:
            if isinstance(action, Refuse | Fail) and action.request == request:
                return action
        return None
