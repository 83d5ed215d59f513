"""Real sidecars with consensus, over the testbed's relays."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from dataclasses import replace
from typing import Any

from sidecar_proxy.testbed.fault_injection import Fleet
from sidecar_proxy.testbed.scenario import Scene
from tests.sockets import LONG_S
from tests.testbed.playing import RIG

POLL_S = 0.05
RETRY_S = 0.1
CONSENSUS_PLAN = replace(
    RIG,
    extra="""[agreement]
folder = "@folder@"
replace_s = 3.0
compact = 64
""",
)


async def fleet_command(scene: Scene, sidecar: int, line: str) -> str:
    """The answer of a sidecar's admin server to one FLEET command."""
    return await scene.sidecars[sidecar].call(f"FLEET {line}")


async def fleet_object(scene: Scene, sidecar: int, line: str) -> dict[str, Any]:
    """The answer to a FLEET command that answers a JSON object."""
    answer = await fleet_command(scene, sidecar, line)
    text, end = answer.rsplit("\n", 1)
    assert end == "end", answer
    decoded: dict[str, Any] = json.loads(text)
    return decoded


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + LONG_S
    while not await condition():
        assert time.monotonic() < end, "the condition was not met in time"
        await asyncio.sleep(POLL_S)


async def create_fleet(scene: Scene, voter_count: int = 3) -> int:
    """Create the fleet at the first sidecar, wait for all its voters, and return the leader's number."""
    await wait_until(lambda: knows_sidecars(scene, 0, len(scene.sidecars)))
    assert await fleet_command(scene, 0, "BEGIN") == "done"
    return await wait_for_leader(scene, range(len(scene.sidecars)), voter_count)


async def knows_sidecars(scene: Scene, sidecar: int, count: int) -> bool:
    """Whether a sidecar knows at least so many."""
    return len((await fleet_object(scene, sidecar, "STATUS"))["sidecars"]) >= count


async def agreed_leader(scene: Scene, sidecars: Sequence[int], voter_count: int = 0) -> int | None:
    """The number of the leader that all of these sidecars name, at the same applied index.

    With a voter count there have to be so many voters, all of them among these sidecars.
    """
    statuses = [await fleet_object(scene, sidecar, "STATUS") for sidecar in sidecars]
    sidecar_of_node: dict[str, int] = {
        status["node"]: sidecar for status, sidecar in zip(statuses, sidecars, strict=True)
    }
    leaders = {status["leader"] for status in statuses}
    applied = {status["applied"] for status in statuses}
    if len(leaders) != 1 or not leaders <= sidecar_of_node.keys() or len(applied) != 1:
        return None
    if voter_count:
        for status in statuses:
            if len(status["voters"]) != voter_count:
                return None
            if not set(status["voters"]) <= sidecar_of_node.keys():
                return None
    return sidecar_of_node[leaders.pop()]


async def wait_for_leader(scene: Scene, sidecars: Sequence[int], voter_count: int = 0) -> int:
    """Wait until all of these sidecars name the same leader among them, and return its number."""
    end = time.monotonic() + LONG_S
    while True:
        leader = await agreed_leader(scene, sidecars, voter_count)
        if leader is not None:
            return leader
        if time.monotonic() >= end:
            raise AssertionError([await fleet_object(scene, sidecar, "STATUS") for sidecar in sidecars])
        await asyncio.sleep(POLL_S)


async def excluded_upstreams(scene: Scene, sidecar: int) -> set[str]:
    """The names of the upstreams that are excluded for the fleet, as a sidecar knows."""
    return set((await fleet_object(scene, sidecar, "WORDS"))["held"])


async def wait_until_excluded(scene: Scene, sidecars: Iterable[int], names: set[str]) -> None:
    """Wait until each of these sidecars excludes exactly these upstreams."""
    numbers = list(sidecars)

    async def is_excluded() -> bool:
        return all([await excluded_upstreams(scene, number) == names for number in numbers])

    await wait_until(is_excluded)


@contextlib.contextmanager
def link_fault(scene: Scene, kind: str, sidecars: list[int], size: float = 0.0) -> Iterator[None]:
    """A fault of the links of these sidecars for the time of the block."""
    faults = Fleet(scene.sidecars, scene.links)
    ways = faults.ways(kind, sidecars)
    faults.spoil(kind, ways, size, True)
    try:
        yield
    finally:
        faults.spoil(kind, ways, size, False)


async def submit(scene: Scene, sidecars: list[int], line: str, command_id: str) -> int:
    """Submit a command with one id at these sidecars in turn until it is done; return its index."""
    answers: list[str] = []
    end = time.monotonic() + LONG_S
    while time.monotonic() < end:
        kind, _, rest = line.partition(" ")
        sidecar = sidecars[len(answers) % len(sidecars)]
        answer = await fleet_command(scene, sidecar, f"{kind} {command_id} {rest}")
        answers.append(answer)
        if answer.startswith("done "):
            return int(answer.split()[1])
        assert answer.startswith(("unknown", "no quorum")), answer
        await asyncio.sleep(RETRY_S)
    raise AssertionError(answers)
