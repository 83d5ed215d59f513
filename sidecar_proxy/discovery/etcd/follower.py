"""Following a prefix of etcd's, as a state machine: answers and the time in, actions out. No I/O.

List the prefix at one revision, page by page; watch from the next one; after a break watch on from the last
revision that was heard. A list is made anew only where the watch can't go on: the revisions between have been
compacted, or it is another cluster (Watch API, "Watch streams"). Of a member that has less than was heard
before nothing is taken.

A watch is checked as it begins and ever after: its progress is asked for, and beside it a linearizable read
(KV API, Range), whose answer says how far the cluster is. Who answers neither in time, or tells less on the
watch than the read has shown, is left: it may be cut off, or far behind. So what is written is heard within
ASK_US + ANSWER_US and a dial of it, while one of the members that are dialled next is well. Times are
microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from sidecar_proxy.balancer.events import UpstreamState
from sidecar_proxy.discovery.etcd import api_pb2 as pb
from sidecar_proxy.discovery.model import Entry, EntryError, parse, short
from sidecar_proxy.grpc.status import Code

MOST_KEYS = 50_000  # of a prefix
PAGE = 1000  # keys of one answer to a list
DIAL_US = 1_000_000  # from the dial to the first answer
LIST_US = 5_000_000  # for one page
ASK_US = 700_000  # from one check of a watch to the next
ANSWER_US = 600_000  # for the answers to a check, and for a member that is behind to catch up
FIRST_WAIT_US = 50_000  # between two tries; doubled, and drawn from the upper half of it
# hazard: what is written just after etcd is back waits so long for its reader, and a dial more
LONGEST_WAIT_US = 1_500_000
GONE = UpstreamState.GONE


@dataclass(slots=True, frozen=True)
class Dial:
    """Open a connection to the endpoint of this number; `connected` or `failed` follows."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class Authenticate:
    """SendRange for a token; `authenticated` or `failed` follows."""


@dataclass(slots=True, frozen=True)
class SendRange:
    """A Range call; `range_received` or `failed` follows."""

    request: pb.RangeRequest


@dataclass(slots=True, frozen=True)
class SendWatch:
    """The first request of a new watch stream, or a further one on it; `watched` follows, often."""

    request: pb.WatchRequest


@dataclass(slots=True, frozen=True)
class Drop:
    """Close the connection, and with it all calls; nothing follows."""


@dataclass(slots=True, frozen=True)
class Listed:
    """The whole prefix at a revision."""

    epoch: str
    revision: int
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Changed:
    """What one revision changed, in order; None = deleted."""

    epoch: str
    revision: int
    changes: tuple[tuple[str, Entry | None], ...]


@dataclass(slots=True, frozen=True)
class Complain:
    """For the log."""

    text: str


Action = Dial | Authenticate | SendRange | SendWatch | Drop | Listed | Changed | Complain
PROGRESS = SendWatch(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))


def end_of(prefix: bytes) -> bytes:
    """The first key behind all that begin with the prefix (KV API, `range_end`)."""
    cut = prefix.rstrip(b"\xff")
    return cut[:-1] + bytes([cut[-1] + 1]) if cut else b"\0"


class EtcdFollower:
    """One prefix, over several members."""

    def __init__(self, prefix: str, endpoints: int, auth: bool, dice: random.Random) -> None:
        self.prefix = prefix.encode()
        self.end = end_of(self.prefix)
        self.auth = auth
        self.dice = dice
        self.order = dice.sample(range(endpoints), endpoints)  # hazard: all sidecars at the first one
        self.at = 0
        self.state = "idle"  # dial, auth, list, watch, wait
        self.due_us = 0  # when `tick` has something to do
        self.failed_tries = 0  # that failed since something was last heard
        self.epoch = ""
        self.revision = -1  # all up to it has been told
        self.must_list = True
        self.limit = PAGE
        self.pages: dict[str, Entry] = {}  # of the list that is being read
        self.read = 0  # keys of it so far
        self.pinned = 0  # its revision
        self.pinned_epoch = ""
        self.events: list[pb.Event] = []  # of a fragmented answer
        self.check_us = 0  # when the watch is checked next
        self.answer_us = 0  # till when the last check is to be answered
        self.is_watch_unanswered = self.is_read_unanswered = (
            False  # the watch, and the read beside it, since the last check
        )
        self.behind_us = 0  # since when the member has told less than there is; 0 = it has not
        self.wanted = 0  # the revision that it is to tell
        self.good: dict[str, Entry] = {}  # the last good value of each node

    # What happens

    def start(self, now_us: int) -> list[Action]:
        return self.dial(now_us)

    def connected(self, now_us: int) -> list[Action]:
        """The connection stands."""
        if self.state != "dial":
            return []
        if self.auth:
            self.state, self.due_us = "auth", now_us + DIAL_US
            return [Authenticate()]
        return self.begin(now_us)

    def authenticated(self, now_us: int) -> list[Action]:
        return self.begin(now_us) if self.state == "auth" else []

    def read_at(self, now_us: int, answer: pb.RangeResponse) -> list[Action]:
        """The answer to the read beside a watch: how far the cluster is."""
        self.is_read_unanswered = False
        if str(answer.header.cluster_id) != self.epoch:
            return [Complain("it is another cluster: listed anew"), *self.relist(now_us)]
        if self.behind_us or answer.header.revision <= self.revision:
            return []
        self.fall_behind(now_us, answer.header.revision)
        return [PROGRESS]

    def fall_behind(self, now_us: int, wanted: int) -> None:
        self.behind_us, self.wanted = now_us, wanted
        self.due_us = min(self.due_us, now_us + ANSWER_US)

    def range_received(self, now_us: int, answer: pb.RangeResponse) -> list[Action]:
        if self.state == "watch":
            return self.read_at(now_us, answer)
        if self.state != "list":
            return []
        epoch, revision = str(answer.header.cluster_id), answer.header.revision
        if epoch == self.epoch and revision < self.revision:
            return self.fail(now_us, f"a member at revision {revision}, after {self.revision}")
        if self.read and epoch != self.pinned_epoch:
            return self.fail(now_us, "another cluster in the middle of a list")
        if not self.read:
            self.pinned, self.pinned_epoch = revision, epoch
        self.read += len(answer.kvs)
        found: list[Action] = []
        if self.read > MOST_KEYS:
            return self.fail(now_us, f"over {MOST_KEYS} keys")
        for kv in answer.kvs:
            entry = self.entry(kv, found)
            if entry is not None:
                self.pages[entry.name] = entry
        if answer.more and answer.kvs:
            self.due_us = now_us + LIST_US
            return [*found, self.page(answer.kvs[-1].key + b"\0", self.pinned)]
        self.good, self.pages = self.pages, {}
        self.epoch, self.revision, self.must_list, self.limit = epoch, self.pinned, False, PAGE
        entries = tuple(self.good.values())
        return [Listed(epoch, self.pinned, entries), *found, *self.watch(now_us)]

    def watched(self, now_us: int, answer: pb.WatchResponse) -> list[Action]:
        if self.state != "watch":
            return []
        self.is_watch_unanswered = False
        if answer.compact_revision > 0:
            text = f"compacted up to revision {answer.compact_revision}, after {self.revision}: listed anew"
            return [Complain(text), *self.relist(now_us)]
        if answer.canceled:
            return self.fail(now_us, f"the watch was cancelled: {short(answer.cancel_reason)}")
        if answer.header.cluster_id and str(answer.header.cluster_id) != self.epoch:
            return [Complain("it is another cluster: listed anew"), *self.relist(now_us)]
        self.failed_tries = 0
        found: list[Action] = []
        self.events.extend(answer.events)
        if not answer.fragment:  # all of a revision is told together
            events, self.events = self.events, []
            for revision, group in groupby(events, key=lambda event: event.kv.mod_revision):
                if revision > self.revision:
                    found.append(self.changed(revision, list(group), found))
                    self.revision = revision
            if not events and not answer.created and answer.header.revision > self.revision:
                self.revision = answer.header.revision  # progress: nothing of ours has changed up to it
        if answer.header.revision >= max(self.revision, self.wanted):
            self.behind_us = self.wanted = 0
        elif self.behind_us == 0:
            self.fall_behind(now_us, self.revision)
        return found

    def failed(self, now_us: int, why: str, code: Code | None = None) -> list[Action]:
        """A call, a dial or the connection has ended. The code is a call's, if it has one."""
        if self.state in ("idle", "wait"):
            return []
        if code is Code.OUT_OF_RANGE and self.state == "list":
            self.must_list = True  # its pages were compacted meanwhile
        if code is Code.RESOURCE_EXHAUSTED and self.state == "list":
            self.limit = max(1, self.limit // 4)  # hazard: values of a MB by the hundred in one answer
        return self.fail(now_us, why)

    def tick(self, now_us: int) -> list[Action]:
        """Something may be due."""
        if now_us < self.due_us:
            return []
        if self.state == "wait":
            return self.dial(now_us)
        if self.state == "watch":
            if (self.is_watch_unanswered or self.is_read_unanswered) and now_us >= self.answer_us:
                return self.fail(
                    now_us, "silence" if self.is_watch_unanswered else "a read that is not answered"
                )
            if self.behind_us and now_us - self.behind_us >= ANSWER_US:
                return self.fail(now_us, f"a member that stays behind revision {self.wanted}")
            return self.check(now_us, PROGRESS) if now_us >= self.check_us else self.wait(now_us)
        return self.fail(now_us, "no answer in time") if self.state != "idle" else []

    # What follows

    def dial(self, now_us: int) -> list[Action]:
        self.state, self.due_us = "dial", now_us + DIAL_US
        return [Dial(self.order[self.at])]

    def begin(self, now_us: int) -> list[Action]:
        return self.list_all(now_us) if self.must_list else self.watch(now_us)

    def list_all(self, now_us: int) -> list[Action]:
        self.state, self.due_us = "list", now_us + LIST_US
        self.pages, self.read, self.events = {}, 0, []
        return [self.page(self.prefix, 0)]

    def page(self, key: bytes, revision: int) -> SendRange:
        # linearizable: a member that is cut off from the others can't answer it
        return SendRange(pb.RangeRequest(key=key, range_end=self.end, limit=self.limit, revision=revision))

    def relist(self, now_us: int) -> list[Action]:
        """On a connection of its own: the watch stream may hold more of what is of no use now."""
        self.must_list = True
        return [Drop(), *self.dial(now_us)]

    def watch(self, now_us: int) -> list[Action]:
        self.state, self.behind_us, self.wanted, self.events = "watch", 0, 0, []
        return self.check(
            now_us,
            SendWatch(
                pb.WatchRequest(
                    create_request=pb.WatchCreateRequest(
                        key=self.prefix,
                        range_end=self.end,
                        start_revision=self.revision + 1,
                        progress_notify=True,
                        fragment=True,
                    )
                )
            ),
        )

    def check(self, now_us: int, asked: SendWatch) -> list[Action]:
        """Something that the watch answers at once, and a read that only a member in touch can answer."""
        self.is_watch_unanswered = self.is_read_unanswered = True
        self.check_us, self.answer_us = now_us + ASK_US, now_us + ANSWER_US
        self.wait(now_us)
        return [asked, SendRange(pb.RangeRequest(key=self.prefix, count_only=True))]

    def wait(self, now_us: int) -> list[Action]:
        times = [self.check_us]
        if self.is_watch_unanswered or self.is_read_unanswered:
            times.append(self.answer_us)
        if self.behind_us:
            times.append(self.behind_us + ANSWER_US)
        self.due_us = max(now_us + 1, min(times))
        return []

    def fail(self, now_us: int, why: str) -> list[Action]:
        """The next member, after a while."""
        self.at = (self.at + 1) % len(self.order)
        wait_us = min(FIRST_WAIT_US << min(self.failed_tries, 20), LONGEST_WAIT_US)
        self.failed_tries += 1
        self.state = "wait"
        self.due_us = now_us + int(wait_us * (0.5 + self.dice.random() / 2))
        self.pages, self.read, self.events = {}, 0, []
        return [Drop(), Complain(why)]

    def changed(self, revision: int, events: Sequence[pb.Event], found: list[Action]) -> Changed:
        changes: list[tuple[str, Entry | None]] = []
        for event in events:
            name = self.name(event.kv.key)
            if event.type == pb.Event.DELETE:
                self.good.pop(name, None)
                changes.append((name, None))
                continue
            entry = self.entry(event.kv, found)
            if entry is not None:
                self.good[name] = entry
                changes.append((name, entry))
        return Changed(self.epoch, revision, tuple(changes))

    def entry(self, kv: pb.KeyValue, found: list[Action]) -> Entry | None:
        """What a key holds; where that can't be used, what it last held that could."""
        name = self.name(kv.key)
        try:
            return parse(name, kv.value)
        except EntryError as error:
            found.append(Complain(str(error)))
            return self.good.get(name)

    def name(self, key: bytes) -> str:
        return key[len(self.prefix) :].decode("utf-8", "backslashreplace")
