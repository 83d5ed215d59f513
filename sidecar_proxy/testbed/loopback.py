"""Loopback addresses that no other process of the testbed uses, for sidecars that need a port in advance.

Such a port can't be held until the sidecar binds it. Each process therefore has a block of loopback hosts of
its own, reserved by a bound socket for as long as the process lives, and never gives a port twice.
"""

from __future__ import annotations

import functools
import itertools
import os
import socket

Address = tuple[str, int]
FIRST_BLOCK = 64  # blocks are 127.64.0.0/16 to 127.223.0.0/16
BLOCKS = 160
RESERVATION_HOST = "255.254"  # host of a block that only reserves it
RESERVATION_PORT = 20001

_reservations: list[socket.socket] = []
_given: set[Address] = set()


class NoFreeBlockError(OSError):
    """All blocks of loopback hosts are reserved by other processes."""


def reserve_block(first: int) -> int:
    """Reserve a block of loopback hosts, from the `first` one on, and return its number."""
    for block in itertools.islice(itertools.cycle(range(BLOCKS)), first, first + BLOCKS):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{FIRST_BLOCK + block}.{RESERVATION_HOST}", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return block
    raise NoFreeBlockError(f"all {BLOCKS} blocks of loopback hosts are reserved")


@functools.cache
def _own_block() -> int:
    return reserve_block(os.getpid() % BLOCKS)


def own_host(subnet: int, number: int) -> str:
    """Return a loopback host of this process, for a subnet up to 254 and a number up to 253."""
    return f"127.{FIRST_BLOCK + _own_block()}.{subnet}.{1 + number}"


def free_address(host: str) -> Address:
    """Return a free port on a host of this process, which was not returned before."""
    while True:
        with socket.create_server((host, 0)) as server:
            address: Address = (host, int(server.getsockname()[1]))
        if address not in _given:
            _given.add(address)
            return address
