"""A streamed response to a client: forwards the upstream's response as it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.body_buffers import ResponseSource


class ResponseConnection(Protocol):
    """The client connection that a response is written to."""

    is_write_paused: bool  # whether the client does not read its responses
    queued_bytes: int  # bytes of responses that are not written yet

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write output, and charge it to the memory budget as far as the kernel does not accept it."""

    def flush(self) -> None:
        """Write the responses that are available, in the order of their requests."""

    def abort(self, request: QueuedRequest) -> None:
        """Abort the connection, because the response to `request` can't be completed."""


class QueuedRequest(Protocol):
    """The request, in the queue of its connection, that the response is for."""

    is_http_1_0: bool
    stream: ResponseStream | None

    @property
    def connection(self) -> ResponseConnection:
        """The connection that the request arrived on."""

    def reply(self, status: int) -> None:
        """Answer with a status alone."""

    def complete(self) -> None:
        """Record that the request is over."""


class ResponseStream:
    """Sends a response once its request is the first in the queue; until then the source is paused."""

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
        self.content_length = length  # None = unknown until the end of the response
        self.source = source
        self.on_end = ended
        self.transport: asyncio.Transport | None = None  # None until the response begins
        self.unsent_pieces: list[bytes] = []  # pieces that arrived before the response could begin
        self.is_chunked = self.keep_alive = False
        self.has_ended = False  # whether the source sends no further data

    def is_queued(self) -> bool:
        """Return whether other responses have to be sent before this one."""
        return self.transport is None and not self.has_ended

    def begin(self, transport: asyncio.Transport, keep_alive: bool) -> None:
        """Write the head and what has arrived: the request is now the first in the queue."""
        self.transport = transport
        self.is_chunked = self.content_length is None and not self.pending.is_http_1_0
        # In HTTP/1.0 the end of the connection marks the end of a response of unknown length.
        self.keep_alive = keep_alive and (self.content_length is not None or self.is_chunked)
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self.is_chunked
            else b""
            if self.content_length is None
            else b"Content-Length: %d\r\n" % self.content_length
        )
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.pending.connection.write(
            transport, b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (self.head, close, framing)
        )
        for data in self.take_unsent():
            self.write(data)
        if self.has_ended:
            self.write_last_chunk()
        elif not self.pending.connection.is_write_paused:
            self.source.resume()

    def write(self, data: bytes) -> None:
        """Send a piece, or keep it until the response can begin; apply backpressure to the source."""
        if self.transport is None:
            self.unsent_pieces.append(data)
            self.pending.connection.queued_bytes += len(data)
            self.source.pause()
            return
        if self.is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.pending.connection.write(self.transport, data)
        if self.pending.connection.is_write_paused:
            self.source.pause()

    def take_unsent(self) -> list[bytes]:
        """Remove and return what arrived before the response could begin."""
        pieces, self.unsent_pieces = self.unsent_pieces, []
        for data in pieces:
            self.pending.connection.queued_bytes -= len(data)
        return pieces

    def resume(self) -> None:
        """Resume reading from the source: the client reads again."""
        if not self.has_ended:
            self.source.resume()

    def write_last_chunk(self) -> None:
        """Write the end of a chunked response."""
        if self.is_chunked and self.transport is not None:
            self.pending.connection.write(self.transport, b"0\r\n\r\n")

    def end(self) -> None:
        """Record that the response is complete."""
        self.has_ended = True
        if self.transport is not None:
            self.write_last_chunk()
        self.on_end(True)
        self.pending.complete()
        self.pending.connection.flush()

    def fail(self) -> None:
        """Record that the remaining data will never arrive.

        The connection is aborted: with a regular end, the client would consider the response complete. If
        nothing was sent yet, the request is answered with 502 instead, so that earlier responses in the queue
        are not lost.
        """
        self.has_ended = True
        self.on_end(False)
        if self.transport is None:
            self.take_unsent()
            self.pending.stream = None
            self.pending.reply(502)
            return
        self.pending.complete()
        self.pending.connection.abort(self.pending)

    def abandon(self) -> None:
        """Stop reading from the source: the client has disconnected."""
        if not self.has_ended:
            self.has_ended = True
            self.take_unsent()
            self.on_end(None)
            self.source.abandon()
