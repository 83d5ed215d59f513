"""What is left of one request crosses the next one on its connection. docs/design/crossings.md."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.body_buffers import MAX_BUFFERED_BODY_BYTES
from sidecar_proxy.engine.interfaces import ListedUpstream, UpstreamResponse
from sidecar_proxy.http1.upstream import (
    MAX_REUSE_DELAY_S,
    MISBEHAVED_REUSE_DELAY_S,
    STREAM_AFTER_S,
    ConnectionPool,
    Exchange,
    UpstreamConnection,
)
from tests.sockets import LONG_S, Message, Upstream, answer


def host_of(upstream: Upstream) -> ListedUpstream:
    name, _, port = upstream.address.partition(":")
    return ListedUpstream(api.Upstream(1), (name, int(port)))


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
        pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
        host = host_of(upstream)
        pool.update([host], is_full_list=True)
        got: list[UpstreamResponse | None] = []
        both = asyncio.Event()

        def ended(outcome: api.Outcome, found: UpstreamResponse | None) -> None:
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
        assert upstream.accepted == 2 and host.has_violated_protocol
        pool.close()

    with Upstream(script=script) as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))


def test_connections_of_an_upstream_that_was_out_of_step_rest_longer() -> None:
    """Once it has answered twice, it is given more time for it, till it starts anew."""
    twice = [True]

    def script(message: Message, client: socket.socket) -> bytes:
        return answer(b"x") * (2 if twice and twice.pop() else 1)

    async def test(upstream: Upstream) -> None:
        pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
        host = host_of(upstream)
        pool.update([host], is_full_list=True)

        async def exchange() -> None:
            done = asyncio.Event()
            pool.start(1, Exchange(lambda: request(b"x"), lambda outcome, found: done.set()), LONG_S)
            await done.wait()

        await exchange()
        assert not host.idle and host.has_violated_protocol
        await exchange()
        (one,) = [cast(UpstreamConnection, idle) for idle in host.idle]
        before_s = time.monotonic()
        over_s = one.reuse_delay_left_s() + before_s
        assert (
            one.idle_since_s + MISBEHAVED_REUSE_DELAY_S
            >= over_s
            >= one.idle_since_s + MISBEHAVED_REUSE_DELAY_S - (time.monotonic() - before_s)
        )
        one.idle_since_s += LONG_S  # however busy the machine is, it rests
        await exchange()
        assert upstream.accepted == 3  # a new one
        for each in host.idle:
            cast(UpstreamConnection, each).idle_since_s = time.monotonic() - MISBEHAVED_REUSE_DELAY_S
        await exchange()
        assert upstream.accepted == 3
        restarted = ListedUpstream(api.Upstream(1, started_us=9), host.address)
        pool.update([restarted], is_full_list=True)
        assert not host.has_violated_protocol and MAX_REUSE_DELAY_S < MISBEHAVED_REUSE_DELAY_S
        pool.close()

    with Upstream(script=script) as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))


class Sunk:
    """Where a large answer goes."""

    def __init__(self) -> None:
        self.got, self.ends = b"", asyncio.Event()

    def write(self, data: bytes) -> None:
        self.got += data

    def is_queued(self) -> bool:
        return False

    def end(self) -> None:
        self.ends.set()

    def fail(self) -> None:
        raise AssertionError("it came whole")


def test_the_time_to_begin_an_answer_never_begins_the_next_ones() -> None:
    """An answer of unknown length begins small, so a time is set at which it is passed on as it is. It grows
    large before, is passed on for that and ends; the next one on that connection takes longer than that time.
    It was begun when nothing of it had come, also where its work could not be repeated."""

    async def test(listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
        pool.update([ListedUpstream(api.Upstream(1), listener.getsockname())], is_full_list=True)
        sunk: list[Sunk] = []
        ends: list[tuple[api.Outcome, UpstreamResponse | None]] = []

        def opens(head: bytes, length: int | None, load: bytes, source: object) -> Sunk:
            sunk.append(Sunk())
            return sunk[-1]

        def exchange(body: bytes) -> Exchange:
            one = Exchange(lambda: request(body), lambda *end: ends.append(end), None, opens)
            pool.start(1, one, LONG_S)
            return one

        first = exchange(b"first")
        upstream, _ = await loop.sock_accept(listener)
        await loop.sock_recv(upstream, 1000)
        connection = first.connection
        assert connection is not None
        await loop.sock_sendall(upstream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
        while connection.body_timer is None:
            await asyncio.sleep(0)
        began_s = loop.time()
        await loop.sock_sendall(
            upstream,
            b"%x\r\n%s\r\n0\r\n\r\n" % (2 * MAX_BUFFERED_BODY_BYTES, bytes(2 * MAX_BUFFERED_BODY_BYTES)),
        )
        while not sunk:
            await asyncio.sleep(0)
        await sunk[0].ends.wait()
        assert sunk[0].got == b"x" + bytes(2 * MAX_BUFFERED_BODY_BYTES) and not ends
        connection.idle_since_s -= MAX_REUSE_DELAY_S
        second = exchange(b"second")
        assert second.connection is connection
        await loop.sock_recv(upstream, 1000)
        while loop.time() < began_s + 2 * STREAM_AFTER_S:
            await asyncio.sleep(0.001)
        assert not ends and len(sunk) == 1
        await loop.sock_sendall(upstream, answer(b"second"))
        while not ends:
            await asyncio.sleep(0)
        assert ends[0][1] is not None and ends[0][1].body == b"second" and len(sunk) == 1
        pool.close()
        upstream.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))


def test_a_connection_rests_by_a_clock_that_neither_rounds_nor_stands() -> None:
    """The loop's clock has whole milliseconds and stands during a turn: by it a second answer 4 ms late could
    meet the next request after 3."""

    async def test(upstream: Upstream) -> None:
        pool = ConnectionPool(connect_timeout_s=LONG_S, idle_timeout_s=5.0, max_connections=8)
        host = host_of(upstream)
        pool.update([host], is_full_list=True)
        host.spares_allowed_at_s = float("inf")  # so that each request waits for the one connection
        answered, rested = [0.0], []

        async def exchange(busy_s: float) -> None:
            done = asyncio.Event()

            def render() -> list[bytes]:
                rested.append(time.monotonic() - answered[-1])
                return request(b"x")

            def ended(outcome: api.Outcome, found: UpstreamResponse | None) -> None:
                answered.append(time.monotonic())
                done.set()

            time.sleep(busy_s)  # the loop's clock falls back
            pool.start(1, Exchange(render, ended), LONG_S)
            await done.wait()

        await exchange(0.0)
        for turn in range(60):
            await exchange(turn % 6 / 1000)
        assert (
            min(rested[1:]) >= MAX_REUSE_DELAY_S - 0.0005 and upstream.accepted == 1
        )  # its parking is just before
        pool.close()

    with Upstream() as upstream:
        uvloop.run(asyncio.wait_for(test(upstream), LONG_S))
