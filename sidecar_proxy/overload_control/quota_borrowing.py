"""Decides which quota a sidecar borrows, renews and returns.

Quota follows demand: a sidecar needs a share of the fleet's quota in proportion to its share of the fleet's
demand. The module is pure: its functions update the escrow that is passed to them and return the messages to
send.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, Report
from sidecar_proxy.overload_control.outputs import SendMessage
from sidecar_proxy.overload_control.quota_leases import (
    LEASE_TERM_US,
    MIN_LEASE_PARTS,
    RESERVED_SHARE,
    QuotaEscrow,
)

HEADROOM_FACTOR = 1.2  # a sidecar needs more than its share of the demand, because demand varies randomly
RENEW_BELOW_TERM_SHARE = 0.5  # a lease is renewed once less than this share of its term remains


def reserved_parts(owned_parts: int) -> int:
    """Returns the parts that a sidecar without demand reserves for itself."""
    return int(owned_parts * RESERVED_SHARE)


def compute_needed_parts(
    own_demand_per_s: float, peer_reports: Sequence[Report], instances: int, owned_parts: int
) -> int:
    """Returns the quota, in parts, that this sidecar needs for its share of the fleet's demand."""
    peer_demands_per_s = [
        sum(load.demand_per_1000_s for load in report.classes) / 1000 for report in peer_reports
    ]
    total_per_s = own_demand_per_s + sum(peer_demands_per_s)
    if total_per_s <= 0.0:
        return reserved_parts(owned_parts)
    # While some sidecars have not reported, the others divide only their own share of the fleet's quota.
    reported_share = (len(peer_demands_per_s) + 1) / instances
    needed_share = min(1.0, HEADROOM_FACTOR * own_demand_per_s / total_per_s * min(1.0, reported_share))
    return int(needed_share * TOTAL_PARTS)


def adjust_leases(
    escrow: QuotaEscrow, needed_parts: int, peer_reports: Mapping[str, Report], now_us: int
) -> list[SendMessage]:
    """Borrows missing quota, renews leases that are needed and returns those that are not.

    `peer_reports` are by name. Returns the messages to the lenders.
    """
    missing_parts = needed_parts - escrow.usable_parts(now_us)
    if missing_parts < MIN_LEASE_PARTS and not escrow.borrowed:
        return []
    messages: list[SendMessage] = []
    missing_parts = _renew_or_release(escrow, missing_parts, peer_reports, now_us, messages)
    _borrow(escrow, missing_parts, peer_reports, now_us, messages)
    return messages


def _renew_or_release(
    escrow: QuotaEscrow,
    missing_parts: int,
    peer_reports: Mapping[str, Report],
    now_us: int,
    messages: list[SendMessage],
) -> int:
    """Renews or returns borrowed leases; returns the parts that are still missing."""
    for lease_id, lease in list(escrow.borrowed.items()):
        if now_us >= lease.expires_us:
            continue
        if missing_parts <= -lease.parts - MIN_LEASE_PARTS:
            messages.append(SendMessage(lease.lender, escrow.release_lease(lease_id)))
            missing_parts += lease.parts
            continue
        report = peer_reports.get(lease.lender)
        lendable_parts = report.lendable_parts if report is not None else 0
        added_parts = min(missing_parts, lendable_parts)
        is_due = lease.expires_us - now_us < RENEW_BELOW_TERM_SHARE * LEASE_TERM_US
        if not is_due and added_parts < MIN_LEASE_PARTS:
            continue
        request = escrow.request_lease(lease.lender, lease.parts + added_parts, now_us, renews=lease_id)
        if request is not None:
            messages.append(SendMessage(lease.lender, request))
            missing_parts -= added_parts
    return missing_parts


def _borrow(
    escrow: QuotaEscrow,
    missing_parts: int,
    peer_reports: Mapping[str, Report],
    now_us: int,
    messages: list[SendMessage],
) -> None:
    """Requests new leases, beginning with the peers that can lend most."""
    lenders = {lease.lender for lease in escrow.borrowed.values()}
    candidates = [
        (report.lendable_parts, name)
        for name, report in peer_reports.items()
        if report.lendable_parts >= MIN_LEASE_PARTS and name not in lenders
    ]
    candidates.sort(reverse=True)
    for lendable_parts, name in candidates:
        if missing_parts < MIN_LEASE_PARTS:
            break
        request = escrow.request_lease(name, min(lendable_parts, missing_parts), now_us)
        if request is not None:
            messages.append(SendMessage(name, request))
            missing_parts -= request.parts
