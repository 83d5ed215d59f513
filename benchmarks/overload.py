"""Measures a fleet of sidecars in an outage and after it, with overload control off and on.

    python -m benchmarks.overload [--scenes outage,parted ...] [--load 1.25] [--seeds 1] [--plot FILE]

It runs real sidecars behind relays, stand-in upstreams and clients, with overload control off and on in turn,
on the same seeds. All results are shares or counts of one run, so that a slow machine affects both alike:

goodput     Requests served, of what the upstreams can serve in slow start, in ten seconds from two seconds
            after their return.
inversions  Of the served requests, those of a class while as many of a class with a higher priority weight,
            which were first attempts or came when advised, were rejected in the same second.
attempts    Of clients, for one operation.
Jain        Jain's fairness index of the share of operations served, over the sidecars.
weighted    Operations served within the client's deadline, by priority weight, of all.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

import uvloop

from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import REFUSED
from sidecar_proxy.testbed.clients import Manners
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.gossip import Braggart
from sidecar_proxy.testbed.history import Answered, Asked, Fell, Ledger, Started, now_us
from sidecar_proxy.testbed.invariants import overspent
from sidecar_proxy.testbed.scenario import LOADS, Plan, Scene, machine_of

ENABLED = "[overload]\nenabled = true\ntrace = true\n"
BASE_RATE = 240  # requests per second that twelve warm upstreams serve
OUTAGE_START_S = 8.0
RECOVERY_S = 2  # after the return of the upstreams, before goodput is measured
GOODPUT_WINDOW_S = 10
SECOND_US = 1_000_000
RETRY_TOLERANCE_US = 20_000  # a retry that comes earlier than advised by more has not followed the advice
BURST_LOAD = 0.75
BURST_FACTOR = 1.2  # of the load, in addition to it
BURST_START_S = 5.0
BURST_S = 10.0
LIAR_FACTOR = 10  # times a sidecar's part of the load


def base_plan(load: float, seed: int) -> Plan:
    """Returns six sidecars and twelve upstreams with two cores and 100 ms of work for a request."""
    return Plan(
        nodes=12,
        sidecars=6,
        rate=load * BASE_RATE,
        seconds=30.0,
        seed=seed,
        machine=Machine(work_us=100_000, cores=2),
        gossip=True,
        relayed=True,
        manners=Manners(tries=5, honours=0.5),
    )


def outage(duration_s: float, step_s: float = 0.0) -> Fault:
    """Returns a crash of all upstreams, one each `step_s`."""
    return Fault("crash", OUTAGE_START_S, duration_s, 12, step_s=step_s)


def sidecar_fault(kind: str, at_s: float, duration_s: float, *sidecars: int, size: float = 0.0) -> Fault:
    """Returns a fault of the given sidecars or their links; without any, of all."""
    return Fault(kind, at_s, duration_s, size=size, sidecars=sidecars)


def with_outage(plan: Plan, *faults: Fault) -> Plan:
    """Returns the plan with an outage of six seconds and the other faults."""
    return replace(plan, faults=(outage(6.0), *faults))


SCENARIOS: dict[str, Callable[[Plan], Plan]] = {
    "calm": lambda plan: replace(plan, seconds=15.0),
    "burst": lambda plan: replace(plan, seconds=20.0),  # `run_scenario` adds the burst
    "outage": lambda plan: replace(plan, faults=(outage(6.0),)),
    "long": lambda plan: replace(plan, seconds=60.0, faults=(outage(30.0),)),
    "one-by-one": lambda plan: replace(plan, faults=(outage(6.0, 0.5),)),
    "parted": lambda plan: with_outage(plan, sidecar_fault("link_part", 11.0, 8.0, 0, 1, 2)),
    "parted-one": lambda plan: with_outage(plan, sidecar_fault("link_part", 11.0, 8.0, 0)),
    "one-way": lambda plan: with_outage(plan, sidecar_fault("link_oneway", 9.0, 12.0, 0, 1)),
    "bridge": lambda plan: with_outage(plan, sidecar_fault("link_bridge", 9.0, 12.0, 0, 5)),
    "killed": lambda plan: with_outage(replace(plan, skew=0.4), sidecar_fault("sidecar_kill", 15.0, 1.0, 0)),
    "stopped": lambda plan: with_outage(plan, sidecar_fault("sidecar_stop", 13.0, 5.0, 1)),
    "wiped": lambda plan: with_outage(plan, sidecar_fault("sidecar_wipe", 14.5, 0.5, 2)),
    "clock": lambda plan: with_outage(plan, sidecar_fault("sidecar_clock", 10.0, 1.0, 3, size=3600.0)),
    "slow-links": lambda plan: with_outage(
        plan,
        sidecar_fault("link_slow", 2.0, 40.0, size=0.5),
        sidecar_fault("link_lossy", 2.0, 40.0, size=0.33),
    ),
    "skewed": lambda plan: replace(plan, skew=0.67, faults=(outage(6.0),)),
    "rude": lambda plan: replace(plan, manners=Manners(tries=12, honours=0.4), faults=(outage(6.0),)),
    "uneven": lambda plan: with_outage(replace(plan, cores=(1, 2, 3))),
    "liar": lambda plan: with_outage(plan),  # `run_scenario` adds a process with false reports
    "again": lambda plan: replace(plan, seconds=36.0, faults=(outage(6.0), Fault("crash", 16.0, 4.0, 12))),
}


@dataclass(slots=True)
class Result:
    """The result of one run; the module's docstring explains the shares."""

    goodput: float
    inversions: float
    attempts_per_operation: float
    jain: float
    weighted: float
    fallen: int  # upstreams that were overloaded until they fell over
    breaches: int  # of the invariants
    overspent: int  # moments at which the quotas exceeded the total
    cpu_us_per_request: float  # of the sidecars
    probes: int
    served_by_second: list[float] = field(default_factory=list)  # of what warm upstreams serve
    served_by_class: dict[str, float] = field(default_factory=dict)  # share of the operations


@dataclass(slots=True)
class RequestHistory:
    """The requests of one run."""

    attempts: dict[str, Asked]  # by request
    first_attempts: dict[str, Asked]  # by operation
    completed: set[str] = field(default_factory=set)  # operations that were served
    # by second since the start, then by class
    served: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    rejected: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def served_in(self, seconds: Iterable[int]) -> int:
        """Returns the requests served in these seconds."""
        return sum(sum(self.served[second].values()) for second in seconds)

    def completed_share(self, operations: Sequence[str]) -> float:
        """Returns the share of the operations that was served."""
        completed = sum(operation in self.completed for operation in operations)
        return completed / max(1, len(operations))


def read_history(ledger: Ledger, start_us: int) -> RequestHistory:
    """Reads the requests from the ledger; rejections of retries that came too early do not count."""
    attempts = {record.request: record for record in ledger if isinstance(record, Asked)}
    first_attempts = {record.operation: record for record in attempts.values() if record.tries == 1}
    history = RequestHistory(attempts, first_attempts)
    retry_due_us: dict[str, int] = {}  # by operation
    early_requests: set[str] = set()
    for record in ledger:
        if isinstance(record, Asked):
            if record.at_us < retry_due_us.get(record.operation, 0) - RETRY_TOLERANCE_US:
                early_requests.add(record.request)
        elif isinstance(record, Answered) and record.request in attempts:
            attempt = attempts[record.request]
            retry_due_us[attempt.operation] = record.at_us + record.retry_after_us
            second = (record.at_us - start_us) // SECOND_US
            if record.status == 200:
                history.completed.add(attempt.operation)
                history.served[second][attempt.kind] += 1
            elif record.status in REFUSED and record.request not in early_requests:
                history.rejected[second][attempt.kind] += 1
    return history


def serving_capacity(plan: Plan, ledger: Ledger, start_us: int, seconds: int) -> list[float]:
    """Returns, by second, the requests that the upstreams can serve by their slow-start weight."""
    starts_us: dict[str, list[int]] = defaultdict(list)
    for record in ledger:
        if isinstance(record, Started):
            starts_us[record.node].append(record.at_us)
    crashes_us = [start_us + int(fault.at_s * 1e6) for fault in plan.faults if fault.kind == "crash"]
    capacity = []
    for second in range(seconds):
        at_us = start_us + int((second + 0.5) * SECOND_US)
        capacity.append(
            sum(
                upstream_capacity(plan, number, starts_us[f"node-{number}"], crashes_us, at_us)
                for number in range(plan.nodes)
            )
        )
    return capacity


def upstream_capacity(
    plan: Plan, number: int, starts_us: Sequence[int], crashes_us: Sequence[int], at_us: int
) -> float:
    """Returns the requests per second that one upstream can serve at a moment, 0.0 while it is down."""
    machine = plan.machine
    last_start_us = max((start_us for start_us in starts_us if start_us <= at_us), default=None)
    last_crash_us = max((crash_us for crash_us in crashes_us if crash_us <= at_us), default=None)
    if last_crash_us is not None and (last_start_us is None or last_start_us < last_crash_us):
        return 0.0
    age = 1.0
    if last_start_us is not None:
        age = (at_us - last_start_us) / machine.warm_up_us
    slow_start_weight = machine.cold_share + (1.0 - machine.cold_share) * min(1.0, age)
    return machine_of(plan, number).cores * slow_start_weight * 1e6 / machine.work_us


def goodput(plan: Plan, history: RequestHistory, capacity: Sequence[float]) -> float:
    """Returns the requests served in the window after the outage, of those that could be."""
    seconds = int(plan.seconds)
    returns_s = [int(fault.at_s + fault.for_s) for fault in plan.faults if fault.kind == "crash"]
    first = min(seconds - 2, max(returns_s, default=0) + RECOVERY_S)
    last = min(seconds, first + GOODPUT_WINDOW_S)
    servable = min(plan.rate * (last - first), sum(capacity[first:last]))
    if not servable:
        return 0.0
    return history.served_in(range(first, last)) / servable


def inversions(plan: Plan, history: RequestHistory) -> float:
    """Returns the share of served requests in whose place one of a higher priority weight was rejected."""
    by_priority = sorted(plan.loads, key=lambda load: -load.priority_weight)
    inverted = 0
    for second, served in history.served.items():
        higher_rejected = 0
        for load in by_priority:
            inverted += min(served[load.kind], higher_rejected)
            higher_rejected += history.rejected[second][load.kind]
    return inverted / max(1, history.served_in(list(history.served)))


def jain_index(values: Sequence[float]) -> float:
    """Returns Jain's fairness index, 0.0 if all values are 0."""
    if not any(values):
        return 0.0
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


def fairness(history: RequestHistory) -> float:
    """Returns the fairness of the share served, over the sidecars."""
    operations: dict[str | int, list[str]] = defaultdict(list)
    for attempt in history.first_attempts.values():
        operations[attempt.sidecar].append(attempt.operation)
    return jain_index([history.completed_share(names) for names in operations.values()])


def weighted_share(history: RequestHistory, priority_weights: Mapping[str, float]) -> float:
    """Returns the share of the operations that was served, by priority weight."""
    first_attempts = history.first_attempts
    total = sum(priority_weights[attempt.kind] for attempt in first_attempts.values())
    completed = sum(
        priority_weights[first_attempts[operation].kind]
        for operation in history.completed
        if operation in first_attempts
    )
    return completed / max(1.0, total)


def share_by_class(plan: Plan, history: RequestHistory) -> dict[str, float]:
    """Returns the share of each class's operations that was served."""
    shares = {}
    for load in plan.loads:
        operations = [
            operation for operation, attempt in history.first_attempts.items() if attempt.kind == load.kind
        ]
        shares[load.kind] = history.completed_share(operations)
    return shares


def evaluate(plan: Plan, scene: Scene, start_us: int, cpu_s: float) -> Result:
    """Returns the result of a run that started at `start_us` and took the sidecars so much CPU time."""
    history = read_history(scene.ledger, start_us)
    seconds = int(plan.seconds)
    operations = Counter(attempt.operation for attempt in history.attempts.values())
    warm_capacity = plan.machine.cores * plan.nodes * 1e6 / plan.machine.work_us
    return Result(
        goodput=goodput(plan, history, serving_capacity(plan, scene.ledger, start_us, seconds)),
        inversions=inversions(plan, history),
        attempts_per_operation=sum(operations.values()) / max(1, len(operations)),
        jain=fairness(history),
        weighted=weighted_share(history, {load.kind: load.priority_weight for load in plan.loads}),
        fallen=sum(isinstance(record, Fell) for record in scene.ledger),
        breaches=len(scene.verdict()),
        overspent=len(overspent(scene.ledger)),
        cpu_us_per_request=cpu_s * 1e6 / max(1, len(history.attempts)),
        probes=sum(upstream.asked_health for upstream in scene.nodes),
        served_by_second=[history.served_in([second]) / max(1.0, warm_capacity) for second in range(seconds)],
        served_by_class=share_by_class(plan, history),
    )


async def run_scenario(plan: Plan, name: str) -> Result:
    """Runs one scenario in real time."""
    async with Scene(plan) as scene:
        cpu_before_s = sum(sidecar.usage()[0] for sidecar in scene.sidecars)
        start_us = now_us()
        tasks = [asyncio.create_task(scene.play())]
        if name == "burst":
            tasks.append(asyncio.create_task(run_burst(scene)))
        liar = None
        if name == "liar":
            liar = await start_liar(plan, scene)
        await asyncio.gather(*tasks)
        if liar is not None:
            liar.close()
        cpu_after_s = sum(sidecar.usage()[0] for sidecar in scene.sidecars if sidecar.alive)
    return evaluate(plan, scene, start_us, cpu_after_s - cpu_before_s)


async def start_liar(plan: Plan, scene: Scene) -> Braggart | None:
    """Starts a process with a certificate that reports ten times the load of a sidecar."""
    if scene.keys is None:
        return None
    keyring = scene.keys.keyring("braggart", plan.sites[0])
    liar = Braggart(keyring, scene.gossip, 3, LIAR_FACTOR * plan.rate / plan.sidecars)
    await liar.start(scene.links, 99)
    return liar


async def run_burst(scene: Scene) -> None:
    """Adds load for some seconds."""
    await asyncio.sleep(BURST_START_S)
    await asyncio.gather(*[crowd.play(crowd.rate * BURST_FACTOR, BURST_S) for crowd in scene.crowds])


HEADER = (
    f"{'scene':<12}{'part':<5}{'goodput':>8}{'inversions':>12}{'attempts':>9}{'Jain':>7}{'weighted':>9}  "
    f"{'by class':<16}{'fallen':>7}{'breaches':>9}{'overspent':>10}{'CPU us':>8}{'probes':>8}"
)


def format_row(name: str, mode: str, result: Result) -> str:
    """Returns the line of the table for one run."""
    shares = " ".join(f"{share:.2f}" for share in result.served_by_class.values())
    return (
        f"{name:<12}{mode:<5}{result.goodput:>8.2f}{result.inversions:>12.3f}"
        f"{result.attempts_per_operation:>9.2f}{result.jain:>7.3f}{result.weighted:>9.3f}  {shares:<16}"
        f"{result.fallen:>7}{result.breaches:>9}{result.overspent:>10}{result.cpu_us_per_request:>8.0f}"
        f"{result.probes:>8}"
    )


def plot(path: str, curves: Mapping[str, Sequence[float]]) -> None:
    """Writes a chart of the served requests by second. It needs matplotlib, of the `charts` extra."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3))
    for label, values in curves.items():
        axes.plot(range(len(values)), values, label=label)
    axes.set_xlabel("seconds")
    axes.set_ylabel("served, of what warm upstreams serve")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def parse_arguments() -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--scenes", default="calm,burst,outage,parted,stopped,skewed")
    parser.add_argument("--load", type=float, default=1.25, help="of what all warm upstreams serve")
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--return-s", type=float, default=2.0, help="the longest Retry-After")
    parser.add_argument("--probes", action="store_true", help="the settings allow load probes")
    parser.add_argument("--sidecars", type=int, default=6)
    parser.add_argument("--how", default="off,on", help="overload control off, on, or both in turn")
    parser.add_argument("--plot", help="a chart of the last scenario, off and on")
    return parser.parse_args()


def plan_of(name: str, mode: str, seed: int, arguments: argparse.Namespace) -> Plan:
    """Returns the plan of one run."""
    load = BURST_LOAD if name == "burst" else arguments.load
    plan = replace(
        base_plan(load, seed),
        sidecars=arguments.sidecars,
        return_s=arguments.return_s,
        probes=arguments.probes,
        extra=ENABLED if mode == "on" else "",
    )
    return SCENARIOS[name](plan)


def main() -> None:
    """Runs the scenarios and prints a line for each run."""
    arguments = parse_arguments()
    classes = "/".join(load.kind for load in LOADS)
    print(f"load {arguments.load:g}, seeds {arguments.seeds}; served by class: {classes}")
    print(HEADER)
    for name in arguments.scenes.split(","):
        curves: dict[str, list[float]] = {}
        for seed in map(int, arguments.seeds.split(",")):
            for mode in arguments.how.split(","):
                plan = plan_of(name, mode, seed, arguments)
                result = uvloop.run(run_scenario(plan, name))
                curves[mode] = result.served_by_second
                print(format_row(name, mode, result), flush=True)
        if arguments.plot:
            plot(arguments.plot, curves)
            print(Path(arguments.plot))


if __name__ == "__main__":
    main()
