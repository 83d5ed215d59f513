"""The platform's configuration: the same parser as the simulator's, and one line for every error."""

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

GOOD: dict[str, Any] = {"seed": "8c1f", "limits": {"sockets": 512}, "settings": settings()}


def environment_for(path: Path, **changes: str) -> dict[str, str]:
    return {
        "PROXY_NAME": "n0",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:1",
        "PROXY_CONFIG": str(path),
    } | changes


def test_json_settings_mean_the_same_as_the_simulators_text() -> None:
    nested: dict[str, Any] = {
        "accounts": [
            {"allowance-per-s": 215.0, "name": "north", "share": 0.34},
            {"allowance-per-s": 152.0, "name": "hill", "share": 0.24},
        ]
    }
    json_settings = settings(**{"areas": "a,b,c,d", "granularity": "4000"}) | nested
    json_settings["areas"] = ["a", "b", "c", "d"]
    json_settings["bounds"]["cancel"] = True
    text = "\n".join(platform_settings.settings_lines(json_settings))
    assert parse_settings(text) == parse_settings(OPTIONS)


def test_good_configuration_is_loaded(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    config = platform_settings.load(environment_for(path))
    assert config.seed == 0x8C1F
    assert config.listen == ("127.0.0.1", 0)
    assert config.max_file_descriptors == 512


@pytest.mark.parametrize(
    ("text", "changes"),
    [
        (json.dumps(GOOD), {"PROXY_NAME": ""}),
        (json.dumps(GOOD), {"PROXY_LISTEN": "here"}),
        (json.dumps(GOOD), {"PROXY_DISCOVERY": "127.0.0.1:99999"}),
        (json.dumps(GOOD), {"PROXY_CONFIG": "/nowhere/config.json"}),
        ("{", {}),
        ("[]", {}),
        (json.dumps(GOOD | {"seed": "xyz"}), {}),
        (json.dumps(GOOD | {"settings": []}), {}),
        (json.dumps({"seed": "1"}), {}),
        (json.dumps(GOOD | {"settings": settings(instances="none")}), {}),
        (json.dumps(GOOD | {"known": {"seq": 1, "whole": True, "hosts": [{"host": "s-1"}]}}), {}),
        (json.dumps(GOOD | {"limits": 7}), {}),
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
