"""Long answers that are written or read slowly are not cut off, and large requests are answered in time."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from sidecar_proxy.http1.kernel_buffers import READ_STALL_TIMEOUT_S
from tests.process_faults.crowd import ANSWER_SLACK_S, SMALL_KERNEL_BUFFER_BYTES, connect, request_head
from tests.process_faults.environment_faults import NO_FAULTS, EnvironmentFaults
from tests.sockets import LONG_S, Message, Sidecar, ThreadedServer, Upstream, read_message

PIECE = b"y" * 10_000
BUFFERS_UNKNOWN = EnvironmentFaults(refused_calls=("tiocoutq", "fionread", "socket_buffers"))
BUFFERS = pytest.mark.parametrize("faults", [NO_FAULTS, BUFFERS_UNKNOWN], ids=["", "buffers_unknown"])
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}


def slow_answer(framing: str, first_after_s: float, pieces: int, interval_s: float) -> Callable[..., bytes]:
    """Return a script that writes an answer in pieces."""

    def script(request: Message, client: socket.socket) -> bytes:
        time.sleep(first_after_s)
        head = HEADS[framing]
        client.sendall(head % (pieces * len(PIECE)) if b"%d" in head else head)
        for _ in range(pieces):
            client.sendall(b"%x\r\n%s\r\n" % (len(PIECE), PIECE) if framing == "chunked" else PIECE)
            time.sleep(interval_s)
        return b"0\r\n\r\n" if framing == "chunked" else b""

    return script


def read_answer(connection: socket.socket, framing: str) -> bytes:
    """Read an answer of this framing, and return what of its body has come."""
    connection.settimeout(LONG_S)
    with connection.makefile("rb") as file:
        head = b""
        while (line := file.readline()) not in (b"\r\n", b""):
            head += line
        assert head.startswith(b"HTTP/1.1 200 "), head
        if framing == "length":
            return file.read(int(head.lower().partition(b"content-length: ")[2].split()[0]))
        body = b""
        while size := int(file.readline() or b"0", 16):
            body += file.read(size)
            file.readline()
        return body


def test_long_answer_that_begins_shortly_before_the_deadline_is_not_cut_off() -> None:
    script = slow_answer("chunked", first_after_s=0.42, pieces=20, interval_s=0.03)
    with Upstream(script=script) as upstream, Sidecar([upstream]) as sidecar:
        connection = connect(sidecar.address)
        connection.sendall(request_head("POST", "/pay/1", deadline_s=0.5))
        assert len(read_answer(connection, "chunked")) == 20 * len(PIECE)
        connection.close()


@pytest.mark.parametrize("framing", HEADS)
def test_long_answer_that_is_written_slowly_is_not_cut_off_by_a_shutdown(framing: str) -> None:
    script = slow_answer(framing, first_after_s=0.0, pieces=70, interval_s=0.1)
    with Upstream(script=script) as upstream, Sidecar([upstream]) as sidecar:
        connection = connect(sidecar.address)
        connection.sendall(request_head("GET", "/read/1", deadline_s=1.0))
        assert select.select([connection], [], [], LONG_S)[0]
        sidecar.process.terminate()
        assert len(read_answer(connection, framing)) == 70 * len(PIECE)
        connection.close()
        assert sidecar.process.wait(LONG_S) == 0


@BUFFERS
@pytest.mark.parametrize("header", ["", "Connection: close\r\n"], ids=["kept", "closed"])
def test_long_answer_that_is_read_slowly_is_not_cut_off(header: str, faults: EnvironmentFaults) -> None:
    """A client that reads 64 kB a second, in bursts, of an answer that the kernels hold a large part of."""
    size, burst_s = 1_400_000, 1.0

    def script(request: Message, client: socket.socket) -> bytes:
        return HEADS["length"] % size + b"y" * size

    with Upstream(script=script) as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        connection = connect(sidecar.address, SMALL_KERNEL_BUFFER_BYTES)
        connection.settimeout(LONG_S)
        connection.sendall(request_head("GET", "/read/1", extra=header, deadline_s=1.0))
        received = 0
        next_burst_s = time.monotonic()
        while received < size and (data := connection.recv(min(64_000, size - received))):
            received += len(data)
            if received >= 64_000 * (time.monotonic() - next_burst_s + burst_s):
                time.sleep(burst_s)
        connection.close()
        assert received >= size


class SlowReader(ThreadedServer):
    """An upstream that reads a request slowly, and answers once it has all of it."""

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        super().__init__()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)

    def serve(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while client.recv(self.bytes_per_s // 20):
                time.sleep(0.05)


@contextlib.contextmanager
def sidecar_before(reader: SlowReader, faults: EnvironmentFaults) -> Iterator[Sidecar]:
    """Run a sidecar with little memory and this upstream."""
    with Upstream() as named:
        sidecar = Sidecar([named], env=faults.variables(), known=[named.entry(dial=reader.address)])
        sidecar.config["limits"] = {"sockets": 1024, "memory_mb": 32}
        with sidecar:
            yield sidecar


@BUFFERS
@pytest.mark.parametrize("framing", HEADS)
def test_large_request_that_is_read_slowly_is_answered_in_time(
    framing: str, faults: EnvironmentFaults
) -> None:
    deadline_s, size = 1.0, 6_000_000  # more than the kernels take on the way to the upstream
    body = b"x" * size
    head = request_head("POST", "/pay/1", size, deadline_s=deadline_s)
    if framing == "chunked":
        head = head.replace(b"Content-Length: %d" % size, b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (size, body)
    with SlowReader(100_000) as reader, sidecar_before(reader, faults) as sidecar:
        connection = connect(sidecar.address)
        connection.settimeout(LONG_S)
        written_s = []

        def write() -> None:
            with contextlib.suppress(OSError):
                connection.sendall(head + body)
            written_s.append(time.monotonic())

        thread = threading.Thread(target=write)
        thread.start()
        with connection.makefile("rb") as file:
            response = read_message(file)
        answered_s = time.monotonic()
        assert response is not None
        connection.shutdown(socket.SHUT_RDWR)
        thread.join(LONG_S)
        connection.close()
        print(f"{response.start} {answered_s - written_s[0]:.2f} s after the last byte was written")
        assert answered_s - written_s[0] <= deadline_s + ANSWER_SLACK_S


def test_client_whose_unread_output_is_unknown_is_not_taken_for_one_that_has_stopped_reading() -> None:
    """A client that rests for longer than one whose unread output is known may rest."""
    size = 6_000_000

    def script(request: Message, client: socket.socket) -> bytes:
        return HEADS["length"] % size + b"y" * size

    faults = BUFFERS_UNKNOWN.variables()
    with Upstream(script=script) as upstream, Sidecar([upstream], env=faults) as sidecar:
        connection = connect(sidecar.address, SMALL_KERNEL_BUFFER_BYTES)
        connection.sendall(request_head("GET", "/read/1", deadline_s=1.0))
        time.sleep(READ_STALL_TIMEOUT_S + 2.0)
        assert len(read_answer(connection, "length")) == size
        connection.close()
