"""The list of upstreams: its JSON to typed entries, and the calls that ask for it and watch it."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import math
import sys
from collections.abc import Container
from typing import Any, Protocol, cast

import httptools

from wickspread import interface as api
from wickspread.sidecar.config import Address, ConfigError, parse_address
from wickspread.sidecar.upstream import MAX_HEAD, Host

log = logging.getLogger("wickspread")

CONNECT_S = 2.0
# Two heartbeats of 2 s and a little. Hazard: what a dead watch does not tell counts as told after 6 s.
SILENCE_S = 4.5
MAX_LINE = 4 * 1024 * 1024
RETRY_S = 0.25  # where lists are pushed, the agent is on this machine and costs nothing to ask

STATES = {"in_service": api.UpstreamState.READY, "terminating": api.UpstreamState.DRAINING,
          "terminated": api.UpstreamState.GONE}


class ListError(Exception):
    """What discovery sent can't be used."""


class Directory:
    """Names to the numbers that the decisions use, the same for the process's life."""

    def __init__(self, settings: api.Settings) -> None:
        self.zones = {name: number for number, name in enumerate(settings.zones)}
        self.kinds = {name: number for number, name in enumerate(settings.kinds)}
        self.numbers: dict[str, int] = {}
        self.taken: set[int] = set()

    def number(self, name: str) -> int:
        """By a digest: alike in all sidecars, as in the simulator, and not by order of arrival."""
        number = self.numbers.get(name)
        if number is None:
            number = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest(), "little")
            while number in self.taken:
                number = (number + 1) & 0xFFFFFFFF
            self.taken.add(number)
            self.numbers[name] = number
        return number

    def keep(self, numbers: Container[int]) -> None:
        """Forget the names of all others: upstreams are replaced all day, by new ones under new names."""
        self.numbers = {name: number for name, number in self.numbers.items() if number in numbers}
        self.taken = set(self.numbers.values())

    def read(self, told: Any) -> tuple[int, bool, list[Host]]:
        """The version, whether it is the whole list, and the entries. Nothing is kept of a bad one."""
        try:
            if not isinstance(told["hosts"], list) or not isinstance(told["whole"], bool):
                raise ListError("'hosts' is not a list or 'whole' is not true or false")
            return int(told["seq"]), told["whole"], [self.entry(one) for one in told["hosts"]]
        except KeyError as error:
            raise ListError(f"{error} is missing") from error
        except (TypeError, ValueError, AttributeError, OverflowError, ConfigError) as error:
            raise ListError(str(error)) from error

    def entry(self, told: dict[str, Any]) -> Host:
        name, state = told["host"], STATES.get(told["health"])
        if not isinstance(name, str) or not name:
            raise ListError(f"a host named {name!r}")
        if state is None:
            raise ListError(f"{name}: unknown health {told['health']!r}")
        weight, born_ms, cell = float(told.get("share", 1.0)), int(told.get("born_ms", 0)), int(told["block"])
        if not math.isfinite(weight) or born_ms < 0:
            raise ListError(f"{name}: share {weight}, born_ms {born_ms}")
        gone = state is api.UpstreamState.GONE
        return Host(
            api.Upstream(
                self.number(name), state,
                self.zones.setdefault(str(told["site"]).replace(" ", "_"), len(self.zones)),
                self.kinds.setdefault(str(told.get("class", "")).replace(" ", "_"), len(self.kinds)),
                cell, weight, born_ms * 1000,  # our clock counts from Unix time
            ),
            ("", 0) if gone else parse_address(told["dial"]),
        )


class Sink(Protocol):
    def list_changed(self, kind: api.ListKind, hosts: list[Host], version: int) -> None: ...

    def list_failed(self) -> None: ...

    def known(self) -> Container[int]: ...


class Discovery:
    """Carries out Subscribe and FetchList: each call is answered by one event. When a call is made anew is
    for the decisions to say, but where lists are pushed: there no call is theirs."""

    def __init__(self, address: Address, directory: Directory, version: int, pushed: bool) -> None:
        self.address = address
        self.directory = directory
        self.version = version
        self.pushed = pushed
        self.sink: Sink | None = None
        self.watch: Call | None = None
        self.wanted = pushed  # a watch is asked for
        self.closed = False
        self.calls: set[Call] = set()
        self.loop = asyncio.get_running_loop()
        if pushed:
            self.loop.call_soon(self.subscribe, True)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now; what is under way is asked for there at once."""
        if self.closed or address == self.address:
            return
        # hazard: versions are the old one's own; by them the new one might leave out what we don't know
        self.address, self.version = address, 0
        fetches = [call for call in self.calls if not call.watching]
        for call in list(self.calls):
            call.close()
        self.watch = None
        self.subscribe(self.wanted)
        for _ in fetches:
            self.fetch()

    def subscribe(self, active: bool) -> None:
        self.wanted = active
        if self.watch is not None:
            self.watch.close()  # the new call gives the answer
            self.watch = None
        if active:
            self.watch = Call(self, b"?stream=1&index=%d" % self.version)

    def fetch(self) -> None:
        Call(self, b"")

    def told(self, text: bytes) -> None:
        """One JSON object of discovery's, or an empty line that only says the watch is alive."""
        version, whole = self.version, False
        hosts: list[Host] = []
        if text:
            try:
                version, whole, hosts = self.directory.read(json.loads(text))
            except (ValueError, RecursionError) as error:
                raise ListError(str(error)) from error
        self.version = version
        if self.sink is not None:
            self.sink.list_changed(api.ListKind.FULL if whole else api.ListKind.DELTA, hosts, version)
            self.directory.keep(self.sink.known())

    def failed(self, call: Call) -> None:
        if call is self.watch:
            self.watch = None
        if self.pushed:
            self.loop.call_later(RETRY_S, self.subscribe, True)
        elif self.sink is not None:
            self.sink.list_failed()

    def close(self) -> None:
        self.closed = True
        for call in list(self.calls):
            call.close()


class Call(asyncio.Protocol):
    """One call: a watch, read line by line as it comes, or a fetch of the whole list."""

    def __init__(self, owner: Discovery, query: bytes) -> None:
        self.owner = owner
        self.query = query
        self.watching = bool(query)
        self.answered = self.over = False
        self.transport: asyncio.Transport | None = None
        self.text = bytearray()
        self.head = MAX_HEAD  # bytes that it may still take
        self.parser = httptools.HttpResponseParser(self)
        self.silence = owner.loop.call_later(SILENCE_S, self.fail, "silence")
        owner.calls.add(self)
        self.task = owner.loop.create_task(self.connect())

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.owner.loop.create_connection(lambda: self, *self.owner.address)
        except (OSError, TimeoutError) as error:
            self.fail(str(error) or "no connection in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        host = b"%s:%d" % (self.owner.address[0].encode(), self.owner.address[1])
        self.transport.write(b"GET /v1/endpoints%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (self.query, host))
        if self.over:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        # hazard: where lists are pushed the agent is silent while discovery is down, which is no failure
        self.silence.cancel()
        if not (self.owner.pushed and self.watching):
            self.silence = self.owner.loop.call_later(SILENCE_S, self.fail, "silence")
        self.head -= len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"bad answer: {error.__context__ or error}")
        if self.head < 0:  # hazard: the parser keeps a header to itself until it is whole
            self.fail("a head too long")

    def on_headers_complete(self) -> None:
        self.head = sys.maxsize
        if self.parser.get_status_code() != 200:
            self.fail(f"status {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        if self.over:
            return
        self.text += body
        if len(self.text) > MAX_LINE:
            self.fail("a line too long")
        # hazard: chunks and lines need not end together
        while self.watching and not self.over and (end := self.text.find(b"\n")) >= 0:
            line = bytes(self.text[:end]).strip()
            del self.text[:end + 1]
            if line or not self.answered:
                self.tell(line)

    def tell(self, text: bytes) -> None:
        try:
            self.answered = True
            self.owner.told(text)
        except ListError as error:
            self.fail(f"bad list: {error}")

    def on_message_complete(self) -> None:
        if not self.watching and not self.over:
            self.tell(bytes(self.text).strip())
            self.close()
        else:
            self.fail("the watch has ended")

    def connection_lost(self, error: Exception | None) -> None:
        self.fail(str(error or "closed"))

    def fail(self, why: str) -> None:
        if not self.over:
            self.close()
            log.warning("discovery: %s", why)
            self.owner.failed(self)

    def close(self) -> None:
        self.over = True
        self.silence.cancel()
        self.owner.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not asyncio.current_task():
            self.task.cancel()
