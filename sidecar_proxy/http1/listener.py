"""What the listener and the connections of its clients are to one another, by any protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.engine.body_buffers import BodyMemoryBudget, ResponseSink, ResponseSource, Upload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.http1.request import Rejected


class Incoming(Protocol):
    """A connection of the application's, by any protocol."""

    since: float  # it was accepted, came to rest, or began a later request
    asked: bool  # a whole request has come
    reading: bool  # a request has begun and is not whole
    unparsed: int
    deaf: bool  # what still comes is dropped
    idle_s: float

    @property
    def grace_s(self) -> float:
        """How long after `since` what is being read may take."""

    transport: asyncio.Transport | None

    @property
    def pending(self) -> object:
        """True in a condition while something is owed here."""

    def quiet(self) -> bool: ...

    def backlog(self) -> bool: ...

    def reject(self, error: Rejected) -> None: ...

    def drop(self) -> None: ...

    def leave(self) -> None: ...


class Unheard(Protocol):
    """A connection that is not read from just now."""

    def left(self) -> bool:
        """Somebody waited there, and has gone."""

    def drop(self) -> None: ...


class Sender(Protocol):
    """A connection that sends a body which is passed on as it comes."""

    paused: bool
    since: float

    @property
    def grace_s(self) -> float: ...

    def reject(self, error: Rejected) -> None: ...


class Asked(Protocol):
    """A request that stands in line on its connection."""

    request: int  # its number in the engine
    ident: bytes  # its Req-Id, once it is taken

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None: ...

    def open(
        self, head: bytes, length: int | None, source: ResponseSource, ended: Callable[[bool | None], None]
    ) -> ResponseSink: ...


class OtherFront(Protocol):
    """A front of another protocol on the same listener."""

    def first(self, plain: Incoming) -> object:
        """Who has the first bytes of a connection: an asyncio.Protocol in all but its bases."""

    def tell(self) -> None:
        """We drain, end or are back."""


class Listener:
    """What connections need of their listener."""

    def __init__(self, engine: Engine, spool: BodyMemoryBudget) -> None:
        self.engine = engine
        self.loop = engine.loop
        self.spool = spool
        self.uploads: dict[Sender, None] = {}  # bodies that are passed on as they come
        self.unheard: dict[Unheard, None] = {}  # connections that are not read from just now
        self.open: set[bytes] = set()  # Req-Ids of requests that are not answered
        self.closing = False  # each answer ends its connection
        self.front: OtherFront | None = None

    @property
    def ready(self) -> bool:
        """New connections are wanted."""
        raise NotImplementedError

    def take(
        self,
        one: Asked,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        upload: Upload | None = None,
    ) -> None:
        """A request has come, or its head has and `upload` will hold the rest. Raises Rejected."""
        raise NotImplementedError

    def unhear(self, connection: Unheard) -> None:
        """It is not read from until it is out of `unheard`."""
        raise NotImplementedError

    def busy(self, connection: Incoming) -> None:
        """Something is owed there."""
        raise NotImplementedError

    def rests(self, connection: Incoming) -> None:
        """Nothing is."""
        raise NotImplementedError

    def lost(self, connection: Incoming) -> None:
        raise NotImplementedError

    def swap(self, old: Incoming, new: Incoming) -> None:
        """It speaks another protocol than was thought."""
        raise NotImplementedError

    def complain(self, text: str) -> None:
        """One log line a second at most."""
        raise NotImplementedError
