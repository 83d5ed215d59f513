"""What this sidecar knows of who is out, for words that take or give a place: its list, what gossip has
against nodes, and which sidecars gossip holds for dead. It decides nothing.
"""

from __future__ import annotations

from collections.abc import Iterator

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus.disruption_budgets import MOST_TOLD, SCOPES, Facts, Member, key_of
from sidecar_proxy.consensus.replica import Replica as Agreed
from sidecar_proxy.consensus.replicated_commands import ReplicatedCommand, ReplicatedState
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.gossip.subsystem import GossipSubsystem

BAD = 0.5  # what all sidecars together have against a node, from which on it counts as out


class Witness:
    def __init__(
        self, engine: Engine, directory: EndpointDirectory, gossip: GossipSubsystem, agreed: Agreed
    ) -> None:
        self.agreed = agreed
        self.engine = engine
        self.directory = directory
        self.gossip = gossip

    def facts(self, word: ReplicatedCommand) -> Facts | None:
        """None: nothing is known of whom it names."""
        what, name = "node", word.name
        if word.kind in (words.PERMIT, words.RETURN):
            what, _, name = word.name.partition(":")
        found = list(self.nodes() if what == "node" else self.sidecars())
        about = next((one for one, _ in found if one.name == name), None)
        if about is None:
            return None
        total = tuple(sum(one.under(scope) == about.under(scope) for one, _ in found) for scope in SCOPES)
        down = [one for one, is_down in found if is_down and one.name != name]
        assert len(total) == 4
        return Facts(what, about, total, tuple(down[:MOST_TOLD]), max(0, len(down) - MOST_TOLD))

    def nodes(self) -> Iterator[tuple[Member, bool]]:
        """Each that is listed, and whether it is out by itself."""
        assert self.gossip.transport is not None
        weights = self.gossip.transport.instance.weights
        zones = {number: name for name, number in self.directory.zones.items()}
        kinds = {number: name for name, number in self.directory.kinds.items()}
        for number, host in self.engine.listed_upstreams().items():
            told, name = host.listed_entry or host.entry, self.directory.names.get(number)
            if name is not None and told.state is not UpstreamState.GONE:
                yield (
                    Member(name, zones.get(told.zone, ""), kinds.get(told.kind, ""), str(told.cell)),
                    told.state is not UpstreamState.READY or weights.get(name, 0.0) >= BAD,
                )

    def sidecars(self) -> Iterator[tuple[Member, bool]]:
        """Each that is there, and whether gossip holds it for dead. In a cell's place is its process: a place
        of one that is no more is given back.
        """
        assert self.gossip.transport is not None
        core = self.gossip.transport.instance.core
        yield Member(core.name, core.site, "", self.agreed.life), False
        for peer in core.peers.living():
            told = self.agreed.peers.get(peer.name)
            yield Member(peer.name, peer.site, "", told.here.life if told else ""), False
        for peer in core.peers.dead():
            yield Member(peer.name, peer.site), True

    def own(self, state: ReplicatedState) -> ReplicatedCommand | None:
        """The word that gives this sidecar's own place back, where another process of it took it: this one is
        what it has come back as.
        """
        place = state.places.held.get(key_of("sidecar", self.agreed.name))
        if place is None or not place.member.cell or place.member.cell == self.agreed.life:
            return None
        return ReplicatedCommand(
            words.RETURN, f"back-{place.index}", self.agreed.name, 0, f"sidecar:{self.agreed.name}"
        )

    def back(self, state: ReplicatedState) -> Iterator[ReplicatedCommand]:
        """Words that give places back: of nodes that are listed as ready with a later start than the one that
        went out.
        """
        for one in list(state.places.held.values()):
            host = self.host(one.member.name) if one.what == "node" else None
            if host is None or (host.listed_entry or host.entry).state is not UpstreamState.READY:
                continue
            if host.entry.started_us // 1000 > one.born_ms:
                held = state.held.get(one.member.name)
                if held is None:
                    yield ReplicatedCommand(
                        words.RETURN, f"back-{one.index}", "", 0, f"node:{one.member.name}"
                    )
                elif held.kind == words.DRAIN:
                    yield ReplicatedCommand(words.RESUME, f"back-{one.index}", "", 0, one.member.name)

    def host(self, name: str) -> ListedUpstream | None:
        return self.engine.listed_upstreams().get(self.directory.numbers.get(name, -1))
