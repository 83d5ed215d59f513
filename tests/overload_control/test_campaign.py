"""Campaigns of random faults find three injected bugs, find none in the code itself, and are repeatable."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.overload_control.controller import OverloadController
from sidecar_proxy.overload_control.quota_leases import QuotaEscrow
from sidecar_proxy.testbed.campaign import Campaign, Finding, World, draw, smaller, virtual
from sidecar_proxy.testbed.fault_schedule import Fault, read, written

SIDECARS = 6
SECONDS = 30.0
MAX_RUNS = 200


class ForgettingController(OverloadController):
    """An injected bug: the lease of a peer considered dead counts as returned, but the peer may be alive."""

    def remove_peer(self, author: str) -> None:
        super().remove_peer(author)
        lease_ids = [lease_id for lease_id, lease in self.escrow.granted.items() if lease.borrower == author]
        for lease_id in lease_ids:
            del self.escrow.granted[lease_id]


class UnendingEscrow(QuotaEscrow):
    """An injected bug: a borrowed lease never expires."""

    def borrowed_parts(self, now_us: int) -> int:
        return sum(lease.parts for lease in self.borrowed.values())


class UnendingController(OverloadController):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        now_us = arguments[-1]
        self.escrow = UnendingEscrow(self.index, self.instances, self.rng, now_us)


class SynchronizingBalancer:
    """An injected bug: all rejected clients get a Retry-After that expires at the same moment."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.inner = Balancer(settings, seed, now_us)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        actions = self.inner.handle(now_us, event)
        for action in actions:
            if isinstance(action, api.Refuse):
                action.retry_after_us = 2_000_000 - now_us % 2_000_000
        return actions


def run_campaign(runs: int, **injected: Any) -> tuple[int, str]:
    """Returns the number of the run that found a violation (0: none), and the output of the campaign."""
    output = io.StringIO()
    run_schedule = virtual(SIDECARS, SECONDS, **injected)
    return Campaign(1, runs, SIDECARS, SECONDS, run_schedule, output).run(), output.getvalue()


def test_lease_counted_twice_after_a_partition_is_found_with_a_minimal_schedule() -> None:
    run, output = run_campaign(MAX_RUNS, makes=ForgettingController)
    assert 0 < run <= MAX_RUNS
    assert "all may spend" in output
    _, first_table, remainder = output.partition("[[fault]]")
    schedule = first_table + remainder
    faults = read(schedule)
    seed = int(output.partition("seed ")[2].partition(":")[0])
    assert written(faults).strip() == schedule.strip()
    assert virtual(SIDECARS, SECONDS, ForgettingController)(seed, faults)
    assert len(faults) <= 2
    assert not virtual(SIDECARS, SECONDS)(seed, faults)


def test_quota_spent_after_its_lease_has_expired_is_found() -> None:
    run, output = run_campaign(MAX_RUNS, makes=UnendingController)
    assert 0 < run <= MAX_RUNS
    assert "may spend" in output


def test_same_retry_time_for_all_clients_is_found() -> None:
    run, output = run_campaign(MAX_RUNS, decides=SynchronizingBalancer)
    assert 0 < run <= MAX_RUNS
    assert "same moment" in output


def test_nothing_is_found_without_an_injected_bug() -> None:
    run, output = run_campaign(12)
    assert run == 0, output


def test_runs_of_one_seed_are_equal() -> None:
    def run_world() -> list[tuple[int, int]]:
        world = World(SIDECARS, 5, draw(5, SIDECARS))
        world.run(12.0)
        return [(mind.requests, mind.member.escrow.usable_parts(world.clock(mind))) for mind in world.minds]

    assert run_world() == run_world()
    assert draw(5, SIDECARS) == draw(5, SIDECARS)
    assert draw(5, SIDECARS) != draw(6, SIDECARS)


def test_failing_schedule_is_reduced_to_its_one_necessary_fault() -> None:
    faults = draw(3, SIDECARS) + draw(4, SIDECARS)
    necessary_kind = faults[1].kind

    def run_schedule(_: int, schedule: Sequence[Fault]) -> list[Finding]:
        return [Finding(0.0, fault.kind) for fault in schedule if fault.kind == necessary_kind]

    reduced = smaller(1, faults, run_schedule)
    assert len(reduced) == 1
    assert reduced[0].kind == necessary_kind
    assert reduced[0].for_s < faults[1].for_s * 8
