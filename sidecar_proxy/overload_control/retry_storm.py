"""Detects retry storms: rejected clients whose retries are rejected again."""

from __future__ import annotations

from dataclasses import dataclass

BEGIN_REJECTED_SHARE = 0.2  # of the attempts
BEGIN_RETRY_SHARE = 0.3  # of the attempts, while at least END_REJECTED_SHARE is rejected
END_REJECTED_SHARE = 0.05
BEGIN_DELAY_US = 500_000  # the condition has to hold for so long, as for the end of a storm
END_DELAY_US = 3_000_000
MIN_ATTEMPTS_PER_S = 4.0  # shares of fewer attempts are not significant


@dataclass(slots=True)
class RetryStormDetector:
    """Tells whether there is a retry storm, with hysteresis."""

    is_active: bool = False
    reason: str = ""  # of the last change; operators read it
    condition_since_us: int | None = None  # of the condition for a change

    def update(
        self,
        attempts_per_s: float,
        retries_per_s: float,
        rejections_per_s: float,
        fleet_has_storm: bool,
        now_us: int,
    ) -> bool:
        """Takes in the present rates, and whether most of the fleet sees a storm.

        Returns whether `is_active` has changed.
        """
        rejected_share = 0.0
        retry_share = 0.0
        if attempts_per_s >= MIN_ATTEMPTS_PER_S:
            rejected_share = rejections_per_s / attempts_per_s
            retry_share = retries_per_s / attempts_per_s
        if self.is_active:
            holds = rejected_share < END_REJECTED_SHARE and not fleet_has_storm
            delay_us = END_DELAY_US
        else:
            holds = _begins(rejected_share, retry_share, fleet_has_storm)
            delay_us = BEGIN_DELAY_US
        if not holds:
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


def _begins(rejected_share: float, retry_share: float, fleet_has_storm: bool) -> bool:
    if rejected_share >= BEGIN_REJECTED_SHARE:
        return True
    has_rejections = rejected_share >= END_REJECTED_SHARE
    return has_rejections and (retry_share >= BEGIN_RETRY_SHARE or fleet_has_storm)


def _begin_reason(
    attempts_per_s: float, rejected_share: float, retry_share: float, fleet_has_storm: bool
) -> str:
    # the OVERLOAD command answers this text, so its words stay
    reason = f"{rejected_share:.0%} of {attempts_per_s:.0f} tries a second refused, {retry_share:.0%} repeats"
    if fleet_has_storm:
        reason += ", most of the fleet says so"
    return reason
