"""A sidecar with a door for operators."""

from __future__ import annotations

import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from tests.sockets import LONG_S, Discovery, Sidecar, Upstream


def free_port() -> int:
    """A port that nobody listens on just now; the sidecar has to be told one."""
    with socket.create_server(("127.0.0.1", 0)) as one:
        return int(one.getsockname()[1])


class Doored(Sidecar):
    """`call` says one line at its door."""

    def __init__(
        self, upstreams: list[Upstream], folder: str, discovery: Discovery | None = None, **more: Any
    ) -> None:
        self.door = ("127.0.0.1", free_port())
        env = {"PROXY_MGMT": f"127.0.0.1:{self.door[1]}", "TMPDIR": folder} | more.pop("env", {})
        super().__init__(upstreams, discovery, env=env, **more)

    def call(self, line: str) -> str:
        return call(self.door, line)

    def figures(self) -> dict[str, int]:
        *lines, end = self.call("METRICS").split("\n")
        assert end == "end"
        found = {}
        for line in lines:
            name, _, value = line.partition(":")
            found[name] = int(value.partition("|")[0])
        return found


def call(door: tuple[str, int], line: str) -> str:
    with socket.create_connection(door, timeout=LONG_S) as one:
        one.sendall(line.encode() + b"\n")
        text = b""
        while data := one.recv(65536):
            text += data
    return text.decode().rstrip("\n")


@contextmanager
def doored(*upstreams: Upstream, **more: Any) -> Iterator[Doored]:
    with tempfile.TemporaryDirectory() as folder, Doored(list(upstreams), folder, **more) as sidecar:
        yield sidecar
