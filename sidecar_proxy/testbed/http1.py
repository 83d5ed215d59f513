"""The least of HTTP/1.1 that stand-ins need: requests and answers read whole. They trust each other."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import cast

import httptools

from sidecar_proxy.testbed.history import now_us


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: dict[bytes, bytes] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    first_us: int = 0  # its first byte was read
    last_us: int = 0


@dataclass(slots=True)
class Reply:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Peer(asyncio.Protocol):
    """What both sides have in common: a transport, and the parser's parts of one message."""

    transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def begin(self) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ServerPeer(Peer):
    """One connection of a stand-in server's."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.first_us = 0

    def data_received(self, data: bytes) -> None:
        if not self.first_us:
            self.first_us = now_us()
        self.feed(self.parser, data)

    def on_message_begin(self) -> None:
        self.begin()

    def on_message_complete(self) -> None:
        request = Request(
            self.parser.get_method(), self.target, self.headers, bytes(self.body), self.first_us, now_us()
        )
        self.first_us = 0
        self.on_request(request)

    def on_request(self, request: Request) -> None:
        raise NotImplementedError

    def answer(self, status: bytes, body: bytes = b"", head: bytes = b"") -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, head, len(body), body)
            )


class ClientPeer(Peer):
    """One connection of a stand-in client's: one request at a time."""

    def __init__(self) -> None:
        self.reply: asyncio.Future[Reply | None] | None = None
        self.any = False  # a byte of this answer has come
        self.open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.open = True

    def ask(self, data: bytes) -> asyncio.Future[Reply | None]:
        """Send a request; the future holds its answer, or None if the connection ends first."""
        assert self.transport is not None
        self.parser = httptools.HttpResponseParser(self)
        self.any = False
        self.reply = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.reply

    def data_received(self, data: bytes) -> None:
        self.any = True
        if self.reply is None:
            self.abort()
            return
        self.feed(self.parser, data)

    def on_message_begin(self) -> None:
        self.begin()

    def on_message_complete(self) -> None:
        if not self.parser.should_keep_alive():
            self.open = False
        self.finish(Reply(self.parser.get_status_code(), self.headers, bytes(self.body)))

    def finish(self, reply: Reply | None) -> None:
        waiting, self.reply = self.reply, None
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.finish(None)
