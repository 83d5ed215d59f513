"""The engine alone: its contract with the decisions, whatever these do."""

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
from sidecar_proxy.http1.upstream import Connection, Exchange, Pool
from tests.balancer.world import settings

Handle = Callable[[int, api.Event], list[api.Action]]


class NoDiscovery:
    def subscribe(self, active: bool) -> None: ...

    def fetch(self) -> None: ...


class Decisions:
    """In the module's place: notes each event and does as the test says."""

    def __init__(self, act: Callable[[api.Event], list[api.Action]]) -> None:
        self.act = act
        self.events: list[api.Event] = []
        self.inside = False

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        assert not self.inside, "entered again from inside"
        self.inside = True
        try:
            self.events.append(event)
            return self.act(event)
        finally:
            self.inside = False


def engine_of(act: Callable[[api.Event], list[api.Action]]) -> tuple[Engine, Decisions]:
    pool = Pool(connect_s=0.2, idle_s=5.0, most=8)
    engine = Engine(settings(), 1, Clock(), pool, NoDiscovery())
    decisions = Decisions(act)
    engine.balancer = cast(Any, decisions)
    return engine, decisions


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    uvloop.run(asyncio.wait_for(test(), 20.0))


def call(engine: Engine, lasts_us: int = 60_000_000) -> Call:
    return Call(1, engine.clock.now_us() + lasts_us, b"POST /pay/7 HTTP/1.1\r\nContent-Length: 0\r\n", b"")


@pytest.mark.parametrize("answer", [api.Refuse(1, 250_000), api.Fail(1)])
def test_the_first_final_answer_stands(answer: api.Action) -> None:
    async def test() -> None:
        engine, _ = engine_of(lambda event: [answer, api.Fail(1), api.Refuse(1)])
        told: list[tuple[int, bytes]] = []
        engine.accept(call(engine), lambda status, head, body: told.append((status, head)))
        refused = isinstance(answer, api.Refuse)
        assert told == [(503, b"Retry-After: 0.250000\r\n")] if refused else [(502, b"")]
        assert not engine.requests

    run(test)


def test_a_fault_in_the_decisions_fails_that_request_and_no_other() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.request == 1:
                raise RuntimeError("a fault")
            return [api.Refuse(event.request)] if isinstance(event, api.RequestArrived) else []

        engine, decisions = engine_of(act)
        told: list[int] = []
        engine.accept(call(engine), lambda status, head, body: told.append(status))
        engine.accept(call(engine), lambda status, head, body: told.append(status))
        assert told == [502, 503]
        assert api.RequestGone(1) in decisions.events

    run(test)


def test_an_answer_that_cannot_be_written_takes_no_slot_with_it() -> None:
    async def test() -> None:
        class Connections:
            exchange = staticmethod(Exchange)

            def start(self, upstream: int, exchange: Exchange, timeout_s: float) -> None:
                engine.loop.call_soon(exchange.finish, api.Outcome.OK, UpstreamResponse(200, b"", b"ok", b""))

        engine, decisions = engine_of(
            lambda event: [api.Send(1, 7)] if isinstance(event, api.RequestArrived) else []
        )
        engine.transport = cast(Any, Connections())

        def reply(status: int, head: bytes, body: bytes) -> None:
            raise RuntimeError("a fault")

        engine.accept(call(engine), reply)
        while len(decisions.events) < 2:
            await asyncio.sleep(0)
        end = decisions.events[1]
        assert isinstance(end, api.AttemptEnded) and (end.outcome, end.final) == (api.Outcome.OK, True)
        assert not engine.requests

    run(test)


def test_a_request_that_the_decisions_forget_is_answered_at_its_due_time() -> None:
    async def test() -> None:
        engine, decisions = engine_of(lambda event: [])
        told: asyncio.Future[int] = engine.loop.create_future()
        engine.accept(call(engine, 50_000), lambda status, head, body: told.set_result(status))
        assert await told == 504
        assert decisions.events[-1] == api.RequestGone(1)

    run(test)


def test_each_send_has_one_end_and_what_is_over_the_limits_is_not_sent() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            return [api.Send(1, 7)] * 6 if isinstance(event, api.RequestArrived) else []

        engine, decisions = engine_of(act)  # upstream 7 is in no list: it can't be sent to
        engine.accept(call(engine), lambda status, head, body: None)
        ends = [event for event in decisions.events if isinstance(event, api.AttemptEnded)]
        assert [(end.attempt, end.outcome, end.final) for end in ends] == [
            (n, api.Outcome.NOT_SENT, False) for n in range(6)
        ]

    run(test)


def test_timers_never_come_early() -> None:
    """The module passes over a timer that comes before its time, and would wait for ever."""

    async def test() -> None:
        fired: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        for wait_us in (0, 1, 400, 999, 1400, 2600):
            fired = asyncio.get_running_loop().create_future()
            engine, _ = engine_of(lambda event, fired=fired: fired.set_result(0) or [])  # type: ignore[misc]
            at_us = engine.clock.now_us() + wait_us
            engine.perform(api.SetTimer(at_us, 3))
            await fired
            assert engine.clock.now_us() >= at_us
        # a loop whose clock is ahead calls too early
        engine, decisions = engine_of(lambda event: [])
        engine.fire_timer(api.SetTimer(engine.clock.now_us() + 60_000_000, 3), set_already=True)
        assert decisions.events == []

    run(test)


class Wire:
    """A transport that keeps what it is given in its own buffer, as a full socket does."""

    def __init__(self, left: int) -> None:
        self.left, self.closing = left, False

    def write(self, data: bytes) -> None: ...

    def get_write_buffer_size(self) -> int:
        return self.left

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0  # or a write would wait in the loop's buffer and count as written

    def get_extra_info(self, name: str) -> Any:
        return socket.socket()

    def abort(self) -> None:
        self.closing = True


@pytest.mark.parametrize(
    ("left", "drained", "lost", "timed_out"),
    [
        (0, False, api.Outcome.RESET, api.Outcome.TIMEOUT),
        (9, False, api.Outcome.CONNECT_FAILED, api.Outcome.CONNECT_FAILED),
        (9, True, api.Outcome.RESET, api.Outcome.TIMEOUT),
    ],
)
@pytest.mark.parametrize("ends", ["lost", "timed out"])
def test_only_what_the_kernel_has_whole_may_have_run(
    left: int, drained: bool, lost: api.Outcome, timed_out: api.Outcome, ends: str
) -> None:
    async def test() -> None:
        pool = Pool(connect_s=0.2, idle_s=5.0, most=8)
        host = ListedUpstream(api.Upstream(7), ("127.0.0.1", 1))
        pool.update([host], whole=True)
        connection = Connection(pool, host)
        wire = Wire(left)
        connection.connection_made(cast(Any, wire))
        outcomes: list[api.Outcome] = []
        exchange = Exchange(lambda: [b"request"], lambda outcome, answer: outcomes.append(outcome))
        connection.begin(exchange)
        if drained:
            wire.left = 0
            connection.resume_writing()
        if ends == "lost":
            connection.connection_lost(None)
        else:
            exchange.expire()
            connection.connection_lost(None)
        assert outcomes == [lost if ends == "lost" else timed_out]

    run(test)


def test_nothing_is_written_for_a_request_that_is_over_or_to_an_upstream_that_drains() -> None:
    async def test() -> None:
        pool = Pool(connect_s=0.2, idle_s=5.0, most=8)
        host = ListedUpstream(api.Upstream(7), ("127.0.0.1", 1))
        outcomes: list[api.Outcome] = []
        for state, data in ((api.UpstreamState.READY, None), (api.UpstreamState.DRAINING, b"request")):
            host.entry.state = state
            connection = Connection(pool, host)
            connection.connection_made(cast(Any, Wire(0)))
            connection.begin(Exchange(lambda data=data: data, lambda end, answer: outcomes.append(end)))  # type: ignore[misc]
        assert outcomes == [api.Outcome.NOT_SENT] * 2

    run(test)
