"""An answer that is on its way crosses the ending of its connection. docs/design/crossings.md."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.http1.server import Server
from tests.engine.test_engine import make_engine
from tests.sockets import LONG_S

ASK = b"POST /pay/1 HTTP/1.1\r\nHost: b\r\nReq-Id: %016x\r\nReq-Deadline: 5.0\r\nContent-Length: 0\r\n\r\n"


def test_an_answer_goes_before_its_connection_makes_room_in_the_same_turn() -> None:
    """At the limit of connections a new one ends the one that rests since just now. If its answer were still
    in the loop's buffer, it would be dropped with it: the loop hands it to the kernel at once."""

    async def test() -> None:
        engine, _ = make_engine(
            lambda event: [api.Refuse(event.request)] if isinstance(event, api.RequestArrived) else []
        )
        server = Server(engine, 1)
        host, port = server.listen(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        first = socket.create_connection((host, port))
        while not server.connections or not next(iter(server.connections)).transport:
            await asyncio.sleep(0)
        (one,) = server.connections
        second = socket.create_connection((host, port))  # it waits in the backlog
        server.pause_accepting()
        first.send(ASK % 1)  # both are ready when the loop looks next, in this order
        loop.add_reader(other, accept, server)
        wakes.send(b"x")
        first.setblocking(False)
        second.setblocking(False)
        got = b""
        while data := await loop.sock_recv(first, 1000):
            got += data
        assert one not in server.connections
        assert got.startswith(b"HTTP/1.1 503 ") and got.endswith(b"\r\n\r\n")
        await loop.sock_sendall(second, ASK % 2)
        assert (await loop.sock_recv(second, 1000)).startswith(b"HTTP/1.1 503 ")
        first.close()
        second.close()
        server.sweep_timer.cancel()

    def accept(server: Server) -> None:
        asyncio.get_running_loop().remove_reader(other)
        server.accept()

    wakes, other = socket.socketpair()
    with wakes, other:
        uvloop.run(asyncio.wait_for(test(), LONG_S))
