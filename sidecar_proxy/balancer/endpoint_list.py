"""The endpoint list from discovery, and the upstreams of it that this sidecar uses. Pure."""

from dataclasses import replace
from typing import Final

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.concurrency_limit import INITIAL_SLOTS_PER_UPSTREAM
from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.balancer.endpoint_pool import EndpointPool
from sidecar_proxy.balancer.outlier_detection import is_degraded
from sidecar_proxy.balancer.subsetting import Subset

INITIAL_LIMIT_OF_SMALL_FLEET: Final = 2.0  # initial limit per upstream of each of one or two sidecars
COMPLETE_LIST_KINDS: Final = (api.ListKind.FULL, api.ListKind.CACHED)


class EndpointList:
    """Applies list updates to the pool, for the complete list or for this sidecar's subset of it."""

    def __init__(self, context: DecisionContext, pool: EndpointPool) -> None:
        settings = context.settings
        self.context = context
        self.pool = pool
        # list entries by upstream id, without upstreams that are gone
        self.entries: dict[int, api.Upstream] = {}
        self.subset = Subset(
            settings.self_index,
            settings.instances,
            settings.max_upstreams,
            context.home_zone,
            len(settings.zones) or 1,
        )
        self.is_selection_due = False  # whether a degraded member has to be replaced by a new selection
        # rule 2 restricts repeats of deduplicated requests to a cell: of the complete list, not of the subset
        self.indexes_cells = any(
            request_class.effect == "deduplicated" and request_class.group == "cell"
            for request_class in settings.classes
        )
        self.cells: dict[int, dict[int, None]] = {}  # ids of the ready upstreams by cell

    # List updates

    def apply(self, event: api.UpstreamsUpdated) -> None:
        """Apply changed entries or a complete list; an upstream that is missing from the latter is gone."""
        was_active = self.subset.is_active
        for entry in event.upstreams:
            self.apply_entry(entry)
        if event.kind in COMPLETE_LIST_KINDS:
            listed = {entry.id for entry in event.upstreams}
            missing = [entry for upstream, entry in self.entries.items() if upstream not in listed]
            for entry in missing:
                self.apply_entry(replace(entry, state=api.UpstreamState.GONE))
        if self.subset.is_active or was_active:
            self.select()

    def apply_entry(self, entry: api.Upstream) -> None:
        """Apply one entry, without a scan of the list."""
        previous = self.entries.pop(entry.id, None)
        endpoint = self.pool.endpoints.get(entry.id)
        is_ready = entry.state is api.UpstreamState.READY
        is_gone = entry.state is api.UpstreamState.GONE
        if self.indexes_cells:
            self.update_cells(previous, entry)
        if not is_gone:
            self.entries[entry.id] = entry
        if is_ready:
            self.subset.add(entry.id, entry.zone)
        else:
            self.subset.remove(entry.id)
        is_member = not self.subset.is_active or entry.id in self.subset.members
        if is_member and not is_gone:
            self.subset.members[entry.id] = None
            self.add_to_pool(entry)
        elif endpoint is not None:
            self.set_entry(endpoint, entry)
            if endpoint.index_entry is not None:
                self.pool.place(endpoint, self.context.now_us)
            self.forget_if_unused(endpoint)
        if not is_ready:
            self.subset.members.pop(entry.id, None)

    def update_cells(self, previous: api.Upstream | None, entry: api.Upstream) -> None:
        """Move an upstream from its previous cell to the cell of its new entry."""
        if previous is not None:
            cell = self.cells.get(previous.cell, {})
            cell.pop(entry.id, None)
            if not cell:
                self.cells.pop(previous.cell, None)
        if entry.state is api.UpstreamState.READY:
            self.cells.setdefault(entry.cell, {})[entry.id] = None

    def cell_endpoints(self, cell: int) -> list[Endpoint]:
        """Return the ready upstreams of a cell, in or outside of this sidecar's subset."""
        endpoints: list[Endpoint] = []
        for upstream in self.cells.get(cell, ()):
            endpoint = self.pool.endpoints.get(upstream)
            if endpoint is None:
                endpoint = self.new_endpoint(self.entries[upstream])
            endpoints.append(endpoint)
        return endpoints

    # Members of the pool

    def new_endpoint(self, entry: api.Upstream) -> Endpoint:
        """Return an endpoint without any history for an upstream.

        In a fleet of one or two sidecars it starts with two slots, because after a restart of the sidecar all
        requests that clients sent meanwhile arrive at once. If both sidecars start together, the upstream is
        slightly overloaded until slow answers close the second slots.
        """
        limit = 1.0
        if 4 * self.subset.instances <= INITIAL_SLOTS_PER_UPSTREAM:
            limit = INITIAL_LIMIT_OF_SMALL_FLEET
        endpoint = Endpoint(entry, self.context.random.expovariate(1.0), limit)
        self.set_entry(endpoint, entry)
        return endpoint

    def set_entry(self, endpoint: Endpoint, entry: api.Upstream) -> None:
        """Set a changed entry; after a restart of the upstream, reset what its attempts have shown."""
        if entry.started_us != endpoint.entry.started_us:
            endpoint.failure_rate = 0.0
            endpoint.limiter.limit = 1.0
            endpoint.limiter.paused_until_us = 0
            endpoint.limit_before_probation = 0.0
            endpoint.last_success_us = 0
        endpoint.entry = entry
        if self.context.settings.weighted and entry.weight > 0.0:
            endpoint.weight = entry.weight

    def add_to_pool(self, entry: api.Upstream) -> None:
        """Add an upstream that this sidecar uses to the pool, or update it there."""
        endpoint = self.pool.endpoints.get(entry.id)
        if endpoint is None:
            endpoint = self.new_endpoint(entry)
        else:
            self.set_entry(endpoint, entry)
        self.pool.place(endpoint, self.context.now_us)

    def forget_if_unused(self, endpoint: Endpoint) -> None:
        """Remove an endpoint that this sidecar no longer uses, once nothing is in flight to it.

        Upstreams are replaced all day under new ids, so the state of former ones must not accumulate.
        """
        if endpoint.limiter.in_flight:
            return
        is_unused = endpoint.index_entry is None and self.subset.is_active
        if is_unused or endpoint.entry.state is api.UpstreamState.GONE:
            self.pool.forget(endpoint)

    # The subset

    def resize_fleet(self, event: api.FleetResized) -> None:
        """Set the number of sidecars and the index of this one, and select the subset anew."""
        self.subset.set_sidecar(event.self_index, event.instances)
        self.select()

    def select(self) -> None:
        """Select the subset anew; connections to upstreams that leave it are closed when idle."""
        self.is_selection_due = False
        now_us = self.context.now_us
        joined, left = self.subset.select(now_us, self.is_usable)
        for upstream in left:
            endpoint = self.pool.endpoints.get(upstream)
            if endpoint is not None:
                self.pool.remove(endpoint)
                self.forget_if_unused(endpoint)
                self.context.actions.append(api.CloseIdle(upstream))
        for upstream in joined:
            self.add_to_pool(self.entries[upstream])
        self.pool.set_sharing(self.subset.sidecars_per_upstream(), self.subset.index, now_us)

    def is_usable(self, upstream: int) -> bool:
        """Whether an upstream counts as a usable member of the subset: warm and not degraded."""
        started_us = self.entries[upstream].started_us
        warm_up_us = self.context.settings.warm_up_us
        if started_us != 0 and self.context.now_us - started_us < warm_up_us:
            return False
        endpoint = self.pool.endpoints.get(upstream)
        return endpoint is None or not is_degraded(endpoint)

    def replace_if_degraded(self, endpoint: Endpoint) -> None:
        """Schedule a new selection of the subset if this member has become degraded."""
        upstream = endpoint.entry.id
        if self.subset.is_active and is_degraded(endpoint) and upstream not in self.subset.suspects:
            self.subset.mark_suspect(upstream, self.context.now_us)
            self.is_selection_due = True

    def count_avoided(self) -> int:
        """Return how many of the listed upstreams are not ready or are degraded."""
        ready = api.UpstreamState.READY
        not_ready = sum(entry.state is not ready for entry in self.entries.values())
        degraded = sum(
            endpoint.entry.state is ready and endpoint.index_entry is not None and is_degraded(endpoint)
            for endpoint in self.pool.endpoints.values()
        )
        return not_ready + degraded
