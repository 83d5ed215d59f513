"""Smoothed response times by request class, and the time-outs that are derived from them. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.request import Request

SMOOTHING_ANSWERS: Final = 8  # number of answers over which response times are averaged
TIMEOUT_FACTOR: Final = 3  # multiple of the usual response time after which an attempt times out
COST_FACTOR: Final = 4  # a time-out is at least this multiple of the request's expected work


class ResponseTimes:
    """The smoothed response time of each request class; attempts that timed out count with their time."""

    def __init__(self, classes: list[api.RequestClass]) -> None:
        self.half_objectives_us = [
            request_class.latency_objective_us // 2 for request_class in classes
        ]  # the time of a slow answer; the other half is left for a retry
        self.min_half_objective_us = min(self.half_objectives_us)
        self.smoothed_us = [request_class.latency_objective_us / 3 for request_class in classes]

    def observe(self, class_index: int, elapsed_us: int) -> None:
        """Include the time of an answer or a time-out in the average."""
        smoothed_us = self.smoothed_us[class_index]
        self.smoothed_us[class_index] = smoothed_us + (max(1, elapsed_us) - smoothed_us) / SMOOTHING_ANSWERS

    def latest_start_us(self, request: Request) -> int:
        """Return the time after which a new attempt is not expected to be answered in time.

        At most half of the objective is reserved for the answer; otherwise no attempt would start after an
        outage that has raised the smoothed response time.
        """
        usual_us = int(self.smoothed_us[request.class_index])
        return request.effective_deadline_us - min(usual_us, self.half_objectives_us[request.class_index])

    def attempt_timeout_us(self, request: Request) -> int:
        """Return the time-out of an attempt: the usual response time of its class, with a margin.

        It is at least half of the objective, because the average of a sidecar with few answers says little
        about the slowest ones.
        """
        usual_us = int(TIMEOUT_FACTOR * self.smoothed_us[request.class_index])
        half_objective_us = self.half_objectives_us[request.class_index]
        return max(usual_us, half_objective_us, COST_FACTOR * request.event.cost_us)
