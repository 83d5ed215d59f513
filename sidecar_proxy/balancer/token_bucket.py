"""A token bucket. Pure; times are handed in."""


class TokenBucket:
    """So many a second, and at most a second's worth, or one, at once."""

    __slots__ = ("at_us", "left", "rate")

    def __init__(self, now_us: int) -> None:
        self.rate = 0.0
        self.left = 0.0
        self.at_us = now_us

    def fill(self, rate: float, now_us: int) -> None:
        """The rate is another one from now on."""
        self.settle(now_us)
        self.rate = rate
        self.left = min(self.left, max(1.0, rate))

    def settle(self, now_us: int) -> None:
        self.left = min(max(1.0, self.rate), self.left + self.rate * (now_us - self.at_us) / 1e6)
        self.at_us = now_us

    def take(self, now_us: int) -> bool:
        self.settle(now_us)
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
