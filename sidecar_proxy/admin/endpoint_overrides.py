"""Overrides of the endpoint list: endpoints that get no new requests, whatever their state in the list is.

An override comes from a source: an operator of this sidecar, or the replicated state of the fleet. Overrides
are applied to each endpoint list on its way to the balancer.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream

OPERATOR_SOURCE = "operator"
ANY_START_US = 1 << 62  # later than any start time, so the override applies to every incarnation


class EndpointOverrides:
    """The overridden endpoint names of each source.

    Each name has the latest start (Unix us) to which its override applies: an endpoint that has started later
    is a new incarnation, to which it does not apply.
    """

    def __init__(self, engine: Engine, directory: EndpointDirectory) -> None:
        self.engine = engine
        self.directory = directory
        # Latest start (Unix us) to which an override applies, by source and then by endpoint name.
        self.latest_starts_us: dict[str, Mapping[str, int]] = {}
        self.name_listeners: list[Callable[[str], None]] = []  # called with each name in an endpoint list
        engine.apply_overrides = self.apply_to_list

    def applies_to(self, name: str, started_us: int) -> bool:
        """Return whether any source overrides the endpoint with this name and start time (Unix us)."""
        return any(started_us <= starts[name] for starts in self.latest_starts_us.values() if name in starts)

    def replace_source(self, source: str, names: Mapping[str, int]) -> None:
        """Replace all overrides of a source, and notify the balancer of the affected endpoints."""
        previous_names = self.latest_starts_us.get(source, {})
        self.latest_starts_us[source] = names
        listed_upstreams = self.engine.listed_upstreams()
        changed_upstreams = []
        for name in {name for name, _ in previous_names.items() ^ names.items()}:
            upstream = listed_upstreams.get(self.directory.numbers.get(name, -1))
            if upstream is not None:
                changed_upstreams.append(
                    ListedUpstream(upstream.listed_entry, upstream.address, upstream.grpc_address)
                )
        if changed_upstreams:
            self.engine.list_changed(api.ListKind.HELD, changed_upstreams, 0)

    def apply_to_list(self, upstreams: list[ListedUpstream]) -> None:
        """Set the state of overridden endpoints to draining, in place."""
        for upstream in upstreams:
            name = self.directory.names.get(upstream.entry.id, "")
            if not name:
                continue
            for listener in self.name_listeners:
                listener(name)
            is_ready = upstream.entry.state is api.UpstreamState.READY
            if is_ready and self.applies_to(name, upstream.entry.started_us):
                upstream.entry = replace(upstream.entry, state=api.UpstreamState.DRAINING)
