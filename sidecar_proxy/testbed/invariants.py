"""What has to hold over a whole fleet, read off the ledger. Each is a function of its records that gives
breaches; a later part adds its own to ALL.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable

from sidecar_proxy.testbed.checker import Breach
from sidecar_proxy.testbed.history import Process, Record, Said

WHOLE = 1_000_000  # parts of a budget


def overspent(records: Iterable[Record]) -> list[Breach]:
    """The sum of what all sidecars may spend of the fleet's budgets is never over the whole. What one has
    borrowed ends by itself at its time; what one owned dies with it."""
    listed = sorted(records, key=lambda one: one.at_us)
    own: dict[str, int] = {}
    held: dict[str, list[tuple[int, int]]] = {}
    found: list[Breach] = []
    for one in listed:
        if isinstance(one, Process) and one.what in ("killed", "ended"):
            own.pop(one.sidecar, None)
            held.pop(one.sidecar, None)
        if not isinstance(one, Said) or one.topic != "lease":
            continue
        parts, loans = json.loads(one.data)
        own[one.sidecar] = int(parts)
        held[one.sidecar] = [(int(borrowed), int(until_us)) for borrowed, until_us in loans]
        total = sum(own.values()) + sum(
            borrowed for some in held.values() for borrowed, until_us in some if until_us > one.at_us
        )
        if total > WHOLE:
            found.append(Breach(5, one.at_us, f"all may spend {total} parts of {WHOLE}: {own}, {held}"))
    return found


ALL: tuple[Callable[[Iterable[Record]], list[Breach]], ...] = (overspent,)
