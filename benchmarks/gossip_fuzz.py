"""Hostile bytes at one instance, for long: mutated packets and states, some signed anew by a member.

    python -m benchmarks.gossip_fuzz [--seconds 600] [--seed 1] [--corpus tests/gossip/corpus.txt] [--keep]

Every input must end in outputs or a refusal, in bounded time and with bounded state. An input that does not
is printed with its seed; `--keep` adds it to the corpus, which CI replays (tests/gossip/test_keys.py).
"""

from __future__ import annotations

import argparse
import random
import sys
import time
import traceback
from pathlib import Path

from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Ack, Ask, Count, Nack, News, OutlierReport, Ping, Statement, Suspicion
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.testbed.client_fleet import Fleet, Member

SLOW_S = 0.5  # one input may take no longer, on a machine that is busy
MOST_RUMOURS = 64


def statements(ring: Keyring, dice: random.Random, wall_us: int) -> list[codec.Signed]:
    made: list[Statement] = [
        OutlierReport(
            [
                Count(
                    f"n{dice.randrange(4)}",
                    dice.choice((0, 5, codec.MOST_WHOLE)),
                    *(dice.choice((0, 1, 7, codec.MOST_WHOLE)) for _ in range(7)),
                )
                for _ in range(dice.randrange(9))
            ]
        ),
        Suspicion(f"i{dice.randrange(5)}", dice.choice((0, 1, wall_us // 1000, codec.MOST_WHOLE))),
        codec.Alive(
            dice.choice(("10.0.0.1", "::1", "a.example", "10.0.0.1\n")),
            dice.choice((1, 1001, 65535)),
            dice.choice((0, codec.MOST_WHOLE)),
            ring.certificate,
        ),
    ]
    return [ring.sign(one, wall_us) for one in dice.sample(made, dice.randrange(4))]


def mutated(data: bytes, dice: random.Random) -> bytes:
    found = bytearray(data)
    for _ in range(dice.choice((0, 1, 1, 2, 8))):
        at = dice.randrange(len(found) + 1)
        way = dice.randrange(5)
        if way == 0 and found:
            found[at % len(found)] ^= 1 << dice.randrange(8)
        elif way == 1:
            del found[at : at + dice.randrange(1, 20)]
        elif way == 2:
            found[at:at] = dice.randbytes(dice.randrange(1, 12))
        elif way == 3:
            found[at:at] = found[at : at + dice.randrange(1, 40)]
        else:
            del found[at:]
    return bytes(found)


def make(ring: Keyring, dice: random.Random, wall_us: int) -> tuple[bytes, bool]:
    """One input, and whether it is a side of an exchange."""
    told = statements(ring, dice, wall_us)
    if dice.random() < 0.2:
        data, state = ring.seal_state(told * dice.choice((1, 1, 50)), wall_us), True
    else:
        number = dice.choice((0, 5, codec.MOST_WHOLE))
        message = dice.choice((Ping(number, "i2"), Ack(number), Nack(number), Ask(number, "i0"), News()))
        data, state = ring.seal(message, told, wall_us), False
    payload = mutated(data[codec.HEADER_BYTES :], dice)
    if dice.random() < 0.7:  # a member that says nonsense
        return codec.closed(ring.key.sign(payload).signature, payload), state
    return mutated(data, dice), state


def feed(fleet: Fleet, member: Member, data: bytes, state: bool) -> None:
    instance, wall_us = member.instance, fleet.wall_us()
    if not state:
        fleet.perform(member, instance.receive(data, ("10.0.0.1", 1001), fleet.now_us, wall_us))
        return
    try:
        told = instance.opened(data, fleet.now_us, wall_us)
    except RejectedError:
        return
    fleet.perform(member, instance.exchanged(told, fleet.now_us, wall_us))


def play(seed: int, inputs: int, failing: list[bytes], until: float = float("inf")) -> int:
    """A fresh fleet and so many inputs; how many were fed."""
    dice = random.Random(seed)
    fleet = Fleet(4, 2, seed)
    fleet.run(3.0)
    target, ring = fleet.at(2), fleet.keyring(1, "s1")
    ring.last_us = fleet.wall_us() + 1_000_000
    for number in range(inputs):
        if time.monotonic() > until:
            return number
        data, state = make(ring, dice, fleet.wall_us())
        began = time.monotonic()
        try:
            feed(fleet, target, data, state)
            fleet.run(0.005)
            target.instance.strikes.clear()
            assert time.monotonic() - began < SLOW_S, "slow"
            assert len(target.instance.core.rumours) <= MOST_RUMOURS, "rumours without bound"
            assert len(target.instance.core.peers) <= 8, "peers without bound"
        except Exception:
            print(f"seed {seed}, input {number}: {data.hex()}", flush=True)
            traceback.print_exc()
            failing.append(data)
            return number
    return inputs


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--corpus", type=Path, default=Path("tests/gossip/corpus.txt"))
    parser.add_argument("--keep", action="store_true")
    told = parser.parse_args()
    until, seed, fed = time.monotonic() + told.seconds, told.seed, 0
    failing: list[bytes] = []
    while time.monotonic() < until and not failing:
        fed += play(seed, 2000, failing, until)
        seed += 1
    if failing and told.keep:
        with told.corpus.open("a") as file:
            file.writelines(f"{data.hex()}\n" for data in failing)
    print(f"{fed} inputs, seeds {told.seed} to {seed - 1}: {len(failing)} failed")
    return 1 if failing else 0


if __name__ == "__main__":
    sys.exit(main())
