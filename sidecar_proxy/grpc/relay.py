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
from sidecar_proxy.grpc.held import WIDE, Holder
from sidecar_proxy.grpc.metadata import Headers, Request, answer_headers, retry_after_us
from sidecar_proxy.grpc.nodes import Attempt, Nodes
from sidecar_proxy.grpc.outcome import Ended, Verdict, failed, judge, refused
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.http2.connection import CANCEL

PUSHBACK = b"grpc-retry-pushback-ms"
KEPT = 64 * 1024  # bytes of a request that can be sent again
OWN_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
MESSAGES = {
    Code.DEADLINE_EXCEEDED: b"the time is out",
    Code.RESOURCE_EXHAUSTED: b"too much is unread",
    Code.UNAVAILABLE: b"the node's connection ended",
}


class Client(Protocol):
    """The connection that the call came on."""

    def send_headers(self, stream: int, headers: Headers, ended: bool) -> None: ...

    def send_data(self, stream: int, data: bytes) -> None: ...

    def send_trailers(self, stream: int, headers: Headers) -> None: ...

    def unsent(self, stream: int) -> int: ...

    def consumed(self, stream: int, size: int) -> None: ...

    def widen(self, stream: int, window: int) -> None: ...

    def reset(self, stream: int, code: int) -> None: ...

    def answered(self, relay: Relay) -> None:
        """Its final status has been given."""


class Relay(Holder):
    """A call, from its headers to its one final status. The engine's Carrier for it."""

    __slots__ = (
        "client",
        "stream",
        "request",
        "nodes",
        "number",
        "buffer",
        "base",
        "whole",
        "attempts",
        "bound",
        "wide",
        "verdict",
        "final",
        "told",
        "over",
        "eager",
    )

    def __init__(self, client: Client, stream: int, request: Request, nodes: Nodes, eager: bool) -> None:
        super().__init__()
        self.client = client
        self.stream = stream
        self.request = request
        self.nodes = nodes
        self.number = 0  # in the engine, once it is taken
        self.buffer = bytearray()
        self.base = 0  # where the buffer begins in all that the client has sent
        self.whole = False  # the client has ended its side
        self.attempts: list[Attempt] = []  # those that are out
        self.bound: Attempt | None = None
        self.wide = False  # the client may send more than is kept
        self.verdict: Verdict | None = None  # of the last attempt
        self.final: Attempt | None = None  # whose answer is the call's
        self.told = False  # headers have gone to the client
        self.over = False
        self.eager = eager  # the answer's headers go on before its first message

    # From the client

    def on_data(self, data: bytes, ended: bool) -> None:
        self.buffer += data
        self.whole = self.whole or ended
        if data:
            self.nodes.held.change(self, len(data))
        self.pump()

    def gone(self) -> None:
        """The client has reset its stream, or its connection is lost: nodes learn of it at once."""
        self.over = True
        if self.number:
            self.nodes.engine.client_gone(self.number)
        self.cancel()
        self.release()

    def cancel(self) -> None:
        for attempt in list(self.attempts):
            attempt.finish(api.Outcome.CANCELLED)

    def give_up(self) -> None:
        """Too much is held, and most of it for this call: what its client has not read is dropped."""
        self.verdict = Verdict(api.Outcome.ERROR, Code.RESOURCE_EXHAUSTED, False)
        unread = self.told
        if self.number:
            self.nodes.engine.fail_request(self.number)
        self.reply(502)
        self.release()
        if unread:
            self.client.reset(self.stream, CANCEL)

    def release(self) -> None:
        """Nothing more is done for it. Hazard: an attempt and its call hold one another, and what they hold,
        until the cycle collector comes."""
        self.final = self.bound = None
        self.buffer.clear()
        self.nodes.held.change(self, -self.held)

    # The engine's Carrier

    def new_attempt(
        self, left_us: Callable[[], int], ended: AttemptCallback, began: Callable[[], None]
    ) -> Attempt:
        attempt = self.nodes.attempt(self, left_us, ended, began)
        self.attempts.append(attempt)
        return attempt

    def again(self) -> bool:
        """All that the client has sent is still here."""
        return self.base == 0 and self.bound is None

    def is_bound(self) -> bool:
        return self.bound is not None

    def pump(self) -> None:
        """Send on what attempts have not had. What all have had is kept while it may be needed again; past
        that the client may send more, and no new attempt can be made."""
        for attempt in list(self.attempts):
            attempt.pump()
        live = [attempt.sent for attempt in self.attempts if attempt.stream]
        done = min(live, default=0) - self.base
        if done > 0 and (self.base or self.bound is not None or len(self.buffer) >= KEPT):
            del self.buffer[:done]
            self.base += done
            if self.base > 2 * KEPT and not self.wide and not self.whole:  # the node takes what it is given
                self.wide = True
                self.client.widen(self.stream, WIDE)
            self.nodes.held.change(self, -done)
            self.client.consumed(self.stream, done)

    # From attempts

    def answering(self, attempt: Attempt) -> None:
        """An answer has begun and has not ended in the same read: it goes on, and the call is bound."""
        if self.over or (self.bound is not None and self.bound is not attempt):
            return
        if self.bound is None:
            self.bound = attempt
            attempt.bind()
            # hazard: told of these first, the decisions would still make up for them with another attempt
            for other in [one for one in self.attempts if one is not attempt]:
                other.finish(api.Outcome.CANCELLED)
            if self.over:  # a fault in the decisions has ended it
                return
        if not self.told:
            self.told = True
            self.client.send_headers(self.stream, answer_headers(attempt.headers), False)
        self.pass_data(attempt)
        self.pump()

    def pass_data(self, attempt: Attempt) -> None:
        data, attempt.unread = bytes(attempt.unread), bytearray()
        if data:
            attempt.owed += len(data)
            attempt.passed += len(data)
            if attempt.passed >= KEPT and not attempt.wide:
                attempt.widen(WIDE)
            self.nodes.held.change(self, len(data))
            self.client.send_data(self.stream, data)

    def flushed(self) -> None:
        """The client's connection has written: what it took, the node may send anew."""
        attempt = self.bound
        if attempt is None or not attempt.owed:
            return
        done = attempt.owed - self.client.unsent(self.stream)
        if done > 0:
            attempt.owed -= done
            self.nodes.held.change(self, -done)
            attempt.consumed(done)

    def ending(
        self, attempt: Attempt, outcome: api.Outcome, ended: Ended | None
    ) -> tuple[api.Outcome, UpstreamResponse | None]:
        """An attempt is over. What the engine is to make of it."""
        self.attempts.remove(attempt)
        load = attempt.load()
        if ended is not None:
            verdict = self.verdict = judge(ended)
            outcome = verdict.outcome
            if self.over:
                return outcome, UpstreamResponse(0, b"", b"", load)
            if verdict.pass_on or self.bound is attempt:
                # hazard: once a part has gone on, the node's own status is the only one that fits it
                if any(name == b"grpc-status" for name, _ in attempt.trailers):
                    self.final = attempt
                    if verdict.outcome is api.Outcome.OK:
                        return outcome, UpstreamResponse(200, b"", b"", load)
                    return outcome, UpstreamResponse(
                        0 if self.bound is attempt else 400, b"", b"", load, True
                    )
                return outcome, UpstreamResponse(0, b"", b"", load, True)
        elif outcome in (api.Outcome.NOT_SENT, api.Outcome.CONNECT_FAILED) and self.verdict is None:
            self.verdict = Verdict(outcome, Code.UNAVAILABLE, False)
        stuck = not self.over and (self.bound is attempt or (not self.again() and not self.attempts))
        return outcome, UpstreamResponse(0, b"", b"", load, stuck) if load or stuck else None

    # From the engine

    def reply(self, status: int, head: bytes = b"", body: bytes = b"") -> None:
        """The one final status: a node's own, or ours in the terms of HTTP (503 refused, 504 out of time,
        anything else failed)."""
        if self.over:
            return
        self.over = True
        final = self.final
        if final is not None and (self.bound is None or self.bound is final):
            self.pass_on(final)
        else:
            self.say(self.own(status, head))
        self.client.answered(self)
        if status == 504:  # the guard was quicker than the attempts' own timers: they are told apart
            for attempt in list(self.attempts):
                attempt.expire()
        self.cancel()
        self.release()

    def pass_on(self, final: Attempt) -> None:
        """A node's own answer. Hazard: by its status a client's retry policy may repeat an unsafe call."""
        trailers = answer_headers(final.trailers)
        kind = self.nodes.engine.settings.classes[self.request.class_index]
        if (
            kind.effect == "at_most_once"
            and (b"grpc-status", b"0") not in trailers
            and not any(name == PUSHBACK for name, _ in trailers)
        ):
            trailers.append((PUSHBACK, b"-1"))
        if not self.told and final.trailers_only:
            self.client.send_headers(self.stream, trailers, True)
            return
        if not self.told:
            self.client.send_headers(self.stream, answer_headers(final.headers), False)
        if final.unread:
            self.client.send_data(self.stream, bytes(final.unread))
        self.client.send_trailers(self.stream, trailers)

    def say(self, trailers: Headers) -> None:
        if self.told:
            self.client.send_trailers(self.stream, trailers)
        else:
            self.client.send_headers(self.stream, OWN_HEADERS + trailers, True)

    def own(self, status: int, head: bytes) -> Headers:
        if status == 503:
            after_us = retry_after_us(head)
            trailers = refused(after_us)
            waited = self.verdict is not None and self.verdict.outcome is api.Outcome.TIMEOUT
            if self.request.due_us <= self.nodes.engine.clock.now_us() + after_us * waited:
                # to try again is harmless, as the marker says; but no time is left to come back in
                trailers = [
                    (b"grpc-status", b"%d" % Code.DEADLINE_EXCEEDED),
                    (b"grpc-message", MESSAGES[Code.DEADLINE_EXCEEDED]),
                    (b"srv-declined", b"1"),
                ]
            return trailers
        code = self.verdict.code if self.verdict is not None else Code.INTERNAL
        if status == 504:
            code = Code.DEADLINE_EXCEEDED
        elif code is Code.OK:
            code = Code.INTERNAL
        return failed(code, MESSAGES.get(code, b"the call failed"))
