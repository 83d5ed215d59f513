"""Suspicion, local health and refutation.

Section names are those of "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar,
Phillips, Currey, 2017); suspicion and incarnations are SWIM's (section 4.2). Times are passed in;
the module does no I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from sidecar_proxy.gossip.codec import MAX_INTEGER, Alive, SignedStatement, Statement, Suspect
from sidecar_proxy.gossip.dissemination import BroadcastKind, Dissemination
from sidecar_proxy.gossip.effects import MemberDied
from sidecar_proxy.gossip.members import MemberList, MemberState, Peer

PROBE_INTERVAL_US = 500_000
MAX_AWARENESS = 8  # maximum score of the local health multiplier (LHA-Probe)
SUSPICION_MULTIPLIER = 5.0  # the minimum timeout is this many probe intervals times log10 n (LHA-Suspicion)
MAX_TIMEOUT_MULTIPLIER = 6.0  # the maximum timeout is this many minimum timeouts (LHA-Suspicion)
CONFIRMATIONS = 3  # independent suspecters after the first that reduce the timeout to its minimum
MAX_SUSPECTERS = 16  # maximum number of suspecters stored for one peer


class Awareness:
    """The local health multiplier (LHA-Probe): a slow instance probes less often and waits longer."""

    def __init__(self) -> None:
        self.score = 0  # 0 (healthy) to MAX_AWARENESS

    def degrade(self, amount: int) -> None:
        """Raise the score, up to the maximum."""
        self.score = min(MAX_AWARENESS, self.score + amount)

    def improve(self) -> None:
        """Lower the score by one, down to 0."""
        self.score = max(0, self.score - 1)

    def scale_us(self, duration_us: int) -> int:
        """Return a timeout or an interval multiplied by the score plus one."""
        return duration_us * (1 + self.score)


class LocalMember:
    """This instance's own incarnation and Alive statement."""

    def __init__(
        self,
        incarnation: int,
        sign: Callable[[Statement], SignedStatement],
        make_alive: Callable[[int], Alive],
    ) -> None:
        self.incarnation = incarnation
        self.sign = sign
        self._make_alive = make_alive
        self.alive_statement = sign(make_alive(incarnation))

    def update_statement(self, dissemination: Dissemination) -> None:
        """Sign and broadcast a new Alive statement, with the current address and certificate."""
        self.alive_statement = self.sign(self._make_alive(self.incarnation))
        dissemination.enqueue(BroadcastKind.ALIVE, self.alive_statement)

    def raise_incarnation(self, dissemination: Dissemination) -> None:
        """Broadcast an Alive statement of the next incarnation, which supersedes the previous ones."""
        self.incarnation = min(MAX_INTEGER, self.incarnation + 1)
        self.update_statement(dissemination)


class Suspicions:
    """Marks peers as suspect, and as dead if the suspicion is not refuted within its timeout."""

    def __init__(
        self,
        name: str,
        local: LocalMember,
        members: MemberList,
        dissemination: Dissemination,
        awareness: Awareness,
        counts: Counter[str],
    ) -> None:
        self._name = name
        self._local = local
        self._members = members
        self._dissemination = dissemination
        self._awareness = awareness
        self._counts = counts

    def expiry_times_us(self) -> list[int]:
        """Return the times at which the current suspicions expire."""
        return [peer.state_changed_us + self.timeout_us(peer) for peer in self._members.suspected_peers()]

    def timeout_us(self, peer: Peer) -> int:
        """Return a suspect's timeout, which decreases with each independent suspecter (LHA-Suspicion)."""
        min_timeout_us = (
            SUSPICION_MULTIPLIER * math.log10(max(10, len(self._members) + 1)) * PROBE_INTERVAL_US
        )
        max_timeout_us = min_timeout_us * MAX_TIMEOUT_MULTIPLIER
        suspecters = min(len(peer.suspecters), CONFIRMATIONS + 1) or 1
        progress = math.log(suspecters) / math.log(CONFIRMATIONS + 1)
        return int(max_timeout_us - (max_timeout_us - min_timeout_us) * progress)

    def expire(self, now_us: int) -> list[MemberDied]:
        """Mark the suspects whose timeout has expired as dead."""
        expired = [
            peer
            for peer in self._members.suspected_peers()
            if now_us >= peer.state_changed_us + self.timeout_us(peer)
        ]
        for peer in expired:
            self._members.set_state(peer, MemberState.DEAD, now_us)
            self._counts["deaths"] += 1
        return [MemberDied(peer.name) for peer in expired]

    def suspect(self, peer: Peer, now_us: int) -> None:
        """Suspect a peer that has not answered a probe of this instance, and broadcast the suspicion."""
        statement = self._local.sign(Suspect(peer.name, peer.incarnation))
        self._add_suspecter(peer, self._name, now_us)
        self._dissemination.enqueue(BroadcastKind.SUSPECT, statement, self._name, peer.name)

    def on_suspect(self, statement: SignedStatement, suspect: Suspect, now_us: int) -> None:
        """Handle a peer's suspicion: refute it if this instance is its subject, else record and relay it.

        A suspicion is ignored unless its incarnation is the known one: a suspicion of a future
        incarnation would otherwise remain in effect after its subject has refuted it.
        """
        if suspect.subject == self._name:
            self._refute(suspect)
            return
        peer = self._members.get(suspect.subject)
        if peer is None or suspect.incarnation != peer.incarnation or statement.author in peer.suspecters:
            return
        if peer.state is not MemberState.DEAD and len(peer.suspecters) < MAX_SUSPECTERS:
            self._add_suspecter(peer, statement.author, now_us)
            self._dissemination.enqueue(BroadcastKind.SUSPECT, statement, statement.author, peer.name)

    def _refute(self, suspect: Suspect) -> None:
        if suspect.incarnation != self._local.incarnation or self._local.incarnation >= MAX_INTEGER:
            return
        self._awareness.degrade(1)  # the cause of the suspicion may be that this instance is slow
        self._counts["refutations"] += 1
        self._local.raise_incarnation(self._dissemination)

    def _add_suspecter(self, peer: Peer, author: str, now_us: int) -> None:
        peer.suspecters.add(author)
        if peer.state is MemberState.ALIVE:
            self._members.set_state(peer, MemberState.SUSPECT, now_us)
            self._counts["suspicions"] += 1
