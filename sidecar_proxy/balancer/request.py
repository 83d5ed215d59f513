"""A request that the balancer handles, and its attempts."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.endpoint import Endpoint

# outcomes of attempts that the upstream certainly has not run
NEVER_RAN: Final = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


class Attempt:
    """One attempt of a request at one endpoint."""

    def __init__(self, endpoint: Endpoint, now_us: int, was_warming: bool) -> None:
        self.endpoint = endpoint
        self.entry = endpoint.entry  # the list entry when the attempt started; the endpoint's may change
        self.sent_us = now_us
        self.outcome: api.Outcome | None = None  # None while it is in flight
        self.is_presumed_lost = False  # whether its slot was freed before its outcome was known
        self.was_warming = was_warming  # whether the endpoint was warming up when the attempt started


class Request:
    """One request, from its arrival until it has its final response and no attempt is in flight."""

    def __init__(self, event: api.RequestArrived, settings: api.Settings, now_us: int) -> None:
        self.event = event
        self.id = event.request
        self.class_index = event.class_index
        self.request_class = settings.classes[event.class_index]
        self.effective_deadline_us = event.due_us
        if self.request_class.late_weight <= 0.0:
            # A response after the objective has no value here, so the objective is the deadline: waiting
            # longer for a lost response would only occupy a slot.
            objective_ends_us = now_us + self.request_class.latency_objective_us - settings.tick_us
            self.effective_deadline_us = min(event.due_us, objective_ends_us)
        self.attempts: list[Attempt] = []
        self.candidates: list[Endpoint] = []  # endpoints whose load the request waits for
        self.last_probed: Endpoint | None = None  # the candidate that was probed last
        # whether no response is due any more: it was given, is streaming, or the client has gone
        self.is_done = False

    def has_attempt_in_flight(self) -> bool:
        """Whether the last attempt has no outcome yet."""
        return bool(self.attempts) and self.attempts[-1].outcome is None

    def first_attempt_that_may_have_run(self) -> Attempt | None:
        """Return the first attempt that may have had an effect, or None."""
        for attempt in self.attempts:
            if attempt.outcome not in NEVER_RAN:
                return attempt
        return None

    def tried_endpoints(self) -> list[Endpoint]:
        """Return the endpoints of all attempts, in order."""
        return [attempt.endpoint for attempt in self.attempts]
