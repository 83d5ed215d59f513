"""Connections of gRPC clients: HTTP/2 with prior knowledge (RFC 9113, 3.3) on the listener of HTTP/1.1.

The ProtocolSniffer tells the two protocols apart by the first bytes. A call is passed to the engine when its
request is complete, when the replay buffer is full, or a short time after its headers. Most calls are a
single message, and a request that is complete in the buffer can be sent again whatever happens to an attempt.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import cast

from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.engine.memory_budget import SMALL_READ_BYTES, MemoryAccount
from sidecar_proxy.engine.read_turns import ReadTurns
from sidecar_proxy.grpc import health
from sidecar_proxy.grpc.buffer_budget import LONG_STREAM_WINDOW_BYTES
from sidecar_proxy.grpc.metadata import CallRejectedError, Headers, MetadataReader, first_value, is_grpc
from sidecar_proxy.grpc.relay import MAX_REPLAY_BYTES, RESPONSE_HEADERS, Relay
from sidecar_proxy.grpc.status import Code, encode_message
from sidecar_proxy.grpc.upstream import UpstreamPool
from sidecar_proxy.http1.client import ClientConnection
from sidecar_proxy.http1.event_poll import make_hangup_poll, make_input_poll
from sidecar_proxy.http1.listener import DownstreamConnection, Listener
from sidecar_proxy.http1.request import RequestRejectedError as HttpRejected
from sidecar_proxy.http2.connection import (
    CANCEL,
    NO_ERROR,
    PREFACE,
    Connection,
    ConnectionEnded,
    DataReceived,
    HeadersReceived,
    Limits,
    StreamError,
    StreamReset,
    TrailersReceived,
)
from sidecar_proxy.http2.protocol import Http2Protocol

START_DELAY_S = 0.02  # delay from the headers of a call to its start, if the request is incomplete
# Charges to the memory budget, without bodies
CONNECTION_BYTES = 16 * 1024  # the state of HTTP/2, most of it the tables of compressed headers
CALL_BYTES = 6 * 1024  # a call with its stream
HEADER_FIELD_BYTES = 320  # the objects of a header here and in the library, beside its text
LINGER_TIMEOUT_S = 1.0  # maximum time for a client to read a complete response
# Time between the GOAWAY that announces a shutdown and the final one: more than a round trip.
GOAWAY_INTERVAL_S = 0.25


class GrpcFront:
    """The state that the connections of all gRPC clients share, and the entry point for new connections."""

    def __init__(
        self,
        server: Listener,
        reader: MetadataReader,
        upstream_pool: UpstreamPool,
        max_streams: int,
        idle_timeout_s: float,
    ) -> None:
        self.server = server
        self.reader = reader
        self.upstream_pool = upstream_pool
        self.idle_timeout_s = idle_timeout_s
        # A client cannot send more than is kept for replay before it is granted more window.
        self.limits = Limits(
            streams=max_streams,
            window=MAX_REPLAY_BYTES,
            unsent=2 * LONG_STREAM_WINDOW_BYTES,
            connection_window=min(max_streams * MAX_REPLAY_BYTES + LONG_STREAM_WINDOW_BYTES, 1 << 30),
        )
        self.request_numbers = itertools.count(1)
        self.request_id_prefix = b"%x" % (upstream_pool.now_us() & 0xFFFFFFFFFF)
        self.health_watches: set[tuple[GrpcClientConnection, int]] = set()

    def protocol_for(self, plain: DownstreamConnection) -> ProtocolSniffer:
        """Return what receives the first bytes of a connection."""
        return ProtocolSniffer(self, cast(ClientConnection, plain))

    def new_request_id(self) -> bytes:
        """Return a req-id for a call that has none."""
        return b"g%s-%x" % (self.request_id_prefix, next(self.request_numbers))

    def serving_status(self, service: str) -> health.ServingStatus:
        """Return the health of a service; the empty name is the sidecar as a whole."""
        if service and service not in self.reader.methods.services:
            return health.ServingStatus.SERVICE_UNKNOWN
        return health.ServingStatus.SERVING if self.server.is_ready else health.ServingStatus.NOT_SERVING

    def readiness_changed(self) -> None:
        """Send the new health status to the clients that watch it."""
        for connection, stream in list(self.health_watches):
            connection.send_data(stream, health.encode_response(self.serving_status("")))


class ProtocolSniffer:
    """Recognizes the protocol of a connection by its first bytes.

    It has the methods of an asyncio.Protocol without deriving from it.
    """

    def __init__(self, front: GrpcFront, http1_connection: ClientConnection) -> None:
        self.front = front
        self.http1_connection = http1_connection
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the event to the HTTP/1.1 connection."""
        self.http1_connection.connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the event to the HTTP/1.1 connection."""
        self.http1_connection.connection_lost(error)

    def eof_received(self) -> None:
        """Do nothing: the transport closes the connection."""

    def pause_writing(self) -> None:
        """Do nothing: nothing is written before the protocol is known."""

    def resume_writing(self) -> None:
        """Do nothing: nothing is written before the protocol is known."""

    def data_received(self, data: bytes) -> None:
        """Compare the first bytes with the HTTP/2 preface, and hand the connection over once they decide."""
        transport = self.http1_connection.transport
        if transport is None or self.http1_connection.is_discarding:
            self.http1_connection.data_received(data)
            return
        self.data += data
        if not PREFACE.startswith(self.data[: len(PREFACE)]):
            transport.set_protocol(cast(asyncio.Protocol, self.http1_connection))
            self.http1_connection.data_received(self.data)
        elif len(self.data) >= len(PREFACE):
            connection = GrpcClientConnection(self.front)
            self.front.server.replace(self.http1_connection, connection)
            del self.http1_connection.parser  # breaks a reference cycle between the parser and its connection
            transport.set_protocol(cast(asyncio.Protocol, connection))
            connection.connection_made(transport)
            connection.data_received(self.data)
        else:
            self.http1_connection.unparsed_bytes = len(self.data)


class GrpcClientConnection(Http2Protocol):
    """The connection of a gRPC client. Towards the listener it is a DownstreamConnection."""

    receive_timeout_s = 2.2  # maximum time from the accept to the first call

    def __init__(self, front: GrpcFront) -> None:
        super().__init__(Connection(False, front.limits, front.upstream_pool.now_us()), front.server.loop)
        self.front = front
        self.server = front.server
        self.reads = ReadTurns(self.loop, self.server.memory.read_buffer)
        self.memory = MemoryAccount(self.server.memory, 0)
        self.is_lost = False  # the connection has ended
        self.head_bytes_by_stream: dict[int, int] = {}
        self.head_bytes = 0  # of all calls
        self.idle_timeout_s = front.idle_timeout_s
        self.calls: dict[int, Relay] = {}
        # timers of calls that were not passed to the engine yet, by stream
        self.start_timers: dict[int, asyncio.TimerHandle] = {}
        self.health_requests: dict[int, bytearray] = {}  # incomplete health requests, by stream
        # calls whose response data is not fully written, by stream
        self.unflushed_calls: dict[int, Relay] = {}
        self.linger_deadlines: dict[int, float] = {}  # loop time until which an answered stream may stay open
        self.open_request_streams: set[int] = set()  # streams that the client has not ended on its side
        self.phase_began_s = self.loop.time()
        self.is_discarding = False
        # number of GOAWAYs sent: the first announces the shutdown, the second refuses new streams
        self.goaway_count = 0
        self.has_received_request, self.is_receiving, self.unparsed_bytes = True, False, 0
        self.linger_timer: asyncio.TimerHandle | None = None

    @property
    def pending(self) -> bool:
        """Whether a response or the final GOAWAY is still to be sent."""
        return bool(self.calls) or (self.server.is_closing and self.goaway_count < 2)

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        super().connection_made(transport)
        self.reads.transport = self.transport

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the transport reads to. A read is small, as it may hold hundreds of frames."""
        return self.server.memory.read_buffer.offer(SMALL_READ_BYTES)

    def buffer_updated(self, size: int) -> None:
        """Take what was read, in turn with the other connections."""
        self.data_received(self.reads.take(size))

    def pause_writing(self) -> None:
        """Stop reading as well: the client does not read, and each call it sends makes more output."""
        super().pause_writing()
        self.reads.set_blocked(True)
        self.server.watch_unread_output(self)
        self.server.watch_for_hangup(self)

    def resume_writing(self) -> None:
        """Read and write on."""
        super().resume_writing()
        self.server.unread_connections.pop(self, None)
        self.server.paused_connections.pop(self, None)
        self.reads.set_blocked(False)

    def is_client_gone(self) -> bool:
        """Return whether the client has disconnected, also while its input is not read."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return make_hangup_poll(transport).has_occurred(if_unknown=False)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the open calls, and remove the connection from the listener."""
        self.server.remove(self)
        self.server.unread_connections.pop(self, None)
        self.server.paused_connections.pop(self, None)
        self.is_lost = True
        self.charge_memory()
        self.abandon_calls()
        self.front.health_watches = {watch for watch in self.front.health_watches if watch[0] is not self}
        if self.linger_timer is not None:
            self.linger_timer.cancel()

    def eof_received(self) -> None:
        """Cancel the open calls: the client has left.

        asyncio closes the connection only after all buffered output has been sent.
        """
        self.abandon_calls()

    def data_received(self, data: bytes) -> None:
        """Process the calls and the health requests in received data."""
        if self.is_discarding:
            return
        self.server.mark_busy(self)
        self.phase_began_s = self.loop.time()
        for event in self.http2.receive(data, self.front.upstream_pool.now_us()):
            match event:
                case HeadersReceived():
                    self.on_headers(event)
                case DataReceived():
                    self.on_data(event.stream, event.data, event.ended)
                case TrailersReceived():
                    self.on_data(event.stream, b"", True)
                case StreamReset():
                    self.drop_stream(event.stream)
                case ConnectionEnded():
                    self.on_connection_ended(event)
        self.charge_memory()
        self.front.upstream_pool.enforce_buffer_limit()
        self.schedule()
        if not self.pending and not self.is_discarding:
            self.server.mark_waiting(self)

    def charge_memory(self) -> None:
        """Charge what the connection and its calls take beside their bodies to the memory budget."""
        if self.is_lost:
            self.memory.hold(0)
            return
        call_count = len(self.calls) + len(self.linger_deadlines)
        held_bytes = CONNECTION_BYTES + CALL_BYTES * call_count + self.head_bytes + len(self.http2.output)
        self.memory.hold(held_bytes)

    def flush(self) -> None:
        """Write the pending output, and update the streams whose data it carried."""
        if not self.write():
            self.charge_memory()
            return
        self.charge_memory()
        for relay in list(self.unflushed_calls.values()):
            relay.on_flushed()
            if relay.bound_attempt is None or not relay.bound_attempt.unflushed_bytes:
                del self.unflushed_calls[relay.stream]
        for stream in list(self.linger_deadlines):
            if not self.is_writing_paused and not self.http2.unsent(stream):
                del self.linger_deadlines[stream]
                if stream in self.open_request_streams:
                    # The response is complete; the rest of the request is not needed (RFC 9113, 8.1).
                    self.open_request_streams.discard(stream)
                    self.http2.reset(stream, NO_ERROR)
                    self.schedule()

    # Calls

    def on_headers(self, event: HeadersReceived) -> None:
        """Accept or reject a call, or begin a health request."""
        stream = event.stream
        if not event.ended:
            self.open_request_streams.add(stream)
        path = first_value(event.headers, b":path")
        if not is_grpc(event.headers):
            self.send_headers(stream, [(b":status", b"415")], True)
            self.linger(stream)
        elif path in (health.CHECK_PATH, health.WATCH_PATH):
            self.health_requests[stream] = bytearray(path + b"\n")
            if event.ended:
                self.on_health(stream)
        else:
            try:
                self.accept_call(event)
            except CallRejectedError as error:
                self.reject_call(stream, error)

    def accept_call(self, event: HeadersReceived) -> None:
        """Begin a call. Raises CallRejectedError."""
        request = self.front.reader.read(
            event.headers, self.front.upstream_pool.now_us(), self.front.new_request_id()
        )
        if request.request_id in self.server.open_request_ids:
            # Upstreams identify calls by req-id: two calls with one req-id could get each other's response.
            raise CallRejectedError(Code.ALREADY_EXISTS, "a call with this req-id is open")
        engine = self.front.upstream_pool.engine
        if engine.is_id_taken(request.class_index, request.request_id):
            raise CallRejectedError(Code.ALREADY_EXISTS, "a call with this req-id may have run")
        if self.server.memory.is_low():  # half of the budget is left to others
            raise CallRejectedError(Code.UNAVAILABLE, "out of memory")
        request_class = self.front.reader.settings.classes[request.class_index]
        relay = Relay(self, event.stream, request, self.front.upstream_pool, request_class.stream)
        self.server.open_request_ids.add(request.request_id)
        self.calls[event.stream] = relay
        size = sum(len(name) + len(value) + HEADER_FIELD_BYTES for name, value in event.headers)
        self.head_bytes_by_stream[event.stream] = size
        self.head_bytes += size
        self.charge_memory()
        relay.is_request_complete = event.ended
        if event.ended or request_class.stream:
            self.start_call(relay)
        else:
            self.start_timers[event.stream] = self.loop.call_later(START_DELAY_S, self.start_call, relay)

    def start_call(self, relay: Relay) -> None:
        """Pass a call to the engine, unless it has ended or was passed before."""
        self.cancel_start(relay.stream)
        if relay.is_ended or relay.request_number:
            return
        request = relay.request
        call = Call(
            request.class_index,
            request.due_us,
            b"",
            b"",
            request.tenant,
            request.key,
            request.cost_us,
            request.is_retry,
            request.request_id,
            relay,
        )
        relay.request_number = self.front.upstream_pool.engine.accept(call, relay.reply)

    def on_data(self, stream: int, data: bytes, ended: bool) -> None:
        """Process request data."""
        if ended:
            self.open_request_streams.discard(stream)
        relay = self.calls.get(stream)
        if relay is not None:
            relay.on_data(data, ended)
            if stream in self.start_timers and (ended or len(relay.buffer) >= MAX_REPLAY_BYTES):
                self.start_call(relay)
        elif stream in self.health_requests:
            self.health_requests[stream] += data
            if ended or len(self.health_requests[stream]) > health.MAX_REQUEST_BYTES:
                self.on_health(stream)
        else:
            self.http2.consumed(stream, len(data))

    def drop_stream(self, stream: int) -> None:
        """Cancel the call or the health request on a stream that the client has reset."""
        self.health_requests.pop(stream, None)
        self.linger_deadlines.pop(stream, None)
        self.open_request_streams.discard(stream)
        self.front.health_watches.discard((self, stream))
        relay = self.remove_call(stream)
        if relay is not None:
            relay.on_client_gone()

    def abandon_calls(self) -> None:
        """Discard further input, and cancel the open calls."""
        self.is_discarding = True
        for stream in list(self.calls):
            self.drop_stream(stream)

    def remove_call(self, stream: int) -> Relay | None:
        """Stop tracking the call on a stream, and return it; None if the stream carries no call."""
        self.unflushed_calls.pop(stream, None)
        self.cancel_start(stream)
        relay = self.calls.pop(stream, None)
        self.head_bytes -= self.head_bytes_by_stream.pop(stream, 0)
        if relay is not None:
            self.server.open_request_ids.discard(relay.request.request_id)
        return relay

    def cancel_start(self, stream: int) -> None:
        """Cancel the timer that starts the call on a stream."""
        timer = self.start_timers.pop(stream, None)
        if timer is not None:
            timer.cancel()

    def on_health(self, stream: int) -> None:
        """Answer a complete health request."""
        path, _, data = bytes(self.health_requests.pop(stream)).partition(b"\n")
        try:
            status = self.front.serving_status(health.parse_request(data))
        except health.HealthError as error:
            self.reject_call(stream, CallRejectedError(Code.INVALID_ARGUMENT, f"health: {error}"))
            return
        if path == health.WATCH_PATH:
            if status is not health.ServingStatus.SERVICE_UNKNOWN:
                self.front.health_watches.add((self, stream))
            self.send_headers(stream, RESPONSE_HEADERS, False)
            self.send_data(stream, health.encode_response(status))
        elif status is health.ServingStatus.SERVICE_UNKNOWN:
            self.reject_call(stream, CallRejectedError(Code.NOT_FOUND, "unknown service"))
        else:
            self.send_headers(stream, RESPONSE_HEADERS, False)
            self.send_data(stream, health.encode_response(status))
            self.send_trailers(stream, [(b"grpc-status", b"0")])
            self.linger(stream)

    def reject_call(self, stream: int, error: CallRejectedError) -> None:
        """Answer a call with the status and message of an error."""
        declined = [(b"srv-declined", b"1")] if error.code is Code.UNAVAILABLE else []
        self.send_headers(
            stream,
            [
                *RESPONSE_HEADERS,
                (b"grpc-status", b"%d" % error.code),
                (b"grpc-message", encode_message(str(error))),
                *declined,
            ],
            True,
        )
        self.linger(stream)

    # Called by relays

    def send_headers(self, stream: int, headers: Headers, ended: bool) -> None:
        """Send response headers, or a trailers-only response if `ended`."""
        with contextlib.suppress(StreamError):  # the client has closed the stream; the event follows
            self.http2.send_headers(stream, headers, ended)
        self.schedule()

    def send_data(self, stream: int, data: bytes) -> None:
        """Send response data."""
        with contextlib.suppress(StreamError):
            self.http2.send_data(stream, data)
        relay = self.calls.get(stream)
        if relay is not None:
            self.unflushed_calls[stream] = relay
        self.schedule()

    def send_trailers(self, stream: int, headers: Headers) -> None:
        """End the response with trailers."""
        with contextlib.suppress(StreamError):
            self.http2.send_trailers(stream, headers)
        self.schedule()

    def unsent(self, stream: int) -> int:
        """Return the size of the data that waits for the stream's window, in bytes."""
        return self.http2.unsent(stream)

    def consumed(self, stream: int, size: int) -> None:
        """Return window for processed data, so that the client may send more."""
        self.http2.consumed(stream, size)
        self.schedule()

    def widen(self, stream: int, window: int) -> None:
        """Raise the stream's receive window."""
        self.http2.set_receive_window(stream, window)
        self.schedule()

    def reset(self, stream: int, code: int) -> None:
        """Reset the stream with an HTTP/2 error code."""
        self.linger_deadlines.pop(stream, None)
        self.open_request_streams.discard(stream)
        self.http2.reset(stream, code)
        self.schedule()

    def on_call_ended(self, relay: Relay) -> None:
        """Stop tracking a call whose final status was sent."""
        self.remove_call(relay.stream)
        self.linger(relay.stream)

    def linger(self, stream: int) -> None:
        """Give the client a limited time to read a complete response."""
        self.linger_deadlines[stream] = self.loop.time() + LINGER_TIMEOUT_S
        if self.linger_timer is None:
            self.linger_timer = self.loop.call_later(LINGER_TIMEOUT_S, self.reset_lingering)
        if not self.pending and not self.is_discarding:
            self.phase_began_s = self.loop.time()
            self.server.mark_waiting(self)
        self.schedule()

    def reset_lingering(self) -> None:
        """Reset the answered streams whose time is over.

        A client that opens no flow-control window would otherwise keep its response buffered forever.
        """
        self.linger_timer = None
        now = self.loop.time()
        for stream in [stream for stream, due_s in self.linger_deadlines.items() if due_s <= now]:
            self.reset(stream, CANCEL)
        if self.linger_deadlines:
            self.linger_timer = self.loop.call_later(
                max(0.01, min(self.linger_deadlines.values()) - now), self.reset_lingering
            )

    # Called by the listener

    def can_close(self) -> bool:
        """Return whether closing the connection now would lose neither a request nor a response."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.pending or self.linger_deadlines:
            return False
        return not make_input_poll(self.transport).has_occurred(if_unknown=True)

    def is_delivering(self) -> bool:
        """Return False: a call that is not complete at the end of a shutdown is ended with a status."""
        return False

    def has_unsent_output(self) -> bool:
        """Return whether the transport still buffers output."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def reject(self, error: HttpRejected) -> None:
        """Close the connection."""
        self.close()

    def close(self) -> None:
        """Close the connection with a GOAWAY, which states the last accepted stream."""
        self.is_discarding = True
        if self.transport is None or self.transport.is_closing():
            return
        self.http2.refuse_new()
        if not self.is_writing_paused:
            self.transport.write(self.http2.outgoing())
        (self.transport.abort if self.transport.get_write_buffer_size() else self.transport.close)()

    def announce_shutdown(self) -> None:
        """Begin a graceful shutdown of the connection (RFC 9113, 6.8).

        A first GOAWAY refuses no streams, and a second one refuses new streams a round trip later. Open calls
        are finished.
        """
        if self.goaway_count == 0:
            self.goaway_count = 1
            self.http2.go_away()
            self.schedule()
            self.loop.call_later(GOAWAY_INTERVAL_S, self.refuse_new_streams)

    def refuse_new_streams(self) -> None:
        """Send the final GOAWAY, and end the health watches."""
        self.goaway_count = 2
        for connection, stream in list(self.front.health_watches):
            if connection is self:
                self.front.health_watches.discard((self, stream))
                self.send_trailers(stream, [(b"grpc-status", b"%d" % Code.UNAVAILABLE)])
                self.linger(stream)
        self.http2.refuse_new()
        self.schedule()

    def on_connection_ended(self, event: ConnectionEnded) -> None:
        """Cancel the open calls, and close the connection with a GOAWAY that states the error."""
        if event.code != NO_ERROR:
            self.server.warn_rate_limited(f"gRPC client connection: HTTP/2 error: {event.reason}")
        self.abandon_calls()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http2.outgoing())
            self.transport.close()
            if self.has_unsent_output():
                # A client that does not read would keep a closing connection open forever.
                self.loop.call_later(LINGER_TIMEOUT_S, self.transport.abort)
