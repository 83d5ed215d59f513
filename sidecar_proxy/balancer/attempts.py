"""The start and the end of attempts, and those that are presumed lost. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_list import EndpointList
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.load_probes import LoadProber
from sidecar_proxy.balancer.outcome_recorder import OutcomeRecorder
from sidecar_proxy.balancer.outlier_detection import OutlierDetector
from sidecar_proxy.balancer.request import Attempt, Request
from sidecar_proxy.balancer.response_times import ResponseTimes
from sidecar_proxy.balancer.retry_policy import RetryPolicy
from sidecar_proxy.balancer.wakeups import WakeupKind, Wakeups

RESPONSE_TIME_SMOOTHING: Final = 8  # answers over which an endpoint's response time is averaged
LOST_ATTEMPT_FACTOR: Final = 3  # times its endpoint's response time, from which an attempt may be lost
ANSWERED_OUTCOMES: Final = (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL)


class AttemptTracker:
    """Counts attempts in flight, and reports their outcomes."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        endpoint_list: EndpointList,
        retry_policy: RetryPolicy,
        response_times: ResponseTimes,
        outliers: OutlierDetector,
        prober: LoadProber,
        recorder: OutcomeRecorder,
        total_limiter: ConcurrencyLimiter,
        wakeups: Wakeups,
    ) -> None:
        self.context = context
        self.pool = pool
        self.endpoint_list = endpoint_list
        self.retry_policy = retry_policy
        self.response_times = response_times
        self.outliers = outliers
        self.prober = prober
        self.recorder = recorder
        self.total_limiter = total_limiter
        self.wakeups = wakeups
        self.peak_in_flight = 0  # attempts in flight together since the order was last refreshed

    def may_start(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an attempt at this endpoint breaks no rule."""
        return (
            self.retry_policy.may_attempt(request)
            and self.retry_policy.is_in_deduplication_group(request, endpoint)
            and self.pool.open_slots(endpoint, self.context.now_us) > 0
        )

    def start(self, request: Request, endpoint: Endpoint) -> None:
        """Send a request to an endpoint."""
        now_us = self.context.now_us
        send_deadline_us = self.retry_policy.send_deadline_us(request)
        was_warming = endpoint.index is self.pool.warming
        request.attempts.append(Attempt(endpoint, now_us, was_warming))
        self.pool.endpoints.setdefault(endpoint.entry.id, endpoint)
        endpoint.limiter.in_flight += 1
        self.total_limiter.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.total_limiter.in_flight)
        self.pool.update(endpoint, now_us)
        if endpoint.load is not None:
            endpoint.load += 1.0
        usual_us = self.response_times.attempt_timeout_us(request)
        timeout_us = request.effective_deadline_us - now_us
        if request.request_class.effect != "at_most_once":
            timeout_us = min(timeout_us, usual_us)
        self.context.actions.append(api.Send(request.id, endpoint.entry.id, timeout_us, send_deadline_us))
        if usual_us < timeout_us:
            self.wakeups.schedule(now_us + usual_us, WakeupKind.ATTEMPT_OVERDUE, request.id)

    def end(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Record the outcome of an attempt, and free its slot unless that was done before."""
        attempt.outcome = event.outcome
        endpoint = attempt.endpoint
        holds_slot = not attempt.is_presumed_lost
        if holds_slot:
            self.free_slot(attempt)
        if event.outcome in ANSWERED_OUTCOMES:
            endpoint.presumed_lost = 0
            endpoint.last_answered_send_us = max(endpoint.last_answered_send_us, attempt.sent_us)
            change_us = (event.elapsed_us - endpoint.response_time_us) / RESPONSE_TIME_SMOOTHING
            endpoint.response_time_us += change_us
        if holds_slot or event.outcome is api.Outcome.OK:
            self.recorder.record_outcome(attempt, event.outcome, event.elapsed_us, request.class_index)
        if event.report:
            self.prober.record_report(endpoint, event.report)
        if holds_slot:
            self.endpoint_list.release(endpoint)

    def free_slot(self, attempt: Attempt) -> None:
        """Count an attempt as in flight no more; `record_outcome`, which follows, updates the pool."""
        attempt.endpoint.limiter.in_flight -= 1
        self.total_limiter.in_flight -= 1

    def presume_lost(self, request: Request) -> None:
        """Free the slot of an overdue attempt if its answer is presumed lost; else look again later.

        Where a part of all answers is lost (on a path, in a worker, on connections that hang), each would
        hold its slot until due, and endpoints that answer the others at once would stand idle. An
        overloaded endpoint (what it answers is slow) and a silent one keep their slots taken. The price is
        paid where some requests are much heavier than the others.
        """
        attempt = request.attempts[-1]
        if attempt.outcome is not None or attempt.is_presumed_lost or request.is_done:
            return  # ended, or its answer streams, or nobody waits for it
        endpoint = attempt.endpoint
        now_us = self.context.now_us
        elapsed_us = now_us - attempt.sent_us
        usual_us = self.response_times.attempt_timeout_us(request)
        remaining_us = max(usual_us, int(LOST_ATTEMPT_FACTOR * endpoint.response_time_us)) - elapsed_us
        if remaining_us > 0 or not self.outliers.may_presume_lost(attempt):
            interval_us = self.response_times.half_objectives_us[request.class_index] // 4
            self.wakeups.schedule(
                now_us + max(remaining_us, interval_us), WakeupKind.ATTEMPT_OVERDUE, request.id
            )
            return
        attempt.is_presumed_lost = True
        endpoint.presumed_lost += 1
        self.free_slot(attempt)
        self.recorder.record_outcome(attempt, api.Outcome.TIMEOUT, elapsed_us, request.class_index)
        self.endpoint_list.release(endpoint)
