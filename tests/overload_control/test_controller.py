"""One line for all, storms and times to come back: pure, with words made by hand."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.overload_control.controller import Broadcast, FleetBudgets, OverloadController, SendMessage
from sidecar_proxy.overload_control.messages import TOTAL_PARTS, LeaseRecord, Report, Work
from sidecar_proxy.overload_control.retry_storm import END_US, KEEP_US, Promises, Storm, return_us
from sidecar_proxy.overload_control.shedding_threshold import STAKE, Line, line

WORTHS = (10.0, 8.0, 1.0)


def report(
    index: int,
    demand: float = 30.0,
    served: float = 20.0,
    count: int = 6,
    easy: bool = False,
    loans: list[LeaseRecord] | None = None,
    returns: float = 0.0,
    number: int = 0,
) -> Report:
    """Alike demand in each of three classes, a tenth of a second of work each."""
    work = [
        Work(
            int(demand / 3 * 1000), int(returns / 3 * 1000), int(served / 3 * 1000), int(served / 3 * 100_000)
        )
        for _ in WORTHS
    ]
    return Report(index, number, True, TOTAL_PARTS // count, 0, 0, 1000, easy, 0, work, loans or [])


def fleet(**more: Report) -> dict[str, Report]:
    return {f"s{n}": report(n) for n in range(6)} | more


def found(reports: dict[str, Report], instances: int = 6) -> Line:
    told = line(reports, WORTHS, instances)
    assert told is not None
    return told


def test_the_dearest_class_is_kept_and_the_class_at_the_line_by_what_fits() -> None:
    told = found(fleet())
    assert told.kept[0] == 1.0 and 0.9 < told.kept[1] <= 1.0 and told.kept[2] < 0.1
    assert told.storm and told.sheds


def test_who_has_waited_goes_before_what_comes_anew_of_its_class() -> None:
    told = found({f"s{n}": report(n, returns=15.0) for n in range(6)})
    assert told.returning[1] == 1.0 and 0.0 < told.kept[1] < 1.0 and told.kept[2] == told.returning[2] == 0.0


def test_all_who_have_heard_the_same_have_one_line() -> None:
    told = fleet()
    mixed = dict(random.Random(1).sample(list(told.items()), len(told)))
    assert found(told) == found(mixed)


def test_with_less_than_half_of_the_weight_heard_there_is_no_line() -> None:
    assert line({"s0": report(0), "s1": report(1)}, WORTHS, 6) is None
    assert line({f"s{n}": report(n) for n in range(3)}, WORTHS, 6) is not None


def test_where_no_limit_is_seen_nothing_is_shed() -> None:
    assert not found({f"s{n}": report(n, easy=True) for n in range(6)}).sheds


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6))
def test_a_liar_moves_the_line_by_its_own_part_at_most(demand: float, served: float) -> None:
    honest = found(fleet())
    told = found(fleet(s3=report(3, demand=demand, served=served)))
    own_us = honest.demand_us / 6
    assert honest.demand_us - own_us * 1.01 <= told.demand_us <= honest.demand_us + own_us * (STAKE - 0.99)
    room = honest.room_us / 6
    assert honest.room_us - room * 1.01 <= told.room_us <= honest.room_us + room * (STAKE - 0.99)


def test_a_busy_sidecar_counts_by_what_others_say_that_they_have_lent_it() -> None:
    """Two thirds of the load at one of six; what it says itself of its weight counts nothing."""
    others = {
        f"s{n}": report(n, demand=12.0, served=8.0, loans=[LeaseRecord("s0", int(TOTAL_PARTS / 6 * 0.6))])
        for n in range(1, 6)
    }
    lent = found(others | {"s0": report(0, demand=120.0, served=80.0)})
    assert lent.demand_us == pytest.approx(18e6, rel=0.01)
    alone = {name: report(one.index, demand=12.0, served=8.0) for name, one in others.items()}
    unlent = found(alone | {"s0": report(0, demand=120.0, served=80.0)})
    assert unlent.demand_us < 8e6
    # hazard: a lender that says it has lent more than it owns
    shouts = alone | {"s1": report(1, demand=12.0, served=8.0, loans=[LeaseRecord("s0", TOTAL_PARTS)] * 8)}
    assert found(shouts | {"s0": report(0, demand=120.0, served=80.0)}).demand_us < 9e6


def test_two_that_say_one_number_share_one_weight() -> None:
    from sidecar_proxy.overload_control.shedding_threshold import weights

    told = weights(fleet(liar=report(3)), 6)
    assert sum(told.values()) <= TOTAL_PARTS and told["liar"] == told["s3"] == TOTAL_PARTS // 12


def test_the_cuts_number_is_that_of_most() -> None:
    assert found(fleet(s0=report(0, number=9))).number == 0
    assert found({f"s{n}": report(n, number=int(n < 4)) for n in range(6)}).number == 1


@given(st.binary(max_size=600))
def test_words_of_any_bytes_are_read_or_refused(data: bytes) -> None:
    try:
        words.read(data)
    except words.MessageError as error:
        assert "\n" not in str(error)


def test_a_word_of_a_newer_version_is_read_as_far_as_it_is_known() -> None:
    import msgspec

    told = msgspec.msgpack.decode(words.encode(words.LeaseRequest(7, 8, 9, 0)))
    assert words.read(words.encode([*told, "new"])) == words.LeaseRequest(7, 8, 9, 0)
    with pytest.raises(words.MessageError):
        words.read(words.encode([99, 1, 2]))


def test_a_storm_begins_after_half_a_second_and_ends_after_three_quiet_ones() -> None:
    storm, now_us = Storm(), 0
    changes = []
    for step in range(60):
        refused = 20.0 if 4 <= step < 20 else 0.0
        if storm.look(50.0, 0.0, refused, False, now_us):
            changes.append((step, storm.on))
        now_us += 250_000
    assert changes == [(6, True), (20 + END_US // 250_000, False)]
    assert not Storm().look(2.0, 2.0, 2.0, False, 0)  # too few to say anything


def test_a_promise_is_used_once_at_its_time_and_forgotten_after_a_while() -> None:
    told = Promises()
    told.note(7, 1_000_000)
    assert told.when(7, 500_000) == 1_000_000 == told.when(7, 600_000)  # too soon: it stands
    assert told.backlog(0) == 1
    assert told.when(7, 1_000_000) == 1_000_000 and told.when(7, 1_000_001) == 0
    told.note(8, 1_000_000)
    assert told.when(8, 1_000_001 + KEEP_US) == 0
    for key in range(30_000):
        told.note(key, 9_000_000)
    assert len(told.by_key) == 20_000


def test_times_to_come_back_follow_the_backlog_and_stay_within_the_settings() -> None:
    told = Line((1.0,), (1.0,), 0, 1e6, 2e6, 1e6, 10.0, True)
    assert return_us(told, 100_000, 100_000, 2_000_000) == pytest.approx(1_100_000)
    full = Line((0.1,), (1.0,), 0, 1e6, 1e6, 0.0, 10.0, True)
    assert return_us(full, 100_000, 100_000, 2_000_000) == 2_000_000
    assert return_us(None, 1e5, 100_000, 50_000) == 50_000


@dataclass
class Group:
    """Some members that hear each other at once."""

    members: list[OverloadController]
    now_us: int = 0

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 20)):
            self.now_us += 50_000
            for one in self.members:
                for told in one.tick(self.now_us):
                    self.pass_on(one, told)

    def pass_on(self, source: OverloadController, told: object) -> None:
        if isinstance(told, Broadcast):
            for other in self.members:
                for more in other.heard(source.name, told.report, self.now_us):
                    self.pass_on(other, more)
        elif isinstance(told, SendMessage):
            target = next(one for one in self.members if one.name == told.to)
            assert not isinstance(told.word, Report)
            for more in target.noted(source.name, told.word, self.now_us):
                self.pass_on(target, more)

    def weights(self) -> list[int]:
        return [one.escrow.weight(self.now_us) for one in self.members]


def group(count: int) -> Group:
    return Group(
        [
            OverloadController(f"s{n}", n, count, WORTHS, 2_000_000, FleetBudgets(), random.Random(n), 0)
            for n in range(count)
        ]
    )


def test_weight_goes_to_whom_the_load_comes_and_goes_back() -> None:
    told = group(4)

    def load(busy: int) -> None:
        for _ in range(200):
            told.run(0.05)
            for n, one in enumerate(told.members):
                for _ in range(8 if n == busy else 1):
                    one.arrived(0, 0, False, told.now_us)
                    one.served(0, 50_000)

    load(0)
    weights = told.weights()
    assert (
        weights[0] > TOTAL_PARTS // 2
        and sum(weights) <= TOTAL_PARTS
        and min(weights) >= TOTAL_PARTS // 4 // 4
    )
    load(2)
    weights = told.weights()
    assert weights[2] > TOTAL_PARTS // 2 and weights[0] < TOTAL_PARTS // 3 and sum(weights) <= TOTAL_PARTS


def test_who_has_been_stopped_spends_nothing_borrowed_once_it_wakes() -> None:
    told = group(2)
    for _ in range(100):
        told.run(0.05)
        for _ in range(10):
            told.members[0].arrived(0, 0, False, told.now_us)
    assert told.weights()[0] > TOTAL_PARTS // 2
    decided = told.members[0].decided
    assert decided is not None and decided.valid_until_us <= told.now_us + 3_000_000
    told.now_us += 5_000_000  # nobody gets any CPU
    assert told.weights()[0] == TOTAL_PARTS // 2 and decided.valid_until_us < told.now_us


def test_of_two_with_one_number_the_later_name_spends_nothing() -> None:
    told = group(3)
    twin = OverloadController("s9", 1, 3, WORTHS, 2_000_000, FleetBudgets(), random.Random(9), 0)
    told.members.append(twin)
    told.run(8.0)
    assert twin.escrow.barred and twin.escrow.weight(told.now_us) == 0 and sum(told.weights()) <= TOTAL_PARTS
    assert twin.decided is not None and twin.decided.budget_share == 0.0
    told.members.remove(told.members[1])
    told.run(8.0)
    assert (
        not twin.escrow.barred
        and isinstance(twin.decided, api.OverloadUpdated)
        and twin.decided.budget_share > 0.0
    )


def test_slots_at_cold_nodes_are_fewer_while_their_answers_queue_and_as_before_once_warm() -> None:
    one = OverloadController(
        "s0", 0, 1, WORTHS, 2_000_000, FleetBudgets(), random.Random(0), 0, slow_us=200_000
    )
    now_us = 0

    def play(took_us: int, warmth: float, seconds: float) -> float:
        nonlocal now_us
        for _ in range(int(seconds * 20)):
            now_us += 50_000
            one.arrived(0, 0, False, now_us)
            one.served(0, took_us)
            one.tick(now_us, warmth)
        assert one.decided is not None
        return one.decided.budget_share

    assert play(100_000, 1.0, 5.0) == 1.0
    assert play(250_000, 0.4, 5.0) == 1.0  # slow because it is cold, not for a queue
    assert 0.5 < play(400_000, 0.9, 10.0) < 0.6
    assert play(60_000, 0.9, 10.0) == 1.0
    assert play(400_000, 0.9, 10.0) < 0.6 and play(400_000, 1.0, 1.0) == 1.0
