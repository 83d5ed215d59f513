"""Unit tests of the token bucket."""

from __future__ import annotations

from sidecar_proxy.balancer.token_bucket import TokenBucket

SECOND_US = 1_000_000


def test_new_bucket_has_no_tokens_and_no_rate() -> None:
    bucket = TokenBucket(0)
    assert not bucket.take(10 * SECOND_US)


def test_tokens_are_added_at_the_rate() -> None:
    bucket = TokenBucket(0)
    bucket.set_rate(2.0, 0)
    assert not bucket.take(400_000)
    assert bucket.take(500_000)
    assert not bucket.take(500_000)


def test_bucket_holds_the_tokens_of_one_second_at_most() -> None:
    bucket = TokenBucket(0)
    bucket.set_rate(3.0, 0)
    taken = sum(bucket.take(100 * SECOND_US) for _ in range(10))
    assert taken == 3


def test_bucket_of_a_low_rate_holds_one_token() -> None:
    bucket = TokenBucket(0)
    bucket.set_rate(0.1, 0)
    assert bucket.take(10 * SECOND_US)
    assert not bucket.take(10 * SECOND_US)


def test_lower_rate_drops_tokens_beyond_its_capacity() -> None:
    bucket = TokenBucket(0)
    bucket.set_rate(10.0, 0)
    bucket.set_rate(2.0, SECOND_US)
    taken = sum(bucket.take(SECOND_US) for _ in range(10))
    assert taken == 2
