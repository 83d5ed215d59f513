"""The etcd follower step by step, without sockets: answers in, actions out."""

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


def key_value(name: str, revision: int, data: bytes | None = None) -> pb.KeyValue:
    data = value() if data is None else data
    return pb.KeyValue(key=b"/n/" + name.encode(), value=data, mod_revision=revision)


def header(revision: int, cluster: int = 7) -> pb.ResponseHeader:
    return pb.ResponseHeader(cluster_id=cluster, revision=revision)


def answer(revision: int, *kvs: pb.KeyValue, more: bool = False, cluster: int = 7) -> pb.RangeResponse:
    return pb.RangeResponse(header=header(revision, cluster), kvs=kvs, more=more)


def events(revision: int, *received: pb.Event, fragment: bool = False) -> pb.WatchResponse:
    return pb.WatchResponse(header=header(revision), events=received, fragment=fragment)


def put(name: str, revision: int, data: bytes | None = None) -> pb.Event:
    return pb.Event(type=pb.Event.PUT, kv=key_value(name, revision, data))


def delete(name: str, revision: int) -> pb.Event:
    return pb.Event(type=pb.Event.DELETE, kv=pb.KeyValue(key=b"/n/" + name.encode(), mod_revision=revision))


def of_type(action_type: type, actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, action_type)]


def new_follower(endpoints: int = 3, auth: bool = False) -> EtcdFollower:
    return EtcdFollower("/n/", endpoints, auth, random.Random(5))


def watching_follower(revision: int = 10) -> EtcdFollower:
    follower = new_follower()
    follower.start(0)
    follower.connected(0)
    actions = follower.range_received(0, answer(revision, key_value("a", 3), key_value("b", 4)))
    assert isinstance(actions[0], ListRead) and [e.name for e in actions[0].entries] == ["a", "b"]
    watch, read = actions[1:]
    assert isinstance(watch, SendWatch) and watch.request.create_request.start_revision == revision + 1
    assert isinstance(read, SendRange) and read.request.count_only and not read.request.serializable
    return follower


def answer_check(follower: EtcdFollower, now_us: int, revision: int = 10) -> None:
    """Answer both parts of a check: on the watch and to the read."""
    follower.watch_received(now_us, pb.WatchResponse(header=header(revision), watch_id=-1))
    follower.range_received(now_us, answer(revision))


def redial(follower: EtcdFollower, now_us: int) -> list[Action]:
    """The backoff has passed, and the next dial succeeds."""
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
    range_call = follower.connected(0)[0]
    assert (
        isinstance(range_call, SendRange)
        and range_call.request.key == b"/n/"
        and range_call.request.revision == 0
    )
    assert not range_call.request.serializable
    second = follower.range_received(0, answer(10, key_value("a", 3), more=True))[0]
    assert isinstance(second, SendRange)
    assert second.request.key == b"/n/a\0" and second.request.revision == 10
    # The header has the current revision of the store; the keys are those of revision 10.
    actions = follower.range_received(0, answer(12, key_value("b", 4)))
    assert isinstance(actions[0], ListRead) and actions[0].revision == 10 and len(actions[0].entries) == 2
    assert isinstance(actions[1], SendWatch) and actions[1].request.create_request.start_revision == 11


def test_events_of_one_transaction_are_reported_together_and_in_order() -> None:
    follower = watching_follower()
    actions = follower.watch_received(
        1, events(12, put("a", 11, value("terminating")), delete("b", 11), put("b", 11), put("c", 12))
    )
    first, second = of_type(RevisionRead, actions)
    assert isinstance(first, RevisionRead) and isinstance(second, RevisionRead)
    deleted = [(name, entry is None) for name, entry in first.changes]
    assert deleted == [("a", False), ("b", True), ("b", False)]
    assert (first.revision, second.revision) == (11, 12)


def test_fragments_are_reported_after_the_last_one() -> None:
    follower = watching_follower()
    assert follower.watch_received(1, events(11, put("a", 11), fragment=True)) == []
    actions = follower.watch_received(1, events(11, put("b", 11)))
    assert len(of_type(RevisionRead, actions)) == 1 and len(actions[0].changes) == 2  # type: ignore[union-attr]


def test_after_a_failure_the_watch_resumes_from_the_last_revision_received() -> None:
    follower = watching_follower()
    follower.watch_received(1, events(14, put("a", 14)))
    actions = follower.failed(2, "reset")
    assert isinstance(actions[0], CloseConnection) and isinstance(actions[1], LogWarning)
    actions = redial(follower, follower.due_us)
    assert isinstance(actions[0], SendWatch) and actions[0].request.create_request.start_revision == 15


def test_a_progress_notification_advances_the_revision_from_which_a_watch_resumes() -> None:
    follower = watching_follower()
    follower.watch_received(1, pb.WatchResponse(header=header(500), watch_id=-1))
    follower.failed(2, "reset")
    actions = redial(follower, follower.due_us)
    assert isinstance(actions[0], SendWatch) and actions[0].request.create_request.start_revision == 501


def test_an_event_received_twice_is_reported_once() -> None:
    follower = watching_follower()
    follower.watch_received(1, events(11, put("a", 11)))
    assert of_type(RevisionRead, follower.watch_received(2, events(11, put("a", 11)))) == []


def test_compaction_leads_to_a_new_list() -> None:
    follower = watching_follower()
    actions = follower.watch_received(
        1, pb.WatchResponse(header=header(90), canceled=True, compact_revision=80)
    )
    assert of_type(CloseConnection, actions) and of_type(Dial, actions)
    range_call = follower.connected(2)[0]
    assert isinstance(range_call, SendRange) and range_call.request.revision == 0
    listed = follower.range_received(3, answer(91, key_value("a", 85, value("terminating"))))[0]
    assert isinstance(listed, ListRead) and listed.epoch == "7" and listed.revision == 91


def test_a_list_of_a_member_at_an_older_revision_is_ignored() -> None:
    follower = watching_follower(revision=10)
    follower.watch_received(1, pb.WatchResponse(header=header(20), canceled=True, compact_revision=15))
    follower.connected(2)
    follower.range_received(3, answer(30, key_value("a", 3)))
    follower.must_list = True
    follower.failed(4, "reset")
    redial(follower, follower.due_us)
    actions = follower.range_received(5, answer(25, key_value("a", 3)))
    assert not of_type(ListRead, actions) and of_type(CloseConnection, actions) and follower.revision == 30


def test_a_member_whose_watch_stays_behind_is_left() -> None:
    follower = watching_follower(revision=10)
    answer_check(follower, 0)
    now_us = 0
    while follower.state == "watch" and now_us < 10 * CHECK_INTERVAL_US:
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            follower.watch_received(now_us, pb.WatchResponse(header=header(9), watch_id=-1))
            follower.range_received(now_us, answer(10))
    assert follower.state == "wait" and now_us == CHECK_INTERVAL_US + CHECK_TIMEOUT_US


def test_a_watch_that_stays_behind_the_revision_of_a_read_is_left() -> None:
    """A member that is far behind answers progress requests, and so would pass for healthy."""
    follower = watching_follower(revision=10)
    answer_check(follower, 0)
    now_us = CHECK_INTERVAL_US
    assert of_type(SendWatch, follower.tick(now_us))
    follower.watch_received(now_us, pb.WatchResponse(header=header(10), watch_id=-1))
    assert of_type(SendWatch, follower.range_received(now_us, answer(14))), (
        "a progress notification is requested at once"
    )
    follower.watch_received(now_us + 1, pb.WatchResponse(header=header(11), watch_id=-1))
    assert follower.tick(now_us + CHECK_TIMEOUT_US - 1) == [] and of_type(
        CloseConnection, follower.tick(now_us + CHECK_TIMEOUT_US)
    )


def test_writes_between_the_read_and_the_watch_do_not_make_a_member_seem_behind() -> None:
    follower, revision = watching_follower(revision=10), 10
    answer_check(follower, 0)
    for _ in range(100):
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            follower.watch_received(now_us, pb.WatchResponse(header=header(revision + 3), watch_id=-1))
            if of_type(SendWatch, follower.range_received(now_us + 1, answer(revision + 9))):
                follower.watch_received(now_us + 2, events(revision + 12, put("a", revision + 12)))
            revision += 12
    assert follower.state == "watch" and follower.revision == revision


def test_another_cluster_is_listed_under_a_new_epoch() -> None:
    follower = watching_follower()
    actions = follower.watch_received(1, pb.WatchResponse(header=header(4, cluster=8), created=True))
    assert of_type(CloseConnection, actions) and of_type(Dial, actions)
    follower.connected(2)
    listed = follower.range_received(3, answer(4, key_value("a", 2), cluster=8))[0]
    assert isinstance(listed, ListRead) and (listed.epoch, listed.revision) == ("8", 4)


def test_a_silent_watch_is_checked_and_then_left() -> None:
    follower = watching_follower()
    answer_check(follower, 0)
    progress_requests = 0
    while follower.state == "watch":
        now_us = follower.due_us
        progress_requests += len(of_type(SendWatch, follower.tick(now_us)))
    assert (
        progress_requests == 1 and follower.state == "wait" and now_us == CHECK_INTERVAL_US + CHECK_TIMEOUT_US
    )


@pytest.mark.parametrize("half", ["watch", "read"])
def test_a_member_that_answers_only_half_of_a_check_is_left(half: str) -> None:
    follower = watching_follower()
    while follower.state == "watch":
        now_us = follower.due_us
        if half == "watch":
            follower.watch_received(now_us, pb.WatchResponse(header=header(10), watch_id=-1))
        else:
            follower.range_received(now_us, answer(10))
        follower.tick(now_us)
    assert now_us == CHECK_TIMEOUT_US


def test_a_member_that_answers_its_checks_is_never_left() -> None:
    follower = watching_follower()
    answer_check(follower, 0)
    for _ in range(100):
        now_us = follower.due_us
        if of_type(SendWatch, follower.tick(now_us)):
            answer_check(follower, now_us + 1)
    assert follower.state == "watch"


@pytest.mark.parametrize("data", [b"no JSON", b"x" * 1_000_000, b"[]", b'{"health":"odd"}', b""])
def test_an_invalid_value_leaves_the_last_valid_one_in_use(data: bytes) -> None:
    follower = watching_follower()
    actions = follower.watch_received(1, events(12, put("a", 11, data), put("c", 12)))
    changes = [change for action in of_type(RevisionRead, actions) for change in action.changes]  # type: ignore[union-attr]
    assert [(name, entry is not None and entry.dial) for name, entry in changes] == [
        ("a", "10.0.0.1:1"),
        ("c", "10.0.0.1:1"),
    ]
    assert len(of_type(LogWarning, actions)) == 1
    follower.watch_received(2, pb.WatchResponse(header=header(90), canceled=True, compact_revision=80))
    follower.connected(3)
    listed = follower.range_received(4, answer(91, key_value("a", 85, data), key_value("d", 86, data)))[0]
    assert isinstance(listed, ListRead) and [e.name for e in listed.entries] == ["a"]


def test_backoff_grows_to_a_bound_and_is_jittered() -> None:
    backoffs_us = []
    for seed in range(200):
        follower = EtcdFollower("/n/", 3, False, random.Random(seed))
        follower.start(0)
        dialled = set()
        for number in range(12):
            follower.failed(0, "refused")
            if number == 11:
                backoffs_us.append(follower.due_us)
            dial = follower.tick(follower.due_us)[0]
            assert isinstance(dial, Dial)
            dialled.add(dial.endpoint)
        assert dialled == {0, 1, 2}
    assert max(backoffs_us) <= MAX_BACKOFF_US and min(backoffs_us) >= MAX_BACKOFF_US // 2
    # Sidecars that lose etcd at the same time dial again at different times.
    assert len({backoff_us // 50_000 for backoff_us in backoffs_us}) > 12


def test_backoff_starts_short_and_is_reset_by_an_answer_on_the_watch() -> None:
    follower = watching_follower()
    for _ in range(9):
        follower.failed(0, "reset")
        follower.tick(follower.due_us)
    follower.connected(0)
    follower.watch_received(0, events(11, put("a", 11)))
    follower.failed(0, "reset")
    assert follower.due_us <= MIN_BACKOFF_US


def test_a_token_is_requested_on_every_connection() -> None:
    follower = new_follower(auth=True)
    follower.start(0)
    assert isinstance(follower.connected(0)[0], Authenticate)
    assert isinstance(follower.authenticated(0)[0], SendRange)
    follower.range_received(0, answer(10))
    follower.failed(1, "etcdserver: invalid auth token", Code.UNAUTHENTICATED)
    follower.tick(follower.due_us)
    assert isinstance(follower.connected(2)[0], Authenticate)


def test_a_page_that_is_too_large_is_requested_again_with_fewer_keys() -> None:
    follower = new_follower()
    follower.start(0)
    first = follower.connected(0)[0]
    follower.failed(1, "too large", Code.RESOURCE_EXHAUSTED)
    second = redial(follower, follower.due_us)[0]
    assert isinstance(first, SendRange) and isinstance(second, SendRange)
    assert second.request.limit == first.request.limit // 4


def test_late_answers_of_a_closed_connection_are_ignored() -> None:
    follower = watching_follower()
    follower.failed(1, "reset")
    assert (
        follower.watch_received(2, events(11, put("a", 11))) == [] == follower.range_received(2, answer(12))
    )
    assert follower.connected(2) == [] == follower.authenticated(2) == follower.failed(2, "again")
