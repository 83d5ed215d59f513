"""The recorder stores each record under the names it always had, whatever they are called in the code.

recorded_names.json has an example of each record as it is stored: its name and its fields in their order. Its
numbers and texts all differ, so that two fields that changed places would be seen.
"""

from __future__ import annotations

import json
from copy import deepcopy
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sidecar_proxy.recorder.record_framing import ACTIONS, EVENTS, pack, unpack
from sidecar_proxy.recorder.recording import HEAD, MAGIC, SETTINGS, Recording, write_recording

STORED: dict[str, Any] = json.loads((Path(__file__).parent / "recorded_names.json").read_text())
NOW_US = 1_796_000_000_123_456


def text_of(value: Any) -> str:
    """JSON in the order of the fields; bytes as base64."""
    return json.dumps(msgspec.json.decode(msgspec.json.encode(value)))


def packed(event: Any, actions: list[Any]) -> Any:
    return msgspec.msgpack.decode(pack(NOW_US, event, actions))


def test_the_known_events_and_actions_are_exactly_the_stored_ones() -> None:
    assert sorted(EVENTS) == sorted(STORED["events"])
    assert sorted(ACTIONS) == sorted(STORED["actions"])


@pytest.mark.parametrize("name", STORED["events"])
def test_an_event_is_stored_under_its_names(name: str) -> None:
    example = STORED["events"][name]
    assert text_of(packed(EVENTS[name].read(example), [])) == text_of([NOW_US, name, example, []])


@pytest.mark.parametrize("name", STORED["actions"])
def test_an_action_is_stored_under_its_names(name: str) -> None:
    example = STORED["actions"][name]
    event_name, event = next(iter(STORED["events"].items()))
    frame = packed(EVENTS[event_name].read(event), [ACTIONS[name].read(example)])
    assert text_of(frame) == text_of([NOW_US, event_name, event, [[name, example]]])


def test_a_fault_is_stored_as_a_text_in_place_of_the_actions() -> None:
    name, example = next(iter(STORED["events"].items()))
    stored = msgspec.msgpack.decode(pack(NOW_US, EVENTS[name].read(example), [], "ValueError: seven"))
    assert text_of(stored) == text_of([NOW_US, name, example, "ValueError: seven"])


def test_a_message_to_every_peer_is_stored_without_a_number() -> None:
    example = STORED["actions"]["TellPeer"] | {"to": None}
    event = EVENTS["RequestGone"].read(STORED["events"]["RequestGone"])
    assert text_of(packed(event, [ACTIONS["TellPeer"].read(example)])[3]) == text_of([["TellPeer", example]])


@pytest.mark.parametrize("kind", ["events", "actions"])
def test_a_stored_frame_is_read_and_written_again_byte_for_byte(kind: str) -> None:
    event = EVENTS["RequestGone"].read(STORED["events"]["RequestGone"])
    for name, example in STORED[kind].items():
        frame = (
            pack(NOW_US, EVENTS[name].read(example), [])
            if kind == "events"
            else pack(NOW_US, event, [ACTIONS[name].read(example)])
        )
        found = unpack(frame)
        assert pack(found.now_us, found.event, found.actions, found.fault) == frame


@pytest.mark.parametrize("value", STORED["values"]["AttemptEnded.outcome"])
def test_an_outcome_is_stored_as_its_text(value: str) -> None:
    for name in ("AttemptEnded", "ProbeEnded"):
        example = STORED["events"][name] | {"outcome": value}
        assert packed(EVENTS[name].read(example), [])[2]["outcome"] == value


@pytest.mark.parametrize("value", STORED["values"]["UpstreamsUpdated.kind"])
def test_the_kind_of_a_list_is_stored_as_its_text(value: str) -> None:
    example = STORED["events"]["UpstreamsUpdated"] | {"kind": value}
    assert packed(EVENTS["UpstreamsUpdated"].read(example), [])[2]["kind"] == value


@pytest.mark.parametrize("value", STORED["values"]["Upstream.state"])
def test_the_state_of_an_upstream_is_stored_as_its_text(value: str) -> None:
    example = deepcopy(STORED["events"]["UpstreamsUpdated"])
    example["upstreams"][0]["state"] = value
    found = packed(EVENTS["UpstreamsUpdated"].read(example), [])[2]
    assert text_of(found) == text_of(example)


@pytest.mark.parametrize(
    ("name", "field"), [("AttemptEnded", "outcome"), ("ProbeEnded", "outcome"), ("UpstreamsUpdated", "kind")]
)
def test_no_other_text_is_read_as_a_value(name: str, field: str) -> None:
    known = set(STORED["values"][f"{name}.{field}"])
    struct_field = next(one for one in msgspec.structs.fields(EVENTS[name].struct) if one.name == field)
    assert {member.value for member in struct_field.type} == known


def test_the_head_and_the_settings_are_stored_under_their_names(tmp_path: Path) -> None:
    example = STORED["head"]
    head = HEAD.read(example | {"settings": SETTINGS.read(example["settings"])})
    path = tmp_path / "head.rec"
    write_recording(str(path), head, [])
    data = path.read_bytes()
    assert STORED["magic"].encode() == MAGIC and data.startswith(MAGIC)
    size = int.from_bytes(data[len(MAGIC) : len(MAGIC) + 4], "big")
    stored = data[len(MAGIC) + 8 : len(MAGIC) + 8 + size]
    assert text_of(msgspec.msgpack.decode(stored)) == text_of(example)
    with open(path, "rb") as file:
        assert Recording(file, path.name).head == head
