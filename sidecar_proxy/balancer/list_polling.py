"""When the endpoint list is asked for, where discovery does not push it (rule 3). Pure but for jitter."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.subsetting import Subset
from sidecar_proxy.balancer.wakeups import NO_REQUEST, WakeupKind, Wakeups

MIN_BACKOFF_US: Final = 250_000  # long beside one call, short beside a drain
MAX_BACKOFF_DOUBLINGS: Final = 20
MAX_CONCURRENT_CALLS: Final = 8  # sidecars that may call discovery at once
CALL_SPREAD_PER_SIDECAR_US: Final = (
    100_000  # for each further one, as discovery can take a call of each in some seconds
)


class ListPoller:
    """Asks for the list with exponential backoff and jitter, inside the longest interval permitted."""

    def __init__(self, context: DecisionContext, subset: Subset, wakeups: Wakeups) -> None:
        self.context = context
        self.subset = subset
        self.wakeups = wakeups
        self.max_backoff_us = max(MIN_BACKOFF_US, context.settings.max_poll_interval_us // 2)
        self.failures = 0  # calls that failed since the last answer
        self.next_poll_us = 0  # 0 = none is due
        first_poll_us = context.now_us
        spread_us = 0 if context.settings.is_successor else self.call_spread_us()
        if spread_us:
            first_poll_us += int(spread_us * context.random.random())
        self.poll_at(first_poll_us)

    def call_spread_us(self) -> int:
        """Return the time over which the calls of a fleet that starts together are spread.

        Discovery works through calls in turn, and each that waits too long has cost its work all the same.
        Calls of a large fleet at once would keep it too far behind to answer any.
        """
        further_callers = max(0, self.subset.instances - MAX_CONCURRENT_CALLS)
        return min(further_callers * CALL_SPREAD_PER_SIDECAR_US, self.max_backoff_us)

    def poll_at(self, at_us: int) -> None:
        """Ask for the list then, if it has to be asked for at all."""
        if self.context.settings.list_on_request:
            self.next_poll_us = at_us
            self.wakeups.schedule(at_us, WakeupKind.LIST_POLL, NO_REQUEST)

    def poll_if_due(self) -> None:
        """Ask for the list if that is due; a call that is lost is made again."""
        now_us = self.context.now_us
        if 0 < self.next_poll_us <= now_us:
            self.context.actions.append(api.Subscribe(True))
            self.poll_at(now_us + self.max_backoff_us)

    def call_failed(self) -> None:
        """Back off: the wait doubles with each failure, with jitter, as all sidecars fail together."""
        first_us = max(MIN_BACKOFF_US, self.call_spread_us())
        backoff_us = min(first_us << min(self.failures, MAX_BACKOFF_DOUBLINGS), self.max_backoff_us)
        self.failures += 1
        jitter = 0.5 + self.context.random.random() / 2
        self.poll_at(self.context.now_us + int(backoff_us * jitter))

    def call_answered(self) -> None:
        """End the backoff."""
        self.failures = 0
        self.next_poll_us = 0
