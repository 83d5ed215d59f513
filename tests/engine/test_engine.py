"""The engine keeps its contract with the balancer, even if the balancer has faults."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import Call, ListedUpstream, UpstreamResponse
from sidecar_proxy.http1.upstream import ConnectionPool, Exchange, UpstreamConnection
from tests.balancer.harness import settings

Handle = Callable[[int, api.Event], list[api.Action]]


class NoDiscovery:
    """A discovery client that never answers."""

    def subscribe(self, active: bool) -> None: ...

    def fetch(self) -> None: ...


class ScriptedBalancer:
    """Replaces the balancer: records each event and returns the actions that the test chooses."""

    def __init__(self, choose_actions: Callable[[api.Event], list[api.Action]]) -> None:
        self.choose_actions = choose_actions
        self.events: list[api.Event] = []
        self.is_handling = False

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        assert not self.is_handling, "the balancer was entered recursively"
        self.is_handling = True
        try:
            self.events.append(event)
            return self.choose_actions(event)
        finally:
            self.is_handling = False


def make_engine(choose_actions: Callable[[api.Event], list[api.Action]]) -> tuple[Engine, ScriptedBalancer]:
    pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
    engine = Engine(settings(), 1, Clock(), pool, NoDiscovery())
    balancer = ScriptedBalancer(choose_actions)
    engine.balancer = cast(Any, balancer)
    return engine, balancer


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 20.0))


def make_call(engine: Engine, timeout_us: int = 60_000_000) -> Call:
    return Call(1, engine.clock.now_us() + timeout_us, b"POST /pay/7 HTTP/1.1\r\nContent-Length: 0\r\n", b"")


@pytest.mark.parametrize(
    ("first_action", "expected"),
    [
        (api.Refuse(1, 250_000), (503, b"Retry-After: 0.250000\r\n")),
        (api.Fail(1), (502, b"")),
    ],
)
def test_first_final_response_is_sent_and_later_ones_are_dropped(
    first_action: api.Action, expected: tuple[int, bytes]
) -> None:
    async def test() -> None:
        engine, _ = make_engine(lambda event: [first_action, api.Fail(1), api.Refuse(1)])
        responses: list[tuple[int, bytes]] = []
        engine.accept(make_call(engine), lambda status, head, body: responses.append((status, head)))
        assert responses == [expected]
        assert not engine.requests

    run(test)


def test_fault_of_the_balancer_fails_that_request_and_no_other() -> None:
    async def test() -> None:
        def choose_actions(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.request == 1:
                raise RuntimeError("a fault")
            return [api.Refuse(event.request)] if isinstance(event, api.RequestArrived) else []

        engine, balancer = make_engine(choose_actions)
        statuses: list[int] = []
        engine.accept(make_call(engine), lambda status, head, body: statuses.append(status))
        engine.accept(make_call(engine), lambda status, head, body: statuses.append(status))
        assert statuses == [502, 503]
        assert api.RequestGone(1) in balancer.events

    run(test)


def test_response_that_cannot_be_written_still_ends_its_attempt() -> None:
    async def test() -> None:
        class AnsweringTransport:
            exchange = staticmethod(Exchange)

            def start(self, upstream: int, exchange: Exchange, timeout_s: float) -> None:
                engine.loop.call_soon(exchange.finish, api.Outcome.OK, UpstreamResponse(200, b"", b"ok", b""))

        engine, balancer = make_engine(
            lambda event: [api.Send(1, 7)] if isinstance(event, api.RequestArrived) else []
        )
        engine.transport = cast(Any, AnsweringTransport())

        def reply(status: int, head: bytes, body: bytes) -> None:
            raise RuntimeError("a fault")

        engine.accept(make_call(engine), reply)
        while len(balancer.events) < 2:
            await asyncio.sleep(0)
        end = balancer.events[1]
        assert isinstance(end, api.AttemptEnded)
        assert (end.outcome, end.final) == (api.Outcome.OK, True)
        assert not engine.requests

    run(test)


def test_request_that_the_balancer_forgets_is_answered_at_its_deadline() -> None:
    async def test() -> None:
        engine, balancer = make_engine(lambda event: [])
        status_future: asyncio.Future[int] = engine.loop.create_future()
        engine.accept(make_call(engine, 50_000), lambda status, head, body: status_future.set_result(status))
        assert await status_future == 504
        assert balancer.events[-1] == api.RequestGone(1)

    run(test)


def test_each_send_has_one_end_and_none_over_the_limits_is_sent() -> None:
    async def test() -> None:
        def choose_actions(event: api.Event) -> list[api.Action]:
            return [api.Send(1, 7)] * 6 if isinstance(event, api.RequestArrived) else []

        # Upstream 7 is not listed, so nothing can be sent to it.
        engine, balancer = make_engine(choose_actions)
        engine.accept(make_call(engine), lambda status, head, body: None)
        ends = [event for event in balancer.events if isinstance(event, api.AttemptEnded)]
        assert [(end.attempt, end.outcome, end.final) for end in ends] == [
            (n, api.Outcome.NOT_SENT, False) for n in range(6)
        ]

    run(test)


def test_timers_are_never_reported_early() -> None:
    """The balancer ignores a timer that fires early, and would then wait forever."""

    async def test() -> None:
        fired: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        for wait_us in (0, 1, 400, 999, 1400, 2600):
            fired = asyncio.get_running_loop().create_future()
            engine, _ = make_engine(lambda event, fired=fired: fired.set_result(0) or [])  # type: ignore[misc]
            at_us = engine.clock.now_us() + wait_us
            engine.perform(api.SetTimer(at_us, 3))
            await fired
            assert engine.clock.now_us() >= at_us
        # A loop whose clock is ahead of the engine's calls back too early.
        engine, balancer = make_engine(lambda event: [])
        engine.fire_timer(api.SetTimer(engine.clock.now_us() + 60_000_000, 3), is_set=True)
        assert balancer.events == []

    run(test)


class FullTransport:
    """A transport whose write buffer is not empty, as that of a full socket."""

    def __init__(self, buffered_bytes: int) -> None:
        self.buffered_bytes = buffered_bytes
        self.is_aborted = False

    def write(self, data: bytes) -> None: ...

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def is_closing(self) -> bool:
        return self.is_aborted

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0  # otherwise data in the loop's buffer would count as written to the kernel

    def get_extra_info(self, name: str) -> Any:
        return socket.socket()

    def abort(self) -> None:
        self.is_aborted = True


@pytest.mark.parametrize(
    ("buffered_bytes", "is_drained", "lost", "timed_out"),
    [
        (0, False, api.Outcome.RESET, api.Outcome.TIMEOUT),
        (9, False, api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_FAILED),
        (9, True, api.Outcome.RESET, api.Outcome.TIMEOUT),
    ],
)
@pytest.mark.parametrize("connection_end", ["lost", "timed out"])
def test_only_a_request_written_completely_to_the_kernel_may_have_run(
    buffered_bytes: int, is_drained: bool, lost: api.Outcome, timed_out: api.Outcome, connection_end: str
) -> None:
    async def test() -> None:
        pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        upstream = ListedUpstream(api.Upstream(7), ("127.0.0.1", 1))
        pool.update([upstream], is_full_list=True)
        connection = UpstreamConnection(pool, upstream)
        transport = FullTransport(buffered_bytes)
        connection.connection_made(cast(Any, transport))
        outcomes: list[api.Outcome] = []
        exchange = Exchange(lambda: [b"request"], lambda outcome, answer: outcomes.append(outcome))
        connection.begin(exchange)
        if is_drained:
            transport.buffered_bytes = 0
            connection.resume_writing()
        if connection_end == "lost":
            connection.connection_lost(None)
        else:
            exchange.expire()
            connection.connection_lost(None)
        assert outcomes == [lost if connection_end == "lost" else timed_out]

    run(test)


def test_nothing_is_written_for_a_finished_request_or_to_a_draining_upstream() -> None:
    async def test() -> None:
        pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        upstream = ListedUpstream(api.Upstream(7), ("127.0.0.1", 1))
        outcomes: list[api.Outcome] = []
        for state, data in ((api.UpstreamState.READY, None), (api.UpstreamState.DRAINING, b"request")):
            upstream.entry.state = state
            connection = UpstreamConnection(pool, upstream)
            connection.connection_made(cast(Any, FullTransport(0)))
            connection.begin(Exchange(lambda data=data: data, lambda end, answer: outcomes.append(end)))  # type: ignore[misc]
        assert outcomes == [api.Outcome.NOT_SENT] * 2

    run(test)
