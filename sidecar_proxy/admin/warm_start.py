"""Leaves what this process has learnt to its successor, and takes over what the one before has left."""

from __future__ import annotations

import asyncio
import logging

from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine

log = logging.getLogger("sidecar_proxy")

LEAVE_S = 0.4  # between two of this process's, while a successor is there
FRESH_S = 1.0  # what a process that still serves has left is no older
WAIT_S = 0.6  # for the other process to see us, and to leave it
LOOK_S = 0.02


class WarmStart:
    def __init__(self, engine: Engine, directory: EndpointDirectory, handover: HotRestart) -> None:
        self.engine = engine
        self.directory = directory
        self.handover = handover
        self.next_at = 0.0
        self.classes = [one.name for one in engine.settings.classes]

    def started_us(self) -> dict[int, int]:
        return {
            ident: host.entry.started_us
            for ident, host in self.engine.listed_upstreams().items()
            if host.entry.state is not api.UpstreamState.GONE
        }

    def leave(self) -> None:
        """A successor is there: leave what is known now, from time to time till it serves."""
        now = self.engine.loop.time()
        if now < self.next_at:
            return
        self.next_at = now + LEAVE_S
        # hazard: the library takes memory, so it is imported at an upgrade alone
        from sidecar_proxy.admin.warm_start_codec import encode

        self.handover.leave(
            encode(
                self.engine.balancer.learnt(),
                self.engine.clock.now_us(),
                self.classes,
                self.directory.names,
                self.started_us(),
            )
        )

    async def take_over(self) -> None:
        """Tell the decisions what the process that serves now has learnt, if it leaves it soon."""
        from sidecar_proxy.admin.warm_start_codec import MOST_BYTES, UntrustedStateError, believe, decode

        end = self.engine.loop.time() + WAIT_S
        found = self.handover.left(MOST_BYTES)
        while self.engine.loop.time() < end and (
            found is None or self.engine.clock.now_us() / 1e6 - found[1] > FRESH_S
        ):
            await asyncio.sleep(LOOK_S)
            found = self.handover.left(MOST_BYTES)
        if found is None:
            return  # it is of an older version, or can't write
        try:
            learnt = believe(
                decode(found[0]),
                self.engine.clock.now_us(),
                self.classes,
                self.directory.numbers,
                self.started_us(),
            )
        except UntrustedStateError as error:
            log.warning("what the process before has left is not used: %s", error)
            return
        self.engine.dispatch(learnt)
        log.info("takes over what was learnt of %d upstreams", len(learnt.upstreams))
