"""One HTTP/2 connection as a state machine: bytes in, events out; bounded buffers and bounded patience.

Frames, HPACK, stream states and windows are libnghttp2's, through ngh2 (docs/design/grpc.md weighs it). Ours
are the limits: how much is held for a stream whose peer does not read, how many streams, which floods end a
connection and with which code, and how a connection ends gracefully (RFC 9113, 6.8: first a GOAWAY that
refuses nothing, then one with the last stream). Times are microseconds, handed in.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

import ngh2

from sidecar_proxy.http2.guard import Guard, Rates

Headers = list[tuple[bytes, bytes]]
NO_ERROR, PROTOCOL_ERROR, INTERNAL_ERROR, REFUSED_STREAM, CANCEL, ENHANCE_YOUR_CALM = (
    0x0,
    0x1,
    0x2,
    0x7,
    0x8,
    0xB,
)
MOST_HEADERS = 128
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
GOAWAY = 0x7  # the frame's type


@dataclass(slots=True, frozen=True)
class Limits:
    """What one connection may take of us."""

    streams: int = 100  # that the peer may have open together
    header_bytes: int = 16 * 1024  # of one header list, decoded
    window: int = 64 * 1024  # of a stream: bytes that come before `consumed` is called
    connection_window: int = 1024 * 1024
    unsent: int = 256 * 1024  # bytes that wait for one stream's window
    rates: Rates = field(default_factory=Rates)


@dataclass(slots=True, frozen=True)
class HeadersReceived:
    """A request's (:method first) or an answer's (:status first)."""

    stream: int
    headers: Headers
    ended: bool


@dataclass(slots=True, frozen=True)
class DataReceived:
    """To be followed by `consumed` when it is dealt with."""

    stream: int
    data: bytes
    ended: bool


@dataclass(slots=True, frozen=True)
class TrailersReceived:
    """The peer's side of the stream has ended with these."""

    stream: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class StreamReset:
    """The peer gives a stream up, or has broken its rules."""

    stream: int
    code: int


@dataclass(slots=True, frozen=True)
class Writable:
    """The window of a stream, or with 0 of the connection, is wider."""

    stream: int


@dataclass(slots=True, frozen=True)
class GoawayReceived:
    """The peer takes no streams above `last`: those of ours have never run."""

    last_stream: int
    code: int


@dataclass(slots=True, frozen=True)
class ConnectionEnded:
    """The connection is of no more use; `outgoing` holds the GOAWAY that says why."""

    code: int
    reason: str


Event = (
    HeadersReceived
    | DataReceived
    | TrailersReceived
    | StreamReset
    | Writable
    | GoawayReceived
    | ConnectionEnded
)


class StreamError(Exception):
    """The stream can't do that: it is closed, or more waits for its window than is allowed."""


class Connection:
    """Either side of a connection."""

    def __init__(self, client: bool, limits: Limits, now_us: int) -> None:
        self.client = client
        self.limits = limits
        self.guard = Guard(limits.rates, now_us)
        self.core = ngh2.Connection(
            ngh2.Role.CLIENT if client else ngh2.Role.SERVER,
            ngh2.Configuration(
                auto_window_update=False,
                max_inbound_header_list_size=limits.header_bytes,
                max_inbound_header_count=MOST_HEADERS,
                peer_max_concurrent_streams=100,
            ),
        )
        settings = {
            ngh2.Setting.MAX_CONCURRENT_STREAMS: limits.streams,
            ngh2.Setting.INITIAL_WINDOW_SIZE: limits.window,
            ngh2.Setting.MAX_HEADER_LIST_SIZE: limits.header_bytes,
        }
        if client:
            settings[ngh2.Setting.ENABLE_PUSH] = 0
        self.core.initiate_connection(settings)
        self.core.set_local_window_size(limits.connection_window, stream_id=0)
        self.open: set[int] = set()
        self.held: dict[int, int] = {}  # bytes of a stream that came and are not `consumed`
        self.ended: ConnectionEnded | None = None
        self.going = False  # the peer knows that the end is near
        self.refusing = False  # and that no new streams are taken
        self.broken = False  # the library's state is beyond mending
        self.highest = 0  # stream of the peer's
        self.out = bytearray()

    def outgoing(self) -> bytes:
        """What is to be written now."""
        self.drain()
        data, self.out = bytes(self.out), bytearray()
        return data

    def drain(self) -> int | None:
        """Take what the library has to send; the code of a GOAWAY among it. Hazard: it is lost when a peer's
        bytes are beyond mending, and only when it is taken does the library say that it is done."""
        if self.broken:
            return None
        data = self.core.data_to_send()
        self.out += data
        return goaway_code(data)

    # From the peer

    def receive(self, data: bytes, now_us: int) -> list[Event]:
        """Never raises: what breaks the protocol is an `ConnectionEnded`, whose GOAWAY is in `outgoing`."""
        before = self.ended  # hazard: compiled, a test of the attribute itself is believed from here on
        if before is not None:
            return []
        failure: ngh2.NGH2Error | None = None
        self.drain()
        try:
            self.core.receive_data(data)
        except ngh2.NGH2Error as error:
            failure = error
        found: list[Event] = []
        try:
            told = self.core.events()
        except ngh2.NGH2Error:
            told = []  # beyond mending
        for event in told:
            found += self.take(event, now_us)
            if self.ended is not None:
                return found
        if failure is not None:
            code = ENHANCE_YOUR_CALM if isinstance(failure, ngh2.DenialOfServiceError) else PROTOCOL_ERROR
            self.broken = True
            self.out += struct.pack(">IBIII", 8 << 8 | GOAWAY, 0, 0, self.highest, code)
            found.append(self.end(code, " ".join(str(failure).split())[:200] or type(failure).__name__))
            return found
        sent = self.drain()
        if not self.core.want_read:
            # the library has given it up: for a broken rule, or at the end of all streams after a GOAWAY
            found.append(self.end(sent or NO_ERROR, "the protocol was broken" if sent else "all is done"))
        return found

    def take(self, event: ngh2.Event, now_us: int) -> Iterable[Event]:
        """One event of the library's in our terms."""
        match event:
            case ngh2.RequestReceived() | ngh2.ResponseReceived():
                self.open.add(event.stream_id)
                if not self.client:
                    self.highest = max(self.highest, event.stream_id)
                return [HeadersReceived(event.stream_id, plain(event.headers), event.end_stream)]
            case ngh2.DataReceived():
                if not event.data and not event.end_stream and not self.guard.allows("empty", now_us):
                    return [self.end(ENHANCE_YOUR_CALM, "too many empty frames")]
                if event.data:
                    self.held[event.stream_id] = self.held.get(event.stream_id, 0) + len(event.data)
                return [DataReceived(event.stream_id, event.data, event.end_stream)]
            case ngh2.TrailersReceived():
                return [TrailersReceived(event.stream_id, plain(event.headers))]
            case ngh2.StreamReset():
                if not self.guard.allows("resets", now_us):
                    return [self.end(ENHANCE_YOUR_CALM, "too many resets")]
                self.close(event.stream_id)
                return [StreamReset(event.stream_id, event.error_code)]
            case ngh2.StreamClosed():
                known = event.stream_id in self.open
                self.close(event.stream_id)
                if known and event.local_error is not None:
                    return [StreamReset(event.stream_id, event.error_code)]
            case ngh2.WindowUpdated():
                if not self.guard.allows("windows", now_us):
                    return [self.end(ENHANCE_YOUR_CALM, "too many window updates")]
                return [Writable(event.stream_id)]
            case ngh2.SettingsReceived():
                if not self.guard.allows("settings", now_us):
                    return [self.end(ENHANCE_YOUR_CALM, "too many settings")]
            case ngh2.PingReceived():
                if not self.guard.allows("pings", now_us):
                    return [self.end(ENHANCE_YOUR_CALM, "too many pings")]
            case ngh2.GoAwayReceived():
                return [GoawayReceived(event.last_stream_id, event.error_code)]
            case ngh2.ConnectionClosed():
                return [self.end(event.error_code, "the connection is given up")]
        return []

    def close(self, stream: int) -> None:
        """A stream is over. Hazard: the library keeps what was not consumed of it out of the connection's
        window for good; after some dozens of streams given up nothing would come any more."""
        self.open.discard(stream)
        self.consumed(stream, self.held.get(stream, 0))

    def end(self, code: int, why: str) -> ConnectionEnded:
        """Give the connection up; its GOAWAY goes out with the next `outgoing`."""
        if self.ended is None:
            self.ended = ConnectionEnded(code, why)
            self.open.clear()
            with contextlib.suppress(ngh2.NGH2Error):  # the library may have done so by itself
                self.core.terminate_connection(code)
        return self.ended

    # To the peer

    def max_streams(self, most: int) -> int:
        """What the peer allows to be open together, and at most so many."""
        return min(most, self.core.remote_settings.get(ngh2.Setting.MAX_CONCURRENT_STREAMS, most))

    def open_stream(self, headers: Headers, ended: bool = False) -> int | None:
        """A new stream of a client's; None while the peer allows no more, or takes none."""
        if self.ended is not None or not self.core.can_send_request:
            return None
        if len(self.open) >= self.max_streams(100):
            return None
        try:
            stream = self.core.send_request(headers, end_stream=ended)
        except ngh2.NGH2Error:
            return None
        self.open.add(stream)
        return stream

    def send_headers(self, stream: int, headers: Headers, ended: bool = False) -> None:
        """The headers of an answer. Raises StreamError."""
        with told():
            self.core.send_response(stream, headers, end_stream=ended)

    def send_data(self, stream: int, data: bytes, ended: bool = False) -> None:
        """Sent as the windows allow; the rest waits. Raises StreamError, also where too much would wait."""
        held = self.unsent(stream) + len(data)
        if held > self.limits.unsent:
            raise StreamError(f"{held} bytes wait for the window of stream {stream}")
        with told():
            self.core.send_data(stream, data, end_stream=ended)

    def send_trailers(self, stream: int, headers: Headers) -> None:
        """The end of our side, behind all data that waits. Raises StreamError."""
        with told():
            self.core.send_trailers(stream, headers)

    def unsent(self, stream: int) -> int:
        """Bytes that wait for the stream's window; 0 for one that is closed."""
        try:
            return self.core.queued_body_size(stream)
        except ngh2.NGH2Error:
            return 0

    def consumed(self, stream: int, size: int) -> None:
        """Data is dealt with: the peer may send as much more. Hazard: to tell it sooner would let a peer fill
        our memory with what nobody reads."""
        held = self.held.get(stream, 0)
        size = min(size, held)
        if size <= 0 or self.ended is not None:
            return
        if size < held:
            self.held[stream] = held - size
        else:
            del self.held[stream]
        with contextlib.suppress(ngh2.NGH2Error):  # the connection has just broken
            self.core.acknowledge_received_data(size, stream)

    def set_receive_window(self, stream: int, window: int) -> None:
        """Let the peer send more on a stream before the first of it is `consumed`."""
        if self.ended is None:
            with contextlib.suppress(ngh2.NGH2Error):  # it is closed already
                self.core.set_local_window_size(window, stream_id=stream)

    def reset(self, stream: int, code: int) -> None:
        """End a stream at once; nothing more is sent on it."""
        self.close(stream)
        if self.ended is None:
            with contextlib.suppress(ngh2.NGH2Error):  # it is closed already
                self.core.reset_stream(stream, code)

    def ping(self, data: bytes) -> None:
        """Eight bytes that the peer sends back."""
        if self.ended is None:
            self.core.ping(data)

    def go_away(self) -> None:
        """Tell a client that the end is near: what it has sent by then is still taken."""
        if self.ended is None and not self.going:
            self.going = True
            self.core.send_shutdown_notice()

    def refuse_new(self) -> None:
        """A round trip later: streams above the last are not taken; those that are open go on."""
        if self.ended is None and not self.refusing:
            self.going = self.refusing = True
            with contextlib.suppress(ngh2.NGH2Error):  # the connection is ending already
                self.core.send_goaway(NO_ERROR)


class told:  # noqa: N801  a context, as contextlib's are
    """The library's errors on sending, as ours."""

    def __enter__(self) -> None: ...

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, trace: object) -> None:
        if isinstance(error, ngh2.NGH2Error):
            raise StreamError(str(error) or type(error).__name__) from error


def goaway_code(data: bytes) -> int | None:
    """The code of the last GOAWAY among whole frames (RFC 9113, 4.1 and 6.8)."""
    found, at = None, len(PREFACE) if data.startswith(PREFACE) else 0
    while at + 9 <= len(data):
        if data[at + 3] == GOAWAY:
            found = int.from_bytes(data[at + 13 : at + 17], "big")
        at += 9 + int.from_bytes(data[at : at + 3], "big")
    return found


def plain(headers: Iterable[ngh2.Header]) -> Headers:
    return [(bytes(one[0]), bytes(one[1])) for one in headers]
