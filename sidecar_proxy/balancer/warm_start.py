"""Warm-start state: limits and response times that a sidecar's process passes on to the next one. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import MAX_LIMIT_GROWTH, ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.response_times import ResponseTimes

MIN_IMPORTED_LIMIT: Final = 1 / 8  # minimum limit that imported state sets for an upstream
MIN_IMPORTED_TOTAL_RATIO: Final = 0.5  # minimum imported ratio of the total limit to its initial value


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
        """Return the smoothed response times, limits and failure rates that this process has measured."""
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
        """Start from another process's state, except for upstreams that this process has results of.

        Limits are scaled up so that the median upstream starts with at least one slot: low limits at most
        upstreams are no fault of one upstream, and their cause may be over.
        """
        limits = sorted(max(upstream.concurrency_limit, MIN_IMPORTED_LIMIT) for upstream in state.upstreams)
        scale = 1.0
        if limits:
            scale = max(1.0, 1.0 / limits[len(limits) // 2])
        smoothed_us = self.response_times.smoothed_us
        for class_index, response_time_us in enumerate(state.response_times_us[: len(smoothed_us)]):
            if response_time_us:
                smoothed_us[class_index] = response_time_us
        total_limiter = self.total_limiter
        total_ratio = min(max(state.total_limit_ratio, MIN_IMPORTED_TOTAL_RATIO), MAX_LIMIT_GROWTH)
        total_limiter.limit = total_ratio * total_limiter.initial_limit
        for upstream in state.upstreams:
            endpoint = self.pool.endpoints.get(upstream.upstream)
            if endpoint is None or endpoint.last_answered_send_us > 0 or endpoint.failure_rate > 0.0:
                continue
            self.import_upstream(endpoint, upstream, scale)

    def import_upstream(self, endpoint: Endpoint, state: api.WarmStartUpstream, scale: float) -> None:
        """Start from another process's results of one upstream.

        A pause starts anew; otherwise each new process would try all failing upstreams at once.
        """
        limiter = endpoint.limiter
        limit = max(state.concurrency_limit, MIN_IMPORTED_LIMIT) * scale
        limiter.limit = min(limit, MAX_LIMIT_GROWTH * limiter.initial_limit)
        endpoint.failure_rate = min(max(state.failure_rate, 0.0), 1.0)
        endpoint.response_time_us = max(state.response_time_us, 0.0)
        busy_us = self.response_times.min_half_objective_us / 4
        limiter.pause(self.context.now_us, busy_us, self.context.random.random())
        self.pool.update(endpoint, self.context.now_us)
