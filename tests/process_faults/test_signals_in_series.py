"""Signals that come without a pause take neither time nor memory from the clients."""

from __future__ import annotations

import contextlib
import signal
import threading
import time

import pytest

from tests.process_faults.crowd import LimitedSidecar, in_background, polite_client
from tests.process_faults.environment_faults import NO_FAULTS, WAITING_THREAD, EnvironmentFaults
from tests.process_faults.held_request import HeldRequest, HoldingUpstream
from tests.sockets import LONG_S, Upstream

FLOOD_S = 3.0
THREADS = pytest.mark.parametrize("faults", [NO_FAULTS, WAITING_THREAD], ids=["", "foreign_thread"])


def signals_without_pause(
    sidecar: LimitedSidecar, signal_number: int
) -> contextlib.AbstractContextManager[None]:
    """Send a signal again and again as fast as the machine allows."""

    def send(is_over: threading.Event) -> None:
        while not is_over.is_set() and sidecar.process.poll() is None:
            sidecar.process.send_signal(signal_number)

    return in_background(send)


@THREADS
def test_reloads_without_pause_delay_no_client(faults: EnvironmentFaults) -> None:
    with Upstream() as upstream, LimitedSidecar([upstream], env=faults.variables()) as sidecar:
        with signals_without_pause(sidecar, signal.SIGHUP), polite_client(sidecar) as requests:
            time.sleep(FLOOD_S)
            sidecar.assert_within_limits()
        slowest_s = max(request.took_s for request in requests)
        print(f"peak {sidecar.peak_kb()} kB, {len(requests)} polite requests, the slowest {slowest_s:.3f} s")
        assert all(request.was_answered_in_time() for request in requests), requests
        assert len(requests) >= FLOOD_S / (0.05 + 0.5)
        assert sidecar.stop() == 0


@THREADS
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_during_a_planned_stop_do_not_hold_it_up(
    signal_number: int, faults: EnvironmentFaults
) -> None:
    with (
        HoldingUpstream() as upstream,
        LimitedSidecar([upstream], env=faults.variables()) as sidecar,
    ):
        request = HeldRequest(sidecar, upstream)
        sidecar.process.terminate()
        with signals_without_pause(sidecar, signal_number):
            time.sleep(0.5)
            request.assert_answered_after_release()
            assert sidecar.process.wait(LONG_S) == 0
