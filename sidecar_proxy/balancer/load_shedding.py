"""Load shedding while no slot is free: the buffer, rejections, reserved slots and Retry-After. No I/O."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.response_times import ResponseTimes

MAX_RESERVED_SLOTS: Final = 3  # slots of the total limit that only the most valuable class may take
RESERVATION_DURATION_US: Final = 1_000_000  # slots are reserved for this long after no slot was free
SHEDDING_DURATION_US: Final = 3_000_000  # the fleet's threshold applies for this long after no slot was free
RETRY_TOLERANCE_US: Final = 20_000  # a client may retry this much earlier than Retry-After states
ADMISSION_STEPS: Final = 2**20  # resolution of the admitted share of keys


class LoadShedder:
    """Decides which requests are buffered and which are rejected while no slot is free."""

    def __init__(
        self,
        context: DecisionContext,
        overload: FleetOverload,
        response_times: ResponseTimes,
        total_limiter: ConcurrencyLimiter,
    ) -> None:
        self.context = context
        self.overload = overload
        self.response_times = response_times
        self.total_limiter = total_limiter
        self.last_exhausted_us = 0  # last time at which no slot was free for a request
        self.buffered: Request | None = None  # the buffer; it holds at most one request

    def should_shed(self, event: api.RequestArrived) -> bool:
        """Whether the fleet's threshold rejects a request that has just arrived.

        The threshold applies only while capacity is exhausted at this sidecar too. It rejects clients that
        retry before the time by Retry-After, and in each class the keys outside the admitted share: by a hash
        of the key, all sidecars decide alike on repeats of a request. Clients that wait as long as
        Retry-After states have a separate admitted share.
        """
        now_us = self.context.now_us
        overload = self.overload.current(now_us)
        if overload is None or now_us - self.last_exhausted_us > SHEDDING_DURATION_US:
            return False
        if event.retry_due_us > now_us + RETRY_TOLERANCE_US:
            return True
        shares = overload.returning_shares if event.retry_due_us else overload.admitted_shares
        share = shares[event.class_index]
        key = event.key or event.request
        hashed_key = (key ^ overload.generation * HASH_MULTIPLIER) * HASH_MULTIPLIER >> 24
        return hashed_key % ADMISSION_STEPS >= share * ADMISSION_STEPS

    def record_exhaustion(self) -> None:
        """Record that no slot is free for a request now."""
        self.last_exhausted_us = self.context.now_us

    def class_value(self, class_index: int) -> float:
        """Return the value of a slot to a request class.

        That is the priority weight, divided by the response time unless requests are weighted by their work.
        """
        weight = self.context.settings.classes[class_index].priority_weight
        if self.context.settings.weight_by_work:
            return weight
        return weight / self.response_times.smoothed_us[class_index]

    def may_buffer(self, request: Request) -> bool:
        """Whether a request may occupy the buffer, in place of a less valuable one if necessary.

        Without replacement, requests of low value, if they are the majority, would keep valuable ones from
        every slot that becomes free.
        """
        if self.buffered is None:
            return True
        return self.class_value(request.class_index) > self.class_value(self.buffered.class_index)

    def reserved_slots(self, request: Request) -> int:
        """Return how many free slots a request must leave to the most valuable class.

        This is trunk reservation, as in telephony, and applies while capacity is exhausted. A few reserved
        slots give almost absolute priority, as each slot that becomes free is then a reserved one. Half of
        all slots at least stay available to the other classes.
        """
        if self.context.now_us - self.last_exhausted_us > RESERVATION_DURATION_US:
            return 0
        highest = self.class_value(0)
        for class_index in range(1, len(self.response_times.smoothed_us)):
            highest = max(highest, self.class_value(class_index))
        if self.class_value(request.class_index) >= highest:
            return 0
        return min(MAX_RESERVED_SLOTS, int(self.total_limiter.limit / 2))

    def retry_after_us(self, request: Request) -> int:
        """Return the Retry-After of a rejection in microseconds from now; 0 = none is given.

        It is about the time until a slot becomes free: one response time, with jitter so that rejected
        clients don't retry all at once. A delay that the fleet has agreed on replaces it, and a client that
        retried too early gets the remaining time of its previous delay.
        """
        context = self.context
        response_time_us = self.response_times.smoothed_us[request.class_index]
        after_us = int(response_time_us * (0.5 + context.random.random()))
        overload = self.overload.current(context.now_us)
        if overload is not None and overload.retry_after_us:
            remaining_us = request.event.retry_due_us - context.now_us
            if remaining_us > 0:
                after_us = remaining_us
            else:
                after_us = int(overload.retry_after_us * (1.0 + context.random.random()) / 2)
        if not context.settings.retry_after:
            return min(after_us, 0)
        return min(after_us, context.settings.max_retry_after_us)
