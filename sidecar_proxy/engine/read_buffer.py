"""The memory that all connections of the process read to, one read at a time. No sockets.

What was read is copied at once, so that connections can share it and one without input holds none.
"""

from __future__ import annotations

READ_BYTES = 16 * 1024  # a read is at most this large


class ReadBuffer:
    """A piece of memory for one read, of which a reader may ask for a part."""

    def __init__(self) -> None:
        self.memory = memoryview(bytearray(READ_BYTES))
        self.offered_bytes = READ_BYTES

    def offer(self, size: int = READ_BYTES) -> memoryview:
        """Return the memory for a read of up to so many bytes."""
        self.offered_bytes = size
        return self.memory[:size]

    def take(self, size: int) -> bytes:
        """Return a copy of what the last read has written."""
        return bytes(self.memory[:size])

    def was_filled(self, size: int) -> bool:
        """Return whether a read of this size used all that was offered, so that there may be more input."""
        return size == self.offered_bytes
