"""A stand-in for etcd's v3 API: revisions, watches, compaction, leases, auth, members that misbehave as told.

One `Store` is what the cluster agrees on; each `Member` serves it at an address of its own, as it is, behind,
cut off, or silent. It answers the calls of sidecar_proxy/discovery/etcd/api.proto.
"""

from __future__ import annotations

import asyncio
import bisect
import socket
import ssl
from dataclasses import dataclass, field
from typing import Any

from google.protobuf.message import DecodeError, Message

from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.grpc.message import PREFIX_BYTES, first_message_size, frame_message
from sidecar_proxy.http2.connection import DataReceived, Event, HeadersReceived, StreamError, StreamReset
from sidecar_proxy.testbed.http2 import Http2Peer, Stream

OK, INVALID, NOT_FOUND, PRECONDITION, RANGE, UNIMPLEMENTED, UNAVAILABLE, UNAUTHENTICATED = (
    0,
    3,
    5,
    9,
    11,
    12,
    14,
    16,
)
WATCH = b"/etcdserverpb.Watch/Watch"
STREAMED = (WATCH, b"/etcdserverpb.Lease/LeaseKeepAlive")


class CallError(Exception):
    """A status other than OK."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code = code


@dataclass(slots=True)
class Lease:
    """Keys that go when nobody keeps it alive (Lease API)."""

    ttl_s: float
    due_s: float  # by the loop's clock
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Store:
    """All revisions of all keys."""

    cluster: int = 7
    revision: int = 1
    compacted: int = 0
    history: list[tuple[int, list[pb.Event]]] = field(default_factory=list)  # of each revision
    keys: dict[bytes, pb.KeyValue] = field(default_factory=dict)
    members: list[Member] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None  # of the lease that ends first

    def grant(self, ttl_s: float, ident: int = 0) -> int:
        """A new lease; its number. It ends by itself, whatever the members do."""
        ident = ident or max(self.leases, default=0) + 1
        if ident in self.leases:
            raise CallError(PRECONDITION, "etcdserver: lease already exists")
        self.leases[ident] = Lease(ttl_s, asyncio.get_running_loop().time() + ttl_s)
        self.arm()
        return ident

    def keep(self, ident: int) -> float:
        """It lives on for its whole time; 0 where it has ended."""
        lease = self.leases.get(ident)
        if lease is None:
            return 0.0
        lease.due_s = asyncio.get_running_loop().time() + lease.ttl_s
        self.arm()
        return lease.ttl_s

    def revoke(self, ident: int) -> None:
        """Its keys are deleted, in one transaction."""
        lease = self.leases.pop(ident, None)
        if lease is None:
            raise CallError(NOT_FOUND, "etcdserver: requested lease not found")
        if lease.keys:
            self.commit(*[(key.decode(), None) for key in sorted(lease.keys)])

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.leases:
            due_s = min(lease.due_s for lease in self.leases.values())
            self.timer = asyncio.get_running_loop().call_at(due_s, self.expire)

    def expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for ident in [ident for ident, lease in self.leases.items() if lease.due_s <= now_s]:
            self.revoke(ident)
        self.arm()

    def commit(self, *changes: tuple[str, bytes | None], lease: int = 0) -> int:
        """One transaction: (key, value), or (key, None) to delete it. The revision."""
        if lease and lease not in self.leases:
            raise CallError(NOT_FOUND, "etcdserver: requested lease not found")
        self.revision += 1
        events = []
        for key, value in changes:
            raw = key.encode()
            old = self.keys.get(raw)
            if old is not None and old.lease in self.leases:
                self.leases[old.lease].keys.discard(raw)
            if value is None:
                if old is None:
                    continue
                del self.keys[raw]
                gone = pb.KeyValue(key=raw, mod_revision=self.revision)
                events.append(pb.Event(type=pb.Event.DELETE, kv=gone))
                continue
            kv = pb.KeyValue(
                key=raw,
                value=value,
                mod_revision=self.revision,
                create_revision=old.create_revision if old else self.revision,
                version=old.version + 1 if old else 1,
                lease=lease,
            )
            self.keys[raw] = kv
            if lease:
                self.leases[lease].keys.add(raw)
            events.append(pb.Event(type=pb.Event.PUT, kv=kv))
        self.history.append((self.revision, events))
        for member in self.members:
            member.publish()
        return self.revision

    def compact(self) -> None:
        """Forget all before the present revision."""
        self.compacted = self.revision
        self.history = []

    def at(self, revision: int, start: bytes, end: bytes) -> list[pb.KeyValue]:
        """The keys of a range as they were."""
        if revision < self.compacted:
            raise CallError(RANGE, "etcdserver: mvcc: required revision has been compacted")
        found = {key: kv for key, kv in self.keys.items() if within(key, start, end)}
        for past, events in reversed(self.history):
            if past <= revision:
                break
            for event in events:
                if within(event.kv.key, start, end):
                    found.pop(event.kv.key, None)
                    before = self.before(event.kv.key, past)
                    if before is not None:
                        found[event.kv.key] = before
        return [found[key] for key in sorted(found)]

    def before(self, key: bytes, revision: int) -> pb.KeyValue | None:
        for past, events in reversed(self.history):
            for event in events if past < revision else []:
                if event.kv.key == key:
                    return event.kv if event.type == pb.Event.PUT else None
        kv = self.keys.get(key)
        return kv if kv is not None and kv.mod_revision < revision else None


def within(key: bytes, start: bytes, end: bytes) -> bool:
    return key == start if not end else start <= key and (end == b"\0" or key < end)


@dataclass(slots=True)
class Watcher:
    peer: MemberPeer
    stream: int
    ident: int
    start: bytes
    end: bytes
    next: int  # the first revision that is not told yet


class Member:
    """One endpoint."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.limit: int | None = None  # it knows no later revision
        self.cut_off = False  # from the other members
        self.lags = False  # with a limit: linearizable reads wait till it has caught up, as etcd's do
        self.silent = False  # it takes what comes and says nothing
        self.users: dict[str, str] = {}
        self.tokens: set[str] = set()
        self.fragment = 0  # events of one answer; 0 = all
        self.half = False  # the next events stop in the middle of a frame
        self.calls: list[str] = []
        self.watchers: list[Watcher] = []
        self.peers: set[MemberPeer] = set()
        self.server: asyncio.Server | None = None
        self.held: socket.socket | None = None  # bound to its port and never listening
        self.address = ""
        store.members.append(self)

    async def serve(self, port: int = 0, tls: ssl.SSLContext | None = None) -> str:
        loop = asyncio.get_running_loop()
        listener = bound(port)
        port = listener.getsockname()[1]
        if self.held is None:
            # hazard: while it is away its port would be anybody's, and often is on a busy machine
            self.held = bound(port)
        self.server = await loop.create_server(lambda: MemberPeer(self), sock=listener, ssl=tls)
        self.address = f"127.0.0.1:{port}"
        return self.address

    def stop(self) -> None:
        """The process is gone: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.peers):
            peer.abort()

    @property
    def revision(self) -> int:
        return self.store.revision if self.limit is None else min(self.limit, self.store.revision)

    def header(self) -> pb.ResponseHeader:
        return pb.ResponseHeader(
            cluster_id=self.store.cluster, member_id=1, revision=self.revision, raft_term=2
        )

    def range(self, request: pb.RangeRequest) -> pb.RangeResponse:
        if self.cut_off and not request.serializable:
            raise CallError(UNAVAILABLE, "etcdserver: no leader")
        revision = request.revision or self.revision
        if revision > self.revision:
            raise CallError(RANGE, "etcdserver: mvcc: required revision is a future revision")
        found = self.store.at(revision, request.key, request.range_end)
        some = found[: request.limit] if request.limit else found
        return pb.RangeResponse(header=self.header(), kvs=some, more=len(some) < len(found), count=len(found))

    def publish(self) -> None:
        for watcher in list(self.watchers):
            self.tell(watcher)

    def tell(self, watcher: Watcher) -> None:
        """What has come since this watch was told last."""
        if self.cut_off or self.silent:
            return
        begin = bisect.bisect_left(self.store.history, watcher.next, key=lambda one: one[0])
        events = [
            event
            for revision, told in self.store.history[begin:]
            if revision <= self.revision
            for event in told
            if within(event.kv.key, watcher.start, watcher.end)
        ]
        watcher.next = max(watcher.next, self.revision + 1)
        size = self.fragment or max(1, len(events))
        for at in range(0, len(events), size):
            watcher.peer.say(
                watcher.stream,
                pb.WatchResponse(
                    header=self.header(),
                    watch_id=watcher.ident,
                    events=events[at : at + size],
                    fragment=at + size < len(events),
                ),
            )


def bound(port: int) -> socket.socket:
    """A socket on that port, beside others that don't listen there."""
    one = socket.socket()
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    one.bind(("127.0.0.1", port))
    return one


class MemberPeer(Http2Peer):
    """One client's connection."""

    def __init__(self, member: Member) -> None:
        super().__init__()
        self.member = member
        self.begun: set[int] = set()  # streams whose headers are answered
        member.peers.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.member.peers.discard(self)
        self.member.watchers = [one for one in self.member.watchers if one.peer is not self]

    def take(self, event: Event) -> None:
        super().take(event)
        if isinstance(event, DataReceived) and event.stream in self.streams:
            self.messages(event.stream, self.streams[event.stream])
        if isinstance(event, HeadersReceived) and not event.ended:
            self.member.calls.append(self.streams[event.stream].headers[b":path"].decode())
        if isinstance(event, StreamReset):
            self.streams.pop(event.stream, None)

    def messages(self, stream: int, told: Stream) -> None:
        if told.headers.get(b":path") not in STREAMED:
            return
        while (size := first_message_size(told.data)) is not None and len(told.data) >= size:
            data = bytes(told.data[PREFIX_BYTES:size])
            del told.data[:size]
            if told.headers[b":path"] == WATCH:
                self.watch(stream, told, pb.WatchRequest.FromString(data))
            elif not self.member.silent:
                ident = pb.LeaseKeepAliveRequest.FromString(data).ID
                left_s = self.member.store.keep(ident)
                self.say(
                    stream, pb.LeaseKeepAliveResponse(header=self.member.header(), ID=ident, TTL=int(left_s))
                )

    def whole(self, stream: int, told: Stream) -> None:
        if told.reset is not None or told.headers.get(b":path") in STREAMED:
            self.streams.pop(stream, None)
            if told.reset is None and stream in self.begun:
                self.fail(stream, OK, "")
            self.member.watchers = [
                one for one in self.member.watchers if one.peer is not self or one.stream != stream
            ]
            return
        del self.streams[stream]
        reads = told.headers.get(b":path") == b"/etcdserverpb.KV/Range"
        if self.member.silent or (reads and self.member.lags):
            return
        try:
            answer = self.answer(told.headers, told.message())
        except CallError as error:
            self.fail(stream, error.code, str(error))
            return
        except DecodeError as error:
            self.fail(stream, INVALID, str(error))
            return
        try:
            self.http2.send_headers(stream, HEAD)
            self.http2.send_data(stream, frame_message(answer.SerializeToString()))
            self.http2.send_trailers(stream, [(b"grpc-status", b"0")])
        except StreamError:
            return
        self.schedule()

    def answer(self, headers: dict[bytes, bytes], data: bytes) -> Message:
        """A unary call's."""
        member, path = self.member, headers[b":path"].decode()
        if path == "/etcdserverpb.Auth/Authenticate":
            asked = pb.AuthenticateRequest.FromString(data)
            if member.users.get(asked.name) != asked.password:
                raise CallError(INVALID, "etcdserver: authentication failed, invalid user ID or password")
            token = f"token-{len(member.tokens)}"
            member.tokens.add(token)
            return pb.AuthenticateResponse(header=member.header(), token=token)
        self.check(headers)
        if path == "/etcdserverpb.KV/Range":
            return member.range(pb.RangeRequest.FromString(data))
        if path == "/etcdserverpb.KV/Put":
            put = pb.PutRequest.FromString(data)
            member.store.commit((put.key.decode(), put.value), lease=put.lease)
            return pb.PutResponse(header=member.header())
        if path == "/etcdserverpb.KV/DeleteRange":
            gone = pb.DeleteRangeRequest.FromString(data)
            names = [key.decode() for key in member.store.keys if within(key, gone.key, gone.range_end)]
            if names:
                member.store.commit(*[(name, None) for name in names])
            return pb.DeleteRangeResponse(header=member.header(), deleted=len(names))
        if path == "/etcdserverpb.Lease/LeaseGrant":
            wanted = pb.LeaseGrantRequest.FromString(data)
            ident = member.store.grant(wanted.TTL, wanted.ID)
            return pb.LeaseGrantResponse(header=member.header(), ID=ident, TTL=wanted.TTL)
        if path == "/etcdserverpb.Lease/LeaseRevoke":
            member.store.revoke(pb.LeaseRevokeRequest.FromString(data).ID)
            return pb.LeaseRevokeResponse(header=member.header())
        raise CallError(UNIMPLEMENTED, path)

    def check(self, headers: dict[bytes, bytes]) -> None:
        if self.member.users and headers.get(b"token", b"").decode() not in self.member.tokens:
            raise CallError(UNAUTHENTICATED, "etcdserver: invalid auth token")

    def watch(self, stream: int, told: Stream, request: pb.WatchRequest) -> None:
        member = self.member
        if member.silent:
            return
        if request.WhichOneof("request_union") == "progress_request":
            if not member.cut_off:
                self.say(stream, pb.WatchResponse(header=member.header(), watch_id=-1))
            return
        if request.WhichOneof("request_union") != "create_request":
            return
        try:
            self.check(told.headers)
        except CallError as error:
            self.fail(stream, error.code, str(error))
            return
        if member.cut_off and told.headers.get(b"hasleader") == b"true":
            self.fail(stream, UNAVAILABLE, "etcdserver: no leader")
            return
        create = request.create_request
        first = create.start_revision or member.revision + 1
        self.say(stream, pb.WatchResponse(header=member.header(), watch_id=0, created=True))
        if first <= member.store.compacted:
            self.say(
                stream,
                pb.WatchResponse(
                    header=member.header(), watch_id=0, canceled=True, compact_revision=member.store.compacted
                ),
            )
            return
        watcher = Watcher(self, stream, 0, create.key, create.range_end, first)
        member.watchers.append(watcher)
        member.tell(watcher)

    def say(self, stream: int, answer: Message) -> None:
        data = frame_message(answer.SerializeToString())
        try:
            if stream not in self.begun:
                self.begun.add(stream)
                self.http2.send_headers(stream, HEAD)
            if self.member.half and getattr(answer, "events", None):
                self.member.half, self.member.silent = False, True
                data = data[: len(data) // 2]
            self.http2.send_data(stream, data)
        except StreamError:
            return
        self.schedule()

    def fail(self, stream: int, code: int, why: str) -> None:
        trailers = [(b"grpc-status", b"%d" % code), (b"grpc-message", why.encode())]
        try:
            if stream in self.begun:
                self.http2.send_trailers(stream, trailers)
            else:
                self.http2.send_headers(stream, HEAD + trailers, ended=True)
        except StreamError:
            return
        self.schedule()


HEAD: list[tuple[bytes, bytes]] = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def cluster(members: int = 1, **changes: Any) -> tuple[Store, list[Member]]:
    """A store and its members, not serving yet."""
    store = Store(**changes)
    return store, [Member(store) for _ in range(members)]
