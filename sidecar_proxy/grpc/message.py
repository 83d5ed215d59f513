"""A message on a stream (gRPC over HTTP2, Length-Prefixed-Message): flag, length, data. Pure."""

from __future__ import annotations

PREFIX = 5  # bytes


def framed(body: bytes) -> bytes:
    """One message, not compressed."""
    return b"\x00" + len(body).to_bytes(4, "big") + body


def first_size(data: bytes | bytearray) -> int | None:
    """Bytes of the first message, its prefix among them; None while that has not come."""
    return PREFIX + int.from_bytes(data[1:PREFIX], "big") if len(data) >= PREFIX else None
