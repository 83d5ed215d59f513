"""State transfer of a replica: fetches committed entries and snapshots, and serves them to other sidecars."""

from __future__ import annotations

from sidecar_proxy.consensus import replicated_commands
from sidecar_proxy.consensus.errors import CommandError, ProposalRejectedError
from sidecar_proxy.consensus.frames import (
    EntryBatch,
    FetchLater,
    FetchRequest,
    SnapshotChunk,
    SnapshotOffer,
)
from sidecar_proxy.consensus.messages import AppendReply, InstallSnapshot, NodeId, Snapshot
from sidecar_proxy.consensus.replica_context import ReplicaContext
from sidecar_proxy.consensus.state_transfer import (
    Fetcher,
    TransferBudget,
    create_response,
    estimated_size,
)


class TransferManager:
    """The requesting and the serving side of a sidecar's state transfer."""

    def __init__(self, context: ReplicaContext, now_us: int) -> None:
        self.context = context
        self.fetcher = Fetcher(context.rng, now_us)
        self.budget = TransferBudget(context.limits.transfer_bytes_per_s, now_us)

    def request_if_due(self, now_us: int) -> None:
        """Requests committed entries if a request is due.

        A voter gets entries from the leader, so it requests them only while it is known to be behind.
        """
        if self.context.is_voter and not self.fetcher.is_behind:
            return
        voters = self.context.peers.voter_nodes()
        request = self.fetcher.next_request(now_us, voters, self.context.core.commit_index)
        if request is not None:
            self.context.outbox.send(*request)

    def handle_request(self, node: NodeId, request: FetchRequest, now_us: int) -> None:
        """Responds to another sidecar's request, or makes it wait if the budget is used up."""
        core = self.context.core
        response = create_response(request, core.log, core.applied_index, self.context.state.fleet_id)
        wait_ms = self.budget.take(estimated_size(response), now_us)
        if wait_ms:
            self.context.outbox.send(node, FetchLater(request.number, wait_ms))
        else:
            self.context.outbox.send(node, response)

    def handle_offer(self, offer: SnapshotOffer, now_us: int) -> None:
        """Reports to the leader how far this log goes, then fetches the offered snapshot if it is newer."""
        core = self.context.core
        commit_index = core.commit_index
        known = Snapshot(min(commit_index, offer.index))
        core.step(InstallSnapshot(offer.source, offer.target, offer.term, known, offer.round))
        if offer.index > commit_index and offer.term >= core.term:
            self.fetcher.on_newer_commit(now_us, 0)

    def handle_response(
        self, node: NodeId, response: EntryBatch | SnapshotChunk | FetchLater, now_us: int
    ) -> None:
        """Adds fetched entries or a chunk of a snapshot, and schedules the next request."""
        if not self.fetcher.accept_response(response, now_us) or isinstance(response, FetchLater):
            return
        fleet_id = self.context.state.fleet_id
        if not response.fleet_id or (fleet_id and response.fleet_id != fleet_id):
            self.fetcher.schedule_next(now_us, False)
            return
        core = self.context.core
        progress_before = core.commit_index, self.fetcher.received_bytes
        if isinstance(response, SnapshotChunk):
            self._add_chunk(response)
        else:
            self._add_entries(node, response)
        has_more = response.commit_index > core.commit_index
        if not has_more:
            self.context.up_to_date_us = now_us
        # Without progress the next request waits for the poll interval: a source whose responses contain
        # nothing new would otherwise be sent requests in a tight loop.
        has_progress = (core.commit_index, self.fetcher.received_bytes) != progress_before
        self.fetcher.schedule_next(now_us, has_more and has_progress)
        if core.leader and not core.is_leader and self.context.is_voter:
            # The committed entries match any leader's log, so the leader may continue after them.
            core.send(AppendReply(self.context.node_id, core.leader, core.term, True, core.commit_index))

    def _add_chunk(self, chunk: SnapshotChunk) -> None:
        snapshot = self.fetcher.add_chunk(chunk)
        if snapshot is not None and self._is_valid(snapshot, chunk.fleet_id):
            self.context.core.restore(snapshot)

    def _add_entries(self, node: NodeId, batch: EntryBatch) -> None:
        try:
            self.context.core.append_committed(batch.entries)
        except ProposalRejectedError as error:
            self.context.outbox.log(f"rejected the entries of {node}: {error}")

    def _is_valid(self, snapshot: Snapshot, fleet_id: str) -> bool:
        """Tells whether a snapshot can be decoded and is of this index and fleet.

        This is checked before the snapshot is persisted, as a sidecar that starts with a snapshot that it
        can't decode discards its whole log.
        """
        try:
            state = replicated_commands.decode_state(snapshot.data)
        except CommandError as error:
            self.context.outbox.log(str(error))
            return False
        return state.index == snapshot.index and state.fleet_id == fleet_id
