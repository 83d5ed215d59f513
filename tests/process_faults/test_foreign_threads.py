"""A thread that is not the sidecar's own takes the signals of the process, as it blocks none."""

from __future__ import annotations

import signal
import threading

import pytest

from tests.process_faults.environment_faults import FOREIGN_CLOCK, WAITING_THREAD, EnvironmentFaults
from tests.sockets import LONG_S, Message, Sidecar, Upstream, answer, eventually

ENVIRONMENTS = pytest.mark.parametrize("faults", [WAITING_THREAD, FOREIGN_CLOCK], ids=["thread", "clock"])


class HoldingUpstream(Upstream):
    """Answers once it is released."""

    def __init__(self) -> None:
        self.released = threading.Event()
        super().__init__(script=self.respond)

    def respond(self, request: Message, client: object) -> bytes:
        """Wait, and answer."""
        self.released.wait(LONG_S)
        return answer(b"held")


@ENVIRONMENTS
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_that_another_thread_takes_loses_no_request(
    number: signal.Signals, faults: EnvironmentFaults
) -> None:
    with HoldingUpstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        client = sidecar.client()
        client.send("POST", "/pay/1", b"x", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        sidecar.process.send_signal(number)
        eventually(lambda: sidecar.request("GET", "/ready").status == 503)
        upstream.released.set()
        response = client.read()
        assert response is not None
        assert response.body == b"held"
        assert sidecar.process.wait(LONG_S) == 0


@ENVIRONMENTS
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR2])
def test_signal_that_another_thread_takes_does_not_end_the_process(
    number: signal.Signals, faults: EnvironmentFaults
) -> None:
    with HoldingUpstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        client = sidecar.client()
        client.send("POST", "/pay/1", b"x", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        sidecar.process.send_signal(number)
        if number == signal.SIGHUP:
            eventually(lambda: [line for line in sidecar.log_lines if "configuration reloaded" in line])
        upstream.released.set()
        response = client.read()
        assert response is not None
        assert response.body == b"held"
        assert sidecar.stop() == 0
