"""The commands `config check`, `show` and `reference`, and the schema from which they are derived."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.cli.config import main, reference, show
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.field_types import FieldType, operator_file_type
from sidecar_proxy.config.reader import parse
from sidecar_proxy.config.schema import Gossip, Grpc, Operator
from tests.sockets import ROOT

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
OPERATOR_FILES = st.builds(
    lambda classes, streams, idle_s, probe, files, instances: Operator(
        Grpc(
            True,
            {f"/a.B/M{number}": name for number, name in enumerate(classes)},
            streams,
            idle_s=idle_s,
            probe=probe,
        ),
        gossip=Gossip(key_file=files[0], fleet_keys=tuple(files), least_instances=instances),
    ),
    st.lists(TEXT, max_size=3),
    st.integers(1, 10_000),
    st.floats(0.1, 86_400.0),
    st.sampled_from(["http", "grpc"]),
    st.lists(TEXT, min_size=1, max_size=3),
    st.integers(0, 100_000),
)


@given(OPERATOR_FILES)
def test_output_of_show_is_a_file_with_the_same_content(operator: Operator) -> None:
    assert parse(show(operator)) == operator


def test_reference_page_is_the_output_of_the_command() -> None:
    page = (ROOT / "docs/operate/operator.md").read_text()
    assert page == reference(), "python3 -m sidecar_proxy config reference"


def keys_of(table: FieldType, path: str = "") -> list[tuple[str, str, FieldType]]:
    """Return each key of a table and its nested tables: the path of its table, its name and its type."""
    keys: list[tuple[str, str, FieldType]] = []
    for name, field_type in table.fields.items():
        if field_type.is_table:
            keys += keys_of(field_type, f"{path}.{name}" if path else name)
        else:
            keys.append((path, name, field_type))
    return keys


@pytest.mark.parametrize("value", ["nan", "-inf", "-1", "1e99", "[[]]", "2026-12-01", "{a = {b = 1}}"])
@pytest.mark.parametrize(("table", "key", "field_type"), keys_of(operator_file_type()))
def test_invalid_value_of_each_key_is_an_error_of_one_line_that_names_the_key(
    table: str, key: str, field_type: FieldType, value: str
) -> None:
    with pytest.raises(OperatorError) as raised:
        parse(f"[{table}]\n{key} = {value}")
    message = str(raised.value)
    assert message.startswith(f"{table}.{key}")
    assert "expected " in message
    assert "got " in message
    assert "\n" not in message
    assert field_type.description
    assert field_type.accepts(msgspec.to_builtins(field_type.default))


def test_check_and_show_succeed_for_a_valid_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "good.toml"
    path.write_text("[grpc]\nstreams = 7\n")
    assert main(["check", str(path)]) == 0
    assert main(["show", str(path)]) == 0
    assert main(["show", str(path), "--json"]) == 0
    output = capsys.readouterr().out
    assert "streams = 7\n" in output
    assert "idle_s = 60.0  # as without the file" in output
    assert json.loads(output.splitlines()[-1])["grpc"]["streams"] == 7


def test_check_reports_an_unusable_file_in_one_line_and_exits_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    unknown_key = tmp_path / "bad.toml"
    unknown_key.write_text("[grpc]\nstreems = 7\n")
    for path in (unknown_key, tmp_path / "none.toml", tmp_path):
        assert main(["check", str(path)]) == 2
        output = capsys.readouterr()
        assert len(output.err.splitlines()) == 1
        assert str(path) in output.err
        assert not output.out
        assert main(["check", str(path), "--json"]) == 2
        assert json.loads(capsys.readouterr().out)["good"] is False
