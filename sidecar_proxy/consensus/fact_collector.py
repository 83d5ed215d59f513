"""Collects the facts for disruption budgets: which upstreams and sidecars are known to be out of service.

The sources are the endpoint list, gossip's outlier reports on upstreams, and the sidecars that gossip
considers dead. The decisions on permits are made in disruption_budgets.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.consensus.disruption_budgets import (
    MAX_NAMED_UNAVAILABLE,
    DisruptionFacts,
    Scope,
    Target,
    TargetKind,
    permit_key,
)
from sidecar_proxy.consensus.replica import Replica
from sidecar_proxy.consensus.replicated_commands import CommandKind, ReplicatedCommand, ReplicatedState
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.gossip.subsystem import GossipSubsystem

# An upstream counts as unavailable from this total weight of all sidecars' outlier reports on it.
UNAVAILABLE_OUTLIER_WEIGHT = 0.5


@dataclass(slots=True, frozen=True)
class ObservedTarget:
    """A target, and whether it is out of service for another reason than a permit."""

    target: Target
    is_unavailable: bool


class DisruptionFactCollector:
    """Collects the facts for disruption budgets, and creates commands that return obsolete permits."""

    def __init__(
        self, engine: Engine, directory: EndpointDirectory, gossip: GossipSubsystem, replica: Replica
    ) -> None:
        self.replica = replica
        self.engine = engine
        self.directory = directory
        self.gossip = gossip

    def collect_facts(self, command: ReplicatedCommand) -> DisruptionFacts | None:
        """Returns the facts for a command about a permit, or None if its target is not known."""
        target_kind, name = str(TargetKind.UPSTREAM), command.name
        if command.kind in (CommandKind.PERMIT, CommandKind.RETURN):
            target_kind, _, name = command.name.partition(":")
        is_upstream = target_kind == TargetKind.UPSTREAM
        observed = list(self._upstreams() if is_upstream else self._sidecars())
        target = next((item.target for item in observed if item.target.name == name), None)
        if target is None:
            return None
        unavailable = [item.target for item in observed if item.is_unavailable and item.target.name != name]
        return DisruptionFacts(
            target_kind,
            target,
            (
                _group_size(observed, target, Scope.ALL),
                _group_size(observed, target, Scope.SITE),
                _group_size(observed, target, Scope.CLASS),
                _group_size(observed, target, Scope.CELL),
            ),
            tuple(unavailable[:MAX_NAMED_UNAVAILABLE]),
            max(0, len(unavailable) - MAX_NAMED_UNAVAILABLE),
        )

    def _upstreams(self) -> Iterator[ObservedTarget]:
        """Yields the listed upstreams, each with its state."""
        assert self.gossip.transport is not None
        weights = self.gossip.transport.instance.outlier_weights
        zones = {number: name for name, number in self.directory.zones.items()}
        classes = {number: name for name, number in self.directory.kinds.items()}
        for number, host in self.engine.listed_upstreams().items():
            upstream = host.listed_entry
            name = self.directory.names.get(number)
            if name is None or upstream.state is UpstreamState.GONE:
                continue
            zone = zones.get(upstream.zone, "")
            upstream_class = classes.get(upstream.kind, "")
            is_outlier = weights.get(name, 0.0) >= UNAVAILABLE_OUTLIER_WEIGHT
            yield ObservedTarget(
                Target(name, zone, upstream_class, str(upstream.cell)),
                upstream.state is not UpstreamState.READY or is_outlier,
            )

    def _sidecars(self) -> Iterator[ObservedTarget]:
        """Yields the sidecars of the fleet, this one first.

        The cell of a sidecar is its process id, by which the permit of an ended process is recognized.
        """
        assert self.gossip.transport is not None
        core = self.gossip.transport.instance.core
        yield ObservedTarget(Target(core.name, core.site, "", self.replica.process_id), False)
        for member in core.members.live_peers():
            peer = self.replica.peers.peers.get(member.name)
            process_id = peer.status.process_id if peer else ""
            yield ObservedTarget(Target(member.name, member.site, "", process_id), False)
        for member in core.members.dead_peers():
            yield ObservedTarget(Target(member.name, member.site), True)

    def own_return_command(self, state: ReplicatedState) -> ReplicatedCommand | None:
        """Returns a command that returns the permit of an earlier process of this sidecar, or None."""
        name = self.replica.name
        permit = state.permits.granted.get(permit_key(TargetKind.SIDECAR, name))
        if permit is None or permit.target.cell in ("", self.replica.process_id):
            return None
        return ReplicatedCommand(
            CommandKind.RETURN, f"back-{permit.index}", name, 0, permit_key(TargetKind.SIDECAR, name)
        )

    def upstream_return_commands(self, state: ReplicatedState) -> Iterator[ReplicatedCommand]:
        """Yields commands that return the permits of upstreams that have been restarted and are ready."""
        for permit in list(state.permits.granted.values()):
            if permit.target_kind != TargetKind.UPSTREAM:
                continue
            name = permit.target.name
            host = self.find_upstream(name)
            if host is None or host.listed_entry.state is not UpstreamState.READY:
                continue
            if host.entry.started_us // 1000 <= permit.started_ms:
                continue
            command_id = f"back-{permit.index}"
            excluded = state.excluded.get(name)
            if excluded is None:
                key = permit_key(TargetKind.UPSTREAM, name)
                yield ReplicatedCommand(CommandKind.RETURN, command_id, "", 0, key)
            elif excluded.kind == CommandKind.DRAIN:
                yield ReplicatedCommand(CommandKind.RESUME, command_id, "", 0, name)

    def find_upstream(self, name: str) -> ListedUpstream | None:
        """Returns the listed upstream of this name, or None."""
        return self.engine.listed_upstreams().get(self.directory.numbers.get(name, -1))


def _group_size(observed: list[ObservedTarget], target: Target, scope: Scope) -> int:
    return sum(item.target.shares_group(target, scope) for item in observed)
