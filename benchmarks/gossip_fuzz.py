"""Fuzzes one gossip instance: mutated packets and states, some of them signed again by a member.

    python -m benchmarks.gossip_fuzz [--seconds 600] [--seed 1] [--corpus tests/gossip/corpus.txt] [--keep]

Every input must end in outputs or a rejection, in bounded time and with bounded state. An input that does not
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
from sidecar_proxy.gossip.codec import (
    Ack,
    Nack,
    OutlierReport,
    Ping,
    PingReq,
    Statement,
    Suspect,
    UpstreamReport,
    UrgentBroadcasts,
)
from sidecar_proxy.gossip.keys import Keyring, RejectedError
from sidecar_proxy.testbed.client_fleet import Fleet, Member

MAX_INPUT_S = 0.5  # for one input, on a busy machine
MAX_QUEUED_BROADCASTS = 64
MAX_KNOWN_PEERS = 8
INPUTS_PER_SEED = 2000
STATE_SHARE = 0.2  # of the inputs; the others are packets
RESIGNED_SHARE = 0.7  # of the inputs: a member's valid signature over a mutated payload


def random_statements(keyring: Keyring, rng: random.Random, wall_us: int) -> list[codec.SignedStatement]:
    """Return up to three signed statements with extreme values."""
    statements: list[Statement] = [
        OutlierReport(
            [
                UpstreamReport(
                    f"n{rng.randrange(4)}",
                    rng.choice((0, 5, codec.MAX_INTEGER)),
                    *(rng.choice((0, 1, 7, codec.MAX_INTEGER)) for _ in range(7)),
                )
                for _ in range(rng.randrange(9))
            ]
        ),
        Suspect(f"i{rng.randrange(5)}", rng.choice((0, 1, wall_us // 1000, codec.MAX_INTEGER))),
        codec.Alive(
            rng.choice(("10.0.0.1", "::1", "a.example", "10.0.0.1\n")),
            rng.choice((1, 1001, 65535)),
            rng.choice((0, codec.MAX_INTEGER)),
            keyring.certificate,
        ),
    ]
    chosen = rng.sample(statements, rng.randrange(4))
    return [keyring.sign(statement, wall_us) for statement in chosen]


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return the data with some bits flipped and pieces removed, inserted, repeated or cut off."""
    mutated = bytearray(data)
    for _ in range(rng.choice((0, 1, 1, 2, 8))):
        at = rng.randrange(len(mutated) + 1)
        mutation = rng.randrange(5)
        if mutation == 0 and mutated:
            mutated[at % len(mutated)] ^= 1 << rng.randrange(8)
        elif mutation == 1:
            del mutated[at : at + rng.randrange(1, 20)]
        elif mutation == 2:
            mutated[at:at] = rng.randbytes(rng.randrange(1, 12))
        elif mutation == 3:
            mutated[at:at] = mutated[at : at + rng.randrange(1, 40)]
        else:
            del mutated[at:]
    return bytes(mutated)


def make_input(keyring: Keyring, rng: random.Random, wall_us: int) -> tuple[bytes, bool]:
    """Return one input, and whether it is a state of an exchange instead of a packet."""
    statements = random_statements(keyring, rng, wall_us)
    is_state = rng.random() < STATE_SHARE
    if is_state:
        data = keyring.seal_state(statements * rng.choice((1, 1, 50)), wall_us)
    else:
        number = rng.choice((0, 5, codec.MAX_INTEGER))
        message = rng.choice(
            (Ping(number, "i2"), Ack(number), Nack(number), PingReq(number, "i0"), UrgentBroadcasts())
        )
        data = keyring.seal_packet(message, statements, wall_us)
    payload = mutate(data[codec.ENVELOPE_HEADER_BYTES :], rng)
    if rng.random() < RESIGNED_SHARE:
        return codec.join_envelope(keyring.key.sign(payload).signature, payload), is_state
    return mutate(data, rng), is_state


def feed(fleet: Fleet, member: Member, data: bytes, is_state: bool) -> None:
    """Hand an input to an instance and carry out what it returns."""
    instance, wall_us = member.instance, fleet.wall_us()
    if not is_state:
        fleet.perform(member, instance.receive(data, ("10.0.0.1", 1001), fleet.now_us, wall_us))
        return
    try:
        statements = instance.open_remote_state(data, fleet.now_us, wall_us)
    except RejectedError:
        return
    fleet.perform(member, instance.merge_remote_state(statements, fleet.now_us, wall_us))


def check_input(fleet: Fleet, target: Member, data: bytes, is_state: bool) -> None:
    """Feed an input and assert the bounds on time and state."""
    began_s = time.monotonic()
    feed(fleet, target, data, is_state)
    fleet.run(0.005)
    target.instance.blocklist.clear()
    core = target.instance.core
    assert time.monotonic() - began_s < MAX_INPUT_S, "slow"
    assert len(core.dissemination.queue) <= MAX_QUEUED_BROADCASTS, "broadcasts without bound"
    assert len(core.members) <= MAX_KNOWN_PEERS, "peers without bound"


def play(seed: int, inputs: int, failing: list[bytes], until_s: float = float("inf")) -> int:
    """Feed a new fleet with inputs until one fails; return how many did not."""
    rng = random.Random(seed)
    fleet = Fleet(4, 2, seed)
    fleet.run(3.0)
    target, keyring = fleet.at(2), fleet.keyring(1, "s1")
    keyring.last_sequence_us = fleet.wall_us() + 1_000_000
    for number in range(inputs):
        if time.monotonic() > until_s:
            return number
        data, is_state = make_input(keyring, rng, fleet.wall_us())
        try:
            check_input(fleet, target, data, is_state)
        except Exception:  # any exception is a finding
            print(f"seed {seed}, input {number}: {data.hex()}", flush=True)
            traceback.print_exc()
            failing.append(data)
            return number
    return inputs


def main() -> int:
    """Fuzz for a while; the exit status is 1 if an input has failed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--corpus", type=Path, default=Path("tests/gossip/corpus.txt"))
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    until_s = time.monotonic() + arguments.seconds
    seed, fed = arguments.seed, 0
    failing: list[bytes] = []
    while time.monotonic() < until_s and not failing:
        fed += play(seed, INPUTS_PER_SEED, failing, until_s)
        seed += 1
    if failing and arguments.keep:
        with arguments.corpus.open("a") as file:
            file.writelines(f"{data.hex()}\n" for data in failing)
    print(f"{fed} inputs, seeds {arguments.seed} to {seed - 1}: {len(failing)} failed")
    return 1 if failing else 0


if __name__ == "__main__":
    sys.exit(main())
