"""Overload limits that all sidecars have agreed on, while they are valid. No I/O and no clock."""

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.token_bucket import TokenBucket


class FleetOverload:
    """The latest `OverloadUpdated` event, and the budgets of retries and load probes that it grants."""

    def __init__(self, now_us: int) -> None:
        self.latest: api.OverloadUpdated | None = None
        self.retry_bucket = TokenBucket(now_us)
        self.probe_bucket = TokenBucket(now_us)

    def update(self, event: api.OverloadUpdated, now_us: int) -> None:
        """Replace the limits and the rates of both budgets."""
        self.latest = event
        self.retry_bucket.set_rate(event.retries_per_s, now_us)
        self.probe_bucket.set_rate(event.probes_per_s, now_us)

    def current(self, now_us: int) -> api.OverloadUpdated | None:
        """Return the latest limits, or None if there are none or they have expired."""
        latest = self.latest
        if latest is not None and now_us < latest.valid_until_us:
            return latest
        return None

    def take_retry(self, now_us: int) -> bool:
        """Take a retry from the budget; always True without valid limits.

        The budget keeps the retries of all sidecars from becoming the overload themselves.
        """
        return self.current(now_us) is None or self.retry_bucket.take(now_us)

    def take_probe(self, now_us: int) -> bool:
        """Take a load probe from the budget; always True without valid limits."""
        return self.current(now_us) is None or self.probe_bucket.take(now_us)
