"""Writes a replica's state to its folder on a separate thread, and retries writes that fail."""

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
    """Writes one state at a time on its thread; after an OSError it retries every WRITE_RETRY_S seconds."""

    def __init__(
        self,
        store: LogStore,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[], None],
        on_fault: Callable[[], None],
    ) -> None:
        self.store = store
        self.loop = loop
        self.on_persisted = on_persisted  # callback on the event loop after each successful write
        self.on_fault = on_fault  # callback on the event loop after an exception other than OSError
        self.executor = ThreadPoolExecutor(1, "consensus")
        self.is_failing = False  # whether the last write failed
        self.retry_timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    def write(self, state: PersistState) -> None:
        """Starts writing and syncing the state; `on_persisted` is called once that has succeeded."""
        if self.is_closed:
            return
        future = self.executor.submit(
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
                log.info("agreement: writing to the state folder succeeds again")
            self.on_persisted()
        elif isinstance(error, OSError):
            if not self.is_failing:
                self.is_failing = True
                log.error(
                    "agreement: writing to the state folder failed: %s;"
                    " retrying, and acknowledging nothing until it succeeds",
                    error,
                )
            self.retry_timer = self.loop.call_later(WRITE_RETRY_S, self.write, state)
        else:
            log.error("agreement: consensus is stopped on this sidecar after an error", exc_info=error)
            self.on_fault()

    def close(self) -> None:
        """Accepts no more writes, and closes the store after the current one."""
        self.is_closed = True
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.executor.submit(self.store.close)
        self.executor.shutdown(wait=False)
