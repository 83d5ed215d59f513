"""The folder that two processes of one sidecar share: suspensions and process locks."""

from __future__ import annotations

import errno
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path

import pytest

from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.process_locks import ProcessLocks
from sidecar_proxy.admin.shared_folder import FOLDER_NAME
from tests.admin.admin_sidecar import AdminSidecar
from tests.sockets import LONG_S, ROOT, Upstream, eventually


def test_stored_names_are_those_of_the_earlier_version(tmp_path: Path) -> None:
    environment = {"TMPDIR": str(tmp_path)}
    with (
        closing(HotRestart.from_environment(environment)) as old,
        closing(HotRestart.from_environment(environment)) as new,
    ):
        assert old.locks.claim_serving()
        assert not new.locks.claim_serving()
        assert old.suspensions.add("s-1")
        assert old.warm_start_file.write(b"state")
        folder = tmp_path / "wickspread"
        assert {str(path.relative_to(folder)) for path in folder.rglob("*")} == {
            "next",
            "remembered",
            "serving",
            "suspended",
            "suspended/d8f869c69505c294cde2a4fffd0d696e",
        }


def test_suspension_of_one_process_is_read_by_another(tmp_path: Path) -> None:
    old = HotRestart(tmp_path / "w").suspensions
    new = HotRestart(tmp_path / "w").suspensions
    assert new.read() == set()
    assert not new.has_changed()
    assert old.add("s/../1")
    assert old.add("ü")
    assert old.add("ü")
    assert new.has_changed()
    assert new.read() == {"s/../1", "ü"}
    assert not new.has_changed()
    assert new.remove("ü")
    assert new.remove("ü")
    assert old.read() == {"s/../1"}


def test_partial_file_of_a_killed_process_is_no_suspension(tmp_path: Path) -> None:
    (tmp_path / "w" / "suspended").mkdir(parents=True)
    (tmp_path / "w" / "suspended" / "abc.7.part").write_bytes(b"s-")
    hot_restart = HotRestart(tmp_path / "w")
    hot_restart.suspensions.add("s-1")
    assert hot_restart.suspensions.read() == {"s-1"}


def test_process_with_an_unusable_folder_stores_nothing_and_serves(tmp_path: Path) -> None:
    (tmp_path / "file").write_bytes(b"")
    hot_restart = HotRestart(tmp_path / "file" / "w")
    assert not hot_restart.suspensions.add("s-1")
    assert hot_restart.suspensions.read() is None
    assert not hot_restart.suspensions.has_changed()
    assert hot_restart.locks.claim_serving()
    assert not hot_restart.locks.has_successor()
    assert not HotRestart.from_environment({}).suspensions.add("s-1")


@contextmanager
def process_that_claims_serving(folder: Path, expected_result: bool) -> Iterator[subprocess.Popen[str]]:
    """Run another process that claims to serve, and check the result; it runs until it is killed."""
    code = (
        "import sys, pathlib; from sidecar_proxy.admin.process_locks import ProcessLocks\n"
        "locks = ProcessLocks(pathlib.Path(sys.argv[1]))\n"
        "print(locks.claim_serving(), flush=True); sys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code, str(folder)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == f"{expected_result}\n"
        yield process


@pytest.fixture
def locks(tmp_path: Path) -> Iterator[ProcessLocks]:
    with closing(ProcessLocks(tmp_path)) as process_locks:
        yield process_locks


def test_process_locks_end_with_a_killed_process(tmp_path: Path, locks: ProcessLocks) -> None:
    with process_that_claims_serving(tmp_path, expected_result=True) as predecessor:
        assert not locks.claim_serving()
        assert not locks.has_successor()  # the process's own successor lock does not count
        predecessor.send_signal(signal.SIGKILL)
        predecessor.wait(LONG_S)
        assert locks.claim_serving()
        assert locks.claim_serving()
        assert not locks.has_successor()
    with process_that_claims_serving(tmp_path, expected_result=False) as successor:
        assert locks.has_successor()
        assert locks.claim_serving()
        successor.send_signal(signal.SIGKILL)
        successor.wait(LONG_S)
        assert not locks.has_successor()


# Guards against new requests to a suspended upstream: a suspension that could not be stored was dropped.
def test_suspension_that_cannot_be_stored_holds_when_others_change(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    def bodies() -> set[bytes]:
        return {sidecar.request("GET", "/read/7").body for _ in range(30)}

    with (
        Upstream(b"three") as third_upstream,
        AdminSidecar(
            [first_upstream, second_upstream, third_upstream],
            shared_folder,
            before="ulimit -f 0; ",  # no file may have any content
        ) as sidecar,
    ):
        assert sidecar.call(f"SUSPEND {first_upstream.name}") == "done, for this process alone"
        other_process = HotRestart(Path(shared_folder) / FOLDER_NAME)
        assert other_process.suspensions.add(second_upstream.name)
        eventually(lambda: b"two" not in bodies())  # the sidecar has read the folder
        assert bodies() == {b"three"}
        assert other_process.suspensions.remove(second_upstream.name)
        eventually(lambda: b"two" in bodies())
        assert b"one" not in bodies()
        assert sidecar.call(f"RESTORE {first_upstream.name}") == "done"
        eventually(lambda: b"one" in bodies())


def fail_to_unlink(path: Path, missing_ok: bool = False) -> None:
    raise OSError(errno.EROFS, "read-only file system")


# Guards against a restored upstream that stays unused: a suspension that could not be removed came back.
def test_restore_that_cannot_be_stored_holds_when_others_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = HotRestart(tmp_path / "w").suspensions
    assert store.add("s-1")
    with monkeypatch.context() as patched:
        patched.setattr(Path, "unlink", fail_to_unlink)
        assert not store.remove("s-1")
    assert HotRestart(tmp_path / "w").suspensions.add("s-2")
    assert store.read() == {"s-2"}
    assert HotRestart(tmp_path / "w").suspensions.read() == {"s-1", "s-2"}
    assert store.add("s-1")
    assert store.read() == {"s-1", "s-2"}
    assert store.remove("s-1")
    assert store.read() == {"s-2"}


# Guards against new requests to a suspended upstream: an earlier RESTORE that was not stored hid it.
def test_suspension_by_another_process_counts_after_a_restore_that_could_not_be_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    own = HotRestart(tmp_path / "w").suspensions
    assert own.add("s-1")
    with monkeypatch.context() as patched:
        patched.setattr(Path, "unlink", fail_to_unlink)
        assert not own.remove("s-1")
    assert own.read() == set()
    assert HotRestart(tmp_path / "w").suspensions.add("s-1")
    assert own.read() == {"s-1"}
