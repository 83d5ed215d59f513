"""Quota escrow: each sidecar owns a fixed share of the fleet's budgets and lends some of it on leases.

The sum of what all sidecars may spend never exceeds the budget, in spite of lost, delayed and duplicate
messages, restarts and paused processes:

- The borrower counts the term from its request, the lender from its grant, and the lender's term is longer by
  the maximum drift between two clocks (Gray and Cheriton, "Leases", SOSP 1989).
- Borrowed quota is not lent again.
- A process that has started may spend nothing until every lease that its predecessor may have granted or
  borrowed has expired.

Escrow: O'Neil, "The Escrow Transactional Method", TODS 1986. Times are microseconds of a monotonic clock;
quota is counted in parts, of which the fleet has `TOTAL_PARTS`. The module is pure: it does no I/O and reads
no clock.
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
MAX_CLOCK_DRIFT = 0.02  # maximum relative difference between the rates of two clocks
MAX_CLOCK_READ_AGE_US = 100_000  # maximum time between reading the clock and acting on the reading
REQUEST_TIMEOUT_US = 1_000_000  # after this time a new request may be sent to a lender that has not responded
MIN_LEASE_PARTS = 1000  # smaller leases are not worth a message
MAX_LEASES = 8  # maximum number of leases that a sidecar grants, and of those that it borrows
MAX_CLOSED_LEASES = 64 * MAX_LEASES  # ids of closed leases are kept, so that a late request can't reopen one
RESERVED_SHARE = 0.25  # share of the owned quota that is never lent, so that a burst can be served at once
LEASE_ID_BITS = 52


def grant_term_us() -> int:
    """Returns how long the lender counts a lease as lent, in microseconds; its borrower's term is shorter."""
    return int(LEASE_TERM_US * (1 + MAX_CLOCK_DRIFT)) + MAX_CLOCK_READ_AGE_US


@dataclass(slots=True, frozen=True)
class Grant:
    """The lent parts, and the time from which on the lender may spend them again."""

    parts: int
    expires_us: int


@dataclass(slots=True)
class GrantedLease:
    """A lease as recorded by its lender.

    A renewal adds a grant. An older grant that is larger counts until it expires, because the borrower may
    not have received the newer one.
    """

    borrower: str
    grants: list[Grant] = field(default_factory=list)

    def lent_parts(self, now_us: int) -> int:
        """Returns the parts of the largest unexpired grant, and removes expired grants."""
        self.grants = [grant for grant in self.grants if grant.expires_us > now_us]
        return max((grant.parts for grant in self.grants), default=0)


@dataclass(slots=True)
class BorrowedLease:
    """A lease as recorded by its borrower."""

    lender: str
    parts: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A lease request that has no response yet."""

    lender: str
    requested_us: int
    renews: int  # the lease that the new one replaces, or NO_LEASE


class QuotaEscrow:
    """The quota that one sidecar owns, has lent and has borrowed."""

    def __init__(self, index: int, instances: int, rng: random.Random, now_us: int) -> None:
        self.owned_parts = TOTAL_PARTS // instances if 0 <= index < instances else 0
        self.usable_from_us = now_us + grant_term_us()  # the owned quota may not be spent before
        self.rng = rng
        self.granted: dict[int, GrantedLease] = {}  # leases granted to peers, by lease id
        self.borrowed: dict[int, BorrowedLease] = {}  # leases granted by peers, by lease id
        self.pending: dict[int, PendingRequest] = {}  # requests without a response, by lease id
        self.closed: dict[int, None] = {}  # ids of leases that can't be granted again, oldest first
        self.is_suspended = False  # set while another process with precedence claims the same index

    # Usable quota

    def retained_parts(self, now_us: int) -> int:
        """Returns the owned quota that may be spent here: what is not lent."""
        if self.is_suspended or now_us < self.usable_from_us:
            return 0
        return max(0, self.owned_parts - self.lent_parts(now_us))

    def lent_parts(self, now_us: int) -> int:
        """Returns the quota that is lent, and removes leases that have expired."""
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

        Callers must not cache the value: leases may have expired since, for example while the process was
        stopped.
        """
        return self.retained_parts(now_us) + self.borrowed_parts(now_us)

    def lendable_parts(self, needed_parts: int, now_us: int) -> int:
        """Returns the quota that may be lent while this sidecar needs `needed_parts` itself."""
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

        Returns None while another request to the lender is pending, if the lease would be too small, if the
        maximum number of leases is reached, or while the escrow is suspended.
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
        """Records a response to a lease request. Returns whether it creates a lease.

        It creates none if the lender rejects the request, if the response matches no pending request, or if
        the term has ended before the response arrived.
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
        """Removes a borrowed lease, and returns the message that returns it to its lender."""
        del self.borrowed[lease_id]
        return LeaseReturn(lease_id)

    # Lending

    def handle_request(
        self, borrower: str, request: LeaseRequest, needed_parts: int, now_us: int
    ) -> LeaseGrant:
        """Handles a peer's request and returns the response; quota that this sidecar needs is not granted."""
        rejection = LeaseGrant(request.lease_id, request.requested_us, 0)
        if request.lease_id in self.granted or request.lease_id in self.closed:
            return rejection  # the request is a duplicate
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
        # The quota of the renewed lease can be granted again, but only to its borrower.
        available_parts = self.retained_parts(now_us) + renewed.lent_parts(now_us)
        return max(0, available_parts - self._reserved_parts(needed_parts))

    def receive_return(self, borrower: str, message: LeaseReturn) -> None:
        """Closes a lease that its borrower returns before it expires."""
        lease = self.granted.get(message.lease_id)
        if lease is not None and lease.borrower == borrower:
            del self.granted[message.lease_id]
            self._remember_closed(message.lease_id)

    def _remember_closed(self, lease_id: int) -> None:
        self.closed[lease_id] = None
        while len(self.closed) > MAX_CLOSED_LEASES:
            del self.closed[next(iter(self.closed))]

    def lent_by_borrower(self, now_us: int) -> dict[str, int]:
        """Returns the number of lent parts, by borrower."""
        lent: dict[str, int] = {}
        for lease in self.granted.values():
            parts = lease.lent_parts(now_us)
            if parts:
                lent[lease.borrower] = lent.get(lease.borrower, 0) + parts
        return lent

    def expirations_us(self, now_us: int) -> list[int]:
        """Returns the expiry times of the borrowed leases that have not expired."""
        return [lease.expires_us for lease in self.borrowed.values() if lease.expires_us > now_us]
