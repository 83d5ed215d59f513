"""What operators' calls do: suspend and restore an upstream, drain the sidecar, tell state and figures."""

from __future__ import annotations

import logging
from typing import Protocol

from sidecar_proxy.admin.endpoint_overrides import ALWAYS, EndpointOverrides
from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.server import AdminCommand, AdminCommandError
from sidecar_proxy.admin.suspensions import Suspensions, UnknownEndpointError
from sidecar_proxy.admin.warm_start import WarmStart
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine

log = logging.getLogger("sidecar_proxy")

LOOK_S = 0.1  # at what another process of this sidecar has written


class Drained(Protocol):
    """The application's side."""

    def drain(self) -> None: ...

    def undrain(self) -> None: ...

    def shrink(self, half: bool) -> None: ...


class AdminCommands:
    """By hand: the calls and the state behind them."""

    def __init__(
        self,
        engine: Engine,
        directory: EndpointDirectory,
        server: Drained,
        handover: HotRestart,
        holding: EndpointOverrides,
    ) -> None:
        self.engine = engine
        self.holding = holding
        self.server = server
        self.handover = handover
        self.suspended = Suspensions()
        self.serving = False  # clients are taken
        holding.listed.append(self.suspended.listed)
        self.apply(handover.read() or set())
        self.memory = WarmStart(engine, directory, handover)
        self.timer = engine.loop.call_later(LOOK_S, self.look)
        self.share()

    def calls(self) -> dict[str, AdminCommand]:
        return {
            "STATUS": self.status,
            "METRICS": self.metrics,
            "SUSPEND": self.suspend,
            "RESTORE": self.restore,
            "PAUSE": self.pause,
            "RESUME": self.resume,
        }

    # The calls

    def status(self, _: str) -> str:
        if not self.serving:
            raise AdminCommandError("clients are not taken yet")
        return "done"

    def metrics(self, _: str) -> str:
        return "\n".join([*self.engine.metrics.lines(*self.engine.member_counts()), "end"])

    def suspend(self, name: str) -> str:
        return self.hand(name, True)

    def restore(self, name: str) -> str:
        return self.hand(name, False)

    def hand(self, name: str, out: bool) -> str:
        """Hold an upstream out, or no more."""
        try:
            self.suspended.check(name)
        except UnknownEndpointError as error:
            raise AdminCommandError(str(error)) from error
        # hazard: kept before it is in force; a successor that starts now must not miss it
        kept = self.handover.put(name) if out else self.handover.take(name)
        self.apply(self.suspended.names | {name} if out else self.suspended.names - {name})
        log.info("upstream %s is %s by hand", name, "suspended" if out else "restored")
        return "done" if kept else "done, for this process alone"

    def pause(self, _: str) -> str:
        self.server.drain()
        return "done"

    def resume(self, _: str) -> str:
        self.server.undrain()
        return "done"

    # What is suspended

    def apply(self, names: set[str]) -> None:
        """From now on these are held out."""
        self.suspended.replace(names)
        self.holding.put("hand", dict.fromkeys(names, ALWAYS))

    def look(self) -> None:
        """Another process of this sidecar may have been told more."""
        self.timer = self.engine.loop.call_later(LOOK_S, self.look)
        if self.handover.changed():
            names = self.handover.read()
            if names is not None:
                self.apply(names)
        self.share()

    def share(self) -> None:
        """While there are two processes of this sidecar, each keeps to half of what both may hold."""
        first = self.handover.alone()
        succeeded = first and self.handover.succeeded()
        alone = first and not succeeded
        self.server.shrink(not alone)
        self.engine.transport.shrink(not alone)
        if succeeded and self.serving:
            self.memory.leave()

    def close(self) -> None:
        self.timer.cancel()
        self.handover.close()
