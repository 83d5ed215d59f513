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

SILENT_GRACE_S = 0.05  # a connection's first request follows its accept; the loop may be busy meanwhile
STARTED_GRACE_S = (
    0.05  # longer ones shut others out: at 0.1 s a first attempt came 66 ms after its request (p99)
)
IN_PROGRESS_GRACE_S = 0.7  # between two pieces of a request that is written over 2 s
MAX_SHARE_WITHOUT_REQUEST = (
    1 / 4
)  # of all places, held by those that have asked nothing: who has been of use keeps its place

ConnectionT = TypeVar("ConnectionT")


class Admission(Generic[ConnectionT]):
    """The connections that have no request under way, and when each last showed something. O(1) a change."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections  # places, those with a request under way among them
        # the longest without evidence first: who shows some goes to the end
        self.silent: dict[ConnectionT, float] = {}
        self.started: dict[ConnectionT, float] = {}  # one piece of a request has come
        self.in_progress: dict[ConnectionT, float] = {}  # more than one, and it is not whole
        self.idle: dict[ConnectionT, float] = {}

    def add(self, one: ConnectionT, now_s: float) -> None:
        self.silent[one] = now_s

    def mark_received_bytes(self, one: ConnectionT, now_s: float) -> None:
        """Bytes have come, and they are no whole request."""
        began = one in self.started or one in self.in_progress
        self.remove(one)
        (self.in_progress if began else self.started)[one] = now_s

    def mark_idle(self, one: ConnectionT, now_s: float) -> ConnectionT | None:
        """All that it asked is answered. Hazard: clients may open only so many connections; if each asks once
        and stays, nobody could ask any more. So of more than half of all places the oldest is told, to be
        ended."""
        self.remove(one)
        self.idle[one] = now_s
        oldest = next(iter(self.idle))
        return oldest if len(self.idle) > self.max_connections // 2 and oldest != one else None

    def remove(self, one: ConnectionT) -> None:
        """It has a request under way, or is gone."""
        self.silent.pop(one, None)
        self.started.pop(one, None)
        self.in_progress.pop(one, None)
        self.idle.pop(one, None)

    def without_request(self) -> Iterator[ConnectionT]:
        """Those of which no whole request has come."""
        for group in (self.silent, self.started, self.in_progress):
            yield from list(group)

    def eviction_candidates(self, now_s: float) -> Iterator[ConnectionT]:
        """Whom to end for a new connection, the first best; none: the new one waits. Hazard: a usual client
        that has just connected has not asked yet."""
        yield from iterate_older(self.silent, now_s - SILENT_GRACE_S)
        # hazard: the one accepted last is always young; to wait for it each time lets one in in YOUNG_S
        if (
            len(self.silent) + len(self.started) + len(self.in_progress)
            < MAX_SHARE_WITHOUT_REQUEST * self.max_connections
        ):
            yield from self.idle
        if len(self.silent) < MAX_SHARE_WITHOUT_REQUEST * self.max_connections:
            yield from iterate_older(self.started, now_s - STARTED_GRACE_S)
        if not self.silent:
            yield from iterate_older(self.in_progress, now_s - IN_PROGRESS_GRACE_S)


def iterate_older(group: dict[ConnectionT, float], than_s: float) -> Iterator[ConnectionT]:
    for one, since_s in group.items():
        if since_s > than_s:
            return
        yield one
