"""The timer queue makes each callback once, in order and not early, unless it was cancelled."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from sidecar_proxy.engine.timers import MAX_CANCELLED, TIMER_RESOLUTION_S, Timer, TimerQueue


class VirtualLoop:
    """An event loop whose clock the test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.handles: list[tuple[float, Callable[[], None], list[bool]]] = []
        self.errors: list[Any] = []

    def time(self) -> float:
        return self.now_s

    def call_later(self, wait_s: float, call: Callable[[], None]) -> Any:
        is_done: list[bool] = []
        self.handles.append((self.now_s + round(wait_s, 3), call, is_done))
        handle = asyncio.Event()  # any object to which the attribute `cancel` can be assigned
        handle.cancel = lambda: is_done.append(True)  # type: ignore[attr-defined]
        return handle

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(context["exception"])

    def advance_to(self, until_s: float) -> None:
        while live := [handle for handle in self.handles if not handle[2] and handle[0] <= until_s]:
            at_s, call, is_done = min(live, key=lambda handle: handle[0])
            is_done.append(True)
            self.now_s = max(self.now_s, at_s)
            call()
        self.now_s = until_s
        self.handles = [handle for handle in self.handles if not handle[2]]


@pytest.mark.parametrize("seed", range(8))
def test_each_timer_is_called_once_in_order_and_not_early_unless_cancelled(seed: int) -> None:
    rng, loop = random.Random(seed), VirtualLoop()
    timers = TimerQueue(cast(Any, loop))
    calls: list[tuple[float, int]] = []
    due_at_s: dict[int, float] = {}
    live: dict[int, Timer] = {}

    def on_timer(number: int) -> None:
        calls.append((loop.now_s, number))
        del live[number]
        if rng.random() < 0.3:
            add()  # a timer that is set by a callback
        if rng.random() < 0.2:
            raise RuntimeError("a fault")

    def add() -> None:
        number, wait_s = len(due_at_s), rng.choice((0.0, 0.0004, 0.01, 0.3, 2.0))
        due_at_s[number] = loop.now_s + wait_s
        live[number] = timers.call_later(wait_s, on_timer, number)

    for _ in range(3000):
        if rng.random() < 0.6:
            add()
        elif live and rng.random() < 0.9:
            live.pop(rng.choice(list(live))).cancel()
        else:
            loop.advance_to(loop.now_s + rng.choice((0.001, 0.02, 0.5)))
        assert len([handle for handle in loop.handles if not handle[2]]) <= 1
        assert len(timers.heap) <= 2 * (MAX_CANCELLED + len(live)) + 1
        assert all(due_at_s[number] > loop.now_s - 0.002 for number in live)  # no due timer is left
    loop.advance_to(loop.now_s + 5.0)
    assert not live
    assert len(calls) == len({number for _, number in calls})
    assert all(at_s - due_at_s[number] + 2 * TIMER_RESOLUTION_S >= 0 for at_s, number in calls)
    assert loop.errors
    assert not timers.heap
    assert timers.cancelled == 0
    timers.call_later(1.0, on_timer, 0)
    timers.close()
    assert not [handle for handle in loop.handles if not handle[2]]
