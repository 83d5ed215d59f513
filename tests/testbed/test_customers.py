"""Real sidecars under the settings of customers that differ in kind, through the same faults."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.clients import Load, Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Answered, Told
from sidecar_proxy.testbed.scenario import Plan
from tests.testbed.playing import PLAN, play, served

FAULTS = (
    Fault("drain", 0.8, 2.0, 0.25),
    Fault("crash", 1.2, 0.6, 2),
    Fault("restart", 1.6, 0.1, 3),
    Fault("roster_down", 2.0, 0.6),
)
ANY = replace(PLAN, faults=FAULTS, manners=Manners(quits=0.05))
CUSTOMERS = {
    "komiks": replace(
        ANY,
        loads=(
            Load("buy", "at_most_once", 0.7, 1.2, priority_weight=10.0),
            Load("topup", "deduplicated", 0.3, 4.0, priority_weight=8.0),
        ),
    ),
    "licence": replace(
        ANY,
        sites=("north", "south", "east"),
        drain_s=0.5,
        idle_s=60.0,
        retry_after=False,
        hedging_allowed=False,
        loads=(
            Load("look", "idempotent", 0.5, 1.5),
            Load("file", "deduplicated", 0.3, 2.5, memory_s=2.0),
            Load("issue", "at_most_once", 0.2, 2.0, priority_weight=5.0),
        ),
    ),
    "fares": replace(
        ANY,
        pushed=True,
        drain_s=0.6,
        idle_s=2.0,
        cancel=False,
        retry_after=False,
        hedging_allowed=False,
        loads=(
            Load("tap", "idempotent", 0.5, 0.26),
            Load("load", "deduplicated", 0.3, 1.5, group="all", memory_s=0.9),
            Load("refund", "at_most_once", 0.2, 3.6, priority_weight=5.0),
        ),
    ),
    "remittances": replace(
        ANY,
        sites=("n", "s", "e", "w"),
        drain_s=0.3,
        idle_s=20.0,
        cancel=False,
        probes=True,
        loads=(
            Load("rate", "idempotent", 0.4, 0.29),
            Load("send", "deduplicated", 0.4, 2.5, group="zone", memory_s=0.7),
            Load("payout", "at_most_once", 0.2, 6.0, priority_weight=9.0),
        ),
    ),
}


@pytest.mark.parametrize("customer", CUSTOMERS)
def test_the_rules_hold_under_settings_that_differ_in_kind(customer: str) -> None:
    """Pushed and asked lists, groups of all, a zone and a cell, safe, keyed and unsafe work, short and long
    deadlines, windows and graces, probes or none, with cancel, second copies and Retry-After or without."""
    plan: Plan = CUSTOMERS[customer]
    scene = play(plan)
    assert served(scene) > 0.4
    assert {row.kind for row in table(scene.ledger)} == {load.kind for load in plan.loads}
    assert any(isinstance(one, Told) and one.health == "terminating" for one in scene.ledger)
    advised = any(isinstance(one, Answered) and one.retry_after_us for one in scene.ledger)
    assert plan.retry_after or not advised
