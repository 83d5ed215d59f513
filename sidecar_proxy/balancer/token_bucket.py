"""A token bucket. Pure; times are passed in."""


class TokenBucket:
    """Grants `rate` tokens per second; it holds at most those of one second, and room for at least one."""

    def __init__(self, now_us: int) -> None:
        self.rate = 0.0  # tokens per second
        self.tokens = 0.0
        self.refilled_us = now_us

    def set_rate(self, rate: float, now_us: int) -> None:
        """Change the rate from now on; tokens beyond the new capacity are lost."""
        self.refill(now_us)
        self.rate = rate
        self.tokens = min(self.tokens, max(1.0, rate))

    def refill(self, now_us: int) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate * (now_us - self.refilled_us) / 1e6
        self.tokens = min(max(1.0, self.rate), self.tokens + earned)
        self.refilled_us = now_us

    def take(self, now_us: int) -> bool:
        """Take one token; False if none is available."""
        self.refill(now_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
