"""Detects retry storms: overload that lasts because rejected clients retry and are rejected again."""

from __future__ import annotations

from dataclasses import dataclass

# A storm begins if this share of the attempts is rejected.
BEGIN_REJECTED_SHARE = 0.2
# It also begins if this share of the attempts is retries and END_REJECTED_SHARE of the attempts is rejected.
BEGIN_RETRY_SHARE = 0.3
END_REJECTED_SHARE = 0.05  # a storm ends if a smaller share of the attempts is rejected
BEGIN_DELAY_US = 500_000  # the condition for the beginning must be met without interruption for this time
END_DELAY_US = 3_000_000  # the condition for the end must be met without interruption for this time
MIN_ATTEMPTS_PER_S = 4.0  # with fewer attempts the shares are not significant and count as 0


@dataclass(slots=True)
class RetryStormDetector:
    """Detects the beginning and the end of a retry storm, with hysteresis."""

    is_active: bool = False
    reason: str = ""  # text for operators: why `is_active` changed last
    condition_since_us: int | None = None  # time since which the condition for a change of `is_active` is met

    def update(
        self,
        attempts_per_s: float,
        retries_per_s: float,
        rejections_per_s: float,
        fleet_has_storm: bool,
        now_us: int,
    ) -> bool:
        """Evaluates the current rates; returns whether `is_active` has changed.

        `fleet_has_storm`: sidecars with more than half of the reported quota report a storm.
        """
        rejected_share = 0.0
        retry_share = 0.0
        if attempts_per_s >= MIN_ATTEMPTS_PER_S:
            rejected_share = rejections_per_s / attempts_per_s
            retry_share = retries_per_s / attempts_per_s
        if self.is_active:
            is_condition_met = rejected_share < END_REJECTED_SHARE and not fleet_has_storm
            delay_us = END_DELAY_US
        else:
            is_condition_met = _is_beginning(rejected_share, retry_share, fleet_has_storm)
            delay_us = BEGIN_DELAY_US
        if not is_condition_met:
            self.condition_since_us = None
            return False
        if self.condition_since_us is None:
            self.condition_since_us = now_us
            return False
        if now_us - self.condition_since_us < delay_us:
            return False
        if self.is_active:
            self.reason = f"over: {rejected_share:.0%} of {attempts_per_s:.0f} tries a second refused"
        else:
            self.reason = _begin_reason(attempts_per_s, rejected_share, retry_share, fleet_has_storm)
        self.is_active = not self.is_active
        self.condition_since_us = None
        return True


def _is_beginning(rejected_share: float, retry_share: float, fleet_has_storm: bool) -> bool:
    if rejected_share >= BEGIN_REJECTED_SHARE:
        return True
    has_rejections = rejected_share >= END_REJECTED_SHARE
    return has_rejections and (retry_share >= BEGIN_RETRY_SHARE or fleet_has_storm)


def _begin_reason(
    attempts_per_s: float, rejected_share: float, retry_share: float, fleet_has_storm: bool
) -> str:
    # The answer of the OVERLOAD command contains this text, so its wording must not change.
    reason = f"{rejected_share:.0%} of {attempts_per_s:.0f} tries a second refused, {retry_share:.0%} repeats"
    if fleet_has_storm:
        reason += ", most of the fleet says so"
    return reason
