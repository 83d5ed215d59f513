"""A stand-in for an upstream: two cores, a waiting room, answers that name the request they were made for."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections.abc import Callable
from typing import Any

from standins.http import Message, read_message
from standins.record import Record
from standins.settings import BUY, SITES, TOPUP

CORES = 2
MAX_QUEUE = 40
# Within the site's ranges: 15 upstreams take about 410 requests a second.
MEAN_WORK_S = {BUY: 0.062, TOPUP: 0.128}
WORK_DEVIATION = 1.0  # coefficient of variation
FAST_SHARE = 0.29
FAST_SPEED, SLOW_SPEED = 1.8, 0.9
DECLINED = b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"


class Upstream:
    """One upstream process with a listener of its own.

    `one_way_s` returns the time that the network takes in one direction.
    """

    def __init__(
        self, record: Record, number: int, dice: random.Random, one_way_s: Callable[[], float]
    ) -> None:
        self.record = record
        self.name = f"s-{number:04x}"
        self.site = SITES[number % len(SITES)]
        self.block = number // 5
        self.is_fast = int(number * FAST_SHARE) != int((number + 1) * FAST_SHARE)
        self.dice = dice
        self.one_way_s = one_way_s
        self.health = "in_service"
        self.running = 0
        self.queue: list[asyncio.Future[None]] = []
        self.sends_s: list[float] = []  # times at which a request came whole
        self.ran: list[str] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("", 0)

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": "{}:{}".format(*self.address),
            "site": self.site,
            "class": "fast-2" if self.is_fast else "slow-2",
            "block": self.block,
            "health": self.health,
            "share": FAST_SPEED if self.is_fast else SLOW_SPEED,
            "born_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one at a time."""
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(self.one_way_s())
                answer = await self.run(request)
                await asyncio.sleep(self.one_way_s())
                writer.write(answer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def run(self, request: Message) -> bytes:
        """Run one request and return its answer."""
        if request.start[1] in ("/health", "/status/load"):
            report = {"inflight": self.running + len(self.queue), "queue": len(self.queue), "latency_ms": 40}
            body = json.dumps(report).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        ident = request.headers.get("req-id", "")
        self.sends_s.append(self.record.write(self.name, f"received {ident}"))
        if self.health != "in_service" or len(self.queue) >= MAX_QUEUE:
            self.record.write(self.name, f"declined {ident}")
            return DECLINED
        await self.work(request.start[1].split("/")[1])
        self.ran.append(ident)
        self.record.write(self.name, f"ran {ident}")
        body = ident.encode() + b" ran at " + self.name.encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def work(self, request_class: str) -> None:
        """Wait for a core, and use it for the work of one request."""
        if self.running >= CORES:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        self.running += 1
        variance = math.log(1 + WORK_DEVIATION**2)
        mean_s = MEAN_WORK_S[request_class] / (FAST_SPEED if self.is_fast else SLOW_SPEED)
        await asyncio.sleep(self.dice.lognormvariate(math.log(mean_s) - variance / 2, math.sqrt(variance)))
        self.running -= 1
        if self.queue:
            self.queue.pop(0).set_result(None)

    def stop(self) -> None:
        """End the process: its connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def cross_site_s(dice: random.Random) -> float:
    """Return a time that a message takes between two sites: 2.8 to 5.2 ms one way."""
    return dice.uniform(0.0028, 0.0052)
