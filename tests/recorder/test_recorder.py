"""Recordings: played again to the last action, told as stories, bounded, and read with suspicion."""

from __future__ import annotations

import asyncio
import heapq
import os
import random
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.cli.recorder import main
from sidecar_proxy.recorder.record_framing import Named, pack, unpack
from sidecar_proxy.recorder.recording import (
    KIND,
    Head,
    Recording,
    RecordingError,
    balancer_digest,
    write_recording,
)
from sidecar_proxy.recorder.replay import replay_differences
from sidecar_proxy.recorder.request_trace import trace_lines
from sidecar_proxy.recorder.ring_buffer import SEGMENT, RingBuffer
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Answered
from sidecar_proxy.testbed.scenario import Plan, Scene

SEED = 20261201
SETTINGS = api.Settings(
    [
        api.RequestClass("chapter-buy", 300_000, 1_000_000, effect="at_most_once"),
        api.RequestClass("read", 200_000, 800_000),
    ],
    max_attempts=4,
    retry_after=True,
    max_retry_after_us=2_000_000,
    hedging_allowed=True,
    instances=2,
)

ENDS = [api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.TIMEOUT]


def day(steps: int, ring: RingBuffer, seed: int = SEED) -> list[tuple[int, Any, list[Any]]]:
    """A day of the pure decisions with faults of all kinds; each step goes into the ring."""
    dice, decisions, now_us = random.Random(seed), Balancer(SETTINGS, seed, 0), 0
    seen: list[tuple[int, Any, list[Any]]] = []
    queue: list[tuple[int, int, Any]] = []
    attempts: dict[int, int] = {}

    def later(at_us: int, event: Any) -> None:
        heapq.heappush(queue, (at_us, len(seen) * 100 + len(queue), event))

    later(
        0,
        api.UpstreamsUpdated(
            api.ListKind.FULL, [api.Upstream(n, zone=n % 2, cell=n // 6) for n in range(1, 25)], 1
        ),
    )
    later(1, api.RequestArrived(1, 1_000_000, 0))
    for step in range(steps):
        now_us, _, event = heapq.heappop(queue)
        actions = decisions.handle(now_us, event)
        ring.add(pack(now_us, event, actions))
        seen.append((now_us, event, actions))
        if isinstance(event, api.RequestArrived):
            kind = int(dice.random() < 0.4)
            later(
                now_us + int(dice.expovariate(1 / 1_500)) + 1,
                api.RequestArrived(
                    event.request + 1, now_us + (1_000_000, 800_000)[kind], kind, key=dice.randrange(100)
                ),
            )
        for number, action in enumerate(actions):
            if isinstance(action, api.Send):
                attempt = attempts[action.request] = attempts.get(action.request, -1) + 1
                took_us = int(dice.expovariate(1 / 30_000)) + number + 1
                outcome = dice.choices(ENDS, [80, 8 + 20 * (action.upstream % 5 == 0), 4, 3])[0]
                later(
                    now_us + took_us,
                    api.AttemptEnded(
                        action.request, attempt, action.upstream, outcome, took_us, outcome is api.Outcome.OK
                    ),
                )
            elif isinstance(action, api.SetTimer):
                later(max(now_us, action.at_us) + number, api.TimerFired(action.token))
        if step % 997 == 0:
            state = dice.choice([api.UpstreamState.READY, api.UpstreamState.DRAINING])
            later(
                now_us + 1,
                api.UpstreamsUpdated(
                    api.ListKind.DELTA, [api.Upstream(dice.randrange(1, 25), state, started_us=now_us)], step
                ),
            )
    return seen


def head(whole: bool = True) -> Head:
    return Head("n0", balancer_digest(), SEED, 0, SETTINGS, whole, "a test")


def saved(path: Path, ring: RingBuffer) -> str:
    segments = ring.get_segments()
    write_recording(str(path), head(ring.is_complete), segments)
    return str(path)


def test_a_day_of_100000_events_is_the_same_to_the_last_action(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ring = RingBuffer(64 * 1024 * 1024)
    seen = day(100_000, ring)
    kinds = {type(action).__name__ for _, _, actions in seen for action in actions}
    assert {"Send", "Refuse", "Fail", "SetTimer"} <= kinds, f"seed {SEED}: {kinds}"
    path = saved(tmp_path / "day.rec", ring)
    assert main("replay", [path]) == 0
    assert "100000 steps, the same actions to the last one" in capsys.readouterr().out
    assert ring.packed_bytes < 6_000_000


def test_where_decisions_differ_both_are_shown(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    ring = RingBuffer(1 << 24)
    seen = day(300, RingBuffer(1 << 24))
    changed = next(
        n
        for n, (_, _, actions) in enumerate(seen)
        if n > 100 and actions and isinstance(actions[0], api.Send)
    )
    for number, (now_us, event, actions) in enumerate(seen):
        told = [replace(actions[0], upstream=99), *actions[1:]] if number == changed else actions
        ring.add(pack(now_us, event, told))
    path = saved(tmp_path / "day.rec", ring)
    assert main("replay", [path, "--most", "1"]) == 1
    said = capsys.readouterr().out
    assert f"step {changed + 1}," in said and "upstream: 99" in said.split("then: ")[1].split("now ")[0]


def test_what_lost_its_start_says_so_and_still_tells_stories(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ring = RingBuffer(4 * SEGMENT)
    seen = day(20_000, ring)
    assert not ring.is_complete and ring.packed_bytes + ring.unpacked <= 4 * SEGMENT
    path = saved(tmp_path / "day.rec", ring)
    assert main("replay", [path]) == 2
    assert "can't be replayed" in capsys.readouterr().err
    failed = [
        action.request for _, _, actions in seen[-3000:] for action in actions if isinstance(action, api.Fail)
    ]
    assert main("why", [path, str(failed[-1])]) == 0
    said = capsys.readouterr().out.splitlines()
    assert "arrived: chapter-buy (at_most_once)" in said[1] and "failed: no attempt may follow" in said[-1]
    assert sum(": sent to upstream" in one for one in said) >= 1
    assert main("why", [path, "nobody"]) == 1


SMALL = RingBuffer(1 << 20)
day(400, SMALL)


@settings(max_examples=300)
@given(st.data())
def test_what_is_cut_off_damaged_or_of_another_kind_is_one_line(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    path = tmp_path_factory.getbasetemp() / "spoilt.rec"
    whole = Path(saved(path, SMALL)).read_bytes()
    how = data.draw(st.sampled_from(["cut", "flip", "noise"]))
    at = data.draw(st.integers(0, len(whole) - 1))
    if how == "cut":
        path.write_bytes(whole[:at])
    elif how == "flip":
        path.write_bytes(whole[:at] + bytes([whole[at] ^ data.draw(st.integers(1, 255))]) + whole[at + 1 :])
    else:
        # not zeros alone, which at the end of a part would be a good end
        path.write_bytes(whole[:at] + b"\xff" + data.draw(st.binary(min_size=8, max_size=200)))
    with pytest.raises(RecordingError) as found, open(path, "rb") as file:
        list(Recording(file, "file").frames())
    assert str(found.value).startswith("file: ") and "\n" not in str(found.value)


def test_another_version_and_what_unpacks_without_end(tmp_path: Path) -> None:
    path = tmp_path / "x.rec"
    path.write_bytes(KIND + b"2\n" + bytes(100))
    assert main("replay", [str(path)]) == 2 and main("replay", [str(tmp_path / "none")]) == 2
    import zlib

    write_recording(str(path), head(), [zlib.compress(bytes(70 * 1024 * 1024))])
    with pytest.raises(RecordingError, match="too large"), open(path, "rb") as file:
        list(Recording(file, "file").frames())


EVENTS = st.one_of(
    st.builds(api.RequestArrived, st.integers(0, 2**32), st.integers(0, 2**60), st.integers(0, 9)),
    st.builds(
        api.AttemptEnded,
        st.integers(0, 2**32),
        st.integers(0, 4),
        st.integers(0, 2**32),
        st.sampled_from(api.Outcome),
        st.integers(0, 2**40),
        st.booleans(),
        st.lists(st.floats(allow_nan=False), max_size=3),
    ),
    st.builds(
        api.UpstreamsUpdated,
        st.sampled_from(api.ListKind),
        st.lists(
            st.builds(api.Upstream, st.integers(0, 2**32), st.sampled_from(api.UpstreamState)), max_size=4
        ),
    ),
    st.builds(api.PeerMessage, st.integers(0, 9), st.binary(max_size=20)),
    st.builds(Named, st.integers(0, 9), st.text()),
)
ACTIONS = st.lists(
    st.one_of(
        st.builds(api.Send, st.integers(0, 9), st.integers(0, 9)),
        st.builds(api.Log, st.text(max_size=9)),
        st.builds(api.SendPeerMessage, st.binary(max_size=9), st.none() | st.integers(0, 9)),
        st.builds(api.FetchList),
    ),
    max_size=3,
)


@given(st.integers(0, 2**60), EVENTS, ACTIONS)
def test_a_frame_is_read_as_it_was_written(now_us: int, event: Any, actions: list[Any]) -> None:
    found = unpack(pack(now_us, event, actions))
    assert (found.now_us, found.event, found.actions, found.fault) == (now_us, event, actions, "")


def test_a_killed_sidecars_spool_is_good_up_to_its_last_whole_part(tmp_path: Path) -> None:
    """What had been written before SIGKILL is played again alike, and it is said that its end is missing."""
    plan = Plan(nodes=4, rate=200.0, seconds=2.0, seed=13, machine=Machine(work_us=6_000))

    async def play() -> None:
        scene = Scene(plan)
        text = f'[recorder]\nenabled = true\nfolder = "{tmp_path}"\nspool_s = 0.05\n'
        scene.operator = lambda: text  # type: ignore[method-assign]
        async with scene:
            await scene.play()
            process = scene.sidecars[0].process
            assert process is not None
            process.kill()

    asyncio.run(asyncio.wait_for(play(), 60.0))
    found = list(tmp_path.glob("wickspread-sidecar-0-*.rec"))
    assert len(found) == 1 and found[0].stat().st_mode & 0o077 == 0
    steps = []
    with open(found[0], "rb") as file:
        recording = Recording(file, "spool")
        with pytest.raises(RecordingError, match="cut off"):
            for _, one in replay_differences(recording.head, recording.frames()):
                steps.append(one)
    assert recording.head.whole and recording.head.why == "a spool"
    assert len(steps) > 200 and not any(steps)


def test_a_real_sidecar_in_a_crowd_is_recorded_and_played_again(tmp_path: Path) -> None:
    """SIGUSR2 twice under load and faults: it is the same day, and tells what became of a request."""
    plan = Plan(
        nodes=8,
        rate=250.0,
        seconds=4.0,
        seed=11,
        machine=Machine(work_us=6_000),
        faults=(Fault("silent", 0.5, 2.0, nodes=2), Fault("errors", 1.0, 2.0, nodes=2, size=0.5)),
        manners=Manners(tries=2, quits=0.02),
    )

    async def play() -> Scene:
        scene = Scene(plan)
        text = f'[recorder]\nenabled = true\nfolder = "{tmp_path}"\nfiles = 2\n'
        scene.operator = lambda: text  # type: ignore[method-assign]
        async with scene:
            process = scene.sidecars[0].process
            assert process is not None
            loop = asyncio.get_running_loop()
            loop.call_later(1.5, os.kill, process.pid, signal.SIGUSR2)
            await scene.play()
            process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(20.0):
                while sum(".rec: " in line for line in scene.sidecars[0].lines) < 2:
                    await asyncio.sleep(0.01)
        return scene

    scene = asyncio.run(asyncio.wait_for(play(), 120.0))
    assert scene.verdict() == []
    files = sorted(tmp_path.glob("*.rec"))
    assert len(files) == 2 and all(path.stat().st_mode & 0o077 == 0 for path in files)
    for path in files:
        with open(path, "rb") as file:
            recording = Recording(file, path.name)
            steps = list(replay_differences(recording.head, recording.frames()))
        assert len(steps) > 500 and [one for _, one in steps if one is not None] == []
    lost = next(one.request for one in scene.ledger if isinstance(one, Answered) and one.status == 502)
    with open(files[-1], "rb") as file:
        recording = Recording(file, "last")
        said = list(trace_lines(recording.head.settings, recording.frames(), lost))
    assert "arrived" in said[0] and any("sent to upstream" in one for one in said)
