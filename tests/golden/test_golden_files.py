"""What is stored or sent, as earlier versions wrote it: golden files, read and written by the present code.

The files were made once, by the code as it stood then, and are never made anew. A test that fails here means
that a sidecar of this version can't read what another one has stored or sent, or writes it otherwise.
Classes and fields are named in tests/golden/forms.py alone. The keys were made for these tests and are of
no fleet. Names within golden files, of those files in tmpdir/, and of their folders are data: they stay as
they are when the code is renamed.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from nacl.public import PrivateKey
from nacl.signing import SigningKey

from sidecar_proxy.admin import warm_start_codec as remembered
from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.warm_start import WarmStart
from sidecar_proxy.balancer import events as api
from sidecar_proxy.cli import config as operator_command
from sidecar_proxy.cli import gossip as command
from sidecar_proxy.config import platform_settings as config
from sidecar_proxy.config import reader as reading
from sidecar_proxy.config import schema
from sidecar_proxy.consensus import frames, session
from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus import storage as store
from sidecar_proxy.consensus import subsystem as agreement_start
from sidecar_proxy.consensus.errors import CopiedFolderError
from sidecar_proxy.consensus.messages import Entry
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.gossip import codec, credentials, files
from sidecar_proxy.gossip.effects import Address
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.gossip.transport import frame_message
from sidecar_proxy.overload_control import messages as overload
from tests.golden.forms import FORMS, GOLDEN, Form, build, describe, field_names

WALL_US = 1_796_000_000_000_000  # when the golden files were signed
WALL_S = WALL_US // 1_000_000
EAST, WEST = "east-1#0123456789abcdef", "west-1#fedcba9876543210"  # sender and receiver of the frames

# Every golden frame, by who reads it.
FRAMES: dict[str, list[str]] = {
    "agreement-frame": [
        "answer",
        "append",
        "append_heartbeat",
        "append_reply",
        "ask",
        "ask_name",
        "batch",
        "later",
        "offer",
        "piece",
        "timeout_now",
        "vote_reply",
        "vote_request",
        "vote_request_transfer",
        "want",
    ],
    "agreement-here": ["here"],
    "agreement-state": ["begun", "full"],
    "agreement-word": [
        "drain",
        "permit",
        "permit_node",
        "resume",
        "return",
        "set",
        "set_share",
        "suspend",
        "unset",
    ],
    "gossip-packet": ["ack", "ask", "nack", "news", "note", "ping"],
    "gossip-state": ["state"],
    "gossip-statement": ["accusation", "alive", "bulletin", "word"],
    "overload-word": ["lend", "need", "report", "report_bare", "return"],
}
ALL_FRAMES = [(reader, kind) for reader, kinds in FRAMES.items() for kind in kinds]
STORES = ["begun", "entries", "snapshot", "torn"]


def golden_json(path: str) -> Any:
    return json.loads((GOLDEN / path).read_text())


def golden_hex(path: str) -> bytes:
    return bytes.fromhex((GOLDEN / path).read_text())


def text(value: Any) -> str:
    """JSON that tells true from 1 and 1 from 1.0."""
    return json.dumps(value, indent=1)


def assert_described(value: Any, expected: Any) -> None:
    assert text(describe(value)) == text(expected)


# Frames between sidecars


def read_packet(data: bytes) -> codec.Packet:
    return codec.decode(codec.packet_decoder, codec.split_envelope(data, codec.MAX_PACKET_BYTES)[1])


def read_state(data: bytes) -> codec.State:
    return codec.decode(codec.state_decoder, codec.split_envelope(data, codec.MAX_STATE_BYTES)[1])


def read_statement(data: bytes) -> codec.Statement:
    return codec.decode(codec.statement_decoder, data)


def read_frame(data: bytes) -> frames.Frame:
    return frames.decode_frame(data, EAST, WEST)


def write_sealed(told: Any) -> bytes:
    """A packet or a state, signed anew by its author's key."""
    return east_keyring()._seal(told)


READERS: dict[str, Callable[[bytes], Any]] = {
    "agreement-frame": read_frame,
    "agreement-here": frames.decode_status,
    "agreement-state": words.decode_state,
    "agreement-word": words.decode_command,
    "gossip-packet": read_packet,
    "gossip-state": read_state,
    "gossip-statement": read_statement,
    "overload-word": overload.decode,
}
WRITERS: dict[str, Callable[[Any], bytes]] = {
    "agreement-frame": frames.encode,
    "agreement-here": frames.encode,
    "agreement-state": words.encode_state,
    "agreement-word": words.encode_command,
    "gossip-packet": write_sealed,
    "gossip-state": write_sealed,
    "gossip-statement": codec.encode,
    "overload-word": overload.encode,
}


def test_the_list_of_frames_is_that_of_the_golden_files() -> None:
    found = sorted((path.parent.name, path.stem) for path in (GOLDEN / "frames").glob("*/*.hex"))
    assert found == sorted(ALL_FRAMES)
    assert len(list((GOLDEN / "frames").glob("*/*.json"))) == len(found)


@pytest.mark.parametrize(("reader", "kind"), ALL_FRAMES)
def test_a_frame_reads_as_its_golden_values(reader: str, kind: str) -> None:
    found = READERS[reader](golden_hex(f"frames/{reader}/{kind}.hex"))
    assert_described(found, golden_json(f"frames/{reader}/{kind}.json"))


@pytest.mark.parametrize(("reader", "kind"), ALL_FRAMES)
def test_a_frame_that_was_read_is_written_as_the_same_bytes(reader: str, kind: str) -> None:
    data = golden_hex(f"frames/{reader}/{kind}.hex")
    assert WRITERS[reader](READERS[reader](data)) == data


@pytest.mark.parametrize(("reader", "kind"), ALL_FRAMES)
def test_a_frame_built_from_golden_values_is_written_as_the_same_bytes(reader: str, kind: str) -> None:
    built = build(golden_json(f"frames/{reader}/{kind}.json"))
    assert WRITERS[reader](built) == golden_hex(f"frames/{reader}/{kind}.hex")


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS.keys())
def test_the_golden_fields_of_a_form_are_all_that_its_class_has_and_in_their_order(form: Form) -> None:
    assert list(form.attributes.values()) == field_names(form.of)


@pytest.mark.parametrize("kind", FRAMES["gossip-packet"])
def test_a_gossip_packet_is_taken_and_its_rumours_are_believed(kind: str) -> None:
    data, own = golden_hex(f"frames/gossip-packet/{kind}.hex"), west_keyring()
    found = own.open_packet(data, 0, WALL_US)
    for rumour in found.broadcasts:
        own.open_statement(rumour, found.certificate, 0, WALL_US)
    changed = data[:-1] + bytes([data[-1] ^ 1])
    with pytest.raises(RejectedError):
        west_keyring().open_packet(changed, 0, WALL_US)


def test_a_gossip_exchange_is_taken_and_holds_each_kind_of_statement() -> None:
    own = west_keyring()
    found = own.open_state(golden_hex("frames/gossip-state/state.hex"), 0, WALL_US)
    told = [own.open_statement(one, found.certificate, 0, WALL_US) for one in found.statements]
    expected = [
        golden_json(f"frames/gossip-statement/{kind}.json")
        for kind in ("alive", "accusation", "bulletin", "word")
    ]
    assert text([describe(one) for one in told]) == text(expected)


def test_what_is_signed_of_a_certificate_and_of_a_statement() -> None:
    found = read_packet(golden_hex("frames/gossip-packet/ping.hex"))
    assert codec.certificate_signing_input(found.certificate) == golden_hex("signing/certificate.hex")
    alive = found.broadcasts[0]
    signed = codec.statement_signing_input(alive.author, alive.sequence_us, alive.body)
    assert signed == golden_hex("signing/statement.hex")


def test_the_topics_of_the_words_that_gossip_carries() -> None:
    assert (overload.TOPIC, agreement_start.GOSSIP_TOPIC) == ("overload", "agreement")


def test_the_length_before_a_frame_on_a_connection() -> None:
    assert frame_message(b"abc") == b"\0\0\0\x03abc"


def test_the_golden_words_come_to_the_golden_state() -> None:
    full = build(golden_json("frames/agreement-state/full.json"))
    state = words.decode_state(golden_hex("frames/agreement-state/begun.hex"))
    for kind in ("set", "set_share", "drain", "suspend", "permit", "permit_node", "unset"):
        words.apply(state, Entry(3, state.index + 1, golden_hex(f"frames/agreement-word/{kind}.hex")))
    [(_, unread)] = full.unknown_commands
    words.apply(state, Entry(3, state.index + 1, unread))
    words.apply(state, Entry(3, state.index + 1, b"", (EAST, WEST)))
    assert words.encode_state(state) == golden_hex("frames/agreement-state/full.hex")


# A connection between two sidecars that agree


def sessions() -> tuple[session.Session, session.Session]:
    """Caller and called, with the golden keys."""
    told = golden_json("session/session.json")
    caller, called = session.Session(east_keyring(), EAST), session.Session(west_keyring(), WEST)
    caller.session_key = PrivateKey(bytes.fromhex(told["caller_key"]))
    called.session_key = PrivateKey(bytes.fromhex(told["answer_key"]))
    return caller, called


def without_length(data: bytes) -> bytes:
    assert int.from_bytes(data[:4], "big") == len(data) - 4
    return data[4:]


def test_both_sides_of_a_session_write_the_golden_bytes() -> None:
    told = golden_json("session/session.json")
    caller, called = sessions()
    first = caller.create_greeting()
    assert session.CONNECTION_MAGIC + frame_message(first) == golden_hex("session/caller_greeting.hex")
    answer = called.create_greeting(called.accept_greeting(first, 0, WALL_US))
    assert frame_message(answer) == golden_hex("session/answer_greeting.hex")
    caller.accept_greeting(answer, 0, WALL_US)
    assert caller.seal(frames.encode(build(told["caller_frame"]))) == golden_hex("session/caller_frame.hex")
    assert called.seal(frames.encode(build(told["answer_frame"]))) == golden_hex("session/answer_frame.hex")


def test_both_sides_of_a_session_take_the_golden_bytes() -> None:
    told = golden_json("session/session.json")
    caller, called = sessions()
    caller.create_greeting()
    first = golden_hex("session/caller_greeting.hex")
    assert first.startswith(b"wsa\x01")
    called.create_greeting(called.accept_greeting(without_length(first[4:]), 0, WALL_US))
    caller.accept_greeting(without_length(golden_hex("session/answer_greeting.hex")), 0, WALL_US)
    for opener, name in ((called, "caller_frame"), (caller, "answer_frame")):
        data = opener.open(without_length(golden_hex(f"session/{name}.hex")))
        assert_described(frames.decode_frame(data, opener.peer, opener.node), told[name])


@pytest.mark.parametrize(("name", "head"), [("caller_greeting", 4 + 4), ("answer_greeting", 4)])
def test_a_greeting_reads_as_its_golden_values(name: str, head: int) -> None:
    payload = golden_hex(f"session/{name}.hex")[head + codec.SIGNATURE_BYTES :]
    found = codec.decode(session.greeting_decoder, payload)
    assert_described(found, golden_json("session/session.json")[name])
    assert session.encode(found) == payload


# Keys and certificates


@pytest.fixture
def keys(tmp_path: Path) -> Path:
    """The golden files as they stand on a disk: git keeps no mode of a private key."""
    folder = tmp_path / "keys"
    shutil.copytree(GOLDEN / "keys", folder)
    for path in folder.glob("*.key"):
        path.chmod(0o600)
    return folder


def keyring(name: str) -> Keyring:
    told = golden_json("keys/keys.json")
    key = SigningKey(bytes.fromhex(told[f"{name}_private"]))
    return Keyring(key, build(told[f"{name}_certificate"]), [bytes.fromhex(told["fleet_public"])])


def east_keyring() -> Keyring:
    return keyring("east")


def west_keyring() -> Keyring:
    return keyring("west")


def test_keys_read_as_their_golden_values(keys: Path) -> None:
    told = golden_json("keys/keys.json")
    for name in ("fleet", "east", "west"):
        key = files.read_private_key(str(keys / f"{name}.key"))
        assert key.encode().hex() == told[f"{name}_private"]
        assert key.verify_key.encode() == files.read_public_key(str(keys / f"{name}.key.pub"))
    assert [one.hex() for one in files.read_fleet_keys(str(keys / "fleet.key.pub"))] == [told["fleet_public"]]


@pytest.mark.parametrize("name", ["east", "west"])
def test_a_certificate_reads_as_its_golden_values(keys: Path, name: str) -> None:
    found = files.read_certificate(str(keys / f"{name}.certificate"))
    assert_described(found, golden_json("keys/keys.json")[f"{name}_certificate"])
    assert codec.encode(found).hex() + "\n" == (keys / f"{name}.certificate").read_text()


def test_a_certificate_holds_until_its_end_and_not_once_it_is_revoked() -> None:
    west = west_keyring().certificate
    own = east_keyring()
    own.check_certificate(west, 0, WALL_US)
    own.check_certificate(west, 0, west.expires_s * 1_000_000)
    with pytest.raises(RejectedError, match="expired"):
        own.check_certificate(west, 0, west.expires_s * 1_000_000 + 1)
    own.revoked_serials = frozenset(golden_json("keys/keys.json")["revoked"])
    with pytest.raises(RejectedError, match="revoked"):
        own.check_certificate(west, 0, WALL_US)


def test_certify_writes_the_golden_certificates(keys: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: float(WALL_S))
    for name, days, serial in (("east", "36500", "4101"), ("west", "90", "4102")):
        out = keys / f"{name}.again"
        assert (
            command.main(
                [
                    "certify",
                    str(keys / "fleet.key"),
                    str(keys / f"{name}.key.pub"),
                    f"{name}-1",
                    name,
                    str(out),
                    "--days",
                    days,
                    "--serial",
                    serial,
                ]
            )
            == 0
        )
        assert out.read_bytes() == (keys / f"{name}.certificate").read_bytes()


def test_keygen_writes_files_of_the_golden_form(keys: Path) -> None:
    assert command.main(["keygen", str(keys / "new.key")]) == 0
    assert sorted(path.name for path in keys.glob("new*")) == ["new.key", "new.key.pub"]
    for name, mode in (("new.key", 0o600), ("new.key.pub", 0o644)):
        data = (keys / name).read_text()
        golden = (keys / name.replace("new", "east")).read_text()
        assert len(data) == len(golden) == 65 and data.endswith("\n") and golden.endswith("\n")
        assert (keys / name).stat().st_mode & 0o777 & ~mode == 0


def test_revoke_writes_the_golden_list(keys: Path) -> None:
    assert files.read_revoked_serials(str(keys / "revoked")) == golden_json("keys/keys.json")["revoked"]
    again = keys / "revoked-again"
    assert command.main(["revoke", str(again), str(keys / "west.certificate")]) == 0
    assert command.main(["revoke", str(again), "--serial", "77"]) == 0
    assert again.read_bytes() == (keys / "revoked").read_bytes()


def test_the_files_of_an_operator_are_loaded_together(keys: Path) -> None:
    told = golden_json("keys/keys.json")
    found = credentials.load(
        schema.Gossip(
            key_file=str(keys / "east.key"),
            certificate_file=str(keys / "east.certificate"),
            fleet_keys=(str(keys / "fleet.key.pub"),),
            revoked_file=str(keys / "revoked"),
        )
    )
    assert_described(found.certificate, told["east_certificate"])
    assert [one.hex() for one in found.fleet_keys] == [told["fleet_public"]]
    assert found.revoked_serials == frozenset(told["revoked"])


# The agreed state's store


def store_bytes(name: str) -> bytes:
    return (GOLDEN / "store" / f"{name}.log").read_bytes()


def described_kept(kept: Any) -> dict[str, Any]:
    return {
        "incarnation": kept.incarnation,
        "hard_state": describe(kept.hard_state),
        "commit": kept.commit_index,
        "snapshot": describe(kept.log.snapshot),
        "entries": describe(kept.log.entries),
        "torn": kept.torn_bytes,
    }


@pytest.mark.parametrize("name", STORES)
def test_the_records_of_a_log_read_as_their_golden_values(name: str) -> None:
    found = [framed.record for framed in store.iterate_records(store_bytes(name))]
    assert text(describe(found)) == text(golden_json(f"store/{name}.json")["records"])


@pytest.mark.parametrize("name", STORES)
def test_a_log_built_from_golden_values_is_written_as_the_same_bytes(name: str) -> None:
    told = golden_json(f"store/{name}.json")
    data = store.FILE_MAGIC + store.frame_records(build(told["records"]), b"")[0]
    torn = told["kept"]["torn"]
    assert data == store_bytes(name)[: len(data)] and len(store_bytes(name)) == len(data) + torn
    assert (torn > 0) == (name == "torn")


@pytest.mark.parametrize("name", STORES)
def test_a_log_keeps_what_its_golden_values_say(name: str) -> None:
    kept, _, _ = store.read_log(store_bytes(name), Path("log"))
    assert text(described_kept(kept)) == text(golden_json(f"store/{name}.json")["kept"])


@pytest.mark.parametrize("name", STORES)
def test_a_folder_with_a_golden_log_is_known_for_a_copy(name: str, tmp_path: Path) -> None:
    (tmp_path / "marker").touch()
    (tmp_path / "log").write_bytes(store_bytes(name))
    with pytest.raises(CopiedFolderError):
        store.LogStore(tmp_path).open()


@pytest.mark.parametrize("name", STORES)
def test_a_golden_log_whose_owner_is_this_folder_is_opened_in_place(name: str, tmp_path: Path) -> None:
    (tmp_path / "marker").touch()
    told = golden_json(f"store/{name}.json")
    inode, made_ns = store.marker_identity(tmp_path)
    told["records"][0]["fields"] |= {"inode": inode, "made_ns": made_ns}
    bound, _ = store.frame_records(build(told["records"]), b"")
    (tmp_path / "log").write_bytes(store.FILE_MAGIC + bound)
    opened = store.LogStore(tmp_path)
    kept = opened.open()
    opened.close()
    assert text(described_kept(kept)) == text(told["kept"] | {"torn": 0})


def test_a_new_folder_holds_a_log_of_the_golden_form(tmp_path: Path) -> None:
    opened = store.LogStore(tmp_path / "new")
    opened.open()
    opened.close()
    assert sorted(path.name for path in (tmp_path / "new").iterdir()) == ["log", "marker"]
    golden = store_bytes("begun")
    [header] = store.iterate_records((tmp_path / "new" / "log").read_bytes())
    assert golden.startswith(b"wickspread agreement 1\n")
    assert describe(header.record)["kind"] == golden_json("store/begun.json")["records"][0]["kind"]


def test_the_snapshot_of_a_golden_log_is_the_golden_state() -> None:
    kept, _, _ = store.read_log(store_bytes("snapshot"), Path("log"))
    assert kept.log.snapshot.data == golden_hex("frames/agreement-state/full.hex")
    assert_described(
        words.decode_state(kept.log.snapshot.data), golden_json("frames/agreement-state/full.json")
    )


# What a process leaves to the next in $TMPDIR


class NextProcess:
    """As much of an engine as taking over and leaving need."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.learnt: api.WarmStartState = build(told["learnt"])
        self.told: list[api.WarmStartState] = []
        self.settings = SimpleNamespace(classes=[SimpleNamespace(name=name) for name in told["classes"]])
        self.loop = SimpleNamespace(time=time.monotonic)
        self.clock = SimpleNamespace(now_us=lambda: WALL_US)
        self.balancer = SimpleNamespace(export_warm_start_state=lambda: self.learnt)
        self.hosts = {
            int(number): SimpleNamespace(entry=api.Upstream(int(number), started_us=started_us))
            for number, started_us in told["started_us"].items()
        }

    def listed_upstreams(self) -> dict[int, SimpleNamespace]:
        return self.hosts

    def dispatch(self, learnt: api.WarmStartState) -> None:
        self.told.append(learnt)


def memory(engine: NextProcess, told: dict[str, Any], handover: HotRestart) -> WarmStart:
    names = {int(number): name for number, name in told["names"].items()}
    directory = SimpleNamespace(names=names, numbers={name: number for number, name in names.items()})
    return WarmStart(cast(Any, engine), cast(Any, directory), handover.warm_start_file)


def files_below(folder: Path) -> dict[str, bytes]:
    return {
        path.relative_to(folder).as_posix(): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


@pytest.fixture
def tmpdir(tmp_path: Path) -> Path:
    """The golden folder, left just now."""
    folder = tmp_path / "tmpdir"
    shutil.copytree(GOLDEN / "tmpdir", folder)
    os.utime(folder / "wickspread" / "remembered", (WALL_S, WALL_S))
    return folder


def test_a_process_leaves_the_golden_files_under_their_golden_names(tmp_path: Path) -> None:
    told = golden_json("tmpdir.json")
    own, other = (HotRestart.from_environment({"TMPDIR": str(tmp_path)}) for _ in range(2))
    assert own.locks.claim_serving()
    assert not other.locks.claim_serving()
    assert own.locks.has_successor()
    for name in told["suspended"]:
        assert own.suspensions.add(name)
    memory(NextProcess(told), told, own).publish()
    own.close()
    other.close()
    assert files_below(tmp_path) == files_below(GOLDEN / "tmpdir")
    assert sorted(files_below(tmp_path)) == told["files"]


def test_what_was_learnt_reads_as_its_golden_values_and_is_written_as_the_same_bytes(tmpdir: Path) -> None:
    told = golden_json("tmpdir.json")
    found = HotRestart.from_environment({"TMPDIR": str(tmpdir)}).warm_start_file.read(
        remembered.MAX_STATE_BYTES
    )
    assert found is not None
    data = found.data
    assert found.written_at_s == WALL_S
    assert_described(remembered.decode(data), told["remembered"])
    names = {int(number): name for number, name in told["names"].items()}
    started_us = {int(number): started for number, started in told["started_us"].items()}
    assert remembered.encode(build(told["learnt"]), WALL_US, told["classes"], names, started_us) == data


def test_the_next_process_takes_over_what_the_golden_folder_holds(tmpdir: Path) -> None:
    told = golden_json("tmpdir.json")
    engine = NextProcess(told)
    asyncio.run(memory(engine, told, HotRestart.from_environment({"TMPDIR": str(tmpdir)})).take_over())
    assert text(describe(engine.told)) == text([told["learnt"]])


def test_the_next_process_reads_the_suspensions_of_the_golden_folder(tmpdir: Path) -> None:
    told = golden_json("tmpdir.json")
    own = HotRestart.from_environment({"TMPDIR": str(tmpdir)})
    assert own.suspensions.read() == set(told["suspended"])
    for name in told["suspended"]:
        assert own.suspensions.remove(name)
    assert own.suspensions.read() == set()
    assert not list((tmpdir / "wickspread" / "suspended").iterdir())


def test_who_serves_and_who_is_next_is_known_by_the_golden_locks(tmpdir: Path) -> None:
    old, new = (HotRestart.from_environment({"TMPDIR": str(tmpdir)}) for _ in range(2))
    assert old.locks.claim_serving()
    assert not old.locks.has_successor()
    assert sorted(old.locks.descriptors) == ["serving"]
    assert not new.locks.claim_serving()
    assert old.locks.has_successor()
    assert sorted(new.locks.descriptors) == ["next"]
    old.close()
    assert new.locks.claim_serving()
    assert sorted(new.locks.descriptors) == ["serving"]
    new.close()
    assert sorted(files_below(tmpdir)) == golden_json("tmpdir.json")["files"]


# The operator file


def leaves(told: dict[str, Any], path: tuple[str, ...] = ()) -> dict[tuple[str, ...], Any]:
    """Every key's value by its path."""
    found: dict[tuple[str, ...], Any] = {}
    for name, value in told.items():
        found |= leaves(value, (*path, name)) if isinstance(value, dict) else {(*path, name): value}
    return found


def assert_golden_operator(shown: str) -> None:
    """Keys that later versions have besides are passed over."""
    found, expected = leaves(json.loads(shown)), leaves(golden_json("operator/operator.json"))
    assert len(expected) == 42
    assert text([found.get(path) for path in expected]) == text(list(expected.values()))


def test_an_operator_file_with_every_key_is_shown_as_the_golden_json(
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = str(GOLDEN / "operator" / "operator.toml")
    assert operator_command.main(["check", path]) == 0
    assert capsys.readouterr().out == f"{path}: good\n"
    assert operator_command.main(["show", path, "--json"]) == 0
    assert_golden_operator(capsys.readouterr().out)


def test_an_operator_file_shown_as_toml_reads_as_the_golden_json(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = str(GOLDEN / "operator" / "operator.toml")
    assert operator_command.main(["show", source]) == 0
    shown = tmp_path / "shown.toml"
    shown.write_text(capsys.readouterr().out)
    assert reading.load_file(str(shown)) == reading.load_file(source)


# The list that a sidecar had last


def described_host(entry: Any, dial: Address, dial_grpc: Address | None) -> dict[str, Any]:
    return {
        "upstream": describe(entry),
        "dial": list(dial),
        "dial_grpc": None if dial_grpc is None else list(dial_grpc),
    }


def test_a_configuration_with_a_known_list_gives_the_golden_entries() -> None:
    found = config.load(
        {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_DISCOVERY": "127.0.0.1:1",
            "PROXY_CONFIG": str(GOLDEN / "known" / "config.json"),
        }
    )
    assert (found.seed, found.memory_mb) == (0x8C1F30D27A5BE964, 160)
    assert (found.discovery, found.admin_address) == (("127.0.0.1", 7000), ("127.0.0.1", 7001))
    directory = EndpointDirectory(found.settings)
    version, whole, hosts = directory.parse_list(found.cached_endpoint_list)
    told = {
        "version": version,
        "whole": whole,
        "name_of": {str(number): name for number, name in directory.names.items()},
        "zones": directory.zones,
        "kinds": directory.kinds,
        "hosts": [described_host(one.entry, one.address, one.grpc_address) for one in hosts],
    }
    assert text(told) == text(golden_json("known/expected.json"))
