"""Records a running sidecar: a ring in memory, written out by SIGUSR2 and when the decisions have failed."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import BinaryIO

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Recorder as Told
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.recorder.record_framing import Named, pack
from sidecar_proxy.recorder.recording import Head, balancer_digest, begin, framed, write_recording
from sidecar_proxy.recorder.ring_buffer import RingBuffer

log = logging.getLogger("sidecar_proxy")

FAULT_GAP_S = 60.0  # between two recordings that faults have caused


def append(file: BinaryIO, data: bytes) -> None:
    """Raises OSError."""
    file.write(data)
    file.flush()


class Recorder:
    """The engine's observer. Hazard: it is on the way of every request; a fault here ends the recording,
    never a request."""

    def __init__(self, told: Told, engine: Engine, name: str, seed: int) -> None:
        """Raises OperatorError."""
        self.folder = told.folder or tempfile.gettempdir()
        if not os.access(self.folder, os.W_OK | os.X_OK):
            raise OperatorError(f"recorder.folder: {self.folder}: can't be written to")
        self.told = told
        self.engine = engine
        self.name = "".join(one if one.isalnum() else "-" for one in name)[:40]
        self.seed = seed
        self.digest = balancer_digest()
        self.ring = RingBuffer(told.megabytes * 1024 * 1024)
        self.next_fault = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        engine.recorder = self
        engine.loop.add_signal_handler(signal.SIGUSR2, self.write_out, "SIGUSR2")
        self.spooled = ""  # the file that all goes to
        if told.spool_s:
            self.aside(self.spool())

    def keep(self, now_us: int, event: object, actions: list[api.Action], fault: str = "") -> None:
        try:
            self.ring.add(pack(now_us, event, actions, fault))
        except Exception:
            self.engine.recorder = None
            log.exception("recorder: no more is recorded")

    def event_handled(self, now_us: int, event: api.Event, actions: list[api.Action]) -> None:
        self.keep(now_us, event, actions)

    def request_named(self, request: int, ident: bytes) -> None:
        self.keep(self.engine.clock.now_us(), Named(request, ident.decode("ascii", "replace")), [])

    def balancer_failed(self, now_us: int, event: api.Event, error: Exception) -> None:
        self.keep(now_us, event, [], f"{type(error).__name__}: {error}")
        now = self.engine.loop.time()
        if now >= self.next_fault:
            self.next_fault = now + FAULT_GAP_S
            self.write_out("a fault of the decisions")

    def write_out(self, why: str) -> None:
        """Beside the loop: some megabytes take the disk a while."""
        if self.spooled:
            log.info("recorder: %s has all so far (%s)", self.spooled, why)
            return
        if len(self.tasks) >= 2:
            log.warning("recorder: two recordings are being written; this one is not")
            return
        segments, head = self.ring.get_segments(), self.head(self.ring.is_complete, why)
        self.aside(self.save(head, segments, self.ring.frame_count))

    def aside(self, work: Coroutine[None, None, None]) -> None:
        task = self.engine.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def head(self, whole: bool, why: str) -> Head:
        engine = self.engine
        return Head(self.name, self.digest, self.seed, engine.started_us, engine.settings, whole, why)

    def path(self) -> str:
        return os.path.join(self.folder, f"wickspread-{self.name}-{time.time_ns() // 1_000_000}.rec")

    async def spool(self) -> None:
        """All of it as it comes, beside the loop, into one file. It is cut off where the sidecar has ended or
        was killed, and good up to there."""
        path, size, loop = self.path(), 0, self.engine.loop
        self.spooled = path
        try:
            with await loop.run_in_executor(None, begin, path, self.head(True, "a spool")) as file:
                await loop.run_in_executor(None, self.tidy)
                while size < self.told.spool_megabytes << 20 and self.ring.is_complete:
                    await asyncio.sleep(self.told.spool_s)
                    data = b"".join(framed(one) for one in self.ring.take_segments())
                    size += len(data)
                    await loop.run_in_executor(None, append, file, data)
                await loop.run_in_executor(None, append, file, framed(b""))
            why = "it is full" if self.ring.is_complete else "too much came at once"
            log.info("recorder: %s ends: %s", path, why)
        except OSError as error:
            log.warning("recorder: %s: %s", path, error.strerror or error)
        finally:
            self.spooled, self.ring.is_complete = "", False  # what comes from now on is in the ring alone

    async def save(self, head: Head, segments: list[bytes], frames: int) -> None:
        path = self.path()
        try:
            await self.engine.loop.run_in_executor(None, write_recording, path, head, segments)
            await self.engine.loop.run_in_executor(None, self.tidy)
        except OSError as error:
            log.warning("recorder: %s: %s", path, error.strerror or error)
            return
        log.info(
            "recorder: %s: %d frames, %s (%s)",
            path,
            frames,
            "from the start" if head.whole else "the last of them",
            head.why,
        )

    def tidy(self) -> None:
        """Only the last few recordings of this sidecar are kept."""
        found = sorted(Path(self.folder).glob(f"wickspread-{self.name}-*.rec"))
        for path in found[: -self.told.files]:
            if str(path) != self.spooled:
                path.unlink(missing_ok=True)

    def close(self) -> None:
        self.engine.recorder = None
        self.engine.loop.remove_signal_handler(signal.SIGUSR2)
