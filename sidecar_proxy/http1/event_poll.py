"""Asks the kernel about events on a connection that the event loop has not reported yet."""

from __future__ import annotations

import asyncio
import select


class EventPoll:
    """Asks whether events have occurred on one descriptor."""

    __slots__ = ("poll",)

    def __init__(self, descriptor: int, events: int) -> None:
        self.poll = select.poll()
        self.poll.register(descriptor, events)

    def has_occurred(self, if_unknown: bool) -> bool:
        """Return whether one of the events has occurred; `if_unknown` where the kernel does not tell."""
        try:
            return bool(self.poll.poll(0))
        except OSError:
            return if_unknown


def make_hangup_poll(transport: asyncio.BaseTransport) -> EventPoll:
    """Return a poll that tells whether the remote end has closed or reset the connection.

    It tells that even if there is unread input before the close.
    """
    return EventPoll(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def make_input_poll(transport: asyncio.BaseTransport) -> EventPoll:
    """Return a poll that tells whether there is unread input."""
    return EventPoll(transport.get_extra_info("socket").fileno(), select.POLLIN)
