"""The admin server: a line protocol for operators, with one command and one answer per connection.

An answer begins with `done` or `error`; the answer to METRICS is the metrics and a last line `end`. Most
commands answer immediately. A command that needs consensus of the fleet answers within TIMEOUT_S. The server
only reads and writes lines; the commands are implemented by `AdminCommands` and by the subsystems.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

from sidecar_proxy.engine.address import Address

log = logging.getLogger("sidecar_proxy")

MAX_LINE_BYTES = 1024
MAX_CONNECTIONS = 24  # the oldest connection is closed if there are more
TIMEOUT_S = 5.0  # maximum time for a client to send its command, and for a command to answer
MAX_LOGGED_COMMAND_LENGTH = 20  # maximum number of characters of a command that are logged

# Takes the argument of a command line and returns the answer. Raises AdminCommandError.
AdminCommand = Callable[[str], str | Awaitable[str]]


class AdminCommandError(Exception):
    """A command cannot be carried out; the message, one line, is sent in the answer."""


class AdminServer:
    """The listener of the admin server. It owns the connections of its clients."""

    def __init__(self, commands: Mapping[str, AdminCommand]) -> None:
        self.commands = dict(commands)  # subsystems add their own commands
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.server: asyncio.Server | None = None

    async def open(self, address: Address) -> Address:
        """Listen on an address and return the bound address. Raises OSError if it cannot be bound."""
        loop = asyncio.get_running_loop()
        host = address[0].strip("[]")
        self.server = await loop.create_server(lambda: AdminConnection(self), host, address[1])
        bound: Address = self.server.sockets[0].getsockname()[:2]
        return bound

    def add_connection(self, connection: AdminConnection) -> None:
        """Register a connection, and close the oldest one if there are more than MAX_CONNECTIONS."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            next(iter(self.connections)).abort()

    def execute(self, line: bytes) -> bytes | Awaitable[bytes]:
        """Execute a command line and return its answer. Neither the call nor the awaitable raises."""
        name, _, argument = line.decode("utf-8", "replace").strip().partition(" ")
        command = self.commands.get(name.upper())
        if command is None:
            return b"error: expected one of %s\n" % ", ".join(self.commands).encode()
        try:
            answer = command(argument.strip())
        except Exception as error:  # a fault in one command must not end the sidecar
            return encode_error(name, error)
        if isinstance(answer, str):
            return answer.encode() + b"\n"
        return self.await_answer(name, answer)

    async def await_answer(self, name: str, answer: Awaitable[str]) -> bytes:
        """Return the answer of an asynchronous command, or an error after TIMEOUT_S."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return (await answer).encode() + b"\n"
        except TimeoutError:
            return b"error: no answer in %d s\n" % TIMEOUT_S
        except Exception as error:  # a fault in one command must not leave the client without an answer
            return encode_error(name, error)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()


def encode_error(name: str, error: Exception) -> bytes:
    """Return the answer for a command that raised an exception; an unexpected one is logged."""
    if isinstance(error, AdminCommandError):
        return b"error: %s\n" % str(error).encode()
    log.error("admin command %s failed", name[:MAX_LOGGED_COMMAND_LENGTH], exc_info=error)
    return b"error: a fault of the sidecar's; its log has it\n"


class AdminConnection(asyncio.Protocol):
    """A client's connection: one command, one answer. It owns the task of an asynchronous command."""

    def __init__(self, admin_server: AdminServer) -> None:
        self.admin_server = admin_server
        self.received = b""
        self.has_command = False  # a complete command line, or one that is too long, was received
        self.transport: asyncio.Transport | None = None
        self.command_timeout: asyncio.TimerHandle | None = None
        self.answer_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server and start the timeout."""
        # uvloop's transport has all methods of asyncio.Transport but does not derive from it
        self.transport = cast(asyncio.Transport, transport)
        self.command_timeout = asyncio.get_running_loop().call_later(TIMEOUT_S, self.abort)
        self.admin_server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Execute the command once its line is complete."""
        if self.has_command or self.transport is None:
            return
        self.received += data[: MAX_LINE_BYTES + 1]
        line, line_break, _ = self.received.partition(b"\n")
        if line_break and len(line) <= MAX_LINE_BYTES:
            self.respond(self.admin_server.execute(line))
        elif len(self.received) > MAX_LINE_BYTES:
            self.send(b"error: a line too long\n")

    def eof_received(self) -> bool:
        """Treat the end of input as a line break; return True to keep the connection open for the answer."""
        if not self.has_command and self.received:
            self.respond(self.admin_server.execute(self.received))
        return self.answer_task is not None and not self.answer_task.done()

    def respond(self, answer: bytes | Awaitable[bytes]) -> None:
        """Send the answer, immediately or once the command has ended."""
        if isinstance(answer, bytes):
            self.send(answer)
            return
        self.has_command = True
        if self.command_timeout is not None:
            self.command_timeout.cancel()
        self.answer_task = asyncio.get_running_loop().create_task(self.send_when_done(answer))

    async def send_when_done(self, answer: Awaitable[bytes]) -> None:
        """Await the answer of an asynchronous command, and send it."""
        self.send(await answer)

    def send(self, answer: bytes) -> None:
        """Send the answer and close the connection."""
        assert self.transport is not None
        self.has_command = True
        self.transport.write(answer)
        self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.admin_server.connections.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the timeout and a pending answer."""
        self.admin_server.connections.pop(self, None)
        if self.command_timeout is not None:
            self.command_timeout.cancel()
        if self.answer_task is not None:
            self.answer_task.cancel()
