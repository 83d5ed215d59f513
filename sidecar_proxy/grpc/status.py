"""gRPC status codes and messages, and their encoding (gRPC over HTTP2; http-grpc-status-mapping)."""

from __future__ import annotations

import enum
import re


class Code(enum.IntEnum):
    """The canonical status codes of gRPC."""

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


# Code of a response without a grpc-status, by its HTTP status; UNKNOWN for any other status.
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
# Code of a stream that was reset, by the HTTP/2 error code; INTERNAL for any other error code.
CODE_BY_RESET = {
    0x7: Code.UNAVAILABLE,
    0x8: Code.CANCELLED,
    0xB: Code.RESOURCE_EXHAUSTED,
    0xC: Code.PERMISSION_DENIED,
}
STATUS_PATTERN = re.compile(rb"(0|[1-9][0-9]?)\Z")
MAX_MESSAGE_BYTES = 1024  # maximum size of a grpc-message that is sent; longer ones are truncated


def parse_status(text: bytes | None) -> Code:
    """Return the code of a grpc-status; UNKNOWN if the value is missing, malformed or not a known code."""
    if text is None or not STATUS_PATTERN.match(text):
        return Code.UNKNOWN
    number = int(text)
    return Code(number) if number <= Code.UNAUTHENTICATED else Code.UNKNOWN


def encode_message(text: str) -> bytes:
    """Return a grpc-message: UTF-8 in which all but printable ASCII without `%` is percent-encoded."""
    raw = text.encode("utf-8", "replace")[:MAX_MESSAGE_BYTES]
    return b"".join(
        b"%c" % byte if 0x20 <= byte <= 0x7E and byte != 0x25 else b"%%%02X" % byte for byte in raw
    )


def decode_message(raw: bytes) -> str:
    """Decode a grpc-message; invalid percent-encoding stays as it is and is no error, as gRPC requires."""
    return re.sub(
        rb"%([0-9A-Fa-f]{2})", lambda match: bytes([int(match[1], 16)]), raw[: 3 * MAX_MESSAGE_BYTES]
    ).decode("utf-8", "replace")
