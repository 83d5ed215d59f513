"""The engine passes events to the balancer, carries out its actions, and keeps the pending requests.

It is the only caller of the balancer and owns the clock, the timers and the request numbers. Whatever the
balancer does, the engine keeps the contract of balancer/events.py: one final response for each request, and
one AttemptEnded for each Send.
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
from sidecar_proxy.engine import wall_clock
from sidecar_proxy.engine.activity_log import ActivityLog
from sidecar_proxy.engine.address_owners import AddressOwners
from sidecar_proxy.engine.body_buffers import MAX_BUFFERED_BODY_BYTES, ResponseSink, ResponseSource
from sidecar_proxy.engine.interfaces import (
    Attempt,
    AttemptCallback,
    BalancerInterface,
    Call,
    DiscoveryClient,
    FleetObserver,
    ListedUpstream,
    Recorder,
    Reply,
    UpstreamResponse,
    UpstreamTransport,
)
from sidecar_proxy.engine.listing_limit import within_limit
from sidecar_proxy.engine.memory_budget import DEFAULT_BUDGET_BYTES, REQUEST_BYTES, MemoryBudget
from sidecar_proxy.engine.metrics import Metrics
from sidecar_proxy.engine.request_ids import Claim, RequestIds
from sidecar_proxy.engine.timers import Timer, TimerQueue

log = logging.getLogger("sidecar_proxy")

# Outcomes after which the request has certainly not run
NEVER_RUN_OUTCOMES = (
    api.Outcome.CONNECT_FAILED,
    api.Outcome.NOT_SENT,
    api.Outcome.FULL,
)
NEVER_SENT_OUTCOMES = (api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.CANCELLED)
MAX_REQUEST_NUMBER = 0xFFFFFFFF
LIST_WARNING_INTERVAL_S = 10.0
LOOP_RESOLUTION_S = 0.001  # added to delays: loop timers have whole milliseconds and must not be early

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_BAD_GATEWAY = 502
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
STATUS_CLIENT_GONE = 0
# 4xx statuses that are caused by the state of the upstream and not by the request
STATUSES_OF_UPSTREAM_STATE = (408, 425, 429)

LOAD_PROBE_PATH = b"/status/load"
HEALTH_CHECK_PATH = b"/health"

ProbeCallback = AttemptCallback


class Clock:
    """A monotonic clock in microseconds that starts at the Unix time of the process start.

    It is comparable with the start times in the endpoint list, and not affected by later steps of the wall
    clock.
    """

    def __init__(self) -> None:
        self.base_ns = wall_clock.now_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the time in microseconds."""
        return (self.base_ns + time.monotonic_ns()) // 1000


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet, or still has attempts in flight."""

    call: Call
    reply: Reply
    deadline_timer: Timer | None = None
    is_answered: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)  # None = not started, or ended
    attempts_in_flight: int = 0
    has_claim: bool = False  # whether it has claimed its id
    may_have_run: bool = False
    is_served: bool = False
    last_outcome: api.Outcome | None = None  # of the attempt that ended last

    def memory_bytes(self) -> int:
        """Return how much memory the request holds until it is removed."""
        return REQUEST_BYTES + len(self.call.head) + len(self.call.body)


def monotonic_us() -> int:
    """Return the time of the clock that all processes of this machine share."""
    return time.monotonic_ns() // 1000


def render_head(head: bytes) -> list[bytes]:
    """Return the parts of a request without a body."""
    return [head]


def is_request_error(response: UpstreamResponse | None) -> bool:
    """Return whether a response is an error caused by the request and not by the upstream."""
    if response is None:
        return False
    return 400 <= response.status < 500 and response.status not in STATUSES_OF_UPSTREAM_STATE


class Engine:
    """Passes events to the balancer and carries out its actions."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        transport: UpstreamTransport,
        discovery: DiscoveryClient,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.settings = settings
        self.memory = memory or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.clock = clock
        self.transport = transport
        self.discovery = discovery
        self.loop = asyncio.get_running_loop()
        self.timers = TimerQueue(self.loop)
        self.started_us = clock.now_us()
        self.balancer: BalancerInterface = Balancer(settings, seed, self.started_us)
        self.requests: dict[int, PendingRequest] = {}
        self.request_ids = RequestIds()
        self.address_owners = AddressOwners()
        self.next_request = 1
        self.events: deque[api.Event] = deque()
        self.is_handling = False
        self.metrics = Metrics(request_class.name for request_class in settings.classes)
        self.activity = ActivityLog(self.loop)
        self.next_list_warning_s = 0.0
        self.list_received = asyncio.Event()  # set once discovery has sent an endpoint list or changes
        # Optional collaborators, set by the enabled subsystems:
        self.send_probe: Callable[[int, ProbeCallback, float], None] | None = None  # None = by HTTP/1.1
        self.on_attempt_ended: Callable[[int, api.Outcome], None] | None = None
        self.recorder: Recorder | None = None
        self.fleet_observer: FleetObserver | None = None
        # Changes the entries of upstreams that operators have suspended or drained, before they take effect.
        self.apply_overrides: Callable[[list[ListedUpstream]], None] | None = None

    # Called by downstream servers

    def accept(self, call: Call, reply: Reply) -> int:
        """Accept a request and return its number. `reply` may be called before this returns."""
        number = self.next_request
        self.next_request = self.next_request % MAX_REQUEST_NUMBER + 1
        request = self.requests[number] = PendingRequest(call, reply)
        self.memory.charge(request.memory_bytes())
        self.metrics.request_accepted()
        # The engine sets a deadline timer of its own, so that the client gets a response in time even if the
        # balancer has a fault.
        request.deadline_timer = self.call_at(call.due_us, self.deadline_passed, number)
        if self.recorder is not None:
            self.recorder.request_named(number, call.request_id)
        retry_due_us = self.fleet_observer.request_arrived(call) if self.fleet_observer is not None else 0
        self.dispatch(
            api.RequestArrived(
                number,
                call.due_us,
                call.class_index,
                call.tenant,
                call.key,
                call.cost_us,
                call.is_retry,
                False,
                retry_due_us,
            )
        )
        return number

    def upload_complete(self, number: int) -> None:
        """Start the deadline of a request whose upload is complete, or may be: it is counted from now."""
        request = self.requests.get(number)
        if request is not None:
            self.set_deadline(number, request, request.call.time_after_upload_us)

    def upload_incomplete(self, number: int, max_duration_us: int) -> None:
        """Allow more time for a request whose upload may have been complete, and is not."""
        request = self.requests.get(number)
        if request is not None:
            self.set_deadline(number, request, max_duration_us + request.call.time_after_upload_us)

    def set_deadline(self, number: int, request: PendingRequest, left_us: int) -> None:
        """Replace the deadline of a request that is not answered yet."""
        if request.is_answered or request.deadline_timer is None:
            return
        request.call.due_us = self.clock.now_us() + left_us
        request.deadline_timer.cancel()
        request.deadline_timer = self.call_at(request.call.due_us, self.deadline_passed, number)

    def client_gone(self, number: int) -> None:
        """Record that the client has closed its connection."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            self.mark_answered(number, request, STATUS_CLIENT_GONE)
            self.dispatch(api.RequestGone(number))

    def deadline_passed(self, number: int) -> None:
        """Answer a request whose deadline has passed, unless its response has begun to arrive."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            for attempt in list(request.attempts):
                if attempt is not None and attempt.forward_begun_response():
                    return
        self.fail_request(number, STATUS_GATEWAY_TIMEOUT)

    def fail_request(self, number: int, status: int = STATUS_BAD_GATEWAY) -> None:
        """Answer a request that the sidecar itself cannot process any further."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            self.answer(number, status)
            self.dispatch(api.RequestGone(number))

    # Called by discovery

    def list_changed(self, kind: api.ListKind, upstreams: list[ListedUpstream], version: int) -> None:
        """Apply an endpoint list or changes of it."""
        if self.apply_overrides is not None:
            self.apply_overrides(upstreams)
        is_full_list = kind in (api.ListKind.FULL, api.ListKind.CACHED)
        reported_count, max_count = len(upstreams), self.memory.max_listed_upstreams()
        upstreams = within_limit(upstreams, self.transport.upstreams, max_count, is_full_list)
        if len(upstreams) < reported_count:
            self.warn_list_limit(reported_count - len(upstreams), max_count)
        upstreams = self.address_owners.resolve(upstreams, self.transport.upstreams, is_full_list)
        self.transport.update(upstreams, is_full_list=is_full_list)
        self.dispatch(api.UpstreamsUpdated(kind, [upstream.entry for upstream in upstreams], version))
        if kind in (api.ListKind.FULL, api.ListKind.DELTA):
            self.list_received.set()

    def warn_list_limit(self, ignored_count: int, max_count: int) -> None:
        """Log that new upstreams are not used, at most once per LIST_WARNING_INTERVAL_S."""
        if self.loop.time() >= self.next_list_warning_s:
            self.next_list_warning_s = self.loop.time() + LIST_WARNING_INTERVAL_S
            log.warning("%d new upstreams are ignored: the memory holds %d at most", ignored_count, max_count)

    def list_failed(self) -> None:
        """Notify the balancer that a fetch of the endpoint list failed or a watch broke."""
        self.dispatch(api.UpstreamsUpdated(api.ListKind.FAILED))

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        """Return the listed upstreams by their numbers."""
        return self.transport.upstreams

    def has_reported(self, upstream: ListedUpstream) -> bool:
        """Return whether this was the last report of the endpoint list about the upstream."""
        known = self.transport.upstreams.get(upstream.entry.id)
        return known is not None and known.is_same_listing(upstream)

    def reported_numbers(self) -> list[int]:
        """Return the numbers of the upstreams that the endpoint list has reported and not removed."""
        return [
            number
            for number, upstream in self.transport.upstreams.items()
            if upstream.listed_entry.state is not api.UpstreamState.GONE
        ]

    def member_counts(self) -> tuple[int, int]:
        """Return how many upstreams are listed, and how many of them get few or no requests now."""
        listed = sum(
            upstream.entry.state is not api.UpstreamState.GONE
            for upstream in self.transport.upstreams.values()
        )
        return listed, self.balancer.count_avoided()

    # Events and actions

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the balancer.

        Events that its actions cause are queued meanwhile: the balancer is not reentrant.
        """
        self.events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.is_handling = False

    def handle(self, event: api.Event) -> None:
        """Pass one event to the balancer and carry out the actions that it returns."""
        now_us = self.clock.now_us()
        try:
            actions = self.balancer.handle(now_us, event)
        except Exception as error:  # a fault of the balancer fails one request and not the sidecar
            log.exception("balancer raised an exception on event %s", type(event).__name__)
            if self.recorder is not None:
                self.recorder.balancer_failed(now_us, event, error)
            if isinstance(event, api.RequestArrived | api.AttemptEnded | api.StreamStarted):
                self.fail_request(event.request)
            return
        if self.recorder is not None:
            self.recorder.event_handled(now_us, event, actions)
        for action in actions:
            self.perform_safely(action)

    def perform_safely(self, action: api.Action) -> None:
        """Carry out one action; if that raises, fail the request that the action names."""
        try:
            self.perform(action)
        except Exception:  # the actions after this one still have to be carried out
            log.exception("action %s of the balancer failed", type(action).__name__)
            if isinstance(action, api.Send | api.Refuse | api.Fail):
                self.fail_request(action.request)

    def perform(self, action: api.Action) -> None:
        """Carry out one action. Raises ValueError for one that the settings do not allow."""
        check_allowed(self.settings, action)
        match action:
            case api.Send():
                self.send(action)
            case api.Refuse():
                self.reject(action)
            case api.Fail():
                self.answer(action.request, STATUS_BAD_GATEWAY)
            case api.Cancel():
                self.cancel(action)
            case api.Probe():
                self.probe(action.upstream)
            case api.SetTimer():
                self.fire_timer(action)
            case api.Subscribe():
                self.discovery.subscribe(action.active)
            case api.FetchList():
                self.discovery.fetch()
            case api.CloseIdle():
                self.transport.close_idle(action.upstream)
            case api.Log():
                log.info("%s", action.text)
            case api.SendPeerMessage():
                raise ValueError("messages to other sidecars are not supported")

    def reject(self, action: api.Refuse) -> None:
        """Answer 503, with a Retry-After if the action has one: the request has had no effect."""
        rejected = self.requests.get(action.request)
        if (
            rejected is not None
            and not rejected.has_claim
            and self.is_id_taken(rejected.call.class_index, rejected.call.request_id)
        ):
            self.answer(action.request, STATUS_CONFLICT)
            return
        if self.fleet_observer is not None:
            request = self.requests.get(action.request)
            if request is not None and not request.is_answered:
                self.fleet_observer.request_rejected(request.call, action.retry_after_us, action.shed)
        header_lines = b""
        if action.retry_after_us > 0:
            header_lines = b"Retry-After: %d.%06d\r\n" % divmod(action.retry_after_us, 1_000_000)
        self.answer(action.request, STATUS_SERVICE_UNAVAILABLE, header_lines)

    def cancel(self, action: api.Cancel) -> None:
        """Cancel an attempt, if it is still in flight."""
        request = self.requests.get(action.request)
        attempt = request.attempts[action.attempt] if request is not None else None
        if attempt is not None:
            attempt.finish(api.Outcome.CANCELLED)

    def call_at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> Timer:
        """Call `callback` at a time of the engine's clock, or slightly later."""
        wait_us = max(0, at_us - self.clock.now_us())
        return self.timers.call_later(wait_us / 1e6 + LOOP_RESOLUTION_S, callback, *arguments)

    def fire_timer(self, timer: api.SetTimer, is_set: bool = False) -> None:
        """Report a timer to the balancer once it is due.

        The loop's clock may be ahead of the engine's, and the balancer ignores a timer that fires early, so
        such a timer is set again. A timer that is due immediately fires in the next iteration of the event
        loop.
        """
        if is_set and self.clock.now_us() >= timer.at_us:
            self.dispatch(api.TimerFired(timer.token))
        else:
            self.call_at(timer.at_us, self.fire_timer, timer, True)

    # Attempts

    def send(self, action: api.Send) -> None:
        """Start an attempt. One that the limits do not allow ends immediately as NOT_SENT."""
        number, now_us = action.request, self.clock.now_us()
        request = self.requests.get(number)
        if request is None:  # a fault of the balancer: each Send gets its AttemptEnded all the same
            self.dispatch(api.AttemptEnded(number, 0, action.upstream, api.Outcome.NOT_SENT, 0, True))
            return
        call, attempt_index = request.call, len(request.attempts)
        if request.last_outcome is not None:
            self.activity.retried(request.last_outcome.value, call.request_id)
        request.attempts.append(None)
        request.attempts_in_flight += 1
        attempt = AttemptInFlight(self, request, number, attempt_index, action, now_us)
        left_us = call.due_us - now_us if call.upload is None else call.time_after_upload_us
        timeout_us = min(action.timeout_us or left_us, left_us)
        if timeout_us <= 0 or not self.may_start(request, attempt) or not self.claim_id(number, request):
            attempt.ended(api.Outcome.NOT_SENT, None)
            return
        if action.until_us:
            attempt.window_timer = self.call_at(action.until_us, attempt.window_over)
        if call.attempt_factory is not None:
            new_attempt = call.attempt_factory.new_attempt(
                attempt.left_us, attempt.ended, attempt.response_started
            )
            request.attempts[attempt_index] = new_attempt
            new_attempt.start(action.upstream, timeout_us / 1e6)
            return
        open_stream = attempt.open_stream if call.open_stream is not None else None
        exchange = self.transport.exchange(
            attempt.render, attempt.ended, attempt.written, open_stream, call.upload
        )
        request.attempts[attempt_index] = exchange
        self.transport.start(action.upstream, exchange, timeout_us / 1e6)

    def may_start(self, request: PendingRequest, attempt: AttemptInFlight) -> bool:
        """Return whether the limits allow this attempt, which already counts as in flight."""
        upload = request.call.upload
        is_hedged = request.attempts_in_flight > 1
        return (
            attempt.left_us() > 0
            and attempt.index < self.settings.max_attempts
            and (not is_hedged or self.settings.hedging_allowed)
            and (upload is None or not upload.is_partly_consumed)
        )

    # Request ids

    def is_id_taken(self, class_index: int, request_id: bytes) -> bool:
        """Return whether a request with this id may have run, and must not run again."""
        return self.needs_claim(class_index, request_id) and self.request_ids.is_taken(
            request_id, monotonic_us()
        )

    def needs_claim(self, class_index: int, request_id: bytes) -> bool:
        """Return whether the request must not run twice."""
        return bool(request_id) and self.settings.classes[class_index].effect != "idempotent"

    def claim_id(self, number: int, request: PendingRequest) -> bool:
        """Claim the id of a request before its first attempt; fail the request if it may have run."""
        call = request.call
        if request.has_claim or not self.needs_claim(call.class_index, call.request_id):
            return True
        now_us = monotonic_us()
        left_us = max(0, call.due_us - self.clock.now_us())
        claim = self.request_ids.claim(call.request_id, now_us, now_us + left_us)
        request.has_claim = claim is Claim.GRANTED
        if claim is Claim.TAKEN:
            self.fail_request(number, STATUS_CONFLICT)
        return request.has_claim

    def end_claim(self, request: PendingRequest) -> None:
        """Give the id of a request back that is over, unless it may have run."""
        if not request.has_claim:
            return
        if request.may_have_run:
            self.request_ids.retain(request.call.request_id, monotonic_us(), request.is_served)
        else:
            self.request_ids.release(request.call.request_id, monotonic_us())

    def probe(self, upstream: int) -> None:
        """Send a health check to an upstream, or a load probe if the settings name load reports."""
        ended = partial(self.probe_ended, upstream, self.clock.now_us())
        timeout_s = self.settings.probe_timeout_us / 1e6
        if self.send_probe is not None:
            self.send_probe(upstream, ended, timeout_s)
            return
        path = LOAD_PROBE_PATH if self.settings.report_names else HEALTH_CHECK_PATH
        head = b"GET %s HTTP/1.1\r\nHost: backend.local\r\n\r\n" % path
        exchange = self.transport.exchange(partial(render_head, head), ended)
        self.transport.start(upstream, exchange, timeout_s)

    def probe_ended(
        self, upstream: int, since_us: int, outcome: api.Outcome, response: UpstreamResponse | None
    ) -> None:
        """Report the end of a probe to the balancer, with the load report that it returned."""
        if response is not None and response.status == STATUS_OK:
            outcome = api.Outcome.OK
        load_report = response.body if response is not None and outcome is api.Outcome.OK else b""
        elapsed_us = self.clock.now_us() - since_us
        self.dispatch(api.ProbeEnded(upstream, outcome, elapsed_us, self.parse_load(load_report)))

    def parse_load(self, load_report: bytes) -> list[float]:
        """Return the values of a load report in the order of the settings; empty if it is malformed."""
        return parse_report(load_report, self.settings.report_names)

    # Responses

    def answer(self, number: int, status: int, header_lines: bytes = b"", body: bytes = b"") -> None:
        """Send the final response of a request. Only the first response counts; later ones are dropped."""
        request = self.requests.get(number)
        if request is None or request.is_answered:
            return
        is_client_gone = request.call.is_client_gone
        request.is_served = status == STATUS_OK and not (
            request.has_claim and is_client_gone is not None and is_client_gone()
        )
        if status == STATUS_SERVICE_UNAVAILABLE:
            self.activity.rejected(status, "no capacity", request.call.request_id)
        elif status != STATUS_OK:
            self.activity.failed(status, request.call.request_id)
        self.mark_answered(number, request, status)
        try:
            request.reply(status, header_lines, body)
        except Exception:
            # The end of the attempt still has to be reported to the balancer. Otherwise the attempt would use
            # up its slot of the concurrency limit forever.
            log.exception("could not write a response to the client")

    def stream_ended(self, class_index: int, is_complete: bool | None) -> None:
        """Count the end of a streamed response; `is_complete` is None if the client disconnected.

        The argument is the class and not the request, as a reference to the request would keep its body in
        memory.
        """
        status = STATUS_OK if is_complete else STATUS_BAD_GATEWAY
        self.metrics.request_ended(class_index, STATUS_CLIENT_GONE if is_complete is None else status)

    def remove(self, number: int) -> None:
        """Forget a request that is answered and has no attempt in flight."""
        request = self.requests.pop(number, None)
        if request is not None:
            self.memory.charge(-request.memory_bytes())
            self.end_claim(request)

    def mark_answered(self, number: int, request: PendingRequest, status: int) -> None:
        """Mark a request as answered, and end its attempts that were not sent completely."""
        request.is_answered = True
        self.metrics.request_ended(request.call.class_index, status)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.attempts_in_flight == 0:
            self.remove(number)
            return
        # If the client disconnected, the upstream is not at fault. If the upstream did not accept the request
        # before the deadline, that counts as a failed connection.
        is_client_gone = status == STATUS_CLIENT_GONE
        outcome = api.Outcome.NOT_SENT if is_client_gone else api.Outcome.CONNECT_FAILED
        for attempt in list(request.attempts):
            if attempt is not None:
                attempt.abandon_unsent(outcome)


class AttemptInFlight:
    """One attempt of a request: reports its events to the balancer and answers the request at its end."""

    __slots__ = (
        "engine",
        "index",
        "request",
        "request_number",
        "sent_us",
        "until_us",
        "upstream",
        "window_timer",
    )

    def __init__(
        self,
        engine: Engine,
        request: PendingRequest,
        request_number: int,
        index: int,
        action: api.Send,
        now_us: int,
    ) -> None:
        self.engine = engine
        self.request = request
        self.request_number = request_number
        self.index = index  # index among the attempts of the request
        self.upstream = action.upstream
        self.sent_us = now_us
        self.until_us = action.until_us
        self.window_timer: Timer | None = None  # fires at the end of the deduplication window

    def left_us(self) -> int:
        """Return the time until the deadline; 0 if the attempt must not be sent any more.

        That is the case once the request was answered, its deadline has passed, or its deduplication window
        is over. Called just before the first byte is written.
        """
        now_us = self.engine.clock.now_us()
        is_window_over = self.until_us and now_us >= self.until_us
        if self.request.is_answered or is_window_over:
            return 0
        return max(0, self.request.call.due_us - now_us)

    def window_over(self) -> None:
        """End the attempt at the end of the deduplication window if it was not sent completely."""
        attempt = self.request.attempts[self.index]
        if attempt is not None:
            attempt.expire_unsent()

    def render(self) -> list[bytes] | None:
        """Return the parts of the request; None if it must not be sent any more."""
        call = self.request.call
        if call.is_client_gone is not None and call.is_client_gone():
            self.engine.client_gone(self.request_number)
        left_us = self.left_us()
        if left_us <= 0:
            return None
        if call.upload is not None:
            # Until an upload is complete, what is left includes the time that it may take.
            left_us = min(left_us, call.time_after_upload_us)
        is_small = len(call.body) <= MAX_BUFFERED_BODY_BYTES
        body = call.body if is_small else b""
        head = b"%sReq-Deadline: %d.%06d\r\n\r\n%s" % (call.head, *divmod(left_us, 1_000_000), body)
        return [head] if is_small else [head, call.body]

    def written(self) -> None:
        """Record that the request was written completely to the kernel."""
        self.engine.metrics.upstream_requests += 1
        if self.request.call.upload is not None:
            # The time that the client took for its upload is not part of the upstream's response time.
            self.sent_us = self.engine.clock.now_us()

    def open_stream(
        self, header_lines: bytes, length: int | None, load_report: bytes, source: ResponseSource
    ) -> ResponseSink | None:
        """End the attempt and begin to stream its response; None if the request is answered already."""
        engine, request, call = self.engine, self.request, self.request.call
        sink = None
        request.attempts[self.index] = None
        request.attempts_in_flight -= 1
        request.may_have_run = True
        if not request.is_answered and call.open_stream is not None:
            request.is_answered = True
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
            stream_ended = partial(engine.stream_ended, call.class_index)
            sink = call.open_stream(header_lines, length, source, stream_ended)
        self.report_end(api.Outcome.OK, load_report)
        return sink

    def response_started(self) -> None:
        """Report that the first part of the response was forwarded to the client."""
        elapsed_us = self.engine.clock.now_us() - self.sent_us
        self.engine.dispatch(api.StreamStarted(self.request_number, self.index, self.upstream, elapsed_us))

    def ended(self, outcome: api.Outcome, response: UpstreamResponse | None) -> None:
        """Record the end of the attempt, answer the request if this response is final, and report both."""
        engine, request = self.engine, self.request
        request.attempts[self.index] = None
        request.attempts_in_flight -= 1
        if request.call.attempt_factory is not None and outcome not in NEVER_SENT_OUTCOMES:
            engine.metrics.upstream_requests += 1
        request.may_have_run = request.may_have_run or outcome not in NEVER_RUN_OUTCOMES
        request.last_outcome = outcome
        if outcome is api.Outcome.OK and response is not None:
            engine.answer(self.request_number, STATUS_OK, response.header_lines, response.body)
        elif response is not None and is_request_error(response):
            # The upstream is not at fault, as only it can tell such requests from valid ones. So this must
            # not count as a failure in its outlier detection.
            engine.answer(self.request_number, response.status)
            outcome = api.Outcome.NOT_SENT
        elif response is not None and response.is_final:
            engine.answer(self.request_number, STATUS_BAD_GATEWAY)
        self.report_end(outcome, response.load_report if response is not None else b"")

    def report_end(self, outcome: api.Outcome, load_report: bytes) -> None:
        """Report the end of the attempt to the balancer, the fleet observer and `on_attempt_ended`."""
        engine, request = self.engine, self.request
        if self.window_timer is not None:
            self.window_timer.cancel()
        if request.is_answered and request.attempts_in_flight == 0:
            engine.remove(self.request_number)
        elapsed_us = engine.clock.now_us() - self.sent_us
        if engine.fleet_observer is not None:
            engine.fleet_observer.attempt_ended(request.call.class_index, outcome, elapsed_us)
        engine.dispatch(
            api.AttemptEnded(
                self.request_number,
                self.index,
                self.upstream,
                outcome,
                elapsed_us,
                request.is_answered,
                engine.parse_load(load_report) if load_report else [],
            )
        )
        if engine.on_attempt_ended is not None:
            engine.on_attempt_ended(self.upstream, outcome)
