"""Computes the Retry-After of rejected clients, and records when each of them is due to retry.

Retry-After spreads the retries of the fleet's rejected clients over the capacity that admitted requests leave
unused, like a virtual queue whose length all sidecars know. The module is pure: it does no I/O and reads no
clock.
"""

from __future__ import annotations

from collections import OrderedDict

from sidecar_proxy.balancer.load_shedding import RETRY_TOLERANCE_US
from sidecar_proxy.overload_control.shedding_threshold import SheddingThreshold

MAX_SCHEDULED_RETRIES = 20_000  # maximum number of scheduled retries; the oldest are evicted
MAX_LATENESS_US = 5_000_000  # an entry expires this long after its due time
MIN_SPARE_SHARE = 0.02  # with a smaller share of spare capacity, Retry-After is the maximum of the settings


class RetrySchedule:
    """The time at which each rejected client is due to retry, by the key of its request."""

    __slots__ = ("due_us_by_key",)

    def __init__(self) -> None:
        self.due_us_by_key: OrderedDict[int, int] = OrderedDict()

    def add(self, key: int, due_us: int) -> None:
        """Records that the Retry-After of a client expires at `due_us`; evicts the oldest entries if full."""
        self.due_us_by_key.pop(key, None)
        self.due_us_by_key[key] = due_us
        while len(self.due_us_by_key) > MAX_SCHEDULED_RETRIES:
            self.due_us_by_key.popitem(last=False)

    def take_due_us(self, key: int, now_us: int) -> int:
        """Returns when the client's Retry-After expires; 0 if it has none or is too late.

        A client that retries when it is due uses up its entry; the entry of one that retries too early stays.
        """
        due_us = self.due_us_by_key.get(key, 0)
        if not due_us or now_us < due_us - RETRY_TOLERANCE_US:
            return due_us
        del self.due_us_by_key[key]
        return due_us if now_us <= due_us + MAX_LATENESS_US else 0

    def backlog(self, now_us: int) -> int:
        """Returns the number of clients that are not due yet, and removes expired entries."""
        expired = [key for key, due_us in self.due_us_by_key.items() if now_us > due_us + MAX_LATENESS_US]
        for key in expired:
            del self.due_us_by_key[key]
        return sum(due_us > now_us for due_us in self.due_us_by_key.values())


def advised_retry_after_us(
    threshold: SheddingThreshold | None, service_time_us: float, max_retry_after_us: int
) -> int:
    """Returns the Retry-After: the time in which the spare capacity serves the fleet's backlog.

    It lies between the mean service time of a request and the maximum of the settings. Without a threshold or
    spare capacity it is the maximum.
    """
    if threshold is None or threshold.spare_us <= MIN_SPARE_SHARE * threshold.capacity_us:
        return max_retry_after_us
    drain_us = (threshold.backlog + 1) * service_time_us / threshold.spare_us * 1e6
    min_retry_after_us = min(int(service_time_us), max_retry_after_us)
    return max(min_retry_after_us, min(max_retry_after_us, int(drain_us)))
