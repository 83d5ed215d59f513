"""gRPC's status codes, and how they stand on the wire (gRPC over HTTP2; http-grpc-status-mapping)."""

from __future__ import annotations

import enum
import re


class Code(enum.IntEnum):
    """The canonical codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


# Of an answer without a grpc-status, by its HTTP status; any other is UNKNOWN.
CODE_BY_HTTP_STATUS = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}
# Of a stream that was reset, by HTTP/2's error code; any other is INTERNAL.
CODE_BY_RESET = {
    0x7: Code.UNAVAILABLE,
    0x8: Code.CANCELLED,
    0xB: Code.RESOURCE_EXHAUSTED,
    0xC: Code.PERMISSION_DENIED,
}
STATUS_PATTERN = re.compile(rb"(0|[1-9][0-9]?)\Z")
MAX_MESSAGE_BYTES = 1024  # bytes of a grpc-message that go on


def parse_status(text: bytes | None) -> Code:
    """A grpc-status; UNKNOWN for one that is missing, malformed or of no known code."""
    if text is None or not STATUS_PATTERN.match(text):
        return Code.UNKNOWN
    number = int(text)
    return Code(number) if number <= Code.UNAUTHENTICATED else Code.UNKNOWN


def encode_message(text: str) -> bytes:
    """A grpc-message: UTF-8, percent-encoded but for the printable ASCII without the percent sign."""
    raw = text.encode("utf-8", "replace")[:MAX_MESSAGE_BYTES]
    return b"".join(
        b"%c" % byte if 0x20 <= byte <= 0x7E and byte != 0x25 else b"%%%02X" % byte for byte in raw
    )


def decode_message(raw: bytes) -> str:
    """As a receiver must: what is no valid encoding stays as it is, never an error."""
    return re.sub(
        rb"%([0-9A-Fa-f]{2})", lambda match: bytes([int(match[1], 16)]), raw[: 3 * MAX_MESSAGE_BYTES]
    ).decode("utf-8", "replace")
