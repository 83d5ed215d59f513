"""The member list: the known peers, indexed by their SWIM state so that queries need not scan all of them."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar_proxy.gossip.codec import Certificate, SignedStatement

MIN_URGENT_INTERVAL_US = 300_000  # minimum interval between two urgent relays of one author's reports
MEAN_URGENT_INTERVAL_US = 2_000_000  # mean interval between these relays once the burst is used up
URGENT_BURST = 4  # urgent relays of one author's reports that the mean interval does not delay


class MemberState(enum.Enum):
    """A peer's state in SWIM's failure detector. The values are part of the status for operators."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Peer:
    """What this instance knows of another instance."""

    name: str
    site: str
    address: tuple[str, int]
    incarnation: int
    certificate: Certificate
    alive_statement: SignedStatement  # the latest Alive statement, as the peer signed it
    state: MemberState = MemberState.ALIVE
    state_changed_us: int = 0  # time at which `state` was last set
    suspecters: set[str] = field(default_factory=set)  # authors of suspicions of the current incarnation
    last_urgent_us: int = 0  # when a report of this peer was last relayed urgently
    urgent_paced_until_us: int = 0  # theoretical arrival time in `next_urgent_us`
    has_deferred_urgent: bool = False  # whether an urgent relay of this peer's report is deferred

    def next_urgent_us(self, now_us: int) -> int:
        """Return the earliest time at which the next report may be relayed urgently.

        The rate limit is the generic cell rate algorithm (ITU-T I.371) with a minimum interval in addition.
        """
        paced_us = max(self.urgent_paced_until_us, now_us) - (URGENT_BURST - 1) * MEAN_URGENT_INTERVAL_US
        return max(self.last_urgent_us + MIN_URGENT_INTERVAL_US, paced_us)

    def record_urgent(self, now_us: int) -> None:
        """Count an urgent relay against the rate limit."""
        self.last_urgent_us = now_us
        self.urgent_paced_until_us = max(self.urgent_paced_until_us, now_us) + MEAN_URGENT_INTERVAL_US


class MemberList(dict[str, Peer]):
    """The known peers by name. A peer's state and site must be changed only through `set_state`."""

    def __init__(self) -> None:
        super().__init__()
        self.by_state: dict[MemberState, dict[str, Peer]] = {state: {} for state in MemberState}
        self.sites: Counter[str] = Counter()  # number of live peers of each site
        self._live_peers: list[Peer] | None = None  # cached result of `live_peers`

    def add(self, peer: Peer) -> None:
        """Add a peer whose name is not in the list yet."""
        self[peer.name] = peer
        self.by_state[peer.state][peer.name] = peer
        self._update_site_count(peer.site, is_live=peer.state is not MemberState.DEAD, was_live=False)

    def set_state(self, peer: Peer, state: MemberState, now_us: int, site: str = "") -> None:
        """Set a peer's state, the time of the change, and the site unless it is empty."""
        self._update_site_count(peer.site, is_live=False, was_live=peer.state is not MemberState.DEAD)
        del self.by_state[peer.state][peer.name]
        peer.state = state
        peer.state_changed_us = now_us
        peer.site = site or peer.site
        self.by_state[state][peer.name] = peer
        self._update_site_count(peer.site, is_live=state is not MemberState.DEAD, was_live=False)

    def remove(self, peer: Peer) -> None:
        """Remove a peer from the list and the indexes."""
        del self[peer.name]
        del self.by_state[peer.state][peer.name]
        self._update_site_count(peer.site, is_live=False, was_live=peer.state is not MemberState.DEAD)

    def live_peers(self) -> list[Peer]:
        """Return the peers that are alive or suspect. The list is cached; the caller must not change it."""
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
        """Iterate over the dead peers that have not been evicted yet."""
        return iter(self.by_state[MemberState.DEAD].values())

    def _update_site_count(self, site: str, *, is_live: bool, was_live: bool) -> None:
        if is_live == was_live:
            return
        self.sites[site] += 1 if is_live else -1
        if not self.sites[site]:
            del self.sites[site]
        self._live_peers = None
