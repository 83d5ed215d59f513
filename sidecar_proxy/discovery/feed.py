"""Passes the reports of all discovery sources through the merge to the balancer.

The feed takes the engine's place as the listener of the platform's list; further sources call it directly.
The merged state of an endpoint is read when it is sent, so an older state can't overtake a newer one.
Endpoints that may get no new requests are sent before all others (rule 3).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import SLICE_ENTRIES, EndpointDirectory
from sidecar_proxy.discovery.merge import MembershipMerge
from sidecar_proxy.discovery.model import EndpointEntry
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream

READY, GONE = api.UpstreamState.READY, api.UpstreamState.GONE
HEALTH_BY_STATE = {READY: "in_service", api.UpstreamState.DRAINING: "terminating"}
PLATFORM_SOURCE = "roster"  # shown to operators by `members`


class MembershipFeed:
    """Merges the reports of all sources and sends the changes to the balancer.

    The platform's list is the source PLATFORM_SOURCE.
    """

    def __init__(self, engine: Engine, directory: EndpointDirectory, sources: list[str]) -> None:
        self.engine = engine
        self.directory = directory
        # By the platform's protocol, whatever a complete list of its own leaves out is gone.
        self.merge = MembershipMerge([PLATFORM_SOURCE, *sources], authoritative=PLATFORM_SOURCE)
        self.roster_revision = 0  # counts the platform's lists, which its client has put in order
        self.pending: dict[str, None] = {}  # names of endpoints that are still to be sent, in order
        self.is_sending = False
        # Unix time at which a source's report about an endpoint last changed, by source and name.
        self.changed_at_s: dict[tuple[str, str], float] = {}

    # The listener of the platform's list

    def list_changed(self, kind: api.ListKind, upstreams: list[ListedUpstream], version: int) -> None:
        """Take a list of the platform, or changes of it."""
        self.roster_revision += 1
        changes = [
            (name, None if upstream.entry.state is GONE else self.entry_of(name, upstream))
            for upstream in upstreams
            if (name := self.directory.names.get(upstream.entry.id))
        ]
        if kind is api.ListKind.DELTA:
            changed = self.merge.apply_changes(PLATFORM_SOURCE, "", self.roster_revision, changes)
        else:
            changed = self.merge.apply_list(
                PLATFORM_SOURCE, "", self.roster_revision, [entry for _, entry in changes if entry]
            )
        is_response = kind in (api.ListKind.FULL, api.ListKind.DELTA)
        self.update(PLATFORM_SOURCE, changed, is_response)

    def list_failed(self) -> None:
        """Notify the balancer that a call failed or a watch broke."""
        self.engine.list_failed()

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        """Return the upstreams by number."""
        return self.engine.listed_upstreams()

    def has_reported(self, upstream: ListedUpstream) -> bool:
        """Return whether this was the last report of the platform's list about the upstream."""
        name = self.directory.names.get(upstream.entry.id, "")
        record = self.merge.sources[PLATFORM_SOURCE].records.get(name)
        return (
            record is not None and record.state is not GONE and record.entry == self.entry_of(name, upstream)
        )

    def reported_numbers(self) -> list[int]:
        """Return the numbers of the upstreams that the platform's list has reported and not removed.

        An upstream that waits to be sent to the balancer may have no number yet, and gets one here.
        """
        records = self.merge.sources[PLATFORM_SOURCE].records
        return [
            self.directory.number_of(name) for name, record in records.items() if record.state is not GONE
        ]

    def entry_of(self, name: str, upstream: ListedUpstream) -> EndpointEntry:
        """Return the platform's entry in the form in which the other sources report theirs."""
        entry = upstream.entry
        return EndpointEntry(
            name,
            entry.state,
            format_address(upstream.address),
            format_address(upstream.grpc_address) if upstream.grpc_address else "",
            name_of(self.directory.zones, entry.zone),
            name_of(self.directory.kinds, entry.kind),
            entry.cell,
            entry.weight,
            entry.started_us // 1000,
        )

    # The listener of further sources

    def list_received(
        self, source: str, epoch: str, revision: int, entries: tuple[EndpointEntry, ...]
    ) -> None:
        """Take a complete list of a source at one revision."""
        self.update(source, self.merge.apply_list(source, epoch, revision, entries))

    def changes_received(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, EndpointEntry | None], ...]
    ) -> None:
        """Take the changes of one revision of a source; None = deleted."""
        self.update(source, self.merge.apply_changes(source, epoch, revision, changes))

    def note_change_times(self, source: str, names: Iterable[str]) -> None:
        """Store when a source's report about these endpoints changed; drop the times of removed ones."""
        now_s = self.engine.clock.now_us() / 1e6
        for name in names:
            if self.merge.endpoint(name) is not None:
                self.changed_at_s[source, name] = now_s
            else:
                for known_source in self.merge.sources:
                    self.changed_at_s.pop((known_source, name), None)

    # Sending to the balancer

    def update(self, source: str, names: set[str], is_response: bool = False) -> None:
        """Send changed endpoints: at once those that may get no new requests, the others in slices.

        `is_response` says that the platform has answered a call, with or without changes.
        """
        self.note_change_times(source, names)
        leaving: list[str] = []
        others: list[str] = []
        for name in names:
            endpoint = self.merge.endpoint(name)
            (others if endpoint is not None and endpoint.entry.state is READY else leaving).append(name)
        for start in range(0, len(leaving), SLICE_ENTRIES):
            self.send(leaving[start : start + SLICE_ENTRIES])
        self.pending.update(dict.fromkeys(others))
        if is_response:  # the balancer waits for the answer to its call, even if nothing has changed
            self.engine.list_changed(api.ListKind.DELTA, [], 0)
        if not self.is_sending:
            self.send_next_slice()

    def send_next_slice(self) -> None:
        """Send the next slice of pending endpoints; the one after it follows in the loop's next iteration."""
        names = list(islice(self.pending, SLICE_ENTRIES))
        for name in names:
            del self.pending[name]
        self.is_sending = bool(self.pending)
        if names:
            self.send(names)
        if self.is_sending:
            self.engine.loop.call_soon(self.send_next_slice)

    def send(self, names: list[str]) -> None:
        """Send the current merged state of these endpoints to the balancer."""
        upstreams = [upstream for name in names if (upstream := self.upstream_of(name)) is not None]
        if upstreams:
            self.engine.list_changed(api.ListKind.HELD, upstreams, 0)

    def upstream_of(self, name: str) -> ListedUpstream | None:
        """Return an endpoint's merged state as a list entry; None if the balancer never had an entry."""
        endpoint = self.merge.endpoint(name)
        if endpoint is None:
            number = self.directory.numbers.get(name)
            known = self.engine.listed_upstreams().get(number) if number is not None else None
            return None if known is None else ListedUpstream(replace(known.entry, state=GONE), ("", 0))
        entry = endpoint.entry
        fields = {
            "host": name,
            "health": HEALTH_BY_STATE[entry.state],
            "dial": entry.dial,
            "site": entry.site,
            "class": entry.kind,
            "block": entry.block,
            "share": entry.share,
            "born_ms": entry.born_ms,
        }
        if entry.dial_grpc:
            fields["dial_grpc"] = entry.dial_grpc
        return self.directory.parse_entry(fields, [])


def format_address(address: tuple[str, int]) -> str:
    """Return an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def name_of(numbers: dict[str, int], number: int) -> str:
    """Return the name of a zone or kind. These tables are short, so a linear search is enough."""
    return next((name for name, assigned in numbers.items() if assigned == number), "")
