"""The optional subsystems of a sidecar, each enabled by its table of the operator file.

The modules of a disabled subsystem are not imported, as its libraries take memory and start-up time. A
subsystem is started with a SubsystemContext and stopped by `close`; meanwhile it works through the interfaces
of the engine.
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
from sidecar_proxy.engine.signal_polling import SignalPoller
from sidecar_proxy.http1.listener import Listener

if TYPE_CHECKING:
    from sidecar_proxy.admin.endpoint_overrides import EndpointOverrides
    from sidecar_proxy.admin.server import AdminServer
    from sidecar_proxy.config.schema import Operator


@dataclass(slots=True, frozen=True)
class SubsystemContext:
    """The sidecar in which a subsystem is started, before it accepts clients."""

    config: PlatformConfig
    operator: Operator
    engine: Engine
    directory: EndpointDirectory
    server: Listener
    discovery: PlatformDiscoveryClient  # the platform's endpoint list; a subsystem may replace its `listener`
    signals: SignalPoller
    admin_server: AdminServer | None = None
    overrides: EndpointOverrides | None = None  # upstreams that operators have suspended or drained
    started: dict[str, RunningSubsystem] = field(
        default_factory=dict
    )  # running subsystems by `Subsystem.key`


class RunningSubsystem(Protocol):
    """A subsystem that was started."""

    def close(self) -> None:
        """Stop the subsystem."""


@dataclass(slots=True, frozen=True)
class Subsystem:
    """A subsystem that can be enabled, and how to start it."""

    key: str  # key of the operator file that enables it, for error messages
    extra: str  # extra of pyproject.toml that installs its libraries
    is_enabled: Callable[[Operator], bool]
    # Raises OperatorError for wrong settings.
    start: Callable[[SubsystemContext], Awaitable[RunningSubsystem]]


async def start_recorder(context: SubsystemContext) -> RunningSubsystem:
    """Start recording the events and actions of the balancer."""
    from sidecar_proxy.recorder.subsystem import Recorder

    return Recorder(
        context.operator.recorder,
        context.engine,
        context.config.name,
        context.config.seed,
        context.signals,
    )


async def start_grpc(context: SubsystemContext) -> RunningSubsystem:
    """Start serving gRPC on the listener of the server."""
    from sidecar_proxy.grpc.subsystem import start

    return start(context.operator.grpc, context.engine, context.server)


async def start_membership(context: SubsystemContext) -> RunningSubsystem:
    """Start the additional discovery sources, and merge them with the platform's endpoint list."""
    from sidecar_proxy.discovery.subsystem import DiscoverySubsystem

    discovery = DiscoverySubsystem(
        context.operator.membership, context.engine, context.directory, context.config.seed
    )
    await discovery.start()
    context.discovery.listener = discovery.feed
    return discovery


async def start_gossip(context: SubsystemContext) -> RunningSubsystem:
    """Start the gossip instance of this sidecar."""
    from sidecar_proxy.gossip.subsystem import GossipSubsystem

    gossip = GossipSubsystem(context.operator.gossip, context.engine, context.directory, context.config.seed)
    await gossip.start()
    return gossip


async def start_overload(context: SubsystemContext) -> RunningSubsystem:
    """Start fleet-wide overload control.

    Raises OperatorError if gossip is disabled or there are more request classes than a report can hold.
    """
    from sidecar_proxy.gossip.subsystem import GossipSubsystem
    from sidecar_proxy.overload_control.messages import MAX_CLASSES
    from sidecar_proxy.overload_control.subsystem import OverloadControlSubsystem

    gossip = context.started.get("gossip")
    if not isinstance(gossip, GossipSubsystem):
        raise OperatorError("overload.enabled: needs gossip; gossip.bind names no address")
    class_count = len(context.engine.settings.classes)
    if class_count > MAX_CLASSES:
        raise OperatorError(
            f"overload.enabled: at most {MAX_CLASSES} request classes, the settings have {class_count}"
        )
    overload_control = OverloadControlSubsystem(
        context.operator.overload, context.engine, gossip, context.config.seed, context.admin_server
    )
    overload_control.start()
    return overload_control


async def start_agreement(context: SubsystemContext) -> RunningSubsystem:
    """Start taking part in consensus. Raises OperatorError if gossip is disabled."""
    from sidecar_proxy.consensus.subsystem import ConsensusSubsystem
    from sidecar_proxy.gossip.subsystem import GossipSubsystem

    gossip = context.started.get("gossip")
    if not isinstance(gossip, GossipSubsystem):
        raise OperatorError("agreement.folder: needs gossip; gossip.bind names no address")
    assert context.overrides is not None
    consensus = ConsensusSubsystem(
        context.operator.agreement,
        context.engine,
        context.directory,
        gossip,
        context.config.seed,
        context.overrides,
        context.admin_server,
        lambda: context.server.is_ready,
    )
    consensus.start()
    return consensus


# In the order in which they are started; they are stopped in reverse order.
SUBSYSTEMS = (
    # The recorder starts before any subsystem that may send an event to the balancer: otherwise a recording
    # would lack the first events.
    Subsystem("recorder.enabled", "sidecar", lambda operator: operator.recorder.enabled, start_recorder),
    Subsystem("grpc.enabled", "grpc", lambda operator: operator.grpc.enabled, start_grpc),
    Subsystem(
        "membership.etcd",
        "etcd",
        lambda operator: bool(operator.membership.etcd.endpoints or operator.membership.socket),
        start_membership,
    ),
    Subsystem("gossip", "gossip", lambda operator: bool(operator.gossip.bind), start_gossip),
    Subsystem("overload.enabled", "gossip", lambda operator: operator.overload.enabled, start_overload),
    Subsystem(
        "agreement.folder", "gossip", lambda operator: bool(operator.agreement.folder), start_agreement
    ),
)


async def start_enabled(
    context: SubsystemContext, subsystems: tuple[Subsystem, ...] = SUBSYSTEMS
) -> list[RunningSubsystem]:
    """Start and return the subsystems that the operator file enables.

    Raises OperatorError for wrong settings and for a missing library. Whatever is raised, the subsystems that
    were started before are closed.
    """
    running: list[RunningSubsystem] = []
    try:
        for subsystem in subsystems:
            if subsystem.is_enabled(context.operator):
                running.append(await subsystem.start(context))
                context.started[subsystem.key] = running[-1]
    except ModuleNotFoundError as error:
        close_all(running)
        raise OperatorError(
            f"{subsystem.key}: needs the `{subsystem.extra}` extra; no {error.name}"
        ) from error
    except BaseException:
        close_all(running)
        raise
    return running


def close_all(running: list[RunningSubsystem]) -> None:
    """Stop subsystems in the reverse order of their start."""
    while running:
        running.pop().close()
