"""How an attempt at a node ended, in the terms of the decisions, and what the client is trailers. Pure.

One fact counts: may it have run? It surely has not if no connection came up, if the kernel never had all of
the request, if the node says so by REFUSED_STREAM (RFC 9113, 8.7) or by a GOAWAY whose last stream is before
it (6.8), or if the node turned it away with UNAVAILABLE and the trailer `srv-declined: 1`. Anything else may.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.grpc.status import CODE_BY_HTTP_STATUS, CODE_BY_RESET, Code, parse_status

REFUSED_STREAM = 0x7
# About the request, not about the node: passed on as the final answer, and no sign that the node is ill.
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
    """What ended an attempt."""

    ANSWERED = "answered"  # the stream was closed by the node, with headers and maybe trailers
    RESET = "reset"  # RST_STREAM from the node
    GOAWAY = "goaway"  # the connection was given up by the node, and the stream is above its last one
    CLOSED = "closed"  # the connection ended
    PROTOCOL_ERROR = "broken"  # the node broke the protocol
    NO_CONNECTION = "no_connection"
    EXPIRED = "expired"  # we stopped waiting
    CANCELLED = "cancelled"  # the client did


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """An attempt's end as the connection saw it."""

    end: AttemptEnd
    is_written: bool = False  # the kernel had the whole request, or its headers where the body streams
    http_status: int = 0
    content_type: bytes = b""
    trailers: Mapping[bytes, bytes] | None = None  # headers of a trailers-only answer; None = none came
    reset_code: int = 0


@dataclass(slots=True, frozen=True)
class Verdict:
    """For the decisions and for the client."""

    outcome: Outcome
    code: Code  # what the client is trailers if this is the last word
    is_final: bool  # the node's own answer is the final one


def classify(result: AttemptResult) -> Verdict:
    """The table of docs/design/grpc.md."""
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
    """A stream that the node closed by itself."""
    trailers = result.trailers or {}
    grpc = result.content_type.startswith(b"application/grpc")
    if b"grpc-status" not in trailers:
        # hazard: a 200 without a status is a stream that was cut; it may have run
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
    if code is Code.OK:  # it contradicts itself
        return Verdict(Outcome.ERROR, CODE_BY_HTTP_STATUS.get(result.http_status, Code.UNKNOWN), False)
    if code is Code.UNAVAILABLE and trailers.get(b"srv-declined") == b"1":
        return Verdict(Outcome.FULL, code, False)
    return Verdict(Outcome.ERROR, code, code in REQUEST_ERROR_CODES)


def rejection_trailers(retry_after_us: int) -> list[tuple[bytes, bytes]]:
    """Trailers of a refusal: nothing has run, and when to come back (gRFC A6, pushback)."""
    trailers = [
        (b"grpc-status", b"%d" % Code.UNAVAILABLE),
        (b"grpc-message", b"refused: nothing has run"),
        (b"srv-declined", b"1"),
    ]
    if retry_after_us > 0:
        trailers.append((b"grpc-retry-pushback-ms", b"%d" % max(1, -(-retry_after_us // 1000))))
    return trailers


def failure_trailers(code: Code, message: bytes) -> list[tuple[bytes, bytes]]:
    """Trailers of a failure that promises nothing. Hazard: clients' retry policies repeat some codes by
    themselves; a pushback below 0 forbids it, and the codes that they name by custom are not used."""
    shown = Code.INTERNAL if code in (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.ABORTED) else code
    return [(b"grpc-status", b"%d" % shown), (b"grpc-message", message), (b"grpc-retry-pushback-ms", b"-1")]
