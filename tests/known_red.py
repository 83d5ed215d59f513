"""Reads KNOWN-RED.txt: the tests that fail because of a known fault, which the test run passes over.

An entry is a line that begins with a test's id (`tests/path/test_module.py::test_name`) and a blank, then the
command and seed, what was seen, and the issue. Lines that begin with `#` are comments.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """One test that is known to fail, and the text that says why."""

    test_id: str
    reason: str


class KnownRedError(ValueError):
    """An entry is malformed, or names no test that exists."""


def parse(text: str) -> list[KnownRed]:
    """Return the entries of the file. Raises KnownRedError for a line that is no entry."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        test_id, _, reason = line.partition(" ")
        if "::" not in test_id or not reason.strip():
            raise KnownRedError(
                f"{FILE_NAME}, line {number}: expected a test's id and a reason, got {line!r}"
            )
        entries.append(KnownRed(test_id, reason.strip()))
    return entries


def read(root: Path) -> list[KnownRed]:
    """Return the entries of the file in `root`."""
    return parse((root / FILE_NAME).read_text())


def is_named(test_id: str, entry: KnownRed) -> bool:
    """Say whether an entry names this test, or all cases of this parametrized test."""
    return test_id == entry.test_id or test_id.startswith(entry.test_id + "[")


def missing(
    entries: Iterable[KnownRed], test_ids: Iterable[str], collected_files: Iterable[str]
) -> list[str]:
    """Return the ids named in files that were collected whole, but not found among the tests."""
    known_ids, known_files = list(test_ids), set(collected_files)
    return [
        entry.test_id
        for entry in entries
        if entry.test_id.partition("::")[0] in known_files
        and not any(is_named(test_id, entry) for test_id in known_ids)
    ]
