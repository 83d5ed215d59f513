"""From `exec` to the first yes, and the memory then: compiled and from the sources, in turns.

    python -m benchmarks.startup [--rounds 15]

CPU time too, as a machine that is busy says little by the clock. What is imported, one by one:
`.venv/bin/python -X importtime -c "import sidecar_proxy.daemon.__main__"`.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time

import uvloop

from benchmarks.sidecar import entry
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import SidecarProcess
from sidecar_proxy.testbed.scenario import Plan, settings


async def main(rounds: int) -> None:
    entries = [entry(f"node-{n}", n, f"127.0.0.1:{n + 1}") for n in range(16)]
    roster = Roster(Ledger(), entries)
    found: dict[str, list[tuple[float, float, float]]] = {"sources": [], "compiled": []}
    with tempfile.TemporaryDirectory() as folder:
        config = {
            "discovery": await roster.serve("n0"),
            "seed": "5",
            "limits": {"sockets": 1024},
            "known": roster.known(),
            "settings": settings(Plan(instances=3, sites=("makati",)), 0),
        }
        for _ in range(rounds):
            for name, costs in found.items():
                one = SidecarProcess(name, config, folder)
                one.env = {"SIDECAR_PROXY_PURE": "1" if name == "sources" else "0"}
                began = time.monotonic()
                await one.start()
                waited = time.monotonic() - began
                cpu_s, resident, _ = one.usage()
                costs.append((waited * 1000, cpu_s * 1000, resident / 1e6))
                await one.stop()
    roster.close()
    print(f"{'':>10} {'ms to the first yes':>20} {'ms of CPU':>10} {'MB':>6}")
    for name, costs in found.items():
        clock, cpu, memory = (statistics.median(column) for column in zip(*costs, strict=True))
        print(f"{name:>10} {clock:>20.0f} {cpu:>10.0f} {memory:>6.1f}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=15)
    uvloop.run(main(parser.parse_args().rounds))
