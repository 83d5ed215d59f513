"""One real sidecar: start, signals, wiring."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from sidecar_proxy import compiled
from sidecar_proxy.admin.commands import AdminCommands
from sidecar_proxy.admin.endpoint_overrides import EndpointOverrides
from sidecar_proxy.admin.hot_restart import HotRestart
from sidecar_proxy.admin.server import AdminServer
from sidecar_proxy.balancer import events as api
from sidecar_proxy.config import operator_file as operators
from sidecar_proxy.config import platform_settings as configuration
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.daemon.subsystems import Context, Running, close_all, start_wanted
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory, EndpointListError
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient
from sidecar_proxy.engine.body_buffers import BodyMemoryBudget
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.gc_control import GcController
from sidecar_proxy.http1.server import Server
from sidecar_proxy.http1.upstream import Pool

if TYPE_CHECKING:
    from sidecar_proxy.config.schema import Operator

log = logging.getLogger("sidecar_proxy")

OWN_MB = 40  # what a process needs without any large body
LIST_S = 2.0  # a successor's wait for its first list
OWN_DESCRIPTORS = 48  # standard streams, the loop's, the listener, discovery, and room for what is closing


def spool_bytes(memory_mb: int) -> int:
    """For bodies that are held whole: a quarter of what the process does not need for itself."""
    return max(1, (memory_mb - OWN_MB) // 4) * 1024 * 1024


async def serve(config: configuration.PlatformConfig, operator: Operator | None) -> None:
    settings, clock = config.settings, Clock()
    directory = EndpointDirectory(settings)
    version, _, known = directory.parse_list(config.cached_endpoint_list)
    share = max(1, (config.max_file_descriptors - OWN_DESCRIPTORS) // 2)
    operated = config.admin_address is not None or config.accept_fd is not None
    hot_restart = HotRestart.from_environment(os.environ) if operated else None
    settings = replace(
        settings,
        max_upstreams=share,  # of a fleet larger than that a part is used
        is_successor=hot_restart is not None and not hot_restart.locks.claim_serving(),
    )
    pool = Pool(settings.connect_timeout_us / 1e6 or 1.0, settings.idle_us / 1e6, share)
    discovery = PlatformDiscoveryClient(
        config.discovery, directory, version, pushed=not settings.list_on_request
    )
    engine = Engine(settings, config.seed, clock, pool, discovery)
    discovery.listener = engine
    server = Server(engine, share, BodyMemoryBudget(spool_bytes(config.memory_mb)))
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
    running: list[Running] = []
    if operator is not None:
        running = await start_wanted(
            Context(config, operator, engine, directory, server, discovery, admin_server, overrides)
        )
    log.info("runs %s", compiled.state)
    assert discovery.listener is not None
    discovery.listener.list_changed(api.ListKind.CACHED, known, version)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        engine.loop.add_signal_handler(number, stop.set)
    engine.loop.add_signal_handler(signal.SIGHUP, reload, discovery, engine)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    if admin_commands is not None and settings.is_successor:
        # hazard: what discovery tells binds soon after the first yes, and the list at hand may be old; the
        # process before this one serves meanwhile
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(engine.list_received.wait(), LIST_S)
        await admin_commands.warm_start.take_over()
    host, port = server.listen(config.listen, config.accept_fd)
    if admin_commands is not None:
        admin_commands.is_serving = True
    discovery.gc_controller = GcController()
    log.info("%s listens on %s:%d", config.name, host, port)
    await stop.wait()
    await server.stop()
    discovery.close()
    if admin_server is not None:
        admin_server.close()
    if admin_commands is not None:
        admin_commands.close()
    close_all(running)
    pool.close()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def reload(discovery: PlatformDiscoveryClient, engine: Engine) -> None:
    """SIGHUP. Only the address of discovery is taken over; the rest of the file waits for a restart."""
    try:
        address = configuration.load(os.environ).discovery
    except configuration.ConfigError as error:
        engine.metrics.config_reload_errors += 1
        log.warning("the new configuration is not taken: %s", error)
        return
    engine.metrics.config_reloads += 1
    log.info("the configuration is read again; discovery is at %s:%d", *address)
    discovery.set_address(address)


def main() -> int:
    # hazard: unhandled, SIGHUP ends the process; it waits while we start, and is ignored once we end
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    logging.basicConfig(format="sidecar_proxy: %(message)s", level=logging.INFO)
    try:
        uvloop.run(serve(configuration.load(os.environ), operators.load(os.environ)))
    except EndpointListError as error:
        print(f"sidecar_proxy: the configuration's known list: {error}", file=sys.stderr)
        return 2
    except (configuration.ConfigError, OperatorError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"sidecar_proxy: can't listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
