"""Who holds a place at the limit of connections, and who makes room for a new one.

Pure: no sockets, no clock. A place goes by evidence, not by age alone. Who has written nothing since it was
accepted has shown none; who sends a second piece of a request shows that it goes on with it; who rests
between requests has been of use. So room is made in this order, the longest without evidence first:

1. silent: accepted, and no byte has come;
2. resting between requests, unless those that have asked nothing hold a quarter of all places;
3. begun: one piece of a request has come, and nothing more for a moment. Hazard: a crowd sends such a piece
   as well and stays; held for longer, a few hundred a second of them shut everybody out;
4. stalled: it went on, and nothing more has come for a while; only if nobody is silent.

A request that goes on coming is never ended for room: it ends by its own time limit (client.py), so a crowd
of such holds a place for that long at most. Who finds no room waits in the backlog, where nothing is lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

YOUNG_S = 0.05  # a connection's first request follows its accept; the loop may be busy meanwhile
BEGUN_S = 0.05  # longer ones shut others out: at 0.1 s a first attempt came 66 ms after its request (p99)
STALL_S = 0.7  # between two pieces of a request that is written over 2 s
CROWD = 1 / 4  # of all places, held by those that have asked nothing: who has been of use keeps its place

K = TypeVar("K")


class Admission(Generic[K]):
    """The connections that have no request under way, and when each last showed something. O(1) a change."""

    def __init__(self, most: int) -> None:
        self.most = most  # places, those with a request under way among them
        # the longest without evidence first: who shows some goes to the end
        self.silent: dict[K, float] = {}
        self.begun: dict[K, float] = {}  # one piece of a request has come
        self.writing: dict[K, float] = {}  # more than one, and it is not whole
        self.idle: dict[K, float] = {}

    def accepted(self, one: K, now_s: float) -> None:
        self.silent[one] = now_s

    def wrote(self, one: K, now_s: float) -> None:
        """Bytes have come, and they are no whole request."""
        began = one in self.begun or one in self.writing
        self.busy(one)
        (self.writing if began else self.begun)[one] = now_s

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
        self.begun.pop(one, None)
        self.writing.pop(one, None)
        self.idle.pop(one, None)

    def unasked(self) -> Iterator[K]:
        """Those of which no whole request has come."""
        for group in (self.silent, self.begun, self.writing):
            yield from list(group)

    def spare(self, now_s: float) -> Iterator[K]:
        """Whom to end for a new connection, the first best; none: the new one waits. Hazard: a usual client
        that has just connected has not asked yet."""
        yield from older(self.silent, now_s - YOUNG_S)
        # hazard: the one accepted last is always young; to wait for it each time lets one in in YOUNG_S
        if len(self.silent) + len(self.begun) + len(self.writing) < CROWD * self.most:
            yield from self.idle
        if len(self.silent) < CROWD * self.most:
            yield from older(self.begun, now_s - BEGUN_S)
        if not self.silent:
            yield from older(self.writing, now_s - STALL_S)


def older(group: dict[K, float], than_s: float) -> Iterator[K]:
    for one, since_s in group.items():
        if since_s > than_s:
            return
        yield one
