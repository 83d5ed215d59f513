"""The `config` command: check an operator file, show it with all defaults, or print the reference page."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from typing import Any

import msgspec

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.field_types import FieldType, operator_file_type
from sidecar_proxy.config.reader import load_file
from sidecar_proxy.config.schema import Operator

EXIT_OK = 0
EXIT_UNUSABLE_FILE = 2

REFERENCE_HEAD = """# The operator file

A TOML file, named by `SIDECAR_PROXY_OPERATOR`; without it everything below is off. An unknown key, a wrong
type or a value out of range ends the start with one line that names the key, and exit status 2.
`python3 -m sidecar_proxy config check FILE` reports the same beforehand.
This page is the output of `python3 -m sidecar_proxy config reference`.
"""


def format_toml(value: object) -> str:
    """Return a scalar or a tuple of scalars as TOML."""
    json_value = list(value) if isinstance(value, tuple) else value
    text = json.dumps(json_value, ensure_ascii=False)
    return text.replace("\x7f", "\\u007f")  # JSON allows this character unescaped, TOML does not


def format_field(name: str, value: Any, default: Any) -> str:
    """Return the TOML line of one key; a comment marks a default value."""
    if isinstance(value, dict):
        items = ", ".join(f"{format_toml(key)} = {format_toml(member)}" for key, member in value.items())
        return f"{name} = {{{items}}}"
    comment = "  # as without the file" if value == default else ""
    return f"{name} = {format_toml(value)}{comment}"


def table_lines(table: FieldType, values: Any, defaults: Any, path: str = "") -> Iterator[str]:
    """Yield a table and its nested tables as lines of TOML."""
    if path:
        yield f"[{path}]"
    for name, field_type in table.fields.items():
        if not field_type.is_table:
            yield format_field(name, getattr(values, name), getattr(defaults, name))
    if path:
        yield ""
    for name, field_type in table.fields.items():
        if field_type.is_table:
            nested_path = f"{path}.{name}" if path else name
            yield from table_lines(field_type, getattr(values, name), getattr(defaults, name), nested_path)


def show(operator: Operator) -> str:
    """Return an operator file with all keys, including those with default values, as TOML."""
    return "\n".join(table_lines(operator_file_type(), operator, Operator())).rstrip() + "\n"


def reference_lines(table: FieldType, path: str = "") -> Iterator[str]:
    """Yield the lines of the reference page for a table and its nested tables."""
    if path:
        yield f"\n## [{path}]\n\n{table.description}\n\n| key | value | default | meaning |"
        yield "| --- | --- | --- | --- |"
        for name, field_type in table.fields.items():
            if not field_type.is_table:
                yield reference_row(name, field_type)
    for name, field_type in table.fields.items():
        if field_type.is_table:
            yield from reference_lines(field_type, f"{path}.{name}" if path else name)


def reference_row(name: str, field_type: FieldType) -> str:
    """Return the table row of one key in the reference page."""
    default = "{}" if isinstance(field_type.default, dict) else format_toml(field_type.default)
    return f"| `{name}` | {field_type.expected_value()} | `{default}` | {field_type.description} |"


def reference() -> str:
    """Return the reference page of all keys, in Markdown."""
    return REFERENCE_HEAD + "\n".join(reference_lines(operator_file_type())) + "\n"


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line; exits with a usage message if it is invalid."""
    parser = argparse.ArgumentParser(prog="python3 -m sidecar_proxy config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, help_text in (
        ("check", "report the first error in a file, if there is one"),
        ("show", "print a file with all keys, including default values"),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("file")
        command.add_argument("--json", action="store_true")
    commands.add_parser("reference", help="print the reference page of all keys")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    options = parse_arguments(arguments)
    if options.command == "reference":
        print(reference(), end="")
        return EXIT_OK
    try:
        operator = load_file(options.file)
    except (OperatorError, OSError) as error:
        report_unusable_file(error, options.json)
        return EXIT_UNUSABLE_FILE
    if options.command == "show":
        print_file(operator, options.json)
    else:
        print(json.dumps({"good": True}) if options.json else f"{options.file}: good")
    return EXIT_OK


def report_unusable_file(error: Exception, as_json: bool) -> None:
    """Print the error: as JSON on standard output, or as a line on standard error."""
    if as_json:
        print(json.dumps({"good": False, "error": str(error)}))
    else:
        print(f"sidecar_proxy: {error}", file=sys.stderr)


def print_file(operator: Operator, as_json: bool) -> None:
    """Print an operator file with all keys, as JSON or as TOML."""
    if as_json:
        print(msgspec.json.encode(operator).decode())
    else:
        print(show(operator).rstrip("\n"))
