"""What discovery reports of an upstream while an operator suspends it counts once the suspension ends."""

from __future__ import annotations

import socket
import threading

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import SLICE_ENTRIES
from tests.admin.admin_sidecar import AdminSidecar
from tests.admin.override_rig import OverrideRig, hosts, run
from tests.sockets import LONG_S, Message, Upstream, answer, eventually

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
