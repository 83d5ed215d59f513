"""Records when the testbed's event loop was held up, so that the checker does not blame a sidecar for it.

Clients and upstreams of the testbed share one event loop. While a busy machine does not run it, responses
that a sidecar sends in time stay in the kernel and are read late.
"""

from __future__ import annotations

import asyncio

from sidecar_proxy.testbed.history import Held, Ledger, now_us

HEARTBEAT_INTERVAL_US = 5_000
MIN_HELD_US = 20_000  # shorter delays are within the checker's slack


class LoopMonitor:
    """A heartbeat on the running event loop; a late one makes a record."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def _schedule(self) -> None:
        self._due_us = now_us() + HEARTBEAT_INTERVAL_US
        self._timer = self._loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self._beat)

    def _beat(self) -> None:
        at_us = now_us()
        if at_us - self._due_us >= MIN_HELD_US:
            self._ledger.add(Held(at_us, self._due_us))
        self._schedule()

    def close(self) -> None:
        """Stop the heartbeat."""
        self._timer.cancel()
