"""The list of upstreams as discovery words it: JSON to typed entries, a little at a time.

Pure: text in, entries out. A whole list of 10,000 is some 1.6 MB; read at once it would hold the loop for
over 100 ms, so `Reading` goes on in steps, and `changes` cuts what is new into slices.
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
from sidecar_proxy.engine.interfaces import ListedUpstream

SLICE = 64  # entries that are read, or told to the decisions, in one go
MOST_HOSTS = 50_000  # entries of one list

STATES = {
    "in_service": api.UpstreamState.READY,
    "terminating": api.UpstreamState.DRAINING,
    "terminated": api.UpstreamState.GONE,
}
# A name listed twice has the state of the more careful entry. Hazard: to refuse such a list would leave a
# drain that it tells unheard.
CARE = {api.UpstreamState.READY: 0, api.UpstreamState.DRAINING: 1, api.UpstreamState.GONE: 2}
DECODER = json.JSONDecoder()
SPACE = " \t\r\n"
MOST_STRING = 64 * 1024  # bytes; one that is cut off is looked at again with each piece that comes
# A string, the beginning of one that is not whole, a brace, the end of a line.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\n]', re.DOTALL)


class EndpointListError(Exception):
    """What discovery sent can't be used."""


class Objects:
    """Cuts a stream into its JSON objects, which may be one a line or take many lines. Pure.

    What stands between objects is cut at the ends of its lines: empty ones are heartbeats, others no list.
    Each byte is looked at once."""

    def __init__(self) -> None:
        self.text = bytearray()
        self.at = 0  # looked at so far
        self.depth = 0  # braces that are open there

    def __len__(self) -> int:
        return len(self.text)

    def put(self, data: bytes) -> None:
        self.text += data

    def next(self) -> bytes | None:
        """The next object, or line without one; None if it is not whole. Raises ListError."""
        end = self.look()
        if end is None:
            return None
        found = bytes(self.text[:end]).strip()
        del self.text[:end]
        self.at = self.depth = 0
        return found

    def look(self) -> int | None:
        """Where the next one ends."""
        for token in TOKEN.finditer(self.text, self.at):
            mark = token.group()
            if mark == b'"':
                if len(self.text) - token.start() > MOST_STRING:
                    raise EndpointListError("a string too long")
                self.at = token.start()
                return None
            if mark == b"{":
                self.depth += 1
            elif mark == b"}":
                self.depth -= 1
            if self.depth <= 0 and mark in (b"}", b"\n"):
                return token.end()
        self.at = len(self.text)
        return None


class EndpointDirectory:
    """Names to the numbers that the decisions use, the same for the process's life."""

    def __init__(self, settings: api.Settings) -> None:
        self.zones = {name: number for number, name in enumerate(settings.zones)}
        self.kinds = {name: number for number, name in enumerate(settings.kinds)}
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}

    def number(self, name: str) -> int:
        """By a digest: alike in all sidecars, as in the simulator, and not by order of arrival."""
        number = self.numbers.get(name)
        if number is None:
            number = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")
            while number in self.names:
                number = (number + 1) & 0xFFFFFFFF
            self.names[number] = name
            self.numbers[name] = number
        return number

    def forget(self, number: int) -> None:
        """Upstreams are replaced all day, by new ones under new names."""
        name = self.names.pop(number, None)
        if name is not None:
            del self.numbers[name]

    def parse_list(self, told: Any) -> tuple[int, bool, list[ListedUpstream]]:
        """The version, whether it is the whole list, and the entries, in one go."""
        reading = Reading(self, json.dumps(told))
        for _ in reading.steps():
            pass
        return reading.version, reading.whole, reading.hosts

    def entry(self, told: dict[str, Any], fresh: list[int]) -> ListedUpstream:
        """One entry; a number that is given for it is added to `fresh`."""
        name, state = told["host"], STATES.get(told["health"])
        if not isinstance(name, str) or not name:
            raise EndpointListError(f"a host named {name!r}")
        if state is None:
            raise EndpointListError(f"{name}: unknown health {told['health']!r}")
        weight, born_ms, cell = float(told.get("share", 1.0)), int(told.get("born_ms", 0)), int(told["block"])
        if not math.isfinite(weight) or born_ms < 0:
            raise EndpointListError(f"{name}: share {weight}, born_ms {born_ms}")
        gone = state is api.UpstreamState.GONE
        dial = ("", 0) if gone else parse_address(told["dial"])
        grpc = None if gone or "dial_grpc" not in told else parse_address(told["dial_grpc"])
        known = name in self.numbers
        number = self.number(name)
        if not known:
            fresh.append(number)
        return ListedUpstream(
            api.Upstream(
                number,
                state,
                self.zones.setdefault(str(told["site"]).replace(" ", "_"), len(self.zones)),
                self.kinds.setdefault(str(told.get("class", "")).replace(" ", "_"), len(self.kinds)),
                cell,
                weight,
                born_ms * 1000,  # our clock counts from Unix time
            ),
            dial,
            grpc,
        )


class Reading:
    """One JSON object of discovery's, read in steps. Nothing is kept of one that is bad: its new names are
    forgotten again."""

    def __init__(self, directory: EndpointDirectory, text: str) -> None:
        self.directory = directory
        self.text = text
        self.at = 0
        self.version = 0
        self.whole = False
        self.hosts: list[ListedUpstream] = []
        self.places: dict[int, int] = {}  # of each number in `hosts`
        self.found: set[str] = set()  # keys
        self.fresh: list[int] = []  # numbers given for new names

    def steps(self) -> Iterator[None]:
        """Read on with each step; the fields are whole when it ends. Raises ListError."""
        try:
            yield from self.read()
        except Exception as error:
            for number in self.fresh:
                self.directory.forget(number)
            if isinstance(error, EndpointListError):
                raise
            if isinstance(error, KeyError):
                raise EndpointListError(f"{error} is missing") from error
            if isinstance(error, TypeError | ValueError | AttributeError | OverflowError | RecursionError):
                raise EndpointListError(" ".join(str(error).split())[:200]) from error
            raise

    def read(self) -> Iterator[None]:
        self.expect("{")
        while self.peek() != "}":
            key, self.at = DECODER.raw_decode(self.text, self.at)
            if not isinstance(key, str) or key in self.found:
                raise EndpointListError(f"the key {key!r}")
            self.found.add(key)
            self.expect(":")
            if key == "hosts" and self.peek() == "[":
                yield from self.read_hosts()
            else:
                self.peek()
                value, self.at = DECODER.raw_decode(self.text, self.at)
                self.field(key, value)
            self.pass_comma("}")
        self.at += 1
        if self.peek():
            raise EndpointListError("more behind the list")
        for wanted in ("hosts", "whole", "seq"):
            if wanted not in self.found:
                raise KeyError(wanted)

    def field(self, key: str, value: object) -> None:
        if key == "hosts":
            raise EndpointListError("'hosts' is not a list")
        if key == "whole":
            if not isinstance(value, bool):
                raise EndpointListError("'whole' is not true or false")
            self.whole = value
        elif key == "seq":
            if isinstance(value, bool) or not isinstance(value, int):
                raise EndpointListError(f"'seq' is not a whole number: {str(value)[:40]!r}")
            self.version = value

    def read_hosts(self) -> Iterator[None]:
        self.expect("[")
        count = 0
        while self.peek() != "]":
            told, self.at = DECODER.raw_decode(self.text, self.at)
            self.add(self.directory.entry(told, self.fresh))
            count += 1
            if count > MOST_HOSTS:
                raise EndpointListError(f"over {MOST_HOSTS} hosts")
            if count % SLICE == 0:
                yield
            self.pass_comma("]")
        self.at += 1

    def add(self, host: ListedUpstream) -> None:
        place = self.places.setdefault(host.entry.id, len(self.hosts))
        if place == len(self.hosts):
            self.hosts.append(host)
        elif CARE[host.entry.state] >= CARE[self.hosts[place].entry.state]:
            self.hosts[place] = host

    def peek(self) -> str:
        """The next character that is no space; empty at the end."""
        while self.at < len(self.text) and self.text[self.at] in SPACE:
            self.at += 1
        return self.text[self.at : self.at + 1]

    def pass_comma(self, end: str) -> None:
        """Behind an element: a comma and another one, or the end, which stays."""
        if self.peek() == ",":
            self.at += 1
            if self.peek() == end:
                raise EndpointListError(f"byte {self.at}: a comma before {end!r}")
        elif self.peek() != end:
            raise EndpointListError(f"byte {self.at}: expected a comma or {end!r}")

    def expect(self, mark: str) -> None:
        if self.peek() != mark:
            raise EndpointListError(
                f"byte {self.at}: expected {mark!r}, got {self.text[self.at : self.at + 20]!r}"
            )
        self.at += 1


def changes(
    known: dict[int, ListedUpstream], told: list[ListedUpstream], whole: bool
) -> Iterator[list[ListedUpstream]]:
    """What a large list says anew, in slices: who is not to be used any more comes first (rule 3). An empty
    slice only ends a step."""
    listed = {host.entry.id for host in told}
    leaving: list[ListedUpstream] = []
    others: list[ListedUpstream] = []
    for number, host in enumerate(told, 1):
        old = known.get(host.entry.id)
        if (
            old is None
            or old.entry != host.entry
            or (old.address, old.grpc_address) != (host.address, host.grpc_address)
        ):
            (others if host.entry.state is api.UpstreamState.READY else leaving).append(host)
        if number % (8 * SLICE) == 0:
            yield []
    for number, (ident, host) in enumerate(known.items() if whole else (), 1):
        if ident not in listed and host.entry.state is not api.UpstreamState.GONE:
            leaving.append(ListedUpstream(replace(host.entry, state=api.UpstreamState.GONE), ("", 0)))
        if number % (8 * SLICE) == 0:
            yield []
    yield from cut(leaving)
    yield from cut(others)


def cut(hosts: list[ListedUpstream]) -> Iterable[list[ListedUpstream]]:
    return (hosts[at : at + SLICE] for at in range(0, len(hosts), SLICE))
