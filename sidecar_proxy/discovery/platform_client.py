"""The calls that ask for the list of upstreams and watch it; large lists are read a little at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import sys
from collections import deque
from collections.abc import Iterable, Iterator
from typing import cast

import httptools

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import (
    SLICE,
    EndpointDirectory,
    EndpointListError,
    Objects,
    Reading,
    changes,
)
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.gc_control import GcController
from sidecar_proxy.engine.interfaces import EndpointListListener, ListedUpstream
from sidecar_proxy.http1.upstream import MAX_HEAD_BYTES, make_input_poll

log = logging.getLogger("sidecar_proxy")

CONNECT_S = 2.0
ANSWER_S = 4.5  # a call's first word: calls wait in turn, for some seconds
# A heartbeat of 2 s and a half. Hazard: what a silent watch does not tell counts as told 6 s after its last
# word; in what is left, many sidecars' calls come in turn.
SILENCE_S = 3.0
AGENT_CONNECT_S = 0.5  # where lists are pushed: the agent is on this machine, and answers at once
AGENT_ANSWER_S = 1.0
MAX_LINE = 4 * 1024 * 1024
MOST_READ = 256 * 1024
STEP_S = 0.003  # a large list holds the loop for about so long before others have their turn
RETRY_S = 0.25  # where lists are pushed, the agent is on this machine and costs nothing to ask


class PlatformDiscoveryClient:
    """Carries out Subscribe and FetchList: each call is answered by one event. When a call is made anew is
    for the decisions to say, but where lists are pushed: there no call is theirs."""

    def __init__(self, address: Address, directory: EndpointDirectory, version: int, pushed: bool) -> None:
        self.address = address
        self.directory = directory
        self.version = version
        self.pushed = pushed
        self.sink: EndpointListListener | None = None
        self.watch: Call | None = None
        self.wanted = pushed  # a watch is asked for
        self.closed = False
        self.calls: set[Call] = set()
        self.era = 0  # counts the addresses
        self.retry: asyncio.TimerHandle | None = None
        # what was told and is not read yet; None in place of a text: the call has failed
        self.jobs: deque[tuple[Call | None, bytes | None]] = deque()
        self.job: tuple[Call | None, bytes | None] = None, b""
        self.steps: Iterator[None] | None = None  # of the one that is being read
        self.working = False
        self.collector: GcController | None = None
        self.leaving: dict[int, None] = {}  # gone, and something is out to it
        self.next_complaint = 0.0
        self.loop = asyncio.get_running_loop()
        if pushed:
            self.loop.call_soon(self.subscribe, True)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now; what is under way is asked for there at once."""
        if self.closed or address == self.address:
            return
        fetches = [call for call in self.calls if not call.watching]
        for call in list(self.calls):
            call.end()
        self.watch = None
        # hazard: versions are the old one's own; by them the new one might leave out what we don't know
        self.address, self.version = address, 0
        self.era += 1
        self.subscribe(self.wanted)
        for _ in fetches:
            self.fetch()

    def subscribe(self, active: bool) -> None:
        self.wanted = active
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        if self.watch is not None:
            self.watch.end()  # the new call gives the answer
            self.watch = None
        if active:
            self.watch = Call(self, b"?stream=1&index=%d" % self.version)

    def fetch(self) -> None:
        Call(self, b"")

    def told(self, text: bytes | None, call: Call | None = None) -> None:
        """One JSON object of discovery's, or an empty line that only says the watch is alive. What is told
        while a large list is being read waits behind it, so that the order stays: the call's failure too.
        Hazard: what was told counts, whatever becomes of the call that told it."""
        self.jobs.append((call, text))
        if not self.working:
            self.work()

    def work(self) -> None:
        """Read on, for no longer than a step."""
        end = self.loop.time() + STEP_S
        self.working = True
        while not self.closed and (self.steps is not None or self.jobs):
            if self.steps is None:
                self.job = self.jobs.popleft()
                self.steps = self.take(*self.job)
            call = self.job[0]
            try:
                next(self.steps)
            except StopIteration:
                self.steps = None
                if call is not None:
                    call.read_on()
            except EndpointListError as error:
                self.steps = None
                if call is None:  # told by hand
                    self.working = False
                    raise
                call.fail(f"bad list: {error}")
            except Exception:
                # hazard: a fault in one list must not end the reading of all later ones
                self.steps = None
                log.exception("a list could not be taken")
                if call is not None:
                    call.fail("a list could not be taken")
            if self.steps is not None and self.loop.time() >= end:
                if self.collector is not None:
                    self.collector.pause()
                self.loop.call_soon(self.work)
                return
        self.working = False
        if self.collector is not None and self.sink is not None:
            self.collector.resume(len(self.sink.listed_upstreams()))

    def take(self, call: Call | None, text: bytes | None) -> Iterator[None]:
        """Read one object whole, then tell what it says: nothing is told of a bad one."""
        hosts: list[ListedUpstream] = []
        version, whole = self.version, False
        if text is None:
            assert call is not None
            self.failed(call)
            return
        if text:
            try:
                reading = Reading(self.directory, text.decode())
            except UnicodeDecodeError as error:
                raise EndpointListError(str(error)) from error
            yield from reading.steps()
            version, whole, hosts = reading.version, reading.whole, reading.hosts
            # hazard: a fetch may be answered with what was so before the watch told more; its drains would
            # be forgotten. A new watch that begins with less has been begun anew by discovery itself.
            elsewhere = call is not None and call.era != self.era
            if version < self.version and not elsewhere and not (whole and call is not None and call.fresh):
                self.complain(f"what is told of version {version} is older than {self.version}: passed over")
                version, whole, hosts = self.version, False, []
        if call is not None:
            call.fresh = False
        if self.sink is None:
            self.learn(call, version)
            return
        known = self.sink.listed_upstreams()
        if max(len(hosts), len(known) if whole else 0) <= SLICE:
            self.sink.list_changed(api.ListKind.FULL if whole else api.ListKind.DELTA, hosts, version)
        else:
            # one whole list would hold the loop for long; told as changes it is the same
            for part in changes(dict(known) if whole else known, hosts, whole):
                if part:
                    self.sink.list_changed(api.ListKind.DELTA, part, version)
                    self.forget([host.entry.id for host in part])
                yield
            self.sink.list_changed(api.ListKind.DELTA, [], version)
            self.learn(call, version)
            return
        self.learn(call, version)
        self.forget(list(self.directory.names) if whole else [host.entry.id for host in hosts])

    def learn(self, call: Call | None, version: int) -> None:
        """Hazard: versions of an address that was left are no other's."""
        if call is None or call.era == self.era:
            self.version = version

    def forget(self, numbers: Iterable[int]) -> None:
        """Names of those that are gone go once nothing is out to them."""
        assert self.sink is not None
        known = self.sink.listed_upstreams()
        self.leaving.update(
            dict.fromkeys(
                one for one in numbers if one not in known or known[one].entry.state is api.UpstreamState.GONE
            )
        )
        for number in list(self.leaving):
            if number not in known:
                self.directory.forget(number)
                del self.leaving[number]
            elif known[number].entry.state is not api.UpstreamState.GONE:
                del self.leaving[number]

    def complain(self, text: str) -> None:
        if self.loop.time() >= self.next_complaint:
            self.next_complaint = self.loop.time() + 1.0
            log.warning("discovery: %s", text)

    def failed(self, call: Call) -> None:
        current = call is self.watch
        if current:
            self.watch = None
        if not self.pushed:
            if self.sink is not None:
                self.sink.list_failed()
        elif current and self.retry is None and not self.closed:
            self.retry = self.loop.call_later(RETRY_S, self.subscribe, True)

    def close(self) -> None:
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        for call in list(self.calls):
            call.close()


class Call(asyncio.Protocol):
    """One call: a watch, read object by object as it comes, or a fetch of the whole list."""

    def __init__(self, owner: PlatformDiscoveryClient, query: bytes) -> None:
        self.owner = owner
        self.query = query
        self.era = owner.era
        self.watching = bool(query)
        self.agent = owner.pushed and self.watching
        self.answered = self.over = False
        self.fresh = self.watching  # a watch that has told nothing yet
        self.waiting = False  # what it has told is not read yet
        self.ended = False  # a fetch is whole
        self.wanted = True
        self.transport: asyncio.Transport | None = None
        self.objects = Objects()
        self.head = MAX_HEAD_BYTES  # bytes that it may still take
        self.parser = httptools.HttpResponseParser(self)
        self.silence = owner.loop.call_later(self.patience_s(), self.silent)
        owner.calls.add(self)
        self.task = owner.loop.create_task(self.connect())

    async def connect(self) -> None:
        try:
            async with asyncio.timeout(AGENT_CONNECT_S if self.agent else CONNECT_S):
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
        self.listen()
        self.feed(data)
        self.lines()

    def feed(self, data: bytes) -> None:
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
        if not self.over:
            self.objects.put(body)
            if len(self.objects) > MAX_LINE:
                self.fail("a line too long")

    def next(self) -> bytes | None:
        """The next object that a watch has told whole, or an empty line that is its first word."""
        while self.watching:
            found = self.objects.next()
            if found is None or found or not self.answered:
                return found
        return None

    def lines(self) -> None:
        # hazard: chunks and lines need not end together, and an object may take many
        try:
            while not self.over and not self.waiting and (found := self.next()) is not None:
                self.tell(found)
        except EndpointListError as error:
            self.fail(f"bad list: {error}")

    def tell(self, text: bytes) -> None:
        """Hazard: a peer that tells faster than we read is not read from meanwhile."""
        self.answered = self.waiting = True
        self.silence.cancel()
        self.owner.told(text, self)
        if self.waiting and self.transport is not None and not self.over:
            self.transport.pause_reading()

    def read_on(self) -> None:
        """What was told is read."""
        self.waiting = False
        if self.over:
            return
        if self.ended:
            self.close()
            return
        if self.transport is not None:
            self.transport.resume_reading()
        self.listen()
        self.owner.loop.call_soon(self.lines)

    def patience_s(self) -> float:
        """Hazard: where lists are pushed the agent is silent while discovery is down; it costs nothing to be
        asked again, and what a broken watch misses counts as told all the same."""
        if self.answered and self.watching:
            return SILENCE_S
        return AGENT_ANSWER_S if self.agent else ANSWER_S

    def listen(self) -> None:
        self.silence.cancel()
        self.silence = self.owner.loop.call_later(self.patience_s(), self.silent)

    def silent(self) -> None:
        """Hazard: a loop that was held up meets its timers before what has come meanwhile."""
        transport = self.transport
        if transport is not None and not transport.is_closing() and make_input_poll(transport).poll(0):
            self.listen()
        else:
            self.fail("silence")

    def on_message_complete(self) -> None:
        if not self.watching and not self.over:
            self.ended = True
            self.tell(bytes(self.objects.text).strip())
        else:
            self.fail("the watch has ended")

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ended:
            self.fail(str(error or "closed"))

    def fail(self, why: str) -> None:
        """It ends by itself; the decisions hear of it behind all that it has told."""
        if not self.over:
            self.close()
            if self.wanted:
                self.owner.complain(why)
                self.owner.told(None, self)

    def end(self) -> None:
        """It is not wanted any more. Hazard: what has come and is not read yet has been told."""
        if self.over:
            return
        self.wanted, data = False, None
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # nothing is there, or it has broken
                data = os.read(self.transport.get_extra_info("socket").fileno(), MOST_READ)
        if data:
            self.feed(data)
        self.close()

    def rest(self) -> None:
        """What a watch has told whole, and is not handed on yet."""
        with contextlib.suppress(EndpointListError):
            while (found := self.next()) is not None:
                self.answered = True
                self.owner.told(found, self)

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.rest()
        self.silence.cancel()
        self.owner.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not asyncio.current_task():
            self.task.cancel()
