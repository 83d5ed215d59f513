"""Limits on the sends that are in flight to one upstream, or to all of them together. Pure.

A limit grows while answers are quick and more is needed, and shrinks while they are slow. Below 1 it is one
send at a time with a pause after each, so that a failing upstream is still tried now and then.
"""

from typing import Final

LIMIT_GAIN: Final = (
    0.4  # change of a limit over one round of answers, per unit of distance from the target load
)
TARGET_LOAD: Final = 0.7  # of a slow answer's time: where limits settle if a few sidecars share an upstream
SHARED_TARGET_LOAD: Final = 0.85  # the same if very many share it, and each has a small part in its queue
INITIAL_SLOTS_PER_UPSTREAM: Final = (
    8.0  # of all sidecars together: what a few cores serve within an objective
)
MIN_TOTAL_LIMIT: Final = 2.0  # initial slots of one sidecar at all upstreams together
MAX_LIMIT_GROWTH: Final = 8  # times the initial limit, however quick the answers
MIN_LIMIT: Final = 1 / 64  # a failing upstream is tried about once in 64 usual response times


def target_load(sidecar_share: float) -> float:
    """Return the load at which limits settle.

    `sidecar_share` is this sidecar's share of an upstream's initial slots. The smaller it is, the less of a
    queue is this sidecar's doing, and the later it closes slots; otherwise all would close them for the
    same queue.
    """
    return SHARED_TARGET_LOAD - (SHARED_TARGET_LOAD - TARGET_LOAD) * min(1.0, sidecar_share)


class ConcurrencyLimiter:
    """Counts the sends in flight against a limit that adapts."""

    def __init__(self, limit: float) -> None:
        self.in_flight = 0
        self.initial_limit = limit
        self.limit = limit  # below 1: one send at a time, and a pause between sends
        self.paused_until_us = 0

    def free_slots(self, now_us: int) -> int:
        """Return how many more sends may start now; negative if the limit fell below those in flight."""
        if self.limit >= 1.0:
            return int(self.limit) - self.in_flight
        return int(now_us >= self.paused_until_us) - self.in_flight

    def update_limit(self, load: float, target: float, is_needed: bool, floor: float, weight: float) -> None:
        """Move the limit by one answer.

        `load` is the answer's time as a share of a slow answer's, `target` where it settles. The limit
        passes its initial value only if `is_needed`: slots opened without need choke upstreams in bursts.
        It does not fall below `floor` by slow answers alone. Growth counts `weight` times.
        """
        step = LIMIT_GAIN * (target - load) / max(self.limit, 1.0)
        if step < 0.0:
            # without a floor all would pause for long after an outage, and reject more where all are slow
            self.limit = max(self.limit * (1.0 + step), min(self.limit, floor))
        elif self.limit < self.initial_limit or is_needed:
            growth = min(self.limit, step * weight)
            self.limit = min(self.limit + growth, MAX_LIMIT_GROWTH * self.initial_limit)

    def halve(self) -> None:
        """Close half of the slots, after an attempt that counts against the upstream."""
        self.limit = max(self.limit / 2, MIN_LIMIT)

    def pause(self, now_us: int, busy_us: float, jitter: float) -> None:
        """With a limit below 1, rest so long that `busy_us` is this share of the time; jitter is 0 to 1."""
        if self.limit < 1.0:
            self.paused_until_us = now_us + int(busy_us * (1.0 / self.limit - 1.0) * (0.5 + jitter))

    def extend_pause(self, until_us: int) -> None:
        """Rest until then at least."""
        self.paused_until_us = max(self.paused_until_us, until_us)

    def rescale(self, initial_limit: float) -> None:
        """Change the initial limit; the limit keeps its multiple of it."""
        self.limit = self.limit * initial_limit / self.initial_limit
        self.initial_limit = initial_limit
