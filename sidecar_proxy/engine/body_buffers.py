"""Large bodies on their way through: what is held of each, and of all together. No sockets, no clock.

A body of up to `KEEP` bytes is held whole. A larger request is held whole as far as the spool has room, so
that it can be sent again; beyond that it is passed on as it comes, once. A larger answer is passed on as it
comes, too. docs/design/bodies.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

KEEP = 64 * 1024  # bytes of a body that are held whole without asking
MOST_BODY = 64 * 1024 * 1024
WINDOW = 128 * 1024  # bytes of a body under way that are held before its sender has to wait


class Spool:
    """Memory for request bodies that are held whole."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.one = most // 4  # of a single body
        self.used = 0


class Upload:
    """A request's large body: first held, and once it is `started`, passed on as it comes."""

    __slots__ = (
        "spool",
        "length",
        "data",
        "held",
        "whole",
        "failed",
        "started",
        "taken",
        "dropped",
        "more",
        "room",
    )

    def __init__(self, spool: Spool, length: int | None) -> None:
        self.spool = spool
        self.length = length  # None = not known before its end
        self.data = bytearray()  # hazard: kept as they come, pieces of a few bytes take ten times their size
        self.held = 0
        self.whole = False  # all of it has come
        self.failed = False  # the rest will never come
        self.started = False  # it is passed on as it comes
        self.taken = False  # a part is gone from here: it can't be sent again
        self.dropped = False  # nobody wants what still comes
        self.more: Callable[[], None] | None = None  # called when there is more to take, or it failed
        self.room: Callable[[], None] | None = None  # called when its sender may go on

    def put(self, data: bytes) -> None:
        if self.dropped:
            return
        self.data += data
        self.held += len(data)
        self.spool.used += len(data)
        if self.more is not None:
            self.more()

    def fits(self) -> bool:
        """It may go on being held whole."""
        size = self.held if self.length is None else self.length
        return size <= self.spool.one and self.spool.used + size - self.held <= self.spool.most

    def full(self) -> bool:
        """Its sender has to wait."""
        return self.started and not self.whole and self.held >= WINDOW

    def end(self) -> None:
        self.whole = True
        if self.more is not None:
            self.more()

    def fail(self) -> None:
        """Its sender is gone, or has stalled."""
        if not self.whole:
            self.failed = True
            if self.more is not None:
                self.more()

    def take(self) -> bytes | None:
        """What there is, which is the caller's from now on; None if there is nothing just now."""
        if not self.data:
            return None
        self.taken = True
        piece, self.data = bytes(self.data), bytearray()
        was_full = self.full()
        self.held -= len(piece)
        self.spool.used -= len(piece)
        if was_full and not self.full() and self.room is not None:
            self.room()
        return piece

    def join(self) -> bytes:
        """The whole body in one; it counts as held until `drop`."""
        self.whole = True
        data, self.data = bytes(self.data), bytearray()
        return data

    def drop(self) -> None:
        """Nothing of it is wanted any more. Hazard: what is left of it must not look like its end."""
        self.dropped = True
        if self.data or not self.whole:
            self.failed = True
            if self.more is not None:
                self.more()
        self.data = bytearray()
        self.spool.used -= self.held
        self.held = 0


class Source(Protocol):
    """Where an answer comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def abandon(self) -> None:
        """Nobody wants the rest."""


class Flow(Protocol):
    """Where an answer goes that is passed on as it comes. One of `end` and `fail` is called, once."""

    def write(self, data: bytes) -> None: ...

    def waits(self) -> bool:
        """Others have to be answered before it: that nothing moves is no stall."""

    def end(self) -> None: ...

    def fail(self) -> None:
        """The rest will never come: the client has to see that it is not whole."""


# Given the header lines, the length if it is known, the source, and who is told at its end whether the client
# has it whole (None: the client has left).
Opens = Callable[[bytes, "int | None", Source, Callable[["bool | None"], None]], Flow]
