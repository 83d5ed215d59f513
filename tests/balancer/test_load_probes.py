"""Load probes of a few upstreams before a request is sent to the least loaded."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
)
from sidecar_proxy.balancer.picker import MAX_PROBE_FEE
from tests.balancer.harness import BalancerHarness
from tests.balancer.steps import (
    READ,
    harness_with_upstreams,
)


def load_polling_harness(reports: dict[int, float | None], **changes: object) -> BalancerHarness:
    """Return one of many sidecars; probed upstreams report these requests in flight (None = no report)."""
    values: dict[str, object] = {
        "instances": 1000,
        "probes": True,
        "report_names": ["in_flight"],
        "hedging_allowed": False,
        **changes,
    }
    harness = harness_with_upstreams(len(reports), **values)
    harness.reports = reports
    return harness


def answer_probes(harness: BalancerHarness) -> None:
    """End each load probe, also those that are sent meanwhile, with the upstream's report."""
    position = 0
    while position < len(harness.actions):
        action = harness.actions[position]
        position += 1
        if isinstance(action, Probe):
            load = harness.reports[action.upstream]
            harness.dispatch(ProbeEnded(action.upstream, Outcome.OK, 500, [] if load is None else [load]))


def test_least_loaded_of_three_upstreams_is_picked() -> None:
    for seed in range(3):
        harness = load_polling_harness(
            {100 + seed: 9.0, 100 + (seed + 1) % 3: 1.0, 100 + (seed + 2) % 3: 4.0}
        )
        request = harness.arrive(READ)
        assert not harness.sends(request)
        answer_probes(harness)
        assert [s.upstream for s in harness.sends(request)] == [100 + (seed + 1) % 3]


def test_idle_upstream_is_picked_without_further_probes() -> None:
    harness = load_polling_harness({100: 0.0, 101: 0.0, 102: 0.0})
    request = harness.arrive(READ)
    answer_probes(harness)
    assert len(harness.sends(request)) == 1
    assert sum(isinstance(action, Probe) for action in harness.actions) == 1


def test_unknown_load_ranks_between_known_idle_and_known_busy() -> None:
    for other_load, expected in ((2.0, 101), (9.0, 100)):
        harness = load_polling_harness({100: None, 101: other_load})
        request = harness.arrive(READ)
        answer_probes(harness)
        assert [s.upstream for s in harness.sends(request)] == [expected]


def test_request_is_sent_soon_if_a_probe_is_not_answered() -> None:
    harness = load_polling_harness({100: 0.0, 101: 0.0, 102: 0.0})
    request = harness.arrive(READ)
    harness.advance(20_000)  # more than a twentieth of the latency objective
    assert len(harness.sends(request)) == 1


def test_request_is_rejected_if_all_queues_outlast_its_latency_objective() -> None:
    harness = load_polling_harness({100: 40.0, 101: 40.0, 102: 40.0})
    request = harness.arrive(READ)
    answer_probes(harness)
    assert isinstance(harness.answer(request), Refuse)
    assert not harness.sends(request)


def test_few_sidecars_do_not_poll_load() -> None:
    harness = load_polling_harness({100: 40.0, 101: 40.0}, instances=3)
    assert len(harness.sends(harness.arrive(READ))) == 1


def test_load_is_not_polled_if_a_probe_costs_more_than_it_gains() -> None:
    for fee, sent in ((MAX_PROBE_FEE / 2, 0), (MAX_PROBE_FEE * 2, 1)):
        harness = load_polling_harness({100: 40.0, 101: 0.0, 102: 40.0}, probe_fee=fee)
        assert len(harness.sends(harness.arrive(READ))) == sent
        assert any(isinstance(action, Probe) for action in harness.actions) == (sent == 0)


def test_client_that_disconnects_while_load_is_polled_leaves_no_state() -> None:
    harness = load_polling_harness({100: 1.0, 101: 1.0})
    request = harness.arrive(READ)
    harness.disconnect_client(request)
    answer_probes(harness)
    harness.advance(100_000)
    assert not harness.sends(request)
    assert not harness.balancer.prober.waiting
    assert not harness.balancer.requests


def test_no_more_requests_poll_load_at_once_than_there_are_upstreams() -> None:
    """With more, each load report would lead to a search through all requests of a batch of arrivals."""
    harness = load_polling_harness({100: 1.0, 101: 1.0, 102: 1.0})
    for _ in range(50):
        harness.arrive(READ)
    assert len(harness.balancer.prober.waiting) <= 3
