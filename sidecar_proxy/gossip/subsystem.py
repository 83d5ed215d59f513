"""Turns gossip on in a sidecar, as the operator file says: what the engine sees goes out, what comes of it
goes to the decisions as events.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import Callable
from typing import Any

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Gossip
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.status_socket import listen
from sidecar_proxy.engine.address import parse_address
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.gossip.credentials import Credentials, Watch
from sidecar_proxy.gossip.files import FileError
from sidecar_proxy.gossip.instance import FleetSize, GossipInstance, OutlierWeight, SubsystemMessage
from sidecar_proxy.gossip.keys import Keyring
from sidecar_proxy.gossip.transport import GossipTransport, log, wall_clock_us

LOOK_S = 1.0  # between looks at the files
TIMEOUT_S = 5.0  # for a reader of the window


class GossipSubsystem:
    """A sidecar that takes part."""

    def __init__(self, told: Gossip, engine: Engine, directory: EndpointDirectory, seed: int) -> None:
        """Raises OperatorError for what the file names and can't be used."""
        self.told = told
        self.engine = engine
        self.directory = directory
        self.seed = seed
        try:
            self.files = Watch(told)
        except FileError as error:
            raise OperatorError(f"gossip: {error}") from error
        now = self.files.now
        self.keyring = Keyring(now.key, now.certificate, now.fleet, now.revoked)
        self.transport: GossipTransport | None = None
        self.window: asyncio.Server | None = None
        self.watch: asyncio.TimerHandle | None = None
        self.listeners: dict[str, Callable[[SubsystemMessage], None]] = {}  # other subsystems, by topic

    @property
    def name(self) -> str:
        return self.keyring.certificate.name

    def say(self, topic: str, body: bytes) -> None:
        """To all sidecars, within some seconds."""
        if self.transport is not None:
            self.transport.instance.say(topic, body, wall_clock_us())

    def note(self, name: str, topic: str, body: bytes) -> None:
        """To one, if it comes through."""
        if self.transport is not None:
            self.transport.perform(
                self.transport.instance.note(name, topic, body, self.engine.clock.now_us(), wall_clock_us())
            )

    async def start(self) -> None:
        """Raises OperatorError where an address can't be listened on."""
        told, engine = self.told, self.engine
        bind = parse_address(told.bind)
        seeds = [parse_address(one) for one in told.seeds]
        dice = random.Random(f"{self.seed} {self.keyring.certificate.name}")
        instance = GossipInstance(
            self.keyring,
            bind,
            seeds,
            dice,
            engine.clock.now_us(),
            wall_clock_us(),
            self.born,
            told.least_instances or engine.settings.instances,
        )
        self.transport = GossipTransport(instance, engine.clock.now_us, self.take)
        try:
            address = await self.transport.open(bind)
        except OSError as error:
            raise OperatorError(f"gossip.bind: {error}") from error
        instance.move(parse_address(told.advertise) if told.advertise else address)
        try:
            if told.socket:
                self.window = await listen(told.socket, self.show)
        except OSError as error:
            raise OperatorError(f"gossip.socket: {error}") from error
        log.info(
            "gossip: %s of %s is heard at %s:%d", instance.core.name, instance.core.site, *instance.address
        )
        engine.on_attempt_ended = self.observe
        self.transport.start()
        self.look()

    def born(self, name: str) -> int | None:
        number = self.directory.numbers.get(name)
        entry = self.engine.balancer.entries.get(number) if number is not None else None
        return entry.started_us // 1000 if entry is not None else None

    def observe(self, upstream: int, outcome: api.Outcome) -> None:
        """An attempt has ended. Hazard: this is on the way of every request; a fault here costs the gossip,
        never a request.
        """
        name = self.directory.names.get(upstream)
        entry = self.engine.balancer.entries.get(upstream)
        if name is None or entry is None or self.transport is None:
            return
        try:
            outputs = self.transport.instance.attempt(
                name, entry.started_us // 1000, outcome, self.engine.clock.now_us(), wall_clock_us()
            )
            if outputs:
                self.transport.perform(outputs)
        except Exception:
            self.engine.on_attempt_ended = None
            log.exception("gossip: what this sidecar sees is told no more")

    def take(self, one: OutlierWeight | FleetSize | SubsystemMessage) -> None:
        if isinstance(one, SubsystemMessage):
            for topic, listener in self.listeners.items():
                if one.left or topic == one.topic:
                    listener(one)
            return
        if isinstance(one, FleetSize):
            self.engine.dispatch(api.FleetResized(one.instances, one.index))
            return
        number = self.directory.numbers.get(one.node)
        if number is not None:
            self.engine.dispatch(api.OutlierReported(number, one.weight))

    def look(self) -> None:
        """Keys, the certificate or the list of the revoked may have changed."""
        try:
            found = self.files.changed()
            if found is not None:
                self.renew(found)
        except FileError as error:
            log.warning("gossip: what held goes on holding: %s", error)
        line = self.files.ends(wall_clock_us() / 1e6)
        if line:
            log.warning("gossip: %s", line)
        self.watch = self.engine.loop.call_later(LOOK_S, self.look)

    def renew(self, found: Credentials) -> None:
        assert self.transport is not None
        same = found.certificate == self.keyring.certificate
        self.keyring.renew(found.key, found.certificate, found.fleet, found.revoked)
        log.info(
            "gossip: certificate %d, %d fleet keys, %d revoked from now on",
            found.certificate.serial,
            len(found.fleet),
            len(found.revoked),
        )
        if not same:
            self.transport.perform(
                self.transport.instance.renewed(self.engine.clock.now_us(), wall_clock_us())
            )

    # For people

    def described(self) -> dict[str, Any]:
        assert self.transport is not None
        instance = self.transport.instance
        core = instance.core
        return {
            "name": core.name,
            "site": core.site,
            "address": list(instance.address),
            "serial": self.keyring.certificate.serial,
            "until_s": self.keyring.certificate.until_s,
            "incarnation": core.incarnation,
            "health": core.health,
            "instances": instance.sized.instances,
            "peers": [
                {
                    "name": one.name,
                    "site": one.site,
                    "address": list(one.address),
                    "life": one.life.value,
                    "accusers": sorted(one.accusers),
                    "serial": one.certificate.serial,
                    "until_s": one.certificate.until_s,
                }
                for one in sorted(core.peers.values(), key=lambda one: one.name)
            ],
            "nodes": {
                name: {
                    "weight": round(instance.weights.get(name, 0.0), 3),
                    "by": {
                        author: {"site": one.site, "run": one.count.run, "well": one.count.well}
                        for author, one in reports.items()
                    },
                }
                for name, reports in sorted(instance.combiner.reports.items())
            },
            "counts": {**instance.counts, **core.counts},
            "refused": dict(self.keyring.refused),
        }

    async def show(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(json.dumps(self.described()).encode() + b"\n")
                await writer.drain()
            writer.close()
        except (OSError, TimeoutError):
            writer.transport.abort()

    def close(self) -> None:
        self.engine.on_attempt_ended = None
        if self.watch is not None:
            self.watch.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.window is not None:
            self.window.close()
            try:
                os.unlink(self.told.socket)
            except OSError:
                return
