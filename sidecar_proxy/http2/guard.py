"""Limits the rate of frames that cost the peer almost nothing but cause work here. Pure; time is passed in.

Such frames are resets of streams that were just opened (CVE-2023-44487), PING, SETTINGS, empty DATA and
WINDOW_UPDATE. Each kind has a token bucket.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rates:
    """The allowed frames per second of each kind; a token bucket holds those of two seconds."""

    resets: float = 100.0
    pings: float = 20.0
    settings: float = 10.0
    empty: float = 100.0  # DATA frames without data that do not end their stream
    windows: float = 2000.0  # WINDOW_UPDATE frames


class TokenBucket:
    """A token bucket that holds the tokens of two seconds."""

    __slots__ = ("rate", "tokens", "updated_us")

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.tokens = 2 * rate
        self.updated_us = now_us

    def take(self, now_us: int) -> bool:
        """Take a token and return True, or return False if none is left."""
        elapsed_us = max(0, now_us - self.updated_us)
        self.tokens = min(2 * self.rate, self.tokens + elapsed_us * self.rate / 1e6)
        self.updated_us = max(self.updated_us, now_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class FrameRateLimiter:
    """The token buckets of one connection, by kind of frame."""

    def __init__(self, rates: Rates, now_us: int) -> None:
        self.buckets = {
            name: TokenBucket(getattr(rates, name), now_us)
            for name in ("resets", "pings", "settings", "empty", "windows")
        }

    def allows(self, kind: str, now_us: int) -> bool:
        """Count a frame of this kind; return False if it exceeds the allowed rate."""
        return self.buckets[kind].take(now_us)
