"""The lab's nodes and clients by gRPC: the same machine, faults and manners as by HTTP/1.1."""

from __future__ import annotations

import asyncio

from sidecar_proxy.grpc.deadline import format_us
from sidecar_proxy.grpc.message import frame_message
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.testbed.clients import Crowd, Load, Manners
from sidecar_proxy.testbed.history import Answered, Asked, Ledger, Quit, now_us
from sidecar_proxy.testbed.http1 import Reply, Request
from sidecar_proxy.testbed.http2 import ClientPeer, ServerPeer, Stream
from sidecar_proxy.testbed.upstreams import Node, NodePeer

SERVICE = b"/lab.Komiks/"
# An answer's HTTP status and the code that says the same.
CODES = {200: Code.OK, 500: Code.INTERNAL, 503: Code.UNAVAILABLE}
MOST_CONNECTIONS = 8


def methods(loads: tuple[Load, ...]) -> str:
    """The operator file for the lab's classes: each is a method of its own."""
    lines = ["[grpc]", "enabled = true", "[grpc.methods]"]
    return "\n".join([*lines, *[f'"{SERVICE.decode()}{load.kind}" = "{load.kind}"' for load in loads]]) + "\n"


def speak(peer: NodePeer, data: bytes) -> None:
    """The preface of HTTP/2 has come on a node's connection."""
    assert peer.transport is not None
    other = GrpcNodePeer(peer.node)
    peer.node.peers.discard(peer)
    peer.node.peers.add(other)
    peer.transport.set_protocol(other)
    other.connection_made(peer.transport)
    other.data_received(data)


class GrpcNodePeer(ServerPeer):
    """One connection to a node by gRPC."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node = node

    def on_call(self, stream: int, told: Stream) -> None:
        request = Request(
            b"POST", told.headers.get(b":path", b""), told.headers, told.message(), told.first_us, now_us()
        )
        self.node.receive(GrpcCall(self, stream), request)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.peers.discard(self)


class GrpcCall:
    """One call, answered in the words of HTTP/1.1."""

    def __init__(self, peer: GrpcNodePeer, stream: int) -> None:
        self.peer = peer
        self.stream = stream

    def answer(self, status: bytes, body: bytes = b"", head: bytes = b"") -> None:
        code = CODES[int(status[:3])]
        more = [(b"srv-declined", b"1")] if b"Srv-Declined" in head else []
        self.peer.answer(self.stream, code, body if code is Code.OK else None, more)

    def cut(self, body: bytes) -> None:
        self.peer.cut(self.stream, frame_message(body + bytes(9))[:-9] if body else b"")


def reply_of(told: Stream) -> Reply:
    """What came back, in the words of HTTP/1.1: so that outcomes can be held against each other."""
    trailers = told.trailers
    if trailers.get(b"grpc-status") == b"0":
        return Reply(200, trailers, told.message())
    if trailers.get(b"srv-declined") == b"1":
        after = trailers.get(b"grpc-retry-pushback-ms")
        return Reply(503, {b"retry-after": b"%.3f" % (int(after) / 1000)} if after else {}, b"")
    return Reply(504 if trailers.get(b"grpc-status") == b"4" else 502, {}, b"")


class GrpcCrowd(Crowd):
    """The clients of one sidecar that speak gRPC, on a few connections together."""

    tag = "g"

    def __init__(
        self,
        ledger: Ledger,
        sidecar: str,
        address: tuple[str, int],
        loads: list[Load],
        manners: Manners,
        seed: int,
    ) -> None:
        super().__init__(ledger, sidecar, address, loads, manners, seed)
        self.channels: list[ClientPeer] = []

    async def channel(self) -> ClientPeer | None:
        self.channels = [one for one in self.channels if one.usable()]
        for one in self.channels:
            if len(one.streams) < one.http2.max_streams(100):
                return one
        if len(self.channels) >= MOST_CONNECTIONS:
            return None
        try:
            _, peer = await asyncio.get_running_loop().create_connection(ClientPeer, *self.address)
        except OSError:
            self.refused_connects += 1
            return None
        self.channels.append(peer)
        return peer

    async def request(self, load: Load, operation: str, tries: int) -> Reply | None:
        """One call under one req-id; None if there is nothing to try again for."""
        ident = f"{operation}.{tries}"
        metadata = [(b"req-id", ident.encode()), (b"grpc-timeout", format_us(int(load.deadline_s * 1e6)))]
        if load.effect == "deduplicated":
            metadata.append((b"idempotency-key", b"key-" + operation.encode()))
        if tries > 1:
            metadata.append((b"grpc-previous-rpc-attempts", b"%d" % (tries - 1)))
        body = b"x" * load.body if load.effect != "idempotent" else b""
        asked = False
        for _ in range(3):  # a call above a GOAWAY's last stream is made anew, as gRPC's libraries do
            peer = await self.channel()
            begun = peer.call(SERVICE + load.kind.encode(), metadata, body) if peer is not None else None
            if peer is None or begun is None:
                return None
            if not asked:
                at_us = now_us()
                self.ledger.add(
                    Asked(
                        at_us,
                        ident,
                        operation,
                        load.kind,
                        self.sidecar,
                        at_us + int(load.deadline_s * 1e6),
                        tries,
                    )
                )
                self.asked += 1
                asked = True
            told = await self.wait(peer, *begun, ident, load)
            if told is not None and told.reset == 0x7:
                continue
            if told is None or told.reset is not None:
                if told is not None:
                    self.ledger.add(Answered(now_us(), ident, 0))
                return None
            reply = reply_of(told)
            after = float(reply.headers.get(b"retry-after", b"0"))
            self.ledger.add(Answered(now_us(), ident, reply.status, int(after * 1e6)))
            return reply
        return None

    async def wait(
        self, peer: ClientPeer, stream: int, future: asyncio.Future[Stream | None], ident: str, load: Load
    ) -> Stream | None:
        quits, patience_s = self.patience(load)
        self.out += 1
        try:
            done, _ = await asyncio.wait([future], timeout=patience_s)
        finally:
            self.out -= 1
        if not done:
            if quits:
                self.ledger.add(Quit(now_us(), ident))
            peer.cancel(stream)
            return None
        told = future.result()
        if told is None:
            self.ledger.add(Answered(now_us(), ident, 0))
        return told

    def close(self) -> None:
        super().close()
        for one in self.channels:
            one.abort()
