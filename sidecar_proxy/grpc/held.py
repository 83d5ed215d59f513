"""What is held for peers that do not read."""

from __future__ import annotations

WIDE = 512 * 1024  # window of a long stream, either way: nothing of it is kept


class Holder:
    """Something is held for it."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held = 0  # bytes

    def give_up(self) -> None:
        """Too much is held, and most of it for this one."""
        raise NotImplementedError


class Held:
    """Bytes held for peers that do not read, against a limit of the whole sidecar."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.size = 0
        self.holders: set[Holder] = set()

    def change(self, holder: Holder, by: int) -> None:
        holder.held += by
        self.size += by
        if holder.held > 0:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)

    def largest(self) -> Holder | None:
        """Over the limit: who holds most."""
        return max(self.holders, key=size_of) if self.size > self.most and self.holders else None


def size_of(holder: Holder) -> int:
    return holder.held
