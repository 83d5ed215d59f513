"""Each name that leaves the process or is stored still occurs in the part of the package that uses it.

outside_names.txt lists them by kind. A name counts as present if it stands as a whole word in a string
(not in a docstring or a comment), or is the name of a class or of an annotated field.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "sidecar_proxy"
NAMES_FILE = Path(__file__).parent / "outside_names.txt"


def read_sections() -> dict[str, tuple[tuple[str, ...], list[str]]]:
    """The parts of the package and the names of each kind."""
    sections: dict[str, tuple[tuple[str, ...], list[str]]] = {}
    for line in NAMES_FILE.read_text().splitlines():
        if line.startswith("[") and line.endswith("]"):
            kind, _, parts = line[1:-1].rpartition(": ")
            names: list[str] = []
            sections[kind] = (tuple(parts.split()), names)
        elif line and not line.startswith("#"):
            names.append(line)
    return sections


SECTIONS = read_sections()


def python_files(part: str) -> list[Path]:
    path = PACKAGE / part
    files = sorted(path.rglob("*.py")) if path.is_dir() else [path]
    assert files, f"no Python file in {path}"
    return [file for file in files if not file.name.endswith("_pb2.py")]


def docstring_ids(tree: ast.AST) -> set[int]:
    expressions = (node for node in ast.walk(tree) if isinstance(node, ast.Expr))
    return {id(node.value) for node in expressions if isinstance(node.value, ast.Constant)}


def words_of(tree: ast.AST) -> Iterator[str]:
    """The strings of a module, and the names of its classes and annotated fields."""
    docstrings = docstring_ids(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings:
            yield node.value
        elif isinstance(node, ast.Constant) and isinstance(node.value, bytes):
            yield node.value.decode("latin-1")
        elif isinstance(node, ast.ClassDef):
            yield node.name
            fields = (statement for statement in node.body if isinstance(statement, ast.AnnAssign))
            yield from (field.target.id for field in fields if isinstance(field.target, ast.Name))


@cache
def text_of(part: str) -> str:
    """All that may contain a name, separated by a character that no name contains."""
    if part.endswith(".toml"):
        return (PACKAGE / part).read_text()
    return "\0".join(text for file in python_files(part) for text in words_of(ast.parse(file.read_text())))


def occurs(name: str, text: str) -> bool:
    literal = name.encode().decode("unicode_escape")
    before = r"(?<![A-Za-z0-9_])" if literal[0].isalnum() else ""
    after = r"(?![A-Za-z0-9_])" if literal[-1].isalnum() else ""
    return re.search(before + re.escape(literal) + after, text) is not None


@pytest.mark.parametrize("kind", SECTIONS)
def test_each_outside_name_still_occurs_in_its_part(kind: str) -> None:
    parts, names = SECTIONS[kind]
    assert names
    text = "\0".join(map(text_of, parts))
    assert [name for name in names if not occurs(name, text)] == []


def test_a_name_that_is_gone_is_found() -> None:
    assert not occurs("born", "born_ms\0newborn")
    assert occurs("born_ms", "seq\0born_ms\0whole")
