"""Replays recordings of the flight recorder to their last steps, and counts the steps that differ.

    python -m benchmarks.replay_recordings FILE...

Prints a line for each file: its steps, how many of them differ, CPU microseconds of a step (reading the
frame included), and a digest of the random generator's state after the last step, which tells whether as many
numbers were drawn. Exits with 1 if a step differs, with 2 if a file can't be replayed.
"""

from __future__ import annotations

import argparse
import hashlib
import sys
import time
from dataclasses import dataclass

from sidecar_proxy import compiled
from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.recorder.recording import Recording, RecordingError
from sidecar_proxy.recorder.replay import replay_steps


@dataclass(slots=True, frozen=True)
class Replayed:
    """What came of one recording."""

    steps: int
    differing: int
    cpu_us_a_step: float
    random_state: str


def random_state_digest(balancer: Balancer) -> str:
    state = repr(balancer.context.random.getstate()).encode()
    return hashlib.blake2b(state, digest_size=8).hexdigest()


def replay(path: str) -> Replayed:
    """Raises OSError and RecordingError."""
    with open(path, "rb") as file:
        recording = Recording(file, path)
        if not recording.head.whole:
            raise RecordingError(f"{path}: its first steps are missing")
        count = differing = 0
        last: Balancer | None = None
        began_ns = time.process_time_ns()
        for balancer, difference, _ in replay_steps(recording.head, recording.frames()):
            count += 1
            differing += difference is not None
            last = balancer
        spent_ns = time.process_time_ns() - began_ns
    if last is None:
        raise RecordingError(f"{path}: it has no steps")
    return Replayed(count, differing, spent_ns / 1000 / count, random_state_digest(last))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("files", nargs="+", metavar="FILE")
    code = 0
    print(f"decisions: {compiled.state}")
    for path in parser.parse_args().files:
        try:
            found = replay(path)
        except (OSError, RecordingError) as error:
            print(f"replay_recordings: {error}", file=sys.stderr)
            code = 2
            continue
        print(
            f"{path}: {found.steps} steps, {found.differing} differ, {found.cpu_us_a_step:.1f} us a step, "
            f"random state {found.random_state}",
            flush=True,
        )
        if found.differing:
            code = max(code, 1)
    return code


if __name__ == "__main__":
    sys.exit(main())
