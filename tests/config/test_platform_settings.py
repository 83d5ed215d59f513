"""The platform's configuration: one parser reads it and the simulator's settings; an error is one line."""

from __future__ import annotations

import json
import os
import subprocess
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.balancer.settings import parse_settings
from sidecar_proxy.config import platform_settings
from tests.options import OPTIONS
from tests.sockets import DEPLOY, ROOT, settings

VALID_CONFIG: dict[str, Any] = {"seed": "8c1f", "limits": {"sockets": 512}, "settings": settings()}


def environment_for(path: Path, **changes: str) -> dict[str, str]:
    return {
        "PROXY_NAME": "n0",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:1",
        "PROXY_CONFIG": str(path),
    } | changes


def test_json_settings_are_equal_to_the_same_settings_in_the_simulators_format() -> None:
    accounts: dict[str, Any] = {
        "accounts": [
            {"allowance-per-s": 215.0, "name": "north", "share": 0.34},
            {"allowance-per-s": 152.0, "name": "hill", "share": 0.24},
        ]
    }
    json_settings = settings(**{"areas": "a,b,c,d", "granularity": "4000"}) | accounts
    json_settings["areas"] = ["a", "b", "c", "d"]
    json_settings["bounds"]["cancel"] = True
    text = "\n".join(platform_settings.settings_lines(json_settings))
    assert parse_settings(text) == parse_settings(OPTIONS)


def test_valid_configuration_is_loaded(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID_CONFIG))
    config = platform_settings.load(environment_for(path))
    assert config.seed == 0x8C1F
    assert config.listen == ("127.0.0.1", 0)
    assert config.max_file_descriptors == 512


@pytest.mark.parametrize(
    ("text", "changes"),
    [
        (json.dumps(VALID_CONFIG), {"PROXY_NAME": ""}),
        (json.dumps(VALID_CONFIG), {"PROXY_LISTEN": "here"}),
        (json.dumps(VALID_CONFIG), {"PROXY_DISCOVERY": "127.0.0.1:99999"}),
        (json.dumps(VALID_CONFIG), {"PROXY_CONFIG": "/nowhere/config.json"}),
        ("{", {}),
        ("[]", {}),
        (json.dumps(VALID_CONFIG | {"seed": "xyz"}), {}),
        (json.dumps(VALID_CONFIG | {"settings": []}), {}),
        (json.dumps({"seed": "1"}), {}),
        (json.dumps(VALID_CONFIG | {"settings": settings(instances="none")}), {}),
        (json.dumps(VALID_CONFIG | {"known": {"seq": 1, "whole": True, "hosts": [{"host": "s-1"}]}}), {}),
        (json.dumps(VALID_CONFIG | {"limits": 7}), {}),
        ('{"seed": "1", "settings": "\\ud800"}', {}),
    ],
)
def test_sidecar_with_an_unusable_configuration_prints_one_line_and_exits_with_2(
    tmp_path: Path, text: str, changes: dict[str, str]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    result = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        env=inherited | environment_for(path, **changes),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 2, result.stderr
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith("sidecar_proxy: ")
