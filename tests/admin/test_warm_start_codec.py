"""What one process leaves to the next: believed for a moment, never when torn, old or of another start."""

from __future__ import annotations

import hashlib
import random
import threading
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar_proxy.admin import warm_start_codec as remembered
from sidecar_proxy.admin.warm_start_codec import UntrustedStateError, believe, decode, encode
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.events import (
    AttemptEnded,
    ListKind,
    Outcome,
    RequestArrived,
    Send,
    Upstream,
    UpstreamsUpdated,
    WarmStartState,
    WarmStartUpstream,
)
from tests.admin.rig import Doored
from tests.admin.test_hot_restart import platform
from tests.balancer.world import START_US, upstreams
from tests.balancer.world import settings as world_settings
from tests.sockets import Upstream as Node
from tests.sockets import answer, eventually

CLASSES = ["read", "pay", "mark"]
NAMES = {number: f"node-{number}" for number in range(100, 106)}
NUMBERS = {name: number for number, name in NAMES.items()}
BORN = dict.fromkeys(NAMES, 7)
TOLD = WarmStartState(
    [40_000.0, 30_000.0, 0.0],
    1.5,
    [WarmStartUpstream(100, 1 / 64, 0.9, 1_000.0), WarmStartUpstream(101, 4.0, 0.0, 20_000.0)],
)
LEFT = encode(TOLD, START_US, CLASSES, NAMES, BORN)


def test_what_is_left_comes_back_and_counts_ever_less_with_age() -> None:
    found = decode(LEFT)
    assert believe(found, START_US + remembered.SURE_US, CLASSES, NUMBERS, BORN) == TOLD
    half = (remembered.SURE_US + remembered.WORTHLESS_US) // 2
    older = believe(found, START_US + half, CLASSES, NUMBERS, BORN)
    assert [one.concurrency_limit for one in older.upstreams] == [1 + (1 / 64 - 1) / 2, 2.5]
    assert older.upstreams[0].failure_rate == 0.45 and older.response_times_us == [0.0] * 3
    for age_us in (remembered.WORTHLESS_US, -2 * remembered.SKEW_US):
        with pytest.raises(UntrustedStateError):
            believe(found, START_US + age_us, CLASSES, NUMBERS, BORN)


def test_upstreams_that_started_anew_or_are_not_known_are_left_out() -> None:
    left = believe(decode(LEFT), START_US, CLASSES, {"node-101": 5}, {5: 7, 100: 7})
    assert [one.upstream for one in left.upstreams] == [5]
    assert not believe(decode(LEFT), START_US, CLASSES, NUMBERS, dict.fromkeys(NAMES, 8)).upstreams


@given(st.integers(0, len(LEFT) - 1), st.integers(1, 255), st.booleans(), st.binary(max_size=200))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_torn_or_foreign_bytes_are_told_apart_and_nothing_else_happens(
    at: int, change: int, cut: bool, foreign: bytes
) -> None:
    torn = LEFT[:at] if cut else LEFT[:at] + bytes([LEFT[at] ^ change]) + LEFT[at + 1 :]
    body = hashlib.blake2b(foreign, digest_size=16).hexdigest().encode() + b"\n" + foreign
    for data in (torn, foreign, remembered.MAGIC + body, b"x" * (remembered.MOST_BYTES + 1)):
        with pytest.raises(UntrustedStateError):
            decode(data)


def drive(balancer: Balancer, count: int, ill: set[int], now_us: int) -> list[int]:
    """So many requests, one after the other, each attempt answered at once; returns where they were sent."""
    sent = []
    for request in range(1, count + 1):
        todo = balancer.handle(now_us, RequestArrived(request, now_us + 600_000, 1))
        while sends := [one for one in todo if isinstance(one, Send)]:
            now_us += 2_000
            sent.append(sends[0].upstream)
            outcome = Outcome.ERROR if sends[0].upstream in ill else Outcome.OK
            todo = balancer.handle(
                now_us, AttemptEnded(request, 0, sends[0].upstream, outcome, 2_000, outcome is Outcome.OK)
            )
        now_us += 5_000
    return sent


def fresh(seed: int, told: WarmStartState | None = None, list_: list[Upstream] | None = None) -> Balancer:
    balancer = Balancer(world_settings(), seed, START_US)
    balancer.handle(START_US, UpstreamsUpdated(ListKind.FULL, list_ or upstreams(6)))
    if told is not None:
        balancer.handle(START_US, told)
    return balancer


def test_a_successor_does_not_learn_the_ill_upstreams_anew_and_learns_when_they_are_well() -> None:
    ill, began = {100, 101}, []
    for seed in range(20):
        old = fresh(seed)
        drive(old, 400, ill, START_US)
        learnt = old.learnt()
        counts = [
            sum(one in ill for one in drive(fresh(seed + 100, told), 60, ill, START_US + 4_000_000))
            for told in (None, learnt)
        ]
        began.append(counts)
        well = drive(fresh(seed + 100, learnt), 2_000, set(), START_US + 4_000_000)
        assert sum(one in ill for one in well[-500:]) > 60  # of 167 were all alike
    without, with_ = (sum(column) for column in zip(*began, strict=True))
    assert with_ <= without / 2, (without, with_)


@given(st.floats(-1e9, 1e9), st.floats(-5, 5), st.floats(-1e9, 1e12), st.integers(0, 2**32))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_nothing_that_is_told_opens_more_than_own_experience_or_shuts_an_upstream_for_good(
    window: float, failing: float, answer_us: float, seed: int
) -> None:
    told = WarmStartState(
        [0.0] * 9, window, [WarmStartUpstream(n, window, failing, answer_us) for n in range(99, 108)]
    )
    cold = [Upstream(105, zone=2, cell=2, started_us=START_US)]  # rule 4
    balancer = fresh(seed, told, upstreams(5) + cold)
    out: dict[int, int] = {}
    for request in range(1, 200):
        for one in balancer.handle(START_US + request, RequestArrived(request, START_US + 600_000, 1)):
            if isinstance(one, Send):
                out[one.upstream] = out.get(one.upstream, 0) + 1
    assert max(out.values(), default=0) <= 8 * 2 and out.get(105, 0) <= 1
    sent = drive(fresh(seed, told, upstreams(6)), 300, set(), START_US + 1_000)
    assert len(sent) > 100 and len(set(sent)) > 3


def test_a_real_successor_takes_it_over_and_a_torn_file_costs_one_line() -> None:
    dice, lock = random.Random(4), threading.Lock()

    def fails(*_: object) -> bytes:
        with lock:
            return answer(b"", "500 Internal Server Error") if dice.random() < 0.9 else answer(b"ok")

    with (
        Node() as well,
        Node() as other,
        Node(script=fails) as ill,
        platform() as (listener, folder),
        Doored([well, other, ill], folder, listener=listener) as old,
    ):
        for _ in range(60):
            old.request("GET", "/read/7")
        asked = len(ill.requests)
        with Doored([well, other, ill], folder, listener=listener) as new:
            line = "sidecar_proxy: takes over what was learnt of 3 upstreams"
            eventually(lambda: line in new.lines)
            assert old.stop() == 0
            for _ in range(60):
                new.request("GET", "/read/7")
            assert len(ill.requests) - asked <= asked
            path = Path(folder) / "wickspread" / "remembered"
            assert path.stat().st_size < 400
            with Doored(
                [well, other, ill], folder, listener=listener, env={"TMPDIR": folder + "/none"}
            ) as third:  # nobody is there to leave it anything
                assert not [one for one in third.lines if "takes over" in one]
