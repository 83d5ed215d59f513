"""Reads a ledger for the four rules. It knows what the peers saw and nothing of the sidecar's own books."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from sidecar_proxy.testbed.history import (
    Answered,
    Asked,
    Held,
    Process,
    Quit,
    Received,
    Record,
    Started,
    Told,
)

REFUSED = (429, 503)


@dataclass(slots=True, frozen=True)
class Kind:
    """What the rules have to know of a class."""

    effect: str  # idempotent, deduplicated or at_most_once
    group: str = "all"  # deduplicated: all, zone or cell
    deduplication_window_us: int = 0


@dataclass(slots=True, frozen=True)
class Bounds:
    """The figures of the rules, and what the measurement itself may be off by."""

    kinds: dict[str, Kind]
    slack_us: int = 50_000  # every limit is so much longer on sockets
    drain_us: int = 2_000_000
    multiple: float = 2.5  # of a cold node's present capacity
    fall_us: int = 2_000_000
    burst_us: int = 400_000  # work that chance may bring on top in one window


@dataclass(slots=True, frozen=True)
class Breach:
    rule: int
    at_us: int
    text: str


@dataclass(slots=True)
class Story:
    """All that concerns one request."""

    asked: Asked | None = None
    answers: list[Answered] = field(default_factory=list)
    quit: Quit | None = None
    received: list[Received] = field(default_factory=list)


def check(records: Iterable[Record], bounds: Bounds) -> list[Breach]:
    """Every breach, in the order of time. Records may come in any order."""
    listed = sorted(records, key=lambda record: record.at_us)
    stories: dict[str, Story] = defaultdict(Story)
    for record in listed:
        if isinstance(record, Asked):
            stories[record.request].asked = record
        elif isinstance(record, Answered):
            stories[record.request].answers.append(record)
        elif isinstance(record, Quit):
            stories[record.request].quit = record
        elif isinstance(record, Received):
            stories[record.request].received.append(record)
    breaches: list[Breach] = []
    away = absences(listed)
    held = [record for record in listed if isinstance(record, Held)]
    for name, story in stories.items():
        breaches += effects(name, story, bounds)
        if not excused(story, away, bounds):
            breaches += answers(name, story, bounds, held)
    breaches += operations(stories, bounds) + drains(listed, stories, bounds) + cold(listed, bounds)
    return sorted(breaches, key=lambda breach: breach.at_us)


GONE = ("killed", "stopped", "ending")
BACK = ("started", "woken")


def absences(listed: list[Record]) -> dict[str, list[tuple[int, int]]]:
    """When each sidecar's process was away or stopped by the script: it can't answer then."""
    found: dict[str, list[tuple[int, int]]] = defaultdict(list)
    since: dict[str, int] = {}
    for one in listed:
        if not isinstance(one, Process):
            continue
        if one.what in GONE:
            since.setdefault(one.sidecar, one.at_us)
        elif one.what in BACK and one.sidecar in since:
            found[one.sidecar].append((since.pop(one.sidecar), one.at_us))
    for name, at_us in since.items():
        found[name].append((at_us, 1 << 62))
    return found


def excused(story: Story, away: dict[str, list[tuple[int, int]]], bounds: Bounds) -> bool:
    """Its sidecar was killed or stopped under it. What nodes saw of it is judged all the same."""
    asked = story.asked
    if asked is None or asked.sidecar not in away:
        return False
    last_us = max([asked.due_us, *(one.at_us for one in story.answers)])
    return any(
        from_us <= last_us and asked.at_us <= to_us + bounds.slack_us
        for from_us, to_us in away[asked.sidecar]
    )


def held_us(held: Iterable[Held], from_us: int, to_us: int) -> int:
    """Return for how long the testbed's event loop was held up between two times."""
    return sum(max(0, min(one.at_us, to_us) - max(one.from_us, from_us)) for one in held)


def answers(name: str, story: Story, bounds: Bounds, held: list[Held]) -> list[Breach]:
    """Rule 1: one final answer in time, and nothing is sent afterwards.

    An answer may have come at any time while the event loop that reads it was held up.
    """
    asked, found = story.asked, []
    if asked is None:
        first = story.received[0] if story.received else story.answers[0] if story.answers else None
        return [Breach(1, first.at_us, f"{name}: nobody asked for it")] if first is not None else []
    over_us = story.quit.at_us if story.quit is not None else None
    if len(story.answers) > 1:
        found.append(Breach(1, story.answers[1].at_us, f"{name}: {len(story.answers)} answers"))
    if story.answers:
        answer = story.answers[0]
        over_us = min(answer.at_us, over_us or answer.at_us)
        if answer.status == 0:
            found.append(Breach(1, answer.at_us, f"{name}: its connection ended without an answer"))
        late_us = answer.at_us - asked.due_us
        if late_us > bounds.slack_us + held_us(held, asked.due_us, answer.at_us):
            found.append(Breach(1, answer.at_us, f"{name}: answered {late_us // 1000} ms after its due time"))
        if answer.status == 200 and not any(one.taken for one in story.received):
            found.append(Breach(1, answer.at_us, f"{name}: served, though no node took it"))
    elif story.quit is None:
        found.append(Breach(1, asked.due_us, f"{name}: never answered"))
    for one in story.received:
        if over_us is not None and one.first_us > over_us + bounds.slack_us:
            found.append(Breach(1, one.at_us, f"{name}: sent to {one.node} after its end"))
    return found


def effects(name: str, story: Story, bounds: Bounds) -> list[Breach]:
    """Rule 2, within one request: repeated or refused only where that is harmless."""
    taken = [one for one in story.received if one.taken]
    if story.asked is None or not taken:
        return []
    kind, found = bounds.kinds[story.asked.kind], []
    for one in taken[1:]:
        if kind.effect == "at_most_once":
            found.append(
                Breach(
                    2, one.at_us, f"{name}: unsafe, sent to {one.node} though {taken[0].node} may have run it"
                )
            )
        if kind.effect == "deduplicated" and kind.group == "cell" and one.cell != taken[0].cell:
            found.append(
                Breach(2, one.at_us, f"{name}: keyed, sent to cell {one.cell} after cell {taken[0].cell}")
            )
        if kind.effect == "deduplicated" and kind.group == "zone" and one.site != taken[0].site:
            found.append(Breach(2, one.at_us, f"{name}: keyed, sent to {one.site} after {taken[0].site}"))
        if (
            kind.effect == "deduplicated"
            and one.first_us > taken[0].at_us + kind.deduplication_window_us + bounds.slack_us
        ):
            found.append(Breach(2, one.at_us, f"{name}: keyed, repeated when its nodes had forgotten it"))
    harmless = kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")
    for answer in story.answers:
        if answer.status in REFUSED and not harmless:
            found.append(Breach(2, answer.at_us, f"{name}: refused, though {taken[0].node} may have run it"))
    return found


def operations(stories: dict[str, Story], bounds: Bounds) -> list[Breach]:
    """Rule 2, over a client's retries: what may happen once was taken by one request at most."""
    takers: dict[str, list[Story]] = defaultdict(list)
    for story in stories.values():
        if (
            story.asked is not None
            and bounds.kinds[story.asked.kind].effect == "at_most_once"
            and any(one.taken for one in story.received)
        ):
            takers[story.asked.operation].append(story)
    return [
        Breach(2, several[1].received[0].at_us, f"operation {name}: taken for {len(several)} requests")
        for name, several in takers.items()
        if len(several) > 1
    ]


def drains(listed: list[Record], stories: dict[str, Story], bounds: Bounds) -> list[Breach]:
    """Rule 3: nothing new over 2 s after a sidecar was told that a node drains or is gone."""
    found = []
    since: dict[tuple[str, str], int] = {}
    sends: list[tuple[int, Received]] = []
    away = absences(listed)
    for record in listed:
        if isinstance(record, Received):
            sends.append((record.first_us, record))
    events: list[tuple[int, Record]] = [(one.at_us, one) for one in listed if isinstance(one, Told)]
    for at_us, record in sorted([*events, *sends], key=lambda pair: pair[0]):
        if isinstance(record, Told):
            key = record.sidecar, record.node
            if record.health == "in_service":
                since.pop(key, None)
            else:
                since.setdefault(key, record.at_us)
        elif isinstance(record, Received):
            story = stories[record.request]
            sidecar = story.asked.sidecar if story.asked is not None else ""
            told_us = since.get((sidecar, record.node))
            if told_us is not None:  # a stopped one hears of it once it wakes
                told_us = max(
                    [
                        told_us,
                        *(to_us for from_us, to_us in away.get(sidecar, ()) if from_us <= told_us <= to_us),
                    ]
                )
            if told_us is not None and at_us > told_us + bounds.drain_us + bounds.slack_us:
                found.append(
                    Breach(
                        3,
                        at_us,
                        f"{record.request}: sent to {record.node} "
                        f"{(at_us - told_us) // 1000} ms after its drain was told",
                    )
                )
    return found


def cold(listed: list[Record], bounds: Bounds) -> list[Breach]:
    """Rule 4: in no window is a cold node given more than a multiple of what it can do by then."""
    started: dict[str, list[Started]] = defaultdict(list)
    work: dict[str, list[Received]] = defaultdict(list)
    for record in listed:
        if isinstance(record, Started):
            started[record.node].append(record)
        elif isinstance(record, Received):
            work[record.node].append(record)
    found = []
    for node, starts in started.items():
        for index, start in enumerate(starts):
            if start.cold_share >= 1.0 or start.warm_up_us <= 0:
                continue
            end_us = start.at_us + start.warm_up_us
            if index + 1 < len(starts):
                end_us = min(end_us, starts[index + 1].at_us)
            given = [one for one in work[node] if start.at_us <= one.at_us < end_us]
            held_us, first = 0, 0
            for last, one in enumerate(given):
                held_us += one.work_us
                while given[first].at_us <= one.at_us - bounds.fall_us:
                    held_us -= given[first].work_us
                    first += 1
                can_us = capacity_us(start, one.at_us - bounds.fall_us, one.at_us)
                if held_us > bounds.multiple * can_us + bounds.burst_us:
                    found.append(
                        Breach(
                            4,
                            one.at_us,
                            f"{node}: cold, given {held_us / 1000:.0f} ms of work "
                            f"in a window in which it can do {can_us / 1000:.0f}",
                        )
                    )
                    break  # one a start tells enough
                assert last >= first
    return found


def capacity_us(start: Started, from_us: int, to_us: int) -> float:
    """The work that a node can do between two times: its cores times its warmth, which grows evenly. What
    lies before its start counts as at the start: a window is always whole."""

    def warmth(at_us: int) -> float:
        age = min(max(0, at_us - start.at_us), start.warm_up_us) / start.warm_up_us
        return start.cold_share + (1.0 - start.cold_share) * age

    middle = max(from_us, start.at_us)
    area = (middle - from_us) * warmth(start.at_us) + (to_us - middle) * (warmth(middle) + warmth(to_us)) / 2
    return start.cores * area


@dataclass(slots=True)
class Row:
    """One class in the table at the end."""

    kind: str
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    quit: int = 0
    attempts: int = 0
    took_us: list[int] = field(default_factory=list)

    def percentile_ms(self, share: float) -> float:
        ordered = sorted(self.took_us)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1000 if ordered else 0.0


def table(records: Iterable[Record]) -> list[Row]:
    """What became of the requests of each class."""
    rows: dict[str, Row] = {}
    asked: dict[str, Asked] = {}
    for record in sorted(records, key=lambda record: record.at_us):
        if isinstance(record, Asked):
            asked[record.request] = record
            row = rows.setdefault(record.kind, Row(record.kind))
            row.asked += 1
        elif isinstance(record, Answered | Quit | Received) and record.request in asked:
            request = asked[record.request]
            row = rows[request.kind]
            if isinstance(record, Quit):
                row.quit += 1
            elif isinstance(record, Received):
                row.attempts += 1
            elif record.status == 200:
                row.served += 1
                row.took_us.append(record.at_us - request.at_us)
            elif record.status in REFUSED:
                row.refused += 1
            else:
                row.failed += 1
    return list(rows.values())
