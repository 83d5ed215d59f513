"""The least of gRPC that stand-ins need: unary calls on HTTP/2 connections. They trust each other."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from sidecar_proxy.grpc.message import PREFIX_BYTES, frame_message
from sidecar_proxy.http2.connection import (
    CANCEL,
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
)
from sidecar_proxy.http2.guard import Rates
from sidecar_proxy.http2.protocol import Http2Protocol
from sidecar_proxy.testbed.history import now_us

LIMITS = Limits(
    streams=10_000, window=1 << 20, connection_window=1 << 30, rates=Rates(1e9, 1e9, 1e9, 1e9, 1e9)
)


@dataclass(slots=True)
class Stream:
    """What has come on one."""

    headers: dict[bytes, bytes] = field(default_factory=dict)
    trailers: dict[bytes, bytes] = field(default_factory=dict)
    data: bytearray = field(default_factory=bytearray)
    first_us: int = 0
    reset: int | None = None  # the code, if it was

    def message(self) -> bytes:
        return bytes(self.data[PREFIX_BYTES:])


class Http2Peer(Http2Protocol, asyncio.Protocol):
    """What both sides have in common."""

    client = False

    def __init__(self) -> None:
        super().__init__(Connection(self.client, LIMITS, now_us()), asyncio.get_running_loop())
        self.streams: dict[int, Stream] = {}
        self.lost = False
        self.refused_above: int | None = None  # by a GOAWAY

    def data_received(self, data: bytes) -> None:
        for event in self.http2.receive(data, now_us()):
            self.take(event)
        self.schedule()

    def take(self, event: Event) -> None:
        match event:
            case HeadersReceived():
                told = self.streams.setdefault(event.stream, Stream())
                told.headers, told.first_us = dict(event.headers), now_us()
                if event.ended:
                    self.whole(event.stream, told)
            case DataReceived():
                self.http2.consumed(event.stream, len(event.data))
                if event.stream in self.streams:
                    self.streams[event.stream].data += event.data
                    if event.ended:
                        self.whole(event.stream, self.streams[event.stream])
            case TrailersReceived():
                if event.stream in self.streams:
                    self.streams[event.stream].trailers = dict(event.headers)
                    self.whole(event.stream, self.streams[event.stream])
            case StreamReset():
                if event.stream in self.streams:
                    self.streams[event.stream].reset = event.code
                    self.whole(event.stream, self.streams[event.stream])
            case GoawayReceived():
                self.refused_above = event.last_stream
                for stream in [one for one in self.streams if one > event.last_stream]:
                    self.streams[stream].reset = 0x7
                    self.whole(stream, self.streams[stream])
            case ConnectionEnded():
                self.abort()

    def whole(self, stream: int, told: Stream) -> None:
        """The peer's side of a stream has ended."""
        raise NotImplementedError

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True


class ServerPeer(Http2Peer):
    """One connection of a stand-in node's."""

    def whole(self, stream: int, told: Stream) -> None:
        del self.streams[stream]
        if told.reset is None:
            self.on_call(stream, told)

    def on_call(self, stream: int, told: Stream) -> None:
        raise NotImplementedError

    def answer(
        self,
        stream: int,
        status: int,
        body: bytes | None = None,
        more: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """A message, if there is one, and the status; trailers-only where there is none."""
        head = [(b":status", b"200"), (b"content-type", b"application/grpc")]
        trailers = [(b"grpc-status", b"%d" % status), *(more or [])]
        try:
            if body is None:
                self.http2.send_headers(stream, head + trailers, ended=True)
            else:
                self.http2.send_headers(stream, head)
                self.http2.send_data(stream, frame_message(body))
                self.http2.send_trailers(stream, trailers)
        except StreamError:
            return  # nobody waits for it
        self.schedule()

    def cut(self, stream: int, data: bytes) -> None:
        """Headers, a part of a message, and then nothing: the stream is reset."""
        try:
            self.http2.send_headers(stream, [(b":status", b"200"), (b"content-type", b"application/grpc")])
            self.http2.send_data(stream, data)
        except StreamError:
            return
        self.flush()
        self.http2.reset(stream, 0x2)
        self.schedule()


class ClientPeer(Http2Peer):
    """One connection of stand-in clients', with all their calls."""

    client = True

    def __init__(self) -> None:
        super().__init__()
        self.waiting: dict[int, asyncio.Future[Stream | None]] = {}

    def usable(self) -> bool:
        return (
            not self.lost
            and self.refused_above is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def call(
        self, path: bytes, metadata: list[tuple[bytes, bytes]], body: bytes
    ) -> tuple[int, asyncio.Future[Stream | None]] | None:
        """A unary call: its stream, and what came back; the future holds None if the connection ended first.
        None where the peer allows no more."""
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path),
            (b":authority", b"backend.local"),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            *metadata,
        ]
        stream = self.http2.open_stream(headers)
        if stream is None:
            return None
        self.http2.send_data(stream, frame_message(body), ended=True)
        self.streams[stream] = Stream()
        future: asyncio.Future[Stream | None] = asyncio.get_running_loop().create_future()
        self.waiting[stream] = future
        self.flush()
        return stream, future

    def cancel(self, stream: int) -> None:
        self.streams.pop(stream, None)
        self.waiting.pop(stream, None)
        self.http2.reset(stream, CANCEL)
        self.schedule()

    def whole(self, stream: int, told: Stream) -> None:
        self.streams.pop(stream, None)
        future = self.waiting.pop(stream, None)
        if future is not None and not future.done():
            if not told.trailers:
                told.trailers = told.headers  # trailers-only
            future.set_result(told)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)
        self.waiting.clear()
