"""How a sidecar that does not vote, or a voter that is far behind, gets what is committed: it asks a voter
for what follows its own, piece by piece, one question at a time, and goes on where it was cut off. Pure.
"""

from __future__ import annotations

import functools
import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.frames import MOST_PIECE, Batch, Later, Piece, Want
from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import MOST_ENTRIES, Entry, Node, Snapshot

PATIENCE_US = 3_000_000  # for one answer
POLL_US = 10_000_000  # between two questions where nothing new was heard of; half as long again by chance
SPREAD_US = 2_000  # for each sidecar of the fleet: what is new is not asked for by all at once
MOST_SPREAD_US = 1_000_000
LEAST_PIECE = 512


@dataclass(slots=True)
class Partial:
    """A snapshot of which some is there."""

    index: int
    digest: bytes
    data: bytearray = field(default_factory=bytearray)


class Fetch:
    """The asking side."""

    def __init__(self, dice: random.Random, now_us: int) -> None:
        self.dice = dice
        self.number = 0  # of the question that is out; 0 = none is
        self.asked: Node = ""
        self.asked_us = 0
        self.due_us = now_us
        self.news = False  # somebody has more
        self.failed: Node = ""
        self.most = MOST_PIECE
        self.partial: Partial | None = None

    @property
    def there(self) -> int:
        """Bytes of a snapshot."""
        return len(self.partial.data) if self.partial else 0

    def heard_of_more(self, now_us: int, members: int) -> None:
        """Somebody has more than we."""
        if not self.news:
            self.news = True
            spread_us = min(MOST_SPREAD_US, members * SPREAD_US)
            self.due_us = min(self.due_us, now_us + int(self.dice.random() * spread_us))

    def question(self, now_us: int, voters: Sequence[Node], after: int) -> tuple[Node, Want] | None:
        """The next one, if one is due."""
        if self.number and now_us - self.asked_us >= PATIENCE_US:
            self.failed, self.number = self.asked, 0
            self.most = max(LEAST_PIECE, self.most // 4)  # a narrow link, perhaps
            self.due_us = now_us
        if self.number or now_us < self.due_us or not voters:
            return None
        others = [node for node in voters if node != self.failed] or list(voters)
        # hazard: half of a snapshot is of use only where the rest of the very same one is
        self.asked = self.asked if self.partial and self.asked in others else self.dice.choice(others)
        self.number, self.asked_us = self.dice.getrandbits(48) + 1, now_us
        have = self.partial
        return self.asked, Want(
            self.number, after, have.index if have else 0, len(have.data) if have else 0, self.most
        )

    def answered(self, answer: Batch | Piece | Later, now_us: int) -> bool:
        """Whether that is what was asked for."""
        if answer.number != self.number or not self.number:
            return False
        self.number, self.failed = 0, ""
        if isinstance(answer, Later):
            self.due_us = now_us + answer.wait_ms * 1000
        return True

    def rest(self, now_us: int, more: bool) -> None:
        """After an answer: more is there to be had at once, or nothing for a while."""
        self.news = more
        self.due_us = now_us if more else now_us + int(POLL_US * (1 + self.dice.random() / 2))

    def lost(self, node: Node, now_us: int) -> None:
        """The link to that one broke."""
        if self.number and self.asked == node:
            self.number, self.failed, self.due_us = 0, node, now_us

    def pieced(self, piece: Piece) -> Snapshot | None:
        """The snapshot, once it is whole; None: not yet, or from the start again."""
        have = self.partial
        if have is None or (have.index, have.digest) != (piece.index, piece.digest):
            have = self.partial = Partial(piece.index, piece.digest)
        if piece.offset != len(have.data) or len(have.data) + len(piece.data) > piece.size:
            return None
        have.data += piece.data
        self.most = min(MOST_PIECE, self.most * 2)
        if len(have.data) < piece.size:
            return None
        self.partial = None
        data = bytes(have.data)
        if digest(data) != piece.digest:
            return None
        return Snapshot(piece.index, piece.term, piece.voters, data)


class Budget:
    """Bytes a second for all who fetch: a token bucket."""

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.left = rate  # a second's worth at most
        self.at_us = now_us

    def take(self, size: int, now_us: int) -> int:
        """0: go on; else after how many ms it may be asked again. A debt is paid first."""
        self.left = min(self.rate, self.left + self.rate * max(0, now_us - self.at_us) / 1e6)
        self.at_us = now_us
        if self.left <= 0:
            return min(10_000, int(-self.left / self.rate * 1000) + 50)
        self.left -= size
        return 0


def answer(want: Want, log: RaftLog, commit: int, fleet: str) -> Batch | Piece:
    """What somebody who has it says."""
    if want.after >= log.snapshot.index:
        entries: list[Entry] = []
        size = 0
        for one in log.between(want.after + 1, min(commit, want.after + MOST_ENTRIES)):
            size += len(one.data) + 32
            if entries and size > want.most:
                break
            entries.append(one)
        return Batch(want.number, fleet, commit, tuple(entries))
    found = log.snapshot
    offset = want.offset if want.index == found.index and want.offset <= len(found.data) else 0
    return Piece(
        want.number,
        fleet,
        commit,
        found.index,
        found.term,
        found.voters,
        len(found.data),
        digest(found.data),
        offset,
        found.data[offset : offset + want.most],
    )


def size(told: Batch | Piece) -> int:
    """Bytes on the way, nearly."""
    if isinstance(told, Piece):
        return 160 + len(told.data)
    return 80 + sum(len(one.data) + 32 for one in told.entries)


@functools.lru_cache(maxsize=2)  # of our own snapshot it is asked for with each piece
def digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()
