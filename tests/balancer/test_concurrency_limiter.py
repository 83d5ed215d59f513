"""Unit tests of the concurrency limiter."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer.concurrency_limit import (
    MAX_LIMIT_GROWTH,
    MIN_LIMIT,
    SHARED_TARGET_LOAD,
    TARGET_LOAD,
    ConcurrencyLimiter,
    target_load,
)


@pytest.mark.parametrize(("limit", "in_flight", "free"), [(1.0, 0, 1), (2.9, 1, 1), (2.0, 3, -1)])
def test_free_slots_are_the_integer_part_of_the_limit_less_those_in_flight(
    limit: float, in_flight: int, free: int
) -> None:
    limiter = ConcurrencyLimiter(limit)
    limiter.in_flight = in_flight
    assert limiter.free_slots(0) == free


def test_limit_below_one_allows_one_attempt_after_a_pause() -> None:
    limiter = ConcurrencyLimiter(1.0)
    limiter.limit = 0.5
    limiter.pause(1_000, 400.0, jitter=0.5)
    assert limiter.paused_until_us == 1_400
    assert limiter.free_slots(1_399) == 0
    assert limiter.free_slots(1_400) == 1


def test_limit_of_one_or_more_is_not_paused() -> None:
    limiter = ConcurrencyLimiter(1.0)
    limiter.pause(1_000, 400.0, jitter=0.5)
    assert limiter.paused_until_us == 0


def test_quick_answers_raise_the_limit_only_if_needed() -> None:
    limiter = ConcurrencyLimiter(2.0)
    limiter.update_limit(0.1, TARGET_LOAD, is_needed=False, min_limit=0.0, growth_weight=1.0)
    assert limiter.limit == 2.0
    limiter.update_limit(0.1, TARGET_LOAD, is_needed=True, min_limit=0.0, growth_weight=1.0)
    assert limiter.limit > 2.0


def test_limit_grows_to_a_multiple_of_its_initial_value_at_most() -> None:
    limiter = ConcurrencyLimiter(1.0)
    for _ in range(2_000):
        limiter.update_limit(0.0, TARGET_LOAD, is_needed=True, min_limit=0.0, growth_weight=1.0)
    assert limiter.limit == MAX_LIMIT_GROWTH


def test_slow_answers_lower_the_limit_to_the_floor() -> None:
    limiter = ConcurrencyLimiter(4.0)
    for _ in range(200):
        limiter.update_limit(2.0, TARGET_LOAD, is_needed=True, min_limit=0.75, growth_weight=1.0)
    assert limiter.limit == 0.75


def test_halving_ends_at_the_minimum() -> None:
    limiter = ConcurrencyLimiter(1.0)
    for _ in range(20):
        limiter.halve()
    assert limiter.limit == MIN_LIMIT


def test_rescaled_limit_keeps_its_multiple_of_the_initial_value() -> None:
    limiter = ConcurrencyLimiter(2.0)
    limiter.limit = 3.0
    limiter.rescale(4.0)
    assert (limiter.initial_limit, limiter.limit) == (4.0, 6.0)


@pytest.mark.parametrize(
    ("share", "target"), [(0.0, SHARED_TARGET_LOAD), (1.0, TARGET_LOAD), (8.0, TARGET_LOAD)]
)
def test_target_load_is_higher_for_a_small_share(share: float, target: float) -> None:
    assert target_load(share) == pytest.approx(target)
