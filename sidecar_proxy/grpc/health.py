"""The messages of gRPC's health service (grpc.health.v1), encoded and decoded without a protobuf library.

Does no I/O.
"""

from __future__ import annotations

import enum

from sidecar_proxy.grpc.message import PREFIX_BYTES, first_message_size, frame_message

CHECK_PATH, WATCH_PATH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
MAX_REQUEST_BYTES = 4096  # maximum size of a HealthCheckRequest
LENGTH_DELIMITED, VARINT, FIXED64, FIXED32 = 2, 0, 1, 5  # wire types of protobuf


class ServingStatus(enum.IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3  # only in responses to Watch


class HealthError(ValueError):
    """The data is not a HealthCheckRequest. The message is part of the answer to the client."""


def parse_request(data: bytes) -> str:
    """Return the service name, field 1, of a length-prefixed HealthCheckRequest. Raises HealthError."""
    if first_message_size(data) != len(data) or data[0] != 0:
        raise HealthError("not one plain message")
    body, offset, service_name = data[PREFIX_BYTES:], 0, b""
    while offset < len(body):
        tag, offset = read_varint(body, offset)
        if tag & 7 == LENGTH_DELIMITED:
            size, offset = read_varint(body, offset)
            if size > len(body) - offset:
                raise HealthError("cut short")
            service_name = body[offset : offset + size] if tag >> 3 == 1 else service_name
            offset += size
        elif tag & 7 == VARINT:
            _, offset = read_varint(body, offset)
        elif tag & 7 in (FIXED64, FIXED32):
            offset += 8 if tag & 7 == FIXED64 else 4
            if offset > len(body):
                raise HealthError("cut short")
        else:
            raise HealthError("no such wire type")
    try:
        return service_name.decode("utf-8")
    except UnicodeDecodeError as error:
        raise HealthError("the service is no UTF-8") from error


def read_varint(data: bytes, offset: int) -> tuple[int, int]:
    """Return the varint of at most ten bytes at an offset, and the offset of its end. Raises HealthError."""
    value = 0
    for shift in range(0, 70, 7):
        if offset >= len(data):
            raise HealthError("cut short")
        value |= (data[offset] & 0x7F) << shift
        offset += 1
        if data[offset - 1] < 0x80:
            return value, offset
    raise HealthError("a number too long")


def encode_request(service: str = "") -> bytes:
    """Return a length-prefixed HealthCheckRequest; the service name is truncated to 127 bytes."""
    name = service.encode()[:127]
    body = b"\x0a%c%s" % (len(name), name) if name else b""
    return frame_message(body)


def encode_response(status: ServingStatus) -> bytes:
    """Return a length-prefixed HealthCheckResponse."""
    return frame_message(b"\x08%c" % status)


def parse_response(data: bytes) -> ServingStatus:
    """Return the status of a complete length-prefixed HealthCheckResponse; UNKNOWN for any other data."""
    return next(
        (status for status in ServingStatus if data == encode_response(status)), ServingStatus.UNKNOWN
    )
