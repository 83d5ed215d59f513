"""Which quota a sidecar borrows, renews and returns."""

from __future__ import annotations

import random

import pytest

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, LeaseGrant, LeaseRequest, LeaseReturn
from sidecar_proxy.overload_control.quota_borrowing import adjust_leases, compute_needed_parts
from sidecar_proxy.overload_control.quota_leases import LEASE_TERM_US, QuotaEscrow, grant_term_us
from tests.overload_control.reports import make_report

NOW_US = 2 * grant_term_us()
OWNED_PARTS = TOTAL_PARTS // 4


@pytest.fixture
def escrow() -> QuotaEscrow:
    return QuotaEscrow(0, 4, random.Random(0), 0)


def borrow(escrow: QuotaEscrow, lender: str, parts: int) -> int:
    request = escrow.request_lease(lender, parts, NOW_US)
    assert request is not None
    assert escrow.receive_grant(lender, LeaseGrant(request.lease_id, NOW_US, parts), NOW_US)
    return request.lease_id


def test_needed_quota_follows_the_share_of_the_fleets_demand() -> None:
    peers = [make_report(index, demand_per_s=12.0) for index in range(1, 4)]
    assert compute_needed_parts(12.0, peers, 4, OWNED_PARTS) == int(0.25 * 1.2 * TOTAL_PARTS)
    assert compute_needed_parts(1000.0, peers, 4, OWNED_PARTS) == TOTAL_PARTS


def test_needed_quota_is_smaller_while_only_some_peers_have_reported() -> None:
    peers = [make_report(1, demand_per_s=12.0)]
    assert compute_needed_parts(12.0, peers, 4, OWNED_PARTS) == int(0.5 * 1.2 * 0.5 * TOTAL_PARTS)


def test_needed_quota_without_any_demand_is_the_reserved_share() -> None:
    assert compute_needed_parts(0.0, [], 4, OWNED_PARTS) == OWNED_PARTS // 4


def test_nothing_is_requested_while_enough_is_owned(escrow: QuotaEscrow) -> None:
    peers = {"s1": make_report(1, lendable_parts=50_000)}
    assert adjust_leases(escrow, OWNED_PARTS, peers, NOW_US) == []


def test_missing_quota_is_requested_first_of_the_peer_that_can_lend_most(escrow: QuotaEscrow) -> None:
    peers = {
        "s1": make_report(1, lendable_parts=40_000),
        "s2": make_report(2, lendable_parts=60_000),
        "s3": make_report(3, lendable_parts=999),
    }
    messages = adjust_leases(escrow, OWNED_PARTS + 80_000, peers, NOW_US)
    requested = [
        (message.recipient, message.message.parts)
        for message in messages
        if isinstance(message.message, LeaseRequest)
    ]
    assert requested == [("s2", 60_000), ("s1", 20_000)]
    assert len(messages) == 2


def test_lease_is_renewed_once_half_of_its_term_is_over(escrow: QuotaEscrow) -> None:
    lease_id = borrow(escrow, "s1", 50_000)
    needed_parts = OWNED_PARTS + 50_000
    assert adjust_leases(escrow, needed_parts, {}, NOW_US + LEASE_TERM_US // 2) == []
    (message,) = adjust_leases(escrow, needed_parts, {}, NOW_US + LEASE_TERM_US // 2 + 1)
    assert message.recipient == "s1"
    assert isinstance(message.message, LeaseRequest)
    assert message.message.renews == lease_id
    assert message.message.parts == 50_000


def test_lease_that_is_not_needed_is_returned(escrow: QuotaEscrow) -> None:
    lease_id = borrow(escrow, "s1", 50_000)
    (message,) = adjust_leases(escrow, OWNED_PARTS - 10_000, {}, NOW_US)
    assert message.recipient == "s1"
    assert message.message == LeaseReturn(lease_id)
    assert escrow.usable_parts(NOW_US) == OWNED_PARTS
