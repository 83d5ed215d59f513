"""From the sources through the merge to the decisions: a thin shell, in the place of discovery's sink.

The roster's words come as discovery reads them; a further source's as it likes. What the merge makes of a
node is asked for when its turn comes, so an older word can't overtake a newer one; who may not be used any
more comes before all others (rule 3).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import SLICE, EndpointDirectory
from sidecar_proxy.discovery.merge import Merge
from sidecar_proxy.discovery.model import Entry
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import ListedUpstream

READY, GONE = api.UpstreamState.READY, api.UpstreamState.GONE
HEALTH = {READY: "in_service", api.UpstreamState.DRAINING: "terminating"}


class Feed:
    """All sources, and what the decisions have been told of them."""

    def __init__(self, engine: Engine, directory: EndpointDirectory, sources: list[str]) -> None:
        self.engine = engine
        self.directory = directory
        self.merge = Merge(["roster", *sources])
        self.count = 0  # the roster's messages, which discovery has put in order
        self.waiting: dict[str, None] = {}  # names of which the decisions are still to be told
        self.working = False
        self.since: dict[tuple[str, str], float] = {}  # Unix time of a source's present word for a node

    # In discovery's place

    def list_changed(self, kind: api.ListKind, hosts: list[ListedUpstream], version: int) -> None:
        self.count += 1
        words = [
            (name, None if host.entry.state is GONE else self.entry_of(name, host))
            for host in hosts
            if (name := self.directory.names.get(host.entry.id))
        ]
        if kind is api.ListKind.DELTA:
            changed = self.merge.changed("roster", "", self.count, words)
        else:
            changed = self.merge.listed("roster", "", self.count, [word for _, word in words if word])
        answered = kind in (api.ListKind.FULL, api.ListKind.DELTA)
        self.mark("roster", changed, answered)

    def list_failed(self) -> None:
        self.engine.list_failed()

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        return self.engine.listed_upstreams()

    def entry_of(self, name: str, host: ListedUpstream) -> Entry:
        """The roster's word for a node, as the other sources would say it."""
        entry = host.entry
        return Entry(
            name,
            entry.state,
            address(host.address),
            address(host.grpc_address) if host.grpc_address else "",
            named(self.directory.zones, entry.zone),
            named(self.directory.kinds, entry.kind),
            entry.cell,
            entry.weight,
            entry.started_us // 1000,
        )

    # Further sources

    def listed(self, source: str, epoch: str, revision: int, entries: tuple[Entry, ...]) -> None:
        self.mark(source, self.merge.listed(source, epoch, revision, entries))

    def changed(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, Entry | None], ...]
    ) -> None:
        self.mark(source, self.merge.changed(source, epoch, revision, changes))

    def note(self, source: str, names: Iterable[str]) -> None:
        """When a source's word for these has changed; nothing is kept of those that have gone."""
        now = self.engine.clock.now_us() / 1e6
        for name in names:
            if self.merge.member(name) is not None:
                self.since[source, name] = now
            else:
                for known in self.merge.sources:
                    self.since.pop((known, name), None)

    # To the decisions

    def mark(self, source: str, names: set[str], answered: bool = False) -> None:
        """A source's word for these has changed, and the decisions are to be told: at once who leaves, the
        others a slice at a time."""
        self.note(source, names)
        leaving: list[str] = []
        others: list[str] = []
        for name in names:
            member = self.merge.member(name)
            (others if member is not None and member.entry.state is READY else leaving).append(name)
        for at in range(0, len(leaving), SLICE):
            self.tell(leaving[at : at + SLICE])
        self.waiting.update(dict.fromkeys(others))
        if answered:  # discovery has answered, whether anything is new or not
            self.engine.list_changed(api.ListKind.DELTA, [], 0)
        if not self.working:
            self.work()

    def work(self) -> None:
        """The next slice."""
        names = list(islice(self.waiting, SLICE))
        for name in names:
            del self.waiting[name]
        self.working = bool(self.waiting)
        if names:
            self.tell(names)
        if self.working:
            self.engine.loop.call_soon(self.work)

    def tell(self, names: list[str]) -> None:
        hosts = [host for name in names if (host := self.host_of(name)) is not None]
        if hosts:
            self.engine.list_changed(api.ListKind.HELD, hosts, 0)

    def host_of(self, name: str) -> ListedUpstream | None:
        """What a node is now, in the decisions' terms; None for one that they never heard of."""
        member = self.merge.member(name)
        if member is None:
            number = self.directory.numbers.get(name)
            known = self.engine.listed_upstreams().get(number) if number is not None else None
            return None if known is None else ListedUpstream(replace(known.entry, state=GONE), ("", 0))
        entry = member.entry
        told = {
            "host": name,
            "health": HEALTH[entry.state],
            "dial": entry.dial,
            "site": entry.site,
            "class": entry.kind,
            "block": entry.block,
            "share": entry.share,
            "born_ms": entry.born_ms,
        }
        if entry.dial_grpc:
            told["dial_grpc"] = entry.dial_grpc
        return self.directory.entry(told, [])


def address(dial: tuple[str, int]) -> str:
    return f"{dial[0]}:{dial[1]}"


def named(numbers: dict[str, int], number: int) -> str:
    """The name that a zone or kind has; the tables are short."""
    return next((name for name, one in numbers.items() if one == number), "")
