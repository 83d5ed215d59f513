"""HOST:PORT as text."""

from __future__ import annotations

Address = tuple[str, int]


class AddressError(ValueError):
    """It is none; one line."""


def parse_address(text: object) -> Address:
    """Raises AddressError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise AddressError(f"expected an address HOST:PORT, got {text!r}")
    return host, int(port)
