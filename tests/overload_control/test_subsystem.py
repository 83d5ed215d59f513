"""The part in overload of real sidecars: words that are wrong, a liar, the door, the operator file."""

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
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.overload_control.messages import TOTAL_PARTS, LeaseRequest
from sidecar_proxy.testbed.gossip import Braggart
from sidecar_proxy.testbed.scenario import Plan, Scene, settings
from tests.sockets import LONG_S
from tests.testbed.playing import RIG, on_rig

BUSY = replace(RIG, rate=90.0, seconds=2.0)


async def state(scene: Scene, number: int) -> dict[str, Any]:
    told, end = (await scene.sidecars[number].call("OVERLOAD")).split("\n")
    assert end == "end"
    found: dict[str, Any] = json.loads(told)
    return found


async def comes(scene: Scene, number: int, holds: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    end = time.monotonic() + LONG_S
    while True:
        found = await state(scene, number)
        if holds(found):
            return found
        assert time.monotonic() < end, found
        await asyncio.sleep(0.05)


def test_the_door_shows_whose_words_count_and_what_may_be_spent() -> None:
    async def test(scene: Scene) -> None:
        told = await comes(scene, 0, lambda told: len(told["heard"]) == 2 and told["weight"] > 0)
        assert told["index"] == 0 and told["owned"] == TOTAL_PARTS // 3 and not told["storm"]
        assert (await scene.sidecars[0].call("STATUS")) == "done"

    on_rig(BUSY, test)


def test_a_liar_and_words_of_any_form_cost_a_line_and_no_sum() -> None:
    """One with a certificate and no number of its own: it says that it is sidecar 1 under a thousand times
    the load, asks for loans without end, and sends noise.
    """

    async def test(scene: Scene) -> None:
        assert scene.keys is not None
        await comes(scene, 0, lambda told: len(told["heard"]) == 2 and told["weight"] > 0)
        liar = Braggart(scene.keys.keyring("a-braggart", "makati"), scene.gossip, 1, 30_000.0)
        await liar.start(scene.links, 99)
        try:
            await comes(scene, 0, lambda told: "a-braggart" in told["heard"])
            instance = liar.instance
            now_us = liar.transport.now_us()
            for body in (b"", b"\xc1noise", words.encode([99]), words.encode(LeaseRequest(1, 1, 5, 0))[:-1]):
                for name in list(instance.core.peers):
                    liar.transport.perform(instance.note(name, words.TOPIC, body, now_us, wall_clock_us()))
                    need = LeaseRequest(instance.core.dice.getrandbits(50), 1, TOTAL_PARTS, 0)
                    liar.transport.perform(
                        instance.note(name, words.TOPIC, words.encode(need), now_us, wall_clock_us())
                    )
            await scene.play()
            # the one whose name sorts later says nothing of the budgets while another claims its number
            told = await comes(scene, 1, lambda told: told["weight"] == 0)
            assert told["counts"].get("asked", 0) > 0
            line = [line for line in scene.sidecars[0].lines if "words not taken" in line]
            assert line and "a-braggart" in line[0]
        finally:
            liar.close()
        await comes(scene, 1, lambda told: told["weight"] > 0)

    scene = on_rig(BUSY, test)
    assert not scene.verdict()


def test_two_thirds_of_the_load_at_one_of_three_and_a_kill_in_the_midst_break_nothing() -> None:
    from sidecar_proxy.testbed.fault_schedule import Fault

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
    found = [one for one in scene.verdict() if "ms after its due time" not in one.text]
    assert not found, found[:3]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("[overload]\nenabled = true", "overload.enabled: needs gossip; gossip.bind names no address"),
        ("[overload]\nenable = true", "overload.enable: unknown; expected one of enabled, reissues_per_s"),
        ("[overload]\ntries_per_s = 0", "overload.tries_per_s: expected a number from 0.1 to 1e+06, got 0"),
    ],
)
def test_a_wrong_setting_is_one_line_and_the_end(text: str, line: str, tmp_path: Path) -> None:
    assert line in refused_start(text, "overload", tmp_path)


def refused_start(text: str, table: str, folder: Path) -> str:
    """The one line that a sidecar says of that table as it ends at its start."""
    config, operator = folder / "s.json", folder / "s.toml"
    operator.write_text(text)
    config.write_text(json.dumps({"discovery": "127.0.0.1:9", "seed": "1", "settings": settings(Plan(), 0)}))
    env = {
        **os.environ,
        "PROXY_NAME": "s",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_CONFIG": str(config),
        "PROXY_DISCOVERY": "127.0.0.1:9",
        "SIDECAR_PROXY_OPERATOR": str(operator),
    }
    done = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy.daemon"],
        env=env,
        capture_output=True,
        text=True,
        timeout=LONG_S,
    )
    said = [one for one in done.stderr.splitlines() if table in one]
    assert done.returncode == 2 and len(said) == 1, done.stderr
    return said[0]
