"""A sidecar process with an admin server, and the resources that two processes of one sidecar share."""

from __future__ import annotations

import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from sidecar_proxy.testbed import loopback
from tests.sockets import LONG_S, Discovery, Sidecar, Upstream

Address = tuple[str, int]
ADMIN_SUBNET = 253


def free_address() -> Address:
    """Return a loopback address with a free port, as the admin address has to name a port."""
    return loopback.free_address(loopback.own_host(ADMIN_SUBNET, 0))


class AdminSidecar(Sidecar):
    """A sidecar process with an admin server; processes with the same folder belong to one sidecar."""

    def __init__(
        self, upstreams: list[Upstream], folder: str, discovery: Discovery | None = None, **options: Any
    ) -> None:
        self.admin_address = free_address()
        host, port = self.admin_address
        env = {"PROXY_MGMT": f"{host}:{port}", "TMPDIR": folder}
        super().__init__(upstreams, discovery, env=env | options.pop("env", {}), **options)

    def call(self, line: str) -> str:
        """Send one command and return its answer."""
        return send_command(self.admin_address, line)

    def metrics(self) -> dict[str, int]:
        """Return the metrics by their exported names."""
        *lines, end = self.call("METRICS").split("\n")
        assert end == "end"
        values = {}
        for line in lines:
            name, _, value = line.partition(":")
            values[name] = int(value.partition("|")[0])
        return values


def send_command(address: Address, line: str) -> str:
    """Send one command to an admin server and return its answer without the last line break."""
    with socket.create_connection(address, timeout=LONG_S) as connection:
        connection.sendall(line.encode() + b"\n")
        answer = b""
        while data := connection.recv(65536):
            answer += data
    return answer.decode().rstrip("\n")


@contextmanager
def shared_by_processes() -> Iterator[tuple[socket.socket, str]]:
    """Yield the clients' listening socket and the folder that all processes of a sidecar share."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener, folder
