"""gRPC nodes: pooled HTTP/2 connections with many streams each, and the attempts that they carry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol, cast

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import AttemptCallback, ListedUpstream, UpstreamResponse
from sidecar_proxy.grpc.held import WIDE, Held
from sidecar_proxy.grpc.message import first_size
from sidecar_proxy.grpc.metadata import Headers, Request, value_of
from sidecar_proxy.grpc.outcome import End, Ended
from sidecar_proxy.http1.upstream import LOCAL_ERRNOS, ConnectionPool, as_protocol, make_input_poll
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

MOST_UNSENT = 64 * 1024  # bytes that wait for a node's window, and no more are handed on
SWEEP_S = 0.25
MOST_CONNECTIONS = 8  # to one node; more calls than they hold are turned away
WINDOW = 64 * 1024
MOST_UNREAD = 48 * 1024  # of a first message that is not whole; a node can't send more than its window
STREAMS = 100  # on one connection, of which the windows of all fit into the connection's
LIMITS = Limits(streams=0, window=WINDOW, connection_window=STREAMS * WINDOW + WIDE)
PING = b"wickspre"


class Source(Protocol):
    """What an attempt is made of, and where its answer goes: a Relay, or a probe."""

    request: Request
    buffer: bytearray
    base: int
    whole: bool
    eager: bool  # the answer's headers are wanted before its first message

    def again(self) -> bool: ...

    def is_bound(self) -> bool: ...

    def answering(self, attempt: Attempt) -> None: ...

    def ending(
        self, attempt: Attempt, outcome: api.Outcome, ended: Ended | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]: ...

    def pump(self) -> None: ...


class Attempt:
    """One attempt at a node, and its one end."""

    __slots__ = (
        "source",
        "nodes",
        "left_us",
        "ended",
        "began",
        "timer",
        "connection",
        "stream",
        "sent",
        "all_sent",
        "entire",
        "handed",
        "done",
        "headers",
        "trailers",
        "trailers_only",
        "unread",
        "owed",
        "passed",
        "wide",
        "since",
    )

    def __init__(
        self,
        source: Source,
        nodes: Nodes,
        left_us: Callable[[], int],
        ended: AttemptCallback,
        began: Callable[[], None],
    ) -> None:
        self.source = source
        self.nodes = nodes
        self.left_us = left_us
        self.ended = ended
        self.began = began
        self.timer: asyncio.TimerHandle | None = None
        self.connection: NodeConnection | None = None
        self.stream = 0
        self.sent = 0  # of all that the client has sent, handed to the connection
        self.all_sent = False  # and its end
        self.entire = False  # all of it was there at the start, and is one message
        self.handed = False  # the kernel may have the request: all of it, or its headers if it streams
        self.done = False
        self.headers: Headers = []
        self.trailers: Headers = []
        self.trailers_only = False
        self.unread = bytearray()  # of the answer, not passed on yet
        self.owed = 0  # passed on, and the client has not taken it yet
        self.passed = 0  # of the answer, to the client
        self.wide = False  # the node may send more than the first window
        self.since = 0.0

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """Its relay gives up what is out as soon as the call is over."""

    def expire_unsent(self) -> None:
        """It must not go out any more."""
        if not self.handed:
            self.finish(api.Outcome.NOT_SENT)

    def start(self, upstream: int, timeout_s: float) -> None:
        if not self.source.again():
            self.finish(api.Outcome.NOT_SENT)
            return
        self.nodes.start(upstream, self, timeout_s)

    def begin(self, connection: NodeConnection) -> None:
        """Its headers, and what there is of its body. Hazard: by now the request may be over, or the node may
        drain."""
        left_us = self.left_us() if connection.host.is_ready() else 0
        source = self.source
        if left_us <= 0 or not source.again():
            self.finish(api.Outcome.NOT_SENT)
            return
        bare = source.whole and not source.buffer
        stream = connection.http2.open_stream(source.request.headers(left_us), bare)
        if stream is None:
            self.finish(api.Outcome.NOT_SENT)
            return
        self.connection, self.stream, self.since = connection, stream, self.nodes.loop.time()
        self.entire, self.all_sent = source.whole and one_message(source.buffer), bare
        connection.streams[stream] = self
        connection.fresh.append(self)
        source.pump()
        if not self.all_sent:
            connection.partial[self] = None
        connection.schedule()

    def pump(self) -> None:
        """What is new of the request, as far as the node's window has room."""
        connection = self.connection
        if connection is None or self.all_sent:
            return
        source = self.source
        start = self.sent - source.base
        size = min(len(source.buffer) - start, MOST_UNSENT - connection.http2.unsent(self.stream))
        last = source.whole and start + size >= len(source.buffer)
        if size <= 0 and not last:
            return
        try:
            connection.http2.send_data(self.stream, bytes(source.buffer[start : start + max(size, 0)]), last)
        except StreamError:
            return  # closed by the node; its event is on the way
        self.sent += max(size, 0)
        self.all_sent = last
        connection.schedule()

    def widen(self, window: int) -> None:
        self.wide = True
        if self.connection is not None:
            self.connection.http2.set_receive_window(self.stream, window)

    def consumed(self, size: int) -> None:
        if self.connection is not None:
            self.connection.http2.consumed(self.stream, size)
            self.connection.schedule()

    def bind(self) -> None:
        """The answer is the client's now. Hazard: the decisions' time-out is for an answer's beginning; a
        stream of many messages lasts till the call's own time is out, which the engine's guard sees to."""
        if self.timer is not None:
            self.timer.cancel()
        self.began()

    def ready(self) -> bool:
        """Something of the answer is to go on. Hazard: the first bytes that do bind the call to this node; a
        message that is cut short is of no use to the client, and would cost it another attempt."""
        unread = self.unread
        if not unread:
            return self.source.eager or not self.source.whole
        if self.source.is_bound() or len(unread) >= MOST_UNREAD:
            return True
        size = first_size(unread)
        return size is not None and len(unread) >= size

    def load(self) -> bytes:
        """Its srv-load, if any."""
        return value_of(self.trailers or self.headers, b"srv-load")

    # From the connection

    def closed(self, end: End, code: int = 0) -> None:
        """The stream is over, by the node's doing."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.streams.pop(self.stream, None)
        headers = dict(self.headers or self.trailers)
        status = headers.get(b":status", b"")
        if not self.trailers:
            headers.pop(b"grpc-status", None)  # hazard: in headers with a body behind them it is none
        told = Ended(
            end,
            self.handed,
            int(status) if status.isdigit() else 0,
            headers.get(b"content-type", b""),
            dict(self.trailers) or headers,
            code,
        )
        self.finish(api.Outcome.RESET, told)

    # From the engine

    def finish(self, outcome: api.Outcome, ended: Ended | None = None) -> None:
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.give_up(self)
        if outcome is api.Outcome.CANCELLED and not self.handed:
            outcome = api.Outcome.NOT_SENT  # nothing of it was written, and nothing will be
        self.ended(*self.source.ending(self, outcome, ended))

    def expire(self) -> None:
        """We stop waiting."""
        connection = self.connection
        if connection is None:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        if connection.heard < self.since:
            # hazard: a machine that vanished leaves its connection open and silent; what is sent on it next
            # would be lost, while a new connection fails before anything can run
            connection.retire()
        self.finish(api.Outcome.TIMEOUT, Ended(End.EXPIRED, self.handed))


def one_message(data: bytearray) -> bool:
    """At most one. Hazard: of several, a node may work on the first before the last has come, so that a part
    of the request is as good as all of it."""
    return first_size(data) in (None, len(data))


class NodeConnection(Http2Protocol):
    """A connection to a node."""

    def __init__(self, nodes: Nodes, host: ListedUpstream) -> None:
        super().__init__(Connection(True, LIMITS, nodes.now_us()), nodes.loop)
        self.nodes = nodes
        self.host = host
        self.generation = host.generation
        self.streams: dict[int, Attempt] = {}
        self.waiting: list[Attempt] = []  # for the connection, or for unread input to be read
        self.fresh: list[Attempt] = []  # not all of it is handed to the kernel
        self.partial: dict[Attempt, None] = {}  # more of the request is to come
        self.touched: dict[Attempt, None] = {}  # answers that this read has brought more of
        self.retired = False
        self.lost = False  # its place is free again
        self.heard = self.rested = self.loop.time()
        self.asked = 0.0  # when a PING was sent that nothing has followed

    def room(self) -> bool:
        if self.retired or self.generation != self.host.generation:
            return False
        return len(self.streams) + len(self.waiting) < self.http2.max_streams(STREAMS)

    def place(self, attempt: Attempt) -> None:
        """Hazard: a GOAWAY or the end may be waiting unread, and a call written behind it may have run for
        all we know; what has come is read first."""
        if self.transport is None or self.poll.poll(0):
            self.waiting.append(attempt)
        else:
            attempt.begin(self)

    def admit(self) -> None:
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            if attempt.done:
                continue
            if self.retired:
                self.nodes.choose(self.host, attempt)
            else:
                attempt.begin(self)

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        # hazard: what sits in the loop's own buffer can't be taken back; see `fresh`
        self.transport.set_write_buffer_limits(high=0)
        self.poll = make_input_poll(transport)
        self.heard = self.loop.time()

    def flush(self) -> None:
        if not self.write():
            return
        if self.fresh:
            self.fresh = [one for one in self.fresh if not self.is_handed(one)]
        for one in list(self.partial):
            if one.done or one.all_sent:
                del self.partial[one]
            else:
                one.source.pump()  # there may be room now
        if self.retired and self.idle() and self.transport is not None:
            self.transport.close()

    def is_handed(self, attempt: Attempt) -> bool:
        """Hazard: what the transport was given counts as the kernel's, though some may still sit in its
        buffer: which part is known only when all is gone."""
        if attempt.done:
            return True
        attempt.handed = not attempt.entire or (attempt.all_sent and not self.http2.unsent(attempt.stream))
        return attempt.handed

    def data_received(self, data: bytes) -> None:
        self.heard, self.asked = self.loop.time(), 0.0
        for event in self.http2.receive(data, self.nodes.now_us()):
            match event:
                case HeadersReceived():
                    self.on_headers(event)
                case DataReceived():
                    self.on_data(event)
                case TrailersReceived():
                    attempt = self.streams.get(event.stream)
                    if attempt is not None:
                        attempt.trailers = event.headers
                        self.answered(attempt)
                case StreamReset():
                    attempt = self.streams.get(event.stream)
                    if attempt is not None:
                        # hazard: RST_STREAM with NO_ERROR behind a whole answer is no failure (RFC 9113, 8.1)
                        whole = event.code == NO_ERROR and attempt.trailers
                        attempt.closed(End.ANSWERED if whole else End.RESET, event.code)
                case Writable():
                    attempt = self.streams.get(event.stream)
                    for one in [attempt] if attempt is not None else list(self.streams.values()):
                        one.source.pump()
                case Goaway():
                    self.retire()
                    for stream in [one for one in self.streams if one > event.last_stream]:
                        self.streams[stream].closed(End.GOAWAY)
                case ConnectionEnded():
                    self.broke(event)
        if self.touched:
            touched, self.touched = self.touched, {}
            for attempt in touched:
                if not attempt.done and attempt.ready():
                    attempt.source.answering(attempt)
        if self.waiting:
            self.admit()
        self.nodes.relieve()
        self.schedule()

    def on_headers(self, event: HeadersReceived) -> None:
        attempt = self.streams.get(event.stream)
        if attempt is None:
            return
        if event.ended:
            attempt.trailers, attempt.trailers_only = event.headers, True
            self.answered(attempt)
            return
        attempt.headers = event.headers
        self.touched[attempt] = None

    def on_data(self, event: DataReceived) -> None:
        attempt = self.streams.get(event.stream)
        if attempt is None:
            self.http2.consumed(event.stream, len(event.data))
            return
        if event.data:
            attempt.unread += event.data
            self.touched[attempt] = None
        if event.ended:  # without a status
            self.answered(attempt)

    def answered(self, attempt: Attempt) -> None:
        """Its side of the stream has ended. What is still to be sent of the request is not wanted."""
        if not attempt.all_sent:
            self.http2.reset(attempt.stream, CANCEL)
        attempt.closed(End.ANSWERED)

    def broke(self, event: ConnectionEnded) -> None:
        """The connection is of no more use."""
        self.retire()
        if event.code != NO_ERROR:
            self.nodes.pool.warn_rate_limited(f"node {self.host.address[0]}: HTTP/2: {event.reason}")
        self.flush()
        for attempt in list(self.streams.values()):
            attempt.closed(End.BROKEN if event.code != NO_ERROR else End.CLOSED)
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = self.retired = True
        if self in self.host.multiplexed:
            self.host.multiplexed.remove(self)
        self.nodes.connections.discard(self)
        self.nodes.pool.connection_closed(self.host)
        for attempt in list(self.streams.values()):
            attempt.closed(End.CLOSED)
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            attempt.closed(End.NO_CONNECTION)

    # Ends

    def give_up(self, attempt: Attempt) -> None:
        """Nobody waits for its answer any more: the node is told at once."""
        self.streams.pop(attempt.stream, None)
        self.http2.reset(attempt.stream, CANCEL)
        if not self.streams:
            self.rested = self.loop.time()
        self.schedule()

    def retire(self) -> None:
        """No new streams (a drain, a GOAWAY, a restart, silence); those that are open go on."""
        self.retired = True
        self.schedule()

    def idle(self) -> bool:
        return not self.streams and not self.waiting

    def sweep(self, now: float) -> None:
        if self.transport is None:
            return
        if self.idle():
            if now - max(self.rested, self.heard) >= self.nodes.idle_s:
                self.retire()
        elif self.asked and now - self.asked >= self.nodes.ping_s:
            self.retire()
            self.transport.abort()  # hazard: a machine that vanished resets nothing
        elif not self.asked and now - self.heard >= self.nodes.ping_s:
            self.asked = now
            self.http2.ping(PING)
            self.schedule()


class Nodes:
    """The connections to gRPC nodes, within the descriptors of the pool of HTTP/1.1."""

    def __init__(self, engine: Engine, idle_s: float, ping_s: float, most_held: int) -> None:
        self.engine = engine
        self.pool = cast(ConnectionPool, engine.transport)
        self.loop = engine.loop
        self.idle_s = idle_s
        self.ping_s = ping_s
        self.held = Held(most_held)
        self.connections: set[NodeConnection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.pool.evict_multiplexed = self.spare
        self.timer = self.loop.call_later(SWEEP_S, self.sweep)

    def now_us(self) -> int:
        return self.engine.clock.now_us()

    def attempt(
        self, source: Source, left_us: Callable[[], int], ended: AttemptCallback, began: Callable[[], None]
    ) -> Attempt:
        return Attempt(source, self, left_us, ended, began)

    def start(self, upstream: int, attempt: Attempt, timeout_s: float) -> None:
        host = self.pool.upstreams.get(upstream)
        if host is None or not host.is_ready():
            attempt.finish(api.Outcome.NOT_SENT)
            return
        attempt.timer = self.loop.call_later(timeout_s, attempt.expire)
        self.choose(host, attempt)

    def choose(self, host: ListedUpstream, attempt: Attempt) -> None:
        """The first connection with room: so few are used, and the others come to rest."""
        for one in host.multiplexed:
            if isinstance(one, NodeConnection) and one.room():
                one.place(attempt)
                return
        full = self.pool.open_connections >= self.pool.max_connections and not self.pool.evict()
        if full or len(host.multiplexed) >= MOST_CONNECTIONS or not host.is_ready():
            attempt.finish(api.Outcome.NOT_SENT)
            return
        connection = NodeConnection(self, host)
        connection.waiting.append(attempt)
        host.multiplexed.append(connection)
        self.connections.add(connection)
        self.pool.open_connections += 1
        host.open_connections += 1
        task = self.loop.create_task(self.dial(connection))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, connection: NodeConnection) -> None:
        host = connection.host
        try:
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await self.loop.create_connection(
                    partial(as_protocol, connection), *(host.grpc_address or host.address)
                )
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: a name that is none
            ours = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            if ours:
                self.pool.warn_rate_limited(f"no connection could be opened: {error}")
            waiting, connection.waiting = connection.waiting, []
            if connection.transport is not None:
                connection.transport.abort()
            connection.connection_lost(error)  # hazard: of one that came up just now the loop never says so
            for attempt in waiting:
                if ours:
                    attempt.finish(api.Outcome.NOT_SENT)
                else:
                    attempt.closed(End.NO_CONNECTION)
            return
        connection.admit()

    def spare(self) -> bool:
        """Close one that is idle; False: there is none."""
        for one in self.connections:
            if one.idle() and one.transport is not None and not one.transport.is_closing():
                one.retired = True
                one.transport.abort()
                return True
        return False

    def sweep(self) -> None:
        self.timer = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        for one in list(self.connections):
            one.sweep(now)

    def relieve(self) -> None:
        """Hazard: peers that do not read would fill our memory; the call that holds most is given up."""
        while (relay := self.held.largest()) is not None:
            relay.give_up()

    def close(self) -> None:
        self.timer.cancel()
        for task in self.dials:
            task.cancel()
        for one in list(self.connections):
            if one.transport is not None:
                one.transport.abort()
