"""The answer of the admin command OVERLOAD. Its keys are part of the operators' interface."""

from __future__ import annotations

from collections.abc import Sequence

from sidecar_proxy.overload_control.controller import OverloadController


def controller_status(controller: OverloadController, now_us: int) -> dict[str, object]:
    """Returns the state of the controller under the keys that operators' tools read."""
    load = controller.load
    escrow = controller.escrow
    storm = controller.storm_detector
    threshold = controller.threshold
    last_update = controller.last_update
    borrowed = {lease.lender: lease.parts for lease in escrow.borrowed.values() if lease.expires_us > now_us}
    return {
        "tries_per_s": round(load.attempts.per_s, 1),
        "repeats_per_s": round(load.early_retries.per_s, 1),
        "crowded_per_s": round(load.capacity_rejections.per_s, 1),
        "served_per_s": round(load.served_per_s, 1),
        "returns_per_s": round(load.returning_per_s, 1),
        "refused_per_s": round(load.rejections.per_s, 1),
        "index": controller.index,
        "instances": controller.instances,
        "storm": storm.is_active,
        "why": storm.reason,
        "weight": escrow.usable_parts(now_us),
        "owned": escrow.owned_parts,
        "lent": escrow.lent_by_borrower(now_us),
        "borrowed": borrowed,
        "number": controller.generation,
        "kept": _rounded(threshold.admitted_shares) if threshold is not None else None,
        "returning": _rounded(threshold.returning_shares) if threshold is not None else None,
        "return_us": last_update.retry_after_us if last_update is not None else 0,
        "demand_us": int(threshold.demand_us) if threshold is not None else 0,
        "room_us": int(threshold.capacity_us) if threshold is not None else 0,
        "backlog": threshold.backlog if threshold is not None else 0,
        "heard": controller.peers.ages_us(now_us),
        "counts": {event.value: count for event, count in controller.lease_events.items()},
    }


def _rounded(shares: Sequence[float]) -> list[float]:
    return [round(share, 3) for share in shares]
