"""Whole fleets that agree, in one process, in virtual time, from one seed: the pure parts that sidecars run,
on a network that delays, loses, doubles, reorders and cuts, on disks that are slow, lost and torn, with
operators at all doors. What they are told is judged by its contract (history.py).

    python -m sidecar_proxy.model_checking.fleets --seed 1 --runs 500
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus.frames import ReplicaStatus
from sidecar_proxy.consensus.log import PersistedState, RaftLog
from sidecar_proxy.consensus.messages import HardState
from sidecar_proxy.consensus.outputs import Broadcast, Output, PersistState, SendMessage
from sidecar_proxy.consensus.proposals import ProposalResult
from sidecar_proxy.consensus.replica import Replica
from sidecar_proxy.consensus.replica_context import ReplicaLimits
from sidecar_proxy.consensus.replicated_commands import CommandKind
from sidecar_proxy.consensus.voters import name_of, node_id_of
from sidecar_proxy.model_checking.history import Logged, Said, judge

SECONDS = 40.0
CALM_S = 20.0  # at the end nothing is broken any more
FAULTS = ("kill", "wipe", "stop", "part", "oneway", "bridge", "slow disk", "full disk", "lossy")
NAMES = ("s-0", "s-1", "s-2")
LIMITS = ReplicaLimits(replace_after_us=6_000_000, compaction_entries=24)
Makes = Callable[..., Replica]


@dataclass(slots=True, eq=False)
class Mind:
    """One sidecar's process and its disk."""

    name: str
    member: Replica
    disk: PersistedState
    life: int = 0
    due_us: int = 0  # of its next tick
    up: bool = True
    stopped: bool = False
    pending: PersistState | None = None
    disk_us: tuple[int, int] = (500, 5000)  # how long a Write takes
    full: bool = False
    inbox: list[Callable[[], list[Output]]] = field(default_factory=list)  # while it is stopped
    incarnations: int = 0


class World:
    """One seed is one run."""

    def __init__(self, seed: int, count: int = 6, voters: int = 3, makes: Makes = Replica) -> None:
        self.dice = random.Random(seed)
        self.makes = makes
        self.limits = ReplicaLimits(
            voters, True, LIMITS.replace_after_us, LIMITS.transfer_bytes_per_s, LIMITS.compaction_entries
        )
        self.now_us = 1_000_000
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.cut: dict[tuple[str, str], int] = {}
        self.lossy = 0.0
        self.history: list[Said] = []
        self.asked: dict[tuple[str, int, int], Said] = {}
        self.ids: list[tuple[str, str, str]] = []
        self.contexts = 0
        self.found: list[str] = []
        self.story: list[str] = []
        self.minds = {}
        for number in range(count):
            name = f"m{number}"
            disk = PersistedState(self.incarnation(name, 0))
            self.minds[name] = Mind(name, self.make(name, disk), disk)
        for mind in self.minds.values():
            mind.due_us = self.now_us + self.dice.randrange(50_000)
            self.later(mind.due_us - self.now_us, partial(self.tick, mind, 0, mind.due_us))
        self.later(3_000_000, self.begin)

    def incarnation(self, name: str, number: int) -> str:
        return f"{name}-{number}".ljust(16, "x")

    def make(self, name: str, disk: PersistedState) -> Replica:
        kept = PersistedState(
            disk.incarnation,
            disk.hard_state,
            disk.commit_index,
            RaftLog(disk.log.snapshot, list(disk.log.entries)),
        )
        return self.makes(
            name,
            f"site{int(name[1:]) % 3}",
            kept,
            self.limits,
            random.Random(f"{name} {self.dice.random()}"),
            self.now_us,
            self.now_us // 1000,
        )

    # Time

    def later(self, wait_us: int, does: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now_us + wait_us, self.order, does))

    def run(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * 1e6)
        while self.queue and self.queue[0][0] <= end_us:
            self.now_us, _, does = heapq.heappop(self.queue)
            does()
        self.now_us = end_us

    def tick(self, mind: Mind, life: int, due_us: int) -> None:
        if mind.life != life or mind.due_us != due_us:
            return
        mind.due_us = 0
        if mind.stopped:
            self.arm(mind, self.now_us + 50_000)
        else:
            self.perform(mind, mind.member.tick(self.now_us, self.now_us // 1000))

    def arm(self, mind: Mind, due_us: int) -> None:
        if not mind.due_us or due_us < mind.due_us:
            mind.due_us = due_us
            self.later(max(0, due_us - self.now_us), partial(self.tick, mind, mind.life, due_us))

    # The network

    def reaches(self, source: str, target: str) -> bool:
        return not self.cut.get((source, target)) and self.dice.random() >= self.lossy

    def trip_us(self) -> int:
        slow = self.dice.random() < 0.05
        return self.dice.randrange(300_000) if slow else 200 + self.dice.randrange(2000)

    def give(self, mind: Mind, life: int, does: Callable[[Replica], list[Output]]) -> None:
        """To its process, if it is the same one yet; one that is stopped finds it when it wakes."""
        if mind.life != life or not mind.up:
            return
        if mind.stopped:
            mind.inbox.append(lambda: does(mind.member))
        else:
            self.perform(mind, does(mind.member))

    def perform(self, mind: Mind, outputs: list[Output]) -> None:
        for one in outputs:
            if isinstance(one, PersistState):
                assert mind.pending is None, "two Writes at a time"
                mind.pending = one
                self.write(mind, mind.life)
            elif isinstance(one, SendMessage):
                self.post(mind, one)
            elif isinstance(one, Broadcast):
                self.spread(mind, one.status)
            elif isinstance(one, ProposalResult):
                self.answered(mind, one)
        self.arm(mind, mind.member.due_us)

    def post(self, mind: Mind, one: SendMessage) -> None:
        life, there = mind.life, self.minds[name_of(one.target)]
        if not there.up or there.member.node_id != one.target:
            self.later(
                2000, lambda: self.give(mind, life, lambda m: m.on_unsent(one.target, one.frame, self.now_us))
            )
            return
        if not self.reaches(mind.name, there.name):
            if self.dice.random() < 0.3:
                self.later(
                    3_000_000,
                    lambda: self.give(mind, life, lambda m: m.on_link_broken(one.target, self.now_us)),
                )
            return
        target, source = there.life, mind.member.node_id
        for _ in range(2 if self.dice.random() < 0.03 else 1):
            self.later(
                self.trip_us(),
                lambda: self.give(there, target, lambda m: m.on_frame(source, one.frame, self.now_us)),
            )

    def spread(self, mind: Mind, here: ReplicaStatus) -> None:
        """Gossip: to all that can be reached, some sooner."""
        for there in self.minds.values():
            if there is not mind and self.reaches(mind.name, there.name):
                self.later(
                    self.dice.randrange(50_000, 1_200_000),
                    partial(self.give, there, there.life, partial(self.hear, mind, here)),
                )

    def hear(self, of: Mind, here: ReplicaStatus, member: Replica) -> list[Output]:
        return member.on_status(of.name, of.member.site, here, self.now_us)

    def leave(self, name: str, member: Replica) -> list[Output]:
        return member.on_peer_left(name, self.now_us)

    def watch(self) -> None:
        """Gossip's other part: who can't be reached is held for dead, who can is heard again."""
        for mind in self.minds.values():
            for there in self.minds.values():
                if mind is there or not there.up:
                    continue
                gone = (
                    not mind.up
                    or mind.stopped
                    or self.cut.get((mind.name, there.name))
                    and self.cut.get((there.name, mind.name))
                )
                said = mind.member.status_broadcaster.last_status
                if gone:
                    self.give(there, there.life, partial(self.leave, mind.name))
                elif said is not None and not self.cut.get((mind.name, there.name)):
                    self.give(there, there.life, partial(self.hear, mind, said))
        self.later(2_000_000, self.watch)

    # Disks

    def write(self, mind: Mind, life: int) -> None:
        def end() -> None:
            if mind.life != life or mind.pending is None:
                return
            if mind.full:
                self.later(500_000, end)
                return
            if mind.stopped:
                mind.inbox.append(lambda: self.stored(mind))
            else:
                self.perform(mind, self.stored(mind))

        self.later(self.dice.randrange(*mind.disk_us), end)

    def stored(self, mind: Mind) -> list[Output]:
        one, mind.pending = mind.pending, None
        assert one is not None
        keep(mind.disk, one, True)
        return mind.member.on_persisted(self.now_us)

    # What is broken

    def fault(self) -> None:
        kind = self.dice.choice(FAULTS)
        mind = self.dice.choice(list(self.minds.values()))
        wait_us = self.dice.randrange(200_000, 9_000_000)
        self.story.append(f"{self.now_us / 1e6:.2f} {kind} {mind.name} {wait_us / 1e6:.1f} s")
        if kind in ("kill", "wipe"):
            if not mind.up:
                return
            self.kill(mind)
            if kind == "wipe" and self.may_lose(mind):
                mind.incarnations += 1
                mind.disk = PersistedState(self.incarnation(mind.name, mind.incarnations))
            self.later(wait_us, lambda: self.start(mind))
        elif kind == "stop":
            if mind.up and not mind.stopped:
                mind.stopped = True
                self.later(wait_us, partial(self.wake, mind, mind.life))
        elif kind == "slow disk":
            mind.disk_us = (1_500_000, 2_000_000)
            self.later(wait_us, lambda: setattr(mind, "disk_us", (500, 5000)))
        elif kind == "full disk":
            mind.full = True
            self.later(wait_us, lambda: setattr(mind, "full", False))
        elif kind == "lossy":
            self.lossy = 0.3
            self.later(wait_us, lambda: setattr(self, "lossy", 0.0))
        else:
            self.separate(kind, mind.name, wait_us)

    def separate(self, kind: str, name: str, wait_us: int) -> None:
        others = [one for one in self.minds if one != name]
        some = {name, *self.dice.sample(others, self.dice.randrange(len(others) // 2 + 1))}
        rest = [one for one in self.minds if one not in some]
        if kind == "bridge" and rest:
            rest = rest[1:]  # the first one hears both
        ways = [(a, b) for a in some for b in rest]
        if kind != "oneway":
            ways += [(b, a) for a, b in ways]
        elif self.dice.random() < 0.5:
            ways = [(b, a) for a, b in ways]
        for way in ways:
            self.cut[way] = self.cut.get(way, 0) + 1

        def mend() -> None:
            for way in ways:
                self.cut[way] -= 1

        self.later(wait_us, mend)

    def may_lose(self, mind: Mind) -> bool:
        """A disk more than the fleet promises to outlive must not go: of each set of voters that may hold, a
        quorum has its disks and is well, until the lost one has been replaced. One that can't be heard is
        as good as lost: it may just have been replaced for it."""
        unheard = {name for way, marks in self.cut.items() if marks for name in way}
        there = {
            node_id_of(one.name, one.disk.incarnation)
            for one in self.minds.values()
            if one.up
            and not one.stopped
            and not one.full
            and one.name not in unheard
            and one.disk_us[0] < 100_000
        }
        sets = {
            voters
            for one in self.minds.values()
            for voters in (one.disk.log.voters(), one.member.core.voters, one.disk.log.snapshot.voters)
            if voters
        }
        return all(
            sum(node in there and node != mind.member.node_id for node in voters) > len(voters) // 2
            for voters in sets
            if mind.member.node_id in voters
        )

    def kill(self, mind: Mind) -> None:
        mind.up, mind.stopped, mind.inbox = False, False, []
        mind.life += 1
        if mind.pending is not None:
            part = self.dice.randrange(3)
            if part and not mind.full:
                keep(mind.disk, mind.pending, part == 2)
            mind.pending = None
        for key in [key for key in self.asked if key[0] == mind.name]:
            self.history.append(self.asked.pop(key))

    def start(self, mind: Mind) -> None:
        mind.up = True
        mind.member = self.make(mind.name, mind.disk)
        mind.due_us = self.now_us
        self.tick(mind, mind.life, self.now_us)

    def wake(self, mind: Mind, life: int) -> None:
        if mind.life != life or not mind.stopped:
            return
        mind.stopped = False
        inbox, mind.inbox = mind.inbox, []
        for does in inbox:
            if mind.life == life:
                self.perform(mind, does())

    # Operators

    def begin(self) -> None:
        mind = self.minds["m0"]
        self.perform(mind, mind.member.create_fleet(self.now_us))

    def leaders(self) -> list[Mind]:
        """All who think so, the latest first."""
        found = [
            one for one in self.minds.values() if one.up and not one.stopped and one.member.core.is_leader
        ]
        return sorted(found, key=lambda one: -one.member.core.term)

    def provoke(self) -> None:
        """While there are two leaders, something is said to the one and the other is asked for it."""
        found = self.leaders()
        if len(found) > 1:
            self.operate_at(found[0])
        self.later(100_000, self.provoke)

    def operate(self) -> None:
        """One says something at some door."""
        self.operate_at(self.dice.choice(list(self.minds.values())))
        self.later(self.dice.randrange(40_000, 450_000), self.operate)

    def operate_at(self, mind: Mind) -> None:
        if mind.up and not mind.stopped and mind.member.known_fleet_id():
            self.contexts += 1
            key = (mind.name, mind.life, self.contexts)
            if self.dice.random() < 0.2:
                self.look(mind, self.dice.choice(NAMES))
            else:
                if self.ids and self.dice.random() < 0.25:
                    ident, kind, name = self.dice.choice(self.ids[-8:])
                else:
                    ident = f"w{len(self.ids)}"
                    kind = self.dice.choice((CommandKind.SUSPEND, CommandKind.RESUME, CommandKind.DRAIN))
                    name = self.dice.choice(NAMES)
                    self.ids.append((ident, kind, name))
                self.asked[key] = Said(self.now_us, 0, "", 0, ident, kind, name)
                self.perform(
                    mind,
                    mind.member.submit_command(
                        self.contexts, words.ReplicatedCommand(kind, ident, mind.name, 0, name), self.now_us
                    ),
                )

    def look(self, mind: Mind, name: str) -> None:
        self.contexts += 1
        self.asked[mind.name, mind.life, self.contexts] = Said(self.now_us, 0, "", 0, "", "look", name)
        self.perform(mind, mind.member.submit_read(self.contexts, name, self.now_us))

    def answered(self, mind: Mind, told: ProposalResult) -> None:
        asked = self.asked.pop((mind.name, mind.life, told.request_id), None)
        if asked is None:
            self.found.append(f"{mind.name}: two answers to one word")
            return
        value = ""
        if not asked.id and told.status == "done":
            value = json.loads(told.text)["held"] or ""
        self.history.append(
            Said(
                asked.called_us, self.now_us, told.status, told.index, asked.id, asked.kind, asked.name, value
            )
        )
        leaders = self.leaders()
        if asked.id and told.status == "done" and len(leaders) > 1:
            for one in leaders:
                self.look(one, asked.name)

    # The run

    def play(self) -> list[str]:
        """What it has broken."""
        self.later(2_000_000, self.watch)
        self.run(8.0)
        self.later(0, self.operate)
        self.later(0, self.provoke)
        end_us = self.now_us + int(SECONDS * 1e6)
        while self.now_us < end_us:
            self.run(self.dice.expovariate(0.5))
            self.fault()
        self.run(9.5)  # all that is broken mends by itself
        self.run(CALM_S)
        for one in self.asked.values():
            self.history.append(one)
        return self.found + self.equal() + judge(self.history, self.log())

    def log(self) -> dict[int, Logged]:
        best = max((mind.member for mind in self.minds.values()), key=lambda one: one.state.index)
        return {index: Logged(word.id, word.kind, word.name) for index, word in best.state.recent_commands}

    def equal(self) -> list[str]:
        found = []
        states: dict[int, tuple[str, dict[str, Any]]] = {}
        newest = max(mind.member.core.commit_index for mind in self.minds.values())
        for mind in self.minds.values():
            member = mind.member
            shown = words.describe_state(member.state)
            other = states.setdefault(member.state.index, (mind.name, shown))
            if other[1] != shown:
                found.append(f"{mind.name} and {other[0]} differ at {member.state.index}")
            if newest - member.state.index > 30:
                found.append(f"{mind.name} is at {member.state.index} of {newest} after a calm of {CALM_S} s")
        if not any(mind.member.core.is_leader for mind in self.minds.values()):
            found.append("nobody leads after the calm")
        return found


def keep(disk: PersistedState, one: PersistState, whole: bool) -> None:
    """On the disk; `whole` False: a crash came between its records."""
    if one.snapshot is not None:
        if whole:  # a rename: all or nothing
            disk.log = RaftLog(one.snapshot, list(one.entries))
            disk.hard_state, disk.commit_index = one.current_hard_state, one.commit_index
        return
    if one.entries:
        log = disk.log
        del log.entries[one.entries[0].index - log.snapshot.index - 1 :]
        log.entries += one.entries
    if whole:
        disk.hard_state = HardState(one.current_hard_state.term, one.current_hard_state.vote)
        disk.commit_index = max(disk.commit_index, min(one.commit_index, disk.log.last_index))


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m sidecar_proxy.model_checking.fleets",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=100)
    told = parser.parse_args(arguments)
    answers: dict[str, int] = {}
    failed = 0
    for seed in range(told.seed, told.seed + told.runs):
        world = World(seed, 5 + seed % 4, 3 + 2 * (seed % 2))
        found = world.play()
        for one in world.history:
            answers[one.what] = answers.get(one.what, 0) + 1
        if found:
            failed += 1
            print(f"seed {seed}: {found[0]} ({len(found)} in all)\n  " + "\n  ".join(world.story))
    print(
        f"{told.runs} campaigns from seed {told.seed}: {failed} found something; answers "
        + ", ".join(f"{count} {what or 'none'}" for what, count in sorted(answers.items()))
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
