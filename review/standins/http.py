"""Reading HTTP/1.1 messages from asyncio streams: the little that the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """A request or a response."""

    start: list[str]  # the three words of the first line
    headers: dict[str, str]  # by lower-case name
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body up to its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the regular end of the connection.

    Raises IncompleteReadError or ConnectionError where the connection ends in the middle of a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message([*first.split(" ", 2), "", ""][:3], headers, body)
