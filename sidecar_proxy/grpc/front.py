"""A gRPC client's connection: HTTP/2 with prior knowledge (RFC 9113, 3.3) on the listener of HTTP/1.1.

The Sniffer tells the two apart by the first bytes. A call is taken when its client has ended its side, or
has filled what is kept of it, or a moment after its headers: most calls are one message, and what is all here
can be sent again whatever becomes of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import cast

from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.grpc import health
from sidecar_proxy.grpc.held import WIDE
from sidecar_proxy.grpc.metadata import Headers, Reader, Rejected, acceptable, value_of
from sidecar_proxy.grpc.nodes import Nodes
from sidecar_proxy.grpc.relay import KEPT, OWN_HEADERS, Relay
from sidecar_proxy.grpc.status import Code, encode_message
from sidecar_proxy.http1.client import ClientConnection
from sidecar_proxy.http1.listener import DownstreamConnection, Listener
from sidecar_proxy.http1.request import RequestRejectedError as HttpRejected
from sidecar_proxy.http1.upstream import make_input_poll
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

START_S = 0.02  # from a call's headers, where its client goes on sending
LINGER_S = 1.0  # for a client to read its answer
NOTICE_S = 0.25  # between the GOAWAY that tells and the one that refuses: more than a round trip


class Front:
    """What the connections of all gRPC clients share."""

    def __init__(self, server: Listener, reader: Reader, nodes: Nodes, streams: int, idle_s: float) -> None:
        self.server = server
        self.reader = reader
        self.nodes = nodes
        self.idle_s = idle_s
        # a client sends no more than is kept before the rest is asked for
        self.limits = Limits(
            streams=streams,
            window=KEPT,
            unsent=2 * WIDE,
            connection_window=min(streams * KEPT + WIDE, 1 << 30),
        )
        self.numbers = itertools.count(1)
        self.stamp = b"%x" % (nodes.now_us() & 0xFFFFFFFFFF)
        self.watches: set[tuple[GrpcConnection, int]] = set()

    def protocol_for(self, plain: DownstreamConnection) -> Sniffer:
        """Who has the first bytes of a connection."""
        return Sniffer(self, cast(ClientConnection, plain))

    def ident(self) -> bytes:
        """A req-id for a call that has none."""
        return b"g%s-%x" % (self.stamp, next(self.numbers))

    def serving(self, service: str) -> health.Serving:
        if service and service not in self.reader.methods.services:
            return health.Serving.SERVICE_UNKNOWN
        return health.Serving.SERVING if self.server.is_ready else health.Serving.NOT_SERVING

    def readiness_changed(self) -> None:
        """Those who watch are told that we drain, end or are back."""
        for connection, stream in list(self.watches):
            connection.send_data(stream, health.response(self.serving("")))


class Sniffer:
    """The first bytes of a connection say what it speaks. An asyncio.Protocol in all but its bases."""

    def __init__(self, front: Front, plain: ClientConnection) -> None:
        self.front = front
        self.plain = plain
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.plain.connection_made(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.plain.connection_lost(error)

    def eof_received(self) -> None: ...

    def pause_writing(self) -> None: ...

    def resume_writing(self) -> None: ...

    def data_received(self, data: bytes) -> None:
        transport = self.plain.transport
        if transport is None or self.plain.is_discarding:
            self.plain.data_received(data)
            return
        self.data += data
        if not PREFACE.startswith(self.data[: len(PREFACE)]):
            transport.set_protocol(cast(asyncio.Protocol, self.plain))
            self.plain.data_received(self.data)
        elif len(self.data) >= len(PREFACE):
            connection = GrpcConnection(self.front)
            self.front.server.replace(self.plain, connection)
            del self.plain.parser  # it holds its connection as that holds it
            transport.set_protocol(cast(asyncio.Protocol, connection))
            connection.connection_made(transport)
            connection.data_received(self.data)
        else:
            self.plain.unparsed_bytes = len(self.data)


class GrpcConnection(Http2Protocol):
    """One client's connection. To the server it is as ClientConnection is."""

    receive_timeout_s = 2.2  # from its accept to its first call

    def __init__(self, front: Front) -> None:
        super().__init__(Connection(False, front.limits, front.nodes.now_us()), front.server.loop)
        self.front = front
        self.server = front.server
        self.idle_timeout_s = front.idle_s
        self.calls: dict[int, Relay] = {}
        self.starts: dict[int, asyncio.TimerHandle] = {}  # calls that are not taken yet
        self.checks: dict[int, bytearray] = {}  # health requests that are not whole
        self.slow: dict[int, Relay] = {}  # their clients have something to read
        self.finishing: dict[int, float] = {}  # answered, and not read or not ended: till when
        self.sender_open: set[int] = set()  # streams whose client has not ended its side
        self.phase_began_s = self.loop.time()
        self.is_discarding = False
        self.leaving = 0  # GOAWAYs that were sent: the first tells, the second refuses
        self.has_received_request, self.is_receiving, self.unparsed_bytes = True, False, 0
        self.sweeper: asyncio.TimerHandle | None = None

    @property
    def pending(self) -> bool:
        """Something is owed here."""
        return bool(self.calls) or (self.server.is_closing and self.leaving < 2)

    # The transport

    def connection_lost(self, error: Exception | None) -> None:
        self.server.remove(self)
        self.abandoned()
        self.front.watches = {one for one in self.front.watches if one[0] is not self}
        if self.sweeper is not None:
            self.sweeper.cancel()

    def eof_received(self) -> None:
        """The client has left. Hazard: asyncio closes the connection once all that is written has gone."""
        self.abandoned()

    def data_received(self, data: bytes) -> None:
        if self.is_discarding:
            return
        self.server.mark_busy(self)
        self.phase_began_s = self.loop.time()
        for event in self.http2.receive(data, self.front.nodes.now_us()):
            match event:
                case HeadersReceived():
                    self.on_headers(event)
                case DataReceived():
                    self.on_data(event.stream, event.data, event.ended)
                case TrailersReceived():
                    self.on_data(event.stream, b"", True)
                case StreamReset():
                    self.forget(event.stream)
                case ConnectionEnded():
                    self.broke(event)
        self.front.nodes.relieve()
        self.schedule()
        if not self.pending and not self.is_discarding:
            self.server.mark_waiting(self)

    def flush(self) -> None:
        if not self.write():
            return
        for relay in list(self.slow.values()):
            relay.flushed()
            if relay.bound is None or not relay.bound.owed:
                del self.slow[relay.stream]
        for stream in list(self.finishing):
            if not self.is_writing_paused and not self.http2.unsent(stream):
                del self.finishing[stream]
                if stream in self.sender_open:
                    # the answer is whole; what the client still sends is not wanted (RFC 9113, 8.1)
                    self.sender_open.discard(stream)
                    self.http2.reset(stream, NO_ERROR)
                    self.schedule()

    # Calls

    def on_headers(self, event: HeadersReceived) -> None:
        stream = event.stream
        if not event.ended:
            self.sender_open.add(stream)
        path = value_of(event.headers, b":path")
        if not acceptable(event.headers):
            self.send_headers(stream, [(b":status", b"415")], True)
            self.finish(stream)
        elif path in (health.CHECK, health.WATCH):
            self.checks[stream] = bytearray(path + b"\n")
            if event.ended:
                self.on_health(stream)
        else:
            try:
                self.take(event)
            except Rejected as error:
                self.reject_call(stream, error)

    def take(self, event: HeadersReceived) -> None:
        request = self.front.reader.read(event.headers, self.front.nodes.now_us(), self.front.ident())
        if request.ident in self.server.open_request_ids:
            # hazard: nodes tell calls apart by it; two at once could get each other's answer
            raise Rejected(Code.ALREADY_EXISTS, "a call with this req-id is open")
        kind = self.front.reader.settings.classes[request.class_index]
        relay = Relay(self, event.stream, request, self.front.nodes, kind.stream)
        self.server.open_request_ids.add(request.ident)
        self.calls[event.stream] = relay
        relay.whole = event.ended
        if event.ended or kind.stream:
            self.start(relay)
        else:
            self.starts[event.stream] = self.loop.call_later(START_S, self.start, relay)

    def start(self, relay: Relay) -> None:
        self.unstart(relay.stream)
        if relay.over or relay.number:
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
            request.retried,
            request.ident,
            relay,
        )
        relay.number = self.front.nodes.engine.accept(call, relay.reply)

    def on_data(self, stream: int, data: bytes, ended: bool) -> None:
        if ended:
            self.sender_open.discard(stream)
        relay = self.calls.get(stream)
        if relay is not None:
            relay.on_data(data, ended)
            if stream in self.starts and (ended or len(relay.buffer) >= KEPT):
                self.start(relay)
        elif stream in self.checks:
            self.checks[stream] += data
            if ended or len(self.checks[stream]) > health.MOST_MESSAGE:
                self.on_health(stream)
        else:
            self.http2.consumed(stream, len(data))

    def forget(self, stream: int) -> None:
        """The client has given its call up."""
        self.checks.pop(stream, None)
        self.finishing.pop(stream, None)
        self.sender_open.discard(stream)
        self.front.watches.discard((self, stream))
        relay = self.over(stream)
        if relay is not None:
            relay.gone()

    def abandoned(self) -> None:
        """Nothing is read here any more, and nobody waits for what is open."""
        self.is_discarding = True
        for stream in list(self.calls):
            self.forget(stream)

    def over(self, stream: int) -> Relay | None:
        """Nothing is owed on it any more; the call, if it was one."""
        self.slow.pop(stream, None)
        self.unstart(stream)
        relay = self.calls.pop(stream, None)
        if relay is not None:
            self.server.open_request_ids.discard(relay.request.ident)
        return relay

    def unstart(self, stream: int) -> None:
        timer = self.starts.pop(stream, None)
        if timer is not None:
            timer.cancel()

    def on_health(self, stream: int) -> None:
        path, _, data = bytes(self.checks.pop(stream)).partition(b"\n")
        try:
            status = self.front.serving(health.service_of(data))
        except health.HealthError as error:
            self.reject_call(stream, Rejected(Code.INVALID_ARGUMENT, f"health: {error}"))
            return
        if path == health.WATCH:
            if status is not health.Serving.SERVICE_UNKNOWN:
                self.front.watches.add((self, stream))
            self.send_headers(stream, OWN_HEADERS, False)
            self.send_data(stream, health.response(status))
        elif status is health.Serving.SERVICE_UNKNOWN:
            self.reject_call(stream, Rejected(Code.NOT_FOUND, "unknown service"))
        else:
            self.send_headers(stream, OWN_HEADERS, False)
            self.send_data(stream, health.response(status))
            self.send_trailers(stream, [(b"grpc-status", b"0")])
            self.finish(stream)

    def reject_call(self, stream: int, error: Rejected) -> None:
        self.send_headers(
            stream,
            [
                *OWN_HEADERS,
                (b"grpc-status", b"%d" % error.code),
                (b"grpc-message", encode_message(str(error))),
            ],
            True,
        )
        self.finish(stream)

    # From relays

    def send_headers(self, stream: int, headers: Headers, ended: bool) -> None:
        with contextlib.suppress(StreamError):  # the client has closed it; its event is on the way
            self.http2.send_headers(stream, headers, ended)
        self.schedule()

    def send_data(self, stream: int, data: bytes) -> None:
        with contextlib.suppress(StreamError):
            self.http2.send_data(stream, data)
        relay = self.calls.get(stream)
        if relay is not None:
            self.slow[stream] = relay
        self.schedule()

    def send_trailers(self, stream: int, headers: Headers) -> None:
        with contextlib.suppress(StreamError):
            self.http2.send_trailers(stream, headers)
        self.schedule()

    def unsent(self, stream: int) -> int:
        return self.http2.unsent(stream)

    def consumed(self, stream: int, size: int) -> None:
        self.http2.consumed(stream, size)
        self.schedule()

    def widen(self, stream: int, window: int) -> None:
        self.http2.set_receive_window(stream, window)
        self.schedule()

    def reset(self, stream: int, code: int) -> None:
        self.finishing.pop(stream, None)
        self.sender_open.discard(stream)
        self.http2.reset(stream, code)
        self.schedule()

    def answered(self, relay: Relay) -> None:
        self.over(relay.stream)
        self.finish(relay.stream)

    def finish(self, stream: int) -> None:
        """Answered: what is left is for the client to read it."""
        self.finishing[stream] = self.loop.time() + LINGER_S
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(LINGER_S, self.sweep)
        if not self.pending and not self.is_discarding:
            self.phase_began_s = self.loop.time()
            self.server.mark_waiting(self)
        self.schedule()

    def sweep(self) -> None:
        """Hazard: a client that opens no window would keep its answer here for good."""
        self.sweeper = None
        now = self.loop.time()
        for stream in [one for one, till in self.finishing.items() if till <= now]:
            self.reset(stream, CANCEL)
        if self.finishing:
            self.sweeper = self.loop.call_later(max(0.01, min(self.finishing.values()) - now), self.sweep)

    # From the server

    def can_close(self) -> bool:
        if self.transport is None or self.transport.is_closing():
            return True
        if self.pending or self.finishing:
            return False
        return not make_input_poll(self.transport).poll(0)

    def has_unsent_output(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def reject(self, error: HttpRejected) -> None:
        self.close()

    def close(self) -> None:
        """No more is taken; a GOAWAY says which streams have been."""
        self.is_discarding = True
        if self.transport is None or self.transport.is_closing():
            return
        self.http2.refuse_new()
        if not self.is_writing_paused:
            self.transport.write(self.http2.outgoing())
        (self.transport.abort if self.transport.get_write_buffer_size() else self.transport.close)()

    def announce_shutdown(self) -> None:
        """A planned end (RFC 9113, 6.8): a GOAWAY that refuses nothing, and one that does a round trip later;
        calls that are open are finished."""
        if self.leaving == 0:
            self.leaving = 1
            self.http2.go_away()
            self.schedule()
            self.loop.call_later(NOTICE_S, self.refuse)

    def refuse(self) -> None:
        self.leaving = 2
        for connection, stream in list(self.front.watches):
            if connection is self:
                self.front.watches.discard((self, stream))
                self.send_trailers(stream, [(b"grpc-status", b"%d" % Code.UNAVAILABLE)])
                self.finish(stream)
        self.http2.refuse_new()
        self.schedule()

    def broke(self, event: ConnectionEnded) -> None:
        """It is of no more use; its GOAWAY says why."""
        if event.code != NO_ERROR:
            self.server.warn_rate_limited(f"a gRPC client: HTTP/2: {event.reason}")
        self.abandoned()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http2.outgoing())
            self.transport.close()
            if self.has_unsent_output():  # hazard: who does not read would keep a closing connection for good
                self.loop.call_later(LINGER_S, self.transport.abort)
