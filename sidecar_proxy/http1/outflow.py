"""One large answer on its way to a client: what the upstream gives is passed on as it comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.body_buffers import ResponseSource


class Line(Protocol):
    """The client's connection."""

    choked: bool  # the client does not read what it is given

    def flush(self) -> None: ...

    def cut(self, one: InLine) -> None: ...


class InLine(Protocol):
    """The request on it that the answer is for."""

    old: bool  # it speaks HTTP/1.0
    flow: Outflow | None

    @property
    def connection(self) -> Line: ...

    def reply(self, status: int) -> None: ...

    def answered(self) -> None: ...


class Outflow:
    """Begins when its request is the first in line on its connection; till then its source waits."""

    def __init__(
        self,
        pending: InLine,
        head: bytes,
        length: int | None,
        source: ResponseSource,
        ended: Callable[[bool | None], None],
    ) -> None:
        self.pending = pending
        self.head = head
        self.length = length  # None = not known before its end
        self.source = source
        self.ended = ended
        self.transport: asyncio.Transport | None = None  # None = not begun
        self.waiting: list[bytes] = []
        self.chunked = self.keep = False
        self.over = False  # all that will come has come

    def is_queued(self) -> bool:
        """Its turn has not come."""
        return self.transport is None and not self.over

    def begin(self, transport: asyncio.Transport, keep: bool) -> None:
        """It is the first in line."""
        self.transport = transport
        self.chunked = self.length is None and not self.pending.old
        # hazard: to a client of HTTP/1.0 the end of an answer of unknown length is the end of the connection
        self.keep = keep and (self.length is not None or self.chunked)
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self.chunked
            else b""
            if self.length is None
            else b"Content-Length: %d\r\n" % self.length
        )
        close = b"" if self.keep else b"Connection: close\r\n"
        transport.write(b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (self.head, close, framing))
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.write(data)
        if self.over:
            self.close()
        elif not self.pending.connection.choked:
            self.source.resume()

    def write(self, data: bytes) -> None:
        if self.transport is None:
            self.waiting.append(data)
            self.source.pause()
            return
        self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)
        if self.pending.connection.choked:
            self.source.pause()

    def resume(self) -> None:
        """The client has read on."""
        if not self.over:
            self.source.resume()

    def close(self) -> None:
        if self.chunked and self.transport is not None:
            self.transport.write(b"0\r\n\r\n")

    def end(self) -> None:
        self.over = True
        if self.transport is not None:
            self.close()
        self.ended(True)
        self.pending.answered()
        self.pending.connection.flush()

    def fail(self) -> None:
        """Hazard: ended like a whole one, an answer that was cut off would be taken for whole."""
        self.over = True
        self.ended(False)
        if self.transport is None:  # nothing of it has gone: those before it in line are not to suffer
            self.pending.flow = None
            self.pending.reply(502)
            return
        self.pending.answered()
        self.pending.connection.cut(self.pending)

    def abandon(self) -> None:
        """The client has left."""
        if not self.over:
            self.over = True
            self.ended(None)
            self.source.abandon()
