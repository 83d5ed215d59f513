"""One large answer on its way to a client: what the upstream gives is passed on as it comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.body_buffers import ResponseSource


class ResponseConnection(Protocol):
    """The client's connection."""

    is_write_paused: bool  # the client does not read what it is given

    def flush(self) -> None: ...

    def abort(self, one: QueuedRequest) -> None: ...


class QueuedRequest(Protocol):
    """The request on it that the answer is for."""

    is_http_1_0: bool  # it speaks HTTP/1.0
    stream: ResponseStream | None

    @property
    def connection(self) -> ResponseConnection: ...

    def reply(self, status: int) -> None: ...

    def complete(self) -> None: ...


class ResponseStream:
    """Begins when its request is the first in line on its connection; till then its source waits."""

    def __init__(
        self,
        pending: QueuedRequest,
        head: bytes,
        length: int | None,
        source: ResponseSource,
        ended: Callable[[bool | None], None],
    ) -> None:
        self.pending = pending
        self.head = head
        self.content_length = length  # None = not known before its end
        self.source = source
        self.on_end = ended
        self.transport: asyncio.Transport | None = None  # None = not begun
        self.unsent_pieces: list[bytes] = []
        self.is_chunked = self.keep_alive = False
        self.has_ended = False  # all that will come has come

    def waits(self) -> bool:
        """Its turn has not come."""
        return self.transport is None and not self.has_ended

    def begin(self, transport: asyncio.Transport, keep: bool) -> None:
        """It is the first in line."""
        self.transport = transport
        self.is_chunked = self.content_length is None and not self.pending.is_http_1_0
        # hazard: to a client of HTTP/1.0 the end of an answer of unknown length is the end of the connection
        self.keep_alive = keep and (self.content_length is not None or self.is_chunked)
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self.is_chunked
            else b""
            if self.content_length is None
            else b"Content-Length: %d\r\n" % self.content_length
        )
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        transport.write(b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (self.head, close, framing))
        waiting, self.unsent_pieces = self.unsent_pieces, []
        for data in waiting:
            self.write(data)
        if self.has_ended:
            self.write_last_chunk()
        elif not self.pending.connection.is_write_paused:
            self.source.resume()

    def write(self, data: bytes) -> None:
        if self.transport is None:
            self.unsent_pieces.append(data)
            self.source.pause()
            return
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.is_chunked else data)
        if self.pending.connection.is_write_paused:
            self.source.pause()

    def resume(self) -> None:
        """The client has read on."""
        if not self.has_ended:
            self.source.resume()

    def write_last_chunk(self) -> None:
        if self.is_chunked and self.transport is not None:
            self.transport.write(b"0\r\n\r\n")

    def end(self) -> None:
        self.has_ended = True
        if self.transport is not None:
            self.write_last_chunk()
        self.on_end(True)
        self.pending.complete()
        self.pending.connection.flush()

    def fail(self) -> None:
        """Hazard: ended like a whole one, an answer that was cut off would be taken for whole."""
        self.has_ended = True
        self.on_end(False)
        if self.transport is None:  # nothing of it has gone: those before it in line are not to suffer
            self.pending.stream = None
            self.pending.reply(502)
            return
        self.pending.complete()
        self.pending.connection.abort(self.pending)

    def abandon(self) -> None:
        """The client has left."""
        if not self.has_ended:
            self.has_ended = True
            self.on_end(None)
            self.source.abandon()
