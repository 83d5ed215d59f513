"""Real sidecars that agree, over the rig's relays."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any

from sidecar_proxy.testbed.fault_injection import Fleet
from sidecar_proxy.testbed.scenario import Scene
from tests.sockets import LONG_S
from tests.testbed.playing import RIG

AGREES = replace(
    RIG,
    extra="""[agreement]
folder = "@folder@"
replace_s = 3.0
compact = 64
""",
)


async def fleet(scene: Scene, number: int, line: str) -> str:
    return await scene.sidecars[number].call(f"FLEET {line}")


async def told(scene: Scene, number: int, line: str) -> dict[str, Any]:
    answer = await fleet(scene, number, line)
    text, end = answer.rsplit("\n", 1)
    assert end == "end", answer
    found: dict[str, Any] = json.loads(text)
    return found


async def until(holds: Callable[[], Awaitable[int]]) -> int:
    """What it says, once that is true."""
    end = time.monotonic() + LONG_S
    while True:
        found = await holds()
        if found:
            return found
        assert time.monotonic() < end, "it did not come to it"
        await asyncio.sleep(0.05)


async def begin(scene: Scene, voters: int = 3) -> int:
    """The fleet is begun at the first sidecar and has all its voters; the number of the one that leads."""
    await until(lambda: knows(scene, 0, len(scene.sidecars)))
    assert await fleet(scene, 0, "BEGIN") == "done"
    return await leads(scene, range(len(scene.sidecars)), voters)


async def knows(scene: Scene, number: int, count: int) -> bool:
    return len((await told(scene, number, "STATUS"))["sidecars"]) >= count


async def led(scene: Scene, numbers: Any, voters: int = 0) -> int:
    """1 and the number of the one that leads, if it does so for all of these; else 0. `voters`: so many, all
    of them of these.
    """
    found = [await told(scene, number, "STATUS") for number in numbers]
    leaders = {one["leader"] for one in found}
    nodes: dict[str, int] = {one["node"]: number for one, number in zip(found, numbers, strict=True)}
    if len(leaders) != 1 or not leaders <= nodes.keys() or len({one["applied"] for one in found}) != 1:
        return 0
    if voters and any(
        len(one["voters"]) != voters or not set(one["voters"]) <= nodes.keys() for one in found
    ):
        return 0
    return nodes[leaders.pop()] + 1


async def leads(scene: Scene, numbers: Any, voters: int = 0) -> int:
    """The number of the one that comes to lead, by the word of all of these."""
    try:
        return await until(lambda: led(scene, numbers, voters)) - 1
    except AssertionError as error:
        found = [await told(scene, number, "STATUS") for number in numbers]
        raise AssertionError(found) from error


async def held(scene: Scene, number: int) -> set[str]:
    return set((await told(scene, number, "WORDS"))["held"])


async def all_hold(scene: Scene, numbers: Any, names: set[str]) -> None:
    """Each of these sidecars comes to hold just these upstreams."""

    async def hold() -> bool:
        return all([await held(scene, number) == names for number in numbers])

    await until(hold)


@contextlib.contextmanager
def spoiled(scene: Scene, kind: str, numbers: list[int], size: float = 0.0) -> Iterator[None]:
    """A fault of the links of these sidecars, while it lasts."""
    broken = Fleet(scene.sidecars, scene.links)
    ways = broken.ways(kind, numbers)
    broken.spoil(kind, ways, size, True)
    try:
        yield
    finally:
        broken.spoil(kind, ways, size, False)


async def says(scene: Scene, numbers: list[int], line: str, ident: str) -> int:
    """It is said, with the same id, at one door after the other, until it is done; its index."""
    answers: list[str] = []
    end = time.monotonic() + LONG_S
    while time.monotonic() < end:
        kind, _, rest = line.partition(" ")
        answer = await fleet(scene, numbers[len(answers) % len(numbers)], f"{kind} {ident} {rest}")
        answers.append(answer)
        if answer.startswith("done "):
            return int(answer.split()[1])
        assert answer.startswith(("unknown", "no quorum")), answer
        await asyncio.sleep(0.1)
    raise AssertionError(answers)
