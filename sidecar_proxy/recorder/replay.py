"""Replays a recording: the balancer takes the same actions from the same seed and events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.recorder.record_framing import Frame, Named
from sidecar_proxy.recorder.recording import Head


@dataclass(slots=True, frozen=True)
class Difference:
    """A step at which the replay has a different result from the recording."""

    step: int  # number of the step, starting at 1
    frame: Frame
    replayed: list[Any] | str  # the actions of the replay, or the text of its exception


def replay_steps(head: Head, frames: Iterator[Frame]) -> Iterator[tuple[Balancer, Difference | None, Frame]]:
    """Replay a recording; yield for each step the balancer after it, its difference or None, and the frame.

    After the first difference the balancer's state is not the recorded one, so later steps may differ too.
    """
    balancer = Balancer(head.settings, head.seed, head.started_us)
    step = 0
    for frame in frames:
        if isinstance(frame.event, Named):
            continue
        step += 1
        replayed: list[Any] | str
        try:
            replayed = balancer.handle(frame.now_us, frame.event)
        except Exception as error:
            replayed = f"{type(error).__name__}: {error}"
        recorded = frame.fault or frame.actions
        yield balancer, None if replayed == recorded else Difference(step, frame, replayed), frame


def replay_differences(head: Head, frames: Iterator[Frame]) -> Iterator[tuple[int, Difference | None]]:
    """Replay a recording, and yield the number of each step with its difference or None."""
    for step, (_, difference, _) in enumerate(replay_steps(head, frames), 1):
        yield step, difference
