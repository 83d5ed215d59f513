"""An exponentially smoothed rate of events."""

from __future__ import annotations

import math
from dataclasses import dataclass

TIME_CONSTANT_US = 1e6


@dataclass(slots=True)
class SmoothedRate:
    """Events per second, as an exponential moving average with `TIME_CONSTANT_US`.

    Callers add to `count` as events happen and call `update` at regular intervals.
    """

    updated_us: int
    per_s: float = 0.0
    count: int = 0  # events since the last update

    def update(self, now_us: int) -> None:
        """Updates the rate with the events counted since the last update, and resets the count."""
        elapsed_us = now_us - self.updated_us
        if elapsed_us <= 0:
            return
        decay = math.exp(-elapsed_us / TIME_CONSTANT_US)
        self.per_s = self.per_s * decay + self.count / elapsed_us * 1e6 * (1.0 - decay)
        self.updated_us = now_us
        self.count = 0
