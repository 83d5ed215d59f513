"""A real sidecar process, started by the `run` command of deploy/balancer.toml."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path
from typing import Any

from standins.http import read_message
from standins.record import Record
from standins.settings import free_address, settings

ROOT = Path(__file__).resolve().parent.parent.parent
START_S = 20.0
STOP_S = 8.0


class CannotRunError(Exception):
    """The case could not be set up."""


class Sidecar:
    """One process. It keeps its listening and admin addresses over restarts."""

    def __init__(self, record: Record, folder: Path, instances: int, index: int) -> None:
        self.record = record
        self.name = f"n{index}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.instances = instances
        self.index = index
        self.address = free_address()
        self.admin_address = free_address()
        self.operator = ""  # the text of the operator file; empty = none
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: tuple[str, int], known: dict[str, Any]) -> None:
        """Start it, and wait until it takes requests."""
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*discovery),
            "mgmt": "{}:{}".format(*self.admin_address),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings(self.instances, self.index),
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": config["listen"],
            "PROXY_DISCOVERY": config["discovery"],
            "PROXY_CONFIG": str(path),
            "PROXY_MGMT": config["mgmt"],
            "TMPDIR": str(self.folder / "tmp"),
        }
        if self.operator:
            (self.folder / "operator.toml").write_text(self.operator)
            environment["SIDECAR_PROXY_OPERATOR"] = str(self.folder / "operator.toml")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        try:
            async with asyncio.timeout(START_S):
                while not await self.is_ready():
                    if self.process.returncode is not None:
                        break
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pass
        if not await self.is_ready():
            raise CannotRunError(f"{self.name} is not ready: {(self.folder / 'log.txt').read_text()[-500:]}")
        self.record.write(self.name, f"process {self.process.pid} is ready at {config['listen']}")

    async def is_ready(self) -> bool:
        """Return whether GET /ready is answered 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200

    async def call(self, line: str) -> str:
        """Send one line to the admin address, and return the answer."""
        reader, writer = await asyncio.open_connection(*self.admin_address)
        writer.write(line.encode() + b"\n")
        answer = (await reader.read()).decode().strip()
        writer.close()
        self.record.write(self.name, f"{line} is answered: {answer}")
        return answer

    async def stop(self) -> None:
        """End the process that was started here."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
