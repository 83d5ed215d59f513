"""Do the compiled decisions and their sources do the same? Seeded events to both, each in its own process.

    python -m benchmarks.same [--events 1000000] [--seed 1]

Arrivals, ends of every kind, lists, timers, clients that leave, what another process has learnt; the actions
are digested as they come. Prints one line each and exits with 1 if they differ.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import random
import subprocess
import sys
import time
from pathlib import Path

from sidecar_proxy import compiled
from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.balancer import Balancer

ROOT = Path(__file__).resolve().parent.parent
START_US = 1_000_000_000_000
OUTCOMES = [api.Outcome.OK] * 12 + [one for one in api.Outcome if one is not api.Outcome.OK]


def settings(dice: random.Random) -> api.Settings:
    classes = [
        api.RequestClass(
            "read", latency_objective_us=300_000, deadline_us=1_500_000, effect="idempotent", late_weight=0.3
        ),
        api.RequestClass(
            "pay", latency_objective_us=300_000, deadline_us=600_000, priority_weight=5, effect="at_most_once"
        ),
        api.RequestClass(
            "mark",
            latency_objective_us=400_000,
            deadline_us=2_000_000,
            priority_weight=3,
            effect="deduplicated",
            group=dice.choice(("all", "zone", "cell")),
            deduplication_window_us=1_200_000,
        ),
    ]
    return api.Settings(
        classes,
        instances=dice.choice((1, 3, 40)),
        tick_us=4000,
        max_attempts=4,
        cancel=True,
        zones=["a", "b"],
        zone=0,
        cross_zone_fee=dice.choice((0.0, 0.02)),
        max_retry_after_us=1_000_000,
        retry_after=True,
        cold_share=0.2,
        warm_up_us=20_000_000,
        overload_factor=2.5,
        max_upstreams=dice.choice((0, 12)),
        list_on_request=True,
    )


class Play:
    """One sidecar's events by chance; each depends on the actions before it, so a difference grows."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.now_us = START_US
        self.balancer = Balancer(settings(self.dice), seed, self.now_us)
        self.digest = hashlib.blake2b(digest_size=16)
        self.out: list[tuple[api.Send, int]] = []
        self.tries: dict[int, int] = {}
        self.timers: list[int] = []
        self.next_request = 1
        self.tell(self.list_of(api.ListKind.FULL, 30))

    def list_of(self, kind: api.ListKind, count: int) -> api.UpstreamsUpdated:
        dice, states = self.dice, [api.UpstreamState.READY] * 6 + list(api.UpstreamState)
        return api.UpstreamsUpdated(
            kind,
            [
                api.Upstream(
                    number,
                    state=dice.choice(states),
                    zone=number % 2,
                    cell=number // 4,
                    weight=1.0,
                    started_us=dice.choice((0, self.now_us - 5_000_000)),
                )
                for number in dice.sample(range(100, 140), count)
            ],
            self.now_us,
        )

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.digest.update(repr(action).encode())
            if isinstance(action, api.Send):
                self.out.append((action, self.now_us))
            elif isinstance(action, api.SetTimer):
                self.timers.append(action.at_us)

    def step(self) -> None:
        dice = self.dice
        self.now_us += dice.choice((0, 100, 1_000, 3_000))
        due = [at_us for at_us in self.timers if at_us <= self.now_us]
        if due:
            self.timers.remove(due[0])
            self.tell(api.TimerFired(0))
            return
        chance = dice.random()
        if chance < 0.5 and self.out:
            send, sent_us = self.out.pop(dice.randrange(len(self.out)))
            attempt = self.tries.get(send.request, 0)
            self.tries[send.request] = attempt + 1
            outcome = dice.choice(OUTCOMES)
            self.tell(
                api.AttemptEnded(
                    send.request,
                    attempt,
                    send.upstream,
                    outcome,
                    max(1, self.now_us - sent_us),
                    outcome is api.Outcome.OK,
                )
            )
        elif chance < 0.96:
            number, self.next_request = self.next_request, self.next_request + 1
            kind = dice.randrange(3)
            self.tell(
                api.RequestArrived(
                    number,
                    self.now_us + (1_500_000, 600_000, 2_000_000)[kind],
                    kind,
                    key=dice.randrange(20),
                    cost_us=dice.choice((0, 5_000)),
                )
            )
        elif chance < 0.98:
            self.tell(api.RequestGone(max(1, self.next_request - dice.randrange(1, 6))))
        elif chance < 0.995:
            self.tell(self.list_of(api.ListKind.DELTA, 2))
        elif chance < 0.999:
            self.tell(self.list_of(api.ListKind.FULL, dice.randrange(1, 30)))
        else:
            self.tell(self.balancer.export_warm_start_state())


def play(events: int, seed: int) -> str:
    """The digest of all actions, in plays of 20,000 events at most."""
    digests = []
    for part in range(0, events, 20_000):
        one = Play(seed + part)
        for _ in range(min(20_000, events - part)):
            one.step()
        digests.append(one.digest.hexdigest())
    return hashlib.blake2b("".join(digests).encode(), digest_size=16).hexdigest()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--events", type=int, default=1_000_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--here", action="store_true", help="play in this process, print the digest alone")
    found = parser.parse_args()
    if found.here:
        print(play(found.events, found.seed), compiled.state.split()[0])
        return 0
    said = []
    for pure in ("1", "0"):
        began = time.monotonic()
        command = [
            sys.executable,
            "-m",
            "benchmarks.same",
            "--here",
            "--events",
            str(found.events),
            "--seed",
            str(found.seed),
        ]
        done = subprocess.run(
            command,
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
            env=os.environ | {"SIDECAR_PROXY_PURE": pure},
        )
        said.append(done.stdout.split())
        print(
            f"{said[-1][1]:>9}: {said[-1][0]}, {found.events} events, seed {found.seed}, "
            f"{time.monotonic() - began:.0f} s",
            flush=True,
        )
    return 0 if said[0][0] == said[1][0] and [one[1] for one in said] == ["from", "compiled"] else 1


if __name__ == "__main__":
    sys.exit(main())
