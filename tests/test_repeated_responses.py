"""Whether responses repeat, and which response is a second copy of the previous one."""

from __future__ import annotations

import pytest

from sidecar_proxy.http1.repeated_responses import MIN_PAIRS, RepeatedResponses


def after_pairs(distinct: int, equal: int, certain_equal: int = 0) -> RepeatedResponses:
    repeated = RepeatedResponses()
    for number in range(distinct):
        repeated.record(number, number + 1, is_own_response=False)
    for _ in range(equal):
        repeated.record(1, 1, is_own_response=False)
    for _ in range(certain_equal):
        repeated.record(1, 1, is_own_response=True)
    return repeated


@pytest.mark.parametrize(
    ("repeated", "is_known", "is_copy"),
    [
        (after_pairs(MIN_PAIRS - 1, 0), False, False),
        (after_pairs(MIN_PAIRS, 0), True, True),
        (after_pairs(MIN_PAIRS // 2, MIN_PAIRS // 2), True, True),  # all of these may be second copies
        (after_pairs(MIN_PAIRS // 2 - 1, MIN_PAIRS // 2 + 1), True, False),
        (after_pairs(1000, 0, certain_equal=1), True, False),
        (after_pairs(0, 0, certain_equal=1), True, False),
    ],
)
def test_an_equal_response_is_a_copy_only_where_responses_do_not_repeat(
    repeated: RepeatedResponses, is_known: bool, is_copy: bool
) -> None:
    assert repeated.is_known == is_known
    assert repeated.is_copy(7, 7) == is_copy
    assert not repeated.is_copy(7, 8)
    assert not repeated.is_copy(None, None)


def test_a_response_that_is_not_compared_makes_no_pair() -> None:
    repeated = RepeatedResponses()
    for _ in range(2 * MIN_PAIRS):
        repeated.record(None, 1, is_own_response=True)
        repeated.record(1, None, is_own_response=True)
    assert not repeated.is_known
