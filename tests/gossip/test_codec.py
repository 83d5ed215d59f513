"""The wire format: the fixed bytes of each struct, as earlier versions encode it."""

from __future__ import annotations

import msgspec
import pytest

from sidecar_proxy.gossip import codec

SIGNATURE = bytes(range(64))
CERTIFICATE = codec.Certificate(7, "i1", "s1", bytes(range(32)), 1_796_200_000, SIGNATURE)
SIGNED = codec.SignedStatement("i1", 1_796_000_000_000_001, b"\x93\x02\xa2i2\x05", SIGNATURE)
CERTIFICATE_FIELDS_HEX = "07a26931a27331c420" + bytes(range(32)).hex() + "ce6b0fd640"
CERTIFICATE_HEX = "96" + CERTIFICATE_FIELDS_HEX + "c440" + SIGNATURE.hex()
SIGNED_HEX = "94a26931cf00066173d6044001c4069302a2693205c440" + SIGNATURE.hex()

ENCODINGS: dict[str, tuple[msgspec.Struct, str]] = {
    "certificate": (CERTIFICATE, CERTIFICATE_HEX),
    "alive": (
        codec.Alive("10.0.0.1", 7946, 9, CERTIFICATE),
        "9501a831302e302e302e31cd1f0a09" + CERTIFICATE_HEX,
    ),
    "suspect": (codec.Suspect("i2", 5), "9302a2693205"),
    "outlier report": (
        codec.OutlierReport([codec.UpstreamReport("n1", 5, 9, 1, 2, 3, 3, 4, 130)]),
        "92039199a26e3105090102030304cc82",
    ),
    "topic broadcast": (
        codec.TopicBroadcast("overload", b"\x01\x02"),
        "9304a86f7665726c6f6164c4020102",
    ),
    "signed statement": (SIGNED, SIGNED_HEX),
    "ping": (codec.Ping(1, "i2"), "930101a26932"),
    "ack": (codec.Ack(2), "920202"),
    "nack": (codec.Nack(3), "920303"),
    "ping-req": (codec.PingReq(4, "i3"), "930404a26933"),
    "urgent broadcasts": (codec.UrgentBroadcasts(), "9105"),
    "topic message": (codec.TopicMessage("overload", b"\x03"), "9306a86f7665726c6f6164c40103"),
    "packet": (
        codec.Packet(CERTIFICATE, 1_796_000_000_000_001, codec.Ack(2), [SIGNED]),
        "94" + CERTIFICATE_HEX + "cf00066173d6044001" + "920202" + "91" + SIGNED_HEX,
    ),
    "state": (
        codec.State(CERTIFICATE, 1_796_000_000_000_001, [SIGNED]),
        "93" + CERTIFICATE_HEX + "cf00066173d6044001" + "91" + SIGNED_HEX,
    ),
}


@pytest.mark.parametrize("name", ENCODINGS)
def test_struct_has_the_fixed_encoding_and_is_decoded_from_it(name: str) -> None:
    value, encoded_hex = ENCODINGS[name]
    data = bytes.fromhex(encoded_hex)
    assert codec.encode(value) == data
    assert msgspec.msgpack.decode(data, type=type(value)) == value


def test_signing_inputs_and_envelope_are_the_fixed_bytes() -> None:
    certificate_hex = b"wickspread certificate".hex() + "95" + CERTIFICATE_FIELDS_HEX
    assert codec.certificate_signing_input(CERTIFICATE).hex() == certificate_hex
    statement_hex = b"wickspread statement".hex() + "93a2693105c40101"
    assert codec.statement_signing_input("i1", 5, b"\x01").hex() == statement_hex
    assert codec.join_envelope(bytes(64), b"\x90") == b"wg\x01" + bytes(64) + b"\x90"
