"""The wiring of the overload controller, with stand-ins for the engine and the gossip transport."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from sidecar_proxy.admin.server import AdminServer
from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Overload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.gossip.instance import SubsystemMessage
from sidecar_proxy.gossip.subsystem import GossipSubsystem
from sidecar_proxy.overload_control import messages
from sidecar_proxy.overload_control.messages import LeaseRequest, LeaseReturn
from sidecar_proxy.overload_control.subsystem import OverloadControlSubsystem
from tests.overload_control.reports import make_report

START_US = 10_000_000


@dataclass
class StubClock:
    us: int = START_US
    base_ns: int = 0

    def now_us(self) -> int:
        return self.us


class StubGossip:
    """Records the broadcasts and the messages that are sent."""

    name = "s0"

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[SubsystemMessage], None]] = {}
        self.broadcasts: list[bytes] = []
        self.sent: list[tuple[str, bytes]] = []

    def broadcast(self, topic: str, body: bytes) -> None:
        assert topic == messages.TOPIC
        self.broadcasts.append(body)

    def send_message(self, name: str, topic: str, body: bytes) -> None:
        assert topic == messages.TOPIC
        self.sent.append((name, body))


@dataclass
class StubEngine:
    """Records the events for the balancer."""

    loop: asyncio.AbstractEventLoop
    settings: api.Settings
    clock: StubClock = field(default_factory=StubClock)
    fleet_observer: OverloadControlSubsystem | None = None
    balancer: Any = field(default_factory=lambda: SimpleNamespace(entries={}))
    events: list[api.Event] = field(default_factory=list)

    def dispatch(self, event: api.Event) -> None:
        self.events.append(event)


@dataclass
class Wiring:
    """A subsystem with stand-ins for its collaborators."""

    engine: StubEngine
    gossip: StubGossip
    commands: dict[str, Callable[[str], str]]
    subsystem: OverloadControlSubsystem

    def deliver(self, author: str, body: bytes, is_direct: bool, is_departure: bool = False) -> None:
        message = SubsystemMessage(author, messages.TOPIC, body, is_direct, is_departure)
        self.gossip.listeners[messages.TOPIC](message)


@pytest.fixture
def wiring() -> Iterator[Wiring]:
    loop = asyncio.new_event_loop()
    classes = [api.RequestClass("only", 300_000, 1_000_000, 1.0)]
    engine = StubEngine(loop, api.Settings(classes, instances=2, self_index=0))
    gossip = StubGossip()
    commands: dict[str, Callable[[str], str]] = {}
    subsystem = OverloadControlSubsystem(
        Overload(enabled=True, trace=True),
        cast(Engine, engine),
        cast(GossipSubsystem, gossip),
        1,
        cast(AdminServer, SimpleNamespace(commands=commands)),
    )
    subsystem.start()
    yield Wiring(engine, gossip, commands, subsystem)
    subsystem.close()
    loop.close()


@pytest.fixture
def log_lines(caplog: pytest.LogCaptureFixture) -> Callable[[], list[str]]:
    """Returns a function that returns the log lines so far."""
    caplog.set_level(logging.INFO, logger="sidecar_proxy")
    return lambda: [record.getMessage() for record in caplog.records]


def stub_call() -> Call:
    return cast(Call, SimpleNamespace(class_index=0, key=7, is_retry=False))


def test_started_subsystem_counts_requests_until_it_is_closed(wiring: Wiring) -> None:
    assert wiring.engine.fleet_observer is wiring.subsystem
    assert messages.TOPIC in wiring.gossip.listeners
    wiring.subsystem.close()
    assert wiring.engine.fleet_observer is None
    assert messages.TOPIC not in wiring.gossip.listeners


def test_events_of_the_engine_are_counted(wiring: Wiring) -> None:
    load = wiring.subsystem.controller.load
    assert wiring.subsystem.request_arrived(stub_call()) == 0
    wiring.subsystem.request_rejected(stub_call(), 0, False)
    wiring.subsystem.attempt_ended(0, api.Outcome.OK, 50_000)
    wiring.subsystem.attempt_ended(0, api.Outcome.ERROR, 50_000)
    assert load.attempts.count == 1
    assert load.capacity_rejections.count == 1
    assert load.classes[0].served.count == 1


@pytest.mark.parametrize("event", ["arrived", "refused"])
def test_internal_error_turns_overload_control_off_and_fails_no_request(
    wiring: Wiring,
    monkeypatch: pytest.MonkeyPatch,
    log_lines: Callable[[], list[str]],
    event: str,
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("injected")

    monkeypatch.setattr(wiring.subsystem.controller, "record_arrival", fail)
    monkeypatch.setattr(wiring.subsystem.controller, "record_rejection", fail)
    if event == "arrived":
        assert wiring.subsystem.request_arrived(stub_call()) == 0
    else:
        wiring.subsystem.request_rejected(stub_call(), 0, False)
    assert wiring.engine.fleet_observer is None
    assert log_lines() == ["overload: overload control is off after an internal error"]


def test_lease_request_is_answered_to_its_author(wiring: Wiring) -> None:
    wiring.deliver("s1", messages.encode(LeaseRequest(7, 1, 100_000, 0)), is_direct=True)
    ((recipient, body),) = wiring.gossip.sent
    assert recipient == "s1"
    assert messages.decode(body) == messages.LeaseGrant(7, 1, 0)  # the quota is not usable yet


def test_report_is_recorded_and_removed_once_its_author_is_dead(wiring: Wiring) -> None:
    wiring.deliver("s1", messages.encode(make_report(1)), is_direct=False)
    assert list(wiring.subsystem.controller.peers.by_name) == ["s1"]
    wiring.deliver("s1", b"", is_direct=False, is_departure=True)
    assert wiring.subsystem.controller.peers.by_name == {}


@pytest.mark.parametrize(
    ("body", "is_direct", "line"),
    [
        pytest.param(
            messages.encode(make_report(1)),
            True,
            "s1: a report to one sidecar, or a lease message to all",
            id="report to one",
        ),
        pytest.param(
            messages.encode(LeaseReturn(7)),
            False,
            "s1: a report to one sidecar, or a lease message to all",
            id="lease message to all",
        ),
        pytest.param(b"", True, "s1: Input data was truncated", id="malformed"),
    ],
)
def test_invalid_message_is_logged_and_has_no_effect(
    wiring: Wiring, log_lines: Callable[[], list[str]], body: bytes, is_direct: bool, line: str
) -> None:
    wiring.deliver("s1", body, is_direct)
    assert log_lines() == [f"overload: 1 messages rejected, the last from {line}"]
    assert len(wiring.subsystem.controller.peers) == 0
    assert wiring.gossip.sent == []


def test_many_invalid_messages_are_logged_in_one_line(
    wiring: Wiring, log_lines: Callable[[], list[str]]
) -> None:
    for _ in range(50):
        wiring.deliver("s1", b"", is_direct=True)
    assert len(log_lines()) == 1
    assert wiring.subsystem.rejected_messages == 50


def test_tick_updates_the_balancer_and_traces_the_quota(
    wiring: Wiring, log_lines: Callable[[], list[str]]
) -> None:
    wiring.engine.clock.us += 5_000_000
    wiring.subsystem._tick()
    (update,) = wiring.engine.events
    assert isinstance(update, api.OverloadUpdated)
    assert update.budget_share == 0.5
    assert "said lease 15000000 [500000, []]" in log_lines()
    assert len(wiring.gossip.broadcasts) == 1
    assert isinstance(messages.decode(wiring.gossip.broadcasts[0]), messages.Report)
    assert any(line.startswith('said overload 15000000 {"tries_per_s": ') for line in log_lines())


def test_admin_command_answers_one_line_of_json_and_an_end(wiring: Wiring) -> None:
    answer, end = wiring.commands["OVERLOAD"]("").split("\n")
    assert json.loads(answer)["index"] == 0
    assert end == "end"
