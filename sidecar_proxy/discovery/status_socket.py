"""Serves, on a local socket, what each discovery source says of each upstream, since when, and the outcome.

A connection gets JSON objects, one a line: first `{"sources": …}`, then one for each upstream, then
`{"end": COUNT}`. Nothing is read from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from typing import Any

from sidecar_proxy.discovery.endpoint_list import SLICE
from sidecar_proxy.discovery.feed import Feed

STATUS_TIMEOUT_S = 10.0
MOST_READERS = 4


Tell = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Window:
    """The socket, which only its owner may open."""

    def __init__(self, feed: Feed, path: str) -> None:
        self.feed = feed
        self.path = path
        self.readers = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Raises OSError: among others where another process listens there."""
        self.server = await serve_unix_socket(self.path, self.tell)

    async def tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.readers >= MOST_READERS:
            writer.transport.abort()
            return
        self.readers += 1
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                await self.write(writer)
            writer.close()
        except (OSError, TimeoutError):
            writer.transport.abort()  # it has gone, or does not read
        finally:
            self.readers -= 1

    async def write(self, writer: asyncio.StreamWriter) -> None:
        """Hazard: ten thousand nodes in one go would hold the loop for a tenth of a second."""
        line(
            writer,
            {
                "sources": {
                    name: {"epoch": source.epoch, "revision": source.revision}
                    for name, source in self.feed.merge.sources.items()
                }
            },
        )
        names = sorted({name for source in self.feed.merge.sources.values() for name in source.words})
        for at in range(0, len(names), SLICE):
            for name in names[at : at + SLICE]:
                line(writer, self.node(name))
            await writer.drain()
            await asyncio.sleep(0)
        line(writer, {"end": len(names)})
        await writer.drain()

    def node(self, name: str) -> dict[str, Any]:
        member = self.feed.merge.member(name)
        number = self.feed.directory.numbers.get(name)
        host = self.feed.listed_upstreams().get(number) if number is not None else None
        return {
            "name": name,
            "state": "gone" if member is None else member.entry.state.value,
            "because": "" if member is None else member.why,
            "dial": "" if member is None else member.entry.dial,
            "decisions": "gone" if host is None else host.entry.state.value,  # suspended by hand, it drains
            "words": {
                source.name: {
                    "state": word.state.value,
                    "revision": word.revision,
                    "held": word.held,
                    "born_ms": word.entry.born_ms,
                    "since": self.feed.since.get((source.name, name), 0.0),
                }
                for source in self.feed.merge.sources.values()
                if (word := source.words.get(name)) is not None
            },
        }

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                os.unlink(self.path)


def line(writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
    writer.write(json.dumps(told).encode() + b"\n")


async def serve_unix_socket(path: str, tell: Tell) -> asyncio.Server:
    """On a socket that only its owner may open. Raises OSError: among others where another process listens
    there."""
    clear(path)
    mask = os.umask(0o177)  # hazard: set after the bind, the mode would leave a moment for others
    try:
        return await asyncio.start_unix_server(tell, path)
    finally:
        os.umask(mask)


def clear(path: str) -> None:
    """A socket that a killed process left is taken away; anything else stays, and the bind fails."""
    with contextlib.suppress(FileNotFoundError):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX) as one:
            one.settimeout(1.0)
            try:
                one.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)
