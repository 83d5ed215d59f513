"""Addresses that send forgeries are blocked for a while. Pure."""

from __future__ import annotations

from collections import OrderedDict

from sidecar_proxy.gossip.effects import Address

MAX_FORGERIES = 20  # from one address, after which it is blocked
BLOCK_US = 10_000_000  # since the first of the forgeries
MAX_ADDRESSES = 4096


class AddressBlocklist:
    """Counts forgeries by source address."""

    def __init__(self) -> None:
        self._forgeries: OrderedDict[Address, tuple[int, int]] = OrderedDict()  # how many, since when

    def is_blocked(self, address: Address, now_us: int) -> bool:
        """Tell whether datagrams from an address are dropped unread."""
        count, since_us = self._forgeries.get(address, (0, 0))
        return count >= MAX_FORGERIES and now_us - since_us < BLOCK_US

    def record_forgery(self, address: Address, now_us: int) -> None:
        """Count a forgery from an address."""
        count, since_us = self._forgeries.pop(address, (0, now_us))
        if now_us - since_us < BLOCK_US:
            self._forgeries[address] = (count + 1, since_us)
        else:
            self._forgeries[address] = (1, now_us)
        while len(self._forgeries) > MAX_ADDRESSES:
            self._forgeries.popitem(last=False)

    def clear(self) -> None:
        """Forget all addresses."""
        self._forgeries.clear()
