"""Asking a node for its health by gRPC (grpc.health.v1, Check), for nodes that speak nothing else."""

from __future__ import annotations

from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import ProbeCallback
from sidecar_proxy.engine.interfaces import UpstreamResponse
from sidecar_proxy.grpc import health
from sidecar_proxy.grpc.metadata import Request
from sidecar_proxy.grpc.nodes import Attempt, Nodes
from sidecar_proxy.grpc.outcome import Ended, judge

REQUEST = Request(
    health.CHECK,
    0,
    0,
    b"",
    0,
    0,
    0,
    False,
    (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", health.CHECK),
        (b":authority", b"backend.local"),
        (b"content-type", b"application/grpc"),
        (b"te", b"trailers"),
    ),
)


class Probe:
    """One question to one node: the Source of its attempt."""

    eager = False
    whole = True
    base = 0

    def __init__(self, timeout_us: int) -> None:
        self.request = replace(REQUEST, due_us=timeout_us)
        self.buffer = bytearray(health.request())
        self.attempt: Attempt | None = None

    def again(self) -> bool:
        return True

    def is_bound(self) -> bool:
        return False

    def answering(self, attempt: Attempt) -> None:
        """Its answer is whole when it ends; more than a window is not read."""

    def pump(self) -> None:
        if self.attempt is not None:
            self.attempt.pump()

    def ending(
        self, attempt: Attempt, outcome: api.Outcome, ended: Ended | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]:
        """Served only by an answer that says SERVING."""
        if ended is not None:
            outcome = judge(ended).outcome
        serving = health.status_of(bytes(attempt.unread)) is health.Serving.SERVING
        if outcome is api.Outcome.OK and not serving:
            outcome = api.Outcome.ERROR
        status = 200 if outcome is api.Outcome.OK else 503
        return outcome, UpstreamResponse(
            status, b"", attempt.load(), b""
        ) if outcome is api.Outcome.OK else None


def probe(nodes: Nodes, upstream: int, ended: ProbeCallback, timeout_s: float) -> None:
    """Ask; `ended` is called once."""
    asked = Probe(int(timeout_s * 1e6))
    asked.attempt = nodes.attempt(asked, lambda: asked.request.due_us, ended, lambda: None)
    nodes.start(upstream, asked.attempt, timeout_s)
