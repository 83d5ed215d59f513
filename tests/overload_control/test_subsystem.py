"""Overload control of real sidecars: invalid messages, false reports, admin command, operator settings."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.gossip.transport import wall_clock_us
from sidecar_proxy.overload_control import messages
from sidecar_proxy.overload_control.messages import MAX_CLASSES, TOTAL_PARTS, LeaseRequest
from sidecar_proxy.testbed.fault_schedule import Fault
from sidecar_proxy.testbed.gossip import Braggart, Keys
from sidecar_proxy.testbed.scenario import Plan, Scene, settings
from tests.sockets import LONG_S
from tests.testbed.playing import RIG, on_rig

BUSY = replace(RIG, rate=90.0, seconds=2.0)
FALSE_REPORTER = "a-braggart"  # sorts before the sidecars' names, so that it takes precedence
LEASE_ID_BITS = 50


async def read_status(scene: Scene, number: int) -> dict[str, Any]:
    """Returns the answer of the OVERLOAD command at one sidecar."""
    answer, end = (await scene.sidecars[number].call("OVERLOAD")).split("\n")
    assert end == "end"
    status: dict[str, Any] = json.loads(answer)
    return status


async def wait_for_status(
    scene: Scene, number: int, condition: Callable[[dict[str, Any]], bool]
) -> dict[str, Any]:
    """Waits until the status of one sidecar meets the condition, and returns the status."""
    deadline_s = time.monotonic() + LONG_S
    while True:
        status = await read_status(scene, number)
        if condition(status):
            return status
        assert time.monotonic() < deadline_s, status
        await asyncio.sleep(0.05)


def is_ready(status: dict[str, Any]) -> bool:
    """Returns whether the sidecar has the reports of both peers and may spend quota."""
    return len(status["heard"]) == 2 and status["weight"] > 0


def test_admin_command_shows_peers_and_quota() -> None:
    async def test(scene: Scene) -> None:
        status = await wait_for_status(scene, 0, is_ready)
        assert status["index"] == 0
        assert status["owned"] == TOTAL_PARTS // 3
        assert not status["storm"]
        assert (await scene.sidecars[0].call("STATUS")) == "done"

    on_rig(BUSY, test)


async def send_malformed_messages_and_requests(reporter: Braggart) -> None:
    """Sends malformed messages and lease requests to all peers."""
    instance = reporter.instance
    now_us = reporter.transport.now_us()
    malformed = (
        b"",
        b"\xc1noise",
        messages.encode([99]),
        messages.encode(LeaseRequest(1, 1, 5, 0))[:-1],
    )
    for body in malformed:
        for name in list(instance.core.members):
            outputs = instance.send_message(name, messages.TOPIC, body, now_us, wall_clock_us())
            reporter.transport.perform(outputs)
            lease_id = instance.core.rng.getrandbits(LEASE_ID_BITS)
            request = messages.encode(LeaseRequest(lease_id, 1, TOTAL_PARTS, 0))
            outputs = instance.send_message(name, messages.TOPIC, request, now_us, wall_clock_us())
            reporter.transport.perform(outputs)


def test_false_reports_and_malformed_messages_break_no_invariant() -> None:
    """A process with a certificate claims index 1 and a thousand times the load, and sends bad messages."""

    async def test(scene: Scene) -> None:
        assert scene.keys is not None
        await wait_for_status(scene, 0, is_ready)
        reporter = Braggart(scene.keys.keyring(FALSE_REPORTER, "makati"), scene.gossip, 1, 30_000.0)
        await reporter.start(scene.links, 99)
        try:
            await wait_for_status(scene, 0, lambda status: FALSE_REPORTER in status["heard"])
            await send_malformed_messages_and_requests(reporter)
            await scene.play()
            # Sidecar 1 spends nothing while a process whose name sorts earlier claims its index.
            status = await wait_for_status(scene, 1, lambda status: status["weight"] == 0)
            assert status["counts"].get("asked", 0) > 0
            rejections = [line for line in scene.sidecars[0].lines if "messages rejected" in line]
            assert rejections
            assert FALSE_REPORTER in rejections[0]
        finally:
            reporter.close()
        await wait_for_status(scene, 1, lambda status: status["weight"] > 0)

    scene = on_rig(BUSY, test)
    assert not scene.verdict()


def test_skewed_load_with_a_kill_and_a_partition_breaks_no_invariant() -> None:
    """Two thirds of the load arrive at one sidecar of three, which is killed during an outage."""
    plan = replace(
        BUSY,
        skew=0.67,
        seconds=9.0,
        rate=150.0,
        faults=(
            Fault("crash", 4.0, 2.0, 12),
            Fault("sidecar_kill", 6.5, 0.5, sidecars=(0,)),
            Fault("link_part", 5.0, 3.0, sidecars=(2,)),
        ),
    )

    async def test(scene: Scene) -> None:
        await scene.play()

    scene = on_rig(plan, test)
    breaches = [breach for breach in scene.verdict() if "ms after its due time" not in breach.text]
    assert not breaches, breaches[:3]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("[overload]\nenabled = true", "overload.enabled: needs gossip; gossip.bind names no address"),
        ("[overload]\nenable = true", "overload.enable: unknown; expected one of enabled, reissues_per_s"),
        ("[overload]\ntries_per_s = 0", "overload.tries_per_s: expected a number from 0.1 to 1e+06, got 0"),
    ],
)
def test_invalid_setting_ends_the_start_with_one_line(text: str, line: str, tmp_path: Path) -> None:
    assert line in refused_start(text, "overload", tmp_path)


# Guards against an IndexError in the balancer, which answered the requests of later classes with 502.
@pytest.mark.parametrize("class_count", [MAX_CLASSES + 1, 64, 1000])
def test_more_request_classes_than_a_report_holds_end_the_start_with_one_line(
    class_count: int, tmp_path: Path
) -> None:
    text = Keys(str(tmp_path)).table("s", "s", []) + "\n[overload]\nenabled = true\n"
    line = f"overload.enabled: at most {MAX_CLASSES} request classes, the settings have {class_count}"
    assert line in refused_start(text, "overload", tmp_path, settings_with_classes(class_count))


def settings_with_classes(count: int) -> dict[str, Any]:
    """Returns settings whose request classes all equal the first one, but for their names."""
    changed = settings(Plan(), 0)
    first = changed["request-classes"][0]
    changed["request-classes"] = [first | {"name": f"class-{index}"} for index in range(count)]
    return changed


def refused_start(
    text: str, table: str, folder: Path, platform_settings: dict[str, Any] | None = None
) -> str:
    """Starts a sidecar that refuses its operator file; returns the one line that it writes about a table."""
    config = folder / "s.json"
    operator = folder / "s.toml"
    operator.write_text(text)
    platform_settings = platform_settings or settings(Plan(), 0)
    config.write_text(json.dumps({"discovery": "127.0.0.1:9", "seed": "1", "settings": platform_settings}))
    env = {
        **os.environ,
        "PROXY_NAME": "s",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_CONFIG": str(config),
        "PROXY_DISCOVERY": "127.0.0.1:9",
        "SIDECAR_PROXY_OPERATOR": str(operator),
    }
    completed = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy.daemon"],
        env=env,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    lines = [line for line in completed.stderr.splitlines() if table in line]
    assert completed.returncode == 2, completed.stderr
    assert len(lines) == 1, completed.stderr
    return lines[0]
