"""The connection layer against itself and against peers that write frames by hand."""

from __future__ import annotations

import struct
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_proxy.http2.connection import (
    CANCEL,
    ENHANCE_YOUR_CALM,
    Connection,
    ConnectionEnded,
    DataReceived,
    Event,
    GoawayReceived,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
    Writable,
)
from sidecar_proxy.http2.guard import Bucket, Rates
from tests.http2.frames import (
    CONTINUATION,
    DATA,
    END_HEADERS,
    END_STREAM,
    GOAWAY,
    HEADERS,
    PING,
    PREFACE,
    RST,
    SETTINGS,
    WINDOW,
    frame,
    frames,
)

S = 1_000_000
REQUEST = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/komiks.Purchase/Buy"),
    (b":authority", b"backend"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]
ANSWER = [(b":status", b"200"), (b"content-type", b"application/grpc")]
TRAILERS = [(b"grpc-status", b"0")]
# the same request by hand: static table entries and literals without indexing
RAW_REQUEST = b"\x83\x86\x04\x01/\x01\x01a"


def move(source: Connection, target: Connection, now_us: int = 0) -> list[Event]:
    return target.receive(source.outgoing(), now_us)


def pair(limits: Limits | None = None) -> tuple[Connection, Connection]:
    client, server = Connection(True, limits or Limits(), 0), Connection(False, limits or Limits(), 0)
    for _ in range(2):
        move(client, server)
        move(server, client)
    return client, server


def raw_server(limits: Limits | None = None) -> Connection:
    """A server whose client is written by hand."""
    server = Connection(False, limits or Limits(), 0)
    server.outgoing()
    assert server.receive(PREFACE + frame(SETTINGS, 0, 0, b""), 0) == []
    server.outgoing()
    return server


def ended(events: list[Event]) -> ConnectionEnded | None:
    return next((event for event in events if isinstance(event, ConnectionEnded)), None)


def test_a_call_and_its_trailers() -> None:
    client, server = pair()
    stream = client.open_stream(REQUEST)
    assert stream == 1
    client.send_data(stream, b"hello", ended=True)
    assert move(client, server) == [HeadersReceived(1, REQUEST, False), DataReceived(1, b"hello", True)]
    server.send_headers(1, ANSWER)
    server.send_data(1, b"there")
    server.send_trailers(1, TRAILERS)
    assert move(server, client) == [
        HeadersReceived(1, ANSWER, False),
        DataReceived(1, b"there", False),
        TrailersReceived(1, TRAILERS),
    ]
    move(client, server)
    assert not client.open and not server.open


def test_byte_by_byte_it_is_the_same() -> None:
    client, server = pair()
    client.open_stream(REQUEST)
    client.send_data(1, b"hello", ended=True)
    found: list[Event] = []
    for byte in client.outgoing():
        found += server.receive(bytes([byte]), 0)
    headers, *data = found
    assert headers == HeadersReceived(1, REQUEST, False)
    assert b"".join(one.data for one in data if isinstance(one, DataReceived)) == b"hello"


def test_a_peer_that_never_reads_holds_a_bounded_amount() -> None:
    limits = Limits(unsent=100_000)
    client, server = pair(limits)
    client.open_stream(REQUEST, ended=True)
    move(client, server)
    server.send_headers(1, ANSWER)
    with pytest.raises(StreamError, match="wait for the window of stream 1"):
        for _ in range(1000):
            server.send_data(1, b"x" * 1000)
            move(server, client)  # read off the wire, but never dealt with
    assert 0 < server.unsent(1) <= limits.unsent


def test_what_is_not_dealt_with_keeps_the_window_shut_and_then_opens_it() -> None:
    client, server = pair()
    client.open_stream(REQUEST, ended=True)
    move(client, server)
    server.send_headers(1, ANSWER)
    server.send_data(1, b"x" * 200_000)
    got = sum(len(one.data) for one in move(server, client) if isinstance(one, DataReceived))
    assert got == Limits().window and move(server, client) == []
    client.consumed(1, got)
    assert Writable(1) in move(client, server)
    assert any(isinstance(one, DataReceived) for one in move(server, client))


def test_goaway_amid_fifty_streams_says_which_have_never_run_and_the_others_finish() -> None:
    client, server = pair()
    streams = [client.open_stream(REQUEST, ended=True) for _ in range(50)]
    move(client, server)
    server.core.send_goaway(0, last_stream_id=41)
    told = move(server, client)
    assert GoawayReceived(41, 0) in told
    assert client.open_stream(REQUEST) is None
    server.send_headers(1, ANSWER)
    server.send_trailers(1, TRAILERS)
    assert TrailersReceived(1, TRAILERS) in move(server, client)
    assert [one for one in streams if one is not None and one > 41]


def test_a_graceful_end_takes_what_was_on_its_way() -> None:
    client, server = pair()
    client.open_stream(REQUEST, ended=True)
    server.go_away()
    late = move(client, server)
    assert late == [HeadersReceived(1, REQUEST, True)]
    assert GoawayReceived((1 << 31) - 1, 0) in move(server, client)
    server.refuse_new()
    server.send_headers(1, ANSWER)
    server.send_trailers(1, TRAILERS)
    told = move(server, client)
    assert GoawayReceived(1, 0) in told and TrailersReceived(1, TRAILERS) in told


def test_no_more_streams_than_the_peer_allows() -> None:
    client, _ = pair(Limits(streams=3))
    assert [client.open_stream(REQUEST) for _ in range(4)] == [1, 3, 5, None]
    client.reset(3, CANCEL)
    assert client.open_stream(REQUEST) == 7


def test_a_reset_is_told_and_nothing_follows_it() -> None:
    client, server = pair()
    client.open_stream(REQUEST)
    move(client, server)
    client.reset(1, CANCEL)
    assert StreamReset(1, CANCEL) in move(client, server)
    with pytest.raises(StreamError):
        server.send_headers(1, ANSWER)
        server.send_data(1, b"x")
        server.send_trailers(1, TRAILERS)


def request_frame(stream: int, flags: int = END_HEADERS | END_STREAM) -> bytes:
    return frame(HEADERS, flags, stream, RAW_REQUEST)


FLOODS = {
    "pings": lambda n: frame(PING, 0, 0, struct.pack(">Q", n)),
    "settings": lambda n: frame(SETTINGS, 0, 0, b""),
    "resets": lambda n: (
        request_frame(2 * n + 1, END_HEADERS) + frame(RST, 0, 2 * n + 1, struct.pack(">I", CANCEL))
    ),
    "windows": lambda n: frame(WINDOW, 0, 0, struct.pack(">I", 1)),
    "empty data": lambda n: (request_frame(1, END_HEADERS) if n == 0 else b"") + frame(DATA, 0, 1, b""),
}


@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_ends_the_connection_and_a_trickle_does_not(name: str) -> None:
    server = raw_server()
    last = None
    sent = 0
    for sent in range(20_000):
        last = ended(server.receive(FLOODS[name](sent), 0))
        server.outgoing()
        if last is not None:
            break
    assert last is not None and last.code == ENHANCE_YOUR_CALM and sent < 5_000
    calm = raw_server()
    for n in range(100):
        assert ended(calm.receive(FLOODS[name](n), n * S)) is None
        calm.outgoing()


def test_a_flood_of_continuations_ends_the_connection() -> None:
    server = raw_server()
    found = server.receive(frame(HEADERS, 0, 1, RAW_REQUEST), 0)
    for _ in range(1000):
        if found:
            break
        found = server.receive(frame(CONTINUATION, 0, 1, b"\x00\x01b\x01c"), 0)
    assert ended(found) is not None
    assert any(kind == GOAWAY for kind, *_ in frames(server.outgoing()))


def test_a_header_bomb_is_not_held() -> None:
    """One large entry of the dynamic table, then thousands of one-byte references to it."""
    server = raw_server()
    bomb = RAW_REQUEST + b"\x40\x01b\x7f\x81\x1e" + b"v" * 4000 + b"\xbe" * 8000
    found = server.receive(frame(HEADERS, END_HEADERS | END_STREAM, 1, bomb), 0)
    assert not any(isinstance(one, HeadersReceived) for one in found)
    assert len(server.open) == 0


def test_ten_thousand_streams_at_once_are_not_taken() -> None:
    server = raw_server(Limits(streams=100))
    taken = 0
    for n in range(10_000):
        for event in server.receive(request_frame(2 * n + 1, END_HEADERS), 0):
            taken += isinstance(event, HeadersReceived)
        server.outgoing()
        if server.ended is not None:
            break
    assert taken <= 101 and len(server.open) <= 101


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00" * 100,
        PREFACE + b"\xff" * 100,
        PREFACE + frame(DATA, 0, 1, b"x"),
        PREFACE + frame(SETTINGS, 0, 0, b"x"),
    ],
)
def test_what_is_no_http2_is_an_end_and_no_exception(data: bytes) -> None:
    server = Connection(False, Limits(), 0)
    last = ended(server.receive(data, 0))
    assert last is not None and last.code != 0 and "\n" not in last.reason
    told = [payload for kind, _, _, payload in frames(server.outgoing()) if kind == GOAWAY]
    assert told and int.from_bytes(told[-1][4:8], "big") == last.code
    assert server.receive(b"more", 0) == [] and server.open_stream(REQUEST) is None


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(st.integers(0, 10), st.integers(0, 255), st.integers(0, 9), st.binary(max_size=40)),
        max_size=12,
    )
)
def test_any_frames_are_taken_calmly(listed: list[tuple[int, int, int, bytes]]) -> None:
    server = raw_server()
    for one in listed:
        server.receive(frame(*one), 0)
        server.outgoing()


def test_a_sidecar_without_grpc_imports_no_http2() -> None:
    code = (
        "import sys, sidecar_proxy.daemon.__main__; "
        "print('ngh2' in sys.modules, 'sidecar_proxy.http2' in sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout.split() == ["False", "False"]


def test_a_bucket_refills_evenly_and_not_by_a_clock_that_goes_back() -> None:
    bucket = Bucket(10.0, 0)
    assert [bucket.take(0) for _ in range(21)] == [True] * 20 + [False]
    assert not bucket.take(0) and not bucket.take(-5 * S)
    assert bucket.take(1 * S)


@pytest.mark.parametrize("how", ["answered", "reset by us", "reset by the peer", "crossed"])
def test_streams_that_end_unread_give_their_window_back(how: str) -> None:
    client, server = pair(Limits(rates=Rates(resets=1e6, windows=1e6)))
    for _ in range(100):  # of 60 KB in a connection's window of 1 MiB
        stream = client.open_stream(REQUEST)
        assert stream is not None
        client.send_data(stream, b"x" * 60_000, ended=how == "answered")
        if how == "crossed":  # the data is on its way when the stream is given up
            data = client.outgoing()
            server.receive(data[:1000], 0)
            server.reset(stream, CANCEL)
            server.receive(data[1000:], 0)
        else:
            come = [one for one in move(client, server) if isinstance(one, DataReceived)]
            assert sum(len(one.data) for one in come) == 60_000
            if how == "answered":
                server.send_headers(stream, [*ANSWER, *TRAILERS], ended=True)
            elif how == "reset by us":
                server.reset(stream, CANCEL)
            else:
                client.reset(stream, CANCEL)
        move(client, server)
        move(server, client)
        move(client, server)
        assert not server.held
