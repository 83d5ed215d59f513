"""Which endpoints can be suspended, and how many listed names are kept."""

from __future__ import annotations

import pytest

from sidecar_proxy.admin.suspensions import MAX_SUSPENSIONS, Suspensions, UnknownEndpointError


def test_only_listed_or_suspended_names_can_be_suspended() -> None:
    suspensions = Suspensions()
    suspensions.add_listed("s-1")
    suspensions.check("s-1")
    for name in ("", "s-2", "x" * 10_000):
        with pytest.raises(UnknownEndpointError):
            suspensions.check(name)
    assert suspensions.replace({"s-9"}) == {"s-9"}  # stored by the previous process
    suspensions.check("s-9")
    assert suspensions.replace({"s-1"}) == {"s-1", "s-9"}
    assert suspensions.replace({"s-1"}) == set()


def test_oldest_listed_names_are_dropped_beyond_the_limit() -> None:
    suspensions = Suspensions()
    for number in range(MAX_SUSPENSIONS + 50):
        suspensions.add_listed(f"s-{number}")
    assert len(suspensions.listed_names) == MAX_SUSPENSIONS
    assert "s-49" not in suspensions.listed_names
