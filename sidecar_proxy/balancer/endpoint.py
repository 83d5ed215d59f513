"""The state that one sidecar keeps of one upstream. Pure."""

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import ConcurrencyLimiter
from sidecar_proxy.balancer.ordered_index import IndexEntry, OrderedIndex


class Endpoint:
    """An upstream as a member of the pool: its list entry, its limit and the results of its attempts."""

    def __init__(self, entry: api.Upstream, random_order: float, limit: float) -> None:
        self.entry = entry
        self.random_order = random_order  # exponentially distributed; orders the endpoints of this sidecar
        self.weight = 1.0  # relative capacity by the endpoint list, if the list's weights state it
        self.limiter = ConcurrencyLimiter(1.0)  # the initial limit is one slot, see docs/design.md
        self.limiter.limit = limit
        # state from the load reports of the upstream
        self.load: float | None = None  # reported requests in flight, plus those sent since; None = unknown
        self.load_reported_us = 0  # time of the last report, or of the last probe without a report
        self.waiting_requests: dict[int, None] = {}  # ids of requests that wait for its load report, in order
        # state from the outcomes of attempts at the upstream
        self.failure_rate = 0.0  # share of failures among about the last 16 attempts
        self.response_time_us = 0.0  # smoothed; 0 = no answer so far
        self.last_answered_send_us = 0  # latest send time among the answered attempts
        self.presumed_lost_count = 0  # attempts presumed lost since the last answer
        self.last_success_us = 0  # when an attempt last succeeded; 0 = never
        self.limit_before_probation = 0.0  # 0 = not on probation
        self.is_logged_closed = False  # whether its last log line said that it is closed (its limit is low)
        # state that only EndpointPool maintains
        self.index: OrderedIndex[Endpoint] | None = None
        self.index_entry: IndexEntry[Endpoint] | None = None
        self.ranked_failure_rate = 0.0  # failure rate under which it is counted in EndpointPool.failure_rates
        self.summed_weight = 0.0  # weight that the pool's sums include for it
        self.summed_start_us = 0  # start time that the pool's sums include for it, since the pool's epoch
        self.scheduled_reopen_us = 0  # end of the last pause that was added to EndpointPool.reopen_times
        self.was_below_one_slot = limit < 1.0  # whether its limit was below 1 at the pool's last update
        self.allocation_offset = 0.0  # in [0, 1): this sidecar's rank among those that share its slots

    @property
    def is_on_probation(self) -> bool:
        """Whether other sidecars reported it as an outlier, so that each attempt is a trial."""
        return self.limit_before_probation > 0.0

    def ordinary_limit(self) -> float:
        """Return its limit, or while on probation the limit that it had before."""
        return self.limit_before_probation or self.limiter.limit
