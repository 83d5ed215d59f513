"""Message framing (gRPC over HTTP2, Length-Prefixed-Message): compression flag, length, data. Does no I/O."""

from __future__ import annotations

PREFIX_BYTES = 5


def frame_message(body: bytes) -> bytes:
    """Return an uncompressed message with its prefix."""
    return b"\x00" + len(body).to_bytes(4, "big") + body


def first_message_size(data: bytes | bytearray) -> int | None:
    """Return the size of the first message in bytes, with its prefix; None if the prefix is incomplete."""
    return PREFIX_BYTES + int.from_bytes(data[1:PREFIX_BYTES], "big") if len(data) >= PREFIX_BYTES else None
