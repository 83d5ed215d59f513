"""The consensus subsystem of a sidecar: it connects the replica to the network, gossip, the disk and timers.

The replica makes all decisions, and no client's request waits for them.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path

from sidecar_proxy.admin.endpoint_overrides import ANY_START_US, EndpointOverrides
from sidecar_proxy.admin.server import AdminServer
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Agreement
from sidecar_proxy.consensus import frames
from sidecar_proxy.consensus.disk import disk_from_environment
from sidecar_proxy.consensus.errors import CommandError, DamagedLogError, FrameError
from sidecar_proxy.consensus.fact_collector import DisruptionFactCollector
from sidecar_proxy.consensus.fleet_commands import FleetCommands, wall_ms
from sidecar_proxy.consensus.frames import Frame
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import NodeId
from sidecar_proxy.consensus.outputs import (
    Broadcast,
    LogMessage,
    Output,
    PersistState,
    SendMessage,
    StateChanged,
)
from sidecar_proxy.consensus.proposals import ProposalResult
from sidecar_proxy.consensus.replica import Replica
from sidecar_proxy.consensus.replica_context import ReplicaLimits
from sidecar_proxy.consensus.replicated_commands import (
    CommandKind,
    ExcludedUpstream,
    ReplicatedCommand,
)
from sidecar_proxy.consensus.session import CONNECTION_MAGIC
from sidecar_proxy.consensus.state_writer import StateWriter
from sidecar_proxy.consensus.storage import LogStore
from sidecar_proxy.consensus.transport import Address, ConsensusTransport
from sidecar_proxy.consensus.voters import name_of
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.gossip.instance import SubsystemMessage
from sidecar_proxy.gossip.subsystem import GossipSubsystem

log = logging.getLogger("sidecar_proxy")

GOSSIP_TOPIC = "agreement"
OVERRIDES_SOURCE = "fleet"
MAINTENANCE_INTERVAL_S = 1.0
WARNING_INTERVAL_S = 1.0
TIMER_SLACK_S = 0.001  # added to each delay so that a timer never fires before its due time
MAX_LOGGED_UPSTREAMS = 10
UNAWAITED_CONTEXT = 0  # the context of each command whose result nobody awaits


class ConsensusSubsystem:
    """The participation of a sidecar in consensus."""

    def __init__(
        self,
        settings: Agreement,
        engine: Engine,
        directory: EndpointDirectory,
        gossip: GossipSubsystem,
        seed: int,
        overrides: EndpointOverrides,
        admin_server: AdminServer | None,
        is_serving: Callable[[], bool],
    ) -> None:
        """Opens the folder with the persisted state. Raises OperatorError if that fails."""
        self.engine = engine
        self.gossip = gossip
        self.overrides = overrides
        self.is_serving = is_serving  # tells whether this sidecar accepts clients' requests
        self.store = LogStore(Path(settings.folder), disk_from_environment())
        self.is_closed = False
        # The last known address of each sidecar by name, as one that gossip considers dead may be reachable.
        self.addresses: dict[str, Address] = {}
        self.next_warning_s = 0.0
        self.timer_due_us = 0  # the due time of the tick timer; 0 = not set
        self.tick_timer: asyncio.TimerHandle | None = None
        self.maintenance_timer: asyncio.TimerHandle | None = None
        self.writer = StateWriter(self.store, engine.loop, self._on_persisted, self.close)
        try:
            self.replica = self._open_replica(replica_limits(settings), seed)
        except OSError as error:
            raise OperatorError(f"agreement.folder: {error}") from error
        self.fact_collector = DisruptionFactCollector(engine, directory, gossip, self.replica)
        self.replica.leader_requests.facts_provider = self.fact_collector.collect_facts
        self.transport = ConsensusTransport(gossip.keyring, self.replica.node_id, engine.clock.now_us, self)
        self.commands = FleetCommands(self, engine.loop)
        if admin_server is not None:
            self.commands.register(admin_server)

    def _open_replica(self, limits: ReplicaLimits, seed: int) -> Replica:
        try:
            persisted = self.store.open()
            if persisted.torn_bytes:
                log.info(
                    "agreement: removed %d bytes of an incomplete record from the end of the log file",
                    persisted.torn_bytes,
                )
            return self._create_replica(persisted, limits, seed)
        except (DamagedLogError, CommandError) as error:
            reason = str(error)
        log.error(
            "agreement: %s; log recreated; this sidecar rejoins as a new node that has acknowledged nothing",
            reason,
        )
        return self._create_replica(self.store.recreate(), limits, seed)

    def _create_replica(self, persisted: PersistedState, limits: ReplicaLimits, seed: int) -> Replica:
        now_us = self.now_us()
        rng = random.Random(f"{seed} {self.gossip.name} {persisted.incarnation} {now_us}")
        certificate = self.gossip.keyring.certificate
        return Replica(certificate.name, certificate.site, persisted, limits, rng, now_us, wall_ms())

    def start(self) -> None:
        """Starts to take part in consensus; gossip must have been started before."""
        assert self.gossip.transport is not None
        self.gossip.listeners[GOSSIP_TOPIC] = self._on_gossip
        self.gossip.transport.protocol_handlers[CONNECTION_MAGIC] = self.transport.serve
        state = self.replica.state
        log.info(
            "agreement: started as node %s, %s, %d upstreams excluded",
            self.replica.node_id,
            f"fleet {state.fleet_id} up to entry {state.index}" if state.fleet_id else "in no fleet yet",
            len(state.excluded),
        )
        self._apply_state()
        self._tick()
        self._maintain()

    def close(self) -> None:
        """Stops taking part in consensus; the excluded upstreams stay excluded on this sidecar."""
        self.is_closed = True
        self.gossip.listeners.pop(GOSSIP_TOPIC, None)
        if self.gossip.transport is not None:
            self.gossip.transport.protocol_handlers.pop(CONNECTION_MAGIC, None)
        for timer in (self.tick_timer, self.maintenance_timer):
            if timer is not None:
                timer.cancel()
        self.transport.close()
        self.writer.close()

    def now_us(self) -> int:
        """Returns the engine's monotonic time in microseconds."""
        return self.engine.clock.now_us()

    def transport_counts(self) -> dict[str, int]:
        """Returns the counts of bytes and lost frames of the transport."""
        return dict(self.transport.counts)

    # Network

    def address_of(self, node: NodeId) -> Address | None:
        """Returns the address of a node, or None if it is not known."""
        name = name_of(node)
        assert self.gossip.transport is not None
        peer = self.gossip.transport.instance.core.members.get(name)
        if peer is not None:
            self.addresses[name] = peer.address
        return self.addresses.get(name)

    def local_address(self) -> Address | None:
        """Returns the local address for outgoing connections, or None for any."""
        assert self.gossip.transport is not None
        return self.gossip.transport.local_address

    def on_frame(self, node: NodeId, frame: Frame) -> None:
        """Handles a received frame."""
        self._step(lambda: self.replica.on_frame(node, frame, self.now_us()))

    def on_unsent(self, node: NodeId, frame: Frame) -> None:
        """Handles a frame that was never sent, as its connection failed or the queue was full."""
        self._step(lambda: self.replica.on_unsent(node, frame, self.now_us()))

    def on_link_broken(self, node: NodeId) -> None:
        """Handles the loss of an outgoing connection."""
        self._step(lambda: self.replica.on_link_broken(node, self.now_us()))

    def _on_gossip(self, message: SubsystemMessage) -> None:
        now_us = self.now_us()
        if message.is_departure:
            self._step(lambda: self.replica.on_peer_left(message.author, now_us))
            return
        try:
            status = frames.decode_status(message.body)
        except FrameError as error:
            self._warn(f"rejected a status of {message.author}: {error}")
            return
        assert self.gossip.transport is not None
        peer = self.gossip.transport.instance.core.members.get(message.author)
        if peer is not None and not message.is_direct:
            self.addresses[message.author] = peer.address
            self._step(lambda: self.replica.on_status(message.author, peer.site, status, now_us))

    def _warn(self, text: str) -> None:
        """Logs a warning, with at most one line a second."""
        if self.engine.loop.time() >= self.next_warning_s:
            self.next_warning_s = self.engine.loop.time() + WARNING_INTERVAL_S
            log.warning("agreement: %s", text)

    # Time

    def _tick(self) -> None:
        if self.is_closed:
            return
        self._step(lambda: self.replica.tick(self.now_us(), wall_ms()))
        self.timer_due_us = 0
        self._set_timer()

    def _set_timer(self) -> None:
        """Sets the tick timer, or sets it again if an event has made the next tick due earlier."""
        due_us = self.replica.due_us
        if self.is_closed or (self.timer_due_us and self.timer_due_us <= due_us):
            return
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.timer_due_us = due_us
        wait_us = max(0, due_us - self.now_us())
        self.tick_timer = self.engine.loop.call_later(wait_us / 1e6 + TIMER_SLACK_S, self._tick)

    def _maintain(self) -> None:
        """Maintains the connections and returns obsolete permits; repeats itself at each interval."""
        self.transport.maintain()
        return_command = (
            self.fact_collector.own_return_command(self.replica.state) if self.is_serving() else None
        )
        if return_command is not None and self.replica.is_idle:
            self._submit_unawaited(return_command)
        if self.replica.core.is_leader and self.replica.is_idle:
            for command in self.fact_collector.upstream_return_commands(self.replica.state):
                self._submit_unawaited(command)
        self.maintenance_timer = self.engine.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)

    def _submit_unawaited(self, command: ReplicatedCommand) -> None:
        self._step(partial(self.replica.submit_command, UNAWAITED_CONTEXT, command, self.now_us()))

    # Effects

    def _step(self, handle: Callable[[], list[Output]]) -> None:
        """Passes an event to the replica and performs the resulting effects.

        After an unexpected exception this sidecar stops taking part in consensus: a replica that has failed
        in the middle of an event must neither acknowledge nor vote any more. Clients' requests are not
        affected.
        """
        if self.is_closed:
            return
        try:
            self.perform(handle())
        except Exception:  # any fault of the replica stops consensus on this sidecar, and nothing else
            log.exception(
                "agreement: consensus is stopped on this sidecar after an error; upstreams stay excluded"
            )
            self.close()

    def perform(self, outputs: list[Output]) -> None:
        """Performs the effects of an event in the given order."""
        for output in outputs:
            match output:
                case PersistState():
                    self.writer.write(output)
                case SendMessage(target=target, frame=frame):
                    self.transport.send(target, frame)
                case Broadcast(status=status):
                    self.gossip.broadcast(GOSSIP_TOPIC, frames.encode(status))
                case StateChanged():
                    self._apply_state()
                case LogMessage(text=text):
                    log.info("agreement: %s", text)
                case ProposalResult():
                    self.commands.on_result(output)
        if self.timer_due_us:
            self._set_timer()

    def _on_persisted(self) -> None:
        self._step(lambda: self.replica.on_persisted(self.now_us()))

    def _apply_state(self) -> None:
        """Updates the endpoint overrides if the excluded upstreams have changed."""
        excluded = {
            name: override_until_us(upstream) for name, upstream in self.replica.state.excluded.items()
        }
        if excluded != self.overrides.latest_starts_us.get(OVERRIDES_SOURCE, {}):
            self.overrides.replace_source(OVERRIDES_SOURCE, excluded)
            log.info(
                "agreement: excluded for the fleet as of entry %d: %s",
                self.replica.state.index,
                ", ".join(sorted(excluded)[:MAX_LOGGED_UPSTREAMS]) or "none",
            )


def override_until_us(upstream: ExcludedUpstream) -> int:
    """Returns the latest start of an upstream, in Unix microseconds, to which its override applies.

    A drain applies to starts up to the one that it names. That one is known in milliseconds, so each start
    within its millisecond counts.
    """
    if upstream.kind == CommandKind.DRAIN:
        return upstream.started_ms * 1000 + 999
    return ANY_START_US


def replica_limits(settings: Agreement) -> ReplicaLimits:
    """Returns the limits of a replica from the operator's settings."""
    return ReplicaLimits(
        voter_count=settings.voters,
        can_vote=settings.votes,
        replace_after_us=int(settings.replace_s * 1e6),
        transfer_bytes_per_s=settings.kib_per_s * 1024.0,
        compaction_entries=settings.compact,
    )
