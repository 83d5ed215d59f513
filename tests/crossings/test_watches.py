"""A list that is told crosses the end of what told it. docs/design/crossings.md.

The sidecar is stopped while both events come, so it meets them at once, in the bad order, every time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.platform_client import WATCH_IDLE_TIMEOUT_S
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient as Watcher
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.event_poll import make_input_poll
from tests.balancer.harness import settings
from tests.sockets import LONG_S, Discovery, Sidecar, Upstream, eventually

UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


@contextlib.contextmanager
def stopped(sidecar: Sidecar) -> Iterator[None]:
    sidecar.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        sidecar.process.send_signal(signal.SIGCONT)


def line(seq: int, *hosts: dict[str, Any], indent: int | None = None) -> bytes:
    return json.dumps({"seq": seq, "whole": False, "hosts": hosts}, indent=indent).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def ends(watch: socket.socket) -> None:
    watch.sendall(b"0\r\n\r\n")


def closes(watch: socket.socket) -> None:
    watch.shutdown(socket.SHUT_RDWR)


def resets(watch: socket.socket) -> None:
    watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    watch.shutdown(socket.SHUT_RD)  # wakes the stand-in's own reader, which closes it
    watch.close()


def served(sidecar: Sidecar) -> None:
    """On a busy machine an answer may seem slow, and the next request is refused."""
    eventually(lambda: sidecar.request("POST", "/pay/7", b"x").status == 200)


def alone(sidecar: Sidecar, left: Upstream, *drained: Upstream) -> None:
    """What is drained gets nothing new from now on."""
    had, before = [len(one.requests) for one in drained], len(left.requests)
    for _ in range(30):
        served(sidecar)
    assert [len(one.requests) for one in drained] == had and len(left.requests) == before + 30


def lists(mode: str) -> dict[str, Any]:
    return {"registry-mode": mode}


def spared(sidecar: Sidecar, *drained: Upstream) -> bool:
    had = [len(one.requests) for one in drained]
    for _ in range(10):
        served(sidecar)
    return [len(one.requests) for one in drained] == had


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    ("end", "crowd"),
    [  # a reset takes with it what the sender's kernel still has
        (ends, 0),
        (closes, 0),
        (resets, 0),
        (ends, 2000),
        (closes, 2000),
    ],
)
def test_all_that_is_told_before_a_watch_ends_is_heeded(
    mode: str, end: Callable[[socket.socket], None], crowd: int
) -> None:
    """Two drains in one read with the watch's end, and discovery is down from then on: nobody tells them
    again. Behind a large list, which is read in steps, the second was dropped."""
    with (
        Upstream() as one,
        Upstream() as two,
        Upstream() as left,
        Sidecar([one, two, left], **lists(mode)) as sidecar,
    ):
        served(sidecar)
        watch = eventually(lambda: sidecar.discovery.watches)[0]
        others = [one.entry(host=f"s-crowd-{n}", health="terminating") for n in range(crowd)]
        watch.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * 1024)
        with stopped(sidecar):
            sidecar.discovery.reply = UNAVAILABLE
            watch.sendall(
                chunk(
                    line(2, one.entry(health="terminating"), *others)
                    + line(3, two.entry(health="terminating"))
                )
            )
            end(watch)
        eventually(lambda: len(sidecar.discovery.calls) >= 2)  # it has noticed
        alone(sidecar, left, one, two)


class Sink:
    def __init__(self) -> None:
        self.heard: list[tuple[int, api.UpstreamState]] = []
        self.failures = 0

    def list_changed(self, kind: api.ListKind, hosts: list[ListedUpstream], version: int) -> None:
        self.heard += [(version, host.entry.state) for host in hosts]

    def list_failed(self) -> None:
        self.failures += 1

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        return {}

    def has_reported(self, upstream: ListedUpstream) -> bool:
        return False

    def reported_numbers(self) -> list[int]:
        return []


@pytest.mark.parametrize("left", ["moved", "asked again", "presumed silent"])
def test_what_has_come_on_a_watch_is_heeded_though_another_takes_its_place(left: str) -> None:
    """The lines are in the kernel, and the loop has not looked: they have been told, and were dropped. Held
    up for long, the loop meets the time for silence before them."""

    async def test(listener: socket.socket) -> None:
        sink, loop = Sink(), asyncio.get_running_loop()
        watcher = Watcher(listener.getsockname(), EndpointDirectory(told), 0, pushed=False)
        watcher.listener = sink
        watcher.subscribe(True)
        agent, _ = await loop.sock_accept(listener)
        agent.setblocking(True)
        agent.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line(7, entry("one"))))
        while not sink.heard:
            await asyncio.sleep(0)
        assert watcher.watch is not None and watcher.watch.transport is not None
        waits = make_input_poll(watcher.watch.transport)

        def tell() -> None:
            agent.sendall(chunk(line(8, entry("one", "terminating")) + line(9, entry("two", "terminating"))))
            assert waits.poll.poll(LONG_S * 1000)  # it is there, and the loop has had no turn

        def hold_up() -> None:
            loop.remove_reader(other)
            tell()
            time.sleep(WATCH_IDLE_TIMEOUT_S + 0.1)

        if left != "presumed silent":
            tell()
        if left == "moved":
            watcher.set_address(("127.0.0.1", 1))
        elif left == "asked again":
            watcher.subscribe(True)
        else:
            loop.add_reader(other, hold_up)  # in the part of the turn that comes just before that of timers
            one.send(b"x")
            while len(sink.heard) < 3 and not sink.failures:
                await asyncio.sleep(0)
        assert sink.heard[1:] == [(8, api.UpstreamState.DRAINING), (9, api.UpstreamState.DRAINING)]
        # hazard: an old discovery's version would have the new one leave out what is not known
        assert watcher.version == (0 if left == "moved" else 9)
        assert sink.failures == 0
        watcher.close()
        agent.close()

    def entry(name: str, health: str = "in_service") -> dict[str, Any]:
        return {"host": name, "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": health}

    told = settings()
    one, other = socket.socketpair()
    with one, other, socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        uvloop.run(asyncio.wait_for(test(listener), LONG_S))


@pytest.mark.parametrize("indent", [0, 2])
def test_lists_may_come_indented_on_a_watch(indent: int) -> None:
    """An object was taken to be one line, so the watch failed each time."""
    with Upstream() as one, Upstream() as two, Upstream() as left, Discovery([]) as discovery:
        discovery.hosts = [one.entry(), two.entry(), left.entry()]
        discovery.full_list = lambda: (  # type: ignore[method-assign]
            json.dumps({"seq": 1, "whole": True, "hosts": discovery.hosts}, indent=indent).encode() + b"\n"
        )
        with Sidecar([one], discovery) as sidecar:
            eventually(lambda: spared(sidecar) and left.requests)
            odd = two.entry(health="terminating", site='}{ "\\" \n')
            text = b"\n\n" + line(2, odd, indent=indent) + b"\n"
            text += line(3, one.entry(health="terminating"), indent=indent)
            for at in range(0, len(text), 7):  # braces, strings and lines are cut anywhere
                discovery.send_chunk(discovery.watches[0], text[at : at + 7])
            eventually(lambda: spared(sidecar, one, two))
            alone(sidecar, left, one, two)
            assert len(discovery.calls) == 1 and not [
                text for text in sidecar.log_lines if "endpoint list rejected" in text
            ]


def test_a_pushed_watch_that_falls_silent_is_opened_anew() -> None:
    """What it misses counts as told 6 s later, whether lists are pushed or asked for."""
    with Upstream() as one, Upstream() as left, Sidecar([one, left], **lists("pushed")) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        sidecar.discovery.hosts = [one.entry(health="terminating"), left.entry()]  # told on no open watch
        sidecar.discovery.seq = 2
        eventually(lambda: spared(sidecar, one))
        assert [text for text in sidecar.log_lines if "idle timeout" in text]
        alone(sidecar, left, one)
