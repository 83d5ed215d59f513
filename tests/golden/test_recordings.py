"""The decisions do in every step what they did when these recordings were made, with as many random draws.

recordings.json has, for each recording, its number of steps and the digest of the random generator's state
after the last one. How they were made: make_recordings.py. The two of sidecars are the recorder's own, of
real sidecars of the lab on loopback sockets; the others are of decisions in virtual time.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks.replay_recordings import main, random_state_digest
from sidecar_proxy.recorder.record_framing import EVENTS, Frame, pack
from sidecar_proxy.recorder.recording import Recording, write_recording
from sidecar_proxy.recorder.replay import replay_steps
from sidecar_proxy.recorder.ring_buffer import RingBuffer

FOLDER = Path(__file__).parent / "recordings"
EXPECTED: dict[str, dict[str, Any]] = json.loads((Path(__file__).parent / "recordings.json").read_text())
SMALLEST = FOLDER / "reports.rec"


def frames_of(path: Path) -> list[Frame]:
    with open(path, "rb") as file:
        return list(Recording(file, path.name).frames())


def stored_frames(path: Path) -> bytes:
    """All frames as they are stored, each after its length."""
    with open(path, "rb") as file:
        recording = Recording(file, path.name)
        return b"".join(iter(lambda: zlib.decompress(part) if (part := recording.read_part()) else b"", b""))


def packed(frames: list[Frame]) -> bytes:
    written = [pack(one.now_us, one.event, one.actions, one.fault) for one in frames]
    return b"".join(len(one).to_bytes(4, "big") + one for one in written)


@pytest.fixture
def changed(tmp_path: Path) -> Path:
    """A copy of a recording in which one step has lost its actions."""
    frames = frames_of(SMALLEST)
    number = next(n for n, frame in enumerate(frames) if n > 100 and frame.actions)
    frames[number] = replace(frames[number], actions=[])
    ring = RingBuffer(1 << 24)
    for frame in frames:
        ring.add(pack(frame.now_us, frame.event, frame.actions))
    with open(SMALLEST, "rb") as file:
        head = Recording(file, SMALLEST.name).head
    path = tmp_path / "changed.rec"
    write_recording(str(path), head, ring.get_segments())
    return path


def test_the_recordings_are_all_there_and_no_others() -> None:
    assert sorted(path.stem for path in FOLDER.glob("*.rec")) == sorted(EXPECTED)


def test_every_kind_of_event_is_in_the_recordings() -> None:
    found = {type(frame.event) for name in EXPECTED for frame in frames_of(FOLDER / f"{name}.rec")}
    assert found == {form.record_class for form in EVENTS.values()}


@pytest.mark.parametrize("name", EXPECTED)
def test_every_step_has_the_same_actions_and_as_many_random_draws(name: str) -> None:
    path = FOLDER / f"{name}.rec"
    with open(path, "rb") as file:
        recording = Recording(file, path.name)
        assert recording.head.whole
        count, last = 0, None
        for balancer, difference, _ in replay_steps(recording.head, recording.frames()):
            assert difference is None, f"{name}: {difference}"
            count, last = count + 1, balancer
    assert last is not None
    assert {"steps": count, "random_state": random_state_digest(last)} == EXPECTED[name]


@pytest.mark.parametrize("name", EXPECTED)
def test_each_frame_is_written_again_byte_for_byte(name: str) -> None:
    path = FOLDER / f"{name}.rec"
    assert packed(frames_of(path)) == stored_frames(path)


def test_the_command_exits_with_0_where_nothing_differs(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["replay_recordings", str(SMALLEST)])
    assert main() == 0
    expected = EXPECTED[SMALLEST.stem]
    said = capsys.readouterr().out
    assert f"{expected['steps']} steps, 0 differ" in said and expected["random_state"] in said


def test_the_command_exits_with_1_where_a_step_differs(
    changed: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["replay_recordings", str(SMALLEST), str(changed)])
    assert main() == 1
    assert f"{EXPECTED[SMALLEST.stem]['steps']} steps, 1 differ" in capsys.readouterr().out


def test_the_command_exits_with_2_where_a_recording_is_cut_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "cut.rec"
    path.write_bytes(SMALLEST.read_bytes()[:-20])
    monkeypatch.setattr("sys.argv", ["replay_recordings", str(path)])
    assert main() == 2
