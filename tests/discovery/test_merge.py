"""The merge's table, row by row, and any interleaving of sources against a few plain sentences."""

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
    member = merge.endpoint(name)
    return member.entry.state if member is not None else None


def two() -> MembershipMerge:
    """Both sources know the node."""
    merge = MembershipMerge(["etcd", "roster"])
    assert merge.apply_list("etcd", "c1", 10, [entry(dial="10.0.0.1:1")]) == {"a"}
    merge.apply_list("roster", "", 3, [entry(dial="10.0.0.2:2")])
    return merge


def test_drained_anywhere_is_drained_until_that_source_takes_it_back() -> None:
    merge = two()
    assert merge.apply_changes("etcd", "c1", 11, [("a", entry(state=DRAINING))]) == {"a"}
    assert state(merge) is DRAINING
    merge.apply_list("roster", "", 4, [entry()])
    merge.apply_changes("roster", "", 5, [("a", entry(dial="10.0.0.3:3"))])
    assert state(merge) is DRAINING and merge.endpoint("a").deciding_source == "etcd"  # type: ignore[union-attr]
    merge.apply_changes("etcd", "c1", 11, [("a", entry())])  # not newer
    assert state(merge) is DRAINING
    merge.apply_changes("etcd", "c1", 12, [("a", entry())])
    assert state(merge) is READY


def test_a_later_start_known_to_any_source_ends_a_drain() -> None:
    merge = two()
    merge.apply_changes("etcd", "c1", 11, [("a", entry(state=DRAINING))])
    merge.apply_changes("roster", "", 4, [("a", entry(born_ms=6, dial="10.0.0.2:9"))])
    member = merge.endpoint("a")
    assert member is not None and member.entry.state is READY and member.entry.dial == "10.0.0.2:9"


def test_known_to_one_only_and_differing_addresses() -> None:
    merge = two()
    merge.apply_changes("roster", "", 4, [("b", entry("b"))])
    assert state(merge, "b") is READY and state(merge, "nobody") is None
    member = merge.endpoint("a")
    assert member is not None and member.entry.dial == "10.0.0.1:1"  # etcd is named first


def test_deleted_in_one_and_listed_in_another_gets_nothing_new() -> None:
    merge = two()
    merge.apply_changes("etcd", "c1", 11, [("a", None)])
    assert state(merge) is DRAINING
    assert merge.apply_changes("roster", "", 4, [("a", None)]) == {"a"}
    assert state(merge) is None and merge.endpoints() == {}


def test_drained_deleted_and_put_again_in_one_batch() -> None:
    """The put is the newer word of the same source: it is taken back, with or without a new start."""
    merge = two()
    merge.apply_changes(
        "etcd", "c1", 11, [("a", entry(state=DRAINING)), ("a", None), ("a", entry(born_ms=7))]
    )
    member = merge.endpoint("a")
    assert member is not None and member.entry.state is READY and member.entry.born_ms == 7


def test_an_older_revision_undoes_nothing() -> None:
    merge = two()
    merge.apply_changes("etcd", "c1", 20, [("a", entry(state=DRAINING))])
    assert merge.apply_list("etcd", "c1", 15, [entry()]) == set()
    assert merge.apply_changes("etcd", "c1", 15, [("a", entry())]) == set()
    assert merge.apply_changes("etcd", "other", 99, [("a", entry())]) == set()  # changes need a list first
    assert state(merge) is DRAINING


def test_a_restored_cluster_with_lower_revisions_does_not_undo_a_drain() -> None:
    merge = two()
    merge.apply_changes("etcd", "c1", 20, [("a", entry(state=DRAINING))])
    merge.apply_list("etcd", "c2", 4, [entry(), entry("b")])
    assert state(merge) is DRAINING and state(merge, "b") is READY
    merge.apply_list("etcd", "c2", 5, [entry(), entry("b")])  # nor does the next list
    assert state(merge) is DRAINING
    merge.apply_changes("etcd", "c2", 6, [("a", entry())])  # a word of its own does
    assert state(merge) is READY
    merge.apply_changes("etcd", "c2", 7, [("b", entry("b", DRAINING))])
    merge.apply_list("etcd", "c3", 1, [entry(), entry("b", born_ms=9)])  # and a later start
    assert state(merge, "b") is READY


@pytest.mark.parametrize("left", [0, 4])
def test_a_list_that_leaves_out_most_is_not_believed_at_once(left: int) -> None:
    merge = MembershipMerge(["etcd"])
    names = [f"n{number}" for number in range(12)]
    merge.apply_list("etcd", "c1", 1, [entry(name) for name in names])
    rest = [entry(name) for name in names[:left]]
    rest[:1] = [entry("n0", DRAINING)] if rest else []
    merge.apply_list("etcd", "c1", 2, rest)
    assert len(merge.endpoints()) == 12 and state(merge, "n11") is READY
    assert not rest or state(merge, "n0") is DRAINING  # its drains count
    merge.apply_list("etcd", "c1", 3, rest)  # it says so again
    assert len(merge.endpoints()) == left


def test_a_list_that_leaves_out_a_few_is_believed() -> None:
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
def test_an_entry_that_can_t_be_used(value: bytes, part: str) -> None:
    with pytest.raises(EntryError) as found:
        parse_entry("a", value)
    assert part in str(found.value) and "\n" not in str(found.value) and len(str(found.value)) < 300


def test_an_entry() -> None:
    told = {
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
    found = parse_entry("a", json.dumps(told).encode())
    assert found == EndpointEntry("a", DRAINING, "10.1.0.18:3000", "10.1.0.18:3001", "a", "m2", 3, 0.5, 7)
    assert parse_entry("a", b'{"health": "terminated"}') == EndpointEntry("a", GONE)


NAMES = [f"n{number}" for number in range(4)]
STATES = st.sampled_from([READY, READY, DRAINING])


def test_a_start_told_by_a_source_that_has_lost_its_opinion_still_ends_an_older_drain() -> None:
    merge = MembershipMerge(["etcd", "roster"])
    nodes = [entry(f"n{number}") for number in range(10)]
    merge.apply_list("etcd", "c1", 1, nodes)
    merge.apply_list("roster", "", 1, nodes)
    merge.apply_changes("roster", "", 2, [("n0", entry("n0", DRAINING))])
    merge.apply_changes("etcd", "c1", 2, [("n0", entry("n0", born_ms=6))])
    for revision in (3, 4):
        merge.apply_list("etcd", "c1", revision, [])
    assert state(merge, "n0") is READY and state(merge, "n1") is READY


class Sources(RuleBasedStateMachine):
    """Two sources in any order, with old answers, restored clusters and restarts. What is asserted is kept in
    plain words beside: who has drained what and has not taken it back."""

    @initialize()
    def begin(self) -> None:
        self.merge = MembershipMerge(["one", "two"])
        self.epoch = {"one": 1, "two": 1}
        self.revision = {"one": 0, "two": 0}
        self.born = dict.fromkeys(NAMES, 1)
        self.drains: dict[tuple[str, str], int] = {}  # by whom, whom: the start that was drained
        for source in self.epoch:
            self.merge.apply_list(source, "1", 0, [entry(name, born_ms=1) for name in NAMES])

    @rule(source=st.sampled_from(["one", "two"]), name=st.sampled_from(NAMES), told=STATES)
    def change(self, source: str, name: str, told: UpstreamState) -> None:
        self.revision[source] += 1
        self.merge.apply_changes(
            source,
            str(self.epoch[source]),
            self.revision[source],
            [(name, entry(name, told, self.born[name]))],
        )
        if told is DRAINING:
            self.drains[source, name] = self.born[name]
        else:
            self.drains.pop((source, name), None)

    @rule(source=st.sampled_from(["one", "two"]), name=st.sampled_from(NAMES))
    def restart(self, source: str, name: str) -> None:
        self.born[name] += 1
        self.change(source, name, READY)

    @rule(source=st.sampled_from(["one", "two"]), back=st.integers(1, 5), name=st.sampled_from(NAMES))
    def old_answer(self, source: str, back: int, name: str) -> None:
        """A member that lags: a list and a change of before."""
        if self.revision[source] >= back:
            epoch, revision = str(self.epoch[source]), self.revision[source] - back
            assert self.merge.apply_list(source, epoch, revision, [entry(one) for one in NAMES]) == set()
            assert self.merge.apply_changes(source, epoch, revision, [(name, entry(name))]) == set()

    @rule(source=st.sampled_from(["one", "two"]))
    def restored(self, source: str) -> None:
        """Another cluster, that knows nothing of drains."""
        self.epoch[source] += 1
        self.revision[source] = 0
        self.merge.apply_list(
            source, str(self.epoch[source]), 0, [entry(name, born_ms=self.born[name]) for name in NAMES]
        )

    @rule(later=st.integers(0, 1))
    def empty(self, later: int) -> None:
        """Once or often, at the same revision or at newer ones: always of the same source."""
        self.revision["one"] += later
        self.merge.apply_list("one", str(self.epoch["one"]), self.revision["one"], [])

    @invariant()
    def a_drained_node_gets_nothing(self) -> None:
        if not hasattr(self, "drains"):
            return
        for (_, name), born in self.drains.items():
            if born == self.born[name]:
                assert state(self.merge, name) is not READY, name

    @invariant()
    def an_empty_answer_of_one_source_never_empties_the_fleet(self) -> None:
        if hasattr(self, "merge"):
            for name in NAMES:
                born = self.born[name]
                drained = any(self.drains.get((source, name)) == born for source in self.epoch)
                assert drained or state(self.merge, name) is READY, name


TestSources = Sources.TestCase
TestSources.settings = hypothesis_settings(max_examples=60, stateful_step_count=30, deadline=None)
