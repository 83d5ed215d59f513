"""The source against the stand-in of etcd, whose members misbehave; the stand-in against another client."""

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


class Told:
    """In the feed's place: the merge alone."""

    def __init__(self) -> None:
        self.merge = MembershipMerge(["etcd"])
        self.lists = 0
        self.revisions: list[int] = []

    def list_received(
        self, source: str, epoch: str, revision: int, entries: tuple[EndpointEntry, ...]
    ) -> None:
        self.lists += 1
        self.merge.apply_list(source, epoch, revision, entries)

    def changes_received(
        self, source: str, epoch: str, revision: int, changes: tuple[tuple[str, EndpointEntry | None], ...]
    ) -> None:
        self.revisions.append(revision)
        self.merge.apply_changes(source, epoch, revision, changes)

    def state(self, name: str) -> UpstreamState | None:
        member = self.merge.endpoint(name)
        return member.entry.state if member is not None else None


async def until(what: Callable[[], Any]) -> None:
    end = asyncio.get_running_loop().time() + LONG_S
    while not what():
        assert asyncio.get_running_loop().time() < end, "it never came to be"
        await asyncio.sleep(0.002)


class Scene:
    """A cluster with a few nodes, and a source that follows it."""

    def __init__(self, members: int = 1, **told: Any) -> None:
        self.store, self.members = cluster(members)
        self.told = Told()
        self.more = told
        self.tls: list[ssl.SSLContext | None] = [None] * members

    async def start(self, nodes: int = 5) -> None:
        for at in range(0, nodes, 100):
            self.store.commit(*[(f"/n/s-{n}", value()) for n in range(at, min(at + 100, nodes))])
        addresses = tuple(
            [await member.serve(0, tls) for member, tls in zip(self.members, self.tls, strict=True)]
        )
        told = Etcd(endpoints=addresses, prefix="/n/", **self.more)
        follower = EtcdFollower("/n/", len(addresses), bool(told.username), random.Random(3))
        self.follower = follower
        self.source = EtcdSource(told, follower, self.told, now_us)
        self.source.start()

    async def listed(self, nodes: int = 5) -> None:
        await until(lambda: len(self.told.merge.endpoints()) == nodes and self.follower.state == "watch")
        await until(lambda: any(member.watchers for member in self.members))

    def current(self) -> Member:
        """The member that is followed."""
        return next(member for member in self.members if member.watchers)

    def close(self) -> None:
        self.source.close()
        for member in self.members:
            member.stop()


def play(test: Callable[[Scene], Awaitable[None]], members: int = 1, **told: Any) -> None:
    async def run() -> None:
        scene = Scene(members, **told)
        try:
            await asyncio.wait_for(test(scene), 2 * LONG_S)
        finally:
            scene.close()

    uvloop.run(run())


def test_a_drain_comes_by_the_watch_and_a_deletion_too() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        scene.store.commit(("/n/s-1", value("terminating")), ("/n/s-2", None))
        await until(lambda: scene.told.state("s-1") is DRAINING and scene.told.state("s-2") is None)
        scene.store.commit(("/other", b"x"))
        scene.store.commit(("/n/s-1", value()))
        await until(lambda: scene.told.state("s-1") is READY)
        assert scene.told.lists == 1

    play(test)


def test_ten_thousand_keys_come_in_pages() -> None:
    async def test(scene: Scene) -> None:
        await scene.start(10_000)
        await scene.listed(10_000)
        pages, reads = 10, 1  # one read is beside the watch
        assert scene.members[0].calls.count("/etcdserverpb.KV/Range") == pages + reads

    play(test)


def test_compaction_while_away_with_a_drain_among_what_was_compacted() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        port = int(scene.members[0].address.rpartition(":")[2])
        scene.members[0].stop()
        scene.store.commit(("/n/s-1", value("terminating")))
        for number in range(500):
            scene.store.commit(("/n/s-2", value(share=number)))
        scene.store.compact()
        assert scene.told.state("s-1") is READY  # the last that is known stays
        await scene.members[0].serve(port)
        await until(lambda: scene.told.state("s-1") is DRAINING)
        assert scene.told.lists == 2 and len(scene.told.merge.endpoints()) == 5

    play(test)


def test_after_a_break_what_happened_meanwhile_is_heard_without_a_new_list() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        port = int(scene.members[0].address.rpartition(":")[2])
        scene.members[0].stop()
        for number in range(500):
            health = "terminating" if number >= 495 else "in_service"
            scene.store.commit((f"/n/s-{number % 5}", value(health)))
        await scene.members[0].serve(port)
        await until(lambda: all(scene.told.state(f"s-{n}") is DRAINING for n in range(5)))
        assert scene.told.lists == 1 and len(scene.told.revisions) == 500

    play(test)


def test_a_member_from_the_past_does_not_undo_a_drain() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)
        old = scene.current()
        for member in scene.members:
            if member is not old:
                member.limit = scene.store.revision - 1
        scene.follower.must_list = True  # it has to list, and the other one has less
        old.stop()
        await until(lambda: scene.follower.failed_tries >= 3)
        assert scene.told.state("s-1") is DRAINING and scene.told.lists == 1

    play(test, members=2)


def test_a_member_that_is_cut_off_or_silent_is_left_for_another() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        for wrong in ("silent", "cut_off"):
            old = scene.current()
            setattr(old, wrong, True)
            scene.store.commit(("/n/s-1", value("terminating" if wrong == "silent" else "in_service")))
            await until(
                lambda wrong=wrong: (
                    scene.told.state("s-1")  # type: ignore[misc]
                    is (DRAINING if wrong == "silent" else READY)
                )
            )
            await until(lambda old=old: scene.current() is not old)  # type: ignore[misc]
        assert scene.told.lists == 1

    play(test, members=3)


def test_a_member_that_falls_behind_is_left_though_it_answers_on_the_watch() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        old = scene.current()
        old.limit, old.lags = scene.store.revision, True
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)
        assert scene.current() is not old and scene.told.lists == 1

    play(test, members=2)


def test_a_lease_that_expires_while_the_watch_is_broken_is_a_node_gone() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        lease = scene.store.grant(0.3)
        scene.store.commit(("/n/s-7", value()), ("/n/s-8", value()), lease=lease)
        kept = scene.store.grant(60.0)
        scene.store.commit(("/n/s-8", value()), lease=kept)  # a put without the lease would take it off too
        await scene.listed(7)
        port = int(scene.members[0].address.rpartition(":")[2])
        scene.members[0].stop()
        await until(lambda: lease not in scene.store.leases)
        assert scene.told.state("s-7") is READY  # the last that is known stays
        await scene.members[0].serve(port)
        await until(lambda: scene.told.state("s-7") is None)
        assert scene.told.state("s-8") is READY and scene.told.lists == 1
        scene.store.revoke(kept)
        await until(lambda: scene.told.state("s-8") is None)

    play(test)


def test_tls_with_certificates_on_both_sides_and_a_stranger_s_is_not_spoken_to(tmp_path: Path) -> None:
    authority, stranger = trustme.CA(), trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    own = authority.issue_cert("sidecar.example")
    own.private_key_pem.write_to_path(tmp_path / "side.key")
    own.cert_chain_pems[0].write_to_path(tmp_path / "side.pem")

    def server(of: trustme.CA) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        of.issue_cert("127.0.0.1").configure_cert(context)
        authority.configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["h2"])
        return context

    async def test(scene: Scene) -> None:
        scene.tls = [server(stranger), server(authority)]
        await scene.start()
        await scene.listed()
        good = scene.members[1]
        assert scene.current() is good and not scene.members[0].calls
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)
        for peer in list(good.peers):
            peer.abort()
        scene.store.commit(("/n/s-2", value("terminating")))
        await until(lambda: scene.told.state("s-2") is DRAINING)
        assert not scene.members[0].calls

    play(
        test,
        members=2,
        tls_ca=str(tmp_path / "ca.pem"),
        tls_cert=str(tmp_path / "side.pem"),
        tls_key=str(tmp_path / "side.key"),
    )


def test_a_watch_that_stops_in_the_middle_of_a_frame_is_left() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        old = scene.current()
        old.half = True
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)
        assert scene.current() is not old and scene.told.lists == 1

    play(test, members=2)


def test_a_transaction_in_fragments_is_one_change() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        scene.current().fragment = 2
        scene.store.commit(*[(f"/n/s-{n}", value("terminating")) for n in range(5)])
        await until(lambda: scene.told.state("s-4") is DRAINING)
        assert len(scene.told.revisions) == 1

    play(test)


def test_drained_deleted_and_put_again_in_one_transaction_is_a_new_word() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        scene.store.commit(("/n/s-1", value("terminating")), ("/n/s-1", None), ("/n/s-1", value(born_ms=9)))
        scene.store.commit(("/n/s-2", value("terminating")))
        await until(lambda: scene.told.state("s-2") is DRAINING)
        assert scene.told.state("s-1") is READY

    play(test)


def test_a_restored_cluster_with_lower_revisions_keeps_the_drain_of_the_old_one() -> None:
    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)
        port = int(scene.members[0].address.rpartition(":")[2])
        scene.members[0].stop()
        restored = Store(cluster=8)
        restored.commit(*[(f"/n/s-{n}", value()) for n in range(5)])
        scene.members = [Member(restored)]
        await scene.members[0].serve(port)
        await until(lambda: scene.told.lists == 2)
        assert scene.told.state("s-1") is DRAINING and scene.told.state("s-2") is READY
        restored.commit(("/n/s-1", value()))
        await until(lambda: scene.told.state("s-1") is READY)

    play(test)


def test_a_password_that_changes_and_a_token_that_ends(tmp_path: Path) -> None:
    secret = tmp_path / "password"
    secret.write_text("first\n")

    async def test(scene: Scene) -> None:
        for member in scene.members:
            member.users = {"side": "first"}
        await scene.start()
        await scene.listed()
        member = scene.members[0]
        member.tokens.clear()
        member.users["side"] = "second"
        for peer in list(member.peers):
            peer.abort()
        await until(lambda: scene.follower.failed_tries >= 2)
        secret.write_text("second\n")
        scene.store.commit(("/n/s-1", value("terminating")))
        await until(lambda: scene.told.state("s-1") is DRAINING)

    play(test, username="side", password_file=str(secret))


def test_the_stand_in_serves_a_client_of_other_hands() -> None:
    """So that our reading of the protocol is not wrong on both sides alike."""

    async def test(scene: Scene) -> None:
        await scene.start()
        await scene.listed()
        client = etcd_client.Client([f"http://{scene.members[0].address}"])
        async with client.connect() as other:
            await other.put(b"/n/s-1", value("terminating"))
            assert await other.get(b"/n/s-1") == value("terminating")
            found = await other.get_prefix(b"/n/")
            assert len(found) == 5
            await until(lambda: scene.told.state("s-1") is DRAINING)
            watch = other.watch_prefix(b"/n/")
            seen: list[Any] = []

            async def follow() -> None:
                async for event in watch:
                    seen.append(event)
                    if len(seen) == 2:
                        return

            following = asyncio.ensure_future(follow())
            await until(lambda: len(scene.members[0].watchers) == 2)
            scene.store.commit(("/n/s-2", value("terminating")), ("/n/s-3", None))
            await asyncio.wait_for(following, LONG_S)
            assert [bytes(event.key) for event in seen] == [b"/n/s-2", b"/n/s-3"]
            await other.delete(b"/n/s-1")
            await until(lambda: scene.told.state("s-1") is None)
            await other.lease_grant(60)  # this client does not tell the number
            lease = next(iter(scene.store.leases))
            scene.store.commit(("/n/s-9", value()), lease=lease)
            soon_s = scene.store.leases[lease].due_s - 30.0
            scene.store.leases[lease].due_s = soon_s
            await other.lease_keep_alive(lease)
            await until(lambda: scene.store.leases[lease].due_s > soon_s)
            await other.lease_revoke(lease)
            assert b"/n/s-9" not in scene.store.keys and not scene.store.leases

    play(test)
