"""Health checks of upstreams by gRPC (grpc.health.v1, Check), for upstreams that serve no HTTP/1.1."""

from __future__ import annotations

from dataclasses import replace

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import ProbeCallback
from sidecar_proxy.engine.interfaces import UpstreamResponse
from sidecar_proxy.grpc import health
from sidecar_proxy.grpc.metadata import Request
from sidecar_proxy.grpc.outcome import AttemptResult, classify
from sidecar_proxy.grpc.upstream import GrpcAttempt, UpstreamPool

HEALTH_CHECK = Request(
    health.CHECK_PATH,
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
        (b":path", health.CHECK_PATH),
        (b":authority", b"backend.local"),
        (b"content-type", b"application/grpc"),
        (b"te", b"trailers"),
    ),
)


class HealthCheck:
    """A health check of one upstream: the AttemptSource of its attempt."""

    forward_headers_early = False
    is_request_complete = True
    buffer_offset = 0

    def __init__(self, timeout_us: int) -> None:
        self.request = replace(HEALTH_CHECK, due_us=timeout_us)
        self.buffer = bytearray(health.encode_request())
        self.attempt: GrpcAttempt | None = None

    def can_resend(self) -> bool:
        """Return True: the request is always complete in the buffer."""
        return True

    def is_bound(self) -> bool:
        """Return False: no part of the response is forwarded."""
        return False

    def on_response_data(self, attempt: GrpcAttempt) -> None:
        """Do nothing: the response is evaluated at its end, and no more than one window of it is accepted."""

    def send_pending(self) -> None:
        """Send what the attempt has not sent yet."""
        if self.attempt is not None:
            self.attempt.send_pending()

    def on_attempt_end(
        self, attempt: GrpcAttempt, outcome: api.Outcome, result: AttemptResult | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]:
        """Report the upstream as serving only if its response says SERVING."""
        if result is not None:
            outcome = classify(result).outcome
        is_serving = health.parse_response(bytes(attempt.unforwarded)) is health.ServingStatus.SERVING
        if outcome is api.Outcome.OK and not is_serving:
            outcome = api.Outcome.ERROR
        status = 200 if outcome is api.Outcome.OK else 503
        return outcome, UpstreamResponse(
            status, b"", attempt.load_report(), b""
        ) if outcome is api.Outcome.OK else None


def probe(upstream_pool: UpstreamPool, upstream: int, on_end: ProbeCallback, timeout_s: float) -> None:
    """Start a health check of an upstream; `on_end` is called once, with its outcome."""
    health_check = HealthCheck(int(timeout_s * 1e6))
    health_check.attempt = upstream_pool.create_attempt(
        health_check, lambda: health_check.request.due_us, on_end, lambda: None
    )
    upstream_pool.start(upstream, health_check.attempt, timeout_s)
