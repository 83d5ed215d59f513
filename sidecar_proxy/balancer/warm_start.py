"""Warm-start state: what the next process of this sidecar may begin with, in place of first guesses. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import MAX_LIMIT_GROWTH, ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.response_times import ResponseTimes

MIN_IMPORTED_LIMIT: Final = 1 / 8  # another process's state closes an upstream to no less
MIN_IMPORTED_TOTAL_RATIO: Final = 0.5


class WarmStart:
    """Exports and imports warm-start state."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        response_times: ResponseTimes,
        total_limiter: ConcurrencyLimiter,
    ) -> None:
        self.context = context
        self.pool = pool
        self.response_times = response_times
        self.total_limiter = total_limiter

    def export_state(self) -> api.WarmStartState:
        """Return what this process has seen."""
        upstreams = [
            api.WarmStartUpstream(
                endpoint.entry.id,
                endpoint.ordinary_limit(),
                endpoint.failure_rate,
                endpoint.response_time_us,
            )
            for endpoint in self.pool.endpoints.values()
            if endpoint.last_answered_send_us > 0 or endpoint.failure_rate > 0.0
        ]
        total_ratio = self.total_limiter.limit / self.total_limiter.initial_limit
        return api.WarmStartState(list(self.response_times.smoothed_us), total_ratio, upstreams)

    def import_state(self, state: api.WarmStartState) -> None:
        """Begin with another process's state, but for what this process has seen itself.

        Limits are scaled so that the median upstream begins with a slot: what is alike everywhere is no
        upstream's fault, and may be over.
        """
        limits = sorted(max(upstream.concurrency_limit, MIN_IMPORTED_LIMIT) for upstream in state.upstreams)
        scale = 1.0
        if limits:
            scale = max(1.0, 1.0 / limits[len(limits) // 2])
        smoothed_us = self.response_times.smoothed_us
        for class_index, response_time_us in enumerate(state.response_times_us[: len(smoothed_us)]):
            if response_time_us:
                smoothed_us[class_index] = response_time_us
        total = self.total_limiter
        ratio = min(max(state.total_limit_ratio, MIN_IMPORTED_TOTAL_RATIO), MAX_LIMIT_GROWTH)
        total.limit = ratio * total.initial_limit
        for upstream in state.upstreams:
            endpoint = self.pool.endpoints.get(upstream.upstream)
            if endpoint is None or endpoint.last_answered_send_us > 0 or endpoint.failure_rate > 0.0:
                continue
            self.import_upstream(endpoint, upstream, scale)

    def import_upstream(self, endpoint: Endpoint, state: api.WarmStartUpstream, scale: float) -> None:
        """Begin with what another process has seen of one upstream.

        A pause begins anew; otherwise each process that starts would try the failing upstreams at once.
        """
        limiter = endpoint.limiter
        limit = max(state.concurrency_limit, MIN_IMPORTED_LIMIT) * scale
        limiter.limit = min(limit, MAX_LIMIT_GROWTH * limiter.initial_limit)
        endpoint.failure_rate = min(max(state.failure_rate, 0.0), 1.0)
        endpoint.response_time_us = max(state.response_time_us, 0.0)
        busy_us = self.response_times.min_half_objective_us / 4
        limiter.pause(self.context.now_us, busy_us, self.context.random.random())
        self.pool.update(endpoint, self.context.now_us)
