"""One step of the decisions as bytes: the time, the event, and what came of it. Pure.

A frame is a MessagePack array: [time in us, name of the event, its fields, [[name of an action, its fields],
...]]; in place of the actions a text where the decisions failed. A Named is no event of theirs: it says which
Req-Id a request's number stands for.
"""

from __future__ import annotations

from dataclasses import dataclass, is_dataclass
from typing import Any

import msgspec

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.record_schema import form_of
from sidecar_proxy.recorder.stored_names import stored_class_name, to_stored


@dataclass(slots=True, frozen=True)
class Named:
    """That number is the request with this Req-Id."""

    request: int
    ident: str


EVENTS = {
    stored_class_name(one): form_of(one)
    for one in (
        api.UpstreamsUpdated,
        api.RequestArrived,
        api.RequestGone,
        api.AttemptEnded,
        api.StreamStarted,
        api.ProbeEnded,
        api.WarmStartState,
        api.OutlierReported,
        api.FleetResized,
        api.OverloadUpdated,
        api.TimerFired,
        api.PeerMessage,
        Named,
    )
}
ACTIONS = {
    stored_class_name(one): form_of(one)
    for one in (
        api.Send,
        api.Refuse,
        api.Fail,
        api.Cancel,
        api.Probe,
        api.SetTimer,
        api.Subscribe,
        api.FetchList,
        api.CloseIdle,
        api.SendPeerMessage,
        api.Log,
    )
}

encode = msgspec.msgpack.Encoder().encode
Fields = dict[str, Any]
decode = msgspec.msgpack.Decoder(tuple[int, str, Fields, list[tuple[str, Fields]] | str]).decode


class FrameError(ValueError):
    """It is no frame; one line."""


@dataclass(slots=True, frozen=True)
class Frame:
    """A step."""

    now_us: int
    event: Any
    actions: list[Any]
    fault: str = ""  # of the decisions, in place of actions


def pack(now_us: int, event: object, actions: list[Any], fault: str = "") -> bytes:
    told = fault or [(stored_class_name(type(one)), one) for one in actions]
    return encode((now_us, stored_class_name(type(event)), to_stored(event), told))


def unpack(data: bytes) -> Frame:
    """Raises FrameError."""
    try:
        now_us, name, fields, told = decode(data)
        event = EVENTS[name].read(fields)
        if isinstance(told, str):
            return Frame(now_us, event, [], told or "unknown")
        return Frame(now_us, event, [ACTIONS[kind].read(inner) for kind, inner in told])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise FrameError(f"no frame: {' '.join(str(error).split())[:120]}") from error


def describe_record(one: object) -> str:
    """An event or action for people: what is as usual is left out."""
    if not is_dataclass(one):
        return repr(one)
    parts = []
    for name, field in one.__dataclass_fields__.items():
        value = getattr(one, name)
        if isinstance(value, list) and len(value) > 4:
            parts.append(f"{name}: {len(value)} of them")
        elif value != field.default and value != []:
            parts.append(f"{name}: {getattr(value, 'value', value)}")
    return f"{type(one).__name__}({', '.join(parts)})"
