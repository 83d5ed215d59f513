"""A second response comes while the next request waits on its connection, and spare connections in turns."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import cast

import pytest
import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream, UpstreamResponse
from sidecar_proxy.engine.response_floor import MAX_EARLY_S, MIN_SAMPLES, ResponseFloor
from sidecar_proxy.http1.repeated_responses import MIN_PAIRS
from sidecar_proxy.http1.upstream import (
    MAX_REUSE_DELAY_S,
    MISBEHAVED_REUSE_DELAY_S,
    PROTECTED_S,
    ConnectionPool,
    Exchange,
    UpstreamConnection,
)
from tests.sockets import LONG_S, answer

SLOW_S = 1.0  # response time of an upstream behind a network
QUICK_S = 0.0001
DECLINED = answer(b"", "503 Service Unavailable", "Srv-Declined: 1\r\n")


@dataclass
class Result:
    """The end of an exchange."""

    exchange: Exchange
    outcome: api.Outcome | None = None
    body: bytes | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)


def open_no_stream(head: bytes, length: int | None, load_report: bytes, source: object) -> None:
    """Stand in for the opener of streamed responses, which these small ones never need."""


class Rig:
    """A pool with one upstream, whose connections the test accepts and answers itself."""

    def __init__(self, listener: socket.socket, usual_s: float, max_connections: int = 8) -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.pool = ConnectionPool(LONG_S, idle_timeout_s=2 * LONG_S, max_connections=max_connections)
        self.host = ListedUpstream(api.Upstream(1), listener.getsockname())
        self.pool.update([self.host], is_full_list=True)
        self.usual_s = usual_s

    def start(self, body: bytes, timeout_s: float = LONG_S) -> Result:
        """Start an exchange with a request of this body."""

        def on_end(outcome: api.Outcome, response: UpstreamResponse | None) -> None:
            result.outcome = outcome
            result.body = response.body if response is not None else None
            result.ended.set()

        request = [b"POST /pay/1 HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)]
        result = Result(Exchange(lambda: request, on_end, None, open_no_stream))
        self.pool.start(1, result.exchange, timeout_s)
        return result

    async def accept(self) -> socket.socket:
        """Accept the next connection."""
        client, _ = await self.loop.sock_accept(self.listener)
        return client

    async def serve(self, client: socket.socket, data: bytes) -> bytes:
        """Read a request from a connection, send these bytes, and return the request."""
        request = await self.loop.sock_recv(client, 4096)
        await self.loop.sock_sendall(client, data)
        return request

    async def first_connection(self) -> tuple[socket.socket, UpstreamConnection]:
        """Open a connection that has carried a request, and return both of its ends.

        From then on, the upstream's usual response time is known.
        """
        result = self.start(b"first")
        client = await self.accept()
        await self.serve(client, answer(b"first"))
        await result.ended.wait()
        self.host.response_floor = ResponseFloor()
        for _ in range(MIN_SAMPLES):
            self.host.response_floor.record(self.usual_s)
        (connection,) = [cast(UpstreamConnection, idle) for idle in self.host.idle]
        return client, connection


def run(test: Callable[[Rig], Awaitable[None]], usual_s: float, max_connections: int = 8) -> None:
    async def main(listener: socket.socket) -> None:
        rig = Rig(listener, usual_s, max_connections)
        await test(rig)
        rig.pool.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(main(listener), LONG_S))


async def second_exchange(rig: Rig, elapsed_s: float, data: bytes) -> Result:
    """Begin a second request on a connection whose delay is just over, and answer it after this time."""
    client, connection = await rig.first_connection()
    connection.idle_since_s -= MAX_REUSE_DELAY_S
    second = rig.start(b"second")
    assert second.exchange.connection is connection
    connection.submitted_s = time.monotonic() - elapsed_s  # however busy the machine is
    connection.idle_since_s += LONG_S
    await rig.serve(client, data)
    await second.ended.wait()
    client.close()
    return second


# Guards against a late second response that is served as the response to another client's request.
def test_a_response_that_comes_sooner_than_any_can_is_not_the_next_requests() -> None:
    async def test(rig: Rig) -> None:
        second = await second_exchange(rig, -LONG_S, answer(b"first"))
        assert (second.outcome, second.body) == (api.Outcome.ERROR, None)
        assert rig.host.has_violated_protocol and not rig.host.idle
        third = rig.start(b"third")  # not on the connection, which is one response behind
        client = await rig.accept()
        await rig.serve(client, answer(b"third"))
        await third.ended.wait()
        assert third.body == b"third"

    run(test, SLOW_S)


@pytest.mark.parametrize(
    ("usual_s", "elapsed_s", "data", "outcome"),
    [
        (SLOW_S, MAX_EARLY_S, answer(b"second"), api.Outcome.OK),
        (SLOW_S, -LONG_S, DECLINED, api.Outcome.FULL),  # rejecting takes an upstream less time than work
        (QUICK_S, 0.0, answer(b"second"), api.Outcome.OK),  # no response can be told to be too early
    ],
)
def test_a_quick_response_that_may_be_its_own_is_kept(
    usual_s: float, elapsed_s: float, data: bytes, outcome: api.Outcome
) -> None:
    async def test(rig: Rig) -> None:
        second = await second_exchange(rig, elapsed_s, data)
        assert second.outcome is outcome and not rig.host.has_violated_protocol

    run(test, usual_s)


# Guards against a second copy that comes when a response to the next request may have come as well.
@pytest.mark.parametrize(
    ("data", "do_responses_repeat", "is_copy"),
    [(b"first", False, True), (b"second", False, False), (b"first", True, False)],
)
def test_a_copy_of_the_previous_response_is_known_by_its_content(
    data: bytes, do_responses_repeat: bool, is_copy: bool
) -> None:
    async def test(rig: Rig) -> None:
        for number in range(MIN_PAIRS):
            rig.pool.repeated_responses.record(number, number + 1, is_own_response=False)
        if do_responses_repeat:
            rig.pool.repeated_responses.record(1, 1, is_own_response=True)
        second = await second_exchange(rig, LONG_S, answer(data))
        expected = (api.Outcome.ERROR, None) if is_copy else (api.Outcome.OK, data)
        assert (second.outcome, second.body) == expected
        assert rig.host.has_violated_protocol == is_copy

    run(test, SLOW_S)


def test_responses_on_new_connections_or_long_after_the_previous_one_set_the_floor() -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        assert rig.pool.response_floor.samples == 1  # a new connection
        for previous_s, samples in ((MISBEHAVED_REUSE_DELAY_S, 1), (-LONG_S, 1)):
            connection.idle_since_s = time.monotonic() - MAX_REUSE_DELAY_S
            second = rig.start(b"second")
            connection.idle_since_s = time.monotonic() - previous_s
            connection.submitted_s = time.monotonic() - 2 * SLOW_S
            await rig.serve(client, answer(b"second"))
            await second.ended.wait()
            assert second.body == b"second"
            assert rig.host.response_floor.samples == MIN_SAMPLES + samples
        client.close()

    run(test, SLOW_S)


def test_connections_rest_longer_until_it_is_known_whether_responses_repeat() -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        assert connection.reuse_delay_s() == MAX_REUSE_DELAY_S - MAX_EARLY_S
        rig.pool.repeated_responses.record(1, 1, is_own_response=True)
        assert connection.reuse_delay_s() == PROTECTED_S - MAX_EARLY_S
        client.close()

    run(test, SLOW_S)


# Guards against requests that wait although the upstream would respond at once on another connection.
def test_a_request_to_a_quick_upstream_does_not_wait_for_a_resting_connection() -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        connection.idle_since_s = time.monotonic() + LONG_S  # it rests, however busy the machine is
        second = rig.start(b"second")
        spare = await rig.accept()
        await rig.serve(spare, answer(b"second"))
        await second.ended.wait()
        assert second.body == b"second"
        connection.begin_after_reuse_delay(second.exchange)  # the timer of the reserved connection
        assert len(rig.host.idle) == 2  # both stay, and take turns
        for idle in rig.host.idle:
            cast(UpstreamConnection, idle).idle_since_s = time.monotonic() - MAX_REUSE_DELAY_S
        third = rig.start(b"third")
        assert third.exchange.has_begun and rig.pool.open_connections == 2
        client.close()
        spare.close()

    run(test, QUICK_S)


@pytest.mark.parametrize("reason", ["slow upstream", "limit of connections", "spares failed before"])
def test_a_request_waits_for_the_resting_connection_where_no_spare_may_be_opened(reason: str) -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        if reason == "spares failed before":
            rig.host.spares_allowed_at_s = float("inf")
        second = rig.start(b"second")
        assert rig.pool.open_connections == 1 and not rig.pool.dial_tasks
        request = await rig.loop.sock_recv(client, 4096)
        connection.submitted_s -= SLOW_S  # its response is not too early
        await rig.loop.sock_sendall(client, answer(b"second"))
        await second.ended.wait()
        assert request.endswith(b"second") and second.body == b"second"
        client.close()

    run(test, SLOW_S if reason == "slow upstream" else QUICK_S, 1 if reason == "limit of connections" else 8)


def test_a_spare_that_is_refused_leaves_the_request_to_the_resting_connection() -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        connection.idle_since_s = time.monotonic() + LONG_S
        rig.listener.close()
        second = rig.start(b"second")
        (dial,) = rig.pool.dial_tasks
        await dial
        assert second.outcome is None and rig.host.spares_allowed_at_s > time.monotonic()
        connection.idle_since_s = time.monotonic() - MAX_REUSE_DELAY_S
        connection.begin_after_reuse_delay(second.exchange)
        await rig.serve(client, answer(b"second"))
        await second.ended.wait()
        assert second.body == b"second" and rig.pool.open_connections == 1
        client.close()

    run(test, QUICK_S)


@pytest.mark.parametrize("end", ["time-out", "reset"])
def test_an_upstream_that_serves_one_connection_only_gets_no_second_spare(end: str) -> None:
    """The kernel accepts the spare, but the upstream never reads from it, or resets it."""

    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        connection.idle_since_s = time.monotonic() + LONG_S
        second = rig.start(b"second", timeout_s=0.05 if end == "time-out" else LONG_S)
        spare = await rig.accept()
        if end == "reset":
            await rig.loop.sock_recv(spare, 4096)
            spare.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            spare.close()
        await second.ended.wait()
        assert second.outcome is (api.Outcome.RESET if end == "reset" else api.Outcome.TIMEOUT)
        assert rig.host.spares_allowed_at_s == float("inf")
        if end == "reset":
            connection.begin_after_reuse_delay(second.exchange)
            connection.idle_since_s = time.monotonic()
            third = rig.start(b"third")
            await rig.serve(client, answer(b"third"))
            await third.ended.wait()
            assert third.body == b"third" and rig.pool.open_connections == 1
        spare.close()
        client.close()

    run(test, QUICK_S)


def test_a_drain_closes_the_spare_and_the_resting_connection() -> None:
    async def test(rig: Rig) -> None:
        client, connection = await rig.first_connection()
        connection.idle_since_s = time.monotonic() + LONG_S
        second = rig.start(b"second")
        spare = await rig.accept()
        await rig.serve(spare, answer(b"second"))
        await second.ended.wait()
        draining = ListedUpstream(api.Upstream(1, state=api.UpstreamState.DRAINING), rig.host.address)
        rig.pool.update([draining], is_full_list=True)
        connection.begin_after_reuse_delay(second.exchange)
        assert not rig.host.idle
        while rig.pool.open_connections:
            await asyncio.sleep(0)
        third = rig.start(b"third")
        assert third.outcome is api.Outcome.NOT_SENT
        client.close()
        spare.close()

    run(test, QUICK_S)
