"""What a sidecar is told at its start: PROXY_* and the JSON of PROXY_CONFIG, as typed values."""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.settings import SettingsError, parse_settings
from sidecar_proxy.engine.address import Address, parse_address


class ConfigError(Exception):
    """The configuration can't be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that this process may hold
    memory_mb: int  # of all processes of this sidecar together
    settings: api.Settings
    known: dict[str, Any]  # the list as this sidecar last had it, in discovery's form
    door: Address | None = None  # where operators call; None = nowhere
    accept_fd: int | None = None  # the clients' listening socket, inherited; None = it is opened here


def plain(value: object) -> str:
    """A plain value as it stands in the simulator's text: without spaces and commas."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")


def options(value: object, path: str = "") -> Iterator[str]:
    """The settings' JSON as the path=value lines of the simulator, so that one parser reads both."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from options(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count={len(value)}"
        for number, inner in enumerate(value):
            yield from options(inner, f"{path}.{number}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(plain, value))}"
    else:
        yield f"{path}={plain(value)}"


def load(env: Mapping[str, str]) -> Config:
    missing = [
        name
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONFIG")
        if not env.get(name)
    ]
    if missing:
        raise ConfigError(f"{missing[0]} is not set")
    path = env["PROXY_CONFIG"]
    inherited = env.get("PROXY_ACCEPT_FD", "")
    if inherited and not (inherited.isascii() and inherited.isdigit() and len(inherited) < 7):
        raise ConfigError(f"PROXY_ACCEPT_FD: expected a descriptor, got {inherited!r}")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
        if not isinstance(told, dict):
            raise ConfigError("expected a JSON object")
        limits = told.get("limits", {})
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        known = told.get("known", {"seq": 0, "whole": True, "hosts": []})
        if not isinstance(known, dict) or not isinstance(told["settings"], dict):
            raise ConfigError("expected objects in 'known' and 'settings'")
        door = env.get("PROXY_MGMT") or told.get("mgmt")
        return Config(
            name=env["PROXY_NAME"],
            listen=parse_address(env["PROXY_LISTEN"]),
            # the file's comes first: it is the one that can be replaced while we run
            discovery=parse_address(told.get("discovery", env["PROXY_DISCOVERY"])),
            seed=int(str(told["seed"]), 16),
            sockets=min(int(limits.get("sockets", 1024)), soft),
            memory_mb=int(limits.get("memory_mb", 192)),
            settings=parse_settings("\n".join(options(told["settings"]))),
            known=known,
            door=parse_address(door) if door else None,
            accept_fd=int(inherited) if inherited else None,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (OSError, ValueError, TypeError, AttributeError, SettingsError, ConfigError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(text if path in text else f"{path}: {text}") from error
