"""`run` of the deploy file, started for real on loopback sockets."""

from __future__ import annotations

from tests.sockets import Sidecar, Upstream


def test_run_serves_a_request_and_ends_in_order() -> None:
    with Upstream(body=b"unlocked") as upstream, Sidecar([upstream]) as sidecar:
        answer = sidecar.request("POST", "/pay/7", b"coins=3")
        assert (answer.status, answer.body) == (200, b"unlocked")
        assert upstream.bodies() == [b"coins=3"]
        assert sidecar.stop() == 0
