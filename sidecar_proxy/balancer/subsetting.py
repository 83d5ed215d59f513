"""Which upstreams of a large fleet one sidecar uses. Pure: no clock, no I/O, no randomness.

All upstreams stand on a ring, ordered by a digest of their numbers; sidecar i of N uses the arc that begins
at i/N of it. Arcs are whole multiples of the distance between two sidecars, so each upstream is in as many
arcs as any other, and one that joins or leaves moves each arc by one place at most. This is the deterministic
aperture of Twitter's Finagle, on places in place of angles. docs/design/fleet.md weighs the others.
"""

import math
from collections.abc import Callable, Iterable

from sidecar_proxy.balancer.ordered_index import Sorted

LEAST = 12  # upstreams: below, one that fails or drains is felt
HEADROOM = 2  # upstreams for each request that is out at the busiest
NEAR_SHARE = 0.75  # of the arcs lies in the own zone, where zones count
SHRINK_US = 30_000_000  # as long as it must have been too large
SUSPECT_US = 10_000_000  # one that was ill counts as ill for so long, however little it is used
MIXER = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1
Ring = Sorted[tuple[int, int]]


def place_of(ident: int) -> tuple[int, int]:
    """Where a number stands on the ring: the same at every sidecar."""
    return (ident * MIXER & MASK) * MIXER >> 17 & MASK, ident


def scattered(index: int, base: int) -> float:
    """The radical inverse: places that lie evenly for sidecars of one site, whether these are numbered one
    after another or, with a base that does not divide the number of sites, in turn with the others.
    """
    found, part = 0.0, 1.0
    while index:
        part /= base
        index, digit = divmod(index, base)
        found += digit * part
    return found


class Subset:
    """The members, at most `most` of them, of one sidecar."""

    def __init__(self, index: int, instances: int, most: int, home: int, sites: int = 1) -> None:
        self.sites = sites
        # the smallest prime that does not divide their number: see `scattered`
        self.base = next(prime for prime in (2, 3, 5, 7, 11, 13, 17, 1) if prime == 1 or sites % prime)
        self.number(index, instances)
        self.most = most  # upstreams that it may use together; 0 = no bound, all are used
        self.home = home  # -1 = zones do not count
        self.rings: tuple[Ring, Ring] = (Sorted(), Sorted())  # those of other zones, those of the own
        self.zones: dict[int, int] = {}  # of each upstream
        self.members: dict[int, None] = {}
        self.suspects: dict[int, int] = {}  # ill when last seen: until when that counts
        self.size = LEAST  # members wanted that are well
        self.small_since_us = self.selected_us = 0

    def number(self, index: int, instances: int) -> None:
        """Which of how many sidecars this is; `select` follows."""
        self.index, self.instances = index, max(1, instances)
        self.places = 1  # on which as many as a site has stand one by one
        while self.base > 1 and self.places < self.instances / self.sites:
            self.places *= self.base

    def __len__(self) -> int:
        return len(self.zones)

    @property
    def on(self) -> bool:
        return 0 < self.most < len(self.zones)

    def add(self, ident: int, zone: int) -> None:
        if self.zones.get(ident) == zone:
            return
        self.remove(ident)
        self.zones[ident] = zone
        self.rings[zone == self.home].add(place_of(ident))

    def remove(self, ident: int) -> None:
        zone = self.zones.pop(ident, None)
        if zone is not None:
            self.rings[zone == self.home].remove(place_of(ident))
        self.suspects.pop(ident, None)

    def renewed(self, now_us: int, busiest: int) -> bool:
        """Whether to select anew: the size has changed, or who is ill was looked at long ago. Hazard: where
        nothing else happens, those that stood in for ill or cold members would stay for good.
        """
        return self.resize(now_us, busiest) or now_us - self.selected_us >= SUSPECT_US

    def resize(self, now_us: int, busiest: int) -> bool:
        """Follow the traffic: `busiest` requests were out together. Wider at once, narrower in time, and
        then by halves. True if the size has changed.
        """
        wanted = min(max(LEAST, HEADROOM * busiest), max(1, self.most // 2))
        if wanted > self.size:
            self.size, self.small_since_us = wanted, now_us
            return True
        if wanted > self.size // 2:
            self.small_since_us = now_us
        elif now_us - self.small_since_us >= SHRINK_US and self.size > wanted:
            self.size, self.small_since_us = max(wanted, self.size // 2), now_us
            return True
        return False

    def sharing(self) -> float:
        """How many sidecars use one upstream, if all use as many as this one does."""
        if not self.on:
            return float(self.instances)
        return max(1.0, self.instances * len(self.members) / len(self.zones))

    def arc(self, ring: Ring, wanted: int, near: bool) -> tuple[int, int]:
        """First place and length of this sidecar's arc of a ring."""
        count, gap = len(ring), len(ring) / self.instances
        if count == 0:
            return 0, 0
        if near:
            position = scattered(self.index, self.base)
            gap = count / self.places
            if gap > max(1, self.most // 2):
                return int(position * count), min(count, wanted)
            start, part = int(position * count), math.ceil(wanted / gap) / self.places
            return start, min(count, int((position + part) * count) - start)
        start = int(self.index * gap)
        if gap > max(1, self.most // 2):
            return start, min(count, wanted)  # too few sidecars to cover the ring
        gaps = math.ceil(wanted / gap)
        return start, min(count, int((self.index + gaps) * gap) - start)

    def select(self, now_us: int, usable: Callable[[int], bool]) -> tuple[list[int], list[int]]:
        """Renew the members: who joins and who leaves. Along the arc, and beyond it in place of each that is
        not usable; of these as many stay as there is room for, so that they are seen to be well again.
        """
        self.selected_us = now_us
        if not self.on:
            return self.change(self.zones)
        self.suspects = {one: until for one, until in self.suspects.items() if until > now_us}
        far, near = self.rings
        wanted_near = max(math.ceil(self.size * NEAR_SHARE), self.size - len(far)) if self.home != -1 else 0
        wanted_near = min(wanted_near, len(near))
        members: dict[int, None] = {}
        room = self.most - self.size
        good = 0
        for ring, wanted in ((near, wanted_near), (far, self.size - wanted_near)):
            start, length = self.arc(ring, wanted, ring is near)
            # what the own site is short of, the others make up for
            short = max(0, wanted_near - good) if ring is far else 0
            here = 0
            # hazard: a fleet that is all ill must not be walked through each time
            for steps, (_, ident) in enumerate(ring.round_from(start)):
                if here >= length + short or steps > 8 * self.most or len(members) >= self.most:
                    break
                if ident not in self.suspects and usable(ident):
                    members[ident] = None
                    here += 1
                elif room > 0:
                    members[ident] = None
                    room -= 1
            good += here
        return self.change(members)

    def suspect(self, ident: int, now_us: int) -> None:
        """It fails, or its slots are closed."""
        if self.on:
            self.suspects[ident] = now_us + SUSPECT_US

    def change(self, members: Iterable[int]) -> tuple[list[int], list[int]]:
        new = dict.fromkeys(members)
        joined = [ident for ident in new if ident not in self.members]
        left = [ident for ident in self.members if ident not in new]
        self.members = new
        return joined, left
