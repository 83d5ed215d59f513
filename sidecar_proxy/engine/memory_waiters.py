"""Holders that have stopped reading until the memory budget has room again."""

from __future__ import annotations

import asyncio
from typing import Protocol

from sidecar_proxy.engine.memory_budget import MemoryBudget

RETRY_INTERVAL_S = 0.02


class MemoryWaiter(Protocol):
    """A holder that waits for memory."""

    def memory_available(self) -> None:
        """Read on, after which it may have to wait again."""


class MemoryWaiters:
    """Resumes waiting holders, first come first served.

    The first one is resumed even without room: if all memory is held by incomplete messages, at least one of
    them has to be completed so that memory is released.
    """

    def __init__(self, budget: MemoryBudget, loop: asyncio.AbstractEventLoop) -> None:
        self.budget = budget
        self.loop = loop
        self.waiting: dict[MemoryWaiter, None] = {}  # longest waiting first
        self.timer: asyncio.TimerHandle | None = None

    def add(self, waiter: MemoryWaiter) -> None:
        """Resume a holder once there is room."""
        self.waiting[waiter] = None
        self.start_timer()

    def start_timer(self) -> None:
        """Resume waiting holders after RETRY_INTERVAL_S."""
        if self.timer is None:
            self.timer = self.loop.call_later(RETRY_INTERVAL_S, self.resume)

    def remove(self, waiter: MemoryWaiter) -> None:
        """Forget a holder that no longer waits."""
        self.waiting.pop(waiter, None)

    def resume(self) -> None:
        """Resume the first holder, and the others as far as there is room."""
        self.timer = None
        is_first = True
        for waiter in list(self.waiting):
            if not is_first and not self.budget.has_room():
                break
            is_first = False
            if self.waiting.pop(waiter, True) is None:  # not removed meanwhile
                waiter.memory_available()
        if self.waiting:
            self.start_timer()

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
