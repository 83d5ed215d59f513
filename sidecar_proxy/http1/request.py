"""What a request of the application's must be, by the settings: headers to a typed call."""

from __future__ import annotations

import hashlib
import re

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.body_buffers import Upload
from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.http1.upstream import HOP_BY_HOP_HEADERS, format_end_to_end_headers

# The answer is under way, and the loop may be busy, when the client's time is out.
RESPONSE_MARGIN_US = 10_000
MAX_UPLOAD_DURATION_US = 600_000_000  # an upload may take so long before its time begins to count
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
REGENERATED_HEADERS = frozenset({b"req-deadline"})  # told anew with each attempt: what is left of it
DROPPED_REQUEST_HEADERS = REGENERATED_HEADERS | HOP_BY_HOP_HEADERS


class RequestRejectedError(Exception):
    """A request that is answered here and never forwarded."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def parse_decimal_us(text: bytes) -> int:
    whole, _, part = text.partition(b".")
    return int(whole) * 1_000_000 + int(part[:6].ljust(6, b"0") or b"0")


def hash_key(key: bytes) -> int:
    """What a request is about, as the decisions know it; 0 = nothing is told."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "little") if key else 0


def parse_cost_us(text: bytes) -> int:
    """A guess at the work; 0 for one that can't be read."""
    return min(int(text), 0xFFFFFFFF) if COST_PATTERN.match(text) else 0


class RequestParser:
    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.class_indexes = {one.name.encode(): number for number, one in enumerate(settings.classes)}
        self.tenant_indexes = {one.name.encode(): number for number, one in enumerate(settings.tenants)}

    def parse(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        now_us: int,
        upload: Upload | None = None,
    ) -> Call:
        parts = target.partition(b"?")[0].split(b"/")[1:]
        class_index = self.class_indexes.get(parts[0]) if parts else None
        if class_index is None:
            named = len(parts) > 1 and parts[0] != b""
            raise RequestRejectedError(400 if named else 404, "unknown class" if named else "unknown path")
        found: dict[bytes, bytes] = {}
        lines: list[bytes] = []
        for name, value in headers:
            low = name.lower()
            if low in found and low in SINGLE_VALUE_HEADERS:
                raise RequestRejectedError(400, f"{low.decode()} twice")
            found[low] = value
            if low not in DROPPED_REQUEST_HEADERS:
                lines += (name, b": ", value, b"\r\n")
        if not REQUEST_ID_PATTERN.match(found.get(b"req-id", b"")):
            raise RequestRejectedError(400, "missing or bad Req-Id")
        deadline = found.get(b"req-deadline", b"")
        if not DEADLINE_PATTERN.match(deadline):
            raise RequestRejectedError(400, "missing or bad Req-Deadline")
        kind = self.settings.classes[class_index]
        effect = kind.effect
        if method != (b"GET" if effect == "idempotent" else b"POST"):
            raise RequestRejectedError(400, "the method contradicts the class")
        keyed = effect == "deduplicated"
        if bool(found.get(b"idempotency-key")) != keyed or (b"idempotency-key" in found) != keyed:
            raise RequestRejectedError(400, "the Idempotency-Key contradicts the class")
        if effect == "idempotent" and (body or upload is not None):
            raise RequestRejectedError(400, "a body where the class has none")
        tenant = self.tenant_indexes.get(found.get(b"req-owner", b""), 0)
        size = len(body) if upload is None else upload.length
        length = (
            b""
            if method != b"POST"
            else b"Transfer-Encoding: chunked\r\n"
            if size is None
            else b"Content-Length: %d\r\n" % size
        )
        # hazard: by a deadline of hours one client would keep slots and the buffer for hours
        after_us = min(parse_decimal_us(deadline), kind.deadline_us) - RESPONSE_MARGIN_US
        coming_us = 0 if upload is None else MAX_UPLOAD_DURATION_US
        return Call(
            class_index=class_index,
            due_us=now_us + coming_us + after_us,
            time_after_upload_us=after_us,
            upload=upload,
            request_id=found[b"req-id"],
            # a Connection header may name others that go no further
            head=b"%s %s HTTP/1.1\r\n%s%s"
            % (
                method,
                target,
                format_end_to_end_headers(headers, DROPPED_REQUEST_HEADERS)
                if b"connection" in found
                else b"".join(lines),
                length,
            ),
            body=body,
            tenant=tenant,
            key=hash_key(parts[-1]) if len(parts) > 1 else 0,
            cost_us=parse_cost_us(found.get(b"req-cost", b"")),
            is_retry=found.get(b"req-retry") == b"1",
        )
