"""How long answers usually take, by request class, and the time-outs that follow from it. Pure."""

from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.request import Request

SMOOTHING: Final = 8  # answers over which response times are averaged
TIMEOUT_FACTOR: Final = 3  # times the usual response time, after which an attempt is given up
COST_FACTOR: Final = 4  # times a request's own expected work


class ResponseTimes:
    """The smoothed response time of each request class, time-outs included."""

    def __init__(self, classes: list[api.RequestClass]) -> None:
        self.half_objectives_us = [
            request_class.latency_objective_us // 2 for request_class in classes
        ]  # the time of a slow answer: the other half is left for another attempt
        self.min_half_objective_us = min(self.half_objectives_us)
        self.smoothed_us = [request_class.latency_objective_us / 3 for request_class in classes]

    def observe(self, class_index: int, elapsed_us: int) -> None:
        """Average an answer or a time-out in."""
        smoothed_us = self.smoothed_us[class_index]
        self.smoothed_us[class_index] = smoothed_us + (max(1, elapsed_us) - smoothed_us) / SMOOTHING

    def latest_start_us(self, request: Request) -> int:
        """Return the time after which an attempt is not expected to be answered in time.

        At most half of the objective is set aside; otherwise no attempt would start after a long outage.
        """
        usual_us = int(self.smoothed_us[request.class_index])
        return request.effective_deadline_us - min(usual_us, self.half_objectives_us[request.class_index])

    def attempt_timeout_us(self, request: Request) -> int:
        """Return how long an attempt may take: what the class usually takes, with a margin.

        It is half of the objective at least: a sidecar that has seen few answers knows little of the long
        ones.
        """
        usual_us = int(TIMEOUT_FACTOR * self.smoothed_us[request.class_index])
        half_objective_us = self.half_objectives_us[request.class_index]
        return max(usual_us, half_objective_us, COST_FACTOR * request.event.cost_us)
