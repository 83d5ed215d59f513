"""What is held for peers that do not read."""

from __future__ import annotations

LONG_STREAM_WINDOW_BYTES = 512 * 1024  # window of a long stream, either way: nothing of it is kept


class BufferOwner:
    """Something is held for it."""

    __slots__ = ("buffered_bytes",)

    def __init__(self) -> None:
        self.buffered_bytes = 0  # bytes

    def abort_over_budget(self) -> None:
        """Too much is held, and most of it for this one."""
        raise NotImplementedError


class BufferBudget:
    """Bytes held for peers that do not read, against a limit of the whole sidecar."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.owners: set[BufferOwner] = set()

    def adjust(self, owner: BufferOwner, delta_bytes: int) -> None:
        owner.buffered_bytes += delta_bytes
        self.total_bytes += delta_bytes
        if owner.buffered_bytes > 0:
            self.owners.add(owner)
        else:
            self.owners.discard(owner)

    def find_largest_if_exceeded(self) -> BufferOwner | None:
        """Over the limit: who holds most."""
        return (
            max(self.owners, key=buffered_bytes_of)
            if self.total_bytes > self.max_bytes and self.owners
            else None
        )


def buffered_bytes_of(owner: BufferOwner) -> int:
    return owner.buffered_bytes
