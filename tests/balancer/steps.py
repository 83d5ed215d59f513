"""Steps that tests of the balancer share: worlds with a list, full slots, requests in turn."""

from __future__ import annotations

from sidecar_proxy.balancer.events import Outcome
from tests.balancer.harness import BalancerHarness, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def harness_with_upstreams(count: int = 4, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**changes))
    harness.update_list(upstreams(count))
    return harness


def exhaust_slots(harness: BalancerHarness) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(harness.arrive(READ))
        if not harness.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def run_steps(
    harness: BalancerHarness,
    steps: int,
    failing_upstream: int | None = None,
    failure: Outcome = Outcome.FULL,
    class_index: int = READ,
    response_time_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        harness.arrive(class_index)
        harness.advance(response_time_us)
        for ident in [i for i, owed in harness.requests.items() if owed.in_flight()]:
            for attempt in harness.requests[ident].in_flight():
                is_failing = harness.requests[ident].attempts[attempt].upstream == failing_upstream
                harness.end(ident, attempt, failure if is_failing else Outcome.OK)


def count_free_slots(harness: BalancerHarness) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in exhaust_slots(harness) if harness.sends(r)]
    for request in taken:
        harness.end(request, 0, Outcome.OK)
    return len(taken)


def harness_with_grown_limit() -> BalancerHarness:
    """One upstream whose slots have opened under need."""
    harness = harness_with_upstreams(1)
    for _ in range(80):
        exhaust_slots(harness)
        run_steps(harness, 1, response_time_us=20_000)
    run_steps(harness, 1)
    return harness
