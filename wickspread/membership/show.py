"""What each source says of each node, since when, and what came of it: told on a local socket, and printed.

A connection gets JSON objects, one a line: first `{"sources": …}`, then one for each node, then
`{"end": COUNT}`. Nothing is read from it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import stat
import sys
from collections.abc import Awaitable, Callable, Iterator
from datetime import UTC, datetime
from typing import Any, TextIO

from wickspread.membership.feed import Feed
from wickspread.roster.listing import SLICE

TIMEOUT_S = 10.0  # for a reader that does not read on
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
        self.server = await listen(self.path, self.tell)

    async def tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.readers >= MOST_READERS:
            writer.transport.abort()
            return
        self.readers += 1
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.write(writer)
            writer.close()
        except (OSError, TimeoutError):
            writer.transport.abort()  # it has gone, or does not read
        finally:
            self.readers -= 1

    async def write(self, writer: asyncio.StreamWriter) -> None:
        """Hazard: ten thousand nodes in one go would hold the loop for a tenth of a second."""
        line(writer, {"sources": {name: {"epoch": source.epoch, "revision": source.revision}
                                  for name, source in self.feed.merge.sources.items()}})
        names = sorted({name for source in self.feed.merge.sources.values() for name in source.words})
        for at in range(0, len(names), SLICE):
            for name in names[at:at + SLICE]:
                line(writer, self.node(name))
            await writer.drain()
            await asyncio.sleep(0)
        line(writer, {"end": len(names)})
        await writer.drain()

    def node(self, name: str) -> dict[str, Any]:
        member = self.feed.merge.member(name)
        number = self.feed.directory.numbers.get(name)
        host = self.feed.known().get(number) if number is not None else None
        return {
            "name": name,
            "state": "gone" if member is None else member.entry.state.value,
            "because": "" if member is None else member.why,
            "dial": "" if member is None else member.entry.dial,
            "decisions": "gone" if host is None else host.entry.state.value,  # suspended by hand, it drains
            "words": {source.name: {"state": word.state.value, "revision": word.revision, "held": word.held,
                                    "born_ms": word.entry.born_ms,
                                    "since": self.feed.since.get((source.name, name), 0.0)}
                      for source in self.feed.merge.sources.values()
                      if (word := source.words.get(name)) is not None},
        }

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                os.unlink(self.path)


def line(writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
    writer.write(json.dumps(told).encode() + b"\n")


async def listen(path: str, tell: Tell) -> asyncio.Server:
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


# The command


def read(path: str) -> Iterator[dict[str, Any]]:
    """What a sidecar tells. Raises OSError, and ValueError where it stops short."""
    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(TIMEOUT_S)
        one.connect(path)
        with one.makefile("rb") as file:
            for text in file:
                told = json.loads(text)
                if "end" in told:
                    return
                yield told
    raise ValueError("the sidecar stopped in the middle")


def show(lines: Iterator[dict[str, Any]], out: TextIO) -> None:
    """A table: a line a node, then what each source says of it."""
    for told in lines:
        if "sources" in told:
            for name, source in told["sources"].items():
                print(f"source {name}: revision {source['revision']}"
                      + (f" of {source['epoch']}" if source["epoch"] else ""), file=out)
            continue
        held = "" if told["decisions"] == told["state"] else f", {told['decisions']} to the decisions"
        because = f" ({told['because']})" if told["because"] else ""
        print(f"{told['name']}  {told['state']}{because}{held}  {told['dial']}", file=out)
        for name, word in told["words"].items():
            since = datetime.fromtimestamp(word["since"], UTC).isoformat("T", "milliseconds")
            print(f"    {name}: {word['state']}{' (held)' if word['held'] else ''} at revision "
                  f"{word['revision']}, since {since}", file=out)


def main(arguments: list[str]) -> int:
    """members SOCKET [--json]"""
    as_json = "--json" in arguments
    paths = [one for one in arguments if one != "--json"]
    if len(paths) != 1:
        print("usage: python3 -m wickspread members SOCKET [--json]", file=sys.stderr)
        return 2
    try:
        if as_json:
            for told in read(paths[0]):
                print(json.dumps(told))
        else:
            show(read(paths[0]), sys.stdout)
    except (OSError, ValueError) as error:
        print(f"wickspread: {paths[0]}: {error}", file=sys.stderr)
        return 1
    return 0
