"""Encodes and decodes HTTP/2 frames without the library (RFC 9113, 4.1 and 6)."""

from __future__ import annotations

import struct

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST, SETTINGS, PING, GOAWAY, WINDOW, CONTINUATION = 0, 1, 3, 4, 6, 7, 8, 9
END_STREAM, ACK, END_HEADERS = 1, 1, 4


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Encode one frame."""
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def frames(data: bytes) -> list[tuple[int, int, int, bytes]]:
    """Return the type, flags, stream and payload of each complete frame, without the connection preface."""
    decoded = []
    data = data.removeprefix(PREFACE)
    while len(data) >= 9 and len(data) >= 9 + int.from_bytes(data[:3], "big"):
        size = int.from_bytes(data[:3], "big")
        decoded.append((data[3], data[4], int.from_bytes(data[5:9], "big"), data[9 : 9 + size]))
        data = data[9 + size :]
    return decoded
