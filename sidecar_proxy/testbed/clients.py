"""Stand-in clients: an open stream of requests by class, with deadlines, and retries as clients make them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from sidecar_proxy.testbed.history import Answered, Asked, Ledger, Quit, now_us
from sidecar_proxy.testbed.http1 import ClientPeer, Reply

GRACE_S = 0.5  # a client goes on reading so long after its due time, so that late answers are seen as such
MOST_OPEN = 400  # connections of one crowd
REFUSED = (429, 503)


@dataclass(slots=True, frozen=True)
class Load:
    """The requests of one class."""

    kind: str
    effect: str
    share: float
    deadline_s: float
    body: int = 64  # bytes, where it has a body
    priority_weight: float = 1.0  # of one that is served within its aim
    group: str = "cell"  # deduplicated: who drops its repeats, all, zone or cell ...
    memory_s: float = 8.0  # ... and how long


@dataclass(slots=True, frozen=True)
class Manners:
    """How clients behave."""

    tries: int = 3
    honours: float = 0.9  # share that comes back when it was told to, and no sooner
    backoff_s: float = 0.05  # of the others; doubled with each try
    quits: float = 0.0  # share that leaves before its time


class Crowd:
    """The clients of one sidecar."""

    tag = ""  # of its requests' names

    def __init__(
        self,
        ledger: Ledger,
        sidecar: str,
        address: tuple[str, int],
        loads: list[Load],
        manners: Manners,
        seed: int,
    ) -> None:
        self.ledger = ledger
        self.sidecar = sidecar
        self.address = address
        self.loads = loads
        self.manners = manners
        self.dice = random.Random(seed)
        # its own, so that what is asked and when does not depend on how answers fall
        self.arrivals = random.Random(seed * 2 + 1)
        self.idle: list[ClientPeer] = []
        self.open = 0
        self.out = 0
        self.asked = 0
        self.refused_connects = 0
        self.operations = 0
        self.rate = 0.0  # requests a second, as the scene has it
        self.tasks: set[asyncio.Task[None]] = set()

    def move(self, address: tuple[str, int]) -> None:
        """The sidecar has been started anew and listens elsewhere."""
        if address != self.address:
            self.address = address
            while self.idle:
                self.idle.pop().abort()

    async def play(self, rate: float, seconds: float, most: int = 1_000_000) -> None:
        """So many requests a second, at random times, for so long and at most so many."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        at = 0.0
        weights = [load.share for load in self.loads]
        for _ in range(most):
            at += self.arrivals.expovariate(rate)
            if at >= seconds:
                break
            wait = begin + at - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.start(self.arrivals.choices(self.loads, weights)[0])

    def start(self, load: Load) -> None:
        self.operations += 1
        task = asyncio.get_running_loop().create_task(self.operation(load, self.operations))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Wait for what is out; retries among them."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def operation(self, load: Load, number: int) -> None:
        """One thing that a reader wants, with the client's retries."""
        name = f"{self.sidecar}-{self.tag}{number}"
        honours = self.dice.random() < self.manners.honours
        for tries in range(1, self.manners.tries + 1):
            reply = await self.request(load, name, tries)
            if reply is None or reply.status == 200:
                return
            if reply.status not in REFUSED and load.effect != "idempotent":
                return
            wait_s = self.manners.backoff_s * 2 ** (tries - 1) * (0.5 + self.dice.random())
            told = reply.headers.get(b"retry-after")
            if told is not None and honours:
                wait_s = float(told) + 0.01 * self.dice.random()
            await asyncio.sleep(wait_s)

    async def connect(self) -> ClientPeer | None:
        while self.idle:
            peer = self.idle.pop()
            if peer.open and peer.transport is not None and not peer.transport.is_closing():
                return peer
            peer.abort()
        return await self.dial()

    async def dial(self) -> ClientPeer | None:
        try:
            _, peer = await asyncio.get_running_loop().create_connection(ClientPeer, *self.address)
        except OSError:
            self.refused_connects += 1
            return None
        return peer

    def head(self, load: Load, request: str, operation: str, deadline_s: float, tries: int) -> bytes:
        method = "GET" if load.effect == "idempotent" else "POST"
        lines = [
            f"{method} /{load.kind}/{operation} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {request}",
            f"Req-Deadline: {deadline_s:.3f}",
        ]
        if load.effect == "deduplicated":
            lines.append(f"Idempotency-Key: key-{operation}")
        if tries > 1:
            lines.append("Req-Retry: 1")
        body = b""
        if method == "POST":
            body = b"x" * load.body
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def request(self, load: Load, operation: str, tries: int) -> Reply | None:
        """One request under one Req-Id; None if there is nothing to try again for."""
        request = f"{operation}.{tries}"
        reused = bool(self.idle)
        peer = await self.connect()
        if peer is None:
            return None
        data = self.head(load, request, operation, load.deadline_s, tries)
        at_us = now_us()
        self.ledger.add(
            Asked(
                at_us, request, operation, load.kind, self.sidecar, at_us + int(load.deadline_s * 1e6), tries
            )
        )
        self.asked += 1
        self.out += 1
        try:
            return await self.answer(peer, data, request, load, reused)
        finally:
            self.out -= 1

    def patience(self, load: Load) -> tuple[bool, float]:
        """Whether a client leaves before its time, and how long it waits."""
        quits = self.dice.random() < self.manners.quits
        return quits, load.deadline_s * self.dice.random() if quits else load.deadline_s + GRACE_S

    async def answer(
        self, peer: ClientPeer, data: bytes, request: str, load: Load, reused: bool
    ) -> Reply | None:
        quits, patience_s = self.patience(load)
        waiting = peer.ask(data)
        done, _ = await asyncio.wait([waiting], timeout=patience_s)
        if not done:
            if quits:
                self.ledger.add(Quit(now_us(), request))
            peer.abort()
            return None
        reply = waiting.result()
        if reply is None and reused and not peer.any:
            # it was closed between requests, and this one crossed the end: sent once more on a new one
            fresh = await self.dial()
            if fresh is not None:
                return await self.answer(fresh, data, request, load, reused=False)
        if reply is None:
            self.ledger.add(Answered(now_us(), request, 0))
            return None
        after = reply.headers.get(b"retry-after", b"0")
        self.ledger.add(Answered(now_us(), request, reply.status, int(float(after) * 1e6)))
        if peer.open and len(self.idle) < MOST_OPEN:
            self.idle.append(peer)
        else:
            peer.abort()
        return reply

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for peer in self.idle:
            peer.abort()
