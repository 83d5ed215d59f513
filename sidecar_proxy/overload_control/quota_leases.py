"""Quota escrow: each sidecar owns a fixed part of the fleet's budgets and lends some of it for a term.

The sum of what all sidecars may spend never exceeds the budget, whatever networks, restarts and pauses do:

- The borrower counts a term from its request, the lender from its grant, and the lender adds the highest
  difference in clock rate (Gray and Cheriton, "Leases", SOSP 1989).
- Borrowed quota is not lent on.
- A process that starts may spend nothing until every lease that its predecessor may have granted or held has
  expired.

Escrow: O'Neil, "The Escrow Transactional Method", TODS 1986. Times are microseconds of a monotonic clock;
quota is counted in parts of `TOTAL_PARTS`. The module is pure: it does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sidecar_proxy.overload_control.messages import (
    NO_LEASE,
    TOTAL_PARTS,
    LeaseGrant,
    LeaseRequest,
    LeaseReturn,
)

LEASE_TERM_US = 3_000_000
MAX_CLOCK_DRIFT = 0.02  # the rates of two clocks differ by less
MAX_CLOCK_READ_AGE_US = 100_000  # a process acts on a clock reading that is no older
REQUEST_TIMEOUT_US = 1_000_000  # a pending request blocks another one to the same lender
MIN_LEASE_PARTS = 1000  # smaller leases are not worth a message
MAX_LEASES = 8  # that one sidecar grants, and that it borrows
MAX_CLOSED_LEASES = 64 * MAX_LEASES  # remembered, so that a late request does not open them again
RESERVED_SHARE = 0.25  # of the owned quota, never lent, so that a burst can start at once
LEASE_ID_BITS = 52


def grant_term_us() -> int:
    """Returns how long the lender counts a lease as granted."""
    return int(LEASE_TERM_US * (1 + MAX_CLOCK_DRIFT)) + MAX_CLOCK_READ_AGE_US


@dataclass(slots=True, frozen=True)
class Grant:
    """One grant of a lease: the parts, and when the lender may spend them again."""

    parts: int
    expires_us: int


@dataclass(slots=True)
class GrantedLease:
    """A lease as its lender counts it.

    A renewal adds a grant, and an older and larger grant counts until it expires, because the borrower may
    not have received the newer one.
    """

    borrower: str
    grants: list[Grant] = field(default_factory=list)

    def lent_parts(self, now_us: int) -> int:
        """Returns the largest unexpired grant, and forgets the expired ones."""
        self.grants = [grant for grant in self.grants if grant.expires_us > now_us]
        return max((grant.parts for grant in self.grants), default=0)


@dataclass(slots=True)
class BorrowedLease:
    """A lease as its borrower counts it."""

    lender: str
    parts: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A lease request without a response."""

    lender: str
    requested_us: int
    renews: int  # the lease that the new one replaces, or NO_LEASE


class QuotaEscrow:
    """The quota that one sidecar owns, has lent and has borrowed."""

    def __init__(self, index: int, instances: int, rng: random.Random, now_us: int) -> None:
        self.owned_parts = TOTAL_PARTS // instances if 0 <= index < instances else 0
        self.usable_from_us = now_us + grant_term_us()  # applies to the owned quota
        self.rng = rng
        self.granted: dict[int, GrantedLease] = {}  # by lease id, as the three below
        self.borrowed: dict[int, BorrowedLease] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.closed: dict[int, None] = {}  # leases that can't be granted again, oldest first
        self.is_suspended = False  # another process claims the same index

    # Usable quota

    def retained_parts(self, now_us: int) -> int:
        """Returns the owned quota that may be spent here, without what is lent."""
        if self.is_suspended or now_us < self.usable_from_us:
            return 0
        return max(0, self.owned_parts - self.lent_parts(now_us))

    def lent_parts(self, now_us: int) -> int:
        """Returns the quota that is lent, and forgets the leases that have expired."""
        expired = [lease_id for lease_id, lease in self.granted.items() if not lease.lent_parts(now_us)]
        for lease_id in expired:
            del self.granted[lease_id]
        return sum(lease.lent_parts(now_us) for lease in self.granted.values())

    def borrowed_parts(self, now_us: int) -> int:
        """Returns the quota of the borrowed leases that have not expired."""
        if self.is_suspended:
            return 0
        return sum(lease.parts for lease in self.borrowed.values() if now_us < lease.expires_us)

    def usable_parts(self, now_us: int) -> int:
        """Returns the quota that may be spent now.

        Callers ask at each use, because the process may have been stopped since the last answer.
        """
        return self.retained_parts(now_us) + self.borrowed_parts(now_us)

    def lendable_parts(self, needed_parts: int, now_us: int) -> int:
        """Returns what may be lent while this sidecar needs `needed_parts` itself."""
        if len(self.granted) >= MAX_LEASES:
            return 0
        return max(0, self.retained_parts(now_us) - self._reserved_parts(needed_parts))

    def _reserved_parts(self, needed_parts: int) -> int:
        return max(int(self.owned_parts * RESERVED_SHARE), needed_parts)

    # Borrowing

    def request_lease(
        self, lender: str, parts: int, now_us: int, renews: int = NO_LEASE
    ) -> LeaseRequest | None:
        """Returns a request for a new lease, or for one that replaces the lease `renews`.

        Returns None while the lender has a request to answer, if the lease would be too small, if there are
        enough leases already, or while the escrow is suspended.
        """
        self.pending = {
            lease_id: request
            for lease_id, request in self.pending.items()
            if now_us - request.requested_us < REQUEST_TIMEOUT_US
        }
        self.borrowed = {
            lease_id: lease for lease_id, lease in self.borrowed.items() if now_us < lease.expires_us
        }
        has_pending_request = any(request.lender == lender for request in self.pending.values())
        if has_pending_request or parts < MIN_LEASE_PARTS or self.is_suspended:
            return None
        if renews not in self.borrowed and len(self.borrowed) + len(self.pending) >= MAX_LEASES:
            return None
        lease_id = self.rng.getrandbits(LEASE_ID_BITS) + 1
        self.pending[lease_id] = PendingRequest(lender, now_us, renews)
        return LeaseRequest(lease_id, now_us, min(parts, TOTAL_PARTS), renews)

    def receive_grant(self, lender: str, grant: LeaseGrant, now_us: int) -> bool:
        """Records a response. Returns whether there is a new lease.

        There is none if the lender rejects the request, if the response matches no pending request, or if the
        term has ended on the way.
        """
        request = self.pending.get(grant.lease_id)
        if request is None or request.lender != lender or request.requested_us != grant.requested_us:
            return False
        del self.pending[grant.lease_id]
        expires_us = request.requested_us + LEASE_TERM_US
        if grant.parts == 0 or now_us >= expires_us:
            return False
        self.borrowed.pop(request.renews, None)
        self.borrowed[grant.lease_id] = BorrowedLease(lender, grant.parts, expires_us)
        return True

    def release_lease(self, lease_id: int) -> LeaseReturn:
        """Stops spending a borrowed lease, and returns the message for its lender."""
        del self.borrowed[lease_id]
        return LeaseReturn(lease_id)

    # Lending

    def handle_request(
        self, borrower: str, request: LeaseRequest, needed_parts: int, now_us: int
    ) -> LeaseGrant:
        """Returns the response to a peer's request; it grants nothing that this sidecar needs itself."""
        rejection = LeaseGrant(request.lease_id, request.requested_us, 0)
        if request.lease_id in self.granted or request.lease_id in self.closed:
            return rejection  # a duplicate
        renewed = self.granted.get(request.renews)
        if renewed is not None and (renewed.borrower != borrower or not renewed.lent_parts(now_us)):
            renewed = None
        parts = min(request.parts, self._grantable_parts(renewed, needed_parts, now_us))
        if parts < MIN_LEASE_PARTS:
            return rejection
        grants = [Grant(parts, now_us + grant_term_us())]
        if renewed is not None:
            grants = [*renewed.grants, *grants]
            del self.granted[request.renews]
            self._remember_closed(request.renews)
        self.granted[request.lease_id] = GrantedLease(borrower, grants)
        return LeaseGrant(request.lease_id, request.requested_us, parts)

    def _grantable_parts(self, renewed: GrantedLease | None, needed_parts: int, now_us: int) -> int:
        if renewed is None:
            return self.lendable_parts(needed_parts, now_us)
        # the quota of the renewed lease can be granted again, but only to its borrower
        available_parts = self.retained_parts(now_us) + renewed.lent_parts(now_us)
        return max(0, available_parts - self._reserved_parts(needed_parts))

    def receive_return(self, borrower: str, message: LeaseReturn) -> None:
        """Takes a lease back that its borrower has released."""
        lease = self.granted.get(message.lease_id)
        if lease is not None and lease.borrower == borrower:
            del self.granted[message.lease_id]
            self._remember_closed(message.lease_id)

    def _remember_closed(self, lease_id: int) -> None:
        self.closed[lease_id] = None
        while len(self.closed) > MAX_CLOSED_LEASES:
            del self.closed[next(iter(self.closed))]

    def lent_by_borrower(self, now_us: int) -> dict[str, int]:
        """Returns the parts that are lent, by borrower."""
        lent: dict[str, int] = {}
        for lease in self.granted.values():
            parts = lease.lent_parts(now_us)
            if parts:
                lent[lease.borrower] = lent.get(lease.borrower, 0) + parts
        return lent

    def expirations_us(self, now_us: int) -> list[int]:
        """Returns when each of the borrowed leases that have not expired ends."""
        return [lease.expires_us for lease in self.borrowed.values() if lease.expires_us > now_us]
