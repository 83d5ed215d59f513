"""Parses and formats grpc-timeout (gRPC over HTTP2, "Timeout"): 1 to 8 digits and a unit."""

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
MAX_VALUE = 99_999_999  # the largest number of eight digits


class DeadlineError(ValueError):
    """The value of a grpc-timeout is malformed."""


def parse_us(text: bytes) -> int:
    """Return the timeout in microseconds, rounded down so that it never exceeds the client's.

    Raises DeadlineError.
    """
    match = TIMEOUT_PATTERN.match(text)
    if match is None:
        raise DeadlineError(f"malformed grpc-timeout {text[:20]!r}")
    return int(match[1]) * UNITS_NS[match[2]] // 1000


def format_us(left_us: int) -> bytes:
    """Return the time left in the finest unit that can express it, rounded down; 0 if none is left."""
    left_us = max(0, left_us)
    if left_us <= MAX_VALUE:
        return b"%du" % left_us
    if left_us // 1000 <= MAX_VALUE:
        return b"%dm" % (left_us // 1000)
    return b"%dS" % min(MAX_VALUE, left_us // 1_000_000)
