"""The interface between the listener and its client connections, for any protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sidecar_proxy.engine.body_buffers import BodyMemoryBudget, ResponseSink, ResponseSource, Upload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.input_watch import InputWatch, LoopHeartbeat
from sidecar_proxy.engine.memory_waiters import MemoryWaiters
from sidecar_proxy.http1.header_block import HeaderBlock
from sidecar_proxy.http1.kernel_buffers import UnreadOutput
from sidecar_proxy.http1.request import RequestRejectedError

DISCARD_BYTES = 64 * 1024  # size of a read of input that is discarded


class DownstreamConnection(Protocol):
    """A connection from the application, of any protocol."""

    # loop time at which the connection was accepted, became idle or began to receive a later request
    phase_began_s: float
    has_received_request: bool  # whether at least one complete request has arrived
    is_receiving: bool  # whether a request has begun to arrive and is incomplete
    unparsed_bytes: int
    is_discarding: bool  # whether any further input is discarded
    idle_timeout_s: float

    @property
    def receive_timeout_s(self) -> float:
        """The time limit, counted from `phase_began_s`, for what is being received."""

    transport: asyncio.Transport | None

    @property
    def pending(self) -> object:
        """Truthy while a response or another message is still to be sent on this connection."""

    def can_close(self) -> bool:
        """Return whether closing the connection now would lose neither a request nor a response."""

    def has_unsent_output(self) -> bool:
        """Return whether the transport still buffers output."""

    def is_delivering(self) -> bool:
        """Return whether a response has begun to be delivered and is not complete."""

    def reject(self, error: RequestRejectedError) -> None:
        """Reject the request that is being received, and end the connection."""

    def close(self) -> None:
        """End the connection; output that the client does not read is dropped."""

    def announce_shutdown(self) -> None:
        """Notify the client, where the protocol can, that no new requests will be accepted."""


class PausedConnection(Protocol):
    """A connection whose reading is paused."""

    transport: asyncio.Transport | None

    def is_client_gone(self) -> bool:
        """Return whether a client that waited for a response has disconnected."""

    def close(self) -> None:
        """End the connection."""


class UnreadConnection(Protocol):
    """A connection whose client does not read its responses now."""

    transport: asyncio.Transport | None

    def close(self) -> None:
        """End the connection; output that the client does not read is dropped."""


class WaitingForTurn(Protocol):
    """A connection with more to do than one iteration of the event loop has time for."""

    def take_turn(self) -> None:
        """Go on for one turn."""

    def close(self) -> None:
        """End the connection."""


class MemoryHolder(Protocol):
    """A connection that holds an incomplete request."""

    def held_bytes(self) -> int:
        """Return how much memory a rejection of the incomplete request would release."""

    def reject_for_memory(self) -> None:
        """Reject the incomplete request."""


class UploadingConnection(Protocol):
    """A connection that receives a request body which is streamed to the upstream."""

    is_paused: bool
    phase_began_s: float

    @property
    def receive_timeout_s(self) -> float:
        """The time limit, counted from `phase_began_s`, for the complete body."""

    def reject(self, error: RequestRejectedError) -> None:
        """Reject the request whose body is being received."""


class ResponseTarget(Protocol):
    """A request that waits in its connection's queue, and takes the response to it."""

    request_number: int  # the engine's number of the request
    request_id: bytes  # value of Req-Id, set once the request is accepted

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """Take a complete response: status, header lines and body."""

    def is_client_gone(self) -> bool:
        """Return whether the client has disconnected, even if that can't be read yet."""

    def input_age_us(self) -> int:
        """Return how long ago the last byte of the request arrived, as far as that is known."""

    def open_stream(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink:
        """Open a streamed response. `length` is None if it is unknown; `ended` is called at its end."""


@dataclass(slots=True)
class ReadProgress:
    """How far a client has read its responses."""

    unread: UnreadOutput  # when the client was last seen to read
    at_s: float  # loop time of that


class ProtocolFront(Protocol):
    """A server of another protocol on the same listener."""

    def protocol_for(self, plain: DownstreamConnection) -> object:
        """Return what receives the first bytes of a connection: it has the methods of an asyncio.Protocol."""

    def readiness_changed(self) -> None:
        """Handle a change of `Listener.is_ready`: the sidecar drains, stops or is ready again."""


class Listener:
    """The interface of the listener that client connections of any protocol use."""

    def __init__(self, engine: Engine, body_budget: BodyMemoryBudget) -> None:
        self.engine = engine
        self.loop = engine.loop
        self.memory = engine.memory
        self.memory_waiters = MemoryWaiters(engine.memory, engine.loop)
        self.body_budget = body_budget
        self.heartbeat = LoopHeartbeat(engine.loop, engine.clock.now_us)
        self.backlog = InputWatch(self.heartbeat, self.heartbeat.latest_us)  # of the listening socket
        self.discard_memory = memoryview(bytearray(DISCARD_BYTES))  # what is read to it is not used
        self.uploads: dict[UploadingConnection, None] = {}  # connections whose request body is being streamed
        self.paused_connections: dict[PausedConnection, None] = {}  # connections whose reading is paused
        # Connections whose client does not read its responses, and the progress that it made
        self.unread_connections: dict[UnreadConnection, ReadProgress] = {}
        self.open_request_ids: set[bytes] = set()  # Req-Ids of unanswered requests
        self.is_closing = False  # whether every response ends its connection
        self.front: ProtocolFront | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar is ready for new connections: it neither drains nor stops."""
        raise NotImplementedError

    def schedule_turn(self, connection: WaitingForTurn) -> None:
        """Have the connection go on in a later iteration of the event loop."""
        raise NotImplementedError

    def watch_unread_output(self, connection: UnreadConnection) -> None:
        """Close the connection if its client does not go on reading, until it is in `unread_connections`."""
        raise NotImplementedError

    def make_room(self, connection: MemoryHolder) -> bool:
        """Reject stalled incomplete requests of other connections; return whether there is memory then."""
        raise NotImplementedError

    def accept_request(
        self,
        request: ResponseTarget,
        method: bytes,
        target: bytes,
        headers: HeaderBlock,
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        """Pass a request to the engine, complete or with an `upload` that receives the rest of its body.

        Raises RequestRejectedError.
        """
        raise NotImplementedError

    def watch_for_hangup(self, connection: PausedConnection) -> None:
        """Poll whether the client has disconnected, while the connection is in `paused_connections`."""
        raise NotImplementedError

    def mark_busy(self, connection: DownstreamConnection) -> None:
        """Record that a request is in flight on the connection."""
        raise NotImplementedError

    def mark_waiting(self, connection: DownstreamConnection) -> None:
        """Record that no request is in flight: the connection is idle or its next request is incomplete."""
        raise NotImplementedError

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the last response is sent, and that what still arrives is discarded."""
        raise NotImplementedError

    def remove(self, connection: DownstreamConnection) -> None:
        """Record that the connection is closed."""
        raise NotImplementedError

    def replace(self, old: DownstreamConnection, new: DownstreamConnection) -> None:
        """Replace a connection by one of the protocol that its first bytes showed."""
        raise NotImplementedError

    def warn_rate_limited(self, text: str) -> None:
        """Log a warning, at most one per second."""
        raise NotImplementedError
