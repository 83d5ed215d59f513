"""Encodes warm-start state, and validates and weights the state that a successor decodes.

No I/O: bytes and times are arguments. The successor serves the same upstreams a moment later, so the state is
still approximately right. It is not trusted all the same: the file may be of another version, damaged or old,
or describe upstreams that have restarted since. No state opens a concurrency limit further than the
successor's own measurements could, and none affects membership, which comes from discovery and from
operators.

Requests in flight, and the effects that they may have, are not part of the state: the process that has sent
them keeps them until they end.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Annotated

import msgspec

from sidecar_proxy.balancer import events as api

MAGIC = b"wickspread-remembered 1 "  # stored; the number is the version of the format
MAX_STATE_BYTES = 1 << 20
MAX_UPSTREAMS = 5_000
DIGEST_BYTES = 16

MAX_TRUSTED_AGE_US = 2_000_000  # up to this age the state has its full weight
MAX_AGE_US = 10_000_000  # from this age on the state is rejected; between the two its weight falls linearly
MAX_CLOCK_SKEW_US = 1_000_000  # a timestamp further in the future is not of this machine's clock


class UntrustedStateError(Exception):
    """The stored state cannot be used; the message is one line."""


class UnsupportedVersionError(UntrustedStateError):
    """The state does not begin with MAGIC."""

    def __init__(self) -> None:
        super().__init__("unsupported version")


class DamagedStateError(UntrustedStateError):
    """The state is too large, has a wrong checksum, or is not an encoded WarmStartRecord."""


class StateAgeError(UntrustedStateError):
    """The state is too old, or its timestamp is in the future."""

    def __init__(self, message: str, age_us: int) -> None:
        super().__init__(message)
        self.age_us = age_us


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The measurements of one upstream; stored as an array in the order of the fields."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]  # `host` in the endpoint list
    started_us: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # Unix time, from the endpoint list
    concurrency_limit: Annotated[float, msgspec.Meta(ge=0, le=1e6)]
    failure_rate: Annotated[float, msgspec.Meta(ge=0, le=1)]  # share of recent attempts that failed
    # typical response time; 0 = no response yet
    response_time_us: Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class WarmStartRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of one process; stored as an array in the order of the fields."""

    recorded_at_us: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # Unix time of the encoding
    response_times_us: dict[
        Annotated[str, msgspec.Meta(max_length=256)], Annotated[float, msgspec.Meta(ge=0, le=1e12)]
    ]  # typical response times by the name of the request class
    # the total concurrency limit divided by its initial value
    total_limit_ratio: Annotated[float, msgspec.Meta(ge=0, le=1e6)]
    upstreams: Annotated[list[UpstreamRecord], msgspec.Meta(max_length=MAX_UPSTREAMS)]


def encode(
    state: api.WarmStartState,
    now_us: int,
    class_names: list[str],
    names_by_upstream: Mapping[int, str],
    started_us_by_upstream: Mapping[int, int],
) -> bytes:
    """Return the encoded state.

    Of more than MAX_UPSTREAMS upstreams those with the highest failure rates and lowest limits are stored:
    they differ most from an upstream without measurements.
    """
    known_upstreams = [
        measured
        for measured in state.upstreams
        if measured.upstream in names_by_upstream and measured.upstream in started_us_by_upstream
    ]
    if len(known_upstreams) > MAX_UPSTREAMS:
        known_upstreams.sort(key=lambda measured: (-measured.failure_rate, measured.concurrency_limit))
    upstream_records = [
        UpstreamRecord(
            names_by_upstream[measured.upstream],
            started_us_by_upstream[measured.upstream],
            measured.concurrency_limit,
            measured.failure_rate,
            measured.response_time_us,
        )
        for measured in known_upstreams[:MAX_UPSTREAMS]
    ]
    response_times_us = dict(zip(class_names, state.response_times_us, strict=True))
    body = msgspec.msgpack.encode(
        WarmStartRecord(now_us, response_times_us, state.total_limit_ratio, upstream_records)
    )
    return MAGIC + checksum(body) + b"\n" + body


def decode(data: bytes) -> WarmStartRecord:
    """Decode and validate a stored state. Raises UntrustedStateError."""
    if len(data) > MAX_STATE_BYTES:
        raise DamagedStateError(f"state of at least {len(data)} bytes, the maximum is {MAX_STATE_BYTES}")
    head, _, body = data.partition(b"\n")
    if not head.startswith(MAGIC):
        raise UnsupportedVersionError
    if head[len(MAGIC) :] != checksum(body):
        # What stands in place of the checksum in a damaged file may be long: only its usual length is logged.
        stored_checksum = head[len(MAGIC) :][: 2 * DIGEST_BYTES]
        raise DamagedStateError(
            f"stored checksum is {stored_checksum!r}, that of the content is {checksum(body)!r}"
        )
    try:
        return msgspec.msgpack.decode(body, type=WarmStartRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise DamagedStateError(f"state is not a valid WarmStartRecord: {error}") from error


def checksum(body: bytes) -> bytes:
    """Return the hexadecimal digest that is stored before the body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def weight_at_age(age_us: int) -> float:
    """Return the weight of a state of this age, from 0 to 1. Raises StateAgeError."""
    if age_us < -MAX_CLOCK_SKEW_US:
        raise StateAgeError(
            f"timestamp of the state is {-age_us / 1e6} s in the future, "
            f"the maximum is {MAX_CLOCK_SKEW_US / 1e6} s",
            age_us,
        )
    if age_us >= MAX_AGE_US:
        raise StateAgeError(
            f"state is {age_us // 1_000_000} s old, it must be less than {MAX_AGE_US // 1_000_000} s old",
            age_us,
        )
    return min(1.0, (MAX_AGE_US - age_us) / (MAX_AGE_US - MAX_TRUSTED_AGE_US))


def restore(
    record: WarmStartRecord,
    now_us: int,
    class_names: list[str],
    upstreams_by_name: Mapping[str, int],
    started_us_by_upstream: Mapping[int, int],
) -> api.WarmStartState:
    """Return the state in a record for the balancer, weighted by its age.

    Upstreams that are not listed or have restarted since are left out. The response times of request classes
    are used only at full weight. Raises StateAgeError.
    """
    weight = weight_at_age(now_us - record.recorded_at_us)
    upstreams = []
    for upstream_record in record.upstreams:
        upstream = upstreams_by_name.get(upstream_record.name, -1)
        if started_us_by_upstream.get(upstream, -1) != upstream_record.started_us:
            continue
        upstreams.append(
            api.WarmStartUpstream(
                upstream,
                1.0 + (upstream_record.concurrency_limit - 1.0) * weight,
                upstream_record.failure_rate * weight,
                upstream_record.response_time_us,
            )
        )
    response_times_us = [0.0] * len(class_names)
    if weight == 1.0:
        response_times_us = [record.response_times_us.get(name, 0.0) for name in class_names]
    return api.WarmStartState(response_times_us, 1.0 + (record.total_limit_ratio - 1.0) * weight, upstreams)
