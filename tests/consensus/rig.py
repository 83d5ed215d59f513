"""Helpers for tests of consensus with real sidecar processes that are connected by the testbed's relays."""

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
    """Send a FLEET command to a sidecar's admin server and return the answer."""
    return await scene.sidecars[sidecar].call(f"FLEET {line}")


async def fleet_object(scene: Scene, sidecar: int, line: str) -> dict[str, Any]:
    """Send a FLEET command whose answer is a JSON object, and return that object."""
    answer = await fleet_command(scene, sidecar, line)
    text, end_line = answer.rsplit("\n", 1)
    assert end_line == "end", answer
    decoded: dict[str, Any] = json.loads(text)
    return decoded


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition is met; fail after LONG_S seconds."""
    deadline_s = time.monotonic() + LONG_S
    while not await condition():
        assert time.monotonic() < deadline_s, f"the condition was not met within {LONG_S} s"
        await asyncio.sleep(POLL_S)


async def create_fleet(scene: Scene, voter_count: int = 3) -> int:
    """Create the fleet at the first sidecar, wait for its voters, and return the leader's sidecar number."""
    await wait_until(lambda: knows_sidecars(scene, 0, len(scene.sidecars)))
    assert await fleet_command(scene, 0, "BEGIN") == "done"
    return await wait_for_leader(scene, range(len(scene.sidecars)), voter_count)


async def knows_sidecars(scene: Scene, sidecar: int, count: int) -> bool:
    """Return whether a sidecar's status lists at least `count` sidecars."""
    return len((await fleet_object(scene, sidecar, "STATUS"))["sidecars"]) >= count


async def agreed_leader(scene: Scene, sidecars: Sequence[int], voter_count: int = 0) -> int | None:
    """Return the number of the leader that all of these sidecars report at the same applied index, or None.

    With a voter count there must be exactly that many voters, all of them among these sidecars.
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
    """Wait until all of these sidecars report the same leader among them, and return its number."""
    deadline_s = time.monotonic() + LONG_S
    while True:
        leader = await agreed_leader(scene, sidecars, voter_count)
        if leader is not None:
            return leader
        if time.monotonic() >= deadline_s:
            raise AssertionError([await fleet_object(scene, sidecar, "STATUS") for sidecar in sidecars])
        await asyncio.sleep(POLL_S)


async def excluded_upstreams(scene: Scene, sidecar: int) -> set[str]:
    """Return the names of the upstreams that a sidecar reports as excluded for the fleet."""
    return set((await fleet_object(scene, sidecar, "WORDS"))["held"])


async def wait_until_excluded(scene: Scene, sidecars: Iterable[int], names: set[str]) -> None:
    """Wait until each of these sidecars reports exactly these upstreams as excluded."""
    numbers = list(sidecars)

    async def are_excluded() -> bool:
        return all([await excluded_upstreams(scene, number) == names for number in numbers])

    await wait_until(are_excluded)


@contextlib.contextmanager
def link_fault(scene: Scene, kind: str, sidecars: list[int], size: float = 0.0) -> Iterator[None]:
    """Inject a fault into the links of these sidecars during the `with` block."""
    faults = Fleet(scene.sidecars, scene.links)
    ways = faults.ways(kind, sidecars)
    faults.spoil(kind, ways, size, True)
    try:
        yield
    finally:
        faults.spoil(kind, ways, size, False)


async def submit(scene: Scene, sidecars: list[int], line: str, command_id: str) -> int:
    """Submit a command to these sidecars in turn, with the same id, until it is done; return its index."""
    answers: list[str] = []
    deadline_s = time.monotonic() + LONG_S
    while time.monotonic() < deadline_s:
        kind, _, arguments = line.partition(" ")
        sidecar = sidecars[len(answers) % len(sidecars)]
        answer = await fleet_command(scene, sidecar, f"{kind} {command_id} {arguments}")
        answers.append(answer)
        if answer.startswith("done "):
            return int(answer.split()[1])
        assert answer.startswith(("unknown", "no quorum")), answer
        await asyncio.sleep(RETRY_S)
    raise AssertionError(answers)
