"""Tracking of attempts: their start and end, and those whose response is presumed lost. No I/O."""

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

RESPONSE_TIME_SMOOTHING_ANSWERS: Final = 8  # answers over which an endpoint's response time is averaged
# multiple of its endpoint's response time after which an attempt may be presumed lost
LOST_ATTEMPT_FACTOR: Final = 3
# outcomes with a response from the upstream
ANSWERED_OUTCOMES: Final = (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL)


class AttemptTracker:
    """Starts attempts, counts those in flight, and passes their outcomes on."""

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
        self.peak_in_flight = 0  # maximum number of concurrent attempts since the last refresh

    def may_start(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the service rules and the endpoint's limit permit an attempt at this endpoint now."""
        return (
            self.retry_policy.may_attempt(request)
            and self.retry_policy.is_in_deduplication_group(request, endpoint)
            and self.pool.open_slots(endpoint, self.context.now_us) > 0
        )

    def start(self, request: Request, endpoint: Endpoint) -> None:
        """Start an attempt of a request at an endpoint, and schedule a check for when it is overdue."""
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
        attempt_timeout_us = self.response_times.attempt_timeout_us(request)
        timeout_us = request.effective_deadline_us - now_us
        if request.request_class.effect != "at_most_once":
            timeout_us = min(timeout_us, attempt_timeout_us)
        self.context.actions.append(api.Send(request.id, endpoint.entry.id, timeout_us, send_deadline_us))
        if attempt_timeout_us < timeout_us:
            self.wakeups.schedule(now_us + attempt_timeout_us, WakeupKind.ATTEMPT_OVERDUE, request.id)

    def end(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Record the outcome of an attempt; free its slot unless it was presumed lost before."""
        attempt.outcome = event.outcome
        endpoint = attempt.endpoint
        occupies_slot = not attempt.is_presumed_lost
        if occupies_slot:
            self.free_slot(attempt)
        if event.outcome in ANSWERED_OUTCOMES:
            endpoint.presumed_lost_count = 0
            endpoint.last_answered_send_us = max(endpoint.last_answered_send_us, attempt.sent_us)
            change_us = (event.elapsed_us - endpoint.response_time_us) / RESPONSE_TIME_SMOOTHING_ANSWERS
            endpoint.response_time_us += change_us
        if occupies_slot or event.outcome is api.Outcome.OK:
            self.recorder.record_outcome(attempt, event.outcome, event.elapsed_us, request.class_index)
        if event.report:
            self.prober.record_report(endpoint, event.report)
        if occupies_slot:
            self.endpoint_list.forget_if_unused(endpoint)

    def free_slot(self, attempt: Attempt) -> None:
        """Stop counting an attempt as in flight; the caller then updates the pool by `record_outcome`."""
        attempt.endpoint.limiter.in_flight -= 1
        self.total_limiter.in_flight -= 1

    def presume_lost(self, request: Request) -> None:
        """Free the slot of an overdue attempt if its response is presumed lost, or else check again later.

        Where a part of all responses is lost (on a network path, in a worker process, on hung connections),
        each lost one would occupy its slot until the deadline, and endpoints that answer other requests at
        once would be idle. The slots of an overloaded endpoint (its responses are slow) and of one that
        answers nothing stay occupied. The disadvantage: where some requests are much heavier than others,
        a heavy one may be presumed lost while it is still being served.
        """
        attempt = request.attempts[-1]
        if attempt.outcome is not None or attempt.is_presumed_lost or request.is_done:
            return  # the attempt has ended, its response is streaming, or the client has gone
        endpoint = attempt.endpoint
        now_us = self.context.now_us
        elapsed_us = now_us - attempt.sent_us
        attempt_timeout_us = self.response_times.attempt_timeout_us(request)
        remaining_us = (
            max(attempt_timeout_us, int(LOST_ATTEMPT_FACTOR * endpoint.response_time_us)) - elapsed_us
        )
        if remaining_us > 0 or not self.outliers.may_presume_lost(attempt):
            interval_us = self.response_times.half_objectives_us[request.class_index] // 4
            self.wakeups.schedule(
                now_us + max(remaining_us, interval_us), WakeupKind.ATTEMPT_OVERDUE, request.id
            )
            return
        attempt.is_presumed_lost = True
        endpoint.presumed_lost_count += 1
        self.free_slot(attempt)
        self.recorder.record_outcome(attempt, api.Outcome.TIMEOUT, elapsed_us, request.class_index)
        self.endpoint_list.forget_if_unused(endpoint)
