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
SINGLE_HEADERS = frozenset(
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
HOP_BY_HOP_HEADERS = frozenset(
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
SIDECAR_RESPONSE_HEADERS = frozenset({b"srv-load", b"srv-declined"})  # of an answer: for us, not for clients


class CallRejectedError(Exception):
    """A call that is answered here and never sent on."""

    def __init__(self, code: Code, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class MethodError(ValueError):
    """The map of methods names a class that there is not; one line."""


@dataclass(slots=True, frozen=True)
class Request:
    """A call as its headers tell it."""

    path: bytes
    class_index: int
    due_us: int  # when its client stops waiting, less a margin
    request_id: bytes
    tenant: int
    key: int
    cost_us: int
    is_retry: bool
    forwarded_headers: tuple[tuple[bytes, bytes], ...]  # headers for a node, but for the timeout

    def upstream_headers(self, left_us: int) -> Headers:
        """For a node: what is left of the time goes on (gRPC over HTTP2, "Timeout")."""
        return [*self.forwarded_headers, (b"grpc-timeout", format_us(left_us))]


class MethodClasses:
    """Full names of methods to class_indexes of classes; a name by itself comes before its service's `/*`."""

    def __init__(self, class_names: Mapping[str, str], classes: list[api.RequestClass]) -> None:
        class_indexes = {request_class.name: index for index, request_class in enumerate(classes)}
        for method, name in class_names.items():
            if name not in class_indexes:
                raise MethodError(
                    f"grpc.methods.{method!r}: no class {name!r}; there are {', '.join(class_indexes)}"
                )
        self.classes = {method.encode(): class_indexes[name] for method, name in class_names.items()}
        self.services = {method.split("/")[1] for method in class_names}

    def find_class(self, path: bytes) -> int | None:
        class_index = self.classes.get(path)
        if class_index is None:
            class_index = self.classes.get(path[: path.rfind(b"/") + 1] + b"*")
        return class_index


class MetadataReader:
    """Headers to requests, by the settings."""

    def __init__(self, methods: MethodClasses, settings: api.Settings) -> None:
        self.methods = methods
        self.settings = settings
        self.tenants = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}

    def read(self, headers: Headers, now_us: int, generated_id: bytes) -> Request:
        """`made` is the req-id of a call that has none. Raises Rejected."""
        values: dict[bytes, bytes] = {}
        forwarded_headers: Headers = []
        for name, value in headers:
            if name in values and name in SINGLE_HEADERS:
                raise CallRejectedError(Code.INVALID_ARGUMENT, f"{name.decode('latin-1')} twice")
            values[name] = value
            if name not in HOP_BY_HOP_HEADERS:
                forwarded_headers.append((name, value))
        if values.get(b":method") != b"POST":
            raise CallRejectedError(Code.INTERNAL, "the method is not POST")
        path = values.get(b":path", b"")
        class_index = self.methods.find_class(path)
        if class_index is None:
            raise CallRejectedError(Code.UNIMPLEMENTED, "unknown method " + path[:200].decode("latin-1"))
        request_class = self.settings.classes[class_index]
        timeout_us = self.timeout_us(values, request_class)
        request_id = values.get(b"req-id", generated_id)
        if not REQUEST_ID_PATTERN.match(request_id):
            raise CallRejectedError(Code.INVALID_ARGUMENT, "bad req-id")
        is_deduplicated = request_class.effect == "deduplicated"
        if is_deduplicated and not values.get(b"idempotency-key"):
            raise CallRejectedError(Code.INVALID_ARGUMENT, "the class is keyed: idempotency-key is missing")
        if not is_deduplicated and b"idempotency-key" in values:
            raise CallRejectedError(Code.INVALID_ARGUMENT, "the idempotency-key contradicts the class")
        return Request(
            path,
            class_index,
            now_us + timeout_us - min(RESPONSE_MARGIN_US, timeout_us // 4),
            request_id,
            self.tenants.get(values.get(b"req-owner", b""), 0),
            hash_key(values.get(b"req-key", b"")),
            parse_cost_us(values.get(b"req-cost", b"")),
            values.get(b"grpc-previous-rpc-attempts", b"0") != b"0",
            (*forwarded_headers, (b"te", b"trailers"), (b"req-id", request_id)),
        )

    def timeout_us(self, values: Mapping[bytes, bytes], request_class: api.RequestClass) -> int:
        """Hazard: by a deadline of hours one client would keep slots and the buffer for hours."""
        text = values.get(b"grpc-timeout")
        if text is None:
            return request_class.deadline_us
        try:
            return min(parse_us(text), request_class.deadline_us)
        except DeadlineError as error:
            raise CallRejectedError(Code.INVALID_ARGUMENT, str(error)) from error


def first_value(headers: Headers, wanted_name: bytes) -> bytes:
    """The first of that name; empty if there is none."""
    return next((value for name, value in headers if name == wanted_name), b"")


def is_grpc(headers: Headers) -> bool:
    """Whether it is gRPC at all; else the answer is HTTP's 415 (gRPC over HTTP2, "Content-Type")."""
    content_type = first_value(headers, b"content-type")
    return content_type.startswith(b"application/grpc") and content_type[16:17] in (b"", b"+", b";")


def response_headers(headers: Headers) -> Headers:
    """Of a node's answer, for the client."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in SIDECAR_RESPONSE_HEADERS
    ]


def retry_after_us(head: bytes) -> int:
    """Of the engine's refusal, whose only header line is HTTP/1.1's Retry-After; 0 = none."""
    return parse_decimal_us(head.partition(b":")[2].strip()) if head else 0
