"""The response time below which a response can't be the one to the current request."""

from __future__ import annotations

import pytest

from sidecar_proxy.engine.response_floor import (
    FLOOR_SHARE,
    MAX_EARLY_S,
    MIN_FLOOR_S,
    MIN_SAMPLES,
    ResponseFloor,
)


def floor_of(shortest_s: float, samples: int) -> ResponseFloor:
    floor = ResponseFloor()
    for _ in range(samples - 1):
        floor.record(10 * shortest_s)
    floor.record(shortest_s)
    return floor


@pytest.mark.parametrize(
    ("shortest_s", "samples", "limit_s"),
    [
        (0.006, MIN_SAMPLES, FLOOR_SHARE * 0.006),
        (1.0, MIN_SAMPLES, MAX_EARLY_S),
        (0.006, MIN_SAMPLES - 1, 0.0),
        (MIN_FLOOR_S / 2, MIN_SAMPLES, 0.0),
    ],
)
def test_limit_is_a_share_of_the_shortest_time(shortest_s: float, samples: int, limit_s: float) -> None:
    assert floor_of(shortest_s, samples).early_limit_s() == limit_s


def test_typical_time_begins_with_the_first_response_and_follows_the_later_ones() -> None:
    floor = ResponseFloor()
    assert floor.typical_s == float("inf")
    floor.record(0.1)
    assert floor.typical_s == 0.1
    for _ in range(100):
        floor.record(0.01)
    assert 0.01 < floor.typical_s < 0.011
