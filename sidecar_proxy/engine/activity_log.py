"""Logs why connections were closed, and requests rejected, failed or retried: one line a second at most.

The line has the number of each reason since the last line, an example of a Req-Id for each, and what the
process holds. Nothing is logged while only ordinary closes happen.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from enum import Enum

log = logging.getLogger("sidecar_proxy")

REPORT_INTERVAL_S = 1.0
MAX_REASONS = 32  # told apart in one line; further ones are counted together
MAX_LOGGED_ID_BYTES = 32
OTHER_REASON = "other"


class CloseReason(Enum):
    """Why a connection was closed by this side."""

    IDLE = "idle"
    NO_REQUEST = "no request in time"
    CLIENT_GONE = "client gone"
    READ_STALL = "client does not read"
    REPLACED = "place needed"
    SHUTDOWN = "shutdown"
    FAULT = "fault"
    UPSTREAM_IDLE = "upstream idle"
    UPSTREAM_REPLACED = "upstream place needed"
    UPSTREAM_FAULT = "upstream fault"


# Ordinary closes are counted, but are no reason for a line.
ORDINARY_REASONS = (CloseReason.IDLE, CloseReason.UPSTREAM_IDLE)


class ActivityLog:
    """Counts events by reason, and logs them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.describe_load: Callable[[], str] = str  # returns what the process holds
        self.counts: Counter[str] = Counter()
        self.request_ids: dict[str, bytes] = {}  # the last one, by reason
        self.timer: asyncio.TimerHandle | None = None

    def closed(self, reason: CloseReason) -> None:
        """Count a connection that is closed."""
        self.count(f"closed ({reason.value})", b"", reason not in ORDINARY_REASONS)

    def rejected(self, status: int, reason: str, request_id: bytes = b"") -> None:
        """Count a request that is answered here with an error, and was not forwarded."""
        self.count(f"rejected {status} ({reason})", request_id)

    def failed(self, status: int, request_id: bytes) -> None:
        """Count a request that is answered here with an error, and may have been forwarded."""
        self.count(f"failed {status}", request_id)

    def retried(self, reason: str, request_id: bytes) -> None:
        """Count a further attempt of a request; the reason is how the one before it ended."""
        self.count(f"retried ({reason})", request_id)

    def count(self, event: str, request_id: bytes, is_reported: bool = True) -> None:
        """Count an event, and have it reported."""
        if event not in self.counts and len(self.counts) >= MAX_REASONS:
            event = OTHER_REASON
        self.counts[event] += 1
        if request_id:
            self.request_ids[event] = request_id
        if is_reported and self.timer is None:
            self.timer = self.loop.call_later(REPORT_INTERVAL_S, self.report)

    def report(self) -> None:
        """Log what was counted."""
        self.timer = None
        if self.counts:
            events = ", ".join(self.describe(event, number) for event, number in self.counts.items())
            log.info("%s; %s", events, self.describe_load())
        self.counts.clear()
        self.request_ids.clear()

    def describe(self, event: str, number: int) -> str:
        """Return the text for one reason."""
        request_id = self.request_ids.get(event)
        if request_id is None:
            return f"{number} {event}"
        shown_id = request_id[:MAX_LOGGED_ID_BYTES].decode("ascii", "backslashreplace")
        return f"{number} {event}, the last one {shown_id}"

    def close(self) -> None:
        """Log what is left, and stop."""
        if self.timer is not None:
            self.timer.cancel()
            self.report()
