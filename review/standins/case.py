"""What all cases share: the exit status, and the check of the rule on drains."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

from standins.client import Application
from standins.discovery import Discovery
from standins.record import Record
from standins.settings import DRAIN_GRACE_S, RULE_SLACK_S
from standins.sidecar import CannotRunError
from standins.upstream import Upstream

HELD, CANNOT_RUN = 0, 2
BROKEN = 10  # run.sh makes 1 of it, so that a fault of a script is not taken for a broken rule

# Plays a case in a temporary folder, with the disruption or without; returns how often the rule was broken.
Play = Callable[[Record, Path, bool], Awaitable[int]]


async def play_to_end(play: Play, record: Record, folder: Path) -> int:
    """Play a case, with the disruption unless TROUBLE is 0. SIGTERM cancels it: it ends its processes."""
    task = asyncio.ensure_future(play(record, folder, os.environ.get("TROUBLE") != "0"))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def run_case(here: Path, play: Play) -> int:
    """Play a case, write `record.txt` beside it, and return the exit status."""
    record = Record(here / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(play_to_end(play, record, Path(folder)))
    except (CannotRunError, OSError, asyncio.CancelledError) as error:
        record.write("check", f"could not run: {error!r}")
        return CANNOT_RUN
    finally:
        record.close()
    return BROKEN if breaks else HELD


def seed() -> int:
    """Return the seed of this run."""
    return int(os.environ.get("SEED", "1"))


def require_service(record: Record, applications: Iterable[Application]) -> None:
    """Record how many requests were served; raise CannotRunError if that is less than half."""
    answers = [answered for application in applications for answered in application.answers]
    served = sum(answered.status == 200 for answered in answers)
    record.write("check", f"{len(answers)} requests, {served} served")
    if served < len(answers) / 2:
        raise CannotRunError(f"{served} of {len(answers)} requests were served")


def count_late_sends(record: Record, discovery: Discovery, leaving: Iterable[Upstream]) -> int:
    """Return how many sends came later than the grace after it was told that their upstream leaves."""
    late = 0
    for upstream in leaving:
        if upstream.name not in discovery.told_leaving_s:
            raise CannotRunError(f"the sidecar was not told that {upstream.name} leaves")
        last_s = discovery.told_leaving_s[upstream.name] + DRAIN_GRACE_S + RULE_SLACK_S
        sends = [sent_s for sent_s in upstream.sends_s if sent_s > last_s]
        late += len(sends)
        if sends:
            text = f"{len(sends)} sends too late, the last {sends[-1] - last_s:.2f} s after the grace"
            record.write("check", f"{upstream.name}: {text}")
    record.write("check", f"{late} sends later than the grace")
    return late
