"""Loopback addresses that no other process of the testbed uses."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from sidecar_proxy.testbed import loopback
from tests.sockets import LONG_S, ROOT

RESERVE = (
    "import sys; from sidecar_proxy.testbed import loopback; print(loopback.reserve_block(int(sys.argv[1])))"
)


# Guards against "address already in use" at the start of a sidecar, while another test run is under way.
def test_two_processes_with_the_same_preference_have_different_hosts() -> None:
    own = loopback.reserve_block(7)
    command = [sys.executable, "-c", RESERVE, str(own)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=LONG_S, check=True)
    assert int(completed.stdout) != own


def test_a_port_is_never_returned_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    first = loopback.free_address(loopback.own_host(252, 1))
    ports = iter([first, first, (first[0], first[1] + 1)])

    class Server:
        def __enter__(self) -> Server:
            return self

        def __exit__(self, *error: object) -> None:
            return None

        def getsockname(self) -> tuple[str, int]:
            return next(ports)

    monkeypatch.setattr(socket, "create_server", lambda address: Server())
    assert loopback.free_address(first[0]) == (first[0], first[1] + 1)


def test_no_free_block_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loopback, "BLOCKS", 1)
    monkeypatch.setattr(loopback, "FIRST_BLOCK", 240)  # not used by other tests
    loopback.reserve_block(0)
    with pytest.raises(loopback.NoFreeBlockError):
        loopback.reserve_block(0)
