"""CPU time of the whole sidecar for one request, compiled and from its sources, against a bare pass-through.

    python -m benchmarks.sidecar [--requests 6000] [--sizes 16,256,1000] [--rates 500,2000] [--profile FILE]
        [--recorder]

Nodes that answer at once, in a process of their own; a closed loop of 8 clients; the CPU time of the process
under test from /proc. Rounds take turns, and the median of what each turn gave is shown, in us and against
the pass-through of the same turn, as these machines are noisy. Then requests at random times at these rates:
the time from when each was due to its answer, the loop of the clients' process with it, so that a bare
pass-through in the same run is what to compare with.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import statistics
import sys
import tempfile
from collections import Counter
from typing import Any

import uvloop

from sidecar_proxy import compiled
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.http1 import ClientPeer, Request, ServerPeer
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import ROOT, SidecarProcess
from sidecar_proxy.testbed.scenario import LOADS, Plan, settings
from sidecar_proxy.testbed.upstreams import address_of

CLIENTS = 8
ROUNDS = 5


class Echo(ServerPeer):
    def on_request(self, request: Request) -> None:
        self.answer(b"200 OK", b"done")


async def serve_nodes(count: int) -> None:
    """The nodes' process: prints a line of ports, and goes on until its input ends."""
    loop = asyncio.get_running_loop()
    ports = []
    for number in range(count):
        server = await loop.create_server(Echo, address_of(number), 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(*ports, flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


class Process(SidecarProcess):
    """The sidecar under test, or the pass-through, or the sidecar under a profiler."""

    def __init__(self, name: str, config: dict[str, Any], folder: str, command: list[str]) -> None:
        super().__init__(name, config, folder)
        self.command = [part.replace("CONFIG", str(self.path)) for part in command]


def request(number: int) -> bytes:
    load = LOADS[number % 2]
    key = f"Idempotency-Key: key-{number}\r\n" if load.effect == "deduplicated" else ""
    return (
        f"POST /{load.kind}/u{number % 997} HTTP/1.1\r\nHost: backend.local\r\n"
        f"Req-Id: {os.getpid()}-{number}\r\nReq-Owner: acme\r\nReq-Deadline: 1.000\r\n{key}"
        f"Content-Length: 64\r\n\r\n{'x' * 64}"
    ).encode()


async def drive(address: tuple[str, int], count: int, first: int) -> Counter[int]:
    """So many requests over a few connections, each after the answer before it."""
    statuses: Counter[int] = Counter()
    numbers = iter(range(first, first + count))

    async def client() -> None:
        _, peer = await asyncio.get_running_loop().create_connection(ClientPeer, *address)
        for number in numbers:
            reply = await asyncio.wait_for(peer.ask(request(number)), 20)
            statuses[reply.status if reply is not None else 0] += 1
            if reply is None or not peer.open:
                _, peer = await asyncio.get_running_loop().create_connection(ClientPeer, *address)
        peer.abort()

    await asyncio.gather(*[client() for _ in range(CLIENTS)])
    return statuses


async def paced(address: tuple[str, int], rate: float, count: int, first: int) -> list[float]:
    """Milliseconds from when each request was due to its answer, sorted; -1 for what was not served."""
    loop, dice = asyncio.get_running_loop(), random.Random(first)
    idle: list[ClientPeer] = []
    took_ms: list[float] = []

    async def one(number: int, due: float) -> None:
        if idle:
            peer = idle.pop()
        else:
            _, peer = await loop.create_connection(ClientPeer, *address)
        reply = await asyncio.wait_for(peer.ask(request(number)), 20)
        served = reply is not None and reply.status == 200
        took_ms.append((loop.time() - due) * 1e3 if served else -1.0)
        if peer.open:
            idle.append(peer)

    due, tasks = loop.time() + 0.01, []
    for number in range(first, first + count):
        due += dice.expovariate(rate)
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        tasks.append(loop.create_task(one(number, due)))
    await asyncio.gather(*tasks)
    for peer in idle:
        peer.abort()
    return sorted(took_ms)


def entry(name: str, number: int, dial: str) -> dict[str, Any]:
    """An entry of the endpoint list for the upstream of this number."""
    return {
        "host": name,
        "dial": dial,
        "site": "makati",
        "class": "lab",
        "block": number // 6,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }


def listed(ports: list[bytes]) -> list[dict[str, Any]]:
    """The entries of the endpoint list for upstreams at these ports."""
    return [entry(f"node-{n}", n, f"{address_of(n)}:{int(port)}") for n, port in enumerate(ports)]


async def measure(
    size: int,
    requests: int,
    rates: list[float],
    profile: str | None,
    recorder: bool,
) -> tuple[dict[str, list[float]], Counter[int], list[tuple[float, str, list[float]]]]:
    """CPU us a request of each process under test, by turn; the sidecars' statuses; at each rate what each
    request took."""
    nodes = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.sidecar",
        "--nodes",
        str(size),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    assert nodes.stdout is not None and nodes.stdin is not None
    ports = (await nodes.stdout.readline()).split()
    entries = listed(ports)
    roster = Roster(Ledger(), entries)
    plan = Plan(instances=3, sites=("makati",))
    with tempfile.TemporaryDirectory() as folder:
        config = {
            "discovery": await roster.serve("n0"),
            "seed": "5",
            "limits": {"sockets": 4096},
            "known": roster.known(),
            "settings": settings(plan, 0),
        }
        module = ["-m", "cProfile", "-o", profile, "-m"] if profile else ["-m"]
        under_test = [
            Process("passthrough", config, folder, ["-m", "benchmarks.passthrough", "CONFIG"]),
            Process("compiled", config, folder, ["-B", *module, "sidecar_proxy.daemon"]),
            Process("sources", config, folder, ["-B", "-m", "sidecar_proxy.daemon"]),
        ]
        under_test[2].env = {"SIDECAR_PROXY_PURE": "1"}
        if recorder:
            under_test.append(Process("recorded", config, folder, ["-B", "-m", "sidecar_proxy.daemon"]))
            under_test[3].operator = "[recorder]\nenabled = true\n"
        costs: dict[str, list[float]] = {one.name: [] for one in under_test}
        statuses: Counter[int] = Counter()
        for one in under_test:
            await one.start()
        number = 0
        for turn in range(ROUNDS + 1):
            for one in under_test:
                before = one.usage()[0]
                found = await drive(one.address, requests, number)
                number += requests
                if turn > 0:  # the first round opens connections
                    costs[one.name].append((one.usage()[0] - before) / requests * 1e6)
                    if one.name != "passthrough":
                        statuses += found
        times = []
        for rate in rates:
            for one in under_test:
                times.append((rate, one.name, await paced(one.address, rate, int(4 * rate), number)))
                number += int(4 * rate)
        for one in under_test:
            await one.stop()
    roster.close()
    nodes.stdin.close()
    await nodes.wait()
    return costs, statuses, times


async def main(arguments: argparse.Namespace) -> None:
    print(f"this Python runs sidecar_proxy {compiled.state}")
    print(
        f"{'upstreams':>10} {'pass-through us':>16} {'sources us':>11} {'times':>6} "
        f"{'compiled us':>12} {'times':>6}  statuses"
    )
    for size in map(int, arguments.sizes.split(",")):
        rates = [float(rate) for rate in arguments.rates.split(",") if rate]
        costs, statuses, times = await measure(
            size, arguments.requests, rates, arguments.profile, arguments.recorder
        )
        bare, cells = costs["passthrough"], []
        for name, width in (("sources", 11), ("compiled", 12), ("recorded", 12))[: 2 + arguments.recorder]:
            ratio = statistics.median(one / base for one, base in zip(costs[name], bare, strict=True))
            cells.append(f"{statistics.median(costs[name]):>{width}.0f} {ratio:>6.1f}")
        print(f"{size:>10} {statistics.median(bare):>16.0f} {' '.join(cells)}  {dict(statuses)}", flush=True)
        for rate, name, took_ms in times:
            p50, p99 = (took_ms[int(share * len(took_ms))] for share in (0.5, 0.99))
            print(
                f"{'':>10} {rate:.0f} a second, {name}: p50 {p50:.2f} ms, p99 {p99:.2f}, "
                f"not served {took_ms.count(-1.0)} of {len(took_ms)}",
                flush=True,
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=6000, help="of one round")
    parser.add_argument("--sizes", default="16,256,1000")
    parser.add_argument("--rates", default="500,2000", help="requests a second for the times; '' for none")
    parser.add_argument("--profile", help="run the sidecar under cProfile and write this file")
    parser.add_argument("--recorder", action="store_true", help="and compiled with the recorder on, last")
    parser.add_argument("--nodes", type=int, help="be the nodes' process")
    found = parser.parse_args()
    uvloop.run(serve_nodes(found.nodes) if found.nodes else main(found))
