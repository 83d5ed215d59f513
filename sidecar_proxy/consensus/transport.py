"""The connections between the sidecars of a fleet, which carry the frames of consensus.

A sidecar opens one outgoing connection to each node that it sends frames to, when it is first needed, to the
address that gossip knows. A response goes back on the connection on which its request came; all other frames
go on the sender's own outgoing connection, so that a path that fails in one direction is noticed by the
sender. The bytes queued for a node, the number of accepted connections, the length of a frame and the time
without progress are bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from sidecar_proxy.consensus import frames
from sidecar_proxy.consensus.errors import FrameError
from sidecar_proxy.consensus.frames import (
    EntryBatch,
    FetchLater,
    FetchRequest,
    Frame,
    LeaderReply,
    LeaderRequest,
    SnapshotChunk,
)
from sidecar_proxy.consensus.messages import Append, NodeId
from sidecar_proxy.consensus.session import (
    CONNECTION_MAGIC,
    MAX_GREETING_BYTES,
    MAX_SEALED_BYTES,
    Session,
)
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.gossip.transport import FRAME_HEADER_BYTES, frame_message, read_frame, wall_clock_us

log = logging.getLogger("sidecar_proxy")

GREETING_TIMEOUT_S = 2.0  # timeout for opening a connection and exchanging greetings
WRITE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 15.0
MAX_QUEUED_BYTES = 256 * 1024  # maximum size of the frames queued for one node; further frames are dropped
MAX_ACCEPTED_CONNECTIONS = 400
# More than one accepted connection, as the loss of a node's old connection may not have been noticed yet.
MAX_CONNECTIONS_PER_NODE = 4
WARNING_INTERVAL_S = 1.0
# Estimated bytes of a frame and of an entry in addition to its data, for the limit of a queue.
FRAME_OVERHEAD_BYTES = 128
ENTRY_OVERHEAD_BYTES = 32
RESPONSES = (EntryBatch, SnapshotChunk, FetchLater, LeaderReply)
# Each accepted connection is counted under this key, and after its greeting also under its peer's node id.
UNIDENTIFIED: NodeId = ""
CONNECTION_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError)
Address = tuple[str, int]


class FrameHandler(Protocol):
    """The owner of the transport, which handles its events and knows the addresses."""

    def on_frame(self, node: NodeId, frame: Frame) -> None:
        """Handles a received frame."""

    def on_unsent(self, node: NodeId, frame: Frame) -> None:
        """Handles a frame that was never sent, as its connection failed or the queue was full."""

    def on_link_broken(self, node: NodeId) -> None:
        """Handles the loss of an outgoing connection; sent frames may or may not have arrived."""

    def address_of(self, node: NodeId) -> Address | None:
        """Returns the address of a node, or None if it is not known."""

    def local_address(self) -> Address | None:
        """Returns the local address for outgoing connections, or None for any."""


@dataclass(slots=True, frozen=True)
class ReplyPath:
    """The accepted connection on which a node's last request came, for its response."""

    session: Session
    writer: asyncio.StreamWriter


class OutgoingConnection:
    """This sidecar's connection to one node, and the queue of frames for it."""

    def __init__(self, transport: ConsensusTransport, node: NodeId) -> None:
        self.transport = transport
        self.node = node
        self.queue: deque[Frame] = deque()
        self.queued_bytes = 0
        self.last_used_s = transport.loop.time()
        self.wakeup = asyncio.Event()
        self.task = transport.loop.create_task(self._run())

    def send(self, frame: Frame) -> bool:
        """Queues a frame. Returns False if the queue is full."""
        size = estimated_size(frame)
        if self.queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        self.queued_bytes += size
        self.last_used_s = self.transport.loop.time()
        self.queue.append(frame)
        self.wakeup.set()
        return True

    async def _run(self) -> None:
        transport = self.transport
        writer: asyncio.StreamWriter | None = None
        reader_task: asyncio.Task[None] | None = None
        try:
            address = transport.handler.address_of(self.node)
            if address is None:
                return
            session = Session(transport.keyring, transport.node_id)
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                local_address = transport.handler.local_address()
                reader, writer = await asyncio.open_connection(*address, local_addr=local_address)
                await self._greet(session, reader, writer)
            transport.sessions[session] = writer
            reader_task = transport.loop.create_task(transport.read_responses(reader, session))
            reader_task.add_done_callback(lambda _: self.wakeup.set())
            while not reader_task.done():
                await self._write_queue(session, writer)
                self.wakeup.clear()
                # `ConsensusTransport.maintain` cancels this task when the connection is idle.
                await self.wakeup.wait()
            reader_task.result()
        except RejectedError as error:
            transport.count_rejection(f"{self.node}: {error}")
        except CONNECTION_ERRORS:
            pass  # a failed connection is not logged: consensus notices that the node does not reply
        finally:
            if reader_task is not None and not reader_task.cancel() and not reader_task.cancelled():
                reader_task.exception()  # marks it as retrieved: it was handled above, or no longer matters
            if writer is not None:
                writer.transport.abort()
            transport.on_connection_ended(self, writer)

    async def _greet(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(CONNECTION_MAGIC + frame_message(session.create_greeting()))
        greeting = await read_frame(reader, MAX_GREETING_BYTES)
        session.accept_greeting(greeting, self.transport.now_us(), wall_clock_us())
        if session.peer != self.node:
            raise RejectedError(f"the address now belongs to another node, {session.peer}")

    async def _write_queue(self, session: Session, writer: asyncio.StreamWriter) -> None:
        while self.queue:
            frame = self.queue.popleft()
            self.queued_bytes -= estimated_size(frame)
            data = session.seal(frames.encode(frame))
            self.transport.counts["bytes out"] += len(data)
            writer.write(data)
            if writer.transport.get_write_buffer_size():
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()


class ConsensusTransport:
    """All consensus connections of one sidecar, outgoing and accepted."""

    def __init__(
        self, keyring: Keyring, node_id: NodeId, now_us: Callable[[], int], handler: FrameHandler
    ) -> None:
        self.keyring = keyring
        self.node_id = node_id
        self.now_us = now_us
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.outgoing: dict[NodeId, OutgoingConnection] = {}
        self.sessions: dict[Session, asyncio.StreamWriter] = {}
        self.accepted: Counter[NodeId] = Counter()  # number of accepted connections by node
        self.reply_paths: dict[NodeId, ReplyPath] = {}
        self.accept_tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()  # the keys are part of the answer to `FLEET STATUS`
        self.rejected_count = 0
        self.logged_rejected_count = 0
        self.last_rejection = ""
        self.next_warning_s = 0.0
        self.is_closed = False

    # Sending

    def send(self, node: NodeId, frame: Frame) -> None:
        """Sends a frame to a node, without a guarantee of delivery."""
        if self.is_closed:
            return
        if isinstance(frame, RESPONSES):
            self._send_response(node, frame)
            return
        connection = self.outgoing.get(node)
        if connection is None:
            connection = OutgoingConnection(self, node)
            self.outgoing[node] = connection
        if not connection.send(frame):
            self.counts["frames lost"] += 1
            self.loop.call_soon(self.handler.on_unsent, node, frame)

    def _send_response(self, node: NodeId, frame: Frame) -> None:
        path = self.reply_paths.get(node)
        if path is None or path.writer.transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
            self.counts["frames lost"] += 1
            return
        data = path.session.seal(frames.encode(frame))
        self.counts["bytes out"] += len(data)
        path.writer.write(data)

    def on_connection_ended(
        self, connection: OutgoingConnection, writer: asyncio.StreamWriter | None
    ) -> None:
        """Removes an outgoing connection and reports its loss; `writer` is None if it was never opened."""
        self.sessions = {
            session: session_writer
            for session, session_writer in self.sessions.items()
            if session_writer is not writer
        }
        if self.outgoing.get(connection.node) is connection:
            del self.outgoing[connection.node]
        if self.is_closed:
            return
        for frame in connection.queue:
            self.handler.on_unsent(connection.node, frame)
        if writer is not None:
            self.handler.on_link_broken(connection.node)

    # Receiving

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an accepted connection whose first bytes, CONNECTION_MAGIC, were read."""
        if self.is_closed or self.accepted.total() >= MAX_ACCEPTED_CONNECTIONS:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self.accept_tasks.add(task)
        session = Session(self.keyring, self.node_id)
        peer: NodeId = UNIDENTIFIED
        self.accepted[UNIDENTIFIED] += 1
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                first_frame = await self._accept(session, reader, writer)
            peer = session.peer
            self.accepted[peer] += 1
            self.sessions[session] = writer
            await self._serve_requests(reader, session, writer, first_frame)
        except RejectedError as error:
            self.count_rejection(f"{session.peer or 'an unidentified node'}: {error}")
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self._forget_accepted(session, peer)
            self.accept_tasks.discard(task)
            writer.transport.abort()

    async def _accept(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Exchanges greetings. Returns the caller's first frame, which proves that it has its session key."""
        greeting = await read_frame(reader, MAX_GREETING_BYTES)
        key = session.accept_greeting(greeting, self.now_us(), wall_clock_us())
        if self.accepted[session.peer] >= MAX_CONNECTIONS_PER_NODE:
            raise RejectedError(f"more than {MAX_CONNECTIONS_PER_NODE} connections from one node")
        writer.write(frame_message(session.create_greeting(key)))
        await writer.drain()
        return session.open(await read_frame(reader, MAX_SEALED_BYTES))

    def _forget_accepted(self, session: Session, peer: NodeId) -> None:
        self.accepted[UNIDENTIFIED] -= 1
        if peer:
            self.accepted[peer] -= 1
            if not self.accepted[peer]:
                del self.accepted[peer]
        path = self.reply_paths.get(session.peer)
        if path is not None and path.session is session:
            del self.reply_paths[session.peer]
        self.sessions.pop(session, None)

    async def read_responses(self, reader: asyncio.StreamReader, session: Session) -> None:
        """Handles the responses on an outgoing connection until it ends. Raises RejectedError."""
        while not self.is_closed:
            frame = self._decode(await self._read_frame(reader, session), session)
            if frame is None:
                return
            if not isinstance(frame, RESPONSES):
                raise RejectedError("received a frame that is no response on an outgoing connection")
            self.handler.on_frame(session.peer, frame)

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        session: Session,
        writer: asyncio.StreamWriter,
        first_frame: bytes,
    ) -> None:
        data = first_frame
        while not self.is_closed and self._handle_request(data, session, writer):
            data = await self._read_frame(reader, session)

    def _handle_request(self, data: bytes, session: Session, writer: asyncio.StreamWriter) -> bool:
        """Handles a frame of an accepted connection. Returns False if it can't be decoded.

        Raises RejectedError for a response.
        """
        frame = self._decode(data, session)
        if frame is None:
            return False
        if isinstance(frame, RESPONSES):
            raise RejectedError("received a response on an accepted connection")
        if isinstance(frame, FetchRequest | LeaderRequest):
            self.reply_paths[session.peer] = ReplyPath(session, writer)
        self.handler.on_frame(session.peer, frame)
        return True

    async def _read_frame(self, reader: asyncio.StreamReader, session: Session) -> bytes:
        sealed = await read_frame(reader, MAX_SEALED_BYTES)
        self.counts["bytes in"] += len(sealed) + FRAME_HEADER_BYTES
        return session.open(sealed)

    def _decode(self, data: bytes, session: Session) -> Frame | None:
        try:
            return frames.decode_frame(data, session.peer, self.node_id)
        except FrameError as error:
            self.count_rejection(f"{session.peer}: {error}")
            return None

    # Maintenance

    def count_rejection(self, text: str) -> None:
        """Counts a rejected connection or frame, and logs it as far as the rate limit allows."""
        self.rejected_count += 1
        self.last_rejection = text
        self._log_rejections()

    def _log_rejections(self) -> None:
        """Logs the number of rejections and the latest one, with at most one line a second."""
        has_unlogged = self.rejected_count > self.logged_rejected_count
        if has_unlogged and self.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.loop.time() + WARNING_INTERVAL_S
            self.logged_rejected_count = self.rejected_count
            log.warning(
                "agreement: %d connections or frames rejected so far, the latest from %s",
                self.rejected_count,
                self.last_rejection,
            )

    def maintain(self) -> None:
        """Closes idle connections and those whose peer's certificate was revoked; to be called regularly."""
        for connection in list(self.outgoing.values()):
            if self.loop.time() - connection.last_used_s > IDLE_TIMEOUT_S:
                connection.task.cancel()
        self._log_rejections()
        for session, writer in list(self.sessions.items()):
            if session.is_revoked():
                self.count_rejection(f"{session.peer}: its certificate was revoked")
                writer.transport.abort()

    def close(self) -> None:
        """Closes all connections."""
        self.is_closed = True
        for connection in list(self.outgoing.values()):
            connection.task.cancel()
        for task in list(self.accept_tasks):
            task.cancel()
        for writer in self.sessions.values():
            with contextlib.suppress(Exception):  # a transport may fail in any way while the loop ends
                writer.transport.abort()


def estimated_size(frame: Frame) -> int:
    """Returns the estimated number of bytes of a queued frame on the wire."""
    size = FRAME_OVERHEAD_BYTES
    if isinstance(frame, Append):
        size += sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in frame.entries)
    elif isinstance(frame, LeaderRequest):
        size += len(frame.command)
    return size
