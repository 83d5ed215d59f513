"""What the parts of gossip cost: the codec beside protobuf and JSON, signatures, an attempt, a weight.

    python -m benchmarks.gossip_parts

CPU time of this process; bytes of a bulletin of eight nodes. Needs the `dev` extra.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from nacl.signing import SigningKey

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Count, News, OutlierReport
from sidecar_proxy.gossip.instance import GossipInstance
from sidecar_proxy.gossip.keys import Budget, Keyring, issue_certificate
from sidecar_proxy.gossip.outlier_reports import Combiner

WALL_US = 1_796_000_000_000_000
FIELDS = Count.__struct_fields__


def cost_us(call: Callable[[], object], times: int = 5000) -> float:
    call()
    before = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - before) / times * 1e6


def bulletin() -> OutlierReport:
    return OutlierReport(
        [Count(f"s-5be2a07{n}", WALL_US // 1000, 40 + n, 5, 1, 0, 34 + n, 2, 130) for n in range(8)]
    )


def protobuf() -> tuple[int, float, float]:
    """Bytes, and CPU to write and to read."""
    file = descriptor_pb2.FileDescriptorProto(name="gossip.proto", syntax="proto3")
    kind = file.message_type.add(name="Count")
    for number, name in enumerate(FIELDS, 1):
        kind.field.add(name=name, number=number, label=1, type=9 if name == "node" else 4)
    file.message_type.add(name="Bulletin").field.add(
        name="counts", number=1, label=3, type=11, type_name=".Count"
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    made: Any = message_factory.GetMessageClass(pool.FindMessageTypeByName("Bulletin"))
    rows = [{name: getattr(one, name) for name in FIELDS} for one in bulletin().counts]
    data = made(counts=rows).SerializeToString()

    def read() -> object:
        return [[getattr(one, name) for name in FIELDS] for one in made.FromString(data).counts]

    return len(data), cost_us(lambda: made(counts=rows).SerializeToString()), cost_us(read)


def keyring(number: int, fleet: SigningKey) -> Keyring:
    key = SigningKey(number.to_bytes(32, "big"))
    one = issue_certificate(fleet, number, f"i{number}", f"s{number % 5}", key.verify_key.encode(), 1 << 40)
    return Keyring(key, one, [fleet.verify_key.encode()], budget=Budget(1e9, 1e9))


def main() -> int:
    told, fleet = bulletin(), SigningKey(bytes([7]) * 32)
    body = codec.encode(told)
    as_json = msgspec.json.encode(told)
    size, writes, reads = protobuf()
    print("a bulletin of 8 nodes: bytes, us to write, us to read (into values)")
    print(
        f"  MessagePack by msgspec {len(body):>6} {cost_us(lambda: codec.encode(told)):>7.1f} "
        f"{cost_us(lambda: codec.read(codec.statements, body)):>7.1f}"
    )
    print(f"  protobuf               {size:>6} {writes:>7.1f} {reads:>7.1f}")
    print(f"  JSON, standard library {len(as_json):>6} {'':>7} {cost_us(lambda: json.loads(as_json)):>7.1f}")
    one, two = keyring(1, fleet), keyring(2, fleet)
    rumours = [one.sign(told, WALL_US)]
    packet = one.seal(News(), rumours, WALL_US)
    seals = cost_us(lambda: one.seal(News(), rumours, WALL_US))
    signs = cost_us(lambda: one.sign(told, WALL_US))
    print(
        f"a packet with it: {len(packet)} bytes; sealed in {seals:.0f} us, its rumour signed in {signs:.0f}"
    )

    def opened() -> None:
        two.heard.clear()
        two.packet(packet, 0, WALL_US)

    rumour = cost_us(lambda: two.statement(rumours[0], one.certificate, 0, WALL_US))
    again, noise = cost_us(lambda: refused(two, packet)), cost_us(lambda: refused(two, packet[9:]))
    print(
        f"verified and read in {cost_us(opened):.0f} us, its rumour in {rumour:.0f}; refused as heard "
        f"before in {again:.1f}, as noise in {noise:.1f}"
    )
    own = GossipInstance(one, ("10.0.0.1", 1), [], random.Random(1), 0, WALL_US, lambda node: 5)
    attempt = cost_us(lambda: own.attempt("n", 5, Outcome.OK, 1, WALL_US))
    print(f"an attempt that ended well: {attempt:.2f} us")
    combiner, sites = Combiner("s1"), {f"s{number}": 10 for number in range(5)}
    for number in range(50):
        combiner.take(f"i{number}", f"s{number % 5}", told, 0)
    weigh = cost_us(lambda: combiner.weight("s-5be2a071", WALL_US // 1000, sites, 0), 500)
    print(f"a weight of 50 instances' reports: {weigh:.0f} us")
    return 0


def refused(ring: Keyring, data: bytes) -> None:
    try:
        ring.packet(data, 0, WALL_US)
    except Exception:
        return
    raise AssertionError


if __name__ == "__main__":
    sys.exit(main())
