"""Decides which quota a sidecar borrows, renews and gives back.

Quota follows demand: a sidecar needs the part of the fleet's quota that its part of the fleet's demand has.
The module is pure: it changes the escrow that it is given and returns the messages to send.
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

HEADROOM = 1.2  # times the demand's part, for random variation
RENEW_BELOW = 0.5  # of the term left


def reserved_parts(owned_parts: int) -> int:
    """Returns what a sidecar without demand keeps."""
    return int(owned_parts * RESERVED_SHARE)


def needed_parts(
    own_demand_per_s: float, peer_reports: Sequence[Report], instances: int, owned_parts: int
) -> int:
    """Returns the quota that this sidecar's part of the fleet's demand needs."""
    peer_demands_per_s = [
        sum(load.demand_per_1000_s for load in report.classes) / 1000 for report in peer_reports
    ]
    total_per_s = own_demand_per_s + sum(peer_demands_per_s)
    if total_per_s <= 0.0:
        return reserved_parts(owned_parts)
    # while only some sidecars have reported, their part of the fleet's quota is divided
    reported_share = (len(peer_demands_per_s) + 1) / instances
    needed_share = min(1.0, HEADROOM * own_demand_per_s / total_per_s * min(1.0, reported_share))
    return int(needed_share * TOTAL_PARTS)


def adjust_leases(
    escrow: QuotaEscrow, wanted_parts: int, peer_reports: Mapping[str, Report], now_us: int
) -> list[SendMessage]:
    """Borrows what is missing, renews what is used and gives back what is not.

    `peer_reports` are by name. Returns the messages for the lenders.
    """
    missing_parts = wanted_parts - escrow.usable_parts(now_us)
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
    """Goes through the borrowed leases; returns the parts that are still missing."""
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
        is_due = lease.expires_us - now_us < RENEW_BELOW * LEASE_TERM_US
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
    """Requests new leases, first of the peers that have most to lend."""
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
