"""The sockets of gossip: UDP datagrams, and state exchanges over TCP on the same address.

The transport carries out the outputs of a `GossipInstance`. A TCP connection begins with four bytes: the
length of the state that follows, or the magic of another protocol that shares the address.
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

EXCHANGE_TIMEOUT_S = 2.0  # timeout of a complete state exchange
FRAME_HEADER_BYTES = 4  # size of the length of a frame, and of the magic of another protocol
MAX_PENDING_CONNECTIONS = 64  # maximum number of accepted connections that have not sent a header yet
MAX_EXCHANGES = 4  # maximum number of concurrent state exchanges; further connections are aborted
STATEMENTS_PER_BATCH = 20  # statements verified (in about 1 ms) before other tasks of the event loop run
REJECTION_LOG_INTERVAL_S = 1.0
MAX_LOGGED_REASONS = 6  # number of reasons in a log line, the most frequent ones first
TIMER_SLACK_S = 0.001  # added to the delay of the timer, so that it never fires before the due time
MAX_READ_BUFFER_BYTES = 1 << 16

ProtocolHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class GossipTransport(asyncio.DatagramProtocol):
    """The sockets, timer and state exchanges of one instance."""

    def __init__(
        self,
        instance: GossipInstance,
        now_us: Callable[[], int],
        on_output: Callable[[OutlierWeight | FleetSize | SubsystemMessage], None],
    ) -> None:
        """Create a transport.

        `now_us` reads the monotonic clock. `on_output` is called for each output that is not for the network.
        """
        self.instance = instance
        self.exchanges = 0  # number of state exchanges in progress
        self.protocol_handlers: dict[bytes, ProtocolHandler] = {}  # handlers by the magic of their protocol
        # source address of connections; None = chosen by the system
        self.local_address: Address | None = None
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
        """Listen on TCP and UDP; return the bound address. Raises OSError."""
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
        """Stop the timer, cancel the state exchanges and close the sockets."""
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
        """Carry out the outputs of the instance and set the timer again."""
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
        """Ignore the error of an unreachable peer, which the failure detector will notice."""

    def _send_datagram(self, datagram: Datagram) -> None:
        if self._udp is not None:
            with contextlib.suppress(OSError, ValueError):  # raised if there is no route to the peer
                self._udp.sendto(datagram.data, datagram.address)

    # State exchanges

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve_connection(reader, writer)
        except asyncio.CancelledError:
            # The process ends. asyncio streams of Python 3.11 log a traceback if a handler is cancelled.
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
                # The source is the listening address, as peers may filter connections by it.
                reader, writer = await asyncio.open_connection(*address, local_addr=self.local_address)
        except (OSError, TimeoutError):
            return
        await self._exchange(reader, writer, header=None)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, header: bytes | None
    ) -> None:
        """Exchange states and merge the remote one.

        The connecting side sends first, so that it receives nothing unless its certificate is valid. `header`
        is what has been read of its state, None if this instance is the connecting side.
        """
        if self.exchanges >= MAX_EXCHANGES:
            writer.transport.abort()
            return
        self.exchanges += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                statements = await self._send_and_receive_states(reader, writer, header)
            writer.close()
            for start in range(0, len(statements), STATEMENTS_PER_BATCH):
                batch = statements[start : start + STATEMENTS_PER_BATCH]
                self.perform(self.instance.merge_remote_state(batch, self.now_us(), wall_clock_us()))
                await asyncio.sleep(0)
        except RejectedError as error:
            self.instance.keyring.rejections[str(error)] += 1
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
        finally:
            self.exchanges -= 1

    async def _send_and_receive_states(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, header: bytes | None
    ) -> list[SignedStatement]:
        is_connecting_side = header is None
        if is_connecting_side:
            await _send_frame(writer, self.instance.local_state(wall_clock_us()))
        data = await read_frame(reader, MAX_STATE_BYTES, header or b"")
        self.instance.counts["bytes in"] += len(data)
        statements = self.instance.open_remote_state(data, self.now_us(), wall_clock_us())
        if not is_connecting_side:
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
        """Log the counts of rejections by reason if they have changed, at most once per interval."""
        rejections = self.instance.keyring.rejections
        total = rejections.total()
        if total <= self._logged_rejections or self._loop.time() < self._next_rejection_log_s:
            return
        self._next_rejection_log_s = self._loop.time() + REJECTION_LOG_INTERVAL_S
        self._logged_rejections = total
        most_common = rejections.most_common(MAX_LOGGED_REASONS)
        log.warning(
            "gossip: rejected so far: %s", ", ".join(f"{count} {reason}" for reason, count in most_common)
        )


async def _send_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(frame_message(data))
    await writer.drain()


def frame_message(data: bytes) -> bytes:
    """Return a frame: the length of the data, then the data."""
    return len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data


async def read_frame(reader: asyncio.StreamReader, max_bytes: int, header: bytes = b"") -> bytes:
    """Read one frame, whose header may have been read before. Raises ValueError if it is too large."""
    size = int.from_bytes(header or await reader.readexactly(FRAME_HEADER_BYTES), "big")
    if size > max_bytes:
        raise ValueError("too large")
    return await reader.readexactly(size)


def wall_clock_us() -> int:
    """Return the time of the wall clock in microseconds."""
    return wall_clock.now_ns() // 1000
