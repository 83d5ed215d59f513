"""The answer of the OVERLOAD command."""

from __future__ import annotations

import json

from sidecar_proxy.overload_control.messages import LeaseRequest
from sidecar_proxy.overload_control.status import controller_status
from tests.overload_control.controllers import ControllerFactory
from tests.overload_control.reports import make_report

# The keys in their order, which differ from the names of the controller's attributes.
KEYS = [
    "tries_per_s",
    "repeats_per_s",
    "crowded_per_s",
    "served_per_s",
    "returns_per_s",
    "refused_per_s",
    "index",
    "instances",
    "storm",
    "why",
    "weight",
    "owned",
    "lent",
    "borrowed",
    "number",
    "kept",
    "returning",
    "return_us",
    "demand_us",
    "room_us",
    "backlog",
    "heard",
    "counts",
]


def test_keys_are_those_that_operators_tools_read(new_controller: ControllerFactory) -> None:
    assert list(controller_status(new_controller("s0", 0, 1), 0)) == KEYS


def test_status_shows_peers_leases_and_counts(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    controller.receive_report("s1", make_report(1), 9_999_000)
    controller.receive_message("s1", LeaseRequest(7, 1, 100_000, 0), 10_000_000)
    status = json.loads(json.dumps(controller_status(controller, 10_000_000)))
    assert status["heard"] == {"s1": 1000}
    assert status["lent"] == {"s1": 100_000}
    assert status["weight"] == 400_000
    assert status["owned"] == 500_000
    assert status["borrowed"] == {}
    assert status["counts"] == {"asked": 1}
    assert status["kept"] is None
    assert status["returning"] is None
