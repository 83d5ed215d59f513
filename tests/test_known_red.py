"""The list of tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRed, KnownRedError, is_named, missing, parse

ENTRY = KnownRed("tests/a/test_b.py::test_c", "seed 7: answered late; issue 12")


def test_comments_and_blank_lines_are_no_entries() -> None:
    assert parse("# a comment\n\n") == []


def test_entry_has_a_test_id_and_a_reason() -> None:
    assert parse("tests/a/test_b.py::test_c seed 7: answered late; issue 12\n") == [ENTRY]


@pytest.mark.parametrize("line", ["tests/a/test_b.py::test_c", "tests/a/test_b.py fails", "::"])
def test_entry_without_id_or_reason_is_an_error(line: str) -> None:
    with pytest.raises(KnownRedError, match="line 1"):
        parse(line)


def test_entry_names_a_test_and_all_its_cases_but_no_other() -> None:
    assert is_named("tests/a/test_b.py::test_c", ENTRY)
    assert is_named("tests/a/test_b.py::test_c[1]", ENTRY)
    assert not is_named("tests/a/test_b.py::test_c_and_more", ENTRY)


def test_entry_that_names_no_test_is_missing() -> None:
    assert missing([ENTRY], ["tests/a/test_b.py::test_d"], ["tests/a/test_b.py"]) == [ENTRY.test_id]


def test_entry_of_a_file_that_was_not_collected_is_not_missing() -> None:
    assert missing([ENTRY], ["tests/a/test_x.py::test_d"], ["tests/a/test_x.py"]) == []
