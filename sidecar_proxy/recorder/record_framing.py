"""Encodes one step of the balancer as a frame: the time, the event, and the resulting actions. Pure.

A frame is a MessagePack array: [time in us, name of the event, its fields, [[name of an action, its fields],
...]]. If the balancer raised an exception, its text is in place of the actions. A Named is not an event of
the balancer: it records the Req-Id of a request's number.
"""

from __future__ import annotations

from dataclasses import dataclass, is_dataclass
from typing import Any

import msgspec

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.record_schema import record_schema
from sidecar_proxy.recorder.stored_names import stored_class_name, to_stored


@dataclass(slots=True, frozen=True)
class Named:
    """Records that the request of this number has this Req-Id."""

    request: int
    ident: str


EVENTS = {
    stored_class_name(record_class): record_schema(record_class)
    for record_class in (
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
    stored_class_name(record_class): record_schema(record_class)
    for record_class in (
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
    """The bytes are not a valid frame; the message is one line."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One step of the balancer."""

    now_us: int
    event: Any
    actions: list[Any]
    fault: str = ""  # the exception that the balancer raised; there are no actions then


def pack(now_us: int, event: object, actions: list[Any], fault: str = "") -> bytes:
    """Encode a step as a frame."""
    result = fault or [(stored_class_name(type(action)), action) for action in actions]
    return encode((now_us, stored_class_name(type(event)), to_stored(event), result))


def unpack(data: bytes) -> Frame:
    """Decode a frame. Raises FrameError."""
    try:
        now_us, name, fields, result = decode(data)
        event = EVENTS[name].read(fields)
        if isinstance(result, str):
            return Frame(now_us, event, [], result or "unknown")
        return Frame(now_us, event, [ACTIONS[action].read(action_fields) for action, action_fields in result])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise FrameError(f"no frame: {' '.join(str(error).split())[:120]}") from error


def describe_record(record: object) -> str:
    """Format an event or action for people, without the fields that have their default value."""
    if not is_dataclass(record):
        return repr(record)
    parts = []
    for name, field in record.__dataclass_fields__.items():
        value = getattr(record, name)
        if isinstance(value, list) and len(value) > 4:
            parts.append(f"{name}: {len(value)} of them")
        elif value != field.default and value != []:
            parts.append(f"{name}: {getattr(value, 'value', value)}")
    return f"{type(record).__name__}({', '.join(parts)})"
