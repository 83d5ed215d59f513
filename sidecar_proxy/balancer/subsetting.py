"""Deterministic subsetting: which upstreams of a large fleet one sidecar uses.

Pure: no clock, no I/O and no randomness. All upstreams stand on a ring, ordered by a hash of their ids;
sidecar i of N uses the arc that begins at i/N of it. Arcs are whole multiples of the distance between two
sidecars, so each upstream is in as many arcs as any other, and one that joins or leaves moves each arc by
one position at most. This is the deterministic aperture of Twitter's Finagle, on positions in place of
angles. docs/design/fleet.md compares it with the alternatives.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

from sidecar_proxy.balancer.context import NO_HOME_ZONE
from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER
from sidecar_proxy.balancer.ordered_index import SortedMultiset

MIN_MEMBERS: Final = 12  # with fewer, one member that fails or drains is felt
MEMBERS_PER_REQUEST: Final = 2  # for each request that is in flight at the busiest time
HOME_ZONE_SHARE: Final = 0.75  # of the members, where crossing zones costs
SHRINK_DELAY_US: Final = 30_000_000  # the subset shrinks after it has been too large for so long
SUSPECT_US: Final = 10_000_000  # a degraded member counts as such for so long, however little it is used
MAX_WALK_FACTOR: Final = 8  # a walk along the ring ends after so many positions per permitted member
MASK_64_BITS: Final = (1 << 64) - 1
RADICAL_INVERSE_BASES: Final = (2, 3, 5, 7, 11, 13, 17)

Ring = SortedMultiset[tuple[int, int]]


def ring_position(upstream: int) -> tuple[int, int]:
    """Return where an upstream stands on the ring, the same at every sidecar."""
    position = (upstream * HASH_MULTIPLIER & MASK_64_BITS) * HASH_MULTIPLIER >> 17 & MASK_64_BITS
    return position, upstream


def radical_inverse(index: int, base: int) -> float:
    """Return the van der Corput radical inverse of an index, in [0, 1).

    The positions lie evenly for the sidecars of one zone, whether these are numbered consecutively or, with a
    base that does not divide the number of zones, in turn with those of the other zones.
    """
    inverse = 0.0
    digit_weight = 1.0
    while index:
        digit_weight /= base
        index, digit = divmod(index, base)
        inverse += digit * digit_weight
    return inverse


class Subset:
    """The upstreams that one sidecar uses, at most `max_members` of them."""

    def __init__(
        self, index: int, instances: int, max_members: int, home_zone: int, zone_count: int = 1
    ) -> None:
        self.zone_count = zone_count
        self.base = 1
        for prime in RADICAL_INVERSE_BASES:
            if zone_count % prime:
                self.base = prime  # the smallest that does not divide the number of zones
                break
        self.set_sidecar(index, instances)
        self.max_members = max_members  # 0 = unlimited, all upstreams are used
        self.home_zone = home_zone  # NO_HOME_ZONE = zones do not matter
        self.remote_ring: Ring = SortedMultiset()
        self.home_ring: Ring = SortedMultiset()
        self.zones: dict[int, int] = {}  # of each upstream
        self.members: dict[int, None] = {}
        self.suspects: dict[int, int] = {}  # degraded when last seen, and until when that counts
        self.target_size = MIN_MEMBERS  # usable members wanted
        self.too_large_since_us = 0
        self.selected_us = 0

    def set_sidecar(self, index: int, instances: int) -> None:
        """Say which of how many sidecars this is; the caller calls `select` afterwards."""
        self.index = index
        self.instances = max(1, instances)
        self.position_count = 1  # evenly spaced positions, at least as many as a zone has sidecars
        while self.base > 1 and self.position_count < self.instances / self.zone_count:
            self.position_count *= self.base

    def __len__(self) -> int:
        return len(self.zones)

    @property
    def is_active(self) -> bool:
        """Whether there are more upstreams than this sidecar may use."""
        return 0 < self.max_members < len(self.zones)

    def ring_of(self, zone: int) -> Ring:
        """Return the ring on which upstreams of a zone stand."""
        return self.home_ring if zone == self.home_zone else self.remote_ring

    def add(self, upstream: int, zone: int) -> None:
        """Add an upstream that is ready, or move it to another zone."""
        if self.zones.get(upstream) == zone:
            return
        self.remove(upstream)
        self.zones[upstream] = zone
        self.ring_of(zone).add(ring_position(upstream))

    def remove(self, upstream: int) -> None:
        """Remove an upstream that is not ready any more."""
        zone = self.zones.pop(upstream, None)
        if zone is not None:
            self.ring_of(zone).remove(ring_position(upstream))
        self.suspects.pop(upstream, None)

    def needs_selection(self, now_us: int, peak_in_flight: int) -> bool:
        """Resize, and return whether to select anew: the size has changed, or the last selection is old.

        Without the latter, replacements of degraded members would stay for good where nothing else happens.
        """
        return self.resize(now_us, peak_in_flight) or now_us - self.selected_us >= SUSPECT_US

    def resize(self, now_us: int, peak_in_flight: int) -> bool:
        """Follow the traffic: grow at once, shrink by halves after a delay. True if the size has changed."""
        wanted = max(MIN_MEMBERS, MEMBERS_PER_REQUEST * peak_in_flight)
        wanted = min(wanted, max(1, self.max_members // 2))
        if wanted > self.target_size:
            self.target_size = wanted
            self.too_large_since_us = now_us
            return True
        if wanted > self.target_size // 2:
            self.too_large_since_us = now_us
        elif now_us - self.too_large_since_us >= SHRINK_DELAY_US and self.target_size > wanted:
            self.target_size = max(wanted, self.target_size // 2)
            self.too_large_since_us = now_us
            return True
        return False

    def sidecars_per_upstream(self) -> float:
        """Return how many sidecars use one upstream, if all use as many as this one does."""
        if not self.is_active:
            return float(self.instances)
        return max(1.0, self.instances * len(self.members) / len(self.zones))

    def home_arc(self, ring: Ring, wanted: int) -> tuple[int, int]:
        """Return the first position and the length of this sidecar's arc of the home zone's ring.

        Which sidecars share the zone is not known, so the arcs begin at radical inverses.
        """
        count = len(ring)
        if count == 0:
            return 0, 0
        position = radical_inverse(self.index, self.base)
        start = int(position * count)
        gap = count / self.position_count
        if gap > max(1, self.max_members // 2):
            return start, min(count, wanted)
        share = math.ceil(wanted / gap) / self.position_count
        return start, min(count, int((position + share) * count) - start)

    def remote_arc(self, ring: Ring, wanted: int) -> tuple[int, int]:
        """Return the first position and the length of this sidecar's arc of the other zones' ring."""
        count = len(ring)
        if count == 0:
            return 0, 0
        gap = count / self.instances
        start = int(self.index * gap)
        if gap > max(1, self.max_members // 2):
            return start, min(count, wanted)  # too few sidecars to cover the ring
        gaps = math.ceil(wanted / gap)
        return start, min(count, int((self.index + gaps) * gap) - start)

    def select(self, now_us: int, is_usable: Callable[[int], bool]) -> tuple[list[int], list[int]]:
        """Select the members anew, and return who joins and who leaves.

        Members stand along the arcs, and beyond them in place of each that is not usable. Of the unusable
        ones as many stay as there is room for, so that their recovery is seen.
        """
        self.selected_us = now_us
        if not self.is_active:
            return self.replace_members(self.zones)
        self.suspects = {
            upstream: until_us for upstream, until_us in self.suspects.items() if until_us > now_us
        }
        wanted_home = 0
        if self.home_zone != NO_HOME_ZONE:
            preferred = math.ceil(self.target_size * HOME_ZONE_SHARE)
            wanted_home = max(preferred, self.target_size - len(self.remote_ring))
        wanted_home = min(wanted_home, len(self.home_ring))
        members: dict[int, None] = {}
        spare_room = self.max_members - self.target_size
        start, length = self.home_arc(self.home_ring, wanted_home)
        usable_count, spare_room = self.walk(self.home_ring, start, length, spare_room, members, is_usable)
        start, length = self.remote_arc(self.remote_ring, self.target_size - wanted_home)
        length += max(0, wanted_home - usable_count)  # makes up for what the home zone lacks
        self.walk(self.remote_ring, start, length, spare_room, members, is_usable)
        return self.replace_members(members)

    def walk(
        self,
        ring: Ring,
        start: int,
        length: int,
        spare_room: int,
        members: dict[int, None],
        is_usable: Callable[[int], bool],
    ) -> tuple[int, int]:
        """Add members from a position on until so many are usable; return their number and the room left.

        The walk is bounded, so that a fleet that is degraded as a whole is not walked through each time.
        """
        usable_count = 0
        for steps, (_, upstream) in enumerate(ring.cycle_from(start)):
            if usable_count >= length or steps > MAX_WALK_FACTOR * self.max_members:
                break
            if len(members) >= self.max_members:
                break
            if upstream not in self.suspects and is_usable(upstream):
                members[upstream] = None
                usable_count += 1
            elif spare_room > 0:
                members[upstream] = None
                spare_room -= 1
        return usable_count, spare_room

    def mark_suspect(self, upstream: int, now_us: int) -> None:
        """Remember that a member is degraded: it fails, or its slots are closed."""
        if self.is_active:
            self.suspects[upstream] = now_us + SUSPECT_US

    def replace_members(self, members: Iterable[int]) -> tuple[list[int], list[int]]:
        """Set the members; return who joins and who leaves, each in order."""
        selected = dict.fromkeys(members)
        joined = [upstream for upstream in selected if upstream not in self.members]
        left = [upstream for upstream in self.members if upstream not in selected]
        self.members = selected
        return joined, left
