"""The rules of the merge one by one, and two invariants under any interleaving of two sources."""

from __future__ import annotations

import json

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.discovery.merge import MembershipMerge
from sidecar_proxy.discovery.model import EndpointEntry, EntryError, parse_entry

READY, DRAINING, GONE = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.GONE


def entry(
    name: str = "a", state: UpstreamState = READY, born_ms: int = 5, dial: str = "10.0.0.1:1"
) -> EndpointEntry:
    return EndpointEntry(name, state, dial, born_ms=born_ms)


def state(merge: MembershipMerge, name: str = "a") -> UpstreamState | None:
    endpoint = merge.endpoint(name)
    return endpoint.entry.state if endpoint is not None else None


def merge_of_two_sources() -> MembershipMerge:
    """Return a merge in which both sources list the endpoint "a"."""
    merge = MembershipMerge(["etcd", "roster"])
    assert merge.apply_list("etcd", "c1", 10, [entry(dial="10.0.0.1:1")]) == {"a"}
    merge.apply_list("roster", "", 3, [entry(dial="10.0.0.2:2")])
    return merge


def test_a_drain_in_one_source_counts_until_that_source_ends_it() -> None:
    merge = merge_of_two_sources()
    assert merge.apply_changes("etcd", "c1", 11, [("a", entry(state=DRAINING))]) == {"a"}
    assert state(merge) is DRAINING
    merge.apply_list("roster", "", 4, [entry()])
    merge.apply_changes("roster", "", 5, [("a", entry(dial="10.0.0.3:3"))])
    assert state(merge) is DRAINING and merge.endpoint("a").deciding_source == "etcd"  # type: ignore[union-attr]
    merge.apply_changes("etcd", "c1", 11, [("a", entry())])  # the revision is not newer
    assert state(merge) is DRAINING
    merge.apply_changes("etcd", "c1", 12, [("a", entry())])
    assert state(merge) is READY


def test_a_later_start_reported_by_any_source_ends_a_drain() -> None:
    merge = merge_of_two_sources()
    merge.apply_changes("etcd", "c1", 11, [("a", entry(state=DRAINING))])
    merge.apply_changes("roster", "", 4, [("a", entry(born_ms=6, dial="10.0.0.2:9"))])
    endpoint = merge.endpoint("a")
    assert endpoint is not None and endpoint.entry.state is READY and endpoint.entry.dial == "10.0.0.2:9"


def test_an_endpoint_of_one_source_is_used_and_of_two_addresses_the_first_source_s() -> None:
    merge = merge_of_two_sources()
    merge.apply_changes("roster", "", 4, [("b", entry("b"))])
    assert state(merge, "b") is READY and state(merge, "nobody") is None
    endpoint = merge.endpoint("a")
    assert endpoint is not None and endpoint.entry.dial == "10.0.0.1:1"  # etcd is the first source


def test_an_endpoint_deleted_in_one_source_and_listed_in_another_is_draining() -> None:
    merge = merge_of_two_sources()
    merge.apply_changes("etcd", "c1", 11, [("a", None)])
    assert state(merge) is DRAINING
    assert merge.apply_changes("roster", "", 4, [("a", None)]) == {"a"}
    assert state(merge) is None and merge.endpoints() == {}


def test_an_endpoint_drained_deleted_and_put_again_in_one_batch_is_ready() -> None:
    """The put is the last change of the same source and ends the drain, with or without a new start."""
    merge = merge_of_two_sources()
    merge.apply_changes(
        "etcd", "c1", 11, [("a", entry(state=DRAINING)), ("a", None), ("a", entry(born_ms=7))]
    )
    endpoint = merge.endpoint("a")
    assert endpoint is not None and endpoint.entry.state is READY and endpoint.entry.born_ms == 7


def test_an_older_revision_undoes_nothing() -> None:
    merge = merge_of_two_sources()
    merge.apply_changes("etcd", "c1", 20, [("a", entry(state=DRAINING))])
    assert merge.apply_list("etcd", "c1", 15, [entry()]) == set()
    assert merge.apply_changes("etcd", "c1", 15, [("a", entry())]) == set()
    # An epoch has to begin with a list.
    assert merge.apply_changes("etcd", "other", 99, [("a", entry())]) == set()
    assert state(merge) is DRAINING


def test_a_restored_cluster_with_lower_revisions_does_not_undo_a_drain() -> None:
    merge = merge_of_two_sources()
    merge.apply_changes("etcd", "c1", 20, [("a", entry(state=DRAINING))])
    merge.apply_list("etcd", "c2", 4, [entry(), entry("b")])
    assert state(merge) is DRAINING and state(merge, "b") is READY
    merge.apply_list("etcd", "c2", 5, [entry(), entry("b")])  # the next list does not undo it either
    assert state(merge) is DRAINING
    merge.apply_changes("etcd", "c2", 6, [("a", entry())])  # a change of the endpoint itself does
    assert state(merge) is READY
    merge.apply_changes("etcd", "c2", 7, [("b", entry("b", DRAINING))])
    # a later start ends the drain as well
    merge.apply_list("etcd", "c3", 1, [entry(), entry("b", born_ms=9)])
    assert state(merge, "b") is READY


@pytest.mark.parametrize("left", [0, 4])
def test_a_list_that_lacks_most_endpoints_needs_confirmation(left: int) -> None:
    merge = MembershipMerge(["etcd"])
    names = [f"n{number}" for number in range(12)]
    merge.apply_list("etcd", "c1", 1, [entry(name) for name in names])
    remaining = [entry(name) for name in names[:left]]
    remaining[:1] = [entry("n0", DRAINING)] if remaining else []
    merge.apply_list("etcd", "c1", 2, remaining)
    assert len(merge.endpoints()) == 12 and state(merge, "n11") is READY
    assert not remaining or state(merge, "n0") is DRAINING  # drains in the list count
    merge.apply_list("etcd", "c1", 3, remaining)  # the next revision confirms it
    assert len(merge.endpoints()) == left


def test_a_list_that_lacks_a_few_endpoints_removes_them() -> None:
    merge = MembershipMerge(["etcd"])
    merge.apply_list("etcd", "c1", 1, [entry(f"n{number}") for number in range(12)])
    assert merge.apply_list("etcd", "c1", 2, [entry(f"n{number}") for number in range(10)]) == {"n10", "n11"}
    assert len(merge.endpoints()) == 10


@pytest.mark.parametrize(
    ("value", "part"),
    [
        (b"{", "not JSON"),
        (b"[]", "not an object"),
        (b"[" * 60_000, "not JSON"),
        (b"x" * 70_000, "70000 bytes"),
        (b"{}", "unknown health"),
        (b'{"health": ["x"]}', "unknown health"),
        (b'{"health": "in_service"}', "dial is"),
        (b'{"health": "in_service", "dial": "a:99999"}', "dial is"),
        (b'{"health": "in_service", "dial": "a:1", "born_ms": -1}', "born_ms is '-1'"),
        (b'{"health": "in_service", "dial": "a:1", "block": true}', "block is"),
        (b'{"health": "in_service", "dial": "a:1", "share": 1e999}', "share is"),
        (b'{"health": "in_service", "dial": "a:1", "host": "b"}', "host is"),
        (b'{"health": "in_service", "dial": "a:1", "site": 3}', "site is"),
    ],
)
def test_an_invalid_entry_is_rejected_with_one_short_line(value: bytes, part: str) -> None:
    with pytest.raises(EntryError) as raised:
        parse_entry("a", value)
    assert part in str(raised.value) and "\n" not in str(raised.value) and len(str(raised.value)) < 300


def test_a_valid_entry_is_parsed() -> None:
    fields = {
        "host": "a",
        "dial": "10.1.0.18:3000",
        "dial_grpc": "10.1.0.18:3001",
        "site": "a",
        "class": "m2",
        "block": 3,
        "health": "terminating",
        "share": 0.5,
        "born_ms": 7,
    }
    parsed = parse_entry("a", json.dumps(fields).encode())
    assert parsed == EndpointEntry("a", DRAINING, "10.1.0.18:3000", "10.1.0.18:3001", "a", "m2", 3, 0.5, 7)
    assert parse_entry("a", b'{"health": "terminated"}') == EndpointEntry("a", GONE)


NAMES = [f"n{number}" for number in range(4)]
STATES = st.sampled_from([READY, READY, DRAINING])


def test_a_start_reported_by_a_source_whose_record_was_dropped_still_ends_an_older_drain() -> None:
    merge = MembershipMerge(["etcd", "roster"])
    nodes = [entry(f"n{number}") for number in range(10)]
    merge.apply_list("etcd", "c1", 1, nodes)
    merge.apply_list("roster", "", 1, nodes)
    merge.apply_changes("roster", "", 2, [("n0", entry("n0", DRAINING))])
    merge.apply_changes("etcd", "c1", 2, [("n0", entry("n0", born_ms=6))])
    for revision in (3, 4):
        merge.apply_list("etcd", "c1", revision, [])
    assert state(merge, "n0") is READY and state(merge, "n1") is READY


class TwoSources(RuleBasedStateMachine):
    """Two sources in any order, with outdated answers, restored clusters and restarts.

    The model keeps beside the merge which source has drained which start of an endpoint and not ended it.
    """

    @initialize()
    def begin(self) -> None:
        self.merge = MembershipMerge(["one", "two"])
        self.epoch = {"one": 1, "two": 1}
        self.revision = {"one": 0, "two": 0}
        self.born = dict.fromkeys(NAMES, 1)
        self.drains: dict[tuple[str, str], int] = {}  # (source, name) to the start that was drained
        for source in self.epoch:
            self.merge.apply_list(source, "1", 0, [entry(name, born_ms=1) for name in NAMES])

    @rule(source=st.sampled_from(["one", "two"]), name=st.sampled_from(NAMES), new_state=STATES)
    def change(self, source: str, name: str, new_state: UpstreamState) -> None:
        self.revision[source] += 1
        self.merge.apply_changes(
            source,
            str(self.epoch[source]),
            self.revision[source],
            [(name, entry(name, new_state, self.born[name]))],
        )
        if new_state is DRAINING:
            self.drains[source, name] = self.born[name]
        else:
            self.drains.pop((source, name), None)

    @rule(source=st.sampled_from(["one", "two"]), name=st.sampled_from(NAMES))
    def restart(self, source: str, name: str) -> None:
        self.born[name] += 1
        self.change(source, name, READY)

    @rule(source=st.sampled_from(["one", "two"]), back=st.integers(1, 5), name=st.sampled_from(NAMES))
    def old_answer(self, source: str, back: int, name: str) -> None:
        """A lagging member of a cluster answers with a list and a change of an older revision."""
        if self.revision[source] >= back:
            epoch, revision = str(self.epoch[source]), self.revision[source] - back
            assert (
                self.merge.apply_list(source, epoch, revision, [entry(listed) for listed in NAMES]) == set()
            )
            assert self.merge.apply_changes(source, epoch, revision, [(name, entry(name))]) == set()

    @rule(source=st.sampled_from(["one", "two"]))
    def restored(self, source: str) -> None:
        """A restored cluster has a new epoch and no drains."""
        self.epoch[source] += 1
        self.revision[source] = 0
        self.merge.apply_list(
            source, str(self.epoch[source]), 0, [entry(name, born_ms=self.born[name]) for name in NAMES]
        )

    @rule(later=st.integers(0, 1))
    def empty(self, later: int) -> None:
        """One source sends empty lists, once or often, at the same revision or at newer ones."""
        self.revision["one"] += later
        self.merge.apply_list("one", str(self.epoch["one"]), self.revision["one"], [])

    @invariant()
    def a_drained_endpoint_is_not_ready(self) -> None:
        if not hasattr(self, "drains"):
            return
        for (_, name), born in self.drains.items():
            if born == self.born[name]:
                assert state(self.merge, name) is not READY, name

    @invariant()
    def empty_lists_of_one_source_never_empty_the_fleet(self) -> None:
        if hasattr(self, "merge"):
            for name in NAMES:
                born = self.born[name]
                drained = any(self.drains.get((source, name)) == born for source in self.epoch)
                assert drained or state(self.merge, name) is READY, name


TestSources = TwoSources.TestCase
TestSources.settings = hypothesis_settings(max_examples=60, stateful_step_count=30, deadline=None)


@pytest.mark.parametrize("stated_ms", [0, 3])
# Guards against new requests to an upstream that was drained by hand: the start was missing or outdated.
def test_a_drain_without_the_latest_start_applies_to_the_process_that_is_known(stated_ms: int) -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=stated_ms)])
    assert state(merge) is READY
    merge.apply_changes("etcd", "c1", 2, [("a", entry(state=DRAINING, born_ms=stated_ms))])
    assert state(merge) is DRAINING
    merge.apply_list("roster", "", 2, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 3, [entry(state=DRAINING, born_ms=stated_ms)])
    assert state(merge) is DRAINING
    merge.apply_list("roster", "", 3, [entry(born_ms=6)])  # a later start ends it
    assert state(merge) is READY
    merge.apply_list("etcd", "c1", 4, [entry(state=DRAINING, born_ms=stated_ms)])  # the same report again
    assert state(merge) is READY
    merge.apply_changes("etcd", "c1", 5, [("a", entry(state=DRAINING, born_ms=stated_ms))])
    assert state(merge) is DRAINING
    merge.apply_changes("etcd", "c1", 6, [("a", entry(born_ms=stated_ms))])
    assert state(merge) is READY


def test_a_drain_without_a_start_in_the_first_list_applies_to_the_process_that_is_known() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5, dial="10.0.0.2:2")])
    merge.apply_list("etcd", "c1", 1, [entry(state=DRAINING, born_ms=0)])
    merged = merge.endpoint("a")
    assert merged is not None
    assert merged.entry.state is DRAINING
    assert merged.entry.born_ms == 5
    assert merged.entry.dial == "10.0.0.2:2"  # the address is that of the latest start


def test_a_drain_of_an_earlier_start_in_the_first_list_is_outdated() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 1, [entry(state=DRAINING, born_ms=3)])
    assert state(merge) is READY


def test_a_deletion_of_an_entry_without_a_start_drains_what_another_source_lists() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=0)])
    merge.apply_changes("etcd", "c1", 2, [("a", None)])
    assert state(merge) is DRAINING
    merge.apply_changes("roster", "", 2, [("a", entry(born_ms=6))])
    assert state(merge) is READY


@pytest.mark.parametrize("stated_ms", [0, 5])
@pytest.mark.parametrize("way", ["change", "list"])
# Guards against a healthy upstream that gets no requests: the end of an earlier process's key drained it.
def test_a_deletion_of_a_drained_entry_does_not_drain_a_later_start(way: str, stated_ms: int) -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5), entry("b"), entry("c")])
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=stated_ms), entry("b"), entry("c")])
    merge.apply_changes("etcd", "c1", 2, [("a", entry(state=DRAINING, born_ms=stated_ms))])
    merge.apply_changes("roster", "", 2, [("a", entry(born_ms=6))])
    assert state(merge) is READY
    if way == "change":
        merge.apply_changes("etcd", "c1", 3, [("a", None)])
    else:
        merge.apply_list("etcd", "c1", 3, [entry("b"), entry("c")])
    assert state(merge) is READY


def test_a_deletion_of_an_entry_that_states_an_earlier_start_does_not_drain_a_later_one() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=5)])
    merge.apply_list("roster", "", 1, [entry(born_ms=6)])
    merge.apply_changes("etcd", "c1", 2, [("a", None)])
    assert state(merge) is READY


@pytest.mark.parametrize("restored_ms", [0, 3])
# Guards against new requests to a drained upstream: a restored cluster stated an earlier start of it.
def test_a_drain_that_a_restored_cluster_has_lost_keeps_its_start(restored_ms: int) -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 1, [entry(state=DRAINING, born_ms=5)])
    assert state(merge) is DRAINING
    merge.apply_list("etcd", "c2", 1, [entry(born_ms=restored_ms)])
    assert state(merge) is DRAINING
    merge.apply_list("roster", "", 2, [entry(born_ms=6)])
    assert state(merge) is READY


# Guards against a drain by hand that counts on an open watch, and not in the list after a break of it.
def test_a_drain_by_hand_counts_in_a_list_as_in_a_change() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=5)])
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=3)])
    merge.apply_list("etcd", "c1", 2, [entry(state=DRAINING, born_ms=3)])
    assert state(merge) is DRAINING
    merge.apply_list("etcd", "c2", 1, [entry("b")])  # a restored cluster without it
    merge.apply_list("roster", "", 2, [entry(born_ms=6)])
    assert state(merge) is READY


def test_a_drain_of_an_earlier_start_in_a_restored_cluster_is_outdated() -> None:
    merge = MembershipMerge(["roster", "etcd"], authoritative="roster")
    merge.apply_list("roster", "", 1, [entry(born_ms=6)])
    merge.apply_list("etcd", "c1", 1, [entry(born_ms=6)])
    merge.apply_list("etcd", "c2", 1, [entry(state=DRAINING, born_ms=3)])
    assert state(merge) is READY
