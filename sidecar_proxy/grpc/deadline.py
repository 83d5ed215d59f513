"""A call's deadline as its grpc-timeout says (gRPC over HTTP2, "Timeout"): 1 to 8 digits and a unit."""

from __future__ import annotations

import re

UNITS_NS = {
    b"H": 3_600_000_000_000,
    b"M": 60_000_000_000,
    b"S": 1_000_000_000,
    b"m": 1_000_000,
    b"u": 1000,
    b"n": 1,
}
TIMEOUT_PATTERN = re.compile(rb"([0-9]{1,8})([HMSmun])\Z")
MAX_VALUE = 99_999_999  # eight digits


class DeadlineError(ValueError):
    """A grpc-timeout that can't be read."""


def parse_us(text: bytes) -> int:
    """Microseconds, rounded down: what is promised to the client is never longer than it waits."""
    match = TIMEOUT_PATTERN.match(text)
    if match is None:
        raise DeadlineError(f"malformed grpc-timeout {text[:20]!r}")
    return int(match[1]) * UNITS_NS[match[2]] // 1000


def format_us(left_us: int) -> bytes:
    """The finest unit that holds it, rounded down; 0 where nothing is left."""
    left_us = max(0, left_us)
    if left_us <= MAX_VALUE:
        return b"%du" % left_us
    if left_us // 1000 <= MAX_VALUE:
        return b"%dm" % (left_us // 1000)
    return b"%dS" % min(MAX_VALUE, left_us // 1_000_000)
