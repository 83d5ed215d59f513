"""A client connection: parses its requests, and writes their responses in order."""

from __future__ import annotations

import asyncio
import http
import logging
from collections import deque
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
from sidecar_proxy.http1.listener import Listener
from sidecar_proxy.http1.request import RequestRejectedError
from sidecar_proxy.http1.response_stream import QueuedRequest, ResponseStream
from sidecar_proxy.http1.upstream import MAX_HEAD_BYTES, make_hangup_poll, make_input_poll

log = logging.getLogger("sidecar_proxy")

LINGER_TIMEOUT_S = 3.0  # maximum time for which input is discarded after the last response
# Maximum time to the end of a request's head: from the accept for the first request, from its first byte for
# later ones.
HEAD_TIMEOUT_S = 2.3
# Maximum time from the head to the end of the body, plus a second per MIN_UPLOAD_BYTES_PER_S bytes received.
BODY_TIMEOUT_S = 2.0
MIN_UPLOAD_BYTES_PER_S = 16 * 1024
DISCARD_INTERVAL_S = 0.02  # interval between two reads of input that is discarded
MAX_PIPELINED_REQUESTS = 16
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


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
            self.complete()
            self.connection.flush()

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
            self.response, self.stream = (0, b"", b""), None

    def abandon(self) -> None:
        """Abandon the request because its client has disconnected."""
        if self.stream is not None:
            self.stream.abandon()
            self.complete()
            self.release_stream()
        elif self.response is None:
            self.response = 0, b"", b""
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
        self.parser = httptools.HttpRequestParser(self)
        # queued requests, in the order of their arrival and of the responses
        self.pending: deque[PendingRequest] = deque()
        # loop time at which the connection was accepted, became idle or began to receive a later request
        self.phase_began_s = server.loop.time()
        self.has_received_request = False  # whether at least one complete request has arrived
        self.is_receiving = False  # whether a request has begun to arrive and is incomplete
        self.is_in_head = True
        self.is_discarding = False  # whether any further input is discarded
        self.is_paused = False  # whether reading is paused
        self.paused_at_s = 0.0
        self.is_write_paused = False  # whether the client does not read its responses
        self.unparsed_bytes = 0
        self.body_bytes = 0  # bytes received of the current body
        self.upload: Upload | None = None  # the body that is being received, if it is large
        # the request whose body is being received, if it was accepted before the end of its body
        self.streamed_request: PendingRequest | None = None
        self.is_continue_due = False  # whether a 100 Continue is to be sent
        self.linger_timer: asyncio.TimerHandle | None = None

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, or abort it if the connection was closed before it had one."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has the methods but not the base class
        if self.is_discarding:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon what is pending, and break the reference cycle with the parser."""
        self.server.remove(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.server.paused_connections.pop(self, None)
        self.abandon()
        del self.parser

    def data_received(self, data: bytes) -> None:
        """Parse input; on an error reject the request."""
        if self.is_discarding:
            # Read slowly: 60 MB discarded at full speed would take the CPU from all other connections.
            if self.transport is not None and not self.transport.is_closing():
                self.pause_reading()
                self.server.loop.call_later(DISCARD_INTERVAL_S, self.resume_reading)
            return
        if self.has_received_request and not self.is_receiving:
            self.phase_began_s = self.server.loop.time()
        self.server.mark_busy(self)
        self.unparsed_bytes += len(data)
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
        if not self.is_discarding and self.is_in_head and self.unparsed_bytes > MAX_HEAD_BYTES:
            self.reject(RequestRejectedError(431, "headers too large"))
        if not self.is_discarding and not self.pending:
            self.server.mark_waiting(self)

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
        self.abandon_pending()

    def is_client_gone(self) -> bool:
        """Return whether the client has disconnected; the loop does not detect it while reading is paused."""
        return bool(
            self.pending
            and self.transport is not None
            and not self.transport.is_closing()
            and make_hangup_poll(self.transport).poll(0)
        )

    def pause_writing(self) -> None:
        """Record that the transport's buffer is full."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Continue the streamed response, if there is one: the client reads again."""
        self.is_write_paused = False
        if self.pending and (stream := self.pending[0].stream) is not None:
            stream.resume()

    @property
    def receive_timeout_s(self) -> float:
        """The time limit, counted from `phase_began_s`, for what is being received."""
        return (
            HEAD_TIMEOUT_S if self.is_in_head else BODY_TIMEOUT_S + self.body_bytes / MIN_UPLOAD_BYTES_PER_S
        )

    def can_close(self) -> bool:
        """Return whether there is no unread input: closing would lose the request that it may hold."""
        if self.transport is None or self.transport.is_closing():
            return True
        return not make_input_poll(self.transport).poll(0)

    def has_unsent_output(self) -> bool:
        """Return whether the transport still buffers output."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

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
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = self.body_bytes = 0
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self.target += url
        self.head_bytes += len(url)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        if self.is_in_head:
            # Trailing whitespace is not part of the value (RFC 9110, 5.5).
            self.headers.append((name, value.rstrip(b" \t")))
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Check the framing of the body. Two framings of one body would allow request smuggling."""
        self.is_in_head = False
        lower_names = [name.lower() for name, _ in self.headers]
        lengths = lower_names.count(b"content-length")
        if lengths > 1 or (lengths and b"transfer-encoding" in lower_names):
            raise RequestRejectedError(400, "two framings of one body")
        self.content_length: int | None = None
        self.phase_began_s = self.server.loop.time()
        for lower_name, (_, value) in zip(lower_names, self.headers, strict=True):
            if lower_name == b"content-length":
                self.content_length = int(value)
                if self.content_length > MAX_BODY_BYTES:
                    raise RequestRejectedError(413, "body too large")
            if lower_name == b"expect" and value.lower() == b"100-continue":
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
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            raise RequestRejectedError(413, "body too large")
        upload = self.upload
        if upload is None:
            self.body += body
            if self.body_bytes <= MAX_BUFFERED_BODY_BYTES:
                return
            upload = self.upload = Upload(self.server.body_budget, self.content_length)
            body, self.body = bytes(self.body), bytearray()
        upload.append(body)
        if not upload.is_streaming and not upload.fits_budget():
            self.stream_upload(upload)
        if upload.is_full() and not self.is_discarding:
            self.pause_reading()

    def stream_upload(self, upload: Upload) -> None:
        """Submit the request now and stream its body: it is too large to be buffered completely."""
        upload.is_streaming, upload.on_capacity = True, self.resume_reading
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
        if self.is_discarding:
            return
        upload, request = self.upload, self.streamed_request
        self.upload = self.streamed_request = None
        if request is not None and upload is not None:
            self.server.uploads.pop(self, None)
            request.keep_alive = self.parser.should_keep_alive()
            self.server.engine.upload_complete(request.request_number)
            upload.complete()
            return
        request = self.queue_request()
        request.upload = upload
        self.submit(request, bytes(self.body) if upload is None else upload.take_body(), None)

    def queue_request(self) -> PendingRequest:
        """Append the request that is being received to the queue."""
        request = PendingRequest(
            self, self.parser.should_keep_alive(), self.parser.get_http_version() == "1.0"
        )
        self.pending.append(request)
        if len(self.pending) >= MAX_PIPELINED_REQUESTS and self.transport is not None:
            self.pause_reading()
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
        self.abort_upload()
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
                status, head, body = request.response
                close = b"" if keep_alive else b"Connection: close\r\n"
                transport.write(
                    b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
                    % (status, REASON_PHRASES.get(status, b""), head, close, len(body), body)
                )
            else:
                break
            self.pending.popleft()
            request.release_stream()
            if not keep_alive:
                self.close_after_response(transport)
        if not self.pending:
            self.resume_reading()
            if not self.is_discarding:
                self.send_continue()
                if not self.is_receiving:
                    self.phase_began_s = self.server.loop.time()
                self.server.mark_waiting(self)

    def abort(self, request: QueuedRequest) -> None:
        """Abort the connection, because the response to `request` can't be completed."""
        if self.transport is not None:
            self.transport.abort()

    def pause_reading(self) -> None:
        """Stop reading; meanwhile the server polls whether the client has disconnected."""
        if not self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused, self.paused_at_s = True, self.server.loop.time()
            self.transport.pause_reading()
            self.server.watch_for_hangup(self)

    def resume_reading(self) -> None:
        """Read again; the pause does not count against the client's time limit."""
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = False
            self.server.paused_connections.pop(self, None)
            self.phase_began_s += self.server.loop.time() - self.paused_at_s
            self.transport.resume_reading()

    def abandon_pending(self) -> None:
        """Abandon all queued requests: no client waits for them."""
        pending, self.pending = self.pending, deque()
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
            self.resume_reading()
            transport.write_eof()
            self.linger_timer = self.server.loop.call_later(LINGER_TIMEOUT_S, transport.abort)
        else:
            self.is_discarding = True
            transport.close()
