"""What sidecars tell each other on overload: MessagePack arrays, each length bounded. Pure.

A Report goes to all as a rumour, in place of its author's last one; the others from one to one. What a newer
version adds at the end of an array is passed over.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

TOPIC = "overload"
MOST_CLASSES = 16
MOST_LOANS = 8  # named in one report
MOST_BODY = 512  # bytes of one word
TOTAL_PARTS = 1_000_000  # parts of every budget of the fleet

Count = Annotated[int, Meta(ge=0, le=2**53)]
Parts = Annotated[int, Meta(ge=0, le=TOTAL_PARTS)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """What the author has lent."""

    to: Name
    parts: Parts


class Work(msgspec.Struct, array_like=True, frozen=True):
    """Of one class, a second: in thousandths."""

    demand: Count  # tries of clients that have not been refused before
    returns: Count  # of those that come back when they were told to
    served: Count
    busy_us: Count  # that nodes took for those served


class Report(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What one sidecar sees. Every figure is its own word, bounded by whoever reads it."""

    index: Count  # its number in the fleet
    number: Count  # of the cut that it goes by
    storm: bool
    weight: Parts  # that it may spend
    spare: Parts  # that it would lend
    refused: Count  # for want of slots, thousandths a second
    grows: Count  # thousandths of what is served, that nodes could take as it seems
    easy: bool  # it knows no limit
    backlog: Count  # clients told to come back, whose time has not come
    classes: Annotated[list[Work], Meta(max_length=MOST_CLASSES)]
    loans: Annotated[list[LeaseRecord], Meta(max_length=MOST_LOANS)]


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Lend me so much; `renews` is a loan that this one takes the place of, 0 = none."""

    number: Count  # of the loan, chosen by who asks
    asked_us: Count  # by the asker's clock
    parts: Parts
    renews: Count


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """So much is lent, for a term from when it was asked for."""

    number: Count
    asked_us: Count
    parts: Parts


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """That loan is used no more."""

    number: Count


OverloadMessage = Report | LeaseRequest | LeaseGrant | LeaseReturn


class MessageError(ValueError):
    """It is no word of this form; one line."""


encode = msgspec.msgpack.Encoder().encode
decoder: msgspec.msgpack.Decoder[OverloadMessage] = msgspec.msgpack.Decoder(OverloadMessage)


def read(data: bytes) -> OverloadMessage:
    """Raises WordError."""
    if len(data) > MOST_BODY:
        raise MessageError("too large")
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(" ".join(str(error).split())[:100]) from error
