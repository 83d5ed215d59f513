"""Faults of sidecars and of the links between them: done, and undone."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from sidecar_proxy.testbed.network_links import Links, Way
from sidecar_proxy.testbed.process import SidecarProcess

SIDECAR_KINDS = (
    "sidecar_kill",
    "sidecar_stop",
    "sidecar_term",
    "sidecar_wipe",
    "sidecar_full",
    "sidecar_clock",
)
# what of a Way each sets, and to what where a script says no size
SIZED = {
    "link_slow": ("delay_s", 0.5),
    "link_narrow": ("bytes_s", 2000.0),
    "link_lossy": ("lost", 0.33),
    "link_double": ("doubled", 0.5),
    "link_reorder": ("reordered", 0.5),
    "link_chop": ("chop", 300.0),
}
LINK_KINDS = ("link_part", "link_oneway", "link_bridge", "link_dead", *SIZED)


def pairs(kind: str, numbers: list[int], count: int) -> list[tuple[int, int]]:
    """The ways, from one to another, that a fault of links is about where so many sidecars are."""
    others = [number for number in range(count) if number not in numbers]
    if kind == "link_oneway":
        return [(one, other) for one in numbers for other in others]
    if kind == "link_bridge":
        numbers, others = numbers[:1], numbers[-1:]
    elif kind != "link_part":
        others = list(range(count))
    both = (
        pair
        for one, other in itertools.product(numbers, others)
        if one != other
        for pair in ((one, other), (other, one))
    )
    return list(dict.fromkeys(both))


@dataclass(slots=True)
class Fleet:
    """The sidecars and their links, as a script breaks them."""

    sidecars: list[SidecarProcess]
    links: Links | None

    def chosen(self, numbers: tuple[int, ...]) -> list[int]:
        """Those that there are; none named: all."""
        there = [number for number in numbers if 0 <= number < len(self.sidecars)]
        return there if numbers else list(range(len(self.sidecars)))

    # Processes

    async def harm(self, kind: str, numbers: list[int], size: float) -> None:
        for one in [self.sidecars[number] for number in numbers]:
            if kind in ("sidecar_kill", "sidecar_wipe"):
                await one.kill()
                if kind == "sidecar_wipe":
                    one.wipe()
            elif kind == "sidecar_term":
                await one.stop()
            elif kind == "sidecar_stop":
                one.pause()
            elif kind == "sidecar_full":
                one.fill(True)
            else:
                one.step(size)

    async def heal(self, kind: str, numbers: list[int]) -> None:
        """A clock that was stepped stays so: a clock that is set is no fault's end."""
        some = [self.sidecars[number] for number in numbers]
        if kind == "sidecar_stop":
            for one in some:
                one.wake()
        elif kind == "sidecar_full":
            for one in some:
                one.fill(False)
        elif kind in ("sidecar_kill", "sidecar_wipe", "sidecar_term"):
            await asyncio.gather(*[one.start() for one in some if not one.alive])

    # Links

    def ways(self, kind: str, numbers: list[int]) -> list[Way]:
        """Those that a fault of this kind is about."""
        assert self.links is not None
        return [self.links.way(*pair) for pair in pairs(kind, numbers, len(self.sidecars))]

    def spoil(self, kind: str, ways: list[Way], size: float, on: bool) -> None:
        for way in ways:
            if kind in SIZED:
                name, usual = SIZED[kind]
                value = (size or usual) if on else 0.0
                setattr(way, name, int(value) if name == "chop" else value)
            elif kind == "link_dead":
                way.dead += 1 if on else -1
            else:
                way.cut += 1 if on else -1
