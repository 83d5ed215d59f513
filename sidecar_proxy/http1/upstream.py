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

MAX_HEAD = 16 * 1024
MAX_RAW = (
    MAX_HEAD + 8 * MAX_BUFFERED_BODY_BYTES
)  # an answer that is held whole, with its framing: chunks may be small
FIRST_S = 0.1  # an answer of unknown length that takes longer than this is passed on as it comes
STALL_S = 10.0  # no byte of a body moves for so long: it is given up
SWEEP_S = 0.25
# What a connection rests between two requests, and where the upstream has been out of step with us. Hazard: a
# second answer that comes late, by 1 to 4 ms, would be taken for the next request's. The short rest is waited
# for, as a new connection takes about as long; instead of the long one a new one is opened.
REST_S = 0.005
ODD_REST_S = 0.05
# Ours, not the upstream's: too many descriptors, no memory, no free port.
LOCAL_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
# Headers that speak of one connection only, or that we set ourselves, and so go no further.
HOP_HEADERS = frozenset(
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
ANSWER_STOPPED = HOP_HEADERS | {b"srv-load"}  # of an answer: the load is for us


def end_to_end(headers: list[tuple[bytes, bytes]], stopped: frozenset[bytes]) -> bytes:
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


def itself(one: object) -> asyncio.Protocol:
    """For the loop, which wants to make it. Hazard: compiled, a lambda and what it closes over hold one
    another until the cycle collector comes: a connection, and all that it holds."""
    return cast(asyncio.Protocol, one)


def nothing() -> None:
    """What is to be written for an exchange that has ended."""


class Exchange:
    """One request to an upstream and its one end: an attempt or a probe."""

    __slots__ = ("render", "ended", "wrote", "opens", "upload", "timeout_s", "timer", "connection", "done")

    def __init__(
        self,
        render: Callable[[], list[bytes] | None],
        ended: AttemptCallback,
        wrote: Callable[[], None] | None = None,
        opens: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> None:
        self.render = render  # the parts, asked for when they are to be written; None = no longer wanted
        self.ended = ended
        self.wrote = wrote  # called once the kernel has the whole request
        # a large answer: its header lines, length and Srv-Load go in, where it goes comes out; the exchange
        # has then ended well. None from it: nobody wants the answer. None in its place: it is held whole.
        self.opens = opens
        self.upload = upload  # the body, where it is passed on as it comes
        self.timeout_s = 0.0  # from when the kernel has the whole request
        self.timer: Timer | None = None
        self.connection: Connection | None = None
        self.done = False

    def finish(self, outcome: api.Outcome, answer: UpstreamResponse | None = None) -> None:
        if self.done:
            return
        self.done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.release()
        self.ended(outcome, answer)

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """Its request is over. Hazard: the rest of one that is half written would go once the upstream reads
        on, and it would run for nobody."""
        connection = self.connection
        if connection is not None and not connection.written:
            self.finish(outcome)

    def expire_unsent(self) -> None:
        """It must not go out any more. A dial that comes up later serves the next one."""
        if self.connection is None or not self.connection.written:
            self.finish(api.Outcome.NOT_SENT)

    def expire(self) -> None:
        """We stop waiting. What was not written whole has never run."""
        connection = self.connection
        if connection is not None and not connection.fed:
            now = connection.loop.time()
            waits = connection.transport is not None and not connection.transport.get_write_buffer_size()
            if waits or now - connection.moved < STALL_S:  # it waits for the client: the front's matter
                self.timer = connection.pool.timers.call_later(self.timeout_s, self.expire)
                return
        if connection is None or not connection.written:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        host = connection.host
        if host.last_received_s < connection.began:
            # hazard: a machine that vanished leaves its connections open and silent; an unsafe request on
            # one is lost, while a new connection fails before anything can run
            host.close_idle()
        self.finish(api.Outcome.TIMEOUT)


def poll_of(descriptor: int, events: int) -> select.poll:
    """Its poll(0) tells whether one of them is there."""
    poll = select.poll()
    poll.register(descriptor, events)
    return poll


def hangup_poll(transport: asyncio.BaseTransport) -> select.poll:
    """Its poll(0) tells whether the peer has closed or reset, whatever waits unread before that."""
    return poll_of(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def input_poll(transport: asyncio.BaseTransport) -> select.poll:
    """Its poll(0) tells whether something waits unread."""
    return poll_of(transport.get_extra_info("socket").fileno(), select.POLLIN)


class Connection:
    """A connection carries one exchange at a time and is pooled in between. An asyncio.Protocol in all but
    its bases: with one that is not compiled, each attribute would be looked up in a dictionary."""

    def __init__(self, pool: Pool, host: ListedUpstream) -> None:
        self.pool = pool
        self.host = host
        self.generation = host.generation
        self.loop = pool.loop
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.written = False  # the kernel has the whole request
        self.fed = False  # nothing of the request is still to come
        self.flow: ResponseSink | None = None  # where the answer goes that is passed on as it comes
        self.held = False  # ... and is not read just now
        self.began = self.moved = 0.0
        # monotonic. Hazard: the loop's clock has whole milliseconds, and stands for as long as a turn takes
        self.idle_since = 0.0
        self.complete = self.keep = self.to_end = False
        self.ours = False  # it ends by our doing
        self.lost = False  # its place is free again
        self.watch: asyncio.TimerHandle | None = None  # of an answer under way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        # hazard: by default a request may sit in the loop's own buffer; with no buffer allowed, write()
        # hands it to the kernel at once, and resume_writing() tells when a rest of it has followed
        self.transport.set_write_buffer_limits(high=0)
        self.poll = input_poll(transport)

    def rest_left_s(self) -> float:
        return (
            self.idle_since + (ODD_REST_S if self.host.has_violated_protocol else REST_S) - time.monotonic()
        )

    def rested(self, exchange: Exchange) -> None:
        """It has been kept for this one till now."""
        left_s = self.rest_left_s()
        if exchange.done:
            self.park()
        elif left_s > 0.0 and not self.host.has_violated_protocol:  # that timer counted by the loop's clock
            self.pool.timers.call_later(left_s, self.rested, exchange)
        elif (
            self.usable() and not self.host.has_violated_protocol and self.generation == self.host.generation
        ):
            self.begin(exchange)
        else:
            self.close()
            self.pool.carry(self.host, exchange)

    def usable(self) -> bool:
        """Hazard: an upstream's close may be waiting unread; a request written after it is a reset."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and time.monotonic() - self.idle_since < self.pool.idle_s
            and not self.poll.poll(0)
        )

    def begin(self, exchange: Exchange) -> None:
        data = exchange.render() if self.host.is_ready() else None
        if data is None:
            self.park()
            exchange.finish(api.Outcome.NOT_SENT)
            return
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self.parser = httptools.HttpResponseParser(self)
        self.status_begun = self.complete = self.to_end = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.raw = 0  # bytes of this answer so far
        self.in_head = True
        self.length: int | None = None  # as the answer's head tells it
        self.began = self.moved = self.loop.time()
        self.written = False
        self.fed = exchange.upload is None
        for part in data:
            self.transport.write(part)
        if exchange.upload is not None:
            exchange.upload.on_data = self.feed
        self.feed()

    def feed(self) -> None:
        """Write what there is of a request's body; note when the kernel has the whole request."""
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or transport.is_closing() or self.written:
            return
        upload = exchange.upload
        while upload is not None and not self.fed and not transport.get_write_buffer_size():
            if upload.has_failed:
                exchange.finish(api.Outcome.NOT_SENT)  # closing it here: the last byte never comes
                return
            piece = upload.consume()
            if piece is None and not upload.is_complete:
                return
            self.moved = self.loop.time()
            if piece is not None:
                chunked = upload.length is None
                transport.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
            if upload.is_complete and not upload.data:
                self.fed = True
                if upload.length is None:
                    transport.write(b"0\r\n\r\n")
        if not self.fed or transport.get_write_buffer_size():
            return
        self.written = True
        if upload is not None and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.pool.timers.call_later(exchange.timeout_s, exchange.expire)
        if exchange.wrote is not None:
            exchange.wrote()

    def eof_received(self) -> None:
        """The upstream has sent all that it will: asyncio closes the connection. Hazard: it does so once all
        that is written has gone; the rest of a request would go to one that may still read, and run it."""
        if not self.written and self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """The kernel has not all that was written; resume_writing() follows."""

    def resume_writing(self) -> None:
        """The kernel has all that was written."""
        transport = self.transport
        if transport is not None and transport.is_closing():
            # hazard: in the turn in which its end was read, before it is closed, the rest may still go
            self.written = self.written or (self.fed and not transport.get_write_buffer_size())
        else:
            self.feed()

    def data_received(self, data: bytes) -> None:
        self.host.last_received_s = self.loop.time()
        if self.exchange is None:  # nothing was asked: out of step
            self.host.has_violated_protocol = True
            self.close()
            return
        self.raw += len(data)
        why = ""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            why = "an upgrade that nobody asked for"
        except httptools.HttpParserError as error:
            why = str(error.__context__ or error)
        if self.complete:
            # hazard: what comes behind a whole answer is none of its own, but an answer to what is asked next
            # on this connection could not be told from it
            self.keep = self.keep and not why
            self.finish()
        elif why:
            self.fail(why)
        elif self.flow is not None:
            self.moved = self.loop.time()
        elif self.raw > (MAX_HEAD if self.in_head else MAX_RAW):
            # hazard: the parser keeps a header to itself until it is whole, and 1xx answers need not end
            self.fail("too large")
        elif not self.in_head and self.length is None and self.watch is None and self.streams():
            self.watch = self.loop.call_later(FIRST_S, self.open)

    # An answer that is passed on as it comes

    def streams(self) -> bool:
        return (
            self.exchange is not None
            and self.exchange.opens is not None
            and self.parser.get_status_code() == 200
        )

    def open(self) -> None:
        """Pass on what has come, and what will. The exchange has ended well; its connection stays in use."""
        exchange = self.exchange
        if exchange is None or exchange.opens is None or self.flow is not None:
            return
        self.unwatch()  # hazard: it would open the next exchange's answer, of which nothing has come
        if exchange.done:  # nobody waits for it any more
            self.close()
            return
        found = {name.lower(): value for name, value in self.headers}
        head = end_to_end(self.headers, ANSWER_STOPPED)
        exchange.done = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.moved = self.loop.time()
        exchange.render = nothing  # hazard: it holds the request's body, for as long as the answer takes
        self.flow = exchange.opens(head, self.length, found.get(b"srv-load", b""), self)
        if self.flow is None:
            self.close()
            return
        if self.body:
            body, self.body = bytes(self.body), bytearray()
            self.flow.write(body)
        self.watch = self.loop.call_later(STALL_S / 2, self.stalled)

    def unwatch(self) -> None:
        if self.watch is not None:
            self.watch.cancel()
            self.watch = None

    def stalled(self) -> None:
        if self.flow is not None and self.flow.is_queued():
            self.moved = self.loop.time()
        if self.loop.time() - self.moved >= STALL_S:
            self.close()
        else:
            self.watch = self.loop.call_later(STALL_S / 2, self.stalled)

    def pause(self) -> None:
        if not self.held and self.transport is not None and not self.transport.is_closing():
            self.held = True
            self.transport.pause_reading()

    def resume(self) -> None:
        self.moved = self.loop.time()
        if self.held and self.transport is not None and not self.transport.is_closing():
            self.held = False
            self.transport.resume_reading()

    def abandon(self) -> None:
        self.flow = None
        self.close()

    def fail(self, why: str) -> None:
        """Hazard: an answer that is not whole and well formed is never passed on as served."""
        self.pool.complain(f"upstream {self.host.address[0]}:{self.host.address[1]}: bad answer: {why}")
        if self.flow is not None:
            self.close()
        elif self.exchange is not None:
            self.exchange.finish(api.Outcome.ERROR)

    def on_message_begin(self) -> None:
        if self.complete:  # a second answer to one request: the connection is out of step
            self.status_begun = self.host.has_violated_protocol = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.headers.append((name, value.rstrip(b" \t")))  # RFC 9110, 5.5: no part of the value

    def on_headers_complete(self) -> None:
        if self.complete or 100 <= self.parser.get_status_code() < 200:
            return
        self.in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)  # it may all come in one read
        framed = closes = False
        for name, value in self.headers:
            low = name.lower()
            if low == b"content-length":
                self.length, framed = int(value), True
            elif low == b"transfer-encoding":
                framed = True
            elif low == b"connection":
                closes = closes or b"close" in value.lower()
        most = MAX_BODY_BYTES if self.streams() else MAX_BUFFERED_BODY_BYTES
        if size > MAX_HEAD or (self.length or 0) > most:
            raise ValueError("too large")  # hazard: 3 GB would keep coming until the time-out
        # RFC 9112, 6.3: it ends with its connection
        self.to_end = closes and not framed
        if (self.length or 0) > MAX_BUFFERED_BODY_BYTES:
            self.open()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if self.flow is None:
            self.body += body
            if len(self.body) > MAX_BUFFERED_BODY_BYTES:
                if not self.streams():
                    raise ValueError("too large")
                self.open()
        else:
            self.flow.write(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if 100 <= self.parser.get_status_code() < 200:
            self.headers.clear()
            return
        self.complete = True
        self.status = self.parser.get_status_code()
        self.keep = self.parser.should_keep_alive()

    def finish(self) -> None:
        exchange = self.exchange
        assert exchange is not None
        self.unwatch()
        if self.flow is not None:
            flow, self.flow, self.exchange, exchange.connection = self.flow, None, None, None
            self.resume()
            self.park() if self.keep and self.written and not self.status_begun else self.close()
            flow.end()
            return
        found = {name.lower(): value for name, value in self.headers}
        answer = UpstreamResponse(
            self.status,
            end_to_end(self.headers, ANSWER_STOPPED),
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
        if self.keep and self.written and not self.status_begun:
            self.exchange = exchange.connection = None
            self.park()
        exchange.finish(outcome, answer)

    def park(self) -> None:
        """Back to the pool, unless the upstream has restarted, left or is not to be used any more."""
        host = self.host
        if self.lost or self.generation != host.generation or not host.is_ready():
            self.close()
            return
        self.idle_since = time.monotonic()
        host.idle[self] = self.pool.idle[self] = None

    def release(self) -> None:
        """The exchange ends before its answer is whole: closing gives the attempt up."""
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.on_data = None
        self.exchange = None
        self.close()

    def leave(self) -> None:
        """Out of the pool, if it is there."""
        self.host.idle.pop(self, None)
        self.pool.idle.pop(self, None)

    def close(self) -> None:
        self.leave()
        self.ours = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = True
        self.leave()
        self.pool.closed(self.host)
        self.unwatch()
        whole = error is None and self.exchange is not None and self.to_end and not self.in_head
        if whole and not self.complete and not self.ours:
            self.complete, self.keep, self.status = True, False, self.parser.get_status_code()
            self.finish()
            return
        flow, self.flow = self.flow, None
        exchange, self.exchange = self.exchange, None
        if flow is not None:
            flow.fail()
        elif exchange is not None and not exchange.done:
            exchange.connection = None
            exchange.finish(api.Outcome.RESET if self.written else api.Outcome.CONNECT_FAILED)


class Pool:
    """The connections to all upstreams, within a budget of descriptors."""

    def __init__(self, connect_s: float, idle_s: float, most: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_s = connect_s
        # hazard: a request written to a connection that the upstream is closing is a reset
        self.idle_s = max(idle_s / 2, idle_s - 0.5) if idle_s > 0 else float("inf")
        self.most = self.whole = most
        self.open = 0  # connections, those being made among them
        self.upstreams: dict[int, ListedUpstream] = {}
        # all that are idle, the one that has been so for longest first; a plain dict would search its head
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.dials: set[asyncio.Task[None]] = set()
        self.spare: Callable[[], bool] = bool  # closes a shared connection that is idle; False: there is none
        self.next_complaint = 0.0
        self.timers = TimerQueue(self.loop)
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)

    def update(self, hosts: list[ListedUpstream], is_full_list: bool) -> None:
        if is_full_list:
            listed = {host.entry.id for host in hosts}
            for ident, host in list(self.upstreams.items()):
                if ident not in listed:
                    host.entry = replace(host.entry, state=api.UpstreamState.GONE)
                    host.close_idle()
                    self.forget(host)
        for new in hosts:
            old = self.upstreams.setdefault(new.entry.id, new)
            if (old.address, old.grpc_address, old.entry.started_us) != (
                new.address,
                new.grpc_address,
                new.entry.started_us,
            ):
                # hazard: connections to the process before are dead, though they look open
                old.generation += 1
                old.has_violated_protocol = False
                old.close_idle()
            old.entry, old.address, old.grpc_address, old.listed_entry = (
                new.entry,
                new.address,
                new.grpc_address,
                new.listed_entry,
            )
            if not old.is_ready():
                old.close_idle()
            self.forget(old)

    def closed(self, host: ListedUpstream) -> None:
        self.open -= 1
        host.open_connections -= 1
        self.forget(host)

    def forget(self, host: ListedUpstream) -> None:
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
        exchange.timer = self.timers.call_later(timeout_s, exchange.expire)
        self.carry(host, exchange)

    def carry(self, host: ListedUpstream, exchange: Exchange) -> None:
        """By an idle connection that has rested, by one that soon will have, or by a new one."""
        if not host.is_ready():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        rested: Connection | None = None
        resting: Connection | None = None
        broken: list[Connection] = []  # to close one takes it out of what is walked
        for idle in reversed(host.idle):
            connection = cast(Connection, idle)
            if not connection.usable():
                broken.append(connection)
            elif connection.rest_left_s() > 0.0:
                resting = connection
            else:
                rested = connection
                break
        for connection in broken:
            connection.close()
        if rested is not None:
            rested.leave()
            rested.begin(exchange)
            return
        if resting is not None and not host.has_violated_protocol:
            resting.leave()
            self.timers.call_later(resting.rest_left_s(), resting.rested, exchange)
            return
        if self.open >= self.most and not self.evict():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        self.open += 1
        host.open_connections += 1
        task = self.loop.create_task(self.dial(host, exchange))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, host: ListedUpstream, exchange: Exchange) -> None:
        connection = Connection(self, host)
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(partial(itself, connection), *host.address)
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: a name that is none
            connection.close()
            connection.connection_lost(error)  # hazard: of one that came up just now the loop never says so
            ours = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
            if ours:
                self.complain(f"no connection could be opened: {error}")
            exchange.finish(api.Outcome.NOT_SENT if ours else api.Outcome.CONNECT_FAILED)
            return
        if connection.transport is None or connection.transport.is_closing():
            exchange.finish(api.Outcome.CONNECT_FAILED)
        elif exchange.done:  # given up meanwhile: the connection is paid for and serves the next one
            connection.park()
        elif connection.generation != host.generation:
            connection.close()
            exchange.finish(api.Outcome.CONNECT_FAILED)
        else:
            connection.begin(exchange)

    def evict(self) -> bool:
        """At the limit the connection that has been idle for longest makes room."""
        if not self.idle:
            return self.spare()
        next(iter(self.idle)).close()
        return True

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Keep to half of the connections, or no more."""
        self.most = max(1, self.whole // 2) if is_halved else self.whole
        for _ in range(self.open - self.most):
            if not self.evict():
                break

    def close_idle(self, upstream: int) -> None:
        if upstream in self.upstreams:
            self.upstreams[upstream].close_idle()

    def sweep(self) -> None:
        oldest = time.monotonic() - self.idle_s
        while self.idle and (first := next(iter(self.idle))).idle_since <= oldest:
            first.close()
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)

    def complain(self, text: str) -> None:
        """Never a log line for each request."""
        if self.loop.time() >= self.next_complaint:
            self.next_complaint = self.loop.time() + 1.0
            log.warning("%s", text)

    def close(self) -> None:
        self.timers.close()
        self.sweep_timer.cancel()
        for task in self.dials:
            task.cancel()
        for connection in list(self.idle):
            connection.close()
