"""The endpoint list of a sidecar without sockets: discovery, engine, connection pool and overrides."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

from sidecar_proxy.admin.endpoint_overrides import ANY_START_US, OPERATOR_SOURCE, EndpointOverrides
from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import STATE_BY_HEALTH, EndpointDirectory
from sidecar_proxy.discovery.feed import MembershipFeed
from sidecar_proxy.discovery.model import EndpointEntry
from sidecar_proxy.discovery.platform_client import DiscoveryCall, PlatformDiscoveryClient
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.upstream import ConnectionPool
from tests.balancer.harness import settings
from tests.sockets import LONG_S
from tests.test_listing import entry, list_json, until_idle

UNUSED_ADDRESS = ("127.0.0.1", 1)  # no call reaches it before the test ends


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test with a time limit, on the event loop that a sidecar uses."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(LONG_S):
            await test()

    uvloop.run(run_with_timeout())


class OverrideRig:
    """One process of a sidecar, into which tests pass endpoint lists as discovery would send them."""

    def __init__(
        self, suspended: frozenset[str] = frozenset(), sources: tuple[str, ...] | None = None
    ) -> None:
        """Without `sources` the engine gets the platform's list directly, else through a merge with these."""
        test_settings = settings()
        self.directory = EndpointDirectory(test_settings)
        self.pool = ConnectionPool(connect_timeout_s=0.2, idle_timeout_s=5.0, max_connections=8)
        self.client = PlatformDiscoveryClient(UNUSED_ADDRESS, self.directory, 0, pushed=False)
        self.engine = Engine(test_settings, 1, Clock(), self.pool, self.client)
        self.feed = MembershipFeed(self.engine, self.directory, list(sources or ()))
        self.client.listener = self.engine if sources is None else self.feed
        self.overrides = EndpointOverrides(self.engine, self.directory)
        self.suspended = suspended
        self.suspend_exactly(suspended)
        self.seq = 1
        self.source_revision = 0

    def suspend_exactly(self, names: frozenset[str]) -> None:
        """Replace the suspensions of operators by these."""
        self.suspended = names
        self.overrides.replace_source(OPERATOR_SOURCE, dict.fromkeys(names, ANY_START_US))

    def suspend(self, name: str) -> None:
        self.suspend_exactly(self.suspended | {name})

    def restore(self, name: str) -> None:
        self.suspend_exactly(self.suspended - {name})

    async def send_list(self, hosts: list[dict[str, Any]]) -> None:
        """Pass a complete list, as the answer to a fetch."""
        await self.send(list_json(hosts, self.next_seq()))

    async def send_changes(self, *hosts: dict[str, Any]) -> None:
        """Pass changed entries, as an open watch would."""
        await self.send(list_json(list(hosts), self.next_seq(), whole=False))

    async def send_list_of_new_watch(self, hosts: list[dict[str, Any]]) -> None:
        """Pass a complete list with a lower version, as the first object after a reset of the watch."""
        self.seq = 1
        watch = DiscoveryCall(self.client, b"?stream=1&index=0")
        await self.send(list_json(hosts, self.seq), watch)

    async def send_cached_list(self, hosts: list[dict[str, Any]]) -> None:
        """Pass the list of the configuration, with which a process starts."""
        document = json.loads(list_json(hosts, self.next_seq()))
        version, _, upstreams = self.directory.parse_list(document)
        assert self.client.listener is not None
        self.client.listener.list_changed(api.ListKind.CACHED, upstreams, version)
        await asyncio.sleep(0)

    async def reload(self, hosts: list[dict[str, Any]]) -> None:
        """Move to another discovery address, whose list has versions of its own."""
        self.client.set_address(("127.0.0.1", self.client.address[1] + 1))
        self.client.subscribe(True)
        self.seq = 1
        await self.send(list_json(hosts, self.seq), self.client.watch)

    async def send_changes_of_source(self, source: str, *reports: dict[str, Any]) -> None:
        """Pass changed entries of a further source, and wait until they apply."""
        self.pass_changes_of_source(source, *reports)
        await self.settle()

    def pass_changes_of_source(self, source: str, *reports: dict[str, Any]) -> None:
        """Pass changed entries of a further source."""
        self.source_revision += 1
        changes = tuple((report["host"], source_entry(report)) for report in reports)
        self.feed.changes_received(source, "", self.source_revision, changes)

    async def settle(self) -> None:
        """Wait until all pending endpoints have been sent to the balancer."""
        while self.feed.is_sending:
            await asyncio.sleep(0)

    async def send(self, text: str, call: DiscoveryCall | None = None) -> None:
        self.client.enqueue(text.encode(), call)
        await until_idle(self.client)
        await self.settle()

    def next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def state(self, name: str) -> api.UpstreamState:
        """Return the state that the pool and the balancer agree on."""
        number = self.directory.numbers.get(name, -1)
        upstream = self.pool.upstreams.get(number)
        pool_state = upstream.entry.state if upstream is not None else api.UpstreamState.GONE
        known = self.engine.balancer.entries.get(number)
        balancer_state = known.state if known is not None else api.UpstreamState.GONE
        assert pool_state is balancer_state
        return pool_state

    def upstream(self, name: str) -> ListedUpstream:
        return self.pool.upstreams[self.directory.numbers[name]]

    def close(self) -> None:
        self.client.close()
        self.pool.close()


def source_entry(fields: dict[str, Any]) -> EndpointEntry | None:
    """Return an entry of the platform's list in the form in which other sources report theirs."""
    if fields["health"] == "terminated":
        return None
    return EndpointEntry(
        fields["host"],
        STATE_BY_HEALTH[fields["health"]],
        fields["dial"],
        "",
        fields["site"],
        fields["class"],
        fields["block"],
        fields["share"],
        fields["born_ms"],
    )


def hosts(count: int, **changed: dict[str, Any]) -> list[dict[str, Any]]:
    """Return entries s-0 to s-COUNT; `s_1={...}` changes the fields of s-1."""
    changes = {name.replace("_", "-"): fields for name, fields in changed.items()}
    return [entry(number) | changes.get(f"s-{number}", {}) for number in range(count)]
