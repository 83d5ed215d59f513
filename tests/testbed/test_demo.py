"""The lab from the command line."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from sidecar_proxy.testbed.history import read
from tests.sockets import LONG_S, ROOT

PYTHON = ROOT / ".venv" / "bin" / "python"


def test_the_demo_says_what_came_of_it_and_its_ledger_is_checked(tmp_path: Path) -> None:
    file = tmp_path / "ledger.jsonl"
    script = tmp_path / "script.toml"
    script.write_text('[[fault]]\nkind = "drain"\nat_s = 0.5\nfor_s = 0.5\n')
    command = [
        str(PYTHON),
        "-m",
        "sidecar_proxy",
        "lab",
        "--seconds",
        "2",
        "--nodes",
        "6",
        "--ledger",
        str(file),
        "--script",
        str(script),
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=3 * LONG_S)
    assert done.returncode == 0, done.stdout + done.stderr
    lines = done.stdout.splitlines()
    assert "6 nodes, 1 sidecar(s)" in lines[0] and " asked " in lines[1] and "no rule broken" in lines[-1]
    assert "\x1b" not in done.stdout  # no terminal
    with file.open() as told:
        assert len(read(told)) > 100
    again = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy", "check", file],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    assert again.returncode == 0 and "no rule broken" in again.stdout
    file.write_text(file.read_text() + '["Asked",1,"x","x","read","n0",2,1]\n')
    again = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy", "check", file],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    assert again.returncode == 1 and "rule 1: x: never answered" in again.stdout


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_ctrl_c_ends_all_children(number: int) -> None:
    process = subprocess.Popen(
        [PYTHON, "-u", "-m", "sidecar_proxy", "lab", "--nodes", "4"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    while " asked " not in process.stdout.readline():
        assert process.poll() is None
    task = Path(f"/proc/{process.pid}/task/{process.pid}")
    children = [int(one) for one in (task / "children").read_text().split()]
    assert children
    process.send_signal(number)
    rest = process.stdout.read()
    assert process.wait(LONG_S) == 130 and "interrupted" in rest
    process.stdout.close()
    end = time.monotonic() + LONG_S
    while any(os.path.exists(f"/proc/{child}") for child in children):
        assert time.monotonic() < end, "a child is left"
        time.sleep(0.01)


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        (["lab", "--nodes", "0"], "--nodes: expected 1 to 20000, got 0"),
        (["lab", "--script", "/nowhere"], "sidecar_proxy: "),
        (["check", "/nowhere"], "sidecar_proxy: "),
        (["check"], "usage: "),
        (["dance"], "usage: "),
        ([], "usage: "),
    ],
)
def test_a_bad_command_line_is_told_with_exit_code_2(arguments: list[str], said: str) -> None:
    done = subprocess.run(
        [PYTHON, "-m", "sidecar_proxy", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=LONG_S
    )
    assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr
