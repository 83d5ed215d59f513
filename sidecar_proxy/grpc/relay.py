"""Relays a call between the client's stream and its attempts at upstreams. Uses no sockets directly.

The request is buffered until the response starts, up to 64 KiB, so that another attempt can be made. Beyond
that size the call stays with the attempts that have received its start. Once a part of a response has been
forwarded, it stays with the attempt that sent it. A client that does not read slows its upstream down by flow
control. The data that is buffered for it counts against the buffer limit of the sidecar.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import AttemptCallback, UpstreamResponse
from sidecar_proxy.grpc.buffer_budget import LONG_STREAM_WINDOW_BYTES, BufferOwner
from sidecar_proxy.grpc.metadata import Headers, Request, response_headers, retry_after_us
from sidecar_proxy.grpc.outcome import AttemptResult, Verdict, classify, failure_trailers, rejection_trailers
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.grpc.upstream import GrpcAttempt, UpstreamPool
from sidecar_proxy.http2.connection import CANCEL

PUSHBACK_HEADER = b"grpc-retry-pushback-ms"
MAX_REPLAY_BYTES = 64 * 1024  # maximum size of a request that is buffered for another attempt
RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
ERROR_MESSAGES = {
    Code.DEADLINE_EXCEEDED: b"the time is out",
    Code.RESOURCE_EXHAUSTED: b"too much is unread",
    Code.UNAVAILABLE: b"the node's connection ended",
}


class Downstream(Protocol):
    """The client connection of a call."""

    def send_headers(self, stream: int, headers: Headers, ended: bool) -> None:
        """Send response headers, or a trailers-only response if `ended`."""

    def send_data(self, stream: int, data: bytes) -> None:
        """Send response data."""

    def send_trailers(self, stream: int, headers: Headers) -> None:
        """End the response with trailers."""

    def unsent(self, stream: int) -> int:
        """Return the size of the data that waits for the stream's window, in bytes."""

    def consumed(self, stream: int, size: int) -> None:
        """Return window for processed data, so that the client may send more."""

    def widen(self, stream: int, window: int) -> None:
        """Raise the stream's receive window."""

    def reset(self, stream: int, code: int) -> None:
        """Reset the stream with an HTTP/2 error code."""

    def on_call_ended(self, relay: Relay) -> None:
        """Note that the final status of a call has been sent."""


class Relay(BufferOwner):
    """A call from its headers to its single final status. It is the engine's AttemptFactory for the call."""

    __slots__ = (
        "client",
        "stream",
        "request",
        "upstream_pool",
        "request_number",
        "buffer",
        "buffer_offset",
        "is_request_complete",
        "attempts",
        "bound_attempt",
        "is_window_widened",
        "verdict",
        "final_attempt",
        "has_sent_headers",
        "is_ended",
        "forward_headers_early",
    )

    def __init__(
        self,
        client: Downstream,
        stream: int,
        request: Request,
        upstream_pool: UpstreamPool,
        forward_headers_early: bool,
    ) -> None:
        super().__init__()
        self.client = client
        self.stream = stream
        self.request = request
        self.upstream_pool = upstream_pool
        self.request_number = 0  # the engine's number of the request; 0 = not accepted yet
        self.buffer = bytearray()  # the part of the request body that may still be sent to an upstream
        self.buffer_offset = 0  # offset of the buffer in the request body
        self.is_request_complete = False  # the client has ended its side of the stream
        self.attempts: list[GrpcAttempt] = []  # the attempts in flight
        self.bound_attempt: GrpcAttempt | None = None  # the attempt whose response is being forwarded
        self.is_window_widened = False  # the client's window exceeds what is kept for another attempt
        self.verdict: Verdict | None = None  # the verdict on the last attempt
        self.final_attempt: GrpcAttempt | None = None  # the attempt whose response is the call's
        self.has_sent_headers = False  # response headers were sent to the client
        self.is_ended = False
        # response headers are forwarded before the first message
        self.forward_headers_early = forward_headers_early

    # Called by the client connection

    def on_data(self, data: bytes, ended: bool) -> None:
        """Buffer request data, and send it to the attempts in flight."""
        self.buffer += data
        self.is_request_complete = self.is_request_complete or ended
        if data:
            self.upstream_pool.buffer_budget.adjust(self, len(data))
        self.send_pending()

    def on_client_gone(self) -> None:
        """Cancel the call at once: the client has reset its stream, or its connection is lost."""
        self.is_ended = True
        if self.request_number:
            self.upstream_pool.engine.client_gone(self.request_number)
        self.cancel_attempts()
        self.release()

    def cancel_attempts(self) -> None:
        """Cancel the attempts in flight."""
        for attempt in list(self.attempts):
            attempt.finish(api.Outcome.CANCELLED)

    def abort_over_budget(self) -> None:
        """Fail the call: the buffer limit is exceeded, and this call has the most buffered data.

        The data that the client has not read is dropped.
        """
        self.verdict = Verdict(api.Outcome.ERROR, Code.RESOURCE_EXHAUSTED, False)
        has_partial_response = self.has_sent_headers
        if self.request_number:
            self.upstream_pool.engine.fail_request(self.request_number)
        self.reply(502)
        self.release()
        if has_partial_response:
            self.client.reset(self.stream, CANCEL)

    def release(self) -> None:
        """Drop the buffers and the references to attempts after the end of the call.

        An attempt and its call refer to each other, and would keep their buffers until the next run of the
        cyclic garbage collector.
        """
        self.final_attempt = self.bound_attempt = None
        self.buffer.clear()
        self.upstream_pool.buffer_budget.adjust(self, -self.buffered_bytes)

    # The engine's AttemptFactory, and the AttemptSource of its attempts

    def new_attempt(
        self, left_us: Callable[[], int], on_end: AttemptCallback, on_response_started: Callable[[], None]
    ) -> GrpcAttempt:
        """Return a new attempt of this call."""
        attempt = self.upstream_pool.create_attempt(self, left_us, on_end, on_response_started)
        self.attempts.append(attempt)
        return attempt

    def can_resend(self) -> bool:
        """Return whether a new attempt is possible: the request is complete in the buffer from its start."""
        return self.buffer_offset == 0 and self.bound_attempt is None

    def is_bound(self) -> bool:
        """Return whether a response is being forwarded, so that no other attempt can be used."""
        return self.bound_attempt is not None

    def send_pending(self) -> None:
        """Send the attempts in flight the part of the request that they have not sent.

        Data that all of them have sent is kept as long as it may be needed for another attempt. Once the
        buffer is full it is dropped: the client may send more, and no new attempt is possible.
        """
        for attempt in list(self.attempts):
            attempt.send_pending()
        sent_positions = [attempt.sent_bytes for attempt in self.attempts if attempt.stream]
        released = min(sent_positions, default=0) - self.buffer_offset
        if released > 0 and (
            self.buffer_offset or self.bound_attempt is not None or len(self.buffer) >= MAX_REPLAY_BYTES
        ):
            del self.buffer[:released]
            self.buffer_offset += released
            if (
                self.buffer_offset > 2 * MAX_REPLAY_BYTES
                and not self.is_window_widened
                and not self.is_request_complete
            ):
                # The upstream keeps accepting the data.
                self.is_window_widened = True
                self.client.widen(self.stream, LONG_STREAM_WINDOW_BYTES)
            self.upstream_pool.buffer_budget.adjust(self, -released)
            self.client.consumed(self.stream, released)

    # Called by attempts

    def on_response_data(self, attempt: GrpcAttempt) -> None:
        """Forward the response of an attempt, and bind the call to this attempt.

        This is not called for a response that has started and ended in the same read.
        """
        if self.is_ended or (self.bound_attempt is not None and self.bound_attempt is not attempt):
            return
        if self.bound_attempt is None:
            self.bound_attempt = attempt
            attempt.bind()
            # The other attempts are cancelled after the call is bound: if the balancer got their ends first,
            # it would replace them by another attempt.
            for other in [other for other in self.attempts if other is not attempt]:
                other.finish(api.Outcome.CANCELLED)
            if self.is_ended:  # an error in the balancer has ended the call
                return
        if not self.has_sent_headers:
            self.has_sent_headers = True
            self.client.send_headers(self.stream, response_headers(attempt.headers), False)
        self.forward_data(attempt)
        self.send_pending()

    def forward_data(self, attempt: GrpcAttempt) -> None:
        """Send the client the response data that the attempt has received."""
        data, attempt.unforwarded = bytes(attempt.unforwarded), bytearray()
        if data:
            attempt.unflushed_bytes += len(data)
            attempt.forwarded_bytes += len(data)
            if attempt.forwarded_bytes >= MAX_REPLAY_BYTES and not attempt.is_window_widened:
                attempt.widen(LONG_STREAM_WINDOW_BYTES)
            self.upstream_pool.buffer_budget.adjust(self, len(data))
            self.client.send_data(self.stream, data)

    def on_flushed(self) -> None:
        """Return window to the upstream for the data that the client connection has written."""
        attempt = self.bound_attempt
        if attempt is None or not attempt.unflushed_bytes:
            return
        taken = attempt.unflushed_bytes - self.client.unsent(self.stream)
        if taken > 0:
            attempt.unflushed_bytes -= taken
            self.upstream_pool.buffer_budget.adjust(self, -taken)
            attempt.consumed(taken)

    def on_attempt_end(
        self, attempt: GrpcAttempt, outcome: api.Outcome, result: AttemptResult | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]:
        """Return the outcome and the response of an attempt that has ended, for the engine."""
        self.attempts.remove(attempt)
        load_report = attempt.load_report()
        if result is not None:
            verdict = self.verdict = classify(result)
            outcome = verdict.outcome
            if self.is_ended:
                return outcome, UpstreamResponse(0, b"", b"", load_report)
            if verdict.is_final or self.bound_attempt is attempt:
                # Once a part of the response was forwarded, only the upstream's own status matches it.
                if any(name == b"grpc-status" for name, _ in attempt.trailers):
                    self.final_attempt = attempt
                    if verdict.outcome is api.Outcome.OK:
                        return outcome, UpstreamResponse(200, b"", b"", load_report)
                    return outcome, UpstreamResponse(
                        0 if self.bound_attempt is attempt else 400, b"", b"", load_report, True
                    )
                return outcome, UpstreamResponse(0, b"", b"", load_report, True)
        elif outcome in (api.Outcome.NOT_SENT, api.Outcome.CONNECT_FAILED) and self.verdict is None:
            self.verdict = Verdict(outcome, Code.UNAVAILABLE, False)
        is_stuck = not self.is_ended and (
            self.bound_attempt is attempt or (not self.can_resend() and not self.attempts)
        )
        return outcome, UpstreamResponse(
            0, b"", b"", load_report, is_stuck
        ) if load_report or is_stuck else None

    # Called by the engine

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """Send the final status of the call: the status of the upstream's response, or one of the sidecar.

        `status` is the HTTP status of the engine's response: 503 = rejected, 504 = deadline exceeded, and any
        other = failed.
        """
        if self.is_ended:
            return
        self.is_ended = True
        final_attempt = self.final_attempt
        if final_attempt is not None and (self.bound_attempt is None or self.bound_attempt is final_attempt):
            self.forward_response(final_attempt)
        else:
            self.send_own_status(self.own_trailers(status, head))
        self.client.on_call_ended(self)
        if status == 504:
            # The engine's deadline came before the attempts' timers: they end as expired, not as cancelled.
            for attempt in list(self.attempts):
                attempt.expire()
        self.cancel_attempts()
        self.release()

    def forward_response(self, final_attempt: GrpcAttempt) -> None:
        """Send the rest of the upstream's response.

        A negative pushback is added to a failed unsafe call, because the client's retry policy could repeat
        the call on this status.
        """
        trailers = response_headers(final_attempt.trailers)
        request_class = self.upstream_pool.engine.settings.classes[self.request.class_index]
        if (
            request_class.effect == "at_most_once"
            and (b"grpc-status", b"0") not in trailers
            and not any(name == PUSHBACK_HEADER for name, _ in trailers)
        ):
            trailers.append((PUSHBACK_HEADER, b"-1"))
        if not self.has_sent_headers and final_attempt.trailers_only:
            self.client.send_headers(self.stream, trailers, True)
            return
        if not self.has_sent_headers:
            self.client.send_headers(self.stream, response_headers(final_attempt.headers), False)
        if final_attempt.unforwarded:
            self.client.send_data(self.stream, bytes(final_attempt.unforwarded))
        self.client.send_trailers(self.stream, trailers)

    def send_own_status(self, trailers: Headers) -> None:
        """End the call with a status of the sidecar."""
        if self.has_sent_headers:
            self.client.send_trailers(self.stream, trailers)
        else:
            self.client.send_headers(self.stream, RESPONSE_HEADERS + trailers, True)

    def own_trailers(self, status: int, head: bytes) -> Headers:
        """Return the trailers for a response of the engine: its HTTP status and header lines."""
        if status == 503:
            after_us = retry_after_us(head)
            trailers = rejection_trailers(after_us)
            has_timed_out = self.verdict is not None and self.verdict.outcome is api.Outcome.TIMEOUT
            if self.request.due_us <= self.upstream_pool.engine.clock.now_us() + after_us * has_timed_out:
                # `srv-declined` says that a retry is safe, but the client cannot retry before its deadline.
                trailers = [
                    (b"grpc-status", b"%d" % Code.DEADLINE_EXCEEDED),
                    (b"grpc-message", ERROR_MESSAGES[Code.DEADLINE_EXCEEDED]),
                    (b"srv-declined", b"1"),
                ]
            return trailers
        code = self.verdict.code if self.verdict is not None else Code.INTERNAL
        if status == 504:
            code = Code.DEADLINE_EXCEEDED
        elif code is Code.OK:
            code = Code.INTERNAL
        return failure_trailers(code, ERROR_MESSAGES.get(code, b"the call failed"))
