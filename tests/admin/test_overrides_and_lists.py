"""What discovery reports of an upstream while an operator suspends it counts once the suspension ends."""

from __future__ import annotations

import socket
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import SLICE_ENTRIES
from sidecar_proxy.engine.address import parse_address
from tests.admin.admin_sidecar import AdminSidecar
from tests.admin.override_rig import OverrideRig, hosts, run
from tests.sockets import LONG_S, Message, Upstream, answer, eventually
from tests.test_listing import entry

READY, DRAINING, GONE = api.UpstreamState.READY, api.UpstreamState.DRAINING, api.UpstreamState.GONE
SMALL = 3  # applied in one event
LARGE = SLICE_ENTRIES + 6  # compared with the previous list, and applied in slices
TERMINATING = {"health": "terminating"}


def bodies(sidecar: AdminSidecar, count: int = 20) -> set[bytes]:
    return {sidecar.request("GET", "/read/7").body for _ in range(count)}


@pytest.mark.parametrize("count", [SMALL, LARGE])
# Guards against new requests to a draining upstream: a drain in a large list was ignored during a suspension.
def test_a_drain_in_a_complete_list_during_a_suspension_counts_after_it(count: int) -> None:
    async def test() -> None:
        rig = OverrideRig()
        await rig.send_list(hosts(count))
        rig.suspend("s-1")
        await rig.send_list_of_new_watch(hosts(count, s_1=TERMINATING))
        assert rig.state("s-1") is DRAINING
        rig.restore("s-1")
        assert rig.state("s-1") is DRAINING
        rig.close()

    run(test)


# Guards against the same failure on sockets, where the complete list begins a new watch after a reset.
def test_a_suspended_upstream_that_drains_in_a_large_list_gets_no_requests_after_restore(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    crowd = [second_upstream.entry(host=f"s-crowd-{n}", health="terminating") for n in range(LARGE)]
    with (
        Upstream(b"three") as new_upstream,
        AdminSidecar(
            [],
            shared_folder,
            known=[first_upstream.entry(), second_upstream.entry(), *crowd],
        ) as sidecar,
    ):
        eventually(lambda: bodies(sidecar) == {b"one", b"two"})
        assert sidecar.call(f"SUSPEND {first_upstream.name}") == "done"
        assert bodies(sidecar) == {b"two"}
        sidecar.discovery.hosts = [
            first_upstream.entry(**TERMINATING),
            second_upstream.entry(),
            new_upstream.entry(),
            *crowd,
        ]
        sidecar.discovery.watches.clear()
        sidecar.discovery.close_connections()
        eventually(lambda: b"three" in bodies(sidecar))  # the list is applied: drains come before joins
        assert sidecar.call(f"RESTORE {first_upstream.name}") == "done"
        assert bodies(sidecar, 40) == {b"two", b"three"}
        sidecar.discovery.send_changes(first_upstream.entry())
        eventually(lambda: b"one" in bodies(sidecar))


@pytest.mark.parametrize("count", [SMALL, LARGE])
# Guards against new requests to a removed upstream: RESTORE undid its removal while a request was in flight.
def test_an_upstream_that_a_complete_list_removes_stays_removed_after_a_suspension(count: int) -> None:
    async def test() -> None:
        rig = OverrideRig()
        await rig.send_list(hosts(count))
        rig.upstream("s-1").open_connections += 1  # a request is in flight, so the pool keeps the upstream
        rig.suspend("s-1")
        await rig.send_list([host for host in hosts(count) if host["host"] != "s-1"])
        assert rig.state("s-1") is GONE
        rig.restore("s-1")
        assert rig.state("s-1") is GONE
        rig.suspend("s-1")
        assert rig.state("s-1") is GONE
        rig.restore("s-1")
        assert rig.state("s-1") is GONE
        rig.close()

    run(test)


# Guards against the same failure on sockets: the request in flight is real.
def test_a_removed_upstream_with_a_request_in_flight_gets_no_requests_after_restore(
    second_upstream: Upstream, shared_folder: str, release: threading.Event
) -> None:
    def withhold(request: Message, client: socket.socket) -> bytes:
        if request.body == b"hold":
            release.wait(LONG_S)
        return answer(b"one")

    with Upstream(script=withhold) as removed, AdminSidecar([removed], shared_folder) as sidecar:
        client = sidecar.client()
        client.send("POST", "/pay/7", b"hold", Req_Deadline="15.0")
        eventually(lambda: removed.requests)
        sidecar.discovery.hosts = [second_upstream.entry()]
        sidecar.discovery.watches.clear()
        sidecar.discovery.close_connections()
        eventually(lambda: bodies(sidecar, 1) == {b"two"})
        assert sidecar.call(f"SUSPEND {removed.name}") == "done"
        assert sidecar.call(f"RESTORE {removed.name}") == "done"
        assert bodies(sidecar, 40) == {b"two"}
        release.set()
        response = client.read()
        assert response is not None
        assert response.body == b"one"
        client.close()


@dataclass(frozen=True)
class Report:
    """What discovery reports of s-1 during a hold, and what applies once the hold ends."""

    fields: dict[str, Any]
    state: api.UpstreamState


REPORTS = {
    "ready": Report({}, READY),
    "draining": Report(TERMINATING, DRAINING),
    "removed": Report({"health": "terminated"}, GONE),
    "restarted": Report({"born_ms": 7}, READY),
    "moved": Report({"dial": "127.0.0.1:9"}, READY),
}
Delivery = Callable[[OverrideRig, int, dict[str, Any]], Awaitable[None]]


def listed(count: int, fields: dict[str, Any]) -> list[dict[str, Any]]:
    """Return a complete list with these changes of s-1, or without it if it is removed."""
    return [host for host in hosts(count, s_1=fields) if host["health"] != "terminated"]


async def by_change(rig: OverrideRig, _: int, fields: dict[str, Any]) -> None:
    await rig.send_changes(entry(1, **fields))


async def by_list(rig: OverrideRig, count: int, fields: dict[str, Any]) -> None:
    await rig.send_list(listed(count, fields))


async def by_list_of_new_watch(rig: OverrideRig, count: int, fields: dict[str, Any]) -> None:
    await rig.send_list_of_new_watch(listed(count, fields))


async def by_reload(rig: OverrideRig, count: int, fields: dict[str, Any]) -> None:
    await rig.reload(listed(count, fields))


async def by_list_then_change(rig: OverrideRig, count: int, fields: dict[str, Any]) -> None:
    await rig.send_list(listed(count, TERMINATING))
    await rig.send_changes(entry(1, **fields))


DELIVERIES: list[Delivery] = [by_change, by_list, by_list_of_new_watch, by_reload, by_list_then_change]


def each_pair(test: Callable[..., None]) -> Callable[..., None]:
    """Run a test for each report, way of delivery, length of the list, and with and without a merge."""
    for mark in (
        pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS),
        pytest.mark.parametrize("deliver", DELIVERIES, ids=lambda delivery: delivery.__name__),
        pytest.mark.parametrize("count", [SMALL, LARGE]),
        pytest.mark.parametrize("sources", [None, ("etcd",)], ids=["platform", "merged"]),
        pytest.mark.parametrize("in_flight", [0, 1]),
    ):
        test = mark(test)
    return test


def check_report(rig: OverrideRig, report: Report) -> None:
    """Check that exactly what discovery has reported applies."""
    assert rig.state("s-1") is report.state
    if report.state is not GONE:
        assert rig.upstream("s-1").entry.started_us == report.fields.get("born_ms", 0) * 1000
        assert rig.upstream("s-1").address == parse_address(entry(1, **report.fields)["dial"])


@each_pair
# Guards against a hold that hides or changes what discovery reports of the upstream meanwhile.
def test_after_a_hold_exactly_the_last_report_applies(
    report: Report, deliver: Delivery, count: int, sources: tuple[str, ...] | None, in_flight: int
) -> None:
    async def test() -> None:
        rig = OverrideRig(sources=sources)
        await rig.send_cached_list(hosts(count))
        rig.upstream("s-1").open_connections += in_flight
        rig.suspend("s-1")
        assert rig.state("s-1") is DRAINING
        await deliver(rig, count, report.fields)
        assert rig.state("s-1") is (GONE if report.state is GONE else DRAINING)
        rig.restore("s-1")
        check_report(rig, report)
        rig.suspend("s-1")
        assert rig.state("s-1") is not READY
        rig.restore("s-1")
        check_report(rig, report)
        rig.close()

    run(test)


@pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS)
@pytest.mark.parametrize("count", [SMALL, LARGE])
@pytest.mark.parametrize("sources", [None, ("etcd",)], ids=["platform", "merged"])
# Guards against a successor that loses a hold, or what the first list says beyond its cached one.
def test_a_successor_keeps_a_hold_over_its_cached_and_its_first_list(
    report: Report, count: int, sources: tuple[str, ...] | None
) -> None:
    async def test() -> None:
        rig = OverrideRig(frozenset({"s-1"}), sources)
        await rig.send_cached_list(hosts(count))
        assert rig.state("s-1") is DRAINING
        await rig.send_list_of_new_watch(listed(count, report.fields))
        assert rig.state("s-1") is (GONE if report.state is GONE else DRAINING)
        rig.restore("s-1")
        check_report(rig, report)
        rig.close()

    run(test)


@pytest.mark.parametrize("report", REPORTS.values(), ids=REPORTS)
@pytest.mark.parametrize("count", [SMALL, LARGE])
# Guards against a hold that hides the report of one source behind that of the other.
def test_after_a_hold_the_merge_of_both_sources_applies(report: Report, count: int) -> None:
    async def test() -> None:
        rig = OverrideRig(sources=("etcd",))
        await rig.send_cached_list(hosts(count))
        await rig.send_changes_of_source("etcd", entry(1, born_ms=0))
        rig.suspend("s-1")
        await rig.send_list(listed(count, TERMINATING))
        await rig.send_changes_of_source("etcd", entry(1, **report.fields))
        assert rig.state("s-1") is not READY
        rig.restore("s-1")
        restarted = report.fields.get("born_ms", 0) > 0
        assert rig.state("s-1") is (READY if restarted else DRAINING)
        rig.close()

    run(test)


@each_pair
# Guards against a drain of the fleet that outlives a restart, or ends without one.
def test_a_drain_of_the_fleet_applies_to_the_start_that_it_names(
    report: Report, deliver: Delivery, count: int, sources: tuple[str, ...] | None, in_flight: int
) -> None:
    async def test() -> None:
        rig = OverrideRig(sources=sources)
        await rig.send_cached_list(hosts(count))
        rig.upstream("s-1").open_connections += in_flight
        rig.overrides.replace_source("fleet", {"s-1": 999})
        await deliver(rig, count, report.fields)
        is_restarted = report.fields.get("born_ms", 0) > 0
        if not is_restarted:
            assert rig.state("s-1") is (GONE if report.state is GONE else DRAINING)
        else:
            check_report(rig, report)
        rig.overrides.replace_source("fleet", {})
        check_report(rig, report)
        rig.close()

    run(test)


# Guards against a suspension that is not applied: the name of an upstream that was listed again was lost.
def test_an_upstream_that_is_listed_again_in_a_large_list_can_be_suspended() -> None:
    async def test() -> None:
        rig = OverrideRig()
        await rig.send_list(hosts(LARGE))
        removed = rig.upstream("s-1")
        rig.pool.open_connections += 1
        removed.open_connections += 1
        await rig.send_changes(entry(1, health="terminated"))
        rig.pool.connection_closed(removed)  # the pool forgets the upstream; its name is still known
        await rig.send_list(hosts(LARGE, s_1={"born_ms": 7}, s_2=TERMINATING))  # the drain is applied first
        assert rig.state("s-1") is READY
        rig.suspend("s-1")
        assert rig.state("s-1") is DRAINING
        rig.restore("s-1")
        assert rig.state("s-1") is READY
        rig.close()

    run(test)
