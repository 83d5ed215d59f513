"""The admin server of a sidecar process: the answer to each command, and its effect on requests."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import Counter

import pytest

from sidecar_proxy.engine.metrics import OUTCOMES, outcome_index
from tests.admin.admin_sidecar import AdminSidecar, send_command
from tests.sockets import LONG_S, Discovery, Message, Upstream, answer, eventually


def test_status_is_done_and_an_unknown_command_is_an_error(sidecar: AdminSidecar) -> None:
    assert sidecar.call("STATUS") == "done"
    assert sidecar.call("status\r") == "done"
    for line in ("", "NOTHING", "\x00\xff", "SUSPEND", "SUSPEND nobody", "RESTORE nobody", "x" * 5000):
        assert sidecar.call(line).startswith("error"), line
    with socket.create_connection(sidecar.admin_address, timeout=LONG_S) as connection:
        connection.sendall(b"STATUS")  # the end of input ends the line as a line break does
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(100) == b"done\n"


def test_silent_connections_do_not_block_other_clients(sidecar: AdminSidecar) -> None:
    with contextlib.ExitStack() as stack:
        for number in range(100):
            connection = stack.enter_context(socket.create_connection(sidecar.admin_address, timeout=LONG_S))
            connection.sendall(b"STAT" if number % 2 else b"")
        assert sidecar.call("STATUS") == "done"
        assert sidecar.request("GET", "/read/7").status == 200


# Guards against counters that differ from what clients received, also where an upstream does not respond.
def test_metrics_count_what_clients_received(shared_folder: str, release: threading.Event) -> None:
    received: Counter[str] = Counter()

    def script(request: Message, client: socket.socket) -> bytes | None:
        if request.body == b"hold" or len(upstream.requests) == 1:
            release.wait(LONG_S)
        return None if request.body == b"fail" else answer(b"ok")

    def status_of(method: str, path: str, body: bytes, request_class: str) -> int:
        status = sidecar.request(method, path, body).status
        received[f"app.{OUTCOMES[outcome_index(status)]}.{request_class}"] += 1
        return status

    with Upstream(script=script) as upstream, AdminSidecar([upstream], shared_folder) as sidecar:
        assert status_of("GET", "/read/7", b"", "read") == 503  # nor does a busy machine respond in time
        while received["app.completed.read"] < 3:
            assert status_of("GET", "/read/7", b"", "read") in (200, 503)
        while not received["app.failed.pay"]:
            assert status_of("POST", "/pay/7", b"fail", "pay") in (502, 503)
        while not received["app.completed.pay"]:
            assert status_of("POST", "/pay/7", b"x", "pay") in (200, 503)
        assert sidecar.request("GET", "/nowhere").status == 404
        client = sidecar.client()
        client.send("POST", "/pay/7", b"hold")
        eventually(lambda: upstream.bodies()[-1] == b"hold")
        assert {name: value for name, value in sidecar.metrics().items() if value} == {
            **received,
            "app.upstream_requests": len(upstream.requests),
            "app.pending": 1,
            "app.members": 1,
        }
        assert (received["app.completed.read"], received["app.failed.pay"]) == (3, 1)
        release.set()
        assert client.read() is not None
        assert sidecar.metrics()["app.pending"] == 0
        client.close()


def test_suspended_upstream_gets_no_request_whatever_the_list_says_until_it_is_restored(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    upstreams = [first_upstream, second_upstream]
    with (
        Discovery([upstream.entry() for upstream in upstreams]) as discovery,
        AdminSidecar(upstreams, shared_folder, discovery=discovery) as sidecar,
    ):
        while not (first_upstream.requests and second_upstream.requests):
            assert sidecar.request("GET", "/read/7").status == 200
        for _ in range(2):
            assert sidecar.call(f"SUSPEND {first_upstream.name}") == "done"
        requests_before = len(first_upstream.requests)
        # healthy, restarted, removed and listed again
        for changes in ({}, {"born_ms": 5}, {"health": "terminated"}, {"health": "in_service"}):
            discovery.send_changes(first_upstream.entry(**changes))
            for _ in range(10):
                assert sidecar.request("GET", "/read/7").body == b"two"
        metrics = sidecar.metrics()
        assert (metrics["app.members"], metrics["app.members_unavailable"]) == (2, 1)
        assert len(first_upstream.requests) == requests_before
        assert sidecar.call(f"RESTORE {first_upstream.name}") == "done"
        eventually(lambda: sidecar.request("GET", "/read/7").body == b"one")
        assert sidecar.metrics()["app.members_unavailable"] == 0


def test_draining_upstream_gets_no_request_after_its_restore(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    upstreams = [first_upstream, second_upstream]
    with (
        Discovery([upstream.entry() for upstream in upstreams]) as discovery,
        AdminSidecar(upstreams, shared_folder, discovery=discovery) as sidecar,
    ):
        sidecar.call(f"SUSPEND {first_upstream.name}")
        discovery.send_changes(first_upstream.entry(health="terminating"))
        sidecar.call(f"RESTORE {first_upstream.name}")
        sidecar.call("STATUS")
        eventually(lambda: sidecar.metrics()["app.members_unavailable"] == 1)
        assert {sidecar.request("GET", "/read/7").body for _ in range(20)} == {b"two"}


def test_suspension_holds_for_the_next_process_with_the_same_folder(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    upstreams = [first_upstream, second_upstream]
    with AdminSidecar(upstreams, shared_folder) as sidecar:
        assert sidecar.call(f"SUSPEND {first_upstream.name}") == "done"
    requests_before = len(first_upstream.requests)
    with AdminSidecar(upstreams, shared_folder) as sidecar:
        for _ in range(20):
            assert sidecar.request("GET", "/read/7").body == b"two"
        assert len(first_upstream.requests) == requests_before
        assert sidecar.call(f"RESTORE {first_upstream.name}") == "done"
        eventually(lambda: sidecar.request("GET", "/read/7").body == b"one")


def test_two_processes_of_one_sidecar_share_their_suspensions(
    first_upstream: Upstream, second_upstream: Upstream, shared_folder: str
) -> None:
    upstreams = [first_upstream, second_upstream]
    with AdminSidecar(upstreams, shared_folder) as old, AdminSidecar(upstreams, shared_folder) as new:
        assert old.call(f"SUSPEND {first_upstream.name}") == "done"
        eventually(lambda: new.metrics()["app.members_unavailable"] == 1)
        assert {new.request("GET", "/read/7").body for _ in range(20)} == {b"two"}
        assert new.call(f"RESTORE {first_upstream.name}") == "done"
        eventually(lambda: old.metrics()["app.members_unavailable"] == 0)


def test_paused_sidecar_closes_idle_connections_and_answers_requests_in_flight(
    shared_folder: str, release: threading.Event
) -> None:
    def script(request: Message, client: socket.socket) -> bytes:
        if request.body == b"hold":
            release.wait(LONG_S)
        return answer(b"ok")

    with Upstream(script=script) as upstream, AdminSidecar([upstream], shared_folder) as sidecar:
        idle, busy, silent = sidecar.client(), sidecar.client(), sidecar.client()
        assert idle.request("GET", "/read/7").status == 200
        busy.send("POST", "/pay/7", b"hold")
        eventually(lambda: len(upstream.requests) == 2)
        for _ in range(2):
            assert sidecar.call("PAUSE") == "done"
        assert sidecar.request("GET", "/ready").status == 503
        assert idle.read() is None
        assert silent.read() is None
        release.set()
        response = busy.read()
        assert response is not None
        assert response.status == 200
        assert response.headers["connection"] == "close"
        # a client that connects during the drain gets one answer
        late = sidecar.client()
        assert late.request("GET", "/read/7").headers["connection"] == "close"
        assert sidecar.call("STATUS") == "done"
        for _ in range(2):
            assert sidecar.call("RESUME") == "done"
        assert sidecar.request("GET", "/ready").status == 200
        after_resume = sidecar.client()
        assert "connection" not in after_resume.request("GET", "/read/7").headers
        for client in (idle, busy, silent, late, after_resume):
            client.close()


def test_paused_sidecar_ends_on_sigterm(sidecar: AdminSidecar) -> None:
    sidecar.call("PAUSE")
    assert sidecar.stop() == 0


def test_nothing_listens_without_the_admin_setting(upstream: Upstream, shared_folder: str) -> None:
    with (
        AdminSidecar([upstream], shared_folder, env={"PROXY_MGMT": ""}) as sidecar,
        pytest.raises(ConnectionRefusedError),
    ):
        send_command(sidecar.admin_address, "STATUS")
