"""The operator file: what it gives, and the one line for everything that is wrong with it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.operator_file import load
from sidecar_proxy.config.reader import read
from sidecar_proxy.config.schema import Grpc, Operator
from sidecar_proxy.testbed.scenario import Plan, settings


def test_without_a_file_all_is_off() -> None:
    assert load({}) is None and load({"SIDECAR_PROXY_OPERATOR": ""}) is None
    assert read("") == Operator() and not read("").grpc.enabled


def test_a_whole_table() -> None:
    told = read(
        "[grpc]\nenabled = true\nstreams = 7\nidle_s = 3\n"
        '[grpc.methods]\n"/komiks.Purchase/BuyChapter" = "chapter-buy"\n'
        '"/komiks.Reader/*" = "read"\n'
    )
    assert told.grpc == Grpc(
        True,
        {"/komiks.Purchase/BuyChapter": "chapter-buy", "/komiks.Reader/*": "read"},
        streams=7,
        idle_s=3.0,
    )


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("grcp = 1", "grcp: unknown; expected one of grpc"),
        ("grpc = 1", "grpc: expected a table, got 1"),
        ("[grpc]\nenable = true", "grpc.enable: unknown; expected one of enabled, "),
        ("[grpc]\nenabled = 1", "grpc.enabled: expected true or false, got 1"),
        ("[grpc]\nstreams = true", "grpc.streams: expected a whole number from 1 to 10000, got True"),
        ("[grpc]\nstreams = 1.0", "grpc.streams: expected a whole number from 1 to 10000, got 1.0"),
        ("[grpc]\nstreams = 0", "grpc.streams: expected a whole number from 1 to 10000, got 0"),
        ("[grpc]\nidle_s = nan", "grpc.idle_s: expected a number from 0.1 to 86400, got nan"),
        ("[grpc]\nidle_s = '1'", "grpc.idle_s: expected a number from 0.1 to 86400, got '1'"),
        ("[grpc]\nprobe = 'tcp'", "grpc.probe: expected 'grpc' or 'http', got 'tcp'"),
        ("[grpc]\nmethods = []", "grpc.methods: expected a table of at most 10000 texts, got []"),
        ("[grpc.methods]\n'/a.B/C' = 1", "grpc.methods.'/a.B/C': expected a text, got 1"),
        ("[grpc.methods]\n'a.B/C' = 'x'", "grpc.methods.'a.B/C': expected /package.Service/Method"),
        ("[grpc.methods]\n'/a.B/' = 'x'", "grpc.methods.'/a.B/': expected /package.Service/Method"),
        ("[grpc\n", "not TOML: "),
    ],
)
def test_one_line_names_the_key(text: str, line: str) -> None:
    with pytest.raises(OperatorError) as found:
        read(text)
    assert str(found.value).startswith(line) and "\n" not in str(found.value)


def test_a_file_that_is_missing_too_large_or_no_text(tmp_path: Path) -> None:
    for data, part in ((None, "No such file"), (b"#" * 1_100_000, "over 1048576 bytes"), (b"\xff", "utf-8")):
        path = tmp_path / "operator.toml"
        if data is not None:
            path.write_bytes(data)
        with pytest.raises(OperatorError) as found:
            load({"SIDECAR_PROXY_OPERATOR": str(path)})
        assert part in str(found.value) and str(path) in str(found.value) and "\n" not in str(found.value)


@given(st.dictionaries(st.text(max_size=8), st.one_of(st.integers(), st.booleans(), st.text(max_size=5))))
def test_any_table_is_read_or_told_in_a_line(told: dict[str, object]) -> None:
    lines = [
        f"{quoted(key)} = {str(value).lower() if not isinstance(value, str) else quoted(value)}"
        for key, value in told.items()
    ]
    try:
        read("\n".join(["[grpc]", *lines]))
    except OperatorError as error:
        assert "\n" not in str(error) and str(error).startswith(("grpc", "not TOML"))


def quoted(text: str) -> str:
    return '"' + "".join(f"\\U{ord(one):08x}" for one in text) + '"'


@pytest.mark.parametrize(
    ("text", "gone", "line"),
    [
        ("[grpc]\nenabled = 1", "", "grpc.enabled: expected true or false, got 1"),
        (
            "[grpc]\nenabled = true\n[grpc.methods]\n'/a.B/C' = 'none'",
            "",
            "grpc.methods.'/a.B/C': no class 'none'",
        ),
        ("[grpc]\nenabled = true", "ngh2", "grpc.enabled: needs the `grpc` extra; no ngh2"),
    ],
)
def test_a_sidecar_ends_with_one_line_and_2(tmp_path: Path, text: str, gone: str, line: str) -> None:
    operator, config = tmp_path / "operator.toml", tmp_path / "config.json"
    operator.write_text(text)
    config.write_text(json.dumps({"seed": "1", "settings": settings(Plan(), 0)}))
    code = (
        f"import sys; sys.modules.update({{name: None for name in {gone!r}.split()}});"
        "from sidecar_proxy.daemon.__main__ import main; sys.exit(main())"
    )
    env = os.environ | {
        "PROXY_NAME": "n",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:9",
        "PROXY_CONFIG": str(config),
        "SIDECAR_PROXY_OPERATOR": str(operator),
    }
    done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and line in done.stderr, done.stderr


def test_without_a_table_nothing_of_its_subsystem_is_imported(tmp_path: Path) -> None:
    """The sidecar's wiring, with everything that it imports at its start."""
    code = (
        "import sys, sidecar_proxy.daemon.__main__\nlibraries = ('ngh2', 'grpc', 'h2', 'nacl', 'msgspec'); "
        "print([name for name in sys.modules if name.split('.')[0] in libraries"
        " or name.startswith(('sidecar_proxy.grpc', 'sidecar_proxy.http2', 'sidecar_proxy.gossip'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
