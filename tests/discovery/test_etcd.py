"""The etcd source against a stand-in whose members misbehave, and the stand-in against another client."""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import etcd_client
import trustme
import uvloop

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.config.schema import Etcd
from sidecar_proxy.discovery.etcd.follower import EtcdFollower
from sidecar_proxy.discovery.etcd.source import EtcdSource
from sidecar_proxy.discovery.merge import MembershipMerge
from sidecar_proxy.discovery.model import EndpointEntry
from sidecar_proxy.testbed.etcd import Member, Store, cluster
from sidecar_proxy.testbed.history import now_us
from tests.discovery.test_follower import value
from tests.sockets import LONG_S

DRAINING, READY = UpstreamState.DRAINING, UpstreamState.READY


class RecordingListener:
    """Passes what the source reports to a merge, and counts it."""

    def __init__(self) -> None:
        self.merge = MembershipMerge(["etcd"])
        self.list_count = 0
        self.revisions: list[int] = []

    def list_received(
        self, source: str, epoch: str, revision: int, entries: tuple[EndpointEntry, ...]
    ) -> None:
        self.list_count += 1
        self.merge.apply_list(source, epoch, revision, entries)

    def changes_received(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, EndpointEntry | None], ...]
    ) -> None:
        self.revisions.append(revision)
        self.merge.apply_changes(source, epoch, revision, changes)

    def state(self, name: str) -> UpstreamState | None:
        endpoint = self.merge.endpoint(name)
        return endpoint.entry.state if endpoint is not None else None


async def wait_until(condition: Callable[[], Any]) -> None:
    end = asyncio.get_running_loop().time() + LONG_S
    while not condition():
        assert asyncio.get_running_loop().time() < end, "the condition did not become true in time"
        await asyncio.sleep(0.002)


class Scenario:
    """A cluster with a few endpoints, and a source that follows it."""

    def __init__(self, members: int = 1, **config: Any) -> None:
        self.store, self.members = cluster(members)
        self.listener = RecordingListener()
        self.config = config
        self.tls: list[ssl.SSLContext | None] = [None] * members

    async def start(self, endpoint_count: int = 5) -> None:
        for at in range(0, endpoint_count, 100):
            self.store.commit(*[(f"/n/s-{n}", value()) for n in range(at, min(at + 100, endpoint_count))])
        addresses = tuple(
            [await member.serve(0, tls) for member, tls in zip(self.members, self.tls, strict=True)]
        )
        config = Etcd(endpoints=addresses, prefix="/n/", **self.config)
        follower = EtcdFollower("/n/", len(addresses), bool(config.username), random.Random(3))
        self.follower = follower
        self.source = EtcdSource(config, follower, self.listener, now_us)
        self.source.start()

    async def wait_until_listed(self, endpoint_count: int = 5) -> None:
        await wait_until(
            lambda: len(self.listener.merge.endpoints()) == endpoint_count and self.follower.state == "watch"
        )
        await wait_until(lambda: any(member.watchers for member in self.members))

    def current(self) -> Member:
        """Return the member that is followed."""
        return next(member for member in self.members if member.watchers)

    def close(self) -> None:
        self.source.close()
        for member in self.members:
            member.stop()


def run_scenario(test: Callable[[Scenario], Awaitable[None]], members: int = 1, **config: Any) -> None:
    async def run() -> None:
        scenario = Scenario(members, **config)
        try:
            await asyncio.wait_for(test(scenario), 2 * LONG_S)
        finally:
            scenario.close()

    uvloop.run(run())


def test_a_drain_and_a_deletion_are_received_on_the_watch() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        scenario.store.commit(("/n/s-1", value("terminating")), ("/n/s-2", None))
        await wait_until(
            lambda: scenario.listener.state("s-1") is DRAINING and scenario.listener.state("s-2") is None
        )
        scenario.store.commit(("/other", b"x"))
        scenario.store.commit(("/n/s-1", value()))
        await wait_until(lambda: scenario.listener.state("s-1") is READY)
        assert scenario.listener.list_count == 1

    run_scenario(test)


def test_ten_thousand_keys_are_listed_in_pages() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start(10_000)
        await scenario.wait_until_listed(10_000)
        pages, reads = 10, 1  # the read of the first check
        assert scenario.members[0].calls.count("/etcdserverpb.KV/Range") == pages + reads

    run_scenario(test)


def test_a_drain_in_compacted_revisions_is_received_by_a_new_list() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        port = int(scenario.members[0].address.rpartition(":")[2])
        scenario.members[0].stop()
        scenario.store.commit(("/n/s-1", value("terminating")))
        for number in range(500):
            scenario.store.commit(("/n/s-2", value(share=number)))
        scenario.store.compact()
        assert scenario.listener.state("s-1") is READY  # the last known state stays
        await scenario.members[0].serve(port)
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        assert scenario.listener.list_count == 2 and len(scenario.listener.merge.endpoints()) == 5

    run_scenario(test)


def test_changes_during_a_disconnection_are_received_without_a_new_list() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        port = int(scenario.members[0].address.rpartition(":")[2])
        scenario.members[0].stop()
        for number in range(500):
            health = "terminating" if number >= 495 else "in_service"
            scenario.store.commit((f"/n/s-{number % 5}", value(health)))
        await scenario.members[0].serve(port)
        await wait_until(lambda: all(scenario.listener.state(f"s-{n}") is DRAINING for n in range(5)))
        assert scenario.listener.list_count == 1 and len(scenario.listener.revisions) == 500

    run_scenario(test)


def test_a_member_at_an_older_revision_does_not_undo_a_drain() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        old = scenario.current()
        for member in scenario.members:
            if member is not old:
                member.limit = scenario.store.revision - 1
        # the follower has to list, and the other members are at an older revision
        scenario.follower.must_list = True
        old.stop()
        await wait_until(lambda: scenario.follower.failed_tries >= 3)
        assert scenario.listener.state("s-1") is DRAINING and scenario.listener.list_count == 1

    run_scenario(test, members=2)


def test_a_member_that_is_cut_off_or_silent_is_left_for_another() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        for fault in ("silent", "cut_off"):
            old = scenario.current()
            setattr(old, fault, True)
            scenario.store.commit(("/n/s-1", value("terminating" if fault == "silent" else "in_service")))
            await wait_until(
                lambda fault=fault: (
                    scenario.listener.state("s-1")  # type: ignore[misc]
                    is (DRAINING if fault == "silent" else READY)
                )
            )
            await wait_until(lambda old=old: scenario.current() is not old)  # type: ignore[misc]
        assert scenario.listener.list_count == 1

    run_scenario(test, members=3)


def test_a_member_that_falls_behind_is_left_although_it_answers_on_the_watch() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        old = scenario.current()
        old.limit, old.lags = scenario.store.revision, True
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        assert scenario.current() is not old and scenario.listener.list_count == 1

    run_scenario(test, members=2)


def test_an_endpoint_whose_lease_expires_while_the_watch_is_broken_is_gone() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        lease = scenario.store.grant(0.3)
        scenario.store.commit(("/n/s-7", value()), ("/n/s-8", value()), lease=lease)
        kept = scenario.store.grant(60.0)
        scenario.store.commit(
            ("/n/s-8", value()), lease=kept
        )  # a put without a lease would detach the old one too
        await scenario.wait_until_listed(7)
        port = int(scenario.members[0].address.rpartition(":")[2])
        scenario.members[0].stop()
        await wait_until(lambda: lease not in scenario.store.leases)
        assert scenario.listener.state("s-7") is READY  # the last known state stays
        await scenario.members[0].serve(port)
        await wait_until(lambda: scenario.listener.state("s-7") is None)
        assert scenario.listener.state("s-8") is READY and scenario.listener.list_count == 1
        scenario.store.revoke(kept)
        await wait_until(lambda: scenario.listener.state("s-8") is None)

    run_scenario(test)


def test_mutual_tls_works_and_a_member_of_an_unknown_authority_is_not_used(tmp_path: Path) -> None:
    authority, unknown_authority = trustme.CA(), trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    own = authority.issue_cert("sidecar.example")
    own.private_key_pem.write_to_path(tmp_path / "side.key")
    own.cert_chain_pems[0].write_to_path(tmp_path / "side.pem")

    def server(issuer: trustme.CA) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        issuer.issue_cert("127.0.0.1").configure_cert(context)
        authority.configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["h2"])
        return context

    async def test(scenario: Scenario) -> None:
        scenario.tls = [server(unknown_authority), server(authority)]
        await scenario.start()
        await scenario.wait_until_listed()
        good = scenario.members[1]
        assert scenario.current() is good and not scenario.members[0].calls
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        for peer in list(good.peers):
            peer.abort()
        scenario.store.commit(("/n/s-2", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-2") is DRAINING)
        assert not scenario.members[0].calls

    run_scenario(
        test,
        members=2,
        tls_ca=str(tmp_path / "ca.pem"),
        tls_cert=str(tmp_path / "side.pem"),
        tls_key=str(tmp_path / "side.key"),
    )


def test_a_member_that_stops_in_the_middle_of_a_frame_is_left() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        old = scenario.current()
        old.half = True
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        assert scenario.current() is not old and scenario.listener.list_count == 1

    run_scenario(test, members=2)


def test_a_transaction_in_fragments_is_one_revision() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        scenario.current().fragment = 2
        scenario.store.commit(*[(f"/n/s-{n}", value("terminating")) for n in range(5)])
        await wait_until(lambda: scenario.listener.state("s-4") is DRAINING)
        assert len(scenario.listener.revisions) == 1

    run_scenario(test)


def test_an_endpoint_drained_deleted_and_put_again_in_one_transaction_is_ready() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        scenario.store.commit(
            ("/n/s-1", value("terminating")), ("/n/s-1", None), ("/n/s-1", value(born_ms=9))
        )
        scenario.store.commit(("/n/s-2", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-2") is DRAINING)
        assert scenario.listener.state("s-1") is READY

    run_scenario(test)


def test_a_restored_cluster_at_lower_revisions_does_not_undo_a_drain() -> None:
    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
        port = int(scenario.members[0].address.rpartition(":")[2])
        scenario.members[0].stop()
        restored = Store(cluster=8)
        restored.commit(*[(f"/n/s-{n}", value()) for n in range(5)])
        scenario.members = [Member(restored)]
        await scenario.members[0].serve(port)
        await wait_until(lambda: scenario.listener.list_count == 2)
        assert scenario.listener.state("s-1") is DRAINING and scenario.listener.state("s-2") is READY
        restored.commit(("/n/s-1", value()))
        await wait_until(lambda: scenario.listener.state("s-1") is READY)

    run_scenario(test)


def test_a_changed_password_is_read_again_after_the_token_has_expired(tmp_path: Path) -> None:
    secret = tmp_path / "password"
    secret.write_text("first\n")

    async def test(scenario: Scenario) -> None:
        for member in scenario.members:
            member.users = {"side": "first"}
        await scenario.start()
        await scenario.wait_until_listed()
        member = scenario.members[0]
        member.tokens.clear()
        member.users["side"] = "second"
        for peer in list(member.peers):
            peer.abort()
        await wait_until(lambda: scenario.follower.failed_tries >= 2)
        secret.write_text("second\n")
        scenario.store.commit(("/n/s-1", value("terminating")))
        await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)

    run_scenario(test, username="side", password_file=str(secret))


def test_the_stand_in_serves_an_independent_client() -> None:
    """Otherwise the source and the stand-in could share one misreading of the protocol."""

    async def test(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.wait_until_listed()
        client = etcd_client.Client([f"http://{scenario.members[0].address}"])
        async with client.connect() as other:
            await other.put(b"/n/s-1", value("terminating"))
            assert await other.get(b"/n/s-1") == value("terminating")
            listed = await other.get_prefix(b"/n/")
            assert len(listed) == 5
            await wait_until(lambda: scenario.listener.state("s-1") is DRAINING)
            watch = other.watch_prefix(b"/n/")
            received: list[Any] = []

            async def follow() -> None:
                async for event in watch:
                    received.append(event)
                    if len(received) == 2:
                        return

            following = asyncio.ensure_future(follow())
            await wait_until(lambda: len(scenario.members[0].watchers) == 2)
            scenario.store.commit(("/n/s-2", value("terminating")), ("/n/s-3", None))
            await asyncio.wait_for(following, LONG_S)
            assert [bytes(event.key) for event in received] == [b"/n/s-2", b"/n/s-3"]
            await other.delete(b"/n/s-1")
            await wait_until(lambda: scenario.listener.state("s-1") is None)
            await other.lease_grant(60)  # this client does not return the lease id
            lease = next(iter(scenario.store.leases))
            scenario.store.commit(("/n/s-9", value()), lease=lease)
            shortened_s = scenario.store.leases[lease].due_s - 30.0
            scenario.store.leases[lease].due_s = shortened_s
            await other.lease_keep_alive(lease)
            await wait_until(lambda: scenario.store.leases[lease].due_s > shortened_s)
            await other.lease_revoke(lease)
            assert b"/n/s-9" not in scenario.store.keys and not scenario.store.leases

    run_scenario(test)
