"""Network addresses as text: HOST:PORT."""

from __future__ import annotations

Address = tuple[str, int]

MAX_PORT = 65535


class AddressError(ValueError):
    """The text is not an address of the form HOST:PORT."""


def parse_address(text: object) -> Address:
    """Return the host and port of an address. Raises AddressError."""
    host, colon, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or int(port) > MAX_PORT:
        raise AddressError(f"expected an address HOST:PORT, got {text!r}")
    return host, int(port)
