"""Selection of an endpoint for a request. No I/O and no clock; uses the shared random number generator."""

import math
from collections.abc import Iterable
from functools import partial
from typing import Final

from sidecar_proxy.balancer.concurrency_limit import INITIAL_SLOTS_PER_UPSTREAM, ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_list import EndpointList
from sidecar_proxy.balancer.endpoint_pool import FEW_SIDECARS_PER_ENDPOINT, EndpointPool
from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER
from sidecar_proxy.balancer.load_shedding import LoadShedder
from sidecar_proxy.balancer.outlier_detection import OUTLIER_FAILURE_RATE, OutlierDetector
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.retry_policy import RetryPolicy
from sidecar_proxy.balancer.slow_start import SlowStart

# maximum number of endpoints whose load is polled for a request; probing more costs more than it gains
LOAD_CANDIDATES: Final = 3
# maximum fee of one probe per request, in points of the result: about as much as a probe can gain
MAX_PROBE_FEE: Final = 0.02
EXPLORATION_SHARE: Final = 1 / 8  # share of picks that ignore failure rates, so that recovery is noticed
# connect failure rate above which key affinity is not applied, as it opens many connections
MAX_AFFINITY_CONNECT_FAILURE_RATE: Final = 0.2
HOME_ZONE_AFFINITY_WEIGHT: Final = 4  # weight factor of the home zone's endpoints for a key
HASH_RANGE: Final = 2**40  # number of values that the hash of a key and an endpoint can have


class Pick:
    """A picked endpoint with a free slot, or None, and the candidates whose load may be polled."""

    def __init__(self, endpoint: Endpoint | None, candidates: list[Endpoint]) -> None:
        self.endpoint = endpoint
        self.candidates = candidates


class Picker:
    """Picks random endpoints with a free slot; prefers low failure rates and the home zone."""

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
        """Whether load is polled before a request is sent.

        Where few sidecars share an endpoint, each learns its load from its own requests.
        """
        return self.may_poll_load and self.pool.sidecars_per_endpoint > INITIAL_SLOTS_PER_UPSTREAM

    def pick(self, request: Request) -> Pick:
        """Pick a random endpoint with a free slot, preferably one that the request has not tried.

        An idle endpoint of the home zone is preferred. If none is idle, the request goes to any zone rather
        than queue in its own.
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
        # if each sidecar uses only the first so many in its own order, few sidecars use each endpoint
        endpoint_count = FEW_SIDECARS_PER_ENDPOINT * len(pool.warm) / pool.sidecars_per_endpoint
        if polls_load:
            endpoint_count = max(endpoint_count, LOAD_CANDIDATES)
        candidate_count = math.ceil(endpoint_count + len(tried))
        group = self.deduplication_group(request) if tried else None
        ordered = group
        if ordered is None and self.has_key_affinity:
            ordered = self.affinity_order(request)
        if ordered is not None:
            pick = self.pick_from_list(request, ordered, candidate_count, tried, max_failure_rate)
        else:
            pick = self.pick_from_pool(candidate_count, tried, max_failure_rate, polls_load)
        if len(pool.warming):
            pick.endpoint = self.slow_start.choose(request, pick.endpoint, group)
        return pick

    def draw_max_failure_rate(self) -> float:
        """Return the failure rate up to which endpoints are preferred in this pick; infinity for some picks.

        It is relative to the lower quartile: where only a few endpoints are healthy, picking all alike would
        fail requests that the healthy ones could have served.
        """
        is_exploring = self.context.random.random() < EXPLORATION_SHARE
        if is_exploring:
            return math.inf
        return OUTLIER_FAILURE_RATE / 2 + self.pool.failure_rate_quantile(4)

    def pick_from_pool(
        self, candidate_count: int, tried: list[Endpoint], max_failure_rate: float, polls_load: bool
    ) -> Pick:
        """Pick one of the first `candidate_count` endpoints of the pool that have a free slot."""
        pool = self.pool
        rng = self.context.random
        endpoint = pool.sample(rng, candidate_count, tried, max_failure_rate)
        if endpoint is None and tried:
            tried = []
            endpoint = pool.sample(rng, candidate_count, tried, max_failure_rate)
        candidates: list[Endpoint] = []
        if polls_load:
            candidates = pool.first_open(candidate_count, tried, max_failure_rate, LOAD_CANDIDATES)
            if not candidates:
                candidates = pool.first_open(candidate_count, tried, math.inf, LOAD_CANDIDATES)
        return Pick(endpoint, candidates)

    def pick_from_list(
        self,
        request: Request,
        ordered: Iterable[Endpoint],
        candidate_count: int,
        tried: list[Endpoint],
        max_failure_rate: float,
    ) -> Pick:
        """Pick in the same way from an ordered list of endpoints, for key affinity or by rule 2."""
        candidates = self.first_open_in_list(request, ordered, candidate_count)
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

    def first_open_in_list(
        self, request: Request, ordered: Iterable[Endpoint], candidate_count: int
    ) -> list[Endpoint]:
        """Return the first warm endpoints of a list that have a free slot and may get this request."""
        pool = self.pool
        now_us = self.context.now_us
        candidates: list[Endpoint] = []
        for endpoint in ordered:
            if pool.slow_start_weight(endpoint, now_us) < 1.0 or pool.open_slots(endpoint, now_us) <= 0:
                continue
            if not self.retry_policy.is_in_deduplication_group(request, endpoint):
                continue
            candidates.append(endpoint)
            if len(candidates) >= candidate_count:
                break
        return candidates

    def deduplication_group(self, request: Request) -> list[Endpoint] | None:
        """Return the endpoints to which rule 2 restricts a retry, in order; None = no restriction.

        For a cell, these are all listed upstreams of the cell and not only those of the subset. A subset has
        few endpoints of each cell, and retries limited to these would often find no free slot.
        """
        earlier = request.first_attempt_that_may_have_run()
        request_class = request.request_class
        if earlier is None or request_class.effect != "deduplicated" or request_class.group == "all":
            return None
        if request_class.group == "zone":
            group = [
                endpoint for endpoint in self.pool.warm.items() if endpoint.entry.zone == earlier.entry.zone
            ]
        else:
            group = self.endpoint_list.cell_endpoints(earlier.entry.cell)
        by_id = {endpoint.entry.id: endpoint for endpoint in group}
        order = sorted([(self.pool.order_key(endpoint), endpoint.entry.id) for endpoint in group])
        return [by_id[upstream] for _, upstream in order]

    def affinity_order(self, request: Request) -> list[Endpoint] | None:
        """Return the endpoints in the order of the request's key, equal at all sidecars, or None."""
        key = request.event.key
        if key == 0 or self.outliers.connect_failure_rate > MAX_AFFINITY_CONNECT_FAILURE_RATE:
            return None
        return sorted(self.pool.warm.items(), key=partial(self.affinity_sort_key, key))

    def affinity_sort_key(self, key: int, endpoint: Endpoint) -> float:
        """Return an endpoint's sort key in the order of a request key, by weighted rendezvous hashing.

        Endpoints of greater weight and those of the home zone tend to come first.
        """
        hashed = (key ^ endpoint.entry.id * HASH_MULTIPLIER) * HASH_MULTIPLIER >> 24
        unit_hash = (hashed % HASH_RANGE + 1) / HASH_RANGE
        zone_factor = HOME_ZONE_AFFINITY_WEIGHT if endpoint.entry.zone == self.context.home_zone else 1
        return -float(unit_hash ** (1.0 / (endpoint.weight * zone_factor)))
