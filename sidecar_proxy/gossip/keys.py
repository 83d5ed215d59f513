"""Who may speak: certificates, signatures, replays, and what all of it may cost. Pure; times are handed in.

Cheap checks come first, and a budget bounds the dear ones: a flood of forgeries costs a bounded share of a
core. Ed25519 by PyNaCl.
"""

from __future__ import annotations

import ipaddress
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from typing import TypeVar

from msgspec.msgpack import Decoder
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Certificate, Packet, Signed, State, Statement

Sealed = TypeVar("Sealed", Packet, State)
SKEW_US = 60_000_000  # clocks are no further apart, trips among them
REORDER_US = 2_000_000  # of one author's packets
MOST_RECENT = 256  # sequences kept of one author
MOST_KNOWN = 8192  # certificates that were verified, and authors that were heard
VERIFIES_A_SECOND = 400.0
BURST = 2000.0  # what joining a large fleet takes


class RejectedError(Exception):
    """Not taken; the word is its reason, as it is counted."""


class Budget:
    """Verifications in a second, with a burst."""

    def __init__(self, rate: float = VERIFIES_A_SECOND, burst: float = BURST) -> None:
        self.rate = rate
        self.burst = self.left = burst
        self.at_us = 0

    def take(self, now_us: int) -> bool:
        self.left = min(self.burst, self.left + self.rate * max(0, now_us - self.at_us) / 1e6)
        self.at_us = now_us
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Heard:
    """The sequences of one author."""

    __slots__ = ("highest", "recent")

    def __init__(self) -> None:
        self.highest = 0
        self.recent: deque[int] = deque(maxlen=MOST_RECENT)

    def is_new(self, at_us: int) -> bool:
        return at_us > self.highest - REORDER_US and at_us not in self.recent

    def note(self, at_us: int) -> None:
        self.highest = max(self.highest, at_us)
        self.recent.append(at_us)


class Keyring:
    """One instance's key and certificate, the fleet's keys, and who has been turned off."""

    def __init__(
        self,
        key: SigningKey,
        certificate: Certificate,
        fleet: Iterable[bytes],
        revoked: Iterable[int] = (),
        budget: Budget | None = None,
    ) -> None:
        self.key = key
        self.certificate = certificate
        self.fleet = [VerifyKey(one) for one in fleet]
        self.revoked = frozenset(revoked)
        self.budget = budget or Budget()
        self.good: OrderedDict[bytes, Certificate] = OrderedDict()  # by signature
        self.heard: OrderedDict[str, Heard] = OrderedDict()
        self.last_us = 0  # of what we have signed
        self.refused: Counter[str] = Counter()

    # What we say

    def stamp(self, wall_us: int) -> int:
        """A sequence: the time, and above the last one."""
        self.last_us = max(self.last_us + 1, wall_us)
        return self.last_us

    def sign(self, statement: Statement, wall_us: int) -> Signed:
        body, name, at_us = codec.encode(statement), self.certificate.name, self.stamp(wall_us)
        signature = self.key.sign(codec.of_statement(name, at_us, body)).signature
        return Signed(name, at_us, body, signature)

    def seal(self, message: codec.Message, rumours: list[Signed], wall_us: int) -> bytes:
        return self.sealed(Packet(self.certificate, self.stamp(wall_us), message, rumours))

    def seal_state(self, statements: list[Signed], wall_us: int) -> bytes:
        return self.sealed(State(self.certificate, self.stamp(wall_us), statements))

    def sealed(self, told: Packet | State) -> bytes:
        payload = codec.encode(told)
        return codec.closed(self.key.sign(payload).signature, payload)

    # What we hear. All raise Refused.

    def packet(self, data: bytes, now_us: int, wall_us: int) -> Packet:
        return self.opened(codec.packets, data, codec.MOST_PACKET, now_us, wall_us)

    def state(self, data: bytes, now_us: int, wall_us: int) -> State:
        return self.opened(codec.states, data, codec.MOST_STATE, now_us, wall_us)

    def opened(self, decoder: Decoder[Sealed], data: bytes, most: int, now_us: int, wall_us: int) -> Sealed:
        try:
            signature, payload = codec.opened(data, most)
        except codec.CodecError as error:
            raise RejectedError("not of this version") from error
        found = decode_or_reject(decoder, payload)
        self.admit(found.certificate, found.at_us, signature, payload, now_us, wall_us)
        return found

    def admit(
        self,
        certificate: Certificate,
        at_us: int,
        signature: bytes,
        payload: bytes,
        now_us: int,
        wall_us: int,
    ) -> None:
        if certificate.name == self.certificate.name and certificate.key == self.certificate.key:
            raise RejectedError("our own")
        if abs(at_us - wall_us) > SKEW_US:
            raise RejectedError("another time")
        heard = self.heard.get(certificate.name)
        if heard is not None and not heard.is_new(at_us):
            raise RejectedError("heard before")
        self.certified(certificate, now_us, wall_us)
        self.verify(certificate.key, payload, signature, now_us)
        if heard is None:
            heard = self.heard[certificate.name] = Heard()
            while len(self.heard) > MOST_KNOWN:
                self.heard.popitem(last=False)
        heard.note(at_us)

    def certified(self, one: Certificate, now_us: int, wall_us: int) -> None:
        """The fleet says so, it has not ended, and it is not revoked."""
        if one.serial in self.revoked:
            raise RejectedError("revoked")
        if one.until_s * 1_000_000 < wall_us:
            raise RejectedError("expired")
        if self.good.get(one.signature) == one:
            return
        message = codec.of_certificate(one)
        for key in self.fleet:
            if not self.budget.take(now_us):
                raise RejectedError("over the budget")
            try:
                key.verify(message, one.signature)
            except BadSignatureError:
                continue
            self.good[one.signature] = one
            while len(self.good) > MOST_KNOWN:
                self.good.popitem(last=False)
            return
        raise RejectedError("not of this fleet")

    def verify(self, key: bytes, data: bytes, signature: bytes, now_us: int) -> None:
        if not self.budget.take(now_us):
            raise RejectedError("over the budget")
        try:
            VerifyKey(key).verify(data, signature)
        except (BadSignatureError, ValueError) as error:
            raise RejectedError("forged") from error

    def statement(self, told: Signed, known: Certificate | None, now_us: int, wall_us: int) -> Statement:
        """What an author says, by whomever it was passed on; `known` is the author's certificate, if it was
        heard of. Its own Alive brings one.
        """
        if told.at_us > wall_us + SKEW_US:
            raise RejectedError("another time")
        found = decode_or_reject(codec.statements, told.body)
        if isinstance(found, codec.Alive) and not is_literal(found.host):
            raise RejectedError("malformed")  # hazard: a name would be looked up by whoever sends to it
        certificate = found.certificate if isinstance(found, codec.Alive) else known
        if certificate is None:
            raise RejectedError("of nobody known")
        if certificate.name != told.author:
            raise RejectedError("of another name")
        self.certified(certificate, now_us, wall_us)
        self.verify(
            certificate.key, codec.of_statement(told.author, told.at_us, told.body), told.signature, now_us
        )
        return found

    def renew(
        self, key: SigningKey, certificate: Certificate, fleet: Iterable[bytes], revoked: Iterable[int]
    ) -> None:
        """In place of what held so far. What the old fleet keys vouched for is looked at anew."""
        self.key, self.certificate, self.revoked = key, certificate, frozenset(revoked)
        self.fleet = [VerifyKey(one) for one in fleet]
        self.good.clear()


def decode_or_reject(decoder: Decoder[codec.Form], data: bytes) -> codec.Form:
    """Raises Refused."""
    try:
        return codec.read(decoder, data)
    except codec.CodecError as error:
        raise RejectedError("malformed") from error


def is_literal(host: str) -> bool:
    """An address of its own, as digits."""
    try:
        return not ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


def issue_certificate(
    fleet: SigningKey, serial: int, name: str, site: str, key: bytes, until_s: int
) -> Certificate:
    """The fleet's word for a key."""
    bare = Certificate(serial, name, site, key, until_s, bytes(codec.SIGNATURE_BYTES))
    return Certificate(serial, name, site, key, until_s, fleet.sign(codec.of_certificate(bare)).signature)
