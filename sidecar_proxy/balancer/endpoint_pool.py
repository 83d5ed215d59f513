"""The index of the fleet: what one sidecar knows of each upstream, and who of them may have a send now.

No I/O and no clock but the time handed in. Every change of an upstream is told by `touch`, in O(log n); after
it the indexes agree with a plain scan of all upstreams (tests/balancer/test_endpoint_pool.py).
"""

import heapq
import math
import random
from itertools import islice

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.ordered_index import OrderedIndex, Seat, Sorted
from sidecar_proxy.balancer.subsetting import place_of

GROWTH = 0.4  # slots a round of answers moves, by the distance from the full load; 0.8 is too rash
FULL_LOAD = 0.7  # of the slow time, where slots settle: more lets crowded upstreams choke, less refuses early
FULL_SHARED = 0.85  # the same where very many sidecars share an upstream
MOST_SLOTS = 8  # times the first slots, however quick the answers
COLD_SLOTS = 8.0  # at an upstream that is nearly warm, all sidecars together; at a cold one its share of them
FEW = 4  # sidecars that share an idle upstream: few connections, each well known; 8 to 50 do a little worse
COLD_TRIES = 64
GOLDEN = 0.618033988749895  # the multiples of it lie evenly in [0, 1), however many follow on another


class ConcurrencyLimiter:
    """Outstanding sends to one upstream, or to all of them together."""

    __slots__ = ("first", "rest_until_us", "used", "window")

    def __init__(self, window: float) -> None:
        self.used = 0
        self.first = window
        self.window = window  # how many are open while all is well; below 1 the one slot rests between sends
        self.rest_until_us = 0

    def free(self, now_us: int) -> int:
        return (int(self.window) if self.window >= 1.0 else int(now_us >= self.rest_until_us)) - self.used

    def follow(self, load: float, full: float, needed: bool, floor: float, ways: float) -> None:
        step = GROWTH * (full - load) / max(self.window, 1.0)
        if step < 0.0:
            # hazard: after an outage all would rest for long, and where all are slow it only refuses more
            self.window = max(self.window * (1.0 + step), min(self.window, floor))
        elif self.window < self.first or needed:
            # hazard: slots opened without need, by many sidecars above all, choke bursts
            self.window = min(self.window + min(self.window, step * ways), MOST_SLOTS * self.first)

    def rest(self, now_us: int, busy_us: float, chance: float) -> None:
        if self.window < 1.0:
            self.rest_until_us = now_us + int(busy_us * (1.0 / self.window - 1.0) * (0.5 + chance))


class Endpoint:  # what this sidecar knows of one upstream
    __slots__ = (
        "answer_us",
        "answered_us",
        "askers",
        "counted",
        "crowd",
        "doubts",
        "entry",
        "failing",
        "kept",
        "low",
        "noted_us",
        "order",
        "ranked",
        "resting",
        "seat",
        "shelf",
        "size",
        "slots",
        "told_us",
        "turn",
        "well_us",
    )

    def __init__(self, entry: api.Upstream, order: float, opening: float) -> None:
        self.entry = entry
        self.order = order  # this sidecar's own, at random
        self.slots = ConcurrencyLimiter(1.0)  # one slot, as in the paper
        self.slots.window = opening
        self.crowd: float | None = None  # requests it holds by its last report; None = it told none
        self.told_us = 0  # when it last reported, or left a probe unanswered
        self.size = 1.0  # its weight, where weights speak of size
        self.resting = False  # as last logged
        self.failing = 0.0  # share of its last 16 attempts or so that failed
        self.answer_us = 0.0  # its answers, smoothed
        self.answered_us = 0  # when the last sent of the attempts that it has answered was sent
        self.doubts = 0  # attempts presumed lost since it last answered
        self.askers: dict[int, None] = {}  # requests that wait to hear its load, in their order
        self.kept = 0.0  # its window, while others suspect it and each send is a trial; 0 = they do not
        self.well_us = 0  # when an attempt of ours last ended well
        # kept by Fleet alone:
        self.seat: Seat[Endpoint] | None = None
        self.shelf: OrderedIndex[Endpoint] | None = None
        self.ranked = 0.0  # the failing share under which it is ranked
        self.counted = (0.0, 0)  # its size, and its start since the index began, as summed
        self.noted_us = 0  # the rest that is in the heap
        self.low = opening < 1.0  # when last touched, its window was below 1
        self.turn = 0.0  # in [0, 1): how early this sidecar is among those that its slots are dealt to, cold


class EndpointPool:
    """The upstreams that this sidecar uses, on a shelf of the warm and one of the cold."""

    def __init__(self, settings: api.Settings, home: int, now_us: int) -> None:
        self.settings = settings
        self.home = home  # the zone that is near; -1 = none
        self.few = settings.instances <= FEW  # draws go by size and open slots
        self.number = settings.self_index  # of this sidecar
        self.cold_slots = COLD_SLOTS / settings.instances
        self.dealt: dict[int, Endpoint] = {}  # cold ones with a slot of this sidecar, in time
        self.leased_slots, self.leased_us = 0.0, 0  # in place of `cold_slots`, until then
        self.base_us = now_us  # starts are summed from here, lest sums of Unix times lose digits
        self.servers: dict[int, Endpoint] = {}  # those that have something out, though not used any more, too
        self.warm: OrderedIndex[Endpoint] = OrderedIndex()  # in this sidecar's own order
        self.cold: OrderedIndex[Endpoint] = OrderedIndex()
        self.failing: Sorted[float] = Sorted()  # shares of the warm
        self.warm_size = self.cold_size = self.cold_start = 0.0
        self.moved: dict[int, None] = {}  # whose place in the order is renewed next
        self.rests: list[tuple[int, int]] = []  # a heap: until when, who
        self.warming: list[tuple[int, int]] = []  # a heap: from when warm, who

    def warmth(self, server: Endpoint, now_us: int) -> float:
        """Rule 4: the share of its capacity that an upstream surely has by now."""
        s, age_us = self.settings, now_us - server.entry.started_us
        if server.entry.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * max(0, age_us) / s.warm_up_us

    def open_slots(self, server: Endpoint, now_us: int) -> int:
        """How many more sends an upstream may have now; the one place where health lives."""
        if server.entry.state is not api.UpstreamState.READY:
            return 0  # rule 3: draining and gone upstreams get nothing from the moment we are told
        free, warmth = server.slots.free(now_us), self.warmth(server, now_us)
        if warmth >= 1.0:
            return free
        # rule 4: what is out together is what can be sent ahead of what it serves; that grows with its warmth
        most = (
            int(self.leased_slots * warmth + server.turn)
            if self.leased(now_us)
            else max(1, int(self.cold_slots * warmth))
        )
        return min(free, most - server.slots.used)

    def leased(self, now_us: int) -> bool:
        return now_us < self.leased_us

    def lease(self, share: float, until_us: int, now_us: int) -> None:
        """This sidecar's part of what cold upstreams bear, by the fleet's word. All sidecars' parts together
        are no more than the whole.
        """
        self.leased_slots, self.leased_us = COLD_SLOTS * share, until_us
        for server in self.cold.items():  # what is open grows with their warmth
            self.touch(server, now_us)

    def failing_at(self, part: int) -> float:
        """The failed share that one in `part` of the warm upstreams stays within."""
        return self.failing.at((len(self.failing) - 1) // part) if len(self.failing) else 0.0

    def key(self, server: Endpoint) -> float:
        """The place in this sidecar's own order: by chance, size, zone and open slots."""
        near = 2 if server.entry.zone == self.home else 1
        # a trial is at its usual place: an upstream that is falsely suspected would not be tried else
        return server.order / min(1.0, server.kept or server.slots.window) / server.size / near

    # Changes

    def place(self, server: Endpoint, now_us: int) -> None:
        """Put a server on the shelf that it belongs to now: its entry, size or start may have changed."""
        self.servers[server.entry.id] = server
        ready = server.entry.state is api.UpstreamState.READY
        is_warm = self.warmth(server, now_us) >= 1.0
        shelf = (self.warm if is_warm else self.cold) if ready else None
        if server.seat is not None:
            same = server.shelf is shelf and server.counted == self.sums_of(server)
            if same and server.seat.key[0] == self.key(server):
                self.touch(server, now_us)
                return
            self.remove(server)
        if shelf is None:
            return
        server.shelf = shelf
        server.seat = shelf.put(server, self.key(server), server.entry.id)
        server.counted = self.sums_of(server)
        if is_warm:
            server.ranked = server.failing
            self.failing.add(server.ranked)
            self.warm_size += server.size
        else:
            self.cold_size += server.size
            self.cold_start += server.size * server.counted[1]
            until_us = server.entry.started_us + self.settings.warm_up_us
            heapq.heappush(self.warming, (until_us, server.entry.id))
            self.deal(server)
        self.touch(server, now_us)

    def deal(self, server: Endpoint) -> None:
        """Rule 4, in a shortage: the slots that a cold upstream bears, COLD_SLOTS by its warmth, are dealt
        out by the sidecars' numbers, so that without a word between them all hold no more than that, and a
        busy one can use its own at once. What is out in a closed loop is all that a budget for a window can
        be ahead of. Hazard: so few sidecars that each has a slot at every one together pass that budget.
        """
        server.turn = (place_of(server.entry.id)[0] / 2.0**64 + self.number * GOLDEN) % 1.0
        if 1.0 - server.turn <= self.cold_slots < 1.0:
            self.dealt[server.entry.id] = server
        else:
            self.dealt.pop(server.entry.id, None)

    def sums_of(self, server: Endpoint) -> tuple[float, int]:
        return server.size, server.entry.started_us - self.base_us

    def draw(self, dice: random.Random, first: int, barred: list[Endpoint], most: float) -> Endpoint | None:
        """A free slot of the first upstreams that have one, in order: rather of those that fail at most so
        much, and of these rather of an idle one of the own zone. The barred ones are left out.
        """
        for limit in (most, math.inf) if most < math.inf else (math.inf,):
            found = self.warm.pick(dice, first, barred, limit, near=True) if self.home != -1 else None
            if found is None:
                found = self.warm.pick(dice, first, barred, limit)
            if found is not None:
                return found
        return None

    def remove(self, server: Endpoint) -> None:
        """Off its shelf; what is out to it goes on."""
        if server.seat is None:
            return
        size, start_us = server.counted
        if server.shelf is self.warm:
            self.failing.remove(server.ranked)
            self.warm_size = self.warm_size - size if len(self.warm) > 1 else 0.0
            self.warm.drop(server.seat)
        else:
            last = len(self.cold) == 1
            self.cold_size = 0.0 if last else self.cold_size - size
            self.cold_start = 0.0 if last else self.cold_start - size * start_us
            self.cold.drop(server.seat)
            self.dealt.pop(server.entry.id, None)
        server.seat = server.shelf = None

    def forget(self, server: Endpoint) -> None:
        self.remove(server)
        if self.servers.get(server.entry.id) is server:
            del self.servers[server.entry.id]
            self.moved.pop(server.entry.id, None)

    def touch(self, server: Endpoint, now_us: int) -> None:
        """Its slots or its failing share have changed."""
        seat, slots = server.seat, server.slots
        if seat is None:
            return
        if slots.window < 1.0 and slots.rest_until_us > now_us and slots.rest_until_us != server.noted_us:
            server.noted_us = slots.rest_until_us
            heapq.heappush(self.rests, (slots.rest_until_us, server.entry.id))
        if server.shelf is self.cold:
            open_now = self.open_slots(server, now_us)
            self.cold.refresh(seat, int(open_now > 0), server.size, 0.0, server.failing)
            return
        open_now = slots.free(now_us)  # those on a shelf are ready, and the warm ones stay warm
        mass = 0.0 if open_now <= 0 else server.size * open_now if self.few else 1.0
        near = mass if server.entry.zone == self.home and slots.used == 0 else 0.0
        if server.failing != server.ranked:
            self.failing.remove(server.ranked)
            self.failing.add(server.failing)
            server.ranked = server.failing
        self.warm.refresh(seat, int(open_now > 0), mass, near, server.failing)
        if slots.window < 1.0 or server.low:
            server.low = slots.window < 1.0  # only such windows count in the order
            self.moved[server.entry.id] = None

    def settle(self, now_us: int) -> None:
        """Slots whose rest is over are open again."""
        while self.rests and self.rests[0][0] <= now_us:
            server = self.servers.get(heapq.heappop(self.rests)[1])
            if server is not None:
                self.touch(server, now_us)

    def next_rest_us(self) -> int:
        """When the next slot that rests opens; 0 = none rests."""
        while self.rests:
            until_us, ident = self.rests[0]
            server = self.servers.get(ident)
            if (
                server is not None
                and server.seat is not None
                and server.slots.window < 1.0
                and (server.slots.rest_until_us == until_us)
            ):
                return until_us
            heapq.heappop(self.rests)
        return 0

    def renew(self, now_us: int) -> None:
        """Bring the order up to date, and who has warmed up: for those alone that have changed."""
        while self.warming and self.warming[0][0] <= now_us:
            server = self.servers.get(heapq.heappop(self.warming)[1])
            if server is not None and server.seat is not None:
                self.place(server, now_us)
        moved, self.moved = self.moved, {}
        for ident in moved:
            server = self.servers.get(ident)
            if server is not None and server.seat is not None:
                self.place(server, now_us)

    def count_slots(self, sharing: float, number: int, now_us: int) -> None:
        """How many sidecars share an upstream, and which of them this is. Draws of few go by size and slots;
        where that changes, all weights are renewed.
        """
        few, cold_slots = sharing <= FEW, COLD_SLOTS / sharing
        if (cold_slots, number) != (self.cold_slots, self.number):
            self.cold_slots, self.number = cold_slots, number
            for server in self.cold.items():
                self.deal(server)
        if few is not self.few:
            self.few = few
            for server in list(self.servers.values()):
                self.touch(server, now_us)

    # Questions

    def spare(self, dice: random.Random, barred: list[Endpoint], most: float, now_us: int) -> Endpoint | None:
        """A free one of this sidecar's own slots at cold upstreams that fail at most so much."""
        if self.leased(now_us):
            return self.cold.any_open(dice, most)
        found = [
            one
            for one in self.dealt.values()
            if self.cold_slots * self.warmth(one, now_us) + one.turn >= 1.0
            and one.failing <= most
            and one not in barred
            and self.open_slots(one, now_us) > 0
        ]
        return dice.choice(found) if found else None

    def first_open(self, first: int, barred: list[Endpoint], most: float, wanted: int) -> list[Endpoint]:
        """Of the first open ones some few that fail at most so much, in order."""
        return list(
            islice((seat.item for seat in self.warm.walk(first, most) if seat.item not in barred), wanted)
        )

    def cold_shares(self, now_us: int) -> float:
        """Size times warmth of all that are cold, in one step: each grows alike with time."""
        s = self.settings
        if not len(self.cold):
            return 0.0
        ages = (now_us - self.base_us) * self.cold_size - self.cold_start
        shares = s.cold_share * self.cold_size + (1.0 - s.cold_share) * ages / max(1, s.warm_up_us)
        return min(self.cold_size, max(s.cold_share * self.cold_size, shares))

    def as_many_warm(self, now_us: int) -> float:
        """How many warm upstreams would serve what all do now, at the least."""
        share = self.cold_shares(now_us) / self.cold_size if self.cold_size > 0.0 else 0.0
        return len(self.warm) + share * len(self.cold)

    def cold_by_share(self, dice: random.Random, now_us: int) -> Endpoint | None:
        """One of the cold by size times warmth: drawn by size, taken by warmth. None if chance takes none of
        many, which is the careful side.
        """
        for _ in range(COLD_TRIES):
            seat = self.cold.weighted(dice.random() * self.cold.root.total, near=False)
            if seat is not None and dice.random() < self.warmth(seat.item, now_us):
                return seat.item
        return None
