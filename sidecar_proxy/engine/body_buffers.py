"""Buffers of large request and response bodies, and the memory that all of them share. No sockets, no clock.

A body of up to `MAX_BUFFERED_BODY_BYTES` is always buffered whole. A larger request body is buffered whole as
far as the budget allows, so that it can be sent again; beyond that it is streamed, once. A larger response is
always streamed. docs/design/bodies.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
FLOW_CONTROL_WINDOW_BYTES = 128 * 1024  # of a streamed body, buffered before its sender has to wait
MAX_BUDGET_SHARE = 4  # one body may take a fourth of the budget


class BodyMemoryBudget:
    """The memory for request bodies that are buffered whole."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_body_bytes = max_bytes // MAX_BUDGET_SHARE
        self.used_bytes = 0


class Upload:
    """A large request body: first buffered, then, once `is_streaming`, passed on as it arrives."""

    __slots__ = (
        "budget",
        "buffered_bytes",
        "data",
        "has_failed",
        "is_complete",
        "is_discarded",
        "is_partly_consumed",
        "is_streaming",
        "length",
        "on_capacity",
        "on_data",
    )

    def __init__(self, budget: BodyMemoryBudget, length: int | None) -> None:
        self.budget = budget
        self.length = length  # in bytes; None = not known before the end
        self.data = bytearray()  # one buffer: a list of pieces of a few bytes takes ten times their size
        self.buffered_bytes = 0
        self.is_complete = False  # all of it has arrived
        self.has_failed = False  # the rest will never arrive
        self.is_streaming = False
        self.is_partly_consumed = False  # it can't be sent again
        self.is_discarded = False  # what still arrives is dropped
        self.on_data: Callable[[], None] | None = None  # called when there is more to consume, or it failed
        self.on_capacity: Callable[[], None] | None = None  # called when its sender may go on

    def append(self, data: bytes) -> None:
        """Buffer a piece that has arrived."""
        if self.is_discarded:
            return
        self.data += data
        self.buffered_bytes += len(data)
        self.budget.used_bytes += len(data)
        self.notify()

    def notify(self) -> None:
        """Call whoever consumes the body."""
        if self.on_data is not None:
            self.on_data()

    def fits_budget(self) -> bool:
        """Say whether it may go on being buffered whole."""
        size = self.buffered_bytes if self.length is None else self.length
        used_by_all = self.budget.used_bytes + size - self.buffered_bytes
        return size <= self.budget.max_body_bytes and used_by_all <= self.budget.max_bytes

    def is_full(self) -> bool:
        """Say whether its sender has to wait."""
        has_more = self.is_streaming and not self.is_complete
        return has_more and self.buffered_bytes >= FLOW_CONTROL_WINDOW_BYTES

    def complete(self) -> None:
        """Note that all of it has arrived."""
        self.is_complete = True
        self.notify()

    def fail(self) -> None:
        """Note that its sender has gone or has stalled."""
        if not self.is_complete:
            self.has_failed = True
            self.notify()

    def consume(self) -> bytes | None:
        """Return what is buffered, which the caller owns from then on; None if nothing is."""
        if not self.data:
            return None
        self.is_partly_consumed = True
        piece, self.data = bytes(self.data), bytearray()
        was_full = self.is_full()
        self.buffered_bytes -= len(piece)
        self.budget.used_bytes -= len(piece)
        if was_full and not self.is_full() and self.on_capacity is not None:
            self.on_capacity()
        return piece

    def take_body(self) -> bytes:
        """Return the whole body; it counts against the budget until `discard`."""
        self.is_complete = True
        data, self.data = bytes(self.data), bytearray()
        return data

    def discard(self) -> None:
        """Drop the rest. Whoever consumes it sees a failure, so that the rest does not look like its end."""
        self.is_discarded = True
        if self.data or not self.is_complete:
            self.has_failed = True
            self.notify()
        self.data = bytearray()
        self.budget.used_bytes -= self.buffered_bytes
        self.buffered_bytes = 0


class ResponseSource(Protocol):
    """Where a streamed response comes from."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Go on reading."""

    def abandon(self) -> None:
        """Drop the rest: nobody wants it."""


class ResponseSink(Protocol):
    """Where a streamed response goes. Exactly one of `end` and `fail` is called, once."""

    def write(self, data: bytes) -> None:
        """Pass on a piece."""

    def is_queued(self) -> bool:
        """Say whether other responses have to be sent before it: that nothing moves is no stall then."""

    def end(self) -> None:
        """Note that the response is complete."""

    def fail(self) -> None:
        """Note that the rest will never come: the client has to see that the response is incomplete."""


# Opens a streamed response to the client. Arguments: the header lines, the length if it is known, the source,
# and a callback for its end: whether the client has it whole (None: the client has left).
ClientStreamOpener = Callable[
    [bytes, "int | None", ResponseSource, Callable[["bool | None"], None]], ResponseSink
]
