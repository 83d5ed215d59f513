"""One sidecar's replica of the state that the fleet agrees on by consensus, without I/O.

A replica combines the Raft core, the replicated state machine, voter management, state transfer and the
requests of operators. Its inputs are the time, frames and peers' statuses from gossip; its outputs are
effects for the caller to perform (`outputs.Output`). The caller writes and syncs each `PersistState` and then
calls `on_persisted`; the replica emits nothing that depends on that state before the call.
"""

from __future__ import annotations

import random

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.errors import CommandError, ProposalRejectedError
from sidecar_proxy.consensus.frames import (
    EntryBatch,
    FetchLater,
    FetchRequest,
    Frame,
    LeaderReply,
    LeaderRequest,
    ReplicaStatus,
    SnapshotChunk,
    SnapshotOffer,
)
from sidecar_proxy.consensus.leader_requests import LeaderRequests
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import Append, Message, NodeId, Snapshot
from sidecar_proxy.consensus.outputs import Outbox, Output
from sidecar_proxy.consensus.peers import PeerTable
from sidecar_proxy.consensus.proposals import PendingProposals, ProposalResult
from sidecar_proxy.consensus.raft import RaftCore, Timing
from sidecar_proxy.consensus.ready_driver import ReadyDriver
from sidecar_proxy.consensus.replica_context import ReplicaContext, ReplicaLimits
from sidecar_proxy.consensus.replicated_commands import ReplicatedCommand, ReplicatedState
from sidecar_proxy.consensus.state_machine import StateMachine
from sidecar_proxy.consensus.status import LeaderTracker, StatusBroadcaster, StatusReporter
from sidecar_proxy.consensus.transfer_manager import TransferManager
from sidecar_proxy.consensus.voter_manager import VoterManager
from sidecar_proxy.consensus.voters import node_id_of

TICK_US = 50_000
TICK_TOLERANCE_US = TICK_US // 5  # a tick that is early by no more than this is counted as a complete one
MAX_IDLE_TICKS = 20  # maximum number of ticks between two calls of `Replica.tick`
TIMING = Timing(min_election_timeout_ticks=12, heartbeat_interval_ticks=4)
STALL_THRESHOLD_US = 1_000_000  # a tick that is this much later than planned means a stopped process


class Replica:
    """Handles all consensus events of one sidecar; each handler returns the effects to perform."""

    def __init__(
        self,
        name: str,
        site: str,
        persisted: PersistedState,
        limits: ReplicaLimits,
        rng: random.Random,
        now_us: int,
        wall_ms: int,
        timing: Timing = TIMING,
    ) -> None:
        """Starts from persisted state. Raises CommandError if the snapshot can't be decoded."""
        process_id = f"{rng.getrandbits(64):016x}"
        node_id = node_id_of(name, persisted.incarnation)
        core = RaftCore(
            node_id,
            persisted.log,
            persisted.hard_state,
            rng,
            timing,
            persisted.commit_index,
            send_before_persist=True,
        )
        machine = StateMachine(persisted, core.commit_index, wall_ms)
        self.context = ReplicaContext(name, site, node_id, limits, rng, core, machine, PeerTable(), Outbox())
        self.process_id = process_id
        self.proposals = PendingProposals()
        self.leader_requests = LeaderRequests(self.context, self.proposals)
        self.ready_driver = ReadyDriver(self.context, self.leader_requests)
        self.voter_manager = VoterManager(self.context, now_us)
        self.state_transfer = TransferManager(self.context, now_us)
        self.leader_tracker = LeaderTracker(now_us)
        self.status_broadcaster = StatusBroadcaster(
            self.context, persisted.incarnation, process_id, self.leader_tracker, now_us
        )
        self.status_reporter = StatusReporter(self.context, self.leader_tracker)
        self.was_leader = False  # whether this node was the leader at the last tick
        self.last_tick_us = now_us
        self.planned_ticks = 1  # ticks from `last_tick_us` to `due_us`

    # State

    @property
    def name(self) -> str:
        """The sidecar's name."""
        return self.context.name

    @property
    def site(self) -> str:
        """The sidecar's site."""
        return self.context.site

    @property
    def node_id(self) -> NodeId:
        """The id of this sidecar's node: its name and the incarnation of its log."""
        return self.context.node_id

    @property
    def core(self) -> RaftCore:
        """The Raft core."""
        return self.context.core

    @property
    def state(self) -> ReplicatedState:
        """The replicated state."""
        return self.context.state

    @property
    def peers(self) -> PeerTable:
        """The other sidecars of the fleet."""
        return self.context.peers

    @property
    def is_idle(self) -> bool:
        """Whether no request that was submitted at this sidecar is pending."""
        return not self.proposals.pending

    def known_fleet_id(self) -> str:
        """Returns the id of this sidecar's fleet or, if it has none yet, the one that its peers report."""
        return self.state.fleet_id or self.peers.reported_fleet_id()

    # Time

    @property
    def due_us(self) -> int:
        """When to call `tick` next. To be read again after each event, as an event may make it earlier.

        An idle replica needs only one call in MAX_IDLE_TICKS ticks.
        """
        if self.proposals.pending or self.state_transfer.fetcher.request_number:
            ticks = 1
        elif self.context.is_voter:
            ticks = self.core.ticks_until_due()
        else:
            ticks = self._ticks_until(self.state_transfer.fetcher.due_us)
        if self.status_broadcaster.has_unsent_change:
            ticks = min(ticks, self._ticks_until(self.status_broadcaster.next_broadcast_us))
        self.planned_ticks = max(1, min(ticks, MAX_IDLE_TICKS))
        return self.last_tick_us + self.planned_ticks * TICK_US

    def _ticks_until(self, at_us: int) -> int:
        return (at_us - self.last_tick_us) // TICK_US + 1

    def tick(self, now_us: int, wall_ms: int) -> list[Output]:
        """Advances the time; to be called at `due_us`.

        Time during which this process did not run is not counted: the unread frames of that time may show
        that the leader and the voters are alive.
        """
        self.context.state_machine.wall_ms = wall_ms
        if now_us - self.last_tick_us > self.planned_ticks * TICK_US + STALL_THRESHOLD_US:
            self.voter_manager.on_stall(now_us)
        elapsed_ticks = (now_us - self.last_tick_us + TICK_TOLERANCE_US) // TICK_US
        for _ in range(max(1, min(self.planned_ticks, elapsed_ticks))):
            self.core.tick()
        self.last_tick_us = now_us
        self._update_leader(now_us)
        self.voter_manager.check_if_due(now_us)
        self._send_proposals(now_us)
        self.state_transfer.request_if_due(now_us)
        return self._finish(now_us)

    def _catch_up_ticks(self, now_us: int) -> None:
        """Runs the elapsed ticks before an event, except the last planned one, at which a timer is due.

        Timers that the event restarts must start from the current time.
        """
        elapsed_ticks = min((now_us - self.last_tick_us) // TICK_US, self.planned_ticks - 1)
        if elapsed_ticks > 0:
            for _ in range(elapsed_ticks):
                self.core.tick()
            self.last_tick_us += elapsed_ticks * TICK_US
            self.planned_ticks -= elapsed_ticks

    def _update_leader(self, now_us: int) -> None:
        core = self.core
        leader = core.leader if self.context.is_voter else self.peers.reported_leader()
        if core.is_leader:
            if self.was_leader:
                quorum_contact_us = self.voter_manager.last_quorum_contact_us(now_us)
                self.context.up_to_date_us = max(self.context.up_to_date_us, quorum_contact_us)
            else:
                self.was_leader = True
                self.voter_manager.on_elected(now_us)
        elif self.was_leader:
            self.was_leader = False
            self.leader_requests.on_leadership_lost()
        self.leader_tracker.update(leader, now_us)

    # Events from the network

    def on_frame(self, node: NodeId, frame: Frame, now_us: int) -> list[Output]:
        """Handles a frame from a node that the session has authenticated."""
        self._catch_up_ticks(now_us)
        if isinstance(frame, Message):
            self.voter_manager.on_frame(node, now_us)
            self.core.step(frame)
            if isinstance(frame, Append) and self.core.leader == node:
                self.context.up_to_date_us = now_us
        elif isinstance(frame, SnapshotOffer):
            self.state_transfer.handle_offer(frame, now_us)
        elif isinstance(frame, FetchRequest):
            self.state_transfer.handle_request(node, frame, now_us)
        elif isinstance(frame, LeaderRequest):
            self.leader_requests.handle(node, frame)
        elif isinstance(frame, LeaderReply):
            self._add_result(self.proposals.on_reply(node, frame, now_us))
        elif isinstance(frame, EntryBatch | SnapshotChunk | FetchLater):
            self.state_transfer.handle_response(node, frame, now_us)
        return self._finish(now_us)

    def on_status(self, name: str, site: str, status: ReplicaStatus, now_us: int) -> list[Output]:
        """Handles a status that a peer has broadcast."""
        fleet_id = self.state.fleet_id
        if status.fleet_id and fleet_id and status.fleet_id != fleet_id:
            if self.peers.mark_foreign(name):
                self.context.outbox.log(
                    f"{name} is of another fleet ({status.fleet_id}, not {fleet_id}); its status is ignored"
                )
            return self._finish(now_us)
        peer = self.peers.update(name, site, status, now_us)
        if peer is not None and status.is_voter:
            if status.commit_index > self.core.commit_index:
                self.state_transfer.fetcher.on_newer_commit(now_us, len(self.peers.peers))
            elif status.commit_index == self.core.commit_index and status.fleet_id == fleet_id:
                self.context.up_to_date_us = now_us
        return self._finish(now_us)

    def on_peer_left(self, name: str, now_us: int) -> list[Output]:
        """Removes a peer that gossip considers dead."""
        self.peers.remove(name)
        return self._finish(now_us)

    def on_unsent(self, node: NodeId, frame: Frame, now_us: int) -> list[Output]:
        """Handles a frame that was not sent, as the node can't be reached."""
        if isinstance(frame, LeaderRequest):
            self.proposals.on_unsent(frame.number, now_us)
        elif isinstance(frame, FetchRequest):
            self.state_transfer.fetcher.on_link_broken(node, now_us)
        return self._finish(now_us)

    def on_link_broken(self, node: NodeId, now_us: int) -> list[Output]:
        """Handles the loss of a connection; frames sent on it may or may not have arrived."""
        self.proposals.on_link_broken(node, now_us)
        self.state_transfer.fetcher.on_link_broken(node, now_us)
        return self._finish(now_us)

    # Events from the disk

    def on_persisted(self, now_us: int) -> list[Output]:
        """Continues after the last `PersistState` has been written and synced."""
        self.ready_driver.on_persisted()
        return self._finish(now_us)

    # Requests of operators

    def submit_command(self, request_id: int, command: ReplicatedCommand, now_us: int) -> list[Output]:
        """Submits a command. Its result is a later ProposalResult with the same id. Raises CommandError."""
        data = replicated_commands.encode_command(command)
        if not self.known_fleet_id():
            raise CommandError("no fleet was begun (`fleet begin`)")
        return self._submit(request_id, data, "", now_us)

    def submit_read(self, request_id: int, name: str, now_us: int) -> list[Output]:
        """Submits a linearizable read of an upstream or setting; its result is a later ProposalResult."""
        return self._submit(request_id, b"", name, now_us)

    def _submit(self, request_id: int, data: bytes, name: str, now_us: int) -> list[Output]:
        self._add_result(self.proposals.add(request_id, data, name, now_us))
        self._send_proposals(now_us)
        return self._finish(now_us)

    def create_fleet(self, now_us: int) -> list[Output]:
        """Creates a fleet with this sidecar as its only voter.

        Raises ProposalRejectedError if this sidecar or a peer belongs to a fleet already.
        """
        fleet_id = self.known_fleet_id()
        if fleet_id or self.core.commit_index or self.ready_driver.unpersisted_ready is not None:
            raise ProposalRejectedError(f"there is a fleet already: {fleet_id or 'being begun'}")
        new_fleet_id = f"{self.context.rng.getrandbits(64):016x}"
        data = replicated_commands.initial_snapshot_data(new_fleet_id)
        self.core.restore(Snapshot(1, 0, (self.node_id,), data))
        self.core.campaign()
        return self._finish(now_us)

    def _send_proposals(self, now_us: int) -> None:
        """Sends pending requests to the leader, and completes those that have expired."""
        if not self.proposals.pending:
            return
        leader = self.leader_tracker.leader
        for request in self.proposals.take_requests(leader, now_us):
            if leader == self.node_id:
                self.leader_requests.handle(leader, request)
            else:
                self.context.outbox.send(leader, request)
        for result in self.proposals.expire(now_us, self.leader_tracker.leaderless_us(now_us)):
            self.context.outbox.add(result)

    def _add_result(self, result: ProposalResult | None) -> None:
        if result is not None:
            self.context.outbox.add(result)

    def _finish(self, now_us: int) -> list[Output]:
        """Finishes an event: processes Readies, broadcasts a changed status, and returns all effects."""
        self.ready_driver.run()
        self.status_broadcaster.broadcast_if_due(now_us)
        return self.context.outbox.take()
