"""The connections between sidecars that agree: one to each node that is spoken to, made as it is needed, on
gossip's addresses. It decides nothing.

What is asked by a connection is answered on it; all else that is for a node goes by our own connection to it,
so that a way that is broken in one direction is so for us too. Bounded: what waits for a node, the
connections taken, a frame's length, and how long one may stand still.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter, deque
from collections.abc import Callable

from sidecar_proxy.consensus import frames
from sidecar_proxy.consensus.frames import Answer, Ask, Batch, Frame, Later, Piece, Want
from sidecar_proxy.consensus.messages import Node
from sidecar_proxy.consensus.session import MAGIC, MOST_GREETING, MOST_SEALED, Session
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.gossip.transport import HEADER_BYTES, frame_message, receive, wall_clock_us

log = logging.getLogger("sidecar_proxy")

GREET_S = 2.0  # to be there and to have greeted
STALL_S = 3.0  # what is written has to leave
IDLE_S = 15.0
MOST_WAITING = 256 * 1024  # bytes for one node; what is more is lost, as by a network
MOST_TAKEN = 400  # connections of others
MOST_OF_ONE = 4  # of them, by one node: an old one may not have been missed yet
COMPLAIN_S = 1.0
ANSWERS = (Batch, Piece, Later, Answer)
Address = tuple[str, int]


class Link:
    """Our connection to one node, and what waits for it."""

    def __init__(self, links: Links, node: Node) -> None:
        self.links = links
        self.node = node
        self.waiting: deque[Frame] = deque()
        self.size = 0
        self.used_s = links.loop.time()
        self.wake = asyncio.Event()
        self.task = links.loop.create_task(self.run())

    def send(self, frame: Frame) -> bool:
        """False: it is full."""
        size = cost(frame)
        if self.size + size > MOST_WAITING:
            return False
        self.size += size
        self.used_s = self.links.loop.time()
        self.waiting.append(frame)
        self.wake.set()
        return True

    async def run(self) -> None:
        links, writer = self.links, None
        reader_task: asyncio.Task[None] | None = None
        try:
            address = links.address(self.node)
            if address is None:
                return
            async with asyncio.timeout(GREET_S):
                reader, writer = await asyncio.open_connection(*address, local_addr=links.local())
                session = Session(links.keyring, links.me)
                writer.write(MAGIC + frame_message(session.greeting()))
                data = await receive(reader, MOST_GREETING)
                session.greeted(data, links.now_us(), wall_clock_us())
                if session.peer != self.node:
                    raise RejectedError("another node by now")
            links.sessions[session] = writer
            reader_task = links.loop.create_task(links.listen(reader, session, None))
            reader_task.add_done_callback(lambda _: self.wake.set())
            while not reader_task.done():
                while self.waiting:
                    frame = self.waiting.popleft()
                    self.size -= cost(frame)
                    data = session.seal(frames.encode(frame))
                    links.counts["bytes out"] += len(data)
                    writer.write(data)
                    if writer.transport.get_write_buffer_size():
                        async with asyncio.timeout(STALL_S):
                            await writer.drain()
                self.wake.clear()
                await self.wake.wait()  # for long: `Links.look` ends it
            reader_task.result()
        except RejectedError as error:
            links.refuse(f"{self.node}: {error}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass  # the node's silence says so
        finally:
            if reader_task is not None and not reader_task.cancel() and not reader_task.cancelled():
                reader_task.exception()  # told above, or of no more use
            if writer is not None:
                writer.transport.abort()
            links.ended(self, writer)


class Links:
    """All connections of one sidecar."""

    def __init__(
        self,
        keyring: Keyring,
        me: Node,
        now_us: Callable[[], int],
        address: Callable[[Node], Address | None],
        local: Callable[[], Address | None],
        received: Callable[[Node, Frame], None],
        unsent: Callable[[Node, Frame], None],
        broken: Callable[[Node], None],
    ) -> None:
        self.keyring = keyring
        self.me = me
        self.now_us = now_us
        self.address = address  # where a node is heard; None = not known
        self.local = local  # where calls are made from
        self.received = received
        self.unsent = unsent
        self.broken = broken
        self.loop = asyncio.get_running_loop()
        self.links: dict[Node, Link] = {}
        self.sessions: dict[Session, asyncio.StreamWriter] = {}
        self.taken: Counter[Node] = Counter()
        self.back: dict[Node, tuple[Session, asyncio.StreamWriter]] = {}  # where its questions came from
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()
        self.refused = self.told_refused = 0
        self.last_refused = ""
        self.next_complaint = 0.0
        self.closed = False

    # What goes out

    def post(self, node: Node, frame: Frame) -> None:
        if self.closed:
            return
        if isinstance(frame, ANSWERS):
            self.reply(node, frame)
            return
        link = self.links.get(node)
        if link is None:
            link = self.links[node] = Link(self, node)
        if not link.send(frame):
            self.counts["frames lost"] += 1
            self.loop.call_soon(self.unsent, node, frame)

    def reply(self, node: Node, frame: Frame) -> None:
        """On the connection by which it asked; lost with it."""
        session, writer = self.back.get(node, (None, None))
        if session is None or writer is None or writer.transport.get_write_buffer_size() > MOST_WAITING:
            self.counts["frames lost"] += 1
            return
        data = session.seal(frames.encode(frame))
        self.counts["bytes out"] += len(data)
        writer.write(data)

    def ended(self, link: Link, writer: asyncio.StreamWriter | None) -> None:
        self.sessions = {one: its for one, its in self.sessions.items() if its is not writer}
        if self.links.get(link.node) is link:
            del self.links[link.node]
        if self.closed:
            return
        for frame in link.waiting:
            self.unsent(link.node, frame)
        if writer is not None:
            self.broken(link.node)

    # What comes in

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A connection of another's, behind its first bytes."""
        if self.closed or self.taken.total() >= MOST_TAKEN:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        session = Session(self.keyring, self.me)
        peer = ""
        self.taken[""] += 1  # while it has not said who it is
        try:
            async with asyncio.timeout(GREET_S):
                key = session.greeted(await receive(reader, MOST_GREETING), self.now_us(), wall_clock_us())
                if self.taken[session.peer] >= MOST_OF_ONE:
                    raise RejectedError("too many connections of one")
                writer.write(frame_message(session.greeting(key)))
                await writer.drain()
                first = session.open(await receive(reader, MOST_SEALED))
            peer = session.peer
            self.taken[peer] += 1
            self.sessions[session] = writer
            await self.listen(reader, session, writer, first)
        except RejectedError as error:
            self.refuse(f"{session.peer or 'a stranger'}: {error}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.taken[""] -= 1
            if peer:
                self.taken[peer] -= 1
                if not self.taken[peer]:
                    del self.taken[peer]
            if self.back.get(session.peer, (None, None))[0] is session:
                del self.back[session.peer]
            self.sessions.pop(session, None)
            self.tasks.discard(task)
            writer.transport.abort()

    async def listen(
        self,
        reader: asyncio.StreamReader,
        session: Session,
        writer: asyncio.StreamWriter | None,
        first: bytes | None = None,
    ) -> None:
        """Frames of one connection, until it ends. `writer`: it is another's, so questions come by it."""
        while not self.closed:
            if first is None:
                sealed = await receive(reader, MOST_SEALED)
                self.counts["bytes in"] += len(sealed) + HEADER_BYTES
                first = session.open(sealed)
            try:
                frame = frames.read(first, session.peer, self.me)
            except frames.FrameError as error:
                self.refuse(f"{session.peer}: {error}")
                return
            if writer is not None and isinstance(frame, ANSWERS):
                raise RejectedError("an answer to nothing")
            if writer is None and not isinstance(frame, ANSWERS):
                raise RejectedError("no answer")
            if writer is not None and isinstance(frame, Want | Ask):
                self.back[session.peer] = session, writer
            self.received(session.peer, frame)
            first = None

    def refuse(self, text: str) -> None:
        self.refused += 1
        self.last_refused = text
        self.complain()

    def complain(self) -> None:
        """One line a second at most, whatever comes."""
        if self.refused > self.told_refused and self.loop.time() >= self.next_complaint:
            self.next_complaint, self.told_refused = self.loop.time() + COMPLAIN_S, self.refused
            log.warning(
                "agreement: %d connections or frames refused so far, the last of %s",
                self.refused,
                self.last_refused,
            )

    def look(self) -> None:
        """Now and then: connections of no use go, and those whose certificate was revoked meanwhile."""
        for link in list(self.links.values()):
            if self.loop.time() - link.used_s > IDLE_S:
                link.task.cancel()
        self.complain()
        for session, writer in list(self.sessions.items()):
            if session.is_revoked():
                self.refuse(f"{session.peer}: revoked")
                writer.transport.abort()

    def close(self) -> None:
        self.closed = True
        for link in list(self.links.values()):
            link.task.cancel()
        for task in list(self.tasks):
            task.cancel()
        for writer in self.sessions.values():
            with contextlib.suppress(Exception):
                writer.transport.abort()


def cost(frame: Frame) -> int:
    """Bytes, nearly."""
    entries = getattr(frame, "entries", ())
    return 128 + sum(len(one.data) + 32 for one in entries) + len(getattr(frame, "word", b""))
