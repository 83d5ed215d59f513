"""The schedule of push-pull state exchanges: with whom and when. Pure."""

from __future__ import annotations

import random

from sidecar_proxy.gossip.effects import Address, StartPushPull
from sidecar_proxy.gossip.members import MemberList

PUSH_PULL_INTERVAL_US = 30_000_000
JOIN_INTERVAL_US = 500_000  # between the first exchanges; doubled after each
MAX_DOUBLINGS = 12
JOIN_SEEDS = 3  # seeds that are asked before any peer
JOIN_ROUNDS = 2  # how often each of them is asked
PEER_SHARE = 0.9  # of the later exchanges; the others go to a seed
PEERS_PER_INTERVAL = 32  # the interval grows with the fleet, so that the bytes a second stay constant


class PushPullSchedule:
    """Chooses the partners of state exchanges.

    The first exchanges are with several seeds, twice: of the instances that start together some reach one
    seed first and some another. Later ones go to a seed now and then, so that two halves of the fleet that
    have forgotten each other meet again.
    """

    def __init__(self, seeds: list[Address], members: MemberList, rng: random.Random, now_us: int) -> None:
        self._seeds = seeds
        self._members = members
        self._rng = rng
        self._exchanges = 0
        self.due_us = now_us + int(JOIN_INTERVAL_US * rng.random())

    def tick(self, now_us: int) -> list[StartPushPull]:
        """Start an exchange if it is due."""
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
        living = self._members.live_peers()
        if living and (not self._seeds or self._rng.random() < PEER_SHARE):
            return self._rng.choice(living).address
        if self._seeds:
            return self._rng.choice(self._seeds)
        return None

    def _interval_us(self) -> int:
        backoff_us = JOIN_INTERVAL_US << min(self._exchanges, MAX_DOUBLINGS)
        steady_us = PUSH_PULL_INTERVAL_US * max(1, len(self._members.live_peers()) // PEERS_PER_INTERVAL)
        return min(backoff_us, steady_us)
