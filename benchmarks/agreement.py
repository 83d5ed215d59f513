"""What agreed state costs and how soon it is there again.

    python -m benchmarks.agreement [losses virtual words rest learners served store] [--count 100]

`losses`: real sidecars, the leader killed, time until the others name another one, and until a word is done;
`virtual`: the same in virtual time. `words`: one after the other at the leader's door, beside one write and
sync of this disk and one exchange with a door, taken in turns. `rest`: bytes and CPU with nothing said, 10
learners in processes, 1,000 in virtual time. `learners`: 50 of them in processes, ten behind slow links;
and 1,000 words while one fetches a snapshot by a narrow one. `served`: requests, the leader killed each ten
seconds, and the same sidecars killed with the part off. `store`: one save by the store and by sqlite3.
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
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from sidecar_proxy.consensus.frames import encode
from sidecar_proxy.consensus.messages import Entry, HardState
from sidecar_proxy.consensus.replica import SendMessage
from sidecar_proxy.consensus.storage import Store
from sidecar_proxy.model_checking.fleets import World
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import table
from sidecar_proxy.testbed.scenario import Plan, Scene
from tests.consensus.rig import AGREES, begin, fleet, knows, leads, says, spoiled, told

SEALED = 20  # bytes of a frame beside what is in it
TABLE = AGREES.extra.replace("replace_s = 3.0", "replace_s = 60.0")


def spread(times: list[float]) -> str:
    times = sorted(times)
    return (
        f"median {statistics.median(times):.2f}, 95 in 100 under {times[int(len(times) * 0.95)]:.2f}, "
        f"worst {times[-1]:.2f} s of {len(times)}"
    )


def plan(voters: int, sidecars: int) -> Plan:
    return replace(AGREES, sidecars=sidecars, rate=0.0, seconds=0.0, extra=TABLE + f"voters = {voters}\n")


async def on(what: Plan, does: Callable[[Scene], Awaitable[Any]]) -> Any:
    async with Scene(what) as scene:
        return await does(scene)


# A leader's loss


async def losses(scene: Scene, voters: int, count: int) -> None:
    """The time until any other names a new one is looked at each ten milliseconds."""
    leader = await begin(scene, voters)
    again, words = [], []
    for number in range(count):
        rest = [one for one in range(len(scene.sidecars)) if one != leader]
        old = (await told(scene, leader, "STATUS"))["node"]
        voting = [one for one in rest if (await told(scene, one, "STATUS"))["role"] != "learner"]
        start = time.monotonic()
        await scene.sidecars[leader].kill()
        while True:
            named = {(await told(scene, one, "STATUS"))["leader"] for one in voting}
            if named - {"", old}:
                break
            await asyncio.sleep(0.01)
        again.append(time.monotonic() - start)
        await says(scene, voting, f"SET a {number}", f"w-{number}")
        words.append(time.monotonic() - start)
        await scene.sidecars[leader].start()
        leader = await leads(scene, range(len(scene.sidecars)), voters)
    print(f"{voters} voters, real: a leader again: {spread(again)}; a word done: {spread(words)}", flush=True)


def virtual(voters: int, count: int) -> None:
    times = []
    for seed in range(count):
        world = World(seed, voters + 2, voters)
        world.run(12.0)
        while not world.leaders():
            world.run(0.1)
        old = world.leaders()[0]
        world.kill(old)
        start = world.now_us
        while not world.leaders():
            world.run(0.01)
        times.append((world.now_us - start) / 1e6)
    print(f"{voters} voters, virtual: a leader again: {spread(times)}")


# Words


async def words(scene: Scene, count: int) -> None:
    leader = await begin(scene)
    said, asked, synced = [], [], []
    with tempfile.TemporaryDirectory(dir=scene.folder.name) as folder:
        file = os.open(Path(folder) / "f", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        for number in range(count):
            start = time.perf_counter()
            assert (await fleet(scene, leader, f"SET w-{number} a {number}")).startswith("done")
            said.append(time.perf_counter() - start)
            start = time.perf_counter()
            await fleet(scene, leader, "LOG-not-there")
            asked.append(time.perf_counter() - start)
            start = time.perf_counter()
            os.write(file, bytes(200))
            os.fsync(file)
            synced.append(time.perf_counter() - start)
        os.close(file)
    median = [statistics.median(one) * 1000 for one in (said, asked, synced)]
    print(
        f"a word at the leader's door: {median[0]:.2f} ms; the door alone {median[1]:.2f}, one write and "
        f"sync {median[2]:.2f} (medians of {count})",
        flush=True,
    )


# At rest


async def used(scene: Scene, seconds: float) -> tuple[list[float], list[int]]:
    """CPU seconds and bytes of agreed state, of each sidecar."""

    async def look() -> tuple[list[float], list[int]]:
        cpu = [one.usage()[0] for one in scene.sidecars]
        bytes_out = []
        for number in range(len(scene.sidecars)):
            answer = await fleet(scene, number, "STATUS")
            known = {} if answer.startswith("error") else (await told(scene, number, "STATUS"))["counts"]
            bytes_out.append(known.get("bytes out", 0))
        return cpu, bytes_out

    before = await look()
    await asyncio.sleep(seconds)
    after = await look()
    return (
        [(b - a) / seconds for a, b in zip(before[0], after[0], strict=True)],
        [b - a for a, b in zip(before[1], after[1], strict=True)],
    )


async def rest(scene: Scene, seconds: float, begun: bool) -> list[float]:
    leader = await begin(scene) if begun else 0
    await asyncio.sleep(3.0)
    cpu, sent = await used(scene, seconds)
    if begun:
        voters = (await told(scene, leader, "STATUS"))["voters"]
        print(
            f"at rest, {len(voters)} voters and {len(scene.sidecars) - len(voters)} learners in processes: "
            f"{sum(sent) / seconds:.0f} bytes a second in all, {max(sent) / seconds:.0f} of the leader"
        )
    return cpu


def virtual_rest(learners: int, seconds: float = 30.0) -> None:
    """Only what agreed state says; gossip's word of it is told apart."""

    class Counted(World):
        sent = said = 0

        def post(self, mind: Any, one: SendMessage) -> None:
            Counted.sent += len(encode(one.frame)) + SEALED
            super().post(mind, one)

        def spread(self, mind: Any, here: Any) -> None:
            """What a learner says is of use to voters alone; a thousand times a thousand take too long."""
            Counted.said += 1
            for there in self.minds.values():
                if there is not mind and (here.votes or there.name in ("m0", "m1", "m2", "m3")):
                    self.later(
                        self.dice.randrange(50_000, 1_200_000),
                        partial(self.give, there, there.life, partial(self.hear, mind, here)),
                    )

    world = Counted(1, learners + 3, 3)
    world.run(40.0)
    behind = sum(
        one.member.state.index < world.leaders()[0].member.state.index for one in world.minds.values()
    )
    Counted.sent = Counted.said = 0
    start = time.process_time()
    world.run(seconds)
    cpu_us = (time.process_time() - start) / seconds / (learners + 3) * 1e6
    print(
        f"at rest, 3 voters and {learners} learners in virtual time: {Counted.sent / seconds:.0f} bytes a "
        f"second in all, {Counted.said / seconds:.2f} words by gossip; {behind} were behind after 40 s; "
        f"{cpu_us:.0f} us of CPU a second and sidecar"
    )
    mind = world.leaders()[0]
    world.perform(mind, mind.member.say(1, _word(), world.now_us))
    waited = 0.0
    while (
        any(one.member.state.index < mind.member.state.index for one in world.minds.values()) or waited < 0.2
    ):
        world.run(0.1)
        waited += 0.1
        if waited > 60:
            break
    print(f"  one word is in effect at all {learners + 3} after {waited:.1f} s")


def _word() -> Any:
    from sidecar_proxy.consensus.replicated_commands import ReplicatedCommand

    return ReplicatedCommand("set", "bench", "bench", 0, "a", 0, "b")


# Learners


async def learners(scene: Scene, count: int) -> None:
    """A fifth of them behind links of half a second; words at doors in turn, and how long until each is in
    effect at all."""
    while not await knows(scene, 0, len(scene.sidecars)):
        await asyncio.sleep(0.5)
    await begin(scene)
    slow = list(range(len(scene.sidecars) - (len(scene.sidecars) - 3) // 5, len(scene.sidecars)))
    times: dict[str, list[float]] = {"all": [], "quick": []}
    with spoiled(scene, "link_slow", slow, 0.5):
        for number in range(count):
            index = await says(scene, [number % 3], f"SET l {number}", f"l-{number}")
            start = time.monotonic()
            left = set(range(len(scene.sidecars)))
            while left:
                there = [(one, (await told(scene, one, "STATUS"))["applied"]) for one in sorted(left)]
                left -= {one for one, applied in there if applied >= index}
                if not left - set(slow) and len(times["quick"]) <= number:
                    times["quick"].append(time.monotonic() - start)
            times["all"].append(time.monotonic() - start)
    print(
        f"{len(scene.sidecars) - 3} learners, {len(slow)} of them slow: a word in effect at the others: "
        f"{spread(times['quick'])}; at all: {spread(times['all'])}",
        flush=True,
    )


async def narrow(scene: Scene, count: int) -> None:
    """A learner that knows nothing comes by a link of 4 kB a second, while words are said."""
    leader = await begin(scene)
    late = [one for one in range(4) if (await told(scene, one, "STATUS"))["role"] == "learner"][0]
    await scene.sidecars[late].kill()
    scene.sidecars[late].wipe()
    for number in range(count // 2):
        await says(scene, [leader], f"SET n-{number % 150} {'v' * 200}", f"n-{number}")
    with spoiled(scene, "link_narrow", [late], 4000.0):
        await scene.sidecars[late].start()
        start = time.monotonic()
        for number in range(count):
            await says(scene, [leader], f"SET n-{number % 150} {'w' * 200}", f"m-{number}")
        said_s = time.monotonic() - start
        goal = (await told(scene, leader, "STATUS"))["applied"]
        while (await told(scene, late, "STATUS"))["applied"] < goal:
            await asyncio.sleep(0.1)
    print(
        f"{count} words in {said_s:.1f} s while a snapshot goes out at 4 kB a second; it is up to date "
        f"after {time.monotonic() - start:.1f} s",
        flush=True,
    )


# Requests


async def served(scene: Scene, order: list[int], choose: bool) -> float:
    """Each ten seconds the leader is killed, and started again after two; without agreed state those that
    were the leaders in the other play."""
    if choose:
        await begin(scene)

    async def kill() -> None:
        for turn in range(3):
            await asyncio.sleep(8.0)
            if choose:
                order.append(await leads(scene, range(len(scene.sidecars))))
            one = scene.sidecars[order[turn]]
            await one.kill()
            await asyncio.sleep(2.0)
            await one.start()

    await asyncio.gather(scene.play(), kill())
    rows = table(scene.ledger)
    return sum(row.served for row in rows) / sum(row.asked for row in rows)


async def both() -> None:
    busy = replace(
        AGREES, sidecars=5, nodes=12, rate=150.0, seconds=32.0, machine=Machine(work_us=8_000), extra=TABLE
    )
    order: list[int] = []
    with_it = await on(busy, lambda scene: served(scene, order, True))
    without = await on(replace(busy, extra=""), lambda scene: served(scene, order, False))
    print(f"served while leaders {order} were killed: {with_it:.4f} with agreed state, {without:.4f} without")


# The store


def store(count: int) -> None:
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
        ours = Store(Path(folder) / "ours")
        ours.open()
        base = sqlite3.connect(Path(folder) / "base", isolation_level=None)
        base.execute("pragma journal_mode = wal")
        base.execute("pragma synchronous = full")
        base.execute("create table log (at integer primary key, term integer, data blob)")
        times: tuple[list[float], list[float]] = ([], [])
        for index in range(1, count + 1):
            start = time.perf_counter()
            ours.save(None, index - 1, None, [Entry(1, index, bytes(150))], HardState(1, "a"))
            times[0].append(time.perf_counter() - start)
            start = time.perf_counter()
            base.execute("insert into log values (?, ?, ?)", (index, 1, bytes(150)))
            times[1].append(time.perf_counter() - start)
        ours.close()
        base.close()
    own, other = [statistics.median(one) * 1e6 for one in times]
    print(
        f"one save: {own:.0f} us by a file of records, {other:.0f} us by sqlite3 (WAL, full); medians of "
        f"{count}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what", nargs="*", default=["virtual", "words", "rest", "learners", "served", "store", "losses"]
    )
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--voters", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--learners", type=int, default=1000)
    asked = parser.parse_args()
    if "store" in asked.what:
        store(asked.count * 5)
    if "virtual" in asked.what:
        for voters in asked.voters:
            virtual(voters, asked.count)
    if "words" in asked.what:
        asyncio.run(on(plan(3, 3), lambda scene: words(scene, asked.count * 2)))
    if "rest" in asked.what:
        on_cpu = asyncio.run(on(plan(3, 13), lambda scene: rest(scene, 20.0, True)))
        off_cpu = asyncio.run(on(replace(plan(3, 13), extra=""), lambda scene: rest(scene, 20.0, False)))
        more = [(a - b) * 100 for a, b in zip(on_cpu, off_cpu, strict=True)]
        print(
            f"  CPU beside gossip's: {max(more):.2f}% of a core at the busiest, "
            f"{statistics.mean(more):.2f}% on average ({statistics.mean(off_cpu) * 100:.2f}% without)"
        )
        virtual_rest(asked.learners)
    if "learners" in asked.what:
        asyncio.run(on(plan(3, 53), partial(learners, count=20)))
        asyncio.run(on(plan(3, 4), partial(narrow, count=1000)))
    if "served" in asked.what:
        asyncio.run(both())
    if "losses" in asked.what:
        for voters in asked.voters:
            asyncio.run(on(plan(voters, voters), partial(losses, voters=voters, count=asked.count)))


if __name__ == "__main__":
    main()
