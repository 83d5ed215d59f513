"""Gossip on loopback sockets: transports, sidecar processes, and the command `gossip members`."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

from sidecar_proxy.gossip.instance import GossipInstance
from sidecar_proxy.gossip.transport import GossipTransport, wall_clock_us
from sidecar_proxy.testbed.gossip import Keys
from sidecar_proxy.testbed.history import now_us
from tests.sockets import LONG_S, ROOT, Discovery, Sidecar, Upstream, eventually

STARTED_MS = 5  # start of each upstream, Unix time


@dataclass(slots=True, frozen=True)
class TransportPair:
    """Two instances; the seed of the second is the first."""

    first: GossipTransport
    second: GossipTransport

    def know_each_other(self) -> bool:
        return all(
            len(transport.instance.core.members.live_peers()) == 1 for transport in (self.first, self.second)
        )


async def open_transport(keys: Keys, number: int, seeds: list[tuple[str, int]]) -> GossipTransport:
    instance = GossipInstance(
        keys.keyring(f"i{number}", "s"),
        ("127.0.0.1", 0),
        seeds,
        random.Random(number),
        now_us(),
        wall_clock_us(),
        lambda upstream: STARTED_MS,
        min_instances=1,
    )
    transport = GossipTransport(instance, now_us, lambda output: None)
    instance.set_address(await transport.open(("127.0.0.1", 0)))
    transport.start()
    return transport


@asynccontextmanager
async def transport_pair(keys: Keys) -> AsyncIterator[TransportPair]:
    first = await open_transport(keys, 1, [])
    second = await open_transport(keys, 2, [first.instance.address])
    try:
        async with asyncio.timeout(2 * LONG_S):
            yield TransportPair(first, second)
    finally:
        first.close()
        second.close()


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true, with a long timeout."""
    async with asyncio.timeout(LONG_S):
        while not condition():
            await asyncio.sleep(0.005)


@contextmanager
def gossiping_sidecar(
    upstreams: list[Upstream], keys: Keys, name: str, seeds: list[str]
) -> Iterator[Sidecar]:
    """Run a sidecar with gossip enabled, and check that it exits with status 0."""
    path = keys.folder / f"{name}.toml"
    path.write_text(keys.table(name, "s", seeds))
    with Discovery([upstream.entry() for upstream in upstreams]) as discovery:
        sidecar = Sidecar(upstreams, discovery, env={"SIDECAR_PROXY_OPERATOR": str(path)})
        sidecar.command = f"exec {sys.executable} -B -m sidecar_proxy.daemon"
        with sidecar:
            yield sidecar
            assert sidecar.stop() == 0


def gossip_addresses(sidecar: Sidecar) -> list[str]:
    """Wait until the sidecar logs its gossip address, and return the address as a list of seeds."""
    addresses: list[str] = eventually(
        lambda: [line.split()[-1] for line in sidecar.log_lines if " is reachable at " in line]
    )
    return addresses


def members_output(keys: Keys, name: str, *options: str) -> str:
    """Return the output of `gossip members` for a sidecar."""
    path = str(keys.folder / f"{name}.sock")
    command = [sys.executable, "-m", "sidecar_proxy", "gossip", "members", path, *options]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=LONG_S, check=True)
    return completed.stdout
