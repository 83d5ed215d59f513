"""Polling the load of a few upstreams before a request is sent."""

from __future__ import annotations

from sidecar_proxy.balancer.events import (
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
)
from sidecar_proxy.balancer.picker import MAX_PROBE_FEE
from tests.balancer.steps import (
    READ,
    listed_world,
)
from tests.balancer.world import World


def polling_world(reports: dict[int, float | None], **changes: object) -> World:
    """Many sidecars whose upstreams, when probed, tell how many requests they hold (None: no report)."""
    values: dict[str, object] = {
        "instances": 1000,
        "probes": True,
        "report_names": ["in_flight"],
        "hedging_allowed": False,
        **changes,
    }
    world = listed_world(len(reports), **values)
    world.reports = reports
    return world


def answer_probes(world: World) -> None:
    position = 0
    while position < len(world.log):
        action = world.log[position]
        position += 1
        if isinstance(action, Probe):
            held = world.reports[action.upstream]
            world.tell(ProbeEnded(action.upstream, Outcome.OK, 500, [] if held is None else [held]))


def test_least_loaded_of_a_few_is_picked() -> None:
    for seed in range(3):
        world = polling_world({100 + seed: 9.0, 100 + (seed + 1) % 3: 1.0, 100 + (seed + 2) % 3: 4.0})
        request = world.arrive(READ)
        assert not world.sends(request)
        answer_probes(world)
        assert [s.upstream for s in world.sends(request)] == [100 + (seed + 1) % 3]


def test_idle_upstream_is_picked_without_further_probes() -> None:
    world = polling_world({100: 0.0, 101: 0.0, 102: 0.0})
    request = world.arrive(READ)
    answer_probes(world)
    assert len(world.sends(request)) == 1
    assert sum(isinstance(action, Probe) for action in world.log) == 1


def test_unknown_load_ranks_between_known_idle_and_known_busy() -> None:
    for other, taken in ((2.0, 101), (9.0, 100)):
        world = polling_world({100: None, 101: other})
        request = world.arrive(READ)
        answer_probes(world)
        assert [s.upstream for s in world.sends(request)] == [taken]


def test_unanswered_probe_is_not_waited_for_long() -> None:
    world = polling_world({100: 0.0, 101: 0.0, 102: 0.0})
    request = world.arrive(READ)
    world.advance(20_000)  # over a twentieth of the aim
    assert len(world.sends(request)) == 1


def test_request_is_rejected_where_all_queues_outlast_its_objective() -> None:
    world = polling_world({100: 40.0, 101: 40.0, 102: 40.0})
    request = world.arrive(READ)
    answer_probes(world)
    assert isinstance(world.answer(request), Refuse)
    assert not world.sends(request)


def test_few_sidecars_do_not_poll_load() -> None:
    world = polling_world({100: 40.0, 101: 40.0}, instances=3)
    assert len(world.sends(world.arrive(READ))) == 1


def test_load_is_not_polled_where_a_probe_costs_more_than_it_gains() -> None:
    for fee, sent in ((MAX_PROBE_FEE / 2, 0), (MAX_PROBE_FEE * 2, 1)):
        world = polling_world({100: 40.0, 101: 0.0, 102: 40.0}, probe_fee=fee)
        assert len(world.sends(world.arrive(READ))) == sent
        assert any(isinstance(action, Probe) for action in world.log) == (sent == 0)


def test_client_that_quits_while_load_is_polled_leaves_no_state() -> None:
    world = polling_world({100: 1.0, 101: 1.0})
    request = world.arrive(READ)
    world.quit(request)
    answer_probes(world)
    world.advance(100_000)
    assert not world.sends(request)
    assert not world.balancer.prober.waiting
    assert not world.balancer.requests


def test_no_more_requests_poll_load_at_once_than_there_are_upstreams() -> None:
    """A long batch of arrivals would make every probe's answer a search through all of them."""
    world = polling_world({100: 1.0, 101: 1.0, 102: 1.0})
    for _ in range(50):
        world.arrive(READ)
    assert len(world.balancer.prober.waiting) <= 3
