"""What a call's headers say: its class, deadline and names; and what of them goes on to a node. Pure.

Sources: gRPC over HTTP2 ("Requests"), gRFC A6 for `grpc-previous-rpc-attempts`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from sidecar_proxy.balancer import events as api
from sidecar_proxy.grpc.deadline import DeadlineError, format_us, parse_us
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.http1.request import (
    REQUEST_ID_PATTERN,
    RESPONSE_MARGIN_US,
    hash_key,
    parse_cost_us,
    parse_decimal_us,
)

Headers = list[tuple[bytes, bytes]]
ONCE = frozenset(
    {
        b"req-id",
        b"idempotency-key",
        b"req-owner",
        b"req-key",
        b"req-cost",
        b"grpc-timeout",
        b"grpc-previous-rpc-attempts",
        b"content-type",
    }
)
# Between two neighbours only, or told anew at each hop.
HOP = frozenset(
    {
        b"grpc-timeout",
        b"te",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"upgrade",
        b"transfer-encoding",
        b"content-length",
        b"host",
        b"req-id",
    }
)
OWN_ANSWER = frozenset({b"srv-load", b"srv-declined"})  # of an answer: for us, not for clients


class Rejected(Exception):
    """A call that is answered here and never sent on."""

    def __init__(self, code: Code, why: str) -> None:
        super().__init__(why)
        self.code = code


class MethodError(ValueError):
    """The map of methods names a class that there is not; one line."""


@dataclass(slots=True, frozen=True)
class Request:
    """A call as its headers tell it."""

    path: bytes
    class_index: int
    due_us: int  # when its client stops waiting, less a margin
    ident: bytes
    tenant: int
    key: int
    cost_us: int
    retried: bool
    onward: tuple[tuple[bytes, bytes], ...]  # headers for a node, but for the timeout

    def headers(self, left_us: int) -> Headers:
        """For a node: what is left of the time goes on (gRPC over HTTP2, "Timeout")."""
        return [*self.onward, (b"grpc-timeout", format_us(left_us))]


class Methods:
    """Full names of methods to numbers of classes; a name by itself comes before its service's `/*`."""

    def __init__(self, told: Mapping[str, str], classes: list[api.RequestClass]) -> None:
        numbers = {one.name: number for number, one in enumerate(classes)}
        for method, name in told.items():
            if name not in numbers:
                raise MethodError(
                    f"grpc.methods.{method!r}: no class {name!r}; there are {', '.join(numbers)}"
                )
        self.classes = {method.encode(): numbers[name] for method, name in told.items()}
        self.services = {method.split("/")[1] for method in told}

    def find(self, path: bytes) -> int | None:
        found = self.classes.get(path)
        if found is None:
            found = self.classes.get(path[: path.rfind(b"/") + 1] + b"*")
        return found


class Reader:
    """Headers to requests, by the settings."""

    def __init__(self, methods: Methods, settings: api.Settings) -> None:
        self.methods = methods
        self.settings = settings
        self.tenants = {one.name.encode(): number for number, one in enumerate(settings.tenants)}

    def read(self, headers: Headers, now_us: int, made: bytes) -> Request:
        """`made` is the req-id of a call that has none. Raises Rejected."""
        found: dict[bytes, bytes] = {}
        onward: Headers = []
        for name, value in headers:
            if name in found and name in ONCE:
                raise Rejected(Code.INVALID_ARGUMENT, f"{name.decode('latin-1')} twice")
            found[name] = value
            if name not in HOP:
                onward.append((name, value))
        if found.get(b":method") != b"POST":
            raise Rejected(Code.INTERNAL, "the method is not POST")
        path = found.get(b":path", b"")
        class_index = self.methods.find(path)
        if class_index is None:
            raise Rejected(Code.UNIMPLEMENTED, "unknown method " + path[:200].decode("latin-1"))
        kind = self.settings.classes[class_index]
        timeout_us = self.timeout_us(found, kind)
        ident = found.get(b"req-id", made)
        if not REQUEST_ID_PATTERN.match(ident):
            raise Rejected(Code.INVALID_ARGUMENT, "bad req-id")
        keyed = kind.effect == "deduplicated"
        if keyed and not found.get(b"idempotency-key"):
            raise Rejected(Code.INVALID_ARGUMENT, "the class is keyed: idempotency-key is missing")
        if not keyed and b"idempotency-key" in found:
            raise Rejected(Code.INVALID_ARGUMENT, "the idempotency-key contradicts the class")
        return Request(
            path,
            class_index,
            now_us + timeout_us - min(RESPONSE_MARGIN_US, timeout_us // 4),
            ident,
            self.tenants.get(found.get(b"req-owner", b""), 0),
            hash_key(found.get(b"req-key", b"")),
            parse_cost_us(found.get(b"req-cost", b"")),
            found.get(b"grpc-previous-rpc-attempts", b"0") != b"0",
            (*onward, (b"te", b"trailers"), (b"req-id", ident)),
        )

    def timeout_us(self, found: Mapping[bytes, bytes], kind: api.RequestClass) -> int:
        """Hazard: by a deadline of hours one client would keep slots and the buffer for hours."""
        text = found.get(b"grpc-timeout")
        if text is None:
            return kind.deadline_us
        try:
            return min(parse_us(text), kind.deadline_us)
        except DeadlineError as error:
            raise Rejected(Code.INVALID_ARGUMENT, str(error)) from error


def value_of(headers: Headers, wanted: bytes) -> bytes:
    """The first of that name; empty if there is none."""
    return next((value for name, value in headers if name == wanted), b"")


def acceptable(headers: Headers) -> bool:
    """Whether it is gRPC at all; else the answer is HTTP's 415 (gRPC over HTTP2, "Content-Type")."""
    kind = value_of(headers, b"content-type")
    return kind.startswith(b"application/grpc") and kind[16:17] in (b"", b"+", b";")


def answer_headers(headers: Headers) -> Headers:
    """Of a node's answer, for the client."""
    return [(name, value) for name, value in headers if name not in HOP and name not in OWN_ANSWER]


def retry_after_us(head: bytes) -> int:
    """Of the engine's refusal, whose only header line is HTTP/1.1's Retry-After; 0 = none."""
    return parse_decimal_us(head.partition(b":")[2].strip()) if head else 0
