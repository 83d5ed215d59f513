"""`python3 -m sidecar_proxy replay FILE` and `why FILE REQUEST`."""

from __future__ import annotations

import argparse
import sys

from sidecar_proxy.recorder.record_framing import words
from sidecar_proxy.recorder.recording import Head, Recording, RecordingError, digest
from sidecar_proxy.recorder.replay import Difference, differences
from sidecar_proxy.recorder.request_trace import story

EVERY = 50_000  # steps between two lines of progress


def show(one: Difference) -> None:
    print(f"step {one.step}, at {one.frame.now_us} us: {words(one.frame.event)}")
    for title, found in (("then", one.frame.fault or one.frame.actions), ("now ", one.now)):
        text = found if isinstance(found, str) else "; ".join(words(action) for action in found) or "nothing"
        print(f"    {title}: {text}")


def describe(head: Head) -> None:
    print(f"{head.name}: {'from its start' if head.whole else 'its last steps'}, written for {head.why}")
    if head.decisions != digest():
        print(f"recorded with other decisions ({head.decisions}); these are {digest()}")


def replay(recording: Recording, most: int) -> int:
    head = recording.head
    describe(head)
    if not head.whole:
        print(
            "its first steps are no longer in it, so it can't be played again; `why` tells what is there",
            file=sys.stderr,
        )
        return 2
    step = shown = 0
    for step, difference in differences(head, recording.frames()):
        if difference is not None:
            shown += 1
            show(difference)
            if shown >= most:
                break
        if step % EVERY == 0:
            print(f"{step} steps ...", file=sys.stderr)
    print(
        f"{step} steps, "
        + (
            "the same actions to the last one"
            if not shown
            else f"{shown} shown that differ; after the first the rest is of another state"
        )
    )
    return 1 if shown else 0


def why(recording: Recording, request: str) -> int:
    describe(recording.head)
    told = False
    for line in story(recording.head.settings, recording.frames(), request):
        told = True
        print(line)
    if not told:
        print(f"no request {request} in it", file=sys.stderr)
    return 0 if told else 1


def main(command: str, arguments: list[str]) -> int:
    """0; 1 for differences, or a request that is not there; 2 for a file that can't be used."""
    parser = argparse.ArgumentParser(prog=f"python3 -m sidecar_proxy {command}", description=__doc__)
    parser.add_argument("file")
    if command == "replay":
        parser.add_argument("--most", type=int, default=3, help="differences that are shown")
    else:
        parser.add_argument("request", help="its Req-Id, or its number in the sidecar")
    told = parser.parse_args(arguments)
    try:
        with open(told.file, "rb") as file:
            recording = Recording(file, told.file)
            return replay(recording, told.most) if command == "replay" else why(recording, told.request)
    except (RecordingError, OSError) as error:
        sys.stdout.flush()
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
