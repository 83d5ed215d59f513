"""Keeps Python's cycle collector from blocking the event loop.

Requests and upstreams are freed by reference counting, so a full collection of a process that knows 10,000
upstreams finds nothing and blocks the loop for 10 to 20 ms.
"""

from __future__ import annotations

import gc

YOUNG_GENERATION_THRESHOLD = 5_000  # objects; the default of 700 collects at every dozenth request
MIDDLE_GENERATION_THRESHOLD = 20  # collections of the young generation
OLD_GENERATION_THRESHOLD = 20  # collections of the middle generation
GROWTH_FACTOR = 1.25  # of the number of upstreams since the last freeze, from which to freeze again
FEW_UPSTREAMS = 256  # a list that grows to less than this needs no freeze


class GcController:
    """Freezes long-lived objects: at the start, and when the endpoint list has grown."""

    def __init__(self) -> None:
        self.frozen_upstreams = FEW_UPSTREAMS
        gc.set_threshold(YOUNG_GENERATION_THRESHOLD, MIDDLE_GENERATION_THRESHOLD, OLD_GENERATION_THRESHOLD)
        gc.collect()
        gc.freeze()

    def pause(self) -> None:
        """Disable collections while a large list is being read."""
        gc.disable()

    def resume(self, upstream_count: int) -> None:
        """Enable collections again, and freeze what is there if the list has grown.

        Cyclic garbage that exists at this moment is frozen as well and never freed, so this happens only as
        the list grows, not at each change of it.
        """
        if upstream_count > GROWTH_FACTOR * self.frozen_upstreams:
            self.frozen_upstreams = upstream_count
            gc.freeze()
        gc.enable()
