"""Gossip in a sidecar: connects it to the operator file, the engine, the balancer and other subsystems."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
from collections.abc import Callable

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Gossip
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.status_socket import serve_unix_socket
from sidecar_proxy.engine.address import parse_address
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.gossip.credentials import Credentials, CredentialsWatcher
from sidecar_proxy.gossip.effects import Address
from sidecar_proxy.gossip.files import FileError
from sidecar_proxy.gossip.instance import FleetSize, GossipInstance, OutlierWeight, SubsystemMessage
from sidecar_proxy.gossip.keys import Keyring
from sidecar_proxy.gossip.status import describe
from sidecar_proxy.gossip.transport import GossipTransport, log, wall_clock_us

FILE_CHECK_INTERVAL_S = 1.0
STATUS_TIMEOUT_S = 5.0  # timeout of a client of the status socket


class GossipSubsystem:
    """The gossip subsystem of a sidecar: credentials, transport and status socket."""

    def __init__(self, config: Gossip, engine: Engine, directory: EndpointDirectory, seed: int) -> None:
        """Load the credentials. Raises OperatorError for files that can't be used."""
        self._config = config
        self._engine = engine
        self._directory = directory
        self._seed = seed
        try:
            self._credentials = CredentialsWatcher(config)
        except FileError as error:
            raise OperatorError(f"gossip: {error}") from error
        current = self._credentials.current
        self.keyring = Keyring(current.key, current.certificate, current.fleet_keys, current.revoked_serials)
        self.transport: GossipTransport | None = None
        # handlers of the messages for other subsystems, by topic
        self.listeners: dict[str, Callable[[SubsystemMessage], None]] = {}
        self._status_server: asyncio.Server | None = None
        self._credentials_timer: asyncio.TimerHandle | None = None

    @property
    def name(self) -> str:
        """The instance's name, which is its certificate's."""
        return self.keyring.certificate.name

    def broadcast(self, topic: str, body: bytes) -> None:
        """Broadcast a message to all sidecars, which takes a few seconds."""
        if self.transport is not None:
            self.transport.instance.broadcast(topic, body, wall_clock_us())

    def send_message(self, name: str, topic: str, body: bytes) -> None:
        """Send a message to one sidecar; it is not retried if it is lost."""
        if self.transport is not None:
            now_us = self._engine.clock.now_us()
            outputs = self.transport.instance.send_message(name, topic, body, now_us, wall_clock_us())
            self.transport.perform(outputs)

    async def start(self) -> None:
        """Open the sockets and join the fleet. Raises OperatorError if an address can't be used."""
        bind = parse_address(self._config.bind)
        instance = self._make_instance(bind)
        self.transport = GossipTransport(instance, self._engine.clock.now_us, self._on_output)
        try:
            address = await self.transport.open(bind)
        except OSError as error:
            raise OperatorError(f"gossip.bind: {error}") from error
        advertised = parse_address(self._config.advertise) if self._config.advertise else address
        instance.set_address(advertised)
        try:
            if self._config.socket:
                self._status_server = await serve_unix_socket(self._config.socket, self._serve_status)
        except OSError as error:
            raise OperatorError(f"gossip.socket: {error}") from error
        log.info(
            "gossip: %s of %s is reachable at %s:%d",
            instance.core.name,
            instance.core.site,
            *instance.address,
        )
        self._engine.on_attempt_ended = self._record_attempt
        self.transport.start()
        self._check_credentials()

    def close(self) -> None:
        """Close the sockets. Peers are not notified."""
        self._engine.on_attempt_ended = None
        if self._credentials_timer is not None:
            self._credentials_timer.cancel()
        if self.transport is not None:
            self.transport.close()
        if self._status_server is not None:
            self._status_server.close()
            with contextlib.suppress(OSError):
                os.unlink(self._config.socket)

    def _make_instance(self, bind: Address) -> GossipInstance:
        seeds = [parse_address(seed) for seed in self._config.seeds]
        rng = random.Random(f"{self._seed} {self.keyring.certificate.name}")
        return GossipInstance(
            self.keyring,
            bind,
            seeds,
            rng,
            self._engine.clock.now_us(),
            wall_clock_us(),
            self._started_ms,
            self._config.least_instances or self._engine.settings.instances,
        )

    def _started_ms(self, name: str) -> int | None:
        """Return the start of an upstream in Unix ms, None if no upstream of that name is in use."""
        number = self._directory.numbers.get(name)
        if number is None:
            return None
        entry = self._engine.balancer.entries.get(number)
        return entry.started_us // 1000 if entry is not None else None

    # Between the engine and the instance

    def _record_attempt(self, upstream: int, outcome: api.Outcome) -> None:
        """Record the outcome of an attempt. This is called for every attempt of every request."""
        name = self._directory.names.get(upstream)
        entry = self._engine.balancer.entries.get(upstream)
        if name is None or entry is None or self.transport is None:
            return
        try:
            outputs = self.transport.instance.record_attempt(
                name, entry.started_us // 1000, outcome, self._engine.clock.now_us(), wall_clock_us()
            )
            if outputs:
                self.transport.perform(outputs)
        except Exception:  # a fault in gossip must not fail a request; it only ends the outlier reports
            self._engine.on_attempt_ended = None
            log.exception("gossip: recording of outcomes failed and is disabled")

    def _on_output(self, output: OutlierWeight | FleetSize | SubsystemMessage) -> None:
        match output:
            case SubsystemMessage():
                for topic, listener in self.listeners.items():
                    if output.is_departure or topic == output.topic:
                        listener(output)
            case FleetSize():
                self._engine.dispatch(api.FleetResized(output.instances, output.index))
            case OutlierWeight():
                number = self._directory.numbers.get(output.upstream)
                if number is not None:
                    self._engine.dispatch(api.OutlierReported(number, output.weight))

    # Credentials

    def _check_credentials(self) -> None:
        """Apply the credentials if their files have changed, and set the timer of the next check."""
        try:
            changed = self._credentials.reload()
            if changed is not None:
                self._apply_credentials(changed)
        except FileError as error:
            log.warning("gossip: keeping the previous credentials: %s", error)
        warning = self._credentials.expiry_warning(wall_clock_us() / 1e6)
        if warning:
            log.warning("gossip: %s", warning)
        self._credentials_timer = self._engine.loop.call_later(FILE_CHECK_INTERVAL_S, self._check_credentials)

    def _apply_credentials(self, credentials: Credentials) -> None:
        assert self.transport is not None
        is_same_certificate = credentials.certificate == self.keyring.certificate
        self.keyring.replace_credentials(
            credentials.key, credentials.certificate, credentials.fleet_keys, credentials.revoked_serials
        )
        log.info(
            "gossip: using certificate %d, %d fleet keys, %d revoked serials",
            credentials.certificate.serial,
            len(credentials.fleet_keys),
            len(credentials.revoked_serials),
        )
        if not is_same_certificate:
            now_us = self._engine.clock.now_us()
            self.transport.perform(self.transport.instance.announce_certificate(now_us, wall_clock_us()))

    # Status socket

    async def _serve_status(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert self.transport is not None
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                writer.write(json.dumps(describe(self.transport.instance)).encode() + b"\n")
                await writer.drain()
            writer.close()
        except (OSError, TimeoutError):
            writer.transport.abort()
