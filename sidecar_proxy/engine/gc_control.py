"""Keeps Python's cycle collector from blocking the event loop.

Requests and upstreams are freed by reference counting, so a full collection of a process that knows 10,000
upstreams finds nothing and blocks the loop for 10 to 20 ms.
"""

from __future__ import annotations

import gc

YOUNG_GENERATION_THRESHOLD = (
    5_000  # new objects per collection; the default of 700 collects once in 12 requests
)
MIDDLE_GENERATION_THRESHOLD = 20  # collections of the young generation per collection of this one
OLD_GENERATION_THRESHOLD = 20  # collections of the middle generation per collection of this one
GROWTH_FACTOR = 1.25  # a list that has grown by this factor since the last freeze is frozen again
MIN_UPSTREAMS = 256  # a smaller list is cheap to collect and needs no freeze of its own


class GcController:
    """Excludes long-lived objects from collection: at the start, and when the endpoint list has grown."""

    def __init__(self) -> None:
        self.frozen_upstreams = MIN_UPSTREAMS
        gc.set_threshold(YOUNG_GENERATION_THRESHOLD, MIDDLE_GENERATION_THRESHOLD, OLD_GENERATION_THRESHOLD)
        gc.collect()
        gc.freeze()

    def pause(self) -> None:
        """Disable collections while a large endpoint list is being parsed."""
        gc.disable()

    def resume(self, upstream_count: int) -> None:
        """Enable collections again, and freeze all existing objects if the endpoint list has grown.

        Cyclic garbage that exists at this moment is frozen as well and never freed, so objects are frozen
        only when the list has grown, not at each change.
        """
        if upstream_count > GROWTH_FACTOR * self.frozen_upstreams:
            self.frozen_upstreams = upstream_count
            gc.freeze()
        gc.enable()
