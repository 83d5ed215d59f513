"""Calls functions on signals, from the event loop.

The event loop's own signal handling reads a byte for each signal. With signals that come without a pause it
does nothing else, and its memory grows.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from sidecar_proxy.engine.signal_inbox import SignalInbox

POLL_INTERVAL_S = 0.05


class SignalPoller:
    """Calls the function of a signal within POLL_INTERVAL_S. Signals without a function are dropped."""

    def __init__(self, loop: asyncio.AbstractEventLoop, inbox: SignalInbox) -> None:
        self.loop = loop
        self.inbox = inbox
        self.callbacks: dict[int, Callable[[], None]] = {}
        signal.set_wakeup_fd(-1)  # no byte for each signal
        self.timer = loop.call_soon(self.poll)

    def handle(self, number: signal.Signals, callback: Callable[[], None]) -> None:
        """Call a function whenever the signal has come."""
        self.callbacks[number] = callback

    def poll(self) -> None:
        """Take the signals that have come, each number once."""
        self.timer = self.loop.call_later(POLL_INTERVAL_S, self.poll)
        for number in self.inbox.take():
            callback = self.callbacks.get(number)
            if callback is not None:
                self.loop.call_soon(callback)  # by itself: a fault in it must not cost another signal

    def close(self) -> None:
        """Stop polling."""
        self.timer.cancel()
