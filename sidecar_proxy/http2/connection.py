"""One HTTP/2 connection as a state machine without I/O: bytes in, events out, with bounded buffers.

libnghttp2, through ngh2, does frames, HPACK, stream states and flow control (docs/design/grpc.md compares the
libraries). This module adds the limits: how much is buffered for a stream whose peer does not read, how many
streams are open, which floods end a connection and with which error code, and how a connection ends
gracefully (RFC 9113, 6.8: a first GOAWAY that refuses no stream, then one with the last stream). Times are in
microseconds and passed in by the caller.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

import ngh2

from sidecar_proxy.http2.guard import FrameRateLimiter, Rates

Headers = list[tuple[bytes, bytes]]
# error codes (RFC 9113, 7)
NO_ERROR, PROTOCOL_ERROR, INTERNAL_ERROR, REFUSED_STREAM, CANCEL, ENHANCE_YOUR_CALM = 0, 1, 2, 7, 8, 0xB
MAX_HEADER_FIELDS = 128
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
GOAWAY = 0x7  # frame type


@dataclass(slots=True, frozen=True)
class Limits:
    """The resources that one connection may use."""

    streams: int = 100  # maximum number of concurrent streams that the peer may open
    header_bytes: int = 16 * 1024  # maximum size of one decoded header list
    window: int = 64 * 1024  # receive window of a stream: bytes accepted before `consumed` is called
    connection_window: int = 1024 * 1024  # receive window of the connection, in bytes
    unsent: int = 256 * 1024  # maximum number of bytes buffered until one stream's send window opens
    rates: Rates = field(default_factory=Rates)


@dataclass(slots=True, frozen=True)
class HeadersReceived:
    """The headers of a request (:method first) or of a response (:status first) have arrived."""

    stream: int
    headers: Headers
    ended: bool


@dataclass(slots=True, frozen=True)
class DataReceived:
    """Body data has arrived; the caller calls `consumed` once it has processed it."""

    stream: int
    data: bytes
    ended: bool


@dataclass(slots=True, frozen=True)
class TrailersReceived:
    """Trailers have arrived, which end the peer's side of the stream."""

    stream: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class StreamReset:
    """The peer has reset a stream, or the stream was closed because the peer violated the protocol on it."""

    stream: int
    code: int


@dataclass(slots=True, frozen=True)
class Writable:
    """The peer has enlarged the send window of a stream, or of the connection if `stream` is 0."""

    stream: int


@dataclass(slots=True, frozen=True)
class GoawayReceived:
    """The peer processes no streams above `last_stream`: requests sent on those have never run."""

    last_stream: int
    code: int


@dataclass(slots=True, frozen=True)
class ConnectionEnded:
    """The connection can't be used any more; `outgoing` returns the GOAWAY with the error code."""

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
    """The stream can't send: it is closed, or its buffer of unsent data is full."""


class Connection:
    """One side of a connection, client or server."""

    def __init__(self, client: bool, limits: Limits, now_us: int) -> None:
        self.client = client
        self.limits = limits
        self.frame_rates = FrameRateLimiter(limits.rates, now_us)
        self.core = ngh2.Connection(
            ngh2.Role.CLIENT if client else ngh2.Role.SERVER,
            ngh2.Configuration(
                auto_window_update=False,
                max_inbound_header_list_size=limits.header_bytes,
                max_inbound_header_count=MAX_HEADER_FIELDS,
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
        self.open_streams: set[int] = set()
        self.unconsumed_bytes: dict[int, int] = {}  # by stream: bytes received, `consumed` not yet called
        self.ended: ConnectionEnded | None = None
        self.is_shutdown_announced = False  # the first GOAWAY of a graceful shutdown is sent
        self.is_refusing_streams = False  # the GOAWAY with the last stream is sent
        self.is_library_failed = False  # libnghttp2 has raised an error and can't continue
        self.highest_peer_stream = 0  # highest number of a stream that the peer has opened
        self.output = bytearray()

    def outgoing(self) -> bytes:
        """Return the bytes to write now, and clear the output buffer."""
        self.collect_output()
        data, self.output = bytes(self.output), bytearray()
        return data

    def collect_output(self) -> int | None:
        """Move the library's output to our buffer. Return the error code of a GOAWAY in it, or None.

        The output has to be taken before each `receive_data`: the library drops it if it fails on the peer's
        bytes. The library also reports the end of a connection only after its output has been taken.
        """
        if self.is_library_failed:
            return None
        data = self.core.data_to_send()
        self.output += data
        return goaway_code(data)

    # input from the peer

    def receive(self, data: bytes, now_us: int) -> list[Event]:
        """Process bytes from the peer and return the events that result.

        Never raises: a violation of the protocol is a `ConnectionEnded`, whose GOAWAY is in `outgoing`.
        """
        # A local variable: mypyc takes a check of the attribute itself as valid for the rest of the
        # function, and so would not see that `translate_event` sets it.
        ended_before = self.ended
        if ended_before is not None:
            return []
        failure: ngh2.NGH2Error | None = None
        self.collect_output()
        try:
            self.core.receive_data(data)
        except ngh2.NGH2Error as error:
            failure = error
        events: list[Event] = []
        try:
            library_events = self.core.events()
        except ngh2.NGH2Error:
            library_events = []  # the library can't continue
        for event in library_events:
            events += self.translate_event(event, now_us)
            if self.ended is not None:
                return events
        if failure is not None:
            code = ENHANCE_YOUR_CALM if isinstance(failure, ngh2.DenialOfServiceError) else PROTOCOL_ERROR
            self.is_library_failed = True
            self.output += struct.pack(">IBIII", 8 << 8 | GOAWAY, 0, 0, self.highest_peer_stream, code)
            events.append(
                self.terminate(code, " ".join(str(failure).split())[:200] or type(failure).__name__)
            )
            return events
        sent_code = self.collect_output()
        if not self.core.want_read:
            # The library has ended the connection: for a protocol error, or because all streams have ended
            # after a GOAWAY.
            events.append(
                self.terminate(
                    sent_code or NO_ERROR, "protocol error by the peer" if sent_code else "graceful shutdown"
                )
            )
        return events

    def translate_event(self, event: ngh2.Event, now_us: int) -> Iterable[Event]:
        """Convert one event of the library to events of this module, and apply the limits to it."""
        match event:
            case ngh2.RequestReceived() | ngh2.ResponseReceived():
                self.open_streams.add(event.stream_id)
                if not self.client:
                    self.highest_peer_stream = max(self.highest_peer_stream, event.stream_id)
                return [HeadersReceived(event.stream_id, header_pairs(event.headers), event.end_stream)]
            case ngh2.DataReceived():
                if not event.data and not event.end_stream and not self.frame_rates.allows("empty", now_us):
                    return [self.terminate(ENHANCE_YOUR_CALM, "too many empty DATA frames")]
                if event.data:
                    self.unconsumed_bytes[event.stream_id] = self.unconsumed_bytes.get(
                        event.stream_id, 0
                    ) + len(event.data)
                return [DataReceived(event.stream_id, event.data, event.end_stream)]
            case ngh2.TrailersReceived():
                return [TrailersReceived(event.stream_id, header_pairs(event.headers))]
            case ngh2.StreamReset():
                if not self.frame_rates.allows("resets", now_us):
                    return [self.terminate(ENHANCE_YOUR_CALM, "too many RST_STREAM frames")]
                self.close_stream(event.stream_id)
                return [StreamReset(event.stream_id, event.error_code)]
            case ngh2.StreamClosed():
                was_open = event.stream_id in self.open_streams
                self.close_stream(event.stream_id)
                if was_open and event.local_error is not None:
                    return [StreamReset(event.stream_id, event.error_code)]
            case ngh2.WindowUpdated():
                if not self.frame_rates.allows("windows", now_us):
                    return [self.terminate(ENHANCE_YOUR_CALM, "too many WINDOW_UPDATE frames")]
                return [Writable(event.stream_id)]
            case ngh2.SettingsReceived():
                if not self.frame_rates.allows("settings", now_us):
                    return [self.terminate(ENHANCE_YOUR_CALM, "too many SETTINGS frames")]
            case ngh2.PingReceived():
                if not self.frame_rates.allows("pings", now_us):
                    return [self.terminate(ENHANCE_YOUR_CALM, "too many PING frames")]
            case ngh2.GoAwayReceived():
                return [GoawayReceived(event.last_stream_id, event.error_code)]
            case ngh2.ConnectionClosed():
                return [self.terminate(event.error_code, "closed by the HTTP/2 library")]
        return []

    def close_stream(self, stream: int) -> None:
        """Forget a stream that has ended, and return its unconsumed data to the connection's window.

        The library never returns unconsumed data of a closed stream to the connection's receive window by
        itself: after some dozens of reset streams the peer could send nothing any more.
        """
        self.open_streams.discard(stream)
        self.consumed(stream, self.unconsumed_bytes.get(stream, 0))

    def terminate(self, code: int, reason: str) -> ConnectionEnded:
        """End the connection at once; its GOAWAY is part of the next `outgoing`."""
        if self.ended is None:
            self.ended = ConnectionEnded(code, reason)
            self.open_streams.clear()
            with contextlib.suppress(ngh2.NGH2Error):  # the library may have ended it already
                self.core.terminate_connection(code)
        return self.ended

    # output to the peer

    def max_streams(self, limit: int) -> int:
        """Return how many streams the peer allows to be open concurrently, or `limit` if that is lower."""
        return min(limit, self.core.remote_settings.get(ngh2.Setting.MAX_CONCURRENT_STREAMS, limit))

    def open_stream(self, headers: Headers, ended: bool = False) -> int | None:
        """Open a stream as the client; return None while the peer allows no more streams or refuses them."""
        if self.ended is not None or not self.core.can_send_request:
            return None
        if len(self.open_streams) >= self.max_streams(100):
            return None
        try:
            stream = self.core.send_request(headers, end_stream=ended)
        except ngh2.NGH2Error:
            return None
        self.open_streams.add(stream)
        return stream

    def send_headers(self, stream: int, headers: Headers, ended: bool = False) -> None:
        """Send the headers of a response. Raises StreamError."""
        with stream_errors():
            self.core.send_response(stream, headers, end_stream=ended)

    def send_data(self, stream: int, data: bytes, ended: bool = False) -> None:
        """Send body data as far as the windows allow, and buffer the rest.

        Raises StreamError if the stream is closed or the buffer would exceed its limit.
        """
        unsent_bytes = self.unsent(stream) + len(data)
        if unsent_bytes > self.limits.unsent:
            raise StreamError(
                f"{unsent_bytes} bytes would wait for the window of stream {stream}, "
                f"more than the limit of {self.limits.unsent}"
            )
        with stream_errors():
            self.core.send_data(stream, data, end_stream=ended)

    def send_trailers(self, stream: int, headers: Headers) -> None:
        """Send trailers, after all buffered data, and end our side of the stream. Raises StreamError."""
        with stream_errors():
            self.core.send_trailers(stream, headers)

    def unsent(self, stream: int) -> int:
        """Return the number of bytes that wait for the stream's send window; 0 for a closed stream."""
        try:
            return self.core.queued_body_size(stream)
        except ngh2.NGH2Error:
            return 0

    def consumed(self, stream: int, size: int) -> None:
        """Return `size` bytes of processed data to the receive window, so that the peer may send as many.

        Called only after the data has been processed: earlier, a peer could fill our memory with data that
        nobody reads.
        """
        unconsumed_bytes = self.unconsumed_bytes.get(stream, 0)
        size = min(size, unconsumed_bytes)
        if size <= 0 or self.ended is not None:
            return
        if size < unconsumed_bytes:
            self.unconsumed_bytes[stream] = unconsumed_bytes - size
        else:
            del self.unconsumed_bytes[stream]
        with contextlib.suppress(ngh2.NGH2Error):  # the connection has just failed
            self.core.acknowledge_received_data(size, stream)

    def set_receive_window(self, stream: int, window: int) -> None:
        """Set the receive window of a stream, in bytes, so that the peer may send more before `consumed`."""
        if self.ended is None:
            with contextlib.suppress(ngh2.NGH2Error):  # the stream is closed already
                self.core.set_local_window_size(window, stream_id=stream)

    def reset(self, stream: int, code: int) -> None:
        """Reset a stream; nothing more is sent on it."""
        self.close_stream(stream)
        if self.ended is None:
            with contextlib.suppress(ngh2.NGH2Error):  # the stream is closed already
                self.core.reset_stream(stream, code)

    def ping(self, data: bytes) -> None:
        """Send a PING frame with 8 bytes of data, which the peer sends back."""
        if self.ended is None:
            self.core.ping(data)

    def go_away(self) -> None:
        """Announce a graceful shutdown to a client; streams that it has opened by then are still accepted."""
        if self.ended is None and not self.is_shutdown_announced:
            self.is_shutdown_announced = True
            self.core.send_shutdown_notice()

    def refuse_new(self) -> None:
        """Refuse new streams, a round trip after `go_away`; streams that are open continue."""
        if self.ended is None and not self.is_refusing_streams:
            self.is_shutdown_announced = self.is_refusing_streams = True
            with contextlib.suppress(ngh2.NGH2Error):  # the connection is ending already
                self.core.send_goaway(NO_ERROR)


class stream_errors:  # noqa: N801  a context manager, named in lower case as those of contextlib
    """Converts the library's errors on sending to StreamError."""

    def __enter__(self) -> None: ...

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, trace: object) -> None:
        if isinstance(error, ngh2.NGH2Error):
            raise StreamError(str(error) or type(error).__name__) from error


def goaway_code(data: bytes) -> int | None:
    """Return the error code of the last GOAWAY among complete frames, or None (RFC 9113, 4.1 and 6.8)."""
    code, offset = None, len(PREFACE) if data.startswith(PREFACE) else 0
    while offset + 9 <= len(data):
        if data[offset + 3] == GOAWAY:
            code = int.from_bytes(data[offset + 13 : offset + 17], "big")
        offset += 9 + int.from_bytes(data[offset : offset + 3], "big")
    return code


def header_pairs(headers: Iterable[ngh2.Header]) -> Headers:
    """Convert the library's headers to pairs of bytes."""
    return [(bytes(header[0]), bytes(header[1])) for header in headers]
