"""Decides which client connection is closed to admit a new one at the limit of connections.

Has no sockets and no clock. The decision depends on what a connection has sent, not on its age alone. One
that has sent nothing since it was accepted may never send a request; one that sends a second piece of a
request is likely to complete it; one that is idle between requests has completed some. Connections are
therefore closed in this order, within each state the one without activity for longest first:

1. silent: accepted, and no byte has arrived; then lingering: its last response is sent;
2. idle between requests, unless connections without a complete request take a quarter of the limit;
3. started: one piece of a request has arrived, and nothing more for a moment. A flood of clients may send
   such a piece and stay; kept for longer, a few hundred of them per second would block all new connections;
4. in progress: more pieces have followed, and nothing more has arrived for a while; only if none is silent.

A connection whose request keeps arriving is never closed for a new one: its own time limit ends it
(client.py), so a flood of them blocks new connections for that long at most. A new connection that can't be
admitted waits in the listen backlog, where nothing is lost.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

# Minimum time without activity before a connection of each state may be closed for a new one.
SILENT_GRACE_S = 0.05  # the first request follows the accept at once, but a busy loop may read it late
LINGERING_GRACE_S = 0.2  # the client may not have read its last response, which a reset would drop
STARTED_GRACE_S = 0.05  # at 0.1 s, a flood delayed the first attempt of other requests by 66 ms (p99)
IN_PROGRESS_GRACE_S = 0.7  # longer than the gap between the pieces of a request that is written over 2 s
# While connections without a complete request are at least this share of the limit, idle ones are kept, as
# they have completed requests.
MAX_SHARE_WITHOUT_REQUEST = 1 / 4

ConnectionT = TypeVar("ConnectionT")


class Admission(Generic[ConnectionT]):
    """The connections without a request in flight, with the time of their last activity. O(1) per change."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections  # limit that includes connections with a request in flight
        # Each is ordered by the time of the last activity, oldest first; activity moves an entry to the end.
        self.silent: dict[ConnectionT, float] = {}
        self.started: dict[ConnectionT, float] = {}  # one piece of their request has arrived
        self.in_progress: dict[ConnectionT, float] = {}  # several pieces of their request have arrived
        self.idle: dict[ConnectionT, float] = {}
        self.lingering: dict[ConnectionT, float] = {}

    def add(self, connection: ConnectionT, now_s: float) -> None:
        """Add a connection that has just been accepted."""
        self.silent[connection] = now_s

    def mark_received_bytes(self, connection: ConnectionT, now_s: float) -> None:
        """Record that bytes have arrived, and that the request is still incomplete."""
        has_started = connection in self.started or connection in self.in_progress
        self.remove(connection)
        (self.in_progress if has_started else self.started)[connection] = now_s

    def mark_idle(self, connection: ConnectionT, now_s: float) -> ConnectionT | None:
        """Record that all its requests are answered; return the oldest idle connection if it is to be closed.

        That is the case if more than half of the limit is idle. If clients that may open only so many
        connections each sent one request and kept theirs, no further client could connect.
        """
        self.remove(connection)
        self.idle[connection] = now_s
        oldest = next(iter(self.idle))
        return oldest if len(self.idle) > self.max_connections // 2 and oldest != connection else None

    def mark_lingering(self, connection: ConnectionT, now_s: float) -> None:
        """Record that the last response is sent, and that what still arrives is discarded."""
        self.remove(connection)
        self.lingering[connection] = now_s

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that has a request in flight or is closed."""
        self.silent.pop(connection, None)
        self.started.pop(connection, None)
        self.in_progress.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)

    def without_request(self) -> Iterator[ConnectionT]:
        """Yield the connections that wait for a request to begin or to be complete, except for idle ones."""
        for group in (self.silent, self.started, self.in_progress):
            yield from list(group)

    def stalled(self, than_s: float) -> Iterator[ConnectionT]:
        """Yield the connections with an incomplete request of which nothing has arrived since then."""
        for group in (self.started, self.in_progress):
            yield from list(iterate_older(group, than_s))

    def eviction_candidates(self, now_s: float) -> Iterator[ConnectionT]:
        """Yield the connections that may be closed to admit a new one, the best first.

        If there is none, the new connection waits. A usual client that has just connected has not sent its
        request yet, so silent connections are spared for SILENT_GRACE_S.
        """
        yield from iterate_older(self.silent, now_s - SILENT_GRACE_S)
        yield from iterate_older(self.lingering, now_s - LINGERING_GRACE_S)
        # The newest silent connection is always within its grace time: if new ones waited for that, only one
        # per SILENT_GRACE_S would be admitted. So idle connections are closed as well.
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
    """Yield the connections whose last activity was no later than `than_s`."""
    for connection, active_s in group.items():
        if active_s > than_s:
            return
        yield connection
