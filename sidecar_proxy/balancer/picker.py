"""Which endpoint a request may be sent to now. Pure but for the shared random number generator."""

import math
from collections.abc import Iterable
from functools import partial
from typing import Final

from sidecar_proxy.balancer.concurrency_limit import INITIAL_SLOTS_PER_UPSTREAM, ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_list import EndpointList
from sidecar_proxy.balancer.endpoint_pool import FEW_SIDECARS, EndpointPool
from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER
from sidecar_proxy.balancer.load_shedding import LoadShedder
from sidecar_proxy.balancer.outlier_detection import OUTLIER_FAILURE_RATE, OutlierDetector
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.retry_policy import RetryPolicy
from sidecar_proxy.balancer.slow_start import SlowStart

LOAD_CANDIDATES: Final = 3  # free slots whose load is polled; probing more costs more than the choice gains
MAX_PROBE_FEE: Final = (
    0.02  # points of the result that one probe per request can gain; dearer ones are not sent
)
EXPLORATION_SHARE: Final = 1 / 8  # of picks ignores failure rates, so that an endpoint's recovery is seen
MAX_AFFINITY_CONNECT_FAILURE_RATE: Final = 0.2  # key affinity opens many connections; above it does not apply
HOME_ZONE_AFFINITY_WEIGHT: Final = 4  # weight of the home zone's endpoints in a key's order
HASH_RANGE: Final = 2**40  # resolution of a key's order


class Pick:
    """An endpoint with a free slot, if any, and the first few candidates where load is polled."""

    def __init__(self, endpoint: Endpoint | None, candidates: list[Endpoint]) -> None:
        self.endpoint = endpoint
        self.candidates = candidates


class Picker:
    """Draws endpoints at random among those with a free slot, and prefers the healthy and the near."""

    def __init__(
        self,
        context: DecisionContext,
        pool: EndpointPool,
        endpoint_list: EndpointList,
        retry_policy: RetryPolicy,
        shedder: LoadShedder,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        total_limiter: ConcurrencyLimiter,
    ) -> None:
        settings = context.settings
        self.context = context
        self.pool = pool
        self.endpoint_list = endpoint_list
        self.retry_policy = retry_policy
        self.shedder = shedder
        self.outliers = outliers
        self.slow_start = slow_start
        self.total_limiter = total_limiter
        self.has_key_affinity = settings.key_affinity
        self.may_poll_load = (
            settings.probes and "in_flight" in settings.report_names and settings.probe_fee <= MAX_PROBE_FEE
        )

    def polls_load(self) -> bool:
        """Whether load is polled before a pick; a few sidecars know the endpoints by their own requests."""
        return self.may_poll_load and self.pool.sidecars_per_endpoint > INITIAL_SLOTS_PER_UPSTREAM

    def pick(self, request: Request) -> Pick:
        """Draw a random free slot for a request, if possible of an endpoint that it has not tried.

        An idle endpoint of the home zone is preferred; when that is busy, the request goes to another zone
        before it queues.
        """
        if not self.retry_policy.may_attempt(request):
            return Pick(None, [])
        now_us = self.context.now_us
        polls_load = self.polls_load()
        if not polls_load and self.total_limiter.free_slots(now_us) <= self.shedder.reserved_slots(request):
            return Pick(self.slow_start.choose_allocated(request), [])
        pool = self.pool
        max_failure_rate = self.draw_max_failure_rate()
        tried = request.tried_endpoints()
        wanted = FEW_SIDECARS * len(pool.warm) / pool.sidecars_per_endpoint
        if polls_load:
            wanted = max(wanted, LOAD_CANDIDATES)
        first = math.ceil(wanted + len(tried))
        group = self.deduplication_group(request) if tried else None
        ordered = group
        if ordered is None and self.has_key_affinity:
            ordered = self.affinity_order(request)
        if ordered is not None:
            pick = self.pick_from_list(request, ordered, first, tried, max_failure_rate)
        else:
            pick = self.pick_from_pool(first, tried, max_failure_rate, polls_load)
        if len(pool.warming):
            pick.endpoint = self.slow_start.choose(request, pick.endpoint, group)
        return pick

    def draw_max_failure_rate(self) -> float:
        """Return the failure rate up to which endpoints are preferred in this pick; infinite in some picks.

        Where a few endpoints do well, picking the others alike would lose what those could have served.
        """
        is_blind = self.context.random.random() < EXPLORATION_SHARE
        if is_blind:
            return math.inf
        return OUTLIER_FAILURE_RATE / 2 + self.pool.failure_rate_quantile(4)

    def pick_from_pool(
        self, first: int, tried: list[Endpoint], max_failure_rate: float, polls_load: bool
    ) -> Pick:
        """Draw one of the first open endpoints of the pool."""
        pool = self.pool
        rng = self.context.random
        endpoint = pool.sample(rng, first, tried, max_failure_rate)
        if endpoint is None and tried:
            tried = []
            endpoint = pool.sample(rng, first, tried, max_failure_rate)
        candidates: list[Endpoint] = []
        if polls_load:
            candidates = pool.first_open(first, tried, max_failure_rate, LOAD_CANDIDATES)
            if not candidates:
                candidates = pool.first_open(first, tried, math.inf, LOAD_CANDIDATES)
        return Pick(endpoint, candidates)

    def pick_from_list(
        self,
        request: Request,
        ordered: Iterable[Endpoint],
        first: int,
        tried: list[Endpoint],
        max_failure_rate: float,
    ) -> Pick:
        """Make the same draw from a list of endpoints in order."""
        candidates = self.first_open_in_list(request, ordered, first)
        candidates = [endpoint for endpoint in candidates if endpoint not in tried] or candidates
        candidates = [
            endpoint for endpoint in candidates if endpoint.failure_rate <= max_failure_rate
        ] or candidates
        preferred = [
            endpoint
            for endpoint in candidates
            if endpoint.entry.zone == self.context.home_zone and endpoint.limiter.in_flight == 0
        ] or candidates
        if not preferred:
            return Pick(None, candidates)
        now_us = self.context.now_us
        if self.pool.draws_by_free_slots:
            weights = [endpoint.weight * self.pool.open_slots(endpoint, now_us) for endpoint in preferred]
        else:
            weights = [1.0] * len(preferred)
        return Pick(self.context.random.choices(preferred, weights)[0], candidates)

    def first_open_in_list(self, request: Request, ordered: Iterable[Endpoint], first: int) -> list[Endpoint]:
        """Return the first warm endpoints of a list that have a free slot for this request."""
        pool = self.pool
        now_us = self.context.now_us
        candidates: list[Endpoint] = []
        for endpoint in ordered:
            if pool.slow_start_weight(endpoint, now_us) < 1.0 or pool.open_slots(endpoint, now_us) <= 0:
                continue
            if not self.retry_policy.is_in_deduplication_group(request, endpoint):
                continue
            candidates.append(endpoint)
            if len(candidates) >= first:
                break
        return candidates

    def deduplication_group(self, request: Request) -> list[Endpoint] | None:
        """Return the endpoints to which rule 2 restricts a repeat, in order; None = any.

        Of a cell all upstreams of the list count: a subset holds few of one cell, and with those alone the
        repeat would fail for want of a slot.
        """
        first = request.first_attempt_that_may_have_run()
        request_class = request.request_class
        if first is None or request_class.effect != "deduplicated" or request_class.group == "all":
            return None
        if request_class.group == "zone":
            group = [
                endpoint for endpoint in self.pool.warm.items() if endpoint.entry.zone == first.entry.zone
            ]
        else:
            group = self.endpoint_list.cell_endpoints(first.entry.cell)
        by_id = {endpoint.entry.id: endpoint for endpoint in group}
        order = sorted([(self.pool.order_key(endpoint), endpoint.entry.id) for endpoint in group])
        return [by_id[upstream] for _, upstream in order]

    def affinity_order(self, request: Request) -> list[Endpoint] | None:
        """Return the endpoints in the order of the request's key, alike at all sidecars; None = no order."""
        key = request.event.key
        if key == 0 or self.outliers.connect_failure_rate > MAX_AFFINITY_CONNECT_FAILURE_RATE:
            return None
        return sorted(self.pool.warm.items(), key=partial(self.affinity_sort_key, key))

    def affinity_sort_key(self, key: int, endpoint: Endpoint) -> float:
        """Return an endpoint's place in a key's order: by hash, with large and near ones sooner.

        This is weighted rendezvous hashing.
        """
        mixed = (key ^ endpoint.entry.id * HASH_MULTIPLIER) * HASH_MULTIPLIER >> 24
        chance = (mixed % HASH_RANGE + 1) / HASH_RANGE
        zone_factor = HOME_ZONE_AFFINITY_WEIGHT if endpoint.entry.zone == self.context.home_zone else 1
        return -float(chance ** (1.0 / (endpoint.weight * zone_factor)))
