"""The sidecar process: start, wiring, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from sidecar_proxy import compiled
from sidecar_proxy.admin.commands import AdminCommands
from sidecar_proxy.admin.endpoint_overrides import EndpointOverrides
from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.server import AdminServer
from sidecar_proxy.balancer import events as api
from sidecar_proxy.config import operator_file, platform_settings
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.daemon.log_output import configure_logging
from sidecar_proxy.daemon.subsystems import RunningSubsystem, SubsystemContext, close_all, start_enabled
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory, EndpointListError
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient
from sidecar_proxy.engine.body_buffers import BodyMemoryBudget
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.gc_control import GcController
from sidecar_proxy.engine.memory_budget import DEFAULT_BUDGET_BYTES, MIB, MemoryBudget, resident_bytes
from sidecar_proxy.engine.signal_inbox import SignalInbox
from sidecar_proxy.engine.signal_polling import SignalPoller
from sidecar_proxy.http1.server import Server
from sidecar_proxy.http1.upstream import ConnectionPool

if TYPE_CHECKING:
    from sidecar_proxy.config.schema import Operator

log = logging.getLogger("sidecar_proxy")

PROCESS_MEMORY_MB = 40  # memory of a process without any large body
MIN_RELOAD_INTERVAL_S = 0.1
FIRST_LIST_TIMEOUT_S = 2.0  # maximum time that a successor waits for its first endpoint list
# Standard streams, event loop, listener, discovery, and a reserve for sockets that are being closed.
RESERVED_FILE_DESCRIPTORS = 48


def body_budget_bytes(memory_mb: int) -> int:
    """Return the budget for completely buffered bodies: a quarter of the memory beyond PROCESS_MEMORY_MB."""
    return max(1, (memory_mb - PROCESS_MEMORY_MB) // 4) * MIB


async def serve(
    config: platform_settings.PlatformConfig, operator: Operator | None, signal_inbox: SignalInbox
) -> None:
    """Serve clients until SIGTERM or SIGINT, then shut down gracefully.

    Raises EndpointListError, OperatorError, and OSError if an address can't be listened on.
    """
    settings, clock = config.settings, Clock()
    directory = EndpointDirectory(settings)
    version, _, cached_upstreams = directory.parse_list(config.cached_endpoint_list)
    # The limit for client connections, and the same limit for connections to upstreams.
    max_connections = max(1, (config.max_file_descriptors - RESERVED_FILE_DESCRIPTORS) // 2)
    has_hot_restart = config.admin_address is not None or config.accept_fd is not None
    hot_restart = HotRestart.from_environment(os.environ) if has_hot_restart else None
    settings = replace(
        settings,
        max_upstreams=max_connections,  # if more are listed, a subset is used
        is_successor=hot_restart is not None and not hot_restart.locks.claim_serving(),
    )
    memory = MemoryBudget(DEFAULT_BUDGET_BYTES)
    memory.measure_process(config.memory_mb * MIB, resident_bytes())
    pool = ConnectionPool(
        settings.connect_timeout_us / 1e6 or 1.0, settings.idle_us / 1e6, max_connections, memory
    )
    discovery = PlatformDiscoveryClient(
        config.discovery, directory, version, not settings.list_on_request, memory
    )
    engine = Engine(settings, config.seed, clock, pool, discovery, memory)
    discovery.listener = engine
    pool.on_closed = engine.activity.closed
    server = Server(engine, max_connections, BodyMemoryBudget(body_budget_bytes(config.memory_mb), memory))
    admin_commands, admin_server = None, None
    overrides = (
        EndpointOverrides(engine, directory)
        if hot_restart is not None or (operator is not None and operator.agreement.folder)
        else None
    )
    if hot_restart is not None and overrides is not None:
        admin_commands = AdminCommands(engine, directory, server, hot_restart, overrides)
    if config.admin_address is not None and admin_commands is not None:
        admin_server = AdminServer(admin_commands.by_name())
        await admin_server.open(config.admin_address)
    stop_request = StopRequest(server)
    signals = SignalPoller(engine.loop, signal_inbox)
    handle_signals(signals, engine, discovery, stop_request)
    subsystems: list[RunningSubsystem] = []
    if operator is not None:
        subsystems = await start_enabled(
            SubsystemContext(
                config, operator, engine, directory, server, discovery, signals, admin_server, overrides
            )
        )
    log.info("runs %s", compiled.state)
    assert discovery.listener is not None
    discovery.listener.list_changed(api.ListKind.CACHED, cached_upstreams, version)
    if admin_commands is not None and settings.is_successor:
        await succeed(engine, admin_commands)
    memory.measure_process(config.memory_mb * MIB, resident_bytes())
    server.update_connection_limit()
    pool.limit.update()
    host, port = server.listen(config.listen, config.accept_fd)
    if admin_commands is not None:
        admin_commands.is_serving = True
    discovery.gc_controller = GcController()
    log.info("%s listens on %s:%d", config.name, host, port)
    await stop_request.received.wait()
    await server.stop()
    discovery.close()
    for closeable in (admin_server, admin_commands):
        if closeable is not None:
            closeable.close()
    close_all(subsystems)
    pool.close()
    signals.close()


async def succeed(engine: Engine, admin_commands: AdminCommands) -> None:
    """Wait for the first endpoint list, and take over the state of the predecessor, which serves meanwhile.

    Prevents requests to draining upstreams: the cached list may be outdated, and soon after STATUS answers
    `done` this process has to obey the drains that discovery reports.
    """
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(engine.list_received.wait(), FIRST_LIST_TIMEOUT_S)
    await admin_commands.warm_start.take_over()


class StopRequest:
    """The request for a graceful shutdown, which the first SIGTERM or SIGINT makes."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.received = asyncio.Event()

    def make(self, number: signal.Signals) -> None:
        """Request the shutdown, and log what the process holds."""
        if not self.received.is_set():
            log.info("%s: shutting down; %s", number.name, self.server.describe_load())
            self.received.set()


def handle_signals(
    signals: SignalPoller, engine: Engine, discovery: PlatformDiscoveryClient, stop_request: StopRequest
) -> None:
    """Have SIGTERM and SIGINT request the shutdown, and SIGHUP reload the configuration."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(number, partial(stop_request.make, number))
    signals.handle(signal.SIGHUP, ReloadRequests(discovery, engine).request)


class ReloadRequests:
    """Reloads the configuration on request, at most once per MIN_RELOAD_INTERVAL_S.

    Requests that follow sooner are served by one reload, as a series of them would take all time from the
    clients.
    """

    def __init__(self, discovery: PlatformDiscoveryClient, engine: Engine) -> None:
        self.discovery = discovery
        self.engine = engine
        self.next_reload_s = 0.0
        self.is_scheduled = False

    def request(self) -> None:
        """Reload the configuration now or soon."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.engine.loop.call_at(max(self.engine.loop.time(), self.next_reload_s), self.reload)

    def reload(self) -> None:
        """Reload the configuration."""
        self.is_scheduled = False
        self.next_reload_s = self.engine.loop.time() + MIN_RELOAD_INTERVAL_S
        reload(self.discovery, self.engine)


def reload(discovery: PlatformDiscoveryClient, engine: Engine) -> None:
    """Reload the configuration on SIGHUP.

    Only a new discovery address takes effect; other changes of the file take effect at the next restart.
    """
    try:
        address = platform_settings.load(os.environ).discovery
    except platform_settings.ConfigError as error:
        engine.metrics.config_reload_errors += 1
        log.warning("new configuration rejected, the old one stays in effect: %s", error)
        return
    engine.metrics.config_reloads += 1
    log.info("configuration reloaded; the discovery address is %s:%d", *address)
    discovery.set_address(address)


def run(signal_inbox: SignalInbox) -> int:
    """Run the sidecar that the environment configures; return the exit status."""
    configure_logging()
    try:
        uvloop.run(serve(platform_settings.load(os.environ), operator_file.load(os.environ), signal_inbox))
    except EndpointListError as error:
        print(f"sidecar_proxy: the configuration's known list: {error}", file=sys.stderr)
        return 2
    except (platform_settings.ConfigError, OperatorError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"sidecar_proxy: can't listen: {error}", file=sys.stderr)
        return 1
    return 0
