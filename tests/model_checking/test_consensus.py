"""The search over consensus: nothing is found in the core, and three planted bugs are, with their stories."""

from __future__ import annotations

from sidecar_proxy.consensus import raft as consensus
from sidecar_proxy.consensus.messages import HardState
from sidecar_proxy.consensus.raft import RaftCore
from sidecar_proxy.model_checking.consensus import SEARCHES, Bounds, run


class Forgets(RaftCore):
    """Planted: a vote is not written."""

    def ready(self) -> consensus.Ready:
        ready = super().ready()
        self.persisted_hard_state = HardState(self.term, "")
        return ready


class Counts(RaftCore):
    """Planted: an entry of an earlier term is committed by count (5.4.2)."""

    def advance_commit_index(self) -> None:
        if not self.is_leader:
            return
        has = sorted(
            (
                self.log.last_index if node == self.node_id else self.progress[node].match_index
                for node in self.voters
            ),
            reverse=True,
        )
        self.commit_index = max(self.commit_index, has[self.quorum_size() - 1])


def test_nothing_is_found_within_small_bounds_that_are_searched_whole() -> None:
    found = run(Bounds(terms=1, proposals=0, restarts=1), 200_000)
    assert found.whole and not found.breach, str(found)
    found = run(Bounds(terms=1, proposals=0, restarts=0, wipes=1), 200_000)
    assert found.whole and not found.breach, str(found)


def test_nothing_is_found_in_the_first_states_of_larger_ones() -> None:
    for bounds in SEARCHES.values():
        found = run(bounds, 4_000)
        assert not found.breach, str(found)


def test_a_vote_that_is_not_kept_is_found() -> None:
    found = run(Bounds(terms=1, proposals=0, restarts=1), 200_000, Forgets)
    assert "election safety" in found.breach, str(found)
    assert any("starts anew" in step for step in found.story)


def test_a_wiped_voter_that_votes_again_is_found() -> None:
    found = run(Bounds(terms=1, proposals=0, restarts=0, wipes=1, same_name=True), 200_000)
    assert "election safety" in found.breach, str(found)
    assert any("lost its disk" in step for step in found.story)


def test_a_commit_of_an_earlier_term_by_count_is_found() -> None:
    """Figure 3.7 of the thesis: begun as it begins, and searched from there."""
    begun = [
        "a stands",
        "b hears VoteRequest of a, term 1",
        "a hears VoteReply of b, term 1",  # a leads: 1
        "b stands",
        "c hears VoteRequest of b, term 2",
        "b hears VoteReply of c, term 2",  # b leads: 2
        "a hears VoteRequest of b, term 2",
        "a stands",
        "c hears VoteRequest of a, term 3",
        "a hears VoteReply of c, term 3",
        "c hears Append of a, term 3 (prev_index 1",
        "a hears AppendReply of c, term 3 (ok False",
        "c hears Append of a, term 3 (prev_index 0",
        "a hears AppendReply of c, term 3 (ok True, match 1)",
    ]
    bounds = Bounds(terms=4, proposals=0, restarts=0)
    was, consensus.MAX_APPEND_ENTRIES = consensus.MAX_APPEND_ENTRIES, 1
    try:
        found = run(bounds, 60_000, Counts, begun)
        assert "leader completeness" in found.breach, str(found)
        assert not run(bounds, 10_000, RaftCore, begun).breach
    finally:
        consensus.MAX_APPEND_ENTRIES = was
