"""The script of faults: what goes wrong with whom, from when, how long. Read from TOML or made in code."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tomllib
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

from sidecar_proxy.testbed.fault_injection import LINK_KINDS, SIDECAR_KINDS, Fleet
from sidecar_proxy.testbed.history import Faulted, Ledger, now_us
from sidecar_proxy.testbed.network_links import Links
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import SidecarProcess
from sidecar_proxy.testbed.upstreams import Node

KINDS = (
    "silent",
    "slow",
    "errors",
    "lost",
    "reset",
    "half",
    "drain",
    "restart",
    "crash",
    "roster_down",
    "roster_late",
    "etcd_down",
    *SIDECAR_KINDS,
    *LINK_KINDS,
)
SHARES = ("errors", "lost", "reset", "half", "link_lossy", "link_double", "link_reorder")
MOST_FAULTS = 1000

if TYPE_CHECKING:
    from sidecar_proxy.testbed.registry import Registry


class ScriptError(Exception):
    """The script can't be used; one line naming the key."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that goes wrong."""

    kind: str
    at_s: float
    for_s: float = 5.0  # then it is mended; a drained or crashed node comes back as a new process
    nodes: float = 1.0  # 1 and more: so many; below 1: this share of all
    size: float = 0.0  # slow: times as long; errors, lost, reset, half: share; roster_late, clock: seconds
    site: str = ""  # only nodes of this site
    sidecars: tuple[int, ...] = ()  # sidecar_*, link_*: their numbers; none = all
    step_s: float = 0.0  # crash, silent: between one node's return and the next one's

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ScriptError(f"kind: expected one of {', '.join(KINDS)}, got {self.kind!r}")
        for name in ("at_s", "for_s", "nodes", "size", "step_s"):
            least = -1e6 if (self.kind, name) == ("sidecar_clock", "size") else 0
            if not least <= getattr(self, name) <= 1e6:
                raise ScriptError(f"{name}: expected {least:g} to 1000000, got {getattr(self, name)!r}")
        if self.kind in SHARES and self.size > 1:
            raise ScriptError(f"size: expected a share of 1 at most for {self.kind}, got {self.size!r}")


def read(text: str) -> list[Fault]:
    """The `[[fault]]` tables of a TOML file. Raises ScriptError."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScriptError(f"not TOML: {error}") from error
    for key in told:
        if key != "fault":
            raise ScriptError(f"{key}: unknown; expected [[fault]] tables")
    tables = told.get("fault", [])
    if not isinstance(tables, list) or len(tables) > MOST_FAULTS:
        raise ScriptError(f"fault: expected at most {MOST_FAULTS} [[fault]] tables")
    return [read_fault(table, number) for number, table in enumerate(tables, 1)]


KEYS: dict[str, type] = {"str": str, "float": float, "tuple[int, ...]": list}


def read_fault(table: Any, number: int) -> Fault:
    wanted = {field.name: KEYS.get(str(field.type), float) for field in fields(Fault)}
    if not isinstance(table, dict):
        raise ScriptError(f"fault {number}: expected a table")
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key not in wanted:
            raise ScriptError(f"fault {number}: {key}: unknown key")
        if wanted[key] is float and isinstance(value, int | float) and not isinstance(value, bool):
            values[key] = float(value)
        elif wanted[key] is str and isinstance(value, str):
            values[key] = value
        elif (
            wanted[key] is list
            and isinstance(value, list)
            and len(value) <= MOST_FAULTS
            and all(type(one) is int and one >= 0 for one in value)
        ):
            values[key] = tuple(value)
        else:
            expected = "list of whole numbers" if wanted[key] is list else wanted[key].__name__
            raise ScriptError(f"fault {number}: {key}: expected a {expected}, got {value!r}")
    for key in ("kind", "at_s"):
        if key not in values:
            raise ScriptError(f"fault {number}: {key} is missing")
    try:
        return Fault(**values)
    except ScriptError as error:
        raise ScriptError(f"fault {number}: {error}") from error


def written(faults: list[Fault]) -> str:
    """The TOML that `read` reads."""
    lines: list[str] = []
    for fault in faults:
        lines.append("[[fault]]")
        for one in fields(Fault):
            value = getattr(fault, one.name)
            if one.default != value:
                lines.append(f"{one.name} = {list(value) if isinstance(value, tuple) else repr(value)}")
    return "\n".join(lines) + "\n"


class Player:
    """Does what the script says to the nodes, the roster, the sidecars and their links."""

    def __init__(
        self,
        faults: list[Fault],
        nodes: list[Node],
        roster: Roster,
        ledger: Ledger,
        seed: int,
        registry: Registry | None = None,
        sidecars: list[SidecarProcess] | None = None,
        links: Links | None = None,
    ) -> None:
        self.faults = sorted(faults, key=lambda fault: fault.at_s)
        self.nodes = nodes
        self.roster = roster
        self.registry = registry
        self.ledger = ledger
        self.dice = random.Random(seed)
        self.now: dict[int, str] = {}  # what is wrong at present, for those who watch
        self.tasks: set[asyncio.Task[None]] = set()
        self.fleet = Fleet(sidecars or [], links)
        self.failed: BaseException | None = None
        self.over = asyncio.Event()

    def play(self) -> None:
        for number, fault in enumerate(self.faults):
            task = asyncio.get_running_loop().create_task(self.run(number, fault))
            self.tasks.add(task)
            task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed = task.exception()

    async def lasts(self, seconds: float) -> None:
        """So long, or until all is to be mended."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.over.wait(), seconds)

    async def mend(self) -> None:
        """The end of all faults that there are; raises what one of them has met."""
        self.over.set()
        if self.tasks:
            await asyncio.wait(self.tasks)
        if self.failed is not None:
            raise self.failed

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    def choose(self, fault: Fault) -> list[Node]:
        able = [
            node
            for node in self.nodes
            if node.server is not None and node.health == "in_service" and fault.site in ("", node.site)
        ]
        count = round(fault.nodes if fault.nodes >= 1 else fault.nodes * len(able))
        return self.dice.sample(able, min(len(able), max(1, count)))

    async def run(self, number: int, fault: Fault) -> None:
        await self.lasts(fault.at_s)
        if self.over.is_set():
            return
        if fault.kind.startswith("roster"):
            self.say(number, fault.kind.replace("_", " "))
            self.of_roster(fault, True)
            await self.lasts(fault.for_s)
            self.of_roster(fault, False)
        elif fault.kind == "etcd_down":
            if self.registry is None:
                raise ScriptError("etcd_down: there is no etcd in this play")
            self.say(number, "etcd is away")
            await self.registry.down(True)
            await self.lasts(fault.for_s)
            await self.registry.down(False)
        elif fault.kind in SIDECAR_KINDS or fault.kind in LINK_KINDS:
            await self.of_fleet(number, fault)
        else:
            chosen = self.choose(fault)
            names = ", ".join(node.name for node in chosen[:3]) + (" ..." if len(chosen) > 3 else "")
            self.say(number, f"{fault.kind}: {names}" + (f" ({len(chosen)})" if len(chosen) > 3 else ""))
            if fault.kind in ("drain", "restart", "crash"):
                await self.replace(fault, chosen)
            else:
                self.spoil(fault, chosen, True)
                await self.lasts(fault.for_s)
                for node in chosen:
                    self.spoil(fault, [node], False)
                    await self.lasts(fault.step_s if fault.step_s else 0)
        self.say(number, "")

    async def of_fleet(self, number: int, fault: Fault) -> None:
        numbers = self.fleet.chosen(fault.sidecars)
        named = ", ".join(str(one) for one in fault.sidecars) or "all"
        self.say(number, f"{fault.kind.replace('_', ' ')}: {named}")
        if fault.kind in SIDECAR_KINDS:
            await self.fleet.harm(fault.kind, numbers, fault.size)
            await self.lasts(fault.for_s)
            await self.fleet.heal(fault.kind, numbers)
            return
        if self.fleet.links is None:
            raise ScriptError(f"{fault.kind}: the links of this play do not go through relays")
        ways = self.fleet.ways(fault.kind, numbers)
        self.fleet.spoil(fault.kind, ways, fault.size, True)
        await self.lasts(fault.for_s)
        self.fleet.spoil(fault.kind, ways, fault.size, False)

    def say(self, number: int, text: str) -> None:
        was = self.now.pop(number, "")
        if text:
            self.now[number] = text
        self.ledger.add(Faulted(now_us(), text or f"over: {was}"))

    def of_roster(self, fault: Fault, on: bool) -> None:
        if fault.kind == "roster_down":
            self.roster.down(on)
        else:
            self.roster.delay_s = fault.size if on else 0.0

    def spoil(self, fault: Fault, chosen: list[Node], on: bool) -> None:
        for node in chosen:
            if fault.kind == "silent":
                node.trouble.silent = on
            elif fault.kind == "slow":
                node.set_slow(max(1.0, fault.size or 5.0) if on else 1.0)
            else:
                setattr(node.trouble, fault.kind, (fault.size or 0.5) if on else 0.0)

    async def replace(self, fault: Fault, chosen: list[Node]) -> None:
        """A drain is told first, the process ends later; a crash is told by nobody; all come back cold."""
        if fault.kind == "drain":
            for node in chosen:
                node.health = "terminating"
            self.tell(chosen)
            await self.lasts(fault.for_s)
        for node in chosen:
            node.stop()
        if fault.kind == "crash":
            await self.lasts(fault.for_s)
        for node in chosen:
            await node.restart()
            if fault.step_s:
                self.tell([node])
                await self.lasts(fault.step_s)
        self.tell(chosen)

    def tell(self, chosen: list[Node]) -> None:
        """The sources list them as they are now."""
        entries = [node.entry() for node in chosen]
        self.roster.change(*entries)
        if self.registry is not None:
            self.registry.put(*entries)
