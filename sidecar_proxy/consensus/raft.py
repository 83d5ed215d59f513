"""The Raft state machine of one node, without I/O, clock or threads.

Its inputs are messages and ticks; its output is a `Ready`. The caller takes a Ready, writes and syncs its
hard state, snapshot and entries, then sends its messages, then applies its committed entries, and only then
takes the next Ready. The caller also calls `tick` at regular intervals; all times are counted in ticks.
Section numbers in parentheses are those of Ongaro, "Consensus: Bridging Theory and Practice" (2014).
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from sidecar_proxy.consensus.errors import CompactedError, ProposalRejectedError
from sidecar_proxy.consensus.log import RaftLog
from sidecar_proxy.consensus.messages import (
    MAX_MESSAGE_ENTRIES,
    Append,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Message,
    NodeId,
    Snapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

MAX_APPEND_ENTRIES = MAX_MESSAGE_ENTRIES
MAX_UNCOMMITTED_ENTRIES = 1024  # further proposals are rejected


@dataclass(slots=True, frozen=True)
class Timing:
    """Intervals in ticks, and whether pre-vote (9.6) and check quorum (6.2) are enabled."""

    min_election_timeout_ticks: int = 10  # each election timeout is random, between this and twice this
    heartbeat_interval_ticks: int = 2
    pre_vote_retry_ticks: int = 3  # interval at which a pre-candidate repeats its pre-vote requests
    pre_vote: bool = True
    check_quorum: bool = True


class Role(enum.Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Progress:
    """The leader's view of the log of another node, the follower."""

    next_index: int
    match_index: int = 0
    is_active: bool = True  # whether the follower has replied since the last quorum check
    acked_round: int = 0  # the latest heartbeat round that the follower has replied to
    pending_snapshot_index: int = 0  # index of the snapshot that is being sent to the follower; 0 = none


@dataclass(slots=True)
class PendingRead:
    """A linearizable read that waits until a majority has replied to a round of heartbeats (6.4)."""

    read_id: int
    read_index: int  # the read must see the state at this index or later
    round: int  # replies to this heartbeat round or a later one confirm the leadership


@dataclass(slots=True)
class Ready:
    """Pending work for the caller, in this order: write and sync, send, apply."""

    hard_state: HardState | None = None  # None if unchanged
    snapshot: Snapshot | None = None  # replaces the whole log; is persisted before `entries`
    entries: list[Entry] = field(default_factory=list)  # replace the log from the index of the first entry
    messages: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # (read id, index to apply first)
    rejected_reads: list[int] = field(default_factory=list)  # ids of reads pending when leadership was lost


class RaftCore:
    """The Raft state of one node: a voter, or a learner while it is not among the voters."""

    def __init__(
        self,
        node_id: NodeId,
        log: RaftLog,
        hard_state: HardState,
        rng: random.Random,
        timing: Timing = Timing(),
        commit_index: int = 0,
        send_before_persist: bool = False,
    ) -> None:
        """Starts from persisted state.

        `commit_index` is the commit index known before the restart; the caller has already applied all
        entries up to it. With `send_before_persist` the caller sends the Appends of a Ready before it has
        written the entries, and calls `mark_persisted` afterwards (10.2.1): the leader and the followers
        then sync in parallel, so a commit takes the time of one sync and not of two in sequence.
        """
        self.node_id = node_id
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.rng = rng
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader: NodeId = ""  # the leader of the current term; "" = unknown
        self.commit_index = max(log.snapshot.index, min(commit_index, log.last_index))
        self.applied_index = self.commit_index
        # Ticks since the election timer was reset; on a leader, since it last broadcast a heartbeat.
        self.elapsed_ticks = 0
        self.election_timeout_ticks = 0  # the current random timeout
        self.votes: dict[NodeId, bool] = {}
        self.is_pre_candidate = False
        self.progress: dict[NodeId, Progress] = {}  # the other voters and the learners; empty unless leader
        self.learners: dict[NodeId, None] = {}  # an ordered set
        self.round = 0  # number of the current heartbeat round; each linearizable read starts a new one
        self.quorum_elapsed_ticks = 0
        self.pending_reads: list[PendingRead] = []
        self.transfer_target: NodeId = ""  # the voter to which the leadership is being transferred; "" = none
        self.transfer_elapsed_ticks = 0
        self.persisted_hard_state = HardState(self.term, self.vote)
        self.send_before_persist = send_before_persist
        self.persisted_index = log.last_index  # last synced entry; only used with `send_before_persist`
        self.next_ready = Ready()
        self.reset_election_timer()

    # State

    @property
    def voters(self) -> tuple[NodeId, ...]:
        """The latest voters in the log, whether committed or not."""
        return self.log.voters()

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader of its current term."""
        return self.role is Role.LEADER

    def quorum_size(self) -> int:
        """Returns the size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def has_ready(self) -> bool:
        """Returns whether `ready` would return any work."""
        ready = self.next_ready
        return bool(
            self.persisted_hard_state != HardState(self.term, self.vote)
            or ready.snapshot
            or ready.entries
            or ready.messages
            or ready.reads
            or ready.rejected_reads
            or self.applied_index < self.commit_index
        )

    def ready(self) -> Ready:
        """Returns the pending work, which the core treats as persisted and applied from now on.

        With `send_before_persist`, entries count as persisted only after `mark_persisted`.
        """
        ready = self.next_ready
        self.next_ready = Ready()
        if not self.send_before_persist:
            self.persisted_index = self.log.last_index
        hard_state = HardState(self.term, self.vote)
        if hard_state != self.persisted_hard_state:
            ready.hard_state = hard_state
            self.persisted_hard_state = hard_state
        if self.applied_index < self.commit_index:
            ready.committed = self.log.entries_between(self.applied_index + 1, self.commit_index)
            self.applied_index = self.commit_index
        return ready

    def mark_persisted(self, entries: Sequence[Entry]) -> None:
        """Records that the entries of a Ready are on disk, except those that were replaced meanwhile."""
        if not entries:
            return
        unwritten = self.next_ready.entries
        last_valid_index = unwritten[0].index - 1 if unwritten else self.log.last_index
        self.persisted_index = min(entries[-1].index, last_valid_index)
        self.advance_commit_index()

    # Time

    def ticks_until_due(self) -> int:
        """Returns the number of ticks, at least 1, until the next timer of this node may expire."""
        if self.role is Role.LEADER:
            return max(1, self.timing.heartbeat_interval_ticks - self.elapsed_ticks)
        if self.role is Role.CANDIDATE:
            return 1
        return max(1, self.election_timeout_ticks - self.elapsed_ticks)

    def tick(self) -> None:
        """Advances the time by one tick."""
        self.elapsed_ticks += 1
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.elapsed_ticks >= self.election_timeout_ticks and self.node_id in self.voters:
            self.campaign()
        elif (
            self.role is Role.CANDIDATE
            and self.is_pre_candidate
            and self.elapsed_ticks % self.timing.pre_vote_retry_ticks == 0
        ):
            # A voter that received the last heartbeat a little later than this node ignored the first one.
            self._request_votes(pre_vote=True)

    def _tick_leader(self) -> None:
        self.quorum_elapsed_ticks += 1
        if self.quorum_elapsed_ticks >= self.timing.min_election_timeout_ticks:
            self.quorum_elapsed_ticks = 0
            if self.timing.check_quorum and not self._has_active_quorum():
                self.become_follower(self.term, "")  # 6.2: there may be a leader of a later term
                return
            for progress in self.progress.values():
                progress.is_active = False
                progress.pending_snapshot_index = 0
        if self.transfer_target:
            self.transfer_elapsed_ticks += 1
            if self.transfer_elapsed_ticks >= self.timing.min_election_timeout_ticks:
                self.transfer_target = ""  # the transfer has timed out; proposals are accepted again
        if self.elapsed_ticks >= self.timing.heartbeat_interval_ticks:
            self.elapsed_ticks = 0
            self._broadcast_append()

    def _has_active_quorum(self) -> bool:
        active_count = sum(
            progress.is_active for node, progress in self.progress.items() if node in self.voters
        )
        return active_count + (self.node_id in self.voters) >= self.quorum_size()

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a random timeout (3.4)."""
        self.elapsed_ticks = 0
        self.election_timeout_ticks = self.timing.min_election_timeout_ticks + self.rng.randrange(
            self.timing.min_election_timeout_ticks
        )

    # Elections

    def become_follower(self, term: int, leader: NodeId) -> None:
        """Becomes a follower of `leader` ("" = unknown) in `term`, which is not below the current term."""
        if term > self.term:
            self.term = term
            self.vote = ""
        if self.role is Role.LEADER:
            self.next_ready.rejected_reads += [read.read_id for read in self.pending_reads]
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = {}
        self.progress = {}
        self.pending_reads = []
        self.transfer_target = ""
        self.reset_election_timer()

    def campaign(self, transfer: bool = False) -> None:
        """Starts an election, after a pre-vote (9.6) unless the leader requested it by a transfer."""
        if self.node_id not in self.voters:
            return
        self.role = Role.CANDIDATE
        self.leader = ""
        self.reset_election_timer()
        self._start_vote(self.timing.pre_vote and not transfer, transfer)

    def _start_vote(self, pre_vote: bool, transfer: bool = False) -> None:
        self.is_pre_candidate = pre_vote
        if not pre_vote:
            self.term += 1
            self.vote = self.node_id
        self.votes = {self.node_id: True}
        if self._has_won_vote():
            self._on_vote_won()
            return
        self._request_votes(pre_vote, transfer)

    def _request_votes(self, pre_vote: bool, transfer: bool = False) -> None:
        term = self.term + 1 if pre_vote else self.term
        for node in self.voters:
            if node == self.node_id:
                continue
            last_index, last_term = self.log.last_index, self.log.last_term
            self.send(VoteRequest(self.node_id, node, term, last_index, last_term, pre_vote, transfer))

    def _has_won_vote(self) -> bool:
        return sum(self.votes.get(node, False) for node in self.voters) >= self.quorum_size()

    def _on_vote_won(self) -> None:
        if self.is_pre_candidate:
            self._start_vote(pre_vote=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.node_id
        self.elapsed_ticks = 0
        self.quorum_elapsed_ticks = 0
        self.pending_reads = []
        self.transfer_target = ""
        last_index = self.log.last_index
        nodes = dict.fromkeys([*self.voters, *self.learners])
        self.progress = {node: Progress(last_index + 1) for node in nodes if node != self.node_id}
        # 5.4.2: entries of earlier terms are committed only along with an entry of the current term.
        self._append_own([Entry(self.term, last_index + 1)])
        self._broadcast_append()

    def _has_active_leader(self) -> bool:
        """Returns whether vote requests are to be ignored because a leader is active (4.2.3)."""
        return bool(
            self.leader
            and self.elapsed_ticks < self.timing.min_election_timeout_ticks
            and self.timing.check_quorum
        )

    def _on_vote_request(self, request: VoteRequest) -> None:
        if not request.transfer and self._has_active_leader():
            return
        is_up_to_date = self.log.is_up_to_date(request.last_index, request.last_term)
        if request.pre_vote:
            granted = request.term > self.term and is_up_to_date
            # A granted pre-vote repeats the term of the request; a rejected one reports this node's term.
            term = request.term if granted else self.term
            self.send(VoteReply(self.node_id, request.source, term, granted, True))
            return
        if request.term > self.term:
            self.become_follower(request.term, "")
        granted = request.term == self.term and self.vote in ("", request.source) and is_up_to_date
        if granted:
            self.vote = request.source
            self.reset_election_timer()
        self.send(VoteReply(self.node_id, request.source, self.term, granted))

    def _on_vote_reply(self, reply: VoteReply) -> None:
        if reply.term > self.term and not (reply.pre_vote and reply.granted):
            self.become_follower(reply.term, "")
            return
        if self.role is not Role.CANDIDATE or reply.pre_vote is not self.is_pre_candidate:
            return
        if reply.term != (self.term + 1 if self.is_pre_candidate else self.term):
            return
        if reply.source in self.voters:
            self.votes[reply.source] = reply.granted
            if self._has_won_vote():
                self._on_vote_won()

    # Messages

    def step(self, message: Message) -> None:
        """Handles a message of any type; messages may be lost, duplicated, reordered or outdated."""
        if message.target != self.node_id or message.source == self.node_id:
            return
        if isinstance(message, VoteRequest):
            self._on_vote_request(message)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(message)
        elif message.term < self.term:
            if isinstance(message, Append | InstallSnapshot):  # informs a former leader of the later term
                self.send(AppendReply(self.node_id, message.source, self.term, False, 0, message.round))
        elif isinstance(message, AppendReply):
            self._on_append_reply(message)
        elif isinstance(message, Append | InstallSnapshot):
            self._on_leader_message(message)
        elif isinstance(message, TimeoutNow) and message.term == self.term and message.source == self.leader:
            self.campaign(transfer=True)

    def send(self, message: Message) -> None:
        """Adds a message to the next Ready."""
        self.next_ready.messages.append(message)

    # Followers

    def _on_leader_message(self, message: Append | InstallSnapshot) -> None:
        if self.is_leader and message.term == self.term:
            return  # a term has at most one leader, so a correct node never sends this
        self.become_follower(message.term, message.source)
        if isinstance(message, Append):
            self._on_append(message)
        else:
            self._on_install_snapshot(message)

    def _on_append(self, append: Append) -> None:
        try:
            matches = self.log.term_at(append.prev_index) == append.prev_term
        except CompactedError:
            # The snapshot contains only committed entries, so it matches the leader's log.
            self._reply_to_append(append, True, self.log.snapshot.index)
            return
        if not matches:
            self._reply_to_append(append, False, min(append.prev_index - 1, self.log.last_index))
            return
        first_new_index = self.log.append(append.entries)
        if first_new_index is not None:
            assert first_new_index > self.commit_index, "an append would truncate a committed entry"
            self._stage_entries(self.log.entries_between(first_new_index, self.log.last_index))
        match_index = append.prev_index + len(append.entries)
        self.commit_index = max(self.commit_index, min(append.commit, match_index))
        self._reply_to_append(append, True, match_index)

    def _reply_to_append(self, request: Append | InstallSnapshot, ok: bool, match: int) -> None:
        self.send(AppendReply(self.node_id, request.source, self.term, ok, match, request.round))

    def _on_install_snapshot(self, install: InstallSnapshot) -> None:
        self.restore(install.snapshot)
        self._reply_to_append(install, True, max(install.snapshot.index, self.commit_index))

    def restore(self, snapshot: Snapshot) -> None:
        """Installs a snapshot from any node if it is newer; all entries in a snapshot are committed."""
        if snapshot.index > self.commit_index:
            self._raise_term(snapshot.term)
            self.log.install(snapshot)
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            # The remaining entries are written again, as the snapshot replaces the log file.
            self.next_ready.snapshot = snapshot
            self.next_ready.entries = list(self.log.entries)

    def append_committed(self, entries: Sequence[Entry]) -> None:
        """Appends committed entries that were fetched from a voter.

        Does nothing if the new entries don't directly follow the commit index. Raises ProposalRejectedError
        if their indexes are not consecutive.
        """
        new_entries = [entry for entry in entries if entry.index > self.commit_index]
        if not new_entries or new_entries[0].index != self.commit_index + 1 or self.is_leader:
            return
        if any(entry.index != new_entries[0].index + position for position, entry in enumerate(new_entries)):
            raise ProposalRejectedError(
                f"the {len(new_entries)} fetched entries from index {new_entries[0].index}"
                f" to {new_entries[-1].index} are not consecutive"
            )
        self._raise_term(new_entries[-1].term)
        first_new_index = self.log.append(new_entries)
        if first_new_index is not None:
            self._stage_entries(self.log.entries_between(first_new_index, self.log.last_index))
        self.commit_index = max(self.commit_index, new_entries[-1].index)

    def _raise_term(self, term: int) -> None:
        """Raises the node's term to at least the term of its last entry.

        Otherwise a former leader of an earlier term could truncate committed entries.
        """
        if term > self.term:
            self.become_follower(term, "")

    # Leaders

    def _append_own(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._stage_entries(entries)
        self.advance_commit_index()

    def _stage_entries(self, entries: Iterable[Entry]) -> None:
        """Adds entries to the next Ready, replacing its entries from the index of the first added entry."""
        added = list(entries)
        first_index = added[0].index
        self.persisted_index = min(self.persisted_index, first_index - 1)
        remaining = [entry for entry in self.next_ready.entries if entry.index < first_index]
        self.next_ready.entries = remaining + added

    def propose(self, data: bytes) -> int:
        """Appends an entry and returns its index. Raises ProposalRejectedError."""
        if not self.is_leader:
            raise ProposalRejectedError(f"{self.node_id} is not the leader of term {self.term}")
        if self.transfer_target:
            raise ProposalRejectedError(f"the leadership is being transferred to {self.transfer_target}")
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise ProposalRejectedError(
                f"{self.log.last_index - self.commit_index} entries are not committed yet;"
                f" the maximum is {MAX_UNCOMMITTED_ENTRIES}"
            )
        entry = Entry(self.term, self.log.last_index + 1, data)
        self._append_own([entry])
        self._broadcast_append()
        return entry.index

    def propose_voters(self, voters: tuple[NodeId, ...]) -> int:
        """Adds or removes one voter (4.1) and returns the entry's index. Raises ProposalRejectedError."""
        self._check_voters_proposal(voters)
        entry = Entry(self.term, self.log.last_index + 1, voters=tuple(sorted(voters)))
        for node in voters:
            if node != self.node_id:
                self.progress.setdefault(node, Progress(self.log.last_index + 1))
        self._append_own([entry])
        self._broadcast_append()
        return entry.index

    def _check_voters_proposal(self, voters: tuple[NodeId, ...]) -> None:
        if not self.is_leader:
            raise ProposalRejectedError(f"{self.node_id} is not the leader of term {self.term}")
        if self.transfer_target:
            raise ProposalRejectedError(f"the leadership is being transferred to {self.transfer_target}")
        changed_count = len(set(voters) ^ set(self.voters))
        if changed_count != 1 or len(set(voters)) != len(voters) or not voters:
            raise ProposalRejectedError(
                f"only one voter may be added or removed at a time: {self.voters} -> {voters}"
            )
        if self.log.voters_index() > self.commit_index:
            raise ProposalRejectedError(
                f"the last change of voters, entry {self.log.voters_index()}, is not committed yet"
            )
        # Ongaro's correction of 2015 to 4.1: otherwise the majorities of two concurrent changes, proposed in
        # two terms, need not overlap.
        if self.log.term_at(self.commit_index) != self.term:
            raise ProposalRejectedError(f"no entry of term {self.term} is committed yet")

    def add_learner(self, node: NodeId) -> None:
        """Starts replicating the log to a node that does not vote."""
        if node != self.node_id:
            self.learners[node] = None
            if self.is_leader and node not in self.progress:
                self.progress[node] = Progress(self.log.last_index + 1)

    def remove_learner(self, node: NodeId) -> None:
        """Stops replicating to a learner."""
        self.learners.pop(node, None)
        if node not in self.voters:
            self.progress.pop(node, None)

    def request_read(self, read_id: int) -> None:
        """Starts a linearizable read (6.4); a Ready contains `read_id` once the leadership is confirmed.

        Raises ProposalRejectedError.
        """
        if not self.is_leader:
            raise ProposalRejectedError(f"{self.node_id} is not the leader of term {self.term}")
        if self.log.term_at(self.commit_index) != self.term:
            raise ProposalRejectedError(f"no entry of term {self.term} is committed yet")
        self.round += 1
        self.pending_reads.append(PendingRead(read_id, self.commit_index, self.round))
        self._broadcast_append()
        self._complete_reads()

    def transfer_leadership(self, node: NodeId) -> None:
        """Has another voter start an election as soon as its log is complete (3.10).

        Raises ProposalRejectedError.
        """
        if not self.is_leader:
            raise ProposalRejectedError(f"{self.node_id} is not the leader of term {self.term}")
        if node not in self.voters or node == self.node_id:
            raise ProposalRejectedError(f"{node} is not one of the other voters {self.voters}")
        self.transfer_target = node
        self.transfer_elapsed_ticks = 0
        if self.progress[node].match_index == self.log.last_index:
            self.send(TimeoutNow(self.node_id, node, self.term))
        else:
            self._send_append(node)

    def _broadcast_append(self) -> None:
        for node in list(self.progress):
            self._send_append(node)

    def _send_append(self, node: NodeId) -> None:
        """Sends a node its next entries, or the snapshot if compaction has removed those entries."""
        progress = self.progress[node]
        prev_index = progress.next_index - 1
        try:
            prev_term = self.log.term_at(prev_index)
            entries = self.log.entries_after(prev_index, MAX_APPEND_ENTRIES)
        except CompactedError:
            snapshot = self.log.snapshot
            if progress.pending_snapshot_index != snapshot.index:
                progress.pending_snapshot_index = snapshot.index
                self.send(InstallSnapshot(self.node_id, node, self.term, snapshot, self.round))
            return
        assert prev_term is not None
        commit = min(self.commit_index, prev_index + len(entries))
        self.send(Append(self.node_id, node, self.term, prev_index, prev_term, entries, commit, self.round))

    def _on_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self.become_follower(reply.term, "")
            return
        progress = self.progress.get(reply.source)
        if not self.is_leader or progress is None:
            return
        progress.is_active = True
        progress.acked_round = max(progress.acked_round, reply.round)
        if reply.ok:
            self._on_append_accepted(reply, progress)
            if not self.is_leader:
                return  # the entry that removes this node from the voters has just been committed
        elif progress.match_index <= reply.match < progress.next_index - 1:
            progress.next_index = max(progress.match_index, reply.match) + 1
            self._send_append(reply.source)
        self._complete_reads()

    def _on_append_accepted(self, reply: AppendReply, progress: Progress) -> None:
        # A delayed reply may confirm a lower index than the one already known.
        progress.match_index = max(progress.match_index, min(reply.match, self.log.last_index))
        is_behind = progress.next_index <= progress.match_index
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.pending_snapshot_index and progress.match_index >= progress.pending_snapshot_index:
            progress.pending_snapshot_index = 0
        self.advance_commit_index()
        if not self.is_leader:
            return
        if reply.source == self.transfer_target and progress.match_index == self.log.last_index:
            self.send(TimeoutNow(self.node_id, reply.source, self.term))
        elif is_behind and progress.next_index <= self.log.last_index:
            self._send_append(reply.source)

    def _match_index(self, node: NodeId) -> int:
        if node == self.node_id:
            return self.persisted_index if self.send_before_persist else self.log.last_index
        progress = self.progress.get(node)
        return progress.match_index if progress is not None else 0

    def advance_commit_index(self) -> None:
        """Commits the entries that a majority has, if the last of them is of the current term (5.4.2)."""
        if not self.is_leader:
            return
        voters = self.voters
        match_indexes = sorted(map(self._match_index, voters), reverse=True)
        index = match_indexes[self.quorum_size() - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self._broadcast_append()
            if self.node_id not in voters and self.log.voters_index() <= index:
                self.become_follower(self.term, "")  # this node has removed itself from the voters (4.2.2)

    def _complete_reads(self) -> None:
        voters = self.voters
        while self.pending_reads:
            read = self.pending_reads[0]
            acked_count = sum(
                node == self.node_id
                or (node in self.progress and self.progress[node].acked_round >= read.round)
                for node in voters
            )
            if acked_count < self.quorum_size():
                return
            self.pending_reads.pop(0)
            self.next_ready.reads.append((read.read_id, read.read_index))
