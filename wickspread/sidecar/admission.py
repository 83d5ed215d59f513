"""Who holds a place at the limit of connections, and who makes room for a new one.

Pure: no sockets, no clock. A place goes by evidence, not by age alone. Who has written nothing since it was
accepted has shown none; who sends bytes of a request shows it anew with each; who rests between requests has
been of use. So room is made in this order, the longest without evidence first:

1. silent: accepted, and no byte has come;
2. resting between requests, unless those that have asked nothing hold a quarter of all places;
3. stalled: a part of a request has come, and nothing more for a while; only if nobody is silent.

A request that goes on coming is never ended for room: it ends by its own time limit (client.py), so a crowd
of such holds a place for that long at most. Who finds no room waits in the backlog, where nothing is lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

YOUNG_S = 0.05  # a connection's first request follows its accept; the loop may be busy meanwhile
STALL_S = 0.7  # between two pieces of a request that is written over 2 s
CROWD = 1 / 4  # of all places, held by those that have asked nothing: who has been of use keeps its place

K = TypeVar("K")


class Admission(Generic[K]):
    """The connections that have no request under way, and when each last showed something. O(1) a change."""

    def __init__(self, most: int) -> None:
        self.most = most  # places, those with a request under way among them
        # the longest without evidence first: who shows some goes to the end
        self.silent: dict[K, float] = {}
        self.writing: dict[K, float] = {}  # a request has begun and is not whole
        self.idle: dict[K, float] = {}

    def accepted(self, one: K, now_s: float) -> None:
        self.silent[one] = now_s

    def wrote(self, one: K, now_s: float) -> None:
        """Bytes have come, and they are no whole request."""
        self.busy(one)
        self.writing[one] = now_s

    def rests(self, one: K, now_s: float) -> K | None:
        """All that it asked is answered. Hazard: clients may open only so many connections; if each asks once
        and stays, nobody could ask any more. So of more than half of all places the oldest is told, to be
        ended."""
        self.busy(one)
        self.idle[one] = now_s
        oldest = next(iter(self.idle))
        return oldest if len(self.idle) > self.most // 2 and oldest != one else None

    def busy(self, one: K) -> None:
        """It has a request under way, or is gone."""
        self.silent.pop(one, None)
        self.writing.pop(one, None)
        self.idle.pop(one, None)

    def unasked(self) -> Iterator[K]:
        """Those of which no whole request has come."""
        yield from list(self.silent)
        yield from list(self.writing)

    def spare(self, now_s: float) -> Iterator[K]:
        """Whom to end for a new connection, the first best; none: the new one waits. Hazard: a usual client
        that has just connected has not asked yet."""
        for one, since_s in self.silent.items():
            if since_s > now_s - YOUNG_S:
                break
            yield one
        # hazard: the one accepted last is always young; to wait for it each time lets one in in YOUNG_S
        if len(self.silent) + len(self.writing) < CROWD * self.most:
            yield from self.idle
        if not self.silent:
            for one, since_s in self.writing.items():
                if since_s > now_s - STALL_S:
                    break
                yield one
