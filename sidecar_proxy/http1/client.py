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
from sidecar_proxy.http1.outflow import InLine, Outflow
from sidecar_proxy.http1.request import Rejected
from sidecar_proxy.http1.upstream import MAX_HEAD, hangup_poll, input_poll

log = logging.getLogger("sidecar_proxy")

LINGER_S = 3.0
HEAD_S = 2.3  # from its accept to its first head, and for each later one from its first byte
BODY_S = 2.0  # from its head to the end of a body, and a second more for each SLOWEST bytes that have come
SLOWEST = 16 * 1024
DRAIN_GAP_S = 0.02  # between two reads of what is dropped
MOST_PIPELINED = 16
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


class Pending:
    """One request on a client's connection, and its answer when it is there."""

    __slots__ = ("connection", "keep", "old", "answer", "flow", "upload", "request", "ident")

    def __init__(self, connection: ClientConnection, keep: bool, old: bool = False) -> None:
        self.connection = connection
        self.keep = keep
        self.old = old  # it speaks HTTP/1.0
        self.answer: tuple[int, bytes, bytes] | None = None
        self.flow: Outflow | None = None  # in place of `answer`: a large one
        self.upload: Upload | None = None  # its body, if that is large
        self.request = 0  # its number in the engine
        self.ident = b""  # its Req-Id, once it is taken

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        if self.answer is None and self.flow is None:
            self.answer = status, head, body
            self.answered()
            self.connection.flush()

    def open(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink:
        """Its answer is a large one."""
        self.flow = Outflow(self, head, length, source, ended)
        if self.upload is not None and not self.upload.is_streaming:
            self.upload.discard()  # it won't be sent again
        self.connection.flush()
        return self.flow

    def answered(self) -> None:
        """Nothing more is done for it."""
        self.connection.server.open.discard(self.ident)
        if self.upload is not None:
            # hazard: behind an answer to half a request its other half would be read as the next one
            self.keep = self.keep and self.upload.is_complete
            self.upload.discard()

    def release(self) -> None:
        """Its large answer has ended, and holds it as it holds that."""
        if self.flow is not None:
            self.answer, self.flow = (0, b"", b""), None

    def leave(self) -> None:
        """Its client is gone."""
        if self.flow is not None:
            self.flow.abandon()
            self.answered()
            self.release()
        elif self.answer is None:
            self.answer = 0, b"", b""
            self.answered()
            self.connection.server.engine.client_gone(self.request)


class ClientConnection:
    """An asyncio.Protocol in all but its bases: with one that is not compiled, each attribute would be looked
    up in a dictionary."""

    __deletable__ = ("parser",)
    idle_s = 4.0  # between requests, at most

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[Pending] = deque()  # answered in the order that they came
        self.since = server.loop.time()  # it was accepted, came to rest, or began a later request
        self.asked = False  # a whole request has come
        self.reading = False  # a request has begun and is not whole
        self.in_head = True
        self.deaf = False  # what still comes is dropped
        self.paused = False
        self.paused_at = 0.0
        self.choked = False  # the client does not read what it is given
        self.unparsed = 0
        self.size = 0  # of the body so far
        self.upload: Upload | None = None  # the body that is being read, if it is large
        self.begun: Pending | None = None  # its request, where that has been taken already
        self.continues = False  # 100 Continue is owed
        self.lingers: asyncio.TimerHandle | None = None

    # The transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        if self.deaf:  # ended before it was ours
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.lost(self)
        if self.lingers is not None:
            self.lingers.cancel()
        self.server.unheard.pop(self, None)
        self.abandoned()
        del self.parser  # it holds us as we hold it

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            # hazard: 60 MB dropped as fast as they come take the CPU of everybody
            if self.transport is not None and not self.transport.is_closing():
                self.pause()
                self.server.loop.call_later(DRAIN_GAP_S, self.hear)
            return
        if self.asked and not self.reading:
            self.since = self.server.loop.time()
        self.server.busy(self)
        self.unparsed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.deaf = True  # upgrades are not for us: what follows is no request
            for one in self.pending:
                one.keep = False
            if not self.pending and self.transport is not None:
                self.end(self.transport)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if not self.deaf:
                self.reject(cause if isinstance(cause, Rejected) else Rejected(400, "no HTTP request"))
        if not self.deaf and self.in_head and self.unparsed > MAX_HEAD:
            self.reject(Rejected(431, "headers too large"))
        if not self.deaf and not self.pending:
            self.server.rests(self)

    def eof_received(self) -> None:
        """The client has left: asyncio closes the connection. Hazard: it does so once all that is written has
        gone, which a client that does not read puts off; what waits here would be sent on meanwhile."""
        self.abandoned()

    def abandoned(self) -> None:
        """Nothing is read or owed here any more."""
        self.deaf = True
        self.stop_reading()
        self.forget()

    def left(self) -> bool:
        """While we do not read, the loop tells nothing of a client that leaves; the kernel knows."""
        return bool(
            self.pending
            and self.transport is not None
            and not self.transport.is_closing()
            and hangup_poll(self.transport).poll(0)
        )

    def pause_writing(self) -> None:
        self.choked = True

    def resume_writing(self) -> None:
        self.choked = False
        if self.pending and (flow := self.pending[0].flow) is not None:
            flow.resume()

    @property
    def grace_s(self) -> float:
        """How long after `since` what is being read may take."""
        return HEAD_S if self.in_head else BODY_S + self.size / SLOWEST

    def quiet(self) -> bool:
        """Hazard: a request may be waiting unread; closing on top of it would lose it for the client."""
        if self.transport is None or self.transport.is_closing():
            return True
        return not input_poll(self.transport).poll(0)

    def backlog(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def drop(self) -> None:
        self.deaf = True
        if self.transport is not None:
            # hazard: a client that does not read its answer would keep a closing connection for good
            (self.transport.abort if self.backlog() else self.transport.close)()

    def leave(self) -> None:
        """The sidecar ends: each answer from now on says so by itself."""

    # The parser

    def on_message_begin(self) -> None:
        # hazard: one read may hold hundreds of requests; pausing works on later reads only
        if self.deaf or len(self.pending) >= MOST_PIPELINED:
            raise Rejected(400, "too many requests at once")
        self.reading = self.in_head = True
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_size = self.size = 0
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.head_size += len(url)
        if self.head_size > MAX_HEAD:
            raise Rejected(431, "headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:  # trailers go no further
            self.headers.append((name, value.rstrip(b" \t")))  # RFC 9110, 5.5: no part of the value
        self.head_size += len(name) + len(value) + 4
        if self.head_size > MAX_HEAD:
            raise Rejected(431, "headers too large")

    def on_headers_complete(self) -> None:
        self.in_head = False
        names = [name.lower() for name, _ in self.headers]
        lengths = names.count(b"content-length")
        if lengths > 1 or (lengths and b"transfer-encoding" in names):
            raise Rejected(400, "two framings of one body")  # hazard: request smuggling
        self.length: int | None = None
        self.since = self.server.loop.time()
        for low, (_, value) in zip(names, self.headers, strict=True):
            if low == b"content-length":
                self.length = int(value)
                if self.length > MAX_BODY_BYTES:
                    raise Rejected(413, "body too large")
            if low == b"expect" and value.lower() == b"100-continue":
                self.continues = True
                self.go_on()

    def go_on(self) -> None:
        """Hazard: ahead of an answer that is still owed, 100 Continue would be taken for that answer."""
        if self.continues and not self.pending and self.transport is not None:
            self.continues = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.deaf:
            return
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            raise Rejected(413, "body too large")
        upload = self.upload
        if upload is None:
            self.body += body
            if self.size <= MAX_BUFFERED_BODY_BYTES:
                return
            upload = self.upload = Upload(self.server.spool, self.length)
            body, self.body = bytes(self.body), bytearray()
        upload.append(body)
        if not upload.is_streaming and not upload.fits_budget():
            self.pass_on(upload)
        if upload.is_full() and not self.deaf:
            self.pause()

    def pass_on(self, upload: Upload) -> None:
        """Too large to be held: the request is taken now, and its body passed on as it comes."""
        upload.is_streaming, upload.on_capacity = True, self.hear
        one = self.begun = self.request()
        one.upload = upload
        self.server.uploads[self] = None
        self.take(one, b"", upload)

    def on_message_complete(self) -> None:
        self.reading, self.in_head, self.continues, self.unparsed, self.asked = False, True, False, 0, True
        if self.deaf:
            return
        upload, one = self.upload, self.begun
        self.upload = self.begun = None
        if one is not None and upload is not None:
            self.server.uploads.pop(self, None)
            one.keep = self.parser.should_keep_alive()
            self.server.engine.upload_complete(one.request)
            upload.complete()
            return
        one = self.request()
        one.upload = upload
        self.take(one, bytes(self.body) if upload is None else upload.take_body(), None)

    def request(self) -> Pending:
        """The request that is being read stands in line for its answer."""
        one = Pending(self, self.parser.should_keep_alive(), self.parser.get_http_version() == "1.0")
        self.pending.append(one)
        if len(self.pending) >= MOST_PIPELINED and self.transport is not None:
            self.pause()
        return one

    def take(self, one: Pending, body: bytes, upload: Upload | None) -> None:
        try:
            self.server.take(one, self.parser.get_method(), self.target, self.headers, body, upload)
        except Rejected as error:
            self.turn_away(one, error)
        except Exception:
            # hazard: a fault here costs this one request, not its connection or the sidecar
            log.exception("a request could not be taken")
            one.reply(500)

    def stop_reading(self) -> None:
        """What is being read will not become whole."""
        upload, self.upload, self.begun = self.upload, None, None
        self.server.uploads.pop(self, None)
        if upload is not None:
            upload.fail()
            upload.discard()

    # Answers

    def reject(self, error: Rejected) -> None:
        """What can't be framed can't be followed by anything."""
        one = self.begun
        if one is None:
            one = Pending(self, False)
            self.pending.append(one)
            self.turn_away(one, error)
            return
        self.deaf, one.keep = True, False
        self.server.engine.fail_request(one.request, error.status)  # it has been taken

    def turn_away(self, one: Pending, error: Rejected) -> None:
        """Answer and end the connection. Hazard: what comes behind a bad request is mostly bad as well, by
        hundreds in one read; none of it is looked at."""
        self.deaf, one.keep = True, False
        self.stop_reading()
        one.reply(error.status, b"Content-Type: text/plain\r\n", str(error).encode() + b"\n")

    def flush(self) -> None:
        transport = self.transport
        while self.pending and transport is not None:
            one = self.pending[0]
            # hazard: while stopping, requests behind this one have been taken as well
            keep = one.keep and (not self.server.closing or len(self.pending) > 1)
            if one.flow is not None:
                if one.flow.transport is None:
                    one.flow.begin(transport, keep and one is not self.begun)
                if not one.flow.over:
                    break
                keep = one.flow.keep
            elif one.answer is not None:
                status, head, body = one.answer
                close = b"" if keep else b"Connection: close\r\n"
                transport.write(
                    b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
                    % (status, REASONS.get(status, b""), head, close, len(body), body)
                )
            else:
                break
            self.pending.popleft()
            one.release()
            if not keep:
                self.end(transport)
        if not self.pending:
            self.hear()
            if not self.deaf:
                self.go_on()
                if not self.reading:
                    self.since = self.server.loop.time()
                self.server.rests(self)

    def cut(self, one: InLine) -> None:
        """Its answer can't be finished."""
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.paused_at = True, self.server.loop.time()
            self.transport.pause_reading()
            self.server.unhear(self)

    def hear(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.server.unheard.pop(self, None)
            self.since += self.server.loop.time() - self.paused_at  # it was we who did not read
            self.transport.resume_reading()

    def forget(self) -> None:
        """Nobody waits for what is pending here any more."""
        pending, self.pending = self.pending, deque()
        for one in pending:
            one.leave()

    def end(self, transport: asyncio.Transport) -> None:
        """Close after the answer. Hazard: closing on top of unread input resets the connection, and the
        client may lose the answer; so what still comes is read and dropped for a while."""
        self.forget()
        if self.deaf or self.reading:
            self.deaf = True
            self.stop_reading()
            self.hear()
            transport.write_eof()
            self.lingers = self.server.loop.call_later(LINGER_S, transport.abort)
        else:
            self.deaf = True
            transport.close()
