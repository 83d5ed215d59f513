"""Real sidecars that agree, over the rig's relays."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from tests.lab.playing import RIG
from tests.sockets import LONG_S
from wickspread.lab.scene import Scene

AGREES = replace(RIG, extra="""[agreement]
folder = "@folder@"
replace_s = 3.0
compact = 64
""")


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
    """1 and the number of the one that leads, if it does so for all of these; else 0."""
    found = [await told(scene, number, "STATUS") for number in numbers]
    leaders = {one["leader"] for one in found}
    nodes: dict[str, int] = {one["node"]: number for one, number in zip(found, numbers, strict=True)}
    if len(leaders) != 1 or not leaders <= nodes.keys() or len({one["applied"] for one in found}) != 1:
        return 0
    if voters and any(len(one["voters"]) != voters for one in found):
        return 0
    return nodes[leaders.pop()] + 1


async def leads(scene: Scene, numbers: Any, voters: int = 0) -> int:
    """The number of the one that comes to lead, by the word of all of these."""
    return await until(lambda: led(scene, numbers, voters)) - 1


async def held(scene: Scene, number: int) -> set[str]:
    return set((await told(scene, number, "WORDS"))["held"])


async def all_hold(scene: Scene, numbers: Any, names: set[str]) -> None:
    """Each of these sidecars comes to hold just these upstreams."""
    async def hold() -> bool:
        return all([await held(scene, number) == names for number in numbers])

    await until(hold)
