"""Upstreams to which nothing new is sent whatever the list says, by whoever has said so: an operator at this
sidecar's door, or the fleet. What a list says passes through here on its way to the decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream

ALWAYS = 1 << 62  # us: held whatever its start


class EndpointOverrides:
    """By source: the names that are held, each with the latest start (Unix us) that it is held for."""

    def __init__(self, engine: Engine, directory: EndpointDirectory) -> None:
        self.engine = engine
        self.directory = directory
        self.sources: dict[str, Mapping[str, int]] = {}
        self.listed: list[Callable[[str], None]] = []  # who is told each name that a list has
        engine.apply_overrides = self.hold

    def holds(self, name: str, started_us: int) -> bool:
        return any(started_us <= told[name] for told in self.sources.values() if name in told)

    def put(self, source: str, names: Mapping[str, int]) -> None:
        """All that this source holds from now on. The decisions are told where that has changed."""
        before = self.sources.get(source, {})
        self.sources[source] = names
        known = self.engine.listed_upstreams()
        hosts = []
        for name in {name for name, _ in before.items() ^ names.items()}:
            host = known.get(self.directory.numbers.get(name, -1))
            if host is not None and host.listed_entry is not None:
                hosts.append(ListedUpstream(host.listed_entry, host.address, host.grpc_address))
        if hosts:
            self.engine.list_changed(api.ListKind.HELD, hosts, 0)

    def hold(self, hosts: list[ListedUpstream]) -> None:
        """What a list says, on its way to the decisions: what is held drains, whatever it says."""
        for host in hosts:
            name = self.directory.names.get(host.entry.id, "")
            if not name:
                continue
            for told in self.listed:
                told(name)
            if host.entry.state is api.UpstreamState.READY and self.holds(name, host.entry.started_us):
                host.entry = replace(host.entry, state=api.UpstreamState.DRAINING)
