"""Passes the warm-start state of this process to its successor, and takes it over from its predecessor.

The warm-start state is what a process has measured of its upstreams, such as their concurrency limits.
"""

from __future__ import annotations

import asyncio
import logging

from sidecar_proxy.admin.warm_start_file import StoredState, WarmStartFile
from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine

log = logging.getLogger("sidecar_proxy")

PUBLISH_INTERVAL_S = 0.4  # minimum interval between two writes of the state while there is a successor
MAX_FRESH_AGE_S = 1.0  # a state of a greater age was written by a process that no longer serves
MAX_WAIT_S = 0.6  # maximum wait for the serving process to detect its successor and to write its state
POLL_INTERVAL_S = 0.02  # interval for polling the file while waiting


class WarmStart:
    """Transfers warm-start state between two processes of one sidecar: the sending and the receiving side."""

    def __init__(self, engine: Engine, directory: EndpointDirectory, file: WarmStartFile) -> None:
        self.engine = engine
        self.directory = directory
        self.file = file
        self.next_publish_at_s = 0.0  # loop time before which nothing is published
        self.class_names = [request_class.name for request_class in engine.settings.classes]

    def started_us_by_upstream(self) -> dict[int, int]:
        """Return the start time (Unix us) of each listed upstream, by upstream number."""
        return {
            number: upstream.entry.started_us
            for number, upstream in self.engine.listed_upstreams().items()
            if upstream.entry.state is not api.UpstreamState.GONE
        }

    def publish(self) -> None:
        """Write the state for the successor, at most once per PUBLISH_INTERVAL_S."""
        now_s = self.engine.loop.time()
        if now_s < self.next_publish_at_s:
            return
        self.next_publish_at_s = now_s + PUBLISH_INTERVAL_S
        # The codec's library takes memory, so it is imported only at a hot restart.
        from sidecar_proxy.admin.warm_start_codec import encode

        self.file.write(
            encode(
                self.engine.balancer.export_warm_start_state(),
                self.engine.clock.now_us(),
                self.class_names,
                self.directory.names,
                self.started_us_by_upstream(),
            )
        )

    async def take_over(self) -> None:
        """Pass the state of the serving process to the balancer, if it is written within MAX_WAIT_S."""
        from sidecar_proxy.admin.warm_start_codec import (
            MAX_STATE_BYTES,
            UntrustedStateError,
            decode,
            restore,
        )

        stored = await self.wait_for_fresh_state(MAX_STATE_BYTES)
        if stored is None:
            return  # the serving process has an older version, or cannot write its state
        try:
            state = restore(
                decode(stored.data),
                self.engine.clock.now_us(),
                self.class_names,
                self.directory.numbers,
                self.started_us_by_upstream(),
            )
        except UntrustedStateError as error:
            log.warning("warm-start state of the previous process is not used: %s", error)
            return
        self.engine.dispatch(state)
        log.info("took over the warm-start state of %d upstreams", len(state.upstreams))

    async def wait_for_fresh_state(self, max_bytes: int) -> StoredState | None:
        """Return the stored state once it is fresh, or whatever is stored after MAX_WAIT_S."""
        deadline_s = self.engine.loop.time() + MAX_WAIT_S
        stored = self.file.read(max_bytes)
        while self.engine.loop.time() < deadline_s and not self.is_fresh(stored):
            await asyncio.sleep(POLL_INTERVAL_S)
            stored = self.file.read(max_bytes)
        return stored

    def is_fresh(self, stored: StoredState | None) -> bool:
        """Return whether the state was written so recently that its process still serves."""
        if stored is None:
            return False
        return self.engine.clock.now_us() / 1e6 - stored.written_at_s <= MAX_FRESH_AGE_S
