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
from sidecar_proxy.http1.listener import Asked, Incoming, Listener, Unheard
from sidecar_proxy.http1.request import Reader, Rejected
from sidecar_proxy.http1.upstream import itself, poll_of

log = logging.getLogger("sidecar_proxy")

BACKLOG = 512
SWEEP_S = 0.2
DRAIN_NOTICE_S = 0.4  # the front asks ten times a second, and sends new connections for 0.2 s after a no
ACCEPT_AFTER_STOP_S = 0.5  # new connections go on coming for up to 0.4 s after SIGTERM
LOOK_S = 0.01
HEARKEN_S = 0.1  # who leaves is noticed within it, also where we do not read
KILL_DEADLINE_S = 3.0  # SIGKILL comes the longest deadline, at most this, and 0.7 s after SIGTERM
KILL_SLACK_S = 0.5
FLUSH_S = 1.0
RETRY_ACCEPT_S = 0.05


class Server(Listener):
    """The listener, within a budget of client connections."""

    def __init__(self, engine: Engine, most: int, spool: BodyMemoryBudget | None = None) -> None:
        super().__init__(engine, spool or BodyMemoryBudget(4 * 1024 * 1024))
        self.reader = Reader(engine.settings)
        self.most = self.whole = most
        self.connections: set[Incoming] = set()
        self.places: Admission[Incoming] = Admission(most)
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        self.listening = False
        self.stopping = False
        self.inherited = False  # the listener is shared with other processes
        self.drained: asyncio.Task[None] | None = None
        self.next_complaint = 0.0
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)
        self.hearkens: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        return not self.stopping and self.drained is None

    def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Take clients at the address, or by the listening socket that the platform gave. Raises OSError."""
        self.inherited = inherited is not None
        if inherited is not None:
            self.listener = socket.socket(fileno=inherited)
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self.listener = socket.create_server(
                (address[0].strip("[]"), address[1]), family=family, backlog=BACKLOG
            )
        self.listener.setblocking(False)
        self.resume()
        bound: Address = self.listener.getsockname()[:2]
        return bound

    def busy(self, connection: Incoming) -> None:
        self.places.busy(connection)

    def rests(self, connection: Incoming) -> None:
        """Nothing is pending. Hazard: at the limit it makes room for those that wait to be accepted; if only
        closed ones did, kept connections would shut new ones out."""
        now = self.loop.time()
        if connection.asked and not connection.reading:
            oldest = self.places.rests(connection, now)
            if oldest is not None and oldest.quiet():
                self.drop(oldest)
        else:
            self.places.wrote(connection, now)
        self.resume()

    def sweep(self) -> None:
        """Hazard: clients that connect and say nothing, or send half a request, would stay for good."""
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)
        now = self.loop.time()
        for sender in [one for one in self.uploads if not one.paused and now - one.since >= one.grace_s]:
            sender.reject(Rejected(408, "the request did not come whole in time"))
        for connection in [one for one in self.places.unasked() if now - one.since >= one.grace_s]:
            if connection.reading or connection.unparsed:
                self.busy(connection)
                connection.reject(Rejected(408, "the request did not come whole in time"))
            elif connection.quiet():
                self.drop(connection)
        for connection in [one for one in self.places.idle if now - one.since >= one.idle_s]:
            if connection.quiet():
                self.drop(connection)

    def unhear(self, connection: Unheard) -> None:
        self.unheard[connection] = None
        if self.hearkens is None:
            self.hearkens = self.loop.call_later(HEARKEN_S, self.hearken)

    def hearken(self) -> None:
        """Hazard: what waits for a client that has left would be sent on once its turn comes."""
        for connection in list(self.unheard):
            if connection.left():
                del self.unheard[connection]
                connection.drop()
        self.hearkens = self.loop.call_later(HEARKEN_S, self.hearken) if self.unheard else None

    def resume(self) -> None:
        if self.listener is not None and not self.listening:
            self.listening = True
            self.loop.add_reader(self.listener.fileno(), self.accept)

    def pause(self) -> None:
        if self.listener is not None and self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener.fileno())

    def rest_from_accepting(self) -> None:
        self.pause()
        self.loop.call_later(RETRY_ACCEPT_S, self.resume)

    def spare(self) -> Incoming | None:
        """At the limit, the one to end for a new one."""
        return next((one for one in self.places.spare(self.loop.time()) if one.quiet()), None)

    def accept(self) -> None:
        """Hazard: the loop's own server closes what it has no descriptor for, and a request already
        written to it would be lost. Here it waits in the backlog until there is room."""
        while self.listener is not None:
            full = len(self.connections) >= self.most
            spare = self.spare() if full else None
            if full and spare is None:
                self.rest_from_accepting()  # or until a connection rests or is lost
                return
            try:
                client, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.complain(f"accept: {error}")
                self.rest_from_accepting()
                return
            if spare is not None:  # hazard: no sooner, or one would be closed though nobody waits
                self.connections.discard(spare)
                self.drop(spare)
            connection = ClientConnection(self)
            self.connections.add(connection)
            self.places.accepted(connection, connection.since)
            task = self.loop.create_task(self.adopt(client, connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def adopt(self, client: socket.socket, connection: ClientConnection) -> None:
        try:
            client.setblocking(False)
            first: object = connection if self.front is None else self.front.first(connection)
            await self.loop.connect_accepted_socket(partial(itself, first), client)
        except OSError:
            client.close()
            self.lost(connection)

    def swap(self, old: Incoming, new: Incoming) -> None:
        self.busy(old)
        self.connections.discard(old)
        self.connections.add(new)

    def drop(self, connection: Incoming) -> None:
        self.busy(connection)
        connection.drop()

    def lost(self, connection: Incoming) -> None:
        self.busy(connection)
        self.connections.discard(connection)
        self.resume()

    def complain(self, text: str) -> None:
        if self.loop.time() >= self.next_complaint:
            self.next_complaint = self.loop.time() + 1.0
            log.warning("%s", text)

    def take(
        self,
        one: Asked,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        if target == b"/ready" and method == b"GET":
            one.reply(200 if self.ready else 503)
            return
        call = self.reader.read(method, target, headers, body, self.engine.clock.now_us(), upload)
        if call.request_id in self.open:
            # hazard: upstreams tell requests apart by it; two at once could get each other's answer
            raise Rejected(409, "a request with this Req-Id is open")
        call.open_stream = one.open
        one.ident = call.request_id
        self.open.add(call.request_id)
        one.request = self.engine.accept(call, one.reply)

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Keep to half of the connections, or no more."""
        self.most = self.places.most = max(1, self.whole // 2) if is_halved else self.whole
        for _ in range(len(self.connections) - self.most):
            spare = self.spare()
            if spare is None:
                break
            self.connections.discard(spare)
            self.drop(spare)

    # Drains

    def drain(self) -> None:
        """Clients are sent elsewhere until `undrain`: first no new connections, then none at all."""
        if self.drained is None and not self.stopping:
            self.drained = self.loop.create_task(self.empty())
            self.tell_front()

    def undrain(self) -> None:
        if self.drained is not None and not self.stopping:
            self.drained.cancel()
            self.drained = None
            self.closing = False
            self.tell_front()

    def tell_front(self) -> None:
        if self.front is not None:
            self.front.tell()

    async def empty(self) -> None:
        """A drain: who has no request under way is let go as soon as new connections have ceased to come, and
        each answer ends its connection. New ones still are served, once each."""
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.closing = True
        while True:
            old = self.loop.time() - DRAIN_NOTICE_S
            for connection in list(self.connections):
                connection.leave()
                if (
                    not connection.pending
                    and not connection.deaf
                    and not connection.reading
                    and (connection.asked or (connection.since <= old and not connection.unparsed))
                    and connection.quiet()
                ):
                    self.drop(connection)
            await asyncio.sleep(LOOK_S)

    def patience_s(self) -> float:
        """How long after SIGTERM requests may still be under way; a kill comes soon after."""
        longest_us = max(one.deadline_us for one in self.engine.settings.classes)
        return min(longest_us / 1e6, KILL_DEADLINE_S) + KILL_SLACK_S

    async def stop(self) -> None:
        """A planned restart: what was taken is finished, and nobody is cut off on the way here. Until new
        connections have ceased to come, the old ones are served as ever: who waits for us to be back has
        nowhere to go."""
        self.stopping, began = True, self.loop.time()
        if self.drained is not None:
            self.drained.cancel()
        self.tell_front()
        late = began + self.patience_s()
        if not self.inherited:
            await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        self.closing = True
        if not self.inherited and self.listener is not None:
            self.accept()
            # hazard: what still waits in the backlog is reset with the listener, and lost; at the limit it
            # waits for the answers of others
            backlog = poll_of(self.listener.fileno(), select.POLLIN)
            while self.loop.time() < late and backlog.poll(0):
                await asyncio.sleep(LOOK_S)
                self.accept()
        self.pause()
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.close()
        await asyncio.gather(*self.tasks)
        while left := [one for one in self.connections if one.pending or not one.deaf]:
            for connection in left:
                connection.leave()
                if not connection.pending and not connection.reading and connection.quiet():
                    self.drop(connection)
            if self.loop.time() >= late:  # hazard: clients send on what is open till the kill
                for ident in list(self.engine.requests):
                    self.engine.fail_request(ident, 504)  # hazard: what a kill finds unanswered is lost
            if self.loop.time() >= late + FLUSH_S:
                for connection in left:
                    self.drop(connection)  # large answers on their way: they are seen not to be whole
                break
            await asyncio.sleep(LOOK_S)
        end = self.loop.time() + FLUSH_S  # a client that does not read its answer holds nobody up
        while self.loop.time() < end and any(one.backlog() for one in self.connections):
            await asyncio.sleep(LOOK_S)
        self.sweep_timer.cancel()
