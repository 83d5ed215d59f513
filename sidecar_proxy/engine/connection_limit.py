"""The limit of the connections on one side of the process: by its descriptors and by its memory. No I/O."""

from __future__ import annotations

from sidecar_proxy.engine.memory_budget import MemoryBudget


class ConnectionLimit:
    """How many connections may be open now; `update` computes it anew."""

    def __init__(self, descriptor_limit: int, memory: MemoryBudget) -> None:
        self.descriptor_limit = descriptor_limit
        self.memory = memory
        self.is_halved = False  # while another process of this sidecar runs
        self.value = 0
        self.update()

    def update(self) -> None:
        """Follow the memory budget."""
        process_count = 2 if self.is_halved else 1
        descriptor_limit = max(1, self.descriptor_limit // process_count)
        self.value = min(descriptor_limit, self.memory.max_connections())

    def set_halved(self, is_halved: bool) -> None:
        """Halve the descriptors, or use all of them again."""
        self.is_halved = is_halved
        self.update()
