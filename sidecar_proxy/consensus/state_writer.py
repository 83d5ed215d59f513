"""Writes a replica's state to its folder on a thread of its own, and repeats writes that fail."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sidecar_proxy.consensus.outputs import PersistState
from sidecar_proxy.consensus.storage import LogStore

log = logging.getLogger("sidecar_proxy")

WRITE_RETRY_S = 0.5


class StateWriter:
    """The thread that writes, and the state of the last write."""

    def __init__(
        self,
        store: LogStore,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[], None],
        on_fault: Callable[[], None],
    ) -> None:
        self.store = store
        self.loop = loop
        self.on_persisted = on_persisted  # called on the loop after each write that succeeds
        self.on_fault = on_fault  # called on the loop after an unexpected exception
        self.thread = ThreadPoolExecutor(1, "consensus")
        self.is_failing = False  # the last write has failed
        self.retry_timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    def write(self, state: PersistState) -> None:
        """Starts to write and sync the state."""
        if self.is_closed:
            return
        future = self.thread.submit(
            self.store.save,
            state.hard_state,
            state.commit_index,
            state.snapshot,
            state.entries,
            state.current_hard_state,
        )
        future.add_done_callback(
            lambda _: self.loop.call_soon_threadsafe(self._on_written, state, future.exception())
        )

    def _on_written(self, state: PersistState, error: BaseException | None) -> None:
        if self.is_closed:
            return
        if error is None:
            if self.is_failing:
                self.is_failing = False
                log.info("agreement: its folder can be written again")
            self.on_persisted()
        elif isinstance(error, OSError):
            if not self.is_failing:
                self.is_failing = True
                log.error("agreement: %s; nothing is acknowledged until it can be written", error)
            self.retry_timer = self.loop.call_later(WRITE_RETRY_S, self.write, state)
        else:
            log.error("agreement: this sidecar takes no part any more", exc_info=error)
            self.on_fault()

    def close(self) -> None:
        """Stops writing and closes the store once the current write has ended."""
        self.is_closed = True
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.thread.submit(self.store.close)
        self.thread.shutdown(wait=False)
