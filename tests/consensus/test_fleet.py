"""Sidecars that agree, as processes, with failures between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from sidecar_proxy.testbed.scenario import Scene
from tests.consensus.rig import (
    AGREES,
    all_hold,
    begin,
    fleet,
    held,
    leads,
    says,
    spoiled,
    told,
    until,
)
from tests.overload_control.test_subsystem import refused_start
from tests.sockets import LONG_S, ROOT
from tests.testbed.playing import on_rig

FIVE = replace(AGREES, sidecars=5)


def others(scene: Scene, *out: int) -> list[int]:
    return [number for number in range(len(scene.sidecars)) if number not in out]


def test_a_word_at_one_door_holds_at_all_and_outlives_two_machines_and_their_disks() -> None:
    """The second one is lost once the first has been replaced."""

    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        name, other = scene.nodes[0].name, scene.nodes[1].name
        answer = await fleet(scene, (leader + 1) % 5, f"SUSPEND one {name}")
        assert answer.startswith("done "), answer
        # a repeat, elsewhere, is one word
        assert await fleet(scene, (leader + 2) % 5, f"SUSPEND one {name}") == answer
        assert "another word" in await fleet(scene, leader, f"RESUME one {name}")
        assert "is listed" in await fleet(scene, leader, "SUSPEND two nobody")
        await all_hold(scene, others(scene), {name})
        lost: list[int] = []
        for number in range(2):
            await scene.sidecars[leader].kill()
            scene.sidecars[leader].wipe()
            lost.append(leader)
            # it is replaced, and a new one leads
            leader = await leads(scene, others(scene, *lost), 3)
            await says(scene, others(scene, *lost), f"DRAIN {other}", f"more-{number}")
            await all_hold(scene, others(scene, *lost), {name, other})
        for number in lost:
            await scene.sidecars[number].start()
        await all_hold(scene, lost, {name, other})
        assert '"suspend"' in await fleet(scene, lost[0], f"READ {name}")
        assert await says(scene, lost, f"RESUME {name}", "three")
        await all_hold(scene, others(scene), {other})

    on_rig(FIVE, test)


def test_the_leader_killed_stopped_isolated_heard_one_way_and_bridged() -> None:
    """Each time another one leads, words go on, and the old one finds its way back."""

    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        names = [node.name for node in scene.nodes]
        words = 0
        for kind in ("kill", "stop", "link_part", "link_oneway", "heard", "link_bridge"):
            one, rest = scene.sidecars[leader], others(scene, leader)
            if kind == "kill":
                await one.kill()
            elif kind == "stop":
                one.pause()
            with (
                spoiled(
                    scene, {"heard": "link_oneway"}.get(kind, kind), rest if kind == "heard" else [leader]
                )
                if kind[0] in "lh"
                else spoiled(scene, "link_part", [])
            ):
                if kind != "link_bridge":  # with one link cut of all it may go on
                    assert await leads(scene, rest) != leader, kind
                words += 1
                await says(scene, rest, f"SUSPEND {names[words]}", f"word-{words}")
            if kind == "kill":
                await one.start()
            one.wake()
            leader = await leads(scene, others(scene))
            await all_hold(scene, others(scene), set(names[1 : words + 1]))

    on_rig(replace(AGREES, sidecars=3), test)


def test_a_majority_lost_is_told_and_all_lost_at_once_come_back() -> None:
    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        name = scene.nodes[0].name
        await says(scene, [leader], f"SUSPEND {name}", "one")
        await all_hold(scene, others(scene), {name})
        left, *gone = others(scene, leader) + [leader]
        for number in gone:
            await scene.sidecars[number].kill()

        async def none() -> bool:
            return (await fleet(scene, left, f"RESUME two {name}")).startswith("no quorum")

        await until(none)
        status = await told(scene, left, "STATUS")
        assert not status["leader"] and status["leaderless_s"] > 0 and await held(scene, left) == {name}
        await scene.sidecars[left].kill()
        # alone, without peers, it holds what it has learned
        await scene.sidecars[left].start()
        assert await held(scene, left) == {name}
        assert any(
            f"held for the fleet up to word {status['applied']}: {name}" in line
            for line in scene.sidecars[left].lines
        )
        for number in gone:
            await scene.sidecars[number].start()
        await leads(scene, others(scene))
        await says(scene, [left], f"RESUME {name}", "two")
        await all_hold(scene, others(scene), set())

    on_rig(AGREES, test)


def test_disks_that_are_full_slow_killed_in_the_midst_or_copied_back() -> None:
    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        names = iter([node.name for node in scene.nodes])
        said: set[str] = set()

        async def word(numbers: list[int]) -> None:
            name = next(names)
            await says(scene, numbers, f"SUSPEND {name}", f"id-{name}")
            said.add(name)

        one = scene.sidecars[leader]
        one.fill(True)
        await fleet(scene, leader, f"SUSPEND full {scene.nodes[-1].name}")  # it may come about, or not
        leader = await leads(scene, others(scene, leader))
        await word(others(scene, leader))
        one.fill(False)
        await fleet(scene, leader, f"RESUME after {scene.nodes[-1].name}")
        await all_hold(scene, others(scene), said)
        follower = scene.sidecars[others(scene, leader)[0]]
        follower.fill(True)
        await word([leader])
        follower.fill(False)
        await all_hold(scene, others(scene), said)
        # the leader's disk takes two seconds: another leads, or words wait; nothing is lost
        scene.sidecars[leader].spoil("slow 2")
        await word(others(scene))
        scene.sidecars[leader].spoil("")
        await all_hold(scene, others(scene), said)
        for place in ("write before 1", "write middle 1", "write after 1", "sync before 1", "sync after 1"):
            leader = await leads(scene, others(scene))
            one = scene.sidecars[leader]
            operation, when, number = place.split()
            one.spoil(f"kill {operation} {when} {number}")
            await word(others(scene, leader))
            assert one.process is not None and await one.process.wait() == -9
            one.meant = True
            one.spoil("")
            await one.start()
            await all_hold(scene, others(scene), said)
        # a folder of an earlier time: it knows that it is one, and is another node from now on
        leader = await leads(scene, others(scene))
        one = scene.sidecars[leader]
        node = (await told(scene, leader, "STATUS"))["node"]
        copy = one.folder.with_suffix(".copy")
        shutil.copytree(one.folder, copy, ignore=lambda *_: ["sock"])
        await word([leader])
        await one.kill()
        shutil.rmtree(one.folder)
        shutil.copytree(copy, one.folder)
        await one.start()
        assert any("is a copy" in line for line in one.lines)
        assert (await told(scene, leader, "STATUS"))["node"] != node
        await all_hold(scene, others(scene), said)
        await leads(scene, others(scene), 3)

    on_rig(AGREES, test)


def test_clocks_links_strangers_and_a_later_version() -> None:
    """The wall clock of one an hour off; streams that break, double and stall; one whose certificate is
    revoked; a kind of word that only one of them knows; noise at the address.
    """

    async def test(scene: Scene) -> None:
        later = scene.sidecars[0]
        await later.kill()
        later.command = ["-B", "-c", LATER]
        await later.start()
        leader = await begin(scene)
        assert leader == 0
        index = int((await fleet(scene, 0, "HUSH x anything")).split()[1])
        name, other = scene.nodes[0].name, scene.nodes[1].name
        await says(scene, [1], f"SUSPEND {name}", "one")
        await all_hold(scene, others(scene), {name})
        assert (await told(scene, 2, "WORDS"))["unread"] == [index] and not (await told(scene, 0, "WORDS"))[
            "unread"
        ]
        assert "expected FLEET" in await fleet(scene, 1, "HUSH y anything")
        scene.sidecars[1].step(3600.0)
        with spoiled(scene, "link_chop", [0, 1, 2], 900.0), spoiled(scene, "link_lossy", [0, 1, 2], 0.1):
            for number in range(6):
                await says(scene, [1, 2, 0], f"{('RESUME', 'SUSPEND')[number % 2]} {name}", f"more-{number}")
        scene.sidecars[1].step(0.0)
        await all_hold(scene, others(scene), {name})
        assert scene.keys is not None
        host, _, port = tomllib.loads(scene.sidecars[0].operator)["gossip"]["bind"].partition(":")
        for noise in (
            b"wsa\x01",
            b"wsa\x01\xff\xff\xff\xff",
            b"wsa\x01\0\0\0\x04abcd",
            bytes(4),
            b"wsa\x02rest",
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(noise)
            writer.write_eof()
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
        await until(lambda: refused(scene, 0, "not of this version"))
        # the third one's certificate is revoked: the others go on, and hear nothing of it
        scene.keys.revoke("sidecar-2")
        await until(lambda: refused(scene, 0, "revoked"))
        leader = await leads(scene, [0, 1])
        await says(scene, [0, 1], f"SUSPEND {other}", "last")
        await all_hold(scene, [0, 1], {name, other})
        assert not (await fleet(scene, 2, f"RESUME never {name}")).startswith("done")
        assert await held(scene, 2) == {name}

    on_rig(AGREES, test)


async def refused(scene: Scene, number: int, why: str) -> bool:
    return any("agreement" in line and why in line for line in scene.sidecars[number].lines)


LATER = """
import sys
from sidecar_proxy.consensus import subsystem as start
from sidecar_proxy.consensus import replicated_commands as words
words.KINDS += ("hush",)
start.SAYS["HUSH"] = "hush"
from sidecar_proxy.daemon.__main__ import main
sys.exit(main())
"""


def test_a_snapshot_over_a_narrow_link_while_words_go_on_and_the_command() -> None:
    async def test(scene: Scene) -> None:
        leader = await begin(scene)
        name = scene.nodes[0].name
        late = others(scene, leader)[0]
        await scene.sidecars[late].kill()
        rest = others(scene, late)
        for number in range(100):  # more than `compact`: they are in a snapshot by now
            await says(scene, [leader], f"SET key-{number % 30} {'v' * 200}", f"k-{number}")
        with spoiled(scene, "link_narrow", [late], 4000.0):
            await scene.sidecars[late].start()
            for number in range(100):
                await says(scene, [leader], f"SET key-{number % 30} {'w' * 200}", f"l-{number}")
        await says(scene, rest, f"SUSPEND {name}", "one")
        await all_hold(scene, others(scene), {name})
        assert (await told(scene, late, "WORDS"))["settings"]["key-7"]["value"] == "w" * 200

        def command(*line: str) -> tuple[int, str]:
            done = subprocess.run(
                [sys.executable, "-m", "sidecar_proxy", "fleet", *line],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=LONG_S,
            )
            assert "Traceback" not in done.stderr, done.stderr
            return done.returncode, done.stdout + done.stderr

        door = "{}:{}".format(*(scene.sidecars[late].door or ("", 0)))
        for line, code, holds in (
            (("status", door), 0, "leads since"),
            (("members", door), 0, "  leads"),
            (("log", door), 0, f"suspend {name}  id one, by "),
            (("words", door), 0, f"suspend {name}"),
            (("begin", door), 1, "there is a fleet already"),
            (("resume", door, name, "--id", "two"), 0, "done "),
            (("read", door, name), 0, '"held": null'),
            (("set", door, "a", "b c"), 0, "done"),
            (("status", "127.0.0.1:1"), 1, "sidecar_proxy: "),
        ):
            found = await asyncio.to_thread(command, *line)
            assert found[0] == code and holds in found[1], (line, found)
        code, text = await asyncio.to_thread(command, "status", door, "--json")
        assert code == 0 and json.loads(text)["applied"] > 200

    on_rig(AGREES, test)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('[agreement]\nfolder = "/tmp/x"', "agreement.folder: needs gossip; gossip.bind names no address"),
        ("[agreement]\nvoters = 2", "agreement.voters: expected 1 or 3 or 5, got 2"),
        ("[agreement]\nreplace_s = 1", "agreement.replace_s: expected a number from 2 to 86400, got 1"),
    ],
)
def test_a_wrong_setting_is_one_line_and_the_end(text: str, line: str, tmp_path: Path) -> None:
    assert line in refused_start(text, "agreement", tmp_path)
