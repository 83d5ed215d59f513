"""Fetches and watches the platform's endpoint list over HTTP/1.1. Large lists are parsed in steps."""

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
    SLICE_ENTRIES,
    EndpointDirectory,
    EndpointListError,
    EndpointListParser,
    JsonObjectSplitter,
    changes,
)
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.gc_control import GcController
from sidecar_proxy.engine.interfaces import EndpointListListener, ListedUpstream
from sidecar_proxy.engine.memory_budget import DEFAULT_BUDGET_BYTES, MemoryAccount, MemoryBudget
from sidecar_proxy.engine.read_turns import ReadTurns
from sidecar_proxy.http1.event_poll import make_input_poll
from sidecar_proxy.http1.upstream import MAX_HEAD_BYTES

log = logging.getLogger("sidecar_proxy")

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 4.5  # maximum time to the first data of a call; discovery queues calls for some seconds
# 1.5 heartbeat intervals of 2 s. What a silent watch fails to deliver counts as delivered 6 s after its last
# data; in the remaining time discovery, which queues calls, has to answer the new calls of many sidecars.
WATCH_IDLE_TIMEOUT_S = 3.0
# Timeouts where lists are pushed: the agent runs on this machine and answers at once.
AGENT_CONNECT_TIMEOUT_S = 0.5
AGENT_RESPONSE_TIMEOUT_S = 1.0
# Maximum size of one list, or of the unparsed data of a watch: a share of the memory budget within bounds
MIN_LIST_LIMIT_BYTES = 512 * 1024
MAX_LIST_LIMIT_BYTES = 4 * 1024 * 1024
LIST_SHARE = 0.2
LIST_COPIES = 3  # copies of a list's text while it is parsed
MAX_FINAL_READ_BYTES = 256 * 1024  # maximum size of the last read from the socket of a replaced call
STEP_S = 0.003  # maximum time for which one step of processing a large list blocks the event loop
# Delay before a failed watch is reopened where lists are pushed: calling the agent on this machine is cheap.
RETRY_DELAY_S = 0.25


class PlatformDiscoveryClient:
    """Fetches and watches the platform's endpoint list; each call is answered by one event.

    The balancer decides when to call again, except where lists are pushed: there the client keeps the watch
    open by itself and reports no failures.
    """

    def __init__(
        self,
        address: Address,
        directory: EndpointDirectory,
        version: int,
        pushed: bool,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.memory = memory or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.directory = directory
        self.version = version
        self.pushed = pushed
        self.listener: EndpointListListener | None = None
        self.watch: DiscoveryCall | None = None
        self.is_subscribed = pushed
        self.is_closed = False
        self.calls: set[DiscoveryCall] = set()
        self.address_generation = 0  # counts changes of the address
        self.retry_timer: asyncio.TimerHandle | None = None
        # Received objects that are not parsed yet. None in place of the text means that the call has failed.
        self.queue: deque[tuple[DiscoveryCall | None, bytes | None]] = deque()
        self.current_item: tuple[DiscoveryCall | None, bytes | None] = None, b""
        self.steps: Iterator[None] | None = None  # remaining steps of the current item
        self.is_reading = False
        self.gc_controller: GcController | None = None
        self.leaving: dict[int, None] = {}  # GONE endpoints that still have attempts in flight
        self.next_warning_s = 0.0  # loop time before which no further warning is logged
        self.loop = asyncio.get_running_loop()
        if pushed:
            self.loop.call_soon(self.subscribe, True)

    def set_address(self, address: Address) -> None:
        """Switch to another discovery address and repeat the calls in flight there at once."""
        if self.is_closed or address == self.address:
            return
        fetches = [call for call in self.calls if not call.is_watch]
        for call in list(self.calls):
            call.cancel()
        self.watch = None
        # Versions belong to one discovery service. Given a version of the old one, the new one could leave
        # out entries that this sidecar doesn't know.
        self.address, self.version = address, 0
        self.address_generation += 1
        self.subscribe(self.is_subscribed)
        for _ in fetches:
            self.fetch()

    def max_list_bytes(self) -> int:
        """Return the size of the largest list for which there is memory."""
        share_bytes = int(self.memory.max_bytes * LIST_SHARE)
        return min(MAX_LIST_LIMIT_BYTES, max(MIN_LIST_LIMIT_BYTES, share_bytes))

    def subscribe(self, active: bool) -> None:
        """Open a watch in place of the current one, or only close the current one."""
        self.is_subscribed = active
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.watch is not None:
            self.watch.cancel()  # the new watch is answered instead
            self.watch = None
        if active:
            self.watch = DiscoveryCall(self, b"?stream=1&index=%d" % self.version)

    def fetch(self) -> None:
        """Request the complete list once."""
        DiscoveryCall(self, b"")

    def enqueue(self, text: bytes | None, call: DiscoveryCall | None = None) -> None:
        """Queue one received JSON object, an empty line (a heartbeat), or None for the failure of the call.

        While a large list is being parsed, later objects and failures wait behind it, so that the order is
        kept. A received object takes effect even if its call has failed since: discovery has sent it, and it
        may contain a drain that is not sent again.
        """
        self.queue.append((call, text))
        if not self.is_reading:
            self.process_queue()

    def process_queue(self) -> None:
        """Parse and apply queued objects for at most one step, then continue in the loop's next iteration."""
        end_s = self.loop.time() + STEP_S
        self.is_reading = True
        while not self.is_closed and (self.steps is not None or self.queue):
            if self.steps is None:
                self.current_item = self.queue.popleft()
                self.steps = self.apply(*self.current_item)
            call = self.current_item[0]
            try:
                next(self.steps)
            except StopIteration:
                self.steps = None
                if call is not None:
                    call.resume()
            except EndpointListError as error:
                self.steps = None
                if call is None:  # the object was passed in directly, not received
                    self.is_reading = False
                    raise
                call.fail(f"endpoint list rejected: {error}")
            except Exception:
                # A fault in one list must not stop the processing of all later ones.
                self.steps = None
                log.exception("an endpoint list could not be processed")
                if call is not None:
                    call.fail("an endpoint list could not be processed")
            if self.steps is not None and self.loop.time() >= end_s:
                if self.gc_controller is not None:
                    self.gc_controller.pause()
                self.loop.call_soon(self.process_queue)
                return
        self.is_reading = False
        if self.gc_controller is not None and self.listener is not None:
            self.gc_controller.resume(len(self.listener.listed_upstreams()))

    def apply(self, call: DiscoveryCall | None, text: bytes | None) -> Iterator[None]:
        """Parse one object completely, then pass it on; nothing of an invalid one is passed."""
        upstreams: list[ListedUpstream] = []
        version, is_complete = self.version, False
        if text is None:
            assert call is not None
            self.call_failed(call)
            return
        if text:
            try:
                parser = EndpointListParser(self.directory, text.decode())
            except UnicodeDecodeError as error:
                raise EndpointListError(str(error)) from error
            yield from parser.steps()
            version, is_complete, upstreams = parser.version, parser.is_complete, parser.upstreams
            # A fetch may be answered with a state older than what the watch has sent since, which would undo
            # a drain. A new watch that starts with a lower version is accepted: discovery was restarted.
            is_from_old_address = call is not None and call.address_generation != self.address_generation
            if (
                version < self.version
                and not is_from_old_address
                and not (is_complete and call is not None and call.is_first_object)
            ):
                self.warn(f"ignoring endpoint list version {version}: older than version {self.version}")
                version, is_complete, upstreams = self.version, False, []
        if call is not None:
            call.is_first_object = False
        if self.listener is not None:
            yield from self.pass_on(self.listener, upstreams, version, is_complete)
        self.set_version(call, version)

    def pass_on(
        self, listener: EndpointListListener, upstreams: list[ListedUpstream], version: int, is_complete: bool
    ) -> Iterator[None]:
        """Pass a list or changes to the listener, a large list in slices; tidy the directory."""
        self.keep_names(upstreams)
        listed_count = len(listener.listed_upstreams()) if is_complete else 0
        if max(len(upstreams), listed_count) <= SLICE_ENTRIES:
            kind = api.ListKind.FULL if is_complete else api.ListKind.DELTA
            listener.list_changed(kind, upstreams, version)
            self.remove_gone(
                list(self.directory.names) if is_complete else [upstream.entry.id for upstream in upstreams]
            )
            return
        # A complete list in one event would block the loop for long; as a series of changes it has the same
        # effect.
        for part in changes(listener, upstreams, is_complete):
            if part:
                listener.list_changed(api.ListKind.DELTA, part, version)
                self.remove_gone([upstream.entry.id for upstream in part])
            yield
        listener.list_changed(api.ListKind.DELTA, [], version)

    def set_version(self, call: DiscoveryCall | None, version: int) -> None:
        """Store the version of the list, unless it comes from an address that was replaced meanwhile.

        A version of another discovery service would be meaningless to the current one.
        """
        if call is None or call.address_generation == self.address_generation:
            self.version = version

    def keep_names(self, upstreams: list[ListedUpstream]) -> None:
        """Keep the names of endpoints that are listed again before their removal from the directory.

        Of a large list they may be applied only after the removal of others.
        """
        for upstream in upstreams:
            if upstream.entry.state is not api.UpstreamState.GONE:
                self.leaving.pop(upstream.entry.id, None)

    def remove_gone(self, numbers: Iterable[int]) -> None:
        """Remove the names of GONE endpoints from the directory, each once it has no attempts in flight."""
        assert self.listener is not None
        known = self.listener.listed_upstreams()
        self.leaving.update(
            dict.fromkeys(
                number
                for number in numbers
                if number not in known or known[number].entry.state is api.UpstreamState.GONE
            )
        )
        for number in list(self.leaving):
            if number not in known:
                self.directory.remove(number)
                del self.leaving[number]
            elif known[number].entry.state is not api.UpstreamState.GONE:
                del self.leaving[number]

    def warn(self, text: str) -> None:
        """Log a warning, at most one a second."""
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("discovery: %s", text)

    def call_failed(self, call: DiscoveryCall) -> None:
        """Report a failed call to the listener; where lists are pushed, schedule a new watch instead."""
        is_current_watch = call is self.watch
        if is_current_watch:
            self.watch = None
        if not self.pushed:
            if self.listener is not None:
                self.listener.list_failed()
        elif is_current_watch and self.retry_timer is None and not self.is_closed:
            self.retry_timer = self.loop.call_later(RETRY_DELAY_S, self.subscribe, True)

    def close(self) -> None:
        """Close all calls, and open no further ones."""
        self.is_closed = True
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        for call in list(self.calls):
            call.close()


class DiscoveryCall(asyncio.BufferedProtocol):
    """One HTTP call to discovery: a watch, whose objects are processed as they arrive, or a fetch."""

    def __init__(self, client: PlatformDiscoveryClient, query: bytes) -> None:
        self.client = client
        self.query = query
        self.address_generation = client.address_generation
        self.is_watch = bool(query)
        self.is_to_agent = client.pushed and self.is_watch
        self.has_answered = self.is_closed = False
        self.is_first_object = self.is_watch  # whether no object of this watch has been processed yet
        self.is_paused = False  # whether an object of this call is queued and not processed yet
        self.is_complete = False  # whether the response to a fetch is complete
        self.must_report_failure = True
        self.transport: asyncio.Transport | None = None
        self.reads = ReadTurns(client.loop, client.memory.read_buffer)
        self.splitter = JsonObjectSplitter()
        self.charged = MemoryAccount(client.memory)
        self.head_bytes_left = MAX_HEAD_BYTES
        self.parser = httptools.HttpResponseParser(self)
        self.idle_timer = client.loop.call_later(self.idle_timeout_s(), self.idle_timeout)
        client.calls.add(self)
        self.task = client.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Open the connection."""
        try:
            async with asyncio.timeout(AGENT_CONNECT_TIMEOUT_S if self.is_to_agent else CONNECT_TIMEOUT_S):
                await self.client.loop.create_connection(lambda: self, *self.client.address)
        except (OSError, TimeoutError) as error:
            self.fail(str(error) or "connection attempt timed out")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # uvloop's transport has all methods of asyncio.Transport, but is not derived from it.
        self.transport = self.reads.transport = cast(asyncio.Transport, transport)
        host = b"%s:%d" % (self.client.address[0].encode(), self.client.address[1])
        self.transport.write(b"GET /v1/endpoints%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (self.query, host))
        if self.is_closed:
            self.transport.abort()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where the transport reads to."""
        return self.client.memory.read_buffer.offer()

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes and queue the complete objects among them."""
        data = self.reads.take(size)
        if self.is_closed:
            return
        self.restart_idle_timer()
        self.parse(data)
        self.enqueue_objects()

    def parse(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser."""
        self.head_bytes_left -= len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"malformed HTTP response: {error.__context__ or error}")
        if self.head_bytes_left < 0:  # the parser buffers an incomplete header line without a limit
            self.fail(f"response head is larger than {MAX_HEAD_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Check the status (called by the HTTP parser)."""
        self.head_bytes_left = sys.maxsize
        if self.parser.get_status_code() != 200:
            self.fail(f"HTTP status {self.parser.get_status_code()}, expected 200")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body (called by the HTTP parser)."""
        if not self.is_closed:
            self.splitter.append(body)
            max_bytes = self.client.max_list_bytes()
            if len(self.splitter) > max_bytes:
                self.fail(f"endpoint list is larger than {max_bytes} bytes")

    def next_object(self) -> bytes | None:
        """Return the next complete object of a watch, or an empty line if that is its first data."""
        while self.is_watch:
            text = self.splitter.next_object()
            if text is None or text or not self.has_answered:
                return text
        return None

    def enqueue_objects(self) -> None:
        """Queue the complete objects, up to the first one that is not processed at once.

        Chunks and lines need not end together, and an object may span several lines.
        """
        try:
            while not self.is_closed and not self.is_paused and (text := self.next_object()) is not None:
                self.enqueue(text)
        except EndpointListError as error:
            self.fail(f"endpoint list rejected: {error}")
        self.charge_memory()

    def charge_memory(self) -> None:
        """Charge what is received and not parsed to the memory budget."""
        self.charged.hold(0 if self.is_closed else LIST_COPIES * len(self.splitter))

    def enqueue(self, text: bytes) -> None:
        """Queue one object, and stop reading from the connection until it is processed.

        Without this backpressure a server that sends faster than lists are processed would fill the memory.
        """
        self.has_answered = self.is_paused = True
        self.idle_timer.cancel()
        self.client.enqueue(text, self)
        if self.is_paused and not self.is_closed:
            self.reads.set_blocked(True)

    def resume(self) -> None:
        """Go on after the queued object has been processed; close a completed fetch."""
        self.is_paused = False
        if self.is_closed:
            return
        if self.is_complete:
            self.close()
            return
        self.restart_idle_timer()
        self.client.loop.call_soon(self.go_on)

    def go_on(self) -> None:
        """Queue the next objects that were received; read on once none is left."""
        self.enqueue_objects()
        if not self.is_paused:
            self.reads.set_blocked(False)

    def idle_timeout_s(self) -> float:
        """Return how long to wait for the next data.

        Where lists are pushed, the agent is silent while discovery is down. What a broken watch misses counts
        as delivered all the same, and calling the agent again is cheap, so the timeouts for it are short.
        """
        if self.has_answered and self.is_watch:
            return WATCH_IDLE_TIMEOUT_S
        return AGENT_RESPONSE_TIMEOUT_S if self.is_to_agent else RESPONSE_TIMEOUT_S

    def restart_idle_timer(self) -> None:
        """Start waiting for the next data."""
        self.idle_timer.cancel()
        self.idle_timer = self.client.loop.call_later(self.idle_timeout_s(), self.idle_timeout)

    def idle_timeout(self) -> None:
        """Fail the call, unless data is waiting in the socket.

        After a long iteration of the event loop, timers run before the data that arrived in the meantime.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            has_input = False
        else:
            has_input = make_input_poll(transport).has_occurred(if_unknown=False)
        if has_input:
            self.restart_idle_timer()
        else:
            self.fail("idle timeout: no data received")

    def on_message_complete(self) -> None:
        """Queue the list that was fetched, or fail a watch that has ended (called by the HTTP parser)."""
        if not self.is_watch and not self.is_closed:
            self.is_complete = True
            self.enqueue(bytes(self.splitter.buffer).strip())
        else:
            self.fail("the server ended the watch")

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call unless its response was complete."""
        if not self.is_complete:
            self.fail(str(error or "connection closed"))

    def fail(self, reason: str) -> None:
        """Close the call; its failure is processed after all objects that it has received."""
        if not self.is_closed:
            self.close()
            if self.must_report_failure:
                self.client.warn(reason)
                self.client.enqueue(None, self)

    def cancel(self) -> None:
        """Close a call that is replaced, without reporting a failure.

        Bytes that are in the socket and were not read yet take effect: discovery has sent them, and the call
        that takes the place of this one may not repeat them.
        """
        if self.is_closed:
            return
        self.must_report_failure, data = False, None
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # the socket is empty or its connection is broken
                data = os.read(self.transport.get_extra_info("socket").fileno(), MAX_FINAL_READ_BYTES)
        if data:
            self.parse(data)
        self.close()

    def enqueue_remaining(self) -> None:
        """Queue the objects of a watch that were received completely."""
        with contextlib.suppress(EndpointListError):
            while (text := self.next_object()) is not None:
                self.has_answered = True
                self.client.enqueue(text, self)

    def close(self) -> None:
        """Close the connection and queue what was received completely."""
        if not self.is_closed:
            self.is_closed = True
            self.enqueue_remaining()
        self.idle_timer.cancel()
        self.charge_memory()
        self.client.calls.discard(self)
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not asyncio.current_task():
            self.task.cancel()
