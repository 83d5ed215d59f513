"""Fleets in virtual time for several test modules."""

from __future__ import annotations

from sidecar_proxy.gossip.members import MemberState
from sidecar_proxy.testbed.client_fleet import Fleet


def joined_fleet(count: int, sites: int = 2, seed: int = 1) -> Fleet:
    """Return a fleet once all its instances know each other, which takes at most 30 s of virtual time."""
    fleet = Fleet(count, sites, seed)
    for _ in range(60):
        fleet.run(0.5)
        if fleet.knows_all():
            return fleet
    raise AssertionError("some instances do not know each other")


def states_of(fleet: Fleet, name: str) -> set[MemberState]:
    """Return the states that a peer has in the member lists of the running instances."""
    return {
        member.instance.core.members[name].state
        for member in fleet.all()
        if not member.stopped and name in member.instance.core.members
    }
