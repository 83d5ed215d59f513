"""The door for operators on a real sidecar: every call's answer, and what it does to requests."""

from __future__ import annotations

import contextlib
import socket
import tempfile
import threading

from tests.admin.rig import Doored, call, doored
from tests.sockets import LONG_S, Discovery, Message, Upstream, answer, eventually


def test_status_and_whatever_is_no_call() -> None:
    with Upstream() as upstream, doored(upstream) as sidecar:
        assert sidecar.call("STATUS") == "done"
        assert sidecar.call("status\r") == "done"
        for bad in ("", "NOTHING", "\x00\xff", "SUSPEND", "SUSPEND nobody", "RESTORE nobody", "x" * 5000):
            assert sidecar.call(bad).startswith("error"), bad
        with socket.create_connection(sidecar.door, timeout=LONG_S) as one:
            one.sendall(b"STATUS")  # no line break, but no more follows
            one.shutdown(socket.SHUT_WR)
            assert one.recv(100) == b"done\n"


def test_callers_that_say_nothing_or_half_a_call_keep_nobody_out() -> None:
    with Upstream() as upstream, doored(upstream) as sidecar, contextlib.ExitStack() as stack:
        for number in range(100):
            one = stack.enter_context(socket.create_connection(sidecar.door, timeout=LONG_S))
            one.sendall(b"STAT" if number % 2 else b"")
        assert sidecar.call("STATUS") == "done"
        assert sidecar.request("GET", "/read/7").status == 200


def test_figures_tell_what_clients_were_told() -> None:
    held = threading.Event()

    def script(request: Message, client: socket.socket) -> bytes | None:
        if request.body == b"hold":
            held.wait(LONG_S)
        return None if request.body == b"fail" else answer(b"ok")

    with Upstream(script=script) as upstream, doored(upstream) as sidecar:
        for _ in range(3):
            assert sidecar.request("GET", "/read/7").status == 200
        assert sidecar.request("POST", "/pay/7", b"fail").status == 502
        assert sidecar.request("GET", "/nowhere").status == 404
        client = sidecar.client()
        client.send("POST", "/pay/7", b"hold")
        eventually(lambda: len(upstream.requests) == 5)
        found = sidecar.figures()
        assert {name: value for name, value in found.items() if value} == {
            "app.completed.read": 3,
            "app.failed.pay": 1,
            "app.upstream_requests": 5,
            "app.pending": 1,
            "app.members": 1,
        }
        held.set()
        assert client.read() is not None
        assert sidecar.figures()["app.pending"] == 0
        client.close()


def test_a_suspended_upstream_gets_nothing_whatever_the_list_says_until_it_is_restored() -> None:
    with (
        Upstream(b"one") as one,
        Upstream(b"two") as two,
        Discovery([one.entry(), two.entry()]) as discovery,
        doored(one, two, discovery=discovery) as s,
    ):
        while not (one.requests and two.requests):
            assert s.request("GET", "/read/7").status == 200
        assert s.call(f"SUSPEND {one.name}") == "done" == s.call(f"SUSPEND {one.name}")
        before = len(one.requests)
        # the list says it is well, says so of a new start, and lists it anew
        for changed in ({}, {"born_ms": 5}, {"health": "terminated"}, {"health": "in_service"}):
            discovery.tell(one.entry(**changed))
            for _ in range(10):
                assert s.request("GET", "/read/7").body == b"two"
        found = s.figures()
        assert (found["app.members"], found["app.members_unavailable"]) == (2, 1)
        assert len(one.requests) == before
        assert s.call(f"RESTORE {one.name}") == "done"
        eventually(lambda: s.request("GET", "/read/7").body == b"one")
        assert s.figures()["app.members_unavailable"] == 0


def test_a_draining_upstream_is_not_put_to_work_by_its_restore() -> None:
    with (
        Upstream(b"one") as one,
        Upstream(b"two") as two,
        Discovery([one.entry(), two.entry()]) as discovery,
        doored(one, two, discovery=discovery) as s,
    ):
        s.call(f"SUSPEND {one.name}")
        discovery.tell(one.entry(health="terminating"))
        s.call(f"RESTORE {one.name}")
        s.call("STATUS")
        eventually(lambda: s.figures()["app.members_unavailable"] == 1)
        assert {s.request("GET", "/read/7").body for _ in range(20)} == {b"two"}


def test_a_suspension_holds_for_the_next_process_with_the_same_folder() -> None:
    with Upstream(b"one") as one, Upstream(b"two") as two, tempfile.TemporaryDirectory() as folder:
        with Doored([one, two], folder) as sidecar:
            assert sidecar.call(f"SUSPEND {one.name}") == "done"
        before = len(one.requests)
        with Doored([one, two], folder) as sidecar:
            for _ in range(20):
                assert sidecar.request("GET", "/read/7").body == b"two"
            assert len(one.requests) == before
            assert sidecar.call(f"RESTORE {one.name}") == "done"
            eventually(lambda: sidecar.request("GET", "/read/7").body == b"one")


def test_two_processes_of_one_sidecar_hold_to_the_same_suspensions() -> None:
    with (
        Upstream(b"one") as one,
        Upstream(b"two") as two,
        tempfile.TemporaryDirectory() as folder,
        Doored([one, two], folder) as old,
        Doored([one, two], folder) as new,
    ):
        assert old.call(f"SUSPEND {one.name}") == "done"
        eventually(lambda: new.figures()["app.members_unavailable"] == 1)
        assert {new.request("GET", "/read/7").body for _ in range(20)} == {b"two"}
        assert new.call(f"RESTORE {one.name}") == "done"
        eventually(lambda: old.figures()["app.members_unavailable"] == 0)


def test_a_paused_sidecar_lets_its_clients_go_and_answers_what_it_has_taken() -> None:
    held = threading.Event()

    def script(request: Message, client: socket.socket) -> bytes:
        if request.body == b"hold":
            held.wait(LONG_S)
        return answer(b"ok")

    with Upstream(script=script) as upstream, doored(upstream) as sidecar:
        idle, busy, silent = sidecar.client(), sidecar.client(), sidecar.client()
        assert idle.request("GET", "/read/7").status == 200
        busy.send("POST", "/pay/7", b"hold")
        eventually(lambda: len(upstream.requests) == 2)
        assert sidecar.call("PAUSE") == "done" == sidecar.call("PAUSE")
        assert sidecar.request("GET", "/ready").status == 503
        assert idle.read() is None and silent.read() is None
        held.set()
        found = busy.read()
        assert found is not None and found.status == 200 and found.headers["connection"] == "close"
        # who still comes is served, once
        late = sidecar.client()
        assert late.request("GET", "/read/7").headers["connection"] == "close"
        assert sidecar.call("STATUS") == "done"
        assert sidecar.call("RESUME") == "done" == sidecar.call("RESUME")
        assert sidecar.request("GET", "/ready").status == 200
        again = sidecar.client()
        assert "connection" not in again.request("GET", "/read/7").headers
        for client in (idle, busy, silent, late, again):
            client.close()


def test_a_sidecar_that_is_paused_ends_on_sigterm() -> None:
    with Upstream() as upstream, doored(upstream) as sidecar:
        sidecar.call("PAUSE")
        assert sidecar.stop() == 0


def test_without_the_setting_there_is_no_door() -> None:
    with Upstream() as upstream, doored(upstream, env={"PROXY_MGMT": ""}) as sidecar:
        try:
            call(sidecar.door, "STATUS")
        except ConnectionRefusedError:
            return
        raise AssertionError("something listens")
