"""Recordings: replay, traces of single requests, limited size, and rejection of damaged files."""

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
    MAGIC_PREFIX,
    Head,
    Recording,
    RecordingError,
    balancer_digest,
    write_recording,
)
from sidecar_proxy.recorder.replay import replay_differences
from sidecar_proxy.recorder.request_trace import trace_lines
from sidecar_proxy.recorder.ring_buffer import SEGMENT_BYTES, RingBuffer
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

OUTCOMES = [api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.TIMEOUT]


def play_scenario(steps: int, ring: RingBuffer, seed: int = SEED) -> list[tuple[int, Any, list[Any]]]:
    """Run the balancer in virtual time with failing attempts and list updates, and record each step.

    Returns the time, the event and the actions of each step.
    """
    rng, balancer, now_us = random.Random(seed), Balancer(SETTINGS, seed, 0), 0
    recorded_steps: list[tuple[int, Any, list[Any]]] = []
    queue: list[tuple[int, int, Any]] = []
    attempts: dict[int, int] = {}

    def schedule(at_us: int, event: Any) -> None:
        heapq.heappush(queue, (at_us, len(recorded_steps) * 100 + len(queue), event))

    schedule(
        0,
        api.UpstreamsUpdated(
            api.ListKind.FULL, [api.Upstream(n, zone=n % 2, cell=n // 6) for n in range(1, 25)], 1
        ),
    )
    schedule(1, api.RequestArrived(1, 1_000_000, 0))
    for step in range(steps):
        now_us, _, event = heapq.heappop(queue)
        actions = balancer.handle(now_us, event)
        ring.add(pack(now_us, event, actions))
        recorded_steps.append((now_us, event, actions))
        if isinstance(event, api.RequestArrived):
            class_index = int(rng.random() < 0.4)
            schedule(
                now_us + int(rng.expovariate(1 / 1_500)) + 1,
                api.RequestArrived(
                    event.request + 1,
                    now_us + (1_000_000, 800_000)[class_index],
                    class_index,
                    key=rng.randrange(100),
                ),
            )
        for number, action in enumerate(actions):
            if isinstance(action, api.Send):
                attempt = attempts[action.request] = attempts.get(action.request, -1) + 1
                took_us = int(rng.expovariate(1 / 30_000)) + number + 1
                outcome = rng.choices(OUTCOMES, [80, 8 + 20 * (action.upstream % 5 == 0), 4, 3])[0]
                schedule(
                    now_us + took_us,
                    api.AttemptEnded(
                        action.request, attempt, action.upstream, outcome, took_us, outcome is api.Outcome.OK
                    ),
                )
            elif isinstance(action, api.SetTimer):
                schedule(max(now_us, action.at_us) + number, api.TimerFired(action.token))
        if step % 997 == 0:
            state = rng.choice([api.UpstreamState.READY, api.UpstreamState.DRAINING])
            schedule(
                now_us + 1,
                api.UpstreamsUpdated(
                    api.ListKind.DELTA, [api.Upstream(rng.randrange(1, 25), state, started_us=now_us)], step
                ),
            )
    return recorded_steps


def make_head(whole: bool = True) -> Head:
    """Return the head of a recording of `play_scenario`."""
    return Head("n0", balancer_digest(), SEED, 0, SETTINGS, whole, "a test")


def save(path: Path, ring: RingBuffer) -> str:
    """Write a recording of the frames in the buffer, and return its path."""
    segments = ring.get_segments()
    write_recording(str(path), make_head(ring.is_complete), segments)
    return str(path)


def test_a_replay_of_100000_events_takes_the_same_actions(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ring = RingBuffer(64 * 1024 * 1024)
    recorded_steps = play_scenario(100_000, ring)
    action_types = {type(action).__name__ for _, _, actions in recorded_steps for action in actions}
    assert {"Send", "Refuse", "Fail", "SetTimer"} <= action_types, f"seed {SEED}: {action_types}"
    path = save(tmp_path / "day.rec", ring)
    assert main("replay", [path]) == 0
    assert "100000 steps, the same actions to the last one" in capsys.readouterr().out
    assert ring.packed_bytes < 6_000_000


def test_a_replay_that_differs_shows_both_results(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    ring = RingBuffer(1 << 24)
    recorded_steps = play_scenario(300, RingBuffer(1 << 24))
    changed_step = next(
        n
        for n, (_, _, actions) in enumerate(recorded_steps)
        if n > 100 and actions and isinstance(actions[0], api.Send)
    )
    for number, (now_us, event, actions) in enumerate(recorded_steps):
        step_actions = [replace(actions[0], upstream=99), *actions[1:]] if number == changed_step else actions
        ring.add(pack(now_us, event, step_actions))
    path = save(tmp_path / "day.rec", ring)
    assert main("replay", [path, "--most", "1"]) == 1
    output = capsys.readouterr().out
    assert (
        f"step {changed_step + 1}," in output and "upstream: 99" in output.split("then: ")[1].split("now ")[0]
    )


def test_a_recording_without_its_first_steps_is_not_replayed_but_requests_are_traced(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ring = RingBuffer(4 * SEGMENT_BYTES)
    recorded_steps = play_scenario(20_000, ring)
    assert not ring.is_complete and ring.packed_bytes + ring.open_bytes <= 4 * SEGMENT_BYTES
    path = save(tmp_path / "day.rec", ring)
    assert main("replay", [path]) == 2
    assert "can't be replayed" in capsys.readouterr().err
    failed_requests = [
        action.request
        for _, _, actions in recorded_steps[-3000:]
        for action in actions
        if isinstance(action, api.Fail)
    ]
    assert main("why", [path, str(failed_requests[-1])]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "arrived: chapter-buy (at_most_once)" in lines[1] and "failed: no attempt may follow" in lines[-1]
    assert sum(": sent to upstream" in line for line in lines) >= 1
    assert main("why", [path, "nobody"]) == 1


SMALL_RING = RingBuffer(1 << 20)
play_scenario(400, SMALL_RING)


@settings(max_examples=300)
@given(st.data())
def test_a_truncated_or_damaged_recording_is_rejected_with_one_line(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    path = tmp_path_factory.getbasetemp() / "damaged.rec"
    content = Path(save(path, SMALL_RING)).read_bytes()
    damage = data.draw(st.sampled_from(["cut", "flip", "noise"]))
    offset = data.draw(st.integers(0, len(content) - 1))
    if damage == "cut":
        path.write_bytes(content[:offset])
    elif damage == "flip":
        path.write_bytes(
            content[:offset]
            + bytes([content[offset] ^ data.draw(st.integers(1, 255))])
            + content[offset + 1 :]
        )
    else:
        # The first byte is 0xff: zeros alone after a complete part would be a valid end of the recording.
        path.write_bytes(content[:offset] + b"\xff" + data.draw(st.binary(min_size=8, max_size=200)))
    with pytest.raises(RecordingError) as error, open(path, "rb") as file:
        list(Recording(file, "file").frames())
    assert str(error.value).startswith("file: ") and "\n" not in str(error.value)


def test_another_version_and_a_segment_that_decompresses_to_too_much_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "x.rec"
    path.write_bytes(MAGIC_PREFIX + b"2\n" + bytes(100))
    assert main("replay", [str(path)]) == 2 and main("replay", [str(tmp_path / "none")]) == 2
    import zlib

    write_recording(str(path), make_head(), [zlib.compress(bytes(70 * 1024 * 1024))])
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
def test_a_frame_is_decoded_to_what_was_encoded(now_us: int, event: Any, actions: list[Any]) -> None:
    frame = unpack(pack(now_us, event, actions))
    assert (frame.now_us, frame.event, frame.actions, frame.fault) == (now_us, event, actions, "")


def test_the_spool_file_of_a_killed_sidecar_is_valid_up_to_its_last_complete_part(tmp_path: Path) -> None:
    """After SIGKILL, the steps in the file are replayed without a difference, and then its end is missing."""
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
    paths = list(tmp_path.glob("wickspread-sidecar-0-*.rec"))
    assert len(paths) == 1 and paths[0].stat().st_mode & 0o077 == 0
    differences = []
    with open(paths[0], "rb") as file:
        recording = Recording(file, "spool")
        with pytest.raises(RecordingError, match="cut off"):
            for _, difference in replay_differences(recording.head, recording.frames()):
                differences.append(difference)
    assert recording.head.whole and recording.head.why == "a spool"
    assert len(differences) > 200 and not any(differences)


def test_recordings_of_a_sidecar_process_under_faults_are_replayed_without_differences(
    tmp_path: Path,
) -> None:
    """Two recordings by SIGUSR2 under load and faults are replayed, and a failed request is traced."""
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
        assert len(steps) > 500 and [difference for _, difference in steps if difference is not None] == []
    failed_request = next(
        entry.request for entry in scene.ledger if isinstance(entry, Answered) and entry.status == 502
    )
    with open(files[-1], "rb") as file:
        recording = Recording(file, "last")
        lines = list(trace_lines(recording.head.settings, recording.frames(), failed_request))
    assert "arrived" in lines[0] and any("sent to upstream" in line for line in lines)
