"""The program's environment variables and their deprecated names."""

from __future__ import annotations

import pytest

from sidecar_proxy.environment import read_variable


def test_variable_is_read_by_its_name() -> None:
    assert read_variable("OPERATOR", {"SIDECAR_PROXY_OPERATOR": "new.toml"}) == "new.toml"


def test_variable_that_is_not_set_is_empty(capsys: pytest.CaptureFixture[str]) -> None:
    assert read_variable("OPERATOR", {}) == ""
    assert capsys.readouterr().err == ""


def test_deprecated_name_works_with_one_line_of_warning(capsys: pytest.CaptureFixture[str]) -> None:
    assert read_variable("OPERATOR", {"WICKSPREAD_OPERATOR": "old.toml"}) == "old.toml"
    expected = "sidecar_proxy: WICKSPREAD_OPERATOR is deprecated: use SIDECAR_PROXY_OPERATOR\n"
    assert capsys.readouterr().err == expected


def test_new_name_takes_precedence_over_the_deprecated_name(capsys: pytest.CaptureFixture[str]) -> None:
    both = {"WICKSPREAD_OPERATOR": "old.toml", "SIDECAR_PROXY_OPERATOR": ""}
    assert read_variable("OPERATOR", both) == ""
    assert capsys.readouterr().err == ""
