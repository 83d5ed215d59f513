"""Limits the memory that buffers data for clients and upstreams that read slowly."""

from __future__ import annotations

from sidecar_proxy.engine.memory_budget import MemoryBudget

# Window of a long stream in both directions, whose data is not kept for retries.
LONG_STREAM_WINDOW_BYTES = 512 * 1024


class BufferOwner:
    """A call for which data is buffered."""

    __slots__ = ("buffered_bytes",)

    def __init__(self) -> None:
        self.buffered_bytes = 0

    def abort_over_budget(self) -> None:
        """End this call: the sidecar exceeds its buffer limit, and this call buffers the most."""
        raise NotImplementedError


class BufferBudget:
    """Counts the bytes that are buffered for all calls of the sidecar, against a limit.

    They are a part of the memory budget of the process as well, and may take half of it.
    """

    def __init__(self, max_bytes: int, memory: MemoryBudget) -> None:
        self.max_bytes = max_bytes
        self.memory = memory
        self.total_bytes = 0
        self.owners: set[BufferOwner] = set()

    def adjust(self, owner: BufferOwner, delta_bytes: int) -> None:
        """Add to the bytes that are buffered for a call; a negative number releases them."""
        owner.buffered_bytes += delta_bytes
        self.total_bytes += delta_bytes
        self.memory.charge(delta_bytes)
        if owner.buffered_bytes > 0:
            self.owners.add(owner)
        else:
            self.owners.discard(owner)

    def find_largest_if_exceeded(self) -> BufferOwner | None:
        """Return the owner with the most buffered bytes if the limit is exceeded, otherwise None."""
        is_exceeded = self.total_bytes > min(self.max_bytes, self.memory.max_bytes // 2)
        return max(self.owners, key=buffered_bytes_of) if is_exceeded and self.owners else None


def buffered_bytes_of(owner: BufferOwner) -> int:
    """Return the buffered bytes of a call, as a sort key."""
    return owner.buffered_bytes
