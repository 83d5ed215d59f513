"""Response times in a closed loop, and the connections that the sidecar holds for them.

    python -m benchmarks.reuse_delay [--seconds 4] [--clients 16] [--sizes 16,200,3000]

A connection to an upstream rests after each answer, so requests that follow closely need further
connections. For each number of upstreams, which answer at once, a bare pass-through and the sidecar are
driven in turn: median response time, CPU time a request, and the open descriptors of the process under test.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from typing import Any

import uvloop

from benchmarks.sidecar import Process, listed, request
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.http1 import ClientPeer
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import ROOT
from sidecar_proxy.testbed.scenario import Plan, settings

MAX_SOCKETS = 4096
WARM_UP_S = 1.0


@dataclass(frozen=True)
class Result:
    """What one process under test did in one turn."""

    requests: int
    median_ms: float
    cpu_us: float  # CPU time of a request
    descriptors: int


async def drive(address: tuple[str, int], clients: int, seconds: float, first: int) -> list[float]:
    """Send requests in a closed loop; return the response times in milliseconds."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    times_ms: list[float] = []
    numbers = iter(range(first, 1 << 62))

    async def client() -> None:
        _, peer = await loop.create_connection(ClientPeer, *address)
        while loop.time() < end_s:
            began_s = time.monotonic()  # the loop counts whole milliseconds
            reply = await asyncio.wait_for(peer.ask(request(next(numbers))), 20)
            if reply is not None and reply.status == 200:
                times_ms.append((time.monotonic() - began_s) * 1e3)
            if reply is None or not peer.open:
                _, peer = await loop.create_connection(ClientPeer, *address)
        peer.abort()

    await asyncio.gather(*[client() for _ in range(clients)])
    return times_ms


async def play(process: Process, clients: int, seconds: float, first: int) -> Result:
    """Drive one process under test, after a time that opens its connections."""
    await drive(process.address, clients, WARM_UP_S, first)
    before_s, _, _ = process.usage()
    times_ms = await drive(process.address, clients, seconds, first + (1 << 32))
    after_s, _, descriptors = process.usage()
    cpu_us = (after_s - before_s) / max(1, len(times_ms)) * 1e6
    return Result(len(times_ms), statistics.median(times_ms or [0.0]), cpu_us, descriptors)


async def start_upstreams(count: int) -> tuple[asyncio.subprocess.Process, list[dict[str, Any]]]:
    """Start upstreams in a process of their own; return it, and their entries of the endpoint list."""
    upstreams = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "benchmarks.sidecar", "--nodes", str(count)),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    assert upstreams.stdout is not None
    ports = (await upstreams.stdout.readline()).split()
    return upstreams, listed(ports)


async def measure(size: int, clients: int, seconds: float) -> dict[str, Result]:
    """Drive the pass-through and the sidecar with this number of upstreams."""
    upstreams, entries = await start_upstreams(size)
    roster = Roster(Ledger(), entries)
    results: dict[str, Result] = {}
    with tempfile.TemporaryDirectory() as folder:
        config = {
            "discovery": await roster.serve("n0"),
            "seed": "5",
            "limits": {"sockets": MAX_SOCKETS},
            "known": roster.known(),
            "settings": settings(Plan(instances=1, sites=("makati",)), 0),
        }
        for number, (name, command) in enumerate(
            (
                ("pass-through", ["-m", "benchmarks.passthrough", "CONFIG"]),
                ("sidecar", ["-B", "-m", "sidecar_proxy.daemon"]),
            )
        ):
            process = Process(name, config, folder, command)
            await process.start()
            results[name] = await play(process, clients, seconds, (number + 1) << 40)
            await process.stop()
    roster.close()
    assert upstreams.stdin is not None
    upstreams.stdin.close()
    await upstreams.wait()
    return results


def main() -> None:
    """Print a line for each number of upstreams and process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--sizes", default="16,200,3000")
    arguments = parser.parse_args()
    for size in map(int, arguments.sizes.split(",")):
        results = uvloop.run(measure(size, arguments.clients, arguments.seconds))
        floor = results["pass-through"]
        for name, result in results.items():
            print(
                f"{size} upstreams, {name}: {result.requests} requests, median {result.median_ms:.2f} ms "
                f"({result.median_ms / floor.median_ms:.1f} times), CPU {result.cpu_us:.0f} us a request "
                f"({result.cpu_us / floor.cpu_us:.1f} times), {result.descriptors} descriptors",
                flush=True,
            )


if __name__ == "__main__":
    main()
