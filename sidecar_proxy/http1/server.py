"""The HTTP/1.1 server: accepts clients within a limit of connections, and closes idle and stalled ones."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import socket
from collections import deque
from functools import partial

from sidecar_proxy.engine.activity_log import CloseReason
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.body_buffers import BodyMemoryBudget, Upload
from sidecar_proxy.engine.connection_limit import ConnectionLimit
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.memory_budget import CLIENT_CONNECTION_BYTES, FREE_BYTES
from sidecar_proxy.http1.admission import Admission
from sidecar_proxy.http1.client import ClientConnection
from sidecar_proxy.http1.event_poll import EventPoll
from sidecar_proxy.http1.header_block import HeaderBlock
from sidecar_proxy.http1.kernel_buffers import measure_unread_output
from sidecar_proxy.http1.listener import (
    DownstreamConnection,
    Listener,
    MemoryHolder,
    PausedConnection,
    ReadProgress,
    ResponseTarget,
    UnreadConnection,
    WaitingForTurn,
)
from sidecar_proxy.http1.request import RequestParser, RequestRejectedError
from sidecar_proxy.http1.upstream import as_protocol

log = logging.getLogger("sidecar_proxy")

ACCEPT_BACKLOG = 512
NEVER_US = 0
SWEEP_INTERVAL_S = 0.2  # interval between two checks of the time limits of connections
# Readiness is polled ten times a second, and new connections are sent for 0.2 s after a negative answer.
DRAIN_NOTICE_S = 0.4
ACCEPT_AFTER_STOP_S = 0.5  # new connections keep arriving for up to 0.4 s after SIGTERM
POLL_INTERVAL_S = 0.01  # interval between two checks of the connections during a drain or shutdown
HANGUP_POLL_INTERVAL_S = 0.05  # interval between two polls for disconnected clients of paused connections
# SIGKILL follows SIGTERM after the longest deadline, at most this long, and 0.7 s.
MAX_DEADLINE_BEFORE_KILL_S = 3.0
KILL_MARGIN_S = 0.5
FLUSH_TIMEOUT_S = 1.0  # maximum time for clients to read the last responses at a shutdown
EVICTION_READ_STALL_S = 3.0  # the same, if its place is needed for a new connection
CLIENT_SEND_BUFFER_BYTES = 64 * 1024  # of the kernel, for each client connection
# An incomplete request of which nothing has arrived for this long may be rejected if memory is needed.
STALLED_REQUEST_S = 0.3
# Connections that go on in one iteration of the event loop, of those with more to do than one has time for.
MAX_TURNS_PER_ITERATION = 8
ACCEPT_RETRY_DELAY_S = 0.05  # delay after a failed accept, or while no connection may be closed


class Server(Listener):
    """Accepts client connections, up to a limit, and passes their requests to the engine."""

    def __init__(
        self, engine: Engine, max_connections: int, body_budget: BodyMemoryBudget | None = None
    ) -> None:
        super().__init__(engine, body_budget or BodyMemoryBudget(4 * 1024 * 1024))
        self.request_parser = RequestParser(engine.settings)
        self.limit = ConnectionLimit(max_connections, engine.memory)
        self.connections: set[DownstreamConnection] = set()
        self.admission: Admission[DownstreamConnection] = Admission(self.limit.value)
        self.waiting_for_turn: deque[WaitingForTurn] = deque()
        self.are_turns_scheduled = False
        self.attach_tasks: set[asyncio.Task[None]] = set()
        self.listening_socket: socket.socket | None = None
        self.is_accepting = False
        self.is_stopping = False
        self.is_socket_inherited = False  # whether other processes accept on the listening socket as well
        self.drain_task: asyncio.Task[None] | None = None
        self.next_warning_s = 0.0
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.hangup_timer: asyncio.TimerHandle | None = None
        engine.activity.describe_load = self.describe_load

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar neither drains nor stops."""
        return not self.is_stopping and self.drain_task is None

    def describe_load(self) -> str:
        """Return what the process holds now, for the log."""
        memory = self.memory
        return (
            f"{memory.used_bytes // 1024} of {memory.max_bytes // 1024} KB, "
            f"{len(self.connections)} of {self.limit.value} connections, "
            f"{len(self.engine.requests)} requests"
        )

    def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Start to accept clients and return the bound address.

        Listens at `address`, or on the platform's listening socket if its descriptor is given as `inherited`.
        Raises OSError.
        """
        self.is_socket_inherited = inherited is not None
        now_us = self.engine.clock.now_us()
        if inherited is not None:
            self.listening_socket = socket.socket(fileno=inherited)
            self.backlog.seen_empty(NEVER_US)  # clients may have waited before this process began
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self.listening_socket = socket.create_server(
                (address[0].strip("[]"), address[1]), family=family, backlog=ACCEPT_BACKLOG
            )
            self.backlog.seen_empty(now_us)
        self.listening_socket.setblocking(False)
        self.resume_accepting()
        bound: Address = self.listening_socket.getsockname()[:2]
        return bound

    def mark_busy(self, connection: DownstreamConnection) -> None:
        """Record that a request is in flight on the connection."""
        self.admission.remove(connection)

    def mark_waiting(self, connection: DownstreamConnection) -> None:
        """Record that no request is in flight: the connection is idle or its next request is incomplete.

        At the limit, an idle connection may be closed for one in the backlog. If a new one were admitted
        only after another has closed by itself, clients that keep theirs would block new clients.
        """
        now_s = self.loop.time()
        if connection.has_received_request and not connection.is_receiving:
            oldest = self.admission.mark_idle(connection, now_s)
            if oldest is not None and oldest.can_close():
                self.close_connection(oldest, CloseReason.REPLACED)
        else:
            self.admission.mark_received_bytes(connection, now_s)
        self.resume_accepting()

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the last response is sent, and that what still arrives is discarded."""
        self.admission.mark_lingering(connection, self.loop.time())

    def sweep(self) -> None:
        """End connections that exceed a time limit.

        Clients that connect and send nothing, or only part of a request, would otherwise stay forever.
        """
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now_s = self.loop.time()
        for uploading in [
            connection
            for connection in self.uploads
            if not connection.is_paused and now_s - connection.phase_began_s >= connection.receive_timeout_s
        ]:
            uploading.reject(RequestRejectedError(408, "the request did not come whole in time"))
        for connection in [
            candidate
            for candidate in self.admission.without_request()
            if now_s - candidate.phase_began_s >= candidate.receive_timeout_s
        ]:
            if connection.is_receiving or connection.unparsed_bytes:
                self.mark_busy(connection)
                connection.reject(RequestRejectedError(408, "the request did not come whole in time"))
            elif connection.can_close():
                self.close_connection(connection, CloseReason.NO_REQUEST)
        self.close_unread_connections(now_s)
        self.update_connection_limit()
        for connection in [
            candidate
            for candidate in self.admission.idle
            if now_s - candidate.phase_began_s >= candidate.idle_timeout_s
        ]:
            if connection.can_close():
                self.close_connection(connection, CloseReason.IDLE)

    def schedule_turn(self, connection: WaitingForTurn) -> None:
        """Have the connection go on in a later iteration of the event loop."""
        self.waiting_for_turn.append(connection)
        self.schedule_turns()

    def schedule_turns(self) -> None:
        """Have waiting connections go on in the next iteration of the event loop."""
        if not self.are_turns_scheduled:
            self.are_turns_scheduled = True
            self.loop.call_soon(self.give_turns)

    def give_turns(self) -> None:
        """Let some of the waiting connections go on, those that have waited for longest."""
        self.are_turns_scheduled = False
        count = min(MAX_TURNS_PER_ITERATION, len(self.waiting_for_turn))
        next_connections = [self.waiting_for_turn.popleft() for _ in range(count)]
        if self.waiting_for_turn:
            self.schedule_turns()
        for connection in next_connections:
            try:
                connection.take_turn()
            except Exception:  # a fault in one connection must not stop the others
                log.exception("a connection could not go on; it is closed")
                self.engine.activity.closed(CloseReason.FAULT)
                connection.close()

    def watch_unread_output(self, connection: UnreadConnection) -> None:
        """Close the connection if its client does not go on reading, until it is in `unread_connections`."""
        if connection not in self.unread_connections:
            self.unread_connections[connection] = ReadProgress(
                measure_unread_output(connection.transport), self.loop.time()
            )

    def close_unread_connections(self, now_s: float) -> None:
        """Close the connections whose client has stopped reading its responses."""
        for connection, progress in list(self.unread_connections.items()):
            unread = measure_unread_output(connection.transport)
            if unread.has_changed(progress.unread):
                progress.unread, progress.at_s = unread, now_s
            elif now_s - progress.at_s >= unread.stall_timeout_s:
                self.engine.activity.closed(CloseReason.READ_STALL)
                connection.close()

    def make_room(self, connection: MemoryHolder) -> bool:
        """Reject stalled incomplete requests of other connections; return whether there is memory then."""
        for stalled in self.admission.stalled(self.loop.time() - STALLED_REQUEST_S):
            if self.memory.has_room():
                break
            if isinstance(stalled, ClientConnection) and stalled is not connection and stalled.held_bytes():
                stalled.reject_for_memory()
        return self.memory.has_room()

    def watch_for_hangup(self, connection: PausedConnection) -> None:
        """Poll whether the client has disconnected, while the connection is in `paused_connections`."""
        self.paused_connections[connection] = None
        if self.hangup_timer is None:
            self.hangup_timer = self.loop.call_later(HANGUP_POLL_INTERVAL_S, self.check_hangups)

    def check_hangups(self) -> None:
        """Close the paused connections whose client has disconnected.

        Queued requests of such a client would otherwise be sent to an upstream later.
        """
        for connection in list(self.paused_connections):
            if connection.transport is None or connection.transport.is_closing():
                del self.paused_connections[connection]  # it ends once its output is written
            elif connection.is_client_gone():
                del self.paused_connections[connection]
                self.engine.activity.closed(CloseReason.CLIENT_GONE)
                connection.close()
        self.hangup_timer = (
            self.loop.call_later(HANGUP_POLL_INTERVAL_S, self.check_hangups)
            if self.paused_connections
            else None
        )

    def resume_accepting(self) -> None:
        """Accept new connections again."""
        if self.listening_socket is not None and not self.is_accepting:
            self.is_accepting = True
            self.backlog.begin()
            self.loop.add_reader(self.listening_socket.fileno(), self.accept)

    def pause_accepting(self) -> None:
        """Leave new connections in the backlog."""
        if self.listening_socket is not None and self.is_accepting:
            self.is_accepting = False
            self.backlog.end()
            self.loop.remove_reader(self.listening_socket.fileno())

    def pause_accepting_briefly(self) -> None:
        """Leave new connections in the backlog for ACCEPT_RETRY_DELAY_S."""
        self.pause_accepting()
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume_accepting)

    def find_evictable(self) -> DownstreamConnection | None:
        """Return the connection to close for a new one at the limit, or None."""
        now_s = self.loop.time()
        for candidate in self.admission.eviction_candidates(now_s):
            if candidate.can_close():
                return candidate
        for connection, progress in self.unread_connections.items():
            is_stalled = progress.unread.is_measured and now_s - progress.at_s >= EVICTION_READ_STALL_S
            if is_stalled and connection in self.connections:
                return connection
        return None

    def accept(self) -> None:
        """Accept the connections in the backlog, as far as the limit allows.

        The loop's own server closes a connection for which it has no descriptor, and a request that was
        already written to it would be lost. Here such a connection waits in the backlog.
        """
        while self.listening_socket is not None:
            is_full = len(self.connections) >= self.limit.value
            evictable = self.find_evictable() if is_full else None
            if is_full and evictable is None:
                self.pause_accepting_briefly()  # ends early when a connection becomes idle or is closed
                return
            now_us = self.engine.clock.now_us()
            try:
                client, _ = self.listening_socket.accept()
            except BlockingIOError:
                self.backlog.seen_empty(now_us)
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.warn_rate_limited(f"accept: {error}")
                self.pause_accepting_briefly()
                return
            # Closed only now: before accept() succeeds it is not known whether a client waits.
            if evictable is not None:
                self.forget(evictable)
                self.close_connection(evictable, CloseReason.REPLACED)
            connection = ClientConnection(self)
            connection.socket = client
            self.memory.charge(CLIENT_CONNECTION_BYTES)
            self.connections.add(connection)
            self.admission.add(connection, connection.phase_began_s)
            task = self.loop.create_task(self.attach(client, connection))
            self.attach_tasks.add(task)
            task.add_done_callback(self.attach_tasks.discard)

    async def attach(self, client: socket.socket, connection: ClientConnection) -> None:
        """Attach an accepted socket to its protocol object."""
        try:
            client.setblocking(False)
            with contextlib.suppress(OSError):  # only a larger buffer than necessary
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_SEND_BUFFER_BYTES)
            protocol: object = connection if self.front is None else self.front.protocol_for(connection)
            await self.loop.connect_accepted_socket(partial(as_protocol, protocol), client)
        except OSError:
            client.close()
            self.remove(connection)

    def replace(self, old: DownstreamConnection, new: DownstreamConnection) -> None:
        """Replace a connection by one of the protocol that its first bytes showed."""
        self.mark_busy(old)
        self.connections.discard(old)
        self.connections.add(new)

    def close_connection(self, connection: DownstreamConnection, reason: CloseReason) -> None:
        """Close a connection."""
        self.engine.activity.closed(reason)
        self.mark_busy(connection)
        connection.close()

    def remove(self, connection: DownstreamConnection) -> None:
        """Record that the connection is closed."""
        self.mark_busy(connection)
        self.forget(connection)
        self.resume_accepting()

    def forget(self, connection: DownstreamConnection) -> None:
        """Stop counting a connection."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.memory.charge(-CLIENT_CONNECTION_BYTES)

    def warn_rate_limited(self, text: str) -> None:
        """Log a warning, at most one per second."""
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("%s", text)

    def accept_request(
        self,
        request: ResponseTarget,
        method: bytes,
        target: bytes,
        headers: HeaderBlock,
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        """Answer /ready, and pass any other request to the engine. Raises RequestRejectedError."""
        if target == b"/ready" and method == b"GET":
            request.reply(200 if self.is_ready else 503)
            return
        # The client counts the time that its request has waited in the kernel.
        arrived_us = self.engine.clock.now_us() - request.input_age_us()
        call = self.request_parser.parse(method, target, headers, body, arrived_us, upload)
        if call.request_id in self.open_request_ids or self.engine.is_id_taken(
            call.class_index, call.request_id
        ):
            # Upstreams tell requests apart by their Req-Id: with two of the same, each could get the other's
            # response.
            raise RequestRejectedError(409, "a request with this Req-Id is open or may have run")
        if len(call.head) + len(call.body) > FREE_BYTES and not self.memory.has_room():
            raise RequestRejectedError(503, "out of memory")
        call.open_stream = request.open_stream
        call.is_client_gone = request.is_client_gone
        request.request_id = call.request_id
        self.open_request_ids.add(call.request_id)
        request.request_number = self.engine.accept(call, request.reply)

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Halve the limit of connections, or restore it; close what may be closed above the limit."""
        self.limit.set_halved(is_halved)
        self.update_connection_limit()
        for _ in range(len(self.connections) - self.limit.value):
            evictable = self.find_evictable()
            if evictable is None:
                break
            self.forget(evictable)
            self.close_connection(evictable, CloseReason.REPLACED)

    def update_connection_limit(self) -> None:
        """Follow the memory budget."""
        self.limit.update()
        self.admission.max_connections = self.limit.value

    # Drains

    def drain(self) -> None:
        """Report not ready until `undrain`, so that no new clients are sent to this sidecar.

        /ready answers 503 at once; existing connections are ended once new ones have stopped arriving.
        """
        if self.drain_task is None and not self.is_stopping:
            self.drain_task = self.loop.create_task(self.close_idle_while_draining())
            self.notify_front()

    def undrain(self) -> None:
        """End a drain: clients are served as before."""
        if self.drain_task is not None and not self.is_stopping:
            self.drain_task.cancel()
            self.drain_task = None
            self.is_closing = False
            self.notify_front()

    def notify_front(self) -> None:
        """Notify the other protocol's server that `is_ready` has changed."""
        if self.front is not None:
            self.front.readiness_changed()

    async def close_idle_while_draining(self) -> None:
        """End connections for as long as the drain lasts.

        Once new connections have stopped arriving, those without a request in flight are closed, and each
        response ends its connection. Connections that still arrive are served, for one request each.
        """
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.is_closing = True
        while True:
            accepted_before_s = self.loop.time() - DRAIN_NOTICE_S
            for connection in list(self.connections):
                connection.announce_shutdown()
                if (
                    not connection.pending
                    and not connection.is_discarding
                    and not connection.is_receiving
                    and (
                        connection.has_received_request
                        or (connection.phase_began_s <= accepted_before_s and not connection.unparsed_bytes)
                    )
                    and connection.can_close()
                ):
                    self.close_connection(connection, CloseReason.SHUTDOWN)
            await asyncio.sleep(POLL_INTERVAL_S)

    def max_stop_wait_s(self) -> float:
        """Return how long after SIGTERM requests may stay in flight; SIGKILL follows soon after."""
        longest_us = max(request_class.deadline_us for request_class in self.engine.settings.classes)
        return min(longest_us / 1e6, MAX_DEADLINE_BEFORE_KILL_S) + KILL_MARGIN_S

    async def stop(self) -> None:
        """Shut down gracefully, for a planned restart.

        Accepted requests are completed, and connections on their way here are still accepted. Until new ones
        have stopped arriving, existing connections are served as usual: their clients wait for the next
        process and can use no other sidecar.
        """
        self.is_stopping, began_s = True, self.loop.time()
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.notify_front()
        deadline_s = began_s + self.max_stop_wait_s()
        if not self.is_socket_inherited:
            await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        self.is_closing = True
        if not self.is_socket_inherited and self.listening_socket is not None:
            self.accept()
            # Closing the listening socket resets the connections in its backlog, and their requests are lost.
            # At the limit of connections these have to wait until others have been answered.
            backlog = EventPoll(self.listening_socket.fileno(), select.POLLIN)
            while self.loop.time() < deadline_s and backlog.has_occurred(if_unknown=True):
                await asyncio.sleep(POLL_INTERVAL_S)
                self.accept()
        self.pause_accepting()
        listening_socket, self.listening_socket = self.listening_socket, None
        if listening_socket is not None:
            listening_socket.close()
        await asyncio.gather(*self.attach_tasks)
        while unfinished := [
            connection
            for connection in self.connections
            if connection.pending or not connection.is_discarding
        ]:
            for connection in unfinished:
                connection.announce_shutdown()
                if not connection.pending and not connection.is_receiving and connection.can_close():
                    self.close_connection(connection, CloseReason.SHUTDOWN)
            # SIGKILL would lose every request that is unanswered by then, and clients keep sending on open
            # connections until it comes. So each request is answered with 504 from the deadline on.
            if self.loop.time() >= deadline_s:
                for number in list(self.engine.requests):
                    self.engine.fail_request(number, 504)
            if self.loop.time() >= deadline_s + FLUSH_TIMEOUT_S:
                # What has begun is delivered, however long it takes until SIGKILL.
                for connection in unfinished:
                    if not connection.is_delivering():
                        self.close_connection(connection, CloseReason.SHUTDOWN)
            await asyncio.sleep(POLL_INTERVAL_S)
        # A client that does not read its response is disconnected after READ_STALL_TIMEOUT_S.
        flush_deadline_s = self.loop.time() + FLUSH_TIMEOUT_S
        while self.unread_connections or (
            self.loop.time() < flush_deadline_s
            and any(connection.has_unsent_output() for connection in self.connections)
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.sweep_timer.cancel()
        self.heartbeat.close()
        self.engine.activity.close()
        log.info("shutdown is complete; %s", self.describe_load())
