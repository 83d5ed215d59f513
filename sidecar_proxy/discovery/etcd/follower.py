"""Follows a key prefix of etcd, as a state machine: answers and the time in, actions out. No I/O.

The follower lists the prefix at one revision, page by page, and watches it from the next revision. After a
failure the watch resumes from the last revision received. The prefix is listed again only if the watch can't
resume: the revisions in between were compacted, or it is another cluster (Watch API, "Watch streams").
Answers of a member that is at an older revision than the one already received are ignored.

A watch is checked when it starts and regularly after that: the follower requests a progress notification and
makes a linearizable read (KV API, Range), whose answer has the current revision of the cluster. A member that
doesn't answer both in time, or whose watch stays behind the revision of the read, may be cut off or far
behind, and the follower dials the next member. So a write is received within CHECK_INTERVAL_US +
CHECK_TIMEOUT_US and one dial, as long as one of the members dialled next is healthy.

Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.discovery.model import EndpointEntry, EntryError, parse_entry, shorten
from sidecar_proxy.grpc.status import Code

MAX_KEYS = 50_000  # maximum number of keys under the prefix
PAGE_KEYS = 1000  # keys in one page of a list
DIAL_TIMEOUT_US = 1_000_000  # maximum time for a dial, and for the answer to an authentication
LIST_TIMEOUT_US = 5_000_000  # maximum time for one page of a list
CHECK_INTERVAL_US = 700_000  # interval between two checks of a watch
# Maximum time for the answers to a check, and for a member that is behind to catch up.
CHECK_TIMEOUT_US = 600_000
# Backoff after the first failed try, doubled with each further one; the delay is drawn from its upper half.
MIN_BACKOFF_US = 50_000
# Together with one dial, the longest delay until a write is received that is made just after etcd is back.
MAX_BACKOFF_US = 1_500_000
GONE = UpstreamState.GONE


@dataclass(slots=True, frozen=True)
class Dial:
    """Open a connection to the endpoint with this number; `connected` or `failed` follows."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Authenticate:
    """Request a token; `authenticated` or `failed` follows."""


@dataclass(slots=True, frozen=True)
class SendRange:
    """Make a Range call; `range_received` or `failed` follows."""

    request: pb.RangeRequest


@dataclass(slots=True, frozen=True)
class SendWatch:
    """Send the first request of a new watch stream, or a further one on it.

    `watch_received` follows any number of times.
    """

    request: pb.WatchRequest


@dataclass(slots=True, frozen=True)
class CloseConnection:
    """Close the connection and with it all calls; nothing follows."""


@dataclass(slots=True, frozen=True)
class ListRead:
    """Report the complete prefix at a revision."""

    epoch: str
    revision: int
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True, frozen=True)
class RevisionRead:
    """Report what one revision has changed, in order; None = deleted."""

    epoch: str
    revision: int
    changes: tuple[tuple[str, EndpointEntry | None], ...]


@dataclass(slots=True, frozen=True)
class LogWarning:
    """Log a warning."""

    text: str


Action = Dial | Authenticate | SendRange | SendWatch | CloseConnection | ListRead | RevisionRead | LogWarning
PROGRESS_REQUEST = SendWatch(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))


def range_end_of(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with the prefix (KV API, `range_end`)."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes([stem[-1] + 1]) if stem else b"\0"


class EtcdFollower:
    """Follows one prefix, over several members of a cluster."""

    def __init__(self, prefix: str, endpoints: int, auth: bool, rng: random.Random) -> None:
        self.prefix = prefix.encode()
        self.range_end = range_end_of(self.prefix)
        self.auth = auth
        self.rng = rng
        # Members in the order of dials, shuffled so that not all sidecars connect to the first one.
        self.dial_order = rng.sample(range(endpoints), endpoints)
        self.dial_position = 0
        self.state = "idle"  # one of idle, dial, auth, list, watch and wait
        self.due_us = 0  # time of the next `tick`
        self.failed_tries = 0  # failed tries since a watch last received an answer
        self.epoch = ""
        self.revision = -1  # the last revision that is completely received
        self.must_list = True
        self.page_limit = PAGE_KEYS
        self.listed_entries: dict[str, EndpointEntry] = {}  # valid entries of the list in progress, by name
        self.listed_keys = 0  # number of keys of the list in progress
        self.list_revision = 0
        self.list_epoch = ""
        self.events: list[pb.Event] = []  # events of a fragmented answer that is incomplete
        self.next_check_us = 0
        self.check_deadline_us = 0  # time by which the last check has to be answered
        # Whether the last check is still unanswered: on the watch, and by the read.
        self.is_watch_unanswered = self.is_read_unanswered = False
        self.behind_since_us = (
            0  # time since which the watch has been behind the cluster; 0 = it is not behind
        )
        self.expected_revision = 0  # the revision that the watch has to reach
        self.last_valid: dict[str, EndpointEntry] = {}  # the last valid value of each endpoint

    # Inputs

    def start(self, now_us: int) -> list[Action]:
        """Start to follow the prefix."""
        return self.dial(now_us)

    def connected(self, now_us: int) -> list[Action]:
        """Continue after a dial has succeeded."""
        if self.state != "dial":
            return []
        if self.auth:
            self.state, self.due_us = "auth", now_us + DIAL_TIMEOUT_US
            return [Authenticate()]
        return self.list_or_watch(now_us)

    def authenticated(self, now_us: int) -> list[Action]:
        """Continue after a token has been received."""
        return self.list_or_watch(now_us) if self.state == "auth" else []

    def check_read_received(self, now_us: int, answer: pb.RangeResponse) -> list[Action]:
        """Handle the answer to the read of a check, which has the current revision of the cluster."""
        self.is_read_unanswered = False
        if str(answer.header.cluster_id) != self.epoch:
            return [LogWarning("cluster id has changed; listing the prefix again"), *self.relist(now_us)]
        if self.behind_since_us or answer.header.revision <= self.revision:
            return []
        self.expect_revision(now_us, answer.header.revision)
        return [PROGRESS_REQUEST]

    def expect_revision(self, now_us: int, revision: int) -> None:
        """Record that the watch is behind the cluster, and wait for it to reach this revision."""
        self.behind_since_us, self.expected_revision = now_us, revision
        self.due_us = min(self.due_us, now_us + CHECK_TIMEOUT_US)

    def range_received(self, now_us: int, answer: pb.RangeResponse) -> list[Action]:
        """Handle the answer to a Range call: a page of the list, or the read of a check."""
        if self.state == "watch":
            return self.check_read_received(now_us, answer)
        if self.state != "list":
            return []
        epoch, revision = str(answer.header.cluster_id), answer.header.revision
        if epoch == self.epoch and revision < self.revision:
            return self.fail(
                now_us, f"member is at revision {revision}, but revision {self.revision} was received before"
            )
        if self.listed_keys and epoch != self.list_epoch:
            return self.fail(now_us, "cluster id has changed between two pages of a list")
        if not self.listed_keys:
            self.list_revision, self.list_epoch = revision, epoch
        self.listed_keys += len(answer.kvs)
        warnings: list[Action] = []
        if self.listed_keys > MAX_KEYS:
            return self.fail(now_us, f"prefix has more than {MAX_KEYS} keys")
        for kv in answer.kvs:
            entry = self.parse_value(kv, warnings)
            if entry is not None:
                self.listed_entries[entry.name] = entry
        if answer.more and answer.kvs:
            self.due_us = now_us + LIST_TIMEOUT_US
            return [*warnings, self.request_page(answer.kvs[-1].key + b"\0", self.list_revision)]
        self.last_valid, self.listed_entries = self.listed_entries, {}
        self.epoch, self.revision, self.must_list, self.page_limit = (
            epoch,
            self.list_revision,
            False,
            PAGE_KEYS,
        )
        entries = tuple(self.last_valid.values())
        return [ListRead(epoch, self.list_revision, entries), *warnings, *self.watch(now_us)]

    def watch_received(self, now_us: int, answer: pb.WatchResponse) -> list[Action]:
        """Handle an answer on the watch stream."""
        if self.state != "watch":
            return []
        self.is_watch_unanswered = False
        if answer.compact_revision > 0:
            text = (
                f"revisions up to {answer.compact_revision} were compacted, received up to {self.revision}; "
                "listing the prefix again"
            )
            return [LogWarning(text), *self.relist(now_us)]
        if answer.canceled:
            return self.fail(now_us, f"watch cancelled by the member: {shorten(answer.cancel_reason)}")
        if answer.header.cluster_id and str(answer.header.cluster_id) != self.epoch:
            return [LogWarning("cluster id has changed; listing the prefix again"), *self.relist(now_us)]
        self.failed_tries = 0
        actions: list[Action] = []
        self.events.extend(answer.events)
        if not answer.fragment:  # all events of a revision are reported together
            events, self.events = self.events, []
            for revision, group in groupby(events, key=lambda event: event.kv.mod_revision):
                if revision > self.revision:
                    actions.append(self.read_revision(revision, list(group), actions))
                    self.revision = revision
            if not events and not answer.created and answer.header.revision > self.revision:
                self.revision = answer.header.revision  # progress notification: no changes up to here
        if answer.header.revision >= max(self.revision, self.expected_revision):
            self.behind_since_us = self.expected_revision = 0
        elif self.behind_since_us == 0:
            self.expect_revision(now_us, self.revision)
        return actions

    def failed(self, now_us: int, reason: str, code: Code | None = None) -> list[Action]:
        """Handle the failure of a call, a dial or the connection; `code` is the status of a call, if any."""
        if self.state in ("idle", "wait"):
            return []
        if code is Code.OUT_OF_RANGE and self.state == "list":
            self.must_list = True  # the revision of the list was compacted between two pages
        if code is Code.RESOURCE_EXHAUSTED and self.state == "list":
            # The page was too large: values of a megabyte, by the hundred in one answer.
            self.page_limit = max(1, self.page_limit // 4)
        return self.fail(now_us, reason)

    def tick(self, now_us: int) -> list[Action]:
        """Perform the due step: dial again, check the watch, or give up a member that doesn't answer."""
        if now_us < self.due_us:
            return []
        if self.state == "wait":
            return self.dial(now_us)
        if self.state == "watch":
            if (self.is_watch_unanswered or self.is_read_unanswered) and now_us >= self.check_deadline_us:
                return self.fail(
                    now_us,
                    "no answer on the watch in time"
                    if self.is_watch_unanswered
                    else "no answer to the read of a check in time",
                )
            if self.behind_since_us and now_us - self.behind_since_us >= CHECK_TIMEOUT_US:
                return self.fail(now_us, f"watch stays behind revision {self.expected_revision}")
            return (
                self.check(now_us, PROGRESS_REQUEST)
                if now_us >= self.next_check_us
                else self.schedule(now_us)
            )
        return self.fail(now_us, "no answer in time") if self.state != "idle" else []

    # Steps

    def dial(self, now_us: int) -> list[Action]:
        """Dial the current member."""
        self.state, self.due_us = "dial", now_us + DIAL_TIMEOUT_US
        return [Dial(self.dial_order[self.dial_position])]

    def list_or_watch(self, now_us: int) -> list[Action]:
        """List the prefix, or resume the watch."""
        return self.list_all(now_us) if self.must_list else self.watch(now_us)

    def list_all(self, now_us: int) -> list[Action]:
        """Request the first page of a list."""
        self.state, self.due_us = "list", now_us + LIST_TIMEOUT_US
        self.listed_entries, self.listed_keys, self.events = {}, 0, []
        return [self.request_page(self.prefix, 0)]

    def request_page(self, key: bytes, revision: int) -> SendRange:
        """Return the request of a page that starts at this key; revision 0 is the current one.

        The read is linearizable, so a member that is cut off from the cluster can't answer it.
        """
        return SendRange(
            pb.RangeRequest(key=key, range_end=self.range_end, limit=self.page_limit, revision=revision)
        )

    def relist(self, now_us: int) -> list[Action]:
        """List again on a new connection: the old watch stream may still deliver outdated events."""
        self.must_list = True
        return [CloseConnection(), *self.dial(now_us)]

    def watch(self, now_us: int) -> list[Action]:
        """Start a watch from the revision after the last one received."""
        self.state, self.behind_since_us, self.expected_revision, self.events = "watch", 0, 0, []
        return self.check(
            now_us,
            SendWatch(
                pb.WatchRequest(
                    create_request=pb.WatchCreateRequest(
                        key=self.prefix,
                        range_end=self.range_end,
                        start_revision=self.revision + 1,
                        progress_notify=True,
                        fragment=True,
                    )
                )
            ),
        )

    def check(self, now_us: int, watch_request: SendWatch) -> list[Action]:
        """Check the member: a watch request that it answers at once, and a linearizable read."""
        self.is_watch_unanswered = self.is_read_unanswered = True
        self.next_check_us, self.check_deadline_us = now_us + CHECK_INTERVAL_US, now_us + CHECK_TIMEOUT_US
        self.schedule(now_us)
        return [watch_request, SendRange(pb.RangeRequest(key=self.prefix, count_only=True))]

    def schedule(self, now_us: int) -> list[Action]:
        """Set the time of the next `tick` of a watch."""
        times = [self.next_check_us]
        if self.is_watch_unanswered or self.is_read_unanswered:
            times.append(self.check_deadline_us)
        if self.behind_since_us:
            times.append(self.behind_since_us + CHECK_TIMEOUT_US)
        self.due_us = max(now_us + 1, min(times))
        return []

    def fail(self, now_us: int, reason: str) -> list[Action]:
        """Close the connection, and dial the next member after an exponential backoff with jitter."""
        self.dial_position = (self.dial_position + 1) % len(self.dial_order)
        backoff_us = min(MIN_BACKOFF_US << min(self.failed_tries, 20), MAX_BACKOFF_US)
        self.failed_tries += 1
        self.state = "wait"
        self.due_us = now_us + int(backoff_us * (0.5 + self.rng.random() / 2))
        self.listed_entries, self.listed_keys, self.events = {}, 0, []
        return [CloseConnection(), LogWarning(reason)]

    def read_revision(
        self, revision: int, events: Sequence[pb.Event], warnings: list[Action]
    ) -> RevisionRead:
        """Parse the events of one revision; append a warning for each value that can't be used."""
        changes: list[tuple[str, EndpointEntry | None]] = []
        for event in events:
            name = self.name_of(event.kv.key)
            if event.type == pb.Event.DELETE:
                self.last_valid.pop(name, None)
                changes.append((name, None))
                continue
            entry = self.parse_value(event.kv, warnings)
            if entry is not None:
                self.last_valid[name] = entry
                changes.append((name, entry))
        return RevisionRead(self.epoch, revision, tuple(changes))

    def parse_value(self, kv: pb.KeyValue, warnings: list[Action]) -> EndpointEntry | None:
        """Parse the value of a key; if it can't be used, append a warning and return the last valid one."""
        name = self.name_of(kv.key)
        try:
            return parse_entry(name, kv.value)
        except EntryError as error:
            warnings.append(LogWarning(str(error)))
            return self.last_valid.get(name)

    def name_of(self, key: bytes) -> str:
        """Return the name of the endpoint that is stored under this key."""
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")
