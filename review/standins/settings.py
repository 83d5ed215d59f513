"""The settings of a small deployment of `komiks-ph-main`, as WIRE-rosetrestle.md has them."""

from __future__ import annotations

import os
import socket
from typing import Any

BUY = "chapter-buy"  # must never run twice
TOPUP = "coin-topup"  # keyed
SITES = ["makati", "pasig", "quezon-city", "cavite", "laguna"]
DRAIN_GRACE_S = 2.0
RULE_SLACK_S = 0.05  # each time limit of the rules is so much longer on sockets


def settings(instances: int, self_index: int) -> dict[str, Any]:
    """Return the settings of one sidecar, as the simulator's first message has them."""
    request_class = {"late-worth": 0.3, "stream": False}
    return {
        "accounts": [],
        "areas": SITES,
        "kinds": ["fast-2", "slow-2"],
        "bounds": {
            "cancel": True,
            "conn-idle": 5_000_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 106_666,
            "dial-timeout": 200_000,
            "max-open": 26_666,
            "max-retry-after": 2_000_000,
            "most-tries": 4,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "client-habits": {"marks-retry": True},
        "family": "mesh",
        "fees": {"connection": 0.08, "cross-zone": 0.02, "handshake": 0.08, "probe": 0.004, "waste": 0.02},
        "goal": {"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0.0, "worst-window": 0.35},
        "granularity": 5000,
        "instances": instances,
        "self-index": self_index,
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": 0.32,
            "drain-grace": int(DRAIN_GRACE_S * 1e6),
            "fall": 2_000_000,
            "overload-factor": 2.5,
            "warm-up": 8_900_000,
        },
        "layer": 0,
        "locality": self_index % len(SITES),
        "over-share-worth": 0.1,
        "registry-mode": "on_request",
        "report": {"how": "probe", "names": ["rif", "q", "lat_ms"]},
        "request-classes": [
            request_class
            | {"name": BUY, "aim": 400_000, "deadline": 1_200_000, "effect": "at_most_once", "worth": 10.0}
            | {"group": "all", "memory-span": 5_000_000},
            request_class
            | {"name": TOPUP, "aim": 750_000, "deadline": 4_000_000, "effect": "deduplicated", "worth": 8.0}
            | {"group": "cell", "memory-span": 8_000_000, "late-worth": 0.5},
        ],
        "specifics": {"warm-keys": False},
        "tiers": ["purchase-fleet"],
        "value-by": "request",
        "weights": "nominal",
    }


def free_address() -> tuple[str, int]:
    """Return a loopback address whose port is free now.

    The host is another for each process, and none that connections come from: on 127.0.0.1 an outgoing
    connection could take the port before the sidecar listens on it.
    """
    process = os.getpid()
    host = f"127.{64 + (process >> 14) % 64}.{(process >> 7) % 128}.{1 + process % 128}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])
