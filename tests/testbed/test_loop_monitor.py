"""The testbed's own event loop is held up: answers that are in time are not taken for late ones."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from dataclasses import replace

from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Answered, Asked, Held, Quit, now_us
from sidecar_proxy.testbed.scenario import Scene
from tests.testbed.playing import PLAN, judged, on_rig

SOON_US = 50_000
WIDE_SLACK_US = 500_000  # as of `judged`
LONG_HELD_S = 0.6  # from the due time of a request on
SILENT = replace(PLAN, seconds=2.0, faults=(Fault("silent", 0.0, 3.0, nodes=PLAN.nodes),))


def play_with(interrupt: Callable[[Scene, float], None]) -> Scene:
    """Play a plan in which no upstream answers; interrupt it shortly before a waiting request is due.

    `interrupt` gets the time from then until `LONG_HELD_S` after the due time.
    """

    async def test(scene: Scene) -> None:
        playing = asyncio.create_task(scene.play())
        while not (due_us := next_due_us(scene)):
            await asyncio.sleep(0.005)
        interrupt(scene, (due_us - now_us()) / 1e6 + LONG_HELD_S)
        await playing

    return on_rig(SILENT, test)


def next_due_us(scene: Scene) -> int:
    """Return the due time of a request that waits and is due soon, 0 if there is none."""
    ended = {one.request for one in scene.ledger if isinstance(one, (Answered, Quit))}
    waiting = [one.due_us for one in scene.ledger if isinstance(one, Asked) and one.request not in ended]
    return next((due_us for due_us in waiting if 0 < due_us - now_us() < SOON_US), 0)


def late_answers(scene: Scene) -> list[Answered]:
    due_us = {one.request: one.due_us for one in scene.ledger if isinstance(one, Asked)}
    answers = [one for one in scene.ledger if isinstance(one, Answered)]
    return [one for one in answers if one.at_us > due_us[one.request] + WIDE_SLACK_US]


# Guards against "answered 509 ms after its due time" where the machine did not run the test itself.
def test_answers_that_are_read_late_are_not_blamed_on_the_sidecar() -> None:
    scene = play_with(lambda scene, held_s: time.sleep(held_s))
    assert late_answers(scene)  # the order that this test forces
    assert any(isinstance(one, Held) and one.at_us - one.from_us >= WIDE_SLACK_US for one in scene.ledger)
    assert not judged(scene)


def test_a_sidecar_that_is_late_itself_is_blamed() -> None:
    def stop(scene: Scene, held_s: float) -> None:
        process = scene.sidecars[0].process
        assert process is not None
        os.kill(process.pid, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(held_s, os.kill, process.pid, signal.SIGCONT)

    assert [breach for breach in judged(play_with(stop)) if breach.rule == 1]
