"""A second answer crosses the next request on its connection. docs/design/crossings.md."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import uvloop

from tests.sockets import LONG_S, Message, Upstream, answer
from wickspread.decisions import interface as api
from wickspread.engine.seams import Answer, Host
from wickspread.http1.upstream import ODD_REST_S, REST_S, Connection, Exchange, Pool


def host_of(upstream: Upstream) -> Host:
    name, _, port = upstream.address.partition(":")
    return Host(api.Upstream(1), (name, int(port)))


def request(body: bytes) -> list[bytes]:
    return [b"POST /pay/1 HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)]


def test_a_second_answer_some_milliseconds_late_is_not_the_next_requests() -> None:
    """The next request begins in the very turn in which the first is answered; the second answer of the first
    comes right then, and would have reached a client that never asked for it."""
    clients: list[socket.socket] = []

    def script(message: Message, client: socket.socket) -> bytes:
        clients.append(client)
        return answer(message.body)

    async def test(upstream: Upstream) -> None:
        pool = Pool(connect_s=LONG_S, idle_s=5.0, most=8)
        host = host_of(upstream)
        pool.update([host], whole=True)
        got: list[Answer | None] = []
        both = asyncio.Event()

        def ended(outcome: api.Outcome, found: Answer | None) -> None:
            assert outcome is api.Outcome.OK
            got.append(found)
            if len(got) == 1:
                pool.start(1, Exchange(lambda: request(b"second"), ended), LONG_S)
                clients[0].sendall(answer(b"first, again"))
            else:
                both.set()

        pool.start(1, Exchange(lambda: request(b"first"), ended), LONG_S)
        await both.wait()
        assert [one and one.body for one in got] == [b"first", b"second"]
        assert upstream.accepted == 2 and host.odd
        pool.close()

    with Upstream(script=script) as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))


def test_connections_of_an_upstream_that_was_out_of_step_rest_longer() -> None:
    """Once it has answered twice, it is given more time for it, till it starts anew."""
    twice = [True]

    def script(message: Message, client: socket.socket) -> bytes:
        return answer(b"x") * (2 if twice and twice.pop() else 1)

    async def test(upstream: Upstream) -> None:
        pool = Pool(connect_s=LONG_S, idle_s=5.0, most=8)
        host = host_of(upstream)
        pool.update([host], whole=True)

        async def exchange() -> None:
            done = asyncio.Event()
            pool.start(1, Exchange(lambda: request(b"x"), lambda outcome, found: done.set()), LONG_S)
            await done.wait()

        await exchange()
        assert not host.idle and host.odd
        await exchange()
        (one,) = [cast(Connection, idle) for idle in host.idle]
        one.idle_since = pool.loop.time() - ODD_REST_S / 2  # no shorter: here no time passes
        await exchange()
        assert upstream.accepted == 3  # a new one
        for each in host.idle:
            cast(Connection, each).idle_since = pool.loop.time() - ODD_REST_S
        await exchange()
        assert upstream.accepted == 3
        restarted = Host(api.Upstream(1, started_us=9), host.dial)
        pool.update([restarted], whole=True)
        assert not host.odd and REST_S < ODD_REST_S
        pool.close()

    with Upstream(script=script) as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))
