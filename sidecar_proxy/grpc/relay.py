"""One call between its client's stream and its attempts at nodes. No sockets: both sides are handed in.

What the client has sent is kept until the answer begins, 64 KiB at most, so that another attempt can be made;
beyond that, or once a part of an answer has gone on, the call is bound to what has had it. A client that does
not read slows its node by the windows; what is held for it counts against a limit of the whole sidecar.
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
MAX_REPLAY_BYTES = 64 * 1024  # bytes of a request that can be sent again
RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
ERROR_MESSAGES = {
    Code.DEADLINE_EXCEEDED: b"the time is out",
    Code.RESOURCE_EXHAUSTED: b"too much is unread",
    Code.UNAVAILABLE: b"the node's connection ended",
}


class Downstream(Protocol):
    """The connection that the call came on."""

    def send_headers(self, stream: int, headers: Headers, ended: bool) -> None: ...

    def send_data(self, stream: int, data: bytes) -> None: ...

    def send_trailers(self, stream: int, headers: Headers) -> None: ...

    def unsent(self, stream: int) -> int: ...

    def consumed(self, stream: int, size: int) -> None: ...

    def widen(self, stream: int, window: int) -> None: ...

    def reset(self, stream: int, code: int) -> None: ...

    def on_call_ended(self, relay: Relay) -> None:
        """Its final status has been given."""


class Relay(BufferOwner):
    """A call, from its headers to its one final status. The engine's Carrier for it."""

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
        self.request_number = 0  # in the engine, once it is taken
        self.buffer = bytearray()
        self.buffer_offset = 0  # where the buffer begins in all that the client has sent
        self.is_request_complete = False  # the client has ended its side
        self.attempts: list[GrpcAttempt] = []  # those that are out
        self.bound_attempt: GrpcAttempt | None = None
        self.is_window_widened = False  # the client may send more than is kept
        self.verdict: Verdict | None = None  # of the last attempt
        self.final_attempt: GrpcAttempt | None = None  # whose answer is the call's
        self.has_sent_headers = False  # headers have gone to the client
        self.is_ended = False
        self.forward_headers_early = (
            forward_headers_early  # the answer's headers go on before its first message
        )

    # From the client

    def on_data(self, data: bytes, ended: bool) -> None:
        self.buffer += data
        self.is_request_complete = self.is_request_complete or ended
        if data:
            self.upstream_pool.buffer_budget.adjust(self, len(data))
        self.send_pending()

    def on_client_gone(self) -> None:
        """The client has reset its stream, or its connection is lost: nodes learn of it at once."""
        self.is_ended = True
        if self.request_number:
            self.upstream_pool.engine.client_gone(self.request_number)
        self.cancel_attempts()
        self.release()

    def cancel_attempts(self) -> None:
        for attempt in list(self.attempts):
            attempt.finish(api.Outcome.CANCELLED)

    def abort_over_budget(self) -> None:
        """Too much is held, and most of it for this call: what its client has not read is dropped."""
        self.verdict = Verdict(api.Outcome.ERROR, Code.RESOURCE_EXHAUSTED, False)
        has_partial_response = self.has_sent_headers
        if self.request_number:
            self.upstream_pool.engine.fail_request(self.request_number)
        self.reply(502)
        self.release()
        if has_partial_response:
            self.client.reset(self.stream, CANCEL)

    def release(self) -> None:
        """Nothing more is done for it. Hazard: an attempt and its call hold one another, and what they hold,
        until the cycle collector comes."""
        self.final_attempt = self.bound_attempt = None
        self.buffer.clear()
        self.upstream_pool.buffer_budget.adjust(self, -self.buffered_bytes)

    # The engine's Carrier

    def new_attempt(
        self, left_us: Callable[[], int], on_end: AttemptCallback, on_response_started: Callable[[], None]
    ) -> GrpcAttempt:
        attempt = self.upstream_pool.create_attempt(self, left_us, on_end, on_response_started)
        self.attempts.append(attempt)
        return attempt

    def can_resend(self) -> bool:
        """All that the client has sent is still here."""
        return self.buffer_offset == 0 and self.bound_attempt is None

    def is_bound(self) -> bool:
        return self.bound_attempt is not None

    def send_pending(self) -> None:
        """Send on what attempts have not had. What all have had is kept while it may be needed again; past
        that the client may send more, and no new attempt can be made."""
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
            ):  # the node takes what it is given
                self.is_window_widened = True
                self.client.widen(self.stream, LONG_STREAM_WINDOW_BYTES)
            self.upstream_pool.buffer_budget.adjust(self, -released)
            self.client.consumed(self.stream, released)

    # From attempts

    def on_response_data(self, attempt: GrpcAttempt) -> None:
        """An answer has begun and has not ended in the same read: it goes on, and the call is bound."""
        if self.is_ended or (self.bound_attempt is not None and self.bound_attempt is not attempt):
            return
        if self.bound_attempt is None:
            self.bound_attempt = attempt
            attempt.bind()
            # hazard: told of these first, the decisions would still make up for them with another attempt
            for other in [other for other in self.attempts if other is not attempt]:
                other.finish(api.Outcome.CANCELLED)
            if self.is_ended:  # a fault in the decisions has ended it
                return
        if not self.has_sent_headers:
            self.has_sent_headers = True
            self.client.send_headers(self.stream, response_headers(attempt.headers), False)
        self.forward_data(attempt)
        self.send_pending()

    def forward_data(self, attempt: GrpcAttempt) -> None:
        data, attempt.unforwarded = bytes(attempt.unforwarded), bytearray()
        if data:
            attempt.unflushed_bytes += len(data)
            attempt.forwarded_bytes += len(data)
            if attempt.forwarded_bytes >= MAX_REPLAY_BYTES and not attempt.is_window_widened:
                attempt.widen(LONG_STREAM_WINDOW_BYTES)
            self.upstream_pool.buffer_budget.adjust(self, len(data))
            self.client.send_data(self.stream, data)

    def on_flushed(self) -> None:
        """The client's connection has written: what it took, the node may send anew."""
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
        """An attempt is over. What the engine is to make of it."""
        self.attempts.remove(attempt)
        load_report = attempt.load_report()
        if result is not None:
            verdict = self.verdict = classify(result)
            outcome = verdict.outcome
            if self.is_ended:
                return outcome, UpstreamResponse(0, b"", b"", load_report)
            if verdict.is_final or self.bound_attempt is attempt:
                # hazard: once a part has gone on, the node's own status is the only one that fits it
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

    # From the engine

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """The one final status: a node's own, or ours in the terms of HTTP (503 refused, 504 out of time,
        anything else failed)."""
        if self.is_ended:
            return
        self.is_ended = True
        final_attempt = self.final_attempt
        if final_attempt is not None and (self.bound_attempt is None or self.bound_attempt is final_attempt):
            self.forward_response(final_attempt)
        else:
            self.send_own_status(self.own_trailers(status, head))
        self.client.on_call_ended(self)
        if status == 504:  # the guard was quicker than the attempts' own timers: they are told apart
            for attempt in list(self.attempts):
                attempt.expire()
        self.cancel_attempts()
        self.release()

    def forward_response(self, final_attempt: GrpcAttempt) -> None:
        """A node's own answer. Hazard: by its status a client's retry policy may repeat an unsafe call."""
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
        if self.has_sent_headers:
            self.client.send_trailers(self.stream, trailers)
        else:
            self.client.send_headers(self.stream, RESPONSE_HEADERS + trailers, True)

    def own_trailers(self, status: int, head: bytes) -> Headers:
        if status == 503:
            after_us = retry_after_us(head)
            trailers = rejection_trailers(after_us)
            has_timed_out = self.verdict is not None and self.verdict.outcome is api.Outcome.TIMEOUT
            if self.request.due_us <= self.upstream_pool.engine.clock.now_us() + after_us * has_timed_out:
                # to try again is harmless, as the marker says; but no time is left to come back in
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
