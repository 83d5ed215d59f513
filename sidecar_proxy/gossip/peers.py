"""The other instances that are known, by life: what is asked of them all costs the same however many live."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar_proxy.gossip.codec import Certificate, Signed

URGENT_GAP_US = 300_000  # between two of one author that are passed on at once
URGENT_EACH_US = 2_000_000  # and, once there were as many as the burst
URGENT_BURST = 4


class Life(enum.Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Peer:
    name: str
    site: str
    address: tuple[str, int]
    incarnation: int
    certificate: Certificate
    told: Signed  # its Alive
    life: Life = Life.ALIVE
    since_us: int = 0
    accusers: set[str] = field(default_factory=set)
    urgent_us: int = 0  # when news of it was last passed on at once
    spent_us: int = 0  # till when what was passed on has used up its share
    owed: bool = False  # more is to be passed on

    def next_urgent_us(self, now_us: int) -> int:
        """From when news of it may be passed on at once: a few in a row, of who speaks on without end one in
        a while. The generic cell rate algorithm (ITU-T I.371), with a gap besides.
        """
        paced_us = max(self.spent_us, now_us) - (URGENT_BURST - 1) * URGENT_EACH_US
        return max(self.urgent_us + URGENT_GAP_US, paced_us)

    def urgent(self, now_us: int) -> None:
        """It is passed on now."""
        self.urgent_us = now_us
        self.spent_us = max(self.spent_us, now_us) + URGENT_EACH_US


class Peers(dict[str, Peer]):
    """By name. A peer's life and site change here alone."""

    def __init__(self) -> None:
        super().__init__()
        self.by_life: dict[Life, dict[str, Peer]] = {life: {} for life in Life}
        self.sites: Counter[str] = Counter()  # how many live at each, suspects among them
        self.listed: list[Peer] | None = None  # those that live; made anew after a change

    def put(self, peer: Peer) -> None:
        """A new one."""
        self[peer.name] = peer
        self.by_life[peer.life][peer.name] = peer
        self.settle(peer.site, peer.life is not Life.DEAD)

    def turn(self, peer: Peer, life: Life, now_us: int, site: str = "") -> None:
        """It lives, is suspected or is held for dead from now on."""
        self.settle(peer.site, False, peer.life is not Life.DEAD)
        del self.by_life[peer.life][peer.name]
        peer.life, peer.since_us, peer.site = life, now_us, site or peer.site
        self.by_life[life][peer.name] = peer
        self.settle(peer.site, life is not Life.DEAD)

    def forget(self, peer: Peer) -> None:
        del self[peer.name], self.by_life[peer.life][peer.name]
        self.settle(peer.site, False, peer.life is not Life.DEAD)

    def settle(self, site: str, lives: bool, lived: bool = False) -> None:
        if lives != lived:
            self.sites[site] += 1 if lives else -1
            if not self.sites[site]:
                del self.sites[site]
            self.listed = None

    def living(self) -> list[Peer]:
        """Not to be changed; suspects are among them."""
        if self.listed is None:
            self.listed = [*self.by_life[Life.ALIVE].values(), *self.by_life[Life.SUSPECT].values()]
        return self.listed

    def suspects(self) -> Iterator[Peer]:
        return iter(self.by_life[Life.SUSPECT].values())

    def dead(self) -> Iterator[Peer]:
        return iter(self.by_life[Life.DEAD].values())
