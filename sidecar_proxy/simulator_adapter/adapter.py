"""Hosts many instances of the decision module on the bench's wire: one reply for each batch."""

from __future__ import annotations

import sys
from typing import BinaryIO

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.settings import SettingsError, check_allowed, parse_settings
from sidecar_proxy.simulator_adapter import wire


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """`size` bytes, or fewer at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


class Host:
    """The running instances; they share nothing but the decoder's upstream lists."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.instances: dict[int, Balancer] = {}

    def batch(self, now_us: int, count: int, body: bytes) -> bytes:
        records: list[bytes] = []
        for instance, event in self.decoder.batch(body, count):
            if isinstance(event, wire.InstanceStarted):
                try:
                    settings = parse_settings(event.options)
                except SettingsError as error:
                    raise wire.WireError(str(error)) from error
                self.instances[instance] = Balancer(settings, event.seed, now_us)
            elif isinstance(event, wire.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                try:
                    balancer = self.instances[instance]
                    for action in balancer.handle(now_us, event):
                        check_allowed(balancer.settings, action)
                        records.append(wire.encode(instance, action))
                except Exception as error:  # a bug in the decisions is told on the wire, not hidden
                    text = f"{type(error).__name__}: {error}"
                    records.append(wire.encode(instance, wire.InternalError(text)))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    number = 0
    while True:
        header = read_exactly(source, wire.HEADER.size)
        if not header:
            return
        try:
            if len(header) < wire.HEADER.size:
                raise wire.WireError(f"truncated header: {len(header)} of {wire.HEADER.size} bytes")
            size, count, now_us = wire.HEADER.unpack(header)
            body = read_exactly(source, size)
            if len(body) < size:
                raise wire.WireError(f"truncated body: {len(body)} of {size} bytes")
            answer = host.batch(now_us, count, body)
        except wire.WireError as error:
            raise wire.WireError(f"batch {number}: {error}") from error
        sink.write(answer)
        sink.flush()
        number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("sidecar_proxy: the reader of our replies is gone", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
