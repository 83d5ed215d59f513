"""Records outcomes of attempts in limits, failure rates, slow start and probation. Pure except for jitter."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import (
    INITIAL_SLOTS_PER_UPSTREAM,
    ConcurrencyLimiter,
    target_load,
)
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_list import EndpointList
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.load_shedding import MAX_RESERVED_SLOTS, LoadShedder
from sidecar_proxy.balancer.outlier_detection import OutlierDetector
from sidecar_proxy.balancer.request import Attempt
from sidecar_proxy.balancer.response_times import ResponseTimes
from sidecar_proxy.balancer.slow_start import SlowStart

# maximum load of one attempt, as a multiple of a slow answer's time; a failure has this load
MAX_ATTEMPT_LOAD: Final = 2.0
# multiple of a slow answer's time for which limits may grow after capacity was exhausted
NEED_FACTOR: Final = 4
MIN_LIMIT_FOR_TOTAL: Final = 0.5  # attempts at endpoints with a lower limit do not change the total limit
MIN_LOG_INTERVAL_US: Final = 1_000_000  # prevents a flood of log lines while many upstreams fail
CLOSED_LIMIT_DIVISOR: Final = 4  # a limit below its initial value divided by this is logged as closed


class OutcomeRecorder:
    """Applies the outcome of an attempt to its endpoint and to the state shared by all endpoints."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        endpoint_list: EndpointList,
        overload: FleetOverload,
        response_times: ResponseTimes,
        shedder: LoadShedder,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        total_limiter: ConcurrencyLimiter,
    ) -> None:
        self.context = context
        self.pool = pool
        self.endpoint_list = endpoint_list
        self.overload = overload
        self.response_times = response_times
        self.shedder = shedder
        self.outliers = outliers
        self.slow_start = slow_start
        self.total_limiter = total_limiter
        self.next_log_us = context.now_us

    def record_outcome(
        self, attempt: Attempt, outcome: api.Outcome, elapsed_us: int, class_index: int
    ) -> None:
        """Apply the outcome of an attempt that took `elapsed_us`, for a request of class `class_index`."""
        endpoint = attempt.endpoint
        self.update_limits(attempt, outcome, elapsed_us, class_index)
        self.pause_limiters_below_one(endpoint, elapsed_us, class_index)
        self.outliers.limit_attempt_rate(endpoint, outcome)
        if attempt.was_warming and (outcome is api.Outcome.OK or outcome is api.Outcome.TIMEOUT):
            usual_us = self.response_times.smoothed_us[class_index]
            self.slow_start.record_response(elapsed_us / usual_us)
        self.outliers.update_probation(endpoint, outcome)
        self.pool.update(endpoint, self.context.now_us)
        self.endpoint_list.replace_if_degraded(endpoint)
        self.log_state(endpoint)

    def update_limits(
        self, attempt: Attempt, outcome: api.Outcome, elapsed_us: int, class_index: int
    ) -> None:
        """Adjust the limits by an attempt's load, and include its outcome and time in the averages."""
        endpoint = attempt.endpoint
        sidecar_share = INITIAL_SLOTS_PER_UPSTREAM / self.pool.sidecars_per_endpoint
        target = target_load(sidecar_share)
        load = self.attempt_load(attempt, outcome, elapsed_us, class_index)
        slow_us = self.response_times.half_objectives_us[class_index]
        need_ends_us = self.shedder.last_exhausted_us + int(NEED_FACTOR * slow_us * min(1.0, sidecar_share))
        is_needed = attempt.sent_us <= need_ends_us
        # a time-out does not lower the total limit: its answer may have been lost, and it has occupied a slot
        # for long already
        is_answer = outcome is api.Outcome.OK or outcome is api.Outcome.FULL
        if is_answer and endpoint.limiter.limit >= MIN_LIMIT_FOR_TOTAL:
            self.update_total_limit(load, target, is_needed, sidecar_share)
        self.outliers.record(endpoint, outcome)
        # an answer that is lost while later attempts are answered is no sign of load, and a lower limit would
        # only reject more requests
        is_lost = outcome is api.Outcome.TIMEOUT and self.outliers.is_likely_lost(attempt)
        if (outcome is api.Outcome.OK or outcome is api.Outcome.TIMEOUT) and not is_lost:
            endpoint.limiter.update_limit(load, target, is_needed, min(1.0, sidecar_share / 4), 1.0)
            self.response_times.observe(class_index, elapsed_us)
        elif self.halves_limit(endpoint, outcome, is_lost):
            endpoint.limiter.halve()

    def attempt_load(
        self, attempt: Attempt, outcome: api.Outcome, elapsed_us: int, class_index: int
    ) -> float:
        """Return an attempt's load: its time as a share of a slow answer's time, at most `MAX_ATTEMPT_LOAD`.

        A heavy request is slow without any overload, so a single answer changes a limit only slightly. A
        warming endpoint is slow because it warms up, and under the fleet's leases it cannot be overloaded:
        then its time is multiplied by its slow-start weight.
        """
        if outcome is not api.Outcome.OK:
            return MAX_ATTEMPT_LOAD
        weight = 1.0
        if attempt.was_warming and self.overload.current(self.context.now_us) is not None:
            weight = self.pool.slow_start_weight(attempt.endpoint, self.context.now_us)
        return min(
            MAX_ATTEMPT_LOAD, elapsed_us * weight / self.response_times.half_objectives_us[class_index]
        )

    def update_total_limit(self, load: float, target: float, is_needed: bool, sidecar_share: float) -> None:
        """Adjust the total limit after an answer.

        Many sidecars with little traffic can overload the upstreams together, while each sends too little to
        one endpoint to lower its limit. The total limit grows only if it is used: if it grew by quick answers
        while another limit (such as slow start) restricts the attempts, all of it would be used at once when
        that ends. TCP validates its congestion window in the same way (RFC 7661).
        """
        total = self.total_limiter
        floor = min(1.0, sidecar_share / 4 * len(self.pool.warm))
        is_used = is_needed and 2 * (total.in_flight + 1 + MAX_RESERVED_SLOTS) >= total.limit
        total.update_limit(load, target, is_used, floor, max(1.0, total.limit))

    def halves_limit(self, endpoint: Endpoint, outcome: api.Outcome, is_lost: bool) -> bool:
        """Whether a failed attempt halves its endpoint's limit.

        An endpoint that rejects requests or connections frees its slots at once and would attract ever more
        requests. Other failures count against outliers only: where all endpoints fail now and then, a lower
        limit after each failure would reject half of all requests.
        """
        if outcome is api.Outcome.FULL or outcome is api.Outcome.CONNECT_FAILED:
            return True
        return self.outliers.is_outlier(endpoint) and not is_lost

    def pause_limiters_below_one(self, endpoint: Endpoint, elapsed_us: int, class_index: int) -> None:
        """Pause limiters with a limit below 1, in proportion to the time that an attempt takes.

        Short pauses between answers that take seconds would leave an overloaded endpoint overloaded.
        """
        for limiter in (endpoint.limiter, self.total_limiter):
            if limiter.limit < 1.0:
                slow_us = self.response_times.half_objectives_us[class_index]
                usual_us = min(self.response_times.smoothed_us[class_index], slow_us)
                busy_us = max(usual_us, min(elapsed_us, 2 * slow_us))
                limiter.pause(self.context.now_us, busy_us, self.context.random.random())

    def log_state(self, endpoint: Endpoint) -> None:
        """Log that an endpoint is closed (its limit is low) or that its limit has reached its initial value.

        At most one line is logged per `MIN_LOG_INTERVAL_US`; a change that is not logged now is logged after
        a later attempt, if it lasts. Recordings store the text of both lines.
        """
        limiter = endpoint.limiter
        threshold = limiter.initial_limit
        if not endpoint.is_logged_closed:
            threshold /= CLOSED_LIMIT_DIVISOR
        is_closed = limiter.limit < threshold
        now_us = self.context.now_us
        if is_closed is endpoint.is_logged_closed or now_us < self.next_log_us:
            return
        self.next_log_us = now_us + MIN_LOG_INTERVAL_US
        endpoint.is_logged_closed = is_closed
        state = "rests" if is_closed else "is back"
        self.context.actions.append(api.Log(f"upstream {endpoint.entry.id} {state}"))
