"""A recording played to the decisions again: the same seed and events make the same actions, to the last."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.recorder.record_framing import Frame, Named
from sidecar_proxy.recorder.recording import Head


@dataclass(slots=True, frozen=True)
class Difference:
    """A step at which these decisions do otherwise."""

    step: int  # from 1
    frame: Frame
    replayed: list[Any] | str  # what came of it now, or the fault


def replay_steps(head: Head, frames: Iterator[Frame]) -> Iterator[tuple[Balancer, Difference | None, Frame]]:
    """Each step: the decisions after it, its difference if it has one, and what was recorded. After the first
    difference the rest is of another state."""
    decisions = Balancer(head.settings, head.seed, head.started_us)
    step = 0
    for frame in frames:
        if isinstance(frame.event, Named):
            continue
        step += 1
        now: list[Any] | str
        try:
            now = decisions.handle(frame.now_us, frame.event)
        except Exception as error:
            now = f"{type(error).__name__}: {error}"
        then = frame.fault or frame.actions
        yield decisions, None if now == then else Difference(step, frame, now), frame


def replay_differences(head: Head, frames: Iterator[Frame]) -> Iterator[tuple[int, Difference | None]]:
    """The number of each step, with its difference if it has one."""
    for step, (_, difference, _) in enumerate(replay_steps(head, frames), 1):
        yield step, difference
