"""A parent that has closed the standard streams, so that their numbers are free for other descriptors."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
from pathlib import Path

import pytest

from tests.sockets import DEPLOY, LONG_S, ROOT, Client, Discovery, Upstream, eventually, settings


def free_address() -> tuple[str, int]:
    """Return an address on which nobody listens now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address: tuple[str, int] = server.getsockname()
    return address


def is_served(address: tuple[str, int]) -> bool:
    """Return whether a process at the address is ready."""
    try:
        client = Client(address)
    except OSError:
        return False
    status = client.request("GET", "/ready").status
    client.close()
    return status == 200


def descriptor_targets(process: subprocess.Popen[bytes]) -> list[str]:
    """Return what the descriptors of the three standard streams refer to."""
    return [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in range(3)]


@pytest.mark.parametrize("closed", ["2>&-", "0<&- 1>&- 2>&-"])
def test_log_lines_are_not_written_to_a_socket_with_the_number_of_standard_error(
    closed: str, tmp_path: Path
) -> None:
    with Upstream() as upstream, Discovery([upstream.entry()]) as discovery:
        address = free_address()
        config = {
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            "settings": settings(),
            "known": {"seq": 1, "whole": True, "hosts": [upstream.entry()]},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))} | {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"{address[0]}:{address[1]}",
            "PROXY_CONFIG": str(path),
            "PROXY_DISCOVERY": discovery.address,
        }
        command = ["/bin/sh", "-c", f"exec {closed}; {DEPLOY['run']}"]
        with subprocess.Popen(command, cwd=ROOT, env=env) as process:
            try:
                eventually(lambda: is_served(address))
                process.send_signal(signal.SIGHUP)  # logs a line
                client = Client(address)
                assert client.request("GET", "/read/1").status == 200
                client.close()
                assert "socket" not in "".join(descriptor_targets(process))
                process.terminate()
                assert process.wait(LONG_S) == 0
            finally:
                process.kill()
