"""System calls that are refused all the time cost no request its answer, and the process no planned stop."""

from __future__ import annotations

import signal
import tempfile

import pytest

from tests.admin.admin_sidecar import AdminSidecar
from tests.process_faults.environment_faults import EnvironmentFaults
from tests.process_faults.held_request import HeldRequest, HoldingUpstream
from tests.sockets import LONG_S, Sidecar, Upstream, eventually

REFUSED_CALLS = [
    ("sigtimedwait",),
    ("pthread_sigmask",),
    ("tcp_info",),
    ("tiocoutq", "fionread", "socket_buffers"),
    ("poll",),
    ("proc",),
    ("io_uring", "splice", "sendfile", "fork"),
]


@pytest.mark.parametrize("refused", REFUSED_CALLS, ids="-".join)
def test_requests_are_answered_and_the_stop_is_planned_although_calls_are_refused(
    refused: tuple[str, ...],
) -> None:
    env = EnvironmentFaults(refused_calls=refused).variables()
    with HoldingUpstream() as upstream, Sidecar([upstream], env=env) as sidecar:
        client = sidecar.client()
        for _ in range(3):
            assert client.request("GET", "/read/1").status == 200
        sidecar.process.send_signal(signal.SIGHUP)
        eventually(lambda: [line for line in sidecar.log_lines if "configuration reloaded" in line])
        request = HeldRequest(sidecar, upstream)
        sidecar.process.terminate()
        eventually(lambda: [line for line in sidecar.log_lines if "SIGTERM: shutting down" in line])
        request.assert_answered_after_release()
        client.close()
        assert sidecar.process.wait(LONG_S) == 0


def test_sidecar_with_an_admin_server_serves_although_files_cannot_be_locked_or_allocated() -> None:
    env = EnvironmentFaults(refused_calls=("flock", "fallocate")).variables()
    with (
        tempfile.TemporaryDirectory() as folder,
        Upstream() as upstream,
        AdminSidecar([upstream], folder, env=env) as sidecar,
    ):
        assert sidecar.request("POST", "/pay/1", b"x", Req_Id="id-1").status == 200
        assert sidecar.request("POST", "/pay/1", b"x", Req_Id="id-1").status == 409
        assert sidecar.call("PAUSE") == "done"
        assert sidecar.request("GET", "/ready").status == 503
        assert len(upstream.requests) == 1
        assert sidecar.stop() == 0


def test_accept_that_fails_now_and_then_loses_no_request() -> None:
    faults = EnvironmentFaults(accept_period=3).variables()
    with Upstream() as upstream, Sidecar([upstream], env=faults) as sidecar:
        for _ in range(40):  # each documented error, once
            assert sidecar.request("GET", "/read/1").status == 200
        assert sidecar.stop() == 0
