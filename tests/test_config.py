"""The configuration: one parser with the simulator's, and one line for what can't be used."""

from __future__ import annotations

import json
import os
import subprocess
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.balancer.settings import parse_settings
from sidecar_proxy.config import platform_settings as config
from tests.options import OPTIONS
from tests.sockets import DEPLOY, ROOT, settings

GOOD: dict[str, Any] = {"seed": "8c1f", "limits": {"sockets": 512}, "settings": settings()}


def environment(path: Path, **changes: str) -> dict[str, str]:
    return {
        "PROXY_NAME": "n0",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:1",
        "PROXY_CONFIG": str(path),
    } | changes


def test_the_json_means_what_the_simulators_text_means() -> None:
    nested: dict[str, Any] = {
        "accounts": [
            {"allowance-per-s": 215.0, "name": "north", "share": 0.34},
            {"allowance-per-s": 152.0, "name": "hill", "share": 0.24},
        ]
    }
    told = settings(**{"areas": "a,b,c,d", "granularity": "4000"}) | nested
    told["areas"] = ["a", "b", "c", "d"]
    told["bounds"]["cancel"] = True
    assert parse_settings("\n".join(config.options(told))) == parse_settings(OPTIONS)


def test_a_good_one_is_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    found = config.load(environment(path))
    assert (found.seed, found.listen, found.sockets) == (0x8C1F, ("127.0.0.1", 0), 512)


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
def test_a_bad_one_ends_with_one_line(tmp_path: Path, text: str, changes: dict[str, str]) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    env = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")} | environment(path, **changes)
    done = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["run"]], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 2, done.stderr
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("sidecar_proxy: ")
