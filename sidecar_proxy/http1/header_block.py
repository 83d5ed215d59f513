"""The headers of one message, kept as the lines that are forwarded and the few values that are used.

Kept as a pair of objects each, very many short headers would take thirty times their size.
"""

from __future__ import annotations

from sidecar_proxy.engine.byte_blocks import ByteBlocks

# Headers that concern a single connection, or that the sidecar sets itself, and that are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Req-Deadline is sent anew with each attempt, with the time that is left.
DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {b"req-deadline"}
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {b"srv-load"}  # load reports are for the sidecar only
USED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"idempotency-key",
        b"req-cost",
        b"req-deadline",
        b"req-id",
        b"req-owner",
        b"req-retry",
        b"srv-declined",
        b"srv-load",
        b"transfer-encoding",
    }
)
OPTIONS_WITHOUT_HEADER = frozenset({b"", b"close", b"keep-alive"})  # options of Connection
LINE_OVERHEAD_BYTES = 4  # the colon, the space and the line break


class HeaderBlock:
    """The headers of a request or a response, without trailers."""

    __slots__ = ("connection_options", "dropped", "lines", "repeated", "size", "values")

    def __init__(self, dropped: frozenset[bytes]) -> None:
        self.dropped = dropped  # names of headers that are not forwarded
        self.lines = ByteBlocks()  # the lines that are forwarded
        self.size = 0  # bytes of all headers
        self.values: dict[bytes, bytes] = {}  # last values of USED_HEADERS, by lower-case name
        self.repeated: list[bytes] = []  # lower-case names of USED_HEADERS that occur more than once
        self.connection_options = bytearray()  # the values of all Connection headers, separated by commas

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        # Trailing whitespace is not part of the value (RFC 9110, 5.5).
        value = value.rstrip(b" \t")
        lower_name = name.lower()
        self.size += len(name) + len(value) + LINE_OVERHEAD_BYTES
        if lower_name in USED_HEADERS:
            if lower_name in self.values and lower_name not in self.repeated:
                self.repeated.append(lower_name)
            self.values[lower_name] = value
            if lower_name == b"connection":
                self.connection_options += value + b","
        if lower_name not in self.dropped:
            self.lines.append(b"%s: %s\r\n" % (name, value))

    def take_end_to_end_lines(self) -> bytes:
        """Remove and return the lines that are forwarded.

        Those that a Connection header names are not (RFC 9110, 7.6.1).
        """
        lines = self.lines.take()
        if not self.connection_options:
            return lines
        options = {option.strip() for option in bytes(self.connection_options).lower().split(b",")}
        if options <= OPTIONS_WITHOUT_HEADER:
            return lines
        kept = [
            line + b"\r\n"
            for line in lines.split(b"\r\n")
            if line and line.partition(b":")[0].lower() not in options
        ]
        return b"".join(kept)
