"""The shortest and the usual response time of an upstream, by which a misplaced response is recognized.

On a connection that was used shortly before, a response may be a late second copy of the previous response.
No response can come sooner than the network and the upstream allow, so one that comes much sooner than any
before belongs to the previous request. Times are passed in; the module reads no clock.
"""

from __future__ import annotations

MIN_SAMPLES = 16  # number of response times from which the shortest one is relied on
MIN_FLOOR_S = 0.005  # shorter response times vary too much with the load of the machine
FLOOR_SHARE = 0.75  # share of the shortest response time below which a response is too early
MAX_EARLY_S = 0.005  # a response that takes longer than this is never too early
TYPICAL_WEIGHT = 1 / 8  # weight of the latest response time in the moving average


class ResponseFloor:
    """Response times of one upstream, or of all upstreams of a pool."""

    def __init__(self) -> None:
        self.samples = 0
        self.shortest_s = float("inf")
        self.typical_s = float("inf")  # exponentially weighted moving average

    def record(self, elapsed_s: float) -> None:
        """Record the time of a response that certainly belongs to its request."""
        self.samples += 1
        self.shortest_s = min(self.shortest_s, elapsed_s)
        if self.samples == 1:
            self.typical_s = elapsed_s
        else:
            self.typical_s += TYPICAL_WEIGHT * (elapsed_s - self.typical_s)

    @property
    def is_reliable(self) -> bool:
        """Whether there are enough samples to rely on the shortest one."""
        return self.samples >= MIN_SAMPLES

    def early_limit_s(self) -> float:
        """Return the response time below which a response is too early; 0.0 if that can't be told."""
        if not self.is_reliable or self.shortest_s < MIN_FLOOR_S:
            return 0.0
        return min(MAX_EARLY_S, FLOOR_SHARE * self.shortest_s)
