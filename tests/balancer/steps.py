"""Steps that tests of the balancer share: worlds with a list, full slots, requests in turn."""

from __future__ import annotations

from sidecar_proxy.balancer.events import Outcome
from tests.balancer.world import World, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def listed_world(count: int = 4, **changes: object) -> World:
    world = World(settings(**changes))
    world.tell_list(upstreams(count))
    return world


def exhaust_slots(world: World) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(world.arrive(READ))
        if not world.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def run_steps(
    world: World,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.FULL,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        world.arrive(class_index)
        world.advance(took_us)
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            for attempt in world.owed[ident].out():
                at_bad = world.owed[ident].tries[attempt].upstream == bad
                world.end(ident, attempt, fault if at_bad else Outcome.OK)


def count_free_slots(world: World) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in exhaust_slots(world) if world.sends(r)]
    for request in taken:
        world.end(request, 0, Outcome.OK)
    return len(taken)


def grown_world() -> World:
    """One upstream whose slots have opened under need."""
    world = listed_world(1)
    for _ in range(80):
        exhaust_slots(world)
        run_steps(world, 1, took_us=20_000)
    run_steps(world, 1)
    return world
