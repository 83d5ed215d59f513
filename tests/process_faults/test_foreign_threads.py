"""A thread that is not the sidecar's own takes the signals of the process, as it blocks none."""

from __future__ import annotations

import signal

import pytest

from tests.process_faults.environment_faults import FOREIGN_CLOCK, WAITING_THREAD, EnvironmentFaults
from tests.process_faults.held_request import HeldRequest, HoldingUpstream
from tests.sockets import LONG_S, Sidecar, eventually

ENVIRONMENTS = pytest.mark.parametrize("faults", [WAITING_THREAD, FOREIGN_CLOCK], ids=["thread", "clock"])


@ENVIRONMENTS
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_that_another_thread_takes_loses_no_request(
    number: signal.Signals, faults: EnvironmentFaults
) -> None:
    with HoldingUpstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        request = HeldRequest(sidecar, upstream)
        sidecar.process.send_signal(number)
        eventually(lambda: sidecar.request("GET", "/ready").status == 503)
        request.assert_answered_after_release()
        assert sidecar.process.wait(LONG_S) == 0


@ENVIRONMENTS
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR2])
def test_signal_that_another_thread_takes_does_not_end_the_process(
    number: signal.Signals, faults: EnvironmentFaults
) -> None:
    with HoldingUpstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        request = HeldRequest(sidecar, upstream)
        sidecar.process.send_signal(number)
        if number == signal.SIGHUP:
            eventually(lambda: [line for line in sidecar.log_lines if "configuration reloaded" in line])
        request.assert_answered_after_release()
        assert sidecar.stop() == 0
