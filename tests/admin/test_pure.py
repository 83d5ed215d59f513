"""Figures and suspensions, and the folder that two processes share."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.suspensions import MOST_SUSPENDED, Suspensions, UnknownEndpointError
from sidecar_proxy.engine.metrics import Metrics
from tests.sockets import LONG_S, ROOT


def test_each_request_is_counted_once_under_what_its_client_was_told() -> None:
    figures = Metrics(["read", "pay"])
    for status in (200, 200, 429, 503, 502, 504, 400, 0):
        figures.request_accepted()
        figures.request_ended(1, status)
    figures.request_accepted()
    lines = list(figures.lines(5, 2))
    assert lines[:6] == [
        "app.completed.read:0|c",
        "app.rejected.read:0|c",
        "app.failed.read:0|c",
        "app.completed.pay:2|c",
        "app.rejected.pay:2|c",
        "app.failed.pay:3|c",
    ]
    assert lines[6:] == [
        "app.upstream_requests:0|c",
        "app.pending:1|g",
        "app.members:5|g",
        "app.members_unavailable:2|g",
        "app.config_reloads:0|c",
        "app.config_reload_errors:0|c",
    ]


def test_only_names_that_were_listed_can_be_suspended_and_they_stay_known() -> None:
    suspended = Suspensions()
    suspended.listed("s-1")
    suspended.check("s-1")
    for bad in ("", "s-2", "x" * 10_000):
        with pytest.raises(UnknownEndpointError):
            suspended.check(bad)
    assert suspended.replace({"s-9"}) == {"s-9"}  # kept by the process before
    suspended.check("s-9")
    assert suspended.replace({"s-1"}) == {"s-1", "s-9"} and suspended.replace({"s-1"}) == set()


def test_names_that_come_all_day_take_no_memory_for_good() -> None:
    suspended = Suspensions()
    for number in range(MOST_SUSPENDED + 50):
        suspended.listed(f"s-{number}")
    assert len(suspended.seen) == MOST_SUSPENDED and "s-49" not in suspended.seen


def test_what_one_process_suspends_another_reads(tmp_path: Path) -> None:
    old, new = HotRestart(tmp_path / "w"), HotRestart(tmp_path / "w")
    assert new.read() == set() and not new.changed()
    assert old.put("s/../1") and old.put("ü") and old.put("ü")
    assert new.changed() and new.read() == {"s/../1", "ü"} and not new.changed()
    assert new.take("ü") and new.take("ü")
    assert old.read() == {"s/../1"}


def test_one_killed_while_it_writes_leaves_no_suspension_of_half_a_name(tmp_path: Path) -> None:
    (tmp_path / "w" / "suspended").mkdir(parents=True)
    (tmp_path / "w" / "suspended" / "abc.7.part").write_bytes(b"s-")
    handover = HotRestart(tmp_path / "w")
    handover.put("s-1")
    assert handover.read() == {"s-1"}


def test_a_folder_that_cannot_be_used_is_said_and_keeps_nothing(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    handover = HotRestart(tmp_path / "file" / "w")
    assert not handover.put("s-1") and handover.read() is None and not handover.changed()
    assert handover.alone() and not handover.succeeded()
    assert not HotRestart.of({}).put("s-1")


def test_who_serves_is_known_from_the_lock_even_after_a_kill(tmp_path: Path) -> None:
    code = (
        "import sys, pathlib; from sidecar_proxy.admin.hot_restart import HotRestart\n"
        "h = HotRestart(pathlib.Path(sys.argv[1])); print(h.alone(), flush=True); sys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdout is not None and other.stdout.readline() == "True\n"
        mine = HotRestart(tmp_path)
        assert not mine.alone()
        assert not mine.succeeded()  # its own mark says nothing
        other.send_signal(signal.SIGKILL)
        other.wait(LONG_S)
        assert mine.alone() and mine.alone() and not mine.succeeded()
    # the next one comes; killed, it is no successor any more
    with subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdout is not None and other.stdout.readline() == "False\n"
        assert mine.succeeded() and mine.alone()
        other.send_signal(signal.SIGKILL)
        other.wait(LONG_S)
        assert not mine.succeeded()
    mine.close()
