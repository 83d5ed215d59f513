"""What one sidecar knows of one upstream. Pure."""

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import ConcurrencyLimiter
from sidecar_proxy.balancer.ordered_index import IndexEntry, OrderedIndex


class Endpoint:
    """An upstream as a member of the pool: its list entry, its limit and what its attempts have shown."""

    def __init__(self, entry: api.Upstream, order: float, limit: float) -> None:
        self.entry = entry
        self.order = order  # its random place in this sidecar's own order
        self.weight = 1.0  # by the list, where weights tell the size
        self.limiter = ConcurrencyLimiter(1.0)  # one slot at first, see docs/design.md
        self.limiter.limit = limit
        # what its load reports say
        self.load: float | None = None  # requests in flight by the last report; None = none was reported
        self.load_reported_us = 0  # of the last report, or of the last probe that brought none
        self.waiting_requests: dict[int, None] = {}  # requests that wait for its load, in order of arrival
        # what its attempts have shown
        self.failure_rate = 0.0  # share of the last 16 attempts or so that failed
        self.response_time_us = 0.0  # smoothed; 0 = none was seen
        self.last_answered_send_us = 0  # when the latest of the answered attempts was sent
        self.presumed_lost_count = 0  # attempts presumed lost since the last answer
        self.last_success_us = 0  # when an attempt last ended well; 0 = none has
        self.limit_before_probation = 0.0  # 0 = not on probation
        self.is_logged_closed = False  # the last log line said so
        # maintained by EndpointPool alone
        self.index: OrderedIndex[Endpoint] | None = None
        self.index_entry: IndexEntry[Endpoint] | None = None
        self.ranked_failure_rate = 0.0  # the failure rate under which it is ranked
        self.summed_weight = 0.0  # its weight as it is in the pool's sums
        self.summed_start_us = 0  # its start as it is in the pool's sums
        self.scheduled_reopen_us = 0  # the end of the pause that is in the heap
        self.was_below_one_slot = limit < 1.0  # when the pool last updated it
        self.allocation_offset = 0.0  # in [0, 1): this sidecar's turn among those that share its slots

    @property
    def is_on_probation(self) -> bool:
        """Whether other sidecars suspect it, so that each send is a trial."""
        return self.limit_before_probation > 0.0

    def ordinary_limit(self) -> float:
        """Return its limit, or what that was before probation."""
        return self.limit_before_probation or self.limiter.limit
