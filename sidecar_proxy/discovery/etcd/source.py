"""Carries out the actions of an EtcdFollower: connections, gRPC calls, timers and the password file.

All decisions are the follower's.
"""

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
from sidecar_proxy.discovery.etcd import follower as actions
from sidecar_proxy.discovery.model import EndpointEntry
from sidecar_proxy.engine.address import Address, parse_address
from sidecar_proxy.grpc.message import PREFIX_BYTES, first_message_size, frame_message
from sidecar_proxy.grpc.status import Code, parse_status
from sidecar_proxy.http2.connection import (
    CANCEL,
    Connection,
    ConnectionEnded,
    DataReceived,
    Event,
    GoawayReceived,
    Headers,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
)
from sidecar_proxy.http2.guard import Rates
from sidecar_proxy.http2.protocol import Http2Protocol

log = logging.getLogger("sidecar_proxy")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # maximum size of one answer
MAX_PASSWORD_BYTES = 4096
LIMITS = Limits(
    streams=0, window=1024 * 1024, connection_window=4 * 1024 * 1024, rates=Rates(windows=20_000.0)
)


class SourceListener(Protocol):
    """Receives the contents of the prefix and its changes."""

    def list_received(
        self, source: str, epoch: str, revision: int, entries: tuple[EndpointEntry, ...]
    ) -> None:
        """Take the complete prefix at one revision."""

    def changes_received(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, EndpointEntry | None], ...]
    ) -> None:
        """Take the changes of one revision in order; None = deleted."""


@dataclass(slots=True, eq=False)
class GrpcCall:
    """One gRPC call in flight."""

    on_message: Callable[[bytes], None]  # called with each complete message of the answer
    on_end: Callable[[Code, str], None]  # called once, with the status and its message
    buffer: bytearray = field(default_factory=bytearray)
    headers: dict[bytes, bytes] = field(default_factory=dict)


class MemberConnection(Http2Protocol, asyncio.Protocol):
    """An HTTP/2 connection to one member of the cluster."""

    def __init__(self, source: EtcdSource, host: str) -> None:
        super().__init__(Connection(True, LIMITS, source.now_us()), source.loop)
        self.source = source
        self.host = host
        self.calls: dict[int, GrpcCall] = {}

    def start_call(
        self, path: str, request: Message, metadata: Headers, call: GrpcCall, is_streaming: bool = False
    ) -> int:
        """Start a call and return its stream id. Raises StreamError.

        With `is_streaming` further requests may follow on the stream.
        """
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
            raise StreamError("member accepts no further streams")
        self.calls[stream] = call
        self.send(stream, request, ended=not is_streaming)
        return stream

    def send(self, stream: int, request: Message, ended: bool = False) -> None:
        """Send one request message."""
        self.http2.send_data(stream, frame_message(request.SerializeToString()), ended=ended)
        self.schedule()

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        for event in self.http2.receive(data, self.source.now_us()):
            self.handle(event)
        self.schedule()

    def handle(self, event: Event) -> None:
        """Handle one HTTP/2 event."""
        if isinstance(event, ConnectionEnded | GoawayReceived):
            self.source.connection_broken(
                self, f"connection closed: {getattr(event, 'reason', 'GOAWAY received')}"
            )
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
                    self.end_call(event.stream, call, call.headers)
            case DataReceived():
                call.buffer += event.data
                self.read_messages(event.stream, call)
                if event.ended and event.stream in self.calls:
                    self.end_call(event.stream, call, {})
            case TrailersReceived():
                self.end_call(event.stream, call, dict(event.headers))
            case StreamReset():
                del self.calls[event.stream]
                call.on_end(Code.UNAVAILABLE, f"stream was reset with HTTP/2 error code {event.code}")

    def read_messages(self, stream: int, call: GrpcCall) -> None:
        """Pass on the messages that are complete."""
        while stream in self.calls and (size := first_message_size(call.buffer)) is not None:
            if size > MAX_MESSAGE_BYTES + PREFIX_BYTES or call.buffer[0]:
                del self.calls[stream]
                self.http2.reset(stream, CANCEL)
                call.on_end(
                    Code.RESOURCE_EXHAUSTED, f"answer is compressed or larger than {MAX_MESSAGE_BYTES} bytes"
                )
                return
            if len(call.buffer) < size:
                return
            message = bytes(call.buffer[PREFIX_BYTES:size])
            del call.buffer[:size]
            call.on_message(message)

    def end_call(self, stream: int, call: GrpcCall, trailers: dict[bytes, bytes]) -> None:
        """End a call with the status in its trailers."""
        del self.calls[stream]
        if call.headers.get(b":status") != b"200":
            call.on_end(Code.UNAVAILABLE, f"HTTP status {call.headers.get(b':status', b'')!r}, expected 200")
            return
        message = unquote_to_bytes(trailers.get(b"grpc-message", b"").decode("latin-1"))
        call.on_end(parse_status(trailers.get(b"grpc-status")), message.decode("utf-8", "replace")[:200])

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection is closed."""
        self.source.connection_broken(self, str(error or "connection closed"))

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class EtcdSource:
    """Follows a prefix of etcd and passes its contents to a listener.

    The constructor raises OSError if a TLS file can't be used.
    """

    def __init__(
        self,
        config: Etcd,
        follower: actions.EtcdFollower,
        listener: SourceListener,
        now_us: Callable[[], int],
    ) -> None:
        self.config = config
        self.follower = follower
        self.listener = listener
        self.now_us = now_us
        self.loop = asyncio.get_running_loop()
        self.endpoints: list[Address] = [parse_address(endpoint) for endpoint in config.endpoints]
        self.tls = tls_context(config)
        self.connection: MemberConnection | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.watch_stream: int | None = None
        self.token = b""
        self.timer: asyncio.TimerHandle | None = None
        self.next_warning_s = 0.0  # loop time before which no further warning is logged
        self.is_closed = False

    def start(self) -> None:
        """Start to follow the prefix."""
        self.perform(self.follower.start(self.now_us()))

    # Actions

    def perform(self, new_actions: list[actions.Action]) -> None:
        """Carry out actions of the follower, then set the timer for its next tick."""
        for action in new_actions:
            if self.is_closed:
                return
            try:
                self.carry_out(action)
            except (StreamError, OSError) as error:
                self.perform(self.follower.failed(self.now_us(), str(error)))
        self.set_timer()

    def carry_out(self, action: actions.Action) -> None:
        """Carry out one action. Raises StreamError and OSError."""
        match action:
            case actions.Dial():
                self.dial_task = self.loop.create_task(self.dial(self.endpoints[action.endpoint]))
            case actions.Authenticate():
                self.authenticate()
            case actions.SendRange():
                self.send_range(action.request)
            case actions.SendWatch():
                self.send_watch(action.request)
            case actions.CloseConnection():
                self.close_connection()
            case actions.ListRead():
                self.listener.list_received("etcd", action.epoch, action.revision, action.entries)
            case actions.RevisionRead():
                self.listener.changes_received("etcd", action.epoch, action.revision, action.changes)
            case actions.LogWarning():
                self.warn(action.text)

    async def dial(self, address: Address) -> None:
        """Connect to one member."""
        connection = MemberConnection(self, f"{address[0]}:{address[1]}")
        try:
            await self.loop.create_connection(lambda: connection, *address, ssl=self.tls)
        except OSError as error:
            self.dial_task = None
            self.perform(self.follower.failed(self.now_us(), f"{connection.host}: {error}"))
            return
        self.dial_task, self.connection = None, connection
        self.perform(self.follower.connected(self.now_us()))

    def authenticate(self) -> None:
        """Request a token, with the password file read again: it may have changed."""
        with open(self.config.password_file, "rb") as file:
            password = file.read(MAX_PASSWORD_BYTES).decode("utf-8", "replace").rstrip("\r\n")

        def on_message(data: bytes) -> None:
            self.token = pb.AuthenticateResponse.FromString(data).token.encode()
            self.perform(self.follower.authenticated(self.now_us()))

        self.call(
            "/etcdserverpb.Auth/Authenticate",
            pb.AuthenticateRequest(name=self.config.username, password=password),
            [],
            on_message,
        )

    def send_range(self, request: pb.RangeRequest) -> None:
        """Make a Range call."""

        def on_message(data: bytes) -> None:
            self.perform(self.follower.range_received(self.now_us(), pb.RangeResponse.FromString(data)))

        self.call("/etcdserverpb.KV/Range", request, self.metadata(), on_message)

    def send_watch(self, request: pb.WatchRequest) -> None:
        """Start a watch, or send a further request on its stream."""
        if self.watch_stream is not None and self.connection is not None:
            self.connection.send(self.watch_stream, request)
            return

        def on_message(data: bytes) -> None:
            self.perform(self.follower.watch_received(self.now_us(), pb.WatchResponse.FromString(data)))

        # Without `hasleader`, a member that is cut off from the cluster would keep the watch open and silent.
        metadata = [*self.metadata(), (b"hasleader", b"true")]
        self.watch_stream = self.call(
            "/etcdserverpb.Watch/Watch", request, metadata, on_message, is_streaming=True
        )

    def metadata(self) -> Headers:
        """Return the metadata of a call: the token, if there is one."""
        return [(b"token", self.token)] if self.token else []

    def call(
        self,
        path: str,
        request: Message,
        metadata: Headers,
        on_message: Callable[[bytes], None],
        is_streaming: bool = False,
    ) -> int:
        """Start a call on the current connection; the follower gets its failure. Raises StreamError."""
        connection = self.connection
        if connection is None:
            raise StreamError("not connected to a member")

        def handle_message(data: bytes) -> None:
            if self.connection is not connection:
                return
            try:
                on_message(data)
            except DecodeError as error:
                self.perform(self.follower.failed(self.now_us(), f"malformed answer: {error}"))

        def handle_end(code: Code, reason: str) -> None:
            if self.connection is connection and (code is not Code.OK or is_streaming):
                self.perform(
                    self.follower.failed(self.now_us(), f"{connection.host}: {code.name}: {reason}", code)
                )

        return connection.start_call(
            path, request, metadata, GrpcCall(handle_message, handle_end), is_streaming
        )

    def close_connection(self) -> None:
        """Close the connection, or give up the dial that is in progress."""
        connection, self.connection, self.watch_stream, self.token = self.connection, None, None, b""
        if self.dial_task is not None and self.dial_task is not asyncio.current_task():
            self.dial_task.cancel()
        self.dial_task = None
        if connection is not None:
            connection.close()

    def connection_broken(self, connection: MemberConnection, reason: str) -> None:
        """Report to the follower that the current connection has ended."""
        if connection is self.connection:
            self.perform(self.follower.failed(self.now_us(), f"{connection.host}: {reason}"))

    # Time

    def set_timer(self) -> None:
        """Set the timer for the follower's next tick."""
        if self.timer is not None:
            self.timer.cancel()
        wait_us = max(0, self.follower.due_us - self.now_us())
        self.timer = self.loop.call_later(wait_us / 1e6 + 0.001, self.tick)

    def tick(self) -> None:
        """Perform the follower's step that is due."""
        self.perform(self.follower.tick(self.now_us()))

    def warn(self, text: str) -> None:
        """Log a warning, at most one a second."""
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("etcd: %s", text)

    def close(self) -> None:
        """Stop following the prefix; it can't be started again."""
        self.is_closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.close_connection()


def tls_context(config: Etcd) -> ssl.SSLContext | None:
    """Return the TLS context; None if TLS is not configured.

    Raises OSError and ssl.SSLError if a file can't be used.
    """
    if not (config.tls_ca or config.tls_cert):
        return None
    context = ssl.create_default_context(cafile=config.tls_ca or None)
    context.set_alpn_protocols(["h2"])
    if config.tls_cert:
        context.load_cert_chain(config.tls_cert, config.tls_key or None)
    return context
