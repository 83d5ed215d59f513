"""The door for operators: one line a connection, one answer, at once, or, for a call that the fleet has to
agree to, within some seconds. A thin shell; the calls are `Hand`'s and those of subsystems.

A call's answer begins with `done` or `error`; METRICS tells the figures and then a line `end`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

from sidecar_proxy.engine.address import Address

log = logging.getLogger("sidecar_proxy")

MOST_LINE = 1024  # bytes
MOST_CALLERS = 24  # together; the one that has been silent for longest makes room
PATIENCE_S = 5.0  # some callers say nothing, or half a call, and stay
AdminCommand = Callable[
    [str], str | Awaitable[str]
]  # the line's argument to the answer, without its line break


class AdminCommandError(Exception):
    """The call can't be done; one line."""


class AdminServer:
    """The listener and those who call."""

    def __init__(self, calls: Mapping[str, AdminCommand]) -> None:
        self.calls = dict(calls)  # subsystems add theirs
        self.callers: dict[Caller, None] = {}  # the one that came first comes first
        self.server: asyncio.Server | None = None

    async def open(self, address: Address) -> Address:
        """Raises OSError where the address can't be listened on."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), address[0].strip("[]"), address[1])
        bound: Address = self.server.sockets[0].getsockname()[:2]
        return bound

    def enter(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            next(iter(self.callers)).end()

    def answer(self, line: bytes) -> bytes | Awaitable[bytes]:
        """What a whole line is answered with; never raises, nor does what is awaited."""
        word, _, argument = line.decode("utf-8", "replace").strip().partition(" ")
        call = self.calls.get(word.upper())
        if call is None:
            return b"error: expected one of %s\n" % ", ".join(self.calls).encode()
        try:
            told = call(argument.strip())
        except Exception as error:
            return failed(word, error)
        return told.encode() + b"\n" if isinstance(told, str) else self.later(word, told)

    async def later(self, word: str, told: Awaitable[str]) -> bytes:
        try:
            async with asyncio.timeout(PATIENCE_S):
                return (await told).encode() + b"\n"
        except TimeoutError:
            return b"error: no answer in %d s\n" % PATIENCE_S
        except Exception as error:
            return failed(word, error)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.end()


def failed(word: str, error: Exception) -> bytes:
    """Hazard: a fault in one call must not cost the sidecar, nor leave the caller without an answer."""
    if isinstance(error, AdminCommandError):
        return b"error: %s\n" % str(error).encode()
    log.error("the call %s failed", word[:20], exc_info=error)
    return b"error: a fault of the sidecar's; its log has it\n"


class Caller(asyncio.Protocol):
    """One connection, one line."""

    def __init__(self, door: AdminServer) -> None:
        self.door = door
        self.text = b""
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.patience: asyncio.TimerHandle | None = None
        self.waiting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is one in all but its bases
        self.patience = asyncio.get_running_loop().call_later(PATIENCE_S, self.end)
        self.door.enter(self)

    def data_received(self, data: bytes) -> None:
        if self.answered or self.transport is None:
            return
        self.text += data[: MOST_LINE + 1]
        line, found, _ = self.text.partition(b"\n")
        if found and len(line) <= MOST_LINE:
            self.give(self.door.answer(line))
        elif len(self.text) > MOST_LINE:
            self.say(b"error: a line too long\n")

    def eof_received(self) -> bool:
        """A caller may end its side in place of a line break."""
        if not self.answered and self.text:
            self.give(self.door.answer(self.text))
        # a caller that has ended its side still waits for an answer that takes a while
        return self.waiting is not None and not self.waiting.done()

    def give(self, answer: bytes | Awaitable[bytes]) -> None:
        if isinstance(answer, bytes):
            self.say(answer)
            return
        self.answered = True
        if self.patience is not None:
            self.patience.cancel()
        self.waiting = asyncio.get_running_loop().create_task(self.wait(answer))

    async def wait(self, answer: Awaitable[bytes]) -> None:
        self.say(await answer)

    def say(self, answer: bytes) -> None:
        assert self.transport is not None
        self.answered = True
        self.transport.write(answer)
        self.transport.close()

    def end(self) -> None:
        self.door.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.door.callers.pop(self, None)
        if self.patience is not None:
            self.patience.cancel()
        if self.waiting is not None:
            self.waiting.cancel()
