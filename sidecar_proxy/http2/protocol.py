"""The asyncio protocol that all HTTP/2 connections share: one write for all output of a loop iteration."""

from __future__ import annotations

import asyncio
from typing import cast

from mypy_extensions import mypyc_attr

from sidecar_proxy.http2.connection import Connection


@mypyc_attr(allow_interpreted_subclasses=True)
class Http2Protocol:
    """Connects an asyncio transport to a Connection.

    While the transport's buffer is full, nothing more is written to it, so that little data is in an unknown
    state when the transport fails. It has the methods of asyncio.Protocol but does not inherit from it: with
    a base class that is not compiled, each attribute would be looked up in a dictionary.
    """

    def __init__(self, http2: Connection, loop: asyncio.AbstractEventLoop) -> None:
        self.http2 = http2
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.is_writing_paused = False  # the transport's write buffer is full
        self.is_flush_scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and schedule the first write."""
        # uvloop's transport has all methods of asyncio.Transport but does not inherit from it.
        self.transport = cast(asyncio.Transport, transport)
        self.schedule()

    def connection_lost(self, error: Exception | None) -> None:
        """Do nothing; subclasses override it."""

    def data_received(self, data: bytes) -> None:
        """Do nothing; subclasses override it."""

    def eof_received(self) -> None:
        """Let asyncio close the connection, as the peer sends nothing more."""

    def pause_writing(self) -> None:
        """Stop writing until `resume_writing`."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Write again from the next flush on."""
        self.is_writing_paused = False
        self.schedule()

    def schedule(self) -> None:
        """Schedule a flush for the next loop iteration, after all events of this one."""
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write the pending output; subclasses extend it."""
        self.write()

    def write(self) -> bool:
        """Write the pending output; return False if the transport accepts nothing now."""
        self.is_flush_scheduled = False
        if self.transport is None or self.is_writing_paused or self.transport.is_closing():
            return False
        data = self.http2.outgoing()
        if data:
            self.transport.write(data)
        return True
