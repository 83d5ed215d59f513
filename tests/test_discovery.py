"""Platform discovery on real sockets: lists and changes are applied, and failed calls are repeated."""

from __future__ import annotations

import asyncio
import json
import signal
import threading

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.http1.upstream import Exchange, Pool
from tests.balancer.harness import settings
from tests.sockets import LONG_S, Discovery, Message, Sidecar, Upstream, answer, eventually


def is_served_by(sidecar: Sidecar, upstream: Upstream) -> bool:
    before = len(upstream.requests)
    return sidecar.request("POST", "/pay/7", b"x").status == 200 and len(upstream.requests) > before


def test_the_watch_starts_from_the_known_version_and_a_line_may_arrive_in_pieces() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert is_served_by(sidecar, old)
        assert eventually(lambda: sidecar.discovery.calls)[0] == "GET /v1/endpoints?stream=1&index=1 HTTP/1.1"
        sidecar.discovery.tell(new.entry(), pieces=9)
        eventually(lambda: is_served_by(sidecar, new))
        sidecar.discovery.tell(old.entry(health="terminating"))
        eventually(lambda: not is_served_by(sidecar, old))
        before = len(old.requests)
        for _ in range(10):
            assert is_served_by(sidecar, new)
        assert len(old.requests) == before  # rule 3


def test_a_gone_upstream_needs_no_address() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old, new]) as sidecar:
        sidecar.discovery.tell(old.entry(health="terminated", dial=""))
        eventually(lambda: not is_served_by(sidecar, old))
        assert is_served_by(sidecar, new)


def test_an_upstream_with_a_changed_address_is_reached_at_the_new_one() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert is_served_by(sidecar, old)
        sidecar.discovery.tell(old.entry(dial=new.address))
        eventually(lambda: is_served_by(sidecar, new))


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
def test_a_failed_call_leaves_the_old_list_in_use_and_is_repeated(reply: bytes) -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Discovery([]) as discovery:
        discovery.reply = reply
        discovery.hosts = [new.entry()]
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.lines if "discovery: " in line])
            assert is_served_by(sidecar, old)
            eventually(lambda: len(discovery.calls) >= 2)
            discovery.reply = None
            eventually(lambda: is_served_by(sidecar, new))


def test_a_watch_that_ends_is_resumed_from_its_last_version() -> None:
    with Upstream(body=b"ok") as one, Upstream(body=b"ok") as two, Sidecar([one]) as sidecar:
        sidecar.discovery.tell(two.entry())
        eventually(lambda: is_served_by(sidecar, two))
        sidecar.discovery.hang_up()
        eventually(lambda: "GET /v1/endpoints?stream=1&index=2 HTTP/1.1" in sidecar.discovery.calls)


def test_a_silent_watch_is_closed_and_opened_again() -> None:
    """What a silent watch fails to deliver counts as delivered after 6 s."""
    with Upstream(body=b"ok") as one, Sidecar([one]) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        eventually(lambda: len(sidecar.discovery.calls) >= 2)
        assert [line for line in sidecar.lines if "idle timeout" in line]


def test_an_empty_line_alone_answers_the_call() -> None:
    """Otherwise a watch without changes would count as lost and be opened over and over."""
    with Upstream(body=b"ok") as one, Discovery([]) as discovery:
        discovery.reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
        with Sidecar([one], discovery) as sidecar:
            eventually(lambda: discovery.calls)
            assert is_served_by(sidecar, one)
            assert len(discovery.calls) == 1 and not [
                line for line in sidecar.lines if "endpoint list rejected" in line
            ]


def test_a_reload_moves_the_watch_to_the_new_address_without_the_old_version() -> None:
    """Without a handler, SIGHUP would end the process."""
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
        eventually(lambda: is_served_by(sidecar, new))
        assert second.calls[0] == "GET /v1/endpoints?stream=1&index=0 HTTP/1.1"
        old_watch = sidecar.discovery.watches[0]
        eventually(lambda: old_watch.fileno() == -1)
        assert not is_served_by(sidecar, old)
        sidecar.reload(changed)  # nothing has changed: the watch stays
        eventually(lambda: len([line for line in sidecar.lines if "is read again" in line]) >= 2)
        assert len(second.calls) == 1 and sidecar.stop() == 0


def test_an_invalid_new_configuration_is_logged_and_the_old_one_stays() -> None:
    with Upstream(body=b"ok") as one, Upstream(body=b"ok") as two, Sidecar([one]) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        sidecar.reload("{")
        eventually(lambda: [line for line in sidecar.lines if "is not taken" in line])
        sidecar.discovery.tell(two.entry())
        eventually(lambda: is_served_by(sidecar, two))
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
        response = client.read()
        assert response is not None and response.status == 200
        while sidecar.process.poll() is None:
            sidecar.process.send_signal(signal.SIGHUP)
        assert sidecar.process.returncode == 0


def test_upstreams_that_are_gone_are_removed_and_a_name_may_be_used_again() -> None:
    async def test() -> None:
        test_settings = settings()
        pool = Pool(connect_s=0.2, idle_s=5.0, most=8)
        directory = EndpointDirectory(test_settings)
        discovery = PlatformDiscoveryClient(("127.0.0.1", 1), directory, 0, pushed=False)
        discovery.listener = engine = Engine(test_settings, 1, Clock(), pool, discovery)

        def enqueue(name: str, health: str) -> int:
            entry = {"host": name, "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": health}
            discovery.enqueue(json.dumps({"seq": 1, "whole": False, "hosts": [entry]}).encode())
            return directory.numbers.get(name, 0)

        for number in range(50):
            enqueue(f"s-{number}", "in_service")
            enqueue(f"s-{number}", "terminated")
        tables = (directory.numbers, directory.names, pool.upstreams, engine.balancer.endpoints)
        assert [len(table) for table in tables] == [0, 0, 0, 0]
        # An upstream with an attempt in flight is kept, since the end of the attempt needs it.
        ident = enqueue("s-busy", "in_service")
        outcomes: list[api.Outcome] = []
        upstream = pool.upstreams[ident]
        pool.start(ident, Exchange(lambda: [b""], lambda outcome, answer: outcomes.append(outcome)), 5.0)
        enqueue("s-busy", "terminated")
        assert pool.upstreams == {ident: upstream} and enqueue("s-busy", "in_service") == ident
        enqueue("s-busy", "terminated")
        while not outcomes or pool.upstreams:
            await asyncio.sleep(0)
        assert outcomes == [api.Outcome.CONNECT_FAILED] and pool.open == 0
        discovery.close()

    asyncio.run(asyncio.wait_for(test(), LONG_S))


def test_a_call_whose_response_head_never_ends_fails() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Discovery([new.entry()]) as discovery:
        discovery.reply = b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.lines if "response head is larger than" in line])
            discovery.reply = None
            eventually(lambda: is_served_by(sidecar, new))
