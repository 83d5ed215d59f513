"""The admin commands: status, metrics, suspending and restoring an upstream, and draining the sidecar."""

from __future__ import annotations

import logging
from typing import Protocol

from sidecar_proxy.admin.endpoint_overrides import ANY_START_US, OPERATOR_SOURCE, EndpointOverrides
from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.server import AdminCommand, AdminCommandError
from sidecar_proxy.admin.suspensions import SuspensionError, Suspensions
from sidecar_proxy.admin.warm_start import WarmStart
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.request_ids import TABLE_BYTES

log = logging.getLogger("sidecar_proxy")

POLL_INTERVAL_S = 0.1  # interval for polling the files and locks of another process of this sidecar

SHARED_TABLES_BYTES = 2 * TABLE_BYTES  # of request ids, in $TMPDIR

DONE = "done"
DONE_NOT_STORED = "done, for this process alone"


class DrainableServer(Protocol):
    """The methods of the downstream server that the admin commands use."""

    def drain(self) -> None:
        """Begin to drain: report not ready, and close client connections once they are idle."""

    def undrain(self) -> None:
        """End the drain."""

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Halve the limit of client connections, or restore it."""


class AdminCommands:
    """The admin commands and their state. It owns the poll timer and the hot-restart locks."""

    def __init__(
        self,
        engine: Engine,
        directory: EndpointDirectory,
        server: DrainableServer,
        hot_restart: HotRestart,
        overrides: EndpointOverrides,
    ) -> None:
        self.engine = engine
        self.overrides = overrides
        self.server = server
        self.hot_restart = hot_restart
        self.suspensions = Suspensions()
        if hot_restart.request_ids.share(engine.request_ids):
            engine.memory.charge(SHARED_TABLES_BYTES)
        self.is_serving = False  # whether this process accepts clients
        self.is_marked_drained = False  # whether the sidecar was marked as drained at the last look
        overrides.name_listeners.append(self.suspensions.add_listed)
        self.set_suspended_names(hot_restart.suspensions.read() or set())
        self.start_drain_state()
        self.warm_start = WarmStart(engine, directory, hot_restart.warm_start_file)
        self.timer = engine.loop.call_later(POLL_INTERVAL_S, self.poll_other_process)
        self.share_limits()

    def by_name(self) -> dict[str, AdminCommand]:
        """Return the commands by the names that operators use."""
        return {
            "STATUS": self.status,
            "METRICS": self.metrics,
            "SUSPEND": self.suspend,
            "RESTORE": self.restore,
            "PAUSE": self.pause,
            "RESUME": self.resume,
        }

    def status(self, _: str) -> str:
        """Answer `done` if this process accepts clients. Raises AdminCommandError otherwise."""
        if not self.is_serving:
            raise AdminCommandError("clients are not taken yet")
        return DONE

    def metrics(self, _: str) -> str:
        """Answer with a line for each metric, and a last line `end`."""
        return "\n".join([*self.engine.metrics.lines(*self.engine.member_counts()), "end"])

    def suspend(self, name: str) -> str:
        """Send no new requests to the upstream of this name until it is restored."""
        self.check_name(name)
        # Stored before it takes effect, so that a successor that is just starting does not miss it.
        is_stored = self.hot_restart.suspensions.add(name)
        self.set_suspended_names(self.suspensions.names | {name})
        log.info("upstream %s is suspended by an operator", name)
        return DONE if is_stored else DONE_NOT_STORED

    def restore(self, name: str) -> str:
        """End the suspension of the upstream of this name."""
        self.check_name(name)
        is_stored = self.hot_restart.suspensions.remove(name)
        self.set_suspended_names(self.suspensions.names - {name})
        log.info("upstream %s is restored by an operator", name)
        return DONE if is_stored else DONE_NOT_STORED

    def pause(self, _: str) -> str:
        """Drain this sidecar, and the process that replaces this one."""
        is_stored = self.hot_restart.drain_marker.create()
        self.is_marked_drained = self.hot_restart.drain_marker.exists(if_unknown=False)
        self.server.drain()
        return DONE if is_stored else DONE_NOT_STORED

    def resume(self, _: str) -> str:
        """End the drain of this sidecar."""
        is_stored = self.hot_restart.drain_marker.remove()
        self.is_marked_drained = self.hot_restart.drain_marker.exists(if_unknown=False)
        self.server.undrain()
        return DONE if is_stored else DONE_NOT_STORED

    def check_name(self, name: str) -> None:
        """Raise AdminCommandError if no upstream of this name can be suspended or restored."""
        try:
            self.suspensions.check(name)
        except SuspensionError as error:
            raise AdminCommandError(str(error)) from error

    def set_suspended_names(self, names: set[str]) -> None:
        """Replace all suspensions by these, and apply them."""
        self.suspensions.replace(names)
        self.overrides.replace_source(OPERATOR_SOURCE, dict.fromkeys(names, ANY_START_US))

    def start_drain_state(self) -> None:
        """Start drained if the predecessor is; a drain ends with the last process of the sidecar."""
        if self.engine.settings.is_successor:
            self.follow_drain_marker()
        else:
            self.hot_restart.drain_marker.remove()
            self.is_marked_drained = self.hot_restart.drain_marker.exists(if_unknown=False)

    def follow_drain_marker(self) -> None:
        """Begin or end a drain if an operator has done so at another process of this sidecar."""
        is_marked = self.hot_restart.drain_marker.exists(if_unknown=self.is_marked_drained)
        if is_marked == self.is_marked_drained:
            return
        self.is_marked_drained = is_marked
        if is_marked:
            self.server.drain()
        else:
            self.server.undrain()

    def poll_other_process(self) -> None:
        """Apply what operators have stored at another process of this sidecar, and check which one serves."""
        self.timer = self.engine.loop.call_later(POLL_INTERVAL_S, self.poll_other_process)
        if self.hot_restart.suspensions.has_changed():
            names = self.hot_restart.suspensions.read()
            if names is not None:
                self.set_suspended_names(names)
        self.follow_drain_marker()
        self.share_limits()

    def share_limits(self) -> None:
        """Halve the limits of memory and connections while there are two processes of this sidecar.

        The serving process also publishes its warm-start state then.
        """
        is_serving_process = self.hot_restart.locks.claim_serving()
        has_successor = is_serving_process and self.hot_restart.locks.has_successor()
        has_other_process = not is_serving_process or has_successor
        self.engine.memory.share(2 if has_other_process else 1)
        self.server.halve_connection_limit(has_other_process)
        self.engine.transport.halve_connection_limit(has_other_process)
        if has_successor and self.is_serving:
            self.warm_start.publish()

    def close(self) -> None:
        """Stop polling and release the hot-restart locks."""
        self.timer.cancel()
        self.hot_restart.close()
