"""Quota escrow: usable quotas never exceed the total, whatever is requested, granted, lost or restarted."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sidecar_proxy.overload_control.messages import (
    TOTAL_PARTS,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    LeaseReturn,
)
from sidecar_proxy.overload_control.quota_leases import (
    LEASE_TERM_US,
    MAX_CLOCK_READ_AGE_US,
    RESERVED_SHARE,
    QuotaEscrow,
    grant_term_us,
)

SIDECARS = 3
INDEXES = st.integers(0, SIDECARS - 1)
CLOCK_RATES = (0.992, 1.0, 1.008)


@dataclass(frozen=True)
class SentMessage:
    """A message that was sent on the network, which may deliver it any number of times."""

    source: int
    target: int
    message: LeaseMessage


class EscrowMachine(RuleBasedStateMachine):
    """Three sidecars with their own clocks, and a network that duplicates, delays and loses messages."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.incarnations = [0] * SIDECARS
        self.escrows = [self.new_escrow(index) for index in range(SIDECARS)]
        self.sent: list[SentMessage] = []  # all messages ever sent
        self.now_us = grant_term_us() * 2

    def new_escrow(self, index: int) -> QuotaEscrow:
        rng = random.Random(f"{index} {self.incarnations[index]}")
        return QuotaEscrow(index, SIDECARS, rng, self.clock_us(index))

    def clock_us(self, index: int) -> int:
        return int(self.now_us * CLOCK_RATES[index])

    @rule(index=INDEXES, lender=INDEXES, parts=st.integers(1, TOTAL_PARTS))
    def request(self, index: int, lender: int, parts: int) -> None:
        if index == lender:
            return
        request = self.escrows[index].request_lease(str(lender), parts, self.clock_us(index))
        if request is not None:
            self.sent.append(SentMessage(index, lender, request))

    @rule(index=INDEXES, choice=st.integers(0, 7), parts=st.integers(1, TOTAL_PARTS))
    def renew(self, index: int, choice: int, parts: int) -> None:
        borrowed = list(self.escrows[index].borrowed.items())
        if not borrowed:
            return
        lease_id, lease = borrowed[choice % len(borrowed)]
        request = self.escrows[index].request_lease(
            lease.lender, parts, self.clock_us(index), renews=lease_id
        )
        if request is not None:
            self.sent.append(SentMessage(index, int(lease.lender), request))

    @rule(index=INDEXES, choice=st.integers(0, 7))
    def release(self, index: int, choice: int) -> None:
        borrowed = list(self.escrows[index].borrowed.items())
        if borrowed:
            lease_id, lease = borrowed[choice % len(borrowed)]
            message = self.escrows[index].release_lease(lease_id)
            self.sent.append(SentMessage(index, int(lease.lender), message))

    @rule(choice=st.integers(0, 1000), latest=st.booleans(), needed=st.integers(0, TOTAL_PARTS // SIDECARS))
    def deliver(self, choice: int, latest: bool, needed: int) -> None:
        """Delivers any message that was ever sent; the latest one is chosen more often."""
        if not self.sent:
            return
        sent = self.sent[-1] if latest else self.sent[choice % len(self.sent)]
        escrow = self.escrows[sent.target]
        now_us = self.clock_us(sent.target)
        source = str(sent.source)
        if isinstance(sent.message, LeaseRequest):
            grant = escrow.handle_request(source, sent.message, needed, now_us)
            self.sent.append(SentMessage(sent.target, sent.source, grant))
        elif isinstance(sent.message, LeaseGrant):
            escrow.receive_grant(source, sent.message, now_us)
        else:
            escrow.receive_return(source, sent.message)

    @rule(
        elapsed_us=st.sampled_from(
            [1, 100_000, LEASE_TERM_US // 2, LEASE_TERM_US - 1, LEASE_TERM_US, grant_term_us()]
        )
    )
    def wait(self, elapsed_us: int) -> None:
        self.now_us += elapsed_us

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.incarnations[index] += 1
        self.escrows[index] = self.new_escrow(index)

    @invariant()
    def usable_quotas_never_exceed_the_total(self) -> None:
        # This must also be true for a process that was paused for a moment after it had read its clock.
        for delay_us in (0, MAX_CLOCK_READ_AGE_US // 2):
            quotas = [
                escrow.usable_parts(self.clock_us(index) + delay_us)
                for index, escrow in enumerate(self.escrows)
            ]
            assert sum(quotas) <= TOTAL_PARTS, quotas


TestEscrowMachine = EscrowMachine.TestCase
TestEscrowMachine.settings = settings(max_examples=120, stateful_step_count=40, deadline=None)


NOW_US = 2 * grant_term_us()  # late enough for the escrows of the fixtures to spend their owned quota
HALF_PARTS = TOTAL_PARTS // 2
QUARTER_PARTS = TOTAL_PARTS // 4


@pytest.fixture
def borrower() -> QuotaEscrow:
    return QuotaEscrow(0, 2, random.Random(0), 0)


@pytest.fixture
def lender() -> QuotaEscrow:
    return QuotaEscrow(1, 2, random.Random(1), 0)


def request_quarter(borrower: QuotaEscrow) -> LeaseRequest:
    request = borrower.request_lease("lender", QUARTER_PARTS, NOW_US)
    assert request is not None
    return request


def borrow(borrower: QuotaEscrow, lender: QuotaEscrow, parts: int) -> bool:
    request = borrower.request_lease("lender", parts, NOW_US)
    assert request is not None
    return borrower.receive_grant("lender", lender.handle_request("borrower", request, 0, NOW_US), NOW_US)


def test_lent_quota_expires_for_the_borrower_before_the_lender_may_use_it_again(
    borrower: QuotaEscrow, lender: QuotaEscrow
) -> None:
    assert borrower.usable_parts(NOW_US) == HALF_PARTS
    assert lender.usable_parts(NOW_US) == HALF_PARTS
    assert borrow(borrower, lender, QUARTER_PARTS)
    assert borrower.usable_parts(NOW_US) == 3 * QUARTER_PARTS
    assert lender.usable_parts(NOW_US) == QUARTER_PARTS
    assert borrower.usable_parts(NOW_US + LEASE_TERM_US) == HALF_PARTS
    assert lender.usable_parts(NOW_US + LEASE_TERM_US) == QUARTER_PARTS
    assert lender.usable_parts(NOW_US + grant_term_us()) == HALF_PARTS


def test_grant_received_after_the_term_is_ignored(borrower: QuotaEscrow, lender: QuotaEscrow) -> None:
    grant = lender.handle_request("borrower", request_quarter(borrower), 0, NOW_US)
    assert grant.parts
    assert not borrower.receive_grant("lender", grant, NOW_US + LEASE_TERM_US)
    assert borrower.usable_parts(NOW_US) == HALF_PARTS


def test_grant_of_another_sidecar_or_another_request_is_ignored(
    borrower: QuotaEscrow, lender: QuotaEscrow
) -> None:
    grant = lender.handle_request("borrower", request_quarter(borrower), 0, NOW_US)
    grant_of_another_request = LeaseGrant(grant.lease_id, grant.requested_us + 1, grant.parts)
    assert not borrower.receive_grant("another", grant, NOW_US)
    assert not borrower.receive_grant("lender", grant_of_another_request, NOW_US)
    assert borrower.receive_grant("lender", grant, NOW_US)
    assert not borrower.receive_grant("lender", grant, NOW_US)


def test_reserved_share_is_never_lent(borrower: QuotaEscrow, lender: QuotaEscrow) -> None:
    assert borrow(borrower, lender, TOTAL_PARTS)
    assert lender.usable_parts(NOW_US) == int(HALF_PARTS * RESERVED_SHARE)


def test_quota_that_the_lender_needs_is_not_lent() -> None:
    lender = QuotaEscrow(0, 3, random.Random(3), 0)
    request = LeaseRequest(7, 1, TOTAL_PARTS, 0)
    assert lender.handle_request("borrower", request, TOTAL_PARTS // 3, NOW_US).parts == 0


def test_duplicate_request_is_rejected(borrower: QuotaEscrow, lender: QuotaEscrow) -> None:
    request = request_quarter(borrower)
    assert lender.handle_request("borrower", request, 0, NOW_US).parts == QUARTER_PARTS
    assert lender.handle_request("borrower", request, 0, NOW_US).parts == 0


def test_request_that_arrives_after_its_lease_was_returned_is_rejected(
    borrower: QuotaEscrow, lender: QuotaEscrow
) -> None:
    request = request_quarter(borrower)
    lender.handle_request("borrower", request, 0, NOW_US)
    lender.receive_return("borrower", LeaseReturn(request.lease_id))
    assert lender.usable_parts(NOW_US) == HALF_PARTS
    assert lender.handle_request("borrower", request, 0, NOW_US).parts == 0


def test_return_by_another_sidecar_is_ignored(borrower: QuotaEscrow, lender: QuotaEscrow) -> None:
    request = request_quarter(borrower)
    lender.handle_request("borrower", request, 0, NOW_US)
    lender.receive_return("another", LeaseReturn(request.lease_id))
    assert lender.lent_by_borrower(NOW_US) == {"borrower": QUARTER_PARTS}


def test_no_second_request_is_sent_to_a_lender_before_its_response(borrower: QuotaEscrow) -> None:
    request_quarter(borrower)
    assert borrower.request_lease("lender", QUARTER_PARTS, NOW_US) is None
    assert borrower.request_lease("another", QUARTER_PARTS, NOW_US) is not None


def test_suspended_escrow_has_no_quota_and_borrows_none(borrower: QuotaEscrow) -> None:
    borrower.is_suspended = True
    assert borrower.usable_parts(NOW_US) == 0
    assert borrower.request_lease("lender", QUARTER_PARTS, NOW_US) is None


def test_started_process_has_no_quota_until_leases_of_its_predecessor_have_expired() -> None:
    escrow = QuotaEscrow(0, 2, random.Random(0), 1000)
    assert escrow.usable_parts(1000 + grant_term_us() - 1) == 0
    assert escrow.usable_parts(1000 + grant_term_us()) == HALF_PARTS


def test_index_outside_of_the_fleet_owns_nothing() -> None:
    assert QuotaEscrow(5, 2, random.Random(0), 0).usable_parts(NOW_US) == 0
