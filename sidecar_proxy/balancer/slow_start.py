"""Slow start: how much an upstream gets that has just started and is warming up (rule 4). Pure.

Of its weight only a lower bound is known. While warming endpoints answer sooner than the others they have
room and get more, until all take as long.
"""

from typing import Final

from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import FEW_SIDECARS_PER_ENDPOINT, EndpointPool
from sidecar_proxy.balancer.outlier_detection import OUTLIER_FAILURE_RATE
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.retry_policy import RetryPolicy

MAX_OVERLOAD_SHARE: Final = 0.8  # of the factor at which a cold upstream falls over; the rest is for chance
GAIN_SMOOTHING: Final = 8  # answers over which the gain moves by one
MAX_WARMING_FAILURE_RATE: Final = OUTLIER_FAILURE_RATE / 2
MAX_ALLOCATED_FAILURE_RATE: Final = 1 / 32  # one that a single failure passes


class SlowStart:
    """Gives warming endpoints their share of the sends."""

    def __init__(self, context: DecisionContext, pool: EndpointPool, retry_policy: RetryPolicy) -> None:
        self.context = context
        self.pool = pool
        self.retry_policy = retry_policy
        self.min_gain = min(1.0, context.settings.overload_factor / 4)
        self.max_gain = MAX_OVERLOAD_SHARE * context.settings.overload_factor
        self.gain = self.min_gain  # times its share by weight: what a warming endpoint gets
        self.gain_scale = 1.0  # and this part of that, where sidecars are many for their upstreams

    def record_response(self, relative_time: float) -> None:
        """Move the gain by an answer of a warming endpoint; `relative_time` is in usual response times.

        Their answers are few, so those of all count together. Without a warm endpoint to compare with, none
        counts.
        """
        gain = 0.0
        if len(self.pool.warm):
            gain = self.gain + (1.0 - min(2.0, relative_time)) / GAIN_SMOOTHING
        self.gain = max(self.min_gain, min(gain, self.max_gain))

    def choose(
        self, request: Request, warm_endpoint: Endpoint | None, group: list[Endpoint] | None
    ) -> Endpoint | None:
        """Return a warming endpoint in place of the warm one that was drawn, or that one.

        Of the sends for which warm endpoints have room (without warm ones: of arrivals) a warming one gets
        its share of capacity, times the gain. `group` is what rule 2 restricts the request to; None =
        nothing.
        """
        pool = self.pool
        rng = self.context.random
        now_us = self.context.now_us
        if warm_endpoint is None and (len(pool.warm) or pool.is_leased(now_us)):
            return self.choose_when_exhausted(request, group)
        warming = pool.warming_capacity(now_us)
        if len(pool.warm):
            others = pool.warm_weight
            gain = self.gain * self.gain_scale
        else:
            others = pool.warming_weight
            gain = self.min_gain * self.gain_scale
        if rng.random() * (others + warming) / gain >= warming:
            return warm_endpoint
        endpoint = pool.sample_warming(rng, now_us)
        if endpoint is None or pool.open_slots(endpoint, now_us) <= 0:
            return warm_endpoint
        if not self.retry_policy.is_in_deduplication_group(request, endpoint):
            return warm_endpoint
        return endpoint

    def choose_when_exhausted(self, request: Request, group: list[Endpoint] | None) -> Endpoint | None:
        """Return a warming endpoint while no warm one has a free slot, or None.

        Hundreds of sidecars keep to the slots allocated to them; otherwise all would fall on the warming
        ones. One send from each of a few sidecars cannot overload an endpoint, unless it fails at once.
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

        Where warm endpoints are overloaded or reject, their slots and the total limit close; warming ones
        beside them would stand idle.
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
