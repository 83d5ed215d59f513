"""Upstreams and a discovery service on loopback sockets, clients, and a sidecar process, all run by tests."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from tests.options import OPTIONS

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
LONG_S = 20.0  # a time limit for a very busy machine; usually nothing takes this long


@dataclass
class Message:
    """A request or response as it was received."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


def read_message(file: Any) -> Message | None:
    """Read a message whose body has a Content-Length, or that has no body; None at the end of input."""
    start = file.readline()
    if not start.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = file.read(size)
    return Message(start.decode().strip(), headers, body) if len(body) == size else None


def eventually(condition: Callable[[], Any]) -> Any:
    """Wait until the condition returns a true value, for LONG_S at most, and return the value."""
    deadline = time.monotonic() + LONG_S
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)
    return value


def answer(body: bytes = b"", status: str = "200 OK", headers: str = "") -> bytes:
    """Return a response with a Content-Length."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class ThreadedServer:
    """A server with a thread that accepts, and one per connection."""

    def __init__(self) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.open_sockets: list[socket.socket] = []
        self.accepted = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                client, _ = self.socket.accept()
            except OSError:
                return
            self.accepted += 1
            self.open_sockets.append(client)
            threading.Thread(target=self.serve_and_close, args=(client,), daemon=True).start()

    def serve_and_close(self, client: socket.socket) -> None:
        try:
            self.serve(client)
        except OSError:
            pass  # the sidecar or the test has closed the connection
        finally:
            client.close()

    def serve(self, client: socket.socket) -> None:
        raise NotImplementedError

    def close_connections(self) -> None:
        """Shut down all connections that have been accepted."""
        for client in self.open_sockets[:]:
            with contextlib.suppress(OSError):
                client.shutdown(socket.SHUT_RDWR)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)  # otherwise the thread in accept() keeps the port open
        self.socket.close()
        self.close_connections()


Script = Callable[[Message, socket.socket], bytes | None]


class Upstream(ThreadedServer):
    """Answers each request with the bytes that `script` returns; None ends the connection."""

    names = iter(range(1_000_000))

    def __init__(self, body: bytes = b"ok", script: Script | None = None) -> None:
        self.script = script or (lambda request, client: answer(body))
        self.requests: list[Message] = []
        self.name = f"s-{next(self.names)}"
        super().__init__()

    def serve(self, client: socket.socket) -> None:
        with client.makefile("rb") as file:
            while (request := read_message(file)) is not None:
                self.requests.append(request)
                data = self.script(request, client)
                if data is None:
                    return
                client.sendall(data)

    def bodies(self) -> list[bytes]:
        """Return the bodies of all requests so far."""
        return [request.body for request in self.requests]

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry of the endpoint list, with these values changed."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        } | changes


class Discovery(ThreadedServer):
    """Answers with `reply` if that is set, otherwise with the endpoint list, kept open as a watch."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts, self.seq = hosts, 1
        self.reply: bytes | None = None
        self.calls: list[str] = []
        self.watches: list[socket.socket] = []
        super().__init__()

    def serve(self, client: socket.socket) -> None:
        with client.makefile("rb") as file:
            while (request := read_message(file)) is not None:
                self.calls.append(request.start)
                if self.reply is not None:
                    client.sendall(self.reply)
                    continue
                client.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.send_chunk(client, self.full_list())
                self.watches.append(client)

    def full_list(self) -> bytes:
        """Return the complete endpoint list."""
        return json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode() + b"\n"

    def send_chunk(self, client: socket.socket, data: bytes) -> None:
        """Send data as one chunk."""
        client.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def send_changes(self, *changed: dict[str, Any], pieces: int = 1) -> None:
        """Send changed entries on all watches, in so many chunks."""
        self.seq += 1
        data = json.dumps({"seq": self.seq, "whole": False, "hosts": changed}).encode() + b"\n"
        size = -(-len(data) // pieces)
        for client in eventually(lambda: self.watches):
            for at in range(0, len(data), size):
                self.send_chunk(client, data[at : at + size])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of tests/options.py as the JSON of a configuration."""
    pairs = dict(line.split("=", 1) for line in OPTIONS.splitlines())
    pairs |= {"granularity": "1000", "accounts.count": "0", "areas": "a,b"}
    for name, value in changes.items():
        name = name.replace("_", "-")
        pairs[f"bounds.{name}" if f"bounds.{name}" in pairs else name] = value
    tree: dict[str, Any] = {}
    for path, value in pairs.items():
        if path.endswith(".count"):
            continue
        *parents, last = path.split(".")
        node = tree
        for name in parents:
            node = node.setdefault(name, {})
        node[last] = value
    tree["request-classes"] = list(tree["request-classes"].values())
    tree.pop("accounts", None)
    return tree


class Client:
    """A connection from the application."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=LONG_S)
        self.file = self.socket.makefile("rb")

    def send(self, method: str, target: str, body: bytes = b"", **headers: str) -> None:
        """Send a request with the usual headers; an empty value leaves a header out."""
        lines = {"Host": "backend.local", "Req-Id": os.urandom(8).hex(), "Req-Deadline": "5.0"}
        if body or method == "POST":
            lines["Content-Length"] = str(len(body))
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value)
        self.socket.sendall(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)

    def read(self) -> Message | None:
        """Read the next response; None if the sidecar has closed the connection."""
        return read_message(self.file)

    def request(self, method: str, target: str, body: bytes = b"", **headers: str) -> Message:
        """Send a request and read the response to it."""
        self.send(method, target, body, **headers)
        response = self.read()
        assert response is not None
        return response

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


class Sidecar:
    """A sidecar process, started with the deploy file's `run` command and ready."""

    ready_status = 200  # expected answer to GET /ready after the start

    def __init__(
        self,
        upstreams: list[Upstream],
        discovery: Discovery | None = None,
        before: str = "",
        known: list[dict[str, Any]] | None = None,
        env: dict[str, str] | None = None,
        listener: socket.socket | None = None,
        **options: Any,
    ) -> None:
        entries = [upstream.entry() for upstream in upstreams] if known is None else known
        self.discovery = discovery or Discovery(entries)
        self.owns_discovery = discovery is None
        self.before = before
        self.command = str(DEPLOY["run"])
        self.env = env or {}
        self.listener = listener  # the platform's listening socket, which every process inherits
        self.config = {
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            # long enough for responses that a test withholds
            "settings": settings(**{"request-classes.1.deadline": "20000000"} | options),
            "known": {"seq": 1, "whole": True, "hosts": entries},
        }
        self.log_lines: list[str] = []

    def __enter__(self) -> Self:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        self.path.write_text(json.dumps(self.config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
        env |= {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_CONFIG": str(self.path),
            "PROXY_DISCOVERY": self.discovery.address,
        } | self.env
        inherited = () if self.listener is None else (self.listener.fileno(),)
        if self.listener is not None:
            env["PROXY_ACCEPT_FD"] = str(self.listener.fileno())
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.before + self.command],
            cwd=ROOT,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=inherited,
        )
        threading.Thread(target=self.read_log, daemon=True).start()
        eventually(lambda: self.startup_lines() or self.process.poll() is not None)
        assert self.startup_lines(), f"the sidecar ended before it listened: {self.log_lines}"
        line = self.startup_lines()[0]
        host, _, port = line.split()[-1].partition(":")
        self.address = (host, int(port))
        assert self.request("GET", "/ready").status == self.ready_status
        return self

    def startup_lines(self) -> list[str]:
        """Return the log lines that name the address it listens on."""
        return [line for line in self.log_lines if " listens on " in line]

    def read_log(self) -> None:
        """Collect the log lines until the process ends."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log_lines.append(line.rstrip())

    def client(self) -> Client:
        """Open a connection."""
        return Client(self.address)

    def request(self, method: str, target: str, body: bytes = b"", **headers: str) -> Message:
        """Send a request on a connection of its own."""
        client = self.client()
        try:
            return client.request(method, target, body, **headers)
        finally:
            client.close()

    def reload(self, text: str) -> None:
        """Replace the configuration file and send SIGHUP."""
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(LONG_S)

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(LONG_S)
        if self.owns_discovery:
            self.discovery.__exit__()
        self.folder.cleanup()
        assert not [line for line in self.log_lines if "Traceback" in line], "\n".join(self.log_lines)
