"""Following a prefix, step by step and without a socket: answers in, actions out."""

from __future__ import annotations

import json
import random

import pytest

from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.discovery.etcd.follower import (
    CHECK_INTERVAL_US,
    CHECK_TIMEOUT_US,
    MAX_BACKOFF_US,
    MIN_BACKOFF_US,
    Action,
    Authenticate,
    CloseConnection,
    Dial,
    EtcdFollower,
    ListRead,
    LogWarning,
    RevisionRead,
    SendRange,
    SendWatch,
    range_end_of,
)
from sidecar_proxy.grpc.status import Code


def value(health: str = "in_service", **more: object) -> bytes:
    return json.dumps({"health": health, "dial": "10.0.0.1:1", "site": "a", "block": 1} | more).encode()


def kv(name: str, revision: int, data: bytes | None = None) -> pb.KeyValue:
    data = value() if data is None else data
    return pb.KeyValue(key=b"/n/" + name.encode(), value=data, mod_revision=revision)


def header(revision: int, cluster: int = 7) -> pb.ResponseHeader:
    return pb.ResponseHeader(cluster_id=cluster, revision=revision)


def answer(revision: int, *kvs: pb.KeyValue, more: bool = False, cluster: int = 7) -> pb.RangeResponse:
    return pb.RangeResponse(header=header(revision, cluster), kvs=kvs, more=more)


def events(revision: int, *told: pb.Event, fragment: bool = False) -> pb.WatchResponse:
    return pb.WatchResponse(header=header(revision), events=told, fragment=fragment)


def put(name: str, revision: int, data: bytes | None = None) -> pb.Event:
    return pb.Event(type=pb.Event.PUT, kv=kv(name, revision, data))


def gone(name: str, revision: int) -> pb.Event:
    return pb.Event(type=pb.Event.DELETE, kv=pb.KeyValue(key=b"/n/" + name.encode(), mod_revision=revision))


def of_type(kind: type, actions: list[Action]) -> list[Action]:
    return [follower for follower in actions if isinstance(follower, kind)]


def new_follower(endpoints: int = 3, auth: bool = False) -> EtcdFollower:
    return EtcdFollower("/n/", endpoints, auth, random.Random(5))


def watching(revision: int = 10) -> EtcdFollower:
    follower = new_follower()
    follower.start(0)
    follower.connected(0)
    found = follower.range_received(0, answer(revision, kv("a", 3), kv("b", 4)))
    assert isinstance(found[0], ListRead) and [e.name for e in found[0].entries] == ["a", "b"]
    watch, read = found[1:]
    assert isinstance(watch, SendWatch) and watch.request.create_request.start_revision == revision + 1
    assert isinstance(read, SendRange) and read.request.count_only and not read.request.serializable
    return follower


def answered(follower: EtcdFollower, now_us: int, revision: int = 10) -> None:
    """The watch and the read beside it."""
    follower.watch_received(now_us, pb.WatchResponse(header=header(revision), watch_id=-1))
    follower.range_received(now_us, answer(revision))


def again(follower: EtcdFollower, now_us: int) -> list[Action]:
    """It waits; the next dial succeeds."""
    assert follower.state == "wait" and follower.due_us <= now_us
    assert isinstance(follower.tick(now_us)[0], Dial)
    return follower.connected(now_us)


def test_the_end_of_a_prefix() -> None:
    assert (
        range_end_of(b"/n/") == b"/n0" and range_end_of(b"a\xff") == b"b" and range_end_of(b"\xff") == b"\0"
    )


def test_a_list_is_read_page_by_page_at_one_revision() -> None:
    follower = new_follower()
    assert isinstance(follower.start(0)[0], Dial)
    ask = follower.connected(0)[0]
    assert isinstance(ask, SendRange) and ask.request.key == b"/n/" and ask.request.revision == 0
    assert not ask.request.serializable
    second = follower.range_received(0, answer(10, kv("a", 3), more=True))[0]
    assert isinstance(second, SendRange)
    assert second.request.key == b"/n/a\0" and second.request.revision == 10
    found = follower.range_received(
        0, answer(12, kv("b", 4))
    )  # the header is the store's; the keys are those of 10
    assert isinstance(found[0], ListRead) and found[0].revision == 10 and len(found[0].entries) == 2
    assert isinstance(found[1], SendWatch) and found[1].request.create_request.start_revision == 11


def test_events_of_one_transaction_are_told_together_and_in_order() -> None:
    follower = watching()
    found = follower.watch_received(
        1, events(12, put("a", 11, value("terminating")), gone("b", 11), put("b", 11), put("c", 12))
    )
    first, second = of_type(RevisionRead, found)
    assert isinstance(first, RevisionRead) and isinstance(second, RevisionRead)
    deleted = [(name, entry is None) for name, entry in first.changes]
    assert deleted == [("a", False), ("b", True), ("b", False)]
    assert (first.revision, second.revision) == (11, 12)


def test_fragments_are_told_when_the_last_is_there() -> None:
    follower = watching()
    assert follower.watch_received(1, events(11, put("a", 11), fragment=True)) == []
    found = follower.watch_received(1, events(11, put("b", 11)))
    assert len(of_type(RevisionRead, found)) == 1 and len(found[0].changes) == 2  # type: ignore[union-attr]


def test_after_a_break_the_watch_goes_on_from_what_was_heard() -> None:
    follower = watching()
    follower.watch_received(1, events(14, put("a", 14)))
    found = follower.failed(2, "reset")
    assert isinstance(found[0], CloseConnection) and isinstance(found[1], LogWarning)
    actions = again(follower, follower.due_us)
    assert isinstance(actions[0], SendWatch) and actions[0].request.create_request.start_revision == 15


def test_progress_moves_the_revision_from_which_a_watch_is_resumed() -> None:
    follower = watching()
    follower.watch_received(1, pb.WatchResponse(header=header(500), watch_id=-1))
    follower.failed(2, "reset")
    actions = again(follower, follower.due_us)
    assert isinstance(actions[0], SendWatch) and actions[0].request.create_request.start_revision == 501


def test_what_was_heard_twice_is_told_once() -> None:
    follower = watching()
    follower.watch_received(1, events(11, put("a", 11)))
    assert of_type(RevisionRead, follower.watch_received(2, events(11, put("a", 11)))) == []


def test_compaction_leads_to_a_new_list() -> None:
    follower = watching()
    found = follower.watch_received(
        1, pb.WatchResponse(header=header(90), canceled=True, compact_revision=80)
    )
    assert of_type(CloseConnection, found) and of_type(Dial, found)
    ask = follower.connected(2)[0]
    assert isinstance(ask, SendRange) and ask.request.revision == 0
    listed = follower.range_received(3, answer(91, kv("a", 85, value("terminating"))))[0]
    assert isinstance(listed, ListRead) and listed.epoch == "7" and listed.revision == 91


def test_a_member_with_less_than_was_heard_is_not_listened_to() -> None:
    follower = watching(revision=10)
    follower.watch_received(1, pb.WatchResponse(header=header(20), canceled=True, compact_revision=15))
    follower.connected(2)
    follower.range_received(3, answer(30, kv("a", 3)))
    follower.must_list = True
    follower.failed(4, "reset")
    again(follower, follower.due_us)
    found = follower.range_received(5, answer(25, kv("a", 3)))
    assert not of_type(ListRead, found) and of_type(CloseConnection, found) and follower.revision == 30


def test_a_watch_on_a_member_that_stays_behind_is_left() -> None:
    follower = watching(revision=10)
    answered(follower, 0)
    now_us = 0
    while follower.state == "watch" and now_us < 10 * CHECK_INTERVAL_US:
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            follower.watch_received(now_us, pb.WatchResponse(header=header(9), watch_id=-1))
            follower.range_received(now_us, answer(10))
    assert follower.state == "wait" and now_us == CHECK_INTERVAL_US + CHECK_TIMEOUT_US


def test_a_watch_that_tells_less_than_a_read_has_shown_is_left() -> None:
    """Hazard: a member that is far behind answers on the watch, and so looks well."""
    follower = watching(revision=10)
    answered(follower, 0)
    now_us = CHECK_INTERVAL_US
    assert of_type(SendWatch, follower.tick(now_us))
    follower.watch_received(now_us, pb.WatchResponse(header=header(10), watch_id=-1))
    assert of_type(SendWatch, follower.range_received(now_us, answer(14))), (
        "its progress is asked for at once"
    )
    follower.watch_received(now_us + 1, pb.WatchResponse(header=header(11), watch_id=-1))
    assert follower.tick(now_us + CHECK_TIMEOUT_US - 1) == [] and of_type(
        CloseConnection, follower.tick(now_us + CHECK_TIMEOUT_US)
    )


def test_writes_that_go_on_between_read_and_watch_leave_no_member_behind() -> None:
    follower, revision = watching(revision=10), 10
    answered(follower, 0)
    for _ in range(100):
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            follower.watch_received(now_us, pb.WatchResponse(header=header(revision + 3), watch_id=-1))
            if of_type(SendWatch, follower.range_received(now_us + 1, answer(revision + 9))):
                follower.watch_received(now_us + 2, events(revision + 12, put("a", revision + 12)))
            revision += 12
    assert follower.state == "watch" and follower.revision == revision


def test_another_cluster_is_listed_under_another_epoch() -> None:
    follower = watching()
    found = follower.watch_received(1, pb.WatchResponse(header=header(4, cluster=8), created=True))
    assert of_type(CloseConnection, found) and of_type(Dial, found)
    follower.connected(2)
    listed = follower.range_received(3, answer(4, kv("a", 2), cluster=8))[0]
    assert isinstance(listed, ListRead) and (listed.epoch, listed.revision) == ("8", 4)


def test_a_silent_watch_is_asked_and_then_left() -> None:
    follower = watching()
    answered(follower, 0)
    asked = 0
    while follower.state == "watch":
        now_us = follower.due_us
        asked += len(of_type(SendWatch, follower.tick(now_us)))
    assert asked == 1 and follower.state == "wait" and now_us == CHECK_INTERVAL_US + CHECK_TIMEOUT_US


@pytest.mark.parametrize("half", ["watch", "read"])
def test_a_member_that_answers_half_of_a_check_is_left(half: str) -> None:
    follower = watching()
    while follower.state == "watch":
        now_us = follower.due_us
        if half == "watch":
            follower.watch_received(now_us, pb.WatchResponse(header=header(10), watch_id=-1))
        else:
            follower.range_received(now_us, answer(10))
        follower.tick(now_us)
    assert now_us == CHECK_TIMEOUT_US


def test_one_that_answers_is_never_left() -> None:
    follower = watching()
    answered(follower, 0)
    for _ in range(100):
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            answered(follower, now_us + 1)
    assert follower.state == "watch"


@pytest.mark.parametrize("data", [b"no JSON", b"x" * 1_000_000, b"[]", b'{"health":"odd"}', b""])
def test_a_value_that_cannot_be_used_leaves_the_last_good_one(data: bytes) -> None:
    follower = watching()
    found = follower.watch_received(1, events(12, put("a", 11, data), put("c", 12)))
    changes = [change for action in of_type(RevisionRead, found) for change in action.changes]  # type: ignore[union-attr]
    assert [(name, entry is not None and entry.dial) for name, entry in changes] == [
        ("a", "10.0.0.1:1"),
        ("c", "10.0.0.1:1"),
    ]
    assert len(of_type(LogWarning, found)) == 1
    follower.watch_received(2, pb.WatchResponse(header=header(90), canceled=True, compact_revision=80))
    follower.connected(3)
    listed = follower.range_received(4, answer(91, kv("a", 85, data), kv("d", 86, data)))[0]
    assert isinstance(listed, ListRead) and [e.name for e in listed.entries] == ["a"]


def test_waits_grow_to_a_bound_and_are_spread() -> None:
    waits = []
    for seed in range(200):
        follower = EtcdFollower("/n/", 3, False, random.Random(seed))
        follower.start(0)
        dialled = set()
        for number in range(12):
            follower.failed(0, "refused")
            if number == 11:
                waits.append(follower.due_us)
            dial = follower.tick(follower.due_us)[0]
            assert isinstance(dial, Dial)
            dialled.add(dial.endpoint)
        assert dialled == {0, 1, 2}
    assert max(waits) <= MAX_BACKOFF_US and min(waits) >= MAX_BACKOFF_US // 2
    assert len({wait // 50_000 for wait in waits}) > 12  # a thousand that lost it at once come back apart


def test_the_first_wait_is_short_and_hearing_something_makes_it_short_again() -> None:
    follower = watching()
    for _ in range(9):
        follower.failed(0, "reset")
        follower.tick(follower.due_us)
    follower.connected(0)
    follower.watch_received(0, events(11, put("a", 11)))
    follower.failed(0, "reset")
    assert follower.due_us <= MIN_BACKOFF_US


def test_a_token_is_asked_for_on_every_connection() -> None:
    follower = new_follower(auth=True)
    follower.start(0)
    assert isinstance(follower.connected(0)[0], Authenticate)
    assert isinstance(follower.authenticated(0)[0], SendRange)
    follower.range_received(0, answer(10))
    follower.failed(1, "etcdserver: invalid auth token", Code.UNAUTHENTICATED)
    follower.tick(follower.due_us)
    assert isinstance(follower.connected(2)[0], Authenticate)


def test_an_answer_too_large_is_asked_for_in_smaller_pages() -> None:
    follower = new_follower()
    follower.start(0)
    first = follower.connected(0)[0]
    follower.failed(1, "too large", Code.RESOURCE_EXHAUSTED)
    second = again(follower, follower.due_us)[0]
    assert isinstance(first, SendRange) and isinstance(second, SendRange)
    assert second.request.limit == first.request.limit // 4


def test_late_answers_of_a_dropped_connection_do_nothing() -> None:
    follower = watching()
    follower.failed(1, "reset")
    assert (
        follower.watch_received(2, events(11, put("a", 11))) == [] == follower.range_received(2, answer(12))
    )
    assert follower.connected(2) == [] == follower.authenticated(2) == follower.failed(2, "again")
