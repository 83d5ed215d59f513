"""A client connection: parses its requests, and writes their responses in order."""

from __future__ import annotations

import asyncio
import http
import logging
import socket
from collections.abc import Callable
from typing import cast

import httptools

from sidecar_proxy.engine.body_buffers import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    ResponseSink,
    ResponseSource,
    Upload,
)
from sidecar_proxy.engine.byte_blocks import ByteBlocks
from sidecar_proxy.engine.input_watch import InputWatch
from sidecar_proxy.engine.memory_budget import SMALL_READ_BYTES, MemoryAccount
from sidecar_proxy.http1.event_poll import EventPoll, make_hangup_poll, make_input_poll
from sidecar_proxy.http1.header_block import DROPPED_REQUEST_HEADERS, HeaderBlock
from sidecar_proxy.http1.kernel_buffers import (
    MAX_KERNEL_SEND_BYTES,
    UNKNOWN,
    kernel_input_age_us,
    kernel_input_bytes,
)
from sidecar_proxy.http1.listener import Listener
from sidecar_proxy.http1.request import MAX_UPLOAD_DURATION_US, RequestRejectedError
from sidecar_proxy.http1.response_stream import QueuedRequest, ResponseStream
from sidecar_proxy.http1.upstream import MAX_HEAD_BYTES

log = logging.getLogger("sidecar_proxy")

LINGER_TIMEOUT_S = 3.0  # maximum time for which input is discarded after the last response
# Maximum time to the end of a request's head: from the accept for the first request, from its first byte for
# later ones.
HEAD_TIMEOUT_S = 2.3
# Maximum time from the head to the end of the body, plus a second per MIN_UPLOAD_BYTES_PER_S bytes received.
BODY_TIMEOUT_S = 2.0
MIN_UPLOAD_BYTES_PER_S = 16 * 1024
BODY_STALL_TIMEOUT_S = 2.0  # maximum time between two pieces of a body
DISCARD_INTERVAL_S = 0.02  # interval between two reads of input that is discarded
MAX_PIPELINED_REQUESTS = 16
# What one connection may have parsed before the event loop turns to the others: a header or a piece of a body
# counts as one, a complete request as several.
MAX_WORK_PER_TURN = 64
REQUEST_WORK = 8
# Input is parsed in slices, and the limits are checked in between. A slice ends with the head of a request.
MIN_SLICE_BYTES = 1024
MAX_SLICE_BYTES = 16 * 1024
MAX_READ_AHEAD_BYTES = 16 * 1024  # input that is kept behind the most pipelined requests
LITTLE_WORK = 4  # slices grow while a slice is no more work than this
END_OF_HEAD = b"\r\n\r\n"
MEMORY_WAIT_S = 0.5  # maximum time that a request which is being received waits for memory
NO_RESPONSE = (0, b"", b"")  # stands for a response that was streamed or is not needed
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


# Stand for those of a connection that receives no request.
NO_HEADERS = HeaderBlock(DROPPED_REQUEST_HEADERS)
NO_BODY = ByteBlocks()


class PendingRequest:
    """A request in the queue of its connection, with its response once there is one."""

    __slots__ = (
        "connection",
        "keep_alive",
        "is_http_1_0",
        "response",
        "stream",
        "upload",
        "request_number",
        "request_id",
    )

    def __init__(self, connection: ClientConnection, keep_alive: bool, is_http_1_0: bool = False) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.is_http_1_0 = is_http_1_0
        self.response: tuple[int, bytes, bytes] | None = None  # status, header lines, body
        self.stream: ResponseStream | None = None  # a streamed response, in place of `response`
        self.upload: Upload | None = None  # the body of the request, if it is large
        self.request_number = 0  # the engine's number of the request
        self.request_id = b""  # value of Req-Id, set once the request is accepted

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """Take a complete response; a second response is ignored."""
        if self.response is None and self.stream is None:
            self.response = status, head, body
            self.connection.queued_bytes += len(head) + len(body)
            self.complete()
            self.connection.flush()

    def is_client_gone(self) -> bool:
        """Return whether the client has disconnected, even if that can't be read yet."""
        return self.connection.is_client_gone()

    def input_age_us(self) -> int:
        """Return how long ago the last byte of the request arrived, as far as that is known."""
        connection = self.connection
        if connection.socket is None:
            return 0
        # The clock of the kernel may have another pace than that of this process.
        max_age_us = connection.input.heartbeat.read_clock_us() - connection.input_since_us
        return min(kernel_input_age_us(connection.socket), max_age_us)

    def open_stream(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink:
        """Open a streamed response."""
        self.stream = ResponseStream(self, head, length, source, ended)
        if self.upload is not None and not self.upload.is_streaming:
            self.upload.discard()  # no further attempt needs the body
        self.connection.flush()
        return self.stream

    def complete(self) -> None:
        """Record the end of the request: its Req-Id is available again, further body data is dropped."""
        self.connection.server.open_request_ids.discard(self.request_id)
        if self.upload is not None:
            # After a response to an incomplete request, its rest would be parsed as the next request.
            self.keep_alive = self.keep_alive and self.upload.is_complete
            self.upload.discard()

    def release_stream(self) -> None:
        """Drop the reference to a stream that has ended: the two refer to each other."""
        if self.stream is not None:
            self.response, self.stream = NO_RESPONSE, None

    def abandon(self) -> None:
        """Abandon the request because its client has disconnected."""
        if self.stream is not None:
            self.stream.abandon()
            self.complete()
            self.release_stream()
        elif self.response is None:
            self.response = NO_RESPONSE
            self.complete()
            self.connection.server.engine.client_gone(self.request_number)


class ClientConnection:
    """A connection from the application.

    It has the methods of an asyncio.Protocol but does not inherit from it: with a base class that is not
    compiled, each attribute would be looked up in a dictionary.
    """

    __deletable__ = ("parser",)
    idle_timeout_s = 4.0  # maximum time between two requests

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.socket: socket.socket | None = None  # as it was accepted; the transport owns it
        self.input = InputWatch(server.heartbeat, server.backlog.last_empty_us())
        self.input_since_us = self.input.empty_us  # what is parsed now has come since
        self.parser = httptools.HttpRequestParser(self)
        self.memory = MemoryAccount(server.memory)
        # queued requests, in the order of their arrival and of the responses
        self.pending: list[PendingRequest] = []
        self.queued_bytes = 0  # bytes of responses that are not written yet
        # Bytes that were written and that the transport holds: it releases a piece once all of it was sent.
        self.unsent_bytes = 0
        self.last_write_bytes = 0
        # loop time at which the connection was accepted, became idle or began to receive a later request
        self.phase_began_s = server.loop.time()
        self.last_input_s = self.phase_began_s  # loop time of the last input
        self.has_received_request = False  # whether at least one complete request has arrived
        self.is_receiving = False  # whether a request has begun to arrive and is incomplete
        self.is_in_head = True
        self.is_discarding = False  # whether any further input is discarded
        self.unparsed = b""  # input that is parsed in this turn or in later ones, or once output was sent
        self.unparsed_at = 0  # where it begins
        self.work_in_turn = 0
        self.slice_bytes = MIN_SLICE_BYTES
        self.is_parse_scheduled = False
        self.is_parsing = False
        self.hangup_poll: EventPoll | None = None
        # What keeps the connection from reading
        self.is_paused = False
        self.paused_at_s = 0.0
        self.is_pipeline_full = False  # from the most pipelined requests until all of them are answered
        self.is_discard_paused = False
        self.is_write_paused = False  # whether the client does not read its responses
        self.is_waiting_for_memory = False
        self.memory_wait_began_s = 0.0  # 0 = this request has not had to wait
        self.unparsed_bytes = 0
        self.target = b""
        self.headers = NO_HEADERS
        self.head_bytes = 0  # bytes of the current head and trailers
        self.framing_bytes = 0  # bytes parsed since the head or the last piece of the body
        self.content_length: int | None = None
        self.body = NO_BODY
        self.body_bytes = 0  # bytes received of the current body
        self.upload: Upload | None = None  # the body that is being received, if it is large
        # the request whose body is being received, if it was accepted before the end of its body
        self.streamed_request: PendingRequest | None = None
        self.is_continue_due = False  # whether a 100 Continue is to be sent
        # Whether the client may have written all of the upload, although it is not read yet
        self.may_upload_be_complete = False
        self.linger_timer: asyncio.TimerHandle | None = None

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, or abort it if the connection was closed before it had one.

        The transport passes each write to the kernel at once. pause_writing() tells that the kernel has not
        accepted all of it.
        """
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods but not the base class
        self.transport.set_write_buffer_limits(high=0)
        self.input.begin()
        if self.is_discarding:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon what is pending, and break the reference cycle with the parser."""
        self.server.remove(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.server.paused_connections.pop(self, None)
        self.server.unread_connections.pop(self, None)
        self.server.memory_waiters.remove(self)
        self.abandon()
        self.queued_bytes = 0
        self.memory.hold(0)
        del self.parser

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the transport reads to. All connections share it, as input is copied at once.

        Heads are read in small pieces: what is read beyond the requests of one turn is kept.
        """
        if self.is_discarding:
            return self.server.discard_memory
        is_in_long_body = self.is_receiving and not self.is_in_head
        memory = self.server.memory
        return memory.read_buffer.offer(memory.read_bytes() if is_in_long_body else SMALL_READ_BYTES)

    def buffer_updated(self, size: int) -> None:
        """Take what was read."""
        if self.is_discarding:
            self.discard()
            return
        read_us = self.input.heartbeat.read_clock_us()
        buffer = self.server.memory.read_buffer
        is_buffer_full = buffer.was_filled(size)
        if not is_buffer_full and self.may_upload_be_complete:
            self.upload_caught_up()
        self.data_received(buffer.take(size))
        if not is_buffer_full:
            self.input.seen_empty(read_us)
        elif not self.is_discarding:
            self.schedule_parse()  # there may be more, which the transport would read at once

    def data_received(self, data: bytes) -> None:
        """Parse input; on an error reject the request."""
        if self.is_discarding:
            self.discard()
            return
        if self.has_received_request and not self.is_receiving and not self.unparsed:
            self.phase_began_s = self.server.loop.time()
        self.last_input_s = self.server.loop.time()
        self.server.mark_busy(self)
        if self.unparsed:
            data = self.unparsed[self.unparsed_at :] + data
        else:
            self.input_since_us = self.input.last_empty_us()
        self.unparsed, self.unparsed_at = data, 0
        if self.is_parse_scheduled:
            return
        if self.is_pipeline_full:
            self.limit_read_ahead()
            self.charge_memory()
        else:
            self.parse()

    def discard(self) -> None:
        """Drop what was read, and pause.

        60 MB discarded at full speed would take the CPU from all other connections. While a request is
        pending, input is read without a delay: the close of the client may be behind it.
        """
        if self.is_discard_paused:
            return
        self.is_discard_paused = True
        self.update_reading()
        self.server.loop.call_later(0.0 if self.pending else DISCARD_INTERVAL_S, self.discard_on)

    def discard_on(self) -> None:
        """Read on after the pause between two reads of discarded input."""
        self.is_discard_paused = False
        self.update_reading()

    # Input

    def schedule_parse(self) -> None:
        """Parse and read on in a later iteration of the event loop, in turn with the other connections."""
        if not self.is_parse_scheduled:
            self.is_parse_scheduled = True
            self.server.schedule_turn(self)
            self.update_reading()

    def take_turn(self) -> None:
        """Parse what is left of earlier turns."""
        self.is_parse_scheduled = False
        if self.transport is None or self.transport.is_closing():
            return
        self.parse()

    def may_parse(self) -> bool:
        """Return whether input may be parsed now.

        A client that does not read its responses, or that sends requests ahead while memory is low, may
        complete a request but begin no further one.
        """
        if self.is_discarding or self.is_waiting_for_memory:
            return False
        if self.is_receiving:
            return True
        return not self.is_write_paused and not (self.pending and self.server.memory.is_low())

    def parse(self) -> None:
        """Parse input, up to the limit for one turn."""
        if self.is_parsing:  # a response to one of the requests was written meanwhile
            return
        self.is_parsing, self.work_in_turn = True, 0
        while self.unparsed and self.work_in_turn < MAX_WORK_PER_TURN and self.may_parse():
            self.parse_piece(self.take_slice())
            if self.is_receiving or self.unparsed or self.memory.charged_bytes:
                self.charge_memory()
        self.is_parsing = False
        if self.is_discarding:
            self.unparsed = b""
        elif self.unparsed and self.may_parse():
            self.schedule_parse()
        elif not self.pending and not self.unparsed:
            self.all_responses_written()
        else:
            self.limit_read_ahead()
        self.update_reading()

    def limit_read_ahead(self) -> None:
        """Reject what comes behind pending requests if it is too much to be kept."""
        max_bytes = SMALL_READ_BYTES if self.server.memory.is_low() else MAX_READ_AHEAD_BYTES
        if self.pending and len(self.unparsed) - self.unparsed_at > max_bytes:
            self.reject(RequestRejectedError(400, "too many requests at once"))

    def take_slice(self) -> bytes:
        """Remove and return the input to parse before the limits are checked again."""
        begin = self.unparsed_at
        end = begin + self.slice_bytes
        if self.is_in_head or not self.is_receiving:
            end_of_head = self.unparsed.find(END_OF_HEAD, begin, begin + MIN_SLICE_BYTES)
            end = begin + MIN_SLICE_BYTES if end_of_head < 0 else end_of_head + len(END_OF_HEAD)
        elif self.content_length is not None:
            end = begin + max(1, self.content_length - self.body_bytes)
        data = self.unparsed[begin:end]
        if end >= len(self.unparsed):
            self.unparsed, self.unparsed_at = b"", 0
        else:
            self.unparsed_at = end
        return data

    def parse_piece(self, data: bytes) -> None:
        """Pass input to the parser; on an error reject the request."""
        self.unparsed_bytes += len(data)
        self.framing_bytes += len(data)
        work_before = self.work_in_turn
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_discarding = True  # upgrades are not supported, and what follows is not HTTP/1.1
            for request in self.pending:
                request.keep_alive = False
            if not self.pending and self.transport is not None:
                self.close_after_response(self.transport)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if not self.is_discarding:
                self.reject(
                    cause
                    if isinstance(cause, RequestRejectedError)
                    else RequestRejectedError(400, "no HTTP request")
                )
        is_little_work = self.work_in_turn - work_before <= LITTLE_WORK
        self.slice_bytes = min(MAX_SLICE_BYTES, 2 * self.slice_bytes) if is_little_work else MIN_SLICE_BYTES
        if not self.is_discarding and self.framing_bytes > MAX_HEAD_BYTES:
            self.reject(RequestRejectedError(431, "headers too large"))

    # Memory

    def charge_memory(self) -> None:
        """Charge what the connection holds to the memory budget; wait or reject if there is no room."""
        held_bytes = len(self.unparsed) + self.queued_bytes + self.unsent_bytes
        if self.is_receiving:
            held_bytes += self.received_head_bytes() + len(self.body)
        self.memory.hold(held_bytes)
        is_growing = self.is_receiving and not self.is_discarding and self.streamed_request is None
        if is_growing and self.memory.charged_bytes and not self.server.memory.has_room():
            self.wait_for_memory()

    def wait_for_memory(self) -> None:
        """Have other incomplete requests rejected, or stop reading, or reject the request."""
        if self.is_waiting_for_memory or self.server.make_room(self):
            return
        now_s = self.server.loop.time()
        self.memory_wait_began_s = self.memory_wait_began_s or now_s
        if self.is_in_head or now_s - self.memory_wait_began_s >= MEMORY_WAIT_S:
            self.reject_for_memory()
            return
        self.is_waiting_for_memory = True
        self.server.memory_waiters.add(self)

    def memory_available(self) -> None:
        """Read on."""
        self.is_waiting_for_memory = False
        self.charge_memory()
        if not self.is_waiting_for_memory and not self.is_discarding:
            self.parse()

    def reject_for_memory(self) -> None:
        """Reject the request that is being received; it was not forwarded, so it may be retried."""
        self.server.mark_busy(self)
        self.reject(RequestRejectedError(503, "out of memory"))

    def held_bytes(self) -> int:
        """Return how much memory a rejection of the incomplete request would release."""
        if self.is_discarding or not self.is_receiving or self.streamed_request is not None:
            return 0
        return self.received_head_bytes() + len(self.body)

    def received_head_bytes(self) -> int:
        """Return the bytes of the head or the trailers, of which the parser keeps an incomplete field."""
        return max(self.head_bytes, self.framing_bytes)

    def drop_input(self) -> None:
        """Release what was received of an incomplete request."""
        self.unparsed, self.unparsed_at = b"", 0
        self.release_message()

    def release_message(self) -> None:
        """Release the head and the body of the request that was received."""
        self.headers, self.body, self.target, self.head_bytes = NO_HEADERS, NO_BODY, b"", 0

    # Pauses

    def is_reading_blocked(self) -> bool:
        """Return whether the connection must not read now."""
        if self.is_discarding:
            return self.is_discard_paused
        return bool(
            self.is_parse_scheduled
            or (self.unparsed and not self.may_read_ahead())
            or self.is_waiting_for_memory
            or (self.is_write_paused and not self.is_receiving)
            or (self.upload is not None and self.upload.is_full())
        )

    def may_read_ahead(self) -> bool:
        """Return whether to read on although earlier input has to wait.

        While a request is pending, the close of the client may be behind what follows.
        """
        return bool(self.pending) and not self.is_write_paused and not self.is_waiting_for_memory

    def update_reading(self) -> None:
        """Stop or resume reading. A pause does not count against the client's time limit."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        is_blocked = self.is_reading_blocked()
        if is_blocked and not self.is_paused:
            self.is_paused, self.paused_at_s = True, self.server.loop.time()
            self.input.end()
            transport.pause_reading()
            if self.streamed_request is not None:
                self.upload_fell_behind()
        elif not is_blocked and self.is_paused:
            self.is_paused = False
            self.input.begin()
            self.server.paused_connections.pop(self, None)
            paused_s = self.server.loop.time() - self.paused_at_s
            self.phase_began_s += paused_s
            self.last_input_s += paused_s
            transport.resume_reading()
        if is_blocked and self.pending:
            self.server.watch_for_hangup(self)

    def eof_received(self) -> None:
        """Abandon what is pending: the client has disconnected, and asyncio closes the connection.

        It does so once all output has been sent, which a client that does not read delays. Queued requests
        would be forwarded meanwhile.
        """
        self.abandon()

    def abandon(self) -> None:
        """Discard further input, and abandon all that is pending."""
        self.is_discarding = True
        self.abort_upload()
        self.drop_input()
        self.abandon_pending()

    def is_client_gone(self) -> bool:
        """Return whether the client has disconnected; what it sent before may not be read yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        if self.hangup_poll is None:
            self.hangup_poll = make_hangup_poll(transport)
        return self.hangup_poll.has_occurred(if_unknown=False)

    def pause_writing(self) -> None:
        """Record that the kernel does not accept all output: the client does not read it."""
        self.is_write_paused = True
        self.unsent_bytes = self.last_write_bytes
        self.server.watch_unread_output(self)
        self.charge_memory()
        self.update_reading()

    def resume_writing(self) -> None:
        """Continue the streamed response and the parsing: the client reads again."""
        self.is_write_paused = False
        self.unsent_bytes = 0
        self.server.unread_connections.pop(self, None)
        if self.pending and (stream := self.pending[0].stream) is not None:
            stream.resume()
        self.charge_memory()
        if self.is_discarding:
            if self.linger_timer is not None:
                self.server.mark_lingering(self)
            return
        if self.unparsed:
            self.schedule_parse()
        elif not self.pending:
            if not self.is_receiving:
                self.phase_began_s = self.server.loop.time()
            self.server.mark_waiting(self)
        self.update_reading()

    @property
    def receive_timeout_s(self) -> float:
        """The time limit, counted from `phase_began_s`, for what is being received."""
        if self.is_in_head:
            return HEAD_TIMEOUT_S
        until_stall_s = self.last_input_s - self.phase_began_s + BODY_STALL_TIMEOUT_S
        return min(BODY_TIMEOUT_S + self.body_bytes / MIN_UPLOAD_BYTES_PER_S, until_stall_s)

    def can_close(self) -> bool:
        """Return whether closing loses neither output nor unread input, which may hold a request."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.is_write_paused:
            return False
        if self.is_discarding or self.unparsed:
            return self.is_discarding
        return not make_input_poll(self.transport).has_occurred(if_unknown=True)

    def has_unsent_output(self) -> bool:
        """Return whether the transport still buffers output."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def is_delivering(self) -> bool:
        """Return whether a response has begun to be delivered and is not complete."""
        is_streaming = bool(self.pending) and self.pending[0].stream is not None
        return is_streaming or self.is_write_paused

    def close(self) -> None:
        """End the connection, and drop output that the client does not read.

        A graceful close would wait for such a client forever.
        """
        self.is_discarding = True
        if self.transport is not None:
            (self.transport.abort if self.has_unsent_output() else self.transport.close)()

    def announce_shutdown(self) -> None:
        """Do nothing: while the listener is closing, each response carries `Connection: close`."""

    # The parser

    def on_message_begin(self) -> None:
        """Begin a request, unless too many are pending.

        One read may hold hundreds of requests, and pausing takes effect only on later reads.
        """
        if self.is_discarding or len(self.pending) >= MAX_PIPELINED_REQUESTS:
            raise RequestRejectedError(400, "too many requests at once")
        self.is_receiving = self.is_in_head = True
        self.target = b""
        self.headers = HeaderBlock(DROPPED_REQUEST_HEADERS)
        self.head_bytes = self.body_bytes = self.framing_bytes = 0
        self.content_length = None
        self.body = ByteBlocks()
        self.memory_wait_began_s = 0.0

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self.target += url
        self.head_bytes += len(url)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        self.work_in_turn += 1
        if self.is_in_head:
            self.headers.add(name, value)
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Check the framing of the body. Two framings of one body would allow request smuggling."""
        self.is_in_head = False
        self.framing_bytes = 0
        values = self.headers.values
        length = values.get(b"content-length")
        if length is not None and (
            b"transfer-encoding" in values or b"content-length" in self.headers.repeated
        ):
            raise RequestRejectedError(400, "two framings of one body")
        self.phase_began_s = self.server.loop.time()
        if length is not None:
            self.content_length = int(length)
            if self.content_length > MAX_BODY_BYTES:
                raise RequestRejectedError(413, "body too large")
        if values.get(b"expect", b"").lower() == b"100-continue":
            self.is_continue_due = True
            self.send_continue()

    def send_continue(self) -> None:
        """Send 100 Continue if it is due and can't be mistaken for an earlier response that is pending."""
        if self.is_continue_due and not self.pending and self.transport is not None:
            self.is_continue_due = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body, or stream it if the body is too large to be buffered."""
        if self.is_discarding:
            return
        self.work_in_turn += 1
        self.framing_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise RequestRejectedError(413, "body too large")
        upload = self.upload
        if upload is None:
            self.body.append(body)
            if self.body_bytes <= MAX_BUFFERED_BODY_BYTES:
                return
            upload = self.upload = Upload(self.server.body_budget, self.content_length)
            body = self.body.take()
        upload.append(body)
        if not upload.is_streaming and not upload.fits_budget():
            self.stream_upload(upload)
        if upload.is_full() and not self.is_discarding:
            self.update_reading()

    def stream_upload(self, upload: Upload) -> None:
        """Submit the request now and stream its body: it is too large to be buffered completely."""
        upload.is_streaming, upload.on_capacity = True, self.update_reading
        request = self.streamed_request = self.queue_request()
        request.upload = upload
        self.server.uploads[self] = None
        self.submit(request, b"", upload)

    def on_message_complete(self) -> None:
        """Submit the request, or complete the body of one that is being streamed."""
        (
            self.is_receiving,
            self.is_in_head,
            self.is_continue_due,
            self.unparsed_bytes,
            self.has_received_request,
        ) = False, True, False, 0, True
        self.framing_bytes = 0
        self.work_in_turn += REQUEST_WORK
        if self.is_discarding:
            return
        upload, request = self.upload, self.streamed_request
        self.upload = self.streamed_request = None
        if request is not None and upload is not None:
            self.server.uploads.pop(self, None)
            request.keep_alive = self.parser.should_keep_alive()
            if not self.may_upload_be_complete:
                self.server.engine.upload_complete(request.request_number)
            self.may_upload_be_complete = False
            upload.complete()
            return
        request = self.queue_request()
        request.upload = upload
        self.submit(request, self.body.take() if upload is None else upload.take_body(), None)
        self.release_message()

    def queue_request(self) -> PendingRequest:
        """Append the request that is being received to the queue."""
        request = PendingRequest(
            self, self.parser.should_keep_alive(), self.parser.get_http_version() == "1.0"
        )
        self.pending.append(request)
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            self.is_pipeline_full = True
        return request

    def submit(self, request: PendingRequest, body: bytes, upload: Upload | None) -> None:
        """Pass a request to the server. An unexpected exception fails only this request."""
        try:
            self.server.accept_request(
                request, self.parser.get_method(), self.target, self.headers, body, upload
            )
        except RequestRejectedError as error:
            self.reject_request(request, error)
        except Exception:
            log.exception("accepting a client's request failed; answered 500")
            request.reply(500)

    def upload_fell_behind(self) -> None:
        """Start the deadline if the client may have written all of its body: its time is counted from then.

        Input that is not read yet is in the kernels of both sides, which hold only so much.
        """
        request, transport = self.streamed_request, self.transport
        if request is None or transport is None or self.may_upload_be_complete:
            return
        unread_bytes = kernel_input_bytes(transport)
        if self.content_length is not None and unread_bytes != UNKNOWN:
            missing_bytes = self.content_length - self.body_bytes
            if missing_bytes > unread_bytes + MAX_KERNEL_SEND_BYTES:
                return
        self.may_upload_be_complete = True
        self.server.engine.upload_complete(request.request_number)

    def upload_caught_up(self) -> None:
        """Take the deadline back: all that the client has written was read, and the body is incomplete."""
        self.may_upload_be_complete = False
        if self.streamed_request is not None:
            self.server.engine.upload_incomplete(self.streamed_request.request_number, MAX_UPLOAD_DURATION_US)

    def abort_upload(self) -> None:
        """Fail the upload that is being received, if any: the rest of it will not arrive."""
        upload, self.upload, self.streamed_request = self.upload, None, None
        self.server.uploads.pop(self, None)
        if upload is not None:
            upload.fail()
            upload.discard()

    # Responses

    def reject(self, error: RequestRejectedError) -> None:
        """Reject the request that is being received, and end the connection after the response.

        Where a request ends is unknown if it can't be parsed, so nothing can follow it.
        """
        request = self.streamed_request
        if request is None:
            request = PendingRequest(self, False)
            self.pending.append(request)
            self.reject_request(request, error)
            return
        self.is_discarding, request.keep_alive = True, False
        self.server.engine.fail_request(request.request_number, error.status)  # the engine has it already

    def reject_request(self, request: PendingRequest, error: RequestRejectedError) -> None:
        """Answer with an error and end the connection.

        What follows a bad request is mostly bad as well, and one read may hold hundreds of requests; none of
        them is parsed.
        """
        self.is_discarding, request.keep_alive = True, False
        self.server.engine.activity.rejected(error.status, str(error), request.request_id)
        self.abort_upload()
        self.drop_input()
        request.reply(error.status, b"Content-Type: text/plain\r\n", str(error).encode() + b"\n")

    def flush(self) -> None:
        """Write the responses that are available, in the order of their requests."""
        transport = self.transport
        while self.pending and transport is not None:
            request = self.pending[0]
            # While the listener is closing, requests that are queued behind this one are answered as well.
            keep_alive = request.keep_alive and (not self.server.is_closing or len(self.pending) > 1)
            if request.stream is not None:
                if request.stream.transport is None:
                    request.stream.begin(transport, keep_alive and request is not self.streamed_request)
                if not request.stream.has_ended:
                    break
                keep_alive = request.stream.keep_alive
            elif request.response is not None:
                self.write_response(transport, request.response, keep_alive)
            else:
                break
            del self.pending[0]
            request.release_stream()
            if not keep_alive:
                self.close_after_response(transport)
        if self.queued_bytes or self.unsent_bytes or self.memory.charged_bytes:
            self.charge_memory()
        if not self.pending:
            self.all_responses_written()

    def write_response(
        self, transport: asyncio.Transport, response: tuple[int, bytes, bytes], keep_alive: bool
    ) -> None:
        """Write a complete response."""
        status, head, body = response
        self.queued_bytes -= len(head) + len(body)
        close = b"" if keep_alive else b"Connection: close\r\n"
        self.write(
            transport,
            b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
            % (status, REASON_PHRASES.get(status, b""), head, close, len(body), body),
        )

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write output, and charge it to the memory budget as far as the kernel does not accept it."""
        self.last_write_bytes = len(data)
        if self.is_write_paused:
            self.unsent_bytes += len(data)
        transport.write(data)  # this may call pause_writing()

    def all_responses_written(self) -> None:
        """Go on with the next request."""
        self.is_pipeline_full = False
        if self.is_parsing:  # it goes on with what it has
            return
        if not self.is_discarding:
            self.send_continue()
            if self.unparsed and self.may_parse():
                self.schedule_parse()
            if not self.is_receiving and not self.unparsed:
                self.phase_began_s = self.server.loop.time()
            if not self.unparsed:
                self.server.mark_waiting(self)
        self.update_reading()

    def abort(self, request: QueuedRequest) -> None:
        """Abort the connection, because the response to `request` can't be completed."""
        if self.transport is not None:
            self.transport.abort()

    def abandon_pending(self) -> None:
        """Abandon all queued requests: no client waits for them."""
        pending, self.pending = self.pending, []
        for request in pending:
            request.abandon()

    def close_after_response(self, transport: asyncio.Transport) -> None:
        """Close the connection so that the client receives the response that was just written.

        Closing while there is unread input resets the connection, and the client may lose the response. So if
        input may still arrive, it is read and discarded for up to LINGER_TIMEOUT_S.
        """
        self.abandon_pending()
        if self.is_discarding or self.is_receiving:
            self.is_discarding = True
            self.abort_upload()
            self.drop_input()
            self.update_reading()
            transport.write_eof()
            self.linger_timer = self.server.loop.call_later(LINGER_TIMEOUT_S, self.linger_timeout)
            if not self.is_write_paused:
                self.server.mark_lingering(self)
        else:
            self.is_discarding = True
            transport.close()

    def linger_timeout(self) -> None:
        """End the connection, unless the client still reads its response."""
        if self.transport is None:
            return
        if self.is_write_paused:
            self.linger_timer = self.server.loop.call_later(LINGER_TIMEOUT_S, self.linger_timeout)
        else:
            self.transport.abort()
