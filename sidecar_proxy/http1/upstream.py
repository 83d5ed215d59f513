"""Connections to upstreams over HTTP/1.1: their pool, and the attempts and load probes that they carry."""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import cast

import httptools

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.activity_log import CloseReason
from sidecar_proxy.engine.body_buffers import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, ResponseSink, Upload
from sidecar_proxy.engine.byte_blocks import ByteBlocks
from sidecar_proxy.engine.connection_limit import ConnectionLimit
from sidecar_proxy.engine.interfaces import (
    Attempt,
    AttemptCallback,
    ListedUpstream,
    ResponseStreamOpener,
    UpstreamResponse,
)
from sidecar_proxy.engine.memory_budget import (
    DEFAULT_BUDGET_BYTES,
    FREE_BYTES,
    UPSTREAM_CONNECTION_BYTES,
    MemoryAccount,
    MemoryBudget,
)
from sidecar_proxy.engine.memory_waiters import MemoryWaiters
from sidecar_proxy.engine.response_floor import ResponseFloor
from sidecar_proxy.engine.timers import Timer, TimerQueue
from sidecar_proxy.http1.event_poll import make_input_poll
from sidecar_proxy.http1.header_block import DROPPED_RESPONSE_HEADERS, HeaderBlock
from sidecar_proxy.http1.repeated_responses import RepeatedResponses

log = logging.getLogger("sidecar_proxy")

MAX_HEAD_BYTES = 16 * 1024
# Maximum size of a buffered response with its framing, which takes several times the body if the chunks are
# small.
MAX_BUFFERED_RESPONSE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
STREAM_AFTER_S = 0.1  # a response of unknown length that is incomplete after this time is streamed
BODY_STALL_TIMEOUT_S = 10.0  # a body of which no byte is transferred for this long is abandoned
SWEEP_INTERVAL_S = 0.25  # interval between two checks for connections beyond the idle timeout
# A second response to one request that comes this long after the first is recognized by its time: for a part
# of it the connection is not used, and in the remaining part the response is sooner than any other can be. A
# later one is recognized by its content, once it is known that responses do not repeat anyway.
PROTECTED_S = 0.01
MAX_REUSE_DELAY_S = 0.02  # minimum time between two requests until that is known
# The same if the upstream has sent bytes that belong to no request. It is not waited for: a new connection is
# opened instead. A second response is not expected after this time.
MISBEHAVED_REUSE_DELAY_S = 0.05
SPARE_RETRY_S = 1.0  # time without spare connections to an upstream after one could not be opened
# Errors of this machine, not of the upstream: too many descriptors, no memory, no free port.
LOCAL_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


def as_protocol(protocol: object) -> asyncio.Protocol:
    """Return the argument; with `partial`, this makes the protocol factory that the loop calls.

    A compiled lambda and the variables that it closes over form a reference cycle, so a connection and all
    that belongs to it would stay until the cycle collector runs.
    """
    return cast(asyncio.Protocol, protocol)


def ignore_close(reason: CloseReason) -> None:
    """Stand in for the log of closes where there is none."""


def render_nothing() -> None:
    """Stand in for the `render` of an exchange that has ended."""


class Exchange:
    """One request to an upstream, an attempt or a load probe, whose end is reported once."""

    __slots__ = (
        "render",
        "on_end",
        "on_written",
        "open_response_stream",
        "upload",
        "timeout_s",
        "timer",
        "connection",
        "has_begun",
        "is_done",
    )

    def __init__(
        self,
        render: Callable[[], list[bytes] | None],
        on_end: AttemptCallback,
        on_written: Callable[[], None] | None = None,
        open_stream: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> None:
        # Returns the parts of the request when they are to be written; None = it must not be sent any more.
        self.render = render
        self.on_end = on_end
        self.on_written = on_written  # called when the request was written completely to the kernel
        # Opens a streamed response, by which the exchange has ended successfully. It returns None if the
        # response is no longer needed. If it is None itself, the response is always buffered completely.
        self.open_response_stream = open_stream
        self.upload = upload  # the body, if it is streamed
        self.timeout_s = 0.0  # time-out, counted from when the request was written completely
        self.timer: Timer | None = None
        self.connection: UpstreamConnection | None = None
        self.has_begun = False  # whether a connection has carried it; it is never begun on a second one
        self.is_done = False

    @property
    def is_waiting(self) -> bool:
        """Whether the exchange still needs a connection."""
        return not self.has_begun and not self.is_done

    def finish(self, outcome: api.Outcome, response: UpstreamResponse | None = None) -> None:
        """End the exchange, unless it has ended: close its connection and report the outcome."""
        if self.is_done:
            return
        self.is_done = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort_exchange()
        self.on_end(outcome, response)

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """End the exchange with this outcome if its request is partly written and was answered otherwise.

        Otherwise the remaining part would be sent once the upstream reads again, and the request would run
        although no client waits for it.
        """
        connection = self.connection
        if connection is not None and not connection.is_request_written:
            self.finish(outcome)

    def forward_begun_response(self) -> bool:
        """Begin to stream a response of unknown length that has begun to arrive; False if there is none."""
        connection = self.connection
        if self.is_done or connection is None or not connection.has_begun_long_response():
            return False
        connection.open_stream()
        return True

    def expire_unsent(self) -> None:
        """End the exchange as NOT_SENT unless its request is completely written: it may not be sent now.

        A connection that is still being established for it is kept for the next request.
        """
        if self.connection is None or not self.connection.is_request_written:
            self.finish(api.Outcome.NOT_SENT)

    def expire(self) -> None:
        """End the exchange at its time-out. A request that was not completely written has not run."""
        if self.forward_begun_response():
            return
        connection = self.connection
        if connection is not None and not connection.is_request_submitted:
            now_s = connection.loop.time()
            has_no_backlog = (
                connection.transport is not None and not connection.transport.get_write_buffer_size()
            )
            # The upload waits for its client, whose time limits the server enforces.
            if has_no_backlog or now_s - connection.last_progress_s < BODY_STALL_TIMEOUT_S:
                self.timer = connection.pool.timers.call_later(self.timeout_s, self.expire)
                return
        if connection is None or not connection.is_request_written:
            self.finish(api.Outcome.CONNECT_FAILED)
            return
        upstream = connection.upstream
        if upstream.last_received_s < connection.began_s:
            # A machine that has failed leaves its connections open and silent. An unsafe request sent on
            # one of them is lost, while a new connection fails before anything can run.
            upstream.close_idle()
        connection.reject_unanswered_spare()
        self.finish(api.Outcome.TIMEOUT)


class UpstreamConnection:
    """A connection that carries one exchange at a time and is kept in the pool in between.

    It has the methods of an asyncio.Protocol but does not inherit from it: with a base class that is not
    compiled, each attribute would be looked up in a dictionary.
    """

    __deletable__ = ("parser",)

    def __init__(self, pool: ConnectionPool, upstream: ListedUpstream, is_spare: bool = False) -> None:
        self.pool = pool
        self.upstream = upstream
        self.is_spare = is_spare  # whether it was opened although another connection would soon be free
        self.has_responded = False  # whether a response has come on it
        self.response_digest: int | None = None  # of the previous response; None = not to be compared
        self.has_own_response = True  # whether the response is certainly the one to the current request
        self.generation = upstream.generation
        self.loop = pool.loop
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.is_request_written = False  # whether the request was written completely to the kernel
        self.is_request_submitted = False  # whether the complete request was passed to the transport
        self.sink: ResponseSink | None = None  # destination of a streamed response
        self.memory = MemoryAccount(pool.memory)
        self.headers = HeaderBlock(DROPPED_RESPONSE_HEADERS)
        self.body = ByteBlocks()
        # What keeps the connection from reading
        self.is_paused = False
        self.is_sink_paused = False  # backpressure of the sink
        self.is_waiting_for_memory = False
        self.is_turn_over = False  # other connections are read first
        self.began_s = self.last_progress_s = 0.0
        # By the monotonic clock: the loop's clock counts milliseconds and stands still during an iteration.
        self.idle_since_s = self.submitted_s = 0.0
        self.is_response_complete = self.keep_alive = self.ends_with_connection = False
        self.is_closed_locally = False
        self.is_lost = False  # whether it is closed and no longer counts against the pool's limit
        self.body_timer: asyncio.TimerHandle | None = (
            None  # opens the stream of a response, or detects that it has stalled
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and have it pass each write to the kernel at once.

        By default a request may stay in the loop's own buffer. With no buffer allowed, resume_writing()
        is called when the kernel has accepted what it could not accept at once.
        """
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods but not the base class
        self.transport.set_write_buffer_limits(high=0)
        self.unread_poll = make_input_poll(transport)

    def reuse_delay_s(self) -> float:
        """Return the minimum time between the previous response and the next request."""
        if not self.has_responded:
            return 0.0
        if self.upstream.has_violated_protocol:
            return MISBEHAVED_REUSE_DELAY_S
        protected_s = PROTECTED_S if self.pool.repeated_responses.is_known else MAX_REUSE_DELAY_S
        return protected_s - self.pool.early_limit_s(self.upstream)

    def reuse_delay_left_s(self) -> float:
        """Return the time until the connection may carry the next request; not positive once it may."""
        return self.idle_since_s + self.reuse_delay_s() - time.monotonic()

    def begin_after_reuse_delay(self, exchange: Exchange) -> None:
        """Begin an exchange for which the connection was reserved during its reuse delay."""
        if not exchange.is_waiting:
            self.put_back()
            return
        left_s = self.reuse_delay_left_s()
        if left_s > 0.0 and not self.upstream.has_violated_protocol:  # the timer uses a coarser clock
            self.pool.timers.call_later(left_s, self.begin_after_reuse_delay, exchange)
        elif (
            self.is_usable()
            and not self.upstream.has_violated_protocol
            and self.generation == self.upstream.generation
        ):
            self.begin(exchange)
        else:
            self.close()
            self.pool.dispatch(self.upstream, exchange)

    def is_usable(self) -> bool:
        """Return whether a request can be written to the connection.

        The upstream's close may be unread yet: a request that is written after it is answered by a reset.
        """
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and time.monotonic() - self.idle_since_s < self.pool.idle_timeout_s
            and not self.unread_poll.has_occurred(if_unknown=True)
        )

    def begin(self, exchange: Exchange) -> None:
        """Write the request of an exchange, as far as its body has arrived."""
        data = exchange.render() if self.upstream.is_ready() else None
        if data is None:
            self.return_to_pool()
            exchange.finish(api.Outcome.NOT_SENT)
            return
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        exchange.has_begun = True
        self.submitted_s = time.monotonic()
        self.parser = httptools.HttpResponseParser(self)
        self.has_second_response = self.is_response_complete = self.ends_with_connection = False
        self.headers = HeaderBlock(DROPPED_RESPONSE_HEADERS)
        self.body.clear()
        self.response_bytes = 0  # bytes received of this response
        self.framing_bytes = 0  # bytes received since the last piece of its body
        self.is_in_head = True
        self.content_length: int | None = None  # Content-Length in the head of the response
        self.began_s = self.last_progress_s = self.loop.time()
        self.is_request_written = False
        self.is_request_submitted = exchange.upload is None
        for part in data:
            self.transport.write(part)
        if exchange.upload is not None:
            exchange.upload.on_data = self.write_body
        self.write_body()

    def write_body(self) -> None:
        """Write what has arrived of a streamed body; detect when the request is completely written."""
        exchange, transport = self.exchange, self.transport
        if exchange is None or transport is None or transport.is_closing() or self.is_request_written:
            return
        upload = exchange.upload
        while upload is not None and not self.is_request_submitted and not transport.get_write_buffer_size():
            if upload.has_failed:
                # This closes the connection, so the upstream never receives the complete request.
                exchange.finish(api.Outcome.NOT_SENT)
                return
            piece = upload.consume()
            if piece is None and not upload.is_complete:
                return
            self.last_progress_s = self.loop.time()
            if piece is not None:
                is_chunked = upload.length is None
                transport.write(b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece)
                self.charge_memory()
            if upload.is_complete and not upload.data:
                self.is_request_submitted = True
                if upload.length is None:
                    transport.write(b"0\r\n\r\n")
        if not self.is_request_submitted or transport.get_write_buffer_size():
            return
        self.is_request_written = True
        if upload is not None and exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = self.pool.timers.call_later(exchange.timeout_s, exchange.expire)
        if exchange.on_written is not None:
            exchange.on_written()

    def eof_received(self) -> None:
        """Abort a request that is partly written: the upstream sends nothing more.

        asyncio closes the connection only once all output has been sent; the upstream may still read, and
        would run the request.
        """
        if not self.is_request_written and self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Do nothing: the kernel has not accepted all output, and resume_writing() follows."""

    def resume_writing(self) -> None:
        """Continue: the kernel has accepted all output so far."""
        transport = self.transport
        if transport is not None and transport.is_closing():
            # After the end of input was read and before the transport is closed, output may still be sent.
            self.is_request_written = self.is_request_written or (
                self.is_request_submitted and not transport.get_write_buffer_size()
            )
        else:
            self.charge_memory()
            self.write_body()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the transport reads to. All connections share it, as input is copied at once."""
        memory = self.pool.memory
        return memory.read_buffer.offer(memory.read_bytes())

    def buffer_updated(self, size: int) -> None:
        """Take what was read; if there may be more, the other connections are read before."""
        buffer = self.pool.memory.read_buffer
        is_buffer_full = buffer.was_filled(size)
        self.data_received(buffer.take(size))
        if is_buffer_full and not self.is_turn_over:
            self.is_turn_over = True
            self.update_reading()
            self.loop.call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        """Read on after the other connections."""
        self.is_turn_over = False
        self.update_reading()

    def data_received(self, data: bytes) -> None:
        """Parse a response; bytes that belong to no request end the connection."""
        self.upstream.last_received_s = self.loop.time()
        if self.exchange is None:
            self.upstream.has_violated_protocol = True
            self.close()
            return
        self.response_bytes += len(data)
        self.framing_bytes += len(data)
        reason = ""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            reason = "a protocol upgrade that was not requested"
        except httptools.HttpParserError as error:
            reason = str(error.__context__ or error)
        if self.sink is not None and self.body:
            self.sink.write(self.body.take())  # in one piece, as it may have come in very many
        if self.is_response_complete:
            # Bytes behind a complete response don't belong to it, but on this connection they could not be
            # told from the response to the next request.
            self.keep_alive = self.keep_alive and not reason
            self.finish()
        elif reason:
            self.fail(reason)
        elif not self.is_in_head and self.framing_bytes > MAX_HEAD_BYTES:
            self.fail("trailers too large")  # or chunk extensions
        elif self.sink is not None:
            self.last_progress_s = self.loop.time()
        elif self.response_bytes > (MAX_HEAD_BYTES if self.is_in_head else MAX_BUFFERED_RESPONSE_BYTES):
            # The parser buffers a header until it is complete, and there may be any number of 1xx responses.
            self.fail("too large")
        elif (
            not self.is_in_head
            and self.content_length is None
            and self.body_timer is None
            and self.may_stream()
        ):
            self.body_timer = self.loop.call_later(STREAM_AFTER_S, self.open_stream)
        self.charge_memory()

    # Memory and pauses

    def charge_memory(self) -> None:
        """Charge the buffered part of the response to the memory budget; stop reading if there is no room."""
        held_bytes = 0
        if self.exchange is not None:
            held_bytes = len(self.body) + self.headers.size
            if self.exchange.upload is not None and self.transport is not None:
                held_bytes += self.transport.get_write_buffer_size()
        self.memory.hold(held_bytes)
        is_buffering = self.exchange is not None and self.sink is None
        if is_buffering and len(self.body) > FREE_BYTES and not self.pool.memory.has_room():
            self.is_waiting_for_memory = True
            self.pool.memory_waiters.add(self)
            self.update_reading()

    def memory_available(self) -> None:
        """Read on, until the next read finds no room."""
        self.is_waiting_for_memory = False
        self.update_reading()

    def update_reading(self) -> None:
        """Stop or resume reading."""
        if self.transport is None or self.transport.is_closing():
            return
        is_blocked = self.is_sink_paused or self.is_waiting_for_memory or self.is_turn_over
        if is_blocked and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()
        elif not is_blocked and self.is_paused:
            self.is_paused = False
            self.transport.resume_reading()

    # Streamed responses

    def may_stream(self) -> bool:
        """Return whether the response may be streamed: it is a 200, and the exchange allows it."""
        return (
            self.exchange is not None
            and self.exchange.open_response_stream is not None
            and self.parser.get_status_code() == 200
        )

    def has_begun_long_response(self) -> bool:
        """Return whether a part of a response has arrived whose length is not known."""
        return (
            self.exchange is not None
            and self.sink is None
            and self.is_request_written
            and not self.is_in_head
            and not self.is_response_complete
            and self.content_length is None
            and self.may_stream()
        )

    def open_stream(self) -> None:
        """Stream the response. The exchange ends successfully; its connection stays in use."""
        exchange = self.exchange
        if exchange is None or exchange.open_response_stream is None or self.sink is not None:
            return
        # Otherwise the timer would stream the next exchange's response before anything of it has arrived.
        self.cancel_body_timer()
        if exchange.is_done:  # the response is no longer needed
            self.close()
            return
        head = self.headers.take_end_to_end_lines()
        exchange.is_done = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        self.last_progress_s = self.loop.time()
        exchange.render = render_nothing  # releases the request's body, which `render` refers to
        self.sink = exchange.open_response_stream(
            head, self.content_length, self.headers.values.get(b"srv-load", b""), self
        )
        self.headers = HeaderBlock(DROPPED_RESPONSE_HEADERS)
        if self.sink is None:
            self.close()
            return
        if self.body:
            self.sink.write(self.body.take())
        self.body_timer = self.loop.call_later(BODY_STALL_TIMEOUT_S / 2, self.check_stall)

    def cancel_body_timer(self) -> None:
        """Cancel the timer that opens the stream or detects that it has stalled."""
        if self.body_timer is not None:
            self.body_timer.cancel()
            self.body_timer = None

    def check_stall(self) -> None:
        """Close the connection if the streamed response has stalled.

        Waiting for the client to read, or for earlier responses to it, is no stall of the upstream.
        """
        if self.sink is not None and (self.is_sink_paused or self.sink.is_queued()):
            self.last_progress_s = self.loop.time()
        if self.loop.time() - self.last_progress_s >= BODY_STALL_TIMEOUT_S:
            self.close()
        else:
            self.body_timer = self.loop.call_later(BODY_STALL_TIMEOUT_S / 2, self.check_stall)

    def pause(self) -> None:
        """Stop reading the streamed response."""
        self.is_sink_paused = True
        self.update_reading()

    def resume(self) -> None:
        """Resume reading the streamed response."""
        self.last_progress_s = self.loop.time()
        self.is_sink_paused = False
        self.update_reading()

    def abandon(self) -> None:
        """Close the connection: the rest of the streamed response is not needed."""
        self.sink = None
        self.close()

    def fail(self, reason: str) -> None:
        """Fail the exchange: an incomplete or malformed response is never passed on as a success."""
        self.pool.on_closed(CloseReason.UPSTREAM_FAULT)
        self.pool.warn_rate_limited(
            f"upstream {self.upstream.address[0]}:{self.upstream.address[1]}: bad response: {reason}"
        )
        if self.sink is not None:
            self.close()
        elif self.exchange is not None:
            self.exchange.finish(api.Outcome.ERROR)

    def on_message_begin(self) -> None:
        """Note a second response to one request: responses can no longer be matched to requests."""
        if self.is_response_complete:
            self.has_second_response = self.upstream.has_violated_protocol = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        if self.is_in_head and not self.is_response_complete:
            self.headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Check the framing and size of the response, and stream one that is known to be large.

        Without the limit on its length, a response of 3 GB would be received until the time-out.
        """
        if self.is_response_complete or 100 <= self.parser.get_status_code() < 200:
            return
        self.is_in_head = False
        self.check_response_time()
        # The size is checked here too, as the complete response may arrive in one read.
        head_bytes = self.headers.size
        length = self.headers.values.get(b"content-length")
        self.content_length = None if length is None else int(length)
        is_framed = length is not None or b"transfer-encoding" in self.headers.values
        max_body_bytes = MAX_BODY_BYTES if self.may_stream() else MAX_BUFFERED_BODY_BYTES
        if head_bytes > MAX_HEAD_BYTES or (self.content_length or 0) > max_body_bytes:
            raise ValueError(
                f"header of {head_bytes} bytes (maximum {MAX_HEAD_BYTES}) or "
                f"Content-Length {self.content_length} (maximum {max_body_bytes}) is too large"
            )
        # A body without framing ends with its connection (RFC 9112, 6.3), whatever Connection says.
        self.ends_with_connection = not is_framed
        if (self.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
            self.open_stream()

    def check_response_time(self) -> None:
        """Reject a response that is too early to be the one to the current request.

        Only a success is rejected: an upstream that rejects requests or fails is quicker than usual.
        """
        now_s = time.monotonic()
        elapsed_s = now_s - self.submitted_s
        self.has_own_response = (
            not self.has_responded or now_s - self.idle_since_s >= MISBEHAVED_REUSE_DELAY_S
        )
        if self.has_own_response:
            self.upstream.response_floor.record(elapsed_s)
            self.pool.response_floor.record(elapsed_s)
        elif self.parser.get_status_code() == 200 and elapsed_s < self.pool.early_limit_s(self.upstream):
            self.upstream.has_violated_protocol = True
            raise ValueError(
                f"it came {elapsed_s * 1e3:.1f} ms after the request, sooner than any response before"
            )

    def on_body(self, body: bytes) -> None:
        """Buffer or stream a piece of the body."""
        if self.is_response_complete:
            return
        self.framing_bytes = 0
        if self.sink is None:
            self.body.append(body)
            if len(self.body) > MAX_BUFFERED_BODY_BYTES:
                if not self.may_stream():
                    raise ValueError(
                        f"body of at least {len(self.body)} bytes that is not streamed, "
                        f"the maximum is {MAX_BUFFERED_BODY_BYTES}"
                    )
                self.open_stream()
        else:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Record that the response is complete; 1xx responses are skipped."""
        if self.is_response_complete:
            return
        if 100 <= self.parser.get_status_code() < 200:
            self.headers = HeaderBlock(DROPPED_RESPONSE_HEADERS)
            return
        self.is_response_complete = True
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()

    def finish(self) -> None:
        """End the exchange with its complete response, and keep the connection if it can be reused."""
        exchange = self.exchange
        assert exchange is not None
        self.has_responded = True
        self.cancel_body_timer()
        if self.sink is not None:
            sink, self.sink, self.exchange, exchange.connection = self.sink, None, None, None
            self.response_digest = None
            self.resume()
            (
                self.return_to_pool()
                if self.keep_alive and self.is_request_written and not self.has_second_response
                else self.close()
            )
            sink.end()
            return
        values = self.headers.values
        response = UpstreamResponse(
            self.status, self.headers.take_end_to_end_lines(), self.body.take(), values.get(b"srv-load", b"")
        )
        self.memory.hold(0)  # the response is charged to the connection of the client
        if self.is_copy_of_previous(exchange, response):
            self.upstream.has_violated_protocol = True
            self.fail("a second copy of the previous response")
            return
        if response.status == 200:
            outcome = api.Outcome.OK
        elif response.status in (503, 504) and values.get(b"srv-declined") == b"1":
            outcome = api.Outcome.FULL
        else:
            # A 503 without Srv-Declined does not say that the request has not run.
            outcome = api.Outcome.ERROR
        if exchange.upload is not None:
            exchange.upload.on_data = None
        if self.keep_alive and self.is_request_written and not self.has_second_response:
            self.exchange = exchange.connection = None
            self.return_to_pool()
        exchange.finish(outcome, response)

    def is_copy_of_previous(self, exchange: Exchange, response: UpstreamResponse) -> bool:
        """Return whether the response is a second copy of the previous one on the connection."""
        previous = self.response_digest
        self.response_digest = None
        # Load reports and failures repeat.
        if exchange.open_response_stream is not None and response.status == 200:
            self.response_digest = hash((response.header_lines, response.body))
        repeated = self.pool.repeated_responses
        if not self.has_own_response and repeated.is_copy(previous, self.response_digest):
            return True
        repeated.record(previous, self.response_digest, self.has_own_response)
        return False

    def return_to_pool(self) -> None:
        """Keep the connection for reuse, unless it is closed or its upstream has restarted or isn't ready."""
        self.idle_since_s = time.monotonic()
        self.put_back()

    def put_back(self) -> None:
        """Do the same for a connection that has carried nothing since it was taken from the pool."""
        upstream = self.upstream
        if self.is_lost or self.generation != upstream.generation or not upstream.is_ready():
            self.close()
            return
        upstream.idle[self] = self.pool.idle[self] = None

    def reject_unanswered_spare(self) -> None:
        """Open no more spare connections to an upstream that does not respond on one."""
        if self.is_spare and not self.has_responded:
            self.upstream.spares_allowed_at_s = float("inf")

    def abort_exchange(self) -> None:
        """Abandon the exchange by closing the connection: it ends before its response is complete."""
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.on_data = None
        self.exchange = None
        self.close()

    def remove_from_pool(self) -> None:
        """Remove the connection from the idle ones, if it is among them."""
        self.upstream.idle.pop(self, None)
        self.pool.idle.pop(self, None)

    def close(self) -> None:
        """Abort the connection."""
        self.remove_from_pool()
        self.is_closed_locally = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop counting the connection against the limit, and end its exchange.

        The exchange ends successfully if the end of the connection is the end of the response.
        """
        if self.is_lost:
            return
        self.is_lost = True
        self.remove_from_pool()
        self.memory.hold(0)
        self.pool.memory_waiters.remove(self)
        self.pool.connection_closed(self.upstream)
        self.cancel_body_timer()
        completes_response = (
            error is None and self.exchange is not None and self.ends_with_connection and not self.is_in_head
        )
        if completes_response and not self.is_response_complete and not self.is_closed_locally:
            self.is_response_complete, self.keep_alive, self.status = (
                True,
                False,
                self.parser.get_status_code(),
            )
            self.finish()
            self.release()
            return
        self.release()
        sink, self.sink = self.sink, None
        exchange, self.exchange = self.exchange, None
        if sink is not None:
            sink.fail()
        elif exchange is not None and not exchange.is_done:
            exchange.connection = None
            self.reject_unanswered_spare()
            exchange.finish(api.Outcome.RESET if self.is_request_written else api.Outcome.CONNECT_FAILED)

    def release(self) -> None:
        """Free what was buffered, and break the reference cycle with the parser."""
        self.body.clear()
        self.headers = HeaderBlock(DROPPED_RESPONSE_HEADERS)
        if self.began_s:  # it has a parser
            del self.parser


class ConnectionPool:
    """The connections to all upstreams, within a limit. Connections of other protocols count as well."""

    def __init__(
        self,
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.memory = memory or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.memory_waiters = MemoryWaiters(self.memory, self.loop)
        self.connect_timeout_s = connect_timeout_s
        # Shorter than the upstream's: a request on a connection that it closes just then is answered by a
        # reset.
        self.idle_timeout_s = (
            max(idle_timeout_s / 2, idle_timeout_s - 0.5) if idle_timeout_s > 0 else float("inf")
        )
        self.limit = ConnectionLimit(max_connections, self.memory)
        self.open_connections = 0  # number of connections, including those that are being established
        self.upstreams: dict[int, ListedUpstream] = {}
        self.response_floor = ResponseFloor()  # of all upstreams
        self.repeated_responses = RepeatedResponses()
        # All idle connections, longest idle first. In a plain dict, finding the first would take linear time.
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()
        self.dial_tasks: set[asyncio.Task[None]] = set()
        # Closes an idle multiplexed connection; returns False if there is none.
        self.evict_multiplexed: Callable[[], bool] = bool
        self.on_closed: Callable[[CloseReason], None] = ignore_close
        self.next_warning_s = 0.0
        self.timers = TimerQueue(self.loop)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def update(self, upstreams: list[ListedUpstream], is_full_list: bool) -> None:
        """Apply changed entries of the endpoint list, or with `is_full_list` the complete list."""
        if is_full_list:
            listed_ids = {upstream.entry.id for upstream in upstreams}
            for upstream_id, upstream in list(self.upstreams.items()):
                if upstream_id not in listed_ids:
                    upstream.entry = replace(upstream.entry, state=api.UpstreamState.GONE)
                    # Without this, the end of an override would bring the removed upstream back.
                    upstream.listed_entry = upstream.entry
                    upstream.close_idle()
                    self.remove_if_gone(upstream)
        for new in upstreams:
            old = self.upstreams.setdefault(new.entry.id, new)
            if (old.address, old.grpc_address, old.entry.started_us) != (
                new.address,
                new.grpc_address,
                new.entry.started_us,
            ):
                # Connections to the upstream's previous process are dead, even if they still look open.
                old.start_generation()
            old.entry, old.address, old.grpc_address, old.listed_entry = (
                new.entry,
                new.address,
                new.grpc_address,
                new.listed_entry,
            )
            if not old.is_ready():
                old.close_idle()
            self.remove_if_gone(old)
        self.memory.hold_list(len(self.upstreams))

    def connection_opened(self, upstream: ListedUpstream) -> None:
        """Record that a connection to the upstream is being established."""
        self.memory.charge(UPSTREAM_CONNECTION_BYTES)
        self.open_connections += 1
        upstream.open_connections += 1

    def connection_closed(self, upstream: ListedUpstream) -> None:
        """Record that a connection to the upstream is closed, or could not be established."""
        self.memory.charge(-UPSTREAM_CONNECTION_BYTES)
        self.open_connections -= 1
        upstream.open_connections -= 1
        self.remove_if_gone(upstream)

    def remove_if_gone(self, upstream: ListedUpstream) -> None:
        """Remove an upstream that is no longer listed, once it has no connection.

        Where upstreams are replaced all day, those that are gone would otherwise accumulate. One with a
        connection is kept, as its name may be listed again meanwhile.
        """
        if upstream.entry.state is api.UpstreamState.GONE and not upstream.open_connections:
            self.upstreams.pop(upstream.entry.id, None)

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        on_end: AttemptCallback,
        on_written: Callable[[], None] | None = None,
        open_stream: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> Exchange:
        """Return an exchange that has not begun."""
        return Exchange(render, on_end, on_written, open_stream, upload)

    def start(self, upstream: int, exchange: Attempt, timeout_s: float) -> None:
        """Begin an exchange with the upstream of this number; it may end before this returns."""
        assert isinstance(exchange, Exchange)
        listed_upstream = self.upstreams.get(upstream)
        if listed_upstream is None:
            exchange.finish(api.Outcome.NOT_SENT)
            return
        exchange.timeout_s = timeout_s
        exchange.timer = self.timers.call_later(timeout_s, exchange.expire)
        self.dispatch(listed_upstream, exchange)

    def dispatch(self, upstream: ListedUpstream, exchange: Exchange) -> None:
        """Give an exchange an idle connection, one whose reuse delay will soon be over, or a new one."""
        if not upstream.is_ready():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        reusable, delayed = self.pick_idle(upstream)
        if reusable is not None:
            reusable.remove_from_pool()
            reusable.begin(exchange)
            return
        if delayed is not None and not upstream.has_violated_protocol:
            delayed.remove_from_pool()
            left_s = delayed.reuse_delay_left_s()
            self.timers.call_later(left_s, delayed.begin_after_reuse_delay, exchange)
            if self.may_open_spare(upstream, left_s):
                self.start_dial(upstream, exchange, is_spare=True)
            return
        if self.open_connections >= self.max_connections and not self.evict():
            exchange.finish(api.Outcome.NOT_SENT)
            return
        self.start_dial(upstream, exchange, is_spare=False)

    def pick_idle(
        self, upstream: ListedUpstream
    ) -> tuple[UpstreamConnection | None, UpstreamConnection | None]:
        """Return an idle connection that may carry a request, or else the one that may do so first.

        Idle connections that can't be used any more are closed.
        """
        reusable: UpstreamConnection | None = None
        resting: list[UpstreamConnection] = []
        unusable: list[UpstreamConnection] = []  # closed after the loop, as closing removes them from `idle`
        for idle in reversed(upstream.idle):
            connection = cast(UpstreamConnection, idle)
            if connection.reuse_delay_left_s() > 0.0:
                resting.append(connection)
            elif connection.is_usable():
                reusable = connection
                break
            else:
                unusable.append(connection)
        delayed: UpstreamConnection | None = None
        while resting and reusable is None and delayed is None:
            connection = resting.pop()
            if connection.is_usable():
                delayed = connection
            else:
                unusable.append(connection)
        for connection in unusable:
            connection.close()
        return reusable, delayed

    def early_limit_s(self, upstream: ListedUpstream) -> float:
        """Return the response time below which a response of the upstream is too early."""
        own = upstream.response_floor
        return own.early_limit_s() if own.is_reliable else self.response_floor.early_limit_s()

    def may_open_spare(self, upstream: ListedUpstream, wait_s: float) -> bool:
        """Return whether a request opens a connection, although it would get one after this wait.

        It does if the upstream usually responds sooner. Otherwise opening a connection takes about as long
        as the wait, and each connection costs the upstream work.
        """
        return (
            upstream.response_floor.typical_s < wait_s
            and self.open_connections < self.max_connections
            and time.monotonic() >= upstream.spares_allowed_at_s
        )

    def start_dial(self, upstream: ListedUpstream, exchange: Exchange, is_spare: bool) -> None:
        """Open a connection for an exchange in a task."""
        self.connection_opened(upstream)
        task = self.loop.create_task(self.dial(upstream, exchange, is_spare))
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    async def dial(self, upstream: ListedUpstream, exchange: Exchange, is_spare: bool) -> None:
        """Open a connection and begin the exchange on it, unless another connection carries it by then."""
        connection = UpstreamConnection(self, upstream, is_spare)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(partial(as_protocol, connection), *upstream.address)
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: not a valid host name
            connection.close()
            # The loop does not call this for a connection that was established just before the time-out.
            connection.connection_lost(error)
            is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            if is_local:
                self.warn_rate_limited(f"no connection could be opened: {error}")
            self.dial_failed(connection, exchange, is_local)
            return
        if connection.transport is None or connection.transport.is_closing():
            self.dial_failed(connection, exchange, is_local=False)
        elif not exchange.is_waiting:  # the connection is kept for the next request
            connection.return_to_pool()
        elif connection.generation != upstream.generation:
            connection.close()
            self.dial_failed(connection, exchange, is_local=False)
        else:
            connection.begin(exchange)

    def dial_failed(self, connection: UpstreamConnection, exchange: Exchange, is_local: bool) -> None:
        """End the exchange, unless another connection carries it or is reserved for it."""
        if connection.is_spare:
            connection.upstream.spares_allowed_at_s = time.monotonic() + SPARE_RETRY_S
        elif exchange.is_waiting:
            exchange.finish(api.Outcome.NOT_SENT if is_local else api.Outcome.CONNECT_FAILED)

    def evict(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        if not self.idle:
            return self.evict_multiplexed()
        next(iter(self.idle)).close()
        self.on_closed(CloseReason.UPSTREAM_REPLACED)
        return True

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Halve the limit of connections, or restore it; close idle ones above the limit."""
        self.limit.set_halved(is_halved)
        for _ in range(self.open_connections - self.max_connections):
            if not self.evict():
                break

    @property
    def max_connections(self) -> int:
        """How many connections may be open now."""
        return self.limit.value

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to the upstream of this number."""
        if upstream in self.upstreams:
            self.upstreams[upstream].close_idle()

    def sweep(self) -> None:
        """Close the connections that have been idle for the idle timeout."""
        self.limit.update()
        oldest_s = time.monotonic() - self.idle_timeout_s
        while self.idle and (first := next(iter(self.idle))).idle_since_s <= oldest_s:
            first.close()
            self.on_closed(CloseReason.UPSTREAM_IDLE)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def warn_rate_limited(self, text: str) -> None:
        """Log a warning, at most one per second, so that no fault logs a line for each request."""
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("%s", text)

    def close(self) -> None:
        """Stop all timers and dials, and close the idle connections."""
        self.timers.close()
        self.sweep_timer.cancel()
        self.memory_waiters.close()
        for task in self.dial_tasks:
            task.cancel()
        for connection in list(self.idle):
            connection.close()
