"""What one process of a sidecar has learnt and leaves to the next: its form, and what of it may be believed.

Pure: bytes and times are handed in. The next process serves the same upstreams a moment later, so what was
learnt is nearly true then; it is read with distrust all the same, as the file may be of another version,
torn, old, or of upstreams that have started anew since. Nothing in it can open more than own experience
could, and nothing in it speaks of membership: that comes from discovery and from operators' hands alone.

Requests under way, and the effects that they may have, are not in it: the process that sent them keeps them
until their end.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Annotated

import msgspec

from sidecar_proxy.balancer import events as api

MAGIC = b"wickspread-remembered 1 "  # the number is that of the form; another one is not read
MOST_BYTES = 1 << 20
MOST_UPSTREAMS = 5_000
SURE_US = 2_000_000  # up to this age it is taken as it is
WORTHLESS_US = 10_000_000  # from this age on it says nothing; between the two it counts ever less
SKEW_US = 1_000_000  # a time ahead of ours by more is no time of this machine


class UntrustedStateError(Exception):
    """It can't be used; one line that says why."""


class Node(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=256)]  # discovery's `host`
    started_us: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # as its list entry told it
    window: Annotated[float, msgspec.Meta(ge=0, le=1e6)]  # open slots
    failing: Annotated[float, msgspec.Meta(ge=0, le=1)]  # share of its last attempts
    answer_us: Annotated[float, msgspec.Meta(ge=0, le=1e12)]  # its usual answer; 0 = none seen


class WarmStartRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    at_us: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]  # Unix time
    response_times_us: dict[
        Annotated[str, msgspec.Meta(max_length=256)], Annotated[float, msgspec.Meta(ge=0, le=1e12)]
    ]  # by class
    total: Annotated[float, msgspec.Meta(ge=0, le=1e6)]  # all slots, in first ones
    nodes: Annotated[list[Node], msgspec.Meta(max_length=MOST_UPSTREAMS)]


def encode(
    told: api.WarmStartState,
    at_us: int,
    classes: list[str],
    names: Mapping[int, str],
    started_us: Mapping[int, int],
) -> bytes:
    """`names` and `started_us` are by number, as are the upstreams of `told`. Of more than MOST_UPSTREAMS
    those go in that differ most from one that nothing is known of.
    """
    known = [one for one in told.upstreams if one.upstream in names and one.upstream in started_us]
    if len(known) > MOST_UPSTREAMS:
        known.sort(key=lambda one: (-one.failure_rate, one.concurrency_limit))
    nodes = [
        Node(
            names[one.upstream],
            started_us[one.upstream],
            one.concurrency_limit,
            one.failure_rate,
            one.response_time_us,
        )
        for one in known[:MOST_UPSTREAMS]
    ]
    answers = dict(zip(classes, told.response_times_us, strict=True))
    body = msgspec.msgpack.encode(WarmStartRecord(at_us, answers, told.total_limit_ratio, nodes))
    return MAGIC + hashlib.blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def decode(data: bytes) -> WarmStartRecord:
    """Raises Distrusted."""
    if len(data) > MOST_BYTES:
        raise UntrustedStateError("too large")
    head, _, body = data.partition(b"\n")
    if not head.startswith(MAGIC):
        raise UntrustedStateError("of another version")
    if head[len(MAGIC) :] != hashlib.blake2b(body, digest_size=16).hexdigest().encode():
        raise UntrustedStateError("torn")
    try:
        return msgspec.msgpack.decode(body, type=WarmStartRecord)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UntrustedStateError(f"malformed: {error}") from error


def belief(age_us: int) -> float:
    """How much of what is so old counts, 0 to 1. Raises Distrusted."""
    if age_us < -SKEW_US:
        raise UntrustedStateError("from the future")
    if age_us >= WORTHLESS_US:
        raise UntrustedStateError(f"{age_us // 1_000_000} s old")
    return min(1.0, (WORTHLESS_US - age_us) / (WORTHLESS_US - SURE_US))


def believe(
    found: WarmStartRecord,
    now_us: int,
    classes: list[str],
    numbers: Mapping[str, int],
    started_us: Mapping[int, int],
) -> api.WarmStartState:
    """What the decisions may be told of it. Upstreams that are not known here, or have started anew since,
    are left out. Raises Distrusted.
    """
    part = belief(now_us - found.at_us)
    upstreams = []
    for node in found.nodes:
        number = numbers.get(node.name, -1)
        if started_us.get(number, -1) == node.started_us:
            upstreams.append(
                api.WarmStartUpstream(
                    number, 1.0 + (node.window - 1.0) * part, node.failing * part, node.answer_us
                )
            )
    answers = [found.response_times_us.get(name, 0.0) if part == 1.0 else 0.0 for name in classes]
    return api.WarmStartState(answers, 1.0 + (found.total - 1.0) * part, upstreams)
