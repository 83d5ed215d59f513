"""The sockets of gossip: UDP datagrams, and state exchanges over TCP on the same address.

It carries out what the instance returns and makes no decisions. A TCP connection begins with four bytes: the
length of a state, or the magic of another protocol that shares the address.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from sidecar_proxy.engine import wall_clock
from sidecar_proxy.gossip.codec import MAX_STATE_BYTES, SignedStatement
from sidecar_proxy.gossip.effects import Address
from sidecar_proxy.gossip.instance import (
    Datagram,
    FleetSize,
    GossipInstance,
    OutlierWeight,
    Output,
    StateExchange,
    SubsystemMessage,
)
from sidecar_proxy.gossip.keys import RejectedError

log = logging.getLogger("sidecar_proxy")

EXCHANGE_TIMEOUT_S = 2.0  # for a complete state exchange
FRAME_HEADER_BYTES = 4  # a length, or the magic of another protocol
MAX_PENDING_CONNECTIONS = 64  # accepted, but still without a header
MAX_EXCHANGES = 4  # at a time; more are rejected
STATEMENTS_PER_SLICE = 20  # verified without a break, about a millisecond
REJECTION_LOG_INTERVAL_S = 1.0
LOGGED_REASONS = 6  # the most frequent ones
TIMER_SLACK_S = 0.001  # the timer fires after the due time, not just before it
MAX_READ_BUFFER_BYTES = 1 << 16

ProtocolHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class GossipTransport(asyncio.DatagramProtocol):
    """One instance on its sockets."""

    def __init__(
        self,
        instance: GossipInstance,
        now_us: Callable[[], int],
        on_output: Callable[[OutlierWeight | FleetSize | SubsystemMessage], None],
    ) -> None:
        """Make a transport; `now_us` is the monotonic clock, `on_output` takes the other outputs."""
        self.instance = instance
        self.exchanges = 0  # running state exchanges
        self.protocol_handlers: dict[bytes, ProtocolHandler] = {}  # other protocols, by their magic
        self.local_address: Address | None = None  # source of connections; None = the system's choice
        self.now_us = now_us
        self._on_output = on_output
        self._loop = asyncio.get_running_loop()
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_us = 0  # 0 = the timer is not set
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending_connections = 0
        self._next_rejection_log_s = 0.0
        self._logged_rejections = 0
        self._is_closed = False

    async def open(self, bind: Address) -> Address:
        """Listen on TCP and UDP and return the address. Raises OSError."""
        self._tcp = await asyncio.start_server(self._accept, *bind, limit=MAX_READ_BUFFER_BYTES)
        host, port = self._tcp.sockets[0].getsockname()[:2]
        self.local_address = None if ipaddress.ip_address(host).is_unspecified else (host, 0)
        try:
            self._udp, _ = await self._loop.create_datagram_endpoint(lambda: self, (host, port))
        except OSError:
            self._tcp.close()
            raise
        return host, port

    def start(self) -> None:
        """Start the instance's timer."""
        self._arm_timer()

    def close(self) -> None:
        """Stop the timer, running exchanges and the sockets."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()

    def perform(self, outputs: list[Output]) -> None:
        """Carry out what the instance has returned."""
        if self._is_closed:
            return
        for output in outputs:
            match output:
                case Datagram():
                    self._send_datagram(output)
                case StateExchange():
                    task = self._loop.create_task(self._connect_and_exchange(output.address))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                case _:
                    self._on_output(output)
        self._arm_timer()

    # Datagrams

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        """Pass a datagram to the instance."""
        source = (address[0], address[1])
        self.perform(self.instance.receive(data, source, self.now_us(), wall_clock_us()))
        self._log_rejections()

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer is unreachable: the failure detector finds out."""

    def _send_datagram(self, datagram: Datagram) -> None:
        if self._udp is not None:
            with contextlib.suppress(OSError, ValueError):  # no route to the peer
                self._udp.sendto(datagram.data, datagram.address)

    # State exchanges

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve_connection(reader, writer)
        except asyncio.CancelledError:
            # The process ends. The streams of Python 3.11 log a traceback for a handler that is cancelled.
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._pending_connections >= MAX_PENDING_CONNECTIONS:
            writer.transport.abort()
            return
        self._pending_connections += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                header = await reader.readexactly(FRAME_HEADER_BYTES)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            writer.transport.abort()
            return
        finally:
            self._pending_connections -= 1
        handler = self.protocol_handlers.get(header)
        if handler is not None:
            await handler(reader, writer)
        else:
            await self._exchange(reader, writer, header)

    async def _connect_and_exchange(self, address: Address) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                # from the listening address, as the other side may judge by it
                reader, writer = await asyncio.open_connection(*address, local_addr=self.local_address)
        except (OSError, TimeoutError):
            return
        await self._exchange(reader, writer, header=None)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, header: bytes | None
    ) -> None:
        """Exchange states; the caller sends first, so that a stranger learns nothing.

        `header` is what has been read of the caller's state, None if this instance is the caller.
        """
        if self.exchanges >= MAX_EXCHANGES:
            writer.transport.abort()
            return
        self.exchanges += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                statements = await self._swap_states(reader, writer, header)
            writer.close()
            for start in range(0, len(statements), STATEMENTS_PER_SLICE):
                chunk = statements[start : start + STATEMENTS_PER_SLICE]
                self.perform(self.instance.merge_remote_state(chunk, self.now_us(), wall_clock_us()))
                await asyncio.sleep(0)
        except RejectedError as error:
            self.instance.keyring.rejections[str(error)] += 1
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
        finally:
            self.exchanges -= 1

    async def _swap_states(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, header: bytes | None
    ) -> list[SignedStatement]:
        is_caller = header is None
        if is_caller:
            await _send_frame(writer, self.instance.local_state(wall_clock_us()))
        data = await read_frame(reader, MAX_STATE_BYTES, header or b"")
        self.instance.counts["bytes in"] += len(data)
        statements = self.instance.open_remote_state(data, self.now_us(), wall_clock_us())
        if not is_caller:
            await _send_frame(writer, self.instance.local_state(wall_clock_us()))
        return statements

    # Time

    def _arm_timer(self) -> None:
        due_us = self.instance.due_us
        if self._is_closed or (self._timer_due_us and self._timer_due_us <= due_us):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_us = due_us
        delay_s = max(0, due_us - self.now_us()) / 1e6 + TIMER_SLACK_S
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer_due_us = 0
        self.perform(self.instance.tick(self.now_us(), wall_clock_us()))

    def _log_rejections(self) -> None:
        """Log the rejections, one line a second at most."""
        rejections = self.instance.keyring.rejections
        total = rejections.total()
        if total <= self._logged_rejections or self._loop.time() < self._next_rejection_log_s:
            return
        self._next_rejection_log_s = self._loop.time() + REJECTION_LOG_INTERVAL_S
        self._logged_rejections = total
        most_common = rejections.most_common(LOGGED_REASONS)
        log.warning(
            "gossip: rejected so far: %s", ", ".join(f"{count} {reason}" for reason, count in most_common)
        )


async def _send_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(frame_message(data))
    await writer.drain()


def frame_message(data: bytes) -> bytes:
    """Return the data with its length before it."""
    return len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data


async def read_frame(reader: asyncio.StreamReader, max_bytes: int, header: bytes = b"") -> bytes:
    """Read one frame; `header` is its length if that has been read. Raises ValueError if it is too long."""
    size = int.from_bytes(header or await reader.readexactly(FRAME_HEADER_BYTES), "big")
    if size > max_bytes:
        raise ValueError("too large")
    return await reader.readexactly(size)


def wall_clock_us() -> int:
    """Return the wall clock in microseconds."""
    return wall_clock.now_ns() // 1000
