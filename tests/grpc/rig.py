"""A sidecar's gRPC side in this process, with scripted peers on both ends that write frames by hand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.grpc.message import framed
from sidecar_proxy.grpc.subsystem import start
from sidecar_proxy.http1.server import Server
from sidecar_proxy.http1.upstream import ConnectionPool
from sidecar_proxy.http2.connection import (
    Connection,
    ConnectionEnded,
    DataReceived,
    Event,
    GoawayReceived,
    HeadersReceived,
    Limits,
    StreamReset,
    TrailersReceived,
)
from sidecar_proxy.http2.guard import Rates
from tests.balancer.harness import settings
from tests.engine.test_engine import NoDiscovery, ScriptedBalancer
from tests.http2.frames import frames

LONG_S = 20.0
OPEN = Limits(
    streams=10_000,
    window=1 << 20,
    connection_window=1 << 28,
    header_bytes=1 << 20,
    unsent=1 << 28,
    rates=Rates(1e9, 1e9, 1e9, 1e9, 1e9),
)
ANSWER = [(b":status", b"200"), (b"content-type", b"application/grpc")]
# classes of tests/balancer/harness.py's settings: 0 idempotent, 1 unsafe, 2 keyed
METHODS = {"/t.T/Read": "read", "/t.T/Pay": "pay", "/t.T/Top": "top", "/t.S/*": "stream"}


class Peer(asyncio.Protocol):
    """A scripted end: a connection under the test's control; events are kept and can be waited for."""

    client = False

    def __init__(self, limits: Limits = OPEN, frames: bool = True) -> None:
        self.http2 = Connection(self.client, limits, 0)
        self.by_hand = not frames  # the test writes all by itself
        self.transport: asyncio.Transport | None = None
        self.events: list[Event] = []
        self.raw = bytearray()
        self.lost = False
        self.reads = True  # False: what comes is dealt with, but windows are never given back
        self.news = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.flush()

    def flush(self) -> None:
        if not self.by_hand and self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http2.outgoing())

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.raw += data
        if not self.by_hand:
            for event in self.http2.receive(data, 0):
                self.events.append(event)
                if isinstance(event, DataReceived) and self.reads:
                    self.http2.consumed(event.stream, len(event.data))
                self.on_event(event)
            self.flush()
        self.news.set()

    def on_event(self, event: Event) -> None: ...

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self.news.set()

    async def until(self, what: Callable[[], Any]) -> Any:
        """Wait for what a read or the connection's end brings."""
        async with asyncio.timeout(LONG_S):
            while not (found := what()):
                self.news.clear()
                await self.news.wait()
        return found

    def of(self, kind: type[Any], stream: int) -> list[Any]:
        return [one for one in self.events if isinstance(one, kind) and one.stream == stream]

    def frames(self) -> list[tuple[int, int, int, bytes]]:
        """Kind, flags, stream and payload of each whole frame that has come."""
        return frames(bytes(self.raw))


class Client(Peer):
    client = True

    def call(self, path: str, body: bytes | None = b"hello", ended: bool = True, **metadata: str) -> int:
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", path.encode()),
            (b":authority", b"backend"),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
            *[(name.replace("_", "-").encode(), value.encode()) for name, value in metadata.items()],
        ]
        stream = self.http2.open_stream(headers)
        assert stream is not None
        if body is not None:
            self.http2.send_data(stream, framed(body), ended)
        self.flush()
        return stream

    def status(self, stream: int) -> dict[bytes, bytes] | None:
        """The trailers of an answer; None while there are none."""
        for one in self.of(TrailersReceived, stream):
            return dict(one.headers)
        for one in self.of(HeadersReceived, stream):
            if one.ended:
                return dict(one.headers)
        return None

    async def answer(self, stream: int) -> tuple[int, dict[bytes, bytes], bytes]:
        """Code, trailers and message data; code -1 where the stream was reset or the connection is lost."""

        def over() -> bool:
            ended = any(isinstance(one, ConnectionEnded) for one in self.events)
            return bool(self.status(stream) is not None or self.of(StreamReset, stream) or self.lost or ended)

        await self.until(over)
        told = self.status(stream) or {}
        data = b"".join(one.data for one in self.of(DataReceived, stream))
        return int(told.get(b"grpc-status", b"-1")), told, data

    def end(self) -> ConnectionEnded | None:
        return next((one for one in self.events if isinstance(one, ConnectionEnded)), None)

    def goaway(self) -> int | None:
        """The code of the last GOAWAY."""
        codes = [one.code for one in self.events if isinstance(one, GoawayReceived)]
        return codes[-1] if codes else None


class Node(Peer):
    """One connection to a scripted node."""

    def __init__(
        self, script: Callable[[Node, int], None] | None = None, limits: Limits = OPEN, frames: bool = True
    ) -> None:
        super().__init__(limits, frames)
        self.script = script  # called when a request is whole

    def on_event(self, event: Event) -> None:
        if self.script is not None and isinstance(event, DataReceived | HeadersReceived) and event.ended:
            self.script(self, event.stream)

    def request(self, stream: int) -> dict[bytes, bytes]:
        return dict(self.of(HeadersReceived, stream)[0].headers)

    def calls(self) -> list[int]:
        return [one.stream for one in self.events if isinstance(one, HeadersReceived)]

    def serve(
        self, stream: int, body: bytes = b"done", status: bytes = b"0", *more: tuple[bytes, bytes]
    ) -> None:
        self.http2.send_headers(stream, ANSWER)
        self.http2.send_data(stream, framed(body))
        self.http2.send_trailers(stream, [(b"grpc-status", status), *more])
        self.flush()

    def trailers_only(self, stream: int, status: bytes, *more: tuple[bytes, bytes]) -> None:
        self.http2.send_headers(stream, [*ANSWER, (b"grpc-status", status), *more], ended=True)
        self.flush()


class Rig:
    """Engine, listener, gRPC; decisions by the test, or the real ones; nodes that are listeners here."""

    def __init__(
        self,
        act: Callable[[api.Event], list[api.Action]] | None = None,
        told: Grpc | None = None,
        connect_s: float = 0.5,
    ) -> None:
        self.settings = settings()
        self.settings.classes = [
            api.RequestClass("read", 500_000, 5_000_000),
            api.RequestClass("pay", 500_000, 5_000_000, effect="at_most_once"),
            api.RequestClass(
                "top",
                500_000,
                5_000_000,
                effect="deduplicated",
                group="cell",
                deduplication_window_us=8_000_000,
            ),
            api.RequestClass("stream", 500_000, 5_000_000, effect="at_most_once", stream=True),
        ]
        self.settings.max_attempts = 4
        self.pool = ConnectionPool(connect_timeout_s=connect_s, idle_timeout_s=5.0, max_connections=64)
        self.engine = Engine(self.settings, 1, Clock(), self.pool, NoDiscovery())
        self.decisions: ScriptedBalancer | None = None
        if act is not None:
            self.decisions = ScriptedBalancer(act)
            self.engine.balancer = cast(Any, self.decisions)
        self.server = Server(self.engine, 64)
        self.nodes = start(told or Grpc(True, METHODS), self.engine, self.server)
        self.address = self.server.listen(("127.0.0.1", 0))
        self.listeners: list[asyncio.Server] = []
        self.clients: list[Client] = []
        self.made: list[list[Node]] = []  # of each node its connections

    async def node(self, make: Callable[[], Node], state: api.UpstreamState = api.UpstreamState.READY) -> int:
        """A new node; its number in the list."""
        made: list[Node] = []

        def connect() -> Node:
            made.append(make())
            return made[-1]

        listener = await self.engine.loop.create_server(connect, "127.0.0.1", 0)
        self.listeners.append(listener)
        self.made.append(made)
        number = len(self.made)
        host, port = listener.sockets[0].getsockname()[:2]
        self.told(number, state, (host, port))
        return number

    def told(self, number: int, state: api.UpstreamState, dial: tuple[str, int] = ("", 0)) -> None:
        """Discovery has a word on a node."""
        old = self.pool.upstreams.get(number)
        host = ListedUpstream(api.Upstream(number, state), old.address if old is not None else dial)
        self.engine.list_changed(api.ListKind.DELTA, [host], number)

    async def client(self, limits: Limits = OPEN, frames: bool = True) -> Client:
        _, client = await self.engine.loop.create_connection(lambda: Client(limits, frames), *self.address)
        self.clients.append(client)
        return client

    async def reached(self, number: int = 1, calls: int = 1) -> Node:
        """The first connection of that node, once so many calls have come on it."""
        made = self.made[number - 1]
        while not (made and len(made[0].calls()) >= calls):
            await asyncio.sleep(0.005)
        return made[0]

    def ended(self) -> list[api.AttemptEnded]:
        assert self.decisions is not None
        return [one for one in self.decisions.events if isinstance(one, api.AttemptEnded)]

    def close(self) -> None:
        self.nodes.close()
        self.pool.close()
        for listener in self.listeners:
            listener.close()
        for client in self.clients:
            if client.transport is not None:
                client.transport.abort()
        for node in [one for made in self.made for one in made]:
            if node.transport is not None:
                node.transport.abort()
        self.server.pause_accepting()
        taken, self.server.listening_socket = self.server.listening_socket, None
        if taken is not None:
            taken.close()


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), LONG_S + 10))


def send_to(*upstreams: int) -> Callable[[api.Event], list[api.Action]]:
    """Return a balancer that sends each request to these upstreams in turn, then fails it."""

    def act(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.request, upstreams[0])]
        if isinstance(event, api.AttemptEnded) and not event.final:
            if event.attempt + 1 < len(upstreams):
                return [api.Send(event.request, upstreams[event.attempt + 1])]
            return [api.Fail(event.request)]
        return []

    return act
