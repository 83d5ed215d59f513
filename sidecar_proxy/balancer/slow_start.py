"""Slow start: the share of requests sent to upstreams that have just started and are warming up (rule 4).

Only a lower bound of a warming endpoint's capacity is known. While warming endpoints answer faster than warm
ones they have spare capacity, and their share grows until the response times are equal. Pure.
"""

from typing import Final

from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import FEW_SIDECARS_PER_ENDPOINT, EndpointPool
from sidecar_proxy.balancer.outlier_detection import OUTLIER_FAILURE_RATE
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.retry_policy import RetryPolicy

# maximum gain as a share of the overload factor of a cold upstream; leaves a margin for bursts
MAX_OVERLOAD_SHARE: Final = 0.8
GAIN_SMOOTHING_ANSWERS: Final = 8  # number of answers that change the gain by at most one
# maximum failure rate of a warming endpoint that is chosen while no warm endpoint is open
MAX_WARMING_FAILURE_RATE: Final = OUTLIER_FAILURE_RATE / 2
# maximum failure rate of an endpoint chosen for its allocated slot; one recent failure exceeds it
MAX_ALLOCATED_FAILURE_RATE: Final = 1 / 32


class SlowStart:
    """Chooses when a request goes to a warming endpoint, and to which."""

    def __init__(self, context: DecisionContext, pool: EndpointPool, retry_policy: RetryPolicy) -> None:
        self.context = context
        self.pool = pool
        self.retry_policy = retry_policy
        self.min_gain = min(1.0, context.settings.overload_factor / 4)
        self.max_gain = MAX_OVERLOAD_SHARE * context.settings.overload_factor
        self.gain = self.min_gain  # ratio of a warming endpoint's share of requests to its share of capacity
        self.gain_scale = 1.0  # reduces the gain where there are many sidecars per upstream

    def record_response(self, relative_time: float) -> None:
        """Adjust the gain after an answer of a warming endpoint.

        `relative_time` is the answer's time as a multiple of the usual response time. Each warming endpoint
        gives few answers, so one gain is kept for all. Without a warm endpoint to compare with, the gain is
        at its minimum.
        """
        gain = 0.0
        if len(self.pool.warm):
            gain = self.gain + (1.0 - min(2.0, relative_time)) / GAIN_SMOOTHING_ANSWERS
        self.gain = max(self.min_gain, min(gain, self.max_gain))

    def choose(
        self, request: Request, warm_endpoint: Endpoint | None, group: list[Endpoint] | None
    ) -> Endpoint | None:
        """Return a warming endpoint instead of the warm one that was drawn, or that one.

        Warming endpoints get their share of capacity, times the gain, of the requests for which a warm
        endpoint has a free slot, or of all arrivals if there are no warm endpoints. `group` is the list of
        endpoints that rule 2 restricts the request to; None = no restriction.
        """
        pool = self.pool
        rng = self.context.random
        now_us = self.context.now_us
        if warm_endpoint is None and (len(pool.warm) or pool.is_leased(now_us)):
            return self.choose_when_exhausted(request, group)
        warming_capacity = pool.warming_capacity(now_us)
        if len(pool.warm):
            base_weight = pool.warm_weight
            gain = self.gain * self.gain_scale
        else:
            base_weight = pool.warming_weight
            gain = self.min_gain * self.gain_scale
        if rng.random() * (base_weight + warming_capacity) / gain >= warming_capacity:
            return warm_endpoint
        endpoint = pool.sample_warming(rng, now_us)
        if endpoint is None or pool.open_slots(endpoint, now_us) <= 0:
            return warm_endpoint
        if not self.retry_policy.is_in_deduplication_group(request, endpoint):
            return warm_endpoint
        return endpoint

    def choose_when_exhausted(self, request: Request, group: list[Endpoint] | None) -> Endpoint | None:
        """Return a warming endpoint while no warm one has a free slot, or None.

        Many sidecars use only the slots allocated to them; otherwise all together would overload the warming
        endpoints. One attempt from each of a few sidecars cannot overload an endpoint, unless it fails at
        once and draws further attempts.
        """
        pool = self.pool
        now_us = self.context.now_us
        if pool.sidecars_per_endpoint > FEW_SIDECARS_PER_ENDPOINT or pool.is_leased(now_us):
            return self.choose_allocated(request)
        if group is None:
            return pool.warming.sample_uniform(self.context.random, MAX_WARMING_FAILURE_RATE)
        candidates = [
            endpoint
            for endpoint in group
            if endpoint.index is pool.warming
            and endpoint.failure_rate <= MAX_WARMING_FAILURE_RATE
            and pool.open_slots(endpoint, now_us) > 0
        ]
        return self.context.random.choice(candidates) if candidates else None

    def choose_allocated(self, request: Request) -> Endpoint | None:
        """Return a warming endpoint with a slot allocated to this sidecar, or None.

        Where warm endpoints are overloaded or reject requests, their limits and the total limit fall; without
        allocated slots, the warming endpoints would stay idle.
        """
        pool = self.pool
        now_us = self.context.now_us
        if not len(pool.warm) and not pool.is_leased(now_us):
            return None
        tried = request.tried_endpoints()
        endpoint = pool.sample_allocated(self.context.random, tried, MAX_ALLOCATED_FAILURE_RATE, now_us)
        if endpoint is None or not self.retry_policy.is_in_deduplication_group(request, endpoint):
            return None
        return endpoint
