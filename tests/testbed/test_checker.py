"""The checker finds each breach in a ledger that has it, and none in one that hasn't."""

from __future__ import annotations

import io
import random

import pytest

from sidecar_proxy.testbed.checker import Bounds, Kind, capacity_us, check, table
from sidecar_proxy.testbed.history import (
    Answered,
    Asked,
    Faulted,
    Fell,
    Held,
    Ledger,
    LedgerError,
    Quit,
    Ran,
    Received,
    Record,
    Started,
    Told,
    read,
)

MS = 1000
S = 1_000_000
BOUNDS = Bounds(
    {
        "buy": Kind("at_most_once"),
        "topup": Kind("deduplicated", "cell", 8 * S),
        "mark": Kind("deduplicated", "all", 8 * S),
        "read": Kind("idempotent"),
        "send": Kind("deduplicated", "zone", 8 * S),
    }
)


def asked(kind: str = "buy", request: str = "r", operation: str = "o", at: int = 0, due: int = S) -> Asked:
    return Asked(at, request, operation, kind, "n0", due)


@pytest.mark.parametrize(
    ("held", "is_late"),
    [
        ([], True),
        ([Held(at_us=S + 600 * MS, from_us=S)], False),
        ([Held(at_us=S + 300 * MS, from_us=S), Held(at_us=S + 590 * MS, from_us=S + 310 * MS)], False),
        ([Held(at_us=S + 500 * MS, from_us=S)], True),  # the loop ran again 100 ms before the answer
        ([Held(at_us=S, from_us=0)], True),  # it was held up before the due time only
    ],
)
def test_an_answer_is_late_by_the_time_in_which_the_event_loop_ran(held: list[Held], is_late: bool) -> None:
    records: list[Record] = [asked(kind="read"), Answered(S + 600 * MS, "r", 504), *held]
    expected = ["r: answered 600 ms after its due time"] if is_late else []
    assert [breach.text for breach in check(records, BOUNDS)] == expected


def received(
    at: int,
    node: str = "a",
    request: str = "r",
    cell: int = 1,
    taken: bool = True,
    work: int = 20 * MS,
    site: str = "s",
) -> Received:
    return Received(at, at - 1, request, node, cell, taken, work, site)


def answered(at: int, status: int = 200, request: str = "r") -> Answered:
    return Answered(at, request, status)


def rules(*records: Record) -> list[int]:
    return [breach.rule for breach in check(records, BOUNDS)]


GOOD: list[list[Record]] = [
    [asked(), received(5 * MS), Ran(6 * MS, "r", "a"), answered(30 * MS)],
    [asked(), answered(5 * MS, 503)],
    [asked(), received(5 * MS, taken=False), received(9 * MS, "b"), answered(30 * MS)],
    [asked(), received(5 * MS), answered(S, 502)],
    [asked(), received(5 * MS), Quit(50 * MS, "r")],
    [asked("topup"), received(5 * MS), received(90 * MS, "b"), answered(200 * MS)],
    [asked("topup"), received(5 * MS, taken=False), received(90 * MS, "b", cell=2), answered(200 * MS)],
    [asked("mark"), received(5 * MS), received(90 * MS, "b", cell=2), answered(200 * MS, 503)],
    [asked("send"), received(5 * MS), received(90 * MS, "b", cell=2), answered(200 * MS)],
    [asked("read"), received(5 * MS), received(90 * MS, "b", cell=2), answered(200 * MS, 503)],
    [
        asked(),
        answered(5 * MS, 503),
        asked(request="r2", at=90 * MS, due=2 * S),
        received(99 * MS, request="r2"),
        answered(120 * MS, request="r2"),
    ],
    [Told(0, "n0", "a", "terminating"), asked(at=S, due=3 * S), received(S + 5 * MS), answered(S + 9 * MS)],
    [
        Told(0, "n0", "a", "terminating"),
        Told(S, "n0", "a", "in_service"),
        asked(at=5 * S, due=6 * S),
        received(5 * S + MS),
        answered(5 * S + 9 * MS),
    ],
    [
        Told(0, "n1", "a", "terminating"),
        asked(at=5 * S, due=6 * S),
        received(5 * S + MS),
        answered(5 * S + 9 * MS),
    ],
    [Faulted(1, "x"), Fell(2, "a")],
]

BAD: list[tuple[int, list[Record]]] = [
    (1, [asked()]),
    (1, [asked(), answered(5 * MS, 0)]),
    (1, [asked(), received(MS), answered(5 * MS), answered(6 * MS)]),
    (1, [asked(), answered(S + 51 * MS, 503)]),
    (1, [asked(), answered(5 * MS)]),  # served by nobody
    (1, [asked(), answered(5 * MS, 503), received(56 * MS + 2)]),
    (1, [asked(), received(MS), Quit(5 * MS, "r"), received(56 * MS + 2, "a", taken=False)]),
    (1, [received(MS)]),
    (2, [asked(), received(5 * MS), received(20 * MS, "b"), answered(60 * MS)]),
    (2, [asked(), received(5 * MS), answered(20 * MS, 503)]),
    (2, [asked(), received(5 * MS), answered(20 * MS, 429)]),
    (2, [asked("topup"), received(5 * MS), answered(20 * MS, 503)]),
    (2, [asked("topup"), received(5 * MS), received(9 * MS, "b", cell=2), answered(60 * MS)]),
    (2, [asked("send"), received(5 * MS), received(9 * MS, "b", site="t"), answered(60 * MS)]),
    (2, [asked("send"), received(5 * MS), answered(20 * MS, 503)]),
    (2, [asked("topup", due=20 * S), received(5 * MS), received(8 * S + 57 * MS, "b"), answered(9 * S)]),
    (
        2,
        [
            asked(),
            received(5 * MS),
            answered(S, 502),
            asked(request="r2", at=S, due=2 * S),
            received(S + 5 * MS, request="r2"),
            answered(S + 9 * MS, request="r2"),
        ],
    ),
    (
        3,
        [
            Told(0, "n0", "a", "terminating"),
            asked(at=3 * S, due=4 * S),
            received(3 * S + MS),
            answered(3 * S + 9 * MS),
        ],
    ),
    (
        3,
        [
            Told(0, "n0", "a", "terminating"),
            Told(2 * S, "n0", "a", "terminated"),
            asked(at=3 * S, due=4 * S),
            received(3 * S + MS, taken=False),
            answered(3 * S + 9 * MS, 503),
        ],
    ),
]


@pytest.mark.parametrize("records", GOOD, ids=range(len(GOOD)))
def test_what_is_allowed_is_no_breach(records: list[Record]) -> None:
    assert check(records, BOUNDS) == []


@pytest.mark.parametrize(("rule", "records"), BAD, ids=range(len(BAD)))
def test_each_breach_is_found(rule: int, records: list[Record]) -> None:
    assert rule in rules(*records)


@pytest.mark.parametrize(("rule", "records"), BAD, ids=range(len(BAD)))
def test_the_order_of_the_records_does_not_matter(rule: int, records: list[Record]) -> None:
    mixed = list(records)
    random.Random(3).shuffle(mixed)
    found, again = check(records, BOUNDS), check(mixed, BOUNDS)
    assert [(one.rule, one.text) for one in again] == [(one.rule, one.text) for one in found]


def storm(count: int, work: int, begin: int = 0) -> list[Record]:
    """Work that one cold node is given, evenly over a second."""
    found: list[Record] = [Started(begin, "a", 2, 0.25, 10 * S)]
    for n in range(count):
        at, name = begin + n * S // count, f"r{begin}-{n}"
        found += [
            Asked(at, name, name, "read", "n0", at + S),
            received(at, request=name, work=work),
            Answered(at + 9 * MS, name, 200),
        ]
    return found


def test_a_cold_node_given_more_than_its_multiple_is_found_and_one_given_less_is_not() -> None:
    can = 2.5 * capacity_us(Started(0, "a", 2, 0.25, 10 * S), -S, S) + BOUNDS.burst_us
    assert 2_900_000 < can < 3_100_000  # 2 cores, a quarter warm, 2 s, two and a half times, and 0.4 s
    assert rules(*storm(100, int(can * 0.9 / 100))) == []
    assert rules(*storm(100, int(can * 1.1 / 100))) == [4]


def test_each_start_of_a_node_is_judged_by_itself() -> None:
    assert rules(*storm(100, 20 * MS), *storm(100, 40 * MS, 20 * S)) == [4]
    assert rules(*storm(100, 40 * MS), *storm(100, 40 * MS, 20 * S)) == [4, 4]


def test_the_capacity_of_a_node_grows_evenly() -> None:
    start = Started(0, "a", 2, 0.5, 10 * S)
    assert capacity_us(start, 0, 10 * S) == pytest.approx(2 * 0.75 * 10 * S)
    assert capacity_us(start, 10 * S, 12 * S) == pytest.approx(2 * 2 * S)
    assert capacity_us(start, -S, 0) == pytest.approx(2 * 0.5 * S)


def test_the_table_counts_by_class() -> None:
    rows = table(
        [
            asked(),
            received(MS),
            answered(40 * MS),
            asked(request="x"),
            answered(50 * MS, 503, "x"),
            asked(request="y"),
            answered(50 * MS, 502, "y"),
            asked("read", "z"),
            Quit(9, "z"),
        ]
    )
    buy, reading = rows
    assert (buy.asked, buy.served, buy.refused, buy.failed, buy.attempts) == (3, 1, 1, 1, 1)
    assert buy.percentile_ms(0.5) == 40.0 and (reading.asked, reading.quit) == (1, 1)


def test_a_ledger_is_read_back_as_it_was_written() -> None:
    ledger = Ledger()
    for record in [one for records in GOOD for one in records] + storm(2, 5):
        ledger.add(record)
    file = io.StringIO()
    ledger.write(file)
    assert read(file.getvalue().splitlines()).records == ledger.records


@pytest.mark.parametrize(
    "line",
    [
        "",
        "{}",
        "[]",
        '["Asked"]',
        '["Nothing",1]',
        '["Quit",1,2]',
        '["Quit",true,"r"]',
        '["Quit","1","r"]',
        "[" * 100_000,
        '["Received",1,1,"r","n",1,1,5]',
    ],
)
def test_a_line_that_is_no_record_is_told_with_its_number(line: str) -> None:
    with pytest.raises(LedgerError, match="line 2 is no record"):
        read(['["Quit",1,"r"]', line])
