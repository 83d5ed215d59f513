"""Runs many balancers for the simulator in one process: one reply for each batch of events."""

from __future__ import annotations

import sys
from typing import BinaryIO

from sidecar_proxy.balancer.balancer import Balancer
from sidecar_proxy.balancer.settings import SettingsError, check_allowed, parse_settings
from sidecar_proxy.simulator_adapter import wire


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of the input."""
    data = source.read(size)
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


class BalancerHost:
    """The running balancers by instance number; they share only the decoder's upstream lists."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.balancers: dict[int, Balancer] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Pass the `count` events in the body to their balancers, and return the reply. Raises WireError."""
        records: list[bytes] = []
        for instance, event in self.decoder.decode_batch(body, count):
            if isinstance(event, wire.InstanceStarted):
                try:
                    settings = parse_settings(event.options)
                except SettingsError as error:
                    raise wire.WireError(str(error)) from error
                self.balancers[instance] = Balancer(settings, event.seed, now_us)
            elif isinstance(event, wire.InstanceStopped):
                self.balancers.pop(instance, None)
            elif instance in self.balancers:
                try:
                    balancer = self.balancers[instance]
                    for action in balancer.handle(now_us, event):
                        check_allowed(balancer.settings, action)
                        records.append(wire.encode(instance, action))
                except Exception as error:  # a bug in the balancer is reported to the simulator
                    text = f"{type(error).__name__}: {error}"
                    records.append(wire.encode(instance, wire.InternalError(text)))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches and write replies until the input ends. Raises WireError."""
    host = BalancerHost()
    batch_number = 0
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
            reply = host.handle_batch(now_us, count, body)
        except wire.WireError as error:
            raise wire.WireError(f"batch {batch_number}: {error}") from error
        sink.write(reply)
        sink.flush()
        batch_number += 1


def main() -> int:
    """Serve on standard input and output. Return 0, 2 for malformed input, or 3 if the output is closed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("sidecar_proxy: can't write replies: the simulator has closed the pipe", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
