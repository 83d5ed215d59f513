"""Serves, on a local socket, what each discovery source reports about each endpoint, and the merged state.

A connection gets JSON objects, one a line: first `{"sources": …}`, then one for each endpoint, then
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

from sidecar_proxy.discovery.endpoint_list import SLICE_ENTRIES
from sidecar_proxy.discovery.feed import MembershipFeed

STATUS_TIMEOUT_S = 10.0
MAX_READERS = 4  # maximum number of connections that are served at once


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StatusServer:
    """The status socket, which only its owner may open."""

    def __init__(self, feed: MembershipFeed, path: str) -> None:
        self.feed = feed
        self.path = path
        self.reader_count = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen. Raises OSError, for example if another process listens on the path."""
        self.server = await serve_unix_socket(self.path, self.handle_connection)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write the status to a reader; close its connection if there are MAX_READERS others."""
        if self.reader_count >= MAX_READERS:
            writer.transport.abort()
            return
        self.reader_count += 1
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                await self.write_status(writer)
            writer.close()
        except (OSError, TimeoutError):
            writer.transport.abort()  # the reader has closed the connection or doesn't read
        finally:
            self.reader_count -= 1

    async def write_status(self, writer: asyncio.StreamWriter) -> None:
        """Write all lines in slices: 10,000 endpoints in one go would block the loop for 100 ms."""
        write_line(
            writer,
            {
                "sources": {
                    name: {"epoch": source.epoch, "revision": source.revision}
                    for name, source in self.feed.merge.sources.items()
                }
            },
        )
        names = sorted({name for source in self.feed.merge.sources.values() for name in source.records})
        for start in range(0, len(names), SLICE_ENTRIES):
            for name in names[start : start + SLICE_ENTRIES]:
                write_line(writer, self.describe_endpoint(name))
            await writer.drain()
            await asyncio.sleep(0)
        write_line(writer, {"end": len(names)})
        await writer.drain()

    def describe_endpoint(self, name: str) -> dict[str, Any]:
        """Return the line of one endpoint."""
        endpoint = self.feed.merge.endpoint(name)
        number = self.feed.directory.numbers.get(name)
        upstream = self.feed.listed_upstreams().get(number) if number is not None else None
        return {
            "name": name,
            "state": "gone" if endpoint is None else endpoint.entry.state.value,
            "because": "" if endpoint is None else endpoint.deciding_source,
            "dial": "" if endpoint is None else endpoint.entry.dial,
            # The balancer's state; it is "draining" if an operator's override suspends the endpoint.
            "decisions": "gone" if upstream is None else upstream.entry.state.value,
            "words": {
                source.name: {
                    "state": record.state.value,
                    "revision": record.revision,
                    "held": record.is_carried_over,
                    "born_ms": record.entry.born_ms,
                    "since": self.feed.changed_at_s.get((source.name, name), 0.0),
                }
                for source in self.feed.merge.sources.values()
                if (record := source.records.get(name)) is not None
            },
        }

    def close(self) -> None:
        """Stop listening and remove the socket file."""
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                os.unlink(self.path)


def write_line(writer: asyncio.StreamWriter, document: dict[str, Any]) -> None:
    """Write one JSON object as a line."""
    writer.write(json.dumps(document).encode() + b"\n")


async def serve_unix_socket(path: str, handler: ConnectionHandler) -> asyncio.Server:
    """Listen on a socket that only its owner may open.

    Raises OSError, for example if another process listens on the path.
    """
    remove_stale_socket(path)
    # With a mode set after the bind, other users could connect in between.
    mask = os.umask(0o177)
    try:
        return await asyncio.start_unix_server(handler, path)
    finally:
        os.umask(mask)


def remove_stale_socket(path: str) -> None:
    """Remove a socket that a killed process left; anything else stays, and the bind fails."""
    with contextlib.suppress(FileNotFoundError):
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX) as probe:
            probe.settimeout(1.0)
            try:
                probe.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)
