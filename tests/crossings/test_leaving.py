"""A client leaves while its request waits: nothing is sent on for it. docs/design/crossings.md.

Each way to wait, with each way to leave. The upstream counts what arrives after; a request of another client,
which waits its turn behind all of them, tells that their turn has come.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.crossings.stand_ins import Gate, Late, narrow
from tests.sockets import LONG_S, Client, Sidecar, Upstream, answer, eventually


def closes(client: Client) -> None:
    client.close()


def resets(client: Client) -> None:
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def half_closes(client: Client) -> None:
    client.socket.shutdown(socket.SHUT_WR)


LEAVES = pytest.mark.parametrize("leaves", [closes, resets, half_closes])
Leaves = Callable[[Client], None]


BEYOND = 3_000_000  # bytes; more than the kernels of a stand-in's connection hold


def seen(sidecar: Sidecar) -> None:
    """It has had a turn since, and has read what had come."""
    eventually(lambda: sidecar.request("GET", "/nowhere").status == 404)


# A request may wait in the buffer for half of its aim; no time-out is to end anything here.
AIM: dict[str, Any] = {"request-classes.1.aim": "16000000", "request-classes.1.deadline": "90000000"}


def answered(client: Client) -> bool:
    return bool(select.select([client.socket], [], [], 0)[0])


@pytest.fixture(scope="module")
def slots() -> int:
    """How many requests go out at once to one upstream that answers none. One more waits in the buffer."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream], instances="1", **AIM) as sidecar:
        clients = [sidecar.client() for _ in range(30)]
        for client in clients:
            client.send("POST", "/pay/1", b"held", Req_Deadline="15.0")
        eventually(lambda: len(upstream.requests) + sum(map(answered, clients)) == len(clients) - 1)
        for client in clients:
            client.close()
        return len(upstream.requests)


@LEAVES
@pytest.mark.parametrize("count", [1, 16, 200])
def test_in_the_buffer(leaves: Leaves, count: int, slots: int) -> None:
    """All slots are taken. One waits in the buffer; the others are refused, and leave as well."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream], instances="1", **AIM) as sidecar:
        held = [sidecar.client() for _ in range(slots)]
        for client in held:
            client.send("POST", "/pay/1", b"held", Req_Deadline="15.0")
        eventually(lambda: len(upstream.requests) == slots)
        clients = [sidecar.client() for _ in range(count)]
        for client in clients:
            client.send("POST", "/pay/1", b"left", Req_Deadline="15.0")
        seen(sidecar)
        for client in clients + held:
            leaves(client)
        seen(sidecar)
        gate.opened.set()
        assert sidecar.request("POST", "/pay/1", b"last", Req_Deadline="15.0").status == 200
        assert sidecar.stop() == 0
        assert len(upstream.requests) == slots + 1


@LEAVES
def test_while_its_connection_to_the_upstream_comes_up(leaves: Leaves) -> None:
    """The settings forbid cancel."""
    with Late() as upstream, Sidecar([upstream], cancel="false", dial_timeout="15000000", **AIM) as sidecar:
        client = sidecar.client()
        client.send("POST", "/pay/1", b"left", Req_Deadline="15.0")
        seen(sidecar)
        leaves(client)
        seen(sidecar)
        upstream.opened.set()
        assert sidecar.request("POST", "/pay/1", b"last", Req_Deadline="15.0").status == 200
        assert upstream.bodies() == [b"last"]


@LEAVES
def test_while_what_it_sent_is_half_written(leaves: Leaves) -> None:
    """The upstream does not read on: the kernel has a part of the request, and the rest would go later."""
    with narrow() as listener:
        listener.settimeout(LONG_S)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with Upstream() as named, Sidecar([named], known=[named.entry(dial=address)], **AIM) as sidecar:
            client = sidecar.client()
            body = b"x" * BEYOND
            client.send("POST", "/pay/1", body, Req_Deadline="15.0")
            taken, _ = listener.accept()
            assert taken.recv(1) == b"P"
            seen(sidecar)
            leaves(client)
            seen(sidecar)
            taken.settimeout(LONG_S)
            size = 1
            with contextlib.suppress(ConnectionResetError):
                while data := taken.recv(1 << 20):
                    size += len(data)
            assert size < len(body)  # its last byte never came
            taken.close()


def descriptor(sidecar: Sidecar, client: Client) -> str:
    """The sidecar's end of this connection, as its descriptors name it."""
    port = client.socket.getsockname()[1]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if [int(field.split(":")[1], 16) for field in fields[1:3]] == [sidecar.address[1], port]:
            return f"socket:[{fields[9]}]"
    raise AssertionError("no such connection")


def noticed(sidecar: Sidecar, end: str) -> bool:
    """The sidecar has closed it."""
    names: list[str] = []
    for path in Path(f"/proc/{sidecar.process.pid}/fd").iterdir():
        with contextlib.suppress(OSError):  # closed meanwhile
            names.append(str(path.readlink()))
    return end not in names


@LEAVES
@pytest.mark.parametrize("count", [16, 40])
def test_behind_a_crowd_of_its_own(leaves: Leaves, count: int, slots: int) -> None:
    """Sixteen requests wait on its connection, so it is not read from: nothing told that it had left."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream], instances="1", **AIM) as sidecar:
        client = sidecar.client()
        for _ in range(count):
            client.send("POST", "/pay/1", b"left", Req_Deadline="90.0")
        eventually(lambda: len(upstream.requests) == slots)
        seen(sidecar)
        end = descriptor(sidecar, client)
        assert not noticed(sidecar, end)
        leaves(client)
        eventually(lambda: noticed(sidecar, end))
        gate.opened.set()
        assert sidecar.request("POST", "/pay/1", b"last", Req_Deadline="15.0").status == 200
        assert len(upstream.requests) == slots + 1


@LEAVES
def test_behind_a_large_answer_that_it_does_not_read(leaves: Leaves, slots: int) -> None:
    """What is written to it goes nowhere; a request behind that waits in the buffer, by itself."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream], instances="1", **AIM) as sidecar:
        upstream.script = lambda request, client: (
            answer(b"y" * BEYOND) if request.body == b"large" else gate.script(request, client)
        )
        client = sidecar.client()
        client.send("POST", "/pay/1", b"large", Req_Deadline="15.0")
        eventually(lambda: b"large" in upstream.bodies())
        seen(sidecar)
        held = [sidecar.client() for _ in range(slots)]
        for one in held:
            one.send("POST", "/pay/1", b"held", Req_Deadline="15.0")
        eventually(lambda: upstream.bodies().count(b"held") == slots)
        for _ in range(3):
            client.send("POST", "/pay/1", b"left", Req_Deadline="15.0")
        seen(sidecar)
        for one in [client, *held]:
            leaves(one)
        seen(sidecar)
        gate.opened.set()
        assert sidecar.request("POST", "/pay/1", b"last", Req_Deadline="15.0").status == 200
        assert len(upstream.requests) == slots + 2


@LEAVES
def test_in_the_middle_of_its_upload(leaves: Leaves) -> None:
    """All that has come of it is passed on, the upstream reads on late, and its end never comes."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream], instances="1", **AIM) as sidecar:
        gate.opened.set()
        client = sidecar.client()
        head = "POST /pay/1 HTTP/1.1\r\nHost: b\r\nReq-Id: up\r\nReq-Deadline: 15.0\r\n"
        client.socket.sendall(f"{head}Content-Length: {8 * BEYOND}\r\n\r\n".encode() + b"z" * BEYOND)
        seen(sidecar)
        end = descriptor(sidecar, client)
        assert not noticed(sidecar, end)
        leaves(client)
        eventually(lambda: noticed(sidecar, end))
        assert sidecar.request("POST", "/pay/1", b"last", Req_Deadline="15.0").status == 200
        assert upstream.bodies() == [b"last"]
