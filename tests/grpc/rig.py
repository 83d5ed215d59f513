"""An in-process sidecar with gRPC, and scripted clients and upstreams that can write raw HTTP/2 frames."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.grpc.message import frame_message
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

TEST_TIMEOUT_S = 20.0
UNLIMITED = Limits(
    streams=10_000,
    window=1 << 20,
    connection_window=1 << 28,
    header_bytes=1 << 20,
    unsent=1 << 28,
    rates=Rates(1e9, 1e9, 1e9, 1e9, 1e9),
)
RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
# request classes of Rig: read is idempotent, pay and stream are unsafe, top is deduplicated
METHODS = {"/t.T/Read": "read", "/t.T/Pay": "pay", "/t.T/Top": "top", "/t.S/*": "stream"}


class Peer(asyncio.Protocol):
    """A connection that the test controls. It records its events, and the test can wait for them."""

    is_client = False

    def __init__(self, limits: Limits = UNLIMITED, use_http2_layer: bool = True) -> None:
        self.http2 = Connection(self.is_client, limits, 0)
        self.is_manual = not use_http2_layer  # the test writes all frames as bytes
        self.transport: asyncio.Transport | None = None
        self.events: list[Event] = []
        self.received = bytearray()
        self.is_lost = False
        self.returns_window = True  # False = received data is processed, but no window is returned
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.flush()

    def flush(self) -> None:
        if not self.is_manual and self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.http2.outgoing())

    def write(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.received += data
        if not self.is_manual:
            for event in self.http2.receive(data, 0):
                self.events.append(event)
                if isinstance(event, DataReceived) and self.returns_window:
                    self.http2.consumed(event.stream, len(event.data))
                self.on_event(event)
            self.flush()
        self.changed.set()

    def on_event(self, event: Event) -> None: ...

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost = True
        self.changed.set()

    async def wait_until(self, condition: Callable[[], Any]) -> Any:
        """Wait until the condition is true, checking after each read and at the end of the connection."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not (result := condition()):
                self.changed.clear()
                await self.changed.wait()
        return result

    def events_of(self, kind: type[Any], stream: int) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind) and event.stream == stream]

    def frames(self) -> list[tuple[int, int, int, bytes]]:
        """Return type, flags, stream and payload of each complete frame that was received."""
        return frames(bytes(self.received))


class Client(Peer):
    is_client = True

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
            self.http2.send_data(stream, frame_message(body), ended)
        self.flush()
        return stream

    def status(self, stream: int) -> dict[bytes, bytes] | None:
        """Return the trailers of a response; None if none were received yet."""
        for event in self.events_of(TrailersReceived, stream):
            return dict(event.headers)
        for event in self.events_of(HeadersReceived, stream):
            if event.ended:
                return dict(event.headers)
        return None

    async def receive_response(self, stream: int) -> tuple[int, dict[bytes, bytes], bytes]:
        """Return code, trailers and message data; code -1 = the stream was reset or the connection lost."""

        def is_over() -> bool:
            ended = any(isinstance(event, ConnectionEnded) for event in self.events)
            return bool(
                self.status(stream) is not None
                or self.events_of(StreamReset, stream)
                or self.is_lost
                or ended
            )

        await self.wait_until(is_over)
        trailers = self.status(stream) or {}
        data = b"".join(event.data for event in self.events_of(DataReceived, stream))
        return int(trailers.get(b"grpc-status", b"-1")), trailers, data

    def connection_end(self) -> ConnectionEnded | None:
        return next((event for event in self.events if isinstance(event, ConnectionEnded)), None)

    def goaway_code(self) -> int | None:
        """Return the error code of the last GOAWAY; None if none was received."""
        codes = [event.code for event in self.events if isinstance(event, GoawayReceived)]
        return codes[-1] if codes else None


class GrpcUpstream(Peer):
    """One connection to a scripted upstream."""

    def __init__(
        self,
        script: Callable[[GrpcUpstream, int], None] | None = None,
        limits: Limits = UNLIMITED,
        use_http2_layer: bool = True,
    ) -> None:
        super().__init__(limits, use_http2_layer)
        self.script = script  # called when a request is complete

    def on_event(self, event: Event) -> None:
        if self.script is not None and isinstance(event, DataReceived | HeadersReceived) and event.ended:
            self.script(self, event.stream)

    def request(self, stream: int) -> dict[bytes, bytes]:
        return dict(self.events_of(HeadersReceived, stream)[0].headers)

    def calls(self) -> list[int]:
        return [event.stream for event in self.events if isinstance(event, HeadersReceived)]

    def serve(
        self, stream: int, body: bytes = b"done", status: bytes = b"0", *extra_trailers: tuple[bytes, bytes]
    ) -> None:
        self.http2.send_headers(stream, RESPONSE_HEADERS)
        self.http2.send_data(stream, frame_message(body))
        self.http2.send_trailers(stream, [(b"grpc-status", status), *extra_trailers])
        self.flush()

    def trailers_only(self, stream: int, status: bytes, *extra_trailers: tuple[bytes, bytes]) -> None:
        self.http2.send_headers(
            stream, [*RESPONSE_HEADERS, (b"grpc-status", status), *extra_trailers], ended=True
        )
        self.flush()


class Rig:
    """Engine, listener and gRPC, with a scripted or the real balancer, and scripted upstreams."""

    def __init__(
        self,
        act: Callable[[api.Event], list[api.Action]] | None = None,
        grpc_config: Grpc | None = None,
        connect_timeout_s: float = 0.5,
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
        self.pool = ConnectionPool(
            connect_timeout_s=connect_timeout_s, idle_timeout_s=5.0, max_connections=64
        )
        self.engine = Engine(self.settings, 1, Clock(), self.pool, NoDiscovery())
        self.balancer: ScriptedBalancer | None = None
        if act is not None:
            self.balancer = ScriptedBalancer(act)
            self.engine.balancer = cast(Any, self.balancer)
        self.server = Server(self.engine, 64)
        self.upstream_pool = start(grpc_config or Grpc(True, METHODS), self.engine, self.server)
        self.address = self.server.listen(("127.0.0.1", 0))
        self.listeners: list[asyncio.Server] = []
        self.clients: list[Client] = []
        self.upstream_connections: list[list[GrpcUpstream]] = []  # the connections of each upstream

    async def add_upstream(
        self, create: Callable[[], GrpcUpstream], state: api.UpstreamState = api.UpstreamState.READY
    ) -> int:
        """Add an upstream to the list, and return its number."""
        connections: list[GrpcUpstream] = []

        def connect() -> GrpcUpstream:
            connections.append(create())
            return connections[-1]

        listener = await self.engine.loop.create_server(connect, "127.0.0.1", 0)
        self.listeners.append(listener)
        self.upstream_connections.append(connections)
        number = len(self.upstream_connections)
        host, port = listener.sockets[0].getsockname()[:2]
        self.set_upstream_state(number, state, (host, port))
        return number

    def set_upstream_state(
        self, number: int, state: api.UpstreamState, dial: tuple[str, int] = ("", 0)
    ) -> None:
        """Report the state of an upstream as discovery does."""
        old = self.pool.upstreams.get(number)
        host = ListedUpstream(api.Upstream(number, state), old.address if old is not None else dial)
        self.engine.list_changed(api.ListKind.DELTA, [host], number)

    async def connect_client(self, limits: Limits = UNLIMITED, use_http2_layer: bool = True) -> Client:
        _, client = await self.engine.loop.create_connection(
            lambda: Client(limits, use_http2_layer), *self.address
        )
        self.clients.append(client)
        return client

    async def wait_for_calls(self, number: int = 1, calls: int = 1) -> GrpcUpstream:
        """Wait until the first connection of an upstream has received `calls` calls, and return it."""
        connections = self.upstream_connections[number - 1]
        while not (connections and len(connections[0].calls()) >= calls):
            await asyncio.sleep(0.005)
        return connections[0]

    def ended_attempts(self) -> list[api.AttemptEnded]:
        assert self.balancer is not None
        return [event for event in self.balancer.events if isinstance(event, api.AttemptEnded)]

    def close(self) -> None:
        self.upstream_pool.close()
        self.pool.close()
        for listener in self.listeners:
            listener.close()
        for client in self.clients:
            if client.transport is not None:
                client.transport.abort()
        for upstream in [upstream for connections in self.upstream_connections for upstream in connections]:
            if upstream.transport is not None:
                upstream.transport.abort()
        self.server.pause_accepting()
        listening_socket, self.server.listening_socket = self.server.listening_socket, None
        if listening_socket is not None:
            listening_socket.close()


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), TEST_TIMEOUT_S + 10))


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
