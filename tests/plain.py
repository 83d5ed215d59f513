"""Plain scans of a complete pool: what the index must agree with. As slow as they are short."""

from __future__ import annotations

import math
from collections import Counter

from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import FEW_SIDECARS_PER_ENDPOINT, EndpointPool
from sidecar_proxy.balancer.events import UpstreamState

ASKED = 3


def ready(pool: EndpointPool) -> list[Endpoint]:
    return [endpoint for endpoint in pool.endpoints.values() if endpoint.entry.state is UpstreamState.READY]


def free(pool: EndpointPool, endpoint: Endpoint, now_us: int) -> int:
    limiter = endpoint.limiter
    count = int(limiter.limit) if limiter.limit >= 1.0 else int(now_us >= limiter.paused_until_us)
    count -= limiter.in_flight
    return count if is_warm(pool, endpoint, now_us) else min(count, 1 - limiter.in_flight)


def is_warm(pool: EndpointPool, endpoint: Endpoint, now_us: int) -> bool:
    started = endpoint.entry.started_us
    return started == 0 or now_us - started >= pool.settings.warm_up_us


def in_order(pool: EndpointPool, now_us: int) -> list[Endpoint]:
    """The warm in the sidecar's own order."""
    warm = [endpoint for endpoint in ready(pool) if is_warm(pool, endpoint, now_us)]
    return sorted(warm, key=lambda endpoint: (pool.order_key(endpoint), endpoint.entry.id))


def failure_rate_quantile(pool: EndpointPool, now_us: int, part: int) -> float:
    shares = sorted(endpoint.failure_rate for endpoint in in_order(pool, now_us))
    return shares[(len(shares) - 1) // part] if shares else 0.0


def chances(
    pool: EndpointPool, now_us: int, first: int, excluded: list[Endpoint], most: float
) -> dict[int, float]:
    """With which chance each upstream is drawn, by listing them all."""
    found = [endpoint for endpoint in in_order(pool, now_us) if free(pool, endpoint, now_us) > 0][:first]
    found = [endpoint for endpoint in found if endpoint not in excluded]
    found = [endpoint for endpoint in found if endpoint.failure_rate <= most] or found
    best = [s for s in found if s.entry.zone == pool.home_zone and s.limiter.in_flight == 0] or found
    few = pool.settings.instances <= FEW_SIDECARS_PER_ENDPOINT
    sizes = [s.weight * free(pool, s, now_us) if few else 1.0 for s in best]
    return {s.entry.id: size / math.fsum(sizes) for s, size in zip(best, sizes, strict=True)}


def unlikely(counts: Counter[int], expected: dict[int, float]) -> float:
    """Pearson's chi-square statistic in standard deviations above what chance gives."""
    drawn = sum(counts.values())
    assert set(counts) <= set(expected), "one was drawn that never is"
    degrees = len(expected) - 1
    if degrees == 0:
        return 0.0
    square = sum((counts[one] - drawn * chance) ** 2 / (drawn * chance) for one, chance in expected.items())
    return (square - degrees) / math.sqrt(2 * degrees)
