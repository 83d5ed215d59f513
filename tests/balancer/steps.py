"""Steps that balancer tests share: harnesses with upstreams, exhausted slots, requests one after another."""

from __future__ import annotations

from sidecar_proxy.balancer.events import Outcome
from tests.balancer.harness import BalancerHarness, settings, upstreams

# indexes of the request classes of harness.classes: idempotent, at most once, deduplicated
READ, PAY, MARK = 0, 1, 2


def harness_with_upstreams(count: int = 4, **changes: object) -> BalancerHarness:
    """Return a harness whose balancer has a list of `count` ready upstreams."""
    harness = BalancerHarness(settings(**changes))
    harness.update_list(upstreams(count))
    return harness


def exhaust_slots(harness: BalancerHarness) -> list[int]:
    """Send requests until no slot is free, and return them; the last one is buffered."""
    requests = []
    for _ in range(1000):
        requests.append(harness.arrive(READ))
        if not harness.sends(requests[-1]):
            return requests
    raise AssertionError("the slots never ran out")


def run_steps(
    harness: BalancerHarness,
    steps: int,
    failing_upstream: int | None = None,
    failure: Outcome = Outcome.FULL,
    class_index: int = READ,
    response_time_us: int = 10_000,
) -> None:
    """Send one request per step, and end all attempts in flight after `response_time_us`.

    Attempts end with `failure` at `failing_upstream`, with success elsewhere.
    """
    for _ in range(steps):
        harness.arrive(class_index)
        harness.advance(response_time_us)
        for request in [number for number, state in harness.requests.items() if state.in_flight()]:
            for attempt in harness.requests[request].in_flight():
                is_failing = harness.requests[request].attempts[attempt].upstream == failing_upstream
                harness.end(request, attempt, failure if is_failing else Outcome.OK)


def count_free_slots(harness: BalancerHarness) -> int:
    """Return how many slots are free, by occupying all and then freeing them."""
    sent = [request for request in exhaust_slots(harness) if harness.sends(request)]
    for request in sent:
        harness.end(request, 0, Outcome.OK)
    return len(sent)


def harness_with_grown_limit() -> BalancerHarness:
    """Return a harness with one upstream whose limit has grown because slots were exhausted."""
    harness = harness_with_upstreams(1)
    for _ in range(80):
        exhaust_slots(harness)
        run_steps(harness, 1, response_time_us=20_000)
    run_steps(harness, 1)
    return harness
