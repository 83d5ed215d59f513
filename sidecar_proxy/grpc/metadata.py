"""Reads the class, deadline and identifiers of a call from its headers, and selects the headers to forward.

Does no I/O. Sources: gRPC over HTTP2 ("Requests"), gRFC A6 for `grpc-previous-rpc-attempts`.
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
# Headers that may occur only once in a request.
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
# Headers that apply to one hop, or are set anew on each hop.
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
# Response headers that are meant for the sidecar and are removed for clients.
SIDECAR_RESPONSE_HEADERS = frozenset({b"srv-load", b"srv-declined"})


class CallRejectedError(Exception):
    """The call is answered by the sidecar and not forwarded."""

    def __init__(self, code: Code, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class MethodError(ValueError):
    """The configured methods name a request class that does not exist. The message is one line."""


@dataclass(slots=True, frozen=True)
class Request:
    """A call, as its headers describe it."""

    path: bytes
    class_index: int
    due_us: int  # the client's deadline, less a margin for the response
    request_id: bytes
    tenant: int
    key: int
    cost_us: int
    is_retry: bool
    forwarded_headers: tuple[tuple[bytes, bytes], ...]  # headers for the upstream, without grpc-timeout

    def upstream_headers(self, left_us: int) -> Headers:
        """Return the headers for an upstream; grpc-timeout is the time left (gRPC over HTTP2, "Timeout")."""
        return [*self.forwarded_headers, (b"grpc-timeout", format_us(left_us))]


class MethodClasses:
    """Maps full method names to class indexes; an exact name takes precedence over its service's `/*`."""

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
        """Return the class index of a method, None if the method is not configured."""
        class_index = self.classes.get(path)
        if class_index is None:
            class_index = self.classes.get(path[: path.rfind(b"/") + 1] + b"*")
        return class_index


class MetadataReader:
    """Parses the headers of calls by the settings."""

    def __init__(self, methods: MethodClasses, settings: api.Settings) -> None:
        self.methods = methods
        self.settings = settings
        self.tenants = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}

    def read(self, headers: Headers, now_us: int, generated_id: bytes) -> Request:
        """Parse the headers of a call; `generated_id` is the req-id of a call that has none.

        Raises CallRejectedError.
        """
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
        """Return the timeout of a call, limited by the deadline of its class.

        A client with a timeout of hours would otherwise occupy slots and buffers for hours.
        """
        text = values.get(b"grpc-timeout")
        if text is None:
            return request_class.deadline_us
        try:
            return min(parse_us(text), request_class.deadline_us)
        except DeadlineError as error:
            raise CallRejectedError(Code.INVALID_ARGUMENT, str(error)) from error


def first_value(headers: Headers, wanted_name: bytes) -> bytes:
    """Return the value of the first header of this name; empty if there is none."""
    return next((value for name, value in headers if name == wanted_name), b"")


def is_grpc(headers: Headers) -> bool:
    """Return whether a request is gRPC.

    Other requests are answered with HTTP status 415 (gRPC over HTTP2, "Content-Type").
    """
    content_type = first_value(headers, b"content-type")
    return content_type.startswith(b"application/grpc") and content_type[16:17] in (b"", b"+", b";")


def response_headers(headers: Headers) -> Headers:
    """Return the headers or trailers of an upstream's response that are forwarded to the client."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in SIDECAR_RESPONSE_HEADERS
    ]


def retry_after_us(head: bytes) -> int:
    """Return the delay of the engine's rejection, whose only header line is Retry-After; 0 = none."""
    return parse_decimal_us(head.partition(b":")[2].strip()) if head else 0
