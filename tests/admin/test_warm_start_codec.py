"""Warm-start state: used only for a short time, and never if it is damaged, old or of another incarnation."""

from __future__ import annotations

import hashlib
import random
import socket
import threading
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar_proxy.admin import warm_start_codec
from sidecar_proxy.admin.warm_start_codec import UntrustedStateError, decode, encode, restore
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
from tests.admin.admin_sidecar import AdminSidecar
from tests.balancer.harness import START_US, upstreams
from tests.balancer.harness import settings as balancer_settings
from tests.sockets import Upstream as UpstreamServer
from tests.sockets import answer, eventually

CLASS_NAMES = ["read", "pay", "mark"]
NAMES_BY_UPSTREAM = {number: f"node-{number}" for number in range(100, 106)}
UPSTREAMS_BY_NAME = {name: number for number, name in NAMES_BY_UPSTREAM.items()}
STARTED_US_BY_UPSTREAM = dict.fromkeys(NAMES_BY_UPSTREAM, 7)
STATE = WarmStartState(
    [40_000.0, 30_000.0, 0.0],
    1.5,
    [WarmStartUpstream(100, 1 / 64, 0.9, 1_000.0), WarmStartUpstream(101, 4.0, 0.0, 20_000.0)],
)
STORED = encode(STATE, START_US, CLASS_NAMES, NAMES_BY_UPSTREAM, STARTED_US_BY_UPSTREAM)


# Written by the version of 2026-12-02, before the names in the code changed.
STORED_BY_EARLIER_VERSION = b"wickspread-remembered 1 4a7466a95105b9948c5b4837627627e6\n" + bytes.fromhex(
    "94cf000000e8d4a5100083a472656164cb40e3880000000000a3706179cb40dd4c0000000000a46d61726bcb00000000"
    "00000000cb3ff80000000000009295a86e6f64652d31303007cb3f90000000000000cb3feccccccccccccdcb408f4000"
    "0000000095a86e6f64652d31303107cb4010000000000000cb0000000000000000cb40d3880000000000"
)


def restore_at_age(age_us: int) -> WarmStartState:
    return restore(decode(STORED), START_US + age_us, CLASS_NAMES, UPSTREAMS_BY_NAME, STARTED_US_BY_UPSTREAM)


def test_stored_form_is_that_of_the_earlier_version() -> None:
    stored = encode(STATE, 1_000_000_000_000, CLASS_NAMES, NAMES_BY_UPSTREAM, STARTED_US_BY_UPSTREAM)
    assert stored == STORED_BY_EARLIER_VERSION


def test_stored_state_is_restored_and_counts_less_with_age() -> None:
    assert restore_at_age(warm_start_codec.MAX_TRUSTED_AGE_US) == STATE
    half_weight_age_us = (warm_start_codec.MAX_TRUSTED_AGE_US + warm_start_codec.MAX_AGE_US) // 2
    older = restore_at_age(half_weight_age_us)
    assert [measured.concurrency_limit for measured in older.upstreams] == [1 + (1 / 64 - 1) / 2, 2.5]
    assert older.upstreams[0].failure_rate == 0.45
    assert older.response_times_us == [0.0] * 3
    for age_us in (warm_start_codec.MAX_AGE_US, -2 * warm_start_codec.MAX_CLOCK_SKEW_US):
        with pytest.raises(UntrustedStateError):
            restore_at_age(age_us)


def test_restarted_and_unlisted_upstreams_are_left_out() -> None:
    record = decode(STORED)
    relisted = restore(record, START_US, CLASS_NAMES, {"node-101": 5}, {5: 7, 100: 7})
    assert [measured.upstream for measured in relisted.upstreams] == [5]
    restarted_us = dict.fromkeys(NAMES_BY_UPSTREAM, 8)
    assert not restore(record, START_US, CLASS_NAMES, UPSTREAMS_BY_NAME, restarted_us).upstreams


@given(st.integers(0, len(STORED) - 1), st.integers(1, 255), st.booleans(), st.binary(max_size=200))
@settings(max_examples=400, deadline=None, derandomize=True)
def test_damaged_or_foreign_bytes_raise_untrusted_state_error(
    position: int, change: int, is_cut: bool, foreign: bytes
) -> None:
    damaged = STORED[:position]
    if not is_cut:
        damaged += bytes([STORED[position] ^ change]) + STORED[position + 1 :]
    body = hashlib.blake2b(foreign, digest_size=16).hexdigest().encode() + b"\n" + foreign
    too_large = b"x" * (warm_start_codec.MAX_STATE_BYTES + 1)
    for data in (damaged, foreign, warm_start_codec.MAGIC + body, too_large):
        with pytest.raises(UntrustedStateError):
            decode(data)


def run_requests(balancer: Balancer, count: int, faulty: set[int], now_us: int) -> list[int]:
    """Run requests one after the other with immediate responses; return the upstreams of all attempts."""
    attempted = []
    for request in range(1, count + 1):
        actions = balancer.handle(now_us, RequestArrived(request, now_us + 600_000, 1))
        while sends := [action for action in actions if isinstance(action, Send)]:
            now_us += 2_000
            upstream = sends[0].upstream
            attempted.append(upstream)
            outcome = Outcome.ERROR if upstream in faulty else Outcome.OK
            ended = AttemptEnded(request, 0, upstream, outcome, 2_000, outcome is Outcome.OK)
            actions = balancer.handle(now_us, ended)
        now_us += 5_000
    return attempted


def new_balancer(
    seed: int, state: WarmStartState | None = None, endpoint_list: list[Upstream] | None = None
) -> Balancer:
    balancer = Balancer(balancer_settings(), seed, START_US)
    balancer.handle(START_US, UpstreamsUpdated(ListKind.FULL, endpoint_list or upstreams(6)))
    if state is not None:
        balancer.handle(START_US, state)
    return balancer


def count_faulty_attempts(seed: int, state: WarmStartState | None, faulty: set[int]) -> int:
    balancer = new_balancer(seed, state)
    attempted = run_requests(balancer, 60, faulty, START_US + 4_000_000)
    return sum(upstream in faulty for upstream in attempted)


def test_successor_avoids_faulty_upstreams_from_the_start_and_notices_their_recovery() -> None:
    faulty = {100, 101}
    attempts_without_state = 0
    attempts_with_state = 0
    for seed in range(20):
        predecessor = new_balancer(seed)
        run_requests(predecessor, 400, faulty, START_US)
        state = predecessor.export_warm_start_state()
        attempts_without_state += count_faulty_attempts(seed + 100, None, faulty)
        attempts_with_state += count_faulty_attempts(seed + 100, state, faulty)
        after_recovery = run_requests(new_balancer(seed + 100, state), 2_000, set(), START_US + 4_000_000)
        # an equal share of the last 500 attempts would be 167
        assert sum(upstream in faulty for upstream in after_recovery[-500:]) > 60
    assert attempts_with_state <= attempts_without_state / 2, (attempts_without_state, attempts_with_state)


@given(st.floats(-1e9, 1e9), st.floats(-5, 5), st.floats(-1e9, 1e12), st.integers(0, 2**32))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_no_state_raises_limits_beyond_own_measurements_or_excludes_an_upstream_for_good(
    limit: float, failure_rate: float, response_time_us: float, seed: int
) -> None:
    measurements = [
        WarmStartUpstream(upstream, limit, failure_rate, response_time_us) for upstream in range(99, 108)
    ]
    state = WarmStartState([0.0] * 9, limit, measurements)
    warming_up = [Upstream(105, zone=2, cell=2, started_us=START_US)]  # rule 4 bounds its share
    balancer = new_balancer(seed, state, upstreams(5) + warming_up)
    in_flight: dict[int, int] = {}
    for request in range(1, 200):
        now_us = START_US + request
        for action in balancer.handle(now_us, RequestArrived(request, START_US + 600_000, 1)):
            if isinstance(action, Send):
                in_flight[action.upstream] = in_flight.get(action.upstream, 0) + 1
    assert max(in_flight.values(), default=0) <= 8 * 2
    assert in_flight.get(105, 0) <= 1
    attempted = run_requests(new_balancer(seed, state, upstreams(6)), 300, set(), START_US + 1_000)
    assert len(attempted) > 100
    assert len(set(attempted)) > 3


def test_successor_process_takes_over_the_state_and_a_process_without_predecessor_does_not(
    listener: socket.socket, shared_folder: str
) -> None:
    rng, lock = random.Random(4), threading.Lock()

    def fail_mostly(*_: object) -> bytes:
        with lock:
            return answer(b"", "500 Internal Server Error") if rng.random() < 0.9 else answer(b"ok")

    with (
        UpstreamServer() as first_healthy,
        UpstreamServer() as second_healthy,
        UpstreamServer(script=fail_mostly) as faulty,
    ):
        servers = [first_healthy, second_healthy, faulty]
        with AdminSidecar(servers, shared_folder, listener=listener) as old:
            for _ in range(60):
                old.request("GET", "/read/7")
            requests_before = len(faulty.requests)
            with AdminSidecar(servers, shared_folder, listener=listener) as new:
                log_line = "sidecar_proxy: took over the warm-start state of 3 upstreams"
                eventually(lambda: log_line in new.log_lines)
                assert old.stop() == 0
                for _ in range(60):
                    new.request("GET", "/read/7")
                assert len(faulty.requests) - requests_before <= requests_before
                path = Path(shared_folder) / "wickspread" / "remembered"
                assert path.stat().st_size < 400
                other_folder = {"TMPDIR": shared_folder + "/none"}  # there is no state to take over
                with AdminSidecar(servers, shared_folder, listener=listener, env=other_folder) as third:
                    assert not [line for line in third.log_lines if "took over" in line]
