"""gRPC nodes: pooled HTTP/2 connections with many streams each, and the attempts that they carry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import AttemptCallback, ListedUpstream, UpstreamResponse
from sidecar_proxy.grpc.buffer_budget import LONG_STREAM_WINDOW_BYTES, BufferBudget
from sidecar_proxy.grpc.message import first_message_size
from sidecar_proxy.grpc.metadata import Headers, Request, first_value
from sidecar_proxy.grpc.outcome import AttemptEnd, AttemptResult
from sidecar_proxy.http1.upstream import LOCAL_ERRNOS, ConnectionPool, as_protocol, make_input_poll
from sidecar_proxy.http2.connection import (
    CANCEL,
    NO_ERROR,
    Connection,
    DataReceived,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
    Writable,
)
from sidecar_proxy.http2.connection import Ended as ConnectionEnded
from sidecar_proxy.http2.connection import GoawayReceived as Goaway
from sidecar_proxy.http2.endpoint import Endpoint

MAX_UNSENT_BYTES = 64 * 1024  # bytes that wait for a node's window, and no more are handed on
SWEEP_INTERVAL_S = 0.25
MAX_CONNECTIONS_PER_UPSTREAM = 8  # to one node; more calls than they hold are turned away
STREAM_WINDOW_BYTES = 64 * 1024
MAX_UNFORWARDED_BYTES = (
    48 * 1024
)  # of a first message that is not whole; a node can't send more than its window
MAX_STREAMS_PER_CONNECTION = 100  # on one connection, of which the windows of all fit into the connection's
LIMITS = Limits(
    streams=0,
    window=STREAM_WINDOW_BYTES,
    connection_window=MAX_STREAMS_PER_CONNECTION * STREAM_WINDOW_BYTES + LONG_STREAM_WINDOW_BYTES,
)
PING_PAYLOAD = b"wickspre"


class AttemptSource(Protocol):
    """What an attempt is made of, and where its answer goes: a Relay, or a probe."""

    request: Request
    buffer: bytearray
    buffer_offset: int
    is_request_complete: bool
    forward_headers_early: bool  # the answer's headers are wanted before its first message

    def can_resend(self) -> bool: ...

    def is_bound(self) -> bool: ...

    def on_response_data(self, attempt: GrpcAttempt) -> None: ...

    def on_attempt_end(
        self, attempt: GrpcAttempt, outcome: api.Outcome, result: AttemptResult | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]: ...

    def send_pending(self) -> None: ...


class GrpcAttempt:
    """One attempt at a node, and its one end."""

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
        self.sent_bytes = 0  # of all that the client has sent, handed to the connection
        self.is_fully_sent = False  # and its end
        self.is_single_message = False  # all of it was there at the start, and is one message
        self.is_written = False  # the kernel may have the request: all of it, or its headers if it streams
        self.is_ended = False
        self.headers: Headers = []
        self.trailers: Headers = []
        self.trailers_only = False
        self.unforwarded = bytearray()  # of the answer, not passed on yet
        self.unflushed_bytes = 0  # passed on, and the client has not taken it yet
        self.forwarded_bytes = 0  # of the answer, to the client
        self.is_window_widened = False  # the node may send more than the first window
        self.started_s = 0.0

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """Its relay gives up what is out as soon as the call is over."""

    def expire_unsent(self) -> None:
        """It must not go out any more."""
        if not self.is_written:
            self.finish(api.Outcome.NOT_SENT)

    def start(self, upstream: int, timeout_s: float) -> None:
        if not self.source.can_resend():
            self.finish(api.Outcome.NOT_SENT)
            return
        self.upstream_pool.start(upstream, self, timeout_s)

    def begin(self, connection: GrpcUpstreamConnection) -> None:
        """Its headers, and what there is of its body. Hazard: by now the request may be over, or the node may
        drain."""
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
        """What is new of the request, as far as the node's window has room."""
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
            return  # closed by the node; its event is on the way
        self.sent_bytes += max(size, 0)
        self.is_fully_sent = is_last
        connection.schedule()

    def widen(self, window: int) -> None:
        self.is_window_widened = True
        if self.connection is not None:
            self.connection.http2.widen(self.stream, window)

    def consumed(self, size: int) -> None:
        if self.connection is not None:
            self.connection.http2.consumed(self.stream, size)
            self.connection.schedule()

    def bind(self) -> None:
        """The answer is the client's now. Hazard: the decisions' time-out is for an answer's beginning; a
        stream of many messages lasts till the call's own time is out, which the engine's guard sees to."""
        if self.timer is not None:
            self.timer.cancel()
        self.on_response_started()

    def should_forward(self) -> bool:
        """Something of the answer is to go on. Hazard: the first bytes that do bind the call to this node; a
        message that is cut short is of no use to the client, and would cost it another attempt."""
        unforwarded = self.unforwarded
        if not unforwarded:
            return self.source.forward_headers_early or not self.source.is_request_complete
        if self.source.is_bound() or len(unforwarded) >= MAX_UNFORWARDED_BYTES:
            return True
        size = first_message_size(unforwarded)
        return size is not None and len(unforwarded) >= size

    def load_report(self) -> bytes:
        """Its srv-load, if any."""
        return first_value(self.trailers or self.headers, b"srv-load")

    # From the connection

    def on_stream_closed(self, end: AttemptEnd, code: int = 0) -> None:
        """The stream is over, by the node's doing."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.streams.pop(self.stream, None)
        headers = dict(self.headers or self.trailers)
        status = headers.get(b":status", b"")
        if not self.trailers:
            headers.pop(b"grpc-status", None)  # hazard: in headers with a body behind them it is none
        result = AttemptResult(
            end,
            self.is_written,
            int(status) if status.isdigit() else 0,
            headers.get(b"content-type", b""),
            dict(self.trailers) or headers,
            code,
        )
        self.finish(api.Outcome.RESET, result)

    # From the engine

    def finish(self, outcome: api.Outcome, result: AttemptResult | None = None) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.cancel_attempt(self)
        if outcome is api.Outcome.CANCELLED and not self.is_written:
            outcome = api.Outcome.NOT_SENT  # nothing of it was written, and nothing will be
        self.on_end(*self.source.on_attempt_end(self, outcome, result))

    def expire(self) -> None:
        """We stop waiting."""
        connection = self.connection
        if connection is None:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        if connection.last_received_s < self.started_s:
            # hazard: a machine that vanished leaves its connection open and silent; what is sent on it next
            # would be lost, while a new connection fails before anything can run
            connection.retire()
        self.finish(api.Outcome.TIMEOUT, AttemptResult(AttemptEnd.EXPIRED, self.is_written))


def has_at_most_one_message(data: bytearray) -> bool:
    """At most one. Hazard: of several, a node may work on the first before the last has come, so that a part
    of the request is as good as all of it."""
    return first_message_size(data) in (None, len(data))


class GrpcUpstreamConnection(Endpoint):
    """A connection to a node."""

    def __init__(self, upstream_pool: UpstreamPool, host: ListedUpstream) -> None:
        super().__init__(Connection(True, LIMITS, upstream_pool.now_us()), upstream_pool.loop)
        self.upstream_pool = upstream_pool
        self.host = host
        self.generation = host.generation
        self.streams: dict[int, GrpcAttempt] = {}
        self.pending_attempts: list[GrpcAttempt] = []  # for the connection, or for unread input to be read
        self.unwritten_attempts: list[GrpcAttempt] = []  # not all of it is handed to the kernel
        self.partly_sent: dict[GrpcAttempt, None] = {}  # more of the request is to come
        self.updated_attempts: dict[GrpcAttempt, None] = {}  # answers that this read has brought more of
        self.is_retired = False
        self.is_lost = False  # its place is free again
        self.last_received_s = self.idle_since_s = self.loop.time()
        self.ping_sent_s = 0.0  # when a PING was sent that nothing has followed

    def has_capacity(self) -> bool:
        if self.is_retired or self.generation != self.host.generation:
            return False
        return len(self.streams) + len(self.pending_attempts) < self.http2.most_streams(
            MAX_STREAMS_PER_CONNECTION
        )

    def assign(self, attempt: GrpcAttempt) -> None:
        """Hazard: a GOAWAY or the end may be waiting unread, and a call written behind it may have run for
        all we know; what has come is read first."""
        if self.transport is None or self.poll.poll(0):
            self.pending_attempts.append(attempt)
        else:
            attempt.begin(self)

    def begin_pending(self) -> None:
        pending_attempts, self.pending_attempts = self.pending_attempts, []
        for attempt in pending_attempts:
            if attempt.is_ended:
                continue
            if self.is_retired:
                self.upstream_pool.assign_connection(self.host, attempt)
            else:
                attempt.begin(self)

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        # hazard: what sits in the loop's own buffer can't be taken back; see `fresh`
        self.transport.set_write_buffer_limits(high=0)
        self.poll = make_input_poll(transport)
        self.last_received_s = self.loop.time()

    def flush(self) -> None:
        if not self.write():
            return
        if self.unwritten_attempts:
            self.unwritten_attempts = [
                attempt for attempt in self.unwritten_attempts if not self.check_written(attempt)
            ]
        for attempt in list(self.partly_sent):
            if attempt.is_ended or attempt.is_fully_sent:
                del self.partly_sent[attempt]
            else:
                attempt.source.send_pending()  # there may be room now
        if self.is_retired and self.is_idle() and self.transport is not None:
            self.transport.close()

    def check_written(self, attempt: GrpcAttempt) -> bool:
        """Hazard: what the transport was given counts as the kernel's, though some may still sit in its
        buffer: which part is known only when all is gone."""
        if attempt.is_ended:
            return True
        attempt.is_written = not attempt.is_single_message or (
            attempt.is_fully_sent and not self.http2.unsent(attempt.stream)
        )
        return attempt.is_written

    def data_received(self, data: bytes) -> None:
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
                        # hazard: RST_STREAM with NO_ERROR behind a whole answer is no failure (RFC 9113, 8.1)
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
                    for stream in [stream for stream in self.streams if stream > event.last]:
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
        attempt = self.streams.get(event.stream)
        if attempt is None:
            self.http2.consumed(event.stream, len(event.data))
            return
        if event.data:
            attempt.unforwarded += event.data
            self.updated_attempts[attempt] = None
        if event.ended:  # without a status
            self.on_response_ended(attempt)

    def on_response_ended(self, attempt: GrpcAttempt) -> None:
        """Its side of the stream has ended. What is still to be sent of the request is not wanted."""
        if not attempt.is_fully_sent:
            self.http2.reset(attempt.stream, CANCEL)
        attempt.on_stream_closed(AttemptEnd.ANSWERED)

    def on_connection_ended(self, event: ConnectionEnded) -> None:
        """The connection is of no more use."""
        self.retire()
        if event.code != NO_ERROR:
            self.upstream_pool.connection_pool.warn_rate_limited(
                f"node {self.host.address[0]}: HTTP/2: {event.why}"
            )
        self.flush()
        for attempt in list(self.streams.values()):
            attempt.on_stream_closed(
                AttemptEnd.PROTOCOL_ERROR if event.code != NO_ERROR else AttemptEnd.CLOSED
            )
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
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

    # Ends

    def cancel_attempt(self, attempt: GrpcAttempt) -> None:
        """Nobody waits for its answer any more: the node is told at once."""
        self.streams.pop(attempt.stream, None)
        self.http2.reset(attempt.stream, CANCEL)
        if not self.streams:
            self.idle_since_s = self.loop.time()
        self.schedule()

    def retire(self) -> None:
        """No new streams (a drain, a GOAWAY, a restart, silence); those that are open go on."""
        self.is_retired = True
        self.schedule()

    def is_idle(self) -> bool:
        return not self.streams and not self.pending_attempts

    def sweep(self, now: float) -> None:
        if self.transport is None:
            return
        if self.is_idle():
            if now - max(self.idle_since_s, self.last_received_s) >= self.upstream_pool.idle_timeout_s:
                self.retire()
        elif self.ping_sent_s and now - self.ping_sent_s >= self.upstream_pool.ping_timeout_s:
            self.retire()
            self.transport.abort()  # hazard: a machine that vanished resets nothing
        elif not self.ping_sent_s and now - self.last_received_s >= self.upstream_pool.ping_timeout_s:
            self.ping_sent_s = now
            self.http2.ping(PING_PAYLOAD)
            self.schedule()


class UpstreamPool:
    """The connections to gRPC nodes, within the descriptors of the pool of HTTP/1.1."""

    def __init__(
        self, engine: Engine, idle_timeout_s: float, ping_timeout_s: float, max_buffered_bytes: int
    ) -> None:
        self.engine = engine
        self.connection_pool = cast(ConnectionPool, engine.transport)
        self.loop = engine.loop
        self.idle_timeout_s = idle_timeout_s
        self.ping_timeout_s = ping_timeout_s
        self.buffer_budget = BufferBudget(max_buffered_bytes)
        self.connections: set[GrpcUpstreamConnection] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.connection_pool.evict_multiplexed = self.evict_idle
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def now_us(self) -> int:
        return self.engine.clock.now_us()

    def create_attempt(
        self,
        source: AttemptSource,
        left_us: Callable[[], int],
        on_end: AttemptCallback,
        on_response_started: Callable[[], None],
    ) -> GrpcAttempt:
        return GrpcAttempt(source, self, left_us, on_end, on_response_started)

    def start(self, upstream: int, attempt: GrpcAttempt, timeout_s: float) -> None:
        host = self.connection_pool.upstreams.get(upstream)
        if host is None or not host.is_ready():
            attempt.finish(api.Outcome.NOT_SENT)
            return
        attempt.timer = self.loop.call_later(timeout_s, attempt.expire)
        self.assign_connection(host, attempt)

    def assign_connection(self, host: ListedUpstream, attempt: GrpcAttempt) -> None:
        """The first connection with room: so few are used, and the others come to rest."""
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
        self.connection_pool.open_connections += 1
        host.open_connections += 1
        task = self.loop.create_task(self.connect(connection))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def connect(self, connection: GrpcUpstreamConnection) -> None:
        host = connection.host
        try:
            async with asyncio.timeout(self.connection_pool.connect_timeout_s):
                await self.loop.create_connection(
                    partial(as_protocol, connection), *(host.grpc_address or host.address)
                )
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: a name that is none
            is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            if is_local:
                self.connection_pool.warn_rate_limited(f"no connection could be opened: {error}")
            pending_attempts, connection.pending_attempts = connection.pending_attempts, []
            if connection.transport is not None:
                connection.transport.abort()
            connection.connection_lost(error)  # hazard: of one that came up just now the loop never says so
            for attempt in pending_attempts:
                if is_local:
                    attempt.finish(api.Outcome.NOT_SENT)
                else:
                    attempt.on_stream_closed(AttemptEnd.NO_CONNECTION)
            return
        connection.begin_pending()

    def evict_idle(self) -> bool:
        """Close one that is idle; False: there is none."""
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
        self.timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)

    def enforce_buffer_limit(self) -> None:
        """Hazard: peers that do not read would fill our memory; the call that holds most is given up."""
        while (owner := self.buffer_budget.find_largest_if_exceeded()) is not None:
            owner.abort_over_budget()

    def close(self) -> None:
        self.timer.cancel()
        for task in self.connect_tasks:
            task.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
