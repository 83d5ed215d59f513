"""The bench's wire: frames to interface events, interface actions to frames.

No decision is made here. `WireError` says in one line what is malformed and where.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from sidecar_proxy.balancer import events as api

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_ENTRY = struct.Struct("<IBBHBfQ")
_LIST_HEAD = struct.Struct("<II")
_POWER_ON = struct.Struct("<QI")
_MEMBERS = struct.Struct("<BII")
_ACCEPT = struct.Struct("<IBIQIBQ")
_COMPLETED = struct.Struct("<IBIHIBB")
_BEGUN = struct.Struct("<IBII")
_HEALTH = struct.Struct("<IHIB")
_DATAGRAM = struct.Struct("<HH")
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
    """A frame or a setting that cannot be read."""


@dataclass(slots=True)
class InstanceStarted:
    """An instance comes up with no state."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """The instance has been killed."""


@dataclass(slots=True)
class InternalError:
    """Action: the decision code has failed; the text says how."""

    text: str


Record = api.Event | InstanceStarted | InstanceStopped
Reply = api.Action | InternalError


class Decoder:
    """Reads batches; remembers the numbered upstream lists, which events refer to."""

    def __init__(self) -> None:
        self.lists: dict[int, list[api.Upstream]] = {}
        self.data = b""
        self.at = 0

    def batch(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """The (instance, event) pairs of a batch's body, in order."""
        self.data, self.at = data, 0
        for index in range(count):
            start = self.at
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
        if self.at != len(data):
            raise WireError(f"{len(data) - self.at} bytes left over after {count} records")

    def take(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise WireError(f"truncated: {size} bytes wanted, {len(self.data) - self.at} left")
        piece = self.data[self.at : end]
        self.at = end
        return piece

    def fields(self, layout: struct.Struct) -> tuple[int, ...]:
        return layout.unpack(self.take(layout.size))

    def floats(self, count: int) -> list[float]:
        values = list(struct.unpack(f"<{count}f", self.take(4 * count)))
        if not all(map(math.isfinite, values)):
            raise WireError("a load report value that is not a finite number")
        return values

    def read_list(self) -> None:
        number, count = self.fields(_LIST_HEAD)
        entries = []
        for upstream, zone, kind, cell, state, weight, started in _ENTRY.iter_unpack(
            self.take(_ENTRY.size * count)
        ):
            if not math.isfinite(weight):
                raise WireError(f"upstream {upstream} has a weight that is not a finite number")
            entries.append(
                api.Upstream(
                    upstream, _known(_STATES, state, "upstream condition"), zone, kind, cell, weight, started
                )
            )
        self.lists[number] = entries


def _known(table: dict[int, V], code: int, what: str) -> V:
    value = table.get(code)
    if value is None:
        raise WireError(f"unknown {what} {code}")
    return value


def _started(frame: Decoder) -> Record:
    seed, size = frame.fields(_POWER_ON)
    return InstanceStarted(seed, frame.take(size).decode())


def _stopped(frame: Decoder) -> Record:
    return InstanceStopped()


def _members(frame: Decoder) -> Record:
    how, version, number = frame.fields(_MEMBERS)
    kind = _known(_LIST_KINDS, how, "list kind")
    if kind is api.ListKind.FAILED:
        return api.UpstreamsUpdated(kind, [], version)
    if number not in frame.lists:
        raise WireError(f"upstream list {number} was never sent")
    return api.UpstreamsUpdated(kind, frame.lists[number], version)


def _accept(frame: Decoder) -> Record:
    request, class_index, tenant, key, cost, marks, due = frame.fields(_ACCEPT)
    return api.RequestArrived(
        request, due, class_index, tenant, key, cost if marks & 1 else 0, bool(marks & 2), bool(marks & 4)
    )


def _completed(frame: Decoder) -> Record:
    request, attempt, upstream, verdict, spent, last, count = frame.fields(_COMPLETED)
    return api.AttemptEnded(
        request,
        attempt,
        upstream,
        _known(_OUTCOMES, verdict, "outcome"),
        spent,
        bool(last),
        frame.floats(count),
    )


def _begun(frame: Decoder) -> Record:
    request, attempt, spent, upstream = frame.fields(_BEGUN)
    return api.StreamStarted(request, attempt, upstream, spent)


def _health(frame: Decoder) -> Record:
    upstream, verdict, spent, count = frame.fields(_HEALTH)
    return api.ProbeEnded(upstream, _known(_OUTCOMES, verdict, "outcome"), spent, frame.floats(count))


def _datagram(frame: Decoder) -> Record:
    sender, size = frame.fields(_DATAGRAM)
    return api.PeerMessage(sender, frame.take(size))


_READERS: dict[int, Callable[[Decoder], Record]] = {
    10: _completed,
    20: _begun,
    30: _datagram,
    40: _stopped,
    50: lambda frame: api.TimerFired(frame.fields(_U32)[0]),
    60: lambda frame: api.RequestGone(frame.fields(_U32)[0]),
    70: _accept,
    80: _members,
    90: _health,
    100: _started,
}


def _pack(code: int, layout: str) -> Callable[..., bytes]:
    packer = struct.Struct("<BH" + layout)
    return lambda instance, *values: packer.pack(code, instance, *values)


_send, _refuse, _fail = _pack(20, "IIi"), _pack(40, "II"), _pack(90, "I")
_cancel, _probe, _timer = _pack(100, "IB"), _pack(80, "I"), _pack(30, "QI")
_subscribe, _fetch, _close = _pack(70, "B"), _pack(10, ""), _pack(110, "I")
_tell, _text_log, _text_error = _pack(50, "IH"), _pack(120, "H"), _pack(60, "H")


def _text(head: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return head(instance, len(raw)) + raw


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda i, a: _send(i, a.request, a.upstream, a.timeout_us),
    api.Refuse: lambda i, a: _refuse(i, a.request, a.retry_after_us),
    api.Fail: lambda i, a: _fail(i, a.request),
    api.Cancel: lambda i, a: _cancel(i, a.request, a.attempt),
    api.Probe: lambda i, a: _probe(i, a.upstream),
    api.SetTimer: lambda i, a: _timer(i, a.at_us, a.token),
    api.Subscribe: lambda i, a: _subscribe(i, int(a.active)),
    api.FetchList: lambda i, a: _fetch(i),
    api.CloseIdle: lambda i, a: _close(i, a.upstream),
    api.SendPeerMessage: lambda i, a: (
        _tell(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload
    ),
    api.Log: lambda i, a: _text(_text_log, i, a.text),
    InternalError: lambda i, a: _text(_text_error, i, a.text),
}


def encode(instance: int, action: Reply) -> bytes:
    """One action record."""
    return _WRITERS[type(action)](instance, action)


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body
