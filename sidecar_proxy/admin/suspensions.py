"""Upstreams that operators have taken out by hand. Pure.

A suspension is the most careful word there is (rule 3): it holds whatever the list says, whoever lists the
upstream anew, and over an upgrade of the process, until one call takes it back.
"""

from __future__ import annotations

from collections.abc import Iterable

MOST_SUSPENDED = 100_000
MOST_NAME = 256  # characters


class UnknownEndpointError(Exception):
    """The call names an upstream that was never listed; one line."""


class Suspensions:
    """Names that were ever listed here, and those of them that are held out."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.seen: dict[str, None] = {}  # oldest first

    def listed(self, name: str) -> None:
        """The list has named it. Hazard: upstreams are replaced all day, so the oldest names go."""
        if name not in self.seen:
            self.seen[name] = None
            if len(self.seen) > MOST_SUSPENDED:
                del self.seen[next(iter(self.seen))]

    def check(self, name: str) -> None:
        """Raises Unknown."""
        if not name or len(name) > MOST_NAME or (name not in self.seen and name not in self.names):
            raise UnknownEndpointError("no upstream of that name was ever listed")
        if len(self.names) >= MOST_SUSPENDED and name not in self.names:
            raise UnknownEndpointError("too many are suspended")

    def replace(self, names: Iterable[str]) -> set[str]:
        """All that are held out now; returns those for which that has changed."""
        new = set(names)
        changed, self.names = new ^ self.names, new
        return changed
