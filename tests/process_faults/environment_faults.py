"""Starts processes in an environment that is not under their control, played by environment_faults.c."""

from __future__ import annotations

import shutil
import subprocess
import tempfile
from dataclasses import dataclass
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_suffix(".c")


@cache
def library_folder() -> tempfile.TemporaryDirectory[str]:
    """Return the folder of the library, which is removed when this process ends."""
    return tempfile.TemporaryDirectory()


@cache
def build_library() -> Path:
    """Compile the library and return its path."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    assert compiler is not None, "the tests need a C compiler, as the build does"
    library = Path(library_folder().name) / "environment_faults.so"
    command = [compiler, "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC", "-o", str(library)]
    subprocess.run([*command, str(SOURCE), "-ldl", "-lpthread"], check=True)
    return library


@dataclass(frozen=True)
class EnvironmentFaults:
    """What is different from a usual environment; environment_faults.c says what each of them does."""

    thread_count: int = 0
    refused_calls: tuple[str, ...] = ()
    tcp_info_age_ms: int | None = None
    clock_rate: float = 1.0
    hold_ms: int = 0
    accept_period: int = 0

    def variables(self) -> dict[str, str]:
        """Return the environment variables of a process that is started with these faults."""
        if self == NO_FAULTS:
            return {}
        variables = {
            "LD_PRELOAD": str(build_library()),
            "FAULT_THREADS": str(self.thread_count),
            "FAULT_REFUSED": ",".join(self.refused_calls),
            "FAULT_CLOCK_RATE": str(self.clock_rate),
            "FAULT_HOLD_MS": str(self.hold_ms),
            "FAULT_ACCEPT_PERIOD": str(self.accept_period),
        }
        if self.tcp_info_age_ms is not None:
            variables["FAULT_TCP_INFO_AGE_MS"] = str(self.tcp_info_age_ms)
        return variables


NO_FAULTS = EnvironmentFaults()
WAITING_THREAD = EnvironmentFaults(thread_count=1)
# The rules of a bench with a clock of its own: a thread from before main(), calls that it does not have.
FOREIGN_CLOCK = EnvironmentFaults(
    thread_count=1,
    refused_calls=("io_uring", "splice", "sendfile", "fork"),
    clock_rate=0.5,
    hold_ms=20,
)
