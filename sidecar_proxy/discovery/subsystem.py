"""Turns further sources of membership on, as the operator file says."""

from __future__ import annotations

import random

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Membership
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.feed import Feed
from sidecar_proxy.discovery.status_socket import Window
from sidecar_proxy.engine.engine import Engine


class DiscoverySubsystem:
    """What runs beside the roster."""

    def __init__(self, told: Membership, engine: Engine, directory: EndpointDirectory, seed: int) -> None:
        """Raises OperatorError where a file that is named can't be used."""
        self.feed = Feed(engine, directory, ["etcd"] if told.etcd.endpoints else [])
        self.window = Window(self.feed, told.socket) if told.socket else None
        self.etcd = None
        if told.etcd.endpoints:
            # hazard: the libraries take memory; without etcd nothing of them is imported
            from sidecar_proxy.discovery.etcd.follower import EtcdFollower
            from sidecar_proxy.discovery.etcd.source import Source

            etcd = told.etcd
            follower = EtcdFollower(
                etcd.prefix, len(etcd.endpoints), bool(etcd.username), random.Random(seed)
            )
            try:
                self.etcd = Source(etcd, follower, self.feed, engine.clock.now_us)
            except OSError as error:  # among them ssl.SSLError
                raise OperatorError(f"membership.etcd.tls_ca, tls_cert, tls_key: {error}") from error

    async def start(self) -> None:
        """Raises OperatorError where the socket can't be listened on."""
        if self.window is not None:
            try:
                await self.window.open()
            except OSError as error:
                raise OperatorError(f"membership.socket: {error}") from error
        if self.etcd is not None:
            self.etcd.start()

    def close(self) -> None:
        if self.etcd is not None:
            self.etcd.close()
        if self.window is not None:
            self.window.close()
