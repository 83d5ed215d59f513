"""Discovery on real sockets: what is told is followed, and what breaks is asked for again."""

from __future__ import annotations

import asyncio
import json
import signal
import threading

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient as Watcher
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.http1.upstream import ConnectionPool, Exchange
from tests.balancer.harness import settings
from tests.sockets import LONG_S, Discovery, Message, Sidecar, Upstream, answer, eventually


def served_by(sidecar: Sidecar, upstream: Upstream) -> bool:
    before = len(upstream.requests)
    return sidecar.request("POST", "/pay/7", b"x").status == 200 and len(upstream.requests) > before


def test_the_watch_starts_from_the_known_version_and_a_line_may_come_in_pieces() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert served_by(sidecar, old)
        assert eventually(lambda: sidecar.discovery.calls)[0] == "GET /v1/endpoints?stream=1&index=1 HTTP/1.1"
        sidecar.discovery.send_changes(new.entry(), pieces=9)
        eventually(lambda: served_by(sidecar, new))
        sidecar.discovery.send_changes(old.entry(health="terminating"))
        eventually(lambda: not served_by(sidecar, old))
        before = len(old.requests)
        for _ in range(10):
            assert served_by(sidecar, new)
        assert len(old.requests) == before  # rule 3


def test_a_gone_upstream_needs_no_address() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old, new]) as sidecar:
        sidecar.discovery.send_changes(old.entry(health="terminated", dial=""))
        eventually(lambda: not served_by(sidecar, old))
        assert served_by(sidecar, new)


def test_an_upstream_that_moved_is_reached_at_its_new_address() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert served_by(sidecar, old)
        sidecar.discovery.send_changes(old.entry(dial=new.address))
        eventually(lambda: served_by(sidecar, new))


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json\n",
        b'HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n{"seq":9,"whole":true,"hosts":[{"x":1}\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{"seq":9,"whole":true,"hosts":[3]}\n',
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnull\n",
    ],
)
def test_a_failed_call_leaves_the_old_list_and_is_made_again(reply: bytes) -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Discovery([]) as discovery:
        discovery.reply = reply
        discovery.hosts = [new.entry()]
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.log_lines if "discovery: " in line])
            assert served_by(sidecar, old)
            eventually(lambda: len(discovery.calls) >= 2)
            discovery.reply = None
            eventually(lambda: served_by(sidecar, new))


def test_a_watch_that_ends_is_taken_up_where_it_was() -> None:
    with Upstream(body=b"ok") as one, Upstream(body=b"ok") as two, Sidecar([one]) as sidecar:
        sidecar.discovery.send_changes(two.entry())
        eventually(lambda: served_by(sidecar, two))
        sidecar.discovery.close_connections()
        eventually(lambda: "GET /v1/endpoints?stream=1&index=2 HTTP/1.1" in sidecar.discovery.calls)


def test_a_silent_watch_is_given_up_and_asked_again() -> None:
    """Two heartbeats and a little: what it does not tell counts as told after 6 s."""
    with Upstream(body=b"ok") as one, Sidecar([one]) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        eventually(lambda: len(sidecar.discovery.calls) >= 2)
        assert [line for line in sidecar.log_lines if "silence" in line]


def test_an_empty_line_alone_answers_the_call() -> None:
    """Otherwise a quiet watch would count as lost, and be asked for over and over."""
    with Upstream(body=b"ok") as one, Discovery([]) as discovery:
        discovery.reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
        with Sidecar([one], discovery) as sidecar:
            eventually(lambda: discovery.calls)
            assert served_by(sidecar, one)
            assert len(discovery.calls) == 1 and not [
                line for line in sidecar.log_lines if "bad list" in line
            ]


def test_a_new_configuration_moves_the_watch_and_the_old_version_does_not_go_along() -> None:
    """Unhandled, SIGHUP ends the program."""
    with (
        Upstream(body=b"ok") as old,
        Upstream(body=b"ok") as new,
        Discovery([new.entry()]) as second,
        Sidecar([old]) as sidecar,
    ):
        eventually(lambda: sidecar.discovery.watches)
        changed = json.dumps(sidecar.config | {"discovery": second.address})
        for _ in range(3):
            sidecar.reload(changed)
        eventually(lambda: served_by(sidecar, new))
        assert second.calls[0] == "GET /v1/endpoints?stream=1&index=0 HTTP/1.1"
        watched = sidecar.discovery.watches[0]
        eventually(lambda: watched.fileno() == -1)  # the old watch is ended
        assert not served_by(sidecar, old)
        sidecar.reload(changed)  # nothing has changed: the watch stays
        eventually(lambda: len([line for line in sidecar.log_lines if "is read again" in line]) >= 2)
        assert len(second.calls) == 1 and sidecar.stop() == 0


def test_a_bad_new_configuration_is_logged_and_the_old_one_stays() -> None:
    with Upstream(body=b"ok") as one, Upstream(body=b"ok") as two, Sidecar([one]) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        sidecar.reload("{")
        eventually(lambda: [line for line in sidecar.log_lines if "is not taken" in line])
        sidecar.discovery.send_changes(two.entry())
        eventually(lambda: served_by(sidecar, two))
        assert len(sidecar.discovery.calls) == 1


def test_a_new_configuration_during_a_planned_stop_is_harmless() -> None:
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        release.wait(LONG_S)
        return answer(b"ok")

    with (
        Upstream(script=script) as upstream,
        Discovery([upstream.entry()]) as second,
        Sidecar([upstream]) as sidecar,
    ):
        client = sidecar.client()
        client.send("POST", "/pay/1", b"x", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        sidecar.process.terminate()
        sidecar.reload(json.dumps(sidecar.config | {"discovery": second.address}))
        eventually(lambda: second.calls)
        release.set()
        found = client.read()
        assert found is not None and found.status == 200
        while sidecar.process.poll() is None:
            sidecar.process.send_signal(signal.SIGHUP)
        assert sidecar.process.returncode == 0


def test_upstreams_that_are_gone_are_forgotten_and_a_name_may_come_back() -> None:
    async def test() -> None:
        told = settings()
        pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        directory = EndpointDirectory(told)
        discovery = Watcher(("127.0.0.1", 1), directory, 0, pushed=False)
        discovery.sink = engine = Engine(told, 1, Clock(), pool, discovery)

        def tell(name: str, health: str) -> int:
            entry = {"host": name, "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": health}
            discovery.told(json.dumps({"seq": 1, "whole": False, "hosts": [entry]}).encode())
            return directory.numbers.get(name, 0)

        for number in range(50):
            tell(f"s-{number}", "in_service")
            tell(f"s-{number}", "terminated")
        kept = (directory.numbers, directory.names, pool.upstreams, engine.balancer.endpoints)
        assert [len(one) for one in kept] == [0, 0, 0, 0]
        # while something is out to it, it is kept: its end must find it
        ident = tell("s-busy", "in_service")
        ends: list[api.Outcome] = []
        host = pool.upstreams[ident]
        pool.start(ident, Exchange(lambda: [b""], lambda outcome, answer: ends.append(outcome)), 5.0)
        tell("s-busy", "terminated")
        assert pool.upstreams == {ident: host} and tell("s-busy", "in_service") == ident
        tell("s-busy", "terminated")
        while not ends or pool.upstreams:
            await asyncio.sleep(0)
        assert ends == [api.Outcome.CONNECT_FAILED] and pool.open_connections == 0
        discovery.close()

    asyncio.run(asyncio.wait_for(test(), LONG_S))


def test_a_discovery_whose_head_never_ends_is_a_failed_call() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Discovery([new.entry()]) as discovery:
        discovery.reply = b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.log_lines if "a head too long" in line])
            discovery.reply = None
            eventually(lambda: served_by(sidecar, new))
