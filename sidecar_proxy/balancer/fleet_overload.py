"""The limits that all sidecars together have settled on, while they are valid. Pure."""

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.token_bucket import TokenBucket


class FleetOverload:
    """The last `OverloadUpdated` event and the budgets of retries and load probes that it grants."""

    def __init__(self, now_us: int) -> None:
        self.latest: api.OverloadUpdated | None = None
        self.retry_bucket = TokenBucket(now_us)
        self.probe_bucket = TokenBucket(now_us)

    def update(self, event: api.OverloadUpdated, now_us: int) -> None:
        """Replace the limits."""
        self.latest = event
        self.retry_bucket.set_rate(event.retries_per_s, now_us)
        self.probe_bucket.set_rate(event.probes_per_s, now_us)

    def current(self, now_us: int) -> api.OverloadUpdated | None:
        """Return the limits while they are valid, else None."""
        latest = self.latest
        if latest is not None and now_us < latest.valid_until_us:
            return latest
        return None

    def take_retry(self, now_us: int) -> bool:
        """Take a retry from the budget; True without a budget. All retries together must not be the load."""
        return self.current(now_us) is None or self.retry_bucket.take(now_us)

    def take_probe(self, now_us: int) -> bool:
        """Take a load probe from the budget; True without a budget."""
        return self.current(now_us) is None or self.probe_bucket.take(now_us)
