"""The simulator's binary protocol: decodes batches into events, and encodes actions as replies.

All integers are little-endian. A `WireError` states in one line what is malformed and where.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from sidecar_proxy.balancer import events as api

# layouts of a batch's header, of a reply's header, and of the records' fields
HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_UPSTREAM_ENTRY = struct.Struct("<IBBHBfQ")
_LIST_HEADER = struct.Struct("<II")
_INSTANCE_STARTED = struct.Struct("<QI")
_UPSTREAMS_UPDATED = struct.Struct("<BII")
_REQUEST_ARRIVED = struct.Struct("<IBIQIBQ")
_ATTEMPT_ENDED = struct.Struct("<IBIHIBB")
_STREAM_STARTED = struct.Struct("<IBII")
_PROBE_ENDED = struct.Struct("<IHIB")
_PEER_MESSAGE = struct.Struct("<HH")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")

_OUTCOMES = {
    0: api.Outcome.OK,
    5: api.Outcome.ERROR,
    11: api.Outcome.FULL,
    110: api.Outcome.TIMEOUT,
    111: api.Outcome.CONNECT_FAILED,
    104: api.Outcome.RESET,
    125: api.Outcome.CANCELLED,
    114: api.Outcome.NOT_SENT,
}
_STATES = {0: api.UpstreamState.GONE, 1: api.UpstreamState.READY, 2: api.UpstreamState.DRAINING}
_LIST_KINDS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}
_U32_MAX = 0xFFFFFFFF
V = TypeVar("V")


class WireError(Exception):
    """A batch is malformed, or a setting in it is invalid."""


@dataclass(slots=True)
class InstanceStarted:
    """An instance starts, with no state and these settings."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """An instance has been killed."""


@dataclass(slots=True)
class InternalError:
    """An action that reports an exception of the balancer."""

    text: str


Record = api.Event | InstanceStarted | InstanceStopped
Reply = api.Action | InternalError


class Decoder:
    """Decodes batches, and keeps the numbered upstream lists that events refer to."""

    def __init__(self) -> None:
        self.lists: dict[int, list[api.Upstream]] = {}
        self.data = b""
        self.offset = 0

    def decode_batch(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield the (instance, event) pairs of a batch's body, in order. Raises WireError."""
        self.data, self.offset = data, 0
        for index in range(count):
            start = self.offset
            try:
                code = self.take(1)[0]
                if code == 110:
                    self.read_list()
                    continue
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown event code {code}")
                instance = self.fields(_U16)[0]
                event = reader(self)
            except (WireError, UnicodeDecodeError) as error:
                raise WireError(f"record {index} at byte {start}: {error}") from error
            yield instance, event
        if self.offset != len(data):
            raise WireError(f"{len(data) - self.offset} bytes left over after {count} records")

    def take(self, size: int) -> bytes:
        """Return the next bytes. Raises WireError if fewer are left."""
        end = self.offset + size
        if end > len(self.data):
            raise WireError(f"truncated: expected {size} bytes, {len(self.data) - self.offset} left")
        piece = self.data[self.offset : end]
        self.offset = end
        return piece

    def fields(self, layout: struct.Struct) -> tuple[int, ...]:
        """Return the next fields. Raises WireError."""
        return layout.unpack(self.take(layout.size))

    def floats(self, count: int) -> list[float]:
        """Return the next 32-bit floats. Raises WireError if one is not finite."""
        values = list(struct.unpack(f"<{count}f", self.take(4 * count)))
        if not all(map(math.isfinite, values)):
            raise WireError("a load report value that is not a finite number")
        return values

    def read_list(self) -> None:
        """Read an upstream list, and keep it under its number. Raises WireError."""
        number, count = self.fields(_LIST_HEADER)
        entries = []
        for upstream, zone, kind, cell, state, weight, started_us in _UPSTREAM_ENTRY.iter_unpack(
            self.take(_UPSTREAM_ENTRY.size * count)
        ):
            if not math.isfinite(weight):
                raise WireError(f"upstream {upstream} has a weight that is not a finite number")
            entries.append(
                api.Upstream(
                    upstream,
                    _lookup(_STATES, state, "upstream condition"),
                    zone,
                    kind,
                    cell,
                    weight,
                    started_us,
                )
            )
        self.lists[number] = entries


def _lookup(table: dict[int, V], code: int, description: str) -> V:
    value = table.get(code)
    if value is None:
        raise WireError(f"unknown {description} {code}")
    return value


def _read_instance_started(decoder: Decoder) -> Record:
    seed, size = decoder.fields(_INSTANCE_STARTED)
    return InstanceStarted(seed, decoder.take(size).decode())


def _read_instance_stopped(decoder: Decoder) -> Record:
    return InstanceStopped()


def _read_upstreams_updated(decoder: Decoder) -> Record:
    kind_code, version, list_number = decoder.fields(_UPSTREAMS_UPDATED)
    kind = _lookup(_LIST_KINDS, kind_code, "list kind")
    if kind is api.ListKind.FAILED:
        return api.UpstreamsUpdated(kind, [], version)
    if list_number not in decoder.lists:
        raise WireError(f"upstream list {list_number} was never sent")
    return api.UpstreamsUpdated(kind, decoder.lists[list_number], version)


def _read_request_arrived(decoder: Decoder) -> Record:
    request, class_index, tenant, key, cost, flags, due_us = decoder.fields(_REQUEST_ARRIVED)
    return api.RequestArrived(
        request, due_us, class_index, tenant, key, cost if flags & 1 else 0, bool(flags & 2), bool(flags & 4)
    )


def _read_attempt_ended(decoder: Decoder) -> Record:
    request, attempt, upstream, outcome, elapsed_us, final, count = decoder.fields(_ATTEMPT_ENDED)
    return api.AttemptEnded(
        request,
        attempt,
        upstream,
        _lookup(_OUTCOMES, outcome, "outcome"),
        elapsed_us,
        bool(final),
        decoder.floats(count),
    )


def _read_stream_started(decoder: Decoder) -> Record:
    request, attempt, elapsed_us, upstream = decoder.fields(_STREAM_STARTED)
    return api.StreamStarted(request, attempt, upstream, elapsed_us)


def _read_probe_ended(decoder: Decoder) -> Record:
    upstream, outcome, elapsed_us, count = decoder.fields(_PROBE_ENDED)
    return api.ProbeEnded(upstream, _lookup(_OUTCOMES, outcome, "outcome"), elapsed_us, decoder.floats(count))


def _read_peer_message(decoder: Decoder) -> Record:
    sender, size = decoder.fields(_PEER_MESSAGE)
    return api.PeerMessage(sender, decoder.take(size))


_READERS: dict[int, Callable[[Decoder], Record]] = {
    10: _read_attempt_ended,
    20: _read_stream_started,
    30: _read_peer_message,
    40: _read_instance_stopped,
    50: lambda decoder: api.TimerFired(decoder.fields(_U32)[0]),
    60: lambda decoder: api.RequestGone(decoder.fields(_U32)[0]),
    70: _read_request_arrived,
    80: _read_upstreams_updated,
    90: _read_probe_ended,
    100: _read_instance_started,
}


def _packer(code: int, layout: str) -> Callable[..., bytes]:
    packer = struct.Struct("<BH" + layout)
    return lambda instance, *values: packer.pack(code, instance, *values)


_pack_send, _pack_refuse, _pack_fail = _packer(20, "IIi"), _packer(40, "II"), _packer(90, "I")
_pack_cancel, _pack_probe, _pack_set_timer = _packer(100, "IB"), _packer(80, "I"), _packer(30, "QI")
_pack_subscribe, _pack_fetch_list, _pack_close_idle = _packer(70, "B"), _packer(10, ""), _packer(110, "I")
_pack_peer_message_header, _pack_log_header, _pack_error_header = (
    _packer(50, "IH"),
    _packer(120, "H"),
    _packer(60, "H"),
)


def _pack_text(pack_header: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return pack_header(instance, len(raw)) + raw


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: _pack_send(i, a.request, a.upstream, a.timeout_us),
    api.Refuse: lambda i, a: _pack_refuse(i, a.request, a.retry_after_us),
    api.Fail: lambda i, a: _pack_fail(i, a.request),
    api.Cancel: lambda i, a: _pack_cancel(i, a.request, a.attempt),
    api.Probe: lambda i, a: _pack_probe(i, a.upstream),
    api.SetTimer: lambda i, a: _pack_set_timer(i, a.at_us, a.token),
    api.Subscribe: lambda i, a: _pack_subscribe(i, int(a.active)),
    api.FetchList: lambda i, a: _pack_fetch_list(i),
    api.CloseIdle: lambda i, a: _pack_close_idle(i, a.upstream),
    api.SendPeerMessage: lambda i, a: (
        _pack_peer_message_header(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload
    ),
    api.Log: lambda i, a: _pack_text(_pack_log_header, i, a.text),
    InternalError: lambda i, a: _pack_text(_pack_error_header, i, a.text),
}


def encode(instance: int, action: Reply) -> bytes:
    """Encode an action as one record."""
    return _WRITERS[type(action)](instance, action)


def reply(records: list[bytes]) -> bytes:
    """Encode a reply: its header and its records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body
