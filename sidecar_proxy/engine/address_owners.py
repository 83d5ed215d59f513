"""Which upstream a network address belongs to. No I/O.

An address passes to another process when its process has gone, and the endpoint list may tell of the new one
before it removes the old one. Work for the old one would reach the new one, in the wrong zone or cell, or
while it drains or is suspended by its own name. So of two upstreams that are listed at one address, the one
that started later is there, and the other one is gone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.interfaces import ListedUpstream


class AddressOwners:
    """The number of the upstream that started last, by address."""

    def __init__(self) -> None:
        self.numbers: dict[Address, int] = {}
        self.addresses: dict[int, Address] = {}  # the other way round

    def resolve(
        self, upstreams: list[ListedUpstream], known: Mapping[int, ListedUpstream], is_full_list: bool
    ) -> list[ListedUpstream]:
        """Return the entries with those as GONE whose address has another owner, and with further such ones.

        `known` are the entries that were listed before; with a complete list only its own entries count.
        """
        listed = {upstream.entry.id: upstream for upstream in upstreams}
        if is_full_list:
            self.numbers.clear()
            self.addresses.clear()
        replaced: dict[int, ListedUpstream] = {}
        for upstream in upstreams:
            number = upstream.entry.id
            if upstream.entry.state is api.UpstreamState.GONE:
                self.release(number)
                continue
            owner = self.find_owner(upstream.address, listed, known, is_full_list)
            if owner is None or owner.entry.id == number:
                self.assign(upstream.address, number)
            elif owner.listed_entry.started_us < upstream.listed_entry.started_us:
                self.assign(upstream.address, number)
                replaced[owner.entry.id] = owner
            elif owner.listed_entry.started_us > upstream.listed_entry.started_us:
                self.release(number)
                replaced[number] = upstream
        if not replaced:
            return upstreams
        return [
            mark_gone(upstream) if upstream.entry.id in replaced else upstream for upstream in upstreams
        ] + [mark_gone(upstream) for number, upstream in replaced.items() if number not in listed]

    def assign(self, address: Address, number: int) -> None:
        """Record the owner of an address, which is the only address of that owner."""
        self.release(number)
        previous = self.numbers.get(address)
        if previous is not None:
            del self.addresses[previous]
        self.numbers[address] = number
        self.addresses[number] = address

    def release(self, number: int) -> None:
        """Forget the address of an upstream that is gone or has moved."""
        address = self.addresses.pop(number, None)
        if address is not None:
            del self.numbers[address]

    def find_owner(
        self,
        address: Address,
        listed: Mapping[int, ListedUpstream],
        known: Mapping[int, ListedUpstream],
        is_full_list: bool,
    ) -> ListedUpstream | None:
        """Return the upstream that an address belongs to, if it is still listed there."""
        number = self.numbers.get(address)
        if number is None:
            return None
        owner = listed.get(number)
        if owner is None and not is_full_list:
            owner = known.get(number)
        if owner is None or owner.address != address or owner.entry.state is api.UpstreamState.GONE:
            return None
        return owner


def mark_gone(upstream: ListedUpstream) -> ListedUpstream:
    """Return an entry as GONE; what discovery has reported is kept."""
    gone = ListedUpstream(
        replace(upstream.entry, state=api.UpstreamState.GONE), upstream.address, upstream.grpc_address
    )
    gone.listed_entry = upstream.listed_entry
    return gone
