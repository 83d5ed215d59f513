"""Many timers on one of the loop's: each call once, in its order and not early; none that was cancelled."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from sidecar_proxy.engine.timers import MAX_CANCELLED, TIMER_RESOLUTION_S, Timer, TimerQueue


class Loop:
    """A loop whose time is the test's."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.handles: list[tuple[float, Callable[[], None], list[bool]]] = []
        self.errors: list[Any] = []

    def time(self) -> float:
        return self.now_s

    def call_later(self, wait_s: float, call: Callable[[], None]) -> Any:
        dead: list[bool] = []
        self.handles.append((self.now_s + round(wait_s, 3), call, dead))
        handle = asyncio.Event()  # anything with an attribute to put `cancel` in
        handle.cancel = lambda: dead.append(True)  # type: ignore[attr-defined]
        return handle

    def call_exception_handler(self, told: dict[str, Any]) -> None:
        self.errors.append(told["exception"])

    def pass_time(self, until_s: float) -> None:
        while live := [one for one in self.handles if not one[2] and one[0] <= until_s]:
            at_s, call, dead = min(live, key=lambda one: one[0])
            dead.append(True)
            self.now_s = max(self.now_s, at_s)
            call()
        self.now_s = until_s
        self.handles = [one for one in self.handles if not one[2]]


@pytest.mark.parametrize("seed", range(8))
def test_each_is_called_once_in_order_and_not_early_and_no_cancelled_one_is(seed: int) -> None:
    dice, loop = random.Random(seed), Loop()
    timers = TimerQueue(cast(Any, loop))
    made: list[tuple[float, int]] = []
    set_at: dict[int, float] = {}
    live: dict[int, Timer] = {}

    def called(number: int) -> None:
        made.append((loop.now_s, number))
        del live[number]
        if dice.random() < 0.3:
            add()  # set from inside a call
        if dice.random() < 0.2:
            raise RuntimeError("a fault")

    def add() -> None:
        number, wait_s = len(set_at), dice.choice((0.0, 0.0004, 0.01, 0.3, 2.0))
        set_at[number] = loop.now_s + wait_s
        live[number] = timers.later(wait_s, called, number)

    for _ in range(3000):
        if dice.random() < 0.6:
            add()
        elif live and dice.random() < 0.9:
            live.pop(dice.choice(list(live))).cancel()
        else:
            loop.pass_time(loop.now_s + dice.choice((0.001, 0.02, 0.5)))
        assert len([one for one in loop.handles if not one[2]]) <= 1
        assert len(timers.heap) <= 2 * (MAX_CANCELLED + len(live)) + 1
        assert all(set_at[number] > loop.now_s - 0.002 for number in live)  # none is forgotten
    loop.pass_time(loop.now_s + 5.0)
    assert not live and len(made) == len({number for _, number in made})
    assert all(at_s - set_at[number] + 2 * TIMER_RESOLUTION_S >= 0 for at_s, number in made)
    assert loop.errors and not timers.heap and timers.cancelled == 0
    timers.later(1.0, called, 0)
    timers.close()
    assert not [one for one in loop.handles if not one[2]]
