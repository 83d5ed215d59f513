"""Stand-in nodes: each an address on 127.0.0.0/8 with a machine behind it, and the faults it can have."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sidecar_proxy.testbed.capacity import Capacity, Machine
from sidecar_proxy.testbed.history import Fell, Ledger, Ran, Received, Started, now_us
from sidecar_proxy.testbed.http1 import Request, ServerPeer

MOST_NODES = 60_000
SCRIPTED = ("error", "declined", "reset", "half", "lost")
DECLINED = b"Srv-Declined: 1\r\n"
FALLEN_S = 6.0  # a node that fell is started anew after this


def address_of(number: int) -> str:
    """An address of its own for each node, beside the usual 127.0.0.1."""
    return f"127.{1 + number // 62_500}.{number // 250 % 250}.{1 + number % 250}"


@dataclass(slots=True)
class Trouble:
    """What is wrong with a node now; all at rest by default."""

    silent: bool = False  # takes everything and says nothing, as a machine that has vanished
    errors: float = 0.0  # share answered 500 at once
    lost: float = 0.0  # share whose answer never comes
    reset: float = 0.0  # share whose connection breaks after the answer's headers
    half: float = 0.0  # share whose answer ends in the middle of its body
    slow: float = 1.0  # times as long
    scripted: Callable[[str], str] | None = None  # by a request's name: one of SCRIPTED, or "" for none


class Asker(Protocol):
    """Whom a node answers: a connection of HTTP/1.1, or one call of gRPC's."""

    def answer(self, status: bytes, body: bytes = b"", head: bytes = b"") -> None: ...

    def cut(self, body: bytes) -> None:
        """The answer's headers and this part of its body, and no more."""


class Aborted(Protocol):
    def abort(self) -> None: ...


class NodePeer(ServerPeer):
    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node = node
        self.fresh = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.node.accepted += 1
        self.node.peers.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.node.peers.discard(self)

    def data_received(self, data: bytes) -> None:
        if self.fresh:
            self.fresh = False
            if data.startswith(b"PRI ") and self.node.other is not None:
                self.node.other(self, data)
                return
        super().data_received(data)

    def on_request(self, request: Request) -> None:
        self.node.receive(self, request)

    def cut(self, body: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body) + 9, body))
            self.transport.close()


class Node:
    """One node: its listener, its machine, its entry in the roster."""

    def __init__(
        self,
        number: int,
        ledger: Ledger,
        machine: Machine,
        seed: int,
        site: str,
        cell: int,
        keep_records: bool = True,
    ) -> None:
        self.number = number
        self.name = f"node-{number}"
        self.ledger = ledger
        self.machine = machine
        self.seed = seed
        self.site = site
        self.cell = cell
        self.keep_records = keep_records
        self.dice = random.Random(seed)
        self.trouble = Trouble()
        self.other: Callable[[NodePeer, bytes], None] | None = None  # takes connections that speak HTTP/2
        self.health = "in_service"
        self.peers: set[Aborted] = set()
        self.accepted = self.received = self.served = self.asked_health = 0
        self.port = 0
        self.born_ms = 0
        self.incarnation = 0
        self.jobs = 0
        self.open: dict[str, tuple[Asker, Request, int]] = {}  # job: whose, what, in which incarnation
        self.server: asyncio.Server | None = None
        self.capacity = Capacity(machine, seed, now_us(), warm=True)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: NodePeer(self), address_of(self.number), self.port, backlog=64, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{address_of(self.number)}:{self.port}"

    def entry(self) -> dict[str, Any]:
        """Its entry in the roster."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.site,
            "class": "lab",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def stop(self) -> None:
        """The process dies: connections are reset, new ones refused, what it had is lost."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.peers):
            peer.abort()
        self.open.clear()
        self.incarnation += 1

    async def restart(self) -> None:
        """A new process under the same name, and cold."""
        self.stop()
        await self.start()
        self.born_ms = time.time_ns() // 1_000_000
        self.health = "in_service"
        at_us = now_us()
        self.capacity = Capacity(self.machine, self.seed + self.incarnation, at_us, warm=False)
        self.capacity.slow = self.trouble.slow
        self.record(
            Started(at_us, self.name, self.machine.cores, self.machine.cold_share, self.machine.warm_up_us)
        )

    def record(self, record: Received | Ran | Started | Fell) -> None:
        if self.keep_records:
            self.ledger.add(record)

    def receive(self, peer: Asker, request: Request) -> None:
        if request.target.startswith((b"/health", b"/status")):
            self.asked_health += 1
            peer.answer(b"200 OK")
            return
        ident = request.headers.get(b"req-id", b"").decode("latin-1")
        self.received += 1
        work_us = self.capacity.draw_work()
        self.jobs += 1
        job = f"{ident} {self.jobs}"
        fate = self.trouble.scripted(ident) if self.trouble.scripted is not None else ""
        failing = self.dice.random() < self.trouble.errors or fate == "error"
        was_up = not self.capacity.fallen
        taken = (
            self.trouble.silent
            or failing
            or (fate != "declined" and self.capacity.offer(request.last_us, job, work_us))
        )
        self.record(
            Received(
                request.last_us, request.first_us, ident, self.name, self.cell, taken, work_us, self.site
            )
        )
        if self.capacity.fallen and was_up:
            self.record(Fell(request.last_us, self.name))
            self.stop()
            asyncio.get_running_loop().call_later(FALLEN_S, self.recover)
        elif failing:
            peer.answer(b"500 Internal Server Error")
        elif not taken:
            peer.answer(b"503 Service Unavailable", head=DECLINED)
        elif not self.trouble.silent:
            self.open[job] = peer, request, self.incarnation
            self.go_on()

    def recover(self) -> None:
        if self.server is None:
            self.restarting = asyncio.get_running_loop().create_task(self.restart())

    def go_on(self) -> None:
        loop = asyncio.get_running_loop()
        for job, time_us in self.capacity.begin(now_us()):
            if job in self.open:
                ident = job.partition(" ")[0]
                self.record(Ran(now_us(), ident, self.name))
                loop.call_later(time_us / 1e6, self.finish, job, self.capacity)

    def finish(self, job: str, capacity: Capacity) -> None:
        if not capacity.end(job) or capacity is not self.capacity or job not in self.open:
            return  # of a process that has died meanwhile
        peer, request, _ = self.open.pop(job)
        self.served += 1
        chance, trouble = self.dice.random(), self.trouble
        body = b"%s ran at %s" % (request.headers.get(b"req-id", b""), self.name.encode())
        fate = trouble.scripted(job.partition(" ")[0]) if trouble.scripted is not None else ""
        if trouble.silent or chance < trouble.lost or fate == "lost":
            pass
        elif chance < trouble.lost + trouble.reset or fate == "reset":
            peer.cut(b"")
        elif chance < trouble.lost + trouble.reset + trouble.half or fate == "half":
            peer.cut(body[: len(body) // 2])
        else:
            peer.answer(b"200 OK", body)
        self.go_on()

    def set_slow(self, times: float) -> None:
        self.trouble.slow = self.capacity.slow = times
