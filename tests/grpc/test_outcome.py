"""The outcome of each end of an attempt, and the encoding of statuses, messages and timeouts."""

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


def response_result(http: int = 200, kind: bytes = GRPC, **trailers: str) -> AttemptResult:
    trailers_by_name = {name.replace("_", "-").encode(): value.encode() for name, value in trailers.items()}
    return AttemptResult(AttemptEnd.ANSWERED, True, http, kind, trailers_by_name)


TABLE = [
    (AttemptResult(AttemptEnd.NO_CONNECTION), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.CLOSED), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.EXPIRED), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.RESET, reset_code=0x2), Outcome.CONNECT_FAILED, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.RESET, True, reset_code=0x7), Outcome.FULL, Code.UNAVAILABLE),
    (AttemptResult(AttemptEnd.GOAWAY, True), Outcome.FULL, Code.UNAVAILABLE),
    (response_result(grpc_status="14", srv_declined="1"), Outcome.FULL, Code.UNAVAILABLE),
    (response_result(503, b"text/plain", srv_declined="1"), Outcome.FULL, Code.UNAVAILABLE),
    (response_result(grpc_status="0"), Outcome.OK, Code.OK),
    (response_result(grpc_status="14"), Outcome.ERROR, Code.UNAVAILABLE),
    (response_result(grpc_status="8", srv_declined="1"), Outcome.ERROR, Code.RESOURCE_EXHAUSTED),
    (response_result(grpc_status="0", srv_declined="1"), Outcome.OK, Code.OK),
    (response_result(503, b"text/plain"), Outcome.ERROR, Code.UNAVAILABLE),
    (response_result(500, b"text/html"), Outcome.ERROR, Code.UNKNOWN),
    (response_result(404, b"text/html"), Outcome.ERROR, Code.UNIMPLEMENTED),
    (response_result(), Outcome.ERROR, Code.UNKNOWN),  # headers and data without a grpc-status
    (AttemptResult(AttemptEnd.ANSWERED, True, 200, GRPC, None), Outcome.ERROR, Code.UNKNOWN),
    (response_result(grpc_status="x"), Outcome.ERROR, Code.UNKNOWN),
    (response_result(grpc_status="99"), Outcome.ERROR, Code.UNKNOWN),
    (response_result(500, grpc_status="0"), Outcome.ERROR, Code.UNKNOWN),
    (response_result(200, b"text/html", grpc_status="0"), Outcome.ERROR, Code.UNKNOWN),
    (response_result(grpc_status="3"), Outcome.ERROR, Code.INVALID_ARGUMENT),
    (AttemptResult(AttemptEnd.RESET, True, 200, GRPC, None, 0x2), Outcome.RESET, Code.INTERNAL),
    (AttemptResult(AttemptEnd.RESET, True, reset_code=0x8), Outcome.RESET, Code.CANCELLED),
    # Closed after the response headers.
    (
        AttemptResult(AttemptEnd.CLOSED, True, 200, GRPC),
        Outcome.RESET,
        Code.UNAVAILABLE,
    ),
    (AttemptResult(AttemptEnd.PROTOCOL_ERROR, True), Outcome.RESET, Code.INTERNAL),
    (AttemptResult(AttemptEnd.EXPIRED, True), Outcome.TIMEOUT, Code.DEADLINE_EXCEEDED),
    (AttemptResult(AttemptEnd.CANCELLED, True), Outcome.CANCELLED, Code.CANCELLED),
]


@pytest.mark.parametrize(("ended", "outcome", "code"), TABLE, ids=range(len(TABLE)))
def test_each_end_of_an_attempt_has_its_outcome_and_code(
    ended: AttemptResult, outcome: Outcome, code: Code
) -> None:
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
def test_written_request_that_was_not_rejected_may_have_run(
    end: AttemptEnd, http: int, kind: bytes, status: bytes | None, reset: int, declined: bool
) -> None:
    trailers = {} if status is None else {b"grpc-status": status}
    if declined:
        trailers[b"srv-declined"] = b"1"
    outcome = classify(AttemptResult(end, True, http, kind, trailers, reset)).outcome
    is_rejected = (
        end in (AttemptEnd.NO_CONNECTION, AttemptEnd.GOAWAY)
        or (end is AttemptEnd.RESET and reset == 7)
        or (end is AttemptEnd.ANSWERED and declined and (status == b"14" or http == 503))
    )
    assert is_rejected or outcome not in NEVER_RAN


def test_only_success_and_request_errors_are_final() -> None:
    final_codes = [code for code in Code if classify(response_result(grpc_status=str(int(code)))).is_final]
    assert final_codes == [
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


def test_rejection_states_retry_delay_and_failure_forbids_retry() -> None:
    assert dict(rejection_trailers(1_500_001))[b"grpc-retry-pushback-ms"] == b"1501"
    assert (
        b"grpc-retry-pushback-ms" not in dict(rejection_trailers(0))
        and dict(rejection_trailers(0))[b"srv-declined"] == b"1"
    )
    for code in Code:
        trailers = dict(failure_trailers(code, b""))
        assert trailers[b"grpc-retry-pushback-ms"] == b"-1" and b"srv-declined" not in trailers
        assert parse_status(trailers[b"grpc-status"]) not in (
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
def test_timeout_is_parsed(text: bytes, us: int) -> None:
    assert parse_us(text) == us


@pytest.mark.parametrize(
    "text", [b"", b"1", b"S", b"1s", b"123456789m", b"-1m", b"1.5S", b" 1S", b"1S\n", b"1S1S", "١S".encode()]
)
def test_malformed_timeout_is_an_error(text: bytes) -> None:
    with pytest.raises(DeadlineError, match="malformed grpc-timeout"):
        parse_us(text)


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.integers(-10, 10**15))
def test_formatted_timeout_never_exceeds_time_left(left_us: int) -> None:
    timeout = format_us(left_us)
    assert len(timeout) <= 9
    assert parse_us(timeout) <= max(0, left_us)
    assert parse_us(timeout) >= min(left_us, MAX_VALUE * 1_000_000) * 0.99 - 1


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.text(max_size=200))
def test_message_round_trip(text: str) -> None:
    raw = encode_message(text)
    assert all(0x20 <= byte <= 0x7E for byte in raw)
    assert decode_message(raw) == text.encode("utf-8", "replace").decode()


@hypothesis_settings(derandomize=True, deadline=None)
@given(st.binary(max_size=100))
def test_any_message_can_be_decoded(raw: bytes) -> None:
    decode_message(raw)


@pytest.mark.parametrize("text", [None, b"", b"00", b"01", b"-1", b"1 ", b"17", b"100", b"x"])
def test_invalid_status_is_unknown(text: bytes | None) -> None:
    assert parse_status(text) is Code.UNKNOWN
