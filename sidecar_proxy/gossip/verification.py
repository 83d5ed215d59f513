"""Limits on received packets: a budget of signature verifications, and replay windows. It does no I/O."""

from __future__ import annotations

from collections import deque

REORDER_WINDOW_US = 2_000_000  # maximum age of a packet relative to the newest packet of its author
MAX_RECENT_SEQUENCES = 256  # maximum number of sequences stored per author
VERIFICATIONS_PER_S = 400.0
VERIFICATION_BURST = 2000.0  # enough to join a large fleet


class VerificationBudget:
    """A token bucket of signature verifications."""

    def __init__(self, rate_per_s: float = VERIFICATIONS_PER_S, burst: float = VERIFICATION_BURST) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self._refilled_us = 0

    def take(self, now_us: int) -> bool:
        """Take one token. Returns False if there is none."""
        elapsed_us = max(0, now_us - self._refilled_us)
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * elapsed_us / 1e6)
        self._refilled_us = now_us
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ReplayWindow:
    """The sequences received from one author.

    A sequence is a time of the author's wall clock in microseconds. Each is accepted once, and only if it is
    not lower than the highest one by the reorder window or more.
    """

    __slots__ = ("_highest_us", "_recent")

    def __init__(self) -> None:
        self._highest_us = 0
        self._recent: deque[int] = deque(maxlen=MAX_RECENT_SEQUENCES)

    def is_new(self, sequence_us: int) -> bool:
        """Return whether a sequence is acceptable."""
        return sequence_us > self._highest_us - REORDER_WINDOW_US and sequence_us not in self._recent

    def record(self, sequence_us: int) -> None:
        """Record an accepted sequence."""
        self._highest_us = max(self._highest_us, sequence_us)
        self._recent.append(sequence_us)
