"""A connection between two sidecars that trust each other's certificates: who is there, and frames that only
those two can read or make. Pure: bytes in, bytes out.

Each side draws a key of its own for the connection (X25519) and signs it with its certificate's key; who is
called signs the caller's too, and the caller's first frame shows that it has the key that it told. So no old
greeting is of use to anybody, and nothing depends on clocks, but for the end of a certificate. Frames are
sealed by XSalsa20-Poly1305 with counted nonces: none is taken twice, in another order, or in the other
direction. By PyNaCl.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from nacl.exceptions import CryptoError
from nacl.public import Box, PrivateKey, PublicKey

from sidecar_proxy.consensus.frames import MOST_FRAME
from sidecar_proxy.consensus.messages import MOST_NODE, Node
from sidecar_proxy.consensus.voters import name_of
from sidecar_proxy.gossip.codec import SIGNATURE_BYTES, Certificate
from sidecar_proxy.gossip.keys import Keyring, RejectedError, decode_or_reject
from sidecar_proxy.gossip.transport import frame_message

MAGIC = b"wsa\x01"  # the first bytes of a connection; no length that gossip would take
MOST_GREETING = 1024
OVERHEAD = 16  # of a sealed frame
MOST_SEALED = MOST_FRAME + OVERHEAD
Key = Annotated[bytes, Meta(min_length=32, max_length=32)]


class Greeting(msgspec.Struct, array_like=True, frozen=True):
    certificate: Certificate
    node: Annotated[str, Meta(min_length=1, max_length=MOST_NODE)]
    key: Key  # of this connection alone
    answers: Annotated[bytes, Meta(max_length=32)]  # the other's key; empty: of who calls


encode = msgspec.msgpack.Encoder().encode
decoder = msgspec.msgpack.Decoder(Greeting)


class Session:
    """One side of a connection."""

    def __init__(self, keyring: Keyring, node: Node) -> None:
        self.keyring = keyring
        self.node = node
        self.key = PrivateKey.generate()
        self.box: Box | None = None
        self.caller = False
        self.peer: Node = ""
        self.certificate: Certificate | None = None  # the peer's
        self.sent = self.got = 0  # frames

    def greeting(self, answers: bytes = b"") -> bytes:
        """What this side says first."""
        self.caller = not answers
        payload = encode(Greeting(self.keyring.certificate, self.node, self.key.public_key.encode(), answers))
        return self.keyring.key.sign(b"wickspread agreement" + payload).signature + payload

    def greeted(self, data: bytes, now_us: int, wall_us: int) -> bytes:
        """The other's greeting; returns the key that ours has to answer. Raises Refused."""
        if not SIGNATURE_BYTES < len(data) <= MOST_GREETING:
            raise RejectedError("not of this version")
        signature, payload = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        told = decode_or_reject(decoder, payload)
        if name_of(told.node) != told.certificate.name:
            raise RejectedError("of another name")
        if told.node == self.node:
            raise RejectedError("our own")
        if told.answers != (self.key.public_key.encode() if self.caller else b""):
            raise RejectedError("an answer to another")
        self.keyring.certified(told.certificate, now_us, wall_us)
        self.keyring.verify(told.certificate.key, b"wickspread agreement" + payload, signature, now_us)
        try:
            self.box = Box(self.key, PublicKey(told.key))
        except (CryptoError, ValueError, RuntimeError) as error:  # a key of small order
            raise RejectedError("malformed") from error
        self.peer, self.certificate = told.node, told.certificate
        return told.key

    def nonce(self, of_caller: bool, count: int) -> bytes:
        return bytes([of_caller]) + count.to_bytes(23, "big")

    def seal(self, frame: bytes) -> bytes:
        """With its length before it."""
        assert self.box is not None
        self.sent += 1
        sealed = self.box.encrypt(frame, self.nonce(self.caller, self.sent)).ciphertext
        return frame_message(sealed)

    def open(self, sealed: bytes) -> bytes:
        """Raises Refused."""
        assert self.box is not None
        self.got += 1
        try:
            return self.box.decrypt(sealed, self.nonce(not self.caller, self.got))
        except CryptoError as error:
            raise RejectedError("forged") from error

    def is_revoked(self) -> bool:
        """Since it was opened."""
        return self.certificate is not None and self.certificate.serial in self.keyring.revoked
