"""What happens when capacity is exhausted: the buffer, shedding, reserved slots and Retry-After. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import ConcurrencyLimiter
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER
from sidecar_proxy.balancer.request import Request
from sidecar_proxy.balancer.response_times import ResponseTimes

MAX_RESERVED_SLOTS: Final = 3  # of the total limit, for the class that is worth most
RESERVATION_DURATION_US: Final = 1_000_000  # slots stay reserved so long after capacity was exhausted
SHEDDING_DURATION_US: Final = (
    3_000_000  # the fleet's threshold applies so long after capacity was exhausted here
)
RETRY_TOLERANCE_US: Final = 20_000  # a client may come back so much earlier than Retry-After asked
ADMISSION_STEPS: Final = 2**20  # resolution of the share of keys that is admitted


class LoadShedder:
    """Decides which requests wait, and which are rejected, while no slot is free."""

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
        self.last_exhausted_us = 0  # when a request last found no free slot
        self.buffered: Request | None = None  # the buffer holds one request

    def should_shed(self, event: api.RequestArrived) -> bool:
        """Whether the fleet's threshold rejects a request that has just arrived.

        It applies only while capacity is exhausted at this sidecar too. Clients that come back too early
        are rejected, and of each class the keys beyond the admitted share, so that a repeat is decided
        alike at all sidecars. Clients that come back as Retry-After asked have a share of their own.
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
        mixed = (key ^ overload.generation * HASH_MULTIPLIER) * HASH_MULTIPLIER >> 24
        return mixed % ADMISSION_STEPS >= share * ADMISSION_STEPS

    def record_exhaustion(self) -> None:
        """Remember that a request found no free slot now."""
        self.last_exhausted_us = self.context.now_us

    def class_value(self, class_index: int) -> float:
        """Return what a slot's time is worth to a class of requests."""
        weight = self.context.settings.classes[class_index].priority_weight
        if self.context.settings.weight_by_work:
            return weight
        return weight / self.response_times.smoothed_us[class_index]

    def may_buffer(self, request: Request) -> bool:
        """Whether a request may have the buffer, which holds one.

        One that is worth more takes the place: otherwise the bulk of cheap requests would keep the valuable
        ones out of every slot.
        """
        if self.buffered is None:
            return True
        return self.class_value(request.class_index) > self.class_value(self.buffered.class_index)

    def reserved_slots(self, request: Request) -> int:
        """Return how many of the last free slots a request must leave to the class that is worth most.

        This is trunk reservation, as in telephony, while capacity is exhausted. A few slots are nearly an
        absolute priority, as each slot that frees is one of them; half of all stay for the other classes.
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
        """Return when a rejected client should come back, in microseconds from now.

        That is about when a slot frees: one response time, spread so that rejected clients do not return
        together; or what the fleet has settled on. A client that came too early keeps its time.
        """
        context = self.context
        usual_us = self.response_times.smoothed_us[request.class_index]
        after_us = int(usual_us * (0.5 + context.random.random()))
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
