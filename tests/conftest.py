"""What all tests need: the deploy file's build, and the tests that KNOWN-RED.txt passes over."""

from __future__ import annotations

import subprocess

import pytest

from tests import known_red
from tests.sockets import DEPLOY, ROOT


@pytest.fixture(scope="session", autouse=True)
def build() -> None:
    """Run the deploy file's build once."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=300)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Pass over exactly the tests named in KNOWN-RED.txt; an entry that names no test ends the run."""
    entries = known_red.read(ROOT)
    test_ids = [item.nodeid for item in items]
    whole_files = {test_id.partition("::")[0] for test_id in test_ids}
    if not any("::" in argument for argument in config.args):
        absent = known_red.missing(entries, test_ids, whole_files)
        absent += [
            entry.test_id for entry in entries if not (ROOT / entry.test_id.partition("::")[0]).is_file()
        ]
        if absent:
            raise pytest.UsageError(
                f"{known_red.FILE_NAME} names tests that do not exist: {', '.join(absent)}"
            )
    red = [item for item in items if any(known_red.is_named(item.nodeid, entry) for entry in entries)]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that the run passes over."""
    for entry in known_red.read(ROOT):
        terminalreporter.write_line(f"known red, passed over: {entry.test_id} ({entry.reason})")
