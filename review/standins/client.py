"""A stand-in for the application beside one sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

from standins.http import Message, read_message
from standins.record import Record
from standins.settings import BUY, TOPUP

DEADLINE_S = {BUY: 1.2, TOPUP: 4.0}
ANSWER_SLACK_S = 0.5 + 0.05  # up to half a second after its time an answer only earns nothing


@dataclass
class Answered:
    """A request and what became of it."""

    ident: str
    request_class: str
    status: int  # 0 = the connection ended without a whole answer, or none came in time
    body: bytes


class Application:
    """Sends requests at a mean rate, one at a time on each connection; connections are kept."""

    def __init__(self, record: Record, address: tuple[str, int], rate_per_s: float, seed: int) -> None:
        self.record = record
        self.address = address
        self.rate_per_s = rate_per_s
        self.dice = random.Random(seed)
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: list[Answered] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_stopped = False
        self.sent = 0
        self.pacer: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send."""
        self.pacer = asyncio.create_task(self.pace())

    async def pace(self) -> None:
        """Send requests at random times."""
        while not self.is_stopped:
            await asyncio.sleep(self.dice.expovariate(self.rate_per_s))
            request_class = BUY if self.dice.random() < 0.69 else TOPUP
            task = asyncio.create_task(self.request(request_class))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def request(self, request_class: str) -> None:
        """Send one request and record its answer."""
        self.sent += 1
        ident = f"{self.dice.getrandbits(64):016x}"
        body = ident.encode()
        key = f"Idempotency-Key: {self.dice.getrandbits(128):032x}\r\n" if request_class == TOPUP else ""
        head = (
            f"POST /{request_class}/{self.dice.getrandbits(40):010x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"Req-Id: {ident}\r\nReq-Deadline: {DEADLINE_S[request_class]:.3f}\r\n{key}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        self.record.write("client", f"sends {request_class} {ident}")
        answer: Message | None = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S[request_class] + ANSWER_SLACK_S):
                answer = await self.exchange(head + body)
        status, data = (answer.status, answer.body) if answer is not None else (0, b"")
        self.answers.append(Answered(ident, request_class, status, data))
        self.record.write("client", f"{ident} is answered {status} {data.decode('latin-1')}")

    async def exchange(self, data: bytes) -> Message | None:
        """Send a request on a kept connection or a new one, and return the answer.

        A kept connection that the sidecar has closed between two requests is no answer: the request goes out
        once more on a new one.
        """
        is_new = not self.idle
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(*self.address)
        answer: Message | None = None
        try:
            writer.write(data)
            answer = await read_message(reader)
        except ConnectionError:
            if is_new:
                raise
        finally:
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        if answer is None and not is_new:
            self.idle.clear()
            return await self.exchange(data)
        return answer

    async def stop(self) -> None:
        """Send no more, wait for the answers and close the connections."""
        self.is_stopped = True
        if self.pacer is not None:
            self.pacer.cancel()
        if self.tasks:
            await asyncio.wait(list(self.tasks))
        for _, writer in self.idle:
            writer.close()
