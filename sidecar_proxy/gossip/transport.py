"""The sockets of gossip: datagrams, and exchanges over TCP on the same address. It decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from sidecar_proxy.engine import wall_clock as wall
from sidecar_proxy.gossip.codec import MOST_STATE
from sidecar_proxy.gossip.instance import (
    Address,
    Datagram,
    FleetSize,
    GossipInstance,
    OutlierWeight,
    Output,
    StateExchange,
    SubsystemMessage,
)
from sidecar_proxy.gossip.keys import RejectedError

log = logging.getLogger("sidecar_proxy")

EXCHANGE_S = 2.0  # for one exchange, whatever its other side does
HEADER_BYTES = 4  # bytes: a length, or whom it is for
MOST_WAITING = 64  # connections that have said nothing yet
MOST_EXCHANGES = 4  # at a time; more are turned away
SLICE = 20  # statements that are verified in one go: a millisecond
COMPLAIN_S = 1.0  # between two log lines


class GossipTransport(asyncio.DatagramProtocol):
    """One instance on its sockets."""

    def __init__(
        self,
        instance: GossipInstance,
        now_us: Callable[[], int],
        told: Callable[[OutlierWeight | FleetSize | SubsystemMessage], None],
    ) -> None:
        self.instance = instance
        self.now_us = now_us
        self.told = told  # who takes what comes of it
        self.loop = asyncio.get_running_loop()
        self.udp: asyncio.DatagramTransport | None = None
        self.tcp: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due_us = 0  # when the timer fires; 0 = it is not set
        self.tasks: set[asyncio.Task[None]] = set()
        self.exchanges = 0
        self.waiting = 0
        self.next_complaint = 0.0
        self.refused = 0  # as last logged
        self.closed = False
        # others that are heard on the address, by a connection's first bytes
        self.doors: dict[bytes, Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]] = {}
        self.local: Address | None = None  # calls are made from there; None = the system's choice

    async def open(self, bind: Address) -> Address:
        """Listen by both. Raises OSError."""
        self.tcp = await asyncio.start_server(self.serve, *bind, limit=1 << 16)
        host, port = self.tcp.sockets[0].getsockname()[:2]
        self.local = None if ipaddress.ip_address(host).is_unspecified else (host, 0)
        try:
            self.udp, _ = await self.loop.create_datagram_endpoint(lambda: self, (host, port))
        except OSError:
            self.tcp.close()
            raise
        return host, port

    def start(self) -> None:
        self.arm()

    # Datagrams

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        self.perform(self.instance.receive(data, (address[0], address[1]), self.now_us(), wall_clock_us()))
        self.complain()

    def error_received(self, error: Exception) -> None:
        """A peer is not there: its silence says so."""

    # Exchanges

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.waiting >= MOST_WAITING:
            writer.transport.abort()
            return
        self.waiting += 1
        try:
            async with asyncio.timeout(EXCHANGE_S):
                head = await reader.readexactly(HEADER_BYTES)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            writer.transport.abort()
            return
        finally:
            self.waiting -= 1
        door = self.doors.get(head)
        if door is not None:
            await door(reader, writer)
        else:
            await self.exchange(reader, writer, head)

    async def call(self, address: Address) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_S):
                # from the address where we are heard: who is called may go by it
                reader, writer = await asyncio.open_connection(*address, local_addr=self.local)
        except (OSError, TimeoutError):
            return
        await self.exchange(reader, writer, b"")

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        """Each side says all that it knows. Who called speaks first, so that a stranger hears nothing.
        `head`: the first bytes of one who has called; empty: we have.
        """
        first = not head
        if self.exchanges >= MOST_EXCHANGES:
            writer.transport.abort()
            return
        self.exchanges += 1
        try:
            async with asyncio.timeout(EXCHANGE_S):
                if first:
                    await send(writer, self.instance.state(wall_clock_us()))
                data = await receive(reader, MOST_STATE, head)
                self.instance.counts["bytes in"] += len(data)
                told = self.instance.opened(data, self.now_us(), wall_clock_us())
                if not first:
                    await send(writer, self.instance.state(wall_clock_us()))
            writer.close()
            for at in range(0, len(told), SLICE):
                self.perform(self.instance.exchanged(told[at : at + SLICE], self.now_us(), wall_clock_us()))
                await asyncio.sleep(0)
        except RejectedError as error:
            self.instance.keyring.refused[str(error)] += 1
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
        finally:
            self.exchanges -= 1

    # What comes of it

    def perform(self, outputs: list[Output]) -> None:
        if self.closed:
            return
        for one in outputs:
            if isinstance(one, Datagram):
                if self.udp is not None:
                    with contextlib.suppress(OSError, ValueError):  # no way there
                        self.udp.sendto(one.data, one.address)
            elif isinstance(one, StateExchange):
                task = self.loop.create_task(self.call(one.address))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            else:
                self.told(one)
        self.arm()

    def arm(self) -> None:
        due_us = self.instance.due_us
        if self.closed or (self.due_us and self.due_us <= due_us):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.due_us = due_us
        self.timer = self.loop.call_later(max(0, due_us - self.now_us()) / 1e6 + 0.001, self.tick)

    def tick(self) -> None:
        self.due_us = 0
        self.perform(self.instance.tick(self.now_us(), wall_clock_us()))

    def complain(self) -> None:
        """One line a second at most, whatever comes."""
        refused = self.instance.keyring.refused
        total = refused.total()
        if total > self.refused and self.loop.time() >= self.next_complaint:
            self.next_complaint, self.refused = self.loop.time() + COMPLAIN_S, total
            log.warning(
                "gossip: refused so far: %s",
                ", ".join(f"{count} {why}" for why, count in refused.most_common(6)),
            )

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        if self.udp is not None:
            self.udp.close()
        if self.tcp is not None:
            self.tcp.close()


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(frame_message(data))
    await writer.drain()


def frame_message(data: bytes) -> bytes:
    """With its length before it."""
    return len(data).to_bytes(HEADER_BYTES, "big") + data


async def receive(reader: asyncio.StreamReader, most: int, head: bytes = b"") -> bytes:
    """`most`: bytes. `head`: what was read of it. Raises ValueError for more than is allowed."""
    size = int.from_bytes(head or await reader.readexactly(HEADER_BYTES), "big")
    if size > most:
        raise ValueError("too large")
    return await reader.readexactly(size)


def wall_clock_us() -> int:
    return wall.now_ns() // 1000
