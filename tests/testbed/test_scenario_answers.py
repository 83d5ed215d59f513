"""Real sidecars in the lab while answers go wrong, clients quit and etcd is away."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Told
from tests.testbed.playing import PLAN, play, served


def test_etcd_is_away_under_load_and_drains_are_written_at_its_return() -> None:
    drain, later = Fault("drain", 0.5, 1.0, 2), Fault("drain", 1.8, 1.5, 3)  # etcd is away for the second
    scene = play(
        replace(
            PLAN,
            etcd=2,
            faults=(drain, Fault("etcd_down", 1.7, 0.8), later, Fault("roster_late", 0.0, 5.0, size=60.0)),
        )
    )
    drained = {one.node for one in scene.ledger if isinstance(one, Told) and one.health == "terminating"}
    assert len(drained) >= 4, "of etcd alone: the roster is late"
    assert served(scene) > 0.7


@pytest.mark.parametrize("kind", ["errors", "lost", "reset", "half"])
def test_answers_that_go_wrong_have_no_effect_twice(kind: str) -> None:
    play(replace(PLAN, seconds=2.5, faults=(Fault(kind, 0.5, 1.5, 0.5, 0.5),)))


def test_impatient_clients_leave_nothing_behind() -> None:
    silent = Fault("silent", 0.0, 1.5, PLAN.nodes)  # so that there is something to be impatient about
    scene = play(replace(PLAN, seconds=2.0, manners=Manners(quits=0.5), faults=(silent,)))
    assert sum(row.quit for row in table(scene.ledger)) > 0
