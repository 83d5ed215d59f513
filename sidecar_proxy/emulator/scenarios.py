"""What befalls a large fleet: sidecars killed together, a site lost, most upstreams replaced. Seeded, in
virtual time; each scene returns what was seen."""

from __future__ import annotations

from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.emulator.fleet import EmulatedFleet, Node, Plan, Seen
from sidecar_proxy.testbed.capacity import Machine

CLASSES = [
    api.RequestClass("chapter-buy", 400_000, 1_200_000, 10.0, 0.3, effect="at_most_once"),
    api.RequestClass(
        "coin-topup",
        750_000,
        4_000_000,
        8.0,
        0.5,
        effect="deduplicated",
        group="cell",
        deduplication_window_us=8_000_000,
    ),
]
MACHINE = Machine(cores=2, work_us=60_000, spread=0.9)
ZONES = ["north", "south", "east", "west", "islands"]


def plan(
    instances: int, upstreams: int = 60, load: float = 0.6, seed: int = 1, probe_fee: float = 0.08
) -> Plan:
    """A fleet at this share of what its upstreams can do when they are warm."""
    settings = api.Settings(
        CLASSES,
        instances=instances,
        max_attempts=4,
        max_retry_after_us=2_000_000,
        connect_timeout_us=200_000,
        cancel=True,
        probes=True,
        hedging_allowed=True,
        list_on_request=True,
        max_poll_interval_us=10_000_000,
        cold_share=0.32,
        warm_up_us=8_900_000,
        overload_factor=2.5,
        fall_us=2_000_000,
        cross_zone_fee=0.02,
        probe_fee=probe_fee,
        report_names=["in_flight"],
        weighted=True,
        zones=ZONES,
        idle_us=5_000_000,
    )
    # discovery can take a call of every sidecar in 4 s, however many they are
    rate = load * upstreams * MACHINE.cores / (MACHINE.work_us / 1e6)
    return Plan(settings, upstreams, rate, machine=MACHINE, call_us=4_000_000 // instances, seed=seed)


def herd(told: Plan) -> Seen:
    """Seven in ten sidecars are killed together and back at once, while a third of the upstreams is
    replaced."""
    fleet = EmulatedFleet(told)
    fleet.run(4)
    fleet.replace(list(fleet.nodes)[: told.upstreams // 6])
    fleet.run(1)
    fleet.seen.listed_us.clear()
    fleet.restart_sidecars(range(told.settings.instances * 7 // 10))
    fleet.replace(list(fleet.nodes)[told.upstreams // 6 : told.upstreams // 3])
    return fleet.run(10)


def join(told: Plan) -> Seen:
    """Six in ten upstreams are replaced within 7 s, in two parts."""
    fleet = EmulatedFleet(told)
    fleet.run(4)
    part = told.upstreams * 3 // 10
    for first in (0, part):
        fleet.replace(list(fleet.nodes)[first : first + part])
        fleet.run(4)
    return fleet.run(3)


def first_site(fleet: EmulatedFleet) -> list[Node]:
    return [node for node in fleet.nodes.values() if node.entry.zone == 0]


def out_for_4_s(fleet: EmulatedFleet, lost: list[Node]) -> None:
    """The list leaves them out; then they are back in it, cold."""
    for node in lost:
        fleet.change(replace(node.entry, state=api.UpstreamState.GONE))
    fleet.run(4)
    for node in lost:
        entry = replace(node.entry, started_us=fleet.now_us)
        fleet.start_node(entry, warm=False)
        fleet.change(entry)


def lost_zone(told: Plan) -> Seen:
    """One site says nothing for 6 s, and is cold when it is back; discovery says so after 2 s."""
    fleet = EmulatedFleet(told)
    fleet.run(4)
    lost = first_site(fleet)
    for node in lost:
        node.silent = True
    fleet.run(2)
    out_for_4_s(fleet, lost)
    return fleet.run(5)


def crowded(told: Plan) -> Plan:
    """The same fleet in a burst of twice the load from second 4 to 10, with clients that come again."""
    return replace(told, burst=(4.0, 10.0, 2.0), again=2)


def slow(fleet: EmulatedFleet) -> None:
    """One in eight takes five times as long from now on."""
    for node in list(fleet.nodes.values())[::8]:
        node.capacity.slow = 5.0


def crowded_join(told: Plan) -> Seen:
    """Six in ten are replaced within 4 s, a half each time; then comes a burst while these are cold, and one
    in eight is slow."""
    fleet = EmulatedFleet(crowded(told))
    fleet.run(2)
    part = told.upstreams * 3 // 10
    slow(fleet)
    for first in (0, part):
        fleet.replace(list(fleet.nodes)[first : first + part])
        fleet.run(3)
    return fleet.run(7)


def crowded_zone(told: Plan) -> Seen:
    """A lost site is back, cold, in the middle of a burst, and one in eight of the others is slow."""
    fleet = EmulatedFleet(crowded(told))
    fleet.run(2)
    slow(fleet)
    out_for_4_s(fleet, first_site(fleet))
    return fleet.run(8)


def all_away(told: Plan) -> Seen:
    """Every upstream is away from second 5 to 11, and back, cold; clients come again."""
    fleet = EmulatedFleet(replace(told, again=4, again_share=1.0))
    fleet.run(5)
    nodes = list(fleet.nodes.values())
    for node in nodes:
        node.silent = True
    fleet.run(6)
    for node in nodes:
        entry = replace(node.entry, started_us=fleet.now_us)
        fleet.start_node(entry, warm=False)
        fleet.change(entry)
    return fleet.run(12)


CROWDED = {"crowded-join": crowded_join, "crowded-zone": crowded_zone}
SCENES = {"herd": herd, "join": join, "lost-zone": lost_zone}
