"""Fixtures of the tests of overload control."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from sidecar_proxy.overload_control.controller import FleetBudgets, OverloadController
from tests.overload_control.controllers import ControllerFactory, ControllerGroup, GroupFactory
from tests.overload_control.reports import PRIORITY_WEIGHTS

MAX_RETRY_AFTER_US = 2_000_000


@pytest.fixture
def new_controller() -> ControllerFactory:
    """Returns a function that creates a controller; the number in its name seeds its random generator."""

    def make(
        name: str,
        index: int,
        instances: int,
        slow_latency_us: int = 0,
        priority_weights: Sequence[float] = PRIORITY_WEIGHTS,
    ) -> OverloadController:
        return OverloadController(
            name,
            index,
            instances,
            priority_weights,
            MAX_RETRY_AFTER_US,
            FleetBudgets(),
            random.Random(int(name[1:])),
            0,
            slow_latency_us,
        )

    return make


@pytest.fixture
def new_group(new_controller: ControllerFactory) -> GroupFactory:
    """Returns a function that creates a group of the given number of controllers."""

    def make(count: int) -> ControllerGroup:
        return ControllerGroup([new_controller(f"s{index}", index, count) for index in range(count)])

    return make
