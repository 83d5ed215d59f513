"""Keys for the lab's sidecars, so that they gossip; and one certified instance that lies without end."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path

from nacl.signing import SigningKey

from sidecar_proxy.gossip import codec, files
from sidecar_proxy.gossip.instance import FleetSize, GossipInstance, OutlierWeight, SubsystemMessage
from sidecar_proxy.gossip.keys import Keyring, issue_certificate
from sidecar_proxy.gossip.transport import GossipTransport, wall_clock_us
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.testbed.history import now_us
from sidecar_proxy.testbed.network_links import Links, host_of

LIE_S = 0.2


class Keys:
    """A fleet's key and the certificates under it, in a folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.fleet = SigningKey.generate()
        self.serial = 0
        (self.folder / "fleet.pub").write_text(self.fleet.verify_key.encode().hex())

    def keyring(self, name: str, site: str) -> Keyring:
        key = SigningKey.generate()
        self.serial += 1
        until_s, public = int(time.time()) + 86_400, key.verify_key.encode()
        one = issue_certificate(self.fleet, self.serial, name, site, public, until_s)
        return Keyring(key, one, [self.fleet.verify_key.encode()])

    def table(
        self,
        name: str,
        site: str,
        seeds: list[str],
        bind: tuple[str, int] = ("127.0.0.1", 0),
        advertise: tuple[str, int] | None = None,
    ) -> str:
        """That instance's part of the operator file."""
        ring, path = self.keyring(name, site), self.folder / name
        files.write_file(f"{path}.key", ring.key.encode().hex(), secret=True)
        files.write_file(f"{path}.cert", codec.encode(ring.certificate).hex())
        told = f'advertise = "{advertise[0]}:{advertise[1]}"\n' if advertise else ""
        return (
            f'[gossip]\nbind = "{bind[0]}:{bind[1]}"\n{told}seeds = {json.dumps(seeds)}\n'
            f'key_file = "{path}.key"\n'
            f'certificate_file = "{path}.cert"\nfleet_keys = ["{self.folder / "fleet.pub"}"]\n'
            f'revoked_file = "{self.folder / "revoked"}"\nsocket = "{path}.sock"\n'
        )

    def revoke(self, name: str) -> None:
        """That instance's certificate: nobody listens to it from now on."""
        serial = files.read_certificate(f"{self.folder / name}.cert").serial
        files.write_file(str(self.folder / "revoked"), f"{serial}\n", replace=True)


class Liar:
    """Takes part as any other, and says of all its nodes that they are silent, or that they are well."""

    def __init__(
        self, ring: Keyring, seed: tuple[str, int], nodes: list[str], born_ms: int = 0, well: bool = False
    ) -> None:
        self.instance = GossipInstance(
            ring, ("127.0.0.1", 0), [seed], random.Random(1), now_us(), wall_clock_us(), none
        )
        self.transport = GossipTransport(self.instance, now_us, unheard)
        self.nodes = nodes
        self.born_ms = born_ms
        self.well = well
        self.said = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self, links: Links | None = None, number: int = 0) -> None:
        """Behind a relay of its own, where the others are."""
        host = "127.0.0.1" if links is None else host_of(0, number)
        address = await self.transport.open((host, 0))
        self.instance.set_address(address if links is None else await links.join(number, address))
        self.transport.start()
        self.task = asyncio.get_running_loop().create_task(self.lie())

    async def lie(self) -> None:
        while True:
            await asyncio.sleep(LIE_S)
            counts = []
            for _ in range(min(codec.MAX_REPORTED_UPSTREAMS, len(self.nodes))):
                name = self.nodes[self.said % len(self.nodes)]
                self.said += 1
                bad = 0 if self.well else 1000
                counts.append(codec.UpstreamReport(name, self.born_ms, 1000, bad, 0, 0, 1000 - bad, bad, 0))
            self.instance.wall_us = wall_clock_us()
            self.transport.perform(self.instance.publish_report(codec.OutlierReport(counts), now_us()))

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.transport.close()


class Braggart(Liar):
    """Takes part as any other, and says of itself that it is sidecar `index` with so many times the load."""

    def __init__(self, ring: Keyring, seed: tuple[str, int], index: int, tries: float) -> None:
        super().__init__(ring, seed, [])
        self.index = index
        self.tries = tries

    async def lie(self) -> None:
        while True:
            await asyncio.sleep(LIE_S)
            work = [words.ClassLoad(int(self.tries * 1000), 0, 1000, 100_000) for _ in range(3)]
            told = words.Report(
                self.index, 0, True, words.TOTAL_PARTS, 0, 10**9, 1000, False, 10**6, work, []
            )
            self.said += 1
            self.instance.broadcast(words.TOPIC, words.encode(told), wall_clock_us())


def unheard(one: OutlierWeight | FleetSize | SubsystemMessage) -> None:
    """What comes of it is nothing to the liar."""


def none(node: str) -> int | None:
    """It uses no nodes itself."""
    return None
