"""The endpoints that operators have suspended. No I/O and no clock.

A suspension applies whatever the state of the endpoint in the endpoint list is, to every new incarnation of
the endpoint and across hot restarts, until an operator ends it. This is the platform's rule 3: if sources
disagree about the state of an endpoint, the most restrictive state counts.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_SUSPENSIONS = 100_000
MAX_NAME_LENGTH = 256  # maximum number of characters in an endpoint's name


class SuspensionError(Exception):
    """A command names an endpoint that cannot be suspended or restored; the message is one line."""

    def __init__(self, message: str, name: str) -> None:
        super().__init__(message)
        self.name = name


class UnknownEndpointError(SuspensionError):
    """No endpoint of this name was ever listed."""

    def __init__(self, name: str) -> None:
        super().__init__("no upstream of that name was ever listed", name)


class TooManySuspensionsError(SuspensionError):
    """MAX_SUSPENSIONS endpoints are suspended already."""

    def __init__(self, name: str) -> None:
        super().__init__("too many are suspended", name)


class Suspensions:
    """The names of suspended endpoints, and of endpoints that were ever listed."""

    def __init__(self) -> None:
        self.names: set[str] = set()  # names of suspended endpoints
        self.listed_names: dict[str, None] = {}  # names that were ever listed, oldest first

    def add_listed(self, name: str) -> None:
        """Add a name of the endpoint list.

        As endpoints are replaced all the time, the oldest names are dropped beyond MAX_SUSPENSIONS.
        """
        if name in self.listed_names:
            return
        self.listed_names[name] = None
        if len(self.listed_names) > MAX_SUSPENSIONS:
            del self.listed_names[next(iter(self.listed_names))]

    def check(self, name: str) -> None:
        """Raise SuspensionError if no endpoint of this name can be suspended or restored."""
        is_known = name in self.listed_names or name in self.names
        if not name or len(name) > MAX_NAME_LENGTH or not is_known:
            raise UnknownEndpointError(name)
        if len(self.names) >= MAX_SUSPENSIONS and name not in self.names:
            raise TooManySuspensionsError(name)

    def replace(self, names: Iterable[str]) -> set[str]:
        """Replace the suspended names; return the names that are newly suspended or restored."""
        new_names = set(names)
        changed_names = new_names ^ self.names
        self.names = new_names
        return changed_names
