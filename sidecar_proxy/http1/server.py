"""The application's side: accepts its connections, within a budget, and ends those that only hold it."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from functools import partial

from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.body_buffers import BodyMemoryBudget, Upload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.http1.admission import Admission
from sidecar_proxy.http1.client import ClientConnection
from sidecar_proxy.http1.listener import DownstreamConnection, Listener, PausedConnection, ResponseTarget
from sidecar_proxy.http1.request import RequestParser, RequestRejectedError
from sidecar_proxy.http1.upstream import as_protocol, make_poll

log = logging.getLogger("sidecar_proxy")

ACCEPT_BACKLOG = 512
SWEEP_INTERVAL_S = 0.2
DRAIN_NOTICE_S = 0.4  # the front asks ten times a second, and sends new connections for 0.2 s after a no
ACCEPT_AFTER_STOP_S = 0.5  # new connections go on coming for up to 0.4 s after SIGTERM
POLL_INTERVAL_S = 0.01
HANGUP_POLL_INTERVAL_S = 0.1  # who leaves is noticed within it, also where we do not read
MAX_DEADLINE_BEFORE_KILL_S = 3.0  # SIGKILL comes the longest deadline, at most this, and 0.7 s after SIGTERM
KILL_MARGIN_S = 0.5
FLUSH_TIMEOUT_S = 1.0
ACCEPT_RETRY_DELAY_S = 0.05


class Server(Listener):
    """The listener, within a budget of client connections."""

    def __init__(
        self, engine: Engine, max_connections: int, body_budget: BodyMemoryBudget | None = None
    ) -> None:
        super().__init__(engine, body_budget or BodyMemoryBudget(4 * 1024 * 1024))
        self.request_parser = RequestParser(engine.settings)
        self.max_connections = self.configured_max_connections = max_connections
        self.connections: set[DownstreamConnection] = set()
        self.admission: Admission[DownstreamConnection] = Admission(max_connections)
        self.attach_tasks: set[asyncio.Task[None]] = set()
        self.listening_socket: socket.socket | None = None
        self.is_accepting = False
        self.is_stopping = False
        self.is_socket_inherited = False  # the listener is shared with other processes
        self.drain_task: asyncio.Task[None] | None = None
        self.next_warning_s = 0.0
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.hangup_timer: asyncio.TimerHandle | None = None

    @property
    def is_ready(self) -> bool:
        return not self.is_stopping and self.drain_task is None

    def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Take clients at the address, or by the listening socket that the platform gave. Raises OSError."""
        self.is_socket_inherited = inherited is not None
        if inherited is not None:
            self.listening_socket = socket.socket(fileno=inherited)
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self.listening_socket = socket.create_server(
                (address[0].strip("[]"), address[1]), family=family, backlog=ACCEPT_BACKLOG
            )
        self.listening_socket.setblocking(False)
        self.resume_accepting()
        bound: Address = self.listening_socket.getsockname()[:2]
        return bound

    def mark_busy(self, connection: DownstreamConnection) -> None:
        self.admission.remove(connection)

    def mark_waiting(self, connection: DownstreamConnection) -> None:
        """Nothing is pending. Hazard: at the limit it makes room for those that wait to be accepted; if only
        closed ones did, kept connections would shut new ones out."""
        now = self.loop.time()
        if connection.has_received_request and not connection.is_receiving:
            oldest = self.admission.mark_idle(connection, now)
            if oldest is not None and oldest.can_close():
                self.close_connection(oldest)
        else:
            self.admission.mark_received_bytes(connection, now)
        self.resume_accepting()

    def sweep(self) -> None:
        """Hazard: clients that connect and say nothing, or send half a request, would stay for good."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        now = self.loop.time()
        for sender in [
            one
            for one in self.uploads
            if not one.is_paused and now - one.phase_began_s >= one.receive_timeout_s
        ]:
            sender.reject(RequestRejectedError(408, "the request did not come whole in time"))
        for connection in [
            one
            for one in self.admission.without_request()
            if now - one.phase_began_s >= one.receive_timeout_s
        ]:
            if connection.is_receiving or connection.unparsed_bytes:
                self.mark_busy(connection)
                connection.reject(RequestRejectedError(408, "the request did not come whole in time"))
            elif connection.can_close():
                self.close_connection(connection)
        for connection in [
            one for one in self.admission.idle if now - one.phase_began_s >= one.idle_timeout_s
        ]:
            if connection.can_close():
                self.close_connection(connection)

    def watch_for_hangup(self, connection: PausedConnection) -> None:
        self.paused_connections[connection] = None
        if self.hangup_timer is None:
            self.hangup_timer = self.loop.call_later(HANGUP_POLL_INTERVAL_S, self.check_hangups)

    def check_hangups(self) -> None:
        """Hazard: what waits for a client that has left would be sent on once its turn comes."""
        for connection in list(self.paused_connections):
            if connection.is_client_gone():
                del self.paused_connections[connection]
                connection.close()
        self.hangup_timer = (
            self.loop.call_later(HANGUP_POLL_INTERVAL_S, self.check_hangups)
            if self.paused_connections
            else None
        )

    def resume_accepting(self) -> None:
        if self.listening_socket is not None and not self.is_accepting:
            self.is_accepting = True
            self.loop.add_reader(self.listening_socket.fileno(), self.accept)

    def pause_accepting(self) -> None:
        if self.listening_socket is not None and self.is_accepting:
            self.is_accepting = False
            self.loop.remove_reader(self.listening_socket.fileno())

    def pause_accepting_briefly(self) -> None:
        self.pause_accepting()
        self.loop.call_later(ACCEPT_RETRY_DELAY_S, self.resume_accepting)

    def find_evictable(self) -> DownstreamConnection | None:
        """At the limit, the one to end for a new one."""
        return next(
            (one for one in self.admission.eviction_candidates(self.loop.time()) if one.can_close()), None
        )

    def accept(self) -> None:
        """Hazard: the loop's own server closes what it has no descriptor for, and a request already
        written to it would be lost. Here it waits in the backlog until there is room."""
        while self.listening_socket is not None:
            full = len(self.connections) >= self.max_connections
            spare = self.find_evictable() if full else None
            if full and spare is None:
                self.pause_accepting_briefly()  # or until a connection rests or is lost
                return
            try:
                client, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.warn_rate_limited(f"accept: {error}")
                self.pause_accepting_briefly()
                return
            if spare is not None:  # hazard: no sooner, or one would be closed though nobody waits
                self.connections.discard(spare)
                self.close_connection(spare)
            connection = ClientConnection(self)
            self.connections.add(connection)
            self.admission.add(connection, connection.phase_began_s)
            task = self.loop.create_task(self.attach(client, connection))
            self.attach_tasks.add(task)
            task.add_done_callback(self.attach_tasks.discard)

    async def attach(self, client: socket.socket, connection: ClientConnection) -> None:
        try:
            client.setblocking(False)
            first: object = connection if self.front is None else self.front.protocol_for(connection)
            await self.loop.connect_accepted_socket(partial(as_protocol, first), client)
        except OSError:
            client.close()
            self.remove(connection)

    def replace(self, old: DownstreamConnection, new: DownstreamConnection) -> None:
        self.mark_busy(old)
        self.connections.discard(old)
        self.connections.add(new)

    def close_connection(self, connection: DownstreamConnection) -> None:
        self.mark_busy(connection)
        connection.close()

    def remove(self, connection: DownstreamConnection) -> None:
        self.mark_busy(connection)
        self.connections.discard(connection)
        self.resume_accepting()

    def warn_rate_limited(self, text: str) -> None:
        if self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + 1.0
            log.warning("%s", text)

    def accept_request(
        self,
        one: ResponseTarget,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        if target == b"/ready" and method == b"GET":
            one.reply(200 if self.is_ready else 503)
            return
        call = self.request_parser.parse(method, target, headers, body, self.engine.clock.now_us(), upload)
        if call.request_id in self.open_request_ids:
            # hazard: upstreams tell requests apart by it; two at once could get each other's answer
            raise RequestRejectedError(409, "a request with this Req-Id is open")
        call.open_stream = one.open_stream
        one.request_id = call.request_id
        self.open_request_ids.add(call.request_id)
        one.request_number = self.engine.accept(call, one.reply)

    def shrink(self, half: bool) -> None:
        """Keep to half of the connections, or no more."""
        self.max_connections = self.admission.max_connections = (
            max(1, self.configured_max_connections // 2) if half else self.configured_max_connections
        )
        for _ in range(len(self.connections) - self.max_connections):
            spare = self.find_evictable()
            if spare is None:
                break
            self.connections.discard(spare)
            self.close_connection(spare)

    # Drains

    def drain(self) -> None:
        """Clients are sent elsewhere until `undrain`: first no new connections, then none at all."""
        if self.drain_task is None and not self.is_stopping:
            self.drain_task = self.loop.create_task(self.close_idle_while_draining())
            self.notify_front()

    def undrain(self) -> None:
        if self.drain_task is not None and not self.is_stopping:
            self.drain_task.cancel()
            self.drain_task = None
            self.is_closing = False
            self.notify_front()

    def notify_front(self) -> None:
        if self.front is not None:
            self.front.readiness_changed()

    async def close_idle_while_draining(self) -> None:
        """A drain: who has no request under way is let go as soon as new connections have ceased to come, and
        each answer ends its connection. New ones still are served, once each."""
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.is_closing = True
        while True:
            old = self.loop.time() - DRAIN_NOTICE_S
            for connection in list(self.connections):
                connection.announce_shutdown()
                if (
                    not connection.pending
                    and not connection.is_discarding
                    and not connection.is_receiving
                    and (
                        connection.has_received_request
                        or (connection.phase_began_s <= old and not connection.unparsed_bytes)
                    )
                    and connection.can_close()
                ):
                    self.close_connection(connection)
            await asyncio.sleep(POLL_INTERVAL_S)

    def max_stop_wait_s(self) -> float:
        """How long after SIGTERM requests may still be under way; a kill comes soon after."""
        longest_us = max(one.deadline_us for one in self.engine.settings.classes)
        return min(longest_us / 1e6, MAX_DEADLINE_BEFORE_KILL_S) + KILL_MARGIN_S

    async def stop(self) -> None:
        """A planned restart: what was taken is finished, and nobody is cut off on the way here. Until new
        connections have ceased to come, the old ones are served as ever: who waits for us to be back has
        nowhere to go."""
        self.is_stopping, began = True, self.loop.time()
        if self.drain_task is not None:
            self.drain_task.cancel()
        self.notify_front()
        late = began + self.max_stop_wait_s()
        if not self.is_socket_inherited:
            await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        self.is_closing = True
        if not self.is_socket_inherited and self.listening_socket is not None:
            self.accept()
            # hazard: what still waits in the backlog is reset with the listener, and lost; at the limit it
            # waits for the answers of others
            backlog = make_poll(self.listening_socket.fileno(), select.POLLIN)
            while self.loop.time() < late and backlog.poll(0):
                await asyncio.sleep(POLL_INTERVAL_S)
                self.accept()
        self.pause_accepting()
        listener, self.listening_socket = self.listening_socket, None
        if listener is not None:
            listener.close()
        await asyncio.gather(*self.attach_tasks)
        while left := [one for one in self.connections if one.pending or not one.is_discarding]:
            for connection in left:
                connection.announce_shutdown()
                if not connection.pending and not connection.is_receiving and connection.can_close():
                    self.close_connection(connection)
            if self.loop.time() >= late:  # hazard: clients send on what is open till the kill
                for ident in list(self.engine.requests):
                    self.engine.fail_request(ident, 504)  # hazard: what a kill finds unanswered is lost
            if self.loop.time() >= late + FLUSH_TIMEOUT_S:
                for connection in left:
                    self.close_connection(
                        connection
                    )  # large answers on their way: they are seen not to be whole
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        end = self.loop.time() + FLUSH_TIMEOUT_S  # a client that does not read its answer holds nobody up
        while self.loop.time() < end and any(one.has_unsent_output() for one in self.connections):
            await asyncio.sleep(POLL_INTERVAL_S)
        self.sweep_timer.cancel()
