"""The balancer: takes events and returns actions (both are defined in sidecar_proxy/balancer/events.py).

`Balancer` tracks each request from arrival to final response and delegates each decision to a component. A
request takes a free slot of a random endpoint. If no slot is free, it waits in the buffer, which holds one
request; if the buffer is occupied, it is rejected. Retries need slots like first attempts (docs/design.md).
"""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.attempts import AttemptTracker
from sidecar_proxy.balancer.concurrency_limit import (
    INITIAL_SLOTS_PER_UPSTREAM,
    MIN_TOTAL_LIMIT,
    ConcurrencyLimiter,
)
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_list import EndpointList
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.list_polling import ListPoller
from sidecar_proxy.balancer.load_probes import LoadAction, LoadProber
from sidecar_proxy.balancer.load_shedding import LoadShedder
from sidecar_proxy.balancer.outcome_recorder import OutcomeRecorder
from sidecar_proxy.balancer.outlier_detection import OutlierDetector
from sidecar_proxy.balancer.picker import LOAD_CANDIDATES, Picker
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.response_times import ResponseTimes
from sidecar_proxy.balancer.retry_policy import RetryPolicy
from sidecar_proxy.balancer.slow_start import SlowStart
from sidecar_proxy.balancer.wakeups import Wakeup, WakeupKind, Wakeups
from sidecar_proxy.balancer.warm_start import WarmStart

# minimum interval between two refreshes, in which a small sidecar gets a few responses
REFRESH_INTERVAL_US: Final = 1_000_000


class Balancer:
    """Handles the events of one sidecar. It does no I/O and has no clock: `handle` gets time and events."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.context = context = DecisionContext(settings, seed, now_us)
        self.pool = pool = EndpointPool(settings, context.home_zone, now_us)
        self.endpoint_list = endpoint_list = EndpointList(context, pool)
        self.entries = endpoint_list.entries  # all listed upstreams by id
        self.endpoints = pool.endpoints  # the upstreams that this sidecar uses, by id
        self.requests: dict[int, Request] = {}
        self.overload = overload = FleetOverload(now_us)
        self.response_times = times = ResponseTimes(settings.classes)
        # limits this sidecar's attempts in flight to all endpoints together, to its share of the fleet's
        self.total_limiter = total = ConcurrencyLimiter(1.0)
        self.retry_policy = policy = RetryPolicy(context, overload)
        self.shedder = shedder = LoadShedder(context, overload, times, total)
        self.outliers = outliers = OutlierDetector(context, pool, overload, times)
        self.slow_start = slow_start = SlowStart(context, pool, policy)
        self.prober = prober = LoadProber(context, pool, overload, times, policy)
        self.picker = Picker(context, pool, endpoint_list, policy, shedder, outliers, slow_start, total)
        recorder = OutcomeRecorder(
            context, pool, endpoint_list, overload, times, shedder, outliers, slow_start, total
        )
        self.wakeups = wakeups = Wakeups(context)
        self.attempts = AttemptTracker(
            context, pool, endpoint_list, policy, times, outliers, prober, recorder, total, wakeups
        )
        self.warm_start = WarmStart(context, pool, times, total)
        self.next_refresh_us = now_us
        self.poller = ListPoller(context, endpoint_list.subset, wakeups)

    # Public interface

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle one event and return the actions to carry out, in order."""
        self.context.now_us = now_us
        self.pool.reopen_due(now_us)
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived):
            if event.request not in self.requests:
                self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            self.wakeups.timer_fired()
            self.run_wakeups()
        elif isinstance(event, api.RequestGone):
            if event.request in self.requests:
                self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted):
            if event.request in self.requests:
                self.requests[event.request].is_done = True  # a response that has begun can't be replaced
        else:
            self.handle_state_event(event)
        if self.endpoint_list.is_selection_due:
            self.endpoint_list.select()
        self.dispatch_buffered()
        self.set_timer()
        return self.context.take_actions()

    def count_avoided(self) -> int:
        """Return how many listed upstreams get no requests now, or nearly none: not ready or degraded."""
        return self.endpoint_list.count_avoided()

    def export_warm_start_state(self) -> api.WarmStartState:
        """Return the state from which the next process of this sidecar may start."""
        return self.warm_start.export_state()

    # Events about upstreams and the fleet

    def handle_state_event(self, event: api.Event) -> None:
        """Handle an event that does not concern a single request."""
        now_us = self.context.now_us
        if isinstance(event, api.UpstreamsUpdated):
            self.on_list_update(event)
        elif isinstance(event, api.WarmStartState):
            self.warm_start.import_state(event)
            self.refresh()
        elif isinstance(event, api.OutlierReported):
            if event.upstream in self.endpoints:
                self.outliers.on_report(self.endpoints[event.upstream], event.weight)
        elif isinstance(event, api.OverloadUpdated):
            self.overload.update(event, now_us)
            self.pool.grant_lease(event.budget_share, event.valid_until_us, now_us)
        elif isinstance(event, api.FleetResized):
            self.endpoint_list.resize_fleet(event)
        elif isinstance(event, api.ProbeEnded) and event.upstream in self.endpoints:
            self.on_probe_ended(event, self.endpoints[event.upstream])

    def on_list_update(self, event: api.UpstreamsUpdated) -> None:
        """Apply a list update, or back off after a failed call."""
        if event.kind is api.ListKind.FAILED:
            self.poller.call_failed()
            return
        if event.kind is api.ListKind.FULL or event.kind is api.ListKind.DELTA:
            self.poller.call_answered()
        self.endpoint_list.apply(event)
        if event.kind is api.ListKind.CACHED and not self.entries and self.poller.failures == 0:
            # without any list every request is rejected, so discovery is polled now
            self.poller.poll_at(self.context.now_us)
        self.refresh()

    def on_probe_ended(self, event: api.ProbeEnded, endpoint: Endpoint) -> None:
        """Record the load report and resume the requests that wait for it."""
        self.prober.record_report(endpoint, event.report)
        for request_id in list(endpoint.waiting_requests):
            if request_id in self.prober.waiting:
                self.continue_polling(self.prober.waiting[request_id], may_wait=True)

    def refresh(self) -> None:
        """Refresh the warm endpoints, their order, the size of the subset and the initial limits."""
        now_us = self.context.now_us
        self.next_refresh_us = now_us + REFRESH_INTERVAL_US
        self.pool.refresh_order(now_us)
        peak_in_flight = self.attempts.peak_in_flight
        self.attempts.peak_in_flight = self.total_limiter.in_flight
        subset = self.endpoint_list.subset
        if subset.is_active and subset.needs_selection(now_us, peak_in_flight):
            self.endpoint_list.select()
        # Warming endpoints count in proportion to their capacity. With the warm ones alone, most slots would
        # close and requests would be rejected whenever most upstreams restart.
        slots_per_endpoint = INITIAL_SLOTS_PER_UPSTREAM / self.pool.sidecars_per_endpoint
        initial_limit = slots_per_endpoint * self.pool.warm_equivalent(now_us)
        # Each sidecar has the minimum limit at least. Where that exceeds its share, the first attempts of all
        # sidecars together would overload a warming endpoint, so slow start is reduced in proportion.
        self.slow_start.gain_scale = min(1.0, initial_limit / MIN_TOTAL_LIMIT)
        self.total_limiter.rescale(max(MIN_TOTAL_LIMIT, initial_limit))

    # Events about requests

    def on_arrival(self, event: api.RequestArrived) -> None:
        """Shed or dispatch a request that has just arrived."""
        request = Request(event, self.settings, self.context.now_us)
        self.requests[event.request] = request
        if self.context.now_us >= self.next_refresh_us:
            self.refresh()
        if self.shedder.should_shed(event):
            self.complete(request, is_shed=True)
        else:
            self.dispatch(request)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Record the outcome of an attempt, and dispatch the request again if it still needs a response."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        self.attempts.end(request, attempt, event)
        if event.final or request.is_done:
            self.close(request)
        else:
            self.dispatch(request)

    def dispatch(self, request: Request) -> None:
        """Send a request to an endpoint with a free slot, or else buffer it, or else reject it."""
        endpoint: Endpoint | None = None
        candidates: list[Endpoint] = []
        may_start = self.is_in_time(request) and self.retry_policy.acquire_retry_budget(request)
        if may_start:
            pick = self.picker.pick(request)
            endpoint = pick.endpoint
            candidates = pick.candidates
        if endpoint is not None:
            if self.should_poll_load(endpoint):
                deadline_us = self.prober.begin(request, candidates[:LOAD_CANDIDATES])
                self.wakeups.schedule(deadline_us, WakeupKind.PROBE_DEADLINE, request.id)
                self.continue_polling(request, may_wait=True)
            else:
                self.send(request, endpoint)
        elif may_start and self.retry_policy.may_attempt(request):
            self.shedder.record_exhaustion()
            self.buffer_or_reject(request)
        else:
            self.complete(request)

    def is_in_time(self, request: Request) -> bool:
        """Whether an attempt that starts now is expected to be answered before the request's deadline."""
        return self.context.now_us < self.response_times.latest_start_us(request)

    def should_poll_load(self, endpoint: Endpoint) -> bool:
        """Whether to poll the load of the candidates before a request is sent, if this endpoint was picked.

        At most as many requests poll at once as there are warm endpoints. A long batch of arrivals would
        otherwise make every load report a search through all of them.
        """
        if not self.picker.polls_load() or endpoint.index is not self.pool.warm:
            return False
        return len(self.prober.waiting) < len(self.pool.warm)

    def continue_polling(self, request: Request, may_wait: bool) -> None:
        """Decide again on a request that waits for load reports; unless `may_wait`, it waits no longer."""
        decision = self.prober.decide(request, may_wait)
        if decision.action is LoadAction.PICK_AGAIN:
            self.dispatch(request)
        elif decision.action is LoadAction.REJECT:
            self.complete(request)
        elif decision.endpoint is not None:
            self.send(request, decision.endpoint)

    def buffer_or_reject(self, request: Request) -> None:
        """Buffer a request for at most half of its latency objective, or reject it.

        A request that it displaces from the buffer is rejected.
        """
        if not self.shedder.may_buffer(request):
            self.complete(request)
            return
        displaced = self.shedder.buffered
        self.shedder.buffered = request
        if displaced is not None:
            self.complete(displaced)
        half_objective_us = self.response_times.half_objectives_us[request.class_index]
        until_us = min(self.context.now_us + half_objective_us, self.response_times.latest_start_us(request))
        self.wakeups.schedule(until_us, WakeupKind.BUFFER_DEADLINE, request.id)

    def dispatch_buffered(self) -> None:
        """Send the buffered request if a slot has become free.

        Without warm endpoints a request is dispatched on arrival only: warming endpoints then get a share of
        the arrivals, which further draws for the buffered request would exceed (rule 4).
        """
        request = self.shedder.buffered
        if request is None:
            return
        if not len(self.pool.warm) and not self.pool.is_leased(self.context.now_us):
            return
        endpoint = self.picker.pick(request).endpoint
        if endpoint is not None:
            self.shedder.buffered = None
            self.send(request, endpoint)

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Start an attempt, or complete the request if a rule forbids it; every attempt starts here."""
        if self.attempts.may_start(request, endpoint):
            self.attempts.start(request, endpoint)
        else:
            self.complete(request)

    def complete(self, request: Request, is_shed: bool = False) -> None:
        """Give the final response once: a rejection if the client can safely retry, else a failure.

        Rules 1 and 2 demand this.
        """
        if request.is_done:
            return
        is_safe_to_reject = self.retry_policy.is_safe_to_reject(request)
        self.close(request)
        retry_after_us = self.shedder.retry_after_us(request)
        if is_safe_to_reject:
            self.context.actions.append(api.Refuse(request.id, retry_after_us, is_shed))
        else:
            self.context.actions.append(api.Fail(request.id))

    def close(self, request: Request) -> None:
        """Stop all work for a request, and remove it once no attempt is in flight."""
        request.is_done = True
        if self.shedder.buffered is request:
            self.shedder.buffered = None
        self.prober.end(request)
        if not request.has_attempt_in_flight():
            self.requests.pop(request.id, None)

    # Wake-ups

    def set_timer(self) -> None:
        """Set the timer to the next wake-up or, while a request is buffered, to the next end of a pause."""
        next_us = 0
        if self.shedder.buffered is not None:
            now_us = self.context.now_us
            total_reopen_us = self.total_limiter.paused_until_us
            reopen_us = self.pool.next_reopen_us()
            if total_reopen_us > now_us:
                next_us = total_reopen_us
            if reopen_us > now_us and (next_us == 0 or reopen_us < next_us):
                next_us = reopen_us
        self.wakeups.set_timer(next_us)

    def run_wakeups(self) -> None:
        """Run the wake-ups that are due."""
        wakeup = self.wakeups.pop_due()
        while wakeup is not None:
            self.run_wakeup(wakeup)
            wakeup = self.wakeups.pop_due()

    def run_wakeup(self, wakeup: Wakeup) -> None:
        """Run one wake-up, unless its request no longer waits for it."""
        request_id = wakeup.request_id
        buffered = self.shedder.buffered
        if wakeup.kind is WakeupKind.LIST_POLL:
            self.poller.poll_if_due()
        elif wakeup.kind is WakeupKind.PROBE_DEADLINE and request_id in self.prober.waiting:
            self.continue_polling(self.prober.waiting[request_id], may_wait=False)
        elif wakeup.kind is WakeupKind.ATTEMPT_OVERDUE and request_id in self.requests:
            self.attempts.presume_lost(self.requests[request_id])
        elif wakeup.kind is WakeupKind.BUFFER_DEADLINE and buffered is not None and buffered.id == request_id:
            self.complete(buffered)
