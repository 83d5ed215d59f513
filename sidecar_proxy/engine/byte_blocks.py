"""A buffer that grows in blocks of one size.

A single array that grows is copied to larger and larger places, and hundreds of them at once leave the heap
full of holes. A list of the pieces as they arrive would take many times their size if they are small.
"""

from __future__ import annotations

BLOCK_BYTES = 4 * 1024


class ByteBlocks:
    """Bytes that are appended in pieces and taken at once."""

    __slots__ = ("blocks", "size", "tail")

    def __init__(self) -> None:
        self.blocks: list[bytes] = []
        self.tail = bytearray()  # less than a block
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        if not self.tail and len(data) >= BLOCK_BYTES:
            self.blocks.append(data)
            return
        self.tail += data
        if len(self.tail) >= BLOCK_BYTES:
            self.blocks.append(bytes(self.tail))
            self.tail = bytearray()

    def take(self) -> bytes:
        """Remove and return all bytes."""
        if self.tail:
            self.blocks.append(bytes(self.tail))
        data = self.blocks[0] if len(self.blocks) == 1 else b"".join(self.blocks)
        self.clear()
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self.blocks, self.tail, self.size = [], bytearray(), 0
