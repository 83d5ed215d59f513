"""The memory budget of the process, which every holder of data draws on. No sockets, no clock.

What a holder may refuse or put off, it reserves first: connections, bodies, what is read from a socket. What
can't be refused any more, such as a request that was read, is charged without asking, and others wait for it.
See docs/capacity.md for the list of holders.
"""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass

from sidecar_proxy.engine.read_buffer import READ_BYTES, ReadBuffer

MIB = 1024 * 1024
DEFAULT_BUDGET_BYTES = 64 * MIB  # of an engine that is not part of a sidecar process
MIN_BUDGET_BYTES = 1 * MIB  # less does not hold a single large request
# Part of the memory beyond the process itself that is left to what is not charged: temporary objects, and
# freed memory that the allocator keeps.
UNCHARGED_SHARE = 0.48
# Connections of clients and to upstreams together may take this part of the budget.
CONNECTION_SHARE = 0.6
# Charges, which include what belongs to each object: its buffers of a fixed size, timers and table entries.
CLIENT_CONNECTION_BYTES = 3584
UPSTREAM_CONNECTION_BYTES = 5 * 1024
REQUEST_BYTES = 3 * 1024  # a request in flight, with its timers and attempts, without head and body
LISTED_UPSTREAM_BYTES = 2304  # an entry of the endpoint list, with its state in the balancer
# The endpoint list may take this part of what the process leaves, within these numbers of upstreams.
LIST_MEMORY_SHARE = 0.6
MIN_LISTED_UPSTREAMS = 256
MAX_LISTED_UPSTREAMS = 50_000
# What a connection may hold without a charge of its own; it is part of the charge for the connection.
FREE_BYTES = 1024
SMALL_READ_BYTES = 4 * 1024  # of a read with little memory left
LOW_MEMORY_SHARE = 0.5  # part of the budget from which on reads are small


def resident_bytes() -> int:
    """Return the memory that this process holds now; its peak, which is more, if that is unknown."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """The memory limit of the sidecar, and what a process of it takes before it serves."""

    limit_bytes: int
    idle_bytes: int

    def budget_bytes(self, process_count: int, list_bytes: int = 0) -> int:
        """Return the budget of each process while so many of them share the limit, each with its list."""
        room_bytes = self.limit_bytes - process_count * (self.idle_bytes + list_bytes)
        return max(MIN_BUDGET_BYTES, int(room_bytes * (1.0 - UNCHARGED_SHARE)) // process_count)


class MemoryBudget:
    """Counts the bytes that all holders of the process hold, against a limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.process: ProcessMemory | None = None  # None = the limit does not change
        self.process_count = 1
        self.read_buffer = ReadBuffer()  # of all connections
        self.list_bytes = 0  # of the endpoint list, which can't be refused: it takes from the limit

    def measure_process(self, limit_bytes: int, process_bytes: int) -> None:
        """Set the limit to what this process, which takes so much now, leaves of the sidecar's memory."""
        self.process = ProcessMemory(limit_bytes, max(0, process_bytes - self.used_bytes - self.list_bytes))
        self.update_limit()

    def share(self, process_count: int) -> None:
        """Set the limit for so many processes of this sidecar that run now."""
        self.process_count = process_count
        self.update_limit()

    def hold_list(self, upstream_count: int) -> None:
        """Take the memory of the endpoint list from the limit."""
        self.list_bytes = upstream_count * LISTED_UPSTREAM_BYTES
        self.update_limit()

    def max_listed_upstreams(self) -> int:
        """Return how many upstreams the endpoint list may hold."""
        if self.process is None:
            return MAX_LISTED_UPSTREAMS
        room_bytes = self.process.limit_bytes / self.process_count - self.process.idle_bytes
        count = int(room_bytes * LIST_MEMORY_SHARE) // LISTED_UPSTREAM_BYTES
        return min(MAX_LISTED_UPSTREAMS, max(MIN_LISTED_UPSTREAMS, count))

    def update_limit(self) -> None:
        """Compute the limit from what else the sidecar holds."""
        if self.process is not None:
            self.max_bytes = self.process.budget_bytes(self.process_count, self.list_bytes)

    def has_room(self, size: int = 0) -> bool:
        """Return whether so many further bytes fit."""
        return self.used_bytes + size <= self.max_bytes

    def is_low(self) -> bool:
        """Return whether so much is in use that holders should take less."""
        return self.used_bytes > self.max_bytes * LOW_MEMORY_SHARE

    def charge(self, size: int) -> None:
        """Count further bytes, or bytes that are freed if the number is negative."""
        self.used_bytes += size

    def max_connections(self) -> int:
        """Return how many client connections fit, with as many connections to upstreams."""
        pair_bytes = CLIENT_CONNECTION_BYTES + UPSTREAM_CONNECTION_BYTES
        return max(1, int(self.max_bytes * CONNECTION_SHARE) // pair_bytes)

    def read_bytes(self) -> int:
        """Return how many bytes to read from a socket at once."""
        return SMALL_READ_BYTES if self.is_low() else READ_BYTES


class MemoryAccount:
    """The part of the budget that one holder has in use."""

    __slots__ = ("budget", "charged_bytes", "free_bytes")

    def __init__(self, budget: MemoryBudget, free_bytes: int = FREE_BYTES) -> None:
        self.budget = budget
        self.free_bytes = free_bytes
        self.charged_bytes = 0

    def hold(self, size: int) -> None:
        """Set how many bytes the holder holds now."""
        charged_bytes = size - self.free_bytes if size > self.free_bytes else 0
        if charged_bytes != self.charged_bytes:
            self.budget.charge(charged_bytes - self.charged_bytes)
            self.charged_bytes = charged_bytes
