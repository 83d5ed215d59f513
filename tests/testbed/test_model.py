"""The nodes' machine, and the script of faults."""

from __future__ import annotations

import random

import pytest

from sidecar_proxy.testbed.capacity import Capacity, Machine
from sidecar_proxy.testbed.fault_schedule import Fault, ScriptError, read
from sidecar_proxy.testbed.upstreams import MOST_NODES, address_of

S = 1_000_000
PLAIN = Machine(spread=0.0)


def play(machine: Machine, rate: float, seconds: float) -> tuple[int, int, int]:
    """Jobs given, done, turned away, in virtual time."""
    capacity, dice = Capacity(machine, 1, 0, warm=True), random.Random(1)
    at, given, done, away = 0.0, 0, 0, 0
    ends: list[tuple[float, str]] = []
    while at < seconds * S:
        at += dice.expovariate(rate) * S
        for end, job in sorted(one for one in ends if one[0] <= at):
            ends.remove((end, job))
            done += capacity.end(job)
            ends += [(end + time, begun) for begun, time in capacity.begin(int(end))]
        given += 1
        if capacity.offer(int(at), str(given), capacity.draw_work()):
            ends += [(at + time, begun) for begun, time in capacity.begin(int(at))]
        else:
            away += 1
    return given, done, away


def test_a_node_serves_what_its_cores_can_and_turns_away_the_rest() -> None:
    can = PLAIN.cores * S / PLAIN.work_us
    given, done, away = play(PLAIN, can * 0.7, 20)
    assert away == 0 and done > 0.98 * given
    given, done, away = play(PLAIN, can * 2, 20)
    assert away > 0.4 * given and done < can * 20 * 1.02


def test_it_chokes_where_too_many_wait() -> None:
    can = PLAIN.cores * S / PLAIN.work_us
    calm = play(PLAIN, can * 0.7, 30)[1] / 30
    choked = play(PLAIN, can * 3, 30)[1] / 30
    assert choked < 0.6 * calm


def test_the_mean_of_the_work_is_as_stated() -> None:
    capacity = Capacity(Machine(spread=0.6), 4, 0, True)
    works = [capacity.draw_work() for _ in range(20_000)]
    assert 0.97 < sum(works) / len(works) / 20_000 < 1.03


def test_a_cold_node_is_slower_and_warms_up() -> None:
    capacity = Capacity(PLAIN, 1, 0, warm=False)
    assert capacity.offer(0, "a", 20_000) and capacity.begin(0) == [("a", 50_000)]
    assert capacity.end("a") and not capacity.end("a")
    assert capacity.offer(6 * S, "b", 20_000) and capacity.begin(6 * S) == [("b", 20_000)]


def test_a_cold_node_that_is_given_too_much_falls_and_a_warm_one_does_not() -> None:
    can = PLAIN.cores * S / PLAIN.work_us
    for warm in (False, True):
        capacity = Capacity(PLAIN, 1, 0, warm)
        for n in range(int(can * 8)):
            capacity.offer(n * S // int(can * 8), str(n), PLAIN.work_us)
        assert capacity.fallen is not warm
    assert not capacity.give_up("none")


def test_what_is_given_up_before_it_began_is_not_run() -> None:
    capacity = Capacity(PLAIN, 1, 0, True)
    for job in "abc":
        capacity.offer(0, job, 20_000)
    assert [job for job, _ in capacity.begin(0)] == ["a", "b"]
    assert capacity.give_up("c") and not capacity.give_up("a")
    capacity.end("a")
    assert capacity.begin(1) == []


def test_every_node_has_an_address_of_its_own_on_loopback() -> None:
    found = {address_of(number) for number in range(MOST_NODES)}
    assert len(found) == MOST_NODES and "127.0.0.1" not in found
    assert all(
        one.startswith("127.") and all(0 <= int(part) <= 255 for part in one.split(".")) for one in found
    )


@pytest.mark.parametrize("changes", [{"cores": 0}, {"queue": -1}, {"cold_share": 0.0}, {"spread": -1.0}])
def test_an_impossible_machine_is_told(changes: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="must be above 0"):
        Machine(**changes)  # type: ignore[arg-type]


def test_a_script_is_read() -> None:
    text = (
        '[[fault]]\nkind = "slow"\nat_s = 3\nsize = 4.0\nsite = "pasig"\n'
        '[[fault]]\nkind = "drain"\nat_s = 1\n'
    )
    assert read(text) == [Fault("slow", 3.0, size=4.0, site="pasig"), Fault("drain", 1.0)]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("x", "not TOML"),
        ("a = 1", "a: unknown"),
        ("fault = 3", "fault: expected"),
        ("fault = [3]", "fault 1: expected"),
        ("[[fault]]", "fault 1: kind is missing"),
        ('[[fault]]\nkind = "slow"', "fault 1: at_s is missing"),
        ('[[fault]]\nkind = "odd"\nat_s = 1', "fault 1: kind: expected one of"),
        ('[[fault]]\nkind = "slow"\nat_s = -1', "fault 1: at_s: expected 0 to"),
        ('[[fault]]\nkind = "slow"\nat_s = nan', "fault 1: at_s: expected 0 to"),
        ('[[fault]]\nkind = "slow"\nat_s = true', "fault 1: at_s: expected a float"),
        ('[[fault]]\nkind = "lost"\nat_s = 1\nsize = 2', "fault 1: size: expected a share"),
        ('[[fault]]\nkind = "lost"\nat_s = 1\ncolour = 2', "fault 1: colour: unknown key"),
        ('[[fault]]\nkind = "lost"\nat_s = 1\n' * 1001, "fault: expected at most 1000"),
    ],
)
def test_a_bad_script_is_told_in_one_line_that_names_the_key(text: str, said: str) -> None:
    with pytest.raises(ScriptError) as caught:
        read(text)
    assert str(caught.value).startswith(said) and "\n" not in str(caught.value)
