"""Buffers for large request and response bodies, and the memory budget that they share. No sockets, no clock.

A body of up to `MAX_BUFFERED_BODY_BYTES` is always buffered completely. A larger request body is buffered
completely as far as the budget allows, so that a retry can send it again; beyond the budget it is streamed
and can be sent only once. A larger response body is always streamed. See docs/design/bodies.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.byte_blocks import ByteBlocks
from sidecar_proxy.engine.memory_budget import DEFAULT_BUDGET_BYTES, SMALL_READ_BYTES, MemoryBudget

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# The sender of a streamed body is paused once this much of it is buffered.
FLOW_CONTROL_WINDOW_BYTES = 128 * 1024
MIN_BODIES_IN_BUDGET = 4  # a single body may use at most a quarter of the budget


class BodyMemoryBudget:
    """The share of the process's memory budget for request bodies that are buffered completely."""

    def __init__(self, max_bytes: int, memory: MemoryBudget | None = None) -> None:
        self.memory = memory or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.max_bytes = max_bytes
        self.max_body_bytes = max_bytes // MIN_BODIES_IN_BUDGET
        self.used_bytes = 0

    def charge(self, size: int) -> None:
        """Count further bytes, or bytes that are freed if the number is negative."""
        self.used_bytes += size
        self.memory.charge(size)


class Upload:
    """A large request body: buffered at first; once `is_streaming`, forwarded as it arrives."""

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
        self.length = length  # length of the body in bytes; None = not known before its end
        self.data = ByteBlocks()
        self.buffered_bytes = 0
        self.is_complete = False  # the complete body has arrived
        self.has_failed = False  # the remaining data of the body will never arrive
        self.is_streaming = False
        # Consumed data is no longer buffered, so a retry can't send the body again.
        self.is_partly_consumed = False
        self.is_discarded = False  # data that still arrives is dropped
        # Called when there is more data to consume, or when the upload has failed.
        self.on_data: Callable[[], None] | None = None
        # Called when the sender of the body may resume.
        self.on_capacity: Callable[[], None] | None = None

    def append(self, data: bytes) -> None:
        """Buffer a chunk that has arrived."""
        if self.is_discarded:
            return
        self.data.append(data)
        self.buffered_bytes += len(data)
        self.budget.charge(len(data))
        self.notify()

    def notify(self) -> None:
        """Notify the consumer of the body."""
        if self.on_data is not None:
            self.on_data()

    def fits_budget(self) -> bool:
        """Return whether the budget allows buffering the complete body."""
        size = self.buffered_bytes if self.length is None else self.length
        missing_bytes = size - self.buffered_bytes
        return (
            size <= self.budget.max_body_bytes
            and self.budget.used_bytes + missing_bytes <= self.budget.max_bytes
            and self.budget.memory.has_room(missing_bytes)
        )

    def is_full(self) -> bool:
        """Return whether the sender has to pause: the flow control window of a streamed body is full.

        While memory is low, the window is a single read.
        """
        window_bytes = SMALL_READ_BYTES if self.budget.memory.is_low() else FLOW_CONTROL_WINDOW_BYTES
        has_more = self.is_streaming and not self.is_complete
        return has_more and self.buffered_bytes >= window_bytes

    def complete(self) -> None:
        """Record that the complete body has arrived."""
        self.is_complete = True
        self.notify()

    def fail(self) -> None:
        """Record that the sender has disconnected or stalled before the end of the body."""
        if not self.is_complete:
            self.has_failed = True
            self.notify()

    def consume(self) -> bytes | None:
        """Remove and return the buffered data; None if there is none."""
        if not self.data:
            return None
        self.is_partly_consumed = True
        chunk = self.data.take()
        self.buffered_bytes -= len(chunk)
        self.budget.charge(-len(chunk))
        if self.on_capacity is not None and not self.is_full():
            self.on_capacity()
        return chunk

    def take_body(self) -> bytes:
        """Remove and return the complete body, which counts against the budget until `discard`."""
        self.is_complete = True
        return self.data.take()

    def discard(self) -> None:
        """Drop the data that is not consumed yet.

        The consumer sees a failure: otherwise the truncated body would look complete.
        """
        self.is_discarded = True
        if self.data or not self.is_complete:
            self.has_failed = True
            self.notify()
        self.data.clear()
        self.budget.charge(-self.buffered_bytes)
        self.buffered_bytes = 0


class ResponseSource(Protocol):
    """The source of a streamed response."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Resume reading."""

    def abandon(self) -> None:
        """Drop the remaining data of the response: its client has disconnected."""


class ResponseSink(Protocol):
    """The destination of a streamed response. Exactly one of `end` and `fail` is called, once."""

    def write(self, data: bytes) -> None:
        """Forward a chunk of the response."""

    def is_queued(self) -> bool:
        """Return whether other responses have to be sent before this one.

        While it is queued, missing progress does not count as a stall.
        """

    def end(self) -> None:
        """Record that the response is complete."""

    def fail(self) -> None:
        """Record that the remaining data will never arrive.

        The client has to see that the response is incomplete.
        """


# Opens a streamed response to the client. Arguments: the header lines, the length if it is known, the source,
# and a callback for the end, which gets True if the client received the complete response, False if the
# response is incomplete, and None if the client disconnected.
ClientStreamOpener = Callable[
    [bytes, "int | None", ResponseSource, Callable[["bool | None"], None]], ResponseSink
]
