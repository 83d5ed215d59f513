"""A whole installation on one machine: nodes, roster, real sidecars, clients, faults; and what came of it."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from sidecar_proxy.testbed import invariants
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import Bounds, Breach, Kind, check
from sidecar_proxy.testbed.clients import Crowd, Load, Manners
from sidecar_proxy.testbed.fault_schedule import Fault, Player
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.loop_monitor import LoopMonitor
from sidecar_proxy.testbed.network_links import Links, free_address
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import SidecarProcess
from sidecar_proxy.testbed.upstreams import Node

if TYPE_CHECKING:
    from sidecar_proxy.testbed.gossip import Keys
    from sidecar_proxy.testbed.registry import Registry

CELL = 6  # nodes of one cell
LOADS = [
    Load("chapter-buy", "at_most_once", 0.6, 1.2, priority_weight=10.0),
    Load("coin-topup", "deduplicated", 0.3, 4.0, priority_weight=8.0),
    Load("read", "idempotent", 0.1, 1.0),
]


@dataclass(slots=True, frozen=True)
class Plan:
    """What is to be played. Everything by chance comes from `seed`."""

    nodes: int = 12
    sidecars: int = 1
    instances: int = 0  # as the sidecars are told; 0 = as many as there are
    rate: float = 150.0  # requests a second, all sidecars together
    seconds: float = 30.0
    most: int = 1_000_000  # requests of one sidecar
    seed: int = 1
    sites: tuple[str, ...] = ("makati", "pasig")
    sockets: int = 1024
    machine: Machine = field(default_factory=Machine)
    manners: Manners = field(default_factory=Manners)
    loads: tuple[Load, ...] = tuple(LOADS)
    faults: tuple[Fault, ...] = ()
    grpc: float = 0.0  # share of the requests that come by gRPC
    etcd: int = 0  # members of a stand-in of etcd, in which the nodes are listed too; 0 = none
    gossip: bool = False  # the sidecars tell one another what they see of nodes
    relayed: bool = False  # through relays, so that links can be broken
    extra: str = ""  # more of the sidecars' operator file
    skew: float = 0.0  # the first sidecar's share of all requests; 0 = each has the same
    probes: bool = False  # the settings allow them
    cores: tuple[int, ...] = ()  # of the nodes in turn; none = the machine's
    return_s: float = 2.0  # the longest time to come back that clients may be told
    pushed: bool = False  # lists are; else they are asked for
    drain_s: float = 2.0  # the grace of drains
    idle_s: float = 5.0  # of connections to nodes
    cancel: bool = True
    retry_after: bool = True
    hedging_allowed: bool = True
    keep_nodes: bool = True  # record what nodes see; off for long measurements


def settings(plan: Plan, index: int) -> dict[str, Any]:
    """The settings of a sidecar's configuration, in the names of the simulator."""
    classes = []
    for load in plan.loads:
        keyed = load.effect == "deduplicated"
        classes.append(
            {
                "name": load.kind,
                "aim": str(int(load.deadline_s * 333_000)),
                "deadline": str(int(load.deadline_s * 1e6)),
                "worth": str(load.priority_weight),
                "late-worth": "0.3",
                "effect": load.effect,
                "group": load.group if keyed else "all",
                "memory-span": str(int(load.memory_s * 1e6)) if keyed else "0",
                "stream": "false",
                "aim-stretch": "0",
            }
        )
    machine = plan.machine
    return {
        "areas": list(plan.sites),
        "kinds": ["lab"],
        "instances": str(plan.instances or plan.sidecars),
        "self-index": str(index),
        "locality": str(index % len(plan.sites)),
        "granularity": "1000",
        "registry-mode": "pushed" if plan.pushed else "on_request",
        "request-classes": classes,
        "weights": "none",
        "report": {"how": "none", "names": ""},
        "fees": {"cross-zone": "0.02"},
        "bounds": {
            "cancel": str(plan.cancel).lower(),
            "probes": str(plan.probes).lower(),
            "retry-after": str(plan.retry_after).lower(),
            "second-copies": str(plan.hedging_allowed).lower(),
            "peers": "false",
            "most-tries": "4",
            "dial-timeout": "200000",
            "conn-idle": str(int(plan.idle_s * 1e6)),
            "max-retry-after": str(int(plan.return_s * 1e6)),
        },
        "invariants": {
            "ask-within": "10000000",
            "drain-grace": str(int(plan.drain_s * 1e6)),
            "cold-share": str(machine.cold_share),
            "warm-up": str(machine.warm_up_us),
            "overload-factor": str(machine.multiple),
            "fall": str(machine.fall_us),
        },
    }


def bounds(plan: Plan) -> Bounds:
    """The figures of the rules for the checker."""
    kinds = {
        load.kind: Kind(load.effect, load.group, int(load.memory_s * 1e6))
        if load.effect == "deduplicated"
        else Kind(load.effect)
        for load in plan.loads
    }
    machine = plan.machine
    return Bounds(
        kinds,
        drain_us=int(plan.drain_s * 1e6),
        multiple=machine.multiple,
        fall_us=machine.fall_us,
        burst_us=machine.burst_us,
    )


def machine_of(plan: Plan, number: int) -> Machine:
    """What that node is made of."""
    return replace(plan.machine, cores=plan.cores[number % len(plan.cores)]) if plan.cores else plan.machine


class Scene:
    """Everything of one plan, started; `async with` ends all of it whatever happens."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.ledger = Ledger()
        self.nodes = [
            Node(
                n,
                self.ledger,
                machine_of(plan, n),
                plan.seed * 1_000_003 + n,
                plan.sites[n % len(plan.sites)],
                n // CELL,
                plan.keep_nodes,
            )
            for n in range(plan.nodes)
        ]
        self.sidecars: list[SidecarProcess] = []
        self.crowds: list[Crowd] = []
        self.roster: Roster | None = None
        self.registry: Registry | None = None
        self.keys: Keys | None = None
        self.links: Links | None = None
        self.gossip: tuple[str, int] = ("", 0)  # where the first sidecar is heard
        self.player: Player | None = None
        self.loop_monitor: LoopMonitor | None = None
        self.folder = tempfile.TemporaryDirectory(prefix="sidecar_proxy-lab-")

    async def __aenter__(self) -> Scene:
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self) -> None:
        plan = self.plan
        self.loop_monitor = LoopMonitor(self.ledger)
        for node in self.nodes:
            await node.start()
        self.roster = Roster(self.ledger, [node.entry() for node in self.nodes])
        operator = self.operator() + await self.listed_in_etcd()
        for index in range(plan.sidecars):
            name = f"sidecar-{index}"
            config = {
                "discovery": await self.roster.serve(name),
                "seed": f"{plan.seed * 7919 + index:x}",
                "limits": {"sockets": plan.sockets},
                "known": self.roster.known(),
                "settings": settings(plan, index),
            }
            self.sidecars.append(SidecarProcess(name, config, self.folder.name, operator, self.ledger))
        if plan.gossip:
            await self.start_gossiping()
        else:
            await asyncio.gather(*[one.start() for one in self.sidecars])
        for index, one in enumerate(self.sidecars):
            for kind, share in self.protocols():
                crowd = kind(
                    self.ledger, one.name, one.address, list(plan.loads), plan.manners, plan.seed * 31 + index
                )
                crowd.rate = plan.rate * share * self.part(index)
                self.crowds.append(crowd)
                one.moved.append(crowd.move)
        self.player = Player(
            list(plan.faults),
            self.nodes,
            self.roster,
            self.ledger,
            plan.seed,
            self.registry,
            self.sidecars,
            self.links,
        )

    def part(self, index: int) -> float:
        """Of all requests, those that come to this sidecar."""
        count, skew = self.plan.sidecars, self.plan.skew
        if count == 1 or skew <= 0.0:
            return 1.0 / count
        return skew if index == 0 else (1.0 - skew) / (count - 1)

    async def start_gossiping(self) -> None:
        """The first one is the seed of the others; through relays the first three are, as any may be away."""
        from sidecar_proxy.testbed.gossip import Keys

        self.keys = Keys(self.folder.name)
        seeds: list[str] = []
        if self.plan.relayed:
            self.links = Links(self.plan.seed)
            real = [free_address(index) for index in range(self.plan.sidecars)]
            heard = [await self.links.join(index, one) for index, one in enumerate(real)]
            seeds = [f"{host}:{port}" for host, port in heard[:3]]
            for index, one in enumerate(self.sidecars):
                one.operator += self.keys.table(one.name, self.site(index), seeds, real[index], heard[index])
                one.door = free_address(index)
            await asyncio.gather(*[one.start() for one in self.sidecars])
            self.gossip = heard[0]
            return
        for index, one in enumerate(self.sidecars):
            one.operator += self.keys.table(one.name, self.site(index), seeds)
            if index == 0:
                await one.start()
                seeds = [line.split()[-1] for line in one.lines if " is reachable at " in line]
                host, _, port = seeds[0].partition(":")
                self.gossip = host, int(port)
        await asyncio.gather(*[one.start() for one in self.sidecars[1:]])

    def site(self, index: int) -> str:
        return self.plan.sites[index % len(self.plan.sites)]

    async def listed_in_etcd(self) -> str:
        """etcd's part of the operator file. Imported where there is some."""
        if not self.plan.etcd:
            return ""
        from sidecar_proxy.testbed.registry import Registry

        self.registry = Registry(self.ledger, self.plan.etcd)
        self.registry.put(*[node.entry() for node in self.nodes])
        return await self.registry.serve(f"sidecar-{index}" for index in range(self.plan.sidecars))

    def operator(self) -> str:
        """The sidecars' operator file. gRPC's part of the lab is imported where there is some."""
        if not self.plan.grpc:
            return self.plan.extra
        from sidecar_proxy.testbed.grpc import methods, speak

        for node in self.nodes:
            node.other = speak
        return self.plan.extra + methods(self.plan.loads)

    def protocols(self) -> list[tuple[type[Crowd], float]]:
        """Clients' protocols, each with its share of the requests."""
        found: list[tuple[type[Crowd], float]] = [(Crowd, 1.0 - self.plan.grpc)]
        if self.plan.grpc:
            from sidecar_proxy.testbed.grpc import GrpcCrowd

            found.append((GrpcCrowd, self.plan.grpc))
        return [(kind, share) for kind, share in found if share > 0]

    async def play(self) -> None:
        """The clients' requests and the faults; returns when all is answered."""
        assert self.player is not None
        self.player.play()
        await asyncio.gather(
            *[crowd.play(crowd.rate, self.plan.seconds, self.plan.most) for crowd in self.crowds]
        )
        await asyncio.gather(*[crowd.finish() for crowd in self.crowds])
        await self.player.mend()

    def verdict(self) -> list[Breach]:
        """What the checker finds, and whatever a sidecar has confessed."""
        found = check(self.ledger, bounds(self.plan))
        for invariant in invariants.ALL:
            found += invariant(self.ledger)
        for one in self.sidecars:
            if any("Traceback" in line for line in one.lines):
                found.append(Breach(1, 0, f"{one.name}: a fault in its log: {one.lines[-1]}"))
            if not one.meant and one.process is not None and one.process.returncode not in (None, 0):
                found.append(Breach(1, 0, f"{one.name} has ended with {one.process.returncode}"))
        return found

    async def __aexit__(self, *_: object) -> None:
        if self.player is not None:
            self.player.close()
        for crowd in self.crowds:
            crowd.close()
        await asyncio.gather(*[one.stop() for one in self.sidecars])
        if self.links is not None:
            self.links.close()
        if self.roster is not None:
            self.roster.close()
        if self.registry is not None:
            self.registry.close()
        for node in self.nodes:
            node.stop()
        if self.loop_monitor is not None:
            self.loop_monitor.close()
        self.folder.cleanup()
