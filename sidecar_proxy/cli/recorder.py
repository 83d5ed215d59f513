"""The commands `replay FILE`, which replays a recording, and `why FILE REQUEST`, which traces one request."""

from __future__ import annotations

import argparse
import sys

from sidecar_proxy.recorder.record_framing import describe_record
from sidecar_proxy.recorder.recording import Head, Recording, RecordingError, balancer_digest
from sidecar_proxy.recorder.replay import Difference, replay_differences
from sidecar_proxy.recorder.request_trace import trace_lines

PROGRESS_INTERVAL_STEPS = 50_000  # number of steps between two lines of progress


def print_difference(difference: Difference) -> None:
    """Prints a step at which the replay differs, with the recorded actions and those of the replay."""
    print(
        f"step {difference.step}, at {difference.frame.now_us} us: {describe_record(difference.frame.event)}"
    )
    for title, result in (
        ("then", difference.frame.fault or difference.frame.actions),
        ("now ", difference.replayed),
    ):
        text = (
            result
            if isinstance(result, str)
            else "; ".join(describe_record(action) for action in result) or "nothing"
        )
        print(f"    {title}: {text}")


def print_head(head: Head) -> None:
    """Prints the origin of a recording, and whether the balancer's code has changed since."""
    print(f"{head.name}: {'from its start' if head.whole else 'its last steps'}, written for {head.why}")
    if head.decisions != balancer_digest():
        print(f"recorded with other decisions ({head.decisions}); these are {balancer_digest()}")


def replay(recording: Recording, max_differences: int) -> int:
    """Replays a recording and prints the first differences.

    Returns the exit status: 0 for none, 1 for any, 2 if the recording does not begin at the first step.
    Raises RecordingError.
    """
    head = recording.head
    print_head(head)
    if not head.whole:
        print(
            "the first steps are no longer in the recording, so it can't be replayed; `why` shows the others",
            file=sys.stderr,
        )
        return 2
    step = difference_count = 0
    for step, difference in replay_differences(head, recording.frames()):
        if difference is not None:
            difference_count += 1
            print_difference(difference)
            if difference_count >= max_differences:
                break
        if step % PROGRESS_INTERVAL_STEPS == 0:
            print(f"{step} steps ...", file=sys.stderr)
    print(
        f"{step} steps, "
        + (
            "the same actions to the last one"
            if not difference_count
            else f"{difference_count} shown that differ; after the first the rest is of another state"
        )
    )
    return 1 if difference_count else 0


def trace_request(recording: Recording, request: str) -> int:
    """Prints the events and actions that concern one request, named by its Req-Id or its number.

    Returns the exit status: 0, or 1 if the request is not in the recording. Raises RecordingError.
    """
    print_head(recording.head)
    is_recorded = False
    for line in trace_lines(recording.head.settings, recording.frames(), request):
        is_recorded = True
        print(line)
    if not is_recorded:
        print(f"no request {request} in the recording", file=sys.stderr)
    return 0 if is_recorded else 1


def main(command: str, arguments: list[str]) -> int:
    """Runs the `replay` or the `why` command and returns its exit status.

    It is 0, 1 for differences or a request that is not in the recording, or 2 for a file that can't be used.
    """
    parser = argparse.ArgumentParser(prog=f"python3 -m sidecar_proxy {command}", description=__doc__)
    parser.add_argument("file")
    if command == "replay":
        parser.add_argument("--most", type=int, default=3, help="maximum number of differences to show")
    else:
        parser.add_argument("request", help="Req-Id of the request, or its number in the sidecar")
    options = parser.parse_args(arguments)
    try:
        with open(options.file, "rb") as file:
            recording = Recording(file, options.file)
            return (
                replay(recording, options.most)
                if command == "replay"
                else trace_request(recording, options.request)
            )
    except (RecordingError, OSError) as error:
        sys.stdout.flush()
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
