"""Outlier detection: failure rates, probation after reports of other sidecars, and lost answers. Pure.

A failing endpoint is never ejected completely: its limit falls below 1, and it is still tried now and then.
"""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.request import Attempt
from sidecar_proxy.balancer.response_times import ResponseTimes

FAILURE_SMOOTHING_ATTEMPTS: Final = 16  # attempts over which an endpoint's failure rate is averaged
# attempts at all endpoints over which the rate of failed connects is averaged
CONNECT_SMOOTHING_ATTEMPTS: Final = 8
OUTLIER_FAILURE_RATE: Final = 0.2  # an outlier's failure rate exceeds twice the median rate by more than this
NEGLIGIBLE_FAILURE_RATE: Final = 1 / 1024  # a lower failure rate is set to 0
DEGRADED_FAILURE_RATE: Final = 0.5  # an endpoint with this failure rate or more is degraded
DEGRADED_LIMIT: Final = 0.25  # an endpoint with a lower concurrency limit is degraded
RECENT_SUCCESS_US: Final = 10_000_000  # reports are ignored for this long after a success of this sidecar
MIN_REPORT_WEIGHT: Final = 0.6  # minimum weight of a report that puts an endpoint on probation
MAX_PROBATION_LIMIT: Final = 1 / 8  # maximum concurrency limit while on probation
FLEET_TRIAL_INTERVAL_US: Final = 500_000  # mean interval between trials of all sidecars together
# maximum interval between trials of one sidecar, before jitter of at most half
MAX_TRIAL_INTERVAL_US: Final = 5_000_000
# share of a slow answer's time; endpoints that answer faster have spare capacity
SPARE_CAPACITY_TIME_SHARE: Final = 0.49
# maximum number of attempts presumed lost at an endpoint since its last answer; bounds the attempts at an
# unresponsive endpoint
MAX_PRESUMED_LOST: Final = 2


def is_degraded(endpoint: Endpoint) -> bool:
    """Whether an endpoint fails half of its attempts, or has a limit of nearly 0; a subset replaces it."""
    return endpoint.failure_rate >= DEGRADED_FAILURE_RATE or endpoint.ordinary_limit() < DEGRADED_LIMIT


class OutlierDetector:
    """Detects failing endpoints by this sidecar's attempts and by reports of other sidecars."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        overload: FleetOverload,
        response_times: ResponseTimes,
    ) -> None:
        self.context = context
        self.pool = pool
        self.overload = overload
        self.response_times = response_times
        self.connect_failure_rate = 0.0  # share of recent attempts at all endpoints without a connection

    # Own attempts

    def record(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """Include an attempt's outcome in the failure rates."""
        if outcome is not api.Outcome.NOT_SENT:
            failure = 0.0 if outcome is api.Outcome.OK else 1.0
            rate = endpoint.failure_rate + (failure - endpoint.failure_rate) / FAILURE_SMOOTHING_ATTEMPTS
            endpoint.failure_rate = rate if rate >= NEGLIGIBLE_FAILURE_RATE else 0.0
        connect_failure = 1.0 if outcome is api.Outcome.CONNECT_FAILED else 0.0
        self.connect_failure_rate += (
            connect_failure - self.connect_failure_rate
        ) / CONNECT_SMOOTHING_ATTEMPTS

    def is_outlier(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's failure rate is far above the median.

        A failure rate common to all endpoints is no endpoint's fault. Compared with the mean instead of the
        median, half of the endpoints could fail unnoticed.
        """
        if not len(self.pool.warm):
            return False
        return endpoint.failure_rate > OUTLIER_FAILURE_RATE + 2 * self.pool.failure_rate_quantile(2)

    def limit_attempt_rate(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """Pause a failing endpoint to keep the fleet's limit on attempts per second at each failing upstream.

        Without it, the attempts of all sidecars together could overload a recovering upstream again.
        """
        overload = self.overload.current(self.context.now_us)
        if overload is None or outcome is api.Outcome.OK or endpoint.failure_rate < DEGRADED_FAILURE_RATE:
            return
        if overload.attempts_per_s > 0.0:
            interval_us = min(1e6 / overload.attempts_per_s, MAX_TRIAL_INTERVAL_US)
            self.extend_pause(endpoint, interval_us)

    # Reports of other sidecars

    def on_report(self, endpoint: Endpoint, weight: float) -> None:
        """Apply a report of other sidecars on an endpoint.

        A report makes the next attempt a trial after a random pause, so that all sidecars together try an
        endpoint about as often as one sidecar would. It neither closes an endpoint for good nor raises its
        limit: a successful trial ends probation, and a sidecar with a recent success of its own ignores
        reports.
        """
        if weight < MIN_REPORT_WEIGHT:
            self.end_probation(endpoint)
        elif endpoint.is_on_probation or self.has_recent_success(endpoint):
            return
        elif self.count_on_probation() < max(1, len(self.pool.warm) // 4):
            # reports on most endpoints have a common cause, and with all on probation none would be usable
            endpoint.limit_before_probation = endpoint.limiter.limit
            endpoint.limiter.limit = min(endpoint.limiter.limit, MAX_PROBATION_LIMIT)
            self.pause_before_trial(endpoint)
            if self.context.settings.probes and self.overload.take_probe(self.context.now_us):
                self.context.actions.append(api.Probe(endpoint.entry.id))
        self.pool.update(endpoint, self.context.now_us)

    def has_recent_success(self, endpoint: Endpoint) -> bool:
        """Whether an attempt of this sidecar has recently succeeded."""
        if not endpoint.last_success_us:
            return False
        return self.context.now_us - endpoint.last_success_us < RECENT_SUCCESS_US

    def count_on_probation(self) -> int:
        """Return how many endpoints are on probation."""
        return sum(endpoint.is_on_probation for endpoint in self.pool.endpoints.values())

    def pause_before_trial(self, endpoint: Endpoint) -> None:
        """Pause before the next trial, in proportion to the number of sidecars that share the endpoint."""
        interval_us = min(FLEET_TRIAL_INTERVAL_US * self.pool.sidecars_per_endpoint, MAX_TRIAL_INTERVAL_US)
        self.extend_pause(endpoint, interval_us)

    def extend_pause(self, endpoint: Endpoint, interval_us: float) -> None:
        """Extend the pause to the interval with jitter, from half of it to one and a half times."""
        pause_us = interval_us * (0.5 + self.context.random.random())
        endpoint.limiter.extend_pause(self.context.now_us + int(pause_us))

    def update_probation(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """End probation after a success, or pause before the next trial after a failure."""
        if outcome is api.Outcome.OK:
            endpoint.last_success_us = self.context.now_us
            self.end_probation(endpoint)
        elif endpoint.is_on_probation:
            self.pause_before_trial(endpoint)

    def end_probation(self, endpoint: Endpoint) -> None:
        """Restore the limit from before probation, and end the pause."""
        if endpoint.is_on_probation:
            endpoint.limiter.limit = max(endpoint.limiter.limit, endpoint.limit_before_probation)
            endpoint.limit_before_probation = 0.0
            endpoint.limiter.paused_until_us = self.context.now_us

    # Lost answers

    def has_spare_capacity(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint answers so fast that it has spare capacity.

        Where answers are slow, attempts in flight wait in a queue, and further ones would only lengthen it.
        """
        return (
            endpoint.response_time_us <= SPARE_CAPACITY_TIME_SHARE * self.response_times.min_half_objective_us
        )

    def is_likely_lost(self, attempt: Attempt) -> bool:
        """Whether an endpoint with spare capacity has answered an attempt that was sent after this one."""
        endpoint = attempt.endpoint
        return self.has_spare_capacity(endpoint) and endpoint.last_answered_send_us > attempt.sent_us

    def may_presume_lost(self, attempt: Attempt) -> bool:
        """Whether an overdue attempt's slot may be freed.

        It may if its answer is likely lost, or if its endpoint has spare capacity, seldom fails, and has few
        attempts that are presumed lost.
        """
        endpoint = attempt.endpoint
        if (
            self.has_spare_capacity(endpoint)
            and endpoint.presumed_lost_count < MAX_PRESUMED_LOST
            and endpoint.failure_rate < DEGRADED_FAILURE_RATE
        ):
            return True
        return self.is_likely_lost(attempt)
