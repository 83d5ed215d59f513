"""Limits of what receiving may cost: a budget of signature verifications, and replay windows. Pure."""

from __future__ import annotations

from collections import deque

REORDER_WINDOW_US = 2_000_000  # packets of one author may come out of order by this much
MAX_RECENT_SEQUENCES = 256  # remembered of one author
VERIFICATIONS_PER_S = 400.0
VERIFICATION_BURST = 2000.0  # enough for joining a large fleet


class VerificationBudget:
    """A token bucket of signature verifications."""

    def __init__(self, rate_per_s: float = VERIFICATIONS_PER_S, burst: float = VERIFICATION_BURST) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self._refilled_us = 0

    def take(self, now_us: int) -> bool:
        """Take a token; False if there is none."""
        elapsed_us = max(0, now_us - self._refilled_us)
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * elapsed_us / 1e6)
        self._refilled_us = now_us
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ReplayWindow:
    """The sequences of one author that have been received.

    A sequence is the author's wall clock in microseconds. One is accepted once, and only if it is not older
    than the highest by more than the reorder window.
    """

    __slots__ = ("_highest_us", "_recent")

    def __init__(self) -> None:
        self._highest_us = 0
        self._recent: deque[int] = deque(maxlen=MAX_RECENT_SEQUENCES)

    def is_new(self, sequence_us: int) -> bool:
        """Tell whether a sequence may be accepted."""
        return sequence_us > self._highest_us - REORDER_WINDOW_US and sequence_us not in self._recent

    def record(self, sequence_us: int) -> None:
        """Remember an accepted sequence."""
        self._highest_us = max(self._highest_us, sequence_us)
        self._recent.append(sequence_us)
