"""The security of a connection between two sidecars: mutual authentication and encrypted frames.

Each side checks the other's certificate. Each side creates a key pair for the connection (X25519) and signs
the public key with its certificate's key; the accepting side signs the caller's key as well, and the caller's
first frame proves that it has the private key. So a recorded greeting can't be replayed, and nothing depends
on clocks except the expiry of certificates. Frames are encrypted with XSalsa20-Poly1305 and nonces that count
the frames: none is accepted twice, out of order or in the other direction. This module does no I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from nacl.exceptions import CryptoError
from nacl.public import Box, PrivateKey, PublicKey

from sidecar_proxy.consensus.frames import MAX_FRAME_BYTES
from sidecar_proxy.consensus.messages import MAX_NODE_ID_CHARS, NodeId
from sidecar_proxy.consensus.voters import name_of
from sidecar_proxy.gossip.codec import SIGNATURE_BYTES, Certificate
from sidecar_proxy.gossip.keys import Keyring, RejectedError, decode_or_reject
from sidecar_proxy.gossip.transport import frame_message

CONNECTION_MAGIC = b"wsa\x01"  # the first bytes of a connection; gossip accepts no frame of this length
SIGNATURE_CONTEXT = b"wickspread agreement"
MAX_GREETING_BYTES = 1024
SEAL_OVERHEAD_BYTES = 16
MAX_SEALED_BYTES = MAX_FRAME_BYTES + SEAL_OVERHEAD_BYTES
NONCE_COUNT_BYTES = 23
Key = Annotated[bytes, Meta(min_length=32, max_length=32)]


class Greeting(msgspec.Struct, array_like=True, frozen=True):
    """The first message of each side of a connection."""

    certificate: Certificate
    node: Annotated[str, Meta(min_length=1, max_length=MAX_NODE_ID_CHARS)]
    session_key: Key
    answered_key: Annotated[bytes, Meta(max_length=32)]  # the caller's session key; the caller sends b""


encode = msgspec.msgpack.Encoder().encode
greeting_decoder = msgspec.msgpack.Decoder(Greeting)


class Session:
    """The state of one side of a connection."""

    def __init__(self, keyring: Keyring, node: NodeId) -> None:
        self.keyring = keyring
        self.node = node
        self.session_key = PrivateKey.generate()
        self.box: Box | None = None
        self.is_caller = False
        self.peer: NodeId = ""
        self.peer_certificate: Certificate | None = None
        self.sent_frame_count = 0
        self.received_frame_count = 0

    def create_greeting(self, answered_key: bytes = b"") -> bytes:
        """Returns this side's signed greeting. The accepting side passes the caller's session key."""
        self.is_caller = not answered_key
        own_key = self.session_key.public_key.encode()
        payload = encode(Greeting(self.keyring.certificate, self.node, own_key, answered_key))
        return self.keyring.key.sign(SIGNATURE_CONTEXT + payload).signature + payload

    def accept_greeting(self, data: bytes, now_us: int, wall_us: int) -> bytes:
        """Verifies the peer's greeting and returns its session key. Raises RejectedError."""
        if not SIGNATURE_BYTES < len(data) <= MAX_GREETING_BYTES:
            raise RejectedError(
                f"greeting of {len(data)} bytes, expected {SIGNATURE_BYTES + 1} to {MAX_GREETING_BYTES}"
            )
        signature = data[:SIGNATURE_BYTES]
        payload = data[SIGNATURE_BYTES:]
        greeting = decode_or_reject(greeting_decoder, payload)
        if name_of(greeting.node) != greeting.certificate.name:
            raise RejectedError("the node id of the greeting does not match its certificate")
        if greeting.node == self.node:
            raise RejectedError("the greeting names this sidecar's own node id")
        expected_key = self.session_key.public_key.encode() if self.is_caller else b""
        if greeting.answered_key != expected_key:
            raise RejectedError("the greeting does not answer the key of this connection")
        certificate = greeting.certificate
        self.keyring.check_certificate(certificate, now_us, wall_us)
        self.keyring.verify(certificate.key, SIGNATURE_CONTEXT + payload, signature, now_us)
        try:
            self.box = Box(self.session_key, PublicKey(greeting.session_key))
        except (CryptoError, ValueError, RuntimeError) as error:  # a key of small order
            raise RejectedError("the session key of the greeting is not valid") from error
        self.peer = greeting.node
        self.peer_certificate = certificate
        return greeting.session_key

    def _nonce(self, is_from_caller: bool, count: int) -> bytes:
        return bytes([is_from_caller]) + count.to_bytes(NONCE_COUNT_BYTES, "big")

    def seal(self, frame: bytes) -> bytes:
        """Returns the next frame to send, encrypted and preceded by its length."""
        assert self.box is not None
        self.sent_frame_count += 1
        nonce = self._nonce(self.is_caller, self.sent_frame_count)
        return frame_message(self.box.encrypt(frame, nonce).ciphertext)

    def open(self, sealed: bytes) -> bytes:
        """Returns the decrypted content of the peer's next frame. Raises RejectedError."""
        assert self.box is not None
        self.received_frame_count += 1
        nonce = self._nonce(not self.is_caller, self.received_frame_count)
        try:
            return self.box.decrypt(sealed, nonce)
        except CryptoError as error:
            raise RejectedError("the frame can't be decrypted: it was forged, damaged or replayed") from error

    def is_revoked(self) -> bool:
        """Tells whether the peer's certificate has been revoked since the greeting."""
        return (
            self.peer_certificate is not None and self.peer_certificate.serial in self.keyring.revoked_serials
        )
