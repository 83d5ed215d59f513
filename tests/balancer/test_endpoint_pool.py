"""The endpoint pool agrees with plain scans after any events: in sets, ranks and distributions."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import MAX_SLOTS_WHILE_WARMING, EndpointPool
from sidecar_proxy.balancer.events import Upstream, UpstreamState
from sidecar_proxy.balancer.ordered_index import MAX_BLOCK_ITEMS, OrderedIndex, SortedMultiset
from tests import plain
from tests.balancer.harness import START_US, settings

WARM_UP_US = 20_000_000
DRAWS = 3_000
MAX_DEVIATION = 6.0  # standard deviations; chance alone practically never gives 6, and the seeds are fixed


def new_pool(**changes: object) -> EndpointPool:
    return EndpointPool(settings(**changes), 1 if changes.get("cross_zone_fee") else -1, START_US)


def add_endpoint(
    pool: EndpointPool, ident: int, rng: random.Random, now_us: int = START_US, **entry: Any
) -> Endpoint:
    endpoint = Endpoint(Upstream(ident, **entry), rng.expovariate(1.0), 1.0)
    pool.place(endpoint, now_us)
    return endpoint


class PoolMachine(RuleBasedStateMachine):
    """Applies changes of endpoints in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = START_US
        self.rng = random.Random(11)
        self.pool = new_pool(cross_zone_fee=0.1)
        self.gone: list[Endpoint] = []

    def endpoint_at(self, number: int) -> Endpoint:
        return list(self.pool.endpoints.values())[number % len(self.pool.endpoints)]

    def has_endpoints(self) -> bool:
        return bool(self.pool.endpoints)

    @rule(ident=st.integers(1, 40), zone=st.integers(0, 2), age=st.integers(-1, 30_000_000))
    def listed(self, ident: int, zone: int, age: int) -> None:
        started = 0 if age < 0 else self.now_us - age
        entry = Upstream(ident, zone=zone, started_us=started)
        endpoint = self.pool.endpoints.get(ident) or Endpoint(entry, self.rng.expovariate(1.0), 1.0)
        endpoint.entry = entry
        self.pool.place(endpoint, self.now_us)

    @precondition(has_endpoints)
    @rule(number=st.integers(0, 99))
    def drains(self, number: int) -> None:
        endpoint = self.endpoint_at(number)
        endpoint.entry = Upstream(
            endpoint.entry.id,
            UpstreamState.DRAINING,
            endpoint.entry.zone,
            started_us=endpoint.entry.started_us,
        )
        self.pool.place(endpoint, self.now_us)

    @precondition(has_endpoints)
    @rule(number=st.integers(0, 99))
    def leaves(self, number: int) -> None:
        self.pool.forget(self.endpoint_at(number))

    @precondition(has_endpoints)
    @rule(number=st.integers(0, 99), is_start=st.booleans())
    def used(self, number: int, is_start: bool) -> None:
        endpoint = self.endpoint_at(number)
        endpoint.limiter.in_flight = max(0, endpoint.limiter.in_flight + (1 if is_start else -1))
        self.pool.update(endpoint, self.now_us)

    @precondition(has_endpoints)
    @rule(
        number=st.integers(0, 99),
        limit=st.floats(1 / 64, 8),
        pause_us=st.integers(0, 900_000),
        failure_rate=st.floats(0, 1),
    )
    def gets_results(self, number: int, limit: float, pause_us: int, failure_rate: float) -> None:
        endpoint = self.endpoint_at(number)
        endpoint.limiter.limit, endpoint.failure_rate = limit, failure_rate
        endpoint.limiter.paused_until_us = self.now_us + pause_us
        self.pool.update(endpoint, self.now_us)

    @precondition(has_endpoints)
    @rule(number=st.integers(0, 99), weight=st.floats(0.1, 9))
    def reweighted(self, number: int, weight: float) -> None:
        self.endpoint_at(number).weight = weight
        self.pool.place(self.endpoint_at(number), self.now_us)

    @rule(elapsed_us=st.integers(1, 9_000_000))
    def time_passes(self, elapsed_us: int) -> None:
        self.now_us += elapsed_us

    @invariant()
    def agrees_with_plain_scans(self) -> None:
        pool, now_us = self.pool, self.now_us
        pool.reopen_due(now_us)
        pool.refresh_order(now_us)
        warm = plain.in_order(pool, now_us)
        assert list(pool.warm.items()) == warm
        assert set(pool.warming.items()) == set(plain.ready(pool)) - set(warm)
        open_now = [endpoint for endpoint in warm if plain.free(pool, endpoint, now_us) > 0]
        assert [entry.item for entry in pool.warm.iterate_open(len(warm))] == open_now
        assert pool.warm.root.open_count == len(open_now)
        for divisor in (2, 4):
            assert pool.failure_rate_quantile(divisor) == plain.failure_rate_quantile(pool, now_us, divisor)
        preferred = [
            endpoint
            for endpoint in open_now
            if endpoint.entry.zone == pool.home_zone and endpoint.limiter.in_flight == 0
        ]
        assert [entry.item for entry in pool.warm.iterate_open(len(warm), is_preferred=True)] == preferred
        assert math.isclose(
            pool.warm.root.total_weight,
            math.fsum(endpoint.weight * plain.free(pool, endpoint, now_us) for endpoint in open_now),
            abs_tol=1e-9,
        )
        assert math.isclose(
            pool.warm_weight, math.fsum(endpoint.weight for endpoint in warm), rel_tol=1e-9, abs_tol=1e-9
        )
        pause_ends_us = [
            endpoint.limiter.paused_until_us
            for endpoint in plain.ready(pool)
            if endpoint.limiter.limit < 1.0 and endpoint.limiter.paused_until_us > now_us
        ]
        assert pool.next_reopen_us() == min(pause_ends_us, default=0)
        expected_capacity = math.fsum(
            endpoint.weight * pool.slow_start_weight(endpoint, now_us) for endpoint in pool.warming.items()
        )
        assert math.isclose(pool.warming_capacity(now_us), expected_capacity, rel_tol=1e-6, abs_tol=1e-9)
        for first in (1, 3, len(warm)):
            for max_failure_rate in (0.3, math.inf):
                expected = [
                    endpoint for endpoint in open_now[:first] if endpoint.failure_rate <= max_failure_rate
                ]
                assert [entry.item for entry in pool.warm.iterate_open(first, max_failure_rate)] == expected


TestPool = PoolMachine.TestCase
TestPool.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=50
)


def varied_pool(
    count: int, instances: int, seed: int, failing_share: float = 0.2
) -> tuple[EndpointPool, list[Endpoint]]:
    """A pool in all states: weights, zones, limits, pauses, attempts in flight and failure rates."""
    rng = random.Random(seed)
    pool = new_pool(instances=instances, cross_zone_fee=0.1)
    endpoints = []
    for ident in range(1, count + 1):
        endpoint = add_endpoint(pool, ident, rng, zone=rng.randrange(3))
        endpoint.weight = rng.choice([0.5, 1.0, 3.0])
        endpoint.failure_rate = rng.random() if rng.random() < failing_share else rng.random() * 0.05
        endpoint.limiter.limit = rng.choice([0.3, 1.0, 2.0, 5.0])
        endpoint.limiter.in_flight = rng.randrange(3)
        endpoint.limiter.paused_until_us = START_US + rng.choice([0, 50_000])
        pool.place(endpoint, START_US)
        endpoints.append(endpoint)
    pool.refresh_order(START_US)
    return pool, endpoints


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("failing_share", [0.1, 0.98, 1.0])
@pytest.mark.parametrize(("count", "first"), [(5, 5), (30, 30), (30, 7), (300, 300), (300, 40)])
@pytest.mark.parametrize("instances", [3, 9])
def test_samples_have_the_distribution_of_a_plain_scan(
    instances: int, count: int, first: int, failing_share: float, seed: int
) -> None:
    pool, endpoints = varied_pool(count, instances, seed, failing_share)
    excluded = endpoints[:2]
    max_failure_rate = 0.1 + plain.failure_rate_quantile(pool, START_US, 4)
    expected = plain.chances(pool, START_US, first, excluded, max_failure_rate)
    rng = random.Random(seed)
    counts: Counter[int] = Counter()
    for _ in range(DRAWS):
        drawn = pool.sample(rng, first, excluded, max_failure_rate)
        if drawn is None:
            assert not expected
            return
        counts[drawn.entry.id] += 1
    assert plain.unlikely(counts, expected) < MAX_DEVIATION


def test_chi_square_statistic_detects_wrong_weights() -> None:
    """The statistic can fail: it does for the same draws against chances that are slightly wrong."""
    pool, _ = varied_pool(30, 3, 1)
    expected = plain.chances(pool, START_US, 30, [], math.inf)
    rng = random.Random(1)
    counts = Counter(
        drawn.entry.id for _ in range(DRAWS) if (drawn := pool.sample(rng, 30, [], math.inf)) is not None
    )
    wrong_chances = {
        ident: expected[ident] * (1.5 if number % 2 else 1.0) for number, ident in enumerate(expected)
    }
    total_chance = math.fsum(wrong_chances.values())
    assert plain.unlikely(counts, expected) < MAX_DEVIATION
    assert (
        plain.unlikely(counts, {ident: chance / total_chance for ident, chance in wrong_chances.items()})
        > MAX_DEVIATION
    )


def test_warming_endpoints_are_sampled_by_weight_and_slow_start_weight() -> None:
    pool, rng = new_pool(), random.Random(4)
    for ident in range(1, 9):
        endpoint = add_endpoint(pool, ident, rng, started_us=START_US - ident * 2_000_000)
        endpoint.weight = 1.0 + ident % 3
        pool.place(endpoint, START_US)
    expected_weights = {
        endpoint.entry.id: endpoint.weight * pool.slow_start_weight(endpoint, START_US)
        for endpoint in pool.warming.items()
    }
    total_weight = math.fsum(expected_weights.values())
    counts = Counter(
        drawn.entry.id for _ in range(DRAWS) if (drawn := pool.sample_warming(rng, START_US)) is not None
    )
    assert sum(counts.values()) > DRAWS * 0.99
    assert (
        plain.unlikely(counts, {ident: weight / total_weight for ident, weight in expected_weights.items()})
        < MAX_DEVIATION
    )


def test_endpoint_that_has_just_started_is_sampled_rarely() -> None:
    """Rule 4: if many draws accept no endpoint, none is sampled."""
    pool, rng = new_pool(cold_share=0.0001), random.Random(4)
    add_endpoint(pool, 1, rng, started_us=START_US)
    drawn = sum(pool.sample_warming(rng, START_US) is not None for _ in range(200))
    assert drawn < 10


@pytest.mark.parametrize("prefers_home_zone", [True, False])
def test_single_fitting_endpoint_is_found_among_many(prefers_home_zone: bool) -> None:
    pool, endpoints = varied_pool(2000, 3, 5, failing_share=0.0)
    for endpoint in endpoints:
        endpoint.failure_rate = 0.9
    endpoints[1234].failure_rate, endpoints[1234].limiter.in_flight = 0.0, 0
    endpoints[1234].limiter.limit = 1.0
    for endpoint in endpoints:
        pool.place(endpoint, START_US)
    drawn = {
        pool.warm.sample(
            random.Random(n), 10**9, [], 0.5, prefers_home_zone and endpoints[1234].entry.zone == 1
        )
        for n in range(20)
    }
    assert drawn == {endpoints[1234]}


def test_entry_depth_grows_with_the_logarithm_of_the_index() -> None:
    """The number of entries from an entry up to the root is counted, not the time."""
    depths = {}
    for count in (100, 10_000):
        index: OrderedIndex[int] = OrderedIndex()
        rng = random.Random(6)
        entries = [index.insert(n, rng.random(), n) for n in range(count)]
        total = 0
        for entry in entries:
            while entry.parent is not None and entry.parent.item is not None:
                total += 1
                entry = entry.parent
        depths[count] = total / count
    assert depths[10_000] < 3 * depths[100]


def test_sorted_multiset_agrees_with_sorted_list() -> None:
    rng = random.Random(8)
    blocks: SortedMultiset[int] = SortedMultiset()
    listed: list[int] = []
    for _ in range(6 * MAX_BLOCK_ITEMS):
        if listed and rng.random() < 0.3:
            value = rng.choice(listed)
            listed.remove(value)
            blocks.remove(value)
        else:
            value = rng.randrange(300)
            listed.append(value)
            blocks.add(value)
    listed.sort()
    assert [blocks.at(rank) for rank in range(len(listed))] == listed
    assert len(blocks) == len(listed)
    assert all(len(block) <= MAX_BLOCK_ITEMS for block in blocks.blocks)
    assert len(blocks.blocks) > 2
    for start in (0, 1, len(listed) // 2, len(listed) - 1):
        assert list(blocks.cycle_from(start)) == listed[start:] + listed[:start]
    with pytest.raises(ValueError, match="-1 is not in the multiset"):
        blocks.remove(-1)
    with pytest.raises(IndexError):
        blocks.at(len(listed))


# Guards against an endpoint that stays closed after its pause, as nothing opens it.
def test_endpoint_that_drains_and_is_ready_again_within_its_pause_opens_after_it() -> None:
    pool = new_pool()
    endpoint = add_endpoint(pool, 1, random.Random(5))
    endpoint.limiter.limit, endpoint.limiter.paused_until_us = 0.5, START_US + 1
    pool.update(endpoint, START_US)
    ready = endpoint.entry
    endpoint.entry = Upstream(1, UpstreamState.DRAINING)
    pool.place(endpoint, START_US)
    assert pool.next_reopen_us() == 0
    endpoint.entry = ready
    pool.place(endpoint, START_US)
    assert pool.next_reopen_us() == START_US + 1
    pool.reopen_due(START_US + 1)
    assert list(pool.warm.iterate_open(1))


def test_endpoint_whose_limit_rises_and_falls_within_its_pause_opens_after_it() -> None:
    pool = new_pool()
    endpoint = add_endpoint(pool, 1, random.Random(5))
    endpoint.limiter.paused_until_us = START_US + 1
    for limit, reopen_us in ((0.5, START_US + 1), (1.0, 0), (0.5, START_US + 1)):
        endpoint.limiter.limit = limit
        pool.update(endpoint, START_US)
        assert pool.next_reopen_us() == reopen_us


def test_replaced_endpoints_leave_no_state() -> None:
    pool, rng = new_pool(), random.Random(3)
    for ident in range(1, 2001):
        endpoint = add_endpoint(pool, ident, rng, started_us=START_US - 1_000 if ident % 3 else 0)
        endpoint.limiter.limit = 0.5
        pool.update(endpoint, START_US)
        if ident > 20:
            pool.forget(pool.endpoints[ident - 20])
    left_count = len(pool.endpoints)
    assert left_count == 20
    assert len(pool.warm) + len(pool.warming) == 20
    assert len(pool.pending_order_changes) <= 20
    assert len(pool.failure_rates) == len(pool.warm)
    pool.refresh_order(START_US + WARM_UP_US)
    pool.reopen_due(START_US + WARM_UP_US)
    assert not pool.warm_up_ends
    assert not pool.reopen_times
    assert len(pool.warm) == 20
    assert pool.warming_weight == 0.0
    assert math.isclose(pool.warm_weight, 20.0)


@pytest.mark.parametrize(
    ("instances", "age_us", "slots"),
    [
        (2, 0, 1),
        (2, 10_000_000, 2),
        (2, 15_000_000, 3),
        (2, 20_000_000, 5),
        (4, 10_000_000, 1),
        (4, 19_999_999, 1),
        (8, 19_999_999, 1),
    ],
)
def test_warming_endpoint_has_slots_by_its_slow_start_weight(instances: int, age_us: int, slots: int) -> None:
    """Rule 4: all sidecars together have no more attempts at a warming one than its share, or one each."""
    pool = new_pool(instances=instances, cold_share=0.3, warm_up_us=WARM_UP_US)
    endpoint = add_endpoint(pool, 1, random.Random(1), started_us=START_US - age_us)
    endpoint.limiter.limit = 5.0
    now_us = START_US
    assert pool.open_slots(endpoint, now_us) == slots
    endpoint.limiter.in_flight = slots
    assert pool.open_slots(endpoint, now_us) <= 0
    if age_us < WARM_UP_US:
        assert slots * instances <= max(
            MAX_SLOTS_WHILE_WARMING * pool.slow_start_weight(endpoint, now_us), instances
        )
