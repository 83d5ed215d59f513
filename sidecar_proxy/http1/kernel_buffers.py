"""What the kernel knows of a connection: how much data is in its buffers, and when the last data came."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from dataclasses import dataclass

UNKNOWN = -1
MIN_READ_BYTES = 2048  # less is what the kernels exchange although the client does not read
READ_STALL_TIMEOUT_S = 10.0  # a client that reads nothing of its responses for this long is disconnected
# The same where the kernel does not tell how much is unread. Its buffers take more only in large pieces.
UNMEASURED_STALL_TIMEOUT_S = 60.0
# Place of tcpi_last_data_recv, in milliseconds, in Linux's struct tcp_info
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4
MIN_INPUT_AGE_US = 20_000  # less is not told from the resolution of the kernel's clock
DEFAULT_MAX_SEND_BYTES = 4 * 1024 * 1024  # Linux's usual limit of a send buffer
SEND_LIMITS_FILE = "/proc/sys/net/ipv4/tcp_wmem"  # smallest, usual and largest size of a send buffer


def read_max_send_bytes() -> int:
    """Return how much the kernel of a client takes that is not received yet."""
    try:
        with open(SEND_LIMITS_FILE, "rb") as file:
            return int(file.read().split()[2])
    except (OSError, ValueError, IndexError):
        return DEFAULT_MAX_SEND_BYTES


MAX_KERNEL_SEND_BYTES = read_max_send_bytes()


def query(transport: asyncio.BaseTransport | None, request: int) -> int:
    """Return the answer to a request of ioctl(2) for a number; UNKNOWN if there is none.

    A transport that is closing has its descriptor until its output is written.
    """
    if transport is None:
        return UNKNOWN
    answer = bytearray(4)
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, answer)
    except (OSError, ValueError):  # ValueError: the socket is closed
        return UNKNOWN
    return int.from_bytes(answer, sys.byteorder)


def kernel_output_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes were written that the peer has not acknowledged, or UNKNOWN."""
    return query(transport, termios.TIOCOUTQ)


@dataclass(frozen=True, slots=True)
class UnreadOutput:
    """How much a client has not read of its responses: in the kernel or, if unknown, in the transport."""

    size: int
    is_measured: bool

    @property
    def stall_timeout_s(self) -> float:
        """How long it may stay the same before the client counts as one that has stopped reading."""
        return READ_STALL_TIMEOUT_S if self.is_measured else UNMEASURED_STALL_TIMEOUT_S

    def has_changed(self, earlier: UnreadOutput) -> bool:
        """Return whether the client has read since an earlier measurement."""
        if self.is_measured != earlier.is_measured:
            return True
        return abs(self.size - earlier.size) >= (MIN_READ_BYTES if self.is_measured else 1)


def measure_unread_output(transport: asyncio.Transport | None) -> UnreadOutput:
    """Return how much output of a transport its peer has not read."""
    if transport is None:
        return UnreadOutput(0, True)
    kernel_bytes = kernel_output_bytes(transport)
    if kernel_bytes == UNKNOWN:
        return UnreadOutput(transport.get_write_buffer_size(), False)
    return UnreadOutput(kernel_bytes, True)


def kernel_input_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes were received that are not read yet, or UNKNOWN."""
    return query(transport, termios.FIONREAD)


def kernel_input_age_us(connection: socket.socket) -> int:
    """Return how long ago the last data arrived; 0 if that is only a moment or unknown.

    Data waits in the kernel while its connection waits to be accepted or the event loop is held up.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < TCP_INFO_BYTES:
        return 0
    age_us = 1000 * int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:], sys.byteorder)
    return age_us if age_us >= MIN_INPUT_AGE_US else 0
