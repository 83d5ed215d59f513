"""A second process takes over from the first through an inherited socket, without losing requests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from functools import partial
from typing import Any, cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import ConnectionPool, Exchange
from tests.admin.admin_sidecar import AdminSidecar
from tests.sockets import LONG_S, Client, Discovery, Message, Upstream, answer, eventually

NO_ANSWER = 0  # stands in place of a status where the connection ended without an answer


class ClientThread(threading.Thread):
    """A client that keeps its connection, and opens another one when the sidecar has closed it."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.stopped = threading.Event()
        self.statuses: list[int] = []
        self.start()

    def run(self) -> None:
        client = Client(self.address)
        while not self.stopped.is_set():
            status, is_closed = self.request(client)
            if is_closed:  # HTTP allows closing an idle connection, so the request is sent again
                client.close()
                client = Client(self.address)
                status, is_closed = self.request(client)
            self.statuses.append(status)
            if is_closed and status != NO_ANSWER:
                client.close()
                client = Client(self.address)
        client.close()

    def request(self, client: Client) -> tuple[int, bool]:
        """Return the status, and whether the connection has ended with it."""
        with contextlib.suppress(OSError):
            client.send("POST", "/pay/7", b"x")
            response = client.read()
            if response is not None:
                return response.status, response.headers.get("connection") == "close"
        return NO_ANSWER, True


def count_answers(clients: list[ClientThread]) -> int:
    return sum(len(client.statuses) for client in clients)


def has_more_answers_than(clients: list[ClientThread], count: int) -> bool:
    return count_answers(clients) > count


def test_every_request_under_load_is_answered_during_two_hot_restarts(
    listener: socket.socket, shared_folder: str
) -> None:
    with Upstream() as first, Upstream() as second, contextlib.ExitStack() as stack:
        upstreams = [first, second]
        old = stack.enter_context(AdminSidecar(upstreams, shared_folder, listener=listener))
        clients = [ClientThread(old.address) for _ in range(3)]
        for _ in range(2):
            new = stack.enter_context(AdminSidecar(upstreams, shared_folder, listener=listener))
            assert new.call("STATUS") == "done"
            answers_before = count_answers(clients)
            assert old.stop() == 0, old.log_lines
            eventually(partial(has_more_answers_than, clients, answers_before + 50))
            old = new
        for client in clients:
            client.stopped.set()
            client.join(LONG_S)
        statuses = [status for client in clients for status in client.statuses]
        assert NO_ANSWER not in statuses
        assert statuses.count(200) >= 0.9 * len(statuses)
        request_ids = [request.headers["req-id"] for request in first.requests + second.requests]
        assert len(request_ids) == len(set(request_ids))


def test_successor_in_a_large_fleet_polls_the_endpoint_list_at_once(
    listener: socket.socket, shared_folder: str
) -> None:
    """First polls of a large fleet are spread over 5 s; a successor must know of drains before that."""
    with (
        Upstream() as first,
        Upstream() as second,
        Discovery([first.entry(), second.entry(health="terminating")]) as discovery,
    ):
        upstreams = [first, second]
        options: dict[str, Any] = {"discovery": discovery, "listener": listener, "instances": "400"}
        with AdminSidecar(upstreams, shared_folder, **options) as old:
            eventually(lambda: len(discovery.watches) == 1)
            successor = AdminSidecar(upstreams, shared_folder, **options)
            successor.config["seed"] = "0000000000000002"  # would delay its first poll by 4.8 s
            with successor as new:
                assert old.stop() == 0
                requests_before = len(second.requests)
                assert [new.request("POST", "/pay/7", b"x").status for _ in range(20)] == [200] * 20
                assert len(second.requests) == requests_before
                assert len(discovery.calls) == 2


def test_old_process_finishes_requests_in_flight_and_accepts_no_new_ones(
    listener: socket.socket, shared_folder: str, release: threading.Event
) -> None:
    def script(request: Message, client: socket.socket) -> bytes:
        if request.body == b"hold":
            release.wait(LONG_S)
        return answer(b"ok")

    with (
        Upstream(script=script) as first,
        Upstream(script=script) as second,
        AdminSidecar([first, second], shared_folder, listener=listener) as old,
    ):
        busy, idle = old.client(), old.client()
        assert idle.request("GET", "/read/7").status == 200
        busy.send("POST", "/pay/7", b"hold")
        eventually(
            lambda: [request for request in first.requests + second.requests if request.body == b"hold"]
        )
        with AdminSidecar([first, second], shared_folder, listener=listener) as new:
            stopping = threading.Thread(target=old.stop)
            stopping.start()
            assert idle.read() is None  # closed at once, as the successor serves
            assert new.request("GET", "/read/7").status == 200
            release.set()
            response = busy.read()
            assert response is not None
            assert response.status == 200
            assert response.headers["connection"] == "close"
            stopping.join(LONG_S)
            assert old.process.returncode == 0
            assert new.request("GET", "/ready").status == 200
        busy.close()
        idle.close()


def test_request_that_cannot_finish_before_the_kill_is_answered_504(
    listener: socket.socket, shared_folder: str, release: threading.Event
) -> None:
    def script(request: Message, client: socket.socket) -> bytes:
        release.wait(LONG_S)
        return answer(b"late")

    with (
        Upstream(script=script) as upstream,
        AdminSidecar([upstream], shared_folder, listener=listener) as old,
    ):
        client = old.client()
        client.send("POST", "/pay/7", b"x", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        stopped_at_s = time.monotonic()
        assert old.stop() == 0
        response = client.read()
        assert response is not None
        assert response.status == 504
        assert time.monotonic() - stopped_at_s < 14.0  # the request's deadline is later
        release.set()
        client.close()


class DrainedSidecar(AdminSidecar):
    """A sidecar process that starts drained."""

    ready_status = 503


def readiness(sidecar: AdminSidecar, count: int = 20) -> set[int]:
    """Return the answers to GET /ready of whichever process accepts each of the connections."""
    return {sidecar.request("GET", "/ready").status for _ in range(count)}


# Guards against clients that are sent to a drained sidecar: its successor reported ready.
def test_drain_holds_over_a_hot_restart_until_it_is_ended(
    upstream: Upstream, listener: socket.socket, shared_folder: str
) -> None:
    with AdminSidecar([upstream], shared_folder, listener=listener) as first:
        assert first.call("PAUSE") == "done"
        with DrainedSidecar([upstream], shared_folder, listener=listener) as second:
            assert first.stop() == 0
            assert readiness(second) == {503}
            with DrainedSidecar([upstream], shared_folder, listener=listener) as third:
                assert second.stop() == 0
                assert readiness(third) == {503}
                assert third.request("GET", "/read/7").status == 200  # a drained sidecar serves who comes
                assert third.call("RESUME") == "done"
                assert readiness(third) == {200}


def test_drain_and_its_end_reach_both_processes_of_a_hot_restart(
    upstream: Upstream, listener: socket.socket, shared_folder: str
) -> None:
    with (
        AdminSidecar([upstream], shared_folder, listener=listener) as old,
        AdminSidecar([upstream], shared_folder, listener=listener) as new,
    ):
        assert old.call("PAUSE") == "done"
        eventually(lambda: readiness(new) == {503})
        assert new.call("RESUME") == "done"
        eventually(lambda: readiness(new) == {200})
        assert new.call("PAUSE") == "done"
        eventually(lambda: readiness(new) == {503})
        assert old.stop() == 0
        assert readiness(new) == {503}


def test_drain_ends_with_the_last_process_of_the_sidecar(
    upstream: Upstream, listener: socket.socket, shared_folder: str
) -> None:
    with AdminSidecar([upstream], shared_folder, listener=listener) as old:
        assert old.call("PAUSE") == "done"
        old.process.kill()
        old.process.wait(LONG_S)
    with AdminSidecar([upstream], shared_folder, listener=listener) as new:
        assert readiness(new) == {200}
        with AdminSidecar([upstream], shared_folder, listener=listener) as successor:
            assert new.stop() == 0
            assert readiness(successor) == {200}


class BlockedDiscovery(Discovery):
    """A discovery server that answers polls only after `released` is set."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.released = threading.Event()
        super().__init__(hosts)

    def send_chunk(self, client: socket.socket, data: bytes) -> None:
        self.released.wait(LONG_S)
        super().send_chunk(client, data)


def test_successor_reports_ready_only_once_its_endpoint_list_shows_draining_upstreams(
    first_upstream: Upstream, second_upstream: Upstream, listener: socket.socket, shared_folder: str
) -> None:
    upstreams = [first_upstream, second_upstream]
    entries = [first_upstream.entry(health="terminating"), second_upstream.entry()]
    with (
        AdminSidecar(upstreams, shared_folder, listener=listener) as old,
        BlockedDiscovery(entries) as discovery,
    ):
        new = AdminSidecar(
            upstreams,
            shared_folder,
            discovery=discovery,
            listener=listener,
            known=[upstream.entry() for upstream in upstreams],
        )
        starting = threading.Thread(target=new.__enter__)
        starting.start()
        try:
            eventually(lambda: discovery.calls)
            assert new.call("STATUS").startswith("error")
            discovery.released.set()
            starting.join(LONG_S)
            assert new.call("STATUS") == "done"
            old.stop()
            requests_before = len(first_upstream.requests)
            assert {new.request("GET", "/read/7").body for _ in range(20)} == {b"two"}
            assert len(first_upstream.requests) == requests_before
        finally:
            discovery.released.set()
            starting.join(LONG_S)
            new.__exit__()


def test_successor_waits_for_an_endpoint_list_only_for_a_bounded_time(
    first_upstream: Upstream, listener: socket.socket, shared_folder: str
) -> None:
    with (
        AdminSidecar([first_upstream], shared_folder, listener=listener),
        BlockedDiscovery([first_upstream.entry()]) as discovery,
        AdminSidecar([first_upstream], shared_folder, discovery=discovery, listener=listener) as new,
    ):
        assert new.call("STATUS") == "done"
        assert not discovery.released.is_set()
        discovery.released.set()


def test_connection_pool_uses_half_of_its_limit_while_there_are_two_processes() -> None:
    async def check_pool() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        pool = ConnectionPool(connect_timeout_s=5.0, idle_timeout_s=60.0, max_connections=8)
        upstream = ListedUpstream(api.Upstream(7), server.sockets[0].getsockname())
        pool.update([upstream], is_full_list=True)
        for _ in range(8):
            exchange = Exchange(lambda: None, lambda outcome, answer: None)
            pool.start(7, exchange, 5.0)
        while len(pool.idle) < 8:
            await asyncio.sleep(0)
        pool.halve_connection_limit(True)
        while pool.open_connections > 4:
            await asyncio.sleep(0)
        assert len(pool.idle) == 4
        assert pool.max_connections == 4
        pool.halve_connection_limit(False)
        assert pool.max_connections == 8
        pool.close()
        server.close()

    uvloop.run(cast(Any, asyncio.wait_for(check_pool(), LONG_S)))
