"""Who votes: rules that hold in every case, and that it comes to rest."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.consensus.voters import Candidate, Look, majority

REPLACE_US = 60_000_000


def look(
    there: list[Candidate], voters: tuple[str, ...], away: dict[str, int], answered: set[str], wanted: int
) -> Look:
    return Look("s0#0", voters, {one.name: one for one in there}, away, answered, wanted, REPLACE_US)


@st.composite
def fleets(draw: st.DrawFn) -> tuple[list[Candidate], tuple[str, ...], dict[str, int], set[str], int]:
    """Sidecars, some of another incarnation than the voter of that name, some away, some without the log."""
    there = [
        Candidate(f"s{n}#{draw(st.integers(0, 1))}", f"s{n}", f"site{n % 3}", draw(st.booleans()))
        for n in draw(st.sets(st.integers(1, 8), max_size=7))
    ]
    me = Candidate("s0#0", "s0", "site0", True)
    others = draw(st.sets(st.sampled_from([f"s{n}#0" for n in range(1, 9)]), max_size=5))
    voters = ("s0#0", *sorted(others))
    away = {node: draw(st.sampled_from([0, REPLACE_US // 2, REPLACE_US, 2 * REPLACE_US])) for node in others}
    answered = {node for node in others if draw(st.booleans()) and away[node] < REPLACE_US}
    return [me, *there], voters, away, answered, draw(st.sampled_from([1, 3, 5]))


@given(fleets())
def test_one_at_a_time_never_the_leader_and_always_with_a_quorum_of_the_next(
    fleet: tuple[list[Candidate], tuple[str, ...], dict[str, int], set[str], int],
) -> None:
    there, voters, away, answered, wanted = fleet
    found = look(there, voters, away, answered, wanted).next_voters()
    if found is None:
        return
    assert len(set(found) ^ set(voters)) == 1 and "s0#0" in found and len(set(found)) == len(found)
    well = [node for node in found if node == "s0#0" or node in answered]
    new = set(found) - set(voters)
    assert len(well) + (len(new) if len(voters) == 1 else 0) >= majority(len(found))
    for node in new:
        assert len(found) <= wanted
        assert [one for one in there if one.node == node][0].proven


@given(fleets())
def test_it_comes_to_rest_with_as_many_as_are_wanted_where_they_are_there(
    fleet: tuple[list[Candidate], tuple[str, ...], dict[str, int], set[str], int],
) -> None:
    """Everybody who is there answers; voters that are not there have been away for long."""
    there, voters, _, _, wanted = fleet
    nodes = {one.node for one in there}
    for _ in range(20):
        away = {node: 0 if node in nodes else 2 * REPLACE_US for node in voters}
        found = look(there, voters, away, nodes, wanted).next_voters()
        if found is None:
            break
        voters = found
    else:
        raise AssertionError("it never rests")
    has = [one for one in there if one.proven or one.node in voters]
    here = sum(node in nodes for node in voters)
    if here >= majority(len(voters)) and len(voters) - here <= 1:
        assert len(voters) >= min(wanted, len(has)) and (here == len(voters) or here <= wanted)


def test_a_site_that_has_none_gets_the_next() -> None:
    there = [Candidate(f"s{n}#0", f"s{n}", f"site{n // 2}", True) for n in range(6)]
    voters: tuple[str, ...] = ("s0#0",)
    while found := look(there, voters, {}, {one.node for one in there}, 3).next_voters():
        voters = found
    assert voters == ("s0#0", "s2#0", "s4#0")
