"""Parses the platform's endpoint list: JSON to typed entries, in steps.

Pure: text in, entries out. A full list of 10,000 endpoints is about 1.6 MB, and parsing it in one go would
block the event loop for over 100 ms. `EndpointListParser` therefore parses in steps, and `changes` splits
what is new into slices.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.address import parse_address
from sidecar_proxy.engine.interfaces import EndpointListListener, ListedUpstream

SLICE_ENTRIES = 64  # entries that are parsed, or passed to the balancer, in one step
MAX_LIST_ENTRIES = 50_000
MAX_GROUP_NAMES = 1024  # zones, and machine kinds, that are told apart in the life of the process

STATE_BY_HEALTH = {
    "in_service": api.UpstreamState.READY,
    "terminating": api.UpstreamState.DRAINING,
    "terminated": api.UpstreamState.GONE,
}
# If a name is listed twice, the entry with the higher value wins. Rejecting such a list instead would lose a
# drain that it contains.
STATE_PRECEDENCE = {api.UpstreamState.READY: 0, api.UpstreamState.DRAINING: 1, api.UpstreamState.GONE: 2}
JSON_DECODER = json.JSONDecoder()
JSON_WHITESPACE = " \t\r\n"
MAX_STRING_BYTES = 64 * 1024  # an incomplete string is scanned again with each piece that arrives
# A complete string, the start of an incomplete one, a brace or the end of a line.
JSON_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\n]', re.DOTALL)


class EndpointListError(Exception):
    """An endpoint list is malformed and can't be used."""


class JsonObjectSplitter:
    """Splits a byte stream into JSON objects, each on one line or on several. Pure.

    Text between objects is split at line ends: an empty line is a heartbeat, any other is an invalid list.
    Each byte is scanned once, except for those of a string that is still incomplete.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.scanned_bytes = 0
        self.depth = 0  # open braces after the scanned bytes

    def __len__(self) -> int:
        return len(self.buffer)

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_object(self) -> bytes | None:
        """Remove and return the next object, or the next line outside of objects; None if it is incomplete.

        Raises EndpointListError if a string is too long.
        """
        end = self.find_end()
        if end is None:
            return None
        with memoryview(self.buffer) as view:
            text = bytes(view[:end]).strip()
        del self.buffer[:end]
        self.scanned_bytes = self.depth = 0
        return text

    def find_end(self) -> int | None:
        """Return the offset behind the next object or line; None if it is incomplete."""
        for token in JSON_TOKEN.finditer(self.buffer, self.scanned_bytes):
            mark = token.group()
            if mark == b'"':
                if len(self.buffer) - token.start() > MAX_STRING_BYTES:
                    raise EndpointListError(f"a string is longer than {MAX_STRING_BYTES} bytes")
                self.scanned_bytes = token.start()
                return None
            if mark == b"{":
                self.depth += 1
            elif mark == b"}":
                self.depth -= 1
            if self.depth <= 0 and mark in (b"}", b"\n"):
                return token.end()
        self.scanned_bytes = len(self.buffer)
        return None


def number_in(numbers: dict[str, int], name: object) -> int:
    """Return the number of a zone or machine kind; names beyond MAX_GROUP_NAMES share one number."""
    key = str(name).replace(" ", "_")
    number = numbers.get(key)
    if number is None:
        number = len(numbers)
        if number < MAX_GROUP_NAMES:
            numbers[key] = number
    return number


class EndpointDirectory:
    """Maps the names of endpoints, zones and machine kinds to the numbers that the balancer uses.

    A zone or kind keeps its number for the life of the process, an endpoint until it is removed.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.zones = {name: number for number, name in enumerate(settings.zones)}
        self.kinds = {name: number for number, name in enumerate(settings.kinds)}
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}

    def number_of(self, name: str) -> int:
        """Return the number of an endpoint, assigning one to a new name.

        The number is a digest of the name, so that it doesn't depend on the order of arrival and is the same
        in all sidecars and in the simulator.
        """
        number = self.numbers.get(name)
        if number is None:
            number = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")
            while number in self.names:
                number = (number + 1) & 0xFFFFFFFF
            self.names[number] = name
            self.numbers[name] = number
        return number

    def remove(self, number: int) -> None:
        """Remove an endpoint. Endpoints are replaced all day by new ones with new names."""
        name = self.names.pop(number, None)
        if name is not None:
            del self.numbers[name]

    def parse_list(self, document: Any) -> tuple[int, bool, list[ListedUpstream]]:
        """Parse a decoded list in one go; return its version, whether it is complete, and its entries.

        Raises EndpointListError.
        """
        parser = EndpointListParser(self, json.dumps(document))
        for _ in parser.steps():
            pass
        return parser.version, parser.is_complete, parser.upstreams

    def parse_entry(self, fields: dict[str, Any], new_numbers: list[int]) -> ListedUpstream:
        """Parse one entry; if its name is new, append the assigned number to `new_numbers`."""
        name, state = fields["host"], STATE_BY_HEALTH.get(fields["health"])
        if not isinstance(name, str) or not name:
            raise EndpointListError(f"host is {name!r}, expected a name")
        if state is None:
            raise EndpointListError(f"{name}: unknown health {fields['health']!r}")
        weight, born_ms, cell = (
            float(fields.get("share", 1.0)),
            int(fields.get("born_ms", 0)),
            int(fields["block"]),
        )
        if not math.isfinite(weight) or born_ms < 0:
            raise EndpointListError(
                f"{name}: share is {weight}, born_ms is {born_ms}; expected a finite share and born_ms >= 0"
            )
        is_gone = state is api.UpstreamState.GONE
        address = ("", 0) if is_gone else parse_address(fields["dial"])
        grpc_address = None if is_gone or "dial_grpc" not in fields else parse_address(fields["dial_grpc"])
        is_known = name in self.numbers
        number = self.number_of(name)
        if not is_known:
            new_numbers.append(number)
        return ListedUpstream(
            api.Upstream(
                number,
                state,
                number_in(self.zones, fields["site"]),
                number_in(self.kinds, fields.get("class", "")),
                cell,
                weight,
                born_ms * 1000,  # the balancer's clock is Unix time in microseconds
            ),
            address,
            grpc_address,
        )


class EndpointListParser:
    """Parses one JSON object of the platform's discovery service in steps.

    The numbers that an invalid list has assigned to new endpoint names are removed again.
    """

    def __init__(self, directory: EndpointDirectory, text: str) -> None:
        self.directory = directory
        self.text = text
        self.offset = 0
        self.version = 0
        self.is_complete = False
        self.upstreams: list[ListedUpstream] = []
        self.positions: dict[int, int] = {}  # index in `upstreams` of each number
        self.seen_keys: set[str] = set()
        self.new_numbers: list[int] = []  # numbers assigned to new names

    def steps(self) -> Iterator[None]:
        """Parse a part of the text in each step; the fields are valid after the last one.

        Raises EndpointListError.
        """
        try:
            yield from self.parse()
        except Exception as error:
            for number in self.new_numbers:
                self.directory.remove(number)
            if isinstance(error, EndpointListError):
                raise
            if isinstance(error, KeyError):
                raise EndpointListError(f"{error} is missing") from error
            if isinstance(error, TypeError | ValueError | AttributeError | OverflowError | RecursionError):
                raise EndpointListError(" ".join(str(error).split())[:200]) from error
            raise

    def parse(self) -> Iterator[None]:
        """Parse the object, one slice of entries in each step."""
        self.expect("{")
        while self.peek() != "}":
            key, self.offset = JSON_DECODER.raw_decode(self.text, self.offset)
            if not isinstance(key, str) or key in self.seen_keys:
                raise EndpointListError(f"key {key!r} is repeated or not a string")
            self.seen_keys.add(key)
            self.expect(":")
            if key == "hosts" and self.peek() == "[":
                yield from self.parse_hosts()
            else:
                self.peek()
                value, self.offset = JSON_DECODER.raw_decode(self.text, self.offset)
                self.set_field(key, value)
            self.skip_comma("}")
        self.offset += 1
        if self.peek():
            raise EndpointListError("unexpected text after the list")
        for required_key in ("hosts", "whole", "seq"):
            if required_key not in self.seen_keys:
                raise KeyError(required_key)

    def set_field(self, key: str, value: object) -> None:
        """Check and store a field other than the entries; unknown fields are ignored."""
        if key == "hosts":
            raise EndpointListError("'hosts' is not a list")
        if key == "whole":
            if not isinstance(value, bool):
                raise EndpointListError("'whole' is not true or false")
            self.is_complete = value
        elif key == "seq":
            if isinstance(value, bool) or not isinstance(value, int):
                raise EndpointListError(f"'seq' is not an integer: {str(value)[:40]!r}")
            self.version = value

    def parse_hosts(self) -> Iterator[None]:
        """Parse the entries, one slice in each step."""
        self.expect("[")
        count = 0
        while self.peek() != "]":
            fields, self.offset = JSON_DECODER.raw_decode(self.text, self.offset)
            self.add(self.directory.parse_entry(fields, self.new_numbers))
            count += 1
            if count > MAX_LIST_ENTRIES:
                raise EndpointListError(f"more than {MAX_LIST_ENTRIES} hosts")
            if count % SLICE_ENTRIES == 0:
                yield
            self.skip_comma("]")
        self.offset += 1

    def add(self, upstream: ListedUpstream) -> None:
        """Add an entry; of two entries of one name the one whose state has precedence is kept."""
        position = self.positions.setdefault(upstream.entry.id, len(self.upstreams))
        if position == len(self.upstreams):
            self.upstreams.append(upstream)
        elif STATE_PRECEDENCE[upstream.entry.state] >= STATE_PRECEDENCE[self.upstreams[position].entry.state]:
            self.upstreams[position] = upstream

    def peek(self) -> str:
        """Skip whitespace and return the next character without consuming it; empty at the end."""
        while self.offset < len(self.text) and self.text[self.offset] in JSON_WHITESPACE:
            self.offset += 1
        return self.text[self.offset : self.offset + 1]

    def skip_comma(self, end: str) -> None:
        """Consume the comma after an element; the end of the object or array is not consumed."""
        if self.peek() == ",":
            self.offset += 1
            if self.peek() == end:
                raise EndpointListError(f"character {self.offset}: unexpected comma before {end!r}")
        elif self.peek() != end:
            raise EndpointListError(f"character {self.offset}: expected a comma or {end!r}")

    def expect(self, mark: str) -> None:
        """Consume this character, or raise EndpointListError if another one is next."""
        if self.peek() != mark:
            raise EndpointListError(
                f"character {self.offset}: expected {mark!r}, "
                f"got {self.text[self.offset : self.offset + 20]!r}"
            )
        self.offset += 1


def changes(
    listener: EndpointListListener, listed: list[ListedUpstream], is_complete: bool
) -> Iterator[list[ListedUpstream]]:
    """Yield in slices what a large list changes.

    It is compared with what the list reported before, not with what applies: an entry that an override or
    another source has changed may equal the new one although the list reports a change. Endpoints that may
    get no new requests come first (rule 3). An empty slice only ends a step.
    """
    listed_ids = {upstream.entry.id for upstream in listed}
    leaving: list[ListedUpstream] = []
    others: list[ListedUpstream] = []
    for number, upstream in enumerate(listed, 1):
        if not listener.has_reported(upstream):
            (others if upstream.entry.state is api.UpstreamState.READY else leaving).append(upstream)
        if number % (8 * SLICE_ENTRIES) == 0:
            yield []
    for number, upstream_id in enumerate(listener.reported_numbers() if is_complete else (), 1):
        if upstream_id not in listed_ids:
            leaving.append(removal(listener, upstream_id))
        if number % (8 * SLICE_ENTRIES) == 0:
            yield []
    yield from split(leaving)
    yield from split(others)


def removal(listener: EndpointListListener, upstream_id: int) -> ListedUpstream:
    """Return the report that the endpoint list has removed an upstream."""
    known = listener.listed_upstreams().get(upstream_id)
    # An upstream that waits to be sent to the balancer is not known there yet.
    entry = known.listed_entry if known is not None else api.Upstream(upstream_id)
    return ListedUpstream(replace(entry, state=api.UpstreamState.GONE), ("", 0))


def split(upstreams: list[ListedUpstream]) -> Iterable[list[ListedUpstream]]:
    """Split a list into slices of SLICE_ENTRIES."""
    return (upstreams[start : start + SLICE_ENTRIES] for start in range(0, len(upstreams), SLICE_ENTRIES))
