"""A client that sends small or unsound requests at full speed takes neither time nor memory from others."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
import threading
import time
from collections.abc import Callable
from functools import partial

import pytest

from tests.process_faults.crowd import LimitedSidecar, connect, in_background, polite_client, request_head
from tests.sockets import Upstream

FLOOD_S = 3.0
HEAD = "Host: backend.local\r\nReq-Deadline: 1.0\r\n"


def readiness(number: int) -> bytes:
    """Return requests that the sidecar answers itself."""
    return b"GET /ready HTTP/1.1\r\n\r\n" * 100


def small_requests(number: int) -> bytes:
    """Return a valid request with an id, a tenant and a key of its own."""
    return (
        f"GET /read/{number} HTTP/1.1\r\n{HEAD}Req-Id: f-{number}\r\nReq-Owner: o-{number}\r\n\r\n".encode()
    )


def keyed_requests(number: int) -> bytes:
    """Return a valid request with an idempotency key of its own."""
    return (
        f"POST /mark/{number} HTTP/1.1\r\n{HEAD}Req-Id: f-{number}\r\nIdempotency-Key: k-{number}\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


def unknown_names(number: int) -> bytes:
    """Return an unsound request with a class, an id and headers of its own."""
    return f"GET /class-{number}/1 HTTP/1.1\r\n{HEAD}Req-Id: f-{number}\r\nX-{number}: 1\r\n\r\n".encode()


def short_chunks(number: int) -> bytes:
    """Return pieces of a body in chunks of one byte."""
    if number == 0:
        return request_head("POST", "/pay/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return b"1\r\nx\r\n" * 100


def chunk_extension(number: int) -> bytes:
    """Return pieces of a chunk extension without end."""
    if number == 0:
        head = request_head("POST", "/pay/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        return head + b"1;a="
    return b"x" * 1000


def long_trailer(number: int) -> bytes:
    """Return pieces of a trailer without end."""
    if number == 0:
        head = request_head("POST", "/pay/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        return head + b"1\r\nx\r\n0\r\na: "
    return b"x" * 1000


def blank_lines(number: int) -> bytes:
    """Return line breaks before a request."""
    return b"\r\n" * 500


def not_http(number: int) -> bytes:
    """Return bytes that are no HTTP."""
    return os.urandom(500)


FLOODS: list[Callable[[int], bytes]] = [
    readiness,
    small_requests,
    keyed_requests,
    unknown_names,
    short_chunks,
    chunk_extension,
    long_trailer,
    blank_lines,
    not_http,
]


def flood(
    address: tuple[str, int], make: Callable[[int], bytes], is_reading: bool, is_over: threading.Event
) -> None:
    """Send at full speed on one connection, and on the next one once it has ended."""
    while not is_over.is_set():
        with contextlib.suppress(OSError), contextlib.closing(connect(address)) as connection:
            flood_connection(connection, make, is_reading, is_over)


def flood_connection(
    connection: socket.socket, make: Callable[[int], bytes], is_reading: bool, is_over: threading.Event
) -> None:
    """Send at full speed until the connection ends."""
    unsent = b""
    numbers = itertools.count()
    while not is_over.is_set():
        while len(unsent) < 64_000:
            unsent += make(next(numbers))
        try:
            unsent = unsent[connection.send(unsent) :]
        except BlockingIOError:
            time.sleep(0.001)
        if is_reading:
            with contextlib.suppress(BlockingIOError):
                if not connection.recv(1 << 20):
                    return


def flooding_client(
    sidecar: LimitedSidecar, make: Callable[[int], bytes], is_reading: bool
) -> contextlib.AbstractContextManager[None]:
    """Run a client that floods the sidecar."""
    return in_background(partial(flood, sidecar.address, make, is_reading))


@pytest.mark.parametrize("is_reading", [True, False], ids=["reading", "not reading"])
@pytest.mark.parametrize("make", FLOODS)
def test_one_client_at_full_speed_delays_no_other_client(
    make: Callable[[int], bytes], is_reading: bool
) -> None:
    with Upstream() as upstream, LimitedSidecar([upstream]) as sidecar:
        with flooding_client(sidecar, make, is_reading), polite_client(sidecar) as requests:
            time.sleep(FLOOD_S)
        sidecar.assert_within_limits()
        print(f"peak {sidecar.peak_kb()} kB, slowest {max(request.took_s for request in requests):.2f} s")
        assert all(request.was_answered_in_time() for request in requests), requests
        # A client that waits for each answer is served all the time.
        assert len(requests) >= FLOOD_S / (0.05 + 0.5)
