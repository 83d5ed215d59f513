"""The queue of broadcasts that are piggybacked on packets, fewest transmissions first (SWIM, section 4.1).

The cost of selecting the broadcasts of a packet does not depend on the length of the queue.
"""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.gossip.codec import SignedStatement

MAX_PIGGYBACKED = 6  # maximum number of broadcasts on one packet
MAX_PIGGYBACKED_BYTES = 900  # maximum size of the broadcasts on one packet
MAX_STATEMENT_OVERHEAD_BYTES = 84  # signature, time and headers of a SignedStatement
BroadcastKey = tuple[str, ...]


@dataclass(slots=True)
class QueuedBroadcast:
    """A statement in the queue, with the number of its transmissions so far."""

    statement: SignedStatement
    transmissions: int = 0
    is_deferred: bool = False  # sent after others with as many transmissions; for joins, as many come at once

    @property
    def rank(self) -> int:
        """The position in the order of transmission; the lowest rank is sent first."""
        return 2 * self.transmissions + self.is_deferred


class BroadcastQueue:
    """The queued broadcasts, at most one per key."""

    def __init__(self) -> None:
        self.by_key: dict[BroadcastKey, QueuedBroadcast] = {}
        self._by_rank: dict[int, dict[BroadcastKey, QueuedBroadcast]] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def put(self, key: BroadcastKey, statement: SignedStatement, is_deferred: bool = False) -> None:
        """Queue a statement; it replaces the queued one with the same key.

        A statement that is too large for any packet is not queued, as it would block all others. Peers get it
        by state exchanges.
        """
        if key in self.by_key:
            self._remove(key)
        if encoded_size(statement) > MAX_PIGGYBACKED_BYTES:
            return
        self._insert(key, QueuedBroadcast(statement, is_deferred=is_deferred))

    def clear(self) -> None:
        """Remove all broadcasts from the queue."""
        self.by_key.clear()
        self._by_rank.clear()

    def take(self, max_count: int, max_bytes: int, transmit_limit: int) -> list[SignedStatement]:
        """Return the broadcasts of one packet; each is removed after `transmit_limit` transmissions."""
        chosen = self._select(max_count, max_bytes)
        for key, broadcast in chosen:
            self._remove(key)
            broadcast.transmissions += 1
            if broadcast.transmissions < transmit_limit:
                self._insert(key, broadcast)
        return [broadcast.statement for _, broadcast in chosen]

    def _select(self, max_count: int, max_bytes: int) -> list[tuple[BroadcastKey, QueuedBroadcast]]:
        chosen: list[tuple[BroadcastKey, QueuedBroadcast]] = []
        remaining_bytes = max_bytes
        for rank in sorted(self._by_rank):
            for key, broadcast in self._by_rank[rank].items():
                remaining_bytes -= encoded_size(broadcast.statement)
                if remaining_bytes < 0 or len(chosen) >= max_count:
                    return chosen
                chosen.append((key, broadcast))
        return chosen

    def _insert(self, key: BroadcastKey, broadcast: QueuedBroadcast) -> None:
        self.by_key[key] = broadcast
        self._by_rank.setdefault(broadcast.rank, {})[key] = broadcast

    def _remove(self, key: BroadcastKey) -> None:
        broadcast = self.by_key.pop(key)
        same_rank = self._by_rank[broadcast.rank]
        del same_rank[key]
        if not same_rank:
            del self._by_rank[broadcast.rank]


def encoded_size(statement: SignedStatement) -> int:
    """Return the maximum size of an encoded statement in bytes."""
    return len(statement.body) + len(statement.author) + MAX_STATEMENT_OVERHEAD_BYTES
