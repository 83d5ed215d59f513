"""Limits the quota that is spent at upstreams in slow start while their responses queue."""

from __future__ import annotations

from collections.abc import Iterable

from sidecar_proxy.balancer import events as api

FULL_LATENCY_SHARE = 0.85  # of the slow latency, as the concurrency limit of warm upstreams allows
MIN_FACTOR = 0.55
DECREASE = 0.95  # at each update
INCREASE = 1.05


def mean_slow_start_weight(upstreams: Iterable[api.Upstream], settings: api.Settings, now_us: int) -> float:
    """Returns the mean slow-start weight of the upstreams in slow start, 1.0 if there is none."""
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
    """The factor of its quota that a sidecar uses, below 1 while upstreams in slow start respond slowly.

    An upstream in slow start accepts more concurrent requests than it works on, and more so as it warms up.
    The latency of that queue would count as a warm upstream's from the moment that the slow start ends, and
    would close its concurrency limit.
    """

    def __init__(self, slow_latency_us: int) -> None:
        """`slow_latency_us`: the latency of a warm upstream that has a queue; 0 turns the pacing off."""
        self.slow_latency_us = slow_latency_us
        self.factor = 1.0

    def update(self, slow_start_weight: float, service_time_us: float) -> None:
        """Takes in the mean slow-start weight (1.0: none is in slow start) and the mean service time."""
        if slow_start_weight >= 1.0 or not self.slow_latency_us:
            self.factor = 1.0
            return
        latency_share = service_time_us * slow_start_weight / self.slow_latency_us
        if latency_share > FULL_LATENCY_SHARE:
            self.factor = max(MIN_FACTOR, self.factor * DECREASE)
        elif latency_share < FULL_LATENCY_SHARE / 2:
            self.factor = min(1.0, self.factor * INCREASE)
