"""A token bucket that is given the time with each call. Pure."""


class TokenBucket:
    """Grants `rate` tokens per second; its capacity is the tokens of one second, and at least one token."""

    def __init__(self, now_us: int) -> None:
        self.rate = 0.0  # tokens per second
        self.tokens = 0.0
        self.refilled_us = now_us

    def set_rate(self, rate: float, now_us: int) -> None:
        """Change the rate from now on; tokens beyond the new capacity are dropped."""
        self.refill(now_us)
        self.rate = rate
        self.tokens = min(self.tokens, max(1.0, rate))

    def refill(self, now_us: int) -> None:
        """Add the tokens for the time since the last refill."""
        new_tokens = self.rate * (now_us - self.refilled_us) / 1e6
        self.tokens = min(max(1.0, self.rate), self.tokens + new_tokens)
        self.refilled_us = now_us

    def take(self, now_us: int) -> bool:
        """Take one token; return False if none is available."""
        self.refill(now_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
