"""Records a running sidecar in memory, and writes recordings on SIGUSR2 and after exceptions of the balancer.

With `spool_s`, all frames are also written continuously to a spool file.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import tempfile
import time
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import BinaryIO

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Recorder as RecorderSettings
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.signal_polling import SignalPoller
from sidecar_proxy.recorder.record_framing import Named, pack
from sidecar_proxy.recorder.recording import Head, balancer_digest, create_file, encode_part, write_recording
from sidecar_proxy.recorder.ring_buffer import RingBuffer

log = logging.getLogger("sidecar_proxy")

MIN_FAULT_INTERVAL_S = 60.0  # minimum time between two recordings that exceptions of the balancer cause


def append_to_file(file: BinaryIO, data: bytes) -> None:
    """Append data and flush it to the system. Raises OSError."""
    file.write(data)
    file.flush()


class Recorder:
    """Records the events and actions that the engine passes to it.

    It is called for every request, so an exception here stops the recorder and never fails the request.
    """

    def __init__(
        self, settings: RecorderSettings, engine: Engine, name: str, seed: int, signals: SignalPoller
    ) -> None:
        """Attach the recorder to the engine, and start the spool. Raises OperatorError."""
        self.folder = settings.folder or tempfile.gettempdir()
        if not os.access(self.folder, os.W_OK | os.X_OK):
            raise OperatorError(f"recorder.folder: {self.folder}: can't be written to")
        self.settings = settings
        self.engine = engine
        self.name = "".join(char if char.isalnum() else "-" for char in name)[:40]
        self.seed = seed
        self.digest = balancer_digest()
        self.ring = RingBuffer(settings.megabytes * 1024 * 1024)
        self.next_fault_recording_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        engine.recorder = self
        signals.handle(signal.SIGUSR2, partial(self.write_out, "SIGUSR2"))
        self.spool_path = ""  # file that all frames are written to; "" = none
        if settings.spool_s:
            self.run_in_background(self.spool())

    def add_frame(self, now_us: int, event: object, actions: list[api.Action], fault: str = "") -> None:
        """Add a step to the buffer; stop the recorder if that fails."""
        try:
            self.ring.add(pack(now_us, event, actions, fault))
        except Exception:
            self.engine.recorder = None
            log.exception("recorder: stopped, a step could not be recorded")

    def event_handled(self, now_us: int, event: api.Event, actions: list[api.Action]) -> None:
        """Record an event and the actions that resulted from it."""
        self.add_frame(now_us, event, actions)

    def request_named(self, request: int, ident: bytes) -> None:
        """Record the Req-Id of a request's number."""
        self.add_frame(self.engine.clock.now_us(), Named(request, ident.decode("ascii", "replace")), [])

    def balancer_failed(self, now_us: int, event: api.Event, error: Exception) -> None:
        """Record an exception of the balancer, and write a recording if the last one is old enough."""
        self.add_frame(now_us, event, [], f"{type(error).__name__}: {error}")
        now = self.engine.loop.time()
        if now >= self.next_fault_recording_s:
            self.next_fault_recording_s = now + MIN_FAULT_INTERVAL_S
            self.write_out("a fault of the decisions")

    def write_out(self, why: str) -> None:
        """Write the buffer to a file in a thread, as writing some megabytes would block the event loop."""
        if self.spool_path:
            log.info(
                "recorder: no recording is written, as the spool file %s contains all frames so far (%s)",
                self.spool_path,
                why,
            )
            return
        if len(self.tasks) >= 2:
            log.warning("recorder: a recording is skipped, as two others are being written")
            return
        segments, head = self.ring.get_segments(), self.make_head(self.ring.is_complete, why)
        self.run_in_background(self.save(head, segments, self.ring.frame_count))

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Start a task, and keep a reference to it until it is done."""
        task = self.engine.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def make_head(self, whole: bool, why: str) -> Head:
        """Return the head of a recording that is written now."""
        engine = self.engine
        return Head(self.name, self.digest, self.seed, engine.started_us, engine.settings, whole, why)

    def new_path(self) -> str:
        """Return the path of a recording that is written now."""
        return os.path.join(self.folder, f"wickspread-{self.name}-{time.time_ns() // 1_000_000}.rec")

    async def spool(self) -> None:
        """Write all frames continuously to one file, in a thread.

        When the sidecar exits or is killed, the file is truncated; its complete parts are valid.
        """
        path, size, loop = self.new_path(), 0, self.engine.loop
        self.spool_path = path
        try:
            with await loop.run_in_executor(None, create_file, path, self.make_head(True, "a spool")) as file:
                await loop.run_in_executor(None, self.delete_old_recordings)
                while size < self.settings.spool_megabytes << 20 and self.ring.is_complete:
                    await asyncio.sleep(self.settings.spool_s)
                    data = b"".join(encode_part(segment) for segment in self.ring.take_segments())
                    size += len(data)
                    await loop.run_in_executor(None, append_to_file, file, data)
                await loop.run_in_executor(None, append_to_file, file, encode_part(b""))
            reason = (
                "the file is full"
                if self.ring.is_complete
                else "frames arrived faster than they were written"
            )
            log.info("recorder: spool file %s ended: %s", path, reason)
        except OSError as error:
            log.warning("recorder: %s: %s", path, error.strerror or error)
        finally:
            self.spool_path, self.ring.is_complete = "", False  # later frames are only in the ring buffer

    async def save(self, head: Head, segments: list[bytes], frame_count: int) -> None:
        """Write a recording, delete the oldest ones, and log the result."""
        path = self.new_path()
        try:
            await self.engine.loop.run_in_executor(None, write_recording, path, head, segments)
            await self.engine.loop.run_in_executor(None, self.delete_old_recordings)
        except OSError as error:
            log.warning("recorder: %s: %s", path, error.strerror or error)
            return
        log.info(
            "recorder: %s: %d frames, %s (%s)",
            path,
            frame_count,
            "from the start" if head.whole else "only the last of them",
            head.why,
        )

    def delete_old_recordings(self) -> None:
        """Delete all but the last `files` recordings of this sidecar, except for the current spool file."""
        paths = sorted(Path(self.folder).glob(f"wickspread-{self.name}-*.rec"))
        for path in paths[: -self.settings.files]:
            if str(path) != self.spool_path:
                path.unlink(missing_ok=True)

    def close(self) -> None:
        """Detach the recorder from the engine."""
        self.engine.recorder = None
