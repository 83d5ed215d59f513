"""Large lists: read in steps, refused whole when bad, told as changes; the order of what is told stays."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import (
    SLICE,
    EndpointDirectory,
    EndpointListError,
    Reading,
    changes,
)
from sidecar_proxy.discovery.platform_client import Call
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient as Watcher
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import ConnectionPool
from tests.balancer.harness import settings
from tests.sockets import LONG_S, Discovery, Sidecar, Upstream, eventually

MANY = 10_000


def entry(number: int, **changed: Any) -> dict[str, Any]:
    return {
        "host": f"s-{number}",
        "dial": f"127.0.0.1:{1 + number % 60_000}",
        "site": "a",
        "class": "m",
        "block": number // 6,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    } | changed


def text(hosts: list[Any], seq: int = 5, whole: bool = True) -> str:
    return json.dumps({"seq": seq, "whole": whole, "hosts": hosts})


def read(told: str, directory: EndpointDirectory | None = None) -> Reading:
    reading = Reading(directory or EndpointDirectory(settings()), told)
    for _ in reading.steps():
        pass
    return reading


class Sink:
    """Keeps what it is told, as the pool would."""

    def __init__(self) -> None:
        self.events: list[tuple[api.ListKind, list[api.Upstream], int]] = []
        self.hosts: dict[int, ListedUpstream] = {}
        self.failures = 0

    def list_changed(self, kind: api.ListKind, hosts: list[ListedUpstream], version: int) -> None:
        self.events.append((kind, [host.entry for host in hosts], version))
        if kind is not api.ListKind.DELTA:
            self.hosts.clear()
        for host in hosts:
            if host.entry.state is api.UpstreamState.GONE:
                self.hosts.pop(host.entry.id, None)
            else:
                self.hosts[host.entry.id] = host

    def list_failed(self) -> None:
        self.failures += 1

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        return self.hosts


def watcher() -> tuple[Watcher, Sink]:
    one, sink = Watcher(("127.0.0.1", 1), EndpointDirectory(settings()), 0, pushed=False), Sink()
    one.sink = sink
    return one, sink


async def settled(one: Watcher) -> int:
    """Wait until all that was told is read; how many turns of the loop it took."""
    turns = 0
    while one.working:
        turns += 1
        await asyncio.sleep(0)
    return turns


def test_a_list_of_ten_thousand_is_read_in_many_steps() -> None:
    reading = Reading(EndpointDirectory(settings()), text([entry(n) for n in range(MANY)]))
    steps = sum(1 for _ in reading.steps())
    assert steps == MANY // SLICE and len(reading.hosts) == MANY and reading.whole


def test_a_list_of_which_one_in_a_hundred_is_bad_is_refused_whole_and_leaves_nothing() -> None:
    directory = EndpointDirectory(settings())
    read(text([entry(1)]), directory)
    bad = [entry(n, health="unwell") if n % 100 == 99 else entry(n) for n in range(MANY)]
    with pytest.raises(EndpointListError, match="s-99: unknown health 'unwell'"):
        read(text(bad), directory)
    assert list(directory.numbers) == ["s-1"] and len(directory.names) == 1


@pytest.mark.parametrize(
    "told",
    [
        "",
        "{",
        "[]",
        "null",
        '{"seq":1}',
        '{"seq":1,"whole":true}',
        '{"seq":1,"whole":true,"hosts":3}',
        '{"seq":1,"whole":1,"hosts":[]}',
        '{"seq":true,"whole":true,"hosts":[]}',
        '{"seq":1.5,"whole":true,"hosts":[]}',
        '{"seq":1,"whole":true,"hosts":[1]}',
        '{"seq":1,"whole":true,"hosts":[{}]}',
        '{"seq":1,"whole":true,"hosts":[]',
        '{"seq":1,"whole":true,"hosts":[]}x',
        '{"seq":1,"whole":true,"hosts":[],}',
        '{"seq":1,"seq":2}',
        "[" * 100_000,
        '{"seq":1,"whole":true,"hosts":[' + json.dumps(entry(1)) + ",]}",
        '{"seq":1,"whole":true,"hosts":[' + json.dumps(entry(1)) + json.dumps(entry(2)) + "]}",
        text([entry(1, host="")]),
        text([entry(1, host=7)]),
        text([entry(1, dial="nowhere")]),
        text([entry(1, share="nan")]),
        text([entry(1, share=1e999)]),
        text([entry(1, born_ms=-1)]),
        text([entry(1, block="x")]),
        text([entry(1, health=[])]),
        '{"hosts":' + "[" * 100_000,
    ],
)
def test_bad_lists_are_told_in_one_line(told: str) -> None:
    directory = EndpointDirectory(settings())
    with pytest.raises(EndpointListError) as caught:
        read(told, directory)
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300
    assert not directory.numbers


@hypothesis_settings(derandomize=True, deadline=None, max_examples=200)
@given(st.data())
def test_any_spoilt_list_is_an_error_of_one_kind(data: st.DataObject) -> None:
    told = text([entry(n) for n in range(3)])
    at = data.draw(st.integers(0, len(told) - 1))
    cut = data.draw(st.integers(0, 9))
    spoilt = told[:at] + data.draw(st.text('{}[],:"0ae\\ \x00', max_size=6)) + told[at + cut :]
    directory = EndpointDirectory(settings())
    try:
        read(spoilt, directory)
    except EndpointListError:
        assert not directory.numbers


def test_it_reads_what_the_standard_reader_reads() -> None:
    hosts = " , ".join(json.dumps(entry(n)) for n in range(3))
    told = ' { "hosts" : [ ' + hosts + ' ] , "x" : [1,{}] ,\n"whole":false,"seq":7}  '
    reading = read(told)
    assert (reading.version, reading.whole, len(reading.hosts)) == (7, False, 3)


@pytest.mark.parametrize(
    "states",
    [
        ["in_service", "terminating"],
        ["terminating", "in_service"],
        ["in_service", "terminated", "terminating"],
    ],
)
def test_of_a_name_that_is_listed_twice_the_more_careful_entry_holds(states: list[str]) -> None:
    hosts = read(text([entry(1, health=state) for state in states])).hosts
    assert len(hosts) == 1 and hosts[0].entry.state is not api.UpstreamState.READY


def test_changes_hold_what_is_new_and_those_that_leave_come_first() -> None:
    directory = EndpointDirectory(settings())
    old = read(text([entry(n) for n in range(1000)]), directory).hosts
    known = {host.entry.id: host for host in old}
    hosts = [entry(n) for n in range(1, 1200)]
    hosts[499]["health"], hosts[6]["dial"] = "terminating", "127.0.0.1:9"
    new = read(text(hosts), directory)
    told = [host.entry for part in changes(known, new.hosts, True) for host in part]
    assert [e.state for e in told[:2]] == [api.UpstreamState.DRAINING, api.UpstreamState.GONE]
    assert len(told) == 2 + 1 + 200
    assert all(len(part) <= SLICE for part in changes(known, new.hosts, True))


def test_a_large_list_is_told_in_slices_over_many_turns_and_a_later_line_waits_behind_it() -> None:
    async def test() -> None:
        one, sink = watcher()
        one.told(text([entry(n) for n in range(MANY)], 5).encode())
        one.told(text([entry(3, health="terminating")], 6, False).encode())
        assert await settled(one) >= 5
        assert len(sink.hosts) == MANY and max(len(entries) for _, entries, _ in sink.events) <= SLICE
        assert sink.hosts[one.directory.numbers["s-3"]].entry.state is api.UpstreamState.DRAINING
        assert sink.events[-1][2] == one.version == 6
        one.told(text([], 7).encode())  # all are gone
        await settled(one)
        assert not sink.hosts and not one.directory.numbers and not one.leaving

    asyncio.run(asyncio.wait_for(test(), LONG_S))


def test_a_bad_large_list_leaves_the_last_good_one() -> None:
    async def test() -> None:
        one, sink = watcher()
        one.told(text([entry(n) for n in range(300)], 5).encode())
        await settled(one)
        before = len(sink.events)
        bad = [entry(n, health="?" if n == 9_000 else "in_service") for n in range(MANY)]
        call = Call(one, b"?stream=1&index=5")
        one.watch = call
        call.objects.put(text(bad, 6).encode() + b"\n")
        call.lines()
        await settled(one)
        assert sink.failures == 1 and len(sink.events) == before and len(sink.hosts) == 300
        assert one.version == 5 and len(one.directory.numbers) == 300
        one.close()

    asyncio.run(asyncio.wait_for(test(), LONG_S))


def test_an_older_answer_undoes_no_drain(caplog: pytest.LogCaptureFixture) -> None:
    """Without the mend a fetch that was answered late put a drained upstream back into service."""

    async def test() -> None:
        one, sink = watcher()
        one.told(text([entry(1), entry(2)], 5).encode())
        one.told(text([entry(1, health="terminating")], 6, False).encode())
        one.told(text([entry(1), entry(2)], 5).encode())
        assert sink.hosts[one.directory.numbers["s-1"]].entry.state is api.UpstreamState.DRAINING
        assert len(sink.events) == 3 and one.version == 6  # each call has its answer
        one.told(text([entry(1)], 6, False).encode())  # the same version twice is no older one
        assert sink.hosts[one.directory.numbers["s-1"]].entry.state is api.UpstreamState.READY
        fresh = Call(one, b"?stream=1&index=6")  # a new watch that begins with less: discovery was begun anew
        one.told(text([entry(3)], 1).encode(), fresh)
        assert one.version == 1 and len(sink.hosts) == 1
        one.close()

    with caplog.at_level(logging.WARNING, "sidecar_proxy"):
        asyncio.run(asyncio.wait_for(test(), LONG_S))
    assert "of version 5 is older than 6" in caplog.text


def test_a_change_of_one_among_many_looks_at_one() -> None:
    """Counted: what the pool and the decisions are told, and whom they ask."""

    async def test() -> None:
        told = settings(max_upstreams=64)
        pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        one = Watcher(("127.0.0.1", 1), EndpointDirectory(told), 0, pushed=False)
        one.sink = engine = Engine(told, 1, Clock(), pool, one)
        one.told(text([entry(n) for n in range(3000)], 5).encode())
        await settled(one)
        assert len(pool.upstreams) == 3000 and len(engine.balancer.endpoints) <= 64
        looked: list[int] = []

        class Watched(dict[int, ListedUpstream]):
            def values(self) -> Any:
                raise AssertionError("all were looked at")

            items = values

            def __getitem__(self, ident: int) -> ListedUpstream:
                looked.append(ident)
                return super().__getitem__(ident)

        pool.upstreams = Watched(pool.upstreams)
        one.told(text([entry(9, health="terminating")], 6, False).encode())
        one.told(text([entry(9, health="terminated")], 7, False).encode())
        assert len(pool.upstreams) == 2999 and len(set(looked)) == 1
        one.close()

    asyncio.run(asyncio.wait_for(test(), LONG_S))


def test_a_real_sidecar_takes_a_list_of_ten_thousand_while_it_serves() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert sidecar.request("POST", "/pay/7", b"x").status == 200
        dead = [entry(n, host=f"d-{n}", health="terminating") for n in range(MANY)]
        sidecar.discovery.send_changes(
            *dead[:5000], old.entry(health="terminating"), new.entry(), *dead[5000:]
        )
        eventually(lambda: new.requests or sidecar.request("POST", "/pay/7", b"x").status == 0)
        before = len(old.requests)
        for _ in range(5):
            assert sidecar.request("POST", "/pay/7", b"x").status == 200
        assert len(old.requests) == before


def test_a_list_that_is_too_large_is_one_line_and_the_old_one_stays() -> None:
    with Upstream(body=b"ok") as old, Discovery([]) as discovery:
        body = text([entry(n, site="x" * 400) for n in range(MANY)]).encode()
        discovery.reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s\n" % (len(body) + 1, body)
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.log_lines if "a line too long" in line])
            assert sidecar.request("POST", "/pay/7", b"x").status == 200
