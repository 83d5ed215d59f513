"""What the parts of gossip cost: the codec beside protobuf and JSON, signatures, an attempt, a weight.

    python -m benchmarks.gossip_parts

Prints the CPU time of this process, and the bytes of an outlier report on eight upstreams. Needs the `dev`
extra.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from nacl.signing import SigningKey

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import OutlierReport, UpstreamReport, UrgentBroadcasts
from sidecar_proxy.gossip.instance import GossipInstance
from sidecar_proxy.gossip.keys import Keyring, RejectedError, issue_certificate
from sidecar_proxy.gossip.outlier_reports import ReportAggregator
from sidecar_proxy.gossip.verification import VerificationBudget

WALL_US = 1_796_000_000_000_000
FIELDS = UpstreamReport.__struct_fields__
UNLIMITED = 1e9  # verifications a second
LABEL_OPTIONAL, LABEL_REPEATED = 1, 3  # of protobuf's descriptors
TYPE_UINT64, TYPE_STRING, TYPE_MESSAGE = 4, 9, 11


@dataclass(slots=True, frozen=True)
class CodecCost:
    """The cost of one outlier report."""

    size_bytes: int
    write_us: float
    read_us: float


def cost_us(call: Callable[[], object], times: int = 5000) -> float:
    """Return the CPU time of one call, in microseconds."""
    call()
    before_s = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - before_s) / times * 1e6


def sample_report() -> OutlierReport:
    """Return a report on eight upstreams."""
    return OutlierReport(
        [UpstreamReport(f"s-5be2a07{n}", WALL_US // 1000, 40 + n, 5, 1, 0, 34 + n, 2, 130) for n in range(8)]
    )


def protobuf_cost() -> CodecCost:
    """Measure protobuf with the same fields."""
    file = descriptor_pb2.FileDescriptorProto(name="gossip.proto", syntax="proto3")
    upstream_type = file.message_type.add(name="UpstreamReport")
    for number, name in enumerate(FIELDS, 1):
        field_type = TYPE_STRING if name == "name" else TYPE_UINT64
        upstream_type.field.add(name=name, number=number, label=LABEL_OPTIONAL, type=field_type)
    file.message_type.add(name="OutlierReport").field.add(
        name="upstreams", number=1, label=LABEL_REPEATED, type=TYPE_MESSAGE, type_name=".UpstreamReport"
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    report_class: Any = message_factory.GetMessageClass(pool.FindMessageTypeByName("OutlierReport"))
    rows = [{name: getattr(upstream, name) for name in FIELDS} for upstream in sample_report().upstreams]
    data = report_class(upstreams=rows).SerializeToString()

    def read() -> object:
        return [
            [getattr(upstream, name) for name in FIELDS]
            for upstream in report_class.FromString(data).upstreams
        ]

    write_us = cost_us(lambda: report_class(upstreams=rows).SerializeToString())
    return CodecCost(len(data), write_us, cost_us(read))


def make_keyring(number: int, fleet: SigningKey) -> Keyring:
    """Return the keyring of an instance, without a limit on verifications."""
    key = SigningKey(number.to_bytes(32, "big"))
    certificate = issue_certificate(
        fleet, number, f"i{number}", f"s{number % 5}", key.verify_key.encode(), 1 << 40
    )
    budget = VerificationBudget(UNLIMITED, UNLIMITED)
    return Keyring(key, certificate, [fleet.verify_key.encode()], budget=budget)


def print_codec_costs(report: OutlierReport) -> None:
    """Measure the codec beside protobuf and JSON."""
    body, as_json = codec.encode(report), msgspec.json.encode(report)
    protobuf = protobuf_cost()
    write_us = cost_us(lambda: codec.encode(report))
    read_us = cost_us(lambda: codec.decode(codec.statement_decoder, body))
    json_us = cost_us(lambda: json.loads(as_json))
    print("an outlier report on 8 upstreams: bytes, us to write, us to read (into values)")
    print(f"  MessagePack by msgspec {len(body):>6} {write_us:>7.1f} {read_us:>7.1f}")
    protobuf_times = f"{protobuf.write_us:>7.1f} {protobuf.read_us:>7.1f}"
    print(f"  protobuf               {protobuf.size_bytes:>6} {protobuf_times}")
    print(f"  JSON, standard library {len(as_json):>6} {'':>7} {json_us:>7.1f}")


def print_packet_costs(report: OutlierReport, sender: Keyring, receiver: Keyring) -> None:
    """Measure signing, sealing, opening and rejecting."""
    statement = sender.sign(report, WALL_US)
    packet = sender.seal_packet(UrgentBroadcasts(), [statement], WALL_US)
    seal_us = cost_us(lambda: sender.seal_packet(UrgentBroadcasts(), [statement], WALL_US))
    sign_us = cost_us(lambda: sender.sign(report, WALL_US))
    print(
        f"a packet with it: {len(packet)} bytes; sealed in {seal_us:.0f} us, its report signed in "
        f"{sign_us:.0f}"
    )

    def open_new() -> None:
        receiver.replay_windows.clear()
        receiver.open_packet(packet, 0, WALL_US)

    open_us = cost_us(open_new)  # first, as the packet is a replay from then on
    statement_us = cost_us(lambda: receiver.open_statement(statement, sender.certificate, 0, WALL_US))
    replay_us = cost_us(lambda: open_rejected(receiver, packet))
    noise_us = cost_us(lambda: open_rejected(receiver, packet[9:]))
    print(
        f"opened in {open_us:.0f} us, its report in {statement_us:.0f}; rejected as a replay in "
        f"{replay_us:.1f}, as noise in {noise_us:.1f}"
    )


def open_rejected(keyring: Keyring, data: bytes) -> None:
    """Open a packet that must be rejected."""
    try:
        keyring.open_packet(data, 0, WALL_US)
    except RejectedError:
        return
    raise AssertionError


def main() -> int:
    """Measure and print."""
    report, fleet = sample_report(), SigningKey(bytes([7]) * 32)
    print_codec_costs(report)
    sender, receiver = make_keyring(1, fleet), make_keyring(2, fleet)
    print_packet_costs(report, sender, receiver)
    instance = GossipInstance(sender, ("10.0.0.1", 1), [], random.Random(1), 0, WALL_US, lambda upstream: 5)
    attempt_us = cost_us(lambda: instance.record_attempt("n", 5, Outcome.OK, 1, WALL_US))
    print(f"a successful attempt: {attempt_us:.2f} us")
    aggregator, sites = ReportAggregator("s1"), {f"s{number}": 10 for number in range(5)}
    for number in range(50):
        aggregator.add(f"i{number}", f"s{number % 5}", report, 0)
    weight_us = cost_us(lambda: aggregator.weight("s-5be2a071", WALL_US // 1000, sites, 0), 500)
    print(f"a weight of 50 instances' reports: {weight_us:.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
