"""The planned changes of the voters keep a quorum, and end when the configured number is reached."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.consensus.voters import Candidate, VoterPlanner, majority

REPLACE_AFTER_US = 60_000_000
LEADER = "s0#0"


def create_planner(
    candidates: list[Candidate],
    voters: tuple[str, ...],
    silent_us: dict[str, int],
    responsive: set[str],
    target_count: int,
) -> VoterPlanner:
    by_name = {candidate.name: candidate for candidate in candidates}
    return VoterPlanner(LEADER, voters, by_name, silent_us, responsive, target_count, REPLACE_AFTER_US)


@dataclass(frozen=True)
class FleetCase:
    """What a leader knows of the voters and the other sidecars."""

    candidates: list[Candidate]
    voters: tuple[str, ...]
    silent_us: dict[str, int]
    responsive: set[str]
    target_count: int


@st.composite
def fleet_cases(draw: st.DrawFn) -> FleetCase:
    """Some sidecars have another incarnation than the voter of their name, are absent or lack the log."""
    others = [
        Candidate(f"s{n}#{draw(st.integers(0, 1))}", f"s{n}", f"site{n % 3}", draw(st.booleans()))
        for n in draw(st.sets(st.integers(1, 8), max_size=7))
    ]
    leader = Candidate(LEADER, "s0", "site0", True)
    other_voters = draw(st.sets(st.sampled_from([f"s{n}#0" for n in range(1, 9)]), max_size=5))
    times_us = st.sampled_from([0, REPLACE_AFTER_US // 2, REPLACE_AFTER_US, 2 * REPLACE_AFTER_US])
    silent_us = {node: draw(times_us) for node in other_voters}
    responsive = {node for node in other_voters if draw(st.booleans()) and silent_us[node] < REPLACE_AFTER_US}
    voters = (LEADER, *sorted(other_voters))
    target_count = draw(st.sampled_from([1, 3, 5]))
    return FleetCase([leader, *others], voters, silent_us, responsive, target_count)


@given(fleet_cases())
def test_each_change_adds_or_removes_one_voter_and_keeps_the_leader_and_a_quorum(case: FleetCase) -> None:
    voters = create_planner(
        case.candidates, case.voters, case.silent_us, case.responsive, case.target_count
    ).next_voters()
    if voters is None:
        return
    assert len(set(voters) ^ set(case.voters)) == 1
    assert LEADER in voters
    assert len(set(voters)) == len(voters)
    responsive = [node for node in voters if node == LEADER or node in case.responsive]
    added = set(voters) - set(case.voters)
    added_count = len(added) if len(case.voters) == 1 else 0
    assert len(responsive) + added_count >= majority(len(voters))
    for node in added:
        assert len(voters) <= case.target_count
        candidate = next(candidate for candidate in case.candidates if candidate.node == node)
        assert candidate.is_caught_up


@given(fleet_cases())
def test_changes_end_with_the_configured_number_of_voters_if_they_are_present(case: FleetCase) -> None:
    """Every sidecar that is present responds; absent voters have been silent for longer than the limit."""
    voters = case.voters
    present = {candidate.node for candidate in case.candidates}
    for _ in range(20):
        silent_us = {node: 0 if node in present else 2 * REPLACE_AFTER_US for node in voters}
        next_voters = create_planner(
            case.candidates, voters, silent_us, present, case.target_count
        ).next_voters()
        if next_voters is None:
            break
        voters = next_voters
    else:
        raise AssertionError("the voters change without end")
    eligible = [
        candidate for candidate in case.candidates if candidate.is_caught_up or candidate.node in voters
    ]
    present_count = sum(node in present for node in voters)
    if present_count >= majority(len(voters)) and len(voters) - present_count <= 1:
        assert len(voters) >= min(case.target_count, len(eligible))
        assert present_count == len(voters) or present_count <= case.target_count


def test_candidate_of_a_site_without_voters_is_added_first() -> None:
    candidates = [Candidate(f"s{n}#0", f"s{n}", f"site{n // 2}", True) for n in range(6)]
    nodes = {candidate.node for candidate in candidates}
    voters: tuple[str, ...] = (LEADER,)
    while next_voters := create_planner(candidates, voters, {}, nodes, 3).next_voters():
        voters = next_voters
    assert voters == (LEADER, "s2#0", "s4#0")
