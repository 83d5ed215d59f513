"""A damped estimate of the fleet's size, for decisions that divide by it. Times are passed in."""

from __future__ import annotations

SHRINK_DELAY_US = 300_000_000  # time for which the live number must be lower before the estimate falls


class FleetSizeEstimator:
    """An estimate of the number of instances that rises at once, falls after a delay, and has a minimum.

    Without the delay, each side of a partition would take itself for the complete fleet. After the delay the
    estimate falls to the highest live number during the delay.
    """

    def __init__(self, min_instances: int) -> None:
        self._min_instances = min_instances
        self._estimate = min_instances
        self._below_since_us = 0  # start of the delay; 0 = the live number is not below the estimate
        self._max_live_since = 0  # highest live number since the start of the delay

    def update(self, live: int, now_us: int) -> int:
        """Update the estimate with the number of live instances, including this one, and return it."""
        live = max(live, self._min_instances)
        if live >= self._estimate:
            self._estimate = live
            self._below_since_us = 0
        elif not self._below_since_us:
            self._below_since_us = now_us
            self._max_live_since = live
        else:
            self._max_live_since = max(self._max_live_since, live)
            if now_us - self._below_since_us >= SHRINK_DELAY_US:
                self._estimate = self._max_live_since
                self._below_since_us = 0
        return self._estimate
