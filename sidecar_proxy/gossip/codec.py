"""The wire format: bounded MessagePack arrays in a signed envelope. Pure.

A datagram or a state exchange is `wg`, a version byte, a 64-byte Ed25519 signature, and the payload that is
signed. A statement that other instances relay for its author (`SignedStatement`) carries its own signature.

The structs are encoded as arrays with integer tags: the order, the types, the limits and the tags are the
wire format, the names of classes and fields are not.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

MAGIC = b"wg\x01"
SIGNATURE_BYTES = 64
ENVELOPE_HEADER_BYTES = len(MAGIC) + SIGNATURE_BYTES
MAX_PACKET_BYTES = 1300  # of a datagram, so that common links do not fragment it
MAX_STATE_BYTES = 512 * 1024  # of one side of a state exchange
MAX_BROADCASTS = 8  # of one packet
MAX_REPORTED_UPSTREAMS = 8  # of one outlier report
MAX_TOPIC_BODY_BYTES = 512
MAX_NAME_LENGTH = 64
MAX_INTEGER = 2**53  # of incarnations, times and counters
MAX_STATEMENTS = 5000  # of one side of a state exchange
MAX_ERROR_LENGTH = 100

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Unsigned = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=SIGNATURE_BYTES, max_length=SIGNATURE_BYTES)]
Body = Annotated[bytes, Meta(max_length=1024)]


class Certificate(msgspec.Struct, array_like=True, frozen=True):
    """The fleet key's confirmation that a public key belongs to an instance."""

    serial: Unsigned
    name: Name
    site: Name
    key: Key
    expires_s: Unsigned  # end of validity, Unix time
    signature: Signature  # by the fleet key, over the other fields


class Alive(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """An instance's statement about itself: its address. A higher incarnation refutes a suspicion."""

    host: Name
    port: Port
    incarnation: Unsigned
    certificate: Certificate


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A statement about another instance: it does not answer the author's probes."""

    subject: Name
    incarnation: Unsigned


class UpstreamReport(msgspec.Struct, array_like=True, frozen=True):
    """What one instance has observed of one upstream, since that upstream's start, within the window."""

    name: Name
    started_ms: Unsigned  # the upstream's start, Unix time
    attempts: Unsigned
    timeouts: Unsigned
    resets: Unsigned  # failed connections included
    errors: Unsigned  # error responses
    successes: Unsigned
    consecutive_failures: Unsigned
    age_ms: Unsigned  # between the end of the last attempt and the report


class OutlierReport(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An instance's observations of upstreams; replaces its author's previous report."""

    upstreams: Annotated[list[UpstreamReport], Meta(max_length=MAX_REPORTED_UPSTREAMS)]


class TopicBroadcast(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Another subsystem's message to every instance; replaces its author's previous one on the topic."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MAX_TOPIC_BODY_BYTES)]


Statement = Alive | Suspect | OutlierReport | TopicBroadcast


class SignedStatement(msgspec.Struct, array_like=True, frozen=True):
    """An encoded statement with its author's signature; `sequence_us` orders the statements of one author."""

    author: Name
    sequence_us: Unsigned  # Unix time
    body: Body
    signature: Signature


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A probe. The target is named, as another process may have its address by now."""

    seq: Unsigned
    target: Name


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to a ping."""

    seq: Unsigned


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The answer to a ping-req whose target has not answered in time (Lifeguard)."""

    seq: Unsigned


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A request to probe the target on the sender's behalf (SWIM, section 3.1)."""

    seq: Unsigned
    target: Name


class UrgentBroadcasts(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A packet that exists for its broadcasts alone; receivers relay at once those that are new."""


class TopicMessage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Another subsystem's message to the receiver alone."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MAX_TOPIC_BODY_BYTES)]


Message = Ping | Ack | Nack | PingReq | UrgentBroadcasts | TopicMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """The payload of a datagram: one message and the broadcasts that it carries."""

    certificate: Certificate
    sequence_us: Unsigned
    message: Message
    broadcasts: Annotated[list[SignedStatement], Meta(max_length=MAX_BROADCASTS)]


class State(msgspec.Struct, array_like=True, frozen=True):
    """The payload of one side of a push-pull state exchange."""

    certificate: Certificate
    sequence_us: Unsigned
    statements: Annotated[list[SignedStatement], Meta(max_length=MAX_STATEMENTS)]


Decoded = TypeVar("Decoded")


class CodecError(ValueError):
    """The bytes do not have the expected form; the message is one line."""


encode = msgspec.msgpack.Encoder().encode
packet_decoder = msgspec.msgpack.Decoder(Packet)
state_decoder = msgspec.msgpack.Decoder(State)
statement_decoder: msgspec.msgpack.Decoder[Statement] = msgspec.msgpack.Decoder(Statement)
certificate_decoder = msgspec.msgpack.Decoder(Certificate)


def split_envelope(data: bytes, max_bytes: int) -> tuple[bytes, bytes]:
    """Return the signature and the payload of an envelope. Raises CodecError."""
    if not ENVELOPE_HEADER_BYTES < len(data) <= max_bytes or not data.startswith(MAGIC):
        raise CodecError("no packet of this version")
    return data[len(MAGIC) : ENVELOPE_HEADER_BYTES], data[ENVELOPE_HEADER_BYTES:]


def join_envelope(signature: bytes, payload: bytes) -> bytes:
    """Return the envelope of a signature and a payload."""
    return MAGIC + signature + payload


def decode(decoder: msgspec.msgpack.Decoder[Decoded], data: bytes) -> Decoded:
    """Decode with one of the decoders above. Raises CodecError."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(" ".join(str(error).split())[:MAX_ERROR_LENGTH]) from error


def certificate_signing_input(certificate: Certificate) -> bytes:
    """Return the bytes that the fleet key signs."""
    fields = [
        certificate.serial,
        certificate.name,
        certificate.site,
        certificate.key,
        certificate.expires_s,
    ]
    return b"wickspread certificate" + encode(fields)


def statement_signing_input(author: str, sequence_us: int, body: bytes) -> bytes:
    """Return the bytes that the author of a statement signs."""
    return b"wickspread statement" + encode([author, sequence_us, body])
