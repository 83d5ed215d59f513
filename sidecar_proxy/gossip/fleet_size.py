"""A damped estimate of the fleet's size, for the decisions that divide by it. Pure."""

from __future__ import annotations

SHRINK_DELAY_US = 300_000_000


class FleetSizeEstimator:
    """The number of live instances: rises at once, falls late and never below a floor.

    Half of a partition would otherwise take itself for the whole fleet. After the delay the estimate falls to
    the highest number seen during it.
    """

    def __init__(self, floor: int) -> None:
        self._floor = floor
        self._estimate = floor
        self._below_since_us = 0  # 0 = the live number is not below the estimate
        self._max_since = 0  # highest live number since then

    def update(self, live: int, now_us: int) -> int:
        """Take the live number, this instance included, and return the estimate."""
        live = max(live, self._floor)
        if live >= self._estimate:
            self._estimate = live
            self._below_since_us = 0
        elif not self._below_since_us:
            self._below_since_us = now_us
            self._max_since = live
        else:
            self._max_since = max(self._max_since, live)
            if now_us - self._below_since_us >= SHRINK_DELAY_US:
                self._estimate = self._max_since
                self._below_since_us = 0
        return self._estimate
