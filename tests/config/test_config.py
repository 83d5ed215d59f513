"""`config check | show | reference`, and the schema that all three come from."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.cli.config import main, reference, show
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.field_types import Kind, whole
from sidecar_proxy.config.reader import read
from sidecar_proxy.config.schema import Gossip, Grpc, Operator
from tests.sockets import ROOT

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
FILES = st.builds(
    lambda methods, streams, idle_s, probe, files, floor: Operator(
        Grpc(True, {f"/a.B/M{n}": one for n, one in enumerate(methods)}, streams, idle_s=idle_s, probe=probe),
        gossip=Gossip(key_file=files[0], fleet_keys=tuple(files), least_instances=floor),
    ),
    st.lists(TEXT, max_size=3),
    st.integers(1, 10_000),
    st.floats(0.1, 86_400.0),
    st.sampled_from(["http", "grpc"]),
    st.lists(TEXT, min_size=1, max_size=3),
    st.integers(0, 100_000),
)


@given(FILES)
def test_what_is_shown_is_a_file_that_says_the_same(operator: Operator) -> None:
    assert read(show(operator)) == operator


def test_the_page_of_all_keys_is_what_the_schema_says() -> None:
    page = (ROOT / "docs/operate/operator.md").read_text()
    assert page == reference(), "python3 -m sidecar_proxy config reference"


def leaves(kind: Kind, path: str = "") -> list[tuple[str, str, Kind]]:
    found = []
    for name, key in kind.keys.items():
        found += leaves(key, f"{path}.{name}" if path else name) if key.keys else [(path, name, key)]
    return found


@pytest.mark.parametrize("bad", ["nan", "-inf", "-1", "1e99", "[[]]", "2026-12-01", "{a = {b = 1}}"])
@pytest.mark.parametrize(("table", "key", "kind"), leaves(whole()))
def test_each_key_refuses_what_it_can_not_be_in_one_line_that_names_it(
    table: str, key: str, kind: Kind, bad: str
) -> None:
    with pytest.raises(OperatorError) as found:
        read(f"[{table}]\n{key} = {bad}")
    said = str(found.value)
    assert said.startswith(f"{table}.{key}") and "expected " in said and "got " in said and "\n" not in said
    assert kind.description and kind.takes(msgspec.to_builtins(kind.default))


def test_check_and_show_end_with_what_they_found(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text("[grpc]\nstreams = 7\n")
    bad.write_text("[grpc]\nstreems = 7\n")
    assert main(["check", str(good)]) == 0 and main(["show", str(good)]) == 0
    assert main(["show", str(good), "--json"]) == 0
    said = capsys.readouterr()
    assert "streams = 7\n" in said.out and "idle_s = 60.0  # as without the file" in said.out
    assert json.loads(said.out.splitlines()[-1])["grpc"]["streams"] == 7
    for file in (bad, tmp_path / "none.toml", tmp_path):
        assert main(["check", str(file)]) == 2
        said = capsys.readouterr()
        assert len(said.err.splitlines()) == 1 and str(file) in said.err and not said.out
        assert main(["check", str(file), "--json"]) == 2
        assert json.loads(capsys.readouterr().out)["good"] is False
