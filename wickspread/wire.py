"""The bench's wire: frames to interface events, interface actions to frames, settings from text.

No decision is made here. `WireError` says in one line what is malformed and where.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from wickspread import interface as api

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
    0: api.Outcome.OK, 5: api.Outcome.ERROR, 11: api.Outcome.FULL, 110: api.Outcome.TIMEOUT,
    111: api.Outcome.CONNECT_FAILED, 104: api.Outcome.RESET, 125: api.Outcome.CANCELLED,
    114: api.Outcome.NOT_SENT,
}
_STATES = {0: api.UpstreamState.GONE, 1: api.UpstreamState.READY, 2: api.UpstreamState.DRAINING}
_LIST_KINDS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}
# Load report values: the wire's names and ours; a name not known here is kept as it is.
_REPORT_NAMES = {"rif": "in_flight", "q": "queued", "busy": "utilization", "lat_ms": "latency_ms",
                 "rate": "served_per_s", "fail_rate": "errors_per_s"}
# The same values as an upstream's JSON names them.
_REPORT_FIELDS = {"inflight": "in_flight", "queue": "queued", "util": "utilization", "qps": "served_per_s",
                  "eps": "errors_per_s"} | _REPORT_NAMES
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
        piece = self.data[self.at:end]
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
            entries.append(api.Upstream(upstream, _known(_STATES, state, "upstream condition"), zone, kind,
                                        cell, weight, started))
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
    return api.RequestArrived(request, due, class_index, tenant, key, cost if marks & 1 else 0,
                              bool(marks & 2), bool(marks & 4))


def _completed(frame: Decoder) -> Record:
    request, attempt, upstream, verdict, spent, last, count = frame.fields(_COMPLETED)
    return api.AttemptEnded(request, attempt, upstream, _known(_OUTCOMES, verdict, "outcome"), spent,
                            bool(last), frame.floats(count))


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
    10: _completed, 20: _begun, 30: _datagram, 40: _stopped,
    50: lambda frame: api.TimerFired(frame.fields(_U32)[0]),
    60: lambda frame: api.RequestGone(frame.fields(_U32)[0]),
    70: _accept, 80: _members, 90: _health, 100: _started,
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
    api.TellPeer: lambda i, a: _tell(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload,
    api.Log: lambda i, a: _text(_text_log, i, a.text),
    InternalError: lambda i, a: _text(_text_error, i, a.text),
}


# Actions that need a permission, and the setting that gives it.
_PERMITS = {api.Probe: "probes", api.Cancel: "cancel", api.TellPeer: "peers"}


def check_allowed(settings: api.Settings, action: api.Action) -> None:
    """Raise for an action that the settings forbid, so that it is never sent."""
    permit = _PERMITS.get(type(action))
    if permit is not None and not getattr(settings, permit):
        raise ValueError(f"{type(action).__name__} where the settings forbid it")


def parse_report(text: bytes, names: list[str]) -> list[float]:
    """A load report's values in the order of `names`; none if it is not whole and finite."""
    try:
        told = json.loads(text) if text else {}
        values = {_REPORT_FIELDS.get(name, name): float(value) for name, value in told.items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return []
    report = [values.get(name, math.nan) for name in names]
    return report if all(map(math.isfinite, report)) else []


def encode(instance: int, action: Reply) -> bytes:
    """One action record."""
    return _WRITERS[type(action)](instance, action)


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


class _Options:
    """The start-up settings' path=value pairs, read with checks."""

    def __init__(self, text: str) -> None:
        self.pairs: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip():
                continue
            path, equals, value = line.partition("=")
            if not equals or not path:
                raise WireError(f"settings line {number}: expected path=value, got {line!r}")
            self.pairs[path] = value

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise WireError(f"setting {path} is missing")
        return value

    def names(self, path: str) -> list[str]:
        return [name for name in self.text(path, "").split(",") if name]

    def number(self, path: str, default: str | None = None) -> float:
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise WireError(f"setting {path}: expected a number, got {value!r}")
        return number

    def whole(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            raise WireError(f"setting {path}: expected a whole number, got {self.text(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(path, default)
        if value not in choices:
            raise WireError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def _class(options: _Options, at: str) -> api.RequestClass:
    return api.RequestClass(
        name=options.text(at + "name"),
        aim_us=options.whole(at + "aim"),
        deadline_us=options.whole(at + "deadline"),
        worth=options.number(at + "worth"),
        late_worth=options.number(at + "late-worth", "0"),
        aim_stretch=options.number(at + "aim-stretch", "0"),
        effect=options.choice(at + "effect", api.EFFECTS),
        group=options.choice(at + "group", api.GROUPS, "all"),
        memory_us=options.whole(at + "memory-span", "0"),
        stream=options.flag(at + "stream", "false"),
    )


def _tenant(options: _Options, at: str) -> api.Tenant:
    return api.Tenant(options.text(at + "name"), options.number(at + "allowance-per-s"),
                      options.number(at + "share", "0"))


def parse_settings(text: str) -> api.Settings:
    """The settings of one instance; keys that are not known are skipped."""
    o = _Options(text)
    try:
        return api.Settings(
            classes=[_class(o, f"request-classes.{i}.") for i in range(o.whole("request-classes.count"))],
            tenants=[_tenant(o, f"accounts.{i}.") for i in range(o.whole("accounts.count", "0"))],
            over_share_worth=o.number("over-share-worth", "1"),
            worth_by_work=o.choice("value-by", ("request", "work"), "request") == "work",
            instances=o.whole("instances"),
            self_index=o.whole("self-index", "0"),
            zone=o.whole("locality", "0"),
            tick_us=o.whole("granularity"),
            max_attempts=o.whole("bounds.most-tries"),
            max_retry_after_us=o.whole("bounds.max-retry-after", "0"),
            connect_timeout_us=o.whole("bounds.dial-timeout", "0"),
            retry_after=o.flag("bounds.retry-after"),
            cancel=o.flag("bounds.cancel"),
            probes=o.flag("bounds.probes"),
            peers=o.flag("bounds.peers", "false"),
            second_copies=o.flag("bounds.second-copies"),
            list_on_request=o.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            ask_within_us=o.whole("invariants.ask-within", "0"),
            cold_share=o.number("invariants.cold-share"),
            warm_up_us=o.whole("invariants.warm-up"),
            overload_factor=o.number("invariants.overload-factor"),
            fall_us=o.whole("invariants.fall"),
            cross_zone_fee=o.number("fees.cross-zone", "0"),
            warm_keys=o.flag("specifics.warm-keys", "false"),
            report_names=[_REPORT_NAMES.get(name, name) for name in o.names("report.names")],
            weighted=o.text("weights", "none") in ("nominal", "rough"),
            zones=o.names("areas"),
            kinds=o.names("kinds"),
            idle_us=o.whole("bounds.conn-idle", "0"),
            probe_timeout_us=o.whole("bounds.probe-timeout", "250000"),
        )
    except ValueError as error:
        raise WireError(f"settings: {error}") from error
