"""The socket side that all our HTTP/2 connections have in common: one write for all that a round brings."""

from __future__ import annotations

import asyncio
from typing import cast

from mypy_extensions import mypyc_attr

from sidecar_proxy.http2.connection import Connection


@mypyc_attr(allow_interpreted_subclasses=True)
class Http2Protocol:
    """A transport under a Connection. Nothing is given to a transport that holds something back, so that
    little is in doubt when it breaks. An asyncio.Protocol in all but its bases: with one that is not
    compiled, each attribute would be looked up in a dictionary."""

    def __init__(self, http2: Connection, loop: asyncio.AbstractEventLoop) -> None:
        self.http2 = http2
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.is_writing_paused = False  # the kernel takes no more for now
        self.scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.schedule()

    def connection_lost(self, error: Exception | None) -> None: ...

    def data_received(self, data: bytes) -> None: ...

    def eof_received(self) -> None:
        """The peer has sent all that it will: asyncio closes the connection."""

    def pause_writing(self) -> None:
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        self.is_writing_paused = False
        self.schedule()

    def schedule(self) -> None:
        """Flush when all that this round brings has been dealt with."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.write()

    def write(self) -> bool:
        """Hand over what there is to send; False where the transport takes nothing now."""
        self.scheduled = False
        if self.transport is None or self.is_writing_paused or self.transport.is_closing():
            return False
        data = self.http2.outgoing()
        if data:
            self.transport.write(data)
        return True
