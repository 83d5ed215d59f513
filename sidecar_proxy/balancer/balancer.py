"""All decisions of the balancer. Its interface, types, events and actions: sidecar_proxy/balancer/events.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the
ONE buffer when none is free, is refused when the buffer is taken, and is reissued through a slot.
"""

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.endpoint_pool import (
    FEW,
    FULL_LOAD,
    FULL_SHARED,
    MOST_SLOTS,
    ConcurrencyLimiter,
    Endpoint,
    EndpointPool,
)
from sidecar_proxy.balancer.subsetting import Subset
from sidecar_proxy.balancer.token_bucket import TokenBucket

MOST_AT_FIRST = 8.0  # first slots an upstream, all sidecars together: what a few cores serve within an aim
LEAST_IN_ALL = 2.0  # first slots of one sidecar at all upstreams: 3 refuse 1 in 100 less where hundreds share
# a few dozen upstreams, and choke these when most of them start anew
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
LEAST_LEARNT = 1 / 8  # what another process has learnt closes an upstream to no less
RESERVED = 3  # slots of all together that a shortage leaves to the dearest class: see `reserved`
SMALLEST_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
ASKED = 3  # free slots whose load is asked for: beyond a few, probes cost more than the better choice gains
PROBE_GAINS = 0.02  # points of the result that one probe a request can gain: dearer ones are not sent
ANYWAY = 1 / 8  # of draws are blind to who fails, else one that failed would not be seen to be well again
LOST = 3  # times its upstream's usual answer, from which one may be lost
QUICK = 0.49  # of the slow time: upstreams whose usual answer is quicker have room for more
DOUBTS = 2  # attempts presumed lost with no answer meanwhile: a few are tried on, a vanished one is not fed
MIXER = 0x9E3779B97F4A7C15  # odd and without pattern: ids and keys that differ a little end far apart
ILL = 0.2  # failed share, beyond twice that of the one in the middle, from which an upstream is ill
FRESH_US = 10_000_000  # an answer of its own outweighs for so long what other sidecars say of an upstream
BELIEVED = 0.6  # weight of what they say from which each send is a trial
TRIAL = 1 / 8  # and the window then, at most
TRIAL_US = 500_000  # between the trials of all sidecars together
MOST_TRIAL_US = 5_000_000  # one sidecar's rest before a trial, half as long again at most
SHORT_US = 3_000_000  # a shortage of its own is heeded so long
EARLY_US = 20_000  # a client may come so much sooner than it was told to
FORGIVEN = 1 / 1024  # a failed share that says nothing any more
FAILED_ONCE = 1 / 32  # one that a single failure passes
COLD_MOST = 0.8  # of the multiple at which a cold upstream falls; what is left is for chance
SUSPECT = 0.5  # failed share from which another upstream of a large fleet is used beside this one
GAP_US = 1_000_000  # at most a log line and a new own order in this: some answers of a small sidecar
FIRST_RETRY_US = 250_000  # discovery back-off starts here: long beside one call, short beside a drain
CALLERS = 8  # sidecars that may call discovery at once
CALL_US = 100_000  # for each further one, as it can take a call of each in some seconds


class Attempt:
    __slots__ = ("cold", "ended", "entry", "lost", "sent_us", "server")

    def __init__(self, server: Endpoint, now_us: int, cold: bool) -> None:
        self.server = server
        self.entry = server.entry  # as it was then
        self.sent_us = now_us
        self.ended: api.Outcome | None = None  # None while it is out
        self.lost = False  # presumed so: its slot is free again
        self.cold = cold  # its upstream was, when it was sent


class Request:
    __slots__ = ("asked", "asking", "attempts", "done", "event", "kind", "until_us")

    def __init__(self, event: api.RequestArrived, settings: api.Settings, now_us: int) -> None:
        self.event = event
        self.kind = settings.classes[event.class_index]
        # hazard: lost answers would hold their slots till due, long after they are worth anything
        aim_passes_us = now_us + self.kind.latency_objective_us - settings.tick_us
        self.until_us = event.due_us if self.kind.late_weight > 0.0 else min(event.due_us, aim_passes_us)
        self.attempts: list[Attempt] = []
        self.asking: list[Endpoint] = []  # free slots whose load it waits to hear
        self.asked: Endpoint | None = None  # the last one probed for it
        self.done = False

    def out(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].ended is None

    def first_that_may_have_run(self) -> Attempt | None:
        for attempt in self.attempts:
            if attempt.ended not in NEVER_RAN:
                return attempt
        return None


class Balancer:
    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.home = settings.zone if settings.cross_zone_fee > 0 else -1  # zones count where crossing costs
        self.now_us = now_us
        self.actions: list[api.Action] = []
        self.entries: dict[int, api.Upstream] = {}  # the list
        self.fleet = EndpointPool(
            settings, self.home, now_us
        )  # what is known of those that this sidecar uses
        self.servers = self.fleet.servers
        self.subset = Subset(
            settings.self_index,
            settings.instances,
            settings.max_upstreams,
            self.home,
            len(settings.zones) or 1,
        )
        self.sharing = float(settings.instances)  # sidecars that use the same upstreams
        self.select_soon = False  # a member of the subset is ill
        self.busiest = 0  # sends that were out together since the order was renewed
        # rule 2: where keyed work may go on; of the whole list, as the subset holds few of one cell
        self.by_cell = any(c.effect == "deduplicated" and c.group == "cell" for c in settings.classes)
        self.cells: dict[int, dict[int, None]] = {}
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.asking: dict[int, Request] = {}  # those that wait to hear the load of a few upstreams
        self.reports = (
            settings.probes and "in_flight" in settings.report_names and settings.probe_fee <= PROBE_GAINS
        )
        self.fresh_us = min(c.latency_objective_us for c in settings.classes) // 20  # a report counts so long
        self.half_aims_us = [c.latency_objective_us // 2 for c in settings.classes]
        self.quickest_us = min(self.half_aims_us)
        self.answer_us = [
            c.latency_objective_us / 3 for c in settings.classes
        ]  # a class's answers and time-outs, smoothed
        self.total = ConcurrencyLimiter(1.0)  # of all upstreams together, this sidecar's part of the fleet's
        self.cold_least = min(1.0, settings.overload_factor / 4)
        self.cold_gain = self.cold_least  # times its share by warmth: what a cold upstream gets
        self.thin = 1.0  # and this part of it, where sidecars are many for their upstreams
        self.shut = 0.0  # share of attempts that got no connection
        self.short_us = 0  # when a request last found no free slot
        self.told: api.OverloadUpdated | None = None  # what the fleet has settled on
        self.reissues, self.probes = TokenBucket(now_us), TokenBucket(now_us)
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        self.armed_us = 0  # the next timer already asked for; 0 = none
        self.sort_us = now_us  # when the own order is renewed next
        self.list_wait_us = max(FIRST_RETRY_US, settings.max_poll_interval_us // 2)  # the longest
        self.list_failures = self.ask_list_us = 0  # failed calls; when the list is asked for next, 0 = never
        spread_us = 0 if settings.is_successor else self.calls_spread_us()
        self.ask_list_at(now_us + (int(spread_us * self.random.random()) if spread_us else 0))

    @property
    def asks(self) -> bool:
        return self.reports and self.sharing > MOST_AT_FIRST  # few sidecars know the upstreams by themselves

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.now_us = now_us
        self.fleet.settle(now_us)
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived) and event.request not in self.requests:
            self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            # hazard: a stale timer that armed another would never die out
            self.armed_us = 0 if self.armed_us <= now_us else self.armed_us
            self.run_due()
        elif isinstance(event, api.RequestGone) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted) and event.request in self.requests:
            self.requests[event.request].done = True  # the answer is the client's now
        elif isinstance(event, api.UpstreamsUpdated):
            self.on_list(event)
        elif isinstance(event, api.WarmStartState):
            self.on_learnt(event)
        elif isinstance(event, api.OutlierReported) and event.upstream in self.servers:
            self.on_suspected(self.servers[event.upstream], event.weight)
        elif isinstance(event, api.OverloadUpdated):
            self.told = event
            self.reissues.fill(event.retries_per_s, now_us)
            self.probes.fill(event.probes_per_s, now_us)
            self.fleet.lease(event.budget_share, event.valid_until_us, now_us)
        elif isinstance(event, api.FleetResized):
            self.subset.number(event.self_index, event.instances)
            self.select()
        elif isinstance(event, api.ProbeEnded) and event.upstream in self.servers:
            server_told = self.servers[event.upstream]
            self.on_report(server_told, event.report)
            for ident in list(server_told.askers):
                if ident in self.asking:
                    self.choose(self.asking[ident])
        if self.select_soon:
            self.select()
        leased = self.fleet.leased(now_us)
        if self.buffer is not None and (len(self.fleet.warm) or leased):  # rule 4: cold ones once a request
            request, (server, _) = self.buffer, self.draw(self.buffer)
            if server is not None:
                self.buffer = None
                self.send(request, server)
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
        request = self.requests[event.request] = Request(event, self.settings, self.now_us)
        if self.now_us >= self.sort_us:
            self.renew()
        if self.cut(event):
            self.finish(request, shed=True)
        else:
            self.place(request)

    def as_one(self) -> api.OverloadUpdated | None:
        """What the fleet has settled on, while it counts."""
        return self.told if self.told is not None and self.now_us < self.told.valid_until_us else None

    def cut(self, event: api.RequestArrived) -> bool:
        """In a shortage of its own it sheds what all shed: who comes back too soon, and of each class the
        keys beyond the share that fits, so that a repeat meets the same verdict everywhere. Who comes back
        when it was told to goes first.
        """
        told = self.as_one()
        if told is None or self.now_us - self.short_us > SHORT_US:
            return False
        if event.retry_due_us > self.now_us + EARLY_US:
            return True
        share = (told.returning_shares if event.retry_due_us else told.admitted_shares)[event.class_index]
        mixed = ((event.key or event.request) ^ told.generation * MIXER) * MIXER >> 24
        return mixed % 2**20 >= share * 2**20

    def may_reissue(self, request: Request) -> bool:
        """The fleet's budget of them: what all repeat together must not hold the upstreams down."""
        return not request.attempts or self.as_one() is None or self.reissues.take(self.now_us)

    def place(self, request: Request) -> None:
        """Through a free slot, else into the buffer, else refused."""
        in_time = self.now_us < self.latest_start_us(request) and self.may_reissue(request)
        server, found = self.draw(request) if in_time else (None, [])
        short = server is None and in_time and self.may_send(request)
        self.short_us = self.now_us if short else self.short_us
        if (
            server is not None
            and self.asks
            and server.shelf is self.fleet.warm
            and len(self.asking) < len(self.fleet.warm)
        ):
            self.ask(request, found[:ASKED])
        elif server is not None:
            self.send(request, server)
        elif short and (self.buffer is None or self.value(request) > self.value(self.buffer)):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            holder, self.buffer = self.buffer, request
            if holder is not None:
                self.finish(holder)
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            self.finish(request)

    def ask(self, request: Request, few: list[Endpoint]) -> None:
        """Where reports come with probes, a few free slots are asked and the least crowded is taken. Guards
        against what a sidecar of little traffic cannot know: crowded, slow or hung upstreams.
        """
        request.asking = few
        self.asking[request.event.request] = request
        for server in few:
            server.askers[request.event.request] = None
        self.wake(self.now_us + self.fresh_us, "ask", request.event.request)
        self.choose(request)

    def choose(self, request: Request, wait: bool = True) -> None:
        """The first that holds nothing, asked one by one, else the least crowded; refused if that is full."""
        for server in request.asking if wait else []:
            if self.now_us - server.told_us > self.fresh_us:
                if server is not request.asked and not self.may_probe():
                    continue
                if server is not request.asked:
                    request.asked = server
                    self.actions.append(api.Probe(server.entry.id))
                return
            if self.crowd(server) < 1.0:
                break
        few = [s for s in request.asking if self.open_slots(s) > 0 and self.in_group(request, s)]
        self.stop_asking(request)
        told = [s for s in few if self.now_us - s.told_us <= self.fresh_us]  # old news refuses nothing
        costs = [
            (self.crowd(s) + few.index(s) * self.settings.key_affinity, few.index(s)) for s in told or few
        ]
        one = few[min(costs)[1]] if costs else None
        if one is None or not self.may_send(request):
            self.place(request)
        elif (
            told
            and one.crowd
            and self.crowd(one) * self.answer_us[request.event.class_index]
            > request.kind.latency_objective_us
        ):
            self.finish(request)  # hazard: queues that outlast the aim serve nobody in time
        else:
            self.send(request, one)

    def may_probe(self) -> bool:
        return self.as_one() is None or self.probes.take(self.now_us)

    def stop_asking(self, request: Request) -> None:
        self.asking.pop(request.event.request, None)
        for server in request.asking:
            server.askers.pop(request.event.request, None)

    def crowd(self, server: Endpoint) -> float:
        held = 5.0 if server.crowd is None else server.crowd  # those not known come after those known free
        return held / server.size + (self.home not in (-1, server.entry.zone))

    def on_report(self, server: Endpoint, report: list[float]) -> None:
        told = dict(zip(self.settings.report_names, report, strict=False))
        server.told_us = self.now_us
        # hazard: what fails at once holds nothing, so its errors a second count like requests held
        server.crowd = told["in_flight"] + told.get("errors_per_s", 0.0) if "in_flight" in told else None

    def value(self, request: Request) -> float:
        """The worth of a slot's time for this request."""
        return self.slot_worth(request.event.class_index)

    def slot_worth(self, class_index: int) -> float:
        priority_weight = self.settings.classes[class_index].priority_weight
        return (
            priority_weight if self.settings.weight_by_work else priority_weight / self.answer_us[class_index]
        )

    def reserved(self, request: Request) -> int:
        """Trunk reservation, as in telephony: in a shortage the last slots are the dearest class's. A few are
        nearly an absolute priority, as each slot that frees is its first; half stay for the others.
        """
        if self.now_us - self.short_us > GAP_US:
            return 0
        dearest = max(self.slot_worth(index) for index in range(len(self.answer_us)))
        few = min(RESERVED, int(self.total.window / 2))
        return few if self.value(request) < dearest else 0

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.half_aims_us[class_index]

    def latest_start_us(self, request: Request) -> int:
        """Later is not expected back in time; half the aim at most, else long outages would end all tries."""
        class_index = request.event.class_index
        return request.until_us - min(int(self.answer_us[class_index]), self.half_aim_us(class_index))

    def finish(self, request: Request, shed: bool = False) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        if request.done:
            return
        ident, kind = request.event.request, request.kind
        harmless = (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.group == "all")
        )
        self.close(request)
        # about when a slot frees: one answer's time, spread lest refused clients return together
        after_us = int(self.answer_us[request.event.class_index] * (0.5 + self.random.random()))
        told = self.as_one()
        if told is not None and told.retry_after_us:
            early_us = request.event.retry_due_us - self.now_us
            after_us = (
                early_us if early_us > 0 else int(told.retry_after_us * (1.0 + self.random.random()) / 2)
            )
        most_us = self.settings.max_retry_after_us * self.settings.retry_after
        after_us = min(after_us, most_us)
        self.actions.append(api.Refuse(ident, after_us, shed) if harmless else api.Fail(ident))

    def close(self, request: Request) -> None:
        request.done = True
        self.buffer = None if self.buffer is request else self.buffer
        self.stop_asking(request)
        if not request.out():
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: Endpoint) -> int:
        return self.fleet.open_slots(server, self.now_us)

    def judge(self, attempt: Attempt, outcome: api.Outcome, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its upstream's slots, and those of all together."""
        server, slow_us = attempt.server, self.half_aim_us(class_index)
        slots, part = server.slots, MOST_AT_FIRST / self.sharing
        # hazard: of many sidecars each has a small part in a queue, and all close slots for the same one
        full = FULL_SHARED - (FULL_SHARED - FULL_LOAD) * min(1.0, part)
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        served = outcome is api.Outcome.OK
        # hazard: what is cold is slow by nature; by the fleet's leases it can't be crowded
        warmth = self.fleet.warmth(server, self.now_us) if self.as_one() and attempt.cold else 1.0
        load = min(2.0, elapsed_us * warmth / slow_us) if served else 2.0
        needed = attempt.sent_us <= self.short_us + int(4 * slow_us * min(1.0, part))
        if outcome in (api.Outcome.OK, api.Outcome.FULL) and slots.window >= 0.5:
            # hazard: small sidecars crowd the fleet, each too seldom at one upstream to learn it; silence is
            # no sign of a crowd: it may be lost answers, and it holds its slot long enough
            floor = min(1.0, part / 4 * len(self.fleet.warm))
            # hazard: opened by quick answers while something else kept sends back (cold upstreams do), they
            # would all be used at once when that ends; as TCP validates its window (RFC 7661)
            used = needed and 2 * (self.total.used + 1 + RESERVED) >= self.total.window
            self.total.follow(load, full, used, floor, max(1.0, self.total.window))
        if outcome is not api.Outcome.NOT_SENT:
            failing = server.failing + ((0.0 if served else 1.0) - server.failing) / 16
            server.failing = failing if failing >= FORGIVEN else 0.0
        self.shut += (float(outcome is api.Outcome.CONNECT_FAILED) - self.shut) / 8
        # hazard: where later answers come, a lost one is no sign of a crowd; slots closed for it only refuse
        lost = outcome is api.Outcome.TIMEOUT and self.passed(attempt)
        if outcome in (api.Outcome.OK, api.Outcome.TIMEOUT) and not lost:
            # hazard: queues that outlast the aim serve nobody in time, however busy everyone is
            slots.follow(load, full, needed, min(1.0, part / 4), 1.0)
            self.answer_us[class_index] += (max(1, elapsed_us) - self.answer_us[class_index]) / 8
        elif outcome in (api.Outcome.FULL, api.Outcome.CONNECT_FAILED) or (self.ill(server) and not lost):
            # hazard: what fails at once frees its slot at once and so would draw ever more; yet where one in
            # 25 fails whoever it is of, to close slots for each refuses half of all
            slots.window = max(slots.window / 2, SMALLEST_WINDOW)
        for resting in (slots, self.total):
            if resting.window < 1.0:
                # hazard: beside answers of seconds, short rests leave a choked upstream crowded
                busy_us = max(min(self.answer_us[class_index], slow_us), min(elapsed_us, 2 * slow_us))
                resting.rest(self.now_us, busy_us, self.random.random())
        told = self.as_one()
        if told is not None and not served and server.failing >= SUSPECT and told.attempts_per_s > 0.0:
            # hazard: the tries of all sidecars together hold a returning upstream down
            rest_us = min(1e6 / told.attempts_per_s, MOST_TRIAL_US) * (0.5 + self.random.random())
            slots.rest_until_us = max(slots.rest_until_us, self.now_us + int(rest_us))
        if attempt.cold and outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            self.follow_cold(elapsed_us / self.answer_us[class_index])
        if served:
            server.well_us = self.now_us
            self.absolve(server)
        elif server.kept:
            self.rest_before_trial(server)
        self.fleet.touch(server, self.now_us)
        if self.subset.on and self.troubled(server) and server.entry.id not in self.subset.suspects:
            self.subset.suspect(server.entry.id, self.now_us)
            self.select_soon = True
        rests = slots.window < slots.first / (1 if server.resting else 4)
        if rests != server.resting and self.now_us >= self.next_log_us:  # else told later, if it lasts
            self.next_log_us, server.resting = self.now_us + GAP_US, rests
            self.actions.append(api.Log(f"upstream {server.entry.id} " + ("is back", "rests")[rests]))

    def follow_cold(self, late: float) -> None:
        """How long a cold upstream took, in usual answers. Of its warmth only the least is known; while it
        answers sooner than the others it has room, and gets more, until all take as long. Hazard: its answers
        are few, so those of all cold ones count together; with no warm one to go by, none does.
        """
        gain = self.cold_gain + (1.0 - min(2.0, late)) / 8 if len(self.fleet.warm) else 0.0
        self.cold_gain = max(self.cold_least, min(gain, COLD_MOST * self.settings.overload_factor))

    def on_suspected(self, server: Endpoint, weight: float) -> None:
        """Hearsay: it makes the next send a trial, after a rest by chance, so that all sidecars together try
        an upstream about as often as one would. It never closes one for good, and opens none: a trial's
        answer ends it, and who has had one lately does not listen.
        """
        if weight < BELIEVED:
            self.absolve(server)
        elif server.kept or (server.well_us and self.now_us - server.well_us < FRESH_US):
            return
        elif sum(one.kept > 0.0 for one in self.servers.values()) < max(1, len(self.fleet.warm) // 4):
            # hazard: what all see of all is no upstream's fault; held to trials, none would be left
            server.kept = server.slots.window
            server.slots.window = min(server.slots.window, TRIAL)
            self.rest_before_trial(server)
            if self.settings.probes and self.may_probe():
                self.actions.append(api.Probe(server.entry.id))
        self.fleet.touch(server, self.now_us)

    def rest_before_trial(self, server: Endpoint) -> None:
        rest_us = min(TRIAL_US * self.sharing, MOST_TRIAL_US) * (0.5 + self.random.random())
        server.slots.rest_until_us = max(server.slots.rest_until_us, self.now_us + int(rest_us))

    def absolve(self, server: Endpoint) -> None:
        if server.kept:
            server.slots.window, server.kept = max(server.slots.window, server.kept), 0.0
            server.slots.rest_until_us = self.now_us

    def ill(self, server: Endpoint) -> bool:
        """Held against the one in the middle: what fails alike everywhere is no upstream's fault, and by the
        mean half of them could fail unnoticed.
        """
        return len(self.fleet.warm) > 0 and server.failing > ILL + 2 * self.fleet.failing_at(2)

    def draw(self, request: Request) -> tuple[Endpoint | None, list[Endpoint]]:
        """A random free slot for this request, and, where load is asked for, the first few that it could be
        of; if possible of one not yet tried, and of an idle one of this zone (when busy it spills over before
        it queues).
        """
        if not self.may_send(request):
            return None, []
        if not self.asks and self.total.free(self.now_us) <= self.reserved(request):
            return self.spare_cold(request), []
        fleet, warm = self.fleet, self.fleet.warm
        blind = self.random.random() < ANYWAY
        # hazard: where a few do well, to draw the others alike loses what those could have served; when
        # single failures are chance it crowds some a little
        most = math.inf if blind else ILL / 2 + fleet.failing_at(4)
        tried = [attempt.server for attempt in request.attempts]
        # the first few in order that have a free slot, those tried among them
        asks = self.asks
        enough = math.ceil(max(FEW * len(warm) / self.sharing, ASKED * asks) + len(tried))
        group = self.group_of(request) if tried else None
        ordered = self.order(request) if self.settings.key_affinity else None
        found: list[Endpoint] = []
        if group is not None or ordered is not None:
            chosen, found = self.draw_listed(
                request, group if group is not None else ordered or [], enough, tried, most
            )
        else:
            chosen = fleet.draw(self.random, enough, tried, most)
            if chosen is None and tried:
                tried = []
                chosen = fleet.draw(self.random, enough, tried, most)
            if asks:
                found = fleet.first_open(enough, tried, most, ASKED) or fleet.first_open(
                    enough, tried, math.inf, ASKED
                )
        return (self.cold_turn(request, chosen, group) if len(fleet.cold) else chosen), found

    def draw_listed(
        self, request: Request, ordered: Iterable[Endpoint], enough: int, tried: list[Endpoint], most: float
    ) -> tuple[Endpoint | None, list[Endpoint]]:
        """The same draw from few upstreams, or where each key has an order of its own."""
        found: list[Endpoint] = []
        for server in ordered:
            if (
                self.fleet.warmth(server, self.now_us) >= 1.0
                and self.open_slots(server) > 0
                and self.in_group(request, server)
            ):
                found.append(server)
                if len(found) >= enough:
                    break
        found = [server for server in found if server not in tried] or found
        found = [server for server in found if server.failing <= most] or found
        best = [s for s in found if s.entry.zone == self.home and s.slots.used == 0] or found
        sizes = [s.size * self.open_slots(s) if self.fleet.few else 1.0 for s in best]
        return self.random.choices(best, sizes)[0] if best else None, found

    def group_of(self, request: Request) -> list[Endpoint] | None:
        """Rule 2: the upstreams that keyed work which may have run is kept to, in order; None = any."""
        first, kind = request.first_that_may_have_run(), request.kind
        if first is None or kind.effect != "deduplicated" or kind.group == "all":
            return None
        if kind.group == "zone":
            group = [one for one in self.fleet.warm.items() if one.entry.zone == first.entry.zone]
        else:
            # hazard: a subset holds few of a cell; with those alone the work would fail for want of a place
            group = [
                self.servers.get(ident) or self.new_server(self.entries[ident])
                for ident in self.cells.get(first.entry.cell, ())
            ]
        found = {server.entry.id: server for server in group}
        return [found[ident] for _, ident in sorted([(self.fleet.key(s), s.entry.id) for s in group])]

    def order(self, request: Request) -> list[Endpoint] | None:
        """This sidecar's own, told by None; where upstreams remember keys, the key's own, alike in all
        sidecars. Hazard: at connection limits it opens too many, so after failed connects the own few are
        kept to.
        """
        key = request.event.key
        if key == 0 or self.shut > 0.2:
            return None

        return sorted(self.fleet.warm.items(), key=partial(self.far, key))

    def far(self, key: int, server: Endpoint) -> float:
        """By chance, the same for all; large and near ones come sooner."""
        chance = (((key ^ server.entry.id * MIXER) * MIXER >> 24) % 2**40 + 1) / 2**40
        return -float(chance ** (1.0 / (server.size * (4 if server.entry.zone == self.home else 1))))

    def cold_turn(
        self, request: Request, warm: Endpoint | None, group: list[Endpoint] | None
    ) -> Endpoint | None:
        """Rule 4: of the sends that warm ones have room for (none warm: of arrivals) a cold one gets its
        share of capacity, by a quarter of the multiple, and more while it answers sooner than they. Hazard:
        in a shortage all would fall on it, by hundreds of sidecars.
        """
        fleet = self.fleet
        if warm is None and (len(fleet.warm) or fleet.leased(self.now_us)):
            # one out from each of a few sidecars can't choke it, unless it fails at once
            if self.sharing > FEW or fleet.leased(self.now_us):
                return self.spare_cold(request)
            if group is None:
                return fleet.cold.any_open(self.random, ILL / 2)
            open_now = [
                s for s in group if s.shelf is fleet.cold and s.failing <= ILL / 2 and self.open_slots(s) > 0
            ]
            return self.random.choice(open_now) if open_now else None
        shares = fleet.cold_shares(self.now_us)
        rest = fleet.warm_size if len(fleet.warm) else fleet.cold_size
        gain = (self.cold_gain if len(fleet.warm) else self.cold_least) * self.thin
        if self.random.random() * (rest + shares) / gain >= shares:
            return warm
        server = fleet.cold_by_share(self.random, self.now_us)
        return server if server and self.open_slots(server) > 0 and self.in_group(request, server) else warm

    def spare_cold(self, request: Request) -> Endpoint | None:
        """Hazard: where warm ones are crowded or refuse, their slots, and those of all together, close for
        what they do; cold ones beside them would stand idle. One that fails at once is no closed loop.
        """
        if not len(self.fleet.warm) and not self.fleet.leased(self.now_us):
            return None
        tried = [attempt.server for attempt in request.attempts]
        server = self.fleet.spare(self.random, tried, FAILED_ONCE, self.now_us)
        return server if server is not None and self.in_group(request, server) else None

    def renew(self) -> None:
        """Who is cold, and who is warm in this sidecar's own order; how many are used and slots are open."""
        self.sort_us = self.now_us + GAP_US
        self.fleet.renew(self.now_us)
        busiest, self.busiest = self.busiest, self.total.used
        if self.subset.on and self.subset.renewed(self.now_us, busiest):
            self.select()
        # hazard: by the warm ones alone, most slots would go when most upstreams start anew, and refuse
        wanted = MOST_AT_FIRST / self.sharing * self.fleet.as_many_warm(self.now_us)
        # hazard: so many sidecars crowd the upstreams by their first sends alone, and a cold one falls
        self.thin = min(1.0, wanted / LEAST_IN_ALL)
        first = max(LEAST_IN_ALL, wanted)
        self.total.window, self.total.first = self.total.window * first / self.total.first, first

    def select(self) -> None:
        """Renew the subset: who joins it and who leaves it."""
        self.select_soon = False
        joined, left = self.subset.select(self.now_us, self.usable)
        for ident in left:
            server = self.servers.get(ident)
            if server is not None:
                self.fleet.remove(server)
                self.release(server)
                self.actions.append(api.CloseIdle(ident))
        for ident in joined:
            self.use(self.entries[ident])
        self.sharing = self.subset.sharing()
        self.fleet.count_slots(self.sharing, self.subset.index, self.now_us)

    def usable(self, ident: int) -> bool:
        entry, server = self.entries[ident], self.servers.get(ident)
        s = self.settings
        is_warm = entry.started_us == 0 or self.now_us - entry.started_us >= s.warm_up_us
        return is_warm and (server is None or not self.troubled(server))

    def troubled(self, server: Endpoint) -> bool:
        return server.failing >= SUSPECT or (server.kept or server.slots.window) < 0.25

    def avoided(self) -> int:
        """How many of those listed get nothing now, or next to nothing."""
        ready = api.UpstreamState.READY
        return sum(entry.state is not ready for entry in self.entries.values()) + sum(
            server.entry.state is ready and server.seat is not None and self.troubled(server)
            for server in self.servers.values()
        )

    def new_server(self, entry: api.Upstream) -> Endpoint:
        # hazard: after a restart beside one other, all that came meanwhile comes at once; where all start
        # together it crowds a little, till slow answers close the second slots
        opening = 2.0 if 4 * self.subset.instances <= MOST_AT_FIRST else 1.0
        server = Endpoint(entry, self.random.expovariate(1.0), opening)
        self.learn(server, entry)
        return server

    def learn(self, server: Endpoint, entry: api.Upstream) -> None:
        if entry.started_us != server.entry.started_us:  # what its last process did says nothing now
            server.failing, server.slots.window, server.slots.rest_until_us = 0.0, 1.0, 0
            server.kept, server.well_us = 0.0, 0
        server.entry = entry
        server.size = entry.weight if self.settings.weighted and entry.weight > 0.0 else server.size

    def use(self, entry: api.Upstream) -> None:
        """An upstream that this sidecar uses is listed, or has changed."""
        server = self.servers.get(entry.id)
        if server is None:
            server = self.new_server(entry)
        else:
            self.learn(server, entry)
        self.fleet.place(server, self.now_us)

    def release(self, server: Endpoint) -> None:
        """Hazard: upstreams are replaced all day, by new ids. What is out to one is waited for."""
        unlisted = server.entry.state is api.UpstreamState.GONE
        if not server.slots.used and (unlisted or (server.seat is None and self.subset.on)):
            self.fleet.forget(server)

    def may_send(self, request: Request) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        if request.done or self.now_us >= request.until_us:
            return False
        if not request.attempts:
            return True
        first, kind = request.first_that_may_have_run(), request.kind
        if len(request.attempts) >= self.settings.max_attempts or request.out():
            return False  # one attempt at a time: second copies crowd more than they save
        return (
            first is None
            or kind.effect == "idempotent"
            or (kind.effect == "deduplicated" and self.now_us - first.sent_us < kind.deduplication_window_us)
        )

    def in_group(self, request: Request, server: Endpoint) -> bool:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats."""
        kind = request.kind
        if not request.attempts or kind.effect != "deduplicated" or kind.group == "all":
            return True
        first = request.first_that_may_have_run()
        if first is None:
            return True
        was, now = first.entry, server.entry
        return was.zone == now.zone if kind.group == "zone" else was.cell == now.cell

    def send(self, request: Request, server: Endpoint) -> None:
        """The one place of sends: nothing goes out that a rule forbids."""
        if not (self.may_send(request) and self.in_group(request, server) and self.open_slots(server) > 0):
            self.finish(request)
            return
        first, kind = request.first_that_may_have_run(), request.kind
        # rule 2: what waits for a connection, or is half written, may still go out when its window is over
        until_us = (
            first.sent_us + kind.deduplication_window_us if first and kind.effect == "deduplicated" else 0
        )
        request.attempts.append(Attempt(server, self.now_us, server.shelf is self.fleet.cold))
        self.servers.setdefault(server.entry.id, server)
        server.slots.used += 1
        self.total.used += 1
        self.busiest = max(self.busiest, self.total.used)
        self.fleet.touch(server, self.now_us)
        server.crowd = None if server.crowd is None else server.crowd + 1.0
        left_us, usual_us = request.until_us - self.now_us, self.usual_us(request)
        timeout_us = left_us if kind.effect == "at_most_once" else min(left_us, usual_us)
        self.actions.append(api.Send(request.event.request, server.entry.id, timeout_us, until_us))
        if usual_us < timeout_us:
            self.wake(self.now_us + usual_us, "slot", request.event.request)

    def usual_us(self, request: Request) -> int:
        """The time-out: what the class usually takes and some. Where none may follow, the answer is waited
        for till the last, and only the slot is freed.
        """
        kind = request.event.class_index
        # hazard: a sidecar that has seen few answers knows little of the long ones and would begin them anew
        return max(int(3 * self.answer_us[kind]), self.half_aim_us(kind), 4 * request.event.cost_us)

    def presume_lost(self, request: Request) -> None:
        """Hazard: where a part of all answers is lost (a path, a worker, connections that hang), each would
        hold its slot till due, and upstreams that answer the others at once would stand idle. Its slot is
        freed if a later send has been answered, or as one of a few tries. A crowd (what is answered is
        slow) and a silence keep theirs. It hurts where some requests are much heavier.
        """
        attempt = request.attempts[-1]
        server, since_us = attempt.server, self.now_us - attempt.sent_us
        if attempt.ended is not None or attempt.lost or request.done:  # done: it streams, or nobody waits
            return
        wait_us = max(self.usual_us(request), int(LOST * server.answer_us)) - since_us
        tried = self.quick(server) and server.doubts < DOUBTS and server.failing < 0.5
        if wait_us > 0 or not (tried or self.passed(attempt)):
            again_us = max(wait_us, self.half_aim_us(request.event.class_index) // 4)
            self.wake(self.now_us + again_us, "slot", request.event.request)
            return
        attempt.lost = True
        server.doubts += 1
        self.free(attempt)
        self.judge(attempt, api.Outcome.TIMEOUT, since_us, request.event.class_index)
        self.release(server)

    def passed(self, attempt: Attempt) -> bool:
        return self.quick(attempt.server) and attempt.server.answered_us > attempt.sent_us

    def quick(self, server: Endpoint) -> bool:
        """Hazard: where answers are slow too, what is out waits in a queue; more would only lengthen it."""
        return server.answer_us <= QUICK * self.quickest_us

    def free(self, attempt: Attempt) -> None:
        """Its slot is free again. `judge`, which follows, tells the index."""
        attempt.server.slots.used -= 1
        self.total.used -= 1

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if (
            request is None
            or event.attempt >= len(request.attempts)
            or request.attempts[event.attempt].ended is not None
        ):
            return  # late, or of a request not known
        attempt = request.attempts[event.attempt]
        attempt.ended = event.outcome
        held = not attempt.lost
        if held:
            self.free(attempt)
        if event.outcome in (api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL):
            server = attempt.server
            server.doubts, server.answered_us = 0, max(server.answered_us, attempt.sent_us)
            server.answer_us += (event.elapsed_us - server.answer_us) / 8
        if held or event.outcome is api.Outcome.OK:
            self.judge(attempt, event.outcome, event.elapsed_us, request.event.class_index)
        if event.report:
            self.on_report(attempt.server, event.report)
        if held:
            self.release(attempt.server)
        if event.final or request.done:
            self.close(request)
        else:
            self.place(request)  # hazard: an upstream that fails a part of its requests would lose them all

    def on_list(self, event: api.UpstreamsUpdated) -> None:
        if event.kind is api.ListKind.FAILED:
            # rule 3: inside ask-within; doubled with each failure, jittered as all sidecars fail together
            first_us = max(FIRST_RETRY_US, self.calls_spread_us())
            wait_us = min(first_us << min(self.list_failures, 20), self.list_wait_us)
            self.list_failures += 1
            self.ask_list_at(self.now_us + int(wait_us * (0.5 + self.random.random() / 2)))
            return
        if event.kind in (api.ListKind.FULL, api.ListKind.DELTA):  # answered
            self.list_failures = self.ask_list_us = 0
        was_on = self.subset.on
        for entry in event.upstreams:
            self.on_entry(entry)
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            listed = {entry.id for entry in event.upstreams}
            for entry in [entry for ident, entry in self.entries.items() if ident not in listed]:
                self.on_entry(replace(entry, state=api.UpstreamState.GONE))
        if self.subset.on or was_on:
            self.select()
        if event.kind is api.ListKind.CACHED and not self.entries and self.list_failures == 0:
            self.ask_list_at(self.now_us)  # hazard: with no list at all everything is refused till one comes
        self.renew()

    def on_entry(self, entry: api.Upstream) -> None:
        """One entry of the list. Work for this one alone, however many there are."""
        before, server = self.entries.pop(entry.id, None), self.servers.get(entry.id)
        ready = entry.state is api.UpstreamState.READY
        if self.by_cell and before is not None:
            cell = self.cells.get(before.cell, {})
            cell.pop(entry.id, None)
            if not cell:
                self.cells.pop(before.cell, None)
        if self.by_cell and ready:
            self.cells.setdefault(entry.cell, {})[entry.id] = None
        if entry.state is not api.UpstreamState.GONE:
            self.entries[entry.id] = entry
        if ready:
            self.subset.add(entry.id, entry.zone)
        else:
            self.subset.remove(entry.id)
        member = not self.subset.on or entry.id in self.subset.members
        if member and entry.state is not api.UpstreamState.GONE:
            self.subset.members[entry.id] = None
            self.use(entry)
        elif server is not None:
            self.learn(server, entry)
            if server.seat is not None:
                self.fleet.place(server, self.now_us)
            self.release(server)
        if not ready:
            self.subset.members.pop(entry.id, None)

    def learnt(self) -> api.WarmStartState:
        """What the next process of this sidecar may begin with."""
        return api.WarmStartState(
            list(self.answer_us),
            self.total.window / self.total.first,
            [
                api.WarmStartUpstream(one.entry.id, one.kept or one.slots.window, one.failing, one.answer_us)
                for one in self.servers.values()
                if one.answered_us > 0 or one.failing > 0.0
            ],
        )

    def on_learnt(self, event: api.WarmStartState) -> None:
        """In place of first guesses, never of what this process has seen itself. Hazard: a slot that rests
        does so from now on, else each process that starts would try the ill upstreams at once. Hazard: what
        is alike everywhere is no upstream's fault, and may be over: the one in the middle begins with a
        slot.
        """
        windows = sorted(max(one.concurrency_limit, LEAST_LEARNT) for one in event.upstreams)
        scale = max(1.0, 1.0 / windows[len(windows) // 2]) if windows else 1.0
        for kind, told_us in enumerate(event.response_times_us[: len(self.answer_us)]):
            self.answer_us[kind] = told_us or self.answer_us[kind]
        self.total.window = min(max(event.total_limit_ratio, 0.5), MOST_SLOTS) * self.total.first
        for one in event.upstreams:
            server = self.servers.get(one.upstream)
            if server is None or server.answered_us > 0 or server.failing > 0.0:
                continue
            slots = server.slots
            slots.window = min(max(one.concurrency_limit, LEAST_LEARNT) * scale, MOST_SLOTS * slots.first)
            server.failing, server.answer_us = (
                min(max(one.failure_rate, 0.0), 1.0),
                max(one.response_time_us, 0.0),
            )
            slots.rest(self.now_us, self.quickest_us / 4, self.random.random())
            self.fleet.touch(server, self.now_us)
        self.renew()

    def calls_spread_us(self) -> int:
        """Hazard: discovery works through calls in turn, and each that waits too long has cost its work all
        the same. A fleet that starts together, or calls again soon, keeps it too far behind to answer any.
        """
        return min(max(0, self.subset.instances - CALLERS) * CALL_US, self.list_wait_us)

    def ask_list_at(self, at_us: int) -> None:
        if self.settings.list_on_request:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def wake(self, at_us: int, what: str, ident: int) -> None:
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident))

    def arm(self) -> None:
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            rests = (self.total.rest_until_us, self.fleet.next_rest_us())
            times += [until_us for until_us in rests if until_us > self.now_us]
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self.actions.append(api.SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident = heapq.heappop(self.wakeups)
            if what == "list" and 0 < self.ask_list_us <= self.now_us:
                # rule 3: a call that is lost must not leave us without a list, so it is made again
                self.actions.append(api.Subscribe(True))
                self.ask_list_at(self.now_us + self.list_wait_us)
            elif what == "ask" and ident in self.asking:
                self.choose(self.asking[ident], wait=False)
            elif what == "slot" and ident in self.requests:
                self.presume_lost(self.requests[ident])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer)
