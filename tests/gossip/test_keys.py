"""Authentication and the cost of hostile input: signatures, replays, floods, fuzzed packets."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from nacl.signing import SigningKey

from benchmarks.gossip_fuzz import feed, play
from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.blocklist import MAX_FORGERIES
from sidecar_proxy.gossip.codec import OutlierReport, Ping, UpstreamReport, UrgentBroadcasts
from sidecar_proxy.gossip.instance import Datagram
from sidecar_proxy.gossip.keys import MAX_CLOCK_SKEW_US, Keyring, RejectedError, issue_certificate
from sidecar_proxy.gossip.verification import VERIFICATION_BURST
from sidecar_proxy.testbed.client_fleet import WALL_US, Fleet
from tests.sockets import ROOT

WALL_S = WALL_US // 1_000_000
FLEET = Fleet(3, 1)
SENDER, OTHER = FLEET.keyring(1, "s0"), FLEET.keyring(2, "s0")
REPORT = OutlierReport([UpstreamReport("n", 1, 2, 2, 0, 0, 0, 2, 0)])
PACKET = SENDER.seal_packet(Ping(5, "i2"), [SENDER.sign(REPORT, WALL_US)], WALL_US)


def make_receiver() -> Keyring:
    return FLEET.keyring(2, "s0")


def rejection(data: bytes, wall_us: int = WALL_US, receiver: Keyring | None = None) -> str:
    """Return the reason why a receiver rejects a packet."""
    with pytest.raises(RejectedError) as caught:
        (receiver or make_receiver()).open_packet(data, 0, wall_us)
    return str(caught.value)


def empty_packet(certificate: codec.Certificate, key: SigningKey) -> bytes:
    return Keyring(key, certificate, []).seal_packet(UrgentBroadcasts(), [], WALL_US)


def unsigned_packet(number: int) -> bytes:
    content = codec.Packet(SENDER.certificate, WALL_US + number, UrgentBroadcasts(), [])
    return codec.join_envelope(bytes(64), codec.encode(content))


def test_packet_is_accepted_once() -> None:
    receiver = make_receiver()
    packet = receiver.open_packet(PACKET, 0, WALL_US)
    assert packet.certificate.name == "i1"
    assert isinstance(packet.message, Ping)
    assert len(packet.broadcasts) == 1
    assert rejection(PACKET, receiver=receiver) == "heard before"
    later = SENDER.seal_packet(UrgentBroadcasts(), [], WALL_US + 10_000_000)
    receiver.open_packet(later, 0, WALL_US)


def test_own_packet_is_rejected() -> None:
    assert rejection(PACKET, receiver=SENDER) == "our own"


@pytest.mark.parametrize("skew_us", [-30_000_000, 30_000_000])
def test_clock_skew_of_thirty_seconds_is_accepted(skew_us: int) -> None:
    assert make_receiver().open_packet(PACKET, 0, WALL_US + skew_us)


@pytest.mark.parametrize("skew_us", [-MAX_CLOCK_SKEW_US - 1_000_000, MAX_CLOCK_SKEW_US + 1_000_000])
def test_clock_skew_over_the_limit_is_rejected(skew_us: int) -> None:
    assert rejection(PACKET, WALL_US + skew_us) == "another time"


def test_duplicated_and_reordered_packets_are_each_accepted_once() -> None:
    receiver, sender = make_receiver(), FLEET.keyring(1, "s0")
    sent = [sender.seal_packet(UrgentBroadcasts(), [], WALL_US + 1000 * number) for number in range(20)]
    random.Random(3).shuffle(sent)
    accepted_count = 0
    reasons = set[str]()
    for data in sent + sent:
        try:
            receiver.open_packet(data, 0, WALL_US)
            accepted_count += 1
        except RejectedError as error:
            reasons.add(error.reason)
    assert accepted_count == 20
    assert reasons == {"heard before"}
    delayed = FLEET.keyring(1, "s0").seal_packet(UrgentBroadcasts(), [], WALL_US - 5_000_000)
    assert rejection(delayed, receiver=receiver) == "heard before"


def test_invalid_certificates_are_rejected_with_the_reason() -> None:
    unknown_key, key, fleet_key = (
        SigningKey(bytes([9]) * 32),
        SigningKey((1).to_bytes(32, "big")),
        FLEET.fleet_key,
    )
    public_key, expires_s = key.verify_key.encode(), WALL_S + 100
    untrusted = issue_certificate(unknown_key, 2, "i1", "s0", public_key, expires_s)
    assert rejection(empty_packet(untrusted, key)) == "not of this fleet"
    expired = issue_certificate(fleet_key, 2, "i1", "s0", public_key, WALL_S - 1)
    assert rejection(empty_packet(expired, key)) == "expired"
    valid = issue_certificate(fleet_key, 2, "i1", "s0", public_key, expires_s)
    assert rejection(empty_packet(valid, unknown_key)) == "forged"
    renamed = codec.Certificate(valid.serial, "i7", valid.site, valid.key, valid.expires_s, valid.signature)
    assert rejection(empty_packet(renamed, key)) == "not of this fleet"


def test_revoked_certificate_is_rejected_until_it_is_removed_from_the_list() -> None:
    key, fleet_key = SigningKey((1).to_bytes(32, "big")), FLEET.fleet_key
    certificate = issue_certificate(fleet_key, 2, "i1", "s0", key.verify_key.encode(), WALL_S + 100)
    receiver = make_receiver()
    trusted = [fleet_key.verify_key.encode()]
    receiver.replace_credentials(receiver.key, receiver.certificate, trusted, [2])
    assert rejection(empty_packet(certificate, key), receiver=receiver) == "revoked"
    receiver.replace_credentials(receiver.key, receiver.certificate, trusted, [])
    assert receiver.open_packet(empty_packet(certificate, key), 0, WALL_US)


def test_statement_is_accepted_only_as_its_author_signed_it() -> None:
    receiver = make_receiver()
    report = OutlierReport([UpstreamReport("n", 1, 9, 9, 0, 0, 0, 9, 0)])
    statement = SENDER.sign(report, WALL_US)
    assert receiver.open_statement(statement, SENDER.certificate, 0, WALL_US)
    body, signature = statement.body, statement.signature
    for forged in (
        codec.SignedStatement("i0", statement.sequence_us, body, signature),
        codec.SignedStatement("i1", statement.sequence_us + 1, body, signature),
        codec.SignedStatement("i1", statement.sequence_us, body[:-1] + b"\x08", signature),
    ):
        with pytest.raises(RejectedError):
            receiver.open_statement(forged, SENDER.certificate, 0, WALL_US)
    with pytest.raises(RejectedError, match="of nobody known"):
        receiver.open_statement(statement, None, 0, WALL_US)
    alive = SENDER.sign(codec.Alive("10.0.0.1", 1, 1, OTHER.certificate), WALL_US)
    with pytest.raises(RejectedError, match="of another name"):
        receiver.open_statement(alive, None, 0, WALL_US)


def test_flood_of_forgeries_is_dropped_unverified_and_does_not_disturb_peers() -> None:
    fleet = Fleet(3, 1)
    fleet.run(10.0)
    receiver, sender = fleet.at(2).instance, fleet.keyring(1, "s0")
    data = bytearray(sender.seal_packet(UrgentBroadcasts(), [], fleet.wall_us()))
    tokens = receiver.keyring.budget.tokens
    for number in range(3 * MAX_FORGERIES):
        data[10] = number  # a byte of the signature
        receiver.receive(bytes(data), ("10.9.9.9", 1), fleet.now_us, fleet.wall_us())
    assert tokens - receiver.keyring.budget.tokens <= MAX_FORGERIES
    assert receiver.keyring.rejections["of a barred address"] == 2 * MAX_FORGERIES
    packets_out = receiver.counts["packets out"]
    fleet.run(3.0)
    assert receiver.counts["packets out"] > packets_out
    assert fleet.knows_all()


def test_verifications_per_second_are_bounded() -> None:
    receiver = make_receiver()
    for number in range(int(VERIFICATION_BURST) - 1):  # one of the verifications is of the certificate
        with pytest.raises(RejectedError, match=r"forged|not of this fleet"):
            receiver.open_packet(unsigned_packet(number), 0, WALL_US)
    with pytest.raises(RejectedError, match="over the budget"):
        receiver.open_packet(unsigned_packet(-1), 0, WALL_US)
    assert receiver.open_packet(SENDER.seal_packet(UrgentBroadcasts(), [], WALL_US), 1_000_000, WALL_US)


def test_lists_over_their_limit_are_rejected() -> None:
    statements = [SENDER.sign(OutlierReport([]), WALL_US)] * (codec.MAX_BROADCASTS + 1)
    assert rejection(SENDER.seal_packet(UrgentBroadcasts(), statements, WALL_US)) == "malformed"
    upstreams = [UpstreamReport("n", 1, 1, 1, 0, 0, 0, 1, 0)] * (codec.MAX_REPORTED_UPSTREAMS + 1)
    statement = SENDER.sign(OutlierReport(upstreams), WALL_US)
    with pytest.raises(RejectedError, match="malformed"):
        make_receiver().open_statement(statement, SENDER.certificate, 0, WALL_US)


@pytest.mark.parametrize("host", ["a.example", "10.0.0.1\n", "", "0.0.0.0", "x" * 64])
def test_host_that_is_not_a_usable_ip_address_is_rejected(host: str) -> None:
    statement = SENDER.sign(codec.Alive(host, 7, 1, SENDER.certificate), WALL_US)
    with pytest.raises(RejectedError, match="malformed"):
        make_receiver().open_statement(statement, None, 0, WALL_US)


def test_fuzzed_inputs_do_not_fail() -> None:
    failing: list[bytes] = []
    assert play(1, 300, failing) == 300
    assert not failing


def test_inputs_in_the_corpus_of_the_fuzzer_do_not_fail() -> None:
    corpus = ROOT / "tests" / "gossip" / "corpus.txt"
    fleet = Fleet(4, 2)
    fleet.run(3.0)
    for line in corpus.read_text().split():
        for is_state in (False, True):
            feed(fleet, fleet.at(2), bytes.fromhex(line), is_state)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.integers(0, len(PACKET)), st.integers(0, 8 * len(PACKET) - 1))
def test_arbitrary_bytes_raise_rejected_error_and_nothing_else(noise: bytes, cut: int, flip: int) -> None:
    flipped = bytearray(PACKET)
    flipped[flip // 8] ^= 1 << flip % 8
    for data in (
        noise,
        codec.MAGIC + noise,
        PACKET[:cut] + noise,
        bytes(flipped),
        codec.join_envelope(bytes(64), noise),
    ):
        if data != PACKET:
            with pytest.raises(RejectedError):
                make_receiver().open_packet(data, 0, WALL_US)
        with pytest.raises(RejectedError):
            make_receiver().open_state(data, 0, WALL_US)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.binary(max_size=300), max_size=5), st.integers(0, 9))
def test_arbitrary_statements_signed_by_a_member_cause_no_output_but_datagrams(
    bodies: list[bytes], offset_us: int
) -> None:
    fleet = Fleet(3, 1)
    fleet.run(1.0)
    byzantine, target = fleet.at(1).instance, fleet.at(2).instance
    sequence_us = fleet.wall_us() + offset_us
    statements = []
    for body in bodies:
        signature = byzantine.keyring.key.sign(
            codec.statement_signing_input("i1", sequence_us, body)
        ).signature
        statements.append(codec.SignedStatement("i1", sequence_us, body, signature))
    data = byzantine.keyring.seal_packet(
        UrgentBroadcasts(), statements[: codec.MAX_BROADCASTS], fleet.wall_us()
    )
    outputs = target.receive(data, ("10.0.0.1", 1001), fleet.now_us, fleet.wall_us())
    assert all(isinstance(output, Datagram) for output in outputs)
    fleet.run(1.0)
