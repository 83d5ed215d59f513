"""`python3 -m sidecar_proxy config …`: an operator file checked and shown, and the page of all its keys."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator
from typing import Any

import msgspec

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.field_types import Kind, whole
from sidecar_proxy.config.reader import load_file
from sidecar_proxy.config.schema import Operator

ABOUT = """# The operator file

TOML, named by `SIDECAR_PROXY_OPERATOR`; without it all below is off. Unknown keys, wrong types and impossible
values end the start with one line that names the key, and exit 2.
`python3 -m sidecar_proxy config check FILE` says the same before.
This page is what `python3 -m sidecar_proxy config reference` prints.
"""


def toml(value: object) -> str:
    """A plain value as it stands in the file."""
    text = json.dumps(list(value) if isinstance(value, tuple) else value, ensure_ascii=False)
    return text.replace("\x7f", "\\u007f")  # allowed in JSON as it stands, not in TOML


def lines(kind: Kind, value: Any, standard: Any, path: str = "") -> Iterator[str]:
    """A table as TOML; what is as it is without the file is marked."""
    if path:
        yield f"[{path}]"
    tables = []
    for name, key in kind.keys.items():
        own, usual = getattr(value, name), getattr(standard, name)
        inner = f"{path}.{name}" if path else name
        if key.keys:
            tables.append((key, own, usual, inner))
        elif isinstance(own, dict):
            yield f"{name} = {{{', '.join(f'{toml(one)} = {toml(text)}' for one, text in own.items())}}}"
        else:
            yield f"{name} = {toml(own)}" + ("  # as without the file" if own == usual else "")
    if path:
        yield ""
    for one in tables:
        yield from lines(*one)


def show(operator: Operator) -> str:
    return "\n".join(lines(whole(), operator, Operator())).rstrip() + "\n"


def rows(kind: Kind, path: str = "") -> Iterator[str]:
    """The reference page of a table and those in it."""
    if path:
        yield f"\n## [{path}]\n\n{kind.description}\n\n| key | what may stand there | without it | meaning |"
        yield "| --- | --- | --- | --- |"
        for name, key in kind.keys.items():
            if not key.keys:
                usual = "{}" if isinstance(key.default, dict) else toml(key.default)
                yield f"| `{name}` | {key.expected()} | `{usual}` | {key.description} |"
    for name, key in kind.keys.items():
        if key.keys:
            yield from rows(key, f"{path}.{name}" if path else name)


def reference() -> str:
    return ABOUT + "\n".join(rows(whole())) + "\n"


def main(arguments: list[str]) -> int:
    """0; 2 for a file that can't be used."""
    parser = argparse.ArgumentParser(prog="python3 -m sidecar_proxy config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("check", "say what is wrong with a file, if anything is"),
        ("show", "every key as it holds with a file"),
    ):
        one = commands.add_parser(name, help=text)
        one.add_argument("file")
        one.add_argument("--json", action="store_true")
    commands.add_parser("reference", help="the page of all keys")
    told = parser.parse_args(arguments)
    if told.command == "reference":
        print(reference(), end="")
        return 0
    try:
        operator = load_file(told.file)
    except (OperatorError, OSError) as error:
        if told.json:
            print(json.dumps({"good": False, "error": str(error)}))
        else:
            print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    if told.command == "show":
        print(msgspec.json.encode(operator).decode() if told.json else show(operator).rstrip("\n"))
    else:
        print(json.dumps({"good": True}) if told.json else f"{told.file}: good")
    return 0
