"""How the recordings of decisions were made. Kept for reading; the stored files are never made anew.

    python -m tests.golden.make_recordings FOLDER {small,large,lab-small,lab-large} [NAME...]

Fleets of the emulator (virtual time, no sockets) and a driver that sends events in any order. Of each fleet
the first sidecar is recorded, from its start; everything random comes from the seed. The lab's recordings are
those that the recorder of a real sidecar on loopback sockets wrote, so no two runs of them are alike.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import cast

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.settings import parse_settings
from sidecar_proxy.config.platform_settings import settings_lines
from sidecar_proxy.emulator import scenarios as scenes
from sidecar_proxy.emulator.fleet import EmulatedFleet, Plan, Sidecar, Try
from sidecar_proxy.overload_control.controller import FleetBudgets
from sidecar_proxy.recorder.record_framing import pack
from sidecar_proxy.recorder.recording import Head, balancer_digest, write_recording
from sidecar_proxy.recorder.ring_buffer import RingBuffer
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.scenario import Plan as LabPlan
from sidecar_proxy.testbed.scenario import Scene
from sidecar_proxy.testbed.scenario import settings as lab_settings
from tests.testbed.playing import RIG
from tests.testbed.test_customers import CUSTOMERS

SEED = 20261203
MACHINE = Machine(work_us=60_000, warm_up_us=4_000_000)
DRIVER_START_US = 1_000_000_000_000
OUTCOMES = [api.Outcome.OK] * 12 + [one for one in api.Outcome if one is not api.Outcome.OK]


class RecordedBalancer:
    """A balancer of which every step is kept as the recorder keeps it."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings, self.seed, self.started_us = settings, seed, now_us
        self.balancer = Balancer(settings, seed, now_us)
        self.ring = RingBuffer(1 << 28)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(now_us, event)
        self.ring.add(pack(now_us, event, actions))
        return actions

    def save(self, path: Path) -> None:
        head = Head(
            path.stem,
            balancer_digest(),
            self.seed,
            self.started_us,
            self.settings,
            self.ring.is_complete,
            "golden",
        )
        write_recording(str(path), head, self.ring.get_segments())


class RecordedFleet(EmulatedFleet):
    """An emulated fleet with clients that leave, suspicions, and its first sidecar recorded."""

    recorded: RecordedBalancer

    def __init__(self, plan: Plan, quits: float = 0.0) -> None:
        self.quits = quits
        self.quit_random = random.Random(plan.seed + 1)
        super().__init__(plan)

    def new_sidecar(self, n: int, life: int = 0) -> Sidecar:
        sidecar = super().new_sidecar(n, life)
        if n == 0:
            settings = sidecar.balancer.settings
            self.recorded = RecordedBalancer(settings, self.plan.seed * 100_003 + life, self.now_us)
            sidecar.balancer = cast(Balancer, self.recorded)
        return sidecar

    def arrive(self, n: int, refused: Try | None = None) -> None:
        request = self.next_request
        super().arrive(n, refused)
        if self.quit_random.random() < self.quits:
            wait_us = self.quit_random.randrange(1_000, 200_000)
            self.at_sidecar(self.now_us + wait_us, n, partial(self.quit, n, request))

    def quit(self, n: int, request: int) -> None:
        if request in self.sidecars[n].tries:
            self.answer(self.sidecars[n], request, "gone")
            self.handle(n, api.RequestGone(request))

    def suspect(self, upstreams: Iterable[int], weight: float) -> None:
        for upstream in upstreams:
            for n in range(len(self.sidecars)):
                self.handle(n, api.OutlierReported(upstream, weight))

    def resize(self, instances: int, index: int) -> None:
        self.handle(0, api.FleetResized(instances, index))


def play_faults(fleet: RecordedFleet, seconds: float, suspects: bool = False) -> RecordedBalancer:
    """Slow, failing, silent and replaced upstreams, a lost zone, and the end of all that."""
    part = seconds / 10
    idents = list(fleet.nodes)
    fleet.run(part)
    slow, failing, silent = idents[::5], idents[1::4], idents[2::6]
    for ident in slow:
        fleet.nodes[ident].capacity.slow = 5.0
    for ident in failing:
        fleet.nodes[ident].failing = 0.6
    fleet.run(part)
    if suspects:
        fleet.suspect(failing, 0.7)
    fleet.run(part)
    for ident in silent:
        fleet.nodes[ident].silent = True
    fleet.run(part)
    if suspects:
        fleet.suspect(silent, 1.0)
    for ident in failing:
        fleet.nodes[ident].failing = 0.0
    fleet.run(part)
    if suspects:
        fleet.suspect(failing, 0.0)
    fleet.replace(idents[::3], drained_us=int(part * 1e6))
    fleet.run(2 * part)
    lost = [node for node in scenes.first_site(fleet) if not node.silent]
    for node in lost:
        node.silent = True
    fleet.run(part)
    for ident in silent:
        fleet.nodes[ident].silent = False
    for node in lost:
        node.silent = False
    fleet.run(2 * part)
    return fleet.recorded


def rate_of(upstreams: int, load: float) -> float:
    return load * upstreams * MACHINE.cores / (MACHINE.work_us / 1e6)


def customer(name: str, large: bool) -> RecordedBalancer:
    """A customer's settings under all faults, with clients that leave and come again."""
    plan = replace(CUSTOMERS[name], machine=MACHINE, sidecars=2)
    settings = parse_settings("\n".join(settings_lines(lab_settings(plan, 0))))
    upstreams, seconds = (18, 45.0) if large else (6, 8.0)
    told = Plan(
        settings,
        upstreams,
        rate_of(upstreams, 0.55),
        skew=0.2,
        machine=MACHINE,
        call_us=50_000,
        seed=SEED,
        again=2,
        burst=(seconds * 0.6, seconds * 0.8, 2.0),
    )
    return play_faults(RecordedFleet(told, plan.manners.quits), seconds)


def fleet_plan(upstreams: int, instances: int, load: float) -> Plan:
    told = scenes.plan(instances, upstreams, seed=SEED)
    return replace(told, rate=rate_of(upstreams, load), machine=MACHINE, skew=0.2)


def few_upstreams(large: bool) -> RecordedBalancer:
    """Two upstreams that are offered more than they can do."""
    told = replace(fleet_plan(2, 1, 0.9), again=3)
    return play_faults(RecordedFleet(told, 0.02), 120.0 if large else 8.0)


def many_upstreams(large: bool) -> RecordedBalancer:
    """A large list, of which a sidecar uses a part; other sidecars come and go."""
    upstreams, most, seconds = (600, 40, 12.0) if large else (60, 12, 4.0)
    told = fleet_plan(upstreams, 6, 0.3 if large else 0.2)
    fleet = RecordedFleet(replace(told, settings=replace(told.settings, max_upstreams=most)))
    fleet.at(fleet.now_us + int(seconds * 3e5), partial(fleet.resize, 9, 2))
    fleet.at(fleet.now_us + int(seconds * 7e5), partial(fleet.resize, 4, 1))
    return play_faults(fleet, seconds)


def all_upstreams(large: bool) -> RecordedBalancer:
    """A large list, of which a sidecar uses all."""
    return play_faults(RecordedFleet(fleet_plan(1200, 60, 0.3)), 24.0 if large else 2.0)


def reports(large: bool) -> RecordedBalancer:
    """Probes that cost nothing: each request may ask for the load of some upstreams first."""
    told = fleet_plan(30 if large else 12, 24, 0.7)
    fleet = RecordedFleet(replace(told, settings=replace(told.settings, probe_fee=0.0)), 0.02)
    return play_faults(fleet, 100.0 if large else 8.0)


def overload(large: bool) -> RecordedBalancer:
    """Sidecars that handle overload as one, in a burst, while the fleet's size changes."""
    upstreams, seconds = (20, 36.0) if large else (8, 7.0)
    told = replace(
        fleet_plan(upstreams, 4, 0.7),
        as_one=FleetBudgets(),
        again=3,
        again_share=0.9,
        burst=(seconds * 0.3, seconds * 0.8, 2.5),
    )
    fleet = RecordedFleet(told, 0.01)
    fleet.at(fleet.now_us + int(seconds * 4e5), partial(fleet.resize, 5, 0))
    fleet.at(fleet.now_us + int(seconds * 9e5), partial(fleet.resize, 3, 2))
    return play_faults(fleet, seconds)


def gossip(large: bool) -> RecordedBalancer:
    """A sidecar that has learnt from the process before it, and hears suspicions."""
    upstreams, seconds = (24, 40.0) if large else (8, 6.0)
    before = RecordedFleet(fleet_plan(upstreams, 3, 0.7))
    learnt = play_faults(before, 10.0).balancer.export_warm_start_state()
    told = fleet_plan(upstreams, 3, 0.7)
    fleet = RecordedFleet(replace(told, settings=replace(told.settings, is_successor=True)), 0.02)
    fleet.handle(0, learnt)
    return play_faults(fleet, seconds, suspects=True)


def gossip_trials(large: bool) -> RecordedBalancer:
    """Upstreams that fall silent in turn, are suspected by all, and come back."""
    fleet = RecordedFleet(fleet_plan(8, 3, 0.9))
    idents = list(fleet.nodes)
    for turn in range(12 if large else 1):
        silent = idents[turn % 4 :: 4]
        for ident in silent:
            fleet.nodes[ident].silent = True
        fleet.run(2.6)
        fleet.suspect(silent, 1.0)
        fleet.run(0.8)
        for ident in silent:
            fleet.nodes[ident].silent = False
        fleet.run(1.6)
        fleet.suspect(silent, 0.0)
        fleet.run(0.5)
    return fleet.recorded


@dataclass(slots=True)
class Pending:
    """An attempt that has not ended."""

    send: api.Send
    number: int
    sent_us: int


class AnyOrder:
    """One sidecar that gets every kind of event, in any order, some of them late or of nobody.

    With `troubled`, a fifth of the upstreams fail, others each second; overload and suspicions are told
    often, some clients come back too early, the first list is an empty one, and time goes ten times as fast.
    """

    def __init__(self, settings: api.Settings, seed: int, troubled: bool = False) -> None:
        self.troubled = troubled
        self.random = random.Random(seed)
        self.now_us = DRIVER_START_US
        self.recorded = RecordedBalancer(settings, seed, self.now_us)
        self.pending: list[Pending] = []
        self.attempts: dict[int, int] = {}
        self.timers: list[int] = []
        self.probed: list[int] = []
        self.next_request = 1
        if troubled:
            self.tell(api.UpstreamsUpdated(api.ListKind.CACHED))
        self.tell(self.upstreams(api.ListKind.FULL, 30))

    def tell(self, event: api.Event) -> None:
        for action in self.recorded.handle(self.now_us, event):
            if isinstance(action, api.Send):
                number = self.attempts.get(action.request, 0)
                self.attempts[action.request] = number + 1
                self.pending.append(Pending(action, number, self.now_us))
            elif isinstance(action, api.SetTimer):
                self.timers.append(action.at_us)
            elif isinstance(action, api.Probe):
                self.probed.append(action.upstream)

    def upstreams(self, kind: api.ListKind, count: int) -> api.UpstreamsUpdated:
        states = [api.UpstreamState.READY] * 6 + list(api.UpstreamState)
        return api.UpstreamsUpdated(
            kind,
            [
                api.Upstream(
                    ident,
                    state=self.random.choice(states),
                    zone=ident % 2,
                    cell=ident // 4,
                    weight=self.random.choice((1.0, 1.0, 0.5)),
                    started_us=self.random.choice((0, self.now_us - 5_000_000)),
                )
                for ident in self.random.sample(range(100, 140), count)
            ],
            self.now_us,
        )

    def arrival(self) -> api.Event:
        number, self.next_request = self.next_request, self.next_request + 1
        index = self.random.randrange(len(self.recorded.settings.classes))
        due_us = self.now_us + self.recorded.settings.classes[index].deadline_us
        return api.RequestArrived(
            number,
            due_us,
            index,
            key=self.random.randrange(20),
            cost_us=self.random.choice((0, 5_000)),
            retried=self.random.random() < 0.1,
            retry_due_us=self.random.choice(self.back_times()),
        )

    def back_times(self) -> tuple[int, ...]:
        early = (self.now_us + 900_000,) if self.troubled else ()
        return 0, 0, self.now_us - 1_000, *early

    def end(self) -> api.Event:
        one = self.pending.pop(self.random.randrange(len(self.pending)))
        outcome = self.random.choice(OUTCOMES)
        if self.troubled and one.send.upstream % 5 == self.now_us // 1_000_000 % 5:
            outcome = api.Outcome.ERROR
        elapsed_us = max(1, self.now_us - one.sent_us)
        return api.AttemptEnded(
            one.send.request,
            one.number,
            one.send.upstream,
            outcome,
            elapsed_us,
            outcome is api.Outcome.OK,
            self.report(),
        )

    def report(self) -> list[float]:
        return [float(self.random.randrange(9)) for _ in self.recorded.settings.report_names]

    def overload(self) -> api.OverloadUpdated:
        kept = [self.random.random() for _ in self.recorded.settings.classes]
        return api.OverloadUpdated(
            self.random.random(),
            kept,
            [part / 2 for part in kept],
            self.random.randrange(1 << 32),
            500_000,
            self.now_us + 1_000_000,
            20.0,
            10.0,
            2.0,
        )

    def suspicion(self) -> api.Event:
        return api.OutlierReported(self.random.randrange(100, 140), self.random.choice((0.0, 0.4, 1.0)))

    def probe(self) -> api.Event:
        upstream = self.probed.pop(0) if self.probed else self.random.randrange(100, 140)
        outcome = self.random.choice(OUTCOMES)
        return api.ProbeEnded(upstream, outcome, 900, self.report() if outcome is api.Outcome.OK else [])

    def stream(self) -> api.Event:
        one = self.random.choice(self.pending)
        return api.StreamStarted(one.send.request, one.number, one.send.upstream, self.now_us - one.sent_us)

    def rare(self) -> api.Event:
        kinds: list[Callable[[], api.Event]] = [
            self.overload,
            self.recorded.balancer.export_warm_start_state,
            self.probe,
            self.suspicion,
            lambda: api.FleetResized(self.random.randrange(2, 30), self.random.randrange(2)),
            lambda: api.PeerMessage(self.random.randrange(3), self.random.randbytes(8)),
            lambda: self.upstreams(api.ListKind.FULL, self.random.randrange(1, 30)),
            lambda: self.upstreams(api.ListKind.CACHED, self.random.randrange(10, 30)),
            lambda: self.upstreams(api.ListKind.HELD, 1),
            lambda: api.UpstreamsUpdated(api.ListKind.FAILED),
        ]
        if self.troubled:
            kinds += [self.overload, self.suspicion] * 5
        return self.random.choice(kinds)()

    def step(self) -> None:
        self.now_us += self.random.choice((0, 100, 1_000, 3_000)) * (10 if self.troubled else 1)
        due = [at_us for at_us in self.timers if at_us <= self.now_us]
        chance = self.random.random()
        if due:
            self.timers.remove(due[0])
            self.tell(api.TimerFired(0))
        elif chance < 0.5 and self.pending:
            self.tell(self.end())
        elif chance < 0.93:
            self.tell(self.arrival())
        elif chance < 0.95:
            self.tell(api.RequestGone(max(1, self.next_request - self.random.randrange(1, 6))))
        elif chance < 0.96 and self.pending:
            self.tell(self.stream())
        elif chance < 0.97:
            self.tell(self.upstreams(api.ListKind.DELTA, 2))
        else:
            self.tell(self.rare())


def any_order(
    instances: int, probes: bool, seed: int, large: bool, troubled: bool = False
) -> RecordedBalancer:
    classes = [
        api.RequestClass("read", 300_000, 1_500_000, late_weight=0.3, stream=True),
        api.RequestClass("pay", 300_000, 600_000, priority_weight=5, effect="at_most_once"),
        api.RequestClass(
            "mark",
            400_000,
            2_000_000,
            priority_weight=3,
            effect="deduplicated",
            deduplication_window_us=1_200_000,
            group="cell" if probes else "zone",
        ),
    ]
    settings = api.Settings(
        classes,
        instances=instances,
        tick_us=4_000,
        max_attempts=4,
        cancel=True,
        zones=["a", "b"],
        cross_zone_fee=0.02,
        max_retry_after_us=1_000_000,
        cold_share=0.2,
        warm_up_us=5_200_000 if troubled else 20_000_000,
        overload_factor=2.5,
        list_on_request=True,
        probes=probes,
        hedging_allowed=probes,
        weighted=probes,
        max_upstreams=0 if probes else 12,
        key_affinity=troubled,
        report_names=["in_flight"] if probes else [],
    )
    driver = AnyOrder(settings, seed, troubled)
    for _ in range(20_000 if large else 1_600 if troubled else 900):
        driver.step()
    return driver.recorded


RECORDINGS: dict[str, Callable[[bool], RecordedBalancer]] = {
    **{f"customer-{name}": partial(customer, name) for name in CUSTOMERS},
    "few-upstreams": few_upstreams,
    "many-upstreams": many_upstreams,
    "reports": reports,
    "overload": overload,
    "gossip": gossip,
    "gossip-trials": gossip_trials,
    "any-order-few-sidecars": partial(any_order, 3, True, SEED),
    "any-order-many-sidecars": partial(any_order, 40, False, SEED + 1),
    "any-order-reports": partial(any_order, 40, True, SEED + 2),
    "any-order-troubled": partial(any_order, 3, True, SEED + 3, troubled=True),
    "any-order-troubled-subset": partial(any_order, 40, False, SEED + 4, troubled=True),
    "all-upstreams": all_upstreams,
}


async def record_scene(plan: LabPlan, path: Path) -> None:
    """Write what the first sidecar of a scene of the lab has recorded when the scene is over."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(replace(plan, extra=f'{plan.extra}[recorder]\nenabled = true\nfolder = "{folder}"\n'))
        async with scene, asyncio.timeout(plan.seconds + 60.0):
            await scene.play()
            process = scene.sidecars[0].process
            assert process is not None
            process.send_signal(signal.SIGUSR2)
            while not any(".rec: " in line for line in scene.sidecars[0].lines):
                await asyncio.sleep(0.01)
        found = list(Path(folder).glob("sidecar_proxy-sidecar-0-*.rec"))
        assert len(found) == 1
        shutil.copyfile(found[0], path)


def lab_plans(large: bool) -> dict[str, LabPlan]:
    """One sidecar under faults; three that gossip and handle overload as one."""
    seconds = 20.0 if large else 3.0
    faults = (
        Fault("silent", seconds * 0.2, seconds * 0.3, nodes=2),
        Fault("errors", seconds * 0.4, seconds * 0.3, nodes=2, size=0.5),
        Fault("drain", seconds * 0.5, 2.0, nodes=0.25),
    )
    manners = Manners(tries=2, quits=0.02)
    return {
        "sidecar": LabPlan(
            nodes=8,
            rate=200.0 if large else 120.0,
            seconds=seconds,
            seed=11,
            faults=faults,
            machine=Machine(work_us=6_000),
            manners=manners,
        ),
        "sidecar-gossip": replace(
            RIG, rate=400.0 if large else 200.0, seconds=seconds, faults=faults, manners=manners
        ),
    }


def main() -> None:
    folder, size = Path(sys.argv[1]), sys.argv[2]
    if size.startswith("lab-"):
        for name, plan in lab_plans(size == "lab-large").items():
            asyncio.run(record_scene(plan, folder / f"{name}.rec"))
        return
    for name, make in RECORDINGS.items():
        if len(sys.argv) > 3 and name not in sys.argv[3:]:
            continue
        recorded = make(size == "large")
        recorded.save(folder / f"{name}.rec")
        print(f"{name}: {recorded.ring.frame_count} steps, {recorded.ring.packed_bytes} bytes", flush=True)


if __name__ == "__main__":
    main()
