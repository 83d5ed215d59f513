"""The queue of broadcasts that are piggybacked on packets: those that were sent least go first (SWIM, 4.1).

Selecting the broadcasts of a packet costs the same however many are queued.
"""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.gossip.codec import SignedStatement

MAX_PIGGYBACKED = 6  # broadcasts on one packet
MAX_PIGGYBACKED_BYTES = 900  # of broadcasts on one packet
STATEMENT_OVERHEAD_BYTES = 84  # signature, time and headers of a SignedStatement, at most
BroadcastKey = tuple[str, ...]


@dataclass(slots=True)
class QueuedBroadcast:
    """A statement in the queue."""

    statement: SignedStatement
    transmissions: int = 0
    is_deferred: bool = False  # yields to others: at a start there are as many joins as instances

    @property
    def rank(self) -> int:
        """Order in the queue: lower goes first."""
        return 2 * self.transmissions + self.is_deferred


class BroadcastQueue:
    """The queued broadcasts, one for each key."""

    def __init__(self) -> None:
        self.by_key: dict[BroadcastKey, QueuedBroadcast] = {}
        self._by_rank: dict[int, dict[BroadcastKey, QueuedBroadcast]] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def put(self, key: BroadcastKey, statement: SignedStatement, is_deferred: bool = False) -> None:
        """Queue a statement in place of the one that has its key.

        A statement that no packet can hold is left to state exchanges: it would block all others.
        """
        if key in self.by_key:
            self._remove(key)
        if encoded_size(statement) > MAX_PIGGYBACKED_BYTES:
            return
        self._insert(key, QueuedBroadcast(statement, is_deferred=is_deferred))

    def clear(self) -> None:
        """Remove all broadcasts."""
        self.by_key.clear()
        self._by_rank.clear()

    def take(self, max_count: int, max_bytes: int, transmit_limit: int) -> list[SignedStatement]:
        """Return the broadcasts of one packet; each leaves the queue at its last transmission."""
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
    """Return the bytes that a statement takes on a packet, at most."""
    return len(statement.body) + len(statement.author) + STATEMENT_OVERHEAD_BYTES
