"""What a sidecar counts, and the lines that tell it (StatsD's form: name:value|type). Pure.

Each process counts from 0. A class's requests end under one of `completed`, `rejected` and `failed`; those
that their client has left are counted nowhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

PREFIX = "app"
OUTCOMES = ("completed", "rejected", "failed")


class Figures:
    """Counters of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.classes = list(classes)
        self.ended = [[0] * len(OUTCOMES) for _ in self.classes]
        self.pending = 0  # requests taken and not ended
        self.upstream_requests = 0  # attempts of which the kernel has had the whole request
        self.reloads = self.reload_errors = 0

    def taken(self) -> None:
        self.pending += 1

    def answered(self, class_index: int, status: int) -> None:
        """A request has ended with this status; 0 = its client has left."""
        self.pending -= 1
        if status:
            outcome = 0 if status == 200 else 1 if status in (429, 503) else 2
            self.ended[class_index][outcome] += 1

    def lines(self, members: int, unavailable: int) -> Iterator[str]:
        """Every figure, a line each; the members are the caller's to count."""
        for name, counts in zip(self.classes, self.ended, strict=True):
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                yield f"{PREFIX}.{outcome}.{name}:{count}|c"
        yield f"{PREFIX}.upstream_requests:{self.upstream_requests}|c"
        yield f"{PREFIX}.pending:{self.pending}|g"
        yield f"{PREFIX}.members:{members}|g"
        yield f"{PREFIX}.members_unavailable:{unavailable}|g"
        yield f"{PREFIX}.config_reloads:{self.reloads}|c"
        yield f"{PREFIX}.config_reload_errors:{self.reload_errors}|c"
