"""Reads from a connection in turn with all others, and stops reading while its input has to wait."""

from __future__ import annotations

import asyncio

from sidecar_proxy.engine.read_buffer import ReadBuffer


class ReadTurns:
    """Controls how a transport reads: one buffer in each iteration of the event loop, and none while blocked.

    An event loop reads a socket up to 32 times in a row, which with a peer that writes at full speed is
    megabytes that are parsed before any other connection has its turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, buffer: ReadBuffer) -> None:
        self.loop = loop
        self.buffer = buffer
        self.transport: asyncio.Transport | None = None
        self.is_blocked = False  # earlier input has to be processed first
        self.is_turn_over = False
        self.is_paused = False

    def take(self, size: int) -> bytes:
        """Return what was read; if there may be more, it is read in the next iteration."""
        data = self.buffer.take(size)
        if self.buffer.was_filled(size) and not self.is_turn_over:
            self.is_turn_over = True
            self.loop.call_soon(self.begin_turn)
            self.update()
        return data

    def begin_turn(self) -> None:
        """Read on after the other connections."""
        self.is_turn_over = False
        self.update()

    def set_blocked(self, is_blocked: bool) -> None:
        """Stop reading, or resume it."""
        self.is_blocked = is_blocked
        self.update()

    def update(self) -> None:
        """Pause or resume the transport."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        must_pause = self.is_blocked or self.is_turn_over
        if must_pause == self.is_paused:
            return
        self.is_paused = must_pause
        if must_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()
