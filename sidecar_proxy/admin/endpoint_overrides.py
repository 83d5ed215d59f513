"""Endpoints that get no new requests whatever the endpoint list says.

An override comes from a source: an operator of this sidecar, or the whole fleet. Everything that an endpoint
list says passes through here on its way to the balancer.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream

OPERATOR_SOURCE = "operator"
ANY_START_US = 1 << 62  # us: later than any start, so the override holds for every incarnation


class EndpointOverrides:
    """The overridden endpoint names of each source.

    Each name has the latest start (Unix us) to which its override applies: an endpoint that has started later
    is a new incarnation, to which it does not apply.
    """

    def __init__(self, engine: Engine, directory: EndpointDirectory) -> None:
        self.engine = engine
        self.directory = directory
        self.latest_starts_us: dict[str, Mapping[str, int]] = {}  # latest starts by name, by source
        self.name_listeners: list[Callable[[str], None]] = []  # called with each name that a list has
        engine.apply_overrides = self.apply_to_list

    def applies_to(self, name: str, started_us: int) -> bool:
        """Whether any source overrides the endpoint of this name that started then."""
        return any(started_us <= starts[name] for starts in self.latest_starts_us.values() if name in starts)

    def replace_source(self, source: str, names: Mapping[str, int]) -> None:
        """Replace all overrides of a source, and notify the balancer of the endpoints that this changes."""
        previous_names = self.latest_starts_us.get(source, {})
        self.latest_starts_us[source] = names
        known_hosts = self.engine.listed_upstreams()
        changed_hosts = []
        for name in {name for name, _ in previous_names.items() ^ names.items()}:
            host = known_hosts.get(self.directory.numbers.get(name, -1))
            if host is not None and host.listed_entry is not None:
                changed_hosts.append(ListedUpstream(host.listed_entry, host.address, host.grpc_address))
        if changed_hosts:
            self.engine.list_changed(api.ListKind.HELD, changed_hosts, 0)

    def apply_to_list(self, hosts: list[ListedUpstream]) -> None:
        """Change the state of overridden endpoints to draining, in place."""
        for host in hosts:
            name = self.directory.names.get(host.entry.id, "")
            if not name:
                continue
            for listener in self.name_listeners:
                listener(name)
            is_ready = host.entry.state is api.UpstreamState.READY
            if is_ready and self.applies_to(name, host.entry.started_us):
                host.entry = replace(host.entry, state=api.UpstreamState.DRAINING)
