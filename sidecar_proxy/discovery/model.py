"""One node as a source tells it, in discovery's form (docs/design/discovery.md)."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer.events import UpstreamState

MOST_VALUE = 64 * 1024  # bytes of one entry
MOST_TEXT = 256  # characters of a name, an address, a site
HEALTH = {
    "in_service": UpstreamState.READY,
    "terminating": UpstreamState.DRAINING,
    "terminated": UpstreamState.GONE,
}


class EntryError(ValueError):
    """What a source holds for a node can't be used; one line."""


@dataclass(slots=True, frozen=True)
class Entry:
    """A node; equal entries say the same."""

    name: str
    state: UpstreamState
    dial: str = ""
    dial_grpc: str = ""
    site: str = ""
    kind: str = ""
    block: int = 0
    share: float = 1.0
    born_ms: int = 0  # its latest start, Unix time; 0 = long ago


def parse(name: str, value: bytes) -> Entry:
    """A value as it is stored under the node's name: JSON, one entry of discovery's. Raises EntryError."""
    if len(value) > MOST_VALUE:
        raise EntryError(f"{short(name)}: {len(value)} bytes")
    try:
        told = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise EntryError(f"{short(name)}: not JSON: {short(str(error))}") from error
    if not isinstance(told, dict):
        raise EntryError(f"{short(name)}: not an object")
    return read(name, told)


def read(name: str, told: dict[str, Any]) -> Entry:
    """An entry's fields. Its `host`, if there is one, has to be the name that it stands under."""
    if not name or len(name) > MOST_TEXT or not name.isprintable():
        raise EntryError(f"a node named {short(name)}")
    if told.get("host", name) != name:
        raise EntryError(f"{short(name)}: host is {short(str(told['host']))}")
    health = told.get("health")
    state = HEALTH.get(health) if isinstance(health, str) else None
    if state is None:
        raise EntryError(f"{short(name)}: unknown health {short(str(health))}")
    if state is UpstreamState.GONE:
        return Entry(name, state)
    return Entry(
        name,
        state,
        address(name, told, "dial", True),
        address(name, told, "dial_grpc", False),
        text(name, told, "site"),
        text(name, told, "class"),
        whole(name, told, "block"),
        share(name, told),
        whole(name, told, "born_ms"),
    )


def text(name: str, told: dict[str, Any], key: str) -> str:
    value = told.get(key, "")
    if not isinstance(value, str) or len(value) > MOST_TEXT:
        raise EntryError(f"{short(name)}: {key} is {short(str(value))}")
    return value


def address(name: str, told: dict[str, Any], key: str, needed: bool) -> str:
    value = text(name, told, key)
    if not value and not needed:
        return ""
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= 65535:
        raise EntryError(f"{short(name)}: {key} is {short(value)}")
    return value


def whole(name: str, told: dict[str, Any], key: str) -> int:
    value = told.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 53:
        raise EntryError(f"{short(name)}: {key} is {short(str(value))}")
    return value


def share(name: str, told: dict[str, Any]) -> float:
    value = told.get("share", 1.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise EntryError(f"{short(name)}: share is {short(str(value))}")
    return float(value)


def short(value: str) -> str:
    """On one line, cut short."""
    shown = " ".join(repr(value).split())
    return shown if len(shown) <= 80 else shown[:77] + "..."
