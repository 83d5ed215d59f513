"""The demo: `python3 -m sidecar_proxy lab`. A live line a second, then a table by class and the verdict."""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TextIO

from sidecar_proxy import compiled
from sidecar_proxy.testbed import fault_schedule as script
from sidecar_proxy.testbed.capacity import Machine
from sidecar_proxy.testbed.checker import Breach, Row, table
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.history import Answered, Asked, Fell
from sidecar_proxy.testbed.process import SceneError
from sidecar_proxy.testbed.scenario import Plan, Scene

MOST_BREACHES = 10  # are printed


def demo_faults(seconds: float) -> tuple[Fault, ...]:
    """One node is silent for a while, and a quarter of them is drained and comes back cold."""
    return (
        Fault("silent", seconds * 0.2, seconds * 0.25, 1),
        Fault("drain", seconds * 0.5, seconds * 0.15, 0.25),
    )


def live_line(scene: Scene, seconds: float, at: int) -> tuple[str, int]:
    """What the last second was like; the second value is where the next begins in the ledger."""
    records = scene.ledger.records
    asked = sum(isinstance(one, Asked) for one in records[at:])
    answers = [one for one in records[at:] if isinstance(one, Answered)]
    served = sum(one.status == 200 for one in answers)
    refused = sum(one.status in (429, 503) for one in answers)
    out = sum(crowd.out for crowd in scene.crowds)
    wrong = "; ".join(scene.player.now.values()) if scene.player is not None else ""
    text = (
        f"{seconds:5.0f} s  {asked:5d} asked  {served:5d} served  {refused:4d} refused  "
        f"{len(answers) - served - refused:4d} failed  {out:4d} out  {wrong or 'all well'}"
    )
    return text, len(records)


def print_table(rows: Iterable[Row], out: TextIO) -> None:
    print(
        f"\n{'class':<14}{'asked':>8}{'served':>8}{'refused':>9}{'failed':>8}{'attempts':>10}{'p50 ms':>9}"
        f"{'p99 ms':>9}",
        file=out,
    )
    for row in rows:
        print(
            f"{row.kind:<14}{row.asked:>8}{row.served:>8}{row.refused:>9}{row.failed:>8}{row.attempts:>10}"
            f"{row.percentile_ms(0.5):>9.1f}{row.percentile_ms(0.99):>9.1f}",
            file=out,
        )


def print_verdict(breaches: list[Breach], out: TextIO) -> None:
    if not breaches:
        print(
            "\nno rule broken: one answer each, no effect twice, nothing to drained nodes, none pushed over",
            file=out,
        )
        return
    print(f"\n{len(breaches)} breaches of the rules:", file=out)
    for one in breaches[:MOST_BREACHES]:
        print(f"  rule {one.rule}: {one.text}", file=out)


async def watch(scene: Scene, out: TextIO) -> None:
    loop = asyncio.get_running_loop()
    begin, at = loop.time(), 0
    lively = out.isatty()
    while True:
        await asyncio.sleep(1.0)
        text, at = live_line(scene, loop.time() - begin, at)
        out.write(f"\r\x1b[K{text[:118]}" if lively else text + "\n")
        out.flush()


async def run(plan: Plan, ledger_path: str | None, out: TextIO) -> int:
    """Play a plan and print what came of it: 0 = no rule broken, 1 = one was, 130 = interrupted."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    print(
        f"{plan.nodes} nodes, {plan.sidecars} sidecar(s), {plan.rate:.0f} requests/s for "
        f"{plan.seconds:.0f} s, seed {plan.seed}; runs {compiled.state}",
        file=out,
        flush=True,
    )
    async with Scene(plan) as scene:
        tasks = [loop.create_task(scene.play()), loop.create_task(stop.wait())]
        watcher = loop.create_task(watch(scene, out))
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        watcher.cancel()
        for task in tasks:
            if task not in done:
                task.cancel()
        interrupted = stop.is_set()
        if not interrupted:
            await tasks[0]  # raises what has gone wrong
        if out.isatty():
            out.write("\n")
        if ledger_path is not None:
            with Path(ledger_path).open("w") as file:
                scene.ledger.write(file)
        print_table(table(scene.ledger), out)
        fallen = sum(isinstance(one, Fell) for one in scene.ledger)
        if fallen:
            print(f"nodes fell over {fallen} times", file=out)
        if interrupted:
            print("\ninterrupted: no verdict", file=out)
            return 130
        breaches = scene.verdict()
        print_verdict(breaches, out)
        return 1 if breaches else 0


def parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python3 -m sidecar_proxy lab", description=__doc__)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--sidecars", type=int, default=1)
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second, all together")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sockets", type=int, default=1024, help="descriptors of one sidecar")
    parser.add_argument("--script", help="a TOML file of [[fault]] tables in place of the two of the demo")
    parser.add_argument(
        "--grpc",
        type=float,
        default=0.0,
        metavar="SHARE",
        help="share of the requests that come by gRPC; needs the `grpc` extra",
    )
    parser.add_argument(
        "--etcd",
        type=int,
        default=0,
        metavar="MEMBERS",
        help="list the nodes in a stand-in of etcd too; needs the `etcd` extra",
    )
    parser.add_argument("--ledger", help="write every record to this file, a line of JSON each")
    found = parser.parse_args(arguments)
    for name, least, most in (
        ("nodes", 1, 20_000),
        ("sidecars", 1, 300),
        ("rate", 0.1, 20_000),
        ("seconds", 0.1, 3600),
        ("sockets", 64, 1_000_000),
        ("grpc", 0.0, 1.0),
        ("etcd", 0, 9),
    ):
        if not least <= getattr(found, name) <= most:
            parser.error(f"--{name}: expected {least} to {most}, got {getattr(found, name)}")
    return found


def main(arguments: list[str]) -> int:
    found = parse(arguments)
    try:
        if found.script is not None:
            faults = tuple(script.read(Path(found.script).read_text()))
        else:
            faults = demo_faults(found.seconds)
        plan = Plan(
            found.nodes,
            found.sidecars,
            0,
            found.rate,
            found.seconds,
            seed=found.seed,
            sockets=found.sockets,
            machine=Machine(),
            faults=faults,
            grpc=found.grpc,
            etcd=found.etcd,
        )
        if not found.etcd and any(one.kind == "etcd_down" for one in faults):
            raise SceneError("etcd_down: there is no etcd in this play; see --etcd")
        if found.grpc and importlib.util.find_spec("ngh2") is None:
            raise SceneError("--grpc: needs the `grpc` extra: pip install 'rosetrestle[sidecar,grpc]'")
        if found.etcd and None in (importlib.util.find_spec("ngh2"), importlib.util.find_spec("google")):
            raise SceneError("--etcd: needs the `etcd` extra: pip install 'rosetrestle[sidecar,etcd]'")
        import uvloop

        return uvloop.run(run(plan, found.ledger, sys.stdout))
    except (script.ScriptError, SceneError, OSError, UnicodeDecodeError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
