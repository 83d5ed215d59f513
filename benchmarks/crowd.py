"""Where a fleet's requests went, by second, from the recordings of its sidecars.

    python -m benchmarks.crowd FOLDER [--upstreams SECOND]

FOLDER holds one recording of each sidecar (`[recorder] spool_s`, docs/operate/recorder.md), made with the
decisions at hand: each is played to them again, so that what a sidecar knew at a refusal can be counted. A
line a second: tries that came, those of clients that were refused before, sends and of them to cold ones,
answers, late ones by where their time went (a cold upstream, a warm one, or over a quarter of the aim in this
sidecar), time-outs, refusals and of them those for want of a slot in all, how many warm ones had a free slot
and cold ones stood idle by what the refusing sidecar knew, and the mean answer of cold and warm ones in ms.
Then the slots that all sidecars have open together, those in use, and the upstreams that these are for, cold
ones by their warmth. `--upstreams` lists what each got in that second. Counts, so the same on any machine.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.recorder.recording import Recording, RecordingError, TruncatedRecordingError
from sidecar_proxy.recorder.replay import replay_steps

WAITED = 1 / 4  # of the aim: a late answer that spent more than that in the sidecar


@dataclass(slots=True)
class Counted:
    """Of all sidecars. The first key is a second of the play."""

    began_us: int = 0
    sidecars: int = 0
    differ: int = 0  # steps that these decisions do otherwise
    seconds: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    upstreams: defaultdict[tuple[int, int], Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    slots: defaultdict[int, list[tuple[float, int, float]]] = field(default_factory=lambda: defaultdict(list))


def cold(decisions: Balancer, ident: int, now_us: int) -> bool:
    server = decisions.endpoints.get(ident)
    return server is not None and decisions.pool.slow_start_weight(server, now_us) < 1.0


def count(recording: Recording, into: Counted) -> None:
    """Add one sidecar's play. Raises RecordingError."""
    head = recording.head
    into.began_us = into.began_us or head.started_us
    into.sidecars += 1
    came: dict[int, tuple[int, int]] = {}  # request: when, class
    shown = -1
    for decisions, difference, frame in replay_steps(head, recording.frames()):
        event, now_us = frame.event, frame.now_us
        into.differ += difference is not None
        second = (now_us - into.began_us) // 1_000_000
        seen = into.seconds[second]
        if isinstance(event, api.RequestArrived):
            came[event.request] = now_us, event.class_index
            seen["came"] += 1
            seen["again"] += event.retried
        elif isinstance(event, api.AttemptEnded):
            ended(into, decisions, second, now_us, event, came)
        for action in frame.actions:
            if isinstance(action, api.Send):
                seen["sent"] += 1
                seen["sent to cold"] += cold(decisions, action.upstream, now_us)
                into.upstreams[second, action.upstream]["sent"] += 1
            elif isinstance(action, api.Fail):
                seen["failed"] += 1
            elif isinstance(action, api.Refuse):
                fleet = decisions.pool
                seen["refused"] += 1
                seen["for all"] += decisions.total_limiter.free_slots(now_us) <= 0
                seen["idle warm"] += sum(one.limiter.free_slots(now_us) > 0 for one in fleet.warm.items())
                seen["idle cold"] += sum(
                    not one.limiter.in_flight and one.limiter.free_slots(now_us) > 0
                    for one in fleet.warming.items()
                )
        if second != shown:
            shown = second
            into.slots[second].append(
                (
                    decisions.total_limiter.limit,
                    decisions.total_limiter.in_flight,
                    decisions.pool.warm_equivalent(now_us),
                )
            )


def ended(
    into: Counted,
    decisions: Balancer,
    second: int,
    now_us: int,
    event: api.AttemptEnded,
    came: dict[int, tuple[int, int]],
) -> None:
    seen, there = into.seconds[second], into.upstreams[second, event.upstream]
    seen["timed out"] += event.outcome is api.Outcome.TIMEOUT
    there["timed out"] += event.outcome is api.Outcome.TIMEOUT
    if event.outcome is not api.Outcome.OK or event.request not in came:
        return
    since_us, class_index = came[event.request]
    latency_objective_us, took_us = (
        decisions.settings.classes[class_index].latency_objective_us,
        now_us - since_us,
    )
    place = "cold" if cold(decisions, event.upstream, now_us) else "warm"
    seen["served"] += 1
    seen[f"served {place}"] += 1
    seen[f"us {place}"] += event.elapsed_us
    there["served"] += 1
    there["us"] += event.elapsed_us
    if took_us > latency_objective_us:
        seen[
            "late here" if took_us - event.elapsed_us > latency_objective_us * WAITED else f"late {place}"
        ] += 1


def show(counted: Counted) -> None:
    print(
        f"{counted.sidecars} sidecars"
        + (f"; {counted.differ} steps differ: recorded with other decisions" if counted.differ else "")
    )
    print(
        "sec   came  again   sent (cold) served  late: cold warm here  t/o  failed  refused for-all "
        " idle: warm cold   ms: cold warm   slots  used  upstreams"
    )
    for second, seen in sorted(counted.seconds.items()):
        refused = seen["refused"] or 1
        rows = counted.slots[second]
        window, used, many = (sum(row[n] for row in rows) for n in range(3))
        ms = [seen[f"us {one}"] / 1000 / (seen[f"served {one}"] or 1) for one in ("cold", "warm")]
        print(
            f"{second:3} {seen['came']:6} {seen['again']:6} {seen['sent']:6} {seen['sent to cold']:6} "
            f"{seen['served']:6} {seen['late cold']:10} {seen['late warm']:4} {seen['late here']:4} "
            f"{seen['timed out']:4} {seen['failed']:7} {seen['refused']:8} {seen['for all']:7} "
            f"{seen['idle warm'] / refused:11.1f} {seen['idle cold'] / refused:4.1f} "
            f"{ms[0]:10.0f} {ms[1]:4.0f} {window:7.0f} {used:5} {many / (len(rows) or 1):10.1f}"
        )


def show_upstreams(counted: Counted, second: int) -> None:
    print(f"second {second}: upstream, sent, served, timed out, mean ms")
    found = {ident: seen for (when, ident), seen in counted.upstreams.items() if when == second}
    for ident, seen in sorted(found.items(), key=lambda one: -one[1]["sent"]):
        print(
            f"{ident:12} {seen['sent']:5} {seen['served']:5} {seen['timed out']:4} "
            f"{seen['us'] / 1000 / (seen['served'] or 1):6.0f}"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--upstreams", type=int, help="a second")
    told = parser.parse_args()
    counted = Counted()
    for path in sorted(told.folder.glob("*.rec")):
        try:
            with open(path, "rb") as file:
                recording = Recording(file, path.name)
                with suppress(TruncatedRecordingError):
                    count(recording, counted)
        except (RecordingError, OSError) as error:
            print(f"left out: {error}", file=sys.stderr)
    if not counted.sidecars:
        print(f"no recording in {told.folder}", file=sys.stderr)
        return 1
    show(counted)
    if told.upstreams is not None:
        show_upstreams(counted, told.upstreams)
    return 0


if __name__ == "__main__":
    sys.exit(main())
