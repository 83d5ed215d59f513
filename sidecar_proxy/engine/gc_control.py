"""Python's cycle collector, kept from holding the loop. Next to nothing of ours is left to it: what a request
or an upstream takes is freed by its count of references, so a full search of 10,000 upstreams finds nothing
and holds the loop for 10 to 20 ms."""

from __future__ import annotations

import gc

YOUNG = 5_000  # new objects between two looks at the young ones; the usual 700 looks at every dozenth request
GROWN = 1.25  # times as many upstreams as at the last time, from which what is there is set aside


class GcController:
    """Sets aside what stays: at the start, and when a list has grown."""

    def __init__(self) -> None:
        self.known = 256
        gc.set_threshold(YOUNG, 20, 20)
        gc.collect()
        gc.freeze()

    def pause(self) -> None:
        """A large list is being read."""
        gc.disable()

    def resume(self, known: int) -> None:
        """It is read. Hazard: cycles that are garbage just now are set aside as well and never freed, so this
        is done only as the list grows, not as often as discovery likes."""
        if known > GROWN * self.known:
            self.known = known
            gc.freeze()
        gc.enable()
