"""The rig: several real sidecars, and failures between them by one line of a script each."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.testbed import fault_schedule as script
from sidecar_proxy.testbed.checker import absences, check
from sidecar_proxy.testbed.fault_schedule import Fault, ScriptError
from sidecar_proxy.testbed.history import Answered, Asked, Process, Received, Said
from sidecar_proxy.testbed.invariants import overspent
from sidecar_proxy.testbed.network_links import Links, Relay, host_of
from sidecar_proxy.testbed.scenario import Scene, bounds
from tests.sockets import LONG_S
from tests.testbed.playing import PLAN, RIG, on_rig


async def until(holds: Callable[[], bool]) -> None:
    """Within a wide bound."""
    end = time.monotonic() + LONG_S
    while not holds():
        assert time.monotonic() < end, "it never came to hold"
        await asyncio.sleep(0.02)


async def lives(scene: Scene, number: int) -> dict[str, str]:
    """What that sidecar thinks of the others: name to life."""
    path = Path(scene.folder.name) / f"sidecar-{number}.sock"
    reader, writer = await asyncio.open_unix_connection(str(path))
    told = json.loads(await reader.read())
    writer.close()
    return {one["name"]: one["life"] for one in told["peers"]}


async def comes_to(scene: Scene, number: int, wanted: dict[str, str]) -> None:
    end = time.monotonic() + LONG_S
    found: dict[str, str] = {}
    while time.monotonic() < end:
        found = await lives(scene, number)
        if {name: found.get(name) for name in wanted} == wanted:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"sidecar {number} sees {found}, wanted {wanted}")


def weights(scene: Scene) -> dict[str, int]:
    """What each says last that it owns and may spend."""
    return {
        one.sidecar: json.loads(one.data)[0]
        for one in scene.ledger
        if isinstance(one, Said) and one.topic == "lease"
    }


def test_sidecars_meet_through_relays_and_a_cut_link_is_seen_on_both_sides() -> None:
    async def test(scene: Scene) -> None:
        assert scene.links is not None and scene.player is not None
        for number in range(3):
            others = [other for other in range(3) if other != number]
            await comes_to(scene, number, {f"sidecar-{other}": "alive" for other in others})
        fleet = scene.player.fleet
        ways = fleet.ways("link_part", [2])
        fleet.spoil("link_part", ways, 0.0, True)
        await comes_to(scene, 2, {"sidecar-0": "dead", "sidecar-1": "dead"})
        await comes_to(scene, 0, {"sidecar-1": "alive", "sidecar-2": "dead"})
        fleet.spoil("link_part", ways, 0.0, False)
        await comes_to(scene, 2, {"sidecar-0": "alive", "sidecar-1": "alive"})
        await comes_to(scene, 0, {"sidecar-2": "alive"})
        assert scene.links.counts["packets lost"] > 0 and not scene.links.counts["from nobody known"]

    on_rig(RIG, test)


def test_a_link_that_is_cut_one_way_is_helped_round_by_the_third() -> None:
    """SWIM's indirect pings: nobody is held for dead, as the third hears both."""

    async def test(scene: Scene) -> None:
        assert scene.player is not None and scene.links is not None
        await comes_to(scene, 0, {"sidecar-1": "alive", "sidecar-2": "alive"})
        fleet = scene.player.fleet
        way = scene.links.way(0, 1)
        way.cut += 1
        lost = scene.links.counts["packets lost"]
        await until(lambda: scene.links is not None and scene.links.counts["packets lost"] > lost + 5)
        await comes_to(scene, 0, {"sidecar-1": "alive", "sidecar-2": "alive"})
        assert fleet.ways("link_oneway", [0]) == [way, scene.links.way(0, 2)]
        assert len(fleet.ways("link_bridge", [0, 1, 2])) == 2
        assert len(fleet.ways("link_slow", fleet.chosen(()))) == 6

    on_rig(RIG, test)


def test_a_killed_sidecar_comes_back_owns_nothing_for_a_term_and_no_sum_is_exceeded() -> None:
    async def test(scene: Scene) -> None:
        await until(lambda: sum(weights(scene).values()) > 990_000)
        one = scene.sidecars[1]
        before = one.address
        await one.kill()
        one.wipe()
        await one.start()
        killed_us = max(
            record.at_us for record in scene.ledger if isinstance(record, Process) and record.what == "killed"
        )
        assert scene.crowds[1].address == one.address != before

        def after() -> list[Said]:
            return [
                told
                for told in scene.ledger
                if isinstance(told, Said)
                and told.topic == "lease"
                and told.sidecar == one.name
                and told.at_us > killed_us
            ]

        await until(lambda: len(after()) > 1 and json.loads(after()[-1].data)[0] > 0)
        said = after()
        assert json.loads(said[0].data)[0] == 0
        assert said[-1].at_us - said[0].at_us > 2_500_000
        await scene.play()
        assert any(isinstance(told, Answered) and told.status == 200 for told in scene.ledger)

    scene = on_rig(RIG, test)
    assert not overspent(scene.ledger)


def test_a_stopped_sidecar_is_excused_and_what_it_had_borrowed_is_gone_when_it_wakes() -> None:
    """Nearly all load comes to one of three, which borrows; then it gets no CPU for longer than a loan."""
    plan = replace(
        RIG,
        skew=0.9,
        seconds=13.0,
        rate=90.0,
        faults=(
            Fault("sidecar_stop", 7.0, 4.0, sidecars=(0,)),
            Fault("sidecar_clock", 5.0, 1.0, 2, 3600.0, sidecars=(2,)),
        ),
    )

    async def test(scene: Scene) -> None:
        await scene.play()

    scene = on_rig(plan, test)
    said = [one for one in scene.ledger if isinstance(one, Said) and one.topic == "lease"]
    held = [one for one in said if one.sidecar == "sidecar-0" and json.loads(one.data)[1]]
    assert held, "it never borrowed"
    assert not overspent(scene.ledger)
    from_us, to_us = absences(list(scene.ledger))["sidecar-0"][0]
    assert to_us - from_us > 3_500_000
    # what a client saw of it meanwhile is no breach; what nodes saw is judged all the same
    assert not check(scene.ledger, replace(bounds(plan), slack_us=500_000))
    assert any(
        isinstance(one, Asked) and from_us < one.at_us < to_us and one.sidecar == "sidecar-0"
        for one in scene.ledger
    )
    woken = [json.loads(one.data) for one in said if one.sidecar == "sidecar-0" and one.at_us > to_us]
    assert not woken or all(until_us > to_us for _, until_us in woken[0][1])


def test_what_one_may_not_spend_is_seen_by_the_invariant() -> None:
    """A test of the judge: two that spend the same part."""
    told = [Said(10, "a", "lease", "[500000, [[500000, 99]]]"), Said(20, "b", "lease", "[500000, []]")]
    assert len(overspent(told)) == 1
    assert not overspent([told[0], Process(15, "a", "killed"), told[1]])
    assert not overspent([told[0], replace_at(told[1], 99)])


def replace_at(one: Said, at_us: int) -> Said:
    return replace(one, at_us=at_us)


def test_a_node_that_a_killed_sidecar_sent_to_twice_is_still_a_breach() -> None:
    story: list[Any] = [
        Asked(100, "r", "o", "chapter-buy", "s", 10_000_000),
        Received(200, 150, "r", "n1", 0, True, 1),
        Received(400, 350, "r", "n2", 0, True, 1),
        Process(500, "s", "killed"),
        Process(900, "s", "started"),
    ]
    found = check(story, bounds(PLAN))
    assert [one.rule for one in found] == [2]


async def gathered(links: Links, way_kind: str, value: float, count: int = 60) -> list[bytes]:
    """Packets that come through one way with that wrong, in their order."""
    loop = asyncio.get_running_loop()
    got: list[bytes] = []

    class Sink(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, address: Any) -> None:
            got.append(data)

    first, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (host_of(0, 0), 0))
    second, _ = await loop.create_datagram_endpoint(Sink, (host_of(0, 1), 0))
    await links.join(0, first.get_extra_info("sockname"))
    relayed = await links.join(1, second.get_extra_info("sockname"))
    setattr(links.way(0, 1), way_kind, value)
    for number in range(count):
        first.sendto(bytes([number]), relayed)
        await asyncio.sleep(0)
    end = time.monotonic() + LONG_S
    while len(got) + links.counts["packets lost"] < count and time.monotonic() < end:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)  # what comes late or twice
    first.close()
    second.close()
    links.close()
    return got


@pytest.mark.parametrize(("kind", "value"), [("lost", 0.5), ("doubled", 0.5), ("reordered", 0.7), ("cut", 1)])
def test_packets_are_lost_doubled_and_overtaken(kind: str, value: float) -> None:
    links = Links(7)
    got = asyncio.run(gathered(links, kind, value))
    sent = [bytes([number]) for number in range(60)]
    if kind == "lost":
        assert 10 < len(got) < 50 and len(got) + links.counts["packets lost"] == 60
    elif kind == "doubled":
        assert len(got) > 70 and set(got) == set(sent)
    elif kind == "reordered":
        assert sorted(got) == sent != got
    else:
        assert not got and links.counts["packets lost"] == 60


@pytest.mark.parametrize("kind", ["chop", "cut", "dead"])
def test_streams_break_in_the_middle_or_stall_until_the_way_is_whole(kind: str) -> None:
    async def run() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.read())
            writer.close()

        links = Links(1)
        server = await asyncio.start_server(echo, host_of(0, 1), 0)
        await links.join(0, (host_of(0, 0), 1))
        relayed = await links.join(1, server.sockets[0].getsockname()[:2])
        setattr(links.way(0, 1), kind, 100 if kind == "chop" else 1)
        reader, writer = await asyncio.open_connection(*relayed, local_addr=(host_of(0, 0), 0))
        writer.write(b"x" * 1000)
        writer.write_eof()
        if kind == "chop":
            got = b""
            with pytest.raises(ConnectionError):  # broken, and not ended
                while data := await reader.read(4096):
                    got += data
                raise ConnectionError
            assert len(got) <= 100 and links.counts["streams chopped"] == 1
        else:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.2)
            setattr(links.way(0, 1), kind, 0)
            assert await asyncio.wait_for(reader.read(), LONG_S) == b"x" * 1000
        writer.close()
        server.close()
        links.close()

    asyncio.run(run())


def test_a_stranger_is_not_passed_on() -> None:
    async def run() -> None:
        links = Links(1)
        relayed = await links.join(1, (host_of(0, 1), 9))
        relay = links.relays[1]
        assert isinstance(relay, Relay)
        reader, writer = await asyncio.open_connection(*relayed)
        assert await asyncio.wait_for(reader.read(), LONG_S) == b""
        assert links.counts["from nobody known"] == 1
        writer.close()
        links.close()

    asyncio.run(run())


def test_scripts_of_fleets_are_read_and_written() -> None:
    faults = [
        Fault("link_part", 1.0, 2.0, sidecars=(0, 2)),
        Fault("sidecar_clock", 3.0, size=-3600.0),
        Fault("crash", 4.0, 1.0, 3.0, step_s=0.5, site="makati"),
    ]
    assert script.read(script.written(faults)) == faults
    for bad in (
        'kind = "link_part"\nat_s = 1\nsidecars = [-1]',
        'kind = "link_lossy"\nat_s = 1\nsize = 2',
        'kind = "sidecar_stop"\nat_s = 1\nsidecars = "all"',
        'kind = "crash"\nat_s = 1\nsize = -1',
    ):
        with pytest.raises(ScriptError):
            script.read("[[fault]]\n" + bad)


def test_a_fault_of_links_needs_relays() -> None:
    async def test(scene: Scene) -> None:
        with pytest.raises(ScriptError, match="relays"):
            await scene.play()

    on_rig(replace(RIG, relayed=False, faults=(Fault("link_part", 0.1, 0.1, sidecars=(0,)),)), test)
