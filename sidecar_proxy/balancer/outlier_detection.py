"""Outlier detection: failure rates, reports of other sidecars with probation, and lost answers. Pure.

A failing endpoint is never ejected for good: its limit falls, so that it is still tried now and then.
"""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.request import Attempt
from sidecar_proxy.balancer.response_times import ResponseTimes

FAILURE_SMOOTHING: Final = 16  # attempts over which an endpoint's failure rate is averaged
CONNECT_FAILURE_SMOOTHING: Final = 8  # the same of failed connects, over all endpoints
OUTLIER_FAILURE_RATE: Final = 0.2  # above twice the median's, from which an endpoint is an outlier
NEGLIGIBLE_FAILURE_RATE: Final = 1 / 1024  # counts as none
DEGRADED_FAILURE_RATE: Final = 0.5  # from which an endpoint of a large fleet gets a stand-in
DEGRADED_LIMIT: Final = 0.25  # slots below which it does
OWN_ANSWER_US: Final = 10_000_000  # an answer of its own outweighs other sidecars' reports for so long
MIN_REPORT_WEIGHT: Final = 0.6  # of reports, from which an endpoint is put on probation
MAX_PROBATION_LIMIT: Final = 1 / 8  # slots while on probation
TRIAL_INTERVAL_US: Final = 500_000  # between the trials of all sidecars together
MAX_TRIAL_INTERVAL_US: Final = 5_000_000  # of one sidecar; jitter adds half at most
QUICK_SHARE: Final = 0.49  # of a slow answer's time: endpoints that answer within it have spare capacity
MAX_PRESUMED_LOST: Final = 2  # attempts presumed lost without an answer since; a silent endpoint gets no more


def is_degraded(endpoint: Endpoint) -> bool:
    """Whether an endpoint fails half of its attempts, or has nearly no slots left."""
    return endpoint.failure_rate >= DEGRADED_FAILURE_RATE or endpoint.ordinary_limit() < DEGRADED_LIMIT


class OutlierDetector:
    """Judges endpoints by their own attempts and by what other sidecars report of them."""

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
        self.connect_failure_rate = 0.0  # share of all attempts that got no connection

    # Own attempts

    def record(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """Average an attempt's outcome into the failure rates."""
        if outcome is not api.Outcome.NOT_SENT:
            failed = 0.0 if outcome is api.Outcome.OK else 1.0
            rate = endpoint.failure_rate + (failed - endpoint.failure_rate) / FAILURE_SMOOTHING
            endpoint.failure_rate = rate if rate >= NEGLIGIBLE_FAILURE_RATE else 0.0
        connect_failed = 1.0 if outcome is api.Outcome.CONNECT_FAILED else 0.0
        self.connect_failure_rate += (connect_failed - self.connect_failure_rate) / CONNECT_FAILURE_SMOOTHING

    def is_outlier(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint fails far more than the median does.

        What fails alike everywhere is no endpoint's fault, and against the mean half of them could fail
        unnoticed.
        """
        if not len(self.pool.warm):
            return False
        return endpoint.failure_rate > OUTLIER_FAILURE_RATE + 2 * self.pool.failure_rate_quantile(2)

    def limit_attempt_rate(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """Pause a failing endpoint by the fleet's limit on attempts per second at each of these.

        The attempts of all sidecars together would otherwise hold a returning upstream down.
        """
        overload = self.overload.current(self.context.now_us)
        if overload is None or outcome is api.Outcome.OK or endpoint.failure_rate < DEGRADED_FAILURE_RATE:
            return
        if overload.attempts_per_s > 0.0:
            interval_us = min(1e6 / overload.attempts_per_s, MAX_TRIAL_INTERVAL_US)
            self.extend_pause(endpoint, interval_us)

    # Reports of other sidecars

    def on_report(self, endpoint: Endpoint, weight: float) -> None:
        """Apply what other sidecars say of an endpoint.

        A report makes the next send a trial after a random pause, so that all sidecars together try an
        endpoint about as often as one would. It never closes an endpoint for good and opens none: a trial's
        answer ends probation, and a sidecar with a recent answer of its own ignores reports.
        """
        if weight < MIN_REPORT_WEIGHT:
            self.reinstate(endpoint)
        elif endpoint.is_on_probation or self.has_recent_success(endpoint):
            return
        elif self.probation_count() < max(1, len(self.pool.warm) // 4):
            # what all see of all is no upstream's fault; with all on probation, none would be left
            endpoint.limit_before_probation = endpoint.limiter.limit
            endpoint.limiter.limit = min(endpoint.limiter.limit, MAX_PROBATION_LIMIT)
            self.pause_before_trial(endpoint)
            if self.context.settings.probes and self.overload.take_probe(self.context.now_us):
                self.context.actions.append(api.Probe(endpoint.entry.id))
        self.pool.update(endpoint, self.context.now_us)

    def has_recent_success(self, endpoint: Endpoint) -> bool:
        """Whether an attempt of this sidecar has lately ended well."""
        if not endpoint.last_success_us:
            return False
        return self.context.now_us - endpoint.last_success_us < OWN_ANSWER_US

    def probation_count(self) -> int:
        """Return how many endpoints are on probation."""
        return sum(endpoint.is_on_probation for endpoint in self.pool.endpoints.values())

    def pause_before_trial(self, endpoint: Endpoint) -> None:
        """Rest before the next trial, in proportion to the sidecars that share the endpoint."""
        interval_us = min(TRIAL_INTERVAL_US * self.pool.sidecars_per_endpoint, MAX_TRIAL_INTERVAL_US)
        self.extend_pause(endpoint, interval_us)

    def extend_pause(self, endpoint: Endpoint, interval_us: float) -> None:
        """Rest for the interval, half as long to half as long again."""
        pause_us = interval_us * (0.5 + self.context.random.random())
        endpoint.limiter.extend_pause(self.context.now_us + int(pause_us))

    def update_probation(self, endpoint: Endpoint, outcome: api.Outcome) -> None:
        """End probation after a success, or rest before the next trial."""
        if outcome is api.Outcome.OK:
            endpoint.last_success_us = self.context.now_us
            self.reinstate(endpoint)
        elif endpoint.is_on_probation:
            self.pause_before_trial(endpoint)

    def reinstate(self, endpoint: Endpoint) -> None:
        """End probation: the endpoint has its limit back, and no pause."""
        if endpoint.is_on_probation:
            endpoint.limiter.limit = max(endpoint.limiter.limit, endpoint.limit_before_probation)
            endpoint.limit_before_probation = 0.0
            endpoint.limiter.paused_until_us = self.context.now_us

    # Lost answers

    def is_quick(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's answers show spare capacity.

        Where answers are slow, what is in flight waits in a queue, and more would only lengthen it.
        """
        return endpoint.response_time_us <= QUICK_SHARE * self.response_times.min_half_objective_us

    def is_likely_lost(self, attempt: Attempt) -> bool:
        """Whether a quick endpoint has answered an attempt that was sent after this one."""
        endpoint = attempt.endpoint
        return self.is_quick(endpoint) and endpoint.last_answered_send_us > attempt.sent_us

    def may_presume_lost(self, attempt: Attempt) -> bool:
        """Whether an overdue attempt's slot may be freed: it is likely lost, or one of few such attempts."""
        endpoint = attempt.endpoint
        if (
            self.is_quick(endpoint)
            and endpoint.presumed_lost_count < MAX_PRESUMED_LOST
            and endpoint.failure_rate < DEGRADED_FAILURE_RATE
        ):
            return True
        return self.is_likely_lost(attempt)
