"""A second process takes over while the first serves: by an inherited socket, nothing lost between them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, cast

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import Exchange, Pool
from tests.admin.rig import Doored
from tests.sockets import LONG_S, Client, Discovery, Message, Upstream, answer, eventually


@contextmanager
def platform() -> Iterator[tuple[socket.socket, str]]:
    """The clients' listening socket and the folder that all processes of the sidecar share."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener, folder


class Caller(threading.Thread):
    """A client that keeps its connection, and opens another one where the sidecar has closed it."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.done = threading.Event()
        self.found: list[int] = []  # statuses; 0 = the connection ended with no answer
        self.start()

    def run(self) -> None:
        client = Client(self.address)
        while not self.done.is_set():
            status = self.ask(client)
            if status <= 0:  # PROTOCOL: an idle connection may be closed; the request is sent once more
                client.close()
                client = Client(self.address)
                status = self.ask(client)
            self.found.append(status)
            if status < 0:
                client.close()
                client = Client(self.address)
        client.close()

    def ask(self, client: Client) -> int:
        with contextlib.suppress(OSError):
            client.send("POST", "/pay/7", b"x")
            found = client.read()
            if found is not None:
                return -found.status if found.headers.get("connection") == "close" else found.status
        return 0


def test_under_load_every_request_is_answered_while_one_process_follows_another() -> None:
    with Upstream() as one, Upstream() as two, platform() as (listener, folder):
        old = Doored([one, two], folder, listener=listener)
        with old, contextlib.ExitStack() as stack:
            callers = [Caller(old.address) for _ in range(3)]
            for _ in range(2):
                new = stack.enter_context(Doored([one, two], folder, listener=listener))
                assert new.call("STATUS") == "done"
                before = sum(len(caller.found) for caller in callers)
                assert old.stop() == 0, old.lines
                eventually(
                    lambda before=before: (
                        sum(  # type: ignore[misc]
                            len(caller.found) for caller in callers
                        )
                        > before + 50
                    )
                )
                old = new
            for caller in callers:
                caller.done.set()
                caller.join(LONG_S)
            statuses = [abs(status) for caller in callers for status in caller.found]
            assert 0 not in statuses and statuses.count(200) >= 0.9 * len(statuses)
            ids = [request.headers["req-id"] for request in one.requests + two.requests]
            assert len(ids) == len(set(ids))


def test_a_process_that_follows_another_of_a_large_fleet_asks_for_its_list_at_once() -> None:
    """A fleet's first calls are spread over 5 s; a drain that was told must bind it all the same."""
    with (
        Upstream() as one,
        Upstream() as two,
        platform() as (listener, folder),
        Discovery([one.entry(), two.entry(health="terminating")]) as discovery,
        Doored([one, two], folder, discovery=discovery, listener=listener, instances="400") as old,
    ):
        eventually(lambda: len(discovery.watches) == 1)
        late = Doored([one, two], folder, discovery=discovery, listener=listener, instances="400")
        late.config["seed"] = "0000000000000002"  # by its dice its turn would come after 4.8 s
        with late as new:
            assert old.stop() == 0
            before = len(two.requests)
            assert [new.request("POST", "/pay/7", b"x").status for _ in range(20)] == [200] * 20
            assert len(two.requests) == before and len(discovery.calls) == 2


def test_the_old_process_finishes_what_it_has_and_takes_nothing_new() -> None:
    held = threading.Event()

    def script(request: Message, client: socket.socket) -> bytes:
        if request.body == b"hold":
            held.wait(LONG_S)
        return answer(b"ok")

    with (
        Upstream(script=script) as one,
        Upstream(script=script) as two,
        platform() as (listener, folder),
        Doored([one, two], folder, listener=listener) as old,
    ):
        client, idle = old.client(), old.client()
        assert idle.request("GET", "/read/7").status == 200
        client.send("POST", "/pay/7", b"hold")
        eventually(lambda: [r for r in one.requests + two.requests if r.body == b"hold"])
        with Doored([one, two], folder, listener=listener) as new:
            ender = threading.Thread(target=old.stop)
            ender.start()
            assert idle.read() is None  # it is let go at once: the new process is there
            assert new.request("GET", "/read/7").status == 200
            held.set()
            found = client.read()
            assert found is not None and found.status == 200 and found.headers["connection"] == "close"
            ender.join(LONG_S)
            assert old.process.returncode == 0
            assert new.request("GET", "/ready").status == 200
        client.close()
        idle.close()


def test_what_can_not_be_finished_before_the_kill_is_answered_and_not_left() -> None:
    held = threading.Event()

    def script(request: Message, client: socket.socket) -> bytes:
        held.wait(LONG_S)
        return answer(b"late")

    with (
        Upstream(script=script) as upstream,
        platform() as (listener, folder),
        Doored([upstream], folder, listener=listener) as old,
    ):
        client = old.client()
        client.send("POST", "/pay/7", b"x", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        began = time.monotonic()
        assert old.stop() == 0
        found = client.read()
        assert found is not None and found.status == 504
        assert time.monotonic() - began < 14.0  # its deadline is later
        held.set()
        client.close()


class Late(Discovery):
    """Answers calls once it is told to."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.free = threading.Event()
        super().__init__(hosts)

    def line(self, client: socket.socket, data: bytes) -> None:
        self.free.wait(LONG_S)
        super().line(client, data)


def test_a_successor_says_yes_once_it_has_the_list_and_so_knows_who_drains() -> None:
    with (
        Upstream(b"one") as one,
        Upstream(b"two") as two,
        platform() as (listener, folder),
        Doored([one, two], folder, listener=listener) as old,
        Late([one.entry(health="terminating"), two.entry()]) as discovery,
    ):
        second = Doored(
            [one, two], folder, discovery=discovery, listener=listener, known=[one.entry(), two.entry()]
        )
        entering = threading.Thread(target=second.__enter__)
        entering.start()
        try:
            eventually(lambda: discovery.calls)
            assert second.call("STATUS").startswith("error")
            discovery.free.set()
            entering.join(LONG_S)
            assert second.call("STATUS") == "done"
            old.stop()
            before = len(one.requests)
            assert {second.request("GET", "/read/7").body for _ in range(20)} == {b"two"}
            assert len(one.requests) == before
        finally:
            discovery.free.set()
            entering.join(LONG_S)
            second.__exit__()


def test_a_successor_does_not_wait_for_a_list_for_good() -> None:
    with (
        Upstream(b"one") as one,
        platform() as (listener, folder),
        Doored([one], folder, listener=listener),
        Late([one.entry()]) as discovery,
        Doored([one], folder, discovery=discovery, listener=listener) as new,
    ):
        assert new.call("STATUS") == "done" and not discovery.free.is_set()
        discovery.free.set()


def test_a_pool_keeps_to_half_while_there_are_two_processes() -> None:
    async def test() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        pool = Pool(connect_s=5.0, idle_s=60.0, most=8)
        host = ListedUpstream(api.Upstream(7), server.sockets[0].getsockname())
        pool.update([host], whole=True)
        for _ in range(8):
            done = Exchange(lambda: None, lambda outcome, answer: None)
            pool.start(7, done, 5.0)
        while len(pool.idle) < 8:
            await asyncio.sleep(0)
        pool.shrink(True)
        while pool.open > 4:
            await asyncio.sleep(0)
        assert len(pool.idle) == 4 and pool.most == 4
        pool.shrink(False)
        assert pool.most == 8
        pool.close()
        server.close()

    uvloop.run(cast(Any, asyncio.wait_for(test(), LONG_S)))
