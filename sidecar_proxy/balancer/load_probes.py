"""Polling the load of a few endpoints before a request is sent to the least loaded. Pure.

It guards against what a sidecar of little traffic cannot know: overloaded, slow or hung upstreams.
"""

import enum
from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import NO_HOME_ZONE, DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.response_times import ResponseTimes
from sidecar_proxy.balancer.retry_policy import RetryPolicy

MAX_REPORT_AGE_DIVISOR: Final = 20  # a report counts for this part of the shortest latency objective
UNKNOWN_LOAD: Final = 5.0  # of an endpoint that reports none: it comes after those known to be idle
IDLE_LOAD: Final = 1.0  # below it, no other endpoint is polled


class LoadAction(enum.Enum):
    """What follows for a request that waits for load reports."""

    WAIT = "wait"
    SEND = "send"
    REJECT = "reject"
    PICK_AGAIN = "pick again"


class LoadDecision:
    """The action, and the endpoint to send to."""

    def __init__(self, action: LoadAction, endpoint: Endpoint | None = None) -> None:
        self.action = action
        self.endpoint = endpoint


class LoadProber:
    """Keeps the requests that wait for load reports, and the reports."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        overload: FleetOverload,
        response_times: ResponseTimes,
        retry_policy: RetryPolicy,
    ) -> None:
        self.context = context
        self.pool = pool
        self.overload = overload
        self.response_times = response_times
        self.retry_policy = retry_policy
        self.waiting: dict[int, Request] = {}
        shortest_us = min(request_class.latency_objective_us for request_class in context.settings.classes)
        self.max_report_age_us = shortest_us // MAX_REPORT_AGE_DIVISOR

    def begin(self, request: Request, candidates: list[Endpoint]) -> int:
        """Let a request wait for the load of its candidates; return until when at the latest."""
        request.candidates = candidates
        self.waiting[request.id] = request
        for endpoint in candidates:
            endpoint.waiting_requests[request.id] = None
        return self.context.now_us + self.max_report_age_us

    def end(self, request: Request) -> None:
        """Let a request wait no more."""
        self.waiting.pop(request.id, None)
        for endpoint in request.candidates:
            endpoint.waiting_requests.pop(request.id, None)

    def record_report(self, endpoint: Endpoint, values: list[float]) -> None:
        """Keep a load report, with the values in the order of the settings' `report_names`; may be empty."""
        report = dict(zip(self.context.settings.report_names, values, strict=False))
        endpoint.load_reported_us = self.context.now_us
        endpoint.load = None
        if "in_flight" in report:
            # what fails at once holds nothing, so its errors per second count like requests in flight
            endpoint.load = report["in_flight"] + report.get("errors_per_s", 0.0)

    def decide(self, request: Request, may_wait: bool) -> LoadDecision:
        """Say what a waiting request does now; unless it waits on, it is not among the waiting any more.

        The first candidate without load is taken, polled one after another, else the least loaded; if the
        queue there outlasts the latency objective, the request is rejected.
        """
        if may_wait and self.awaits_report(request):
            return LoadDecision(LoadAction.WAIT)
        usable = [
            endpoint
            for endpoint in request.candidates
            if self.pool.open_slots(endpoint, self.context.now_us) > 0
            and self.retry_policy.is_in_deduplication_group(request, endpoint)
        ]
        self.end(request)
        has_report = any(self.is_fresh(endpoint) for endpoint in usable)
        least_loaded = self.pick_least_loaded(usable, has_report)
        if least_loaded is None or not self.retry_policy.may_attempt(request):
            return LoadDecision(LoadAction.PICK_AGAIN)
        if has_report and self.outlasts_objective(request, least_loaded):
            return LoadDecision(LoadAction.REJECT)
        return LoadDecision(LoadAction.SEND, least_loaded)

    def awaits_report(self, request: Request) -> bool:
        """Whether a candidate's load is still to come; polls the next one if no idle one is known."""
        for endpoint in request.candidates:
            if self.is_fresh(endpoint):
                if self.load(endpoint) < IDLE_LOAD:
                    return False
            elif endpoint is request.last_probed:
                return True
            elif self.overload.take_probe(self.context.now_us):
                request.last_probed = endpoint
                self.context.actions.append(api.Probe(endpoint.entry.id))
                return True
        return False

    def is_fresh(self, endpoint: Endpoint) -> bool:
        """Whether the last report of an endpoint still counts."""
        return self.context.now_us - endpoint.load_reported_us <= self.max_report_age_us

    def pick_least_loaded(self, usable: list[Endpoint], must_be_fresh: bool) -> Endpoint | None:
        """Return the least loaded endpoint, the first of equals; key affinity prefers early ones."""
        best: Endpoint | None = None
        best_cost = 0.0
        for position, endpoint in enumerate(usable):
            if must_be_fresh and not self.is_fresh(endpoint):
                continue
            cost = self.load(endpoint)
            if self.context.settings.key_affinity:
                cost += position
            if best is None or cost < best_cost:
                best = endpoint
                best_cost = cost
        return best

    def load(self, endpoint: Endpoint) -> float:
        """Return an endpoint's load per weight; another zone counts as one request more."""
        requests = UNKNOWN_LOAD if endpoint.load is None else endpoint.load
        load = requests / endpoint.weight
        home_zone = self.context.home_zone
        if home_zone != NO_HOME_ZONE and endpoint.entry.zone != home_zone:
            load += 1.0
        return load

    def outlasts_objective(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the queue at an endpoint takes longer than the latency objective."""
        if not endpoint.load:
            return False
        queue_us = self.load(endpoint) * self.response_times.smoothed_us[request.class_index]
        return queue_us > request.request_class.latency_objective_us
