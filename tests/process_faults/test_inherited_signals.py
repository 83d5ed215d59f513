"""Signals in the first moments of the process, and dispositions and masks that it inherits."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from tests.process_faults.environment_faults import WAITING_THREAD, EnvironmentFaults
from tests.sockets import LONG_S, Sidecar, Upstream

IGNORE_ALL = "trap '' TERM INT HUP CHLD PIPE"
START_DELAYS_S = [0.0, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.13]
STOP_SIGNALS = pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])


def signal_itself(number: signal.Signals, delay_s: float) -> str:
    """Return the shell command by which a process gets a signal so long after its start."""
    name = number.name.removeprefix("SIG")
    return f"(sleep {delay_s}; kill -{name} $$) & "


@contextmanager
def blocked(*numbers: signal.Signals) -> Iterator[None]:
    """Block signals of this thread, which processes inherit that it starts."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@pytest.mark.parametrize("delay_s", START_DELAYS_S)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR2])
def test_signal_during_the_start_does_not_end_the_process(number: signal.Signals, delay_s: float) -> None:
    with Upstream() as upstream, Sidecar([upstream], before=signal_itself(number, delay_s)) as sidecar:
        assert sidecar.request("GET", "/read/1").status == 200
        assert sidecar.stop() == 0


@pytest.mark.parametrize("delay_s", START_DELAYS_S)
def test_stop_signal_during_the_start_is_a_planned_stop_once_the_process_listens(delay_s: float) -> None:
    with Upstream() as upstream:
        sidecar = Sidecar([upstream], before=signal_itself(signal.SIGTERM, delay_s))
        with suppress(AssertionError, OSError):  # it may end before it listens, or before it is asked
            sidecar.__enter__()
        try:
            status = sidecar.process.wait(LONG_S)
        finally:
            sidecar.__exit__()
        assert status in ([0] if sidecar.startup_lines() else [0, -signal.SIGTERM])


@STOP_SIGNALS
def test_stop_signal_that_was_ignored_by_the_parent_stops_the_process(number: signal.Signals) -> None:
    with (
        Upstream() as upstream,
        Sidecar([upstream], before=f"{IGNORE_ALL}; ", env=WAITING_THREAD.variables()) as sidecar,
    ):
        sidecar.process.send_signal(number)
        assert sidecar.process.wait(LONG_S) == 0


@STOP_SIGNALS
@pytest.mark.parametrize("refused", [(), ("pthread_sigmask",), ("sigtimedwait",)])
def test_stop_signal_that_was_blocked_by_the_parent_stops_the_process(
    number: signal.Signals, refused: tuple[str, ...]
) -> None:
    env = EnvironmentFaults(refused_calls=refused).variables()
    with Upstream() as upstream:
        sidecar = Sidecar([upstream], env=env)
        with blocked(signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            sidecar.__enter__()
        try:
            sidecar.process.send_signal(number)
            assert sidecar.process.wait(LONG_S) == 0
        finally:
            sidecar.__exit__()
