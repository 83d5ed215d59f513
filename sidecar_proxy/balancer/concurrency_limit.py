"""Adaptive concurrency limits on the attempts in flight to one upstream, or to all upstreams together.

A limit grows while answers are quick and more slots are needed, and shrinks while answers are slow. A limit
below 1 allows one attempt at a time with a pause after each, so that a failing upstream is still tried now
and then. The module is pure: it does no I/O and reads no clock.
"""

from typing import Final

# change of a limit over one round of answers, per unit of distance from the target load
LIMIT_GAIN: Final = 0.4
# Loads are response times as shares of a slow answer's time, which is half of the latency objective.
TARGET_LOAD: Final = 0.7  # load at which limits settle if a few sidecars share an upstream
# load at which limits settle if many sidecars share an upstream, each with a small part of its queue
SHARED_TARGET_LOAD: Final = 0.85
# initial slots that all sidecars together have at an upstream; a few cores serve these within an objective
INITIAL_SLOTS_PER_UPSTREAM: Final = 8.0
MIN_TOTAL_LIMIT: Final = 2.0  # minimum initial limit of one sidecar over all upstreams together
MAX_LIMIT_GROWTH: Final = 8  # maximum ratio of a limit to its initial value, however quick the answers are
# minimum limit, at which a failing upstream is still tried about once in 64 usual response times
MIN_LIMIT: Final = 1 / 64


def target_load(sidecar_share: float) -> float:
    """Return the load at which limits settle.

    `sidecar_share` is this sidecar's share of an upstream's initial slots. A sidecar with a smaller share
    contributes less to the queue, so it closes slots later; otherwise all sidecars would close slots for the
    same queue.
    """
    return SHARED_TARGET_LOAD - (SHARED_TARGET_LOAD - TARGET_LOAD) * min(1.0, sidecar_share)


class ConcurrencyLimiter:
    """Counts the attempts in flight against a limit that adapts."""

    def __init__(self, limit: float) -> None:
        self.in_flight = 0
        self.initial_limit = limit
        self.limit = limit  # below 1: one attempt at a time, and a pause between attempts
        self.paused_until_us = 0

    def free_slots(self, now_us: int) -> int:
        """Return how many more attempts may start now; negative if the limit fell below those in flight."""
        if self.limit >= 1.0:
            return int(self.limit) - self.in_flight
        return int(now_us >= self.paused_until_us) - self.in_flight

    def update_limit(
        self, load: float, target: float, is_needed: bool, min_limit: float, growth_weight: float
    ) -> None:
        """Adjust the limit after one answer.

        `load` is the answer's time as a share of a slow answer's time, and `target` the load at which the
        limit settles. The limit exceeds its initial value only if `is_needed`: slots that open without need
        let bursts overload upstreams. Slow answers alone do not lower it below `min_limit`. An increase is
        multiplied by `growth_weight`.
        """
        step = LIMIT_GAIN * (target - load) / max(self.limit, 1.0)
        if step < 0.0:
            # without a minimum, all upstreams would be paused for long after an outage, and more requests
            # would be rejected where all upstreams are slow
            self.limit = max(self.limit * (1.0 + step), min(self.limit, min_limit))
        elif self.limit < self.initial_limit or is_needed:
            growth = min(self.limit, step * growth_weight)
            self.limit = min(self.limit + growth, MAX_LIMIT_GROWTH * self.initial_limit)

    def halve(self) -> None:
        """Halve the limit, after an attempt that counts against the upstream."""
        self.limit = max(self.limit / 2, MIN_LIMIT)

    def pause(self, now_us: int, busy_us: float, jitter: float) -> None:
        """Pause a limit below 1 for long enough that `busy_us` is this share of the time.

        `jitter` is from 0 to 1, and scales the pause by 0.5 to 1.5.
        """
        if self.limit < 1.0:
            self.paused_until_us = now_us + int(busy_us * (1.0 / self.limit - 1.0) * (0.5 + jitter))

    def extend_pause(self, until_us: int) -> None:
        """Pause until this time at least."""
        self.paused_until_us = max(self.paused_until_us, until_us)

    def rescale(self, initial_limit: float) -> None:
        """Change the initial limit, and the limit in proportion."""
        self.limit = self.limit * initial_limit / self.initial_limit
        self.initial_limit = initial_limit
