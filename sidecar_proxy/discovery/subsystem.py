"""Starts the discovery sources that the operator file configures in addition to the platform's list."""

from __future__ import annotations

import random

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Membership
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.discovery.feed import MembershipFeed
from sidecar_proxy.discovery.status_socket import StatusServer
from sidecar_proxy.engine.engine import Engine


class DiscoverySubsystem:
    """The membership feed with its further sources and its status socket."""

    def __init__(self, config: Membership, engine: Engine, directory: EndpointDirectory, seed: int) -> None:
        """Raise OperatorError if a configured file can't be used."""
        self.feed = MembershipFeed(engine, directory, ["etcd"] if config.etcd.endpoints else [])
        self.status_server = StatusServer(self.feed, config.socket) if config.socket else None
        self.etcd = None
        if config.etcd.endpoints:
            # The libraries take memory, so they are imported only if etcd is configured.
            from sidecar_proxy.discovery.etcd.follower import EtcdFollower
            from sidecar_proxy.discovery.etcd.source import EtcdSource

            etcd = config.etcd
            follower = EtcdFollower(
                etcd.prefix, len(etcd.endpoints), bool(etcd.username), random.Random(seed)
            )
            try:
                self.etcd = EtcdSource(etcd, follower, self.feed, engine.clock.now_us)
            except OSError as error:  # includes ssl.SSLError
                raise OperatorError(f"membership.etcd.tls_ca, tls_cert, tls_key: {error}") from error

    async def start(self) -> None:
        """Open the status socket and connect to etcd. Raises OperatorError if the socket can't be opened."""
        if self.status_server is not None:
            try:
                await self.status_server.open()
            except OSError as error:
                raise OperatorError(f"membership.socket: {error}") from error
        if self.etcd is not None:
            self.etcd.start()

    def close(self) -> None:
        """Stop following etcd and close the status socket."""
        if self.etcd is not None:
            self.etcd.close()
        if self.status_server is not None:
            self.status_server.close()
