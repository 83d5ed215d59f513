"""The member list: known peers, indexed by their SWIM state so that queries do not walk all of them."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar_proxy.gossip.codec import Certificate, SignedStatement

MIN_URGENT_INTERVAL_US = 300_000  # between two urgent relays of one author's reports
MEAN_URGENT_INTERVAL_US = 2_000_000  # the same on average, once the burst is used up
URGENT_BURST = 4


class MemberState(enum.Enum):
    """A peer's state in SWIM's failure detector; the values appear in the answers to operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Peer:
    """Another instance."""

    name: str
    site: str
    address: tuple[str, int]
    incarnation: int
    certificate: Certificate
    alive_statement: SignedStatement  # its latest Alive, as it was signed
    state: MemberState = MemberState.ALIVE
    state_changed_us: int = 0  # of the last change of state
    suspecters: set[str] = field(default_factory=set)  # authors of the suspicions of this incarnation
    last_urgent_us: int = 0  # when a report of its was last relayed urgently
    urgent_paced_until_us: int = 0  # theoretical arrival time of the rate limit below
    has_deferred_urgent: bool = False  # a report of its waits for an urgent relay

    def next_urgent_us(self, now_us: int) -> int:
        """Return when the next report may be relayed urgently.

        The rate limit is the generic cell rate algorithm (ITU-T I.371) with a minimum gap.
        """
        paced_us = max(self.urgent_paced_until_us, now_us) - (URGENT_BURST - 1) * MEAN_URGENT_INTERVAL_US
        return max(self.last_urgent_us + MIN_URGENT_INTERVAL_US, paced_us)

    def record_urgent(self, now_us: int) -> None:
        """Count an urgent relay against the rate limit."""
        self.last_urgent_us = now_us
        self.urgent_paced_until_us = max(self.urgent_paced_until_us, now_us) + MEAN_URGENT_INTERVAL_US


class MemberList(dict[str, Peer]):
    """The known peers by name. A peer's state and site are changed through this class alone."""

    def __init__(self) -> None:
        super().__init__()
        self.by_state: dict[MemberState, dict[str, Peer]] = {state: {} for state in MemberState}
        self.sites: Counter[str] = Counter()  # peers per site that are not dead
        self._live_peers: list[Peer] | None = None  # cached answer of `live_peers`

    def add(self, peer: Peer) -> None:
        """Add a peer whose name is not in the list."""
        self[peer.name] = peer
        self.by_state[peer.state][peer.name] = peer
        self._count_site(peer.site, is_living=peer.state is not MemberState.DEAD, was_living=False)

    def set_state(self, peer: Peer, state: MemberState, now_us: int, site: str = "") -> None:
        """Move a peer to a state, and to a site if one is given."""
        self._count_site(peer.site, is_living=False, was_living=peer.state is not MemberState.DEAD)
        del self.by_state[peer.state][peer.name]
        peer.state = state
        peer.state_changed_us = now_us
        peer.site = site or peer.site
        self.by_state[state][peer.name] = peer
        self._count_site(peer.site, is_living=state is not MemberState.DEAD, was_living=False)

    def remove(self, peer: Peer) -> None:
        """Remove a peer."""
        del self[peer.name]
        del self.by_state[peer.state][peer.name]
        self._count_site(peer.site, is_living=False, was_living=peer.state is not MemberState.DEAD)

    def live_peers(self) -> list[Peer]:
        """Return the peers that are alive or suspect, in a list that the caller must not change."""
        if self._live_peers is None:
            self._live_peers = [
                *self.by_state[MemberState.ALIVE].values(),
                *self.by_state[MemberState.SUSPECT].values(),
            ]
        return self._live_peers

    def suspected_peers(self) -> Iterator[Peer]:
        """Iterate over the suspect peers."""
        return iter(self.by_state[MemberState.SUSPECT].values())

    def dead_peers(self) -> Iterator[Peer]:
        """Iterate over the dead peers that are still remembered."""
        return iter(self.by_state[MemberState.DEAD].values())

    def _count_site(self, site: str, *, is_living: bool, was_living: bool) -> None:
        if is_living == was_living:
            return
        self.sites[site] += 1 if is_living else -1
        if not self.sites[site]:
            del self.sites[site]
        self._live_peers = None
