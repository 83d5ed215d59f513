"""Load probes: polls the load of a few endpoints and sends the request to the least loaded. No I/O.

A sidecar with little traffic can't learn from its own requests which upstreams are overloaded, slow or hung.
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

MAX_REPORT_AGE_DIVISOR: Final = 20  # reports are used for the shortest latency objective divided by this
# requests in flight assumed where no load is reported, so that endpoints known to be idle rank first
UNKNOWN_LOAD: Final = 5.0
IDLE_LOAD: Final = 1.0  # an endpoint with a lower load is idle and is picked without polling others


class LoadAction(enum.Enum):
    """What to do with a request that waits for load reports."""

    WAIT = "wait"
    SEND = "send"
    REJECT = "reject"
    PICK_AGAIN = "pick again"


class LoadDecision:
    """The action for a request and, for SEND, the endpoint."""

    def __init__(self, action: LoadAction, endpoint: Endpoint | None = None) -> None:
        self.action = action
        self.endpoint = endpoint


class LoadProber:
    """Sends load probes and records the reports, for the requests that wait for them."""

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
        self.waiting: dict[int, Request] = {}  # the requests that wait for load reports, by id
        min_objective_us = min(
            request_class.latency_objective_us for request_class in context.settings.classes
        )
        self.max_report_age_us = min_objective_us // MAX_REPORT_AGE_DIVISOR

    def begin(self, request: Request, candidates: list[Endpoint]) -> int:
        """Make a request wait for the load of its candidates, and return the time until which it may wait."""
        request.candidates = candidates
        self.waiting[request.id] = request
        for endpoint in candidates:
            endpoint.waiting_requests[request.id] = None
        return self.context.now_us + self.max_report_age_us

    def end(self, request: Request) -> None:
        """Remove a request from those that wait for load reports."""
        self.waiting.pop(request.id, None)
        for endpoint in request.candidates:
            endpoint.waiting_requests.pop(request.id, None)

    def record_report(self, endpoint: Endpoint, values: list[float]) -> None:
        """Record a load report; `values` are in the order of the settings' `report_names`, or empty."""
        report = dict(zip(self.context.settings.report_names, values, strict=False))
        endpoint.load_reported_us = self.context.now_us
        endpoint.load = None
        if "in_flight" in report:
            # An upstream that fails requests at once has few in flight and would seem idle, so its errors per
            # second are added.
            endpoint.load = report["in_flight"] + report.get("errors_per_s", 0.0)

    def decide(self, request: Request, may_wait: bool) -> LoadDecision:
        """Decide what a waiting request does next; unless it waits longer, it is removed from `waiting`.

        Candidates are polled one after another until one is idle, and the least loaded is picked. If even its
        queue takes longer than the latency objective, the request is rejected.
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
        """Whether a load report is pending; probes the next candidate if none so far is idle."""
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
        """Whether the last load report of an endpoint is recent enough to be used."""
        return self.context.now_us - endpoint.load_reported_us <= self.max_report_age_us

    def pick_least_loaded(self, usable: list[Endpoint], must_be_fresh: bool) -> Endpoint | None:
        """Return the least loaded endpoint, the first among equals.

        With key affinity, each position in the list counts as one request more.
        """
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
        """Return an endpoint's load divided by its weight, plus one request if it is in another zone."""
        in_flight = UNKNOWN_LOAD if endpoint.load is None else endpoint.load
        load = in_flight / endpoint.weight
        home_zone = self.context.home_zone
        if home_zone != NO_HOME_ZONE and endpoint.entry.zone != home_zone:
            load += 1.0
        return load

    def outlasts_objective(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the queue at an endpoint is expected to outlast the latency objective of a request."""
        if not endpoint.load:
            return False
        queue_us = self.load(endpoint) * self.response_times.smoothed_us[request.class_index]
        return queue_us > request.request_class.latency_objective_us
