"""How a node's machine behaves: cores, a queue, a cold start, choking and falling over. Pure and seeded.

Work is microseconds on one core of a warm node. A job's time is its work, longer while the node is cold, and
longer again the more jobs wait (it chokes). Offered too much while it can do little, it falls and stays down.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

NEVER = 1 << 62


@dataclass(slots=True, frozen=True)
class Machine:
    """What a node is made of."""

    cores: int = 2
    queue: int = 30  # jobs that wait; more are turned away
    work_us: int = 20_000  # of one job, in the mean
    spread: float = 0.6  # standard deviation of the work, in means (lognormal)
    choke_at: float = 4.0  # jobs a core, from which each takes longer
    choke: float = 0.2  # longer by this for each further job a core
    cold_share: float = 0.4
    warm_up_us: int = 6_000_000
    multiple: float = 2.5  # of its present capacity, at which it falls while cold
    fall_us: int = 2_000_000  # offered for so long
    burst_us: int = 400_000  # and so much more than that, by chance

    def __post_init__(self) -> None:
        for name in ("cores", "queue", "work_us", "fall_us"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")
        if not 0 < self.cold_share <= 1 or self.warm_up_us < 0 or self.spread < 0:
            raise ValueError("cold_share must be above 0 and at most 1, warm_up_us and spread not below 0")


class Capacity:
    """One process on that machine, from its start on."""

    def __init__(self, machine: Machine, seed: int, started_us: int, warm: bool) -> None:
        self.machine = machine
        self.dice = random.Random(seed)
        self.started_us = started_us
        self.warm_at_us = started_us if warm else started_us + machine.warm_up_us
        self.running: set[str] = set()
        self.waiting: deque[tuple[str, int]] = deque()
        self.offered: deque[tuple[int, int]] = deque()  # when, how much; of the last window
        self.offered_us = 0
        self.fallen = False
        self.slow = 1.0  # times as long, by a fault

    def warmth(self, now_us: int) -> float:
        machine = self.machine
        if now_us >= self.warm_at_us:
            return 1.0
        age = max(0, now_us - self.started_us) / max(1, machine.warm_up_us)
        return machine.cold_share + (1.0 - machine.cold_share) * min(1.0, age)

    def draw_work(self) -> int:
        """The work of one job."""
        machine = self.machine
        if machine.spread == 0:
            return machine.work_us
        sigma = math.sqrt(math.log(1.0 + machine.spread**2))
        return max(1, int(machine.work_us * self.dice.lognormvariate(-sigma * sigma / 2, sigma)))

    def offer(self, now_us: int, job: str, work_us: int) -> bool:
        """Give it a job; False: its queue is full, or it is down. What it turns away is load as well."""
        if self.fallen:
            return False
        machine = self.machine
        self.offered.append((now_us, work_us))
        self.offered_us += work_us
        while self.offered[0][0] <= now_us - machine.fall_us:
            self.offered_us -= self.offered.popleft()[1]
        can_us = machine.multiple * machine.cores * self.warmth(now_us) * machine.fall_us
        if now_us < self.warm_at_us and self.offered_us > can_us + machine.burst_us:
            self.fallen = True
            self.waiting.clear()
            self.running.clear()
            return False
        if len(self.waiting) >= machine.queue:
            return False
        self.waiting.append((job, work_us))
        return True

    def begin(self, now_us: int) -> list[tuple[str, int]]:
        """The jobs that begin now, each with the time that it takes."""
        begun = []
        machine = self.machine
        while self.waiting and len(self.running) < machine.cores:
            job, work_us = self.waiting.popleft()
            crowd = (len(self.waiting) + len(self.running)) / machine.cores
            choked = 1.0 + machine.choke * max(0.0, crowd - machine.choke_at)
            self.running.add(job)
            begun.append((job, max(1, int(work_us * choked * self.slow / self.warmth(now_us)))))
        return begun

    def end(self, job: str) -> bool:
        """A job's time is over; False if it had been given up."""
        if job not in self.running:
            return False
        self.running.discard(job)
        return True

    def give_up(self, job: str) -> bool:
        """Nobody waits for it. True if it had not begun."""
        for one in self.waiting:
            if one[0] == job:
                self.waiting.remove(one)
                return True
        return False
