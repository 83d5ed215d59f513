"""What all tests on sockets need: the deploy file's build."""

from __future__ import annotations

import subprocess

import pytest

from tests.sockets import DEPLOY, ROOT


@pytest.fixture(scope="session", autouse=True)
def build() -> None:
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=300)
