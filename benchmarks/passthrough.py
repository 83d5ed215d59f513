"""A bare pass-through on the libraries of the sidecar: what the two parsers, the loop and the copying cost.

    python -m benchmarks.passthrough CONFIG

It reads whole messages, sends each request to the next address in turn on a kept connection and writes the
answer back. It has no deadlines, retries, limits, checks or choice: a floor to measure against, no proxy.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import httptools
import uvloop

Address = tuple[str, int]


class Front(asyncio.Protocol):
    def __init__(self, through: Through) -> None:
        self.through = through

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url = b""
        self.head: list[bytes] = []
        self.body = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.through.forward(
            self,
            b"%s %s HTTP/1.1\r\n%s\r\n%s"
            % (self.parser.get_method(), self.url, b"".join(self.head), self.body),
        )


class Back(asyncio.Protocol):
    def __init__(self, through: Through, address: Address) -> None:
        self.through = through
        self.address = address
        self.front: Front | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def ask(self, front: Front, data: bytes) -> None:
        self.front = front
        self.parser = httptools.HttpResponseParser(self)
        self.head: list[bytes] = []
        self.body = b""
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        front, self.front = self.front, None
        self.through.idle[self.address].append(self)
        if front is not None:
            front.transport.write(
                b"HTTP/1.1 %d OK\r\n%s\r\n%s"
                % (self.parser.get_status_code(), b"".join(self.head), self.body)
            )


class Through:
    def __init__(self, addresses: list[Address]) -> None:
        self.addresses = addresses
        self.turn = 0
        self.idle: dict[Address, list[Back]] = defaultdict(list)
        self.tasks: set[asyncio.Task[None]] = set()

    def forward(self, front: Front, data: bytes) -> None:
        self.turn = (self.turn + 1) % len(self.addresses)
        address = self.addresses[self.turn]
        if self.idle[address]:
            self.idle[address].pop().ask(front, data)
            return
        task = asyncio.get_running_loop().create_task(self.dial(address, front, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, address: Address, front: Front, data: bytes) -> None:
        _, back = await asyncio.get_running_loop().create_connection(lambda: Back(self, address), *address)
        back.ask(front, data)


async def serve(path: str) -> None:
    told = json.loads(Path(path).read_text())
    addresses = []
    for entry in told["known"]["hosts"]:
        host, _, port = entry["dial"].partition(":")
        addresses.append((host, int(port)))
    through = Through(addresses)
    server = await asyncio.get_running_loop().create_server(lambda: Front(through), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    print(f"passthrough listens on 127.0.0.1:{port}", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
