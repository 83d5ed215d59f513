"""A connection's coming up, or its end, crosses the giving up of what it is for. docs/design/crossings.md."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any, cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import ConnectionPool, Exchange, UpstreamConnection
from tests.crossings.test_answers import host_of, request
from tests.sockets import LONG_S, Upstream


class HeldUp:
    """A loop that is held up just when a connection of its making is there."""

    def __init__(self, loop: asyncio.AbstractEventLoop, wait_s: float) -> None:
        self.loop, self.wait_s, self.held = loop, wait_s, 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, factory: Callable[[], Any], *address: Any) -> Any:
        inner, holder = factory(), self

        class Held(asyncio.Protocol):
            def __getattribute__(self, name: str) -> Any:
                return held_up if name == "connection_made" else getattr(inner, name)

        def held_up(transport: asyncio.BaseTransport) -> None:
            inner.connection_made(transport)
            holder.held += 1
            time.sleep(holder.wait_s)

        return await self.loop.create_connection(Held, *address)


def test_a_dial_that_comes_up_at_its_time_out_gives_its_place_back() -> None:
    """The loop is held up just when the connection is there, and meets the time-out next. It tells nobody
    that such a connection has ended, so its place was taken for good."""

    async def test(listener: socket.socket) -> None:
        pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        loop = HeldUp(pool.loop, 0.4)
        pool.loop = cast(Any, loop)
        host = ListedUpstream(api.Upstream(1), listener.getsockname())
        pool.update([host], is_full_list=True)
        ends: list[api.Outcome] = []
        pool.start(1, Exchange(lambda: request(b"x"), lambda outcome, answer: ends.append(outcome)), LONG_S)
        while not ends:
            await asyncio.sleep(0)
        assert ends == [api.Outcome.CONNECT_FAILED] and loop.held == 1
        assert (pool.open_connections, host.open_connections, len(pool.idle)) == (0, 0, 0)
        pool.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))


def test_a_connection_that_ends_while_it_rests_for_a_request_given_up_is_not_kept() -> None:
    """Kept, it would stand among those that make room at the limit of descriptors, and make none."""

    async def test(upstream: Upstream) -> None:
        pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
        host = host_of(upstream)
        pool.update([host], is_full_list=True)
        first = asyncio.Event()
        pool.start(1, Exchange(lambda: request(b"x"), lambda outcome, found: first.set()), LONG_S)
        await first.wait()
        (connection,) = [cast(UpstreamConnection, idle) for idle in host.idle]
        connection.idle_since_s = time.monotonic() + LONG_S  # no turn of the loop is to see it rested
        waits = Exchange(lambda: request(b"y"), lambda outcome, found: None)
        pool.start(1, waits, LONG_S)
        assert not host.idle and waits.connection is None  # kept for it
        waits.finish(api.Outcome.CANCELLED)
        upstream.close_connections()
        while pool.open_connections:
            await asyncio.sleep(0)
        connection.begin_after_reuse_delay(waits)
        assert not pool.idle and not host.idle and not pool.open_connections
        pool.close()

    with Upstream() as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))
