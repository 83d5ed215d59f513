"""The store: killed at each of its operations, cut and damaged at each byte, copied, full."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from sidecar_proxy.consensus.disk import RealDisk
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import Entry, HardState, Snapshot
from sidecar_proxy.consensus.storage import Copied, Damaged, Store, read, records
from tests.sockets import LONG_S, ROOT

# what a voter of some life saves, one Write after the other
LIFE: list[tuple[HardState | None, int, Snapshot | None, list[Entry]]] = [
    (HardState(1, "a"), 0, None, []),
    (None, 0, None, [Entry(1, 1, b"one"), Entry(1, 2, b"two\0\0")]),
    (None, 2, None, [Entry(1, 3, b"three")]),
    (HardState(2, ""), 2, None, [Entry(2, 3, b"another third"), Entry(2, 4, voters=("a", "b"))]),
    (None, 4, None, []),
    (None, 4, Snapshot(4, 2, ("a", "b"), b"all"), [Entry(2, 5, b"five")]),
    (HardState(3, "b"), 4, None, [Entry(3, 6, b"six")]),
]


def known(at: int) -> HardState:
    """The hard state that holds with that Write."""
    return [one[0] for one in LIFE[: at + 1] if one[0] is not None][-1]


def live(store: Store, promised: list[PersistedState] | None = None) -> None:
    """All of LIFE; what holds after each is noted, and told on standard output once it is promised."""
    for at, one in enumerate(LIFE):
        store.save(*one, known(at))
        if promised is not None:
            promised.append(Store(store.folder).open())
        print(at, flush=True)


def said(kept: PersistedState) -> tuple[HardState, Snapshot, list[Entry]]:
    return kept.hard, kept.log.snapshot, kept.log.entries


@pytest.fixture
def lived(tmp_path: Path) -> tuple[Path, list[PersistedState]]:
    store, promised = Store(tmp_path / "a"), list[PersistedState]()
    store.open()
    live(store, promised)
    store.close()
    return tmp_path / "a", promised


def test_all_that_was_saved_is_there_again(lived: tuple[Path, list[PersistedState]]) -> None:
    kept = Store(lived[0]).open()
    assert kept.hard == HardState(3, "b") and kept.commit == 4 and not kept.torn
    assert kept.log.snapshot.data == b"all" and [one.data for one in kept.log.entries] == [b"five", b"six"]


def test_cut_anywhere_it_loses_nothing_that_stood_before_the_cut(tmp_path: Path) -> None:
    store = Store(tmp_path / "a")
    store.open()
    promised = {}
    for at, one in enumerate(LIFE[:5]):
        store.save(*one, known(at))
        promised[store.size] = said(Store(store.folder).open())
    whole = store.path.read_bytes()
    ends = {end for _, end, _ in records(whole)}
    for size in range(min(promised), len(whole) + 1):
        for tail in (b"", bytes(7)):  # a file may have grown before its bytes came
            store.path.write_bytes(whole[:size] + tail)
            kept = Store(store.folder).open()
            good = max(end for end in ends if end <= size)
            assert store.path.stat().st_size == good
            assert said(kept) == said(read(whole[:good], store.path)[0])
            assert good not in promised or said(kept) == promised[good]


def test_a_bit_that_has_turned_anywhere_is_damage(lived: tuple[Path, list[PersistedState]]) -> None:
    path = lived[0] / "log"
    whole = path.read_bytes()
    for at in range(len(whole)):
        for bit in (1, 16, 128):
            path.write_bytes(whole[:at] + bytes([whole[at] ^ bit]) + whole[at + 1 :])
            with pytest.raises(Damaged):
                Store(lived[0]).open()
    store = Store(lived[0])
    kept = store.begin_again()
    assert kept.incarnation != lived[1][0].incarnation
    assert kept.hard == HardState() and not kept.log.last_index
    assert (lived[0] / "log.damaged").exists() and Store(lived[0]).open().incarnation == kept.incarnation


def test_a_copy_of_an_earlier_time_is_known_for_one(
    lived: tuple[Path, list[PersistedState]], tmp_path: Path
) -> None:
    shutil.copytree(lived[0], tmp_path / "older")
    with pytest.raises(Copied):
        Store(tmp_path / "older").open()
    shutil.rmtree(lived[0])
    shutil.copytree(tmp_path / "older", lived[0])
    with pytest.raises(Copied):
        Store(lived[0]).open()


class Full(RealDisk):
    """There is room for so many bytes more."""

    def __init__(self, room: int) -> None:
        self.room = room

    def write(self, file: int, data: bytes) -> None:
        super().write(file, data[: self.room])
        if len(data) > self.room:
            raise OSError(28, "no space")
        self.room -= len(data)


@pytest.mark.parametrize("room", [0, 1, 20, 45])
def test_a_full_disk_costs_nothing_and_the_same_can_be_saved_later(room: int, tmp_path: Path) -> None:
    disk = Full(10_000)
    store = Store(tmp_path, disk)
    store.open()
    for at, one in enumerate(LIFE):
        before = said(read_only(tmp_path))
        disk.room = room
        try:
            store.save(*one, known(at))
        except OSError:
            # entries may be there that are not promised
            assert said(read_only(tmp_path))[:2] == before[:2]
            disk.room = 10_000
            store.save(*one, known(at))
    kept = Store(tmp_path).open()
    assert [one.data for one in kept.log.entries] == [b"five", b"six"] and kept.hard == HardState(3, "b")


def read_only(folder: Path) -> PersistedState:
    """What a start would find; the file stays as it is."""
    return read((folder / "log").read_bytes(), folder / "log")[0]


@pytest.mark.parametrize("operation", ["write", "sync", "rename"])
def test_killed_at_each_operation_what_was_promised_is_there(operation: str, tmp_path: Path) -> None:
    """By SIGKILL, in a process of its own; the runs go side by side."""
    program = (
        "import sys; from pathlib import Path; from tests.consensus.test_storage import live, Store;"
        "from sidecar_proxy.consensus.disk import BrokenDisk;"
        "store = Store(Path(sys.argv[1]), BrokenDisk(Path(sys.argv[2]))); store.open(); live(store)"
    )
    reference = Store(tmp_path / "whole")
    reference.open()
    promised: list[PersistedState] = []
    live(reference, promised)
    runs = []
    for number in range(1, 12 if operation != "rename" else 4):
        for when in ("before", "middle", "after"):
            folder, told = tmp_path / f"{number}{when}", tmp_path / f"{number}{when}.disk"
            told.write_text(f"kill {operation} {when} {number}")
            line = [sys.executable, "-c", program, str(folder), str(told)]
            process = subprocess.Popen(line, cwd=ROOT, stdout=subprocess.PIPE, text=True)
            runs.append((folder, process))
    killed = 0
    for folder, process in runs:
        out, _ = process.communicate(timeout=LONG_S)
        killed += process.returncode == -9
        done = len(out.split())
        kept = Store(folder).open()
        now, later = said(kept), [said(one) for one in promised[max(0, done - 1) : done + 1]]
        if done == 0:
            later.append((HardState(), Snapshot(), []))
        # what was not promised may be there as well, or some of its records: the hard state comes last
        assert now in later or (now[0] == later[0][0] and now[1:] == later[-1][1:]), (folder, done)
    assert killed >= 6, killed
