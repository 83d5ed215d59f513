"""Validates a client's request against the settings, and converts it to a Call."""

from __future__ import annotations

import hashlib
import re

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.body_buffers import Upload
from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.http1.header_block import HeaderBlock

# Time before the client's deadline at which a response is sent at the latest: the loop may be busy just then.
RESPONSE_MARGIN_US = 10_000
MAX_UPLOAD_DURATION_US = 600_000_000  # maximum duration of an upload, in addition to the deadline
REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z_.-]{1,128}\Z")
DEADLINE_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?\Z")
COST_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
SINGLE_VALUE_HEADERS = (
    b"req-id",
    b"req-deadline",
    b"idempotency-key",
    b"req-owner",
    b"req-cost",
    b"req-retry",
)


class RequestRejectedError(Exception):
    """A request that the sidecar answers itself, with `status`, and never forwards."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def parse_decimal_us(text: bytes) -> int:
    """Convert a decimal number of seconds to microseconds."""
    integer, _, fraction = text.partition(b".")
    return int(integer) * 1_000_000 + int(fraction[:6].ljust(6, b"0") or b"0")


def hash_key(key: bytes) -> int:
    """Return the number by which the balancer knows a request's key; 0 if the request has none."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") if key else 0


def parse_cost_us(text: bytes) -> int:
    """Return the client's estimate of the work, in microseconds; 0 if it can't be parsed."""
    return min(int(text), 0xFFFFFFFF) if COST_PATTERN.match(text) else 0


class RequestParser:
    """Converts the parts of a request to a Call."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.class_indexes = {
            request_class.name.encode(): number for number, request_class in enumerate(settings.classes)
        }
        self.tenant_indexes = {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}

    def parse(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderBlock,
        body: bytes,
        now_us: int,
        upload: Upload | None = None,
    ) -> Call:
        """Return the Call for a request. Raises RequestRejectedError if the request is not valid."""
        segments = target.partition(b"?")[0].split(b"/")[1:]
        class_index = self.class_indexes.get(segments[0]) if segments else None
        if class_index is None:
            has_class = len(segments) > 1 and segments[0] != b""
            raise RequestRejectedError(
                400 if has_class else 404, "unknown class" if has_class else "unknown path"
            )
        for name in headers.repeated:
            if name in SINGLE_VALUE_HEADERS:
                raise RequestRejectedError(400, f"{name.decode()} twice")
        values = headers.values
        if not REQUEST_ID_PATTERN.match(values.get(b"req-id", b"")):
            raise RequestRejectedError(400, "missing or bad Req-Id")
        deadline = values.get(b"req-deadline", b"")
        if not DEADLINE_PATTERN.match(deadline):
            raise RequestRejectedError(400, "missing or bad Req-Deadline")
        request_class = self.settings.classes[class_index]
        effect = request_class.effect
        if method != (b"GET" if effect == "idempotent" else b"POST"):
            raise RequestRejectedError(400, "the method contradicts the class")
        needs_key = effect == "deduplicated"
        if bool(values.get(b"idempotency-key")) != needs_key or (b"idempotency-key" in values) != needs_key:
            raise RequestRejectedError(400, "the Idempotency-Key contradicts the class")
        if effect == "idempotent" and (body or upload is not None):
            raise RequestRejectedError(400, "a body where the class has none")
        tenant = self.tenant_indexes.get(values.get(b"req-owner", b""), 0)
        size = len(body) if upload is None else upload.length
        framing = (
            b""
            if method != b"POST"
            else b"Transfer-Encoding: chunked\r\n"
            if size is None
            else b"Content-Length: %d\r\n" % size
        )
        # The class limits the deadline: otherwise a client could occupy slots and the buffer for hours.
        allowed_us = min(parse_decimal_us(deadline), request_class.deadline_us) - RESPONSE_MARGIN_US
        upload_us = 0 if upload is None else MAX_UPLOAD_DURATION_US
        return Call(
            class_index=class_index,
            due_us=now_us + upload_us + allowed_us,
            time_after_upload_us=allowed_us,
            upload=upload,
            request_id=values[b"req-id"],
            head=b"%s %s HTTP/1.1\r\n%s%s" % (method, target, headers.take_end_to_end_lines(), framing),
            body=body,
            tenant=tenant,
            key=hash_key(segments[-1]) if len(segments) > 1 else 0,
            cost_us=parse_cost_us(values.get(b"req-cost", b"")),
            is_retry=values.get(b"req-retry") == b"1",
        )
