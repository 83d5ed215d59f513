"""Connections to upstreams: a pool of them, and the attempts and probes that they carry."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import cast

import httptools

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.body_buffers import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, ResponseSink, Upload
from sidecar_proxy.engine.interfaces import (
    Attempt,
    AttemptCallback,
    ListedUpstream,
    ResponseStreamOpener,
    UpstreamResponse,
)
from sidecar_proxy.engine.timers import Timer, TimerQueue

log = logging.getLogger("sidecar_proxy")

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_RESPONSE_BYTES = (
    MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
)  # an answer that is held whole, with its framing: chunks may be small
STREAM_AFTER_S = 0.1  # an answer of unknown length that takes longer than this is passed on as it comes
BODY_STALL_TIMEOUT_S = 10.0  # no byte of a body moves for so long: it is given up
SWEEP_INTERVAL_S = 0.25
# What a connection rests between two requests, and where the upstream has been out of step with us. Hazard: a
# second answer that comes late, by 1 to 4 ms, would be taken for the next request's. The short rest is waited
# for, as a new connection takes about as long; instead of the long one a new one is opened.
REUSE_DELAY_S = 0.005
MISBEHAVED_REUSE_DELAY_S = 0.05
# Ours, not the upstream's: too many descriptors, no memory, no free port.
LOCAL_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# Headers that speak of one connection only, or that we set ourselves, and so go no further.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {b"srv-load"}  # of an answer: the load is for us


def format_end_to_end_headers(headers: list[tuple[bytes, bytes]], stopped: frozenset[bytes]) -> bytes:
    """The header lines that go on to the next hop: without the stopped ones, and those that a Connection
    header names (RFC 9110, 7.6.1)."""
    lows = [name.lower() for name, _ in headers]
    if b"connection" in lows:
        stopped = stopped.union(
            part.strip().lower()
            for low, (_, value) in zip(lows, headers, strict=True)
            if low == b"connection"
            for part in value.split(b",")
        )
    parts: list[bytes] = []
    for low, (name, value) in zip(lows, headers, strict=True):
        if low not in stopped:
            parts += (name, b": ", value, b"\r\n")
    return b"".join(parts)


def as_protocol(one: object) -> asyncio.Protocol:
    """For the loop, which wants to make it. Hazard: compiled, a lambda and what it closes over hold one
    another until the cycle collector comes: a connection, and all that it holds."""
    return cast(asyncio.Protocol, one)


def render_nothing() -> None:
    """What is to be written for an exchange that has ended."""


class Exchange:
    """One request to an upstream and its one end: an attempt or a probe."""

    __slots__ = (
        "render",
        "on_end",
        "on_written",
        "open_response_stream",
        "upload",
        "timeout_s",
        "timer",
        "connection",
        "is_done",
    )

    def __init__(
        self,
        render: Callable[[], list[bytes] | None],
        ended: AttemptCallback,
        wrote: Callable[[], None] | None = None,
        opens: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> None:
        self.render = render  # the parts, asked for when they are to be written; None = no longer wanted
        self.on_end = ended
        self.on_written = wrote  # called once the kernel has the whole request
        # a large answer: its header lines, length and Srv-Load go in, where it goes comes out; the exchange
        # has then ended well. None from it: nobody wants the answer. None in its place: it is held whole.
        self.open_response_stream = opens
        self.upload = upload  # the body, where it is passed on as it comes
        self.timeout_s = 0.0  # from when the kernel has the whole request
        self.timer: Timer | None = None
        self.connection: UpstreamConnection | None = None
        self.is_done = False

    def finish(self, outcome: api.Outcome, answer: UpstreamResponse | None = None) -> None:
        if self.is_done:
            return
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort_exchange()
        self.on_end(outcome, answer)

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """Its request is over. Hazard: the rest of one that is half written would go once the upstream reads
        on, and it would run for nobody."""
        connection = self.connection
        if connection is not None and not connection.is_request_written:
            self.finish(outcome)

    def expire_unsent(self) -> None:
        """It must not go out any more. A dial that comes up later serves the next one."""
        if self.connection is None or not self.connection.is_request_written:
            self.finish(api.Outcome.NOT_SENT)

    def expire(self) -> None:
        """We stop waiting. What was not written whole has never run."""
        connection = self.connection
        if connection is not None and not connection.is_request_submitted:
            now = connection.loop.time()
            waits = connection.transport is not None and not connection.transport.get_write_buffer_size()
            if (
                waits or now - connection.last_progress_s < BODY_STALL_TIMEOUT_S
            ):  # it waits for the client: the front's matter
                self.timer = connection.pool.timers.later(self.timeout_s, self.expire)
                return
        if connection is None or not connection.is_request_written:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        host = connection.upstream
        if host.last_received_s < connection.began_s:
            # hazard: a machine that vanished leaves its connections open and silent; an unsafe request on
            # one is lost, while a new connection fails before anything can run
            host.close_idle()
        self.finish(api.Outcome.TIMEOUT)


def make_poll(descriptor: int, events: int) -> select.poll:
    """Its poll(0) tells whether one of them is there."""
    poll = select.poll()
    poll.register(descriptor, events)
    return poll


def make_hangup_poll(transport: asyncio.BaseTransport) -> select.poll:
    """Its poll(0) tells whether the peer has closed or reset, whatever waits unread before that."""
    return make_poll(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def make_input_poll(transport: asyncio.BaseTransport) -> select.poll:
    """Its poll(0) tells whether something waits unread."""
    return make_poll(transport.get_extra_info("socket").fileno(), select.POLLIN)


class UpstreamConnection:
    """A connection carries one exchange at a time and is pooled in between. An asyncio.Protocol in all but
    its bases: with one that is not compiled, each attribute would be looked up in a dictionary."""

    def __init__(self, pool: ConnectionPool, host: ListedUpstream) -> None:
        self.pool = pool
        self.upstream = host
        self.generation = host.generation
        self.loop = pool.loop
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.is_request_written = False  # the kernel has the whole request
        self.is_request_submitted = False  # nothing of the request is still to come
        self.sink: ResponseSink | None = None  # where the answer goes that is passed on as it comes
        self.is_paused = False  # ... and is not read just now
        self.began_s = self.last_progress_s = 0.0
        # monotonic. Hazard: the loop's clock has whole milliseconds, and stands for as long as a turn takes
        self.idle_since_s = 0.0
        self.is_response_complete = self.keep_alive = self.ends_with_connection = False
        self.is_closed_locally = False  # it ends by our doing
        self.is_lost = False  # its place is free again
        self.body_timer: asyncio.TimerHandle | None = None  # of an answer under way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # hazard: by default a request may sit in the loop's own buffer; with no buffer allowed, write()
        # hands it to the kernel at once, and resume_writing() tells when a rest of it has followed
        self.transport.set_write_buffer_limits(high=0)
        self.unread_poll = make_input_poll(transport)

    def reuse_delay_left_s(self) -> float:
        return (
            self.idle_since_s
            + (MISBEHAVED_REUSE_DELAY_S if self.upstream.has_misbehaved else REUSE_DELAY_S)
            - time.monotonic()
        )

    def begin_after_reuse_delay(self, exchange: Exchange) -> None:
        """It has been kept for this one till now."""
        left_s = self.reuse_delay_left_s()
        if exchange.is_done:
            self.return_to_pool()
        elif left_s > 0.0 and not self.upstream.has_misbehaved:  # that timer counted by the loop's clock
            self.pool.timers.later(left_s, self.begin_after_reuse_delay, exchange)
        elif (
            self.is_usable()
            and not self.upstream.has_misbehaved
            and self.generation == self.upstream.generation
        ):
            self.begin(exchange)
        else:
            self.close()
            self.pool.dispatch(self.upstream, exchange)

    def is_usable(self) -> bool:
        """Hazard: an upstream's close may be waiting unread; a request written after it is a reset."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and time.monotonic() - self.idle_since_s < self.pool.idle_timeout_s
            and not self.unread_poll.poll(0)
        )

    def begin(self, exchange: Exchange) -> None:
        data = exchange.render() if self.upstream.is_ready() else None
        if data is None:
            self.return_to_pool()
            exchange.finish(api.Outcome.NOT_SENT)
            return
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self.parser = httptools.HttpResponseParser(self)
        self.has_second_response = self.is_response_complete = self.ends_with_connection = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.response_bytes = 0  # bytes of this answer so far
        self.is_in_head = True
        self.content_length: int | None = None  # as the answer's head tells it
        self.began_s = self.last_progress_s = self.loop.time()
        self.is_request_written = False
        self.is_request_submitted = exchange.upload is None
        for part in data:
            self.transport.write(part)
        if exchange.upload is not None:
            exchange.upload.on_data = self.write_body
        self.write_body()

    def write_body(self) -> None:
        """Write what there is of a request's body; note when the kernel has the whole request."""
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or transport.is_closing() or self.is_request_written:
            return
        upload = exchange.upload
        while upload is not None and not self.is_request_submitted and not transport.get_write_buffer_size():
            if upload.has_failed:
                exchange.finish(api.Outcome.NOT_SENT)  # closing it here: the last byte never comes
                return
            piece = upload.consume()
            if piece is None and not upload.is_complete:
                return
            self.last_progress_s = self.loop.time()
            if piece is not None:
                chunked = upload.length is None
                transport.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            if upload.is_complete and not upload.data:
                self.is_request_submitted = True
                if upload.length is None:
                    transport.write(b"0\r\n\r\n")
        if not self.is_request_submitted or transport.get_write_buffer_size():
            return
        self.is_request_written = True
        if upload is not None and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.pool.timers.later(exchange.timeout_s, exchange.expire)
        if exchange.on_written is not None:
            exchange.on_written()

    def eof_received(self) -> None:
        """The upstream has sent all that it will: asyncio closes the connection. Hazard: it does so once all
        that is written has gone; the rest of a request would go to one that may still read, and run it."""
        if not self.is_request_written and self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """The kernel has not all that was written; resume_writing() follows."""

    def resume_writing(self) -> None:
        """The kernel has all that was written."""
        transport = self.transport
        if transport is not None and transport.is_closing():
            # hazard: in the turn in which its end was read, before it is closed, the rest may still go
            self.is_request_written = self.is_request_written or (
                self.is_request_submitted and not transport.get_write_buffer_size()
            )
        else:
            self.write_body()

    def data_received(self, data: bytes) -> None:
        self.upstream.last_received_s = self.loop.time()
        if self.exchange is None:  # nothing was asked: out of step
            self.upstream.has_misbehaved = True
            self.close()
            return
        self.response_bytes += len(data)
        why = ""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            why = "an upgrade that nobody asked for"
        except httptools.HttpParserError as error:
            why = str(error.__context__ or error)
        if self.is_response_complete:
            # hazard: what comes behind a whole answer is none of its own, but an answer to what is asked next
            # on this connection could not be told from it
            self.keep_alive = self.keep_alive and not why
            self.finish()
        elif why:
            self.fail(why)
        elif self.sink is not None:
            self.last_progress_s = self.loop.time()
        elif self.response_bytes > (MAX_HEAD_BYTES if self.is_in_head else MAX_BUFFERED_RESPONSE_BYTES):
            # hazard: the parser keeps a header to itself until it is whole, and 1xx answers need not end
            self.fail("too large")
        elif (
            not self.is_in_head
            and self.content_length is None
            and self.body_timer is None
            and self.may_stream()
        ):
            self.body_timer = self.loop.call_later(STREAM_AFTER_S, self.open_stream)

    # An answer that is passed on as it comes

    def may_stream(self) -> bool:
        return (
            self.exchange is not None
            and self.exchange.open_response_stream is not None
            and self.parser.get_status_code() == 200
        )

    def open_stream(self) -> None:
        """Pass on what has come, and what will. The exchange has ended well; its connection stays in use."""
        exchange = self.exchange
        if exchange is None or exchange.open_response_stream is None or self.sink is not None:
            return
        # hazard: it would open the next exchange's answer, of which nothing has come
        self.cancel_body_timer()
        if exchange.is_done:  # nobody waits for it any more
            self.close()
            return
        found = {name.lower(): value for name, value in self.headers}
        head = format_end_to_end_headers(self.headers, DROPPED_RESPONSE_HEADERS)
        exchange.is_done = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.last_progress_s = self.loop.time()
        exchange.render = (
            render_nothing  # hazard: it holds the request's body, for as long as the answer takes
        )
        self.sink = exchange.open_response_stream(
            head, self.content_length, found.get(b"srv-load", b""), self
        )
        if self.sink is None:
            self.close()
            return
        if self.body:
            body, self.body = bytes(self.body), bytearray()
            self.sink.write(body)
        self.body_timer = self.loop.call_later(BODY_STALL_TIMEOUT_S / 2, self.check_stall)

    def cancel_body_timer(self) -> None:
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def check_stall(self) -> None:
        if self.sink is not None and self.sink.waits():
            self.last_progress_s = self.loop.time()
        if self.loop.time() - self.last_progress_s >= BODY_STALL_TIMEOUT_S:
            self.close()
        else:
            self.body_timer = self.loop.call_later(BODY_STALL_TIMEOUT_S / 2, self.check_stall)

    def pause(self) -> None:
        if not self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        self.last_progress_s = self.loop.time()
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = False
            self.transport.resume_reading()

    def abandon(self) -> None:
        self.sink = None
        self.close()

    def fail(self, why: str) -> None:
        """Hazard: an answer that is not whole and well formed is never passed on as served."""
        self.pool.warn_rate_limited(
            f"upstream {self.upstream.address[0]}:{self.upstream.address[1]}: bad answer: {why}"
        )
        if self.sink is not None:
            self.close()
        elif self.exchange is not None:
            self.exchange.finish(api.Outcome.ERROR)

    def on_message_begin(self) -> None:
        if self.is_response_complete:  # a second answer to one request: the connection is out of step
            self.has_second_response = self.upstream.has_misbehaved = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_response_complete:
            self.headers.append((name, value.rstrip(b" \t")))  # RFC 9110, 5.5: no part of the value

    def on_headers_complete(self) -> None:
        if self.is_response_complete or 100 <= self.parser.get_status_code() < 200:
            return
        self.is_in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)  # it may all come in one read
        framed = closes = False
        for name, value in self.headers:
            low = name.lower()
            if low == b"content-length":
                self.content_length, framed = int(value), True
            elif low == b"transfer-encoding":
                framed = True
            elif low == b"connection":
                closes = closes or b"close" in value.lower()
        most = MAX_BODY_BYTES if self.may_stream() else MAX_BUFFERED_BODY_BYTES
        if size > MAX_HEAD_BYTES or (self.content_length or 0) > most:
            raise ValueError("too large")  # hazard: 3 GB would keep coming until the time-out
        # RFC 9112, 6.3: it ends with its connection
        self.ends_with_connection = closes and not framed
        if (self.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
            self.open_stream()

    def on_body(self, body: bytes) -> None:
        if self.is_response_complete:
            return
        if self.sink is None:
            self.body += body
            if len(self.body) > MAX_BUFFERED_BODY_BYTES:
                if not self.may_stream():
                    raise ValueError("too large")
                self.open_stream()
        else:
            self.sink.write(body)

    def on_message_complete(self) -> None:
        if self.is_response_complete:
            return
        if 100 <= self.parser.get_status_code() < 200:
            self.headers.clear()
            return
        self.is_response_complete = True
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()

    def finish(self) -> None:
        exchange = self.exchange
        assert exchange is not None
        self.cancel_body_timer()
        if self.sink is not None:
            flow, self.sink, self.exchange, exchange.connection = self.sink, None, None, None
            self.resume()
            (
                self.return_to_pool()
                if self.keep_alive and self.is_request_written and not self.has_second_response
                else self.close()
            )
            flow.end()
            return
        found = {name.lower(): value for name, value in self.headers}
        answer = UpstreamResponse(
            self.status,
            format_end_to_end_headers(self.headers, DROPPED_RESPONSE_HEADERS),
            bytes(self.body),
            found.get(b"srv-load", b""),
        )
        if answer.status == 200:
            outcome = api.Outcome.OK
        elif answer.status in (503, 504) and found.get(b"srv-declined") == b"1":
            outcome = api.Outcome.FULL
        else:
            outcome = api.Outcome.ERROR  # hazard: a bare 503 does not say that nothing ran
        if exchange.upload is not None:
            exchange.upload.on_data = None
        if self.keep_alive and self.is_request_written and not self.has_second_response:
            self.exchange = exchange.connection = None
            self.return_to_pool()
        exchange.finish(outcome, answer)

    def return_to_pool(self) -> None:
        """Back to the pool, unless the upstream has restarted, left or is not to be used any more."""
        host = self.upstream
        if self.is_lost or self.generation != host.generation or not host.is_ready():
            self.close()
            return
        self.idle_since_s = time.monotonic()
        host.idle[self] = self.pool.idle[self] = None

    def abort_exchange(self) -> None:
        """The exchange ends before its answer is whole: closing gives the attempt up."""
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.on_data = None
        self.exchange = None
        self.close()

    def remove_from_pool(self) -> None:
        """Out of the pool, if it is there."""
        self.upstream.idle.pop(self, None)
        self.pool.idle.pop(self, None)

    def close(self) -> None:
        self.remove_from_pool()
        self.is_closed_locally = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        self.remove_from_pool()
        self.pool.connection_closed(self.upstream)
        self.cancel_body_timer()
        whole = (
            error is None and self.exchange is not None and self.ends_with_connection and not self.is_in_head
        )
        if whole and not self.is_response_complete and not self.is_closed_locally:
            self.is_response_complete, self.keep_alive, self.status = (
                True,
                False,
                self.parser.get_status_code(),
            )
            self.finish()
            return
        flow, self.sink = self.sink, None
        exchange, self.exchange = self.exchange, None
        if flow is not None:
            flow.fail()
        elif exchange is not None and not exchange.is_done:
            exchange.connection = None
            exchange.finish(api.Outcome.RESET if self.is_request_written else api.Outcome.CONNECT_FAILED)


class ConnectionPool:
    """The connections to all upstreams, within a budget of descriptors."""

    def __init__(self, connect_timeout_s: float, idle_timeout_s: float, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout_s
        # hazard: a request written to a connection that the upstream is closing is a reset
        self.idle_timeout_s = (
            max(idle_timeout_s / 2, idle_timeout_s - 0.5) if idle_timeout_s > 0 else float("inf")
        )
        self.max_connections = self.configured_max_connections = max_connections
        self.open_connections = 0  # connections, those being made among them
        self.upstreams: dict[int, ListedUpstream] = {}
        # all that are idle, the one that has been so for longest first; a plain dict would search its head
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.evict_multiplexed: Callable[[], bool] = (
            bool  # closes a shared connection that is idle; False: there is none
        )
        self.next_warning_s = 0.0
        self.timers = TimerQueue(self.loop)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def update(self, hosts: list[ListedUpstream], whole: bool) -> None:
        if whole:
            listed = {host.entry.id for host in hosts}
            for ident, host in list(self.upstreams.items()):
                if ident not in listed:
                    host.entry = replace(host.entry, state=api.UpstreamState.GONE)
                    host.close_idle()
                    self.remove_if_gone(host)
        for new in hosts:
            old = self.upstreams.setdefault(new.entry.id, new)
            if (old.address, old.grpc_address, old.entry.started_us) != (
                new.address,
                new.grpc_address,
                new.entry.started_us,
            ):
                # hazard: connections to the process before are dead, though they look open
                old.generation += 1
                old.has_misbehaved = False
                old.close_idle()
            old.entry, old.address, old.grpc_address, old.listed_entry = (
                new.entry,
                new.address,
                new.grpc_address,
                new.listed_entry,
            )
            if not old.is_ready():
                old.close_idle()
            self.remove_if_gone(old)

    def connection_closed(self, host: ListedUpstream) -> None:
        self.open_connections -= 1
        host.open_connections -= 1
        self.remove_if_gone(host)

    def remove_if_gone(self, host: ListedUpstream) -> None:
        """Hazard: where upstreams are replaced all day, those that are gone would be kept for good; one that
        has something out is kept, as its name may come back meanwhile."""
        if host.entry.state is api.UpstreamState.GONE and not host.open_connections:
            self.upstreams.pop(host.entry.id, None)

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        ended: AttemptCallback,
        wrote: Callable[[], None] | None = None,
        opens: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> Exchange:
        return Exchange(render, ended, wrote, opens, upload)

    def start(self, upstream: int, exchange: Attempt, timeout_s: float) -> None:
        assert isinstance(exchange, Exchange)
        host = self.upstreams.get(upstream)
        if host is None:
            exchange.finish(api.Outcome.NOT_SENT)
            return
        exchange.timeout_s = timeout_s
        exchange.timer = self.timers.later(timeout_s, exchange.expire)
        self.dispatch(host, exchange)

    def dispatch(self, host: ListedUpstream, exchange: Exchange) -> None:
        """By an idle connection that has rested, by one that soon will have, or by a new one."""
        if not host.is_ready():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        rested: UpstreamConnection | None = None
        resting: UpstreamConnection | None = None
        broken: list[UpstreamConnection] = []  # to close one takes it out of what is walked
        for idle in reversed(host.idle):
            connection = cast(UpstreamConnection, idle)
            if not connection.is_usable():
                broken.append(connection)
            elif connection.reuse_delay_left_s() > 0.0:
                resting = connection
            else:
                rested = connection
                break
        for connection in broken:
            connection.close()
        if rested is not None:
            rested.remove_from_pool()
            rested.begin(exchange)
            return
        if resting is not None and not host.has_misbehaved:
            resting.remove_from_pool()
            self.timers.later(resting.reuse_delay_left_s(), resting.begin_after_reuse_delay, exchange)
            return
        if self.open_connections >= self.max_connections and not self.evict():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        self.open_connections += 1
        host.open_connections += 1
        task = self.loop.create_task(self.dial(host, exchange))
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    async def dial(self, host: ListedUpstream, exchange: Exchange) -> None:
        connection = UpstreamConnection(self, host)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(partial(as_protocol, connection), *host.address)
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: a name that is none
            connection.close()
            connection.connection_lost(error)  # hazard: of one that came up just now the loop never says so
            ours = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            if ours:
                self.warn_rate_limited(f"no connection could be opened: {error}")
            exchange.finish(api.Outcome.NOT_SENT if ours else api.Outcome.CONNECT_FAILED)
            return
        if connection.transport is None or connection.transport.is_closing():
            exchange.finish(api.Outcome.CONNECT_FAILED)
        elif exchange.is_done:  # given up meanwhile: the connection is paid for and serves the next one
            connection.return_to_pool()
        elif connection.generation != host.generation:
            connection.close()
            exchange.finish(api.Outcome.CONNECT_FAILED)
        else:
            connection.begin(exchange)

    def evict(self) -> bool:
        """At the limit the connection that has been idle for longest makes room."""
        if not self.idle:
            return self.evict_multiplexed()
        next(iter(self.idle)).close()
        return True

    def shrink(self, half: bool) -> None:
        """Keep to half of the connections, or no more."""
        self.max_connections = (
            max(1, self.configured_max_connections // 2) if half else self.configured_max_connections
        )
        for _ in range(self.open_connections - self.max_connections):
            if not self.evict():
                break

    def close_idle(self, upstream: int) -> None:
        if upstream in self.upstreams:
            self.upstreams[upstream].close_idle()

    def sweep(self) -> None:
        oldest = time.monotonic() - self.idle_timeout_s
        while self.idle and (first := next(iter(self.idle))).idle_since_s <= oldest:
            first.close()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def warn_rate_limited(self, text: str) -> None:
        """Never a log line for each request."""
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("%s", text)

    def close(self) -> None:
        self.timers.close()
        self.sweep_timer.cancel()
        for task in self.dial_tasks:
            task.cancel()
        for connection in list(self.idle):
            connection.close()
