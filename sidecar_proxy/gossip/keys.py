"""Authentication: certificates, signatures (Ed25519 by PyNaCl) and replay protection. It does no I/O.

Cheap checks are done before signatures are verified, and a budget limits the verifications, so that a flood
of forged packets takes a limited share of a CPU core.
"""

from __future__ import annotations

import enum
import ipaddress
from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import TypeVar

from msgspec.msgpack import Decoder
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Certificate, Packet, SignedStatement, State, Statement
from sidecar_proxy.gossip.verification import ReplayWindow, VerificationBudget

Envelope = TypeVar("Envelope", Packet, State)
MAX_CLOCK_SKEW_US = 60_000_000  # maximum skew between the clocks of two instances plus the transit time
MAX_CACHED_AUTHORS = 8192  # maximum number of verified certificates, and of replay windows, in memory


class RejectionReason(enum.StrEnum):
    """Why bytes were rejected. The values are the keys of the rejection counts in the status."""

    WRONG_VERSION = "not of this version"
    MALFORMED = "malformed"
    OWN_PACKET = "our own"
    CLOCK_SKEW = "another time"
    REPLAYED = "heard before"
    REVOKED = "revoked"
    EXPIRED = "expired"
    OVER_BUDGET = "over the budget"
    UNTRUSTED = "not of this fleet"
    FORGED = "forged"
    UNKNOWN_AUTHOR = "of nobody known"
    WRONG_NAME = "of another name"
    BLOCKED_ADDRESS = "of a barred address"


class RejectedError(Exception):
    """Bytes were rejected. The message is the reason, under which the rejection is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(str(reason))
        self.reason = reason


class Keyring:
    """One instance's key and certificate, the trusted fleet keys, and the revoked serials."""

    def __init__(
        self,
        key: SigningKey,
        certificate: Certificate,
        fleet_keys: Iterable[bytes],
        revoked_serials: Iterable[int] = (),
        budget: VerificationBudget | None = None,
    ) -> None:
        self.key = key
        self.certificate = certificate
        self.fleet_keys = [VerifyKey(public_key) for public_key in fleet_keys]
        self.revoked_serials = frozenset(revoked_serials)
        self.budget = budget or VerificationBudget()
        self.rejections: Counter[str] = Counter()
        self.replay_windows: OrderedDict[str, ReplayWindow] = OrderedDict()  # windows by author, oldest first
        self.last_sequence_us = 0  # last sequence that this instance has signed
        self._verified: OrderedDict[bytes, Certificate] = OrderedDict()  # certificates by signature

    def replace_credentials(
        self,
        key: SigningKey,
        certificate: Certificate,
        fleet_keys: Iterable[bytes],
        revoked_serials: Iterable[int],
    ) -> None:
        """Use new credentials. Cached certificates are verified again, as they may be of old fleet keys."""
        self.key = key
        self.certificate = certificate
        self.revoked_serials = frozenset(revoked_serials)
        self.fleet_keys = [VerifyKey(public_key) for public_key in fleet_keys]
        self._verified.clear()

    # Signing

    def sign(self, statement: Statement, wall_us: int) -> SignedStatement:
        """Sign a statement of this instance."""
        body = codec.encode(statement)
        name = self.certificate.name
        sequence_us = self._next_sequence_us(wall_us)
        signature = self.key.sign(codec.statement_signing_input(name, sequence_us, body)).signature
        return SignedStatement(name, sequence_us, body, signature)

    def seal_packet(self, message: codec.Message, broadcasts: list[SignedStatement], wall_us: int) -> bytes:
        """Return a signed datagram that has a message and the broadcasts piggybacked on it."""
        return self._seal(Packet(self.certificate, self._next_sequence_us(wall_us), message, broadcasts))

    def seal_state(self, statements: list[SignedStatement], wall_us: int) -> bytes:
        """Return this instance's signed side of a state exchange."""
        return self._seal(State(self.certificate, self._next_sequence_us(wall_us), statements))

    def _next_sequence_us(self, wall_us: int) -> int:
        """Return the wall clock, or the last sequence plus one if that is higher."""
        self.last_sequence_us = max(self.last_sequence_us + 1, wall_us)
        return self.last_sequence_us

    def _seal(self, content: Packet | State) -> bytes:
        payload = codec.encode(content)
        return codec.join_envelope(self.key.sign(payload).signature, payload)

    # Verification

    def open_packet(self, data: bytes, now_us: int, wall_us: int) -> Packet:
        """Verify and decode a datagram. Raises RejectedError."""
        return self._open(codec.packet_decoder, data, codec.MAX_PACKET_BYTES, now_us, wall_us)

    def open_state(self, data: bytes, now_us: int, wall_us: int) -> State:
        """Verify and decode the other side of a state exchange. Raises RejectedError."""
        return self._open(codec.state_decoder, data, codec.MAX_STATE_BYTES, now_us, wall_us)

    def open_statement(
        self, statement: SignedStatement, known_certificate: Certificate | None, now_us: int, wall_us: int
    ) -> Statement:
        """Verify and decode a statement, whichever peer relayed it. Raises RejectedError.

        `known_certificate` is the author's certificate, None if the author is unknown. It is not used for an
        Alive statement, which contains the author's certificate.
        """
        if statement.sequence_us > wall_us + MAX_CLOCK_SKEW_US:
            raise RejectedError(RejectionReason.CLOCK_SKEW)
        content = decode_or_reject(codec.statement_decoder, statement.body)
        certificate = known_certificate
        if isinstance(content, codec.Alive):
            if not is_ip_literal(content.host):  # peers would have to resolve a host name
                raise RejectedError(RejectionReason.MALFORMED)
            certificate = content.certificate
        if certificate is None:
            raise RejectedError(RejectionReason.UNKNOWN_AUTHOR)
        if certificate.name != statement.author:
            raise RejectedError(RejectionReason.WRONG_NAME)
        self.check_certificate(certificate, now_us, wall_us)
        signed = codec.statement_signing_input(statement.author, statement.sequence_us, statement.body)
        self.verify(certificate.key, signed, statement.signature, now_us)
        return content

    def check_certificate(self, certificate: Certificate, now_us: int, wall_us: int) -> None:
        """Check that a certificate is not expired or revoked and has a fleet key's signature.

        Raises RejectedError.
        """
        if certificate.serial in self.revoked_serials:
            raise RejectedError(RejectionReason.REVOKED)
        if certificate.expires_s * 1_000_000 < wall_us:
            raise RejectedError(RejectionReason.EXPIRED)
        if self._verified.get(certificate.signature) == certificate:
            return
        signed = codec.certificate_signing_input(certificate)
        for fleet_key in self.fleet_keys:
            if not self.budget.take(now_us):
                raise RejectedError(RejectionReason.OVER_BUDGET)
            try:
                fleet_key.verify(signed, certificate.signature)
            except BadSignatureError:
                continue
            self._verified[certificate.signature] = certificate
            while len(self._verified) > MAX_CACHED_AUTHORS:
                self._verified.popitem(last=False)
            return
        raise RejectedError(RejectionReason.UNTRUSTED)

    def verify(self, key: bytes, data: bytes, signature: bytes, now_us: int) -> None:
        """Check a signature. Raises RejectedError if it is wrong or the budget is exhausted."""
        if not self.budget.take(now_us):
            raise RejectedError(RejectionReason.OVER_BUDGET)
        try:
            VerifyKey(key).verify(data, signature)
        except (BadSignatureError, ValueError) as error:
            raise RejectedError(RejectionReason.FORGED) from error

    def _open(
        self, decoder: Decoder[Envelope], data: bytes, max_bytes: int, now_us: int, wall_us: int
    ) -> Envelope:
        try:
            signature, payload = codec.split_envelope(data, max_bytes)
        except codec.CodecError as error:
            raise RejectedError(RejectionReason.WRONG_VERSION) from error
        content = decode_or_reject(decoder, payload)
        self._authenticate(content, signature, payload, now_us, wall_us)
        return content

    def _authenticate(
        self, content: Packet | State, signature: bytes, payload: bytes, now_us: int, wall_us: int
    ) -> None:
        """Check the sender, the time, the replay window, the certificate and the signature, in this order."""
        certificate, sequence_us = content.certificate, content.sequence_us
        if certificate.name == self.certificate.name and certificate.key == self.certificate.key:
            raise RejectedError(RejectionReason.OWN_PACKET)
        if abs(sequence_us - wall_us) > MAX_CLOCK_SKEW_US:
            raise RejectedError(RejectionReason.CLOCK_SKEW)
        window = self.replay_windows.get(certificate.name)
        if window is not None and not window.is_new(sequence_us):
            raise RejectedError(RejectionReason.REPLAYED)
        self.check_certificate(certificate, now_us, wall_us)
        self.verify(certificate.key, payload, signature, now_us)
        if window is None:
            window = self.replay_windows[certificate.name] = ReplayWindow()
            while len(self.replay_windows) > MAX_CACHED_AUTHORS:
                self.replay_windows.popitem(last=False)
        window.record(sequence_us)


def decode_or_reject(decoder: Decoder[codec.Decoded], data: bytes) -> codec.Decoded:
    """Decode bytes. Raises RejectedError."""
    try:
        return codec.decode(decoder, data)
    except codec.CodecError as error:
        raise RejectedError(RejectionReason.MALFORMED) from error


def is_ip_literal(host: str) -> bool:
    """Return whether a host is an IP address to which packets can be sent, and not a host name."""
    try:
        return not ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


def issue_certificate(
    fleet_key: SigningKey, serial: int, name: str, site: str, key: bytes, expires_s: int
) -> Certificate:
    """Sign a certificate with the fleet key; `expires_s` is in Unix time."""
    unsigned = Certificate(serial, name, site, key, expires_s, bytes(codec.SIGNATURE_BYTES))
    signature = fleet_key.sign(codec.certificate_signing_input(unsigned)).signature
    return Certificate(serial, name, site, key, expires_s, signature)
