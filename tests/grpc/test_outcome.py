"""What an attempt's end says of its effect, line by line of the table; statuses and time-outs on the wire."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.grpc.deadline import MAX_VALUE, DeadlineError, format_us, parse_us
from sidecar_proxy.grpc.outcome import (
    AttemptEnd,
    AttemptResult,
    classify,
    failure_trailers,
    rejection_trailers,
)
from sidecar_proxy.grpc.status import Code, decode_message, encode_message, parse_status

GRPC = b"application/grpc"
NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


def answered(http: int = 200, kind: bytes = GRPC, **trailers: str) -> AttemptResult:
    found = {name.replace("_", "-").encode(): value.encode() for name, value in trailers.items()}
    return AttemptResult(AttemptEnd.ANSWERED, True, http, kind, found)


TABLE = [
    (AttemptResult(AttemptEnd.NO_CONNECTION), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.CLOSED), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.EXPIRED), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.RESET, reset_code=0x2), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.RESET, True, reset_code=0x7), Outcome.FULL, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.GOAWAY, True), Outcome.FULL, Code.UNAVAILABLE),
    (answered(grpc_status="14", srv_declined="1"), Outcome.FULL, Code.UNAVAILABLE),
    (answered(503, b"text/plain", srv_declined="1"), Outcome.FULL, Code.UNAVAILABLE),
    (answered(grpc_status="0"), Outcome.OK, Code.OK),
    (answered(grpc_status="14"), Outcome.ERROR, Code.UNAVAILABLE),
    (answered(grpc_status="8", srv_declined="1"), Outcome.ERROR, Code.RESOURCE_EXHAUSTED),
    (answered(grpc_status="0", srv_declined="1"), Outcome.OK, Code.OK),
    (answered(503, b"text/plain"), Outcome.ERROR, Code.UNAVAILABLE),
    (answered(500, b"text/html"), Outcome.ERROR, Code.UNKNOWN),
    (answered(404, b"text/html"), Outcome.ERROR, Code.UNIMPLEMENTED),
    (answered(), Outcome.ERROR, Code.UNKNOWN),  # headers, data, and no status
    (AttemptResult(AttemptEnd.ANSWERED, True, 200, GRPC, None), Outcome.ERROR, Code.UNKNOWN),
    (answered(grpc_status="x"), Outcome.ERROR, Code.UNKNOWN),
    (answered(grpc_status="99"), Outcome.ERROR, Code.UNKNOWN),
    (answered(500, grpc_status="0"), Outcome.ERROR, Code.UNKNOWN),
    (answered(200, b"text/html", grpc_status="0"), Outcome.ERROR, Code.UNKNOWN),
    (answered(grpc_status="3"), Outcome.ERROR, Code.INVALID_ARGUMENT),
    (AttemptResult(AttemptEnd.RESET, True, 200, GRPC, None, 0x2), Outcome.RESET, Code.INTERNAL),
    (AttemptResult(AttemptEnd.RESET, True, reset_code=0x8), Outcome.RESET, Code.CANCELLED),
    (
        AttemptResult(AttemptEnd.CLOSED, True, 200, GRPC),
        Outcome.RESET,
        Code.UNAVAILABLE,
    ),  # cut after its headers
    (AttemptResult(AttemptEnd.PROTOCOL_ERROR, True), Outcome.RESET, Code.INTERNAL),
    (AttemptResult(AttemptEnd.EXPIRED, True), Outcome.TIMEOUT, Code.DEADLINE_EXCEEDED),
    (AttemptResult(AttemptEnd.CANCELLED, True), Outcome.CANCELLED, Code.CANCELLED),
]


@pytest.mark.parametrize(("ended", "outcome", "code"), TABLE, ids=range(len(TABLE)))
def test_each_end_has_its_outcome(ended: AttemptResult, outcome: Outcome, code: Code) -> None:
    verdict = classify(ended)
    assert (verdict.outcome, verdict.code) == (outcome, code)


STATUSES = st.one_of(st.none(), st.binary(max_size=3), st.sampled_from([b"0", b"14", b"4", b"13"]))


@hypothesis_settings(derandomize=True, deadline=None)
@given(
    st.sampled_from(AttemptEnd),
    st.sampled_from([0, 200, 404, 500, 503]),
    st.sampled_from([GRPC, b"", b"text/html"]),
    STATUSES,
    st.integers(0, 16),
    st.booleans(),
)
def test_what_was_written_and_not_plainly_turned_away_may_have_run(
    end: AttemptEnd, http: int, kind: bytes, status: bytes | None, reset: int, declined: bool
) -> None:
    trailers = {} if status is None else {b"grpc-status": status}
    if declined:
        trailers[b"srv-declined"] = b"1"
    outcome = classify(AttemptResult(end, True, http, kind, trailers, reset)).outcome
    turned_away = (
        end in (AttemptEnd.NO_CONNECTION, AttemptEnd.GOAWAY)
        or (end is AttemptEnd.RESET and reset == 7)
        or (end is AttemptEnd.ANSWERED and declined and (status == b"14" or http == 503))
    )
    assert turned_away or outcome not in NEVER_RAN


def test_only_what_is_about_the_request_is_passed_on() -> None:
    passed = [code for code in Code if classify(answered(grpc_status=str(int(code)))).is_final]
    assert passed == [
        Code.OK,
        Code.INVALID_ARGUMENT,
        Code.NOT_FOUND,
        Code.ALREADY_EXISTS,
        Code.PERMISSION_DENIED,
        Code.FAILED_PRECONDITION,
        Code.ABORTED,
        Code.OUT_OF_RANGE,
        Code.UNIMPLEMENTED,
        Code.UNAUTHENTICATED,
    ]


def test_a_refusal_says_when_to_come_back_and_a_failure_that_nobody_should() -> None:
    assert dict(rejection_trailers(1_500_001))[b"grpc-retry-pushback-ms"] == b"1501"
    assert (
        b"grpc-retry-pushback-ms" not in dict(rejection_trailers(0))
        and dict(rejection_trailers(0))[b"srv-declined"] == b"1"
    )
    for code in Code:
        told = dict(failure_trailers(code, b""))
        assert told[b"grpc-retry-pushback-ms"] == b"-1" and b"srv-declined" not in told
        assert parse_status(told[b"grpc-status"]) not in (
            Code.UNAVAILABLE,
            Code.RESOURCE_EXHAUSTED,
            Code.ABORTED,
        )


@pytest.mark.parametrize(
    ("text", "us"),
    [
        (b"1H", 3_600_000_000),
        (b"2M", 120_000_000),
        (b"3S", 3_000_000),
        (b"250m", 250_000),
        (b"7u", 7),
        (b"1999n", 1),
        (b"0n", 0),
        (b"99999999H", 99_999_999 * 3_600_000_000),
    ],
)
def test_a_timeout_is_read(text: bytes, us: int) -> None:
    assert parse_us(text) == us


@pytest.mark.parametrize(
    "text", [b"", b"1", b"S", b"1s", b"123456789m", b"-1m", b"1.5S", b" 1S", b"1S\n", b"1S1S", "١S".encode()]
)
def test_a_malformed_timeout_is_told(text: bytes) -> None:
    with pytest.raises(DeadlineError, match="malformed grpc-timeout"):
        parse_us(text)


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.integers(-10, 10**15))
def test_what_is_left_is_never_told_as_more(left_us: int) -> None:
    told = format_us(left_us)
    assert len(told) <= 9
    assert parse_us(told) <= max(0, left_us)
    assert parse_us(told) >= min(left_us, MAX_VALUE * 1_000_000) * 0.99 - 1


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.text(max_size=200))
def test_a_message_comes_back_as_it_was(text: str) -> None:
    raw = encode_message(text)
    assert all(0x20 <= byte <= 0x7E for byte in raw)
    assert decode_message(raw) == text.encode("utf-8", "replace").decode()


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.binary(max_size=100))
def test_no_message_is_an_error(raw: bytes) -> None:
    decode_message(raw)


@pytest.mark.parametrize("text", [None, b"", b"00", b"01", b"-1", b"1 ", b"17", b"100", b"x"])
def test_a_status_that_is_none_is_unknown(text: bytes | None) -> None:
    assert parse_status(text) is Code.UNKNOWN
