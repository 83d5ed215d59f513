"""Who makes room at the limit of connections, over any order of arrivals, bytes and ends."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar_proxy.http1.admission import (
    IN_PROGRESS_GRACE_S,
    MAX_SHARE_WITHOUT_REQUEST,
    SILENT_GRACE_S,
    STARTED_GRACE_S,
    Admission,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "bytes", "whole", "answered", "gone", "room"]),
        st.integers(0, 11),
        st.sampled_from([0.0, 0.01, 0.06, 0.3, 0.8]),
    ),
    max_size=120,
)


@given(STEPS)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_what_comes_on_is_never_ended_and_nobody_goes_before_one_with_less_to_show(
    steps: list[tuple[str, int, float]],
) -> None:
    places: Admission[int] = Admission(12)
    state: dict[int, str] = {}  # a model of its own: what each connection has shown last, and when
    at: dict[int, float] = {}
    now = 0.0
    for what, one, wait in steps:
        now += wait
        if what == "accept" and one not in state:
            places.add(one, now)
            state[one], at[one] = "silent", now
        elif what == "bytes" and state.get(one) in ("silent", "begun", "writing", "idle"):
            places.mark_received_bytes(one, now)
            state[one], at[one] = "writing" if state[one] in ("begun", "writing") else "begun", now
        elif what == "whole" and one in state:
            places.remove(one)
            state[one] = "busy"
        elif what == "answered" and state.get(one) == "busy":
            told = places.mark_idle(one, now)
            state[one], at[one] = "idle", now
            resting = [other for other in state if state[other] == "idle"]
            assert told is None or (len(resting) > 6 and told == min(resting, key=lambda k: at[k]) != one)
        elif what == "gone" and one in state:
            places.remove(one)
            del state[one]
        elif what == "room":
            ended = list(places.eviction_candidates(now))
            kinds = [state[other] for other in ended]
            silent = [other for other in state if state[other] == "silent"]
            assert kinds == sorted(kinds, key=["silent", "idle", "begun", "writing"].index)
            assert all(now - at[other] >= SILENT_GRACE_S for other in ended if state[other] == "silent")
            assert all(now - at[other] >= IN_PROGRESS_GRACE_S for other in ended if state[other] == "writing")
            assert all(now - at[other] >= STARTED_GRACE_S for other in ended if state[other] == "begun")
            assert not (silent and "writing" in kinds)
            unasked = [other for other in state if state[other] in ("silent", "begun", "writing")]
            assert ("idle" in kinds) <= (len(unasked) < MAX_SHARE_WITHOUT_REQUEST * 12)
            # whoever may go is told: an accept that finds nobody waits
            assert {other for other in silent if now - at[other] > SILENT_GRACE_S} <= set(ended)
    assert set(places.without_request()) == {
        other for other in state if state[other] in ("silent", "begun", "writing")
    }
