"""Messages between the overload controllers of a fleet, and their MessagePack codec.

Each message is an array with a bounded length. The order of the fields, their types and the tags are the
wire format; the names of the fields do not appear on the wire. A decoder ignores fields that a newer version
appends to an array. A `Report` is broadcast to all sidecars and replaces its author's previous one; the
other messages are sent from one sidecar to another. The module is pure: it does no I/O and reads no clock.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

TOPIC = "overload"
MAX_CLASSES = 16  # maximum number of request classes in one report
MAX_LEASE_RECORDS = 8  # maximum number of lease records in one report
MAX_MESSAGE_BYTES = 512
MAX_ERROR_CHARS = 100
TOTAL_PARTS = 1_000_000  # a quota is counted in parts; one part is a millionth of each of the fleet's budgets
NO_LEASE = 0  # value of `LeaseRequest.renews` in a request for a new lease

Count = Annotated[int, Meta(ge=0, le=2**53)]
Parts = Annotated[int, Meta(ge=0, le=TOTAL_PARTS)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """A lease that the author of the report has granted."""

    borrower: Name
    parts: Parts


class ClassLoad(msgspec.Struct, array_like=True, frozen=True):
    """The load of one request class at one sidecar. Rates per 1000 s keep three decimals as integers."""

    demand_per_1000_s: Count  # first attempts
    returning_per_1000_s: Count  # retries that waited for their Retry-After
    served_per_1000_s: Count
    busy_us_per_s: Count  # sum of the response times of the requests served in a second


class Report(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The state of one sidecar. The values are claims of its author, which a recipient has to bound."""

    index: Count  # the author's index in the fleet
    generation: Count  # generation of the shedding threshold that the author uses
    has_retry_storm: bool
    usable_parts: Parts
    lendable_parts: Parts
    rejected_per_1000_s: Count
    capacity_permille: Count  # estimated capacity, in thousandths of the served rate
    is_unconstrained: bool  # whether so few requests are rejected that capacity is not the limit
    backlog: Count  # number of clients whose Retry-After has not expired
    classes: Annotated[list[ClassLoad], Meta(max_length=MAX_CLASSES)]
    leases: Annotated[list[LeaseRecord], Meta(max_length=MAX_LEASE_RECORDS)]


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A request to borrow quota, or to renew the lease `renews`."""

    lease_id: Count  # chosen by the borrower
    requested_us: Count  # time of the request by the borrower's clock
    parts: Parts
    renews: Count


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The response to a lease request; 0 parts reject it. The borrower's term starts at `requested_us`."""

    lease_id: Count
    requested_us: Count
    parts: Parts


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The return of a lease by its borrower before it expires."""

    lease_id: Count


LeaseMessage = LeaseRequest | LeaseGrant | LeaseReturn
OverloadMessage = Report | LeaseMessage


class MessageError(ValueError):
    """Bytes are not a valid message. The text of the error is one line."""


encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[OverloadMessage] = msgspec.msgpack.Decoder(OverloadMessage)


def decode(data: bytes) -> OverloadMessage:
    """Decodes one message. Raises MessageError if it is too large or malformed."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"message of {len(data)} bytes, the maximum is {MAX_MESSAGE_BYTES}")
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        text = " ".join(str(error).split())
        raise MessageError(text[:MAX_ERROR_CHARS]) from error
