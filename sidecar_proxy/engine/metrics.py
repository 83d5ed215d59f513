"""Counters of a sidecar, and their text format (StatsD: name:value|type). No I/O.

Each process counts from 0. A finished request counts as one of `completed`, `rejected` and `failed` of its
request class; a request whose client disconnected counts as none of them. The exported names are part of the
operators' interface.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

PREFIX = "app"
OUTCOMES = ("completed", "rejected", "failed")
COMPLETED, REJECTED, FAILED = range(len(OUTCOMES))
STATUS_COMPLETED = 200
STATUSES_REJECTED = (429, 503)
STATUS_CLIENT_GONE = 0


def outcome_index(status: int) -> int:
    """Return the index in OUTCOMES that a final status counts as."""
    if status == STATUS_COMPLETED:
        return COMPLETED
    if status in STATUSES_REJECTED:
        return REJECTED
    return FAILED


class Metrics:
    """The counters of one process."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.class_names = list(class_names)
        self.outcome_counts = [[0] * len(OUTCOMES) for _ in self.class_names]
        self.pending_requests = 0
        self.upstream_requests = 0  # attempts whose request was written completely to the kernel
        self.config_reloads = 0
        self.config_reload_errors = 0

    def request_accepted(self) -> None:
        """Count a request that was accepted."""
        self.pending_requests += 1

    def request_ended(self, class_index: int, status: int) -> None:
        """Count the end of a request by its final status, which is 0 if its client disconnected."""
        self.pending_requests -= 1
        if status != STATUS_CLIENT_GONE:
            self.outcome_counts[class_index][outcome_index(status)] += 1

    def lines(self, members: int, unavailable_members: int) -> Iterator[str]:
        """Yield each metric as a line; the caller passes the numbers of members."""
        for name, counts in zip(self.class_names, self.outcome_counts, strict=True):
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                yield f"{PREFIX}.{outcome}.{name}:{count}|c"
        yield f"{PREFIX}.upstream_requests:{self.upstream_requests}|c"
        yield f"{PREFIX}.pending:{self.pending_requests}|g"
        yield f"{PREFIX}.members:{members}|g"
        yield f"{PREFIX}.members_unavailable:{unavailable_members}|g"
        yield f"{PREFIX}.config_reloads:{self.config_reloads}|c"
        yield f"{PREFIX}.config_reload_errors:{self.config_reload_errors}|c"
