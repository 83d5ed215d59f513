"""Turns gRPC on in a sidecar, as the operator file says."""

from __future__ import annotations

from functools import partial

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.grpc.front import Front
from sidecar_proxy.grpc.metadata import MethodError, Methods, Reader
from sidecar_proxy.grpc.nodes import Nodes
from sidecar_proxy.grpc.probe import probe
from sidecar_proxy.http1.listener import Listener


def start(told: Grpc, engine: Engine, server: Listener) -> Nodes:
    """Raises OperatorError where a method has a class that the settings don't have."""
    try:
        methods = Methods(told.methods, engine.settings.classes)
    except MethodError as error:
        raise OperatorError(str(error)) from error
    nodes = Nodes(engine, told.idle_s, told.ping_s, told.buffered_kib * 1024)
    server.front = Front(server, Reader(methods, engine.settings), nodes, told.streams, told.idle_s)
    if told.probe == "grpc":
        engine.send_probe = partial(probe, nodes)
    return nodes
