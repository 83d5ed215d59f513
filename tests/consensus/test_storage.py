"""Tests of the log store: kills at each operation, truncation and damage at each byte, copies, full disk."""

from __future__ import annotations

import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

from sidecar_proxy.consensus.disk import RealDisk
from sidecar_proxy.consensus.errors import CopiedFolderError, DamagedLogError
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import Entry, HardState, Snapshot
from sidecar_proxy.consensus.storage import LogStore, iterate_records, read_log
from tests.sockets import LONG_S, ROOT

AMPLE_FREE_BYTES = 10_000


@dataclass(frozen=True)
class Write:
    """The arguments of one call of `LogStore.save`."""

    hard_state: HardState | None
    commit_index: int
    snapshot: Snapshot | None
    entries: list[Entry]
    current_hard_state: HardState


TERM_1, TERM_2, TERM_3 = HardState(1, "a"), HardState(2, ""), HardState(3, "b")
# Writes as a voter makes them, one after the other: votes, entries, a conflicting entry, a snapshot.
WRITES = [
    Write(TERM_1, 0, None, [], TERM_1),
    Write(None, 0, None, [Entry(1, 1, b"one"), Entry(1, 2, b"two\0\0")], TERM_1),
    Write(None, 2, None, [Entry(1, 3, b"three")], TERM_1),
    Write(TERM_2, 2, None, [Entry(2, 3, b"another third"), Entry(2, 4, voters=("a", "b"))], TERM_2),
    Write(None, 4, None, [], TERM_2),
    Write(None, 4, Snapshot(4, 2, ("a", "b"), b"all"), [Entry(2, 5, b"five")], TERM_2),
    Write(TERM_3, 4, None, [Entry(3, 6, b"six")], TERM_3),
]

StateContent = tuple[HardState, Snapshot, list[Entry]]


def save(store: LogStore, write: Write) -> None:
    store.save(write.hard_state, write.commit_index, write.snapshot, write.entries, write.current_hard_state)


def save_all(store: LogStore, acknowledged: list[PersistedState] | None = None) -> None:
    """Save all WRITES; after each, append the persisted state to `acknowledged` and print its number."""
    for number, write in enumerate(WRITES):
        save(store, write)
        if acknowledged is not None:
            acknowledged.append(LogStore(store.folder).open())
        print(number, flush=True)


def content(state: PersistedState) -> StateContent:
    return state.hard_state, state.log.snapshot, state.log.entries


def read_state(folder: Path) -> PersistedState:
    """Read the state that a start would restore, without changing the file."""
    return read_log((folder / "log").read_bytes(), folder / "log")[0]


@dataclass(frozen=True)
class SavedFolder:
    """A folder after all WRITES, and the persisted states after each of them."""

    path: Path
    acknowledged: list[PersistedState]


@pytest.fixture
def saved(tmp_path: Path) -> SavedFolder:
    store = LogStore(tmp_path / "a")
    acknowledged: list[PersistedState] = []
    store.open()
    save_all(store, acknowledged)
    store.close()
    return SavedFolder(tmp_path / "a", acknowledged)


def test_saved_state_is_read_back(saved: SavedFolder) -> None:
    state = LogStore(saved.path).open()
    assert state.hard_state == TERM_3
    assert state.commit_index == 4
    assert not state.torn_bytes
    assert state.log.snapshot.data == b"all"
    assert [entry.data for entry in state.log.entries] == [b"five", b"six"]


def test_file_truncated_at_any_byte_keeps_all_complete_records(tmp_path: Path) -> None:
    store = LogStore(tmp_path / "a")
    store.open()
    acknowledged = {}
    for write in WRITES[:5]:
        save(store, write)
        acknowledged[store.size] = content(LogStore(store.folder).open())
    data = store.path.read_bytes()
    ends = {framed.end for framed in iterate_records(data)}
    for size in range(min(acknowledged), len(data) + 1):
        for tail in (b"", bytes(7)):  # a crash may leave zeros where data was not written
            store.path.write_bytes(data[:size] + tail)
            state = LogStore(store.folder).open()
            valid_size = max(end for end in ends if end <= size)
            assert store.path.stat().st_size == valid_size
            assert content(state) == content(read_log(data[:valid_size], store.path)[0])
            assert valid_size not in acknowledged or content(state) == acknowledged[valid_size]


def test_flipped_bit_anywhere_is_reported_as_damage(saved: SavedFolder) -> None:
    path = saved.path / "log"
    data = path.read_bytes()
    for position in range(len(data)):
        for bit in (1, 16, 128):
            path.write_bytes(data[:position] + bytes([data[position] ^ bit]) + data[position + 1 :])
            with pytest.raises(DamagedLogError):
                LogStore(saved.path).open()
    state = LogStore(saved.path).recreate()
    assert state.incarnation != saved.acknowledged[0].incarnation
    assert state.hard_state == HardState()
    assert not state.log.last_index
    assert (saved.path / "log.damaged").exists()
    assert LogStore(saved.path).open().incarnation == state.incarnation


def test_copied_folder_is_reported_as_a_copy(saved: SavedFolder, tmp_path: Path) -> None:
    shutil.copytree(saved.path, tmp_path / "older")
    with pytest.raises(CopiedFolderError):
        LogStore(tmp_path / "older").open()
    shutil.rmtree(saved.path)
    shutil.copytree(tmp_path / "older", saved.path)
    with pytest.raises(CopiedFolderError):
        LogStore(saved.path).open()


class FullDisk(RealDisk):
    """A disk with `free_bytes` of free space: a longer write is cut there and fails with ENOSPC."""

    def __init__(self, free_bytes: int) -> None:
        self.free_bytes = free_bytes

    def write(self, fd: int, data: bytes) -> None:
        super().write(fd, data[: self.free_bytes])
        if len(data) > self.free_bytes:
            raise OSError(28, "no space")
        self.free_bytes -= len(data)


@pytest.mark.parametrize("free_bytes", [0, 1, 20, 45])
def test_failed_write_loses_nothing_and_can_be_repeated(free_bytes: int, tmp_path: Path) -> None:
    disk = FullDisk(AMPLE_FREE_BYTES)
    store = LogStore(tmp_path, disk)
    store.open()
    for write in WRITES:
        state_before = content(read_state(tmp_path))
        disk.free_bytes = free_bytes
        try:
            save(store, write)
        except OSError:
            # The failed write may have left entries, which were not acknowledged.
            assert content(read_state(tmp_path))[:2] == state_before[:2]
            disk.free_bytes = AMPLE_FREE_BYTES
            save(store, write)
    state = LogStore(tmp_path).open()
    assert [entry.data for entry in state.log.entries] == [b"five", b"six"]
    assert state.hard_state == TERM_3


KILLED_PROGRAM = (
    "import sys; from pathlib import Path; from tests.consensus.test_storage import save_all, LogStore;"
    "from sidecar_proxy.consensus.disk import FaultyDisk;"
    "store = LogStore(Path(sys.argv[1]), FaultyDisk(Path(sys.argv[2]))); store.open(); save_all(store)"
)


def start_killed_process(folder: Path, fault: str) -> subprocess.Popen[str]:
    """Start a process that saves WRITES and is killed by the fault, if that occurs."""
    fault_path = folder.with_suffix(".disk")
    fault_path.write_text(fault)
    command = [sys.executable, "-c", KILLED_PROGRAM, str(folder), str(fault_path)]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)


def assert_acknowledged_state(folder: Path, write_count: int, acknowledged: list[PersistedState]) -> None:
    """Check that a folder has the state of the last acknowledged write; the next one may be there in part."""
    actual = content(LogStore(folder).open())
    expected = [content(state) for state in acknowledged[max(0, write_count - 1) : write_count + 1]]
    if write_count == 0:
        expected.append((HardState(), Snapshot(), []))
    # A write puts its entries before its hard state, so a torn write may have left only its entries.
    has_next_entries = actual[0] == expected[0][0] and actual[1:] == expected[-1][1:]
    assert actual in expected or has_next_entries, (folder, write_count)


@pytest.mark.parametrize("operation", ["write", "sync", "rename"])
def test_process_killed_at_any_operation_keeps_the_acknowledged_state(operation: str, tmp_path: Path) -> None:
    """Each case is a separate process; all of them run at the same time."""
    reference = LogStore(tmp_path / "reference")
    reference.open()
    acknowledged: list[PersistedState] = []
    save_all(reference, acknowledged)
    processes = {}
    for number in range(1, 12 if operation != "rename" else 4):
        for moment in ("before", "middle", "after"):
            folder = tmp_path / f"{number}{moment}"
            processes[folder] = start_killed_process(folder, f"kill {operation} {moment} {number}")
    killed_count = 0
    for folder, process in processes.items():
        output, _ = process.communicate(timeout=LONG_S)
        killed_count += process.returncode == -9
        assert_acknowledged_state(folder, len(output.split()), acknowledged)
    assert killed_count >= 6, killed_count
