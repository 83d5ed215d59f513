"""Faults of large fleets against one real sidecar on loopback sockets.

Truncated discovery replies, upstreams that accept no connections, most upstreams replaced at once, and a
start with an outdated list.
"""

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
    Listener,
    Message,
    Sidecar,
    Upstream,
    answer,
    eventually,
    settings,
)


def is_serving(sidecar: Sidecar) -> bool:
    return sidecar.request("POST", "/pay/7", b"x").status == 200


class FaultyDiscovery(Discovery):
    """Answers its first calls with the truncated replies, in turn, and the later ones completely."""

    def __init__(self, hosts: list[dict[str, Any]], truncated_replies: list[bytes]) -> None:
        self.truncated_replies = truncated_replies
        super().__init__(hosts)

    def serve(self, client: socket.socket) -> None:
        if self.truncated_replies:
            reply = self.truncated_replies.pop(0)
            self.calls.append(client.recv(4096).decode().partition("\r\n")[0])
            client.sendall(reply)
            return  # which closes the connection
        super().serve(client)


class ClosingListener(Listener):
    """Accepts a connection and closes it at once, as an upstream without free descriptors does."""

    def serve(self, client: socket.socket) -> None:
        return


@pytest.mark.parametrize("instances", ["3", "40"])
def test_truncated_discovery_replies_change_nothing_and_the_calls_are_repeated(instances: str) -> None:
    whole = b'{"seq":9,"whole":true,"hosts":[]}\n'
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    truncated_replies = [
        b"",  # no reply
        chunked + b"%x\r\n%s" % (len(whole), whole[:20]),  # a part of a complete list that has no entries
    ]
    with (
        Upstream(body=b"ok") as old,
        Upstream(body=b"ok") as new,
        FaultyDiscovery([new.entry()], truncated_replies) as discovery,
        Sidecar([old], discovery, instances=instances) as sidecar,
    ):
        eventually(lambda: is_serving(sidecar) and len(discovery.calls) >= 2)
        eventually(lambda: discovery.watches)
        before = len(old.requests)
        eventually(lambda: is_serving(sidecar) and new.requests)
        assert len(old.requests) <= before + 1  # one may have been in flight when the list arrived
        warnings = [line for line in sidecar.lines if "discovery: " in line]
        assert 1 <= len(warnings) <= 2, warnings


def test_an_upstream_that_closes_connections_causes_no_unsafe_request_to_run_twice() -> None:
    with ClosingListener() as closing, Upstream(body=b"ok") as free:
        full = free.entry(host="s-crowded", dial=closing.address)
        with Sidecar([], known=[full, free.entry()], instances="40") as sidecar:
            statuses = Counter(sidecar.request("POST", "/pay/7", b"%d" % n).status for n in range(40))
            assert eventually(lambda: closing.accepted)
        assert statuses[200] >= 30, statuses  # the upstream is soon avoided
        assert set(statuses) <= {200, 502, 503}, statuses
        assert max(Counter(free.bodies()).values()) == 1
        assert len(free.bodies()) == statuses[200]


def test_an_upstream_that_accepts_no_connections_delays_requests_and_fails_none() -> None:
    """The listen backlog of the upstream is full, so a connection to it is never established."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full_listener, Upstream(body=b"ok") as free:
        blockers = []
        for _ in range(8):  # more than a backlog of 0 takes
            blocker = socket.socket()
            blocker.setblocking(False)
            blocker.connect_ex(full_listener.getsockname())
            blockers.append(blocker)
        unreachable = free.entry(host="s-mute", dial=f"127.0.0.1:{full_listener.getsockname()[1]}")
        with Sidecar([], known=[unreachable, free.entry()], instances="3") as sidecar:
            start = time.monotonic()
            statuses = [sidecar.request("POST", "/pay/7", b"%d" % n).status for n in range(20)]
            assert time.monotonic() - start >= 0.14  # the connect timeout, so the upstream was tried
        for blocker in blockers:
            blocker.close()
        assert statuses == [200] * 20  # retried on the other upstream: no byte of them had been written
        assert sorted(free.bodies()) == sorted(b"%d" % n for n in range(20))


def test_six_of_ten_upstreams_are_replaced_while_each_has_a_request_in_flight() -> None:
    release = threading.Event()

    def delayed_answer(request: Message, client: socket.socket) -> bytes:
        assert release.wait(LONG_S)
        return answer(request.body)

    old = [Upstream(script=delayed_answer) for _ in range(10)]
    new = [Upstream(script=lambda request, client: answer(request.body)) for _ in range(6)]
    try:
        with Sidecar(old, instances="1") as sidecar:
            eventually(lambda: sidecar.discovery.watches)
            clients = [sidecar.client() for _ in range(10)]
            for n, client in enumerate(clients):
                client.send("POST", "/pay/7", b"held %d" % n)
            eventually(lambda: sum(len(one.requests) for one in old) == len(clients))
            sidecar.discovery.tell(
                *[one.entry(health="terminating") for one in old[:6]], *[one.entry() for one in new]
            )
            release.set()
            for n, client in enumerate(clients):
                response = client.read()
                assert response is not None and (response.status, response.body) == (200, b"held %d" % n)
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
        release.set()
        for one in [*old, *new]:
            one.__exit__()


@pytest.mark.parametrize("instances", ["3", "40"])
def test_a_start_with_an_outdated_or_empty_list(instances: str) -> None:
    with Upstream() as gone, Upstream(body=b"ok") as new:
        gone.__exit__()
        for known in ([], [gone.entry()]):
            with (
                Discovery([new.entry()]) as discovery,
                Sidecar([], discovery, known=known, instances=instances) as sidecar,
            ):
                first = sidecar.request("POST", "/pay/7", b"x")
                assert first.status in (200, 502, 503, 504)  # answered, whatever upstreams are known
                eventually(partial(is_serving, sidecar))
        assert max(Counter(request.headers["req-id"] for request in new.requests).values()) == 1


def test_a_start_with_a_malformed_list_fails_with_one_line(tmp_path: Path) -> None:
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
    completed = subprocess.run(
        ["/bin/sh", "-c", str(DEPLOY["run"])],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    assert (
        completed.returncode == 2 and len(completed.stderr.splitlines()) == 1 and "known" in completed.stderr
    ), completed.stderr
