"""Merges what several sources report about each endpoint. Pure; docs/design/discovery.md has the rules.

Each source has an epoch and a revision. Within an epoch revisions only grow, and a report that is older than
what the source has reported already is ignored. No decision depends on the clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.discovery.model import EndpointEntry

READY, DRAINING, GONE = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.GONE
# Share of a source's endpoints that may be missing from a complete list. If more are missing, a second list
# has to confirm it, unless the source is authoritative.
MAX_MISSING_SHARE = 0.5
# The list of a source with fewer endpoints is suspect only if all of them are missing.
MIN_ENDPOINTS_FOR_SHARE = 10


@dataclass(slots=True, frozen=True)
class SourceRecord:
    """The last report of one source about one endpoint."""

    state: UpstreamState
    entry: EndpointEntry  # the last entry that the source reported
    revision: int
    # Latest start (Unix time) to which a drain or a deletion applies, whatever start the entry states.
    applies_to_ms: int = 0
    is_carried_over: bool = False  # a drain of an earlier epoch, which no list of a later epoch ends

    def start_ms(self) -> int:
        """Return the latest start (Unix time) that the report is about."""
        return max(self.entry.born_ms, self.applies_to_ms)


@dataclass(slots=True)
class SourceState:
    """A source and its records."""

    name: str
    is_authoritative: bool = False  # its complete lists need no confirmation
    epoch: str = ""
    revision: int = -1
    records: dict[str, SourceRecord] = field(default_factory=dict)
    unconfirmed_missing: frozenset[str] = frozenset()  # names missing from the last list, if that was suspect


@dataclass(slots=True, frozen=True)
class MergedEndpoint:
    """The result of the merge for one endpoint."""

    entry: EndpointEntry
    deciding_source: str  # the source whose record decides the state


class MembershipMerge:
    """The records of all sources.

    Methods that take reports return the names of the endpoints whose merged state may have changed.
    """

    def __init__(self, sources: Iterable[str], authoritative: str = "") -> None:
        # source states by name, in order of precedence
        self.sources = {name: SourceState(name, name == authoritative) for name in sources}
        # Latest start of an endpoint (Unix time) among those reported by sources whose record was dropped.
        self.dropped_starts_ms: dict[str, int] = {}

    # Reports of the sources

    def apply_list(
        self, source: str, epoch: str, revision: int, entries: Iterable[EndpointEntry]
    ) -> set[str]:
        """Apply a complete list at one revision."""
        source_state = self.sources[source]
        if epoch == source_state.epoch and revision < source_state.revision:
            return set()
        is_new_epoch = epoch != source_state.epoch
        listed = {entry.name: entry for entry in entries}
        known = {name for name, record in source_state.records.items() if record.state is not GONE}
        missing = frozenset(known - listed.keys())
        is_mass_removal = not source_state.is_authoritative and self.is_mass_removal(missing, len(known))
        # The same list received twice at the same revision is no confirmation.
        is_unconfirmed = is_mass_removal and (
            missing != source_state.unconfirmed_missing or revision <= source_state.revision
        )
        source_state.unconfirmed_missing = missing if is_unconfirmed else frozenset()
        changed = set()
        for name, entry in listed.items():
            if self.record(source_state, name, entry, revision, is_list=True, is_new_epoch=is_new_epoch):
                changed.add(name)
        if not is_unconfirmed:
            for name in missing:
                if is_mass_removal and self.is_in_other_source(source_state, name):
                    # One faulty source must not empty the fleet. Its READY records are dropped, as if it had
                    # never listed the endpoint; its drains stay.
                    if source_state.records[name].state is READY:
                        born_ms = source_state.records.pop(name).entry.born_ms
                        # Without the start time of the dropped record, the drain of an earlier start in
                        # another source would take effect again.
                        self.dropped_starts_ms[name] = max(born_ms, self.dropped_starts_ms.get(name, 0))
                        changed.add(name)
                elif self.record(source_state, name, None, revision, is_list=True, is_new_epoch=is_new_epoch):
                    changed.add(name)
        source_state.epoch, source_state.revision = epoch, revision
        return changed | self.remove_deleted(changed)

    def apply_changes(
        self, source: str, epoch: str, revision: int, changes: Iterable[tuple[str, EndpointEntry | None]]
    ) -> set[str]:
        """Apply the changes of one revision in order; None = deleted. The last change of a name wins."""
        source_state = self.sources[source]
        if epoch != source_state.epoch or revision <= source_state.revision:
            return set()
        changed = {name for name, entry in changes if self.record(source_state, name, entry, revision)}
        source_state.revision = revision
        return changed | self.remove_deleted(changed)

    def is_mass_removal(self, missing: frozenset[str], known_count: int) -> bool:
        """Return whether a list lacks so many endpoints that it needs confirmation.

        A source that was emptied, or restored in part, would otherwise remove the fleet with one list.
        """
        if not missing or (known_count < MIN_ENDPOINTS_FOR_SHARE and len(missing) < known_count):
            return False
        return len(missing) == known_count or len(missing) > MAX_MISSING_SHARE * known_count

    def is_in_other_source(self, source: SourceState, name: str) -> bool:
        """Return whether another source lists the endpoint."""
        return any(
            name in other.records and other.records[name].state is not GONE
            for other in self.sources.values()
            if other is not source
        )

    def record(
        self,
        source: SourceState,
        name: str,
        entry: EndpointEntry | None,
        revision: int,
        is_list: bool = False,
        is_new_epoch: bool = False,
    ) -> bool:
        """Store a source's report about an endpoint; return whether it differs from the one before."""
        old = source.records.get(name)
        if entry is None or entry.state is GONE:
            if old is None:
                return False
            record = SourceRecord(GONE, old.entry, revision, self.deleted_start_ms(name, old))
        else:
            is_carried_over = False
            if is_list and old is not None and old.state is DRAINING:
                ends_drain = entry.state is READY and (
                    entry.born_ms > old.entry.born_ms or not (is_new_epoch or old.is_carried_over)
                )
                is_carried_over = not ends_drain and (entry.state is READY or old.is_carried_over)
            state = DRAINING if is_carried_over else entry.state
            applies_to_ms = 0
            if state is DRAINING:
                applies_to_ms = self.drained_start_ms(name, old, entry, is_list, is_new_epoch)
            record = SourceRecord(state, entry, revision, applies_to_ms, is_carried_over)
        source.records[name] = record
        return old is None or replace(record, revision=old.revision) != old

    def drained_start_ms(
        self, name: str, old: SourceRecord | None, entry: EndpointEntry, is_list: bool, is_new_epoch: bool
    ) -> int:
        """Return the latest start (Unix time) to which a reported drain applies.

        A drain that was reported before keeps its start. A new one is about the process that is known when it
        is reported: whoever drains an endpoint by hand need not know its start. The earlier start that the
        first list of an epoch states is about a process that no longer runs.
        """
        if is_list and old is not None and old.state is DRAINING:
            return old.start_ms()
        is_first_report = old is None or is_new_epoch
        if is_list and is_first_report and entry.born_ms:
            return entry.born_ms
        return self.latest_start_ms(name)

    def deleted_start_ms(self, name: str, old: SourceRecord) -> int:
        """Return the latest start (Unix time) to which the deletion of a record applies.

        The end of an entry that stated a start, or drained one, says nothing of later processes.
        """
        if old.state is READY and not old.entry.born_ms:
            return self.latest_start_ms(name)
        return old.start_ms()

    def latest_start_ms(self, name: str) -> int:
        """Return the latest start (Unix time) of an endpoint that any source has reported; 0 if none has."""
        reported = (
            source.records[name].entry.born_ms for source in self.sources.values() if name in source.records
        )
        return max(self.dropped_starts_ms.get(name, 0), *reported, 0)

    def remove_deleted(self, names: set[str]) -> set[str]:
        """Remove those of these endpoints that every source has deleted; return their names."""
        deleted = set()
        for name in names:
            if all(
                source.records[name].state is GONE
                for source in self.sources.values()
                if name in source.records
            ):
                deleted.add(name)
                self.dropped_starts_ms.pop(name, None)
                for source in self.sources.values():
                    source.records.pop(name, None)
        return deleted

    # Results

    def endpoint(self, name: str) -> MergedEndpoint | None:
        """Return the merged state of an endpoint; None if no source has a record of it."""
        records = [
            (source, source.records[name]) for source in self.sources.values() if name in source.records
        ]
        if not records:
            return None
        latest_ms = self.latest_start_ms(name)
        # A record of an earlier start is about a process that no longer runs.
        current = [(source, record) for source, record in records if record.start_ms() >= latest_ms]
        if not current:  # the latest start was reported by a source whose record was dropped
            source, record = max(records, key=lambda pair: pair[1].entry.born_ms)
            state = DRAINING if record.state is GONE else READY
            return MergedEndpoint(replace(record.entry, state=state, born_ms=latest_ms), source.name)
        deciding_source, record = next((pair for pair in current if pair[1].state is not READY), current[0])
        state = DRAINING if record.state is not READY else READY
        # Addresses and weights are those of the latest start.
        entries = [record.entry for _, record in current]
        entry = next((entry for entry in entries if entry.born_ms == latest_ms), entries[0])
        return MergedEndpoint(replace(entry, state=state, born_ms=latest_ms), deciding_source.name)

    def endpoints(self) -> dict[str, MergedEndpoint]:
        """Return the merged state of all endpoints by name."""
        names = {name for source in self.sources.values() for name in source.records}
        merged = {name: self.endpoint(name) for name in names}
        return {name: endpoint for name, endpoint in merged.items() if endpoint is not None}
