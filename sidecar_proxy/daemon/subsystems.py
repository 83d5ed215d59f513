"""What can be turned on beside the core, each by its table of the operator file. Nothing is imported of one
that is off: the libraries take memory and time.

A subsystem is started with all that it may use (Context), and stopped by `close`; in between it goes
through the engine, as everything does.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.platform_settings import PlatformConfig
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.platform_client import PlatformDiscoveryClient
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.http1.listener import Listener

if TYPE_CHECKING:
    from sidecar_proxy.admin.endpoint_overrides import EndpointOverrides
    from sidecar_proxy.admin.server import AdminServer
    from sidecar_proxy.config.schema import Operator


@dataclass(slots=True, frozen=True)
class Context:
    """A sidecar that is about to take requests."""

    config: PlatformConfig
    operator: Operator
    engine: Engine
    directory: EndpointDirectory
    server: Listener
    discovery: PlatformDiscoveryClient  # who tells the platform's list; its `sink` may be changed
    door: AdminServer | None = None  # where operators call
    holding: EndpointOverrides | None = None  # upstreams that are held out whatever the list says
    parts: dict[str, Running] = field(default_factory=dict)  # that have been started, by their key


class Running(Protocol):
    """A subsystem that is on."""

    def close(self) -> None: ...


@dataclass(slots=True, frozen=True)
class Subsystem:
    key: str  # of the operator file, as errors name it
    extra: str  # of pyproject.toml, that brings its libraries
    wanted: Callable[[Operator], bool]
    start: Callable[[Context], Awaitable[Running]]  # raises OperatorError for what the file says wrong


async def start_recorder(context: Context) -> Running:
    from sidecar_proxy.recorder.subsystem import Recorder

    return Recorder(context.operator.recorder, context.engine, context.config.name, context.config.seed)


async def start_grpc(context: Context) -> Running:
    from sidecar_proxy.grpc.subsystem import start

    return start(context.operator.grpc, context.engine, context.server)


async def start_membership(context: Context) -> Running:
    from sidecar_proxy.discovery.subsystem import DiscoverySubsystem

    sources = DiscoverySubsystem(
        context.operator.membership, context.engine, context.directory, context.config.seed
    )
    await sources.start()
    context.discovery.listener = sources.feed
    return sources


async def start_gossip(context: Context) -> Running:
    from sidecar_proxy.gossip.subsystem import GossipSubsystem

    gossip = GossipSubsystem(context.operator.gossip, context.engine, context.directory, context.config.seed)
    await gossip.start()
    return gossip


async def start_overload(context: Context) -> Running:
    from sidecar_proxy.gossip.subsystem import GossipSubsystem
    from sidecar_proxy.overload_control.subsystem import OverloadControlSubsystem

    gossip = context.parts.get("gossip")
    if not isinstance(gossip, GossipSubsystem):
        raise OperatorError("overload.enabled: needs gossip; gossip.bind names no address")
    together = OverloadControlSubsystem(
        context.operator.overload, context.engine, gossip, context.config.seed, context.door
    )
    together.start()
    return together


async def start_agreement(context: Context) -> Running:
    from sidecar_proxy.consensus.subsystem import ConsensusSubsystem
    from sidecar_proxy.gossip.subsystem import GossipSubsystem

    gossip = context.parts.get("gossip")
    if not isinstance(gossip, GossipSubsystem):
        raise OperatorError("agreement.folder: needs gossip; gossip.bind names no address")
    assert context.holding is not None
    agreeing = ConsensusSubsystem(
        context.operator.agreement,
        context.engine,
        context.directory,
        gossip,
        context.config.seed,
        context.holding,
        context.door,
        lambda: context.server.ready,
    )
    agreeing.start()
    return agreeing


# In the order of their start; they end in the other one.
ALL = (
    # hazard: before all that may tell the decisions something, or a recording would not begin at their start
    Subsystem("recorder.enabled", "sidecar", lambda told: told.recorder.enabled, start_recorder),
    Subsystem("grpc.enabled", "grpc", lambda told: told.grpc.enabled, start_grpc),
    Subsystem(
        "membership.etcd",
        "etcd",
        lambda told: bool(told.membership.etcd.endpoints or told.membership.socket),
        start_membership,
    ),
    Subsystem("gossip", "gossip", lambda told: bool(told.gossip.bind), start_gossip),
    Subsystem("overload.enabled", "gossip", lambda told: told.overload.enabled, start_overload),
    Subsystem("agreement.folder", "gossip", lambda told: bool(told.agreement.folder), start_agreement),
)


async def start_wanted(context: Context, all_of_them: tuple[Subsystem, ...] = ALL) -> list[Running]:
    """Those that the operator file turns on. Raises OperatorError, also where a library is missing; what had
    been started is closed then."""
    running: list[Running] = []
    try:
        for one in all_of_them:
            if one.wanted(context.operator):
                running.append(await one.start(context))
                context.parts[one.key] = running[-1]
    except ModuleNotFoundError as error:
        close_all(running)
        raise OperatorError(f"{one.key}: needs the `{one.extra}` extra; no {error.name}") from error
    except BaseException:
        close_all(running)
        raise
    return running


def close_all(running: list[Running]) -> None:
    while running:
        running.pop().close()
