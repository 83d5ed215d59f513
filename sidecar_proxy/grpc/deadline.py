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
TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])\Z")
MOST = 99_999_999  # eight digits


class DeadlineError(ValueError):
    """A grpc-timeout that can't be read."""


def parse_us(text: bytes) -> int:
    """Microseconds, rounded down: what is promised to the client is never longer than it waits."""
    found = TIMEOUT.match(text)
    if found is None:
        raise DeadlineError(f"malformed grpc-timeout {text[:20]!r}")
    return int(found[1]) * UNITS_NS[found[2]] // 1000


def format_us(left_us: int) -> bytes:
    """The finest unit that holds it, rounded down; 0 where nothing is left."""
    left_us = max(0, left_us)
    if left_us <= MOST:
        return b"%du" % left_us
    if left_us // 1000 <= MOST:
        return b"%dm" % (left_us // 1000)
    return b"%dS" % min(MOST, left_us // 1_000_000)
