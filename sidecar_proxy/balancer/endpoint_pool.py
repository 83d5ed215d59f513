"""The endpoint pool: the endpoints that one sidecar uses, indexed for picking one with a free slot.

An endpoint is warming (in slow start) until its warm-up time has passed, and warm from then on. It is open
while it has a free slot. The pool does no I/O and reads no clock. Every change of an endpoint is followed by
`update`, which takes O(log n); after it the indexes agree with a plain scan of all endpoints
(tests/balancer/test_endpoint_pool.py).
"""

import heapq
import math
import random
from itertools import islice
from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import NO_HOME_ZONE
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.ordered_index import OrderedIndex, SortedMultiset
from sidecar_proxy.balancer.subsetting import ring_position

# slots that all sidecars together have at a nearly warm endpoint; earlier in its warm-up they have fewer, in
# proportion to its slow-start weight
MAX_SLOTS_WHILE_WARMING: Final = 8.0
# maximum number of sidecars per endpoint for which draws are weighted by free slots
FEW_SIDECARS_PER_ENDPOINT: Final = 4
MAX_WARMING_DRAWS: Final = 64  # maximum number of draws until a warming endpoint is accepted
GOLDEN_RATIO: Final = 0.618033988749895  # any number of its successive multiples modulo 1 are evenly spread


class EndpointPool:
    """The endpoints that this sidecar uses, in one index of warm and one of warming endpoints."""

    def __init__(self, settings: api.Settings, home_zone: int, now_us: int) -> None:
        self.settings = settings
        self.home_zone = home_zone
        self.sidecar_index = settings.self_index
        self.sidecars_per_endpoint = float(settings.instances)
        self.draws_by_free_slots = settings.instances <= FEW_SIDECARS_PER_ENDPOINT
        # slots at each warming endpoint: this sidecar's equal share, or leased slots while a lease is valid
        self.warming_slots = MAX_SLOTS_WHILE_WARMING / settings.instances
        self.leased_slots = 0.0
        self.lease_until_us = 0
        # warming endpoints at which this sidecar has a slot, now or later in their warm-up
        self.allocated: dict[int, Endpoint] = {}
        # start times are summed relative to this, so that sums of Unix times lose no digits
        self.epoch_us = now_us
        # by upstream id; endpoints that are no longer used stay while they have attempts in flight
        self.endpoints: dict[int, Endpoint] = {}
        self.warm: OrderedIndex[Endpoint] = OrderedIndex()  # warm endpoints in this sidecar's own order
        self.warming: OrderedIndex[Endpoint] = OrderedIndex()
        self.failure_rates: SortedMultiset[float] = SortedMultiset()  # failure rates of the warm endpoints
        self.warm_weight = 0.0
        self.warming_weight = 0.0
        self.warming_start_sum = 0.0  # sum of weight times start time since the epoch over warming endpoints
        self.pending_order_changes: dict[int, None] = {}  # ids of endpoints to place anew at the next refresh
        self.reopen_times: list[tuple[int, int]] = []  # (end of a pause, upstream id), as a heap
        self.warm_up_ends: list[tuple[int, int]] = []  # (end of warm-up, upstream id), as a heap

    # Queries about one endpoint

    def slow_start_weight(self, endpoint: Endpoint, now_us: int) -> float:
        """Return the share of its capacity that an endpoint has at least by now, in slow start (rule 4)."""
        settings = self.settings
        started_us = endpoint.entry.started_us
        age_us = now_us - started_us
        if started_us == 0 or age_us >= settings.warm_up_us:
            return 1.0
        return settings.cold_share + (1.0 - settings.cold_share) * max(0, age_us) / settings.warm_up_us

    def open_slots(self, endpoint: Endpoint, now_us: int) -> int:
        """Return how many more attempts may start at an endpoint now; 0 or less = none."""
        if endpoint.entry.state is not api.UpstreamState.READY:
            return 0  # rule 3: no attempts start at an upstream that is known to be draining or removed
        limiter = endpoint.limiter
        free_slots = limiter.free_slots(now_us)
        weight = self.slow_start_weight(endpoint, now_us)
        if weight >= 1.0:
            return free_slots
        # rule 4: attempts in flight may exceed what it can serve yet; their limit grows with its weight
        if self.is_leased(now_us):
            allowed_slots = int(self.leased_slots * weight + endpoint.allocation_offset)
        else:
            allowed_slots = max(1, int(self.warming_slots * weight))
        return min(free_slots, allowed_slots - limiter.in_flight)

    def is_leased(self, now_us: int) -> bool:
        """Whether a lease from the fleet, not the equal share, limits attempts at warming endpoints."""
        return now_us < self.lease_until_us

    def order_key(self, endpoint: Endpoint) -> float:
        """Return an endpoint's sort key in this sidecar's own order.

        The key is random, scaled by the weight, the zone and a limit below 1.
        """
        zone_factor = 2 if endpoint.entry.zone == self.home_zone else 1
        # on probation it keeps its position; otherwise a false report might never be tested by an attempt
        slots = min(1.0, endpoint.ordinary_limit())
        return endpoint.random_order / slots / endpoint.weight / zone_factor

    # Changes

    def grant_lease(self, budget_share: float, until_us: int, now_us: int) -> None:
        """Lease this sidecar a share of the slots at warming endpoints; all shares add up to at most 1."""
        self.leased_slots = MAX_SLOTS_WHILE_WARMING * budget_share
        self.lease_until_us = until_us
        for endpoint in self.warming.items():  # open slots depend on the lease and grow with the weight
            self.update(endpoint, now_us)

    def place(self, endpoint: Endpoint, now_us: int) -> None:
        """Move an endpoint into the index and to the position that its current entry and limit call for."""
        self.endpoints[endpoint.entry.id] = endpoint
        is_warm = self.slow_start_weight(endpoint, now_us) >= 1.0
        index: OrderedIndex[Endpoint] | None = None
        if endpoint.entry.state is api.UpstreamState.READY:
            index = self.warm if is_warm else self.warming
        if endpoint.index_entry is not None:
            is_unchanged = endpoint.index is index and self.has_current_sums(endpoint)
            if is_unchanged and endpoint.index_entry.key[0] == self.order_key(endpoint):
                self.update(endpoint, now_us)
                return
            self.remove(endpoint)
        if index is None:
            return
        endpoint.index = index
        endpoint.index_entry = index.insert(endpoint, self.order_key(endpoint), endpoint.entry.id)
        endpoint.summed_weight = endpoint.weight
        endpoint.summed_start_us = endpoint.entry.started_us - self.epoch_us
        if is_warm:
            endpoint.ranked_failure_rate = endpoint.failure_rate
            self.failure_rates.add(endpoint.ranked_failure_rate)
            self.warm_weight += endpoint.weight
        else:
            self.warming_weight += endpoint.weight
            self.warming_start_sum += endpoint.weight * endpoint.summed_start_us
            warm_us = endpoint.entry.started_us + self.settings.warm_up_us
            heapq.heappush(self.warm_up_ends, (warm_us, endpoint.entry.id))
            self.allocate(endpoint)
        self.update(endpoint, now_us)

    def has_current_sums(self, endpoint: Endpoint) -> bool:
        """Whether the pool's sums include an endpoint's current weight and start time."""
        if endpoint.summed_weight != endpoint.weight:
            return False
        return endpoint.summed_start_us == endpoint.entry.started_us - self.epoch_us

    def allocate(self, endpoint: Endpoint) -> None:
        """Decide whether this sidecar has a slot at a warming endpoint while capacity is exhausted (rule 4).

        The slots of a warming endpoint are allocated by the sidecars' indexes. So all sidecars together use
        no more than these without exchanging messages, and a busy sidecar can use its own slot at once.
        Sidecars so few that each would have a slot at every endpoint get none allocated: they would exceed
        the endpoint's budget per window of time.
        """
        position = ring_position(endpoint.entry.id)[0] / 2.0**64
        endpoint.allocation_offset = (position + self.sidecar_index * GOLDEN_RATIO) % 1.0
        if 1.0 - endpoint.allocation_offset <= self.warming_slots < 1.0:
            self.allocated[endpoint.entry.id] = endpoint
        else:
            self.allocated.pop(endpoint.entry.id, None)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from its index; its attempts in flight continue."""
        if endpoint.index_entry is None:
            return
        weight = endpoint.summed_weight
        if endpoint.index is self.warm:
            self.failure_rates.remove(endpoint.ranked_failure_rate)
            self.warm_weight = self.warm_weight - weight if len(self.warm) > 1 else 0.0
            self.warm.remove(endpoint.index_entry)
        else:
            is_last = len(self.warming) == 1
            self.warming_weight = 0.0 if is_last else self.warming_weight - weight
            start_sum = self.warming_start_sum - weight * endpoint.summed_start_us
            self.warming_start_sum = 0.0 if is_last else start_sum
            self.warming.remove(endpoint.index_entry)
            self.allocated.pop(endpoint.entry.id, None)
        endpoint.index_entry = None
        endpoint.index = None

    def forget(self, endpoint: Endpoint) -> None:
        """Remove an endpoint and its state."""
        self.remove(endpoint)
        if self.endpoints.get(endpoint.entry.id) is endpoint:
            del self.endpoints[endpoint.entry.id]
            self.pending_order_changes.pop(endpoint.entry.id, None)

    def update(self, endpoint: Endpoint, now_us: int) -> None:
        """Update the indexes after an endpoint's limiter or failure rate has changed."""
        index_entry = endpoint.index_entry
        if index_entry is None:
            return
        limiter = endpoint.limiter
        is_below_one_slot = limiter.limit < 1.0
        reopen_us = limiter.paused_until_us
        if is_below_one_slot and reopen_us > now_us and reopen_us != endpoint.scheduled_reopen_us:
            endpoint.scheduled_reopen_us = reopen_us
            heapq.heappush(self.reopen_times, (reopen_us, endpoint.entry.id))
        if endpoint.index is self.warming:
            is_open = int(self.open_slots(endpoint, now_us) > 0)
            self.warming.update(index_entry, is_open, endpoint.weight, 0.0, endpoint.failure_rate)
            return
        free_slots = limiter.free_slots(now_us)  # endpoints of this index are ready, and stay warm
        weight = 0.0
        if free_slots > 0:
            weight = endpoint.weight * free_slots if self.draws_by_free_slots else 1.0
        is_preferred = endpoint.entry.zone == self.home_zone and limiter.in_flight == 0
        preferred_weight = weight if is_preferred else 0.0
        if endpoint.failure_rate != endpoint.ranked_failure_rate:
            self.failure_rates.remove(endpoint.ranked_failure_rate)
            self.failure_rates.add(endpoint.failure_rate)
            endpoint.ranked_failure_rate = endpoint.failure_rate
        self.warm.update(index_entry, int(free_slots > 0), weight, preferred_weight, endpoint.failure_rate)
        if is_below_one_slot or endpoint.was_below_one_slot:  # only a limit below 1 affects the order
            endpoint.was_below_one_slot = is_below_one_slot
            self.pending_order_changes[endpoint.entry.id] = None

    def reopen_due(self, now_us: int) -> None:
        """Open the endpoints whose pause is over."""
        while self.reopen_times and self.reopen_times[0][0] <= now_us:
            endpoint = self.endpoints.get(heapq.heappop(self.reopen_times)[1])
            if endpoint is not None:
                self.update(endpoint, now_us)

    def next_reopen_us(self) -> int:
        """Return when the next paused endpoint opens; 0 = none is paused."""
        while self.reopen_times:
            until_us, upstream = self.reopen_times[0]
            endpoint = self.endpoints.get(upstream)
            if endpoint is not None and endpoint.index_entry is not None:
                limiter = endpoint.limiter
                if limiter.limit < 1.0 and limiter.paused_until_us == until_us:
                    return until_us
            heapq.heappop(self.reopen_times)
            if endpoint is not None and endpoint.scheduled_reopen_us == until_us:
                endpoint.scheduled_reopen_us = 0  # it is added again if it is ready within its pause
        return 0

    def refresh_order(self, now_us: int) -> None:
        """Place the endpoints anew that have warmed up or whose position in the order may have changed."""
        while self.warm_up_ends and self.warm_up_ends[0][0] <= now_us:
            self.place_if_indexed(heapq.heappop(self.warm_up_ends)[1], now_us)
        changed_upstreams = self.pending_order_changes
        self.pending_order_changes = {}
        for upstream in changed_upstreams:
            self.place_if_indexed(upstream, now_us)

    def place_if_indexed(self, upstream: int, now_us: int) -> None:
        """Place an endpoint anew if it is still in an index."""
        endpoint = self.endpoints.get(upstream)
        if endpoint is not None and endpoint.index_entry is not None:
            self.place(endpoint, now_us)

    def set_sharing(self, sidecars_per_endpoint: float, sidecar_index: int, now_us: int) -> None:
        """Set how many sidecars share an endpoint, and this sidecar's index."""
        self.sidecars_per_endpoint = sidecars_per_endpoint
        draws_by_free_slots = sidecars_per_endpoint <= FEW_SIDECARS_PER_ENDPOINT
        warming_slots = MAX_SLOTS_WHILE_WARMING / sidecars_per_endpoint
        if warming_slots != self.warming_slots or sidecar_index != self.sidecar_index:
            self.warming_slots = warming_slots
            self.sidecar_index = sidecar_index
            for endpoint in self.warming.items():
                self.allocate(endpoint)
        if draws_by_free_slots is not self.draws_by_free_slots:
            self.draws_by_free_slots = draws_by_free_slots
            for endpoint in list(self.endpoints.values()):  # all weights change
                self.update(endpoint, now_us)

    # Queries about all endpoints

    def failure_rate_quantile(self, divisor: int) -> float:
        """Return the failure rate that one in `divisor` of the warm endpoints does not exceed."""
        if not len(self.failure_rates):
            return 0.0
        return self.failure_rates.at((len(self.failure_rates) - 1) // divisor)

    def sample(
        self, rng: random.Random, prefix_length: int, excluded: list[Endpoint], max_failure_rate: float
    ) -> Endpoint | None:
        """Draw one of the first `prefix_length` open warm endpoints, or return None.

        Endpoints within the failure rate are preferred, and of these the idle ones of the home zone.
        """
        endpoint = self.sample_within(rng, prefix_length, excluded, max_failure_rate)
        if endpoint is None and max_failure_rate < math.inf:
            endpoint = self.sample_within(rng, prefix_length, excluded, math.inf)
        return endpoint

    def sample_within(
        self, rng: random.Random, prefix_length: int, excluded: list[Endpoint], max_failure_rate: float
    ) -> Endpoint | None:
        """Draw one of the first `prefix_length` open warm endpoints, among those within the failure rate."""
        endpoint: Endpoint | None = None
        if self.home_zone != NO_HOME_ZONE:
            endpoint = self.warm.sample(rng, prefix_length, excluded, max_failure_rate, is_preferred=True)
        if endpoint is None:
            endpoint = self.warm.sample(rng, prefix_length, excluded, max_failure_rate)
        return endpoint

    def first_open(
        self, prefix_length: int, excluded: list[Endpoint], max_failure_rate: float, count: int
    ) -> list[Endpoint]:
        """Return, of the first `prefix_length` open warm endpoints, up to `count` within the failure rate."""
        entries = self.warm.iterate_open(prefix_length, max_failure_rate)
        return list(islice((entry.item for entry in entries if entry.item not in excluded), count))

    def sample_allocated(
        self, rng: random.Random, excluded: list[Endpoint], max_failure_rate: float, now_us: int
    ) -> Endpoint | None:
        """Draw a warming endpoint within the failure rate that has a free slot allocated to this sidecar."""
        if self.is_leased(now_us):
            return self.warming.sample_uniform(rng, max_failure_rate)
        candidates = [
            endpoint
            for endpoint in self.allocated.values()
            if self.warming_slots * self.slow_start_weight(endpoint, now_us) + endpoint.allocation_offset
            >= 1.0
            and endpoint.failure_rate <= max_failure_rate
            and endpoint not in excluded
            and self.open_slots(endpoint, now_us) > 0
        ]
        return rng.choice(candidates) if candidates else None

    def warming_capacity(self, now_us: int) -> float:
        """Return the sum of weight times slow-start weight over all warming endpoints.

        Each slow-start weight grows linearly with time, so two running sums give the total in O(1).
        """
        if not len(self.warming):
            return 0.0
        cold_share = self.settings.cold_share
        age_sum = (now_us - self.epoch_us) * self.warming_weight - self.warming_start_sum
        min_capacity = cold_share * self.warming_weight
        capacity = min_capacity + (1.0 - cold_share) * age_sum / max(1, self.settings.warm_up_us)
        return min(self.warming_weight, max(min_capacity, capacity))

    def warm_equivalent(self, now_us: int) -> float:
        """Return how many warm endpoints have the least capacity that all endpoints together have now."""
        mean_slow_start_weight = 0.0
        if self.warming_weight > 0.0:
            mean_slow_start_weight = self.warming_capacity(now_us) / self.warming_weight
        return len(self.warm) + mean_slow_start_weight * len(self.warming)

    def sample_warming(self, rng: random.Random, now_us: int) -> Endpoint | None:
        """Draw a warming endpoint by weight, and accept it by its slow-start weight.

        Return None if none of many draws is accepted, which errs on the side of sending too little.
        """
        for _ in range(MAX_WARMING_DRAWS):
            entry = self.warming.find_at_weight(
                rng.random() * self.warming.root.total_weight, is_preferred=False
            )
            if entry is not None and rng.random() < self.slow_start_weight(entry.item, now_us):
                return entry.item
        return None
