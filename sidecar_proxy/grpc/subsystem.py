"""Starts gRPC in a sidecar by its section of the operator file."""

from __future__ import annotations

from functools import partial

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.grpc.front import GrpcFront
from sidecar_proxy.grpc.metadata import MetadataReader, MethodClasses, MethodError
from sidecar_proxy.grpc.probe import probe
from sidecar_proxy.grpc.upstream import UpstreamPool
from sidecar_proxy.http1.listener import Listener


def start(config: Grpc, engine: Engine, server: Listener) -> UpstreamPool:
    """Start gRPC on the listener. Raises OperatorError if a method names a class that the settings lack."""
    try:
        methods = MethodClasses(config.methods, engine.settings.classes)
    except MethodError as error:
        raise OperatorError(str(error)) from error
    upstream_pool = UpstreamPool(engine, config.idle_s, config.ping_s, config.buffered_kib * 1024)
    server.front = GrpcFront(
        server, MetadataReader(methods, engine.settings), upstream_pool, config.streams, config.idle_s
    )
    if config.probe == "grpc":
        engine.send_probe = partial(probe, upstream_pool)
    return upstream_pool
