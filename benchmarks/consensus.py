"""The costs of consensus, and how soon it recovers from the loss of a leader.

    python -m benchmarks.consensus [losses virtual commands idle learners served storage] [--count 100]

`losses`: real sidecars; the leader is killed, and the time is taken until another sidecar names a new
leader and until a command is done. `virtual`: the same in virtual time. `commands`: one after the other at
the leader's admin server, next to one write and sync of this disk and one exchange with an admin server, in
turns. `idle`: bytes and CPU without commands, with 10 learners in processes and 1,000 in virtual time.
`learners`: 50 of them in processes, ten behind slow links; and 1,000 commands while one learner fetches a
snapshot over a narrow link. `served`: requests while the leader is killed every ten seconds, and while the
same sidecars are killed without consensus. `storage`: one save by the log store and by sqlite3.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sqlite3
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from sidecar_proxy.consensus.frames import ReplicaStatus, encode
from sidecar_proxy.consensus.messages import Entry, HardState
from sidecar_proxy.consensus.outputs import SendMessage
from sidecar_proxy.consensus.replicated_commands import CommandKind, ReplicatedCommand
from sidecar_proxy.consensus.storage import LogStore
from sidecar_proxy.model_checking.fleets import Mind, World
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.scenario import Plan, Scene
from tests.consensus.rig import (
    CONSENSUS_PLAN,
    create_fleet,
    fleet_command,
    fleet_object,
    knows_sidecars,
    link_fault,
    submit,
    wait_for_leader,
)

FRAME_OVERHEAD_BYTES = 20  # of a sealed frame
OPERATOR_TABLE = CONSENSUS_PLAN.extra.replace("replace_s = 3.0", "replace_s = 60.0")
POLL_S = 0.01
ENTRY_BYTES = 150
SNAPSHOT_KEYS = 150
VALUE_BYTES = 200
NARROW_LINK_BYTES_PER_S = 4000.0
SLOW_LINK_S = 0.5
MEASUREMENTS = ("virtual", "commands", "idle", "learners", "served", "storage", "losses")


def summarize(times_s: list[float]) -> str:
    ordered = sorted(times_s)
    percentile_95 = ordered[int(len(ordered) * 0.95)]
    return (
        f"median {statistics.median(ordered):.2f}, 95 in 100 under {percentile_95:.2f}, "
        f"worst {ordered[-1]:.2f} s of {len(ordered)}"
    )


def create_plan(voter_count: int, sidecar_count: int) -> Plan:
    extra = OPERATOR_TABLE + f"voters = {voter_count}\n"
    return replace(CONSENSUS_PLAN, sidecars=sidecar_count, rate=0.0, seconds=0.0, extra=extra)


async def run_on(plan: Plan, measure: Callable[[Scene], Awaitable[Any]]) -> Any:
    async with Scene(plan) as scene:
        return await measure(scene)


async def status_of(scene: Scene, sidecar: int) -> dict[str, Any]:
    return await fleet_object(scene, sidecar, "STATUS")


# The loss of a leader


async def measure_losses(scene: Scene, voter_count: int, count: int) -> None:
    """Kill the leader, and look every ten milliseconds whether another sidecar names a new one."""
    leader = await create_fleet(scene, voter_count)
    election_s: list[float] = []
    command_s: list[float] = []
    for number in range(count):
        others = [sidecar for sidecar in range(len(scene.sidecars)) if sidecar != leader]
        old_node = (await status_of(scene, leader))["node"]
        voters = [sidecar for sidecar in others if (await status_of(scene, sidecar))["role"] != "learner"]
        start = time.monotonic()
        await scene.sidecars[leader].kill()
        while True:
            leaders = {(await status_of(scene, sidecar))["leader"] for sidecar in voters}
            if leaders - {"", old_node}:
                break
            await asyncio.sleep(POLL_S)
        election_s.append(time.monotonic() - start)
        await submit(scene, voters, f"SET a {number}", f"w-{number}")
        command_s.append(time.monotonic() - start)
        await scene.sidecars[leader].start()
        leader = await wait_for_leader(scene, range(len(scene.sidecars)), voter_count)
    print(
        f"{voter_count} voters, real: a leader again: {summarize(election_s)}; "
        f"a command done: {summarize(command_s)}",
        flush=True,
    )


def measure_virtual_losses(voter_count: int, count: int) -> None:
    times_s = []
    for seed in range(count):
        world = World(seed, voter_count + 2, voter_count)
        world.run(12.0)
        while not world.leaders():
            world.run(0.1)
        world.kill(world.leaders()[0])
        start_us = world.now_us
        while not world.leaders():
            world.run(POLL_S)
        times_s.append((world.now_us - start_us) / 1e6)
    print(f"{voter_count} voters, virtual: a leader again: {summarize(times_s)}")


# Commands


async def measure_commands(scene: Scene, count: int) -> None:
    leader = await create_fleet(scene)
    command_s: list[float] = []
    exchange_s: list[float] = []
    sync_s: list[float] = []
    with tempfile.TemporaryDirectory(dir=scene.folder.name) as folder:
        file = os.open(Path(folder) / "f", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        for number in range(count):
            start = time.perf_counter()
            answer = await fleet_command(scene, leader, f"SET w-{number} a {number}")
            assert answer.startswith("done")
            command_s.append(time.perf_counter() - start)
            start = time.perf_counter()
            await fleet_command(scene, leader, "LOG-not-there")
            exchange_s.append(time.perf_counter() - start)
            start = time.perf_counter()
            os.write(file, bytes(200))
            os.fsync(file)
            sync_s.append(time.perf_counter() - start)
        os.close(file)
    command_ms, exchange_ms, sync_ms = (
        statistics.median(times_s) * 1000 for times_s in (command_s, exchange_s, sync_s)
    )
    print(
        f"a command at the leader's admin server: {command_ms:.2f} ms; the admin server alone "
        f"{exchange_ms:.2f}, one write and sync {sync_ms:.2f} (medians of {count})",
        flush=True,
    )


# Idle fleets


@dataclass(frozen=True)
class Usage:
    """CPU seconds and sent bytes of consensus, of each sidecar."""

    cpu_s: list[float]
    sent_bytes: list[int]


async def read_usage(scene: Scene) -> Usage:
    cpu_s = [sidecar.usage()[0] for sidecar in scene.sidecars]
    sent_bytes = []
    for sidecar in range(len(scene.sidecars)):
        answer = await fleet_command(scene, sidecar, "STATUS")
        counts = {} if answer.startswith("error") else (await status_of(scene, sidecar))["counts"]
        sent_bytes.append(counts.get("bytes out", 0))
    return Usage(cpu_s, sent_bytes)


async def measure_idle(scene: Scene, seconds: float, has_consensus: bool) -> list[float]:
    """Return the share of a core that each sidecar uses."""
    leader = await create_fleet(scene) if has_consensus else 0
    await asyncio.sleep(3.0)
    before = await read_usage(scene)
    await asyncio.sleep(seconds)
    after = await read_usage(scene)
    cpu_share = [(end - start) / seconds for start, end in zip(before.cpu_s, after.cpu_s, strict=True)]
    sent_bytes = [end - start for start, end in zip(before.sent_bytes, after.sent_bytes, strict=True)]
    if has_consensus:
        voter_count = len((await status_of(scene, leader))["voters"])
        print(
            f"idle, {voter_count} voters and {len(scene.sidecars) - voter_count} learners in processes: "
            f"{sum(sent_bytes) / seconds:.0f} bytes a second in all, "
            f"{max(sent_bytes) / seconds:.0f} of the leader"
        )
    return cpu_share


class CountingWorld(World):
    """Counts what consensus sends; its gossip broadcasts are counted apart."""

    sent_bytes = 0
    broadcast_count = 0

    def post(self, mind: Mind, one: SendMessage) -> None:
        self.sent_bytes += len(encode(one.frame)) + FRAME_OVERHEAD_BYTES
        super().post(mind, one)

    def spread(self, mind: Mind, here: ReplicaStatus) -> None:
        """Deliver a learner's status to voters alone: a thousand times a thousand take too long."""
        self.broadcast_count += 1
        for target in self.minds.values():
            if target is mind or not (here.is_voter or target.name in ("m0", "m1", "m2", "m3")):
                continue
            deliver = partial(self.give, target, target.life, partial(self.hear, mind, here))
            self.later(self.dice.randrange(50_000, 1_200_000), deliver)

    def behind_count(self, index: int) -> int:
        return sum(mind.member.state.index < index for mind in self.minds.values())


def measure_virtual_idle(learner_count: int, seconds: float = 30.0) -> None:
    world = CountingWorld(1, learner_count + 3, 3)
    world.run(40.0)
    behind_count = world.behind_count(world.leaders()[0].member.state.index)
    world.sent_bytes = 0
    world.broadcast_count = 0
    start = time.process_time()
    world.run(seconds)
    cpu_us = (time.process_time() - start) / seconds / (learner_count + 3) * 1e6
    print(
        f"idle, 3 voters and {learner_count} learners in virtual time: "
        f"{world.sent_bytes / seconds:.0f} bytes a second in all, "
        f"{world.broadcast_count / seconds:.2f} broadcasts by gossip; {behind_count} were behind after "
        f"40 s; {cpu_us:.0f} us of CPU a second and sidecar"
    )
    leader = world.leaders()[0]
    command = ReplicatedCommand(CommandKind.SET, "bench", "bench", 0, "a", 0, "b")
    world.perform(leader, leader.member.submit_command(1, command, world.now_us))
    waited_s = 0.0
    while (world.behind_count(leader.member.state.index) or waited_s < 0.2) and waited_s <= 60:
        world.run(0.1)
        waited_s += 0.1
    print(f"  one command is in effect at all {learner_count + 3} after {waited_s:.1f} s")


# Learners


async def measure_learners(scene: Scene, count: int) -> None:
    """How long until a command is in effect everywhere, with a fifth of the learners behind slow links."""
    sidecar_count = len(scene.sidecars)
    while not await knows_sidecars(scene, 0, sidecar_count):
        await asyncio.sleep(0.5)
    await create_fleet(scene)
    slow = list(range(sidecar_count - (sidecar_count - 3) // 5, sidecar_count))
    all_s: list[float] = []
    fast_s: list[float] = []
    with link_fault(scene, "link_slow", slow, SLOW_LINK_S):
        for number in range(count):
            index = await submit(scene, [number % 3], f"SET l {number}", f"l-{number}")
            start = time.monotonic()
            missing = set(range(sidecar_count))
            while missing:
                applied = {
                    sidecar: (await status_of(scene, sidecar))["applied"] for sidecar in sorted(missing)
                }
                missing -= {sidecar for sidecar, applied_index in applied.items() if applied_index >= index}
                if not missing - set(slow) and len(fast_s) <= number:
                    fast_s.append(time.monotonic() - start)
            all_s.append(time.monotonic() - start)
    print(
        f"{sidecar_count - 3} learners, {len(slow)} of them slow: a command in effect at the others: "
        f"{summarize(fast_s)}; at all: {summarize(all_s)}",
        flush=True,
    )


async def measure_narrow_link(scene: Scene, count: int) -> None:
    """A learner without state arrives over a narrow link, while commands go on."""
    leader = await create_fleet(scene)
    roles = [(await status_of(scene, sidecar))["role"] for sidecar in range(4)]
    late = roles.index("learner")
    await scene.sidecars[late].kill()
    scene.sidecars[late].wipe()
    for number in range(count // 2):
        line = f"SET n-{number % SNAPSHOT_KEYS} {'v' * VALUE_BYTES}"
        await submit(scene, [leader], line, f"n-{number}")
    with link_fault(scene, "link_narrow", [late], NARROW_LINK_BYTES_PER_S):
        await scene.sidecars[late].start()
        start = time.monotonic()
        for number in range(count):
            line = f"SET n-{number % SNAPSHOT_KEYS} {'w' * VALUE_BYTES}"
            await submit(scene, [leader], line, f"m-{number}")
        submitted_s = time.monotonic() - start
        target_index = (await status_of(scene, leader))["applied"]
        while (await status_of(scene, late))["applied"] < target_index:
            await asyncio.sleep(0.1)
    print(
        f"{count} commands in {submitted_s:.1f} s while a snapshot goes out at 4 kB a second; it is up to "
        f"date after {time.monotonic() - start:.1f} s",
        flush=True,
    )


# Requests


async def measure_served(scene: Scene, killed: list[int], kills_leaders: bool) -> float:
    """Kill a sidecar every ten seconds and start it again after two; return the share that was served.

    With `kills_leaders` they are the leaders, and `killed` is filled; else they are those of `killed`.
    """
    if kills_leaders:
        await create_fleet(scene)

    async def kill_in_turn() -> None:
        for turn in range(3):
            await asyncio.sleep(8.0)
            if kills_leaders:
                killed.append(await wait_for_leader(scene, range(len(scene.sidecars))))
            sidecar = scene.sidecars[killed[turn]]
            await sidecar.kill()
            await asyncio.sleep(2.0)
            await sidecar.start()

    await asyncio.gather(scene.play(), kill_in_turn())
    rows = table(scene.ledger)
    return sum(row.served for row in rows) / sum(row.asked for row in rows)


async def compare_served() -> None:
    plan = replace(
        CONSENSUS_PLAN,
        sidecars=5,
        nodes=12,
        rate=150.0,
        seconds=32.0,
        machine=Machine(work_us=8_000),
        extra=OPERATOR_TABLE,
    )
    killed: list[int] = []
    with_consensus = await run_on(plan, lambda scene: measure_served(scene, killed, True))
    without = await run_on(replace(plan, extra=""), lambda scene: measure_served(scene, killed, False))
    print(
        f"served while leaders {killed} were killed: {with_consensus:.4f} with consensus, "
        f"{without:.4f} without"
    )


# Storage


def measure_storage(count: int) -> None:
    store_s: list[float] = []
    sqlite_s: list[float] = []
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
        store = LogStore(Path(folder) / "store")
        store.open()
        database = sqlite3.connect(Path(folder) / "database", isolation_level=None)
        database.execute("pragma journal_mode = wal")
        database.execute("pragma synchronous = full")
        database.execute("create table log (at integer primary key, term integer, data blob)")
        for index in range(1, count + 1):
            start = time.perf_counter()
            store.save(None, index - 1, None, [Entry(1, index, bytes(ENTRY_BYTES))], HardState(1, "a"))
            store_s.append(time.perf_counter() - start)
            start = time.perf_counter()
            database.execute("insert into log values (?, ?, ?)", (index, 1, bytes(ENTRY_BYTES)))
            sqlite_s.append(time.perf_counter() - start)
        store.close()
        database.close()
    print(
        f"one save: {statistics.median(store_s) * 1e6:.0f} us by the log store, "
        f"{statistics.median(sqlite_s) * 1e6:.0f} us by sqlite3 (WAL, full); medians of {count}"
    )


def measure_all_idle(learner_count: int) -> None:
    plan = create_plan(3, 13)
    with_consensus = asyncio.run(run_on(plan, lambda scene: measure_idle(scene, 20.0, True)))
    without = asyncio.run(run_on(replace(plan, extra=""), lambda scene: measure_idle(scene, 20.0, False)))
    added_percent = [(on - off) * 100 for on, off in zip(with_consensus, without, strict=True)]
    print(
        f"  CPU beside gossip's: {max(added_percent):.2f}% of a core at the busiest, "
        f"{statistics.mean(added_percent):.2f}% on average "
        f"({statistics.mean(without) * 100:.2f}% without)"
    )
    measure_virtual_idle(learner_count)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("measurements", nargs="*", default=list(MEASUREMENTS))
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--voters", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--learners", type=int, default=1000)
    options = parser.parse_args()
    if "storage" in options.measurements:
        measure_storage(options.count * 5)
    if "virtual" in options.measurements:
        for voter_count in options.voters:
            measure_virtual_losses(voter_count, options.count)
    if "commands" in options.measurements:
        asyncio.run(run_on(create_plan(3, 3), partial(measure_commands, count=options.count * 2)))
    if "idle" in options.measurements:
        measure_all_idle(options.learners)
    if "learners" in options.measurements:
        asyncio.run(run_on(create_plan(3, 53), partial(measure_learners, count=20)))
        asyncio.run(run_on(create_plan(3, 4), partial(measure_narrow_link, count=1000)))
    if "served" in options.measurements:
        asyncio.run(compare_served())
    if "losses" in options.measurements:
        for voter_count in options.voters:
            plan = create_plan(voter_count, voter_count)
            measure = partial(measure_losses, voter_count=voter_count, count=options.count)
            asyncio.run(run_on(plan, measure))


if __name__ == "__main__":
    main()
