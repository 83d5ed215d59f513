"""One real sidecar as a process of its own, and all that can be done to it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sidecar_proxy.testbed.history import Ledger, Process, Said, now_us

ROOT = Path(__file__).resolve().parent.parent.parent
START_S = 20.0
STOP_S = 6.0
FOLDER = "@folder@"  # in an operator file: the sidecar's own
SAID = "said "  # a line that a sidecar writes for the ledger: topic, its time, JSON


class SceneError(Exception):
    """The scene could not be set up; one line."""


class SidecarProcess:
    """One real sidecar, as the deploy file's `run` starts it. It may be started again after it has ended."""

    def __init__(
        self, name: str, config: dict[str, Any], folder: str, operator: str = "", ledger: Ledger | None = None
    ) -> None:
        self.name = name
        self.config = config
        self.path = Path(folder) / f"{name}.json"
        self.folder = Path(folder) / f"{name}.d"  # all that it may keep
        self.clock = Path(folder) / f"{name}.clock"
        self.disk = Path(folder) / f"{name}.disk"
        self.operator = operator  # the text of its operator file
        self.ledger = ledger
        self.env: dict[str, str] = {}  # beside what is inherited
        self.command = ["-B", "-m", "sidecar_proxy.daemon"]
        self.door: tuple[str, int] | None = None  # where operators call it; None = nowhere
        self.lines: deque[str] = deque(maxlen=500)
        self.address = ("", 0)
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.meant = False  # it was ended by us
        self.stopped = False
        self.moved: list[Callable[[tuple[str, int]], None]] = []  # who is told where it listens

    def note(self, what: str) -> None:
        if self.ledger is not None:
            self.ledger.add(Process(now_us(), self.name, what))

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.config))
        self.folder.mkdir(exist_ok=True)
        env = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PYTHON", "VIRTUAL_ENV", "PROXY_", "SIDECAR_PROXY_"))
        }
        if self.operator:
            path = self.path.with_suffix(".toml")
            path.write_text(self.operator.replace(FOLDER, str(self.folder)))
            env["SIDECAR_PROXY_OPERATOR"] = str(path)
            env["SIDECAR_PROXY_CLOCK_FILE"] = str(self.clock)
            env["SIDECAR_PROXY_DISK_FILE"] = str(self.disk)
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_CONFIG": str(self.path),
            "PROXY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.folder),
        } | self.env
        if self.door is not None:
            env["PROXY_MGMT"] = f"{self.door[0]}:{self.door[1]}"
        self.meant = self.stopped = False
        # a session of its own: Ctrl-C is ours to pass on, once what is out has been answered
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.command,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.up = asyncio.get_running_loop().create_future()
        self.reader = asyncio.get_running_loop().create_task(self.read())
        try:
            async with asyncio.timeout(START_S):
                self.address = await self.up
        except TimeoutError as error:
            raise SceneError(f"{self.name} did not start in {START_S:.0f} s") from error
        self.note("started")
        for told in self.moved:
            told(self.address)

    async def read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        async for raw in self.process.stderr:
            line = raw.decode("utf-8", "replace").rstrip()
            _, is_said, rest = line.partition(SAID)
            if is_said and self.ledger is not None and rest[:1].isalpha():
                topic, at, data = [*rest.split(" ", 2), "", ""][:3]
                if at.isdigit():
                    self.ledger.add(Said(int(at), self.name, topic, data))
                    continue
            self.lines.append(line)
            if " listens on " in line and not self.up.done():
                host, _, port = line.split()[-1].partition(":")
                self.up.set_result((host, int(port)))
        if not self.up.done():
            said = self.lines[-1] if self.lines else "nothing"
            self.up.set_exception(SceneError(f"{self.name} ended at its start; it said: {said}"))

    def usage(self) -> tuple[float, int, int]:
        """CPU seconds so far, resident bytes, open descriptors."""
        assert self.process is not None
        at = Path(f"/proc/{self.process.pid}")
        parts = (at / "stat").read_text().rpartition(")")[2].split()
        ticks = os.sysconf("SC_CLK_TCK")
        resident = int((at / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        return (int(parts[11]) + int(parts[12])) / ticks, resident, len(os.listdir(at / "fd"))

    async def call(self, line: str) -> str:
        """One line at its door, and the answer."""
        assert self.door is not None
        async with asyncio.timeout(START_S):
            reader, writer = await asyncio.open_connection(*self.door)
            writer.write(line.encode() + b"\n")
            answer = await reader.read()
            writer.close()
        return answer.decode().rstrip("\n")

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    # What may be done to it

    async def kill(self) -> None:
        """At once, as a machine that is gone."""
        if self.process is not None and self.process.returncode is None:
            self.meant = True
            self.note("killed")
            self.process.kill()
            await self.process.wait()

    def pause(self) -> None:
        """It gets no CPU from now on."""
        if self.alive and not self.stopped:
            assert self.process is not None
            self.stopped = True
            self.note("stopped")
            self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        if self.alive and self.stopped:
            assert self.process is not None
            self.stopped = False
            self.process.send_signal(signal.SIGCONT)
            self.note("woken")

    def wipe(self) -> None:
        """Its folder is empty, as after the loss of a disk."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(exist_ok=True)
        self.note("wiped")

    def fill(self, full: bool) -> None:
        """No file of its may grow any more, or again: as on a full disk (its writes fail)."""
        if self.alive:
            assert self.process is not None
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0 if full else hard, hard))
            self.note("full" if full else "has room")

    def spoil(self, told: str) -> None:
        """What is wrong with its disk from now on (consensus/disk.py); "" = nothing."""
        replaced(self.disk, told)
        self.note(f"disk: {told or 'well'}")

    def step(self, seconds: float) -> None:
        """Its wall clock is off by so much from now on."""
        replaced(self.clock, str(int(seconds * 1e6)))
        self.note(f"clock off by {seconds:g} s")

    async def stop(self) -> int | None:
        """The planned stop; killed where that takes too long."""
        process = self.process
        if process is None:
            return None
        if process.returncode is None:
            self.wake()  # hazard: a stopped process never sees the signal
            self.meant = True
            self.note("ending")
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
            try:
                async with asyncio.timeout(STOP_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()
            self.note("ended")
        if self.reader is not None:
            await self.reader
        return process.returncode


def replaced(path: Path, text: str) -> None:
    """Whoever reads it meanwhile sees the old one or the new one."""
    part = path.with_name(path.name + ".part")
    part.write_text(text)
    part.replace(path)
