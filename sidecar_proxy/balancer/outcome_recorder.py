"""What the end of an attempt changes: limits, failure rates, slow start, probation. Pure but for jitter."""

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

MAX_LOAD: Final = 2.0  # of one attempt, in slow answers' times; failures count as much
NEED_FACTOR: Final = 4  # slow answers' times for which slots go on opening after capacity was exhausted
MIN_JUDGED_LIMIT: Final = 0.5  # attempts at endpoints with less say nothing of the total limit
MIN_LOG_INTERVAL_US: Final = 1_000_000  # between log lines, so that a bad day does not flood the log
CLOSED_LOG_SHARE: Final = 4  # an endpoint is logged as closed below this part of its initial limit


class OutcomeRecorder:
    """Applies the outcomes of attempts to the endpoint and to what holds for all endpoints together."""

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
        """Apply the end of an attempt that took `elapsed_us`, of a request of this class."""
        endpoint = attempt.endpoint
        self.update_limits(attempt, outcome, elapsed_us, class_index)
        self.pause_closed_limiters(endpoint, elapsed_us, class_index)
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
        """Move the limits by an attempt's load, and average its outcome and time in."""
        endpoint = attempt.endpoint
        sidecar_share = INITIAL_SLOTS_PER_UPSTREAM / self.pool.sidecars_per_endpoint
        target = target_load(sidecar_share)
        load = self.attempt_load(attempt, outcome, elapsed_us, class_index)
        slow_us = self.response_times.half_objectives_us[class_index]
        need_ends_us = self.shedder.last_exhausted_us + int(NEED_FACTOR * slow_us * min(1.0, sidecar_share))
        is_needed = attempt.sent_us <= need_ends_us
        # silence says nothing of all endpoints together: it may be a lost answer, and holds its slot long
        # enough
        is_answer = outcome is api.Outcome.OK or outcome is api.Outcome.FULL
        if is_answer and endpoint.limiter.limit >= MIN_JUDGED_LIMIT:
            self.update_total_limit(load, target, is_needed, sidecar_share)
        self.outliers.record(endpoint, outcome)
        # where later answers come, a lost one is no sign of load, and closing slots for it would only
        # reject more
        is_lost = outcome is api.Outcome.TIMEOUT and self.outliers.is_likely_lost(attempt)
        if (outcome is api.Outcome.OK or outcome is api.Outcome.TIMEOUT) and not is_lost:
            endpoint.limiter.update_limit(load, target, is_needed, min(1.0, sidecar_share / 4), 1.0)
            self.response_times.observe(class_index, elapsed_us)
        elif self.closes_slots(endpoint, outcome, is_lost):
            endpoint.limiter.halve()

    def attempt_load(
        self, attempt: Attempt, outcome: api.Outcome, elapsed_us: int, class_index: int
    ) -> float:
        """Return an attempt's time as a share of a slow answer's.

        A heavy request is slow by itself, so each answer moves a limit only a little. A warming endpoint is
        slow by nature, and under the fleet's leases it cannot be overloaded: there its time counts by its
        weight.
        """
        if outcome is not api.Outcome.OK:
            return MAX_LOAD
        weight = 1.0
        if attempt.was_warming and self.overload.current(self.context.now_us) is not None:
            weight = self.pool.slow_start_weight(attempt.endpoint, self.context.now_us)
        return min(MAX_LOAD, elapsed_us * weight / self.response_times.half_objectives_us[class_index])

    def update_total_limit(self, load: float, target: float, is_needed: bool, sidecar_share: float) -> None:
        """Move the total limit by an answer.

        Small sidecars overload the fleet together, each too seldom at one endpoint to learn it there. The
        limit grows only if it is used: opened by quick answers while something else holds sends back (slow
        start does), it would be used all at once when that ends. TCP validates its window alike (RFC 7661).
        """
        total = self.total_limiter
        floor = min(1.0, sidecar_share / 4 * len(self.pool.warm))
        is_used = is_needed and 2 * (total.in_flight + 1 + MAX_RESERVED_SLOTS) >= total.limit
        total.update_limit(load, target, is_used, floor, max(1.0, total.limit))

    def closes_slots(self, endpoint: Endpoint, outcome: api.Outcome, is_lost: bool) -> bool:
        """Whether a failed attempt halves its endpoint's limit.

        What fails at once frees its slot at once and would draw ever more requests. Other failures count
        against outliers alone: where all fail now and then, closing slots for each failure rejects half of
        all requests.
        """
        if outcome is api.Outcome.FULL or outcome is api.Outcome.CONNECT_FAILED:
            return True
        return self.outliers.is_outlier(endpoint) and not is_lost

    def pause_closed_limiters(self, endpoint: Endpoint, elapsed_us: int, class_index: int) -> None:
        """Pause limiters that are below one slot, by the time that an attempt takes.

        Beside answers of seconds, short pauses would leave an overloaded endpoint overloaded.
        """
        for limiter in (endpoint.limiter, self.total_limiter):
            if limiter.limit < 1.0:
                slow_us = self.response_times.half_objectives_us[class_index]
                usual_us = min(self.response_times.smoothed_us[class_index], slow_us)
                busy_us = max(usual_us, min(elapsed_us, 2 * slow_us))
                limiter.pause(self.context.now_us, busy_us, self.context.random.random())

    def log_state(self, endpoint: Endpoint) -> None:
        """Log that an endpoint is closed or open again; if a line was just logged, later, if it lasts."""
        limiter = endpoint.limiter
        threshold = limiter.initial_limit
        if not endpoint.is_logged_closed:
            threshold /= CLOSED_LOG_SHARE
        is_closed = limiter.limit < threshold
        now_us = self.context.now_us
        if is_closed is endpoint.is_logged_closed or now_us < self.next_log_us:
            return
        self.next_log_us = now_us + MIN_LOG_INTERVAL_US
        endpoint.is_logged_closed = is_closed
        state = "rests" if is_closed else "is back"
        self.context.actions.append(api.Log(f"upstream {endpoint.entry.id} {state}"))
