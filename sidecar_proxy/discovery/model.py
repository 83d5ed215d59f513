"""One endpoint as a source lists it: the platform's JSON form, checked (docs/design/discovery.md)."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer.events import UpstreamState

MAX_VALUE_BYTES = 64 * 1024  # maximum size of one entry's stored value
MAX_TEXT_LENGTH = 256  # maximum number of characters of a name, an address or a site
STATE_BY_HEALTH = {
    "in_service": UpstreamState.READY,
    "terminating": UpstreamState.DRAINING,
    "terminated": UpstreamState.GONE,
}


class EntryError(ValueError):
    """The value that a source stores for an endpoint can't be used; the message is one line."""


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint as a source lists it."""

    name: str
    state: UpstreamState
    dial: str = ""
    dial_grpc: str = ""
    site: str = ""
    kind: str = ""
    block: int = 0
    share: float = 1.0
    born_ms: int = 0  # Unix time of its latest start; 0 = long ago


def parse_entry(name: str, value: bytes) -> EndpointEntry:
    """Parse a stored value: one entry of the platform's list as JSON. Raises EntryError."""
    if len(value) > MAX_VALUE_BYTES:
        raise EntryError(f"{shorten(name)}: value of {len(value)} bytes, at most {MAX_VALUE_BYTES} allowed")
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise EntryError(f"{shorten(name)}: not JSON: {shorten(str(error))}") from error
    if not isinstance(fields, dict):
        raise EntryError(f"{shorten(name)}: not an object")
    return read_entry(name, fields)


def read_entry(name: str, fields: dict[str, Any]) -> EndpointEntry:
    """Check the fields of an entry. Its `host`, if there is one, must be the name it is stored under.

    Raises EntryError.
    """
    if not name or len(name) > MAX_TEXT_LENGTH or not name.isprintable():
        raise EntryError(
            f"endpoint name is {shorten(name)}, expected 1 to {MAX_TEXT_LENGTH} printable characters"
        )
    if fields.get("host", name) != name:
        raise EntryError(f"{shorten(name)}: host is {shorten(str(fields['host']))}, expected the name")
    health = fields.get("health")
    state = STATE_BY_HEALTH.get(health) if isinstance(health, str) else None
    if state is None:
        raise EntryError(f"{shorten(name)}: unknown health {shorten(str(health))}")
    if state is UpstreamState.GONE:
        return EndpointEntry(name, state)
    return EndpointEntry(
        name,
        state,
        read_address(name, fields, "dial", True),
        read_address(name, fields, "dial_grpc", False),
        read_text(name, fields, "site"),
        read_text(name, fields, "class"),
        read_integer(name, fields, "block"),
        read_share(name, fields),
        read_integer(name, fields, "born_ms"),
    )


def read_text(name: str, fields: dict[str, Any], key: str) -> str:
    """Return an optional text field. Raises EntryError."""
    value = fields.get(key, "")
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise EntryError(
            f"{shorten(name)}: {key} is {shorten(str(value))}, "
            f"expected a text of at most {MAX_TEXT_LENGTH} characters"
        )
    return value


def read_address(name: str, fields: dict[str, Any], key: str, is_required: bool) -> str:
    """Return an address HOST:PORT; empty if it is missing and not required. Raises EntryError."""
    value = read_text(name, fields, key)
    if not value and not is_required:
        return ""
    host, _, port = value.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= 65535:
        raise EntryError(f"{shorten(name)}: {key} is {shorten(value)}, expected HOST:PORT")
    return value


def read_integer(name: str, fields: dict[str, Any], key: str) -> int:
    """Return an optional integer field that is not negative and below 2^53. Raises EntryError."""
    value = fields.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 1 << 53:
        raise EntryError(
            f"{shorten(name)}: {key} is {shorten(str(value))}, expected an integer from 0 to 2^53 - 1"
        )
    return value


def read_share(name: str, fields: dict[str, Any]) -> float:
    """Return the weight of the endpoint, by default 1. Raises EntryError."""
    value = fields.get("share", 1.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise EntryError(
            f"{shorten(name)}: share is {shorten(str(value))}, expected a finite number that is not negative"
        )
    return float(value)


def shorten(value: str) -> str:
    """Quote a text on one line of at most 80 characters."""
    quoted = " ".join(repr(value).split())
    return quoted if len(quoted) <= 80 else quoted[:77] + "..."
