"""Links between sidecars: all that they say to one another goes through relays of the lab's, so that each way
between two of them can be broken by itself. docs/design/testbed.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.testbed import loopback

Address = tuple[str, int]
PIECE = 16 * 1024
REORDER_S = 0.15  # a packet that is overtaken comes so much later, at most
AGAIN_S = 0.2  # a lost piece of a stream is sent once more after this
MOST_WAITING = 256 * 1024  # bytes on a narrow way; what is more is lost, as a router does it
POLL_S = 0.02
HOSTS_PER_SUBNET = 250


@dataclass(slots=True)
class Way:
    """What is wrong with one way between two sidecars; nothing by default."""

    cut: int = 0  # marks: nothing passes while there are any; a stream stalls and goes on after
    dead: int = 0  # marks: streams are taken, and nothing is ever said on them
    delay_s: float = 0.0
    bytes_s: float = 0.0  # 0 = any number
    lost: float = 0.0  # share of the packets
    doubled: float = 0.0
    reordered: float = 0.0
    chop: int = 0  # bytes after which a stream breaks; 0 = never
    free_s: float = 0.0  # when a narrow way has sent what waits on it


def host_of(kind: int, number: int) -> str:
    """Return a loopback host of its own: kind 0 is where a sidecar really listens, 1 its relay."""
    return loopback.own_host(2 * (number // HOSTS_PER_SUBNET) + kind, number % HOSTS_PER_SUBNET)


def free_address(number: int) -> Address:
    """Return an address at which a sidecar is to listen; no other process uses its host."""
    return loopback.free_address(host_of(0, number))


class Links:
    """The relays of a fleet and what is wrong with the ways between."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.ways: dict[tuple[int, int], Way] = {}
        self.relays: dict[int, Relay] = {}
        self.numbers: dict[str, int] = {}  # by the host where a sidecar really listens
        self.counts: Counter[str] = Counter()

    async def join(self, number: int, real: Address) -> Address:
        """A relay in front of this sidecar; where the others reach it."""
        relay = self.relays[number] = Relay(self, number, real)
        self.numbers[real[0]] = number
        return await relay.open()

    def way(self, source: int, target: int) -> Way:
        return self.ways.setdefault((source, target), Way())

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()


class Relay(asyncio.DatagramProtocol):
    """In front of one sidecar, by UDP and TCP on one address."""

    def __init__(self, links: Links, number: int, real: Address) -> None:
        self.links = links
        self.number = number
        self.real = real
        self.host = host_of(1, number)
        self.udp: asyncio.DatagramTransport | None = None
        self.tcp: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> Address:
        loop = asyncio.get_running_loop()
        self.tcp = await asyncio.start_server(self.serve, self.host, 0)
        port = int(self.tcp.sockets[0].getsockname()[1])
        self.udp, _ = await loop.create_datagram_endpoint(lambda: self, (self.host, port))
        return self.host, port

    # Packets

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        links, loop = self.links, asyncio.get_running_loop()
        source = links.numbers.get(address[0])
        if source is None:
            links.counts["from nobody known"] += 1
            return
        way = links.way(source, self.number)
        if way.cut or links.dice.random() < way.lost:
            links.counts["packets lost"] += 1
            return
        for _ in range(2 if links.dice.random() < way.doubled else 1):
            wait_s = way.delay_s
            if links.dice.random() < way.reordered:
                wait_s += REORDER_S * links.dice.random()
            if way.bytes_s:
                way.free_s = max(way.free_s, loop.time()) + len(data) / way.bytes_s
                wait_s += way.free_s - loop.time()
                if wait_s * way.bytes_s > MOST_WAITING:
                    links.counts["packets lost"] += 1
                    continue
            if wait_s > 0:
                loop.call_later(wait_s, self.forward, source, data)
            else:
                self.forward(source, data)

    def forward(self, source: int, data: bytes) -> None:
        """From the sender's own relay, so that an answer comes back to that."""
        sender = self.links.relays[source].udp
        if sender is not None and not sender.is_closing():
            self.links.counts["packets"] += 1
            with contextlib.suppress(OSError, ValueError):
                sender.sendto(data, self.real)

    def error_received(self, error: Exception) -> None:
        """The sidecar is not there just now."""

    # Streams

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        links = self.links
        source = links.numbers.get(writer.get_extra_info("peername")[0])
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        there = None
        try:
            if source is None:
                links.counts["from nobody known"] += 1
                return
            way, back = links.way(source, self.number), links.way(self.number, source)
            while way.cut or back.cut or way.dead or back.dead:
                if reader.at_eof():
                    return
                await asyncio.sleep(POLL_S)
            here = links.relays[source].host, 0
            reader_there, there = await asyncio.open_connection(*self.real, local_addr=here)
            links.counts["streams"] += 1
            await asyncio.gather(self.pump(reader, there, way), self.pump(reader_there, writer, back))
        except (OSError, Broken, asyncio.CancelledError):
            pass  # one side has ended it, the way broke, or the play is over: the other side learns it below
        finally:
            for one in (writer, there):
                if one is not None:
                    one.transport.abort()

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        """One way of a stream. Raises Broken where the way breaks it."""
        passed = 0
        while data := await reader.read(PIECE):
            while way.cut or way.dead:
                await asyncio.sleep(POLL_S)
            wait_s = way.delay_s + (len(data) / way.bytes_s if way.bytes_s else 0.0)
            while self.links.dice.random() < way.lost:
                wait_s += AGAIN_S
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if way.chop and passed + len(data) > way.chop:
                writer.write(data[: max(0, way.chop - passed)])
                await writer.drain()
                self.links.counts["streams chopped"] += 1
                raise Broken
            passed += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.udp is not None:
            self.udp.close()
        if self.tcp is not None:
            self.tcp.close()


class Broken(Exception):
    """A stream was cut off in the middle."""
