"""An attempt's time-out crosses the kernel's taking of its last byte. docs/design/crossings.md."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import ConnectionPool, Exchange
from tests.crossings.stand_ins import narrow
from tests.engine.test_engine import make_call, make_engine
from tests.sockets import LONG_S

BODY = 8 * 1024 * 1024  # bytes; more than the kernels of one connection hold
HEAD = b"POST /pay/1 HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n"


async def sent(
    listener: socket.socket, size: int, ends: list[api.Outcome]
) -> tuple[ConnectionPool, Exchange, socket.socket]:
    """A request with a body of so many bytes, as far as the kernel takes it; and the upstream's side."""
    pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
    pool.update([ListedUpstream(api.Upstream(1), listener.getsockname())], is_full_list=True)
    exchange = Exchange(lambda: [HEAD % size, bytes(size)], lambda outcome, answer: ends.append(outcome))
    pool.start(1, exchange, LONG_S)
    upstream, _ = await asyncio.get_running_loop().sock_accept(listener)
    while exchange.connection is None:
        await asyncio.sleep(0)
    return pool, exchange, upstream


@pytest.mark.parametrize("taken_first", [True, False])
def test_what_is_told_as_never_sent_never_comes_whole(taken_first: bool) -> None:
    """The upstream takes all that is there, so the kernel has room again, and the time is out: the loop meets
    both in one turn. Told as not sent, an unsafe request is repeated, so its last byte must not go."""

    async def test(listener: socket.socket) -> None:
        ends: list[api.Outcome] = []
        pool, exchange, upstream = await sent(listener, BODY, ends)
        assert exchange.connection is not None and not exchange.connection.is_request_written
        size = 0

        def take() -> int:
            """All that can be had without a turn of the loop."""
            got = 0
            while True:
                try:
                    data = upstream.recv(1 << 20)
                except BlockingIOError:
                    return got
                if not data:
                    return got
                got += len(data)

        if taken_first:
            size += take()  # the kernel would take more now, and the loop has had no turn
        exchange.expire()
        size += take()
        assert ends == [api.Outcome.CONNECT_FAILED]
        closed = False
        while not closed:
            await asyncio.sleep(0)
            try:
                data = upstream.recv(1 << 20)
                size += len(data)
                closed = not data
            except BlockingIOError:
                pass
            except ConnectionResetError:
                closed = True
        assert size < len(HEAD % BODY) + BODY
        pool.close()
        upstream.close()

    with narrow() as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))


@pytest.mark.parametrize(
    ("how", "outcome"),
    [
        ("its time is out", api.Outcome.CONNECT_FAILED),
        ("its client left", api.Outcome.NOT_SENT),
        ("its window is over", api.Outcome.NOT_SENT),
    ],
)
def test_what_is_half_written_ends_with_its_request_and_is_held_against_who_took_none(
    how: str, outcome: api.Outcome
) -> None:
    async def test(listener: socket.socket) -> None:
        engine, decisions = make_engine(
            lambda event: (
                [api.Send(event.request, 1, 0, 1 << 60)] if isinstance(event, api.RequestArrived) else []
            )
        )
        engine.transport.update([ListedUpstream(api.Upstream(1), listener.getsockname())], is_full_list=True)
        asked = make_call(engine)
        asked.body = bytes(BODY)
        replies: list[int] = []
        ident = engine.accept(asked, lambda status, head, body: replies.append(status))
        upstream, _ = await engine.loop.sock_accept(listener)
        while not await engine.loop.sock_recv(upstream, 1):
            pass
        if how == "its client left":
            engine.client_gone(ident)
        elif how == "its time is out":
            engine.deadline_passed(ident)
        else:
            (attempt,) = engine.requests[ident].attempts
            assert attempt is not None
            attempt.expire_unsent()
            engine.fail_request(ident)
        ended = [event for event in decisions.events if isinstance(event, api.AttemptEnded)]
        assert [event.outcome for event in ended] == [outcome] and not engine.requests
        assert replies == {"its client left": [], "its time is out": [504], "its window is over": [502]}[how]
        upstream.close()

    with narrow() as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))


@pytest.mark.parametrize("reads", ["before", "after"])
@pytest.mark.parametrize("size", [BODY // 8, BODY // 4, BODY // 2, BODY])  # bytes; kernels differ
def test_what_is_half_written_when_the_upstream_ends_its_sending_never_comes_whole(
    reads: str, size: int
) -> None:
    """It reads on: the loop would write the rest before it closes. Told as never sent, unsafe work is
    repeated. If the upstream has read before the loop sees its end, there is room in that very turn."""

    async def test(listener: socket.socket) -> None:
        ends: list[api.Outcome] = []
        pool, exchange, upstream = await sent(listener, size, ends)
        whole = len(HEAD % size) + size
        half = exchange.connection is not None and not exchange.connection.is_request_written
        upstream.shutdown(socket.SHUT_WR)
        got, closed = 0, False
        if reads == "after":
            while not ends:
                await asyncio.sleep(0)
        while not closed:
            try:
                data = upstream.recv(1 << 20)
                got += len(data)
                closed = not data
            except BlockingIOError:
                await asyncio.sleep(0)
            except ConnectionResetError:
                closed = True
        while not ends:
            await asyncio.sleep(0)
        assert ends == [api.Outcome.RESET] or (ends == [api.Outcome.CONNECT_FAILED] and got < whole)
        assert ends == [api.Outcome.RESET] if not half else size < BODY or got < whole
        assert (reads, size) != ("after", BODY) or ends == [api.Outcome.CONNECT_FAILED]
        pool.close()
        upstream.close()

    with narrow() as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))
