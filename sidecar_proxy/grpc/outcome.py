"""Classifies the end of an attempt for the balancer, and chooses the status for the client. Does no I/O.

What decides is whether the upstream may have executed the request. It cannot have done so if no connection
was established, if the request was not written completely to the kernel, if the upstream reset the stream
with REFUSED_STREAM (RFC 9113, 8.7) or sent a GOAWAY whose last stream is below this one (6.8), or if it
rejected the request with UNAVAILABLE and the trailer `srv-declined: 1`. In any other case it may have
executed it.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.grpc.status import CODE_BY_HTTP_STATUS, CODE_BY_RESET, Code, parse_status

REFUSED_STREAM = 0x7
# Codes that report a fault of the request, not of the upstream: they are forwarded as the final response, and
# do not count against the upstream.
REQUEST_ERROR_CODES = frozenset(
    {
        Code.INVALID_ARGUMENT,
        Code.NOT_FOUND,
        Code.ALREADY_EXISTS,
        Code.PERMISSION_DENIED,
        Code.FAILED_PRECONDITION,
        Code.ABORTED,
        Code.OUT_OF_RANGE,
        Code.UNIMPLEMENTED,
        Code.UNAUTHENTICATED,
    }
)


class AttemptEnd(enum.Enum):
    """The event that ended an attempt."""

    ANSWERED = "answered"  # the upstream ended the stream, with headers and possibly trailers
    RESET = "reset"  # the upstream sent RST_STREAM
    GOAWAY = "goaway"  # the upstream sent GOAWAY, and the stream is above its last one
    CLOSED = "closed"  # the connection was closed
    PROTOCOL_ERROR = "broken"  # the upstream violated the protocol
    NO_CONNECTION = "no_connection"  # no connection was established
    EXPIRED = "expired"  # the attempt's timeout was reached
    CANCELLED = "cancelled"  # the client cancelled the call


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """The end of an attempt as the connection observed it."""

    end: AttemptEnd
    # the kernel may have the complete request, or the headers of a streamed request
    is_written: bool = False
    http_status: int = 0
    content_type: bytes = b""
    trailers: Mapping[bytes, bytes] | None = (
        None  # the headers of a trailers-only response; None = none were received
    )
    reset_code: int = 0


@dataclass(slots=True, frozen=True)
class Verdict:
    """The outcome of an attempt for the balancer, and the status for the client."""

    outcome: Outcome
    code: Code  # the client's status if no other attempt follows
    is_final: bool  # the upstream's own response is the final one


def classify(result: AttemptResult) -> Verdict:
    """Return the verdict on an attempt, by the table of docs/design/grpc.md."""
    if result.end is AttemptEnd.NO_CONNECTION:
        return Verdict(Outcome.CONNECT_FAILED, Code.UNAVAILABLE, False)
    if result.end is AttemptEnd.GOAWAY or (
        result.end is AttemptEnd.RESET and result.reset_code == REFUSED_STREAM
    ):
        return Verdict(Outcome.FULL, Code.UNAVAILABLE, False)
    if result.end is AttemptEnd.CANCELLED:
        return Verdict(Outcome.CANCELLED, Code.CANCELLED, False)
    if result.end is not AttemptEnd.ANSWERED and not result.is_written:
        return Verdict(Outcome.CONNECT_FAILED, Code.UNAVAILABLE, False)
    if result.end is AttemptEnd.EXPIRED:
        return Verdict(Outcome.TIMEOUT, Code.DEADLINE_EXCEEDED, False)
    if result.end is AttemptEnd.RESET:
        return Verdict(Outcome.RESET, CODE_BY_RESET.get(result.reset_code, Code.INTERNAL), False)
    if result.end is not AttemptEnd.ANSWERED:
        return Verdict(
            Outcome.RESET, Code.UNAVAILABLE if result.end is AttemptEnd.CLOSED else Code.INTERNAL, False
        )
    return classify_response(result)


def classify_response(result: AttemptResult) -> Verdict:
    """Return the verdict on a stream that the upstream ended regularly."""
    trailers = result.trailers or {}
    grpc = result.content_type.startswith(b"application/grpc")
    if b"grpc-status" not in trailers:
        # HTTP status 200 without a grpc-status is a truncated stream: the request may have been executed.
        code = (
            Code.UNKNOWN
            if result.http_status == 200
            else CODE_BY_HTTP_STATUS.get(result.http_status, Code.UNKNOWN)
        )
        declined = result.http_status in (503, 504) and trailers.get(b"srv-declined") == b"1" and not grpc
        return Verdict(Outcome.FULL if declined else Outcome.ERROR, code, False)
    code = parse_status(trailers[b"grpc-status"])
    if code is Code.OK and result.http_status == 200 and grpc:
        return Verdict(Outcome.OK, code, True)
    if code is Code.OK:  # the HTTP status or the content type contradicts the grpc-status
        return Verdict(Outcome.ERROR, CODE_BY_HTTP_STATUS.get(result.http_status, Code.UNKNOWN), False)
    if code is Code.UNAVAILABLE and trailers.get(b"srv-declined") == b"1":
        return Verdict(Outcome.FULL, code, False)
    return Verdict(Outcome.ERROR, code, code in REQUEST_ERROR_CODES)


def rejection_trailers(retry_after_us: int) -> list[tuple[bytes, bytes]]:
    """Return the trailers of a rejection, which promise that the request was not executed.

    They state the delay before a retry if `retry_after_us` is not 0 (gRFC A6, pushback).
    """
    trailers = [
        (b"grpc-status", b"%d" % Code.UNAVAILABLE),
        (b"grpc-message", b"refused: nothing has run"),
        (b"srv-declined", b"1"),
    ]
    if retry_after_us > 0:
        trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after_us // 1000))))
    return trailers


def failure_trailers(code: Code, message: bytes) -> list[tuple[bytes, bytes]]:
    """Return the trailers of a failure after which the request may have been executed.

    The retry policies of clients would repeat an unsafe call on some codes. A negative pushback forbids that,
    and the codes that such policies usually list are replaced by INTERNAL.
    """
    reported_code = (
        Code.INTERNAL if code in (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.ABORTED) else code
    )
    return [
        (b"grpc-status", b"%d" % reported_code),
        (b"grpc-message", message),
        (b"grpc-retry-pushback-ms", b"-1"),
    ]
