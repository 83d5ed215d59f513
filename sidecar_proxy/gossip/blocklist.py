"""A temporary blocklist of addresses that send forged packets. Times are passed in; it does no I/O."""

from __future__ import annotations

from collections import OrderedDict

from sidecar_proxy.gossip.effects import Address

MAX_FORGERIES = 20  # number of forged packets after which an address is blocked
BLOCK_US = 10_000_000  # time after the first forged packet at which the block ends and the count restarts
# maximum number of addresses with a count; the one whose last forgery is the oldest is evicted
MAX_ADDRESSES = 4096


class AddressBlocklist:
    """Counts forged packets by source address."""

    def __init__(self) -> None:
        self._forgeries: OrderedDict[Address, tuple[int, int]] = OrderedDict()  # count and time of the first

    def is_blocked(self, address: Address, now_us: int) -> bool:
        """Return whether datagrams from an address must be dropped without being read."""
        count, first_us = self._forgeries.get(address, (0, 0))
        return count >= MAX_FORGERIES and now_us - first_us < BLOCK_US

    def record_forgery(self, address: Address, now_us: int) -> None:
        """Count a forged packet from an address."""
        count, first_us = self._forgeries.pop(address, (0, now_us))
        if now_us - first_us < BLOCK_US:
            self._forgeries[address] = (count + 1, first_us)
        else:
            self._forgeries[address] = (1, now_us)
        while len(self._forgeries) > MAX_ADDRESSES:
            self._forgeries.popitem(last=False)

    def clear(self) -> None:
        """Remove all counts."""
        self._forgeries.clear()
