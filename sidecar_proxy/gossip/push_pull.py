"""The schedule of push-pull state exchanges: partners and times. Times are passed in; it does no I/O."""

from __future__ import annotations

import random

from sidecar_proxy.gossip.effects import Address, StartPushPull
from sidecar_proxy.gossip.members import MemberList

PUSH_PULL_INTERVAL_US = 30_000_000
JOIN_INTERVAL_US = 500_000  # interval after the first exchange, doubled after each further one
MAX_DOUBLINGS = 12  # maximum number of doublings of JOIN_INTERVAL_US
JOIN_SEEDS = 3  # number of seeds with which the first exchanges take place
JOIN_ROUNDS = 2  # number of exchanges with each of the JOIN_SEEDS seeds
PEER_SHARE = 0.9  # share of the later exchanges that are with a peer instead of a seed
# number of live peers per PUSH_PULL_INTERVAL_US: the interval is longer in a larger fleet, so that the bytes
# per second do not increase
PEERS_PER_INTERVAL = 32


class PushPullSchedule:
    """Chooses the partners and times of state exchanges.

    The first exchanges are with several seeds, twice with each, because instances that start together reach
    different seeds first. Some of the later exchanges are with a seed, so that two parts of the fleet that
    have evicted each other from their member lists merge again.
    """

    def __init__(self, seeds: list[Address], members: MemberList, rng: random.Random, now_us: int) -> None:
        self._seeds = seeds
        self._members = members
        self._rng = rng
        self._exchanges = 0
        self.due_us = now_us + int(JOIN_INTERVAL_US * rng.random())

    def tick(self, now_us: int) -> list[StartPushPull]:
        """Start a state exchange if one is due."""
        if now_us < self.due_us:
            return []
        address = self._choose_partner()
        if address is None:
            self.due_us = now_us + PUSH_PULL_INTERVAL_US
            return []
        jitter = 0.75 + self._rng.random() / 2
        self.due_us = now_us + int(self._interval_us() * jitter)
        self._exchanges += 1
        return [StartPushPull(address)]

    def _choose_partner(self) -> Address | None:
        join_seeds = min(len(self._seeds), JOIN_SEEDS)
        if self._exchanges < JOIN_ROUNDS * join_seeds:
            return self._seeds[self._exchanges % join_seeds]
        live_peers = self._members.live_peers()
        if live_peers and (not self._seeds or self._rng.random() < PEER_SHARE):
            return self._rng.choice(live_peers).address
        if self._seeds:
            return self._rng.choice(self._seeds)
        return None

    def _interval_us(self) -> int:
        join_interval_us = JOIN_INTERVAL_US << min(self._exchanges, MAX_DOUBLINGS)
        steady_interval_us = PUSH_PULL_INTERVAL_US * max(
            1, len(self._members.live_peers()) // PEERS_PER_INTERVAL
        )
        return min(join_interval_us, steady_interval_us)
