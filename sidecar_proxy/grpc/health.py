"""gRPC's health service (grpc.health.v1): its messages, small enough to be read and written by hand. Pure."""

from __future__ import annotations

import enum

from sidecar_proxy.grpc.message import PREFIX, first_size, framed

CHECK, WATCH = b"/grpc.health.v1.Health/Check", b"/grpc.health.v1.Health/Watch"
MOST_MESSAGE = 4096  # bytes of a HealthCheckRequest
STRING, VARINT, FIXED64, FIXED32 = 2, 0, 1, 5  # protobuf's wire types


class Serving(enum.IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3  # Watch alone says so


class HealthError(ValueError):
    """What came is no HealthCheckRequest."""


def service_of(data: bytes) -> str:
    """The service that is asked for: a whole length-prefixed message with field 1. Raises HealthError."""
    if first_size(data) != len(data) or data[0] != 0:
        raise HealthError("not one plain message")
    body, at, found = data[PREFIX:], 0, b""
    while at < len(body):
        tag, at = varint(body, at)
        if tag & 7 == STRING:
            size, at = varint(body, at)
            if size > len(body) - at:
                raise HealthError("cut short")
            found = body[at : at + size] if tag >> 3 == 1 else found
            at += size
        elif tag & 7 == VARINT:
            _, at = varint(body, at)
        elif tag & 7 in (FIXED64, FIXED32):
            at += 8 if tag & 7 == FIXED64 else 4
            if at > len(body):
                raise HealthError("cut short")
        else:
            raise HealthError("no such wire type")
    try:
        return found.decode("utf-8")
    except UnicodeDecodeError as error:
        raise HealthError("the service is no UTF-8") from error


def varint(data: bytes, at: int) -> tuple[int, int]:
    """A number of at most ten bytes, and where it ends."""
    value = 0
    for shift in range(0, 70, 7):
        if at >= len(data):
            raise HealthError("cut short")
        value |= (data[at] & 0x7F) << shift
        at += 1
        if data[at - 1] < 0x80:
            return value, at
    raise HealthError("a number too long")


def request(service: str = "") -> bytes:
    """A whole length-prefixed HealthCheckRequest, for asking nodes. At most 127 bytes of name."""
    name = service.encode()[:127]
    body = b"\x0a%c%s" % (len(name), name) if name else b""
    return framed(body)


def response(status: Serving) -> bytes:
    """A whole length-prefixed HealthCheckResponse."""
    return framed(b"\x08%c" % status)


def status_of(data: bytes) -> Serving:
    """Of a whole HealthCheckResponse; UNKNOWN for anything else."""
    return next((one for one in Serving if data == response(one)), Serving.UNKNOWN)
