"""What a large fleet does to one real sidecar, on loopback sockets: discovery that is behind, upstreams with
no room for a connection, most of them replaced at once, and a start with a list that has grown old."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import threading
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.sockets import (
    DEPLOY,
    LONG_S,
    ROOT,
    Client,
    Discovery,
    Message,
    Sidecar,
    ThreadedServer,
    Upstream,
    answer,
    eventually,
    settings,
)


def serves(sidecar: Sidecar) -> bool:
    return sidecar.request("POST", "/pay/7", b"x").status == 200


class Behind(Discovery):
    """Does with its first calls what `cuts` says, in turn, and answers the later ones."""

    def __init__(self, hosts: list[dict[str, Any]], cuts: list[bytes]) -> None:
        self.cuts = cuts
        super().__init__(hosts)

    def serve(self, client: socket.socket) -> None:
        if self.cuts:
            cut = self.cuts.pop(0)
            self.calls.append(client.recv(4096).decode().partition("\r\n")[0])
            client.sendall(cut)
            return  # and the connection ends
        super().serve(client)


class Crowded(ThreadedServer):
    """Has no room: takes a connection and closes it at once."""

    def serve(self, client: socket.socket) -> None:
        return


@pytest.mark.parametrize("instances", ["3", "40"])
def test_calls_that_are_cut_off_midway_change_nothing_and_are_made_again(instances: str) -> None:
    whole = b'{"seq":9,"whole":true,"hosts":[]}\n'
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    cuts = [b"", chunked + b"%x\r\n%s" % (len(whole), whole[:20])]  # no answer; half a list that empties it
    with (
        Upstream(body=b"ok") as old,
        Upstream(body=b"ok") as new,
        Behind([new.entry()], cuts) as discovery,
        Sidecar([old], discovery, instances=instances) as sidecar,
    ):
        eventually(lambda: serves(sidecar) and len(discovery.calls) >= 2)
        eventually(lambda: discovery.watches)
        before = len(old.requests)
        eventually(lambda: serves(sidecar) and new.requests)
        assert len(old.requests) <= before + 1  # one may have been on its way when the list came
        told = [line for line in sidecar.log_lines if "discovery: " in line]
        assert 1 <= len(told) <= 2, told


def test_an_upstream_without_room_for_a_connection_costs_no_unsafe_request_twice() -> None:
    with Crowded() as crowded, Upstream(body=b"ok") as free:
        full = free.entry(host="s-crowded", dial=crowded.address)
        with Sidecar([], known=[full, free.entry()], instances="40") as sidecar:
            found = Counter(sidecar.request("POST", "/pay/7", b"%d" % n).status for n in range(40))
            assert eventually(lambda: crowded.accepted)
        assert found[200] >= 30, found  # it is soon avoided
        assert set(found) <= {200, 502, 503}, found
        assert max(Counter(free.bodies()).values()) == 1
        assert len(free.bodies()) == found[200]


def test_a_listed_address_that_nobody_answers_costs_time_and_no_request() -> None:
    """Its backlog is full, so a connection to it never comes up."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as mute, Upstream(body=b"ok") as free:
        waiting = []
        for _ in range(8):  # more than any backlog of 0 holds
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(mute.getsockname())
            waiting.append(one)
        silent = free.entry(host="s-mute", dial=f"127.0.0.1:{mute.getsockname()[1]}")
        with Sidecar([], known=[silent, free.entry()], instances="3") as sidecar:
            start = time.monotonic()
            found = [sidecar.request("POST", "/pay/7", b"%d" % n).status for n in range(20)]
            assert time.monotonic() - start >= 0.14  # the dial's time-out: it was tried
        for one in waiting:
            one.close()
        assert found == [200] * 20  # each went on elsewhere: nothing of it had been written
        assert sorted(free.bodies()) == sorted(b"%d" % n for n in range(20))


def test_six_in_ten_are_replaced_while_each_has_requests_out() -> None:
    go = threading.Event()

    def held(request: Message, client: socket.socket) -> bytes:
        assert go.wait(LONG_S)
        return answer(request.body)

    old = [Upstream(script=held) for _ in range(10)]
    new = [Upstream(script=lambda request, client: answer(request.body)) for _ in range(6)]
    try:
        with Sidecar(old, instances="1") as sidecar:
            eventually(lambda: sidecar.discovery.watches)
            clients = [sidecar.client() for _ in range(10)]
            for n, client in enumerate(clients):
                client.send("POST", "/pay/7", b"held %d" % n)
            eventually(lambda: sum(len(one.requests) for one in old) == len(clients))
            sidecar.discovery.send_changes(
                *[one.entry(health="terminating") for one in old[:6]], *[one.entry() for one in new]
            )
            go.set()
            for n, client in enumerate(clients):
                found = client.read()
                assert found is not None and (found.status, found.body) == (200, b"held %d" % n)
                client.close()
            eventually(
                lambda: (
                    sidecar.request("POST", "/pay/7", b"probe").status == 200
                    and any(one.requests for one in new)
                )
            )
            before = [len(one.requests) for one in old[:6]]
            more: list[Client] = [sidecar.client() for _ in range(3)]
            for n in range(30):
                assert more[n % 3].request("POST", "/pay/7", b"later %d" % n).status == 200
            for client in more:
                client.close()
            assert [len(one.requests) for one in old[:6]] == before  # rule 3
        bodies = Counter(body for one in [*old, *new] for body in one.bodies() if body != b"probe")
        assert set(bodies.values()) == {1} and len(bodies) == 40  # rule 2
    finally:
        go.set()
        for one in [*old, *new]:
            one.__exit__()


@pytest.mark.parametrize("instances", ["3", "40"])
def test_a_start_with_a_list_that_has_grown_old_or_is_empty(instances: str) -> None:
    with Upstream() as gone, Upstream(body=b"ok") as new:
        gone.__exit__()
        for known in ([], [gone.entry()]):
            with (
                Discovery([new.entry()]) as discovery,
                Sidecar([], discovery, known=known, instances=instances) as sidecar,
            ):
                first = sidecar.request("POST", "/pay/7", b"x")
                assert first.status in (200, 502, 503, 504)  # answered, whatever is known
                eventually(partial(serves, sidecar))
        assert max(Counter(request.headers["req-id"] for request in new.requests).values()) == 1


def test_a_start_with_a_malformed_list_is_told_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(
            {
                "settings": settings(instances="40"),
                "seed": "1f",
                "limits": {"sockets": 64},
                "known": {"seq": 1, "whole": True, "hosts": [{"host": 5}]},
            }
        )
    )
    env = os.environ | {
        "PROXY_NAME": "n0",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_CONFIG": str(file),
        "PROXY_DISCOVERY": "127.0.0.1:1",
    }
    done = subprocess.run(
        ["/bin/sh", "-c", str(DEPLOY["run"])],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "known" in done.stderr, done.stderr
