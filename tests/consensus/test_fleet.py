"""Consensus among real sidecar processes, with failures of processes, links, disks and clocks."""

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
    CONSENSUS_PLAN,
    create_fleet,
    excluded_upstreams,
    fleet_command,
    fleet_object,
    link_fault,
    submit,
    wait_for_leader,
    wait_until,
    wait_until_excluded,
)
from tests.overload_control.test_subsystem import refused_start
from tests.sockets import LONG_S, ROOT
from tests.testbed.playing import on_rig

FIVE_SIDECARS = replace(CONSENSUS_PLAN, sidecars=5)


def others(scene: Scene, *excluded: int) -> list[int]:
    """The numbers of all sidecars except these."""
    return [number for number in range(len(scene.sidecars)) if number not in excluded]


def test_command_takes_effect_everywhere_and_survives_the_loss_of_two_sidecars_with_their_disks() -> None:
    """The second sidecar is lost after the first one has been replaced as a voter."""

    async def test(scene: Scene) -> None:
        leader = await create_fleet(scene)
        name, other = scene.nodes[0].name, scene.nodes[1].name
        answer = await fleet_command(scene, (leader + 1) % 5, f"SUSPEND one {name}")
        assert answer.startswith("done "), answer
        # A command that is repeated at another sidecar has the same result.
        assert await fleet_command(scene, (leader + 2) % 5, f"SUSPEND one {name}") == answer
        assert "another word" in await fleet_command(scene, leader, f"RESUME one {name}")
        assert "is listed" in await fleet_command(scene, leader, "SUSPEND two nobody")
        await wait_until_excluded(scene, others(scene), {name})
        lost: list[int] = []
        for number in range(2):
            await scene.sidecars[leader].kill()
            scene.sidecars[leader].wipe()
            lost.append(leader)
            # The lost voter is replaced, and a new leader is elected.
            leader = await wait_for_leader(scene, others(scene, *lost), 3)
            await submit(scene, others(scene, *lost), f"DRAIN {other}", f"more-{number}")
            await wait_until_excluded(scene, others(scene, *lost), {name, other})
        for number in lost:
            await scene.sidecars[number].start()
        await wait_until_excluded(scene, lost, {name, other})
        assert '"suspend"' in await fleet_command(scene, lost[0], f"READ {name}")
        assert await submit(scene, lost, f"RESUME {name}", "three")
        await wait_until_excluded(scene, others(scene), {other})

    on_rig(FIVE_SIDECARS, test)


LINK_FAULTS = {
    "link_part": "link_part",
    "link_oneway": "link_oneway",
    "link_oneway_to_leader": "link_oneway",  # the leader's frames arrive, but it receives none
    "link_bridge": "link_bridge",
}


def test_leader_killed_stopped_isolated_cut_one_way_or_bridged_is_replaced_and_returns() -> None:
    """After each fault commands are still committed, and the former leader catches up."""

    async def test(scene: Scene) -> None:
        leader = await create_fleet(scene)
        names = [upstream.name for upstream in scene.nodes]
        command_count = 0
        for fault in ("kill", "stop", *LINK_FAULTS):
            former, followers = scene.sidecars[leader], others(scene, leader)
            if fault == "kill":
                await former.kill()
            elif fault == "stop":
                former.pause()
            link_kind = LINK_FAULTS.get(fault, "link_part")
            affected = {"link_oneway_to_leader": followers, "kill": [], "stop": []}.get(fault, [leader])
            with link_fault(scene, link_kind, affected):
                if fault != "link_bridge":  # a leader that has lost only one of its links may keep leading
                    assert await wait_for_leader(scene, followers) != leader, fault
                command_count += 1
                await submit(scene, followers, f"SUSPEND {names[command_count]}", f"word-{command_count}")
            if fault == "kill":
                await former.start()
            former.wake()
            leader = await wait_for_leader(scene, others(scene))
            await wait_until_excluded(scene, others(scene), set(names[1 : command_count + 1]))

    on_rig(replace(CONSENSUS_PLAN, sidecars=3), test)


def test_lost_majority_is_reported_and_a_stopped_fleet_recovers() -> None:
    async def test(scene: Scene) -> None:
        leader = await create_fleet(scene)
        name = scene.nodes[0].name
        await submit(scene, [leader], f"SUSPEND {name}", "one")
        await wait_until_excluded(scene, others(scene), {name})
        remaining, *stopped = [*others(scene, leader), leader]
        for number in stopped:
            await scene.sidecars[number].kill()

        async def has_no_quorum() -> bool:
            return (await fleet_command(scene, remaining, f"RESUME two {name}")).startswith("no quorum")

        await wait_until(has_no_quorum)
        status = await fleet_object(scene, remaining, "STATUS")
        assert not status["leader"]
        assert status["leaderless_s"] > 0
        assert await excluded_upstreams(scene, remaining) == {name}
        await scene.sidecars[remaining].kill()
        # A sidecar that starts without reachable peers applies its persisted state.
        await scene.sidecars[remaining].start()
        assert await excluded_upstreams(scene, remaining) == {name}
        line = f"excluded for the fleet as of entry {status['applied']}: {name}"
        assert has_log_line(scene, remaining, line)
        for number in stopped:
            await scene.sidecars[number].start()
        await wait_for_leader(scene, others(scene))
        await submit(scene, [remaining], f"RESUME {name}", "two")
        await wait_until_excluded(scene, others(scene), set())

    on_rig(CONSENSUS_PLAN, test)


def has_log_line(scene: Scene, sidecar: int, text: str) -> bool:
    return any(text in line for line in scene.sidecars[sidecar].lines)


class SuspendedUpstreams:
    """Suspends one upstream after the other, and records which ones have to be excluded."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.names = iter([upstream.name for upstream in scene.nodes])
        self.suspended: set[str] = set()

    async def suspend_next(self, sidecars: list[int]) -> None:
        name = next(self.names)
        await submit(self.scene, sidecars, f"SUSPEND {name}", f"id-{name}")
        self.suspended.add(name)

    async def wait_until_excluded(self) -> None:
        await wait_until_excluded(self.scene, others(self.scene), self.suspended)


async def check_full_disks(scene: Scene, leader: int, upstreams: SuspendedUpstreams) -> int:
    """Fill the disk of the leader, then of a follower. Return the new leader."""
    full = scene.sidecars[leader]
    last_name = scene.nodes[-1].name
    full.fill(True)
    await fleet_command(scene, leader, f"SUSPEND full {last_name}")  # the command may be committed or not
    leader = await wait_for_leader(scene, others(scene, leader))
    await upstreams.suspend_next(others(scene, leader))
    full.fill(False)
    await fleet_command(scene, leader, f"RESUME after {last_name}")
    await upstreams.wait_until_excluded()
    follower = scene.sidecars[others(scene, leader)[0]]
    follower.fill(True)
    await upstreams.suspend_next([leader])
    follower.fill(False)
    await upstreams.wait_until_excluded()
    return leader


async def check_kill_at_operation(
    scene: Scene, operation: str, moment: str, upstreams: SuspendedUpstreams
) -> None:
    """Kill the leader at its next operation of this kind on the disk, and start it again."""
    leader = await wait_for_leader(scene, others(scene))
    sidecar = scene.sidecars[leader]
    sidecar.spoil(f"kill {operation} {moment} 1")
    await upstreams.suspend_next(others(scene, leader))
    assert sidecar.process is not None
    assert await sidecar.process.wait() == -9
    sidecar.meant = True
    sidecar.spoil("")
    await sidecar.start()
    await upstreams.wait_until_excluded()


async def check_copied_folder(scene: Scene, upstreams: SuspendedUpstreams) -> None:
    """A folder that is restored from an earlier copy is recognized, and its sidecar becomes another node."""
    leader = await wait_for_leader(scene, others(scene))
    sidecar = scene.sidecars[leader]
    node = (await fleet_object(scene, leader, "STATUS"))["node"]
    copy = sidecar.folder.with_suffix(".copy")
    shutil.copytree(sidecar.folder, copy, ignore=lambda *_: ["sock"])
    await upstreams.suspend_next([leader])
    await sidecar.kill()
    shutil.rmtree(sidecar.folder)
    shutil.copytree(copy, sidecar.folder)
    await sidecar.start()
    assert has_log_line(scene, leader, "is a copy")
    assert (await fleet_object(scene, leader, "STATUS"))["node"] != node
    await upstreams.wait_until_excluded()


def test_full_slow_or_copied_disks_and_kills_during_disk_operations_lose_nothing() -> None:
    async def test(scene: Scene) -> None:
        leader = await create_fleet(scene)
        upstreams = SuspendedUpstreams(scene)
        leader = await check_full_disks(scene, leader, upstreams)
        # Operations on the leader's disk take two seconds: another node is elected, or commands are delayed.
        scene.sidecars[leader].spoil("slow 2")
        await upstreams.suspend_next(others(scene))
        scene.sidecars[leader].spoil("")
        await upstreams.wait_until_excluded()
        for operation, moment in (
            ("write", "before"),
            ("write", "middle"),
            ("write", "after"),
            ("sync", "before"),
            ("sync", "after"),
        ):
            await check_kill_at_operation(scene, operation, moment, upstreams)
        await check_copied_folder(scene, upstreams)
        await wait_for_leader(scene, others(scene), 3)

    on_rig(CONSENSUS_PLAN, test)


# The main program of a sidecar of a later version, which knows one more kind of command.
LATER_VERSION = """
import sys
from sidecar_proxy.consensus import fleet_commands, replicated_commands
replicated_commands.KNOWN_KINDS += ("hush",)
fleet_commands.COMMAND_KINDS["HUSH"] = "hush"
from sidecar_proxy.daemon.__main__ import main
sys.exit(main())
"""
INVALID_CONNECTION_STARTS = (
    b"wsa\x01",
    b"wsa\x01\xff\xff\xff\xff",
    b"wsa\x01\0\0\0\x04abcd",
    bytes(4),
    b"wsa\x02rest",
)


async def check_command_of_later_version(scene: Scene) -> None:
    """A command whose kind only one sidecar knows is committed; the others list it but do not accept such."""
    index = int((await fleet_command(scene, 0, "HUSH x anything")).split()[1])
    name = scene.nodes[0].name
    await submit(scene, [1], f"SUSPEND {name}", "one")
    await wait_until_excluded(scene, others(scene), {name})
    assert (await fleet_object(scene, 2, "WORDS"))["unread"] == [index]
    assert not (await fleet_object(scene, 0, "WORDS"))["unread"]
    assert "expected FLEET" in await fleet_command(scene, 1, "HUSH y anything")


async def check_stepped_clock_and_bad_links(scene: Scene) -> None:
    """Commands are committed while a wall clock is an hour off, and links break and lose data."""
    name = scene.nodes[0].name
    scene.sidecars[1].step(3600.0)
    with link_fault(scene, "link_chop", [0, 1, 2], 900.0), link_fault(scene, "link_lossy", [0, 1, 2], 0.1):
        for number in range(6):
            kind = "SUSPEND" if number % 2 else "RESUME"
            await submit(scene, [1, 2, 0], f"{kind} {name}", f"more-{number}")
    scene.sidecars[1].step(0.0)
    await wait_until_excluded(scene, others(scene), {name})


async def check_invalid_connections(scene: Scene) -> None:
    """Connections that begin with invalid bytes are closed, and the rejection is logged."""
    host, _, port = tomllib.loads(scene.sidecars[0].operator)["gossip"]["bind"].partition(":")
    for data in INVALID_CONNECTION_STARTS:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
    await wait_until(lambda: has_rejected(scene, 0, "greeting of 4 bytes"))


async def check_revoked_certificate(scene: Scene) -> None:
    """The other sidecars reject the one whose certificate is revoked, so that it gets no new commands."""
    name, other = scene.nodes[0].name, scene.nodes[1].name
    assert scene.keys is not None
    scene.keys.revoke("sidecar-2")
    await wait_until(lambda: has_rejected(scene, 0, "revoked"))
    await wait_for_leader(scene, [0, 1])
    await submit(scene, [0, 1], f"SUSPEND {other}", "last")
    await wait_until_excluded(scene, [0, 1], {name, other})
    assert not (await fleet_command(scene, 2, f"RESUME never {name}")).startswith("done")
    assert await excluded_upstreams(scene, 2) == {name}


async def has_rejected(scene: Scene, sidecar: int, reason: str) -> bool:
    return any("agreement" in line and reason in line for line in scene.sidecars[sidecar].lines)


def test_later_version_stepped_clock_bad_links_invalid_connections_and_revoked_certificate() -> None:
    async def test(scene: Scene) -> None:
        later = scene.sidecars[0]
        await later.kill()
        later.command = ["-B", "-c", LATER_VERSION]
        await later.start()
        leader = await create_fleet(scene)
        assert leader == 0
        await check_command_of_later_version(scene)
        await check_stepped_clock_and_bad_links(scene)
        await check_invalid_connections(scene)
        await check_revoked_certificate(scene)

    on_rig(CONSENSUS_PLAN, test)


def run_fleet(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the `fleet` subcommand as a process."""
    completed = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy", "fleet", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    assert "Traceback" not in completed.stderr, completed.stderr
    return completed


async def check_fleet_command(address: str, name: str) -> None:
    """Check the exit status of each subcommand of `fleet`, and a part of its output."""
    for arguments, exit_status, expected in (
        (("status", address), 0, "leads since"),
        (("members", address), 0, "  leads"),
        (("log", address), 0, f"suspend {name}  id one, by "),
        (("words", address), 0, f"suspend {name}"),
        (("begin", address), 1, "there is a fleet already"),
        (("resume", address, name, "--id", "two"), 0, "done "),
        (("read", address, name), 0, '"held": null'),
        (("set", address, "a", "b c"), 0, "done"),
        (("status", "127.0.0.1:1"), 1, "sidecar_proxy: "),
    ):
        completed = await asyncio.to_thread(run_fleet, *arguments)
        assert completed.returncode == exit_status, (arguments, completed)
        assert expected in completed.stdout + completed.stderr, (arguments, completed)
    completed = await asyncio.to_thread(run_fleet, "status", address, "--json")
    assert completed.returncode == 0
    assert json.loads(completed.stdout + completed.stderr)["applied"] > 200


def test_snapshot_over_a_narrow_link_during_commands_and_the_fleet_subcommands() -> None:
    async def test(scene: Scene) -> None:
        leader = await create_fleet(scene)
        name = scene.nodes[0].name
        late = others(scene, leader)[0]
        await scene.sidecars[late].kill()
        running = others(scene, late)
        for number in range(100):  # more entries than `compact`, so that the log is compacted to a snapshot
            await submit(scene, [leader], f"SET key-{number % 30} {'v' * 200}", f"k-{number}")
        with link_fault(scene, "link_narrow", [late], 4000.0):
            await scene.sidecars[late].start()
            for number in range(100):
                await submit(scene, [leader], f"SET key-{number % 30} {'w' * 200}", f"l-{number}")
        await submit(scene, running, f"SUSPEND {name}", "one")
        await wait_until_excluded(scene, others(scene), {name})
        assert (await fleet_object(scene, late, "WORDS"))["settings"]["key-7"]["value"] == "w" * 200
        address = "{}:{}".format(*(scene.sidecars[late].door or ("", 0)))
        await check_fleet_command(address, name)

    on_rig(CONSENSUS_PLAN, test)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('[agreement]\nfolder = "/tmp/x"', "agreement.folder: needs gossip; gossip.bind names no address"),
        ("[agreement]\nvoters = 2", "agreement.voters: expected 1 or 3 or 5, got 2"),
        ("[agreement]\nreplace_s = 1", "agreement.replace_s: expected a number from 2 to 86400, got 1"),
    ],
)
def test_invalid_setting_ends_the_start_with_one_line(text: str, line: str, tmp_path: Path) -> None:
    assert line in refused_start(text, "agreement", tmp_path)
