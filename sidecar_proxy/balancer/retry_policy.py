"""Which requests may be attempted or retried, and at which endpoints (rules 1 and 2). No I/O."""

from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.request import Attempt, Request


class RetryPolicy:
    """Decides on attempts by the state of the request, its class and the retry budget."""

    def __init__(self, context: DecisionContext, overload: FleetOverload) -> None:
        self.context = context
        self.overload = overload
        self.max_attempts = context.settings.max_attempts

    def may_attempt(self, request: Request) -> bool:
        """Whether an attempt may start now, regardless of the endpoint.

        Requests are never hedged, even where the settings allow it: a second concurrent attempt costs more
        capacity than the time it saves is worth.
        """
        if request.is_done or self.context.now_us >= request.effective_deadline_us:
            return False
        if not request.attempts:
            return True
        if len(request.attempts) >= self.max_attempts or request.has_attempt_in_flight():
            return False
        earlier = request.first_attempt_that_may_have_run()
        return earlier is None or self.may_repeat(request, earlier)

    def may_repeat(self, request: Request, earlier: Attempt) -> bool:
        """Whether rule 2 permits a retry; `earlier` is the first attempt that may have run."""
        request_class = request.request_class
        if request_class.effect == "idempotent":
            return True
        if request_class.effect != "deduplicated":
            return False
        return self.context.now_us - earlier.sent_us < request_class.deduplication_window_us

    def acquire_retry_budget(self, request: Request) -> bool:
        """Take a retry from the fleet's budget unless this is the first attempt; False if none is left."""
        return not request.attempts or self.overload.take_retry(self.context.now_us)

    def is_in_deduplication_group(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint would drop a repeat of the attempt that may have run, if any (rule 2)."""
        request_class = request.request_class
        if not request.attempts or request_class.effect != "deduplicated" or request_class.group == "all":
            return True
        earlier = request.first_attempt_that_may_have_run()
        if earlier is None:
            return True
        if request_class.group == "zone":
            return earlier.entry.zone == endpoint.entry.zone
        return earlier.entry.cell == endpoint.entry.cell

    def send_deadline_us(self, request: Request) -> int:
        """Return the time by which a retry must be completely written (rule 2); 0 = no limit.

        A retry that waits for a connection or is partly written could otherwise reach the upstream after the
        deduplication window has ended, and run a second time.
        """
        earlier = request.first_attempt_that_may_have_run()
        request_class = request.request_class
        if earlier is None or request_class.effect != "deduplicated":
            return 0
        return earlier.sent_us + request_class.deduplication_window_us

    def is_safe_to_reject(self, request: Request) -> bool:
        """Whether the client can safely retry after a rejection: nothing ran, or a repeat has no effect."""
        request_class = request.request_class
        if request_class.effect == "idempotent" or request.first_attempt_that_may_have_run() is None:
            return True
        return request_class.effect == "deduplicated" and request_class.group == "all"
