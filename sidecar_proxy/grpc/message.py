"""A message on a stream (gRPC over HTTP2, Length-Prefixed-Message): flag, length, data. Pure."""

from __future__ import annotations

PREFIX_BYTES = 5  # bytes


def frame_message(body: bytes) -> bytes:
    """One message, not compressed."""
    return b"\x00" + len(body).to_bytes(4, "big") + body


def first_message_size(data: bytes | bytearray) -> int | None:
    """Bytes of the first message, its prefix among them; None while that has not come."""
    return PREFIX_BYTES + int.from_bytes(data[1:PREFIX_BYTES], "big") if len(data) >= PREFIX_BYTES else None
