"""Reads the platform's configuration of a sidecar: PROXY_* variables and the JSON file named by PROXY_CONFIG.

The platform defines the names of the variables and JSON keys; this module maps them to `PlatformConfig`.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.settings import SettingsError, parse_settings
from sidecar_proxy.engine.address import Address, parse_address

REQUIRED_VARIABLES = ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONFIG")
DEFAULT_FILE_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
MAX_DESCRIPTOR_DIGITS = 6  # maximum length of a file descriptor number


class ConfigError(Exception):
    """The configuration can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration of one sidecar process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_file_descriptors: int  # maximum number of open file descriptors of this process
    memory_mb: int  # memory limit of all processes of this sidecar together
    settings: api.Settings
    cached_endpoint_list: dict[str, Any]  # endpoint list of an earlier start, in the format of discovery
    admin_address: Address | None = None  # None: no admin server
    accept_fd: int | None = None  # inherited listening socket for clients; None: this process opens one


def load(environment: Mapping[str, str]) -> PlatformConfig:
    """Return the configuration from the environment and the file that it names. Raises ConfigError."""
    for name in REQUIRED_VARIABLES:
        if not environment.get(name):
            raise ConfigError(f"{name} is not set")
    accept_fd = parse_accept_fd(environment.get("PROXY_ACCEPT_FD", ""))
    path = environment["PROXY_CONFIG"]
    try:
        return build_config(environment, read_json_object(path), accept_fd)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (OSError, ValueError, TypeError, AttributeError, SettingsError, ConfigError) as error:
        message = " ".join(str(error).split())
        raise ConfigError(message if path in message else f"{path}: {message}") from error


def parse_accept_fd(text: str) -> int | None:
    """Return the file descriptor of the inherited socket, or None if there is none. Raises ConfigError."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(f"PROXY_ACCEPT_FD: expected the number of a file descriptor, got {text!r}")
    return int(text)


def read_json_object(path: str) -> dict[str, Any]:
    """Return the object that a JSON file contains. Raises OSError, ValueError and ConfigError."""
    with open(path, "rb") as file:
        content = json.load(file)
    if not isinstance(content, dict):
        raise ConfigError("expected a JSON object")
    return content


def build_config(
    environment: Mapping[str, str], content: dict[str, Any], accept_fd: int | None
) -> PlatformConfig:
    """Return the configuration. Raises errors that `load` converts to ConfigError."""
    limits = content.get("limits", {})
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    endpoint_list = content.get("known", {"seq": 0, "whole": True, "hosts": []})
    if not isinstance(endpoint_list, dict) or not isinstance(content["settings"], dict):
        raise ConfigError("expected JSON objects in 'known' and 'settings'")
    admin_address = environment.get("PROXY_MGMT") or content.get("mgmt")
    return PlatformConfig(
        name=environment["PROXY_NAME"],
        listen=parse_address(environment["PROXY_LISTEN"]),
        # The address in the file takes precedence, because the file can be replaced while the process runs.
        discovery=parse_address(content.get("discovery", environment["PROXY_DISCOVERY"])),
        seed=int(str(content["seed"]), 16),
        max_file_descriptors=min(int(limits.get("sockets", DEFAULT_FILE_DESCRIPTORS)), soft_limit),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        settings=parse_settings("\n".join(settings_lines(content["settings"]))),
        cached_endpoint_list=endpoint_list,
        admin_address=parse_address(admin_address) if admin_address else None,
        accept_fd=accept_fd,
    )


def settings_lines(value: object, path: str = "") -> Iterator[str]:
    """Yield the JSON settings as path=value lines in the simulator's format, so that both have one parser."""
    if isinstance(value, dict):
        for name, member in value.items():
            yield from settings_lines(member, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count={len(value)}"
        for index, item in enumerate(value):
            yield from settings_lines(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}={','.join(map(format_scalar, value))}"
    else:
        yield f"{path}={format_scalar(value)}"


def format_scalar(value: object) -> str:
    """Return a scalar in the simulator's format, which allows no spaces, commas or line breaks."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")
