"""The forms on the wire: MessagePack arrays, each length bounded, an envelope round them. Pure.

A datagram or frame is `wg`, a version, a signature of 64 bytes, and a payload that the signature is over.
What others pass on for its author (a Signed) has a signature of its own inside.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

MAGIC = b"wg\x01"
SIGNATURE_BYTES = 64
HEADER_BYTES = len(MAGIC) + SIGNATURE_BYTES
MOST_PACKET = 1300  # bytes of a datagram: no fragments on common links
MOST_STATE = 512 * 1024  # of one side of an exchange
MOST_RUMOURS = 8
MOST_COUNTS = 8  # nodes of a bulletin
MOST_WORD = 512  # bytes of another subsystem's word
MOST_NAME = 64
MOST_WHOLE = 2**53  # of any number: incarnations, times, counts

Name = Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
Whole = Annotated[int, Meta(ge=0, le=MOST_WHOLE)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=SIGNATURE_BYTES, max_length=SIGNATURE_BYTES)]
Body = Annotated[bytes, Meta(max_length=1024)]


class Certificate(msgspec.Struct, array_like=True, frozen=True):
    """The fleet's word that a key is that instance's."""

    serial: Whole
    name: Name
    site: Name
    key: Key
    until_s: Whole  # Unix time
    signature: Signature  # by the fleet's key, over the rest


class Alive(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Of oneself: where one is heard. A higher incarnation refutes what was said of a lower one."""

    host: Name
    port: Port
    incarnation: Whole
    certificate: Certificate


class Suspicion(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Of another instance: it does not answer its author."""

    subject: Name
    incarnation: Whole


class Count(msgspec.Struct, array_like=True, frozen=True):
    """What one instance has seen of one node in the last seconds, of one start of it."""

    node: Name
    born_ms: Whole
    attempts: Whole
    timed_out: Whole
    reset: Whole  # among them connections that could not be made
    failed: Whole  # answered with an error
    well: Whole
    run: Whole  # failures since the last good answer
    age_ms: Whole  # since the last attempt's end, when this was written


class OutlierReport(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """In place of its author's last one."""

    counts: Annotated[list[Count], Meta(max_length=MOST_COUNTS)]


class TopicBroadcast(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Of another subsystem, to all; in place of its author's last one on that topic."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MOST_WORD)]


Statement = Alive | Suspicion | OutlierReport | TopicBroadcast


class Signed(msgspec.Struct, array_like=True, frozen=True):
    """A statement as its author has signed it; `at_us` orders those of one author."""

    author: Name
    at_us: Whole  # Unix time
    body: Body
    signature: Signature


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    seq: Whole
    target: Name  # whom it is for: another process may have its address by now


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    seq: Whole


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """To an Ask: no answer yet, but the asker is heard."""

    seq: Whole


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Ping that one for me."""

    seq: Whole
    target: Name


class News(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Rumours alone, to be passed on at once where they are new."""


class TopicMessage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Of another subsystem, to this one alone."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MOST_WORD)]


Message = Ping | Ack | Nack | Ask | News | TopicMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    certificate: Certificate
    at_us: Whole
    message: Message
    rumours: Annotated[list[Signed], Meta(max_length=MOST_RUMOURS)]


class State(msgspec.Struct, array_like=True, frozen=True):
    """One side of an exchange: all that it knows, as it was signed."""

    certificate: Certificate
    at_us: Whole
    statements: Annotated[list[Signed], Meta(max_length=5000)]


Form = TypeVar("Form")


class CodecError(ValueError):
    """Not of this form; one line."""


encode = msgspec.msgpack.Encoder().encode
packets = msgspec.msgpack.Decoder(Packet)
states = msgspec.msgpack.Decoder(State)
statements: msgspec.msgpack.Decoder[Statement] = msgspec.msgpack.Decoder(Statement)
certificates = msgspec.msgpack.Decoder(Certificate)


def opened(data: bytes, most: int) -> tuple[bytes, bytes]:
    """Signature and payload of an envelope. Raises CodecError."""
    if not HEADER_BYTES < len(data) <= most or not data.startswith(MAGIC):
        raise CodecError("no packet of this version")
    return data[len(MAGIC) : HEADER_BYTES], data[HEADER_BYTES:]


def closed(signature: bytes, payload: bytes) -> bytes:
    return MAGIC + signature + payload


def read(decoder: msgspec.msgpack.Decoder[Form], data: bytes) -> Form:
    """By one of the decoders above. Raises CodecError."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(" ".join(str(error).split())[:100]) from error


def of_certificate(one: Certificate) -> bytes:
    """What the fleet's key signs."""
    return b"wickspread certificate" + encode([one.serial, one.name, one.site, one.key, one.until_s])


def of_statement(author: str, at_us: int, body: bytes) -> bytes:
    """What an author signs."""
    return b"wickspread statement" + encode([author, at_us, body])
