"""Whether and where a request may be attempted (again): rules 1 and 2. Pure."""

from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.fleet_overload import FleetOverload
from sidecar_proxy.balancer.request import Attempt, Request


class RetryPolicy:
    """The rules for attempts of one request."""

    def __init__(self, context: DecisionContext, overload: FleetOverload) -> None:
        self.context = context
        self.overload = overload
        self.max_attempts = context.settings.max_attempts

    def may_attempt(self, request: Request) -> bool:
        """Whether an attempt may start now, as far as that does not depend on the endpoint.

        Requests are not hedged: second copies cost more capacity than they save time.
        """
        if request.is_done or self.context.now_us >= request.effective_deadline_us:
            return False
        if not request.attempts:
            return True
        if len(request.attempts) >= self.max_attempts or request.has_attempt_in_flight():
            return False
        first = request.first_attempt_that_may_have_run()
        return first is None or self.may_repeat(request, first)

    def may_repeat(self, request: Request, first: Attempt) -> bool:
        """Whether a request may be sent again after this attempt, which may have run (rule 2)."""
        request_class = request.request_class
        if request_class.effect == "idempotent":
            return True
        if request_class.effect != "deduplicated":
            return False
        return self.context.now_us - first.sent_us < request_class.deduplication_window_us

    def acquire_retry_budget(self, request: Request) -> bool:
        """Take a retry from the fleet's budget, if this is one; False if the budget is spent."""
        return not request.attempts or self.overload.take_retry(self.context.now_us)

    def is_in_deduplication_group(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint drops a repeat of the attempt that may have run, if there is one (rule 2)."""
        request_class = request.request_class
        if not request.attempts or request_class.effect != "deduplicated" or request_class.group == "all":
            return True
        first = request.first_attempt_that_may_have_run()
        if first is None:
            return True
        if request_class.group == "zone":
            return first.entry.zone == endpoint.entry.zone
        return first.entry.cell == endpoint.entry.cell

    def send_deadline_us(self, request: Request) -> int:
        """Return by when a repeat must be completely sent (rule 2); 0 = at any time.

        A repeat that waits for a connection, or is half written, could otherwise go out after the
        deduplication window has ended.
        """
        first = request.first_attempt_that_may_have_run()
        request_class = request.request_class
        if first is None or request_class.effect != "deduplicated":
            return 0
        return first.sent_us + request_class.deduplication_window_us

    def is_safe_to_reject(self, request: Request) -> bool:
        """Whether a rejection is true: nothing was done, or sending the request again is harmless."""
        request_class = request.request_class
        if request_class.effect == "idempotent" or request.first_attempt_that_may_have_run() is None:
            return True
        return request_class.effect == "deduplicated" and request_class.group == "all"
