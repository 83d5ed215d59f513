"""HTTP/2 connections to gRPC upstreams, pooled and multiplexed, and the attempts that they carry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import AttemptCallback, ListedUpstream, UpstreamResponse
from sidecar_proxy.engine.read_turns import ReadTurns
from sidecar_proxy.grpc.buffer_budget import LONG_STREAM_WINDOW_BYTES, BufferBudget
from sidecar_proxy.grpc.message import first_message_size
from sidecar_proxy.grpc.metadata import Headers, Request, first_value
from sidecar_proxy.grpc.outcome import AttemptEnd, AttemptResult
from sidecar_proxy.http1.event_poll import make_input_poll
from sidecar_proxy.http1.upstream import LOCAL_ERRNOS, ConnectionPool, as_protocol
from sidecar_proxy.http2.connection import (
    CANCEL,
    NO_ERROR,
    Connection,
    ConnectionEnded,
    DataReceived,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
    Writable,
)
from sidecar_proxy.http2.connection import GoawayReceived as Goaway
from sidecar_proxy.http2.protocol import Http2Protocol

MAX_UNSENT_BYTES = 64 * 1024  # maximum size of the data that waits for the upstream's flow-control window
SWEEP_INTERVAL_S = 0.25
MAX_CONNECTIONS_PER_UPSTREAM = 8  # further calls end as NOT_SENT once these are at capacity
STREAM_WINDOW_BYTES = 64 * 1024
# Maximum size of an incomplete first message that is kept; a larger one is forwarded before it is complete,
# because the upstream cannot send more than its window.
MAX_UNFORWARDED_BYTES = 48 * 1024
# The connection's window covers the windows of this many streams.
MAX_STREAMS_PER_CONNECTION = 100
LIMITS = Limits(
    streams=0,
    window=STREAM_WINDOW_BYTES,
    connection_window=MAX_STREAMS_PER_CONNECTION * STREAM_WINDOW_BYTES + LONG_STREAM_WINDOW_BYTES,
)
PING_PAYLOAD = b"wickspre"


class AttemptSource(Protocol):
    """The request of an attempt, and the receiver of its response: a Relay or a HealthCheck."""

    request: Request
    buffer: bytearray  # the buffered part of the request body
    buffer_offset: int  # offset of the buffer in the request body
    is_request_complete: bool  # the end of the request body is in the buffer
    forward_headers_early: bool  # response headers are forwarded before the first message

    def can_resend(self) -> bool:
        """Return whether a new attempt can send the whole request."""

    def is_bound(self) -> bool:
        """Return whether the response of an attempt is being forwarded, so that no other can be used."""

    def on_response_data(self, attempt: GrpcAttempt) -> None:
        """Forward what the attempt has received; the response goes on."""

    def on_attempt_end(
        self, attempt: GrpcAttempt, outcome: api.Outcome, result: AttemptResult | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]:
        """Return what is reported to the engine at the end of an attempt."""

    def send_pending(self) -> None:
        """Send the part of the request that the attempts have not sent, as far as windows allow."""


class GrpcAttempt:
    """One attempt at an upstream. It ends exactly once."""

    __slots__ = (
        "source",
        "upstream_pool",
        "left_us",
        "on_end",
        "on_response_started",
        "timer",
        "connection",
        "stream",
        "sent_bytes",
        "is_fully_sent",
        "is_single_message",
        "is_written",
        "is_ended",
        "headers",
        "trailers",
        "trailers_only",
        "unforwarded",
        "unflushed_bytes",
        "forwarded_bytes",
        "is_window_widened",
        "started_s",
    )

    def __init__(
        self,
        source: AttemptSource,
        upstream_pool: UpstreamPool,
        left_us: Callable[[], int],
        on_end: AttemptCallback,
        on_response_started: Callable[[], None],
    ) -> None:
        self.source = source
        self.upstream_pool = upstream_pool
        self.left_us = left_us
        self.on_end = on_end
        self.on_response_started = on_response_started
        self.timer: asyncio.TimerHandle | None = None
        self.connection: GrpcUpstreamConnection | None = None
        self.stream = 0
        self.sent_bytes = 0  # size of the part of the request body that was passed to the HTTP/2 connection
        self.is_fully_sent = False  # the end of the request was passed to the HTTP/2 connection
        self.is_single_message = False  # at the start the request was complete and at most one message
        self.is_written = (
            False  # the kernel may have the complete request, or the headers of a streamed request
        )
        self.is_ended = False
        self.headers: Headers = []
        self.trailers: Headers = []
        self.trailers_only = False
        self.unforwarded = bytearray()  # response data that was not forwarded to the client yet
        self.unflushed_bytes = 0  # size of the forwarded data that the client has not received yet
        self.forwarded_bytes = 0  # size of the response data that was forwarded to the client
        self.is_window_widened = False  # the stream's window was raised above the initial window
        self.started_s = 0.0  # loop time at which the stream was opened

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """Do nothing: the relay ends the attempts in flight as soon as the call has ended."""

    def forward_begun_response(self) -> bool:
        """Return False: a response is forwarded as soon as it begins."""
        return False

    def expire_unsent(self) -> None:
        """End the attempt as NOT_SENT unless its request was written: it must not be sent any more."""
        if not self.is_written:
            self.finish(api.Outcome.NOT_SENT)

    def start(self, upstream: int, timeout_s: float) -> None:
        """Start the attempt at an upstream; it may end before this returns."""
        if not self.source.can_resend():
            self.finish(api.Outcome.NOT_SENT)
            return
        self.upstream_pool.start(upstream, self, timeout_s)

    def begin(self, connection: GrpcUpstreamConnection) -> None:
        """Open the stream, and send the headers and the buffered part of the body.

        While the attempt waited for its connection, the request may have ended or the upstream begun to
        drain. In both cases the attempt ends as NOT_SENT.
        """
        left_us = self.left_us() if connection.host.is_ready() else 0
        source = self.source
        if left_us <= 0 or not source.can_resend():
            self.finish(api.Outcome.NOT_SENT)
            return
        has_no_body = source.is_request_complete and not source.buffer
        stream = connection.http2.open_stream(source.request.upstream_headers(left_us), has_no_body)
        if stream is None:
            self.finish(api.Outcome.NOT_SENT)
            return
        self.connection, self.stream, self.started_s = connection, stream, self.upstream_pool.loop.time()
        self.is_single_message, self.is_fully_sent = (
            source.is_request_complete and has_at_most_one_message(source.buffer),
            has_no_body,
        )
        connection.streams[stream] = self
        connection.unwritten_attempts.append(self)
        source.send_pending()
        if not self.is_fully_sent:
            connection.partly_sent[self] = None
        connection.schedule()

    def send_pending(self) -> None:
        """Send the new part of the request, as far as the limit of unsent data allows."""
        connection = self.connection
        if connection is None or self.is_fully_sent:
            return
        source = self.source
        start = self.sent_bytes - source.buffer_offset
        size = min(len(source.buffer) - start, MAX_UNSENT_BYTES - connection.http2.unsent(self.stream))
        is_last = source.is_request_complete and start + size >= len(source.buffer)
        if size <= 0 and not is_last:
            return
        try:
            connection.http2.send_data(
                self.stream, bytes(source.buffer[start : start + max(size, 0)]), is_last
            )
        except StreamError:
            return  # the upstream has closed the stream; the event follows
        self.sent_bytes += max(size, 0)
        self.is_fully_sent = is_last
        connection.schedule()

    def widen(self, window: int) -> None:
        """Raise the stream's receive window."""
        self.is_window_widened = True
        if self.connection is not None:
            self.connection.http2.set_receive_window(self.stream, window)

    def consumed(self, size: int) -> None:
        """Return window for data that the client has received, so that the upstream may send more."""
        if self.connection is not None:
            self.connection.http2.consumed(self.stream, size)
            self.connection.schedule()

    def bind(self) -> None:
        """Note that the response is being forwarded to the client, and cancel the timeout of the attempt.

        The balancer's timeout limits the time to the start of the response. A stream of many messages may
        last until the deadline of the call, which the engine enforces.
        """
        if self.timer is not None:
            self.timer.cancel()
        self.on_response_started()

    def should_forward(self) -> bool:
        """Return whether the response received so far is to be forwarded.

        Forwarding the first bytes binds the call to this upstream. So the first message is forwarded only
        when it is complete: a truncated message is useless to the client and would rule out another attempt.
        """
        unforwarded = self.unforwarded
        if not unforwarded:
            return self.source.forward_headers_early or not self.source.is_request_complete
        if self.source.is_bound() or len(unforwarded) >= MAX_UNFORWARDED_BYTES:
            return True
        size = first_message_size(unforwarded)
        return size is not None and len(unforwarded) >= size

    def load_report(self) -> bytes:
        """Return the value of srv-load; empty if there is none."""
        return first_value(self.trailers or self.headers, b"srv-load")

    # Called by the connection

    def on_stream_closed(self, end: AttemptEnd, code: int = 0) -> None:
        """End the attempt because the upstream or the connection has ended the stream."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.streams.pop(self.stream, None)
        headers = dict(self.headers or self.trailers)
        status = headers.get(b":status", b"")
        if not self.trailers:
            # grpc-status is valid only in trailers or a trailers-only response.
            headers.pop(b"grpc-status", None)
        result = AttemptResult(
            end,
            self.is_written,
            int(status) if status.isdigit() else 0,
            headers.get(b"content-type", b""),
            dict(self.trailers) or headers,
            code,
        )
        self.finish(api.Outcome.RESET, result)

    # Called by the engine

    def finish(self, outcome: api.Outcome, result: AttemptResult | None = None) -> None:
        """End the attempt. `result` is what the connection observed, None if the outcome is decided here."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel_attempt(self)
        if outcome is api.Outcome.CANCELLED and not self.is_written:
            outcome = api.Outcome.NOT_SENT  # no part of the request was written, and none will be
        self.on_end(*self.source.on_attempt_end(self, outcome, result))

    def expire(self) -> None:
        """End the attempt because its timeout was reached."""
        connection = self.connection
        if connection is None:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        if connection.last_received_s < self.started_s:
            # After a host failure its connection stays open and silent, and further requests on it would be
            # lost with an unknown result. A new connection fails before a request can be executed.
            connection.retire()
        self.finish(api.Outcome.TIMEOUT, AttemptResult(AttemptEnd.EXPIRED, self.is_written))


def has_at_most_one_message(data: bytearray) -> bool:
    """Return whether the data is no more than one message.

    With several messages, an upstream may process the first before it has received the last. So a part of the
    request must count as possibly executed, as the whole request does.
    """
    return first_message_size(data) in (None, len(data))


class GrpcUpstreamConnection(Http2Protocol):
    """An HTTP/2 connection to an upstream."""

    def __init__(self, upstream_pool: UpstreamPool, host: ListedUpstream) -> None:
        super().__init__(Connection(True, LIMITS, upstream_pool.now_us()), upstream_pool.loop)
        self.upstream_pool = upstream_pool
        self.reads = ReadTurns(self.loop, upstream_pool.engine.memory.read_buffer)
        self.host = host
        self.generation = host.generation
        self.streams: dict[int, GrpcAttempt] = {}
        # attempts that wait for the connection, or for unread input to be processed
        self.pending_attempts: list[GrpcAttempt] = []
        self.unwritten_attempts: list[GrpcAttempt] = []  # the request may not be with the kernel yet
        self.partly_sent: dict[GrpcAttempt, None] = {}  # the end of the request was not sent
        self.updated_attempts: dict[GrpcAttempt, None] = {}  # received response data in this read
        self.is_retired = False  # no new streams are opened
        self.is_lost = False  # the connection has ended and is no longer counted
        self.last_received_s = self.idle_since_s = self.loop.time()
        self.ping_sent_s = 0.0  # loop time of a PING since which nothing was received; 0 = none

    def has_capacity(self) -> bool:
        """Return whether another stream may be opened."""
        if self.is_retired or self.generation != self.host.generation:
            return False
        return len(self.streams) + len(self.pending_attempts) < self.http2.max_streams(
            MAX_STREAMS_PER_CONNECTION
        )

    def assign(self, attempt: GrpcAttempt) -> None:
        """Begin an attempt on this connection, after any input that waits unread has been processed.

        The unread input may be a GOAWAY or the connection's end. The sidecar could not tell whether a call
        that is written after it was executed.
        """
        if self.transport is None or self.input_poll.has_occurred(if_unknown=False):
            self.pending_attempts.append(attempt)
        else:
            attempt.begin(self)

    def begin_pending(self) -> None:
        """Begin the attempts that waited for the connection."""
        pending_attempts, self.pending_attempts = self.pending_attempts, []
        for attempt in pending_attempts:
            if attempt.is_ended:
                continue
            if self.is_retired:
                self.upstream_pool.assign_connection(self.host, attempt)
            else:
                attempt.begin(self)

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start using the transport."""
        super().connection_made(transport)
        assert self.transport is not None
        self.reads.transport = self.transport
        # Data in the transport's buffer cannot be taken back. With limit 0 the transport reports whether any
        # is buffered, see `unwritten_attempts`.
        self.transport.set_write_buffer_limits(high=0)
        self.input_poll = make_input_poll(transport)
        self.last_received_s = self.loop.time()

    def flush(self) -> None:
        """Write the pending output, and update what the attempts know of it.

        A connection that was lost while it was established still gets its transport, which is closed.
        """
        if self.is_lost or not self.write():
            return
        if self.unwritten_attempts:
            self.unwritten_attempts = [
                attempt for attempt in self.unwritten_attempts if not self.check_written(attempt)
            ]
        for attempt in list(self.partly_sent):
            if attempt.is_ended or attempt.is_fully_sent:
                del self.partly_sent[attempt]
            else:
                attempt.source.send_pending()  # the limit of unsent data may allow more now
        if self.is_retired and self.is_idle() and self.transport is not None:
            self.transport.close()

    def check_written(self, attempt: GrpcAttempt) -> bool:
        """Update and return whether the kernel may have the attempt's request.

        Data that was passed to the transport counts as written, although part of it may still be in the
        transport's buffer. Which part it is becomes known only when the buffer is empty.
        """
        if attempt.is_ended:
            return True
        attempt.is_written = not attempt.is_single_message or (
            attempt.is_fully_sent and not self.http2.unsent(attempt.stream)
        )
        return attempt.is_written

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the transport reads to."""
        return self.upstream_pool.engine.memory.read_buffer.offer()

    def buffer_updated(self, size: int) -> None:
        """Take what was read, in turn with the other connections."""
        self.data_received(self.reads.take(size))

    def data_received(self, data: bytes) -> None:
        """Process received data, then forward what the responses have gained."""
        self.last_received_s, self.ping_sent_s = self.loop.time(), 0.0
        for event in self.http2.receive(data, self.upstream_pool.now_us()):
            match event:
                case HeadersReceived():
                    self.on_headers(event)
                case DataReceived():
                    self.on_data(event)
                case TrailersReceived():
                    attempt = self.streams.get(event.stream)
                    if attempt is not None:
                        attempt.trailers = event.headers
                        self.on_response_ended(attempt)
                case StreamReset():
                    attempt = self.streams.get(event.stream)
                    if attempt is not None:
                        # RST_STREAM with NO_ERROR after a complete response is not a failure (RFC 9113, 8.1).
                        has_response = event.code == NO_ERROR and attempt.trailers
                        attempt.on_stream_closed(
                            AttemptEnd.ANSWERED if has_response else AttemptEnd.RESET, event.code
                        )
                case Writable():
                    attempt = self.streams.get(event.stream)
                    for writable in [attempt] if attempt is not None else list(self.streams.values()):
                        writable.source.send_pending()
                case Goaway():
                    self.retire()
                    for stream in [stream for stream in self.streams if stream > event.last_stream]:
                        self.streams[stream].on_stream_closed(AttemptEnd.GOAWAY)
                case ConnectionEnded():
                    self.on_connection_ended(event)
        if self.updated_attempts:
            updated_attempts, self.updated_attempts = self.updated_attempts, {}
            for attempt in updated_attempts:
                if not attempt.is_ended and attempt.should_forward():
                    attempt.source.on_response_data(attempt)
        if self.pending_attempts:
            self.begin_pending()
        self.upstream_pool.enforce_buffer_limit()
        self.schedule()

    def on_headers(self, event: HeadersReceived) -> None:
        """Process response headers, or a trailers-only response."""
        attempt = self.streams.get(event.stream)
        if attempt is None:
            return
        if event.ended:
            attempt.trailers, attempt.trailers_only = event.headers, True
            self.on_response_ended(attempt)
            return
        attempt.headers = event.headers
        self.updated_attempts[attempt] = None

    def on_data(self, event: DataReceived) -> None:
        """Process response data."""
        attempt = self.streams.get(event.stream)
        if attempt is None:
            self.http2.consumed(event.stream, len(event.data))
            return
        if event.data:
            attempt.unforwarded += event.data
            self.updated_attempts[attempt] = None
        if event.ended:  # the response has no grpc-status
            self.on_response_ended(attempt)

    def on_response_ended(self, attempt: GrpcAttempt) -> None:
        """End an attempt whose response is complete; the unsent part of its request is dropped."""
        if not attempt.is_fully_sent:
            self.http2.reset(attempt.stream, CANCEL)
        attempt.on_stream_closed(AttemptEnd.ANSWERED)

    def on_connection_ended(self, event: ConnectionEnded) -> None:
        """End the attempts and close the connection after the HTTP/2 connection has ended."""
        self.retire()
        if event.code != NO_ERROR:
            self.upstream_pool.connection_pool.warn_rate_limited(
                f"upstream {self.host.address[0]}: HTTP/2 error: {event.reason}"
            )
        self.flush()
        for attempt in list(self.streams.values()):
            attempt.on_stream_closed(
                AttemptEnd.PROTOCOL_ERROR if event.code != NO_ERROR else AttemptEnd.CLOSED
            )
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempts, and stop counting the connection."""
        if self.is_lost:
            return
        self.is_lost = self.is_retired = True
        if self in self.host.multiplexed:
            self.host.multiplexed.remove(self)
        self.upstream_pool.connections.discard(self)
        self.upstream_pool.connection_pool.connection_closed(self.host)
        for attempt in list(self.streams.values()):
            attempt.on_stream_closed(AttemptEnd.CLOSED)
        pending_attempts, self.pending_attempts = self.pending_attempts, []
        for attempt in pending_attempts:
            attempt.on_stream_closed(AttemptEnd.NO_CONNECTION)

    # The end of attempts and of the connection

    def cancel_attempt(self, attempt: GrpcAttempt) -> None:
        """Reset the stream of an attempt whose response is no longer needed."""
        self.streams.pop(attempt.stream, None)
        self.http2.reset(attempt.stream, CANCEL)
        if not self.streams:
            self.idle_since_s = self.loop.time()
        self.schedule()

    def retire(self) -> None:
        """Open no new streams; open streams go on.

        This is done after a drain, a GOAWAY or a restart of the upstream, and if the connection is silent.
        """
        self.is_retired = True
        self.schedule()

    def is_idle(self) -> bool:
        """Return whether the connection carries no attempts."""
        return not self.streams and not self.pending_attempts

    def sweep(self, now: float) -> None:
        """Apply the idle timeout, and detect a connection that no longer responds with a PING."""
        if self.transport is None:
            return
        if self.is_idle():
            if now - max(self.idle_since_s, self.last_received_s) >= self.upstream_pool.idle_timeout_s:
                self.retire()
        elif self.ping_sent_s and now - self.ping_sent_s >= self.upstream_pool.ping_timeout_s:
            self.retire()
            self.transport.abort()  # a failed host does not reset the connection
        elif not self.ping_sent_s and now - self.last_received_s >= self.upstream_pool.ping_timeout_s:
            self.ping_sent_s = now
            self.http2.ping(PING_PAYLOAD)
            self.schedule()


class UpstreamPool:
    """The connections to gRPC upstreams. They count against the limit of the HTTP/1.1 connection pool."""

    def __init__(
        self, engine: Engine, idle_timeout_s: float, ping_timeout_s: float, max_buffered_bytes: int
    ) -> None:
        self.engine = engine
        self.connection_pool = cast(ConnectionPool, engine.transport)
        self.loop = engine.loop
        self.idle_timeout_s = idle_timeout_s
        self.ping_timeout_s = ping_timeout_s
        self.buffer_budget = BufferBudget(max_buffered_bytes, engine.memory)
        self.connections: set[GrpcUpstreamConnection] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.connection_pool.evict_multiplexed = self.evict_idle
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def now_us(self) -> int:
        """Return the time of the engine's clock."""
        return self.engine.clock.now_us()

    def create_attempt(
        self,
        source: AttemptSource,
        left_us: Callable[[], int],
        on_end: AttemptCallback,
        on_response_started: Callable[[], None],
    ) -> GrpcAttempt:
        """Return a new attempt that has not started."""
        return GrpcAttempt(source, self, left_us, on_end, on_response_started)

    def start(self, upstream: int, attempt: GrpcAttempt, timeout_s: float) -> None:
        """Start an attempt at an upstream; it ends as NOT_SENT if the upstream is not ready."""
        host = self.connection_pool.upstreams.get(upstream)
        if host is None or not host.is_ready():
            attempt.finish(api.Outcome.NOT_SENT)
            return
        attempt.timer = self.loop.call_later(timeout_s, attempt.expire)
        self.assign_connection(host, attempt)

    def assign_connection(self, host: ListedUpstream, attempt: GrpcAttempt) -> None:
        """Assign an attempt to the first connection with capacity, or to a new connection.

        Taking the first keeps the number of used connections low, so that the others reach the idle timeout.
        """
        for candidate in host.multiplexed:
            if isinstance(candidate, GrpcUpstreamConnection) and candidate.has_capacity():
                candidate.assign(attempt)
                return
        is_pool_full = (
            self.connection_pool.open_connections >= self.connection_pool.max_connections
            and not self.connection_pool.evict()
        )
        if is_pool_full or len(host.multiplexed) >= MAX_CONNECTIONS_PER_UPSTREAM or not host.is_ready():
            attempt.finish(api.Outcome.NOT_SENT)
            return
        connection = GrpcUpstreamConnection(self, host)
        connection.pending_attempts.append(attempt)
        host.multiplexed.append(connection)
        self.connections.add(connection)
        self.connection_pool.connection_opened(host)
        task = self.loop.create_task(self.connect(connection))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def connect(self, connection: GrpcUpstreamConnection) -> None:
        """Establish a connection, and begin the attempts that wait for it."""
        host = connection.host
        try:
            async with asyncio.timeout(self.connection_pool.connect_timeout_s):
                await self.loop.create_connection(
                    partial(as_protocol, connection), *(host.grpc_address or host.address)
                )
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: invalid host name
            is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            if is_local:
                self.connection_pool.warn_rate_limited(f"no connection could be opened: {error}")
            pending_attempts, connection.pending_attempts = connection.pending_attempts, []
            if connection.transport is not None:
                connection.transport.abort()
            # A connection that was established just before the timeout gets no such call from the event loop.
            connection.connection_lost(error)
            for attempt in pending_attempts:
                if is_local:
                    attempt.finish(api.Outcome.NOT_SENT)
                else:
                    attempt.on_stream_closed(AttemptEnd.NO_CONNECTION)
            return
        connection.begin_pending()

    def evict_idle(self) -> bool:
        """Close an idle connection, and return whether there was one."""
        for connection in self.connections:
            if (
                connection.is_idle()
                and connection.transport is not None
                and not connection.transport.is_closing()
            ):
                connection.is_retired = True
                connection.transport.abort()
                return True
        return False

    def sweep(self) -> None:
        """Check all connections periodically."""
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)

    def enforce_buffer_limit(self) -> None:
        """End the calls with the most buffered data while the buffer limit is exceeded.

        Clients and upstreams that do not read would otherwise exhaust the memory of the sidecar.
        """
        while (owner := self.buffer_budget.find_largest_if_exceeded()) is not None:
            owner.abort_over_budget()

    def close(self) -> None:
        """Abort all connections."""
        self.timer.cancel()
        for task in self.connect_tasks:
            task.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
