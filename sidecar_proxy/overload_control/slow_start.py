"""Reduces the quota in use while requests queue at upstreams in slow start."""

from __future__ import annotations

from collections.abc import Iterable

from sidecar_proxy.balancer import events as api

# The factor decreases while the response time, scaled to that of a warm upstream, is above this share of the
# slow latency. The concurrency limits of shared upstreams settle at the same share.
MAX_LATENCY_SHARE = 0.85
MIN_FACTOR = 0.55
DECREASE_FACTOR = 0.95  # multiplier for each update with a high latency
INCREASE_FACTOR = 1.05  # multiplier for each update with a low latency


def mean_slow_start_weight(upstreams: Iterable[api.Upstream], settings: api.Settings, now_us: int) -> float:
    """Returns the mean slow-start weight of the upstreams in slow start, or 1.0 if there is none.

    The weight of an upstream rises linearly from `cold_share` at its start to 1.0 after `warm_up_us`.
    """
    if not settings.warm_up_us:
        return 1.0
    ages_us = [now_us - upstream.started_us for upstream in upstreams if upstream.started_us]
    weights = [
        settings.cold_share + (1.0 - settings.cold_share) * max(0, age_us) / settings.warm_up_us
        for age_us in ages_us
        if age_us < settings.warm_up_us
    ]
    if not weights:
        return 1.0
    return sum(weights) / len(weights)


class SlowStartPacing:
    """The factor by which a sidecar scales its quota, below 1 while upstreams in slow start respond slowly.

    An upstream in slow start accepts more concurrent requests than it can process, increasingly so as it
    warms up, and the excess queues. Once slow start ends, the latency of that queue would count as that of a
    warm upstream, and would reduce the upstream's concurrency limit drastically.
    """

    def __init__(self, slow_latency_us: int) -> None:
        """`slow_latency_us` is the latency of a warm upstream that has a queue; 0 turns the pacing off."""
        self.slow_latency_us = slow_latency_us
        self.factor = 1.0

    def update(self, slow_start_weight: float, service_time_us: float) -> None:
        """Adjusts the factor to the mean slow-start weight (1.0: no slow start) and the mean service time."""
        if slow_start_weight >= 1.0 or not self.slow_latency_us:
            self.factor = 1.0
            return
        latency_share = service_time_us * slow_start_weight / self.slow_latency_us
        if latency_share > MAX_LATENCY_SHARE:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE_FACTOR)
        elif latency_share < MAX_LATENCY_SHARE / 2:
            self.factor = min(1.0, self.factor * INCREASE_FACTOR)
