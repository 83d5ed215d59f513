"""Counters of a sidecar, and their text form (StatsD: name:value|type). Pure.

Each process counts from 0. The requests of a class end under one of `completed`, `rejected` and `failed`;
those whose client has left are counted nowhere. The exported names are part of the operators' interface.
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
    """Return the index in OUTCOMES under which a final status is counted."""
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
        self.upstream_requests = 0  # attempts of which the kernel has had the whole request
        self.config_reloads = 0
        self.config_reload_errors = 0

    def request_accepted(self) -> None:
        """Count a request that was taken."""
        self.pending_requests += 1

    def request_ended(self, class_index: int, status: int) -> None:
        """Count the end of a request, with its final status; 0 if its client has left."""
        self.pending_requests -= 1
        if status != STATUS_CLIENT_GONE:
            self.outcome_counts[class_index][outcome_index(status)] += 1

    def lines(self, members: int, unavailable_members: int) -> Iterator[str]:
        """Yield each metric as a line; the caller counts the members."""
        for name, counts in zip(self.class_names, self.outcome_counts, strict=True):
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                yield f"{PREFIX}.{outcome}.{name}:{count}|c"
        yield f"{PREFIX}.upstream_requests:{self.upstream_requests}|c"
        yield f"{PREFIX}.pending:{self.pending_requests}|g"
        yield f"{PREFIX}.members:{members}|g"
        yield f"{PREFIX}.members_unavailable:{unavailable_members}|g"
        yield f"{PREFIX}.config_reloads:{self.config_reloads}|c"
        yield f"{PREFIX}.config_reload_errors:{self.config_reload_errors}|c"
