"""What the listener and the connections of its clients are to one another, by any protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.body_buffers import BodyMemoryBudget, ResponseSink, ResponseSource, Upload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.http1.request import RequestRejectedError


class DownstreamConnection(Protocol):
    """A connection of the application's, by any protocol."""

    phase_began_s: float  # it was accepted, came to rest, or began a later request
    has_received_request: bool  # a whole request has come
    is_receiving: bool  # a request has begun and is not whole
    unparsed_bytes: int
    is_discarding: bool  # what still comes is dropped
    idle_timeout_s: float

    @property
    def receive_timeout_s(self) -> float:
        """How long after `since` what is being read may take."""

    transport: asyncio.Transport | None

    @property
    def pending(self) -> object:
        """True in a condition while something is owed here."""

    def can_close(self) -> bool: ...

    def has_unsent_output(self) -> bool: ...

    def reject(self, error: RequestRejectedError) -> None: ...

    def close(self) -> None: ...

    def announce_shutdown(self) -> None: ...


class PausedConnection(Protocol):
    """A connection that is not read from just now."""

    def is_client_gone(self) -> bool:
        """Somebody waited there, and has gone."""

    def close(self) -> None: ...


class UploadingConnection(Protocol):
    """A connection that sends a body which is passed on as it comes."""

    is_paused: bool
    phase_began_s: float

    @property
    def receive_timeout_s(self) -> float: ...

    def reject(self, error: RequestRejectedError) -> None: ...


class ResponseTarget(Protocol):
    """A request that stands in line on its connection."""

    request_number: int  # its number in the engine
    request_id: bytes  # its Req-Id, once it is taken

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None: ...

    def open_stream(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink: ...


class ProtocolFront(Protocol):
    """A front of another protocol on the same listener."""

    def protocol_for(self, plain: DownstreamConnection) -> object:
        """Who has the first bytes of a connection: an asyncio.Protocol in all but its bases."""

    def readiness_changed(self) -> None:
        """We drain, end or are back."""


class Listener:
    """What connections need of their listener."""

    def __init__(self, engine: Engine, body_budget: BodyMemoryBudget) -> None:
        self.engine = engine
        self.loop = engine.loop
        self.body_budget = body_budget
        self.uploads: dict[UploadingConnection, None] = {}  # bodies that are passed on as they come
        self.paused_connections: dict[
            PausedConnection, None
        ] = {}  # connections that are not read from just now
        self.open_request_ids: set[bytes] = set()  # Req-Ids of requests that are not answered
        self.is_closing = False  # each answer ends its connection
        self.front: ProtocolFront | None = None

    @property
    def is_ready(self) -> bool:
        """New connections are wanted."""
        raise NotImplementedError

    def accept_request(
        self,
        one: ResponseTarget,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        """A request has come, or its head has and `upload` will hold the rest. Raises Rejected."""
        raise NotImplementedError

    def watch_for_hangup(self, connection: PausedConnection) -> None:
        """It is not read from until it is out of `unheard`."""
        raise NotImplementedError

    def mark_busy(self, connection: DownstreamConnection) -> None:
        """Something is owed there."""
        raise NotImplementedError

    def mark_waiting(self, connection: DownstreamConnection) -> None:
        """Nothing is."""
        raise NotImplementedError

    def remove(self, connection: DownstreamConnection) -> None:
        raise NotImplementedError

    def replace(self, old: DownstreamConnection, new: DownstreamConnection) -> None:
        """It speaks another protocol than was thought."""
        raise NotImplementedError

    def warn_rate_limited(self, text: str) -> None:
        """One log line a second at most."""
        raise NotImplementedError
