"""The shell round a EtcdFollower: connections, timers, the password file. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import unquote_to_bytes

from google.protobuf.message import DecodeError, Message

from sidecar_proxy.config.schema import Etcd
from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.discovery.etcd import follower as following
from sidecar_proxy.discovery.model import Entry
from sidecar_proxy.engine.address import Address, parse_address
from sidecar_proxy.grpc.message import PREFIX, first_size, framed
from sidecar_proxy.grpc.status import Code, parse
from sidecar_proxy.http2.connection import (
    CANCEL,
    Connection,
    DataReceived,
    Ended,
    Event,
    GoawayReceived,
    Headers,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
)
from sidecar_proxy.http2.endpoint import Endpoint
from sidecar_proxy.http2.guard import Rates

log = logging.getLogger("sidecar_proxy")

MOST_MESSAGE = 16 * 1024 * 1024  # bytes of one answer
MOST_PASSWORD = 4096
LIMITS = Limits(
    streams=0, window=1024 * 1024, connection_window=4 * 1024 * 1024, rates=Rates(windows=20_000.0)
)


class Sink(Protocol):
    """Who is told what the prefix holds."""

    def listed(self, source: str, epoch: str, revision: int, entries: tuple[Entry, ...]) -> None: ...

    def changed(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, Entry | None], ...]
    ) -> None: ...


@dataclass(slots=True, eq=False)
class Call:
    """One gRPC call of ours: each message that comes, and its one end."""

    message: Callable[[bytes], None]
    ended: Callable[[Code, str], None]
    data: bytearray = field(default_factory=bytearray)
    headers: dict[bytes, bytes] = field(default_factory=dict)


class Link(Endpoint, asyncio.Protocol):
    """A connection to one member."""

    def __init__(self, source: Source, host: str) -> None:
        super().__init__(Connection(True, LIMITS, source.now_us()), source.loop)
        self.source = source
        self.host = host
        self.calls: dict[int, Call] = {}

    def call(self, path: str, request: Message, metadata: Headers, call: Call, more: bool = False) -> int:
        """Begin a call; `more` messages may follow. Raises StreamError."""
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http" if self.source.tls is None else b"https"),
            (b":path", path.encode()),
            (b":authority", self.host.encode()),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            *metadata,
        ]
        stream = self.http2.open_stream(headers)
        if stream is None:
            raise StreamError("the member takes no more calls")
        self.calls[stream] = call
        self.send(stream, request, ended=not more)
        return stream

    def send(self, stream: int, request: Message, ended: bool = False) -> None:
        self.http2.send_data(stream, framed(request.SerializeToString()), ended=ended)
        self.schedule()

    def data_received(self, data: bytes) -> None:
        for event in self.http2.receive(data, self.source.now_us()):
            self.take(event)
        self.schedule()

    def take(self, event: Event) -> None:
        if isinstance(event, Ended | GoawayReceived):
            self.source.broken(self, f"the connection ends: {getattr(event, 'why', 'a GOAWAY')}")
            return
        call = self.calls.get(event.stream)
        if isinstance(event, DataReceived):
            self.http2.consumed(event.stream, len(event.data))
        if call is None:
            return
        match event:
            case HeadersReceived():
                call.headers = dict(event.headers)
                if event.ended:
                    self.end(event.stream, call, call.headers)
            case DataReceived():
                call.data += event.data
                self.messages(event.stream, call)
                if event.ended and event.stream in self.calls:
                    self.end(event.stream, call, {})
            case TrailersReceived():
                self.end(event.stream, call, dict(event.headers))
            case StreamReset():
                del self.calls[event.stream]
                call.ended(Code.UNAVAILABLE, f"the stream was reset: {event.code}")

    def messages(self, stream: int, call: Call) -> None:
        while stream in self.calls and (size := first_size(call.data)) is not None:
            if size > MOST_MESSAGE + PREFIX or call.data[0]:
                del self.calls[stream]
                self.http2.reset(stream, CANCEL)
                call.ended(Code.RESOURCE_EXHAUSTED, "an answer too large, or compressed")
                return
            if len(call.data) < size:
                return
            message = bytes(call.data[PREFIX:size])
            del call.data[:size]
            call.message(message)

    def end(self, stream: int, call: Call, trailers: dict[bytes, bytes]) -> None:
        del self.calls[stream]
        if call.headers.get(b":status") != b"200":
            call.ended(Code.UNAVAILABLE, f"HTTP status {call.headers.get(b':status', b'')!r}")
            return
        said = unquote_to_bytes(trailers.get(b"grpc-message", b"").decode("latin-1"))
        call.ended(parse(trailers.get(b"grpc-status")), said.decode("utf-8", "replace")[:200])

    def connection_lost(self, error: Exception | None) -> None:
        self.source.broken(self, str(error or "closed"))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Source:
    """etcd as it is followed, and who is told."""

    def __init__(
        self, told: Etcd, follower: following.EtcdFollower, sink: Sink, now_us: Callable[[], int]
    ) -> None:
        self.told = told
        self.follower = follower
        self.sink = sink
        self.now_us = now_us
        self.loop = asyncio.get_running_loop()
        self.endpoints: list[Address] = [parse_address(one) for one in told.endpoints]
        self.tls = tls_of(told)
        self.link: Link | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.watch: int | None = None  # the stream of the watch
        self.token = b""
        self.timer: asyncio.TimerHandle | None = None
        self.next_complaint = 0.0
        self.closed = False

    def start(self) -> None:
        self.perform(self.follower.start(self.now_us()))

    # Actions

    def perform(self, actions: list[following.Action]) -> None:
        for action in actions:
            if self.closed:
                return
            try:
                self.carry_out(action)
            except (StreamError, OSError) as error:
                self.perform(self.follower.failed(self.now_us(), str(error)))
        self.arm()

    def carry_out(self, action: following.Action) -> None:
        match action:
            case following.Dial():
                self.dialling = self.loop.create_task(self.dial(self.endpoints[action.endpoint]))
            case following.Authenticate():
                self.authenticate()
            case following.SendRange():
                self.ask(action.request)
            case following.SendWatch():
                self.send_watch(action.request)
            case following.Drop():
                self.drop()
            case following.Listed():
                self.sink.listed("etcd", action.epoch, action.revision, action.entries)
            case following.Changed():
                self.sink.changed("etcd", action.epoch, action.revision, action.changes)
            case following.Complain():
                self.complain(action.text)

    async def dial(self, address: Address) -> None:
        link = Link(self, f"{address[0]}:{address[1]}")
        try:
            await self.loop.create_connection(lambda: link, *address, ssl=self.tls)
        except OSError as error:
            self.dialling = None
            self.perform(self.follower.failed(self.now_us(), f"{link.host}: {error}"))
            return
        self.dialling, self.link = None, link
        self.perform(self.follower.connected(self.now_us()))

    def authenticate(self) -> None:
        with open(self.told.password_file, "rb") as file:  # read anew: it may have been changed
            password = file.read(MOST_PASSWORD).decode("utf-8", "replace").rstrip("\r\n")

        def message(data: bytes) -> None:
            self.token = pb.AuthenticateResponse.FromString(data).token.encode()
            self.perform(self.follower.authenticated(self.now_us()))

        self.call(
            "/etcdserverpb.Auth/Authenticate",
            pb.AuthenticateRequest(name=self.told.username, password=password),
            [],
            message,
        )

    def ask(self, request: pb.RangeRequest) -> None:
        def message(data: bytes) -> None:
            self.perform(self.follower.range_received(self.now_us(), pb.RangeResponse.FromString(data)))

        self.call("/etcdserverpb.KV/Range", request, self.metadata(), message)

    def send_watch(self, request: pb.WatchRequest) -> None:
        if self.watch is not None and self.link is not None:
            self.link.send(self.watch, request)
            return

        def message(data: bytes) -> None:
            self.perform(self.follower.watched(self.now_us(), pb.WatchResponse.FromString(data)))

        # without it a member that is cut off from the others would keep the watch open and silent
        metadata = [*self.metadata(), (b"hasleader", b"true")]
        self.watch = self.call("/etcdserverpb.Watch/Watch", request, metadata, message, more=True)

    def metadata(self) -> Headers:
        return [(b"token", self.token)] if self.token else []

    def call(
        self,
        path: str,
        request: Message,
        metadata: Headers,
        message: Callable[[bytes], None],
        more: bool = False,
    ) -> int:
        link = self.link
        if link is None:
            raise StreamError("no connection")

        def guarded(data: bytes) -> None:
            if self.link is not link:
                return
            try:
                message(data)
            except DecodeError as error:
                self.perform(self.follower.failed(self.now_us(), f"a malformed answer: {error}"))

        def ended(code: Code, why: str) -> None:
            if self.link is link and (code is not Code.OK or more):
                self.perform(self.follower.failed(self.now_us(), f"{link.host}: {code.name}: {why}", code))

        return link.call(path, request, metadata, Call(guarded, ended), more)

    def drop(self) -> None:
        link, self.link, self.watch, self.token = self.link, None, None, b""
        if self.dialling is not None and self.dialling is not asyncio.current_task():
            self.dialling.cancel()
        self.dialling = None
        if link is not None:
            link.close()

    def broken(self, link: Link, why: str) -> None:
        if link is self.link:
            self.perform(self.follower.failed(self.now_us(), f"{link.host}: {why}"))

    # Time

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        wait_us = max(0, self.follower.due_us - self.now_us())
        self.timer = self.loop.call_later(wait_us / 1e6 + 0.001, self.tick)

    def tick(self) -> None:
        self.perform(self.follower.tick(self.now_us()))

    def complain(self, text: str) -> None:
        if self.loop.time() >= self.next_complaint:
            self.next_complaint = self.loop.time() + 1.0
            log.warning("etcd: %s", text)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.drop()


def tls_of(told: Etcd) -> ssl.SSLContext | None:
    """None where nothing of TLS is set. Raises OSError and ssl.SSLError for files that can't be used."""
    if not (told.tls_ca or told.tls_cert):
        return None
    context = ssl.create_default_context(cafile=told.tls_ca or None)
    context.set_alpn_protocols(["h2"])
    if told.tls_cert:
        context.load_cert_chain(told.tls_cert, told.tls_key or None)
    return context
