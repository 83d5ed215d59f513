"""One connection of the application's: its requests are read, its answers are written in order."""

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

LINGER_TIMEOUT_S = 3.0
HEAD_TIMEOUT_S = 2.3  # from its accept to its first head, and for each later one from its first byte
BODY_TIMEOUT_S = (
    2.0  # from its head to the end of a body, and a second more for each SLOWEST bytes that have come
)
MIN_UPLOAD_BYTES_PER_S = 16 * 1024
DISCARD_INTERVAL_S = 0.02  # between two reads of what is dropped
MAX_PIPELINED_REQUESTS = 16
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class PendingRequest:
    """One request on a client's connection, and its answer when it is there."""

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

    def __init__(self, connection: ClientConnection, keep: bool, old: bool = False) -> None:
        self.connection = connection
        self.keep_alive = keep
        self.is_http_1_0 = old  # it speaks HTTP/1.0
        self.response: tuple[int, bytes, bytes] | None = None
        self.stream: ResponseStream | None = None  # in place of `answer`: a large one
        self.upload: Upload | None = None  # its body, if that is large
        self.request_number = 0  # its number in the engine
        self.request_id = b""  # its Req-Id, once it is taken

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        if self.response is None and self.stream is None:
            self.response = status, head, body
            self.complete()
            self.connection.flush()

    def open_stream(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink:
        """Its answer is a large one."""
        self.stream = ResponseStream(self, head, length, source, ended)
        if self.upload is not None and not self.upload.is_streaming:
            self.upload.discard()  # it won't be sent again
        self.connection.flush()
        return self.stream

    def complete(self) -> None:
        """Nothing more is done for it."""
        self.connection.server.open_request_ids.discard(self.request_id)
        if self.upload is not None:
            # hazard: behind an answer to half a request its other half would be read as the next one
            self.keep_alive = self.keep_alive and self.upload.is_complete
            self.upload.discard()

    def release_stream(self) -> None:
        """Its large answer has ended, and holds it as it holds that."""
        if self.stream is not None:
            self.response, self.stream = (0, b"", b""), None

    def abandon(self) -> None:
        """Its client is gone."""
        if self.stream is not None:
            self.stream.abandon()
            self.complete()
            self.release_stream()
        elif self.response is None:
            self.response = 0, b"", b""
            self.complete()
            self.connection.server.engine.client_gone(self.request_number)


class ClientConnection:
    """An asyncio.Protocol in all but its bases: with one that is not compiled, each attribute would be looked
    up in a dictionary."""

    __deletable__ = ("parser",)
    idle_timeout_s = 4.0  # between requests, at most

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[PendingRequest] = deque()  # answered in the order that they came
        self.phase_began_s = server.loop.time()  # it was accepted, came to rest, or began a later request
        self.has_received_request = False  # a whole request has come
        self.is_receiving = False  # a request has begun and is not whole
        self.is_in_head = True
        self.is_discarding = False  # what still comes is dropped
        self.is_paused = False
        self.paused_at_s = 0.0
        self.is_write_paused = False  # the client does not read what it is given
        self.unparsed_bytes = 0
        self.body_bytes = 0  # of the body so far
        self.upload: Upload | None = None  # the body that is being read, if it is large
        self.streamed_request: PendingRequest | None = None  # its request, where that has been taken already
        self.is_continue_due = False  # 100 Continue is owed
        self.linger_timer: asyncio.TimerHandle | None = None

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        if self.is_discarding:  # ended before it was ours
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.remove(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.server.paused_connections.pop(self, None)
        self.abandon()
        del self.parser  # it holds us as we hold it

    def data_received(self, data: bytes) -> None:
        if self.is_discarding:
            # hazard: 60 MB dropped as fast as they come take the CPU of everybody
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
            self.is_discarding = True  # upgrades are not for us: what follows is no request
            for one in self.pending:
                one.keep_alive = False
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
        """The client has left: asyncio closes the connection. Hazard: it does so once all that is written has
        gone, which a client that does not read puts off; what waits here would be sent on meanwhile."""
        self.abandon()

    def abandon(self) -> None:
        """Nothing is read or owed here any more."""
        self.is_discarding = True
        self.abort_upload()
        self.abandon_pending()

    def is_client_gone(self) -> bool:
        """While we do not read, the loop tells nothing of a client that leaves; the kernel knows."""
        return bool(
            self.pending
            and self.transport is not None
            and not self.transport.is_closing()
            and make_hangup_poll(self.transport).poll(0)
        )

    def pause_writing(self) -> None:
        self.is_write_paused = True

    def resume_writing(self) -> None:
        self.is_write_paused = False
        if self.pending and (flow := self.pending[0].stream) is not None:
            flow.resume()

    @property
    def receive_timeout_s(self) -> float:
        """How long after `since` what is being read may take."""
        return (
            HEAD_TIMEOUT_S if self.is_in_head else BODY_TIMEOUT_S + self.body_bytes / MIN_UPLOAD_BYTES_PER_S
        )

    def can_close(self) -> bool:
        """Hazard: a request may be waiting unread; closing on top of it would lose it for the client."""
        if self.transport is None or self.transport.is_closing():
            return True
        return not make_input_poll(self.transport).poll(0)

    def has_unsent_output(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close(self) -> None:
        self.is_discarding = True
        if self.transport is not None:
            # hazard: a client that does not read its answer would keep a closing connection for good
            (self.transport.abort if self.has_unsent_output() else self.transport.close)()

    def announce_shutdown(self) -> None:
        """The sidecar ends: each answer from now on says so by itself."""

    # The parser

    def on_message_begin(self) -> None:
        # hazard: one read may hold hundreds of requests; pausing works on later reads only
        if self.is_discarding or len(self.pending) >= MAX_PIPELINED_REQUESTS:
            raise RequestRejectedError(400, "too many requests at once")
        self.is_receiving = self.is_in_head = True
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = self.body_bytes = 0
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.head_bytes += len(url)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_in_head:  # trailers go no further
            self.headers.append((name, value.rstrip(b" \t")))  # RFC 9110, 5.5: no part of the value
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > MAX_HEAD_BYTES:
            raise RequestRejectedError(431, "headers too large")

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        names = [name.lower() for name, _ in self.headers]
        lengths = names.count(b"content-length")
        if lengths > 1 or (lengths and b"transfer-encoding" in names):
            raise RequestRejectedError(400, "two framings of one body")  # hazard: request smuggling
        self.content_length: int | None = None
        self.phase_began_s = self.server.loop.time()
        for low, (_, value) in zip(names, self.headers, strict=True):
            if low == b"content-length":
                self.content_length = int(value)
                if self.content_length > MAX_BODY_BYTES:
                    raise RequestRejectedError(413, "body too large")
            if low == b"expect" and value.lower() == b"100-continue":
                self.is_continue_due = True
                self.send_continue()

    def send_continue(self) -> None:
        """Hazard: ahead of an answer that is still owed, 100 Continue would be taken for that answer."""
        if self.is_continue_due and not self.pending and self.transport is not None:
            self.is_continue_due = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
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
        """Too large to be held: the request is taken now, and its body passed on as it comes."""
        upload.is_streaming, upload.on_capacity = True, self.resume_reading
        one = self.streamed_request = self.queue_request()
        one.upload = upload
        self.server.uploads[self] = None
        self.submit(one, b"", upload)

    def on_message_complete(self) -> None:
        (
            self.is_receiving,
            self.is_in_head,
            self.is_continue_due,
            self.unparsed_bytes,
            self.has_received_request,
        ) = False, True, False, 0, True
        if self.is_discarding:
            return
        upload, one = self.upload, self.streamed_request
        self.upload = self.streamed_request = None
        if one is not None and upload is not None:
            self.server.uploads.pop(self, None)
            one.keep_alive = self.parser.should_keep_alive()
            self.server.engine.upload_complete(one.request_number)
            upload.complete()
            return
        one = self.queue_request()
        one.upload = upload
        self.submit(one, bytes(self.body) if upload is None else upload.take_whole(), None)

    def queue_request(self) -> PendingRequest:
        """The request that is being read stands in line for its answer."""
        one = PendingRequest(self, self.parser.should_keep_alive(), self.parser.get_http_version() == "1.0")
        self.pending.append(one)
        if len(self.pending) >= MAX_PIPELINED_REQUESTS and self.transport is not None:
            self.pause_reading()
        return one

    def submit(self, one: PendingRequest, body: bytes, upload: Upload | None) -> None:
        try:
            self.server.accept_request(one, self.parser.get_method(), self.target, self.headers, body, upload)
        except RequestRejectedError as error:
            self.reject_request(one, error)
        except Exception:
            # hazard: a fault here costs this one request, not its connection or the sidecar
            log.exception("a request could not be taken")
            one.reply(500)

    def abort_upload(self) -> None:
        """What is being read will not become whole."""
        upload, self.upload, self.streamed_request = self.upload, None, None
        self.server.uploads.pop(self, None)
        if upload is not None:
            upload.fail()
            upload.discard()

    # Answers

    def reject(self, error: RequestRejectedError) -> None:
        """What can't be framed can't be followed by anything."""
        one = self.streamed_request
        if one is None:
            one = PendingRequest(self, False)
            self.pending.append(one)
            self.reject_request(one, error)
            return
        self.is_discarding, one.keep_alive = True, False
        self.server.engine.fail_request(one.request_number, error.status)  # it has been taken

    def reject_request(self, one: PendingRequest, error: RequestRejectedError) -> None:
        """Answer and end the connection. Hazard: what comes behind a bad request is mostly bad as well, by
        hundreds in one read; none of it is looked at."""
        self.is_discarding, one.keep_alive = True, False
        self.abort_upload()
        one.reply(error.status, b"Content-Type: text/plain\r\n", str(error).encode() + b"\n")

    def flush(self) -> None:
        transport = self.transport
        while self.pending and transport is not None:
            one = self.pending[0]
            # hazard: while stopping, requests behind this one have been taken as well
            keep = one.keep_alive and (not self.server.is_closing or len(self.pending) > 1)
            if one.stream is not None:
                if one.stream.transport is None:
                    one.stream.begin(transport, keep and one is not self.streamed_request)
                if not one.stream.has_ended:
                    break
                keep = one.stream.keep_alive
            elif one.response is not None:
                status, head, body = one.response
                close = b"" if keep else b"Connection: close\r\n"
                transport.write(
                    b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
                    % (status, REASON_PHRASES.get(status, b""), head, close, len(body), body)
                )
            else:
                break
            self.pending.popleft()
            one.release_stream()
            if not keep:
                self.close_after_response(transport)
        if not self.pending:
            self.resume_reading()
            if not self.is_discarding:
                self.send_continue()
                if not self.is_receiving:
                    self.phase_began_s = self.server.loop.time()
                self.server.mark_waiting(self)

    def abort(self, one: QueuedRequest) -> None:
        """Its answer can't be finished."""
        if self.transport is not None:
            self.transport.abort()

    def pause_reading(self) -> None:
        if not self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused, self.paused_at_s = True, self.server.loop.time()
            self.transport.pause_reading()
            self.server.watch_for_hangup(self)

    def resume_reading(self) -> None:
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = False
            self.server.paused_connections.pop(self, None)
            self.phase_began_s += self.server.loop.time() - self.paused_at_s  # it was we who did not read
            self.transport.resume_reading()

    def abandon_pending(self) -> None:
        """Nobody waits for what is pending here any more."""
        pending, self.pending = self.pending, deque()
        for one in pending:
            one.abandon()

    def close_after_response(self, transport: asyncio.Transport) -> None:
        """Close after the answer. Hazard: closing on top of unread input resets the connection, and the
        client may lose the answer; so what still comes is read and dropped for a while."""
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
