"""The first 5 s of a process that replaces another one, with its warm-start state and without.

    python -m benchmarks.takeover [--seeds 20] [--rate 150] [--instances 2]

The balancer alone, in virtual time: of 15 upstreams 3 fail nine of ten requests at once, 2 answer too late,
and the others answer in about 20 ms. The old process serves for 20 s before. The figures are means over the
seeds.
"""

from __future__ import annotations

import argparse
import heapq
import random
from dataclasses import dataclass, field

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer

UPSTREAMS = range(15)
FAILING_UPSTREAMS = (0, 1, 2)
SLOW_UPSTREAMS = (3, 4)
FAILURE_RATE = 0.9
FAILURE_US = 3_000
SLOW_RESPONSE_US = 900_000
LATENCY_OBJECTIVE_US = 300_000
DEADLINE_US = 1_200_000
OLD_PROCESS_S = 20.0
MEASURED_S = (1.0, 5.0)
OLD_START_US = 1_000_000_000
NEW_SEED_OFFSET = 1000


def create_settings(instances: int) -> api.Settings:
    classes = [
        api.RequestClass(
            "pay", latency_objective_us=LATENCY_OBJECTIVE_US, deadline_us=DEADLINE_US, effect="at_most_once"
        ),
        api.RequestClass(
            "read", latency_objective_us=LATENCY_OBJECTIVE_US, deadline_us=DEADLINE_US, effect="idempotent"
        ),
    ]
    return api.Settings(
        classes,
        instances=instances,
        max_attempts=4,
        cancel=True,
        cold_share=0.2,
        warm_up_us=20_000_000,
        overload_factor=2.5,
        max_retry_after_us=1_000_000,
    )


@dataclass
class SentRequest:
    """When a request arrived, and how many attempts were sent."""

    arrived_us: int
    attempt_count: int = 0


@dataclass
class Process:
    """The balancer of one process, and the outcomes of its requests."""

    balancer: Balancer
    rng: random.Random
    now_us: int
    scheduled: list[tuple[int, int, api.Event]] = field(default_factory=list)  # a heap: time, order, event
    scheduled_count: int = 0
    requests: dict[int, SentRequest] = field(default_factory=dict)
    in_time_count: int = 0
    rejected_count: int = 0
    failed_count: int = 0
    wasted_attempt_count: int = 0  # at upstreams that fail or are slow

    def schedule(self, at_us: int, event: api.Event) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at_us, self.scheduled_count, event))

    def handle(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.SetTimer):
                self.schedule(action.at_us, api.TimerFired(action.token))
            elif isinstance(action, api.Refuse):
                self.rejected_count += 1
            elif isinstance(action, api.Fail):
                self.failed_count += 1

    def send(self, action: api.Send) -> None:
        request = self.requests[action.request]
        attempt = request.attempt_count
        request.attempt_count += 1
        upstream = action.upstream
        outcome = api.Outcome.OK
        elapsed_us = int(self.rng.lognormvariate(9.9, 0.3))
        is_failing = upstream in FAILING_UPSTREAMS
        self.wasted_attempt_count += is_failing or upstream in SLOW_UPSTREAMS
        if is_failing and self.rng.random() < FAILURE_RATE:
            outcome, elapsed_us = api.Outcome.ERROR, FAILURE_US
        elif upstream in SLOW_UPSTREAMS:
            elapsed_us = SLOW_RESPONSE_US
        if elapsed_us > action.timeout_us > 0:
            outcome, elapsed_us = api.Outcome.TIMEOUT, action.timeout_us
        is_ok = outcome is api.Outcome.OK
        self.schedule(
            self.now_us + elapsed_us,
            api.AttemptEnded(action.request, attempt, upstream, outcome, elapsed_us, is_ok),
        )

    def run(self, seconds: float, rate: float) -> None:
        end_us = self.now_us + int(seconds * 1e6)
        arrival_us = self.now_us
        while (arrival_us := arrival_us + int(self.rng.expovariate(rate) * 1e6)) < end_us:
            request = len(self.requests) + 1
            self.requests[request] = SentRequest(arrival_us)
            deadline_us = arrival_us + DEADLINE_US
            self.schedule(arrival_us, api.RequestArrived(request, deadline_us, self.rng.randrange(2)))
        while self.scheduled and self.scheduled[0][0] < end_us:
            self.now_us, _, event = heapq.heappop(self.scheduled)
            if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.OK:
                latency_us = self.now_us - self.requests[event.request].arrived_us
                self.in_time_count += latency_us <= LATENCY_OBJECTIVE_US
            self.handle(event)
        self.now_us = end_us


@dataclass(frozen=True)
class Result:
    """The outcomes of one process."""

    in_time_percent: float
    rejected_percent: float
    wasted_attempts: float


def start_process(seed: int, instances: int, now_us: int, state: api.WarmStartState | None) -> Process:
    process = Process(Balancer(create_settings(instances), seed, now_us), random.Random(seed), now_us)
    upstreams = [api.Upstream(number) for number in UPSTREAMS]
    process.handle(api.UpstreamsUpdated(api.ListKind.FULL, upstreams))
    if state is not None:
        process.handle(state)
    return process


def measure(old: Process, seed: int, options: argparse.Namespace, seconds: float, is_warm: bool) -> Result:
    """Run a process that replaces `old`, with its state or without."""
    state = old.balancer.export_warm_start_state() if is_warm else None
    process = start_process(seed, options.instances, old.now_us, state)
    process.run(seconds, options.rate)
    count = max(1, len(process.requests))
    return Result(
        100 * process.in_time_count / count,
        100 * process.rejected_count / count,
        float(process.wasted_attempt_count),
    )


def format_pair(cold: list[float], warm: list[float]) -> str:
    return f"{sum(cold) / len(cold):>10.1f}{sum(warm) / len(warm):>10.1f}"


def format_row(cold: list[Result], warm: list[Result]) -> str:
    pairs = (
        format_pair([result.in_time_percent for result in cold], [result.in_time_percent for result in warm]),
        format_pair(
            [result.rejected_percent for result in cold], [result.rejected_percent for result in warm]
        ),
        format_pair([result.wasted_attempts for result in cold], [result.wasted_attempts for result in warm]),
    )
    return " ".join(pairs)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second")
    parser.add_argument("--instances", type=int, default=2)
    options = parser.parse_args()
    cold: dict[float, list[Result]] = {seconds: [] for seconds in MEASURED_S}
    warm: dict[float, list[Result]] = {seconds: [] for seconds in MEASURED_S}
    for seed in range(options.seeds):
        old = start_process(seed, options.instances, OLD_START_US, None)
        old.run(OLD_PROCESS_S, options.rate)
        for seconds in MEASURED_S:
            cold[seconds].append(measure(old, seed + NEW_SEED_OFFSET, options, seconds, False))
            warm[seconds].append(measure(old, seed + NEW_SEED_OFFSET, options, seconds, True))
    print(f"{'first':>8} {'in time %':>20} {'rejected %':>20} {'wasted attempts':>20}   (without, with)")
    for seconds in MEASURED_S:
        print(f"{seconds:>6.0f} s {format_row(cold[seconds], warm[seconds])}")


if __name__ == "__main__":
    main()
