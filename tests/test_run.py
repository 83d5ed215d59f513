"""The `run` command of the deploy file, started as a process on loopback sockets."""

from __future__ import annotations

from tests.sockets import Sidecar, Upstream


def test_run_serves_a_request_and_exits_with_status_0() -> None:
    with Upstream(body=b"unlocked") as upstream, Sidecar([upstream]) as sidecar:
        answer = sidecar.request("POST", "/pay/7", b"coins=3")
        assert (answer.status, answer.body) == (200, b"unlocked")
        assert upstream.bodies() == [b"coins=3"]
        assert sidecar.stop() == 0
