"""Polling of the endpoint list where discovery does not push it (rule 3). No I/O and no clock."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.subsetting import Subset
from sidecar_proxy.balancer.wakeups import NO_REQUEST, WakeupKind, Wakeups

MIN_BACKOFF_US: Final = 250_000  # a delay much longer than one call takes, and much shorter than a drain
MAX_BACKOFF_DOUBLINGS: Final = 20  # keeps the shifted value small after many failures
MAX_CONCURRENT_CALLS: Final = 8  # sidecars whose first calls need no spreading
# time that each further sidecar adds to the spread of the first calls; discovery takes seconds to serve one
# call of each sidecar
CALL_SPREAD_PER_SIDECAR_US: Final = 100_000


class ListPoller:
    """Polls the list, with exponential backoff and jitter within the longest poll interval permitted."""

    def __init__(self, context: DecisionContext, subset: Subset, wakeups: Wakeups) -> None:
        self.context = context
        self.subset = subset
        self.wakeups = wakeups
        self.max_backoff_us = max(MIN_BACKOFF_US, context.settings.max_poll_interval_us // 2)
        self.failures = 0  # consecutive failed calls
        self.next_poll_us = 0  # 0 = no poll is scheduled
        first_poll_us = context.now_us
        spread_us = 0 if context.settings.is_successor else self.call_spread_us()
        if spread_us:
            first_poll_us += int(spread_us * context.random.random())
        self.poll_at(first_poll_us)

    def call_spread_us(self) -> int:
        """Return the time over which to spread the calls of a fleet whose sidecars start together.

        Discovery serves calls one after another, and a call that times out in its queue still costs the work.
        If a large fleet called at once, discovery would fall so far behind that every call times out.
        """
        further_callers = max(0, self.subset.instances - MAX_CONCURRENT_CALLS)
        return min(further_callers * CALL_SPREAD_PER_SIDECAR_US, self.max_backoff_us)

    def poll_at(self, at_us: int) -> None:
        """Schedule a poll, if discovery does not push the list."""
        if self.context.settings.list_on_request:
            self.next_poll_us = at_us
            self.wakeups.schedule(at_us, WakeupKind.LIST_POLL, NO_REQUEST)

    def poll_if_due(self) -> None:
        """Poll the list if a poll is due, and schedule another in case this one gets no response."""
        now_us = self.context.now_us
        if 0 < self.next_poll_us <= now_us:
            self.context.actions.append(api.Subscribe(True))
            self.poll_at(now_us + self.max_backoff_us)

    def call_failed(self) -> None:
        """Schedule the next poll with exponential backoff and jitter, as all sidecars may fail at once."""
        first_backoff_us = max(MIN_BACKOFF_US, self.call_spread_us())
        backoff_us = min(first_backoff_us << min(self.failures, MAX_BACKOFF_DOUBLINGS), self.max_backoff_us)
        self.failures += 1
        jitter = 0.5 + self.context.random.random() / 2
        self.poll_at(self.context.now_us + int(backoff_us * jitter))

    def call_answered(self) -> None:
        """Reset the backoff, and cancel the scheduled poll."""
        self.failures = 0
        self.next_poll_us = 0
