"""When the input of a descriptor was last known to be empty, by the clock of the process."""

from __future__ import annotations

import asyncio

import pytest

from sidecar_proxy.engine.input_watch import InputWatch, LoopHeartbeat

BEGAN_US = 1_000


class SteppedHeartbeat(LoopHeartbeat):
    """A heartbeat whose clock and beats are those of the test."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now_us = BEGAN_US
        super().__init__(loop, lambda: self.now_us)

    def beat_at(self, now_us: int) -> None:
        """Beat at a time."""
        self.now_us = now_us
        self.timer.cancel()
        self.beat()


@pytest.fixture
def heartbeat() -> SteppedHeartbeat:
    return SteppedHeartbeat(asyncio.new_event_loop())


def test_watched_input_was_empty_at_the_beat_before_the_latest_one(heartbeat: SteppedHeartbeat) -> None:
    watch = InputWatch(heartbeat, 0)
    watch.begin()
    heartbeat.beat_at(2_000)
    heartbeat.beat_at(3_000)
    assert watch.last_empty_us() == 2_000


def test_input_that_was_not_watched_at_the_earlier_beat_may_be_older(heartbeat: SteppedHeartbeat) -> None:
    watch = InputWatch(heartbeat, 500)
    heartbeat.beat_at(2_000)
    heartbeat.now_us = 2_500
    watch.begin()
    heartbeat.beat_at(3_000)
    assert watch.last_empty_us() == 500


def test_input_of_a_pause_has_come_since_the_watch_ended(heartbeat: SteppedHeartbeat) -> None:
    watch = InputWatch(heartbeat, 0)
    watch.begin()
    heartbeat.beat_at(2_000)
    heartbeat.beat_at(3_000)
    watch.end()
    heartbeat.beat_at(4_000)
    heartbeat.beat_at(5_000)
    assert watch.last_empty_us() == 2_000
    watch.begin()
    assert watch.last_empty_us() == 2_000


def test_read_that_found_no_more_counts_more_than_an_earlier_beat(heartbeat: SteppedHeartbeat) -> None:
    watch = InputWatch(heartbeat, 0)
    watch.begin()
    heartbeat.beat_at(2_000)
    heartbeat.beat_at(3_000)
    watch.seen_empty(3_500)
    assert watch.last_empty_us() == 3_500
