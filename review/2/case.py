"""A drain that a whole list tells while an operator holds the upstream is kept once the hold ends.

The exit status is 10 if a draining upstream got new work after the grace (standins/case.py).
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.case import count_late_sends, require_service, run_case, seed  # noqa: E402
from standins.client import Application  # noqa: E402
from standins.discovery import Discovery  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.sidecar import Sidecar  # noqa: E402
from standins.upstream import Upstream, cross_site_s  # noqa: E402

UPSTREAMS = 70
HELD = 4
RATE_PER_S = 200.0
SUSPEND_S, DRAIN_S, RESTORE_S, END_S = 4.0, 6.0, 12.0, 27.0


async def wait_until(record: Record, since_s: float, at_s: float) -> None:
    """Wait until so long after the start of the traffic."""
    await asyncio.sleep(max(0.0, since_s + at_s - record.now_s()))


async def drain(discovery: Discovery, held: list[Upstream], is_troubled: bool) -> None:
    """Let the upstreams drain. With the disruption the watch is reset and begins whole."""
    if is_troubled:
        discovery.reset_watches()
        discovery.oldest_seq = discovery.seq + 1
    for upstream in held:
        upstream.health = "terminating"
    discovery.change(*(upstream.entry() for upstream in held))


async def play(record: Record, folder: Path, is_troubled: bool) -> int:
    """Play the case and return the number of sends that came too late."""
    dice = random.Random(seed())
    upstreams = [Upstream(record, number, dice, lambda: cross_site_s(dice)) for number in range(UPSTREAMS)]
    for upstream in upstreams:
        await upstream.start()
    held = dice.sample(upstreams, HELD)
    discovery = Discovery(record, [upstream.entry() for upstream in upstreams])
    await discovery.start()
    sidecar = Sidecar(record, folder, instances=1, index=0)
    application = Application(record, sidecar.address, RATE_PER_S, seed())
    known = {"seq": 1, "whole": True, "hosts": [upstream.entry() for upstream in upstreams]}
    try:
        await sidecar.start(discovery.address, known)
        application.start()
        since_s = record.now_s()
        await wait_until(record, since_s, SUSPEND_S)
        for upstream in held:
            await sidecar.call(f"SUSPEND {upstream.name}")
        await wait_until(record, since_s, DRAIN_S)
        await drain(discovery, held, is_troubled)
        await wait_until(record, since_s, RESTORE_S)
        for upstream in held:
            await sidecar.call(f"RESTORE {upstream.name}")
        await wait_until(record, since_s, END_S)
    finally:
        await application.stop()
        await sidecar.stop()
        await discovery.stop()
        for upstream in upstreams:
            upstream.stop()
    require_service(record, [application])
    return count_late_sends(record, discovery, held)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
