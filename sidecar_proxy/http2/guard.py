"""What a peer may do in a second before it is told to calm down. Pure; time is handed in.

Frames that cost the peer next to nothing and us some work: resets of streams just opened (CVE-2023-44487),
PINGs, SETTINGS, empty DATA, priorities. Each kind has a bucket that refills evenly.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rates:
    """A second's worth of each kind; a bucket holds two seconds'."""

    resets: float = 100.0
    pings: float = 20.0
    settings: float = 10.0
    empty: float = 100.0  # DATA with nothing in it that does not end its stream
    windows: float = 2000.0  # WINDOW_UPDATE


class Bucket:
    """Tokens that refill evenly."""

    __slots__ = ("rate", "tokens", "at_us")

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.tokens = 2 * rate
        self.at_us = now_us

    def take(self, now_us: int) -> bool:
        """True while there is one left."""
        passed_us = max(0, now_us - self.at_us)
        self.tokens = min(2 * self.rate, self.tokens + passed_us * self.rate / 1e6)
        self.at_us = max(self.at_us, now_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Guard:
    """The buckets of one connection."""

    def __init__(self, rates: Rates, now_us: int) -> None:
        self.buckets = {
            name: Bucket(getattr(rates, name), now_us)
            for name in ("resets", "pings", "settings", "empty", "windows")
        }

    def allows(self, kind: str, now_us: int) -> bool:
        """False from the frame on that is one too many of its kind."""
        return self.buckets[kind].take(now_us)
