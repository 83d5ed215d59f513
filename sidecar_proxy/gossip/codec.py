"""The wire format: bounded MessagePack arrays in a signed envelope. The module does no I/O.

A datagram, or one side of a state exchange, consists of `wg`, a version byte, a 64-byte Ed25519 signature and
the signed payload. A statement that other instances relay for its author (`SignedStatement`) has its own
signature.

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
MAX_PACKET_BYTES = 1300  # maximum size of a datagram, so that common links do not fragment it
MAX_STATE_BYTES = 512 * 1024  # maximum size of one side of a state exchange
MAX_BROADCASTS = 8  # maximum number of broadcasts on one packet
MAX_REPORTED_UPSTREAMS = 8  # maximum number of upstreams in one outlier report
MAX_TOPIC_BODY_BYTES = 512
MAX_NAME_LENGTH = 64
MAX_INTEGER = 2**53  # maximum value of incarnations, times and counters
MAX_STATEMENTS = 5000  # maximum number of statements of one side of a state exchange
MAX_ERROR_LENGTH = 100

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Unsigned = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Key = Annotated[bytes, Meta(min_length=32, max_length=32)]
Signature = Annotated[bytes, Meta(min_length=SIGNATURE_BYTES, max_length=SIGNATURE_BYTES)]
Body = Annotated[bytes, Meta(max_length=1024)]


class Certificate(msgspec.Struct, array_like=True, frozen=True):
    """A statement signed by the fleet key: a public key belongs to the instance of a name and a site."""

    serial: Unsigned
    name: Name
    site: Name
    key: Key  # public key of the instance
    expires_s: Unsigned  # Unix time
    signature: Signature  # signature of the other fields by the fleet key


class Alive(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """An instance's statement of its own address. A higher incarnation refutes a suspicion."""

    host: Name
    port: Port
    incarnation: Unsigned
    certificate: Certificate


class Suspect(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A statement that another instance does not answer the author's probes."""

    subject: Name
    incarnation: Unsigned


class UpstreamReport(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one instance's attempts to one upstream since the upstream's start, within the window."""

    name: Name
    started_ms: Unsigned  # start of the upstream, Unix time
    attempts: Unsigned
    timeouts: Unsigned
    resets: Unsigned  # including connections that could not be opened
    errors: Unsigned  # error responses
    successes: Unsigned
    consecutive_failures: Unsigned
    age_ms: Unsigned  # time from the end of the last attempt to the report


class OutlierReport(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An instance's observations of upstreams. It replaces the author's previous report."""

    upstreams: Annotated[list[UpstreamReport], Meta(max_length=MAX_REPORTED_UPSTREAMS)]


class TopicBroadcast(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A message of another subsystem to all instances. It replaces the author's previous one on the topic."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MAX_TOPIC_BODY_BYTES)]


Statement = Alive | Suspect | OutlierReport | TopicBroadcast


class SignedStatement(msgspec.Struct, array_like=True, frozen=True):
    """An encoded statement with its author's signature. `sequence_us` orders the statements of one author."""

    author: Name
    sequence_us: Unsigned  # Unix time, increasing with each signature of the author
    body: Body
    signature: Signature


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A probe. It names the target, as another process may have taken over the target's address."""

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
    """An empty message, whose packet has only broadcasts; receivers relay the new ones at once."""


class TopicMessage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """A message of another subsystem to the receiver only."""

    topic: Name
    body: Annotated[bytes, Meta(max_length=MAX_TOPIC_BODY_BYTES)]


Message = Ping | Ack | Nack | PingReq | UrgentBroadcasts | TopicMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """The payload of a datagram: one message, and the broadcasts that are piggybacked on it."""

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
    """Bytes that can't be decoded. The message is one line."""


encode = msgspec.msgpack.Encoder().encode
packet_decoder = msgspec.msgpack.Decoder(Packet)
state_decoder = msgspec.msgpack.Decoder(State)
statement_decoder: msgspec.msgpack.Decoder[Statement] = msgspec.msgpack.Decoder(Statement)
certificate_decoder = msgspec.msgpack.Decoder(Certificate)


def split_envelope(data: bytes, max_bytes: int) -> tuple[bytes, bytes]:
    """Return the signature and the payload of an envelope. Raises CodecError."""
    if not ENVELOPE_HEADER_BYTES < len(data) <= max_bytes or not data.startswith(MAGIC):
        raise CodecError("expected an envelope of version 1 and of a valid size")
    return data[len(MAGIC) : ENVELOPE_HEADER_BYTES], data[ENVELOPE_HEADER_BYTES:]


def join_envelope(signature: bytes, payload: bytes) -> bytes:
    """Return the envelope that has a signature and a payload."""
    return MAGIC + signature + payload


def decode(decoder: msgspec.msgpack.Decoder[Decoded], data: bytes) -> Decoded:
    """Decode bytes with one of the decoders above. Raises CodecError."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(" ".join(str(error).split())[:MAX_ERROR_LENGTH]) from error


def certificate_signing_input(certificate: Certificate) -> bytes:
    """Return the bytes of a certificate that the fleet key signs."""
    fields = [
        certificate.serial,
        certificate.name,
        certificate.site,
        certificate.key,
        certificate.expires_s,
    ]
    return b"wickspread certificate" + encode(fields)


def statement_signing_input(author: str, sequence_us: int, body: bytes) -> bytes:
    """Return the bytes of a statement that its author signs."""
    return b"wickspread statement" + encode([author, sequence_us, body])
